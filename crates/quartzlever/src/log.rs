//! The log on standard error: one line per event, with its level, name and fields.
//!
//! Events of the core and of a rebuild have the same form as those of the program itself.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use quartzlever_core::{LogLevel, WorkSummary};
use quartzlever_recovery::detection::Loss;
use quartzlever_recovery::format::WriteTimes;
use quartzlever_wire::fields::Fields;

/// An event of the program itself, outside the core. Durations are logged in milliseconds (keys
/// with `_ms`), but those of log writes in microseconds (`_us`).
#[derive(Debug)]
pub enum ProgramEvent<'a> {
    /// The HTTP port is bound; it may not be listening yet.
    ApiServed {
        /// Name of this controller.
        node: &'a str,
        address: SocketAddr,
    },
    /// The process cannot run and exits.
    CannotRun { reason: &'a io::Error },
    /// The process exits because it must not continue.
    ProcessEnded { reason: &'a str },
    /// The core's thread took no commands for this long.
    ProcessStalled { duration: Duration },
    /// A step of the core has taken this long, and may still be running. Nothing else is handled
    /// meanwhile.
    StepSlow {
        duration: Duration,
        is_running: bool,
        /// What the step has done so far.
        work: WorkSummary,
    },
    /// The store has lost data. Nothing is done until it is rebuilt.
    StoreDataLost { loss: &'a Loss },
    /// The process that detected the loss cannot restart itself.
    CannotRestart { reason: String },
    /// A file in the recovery directory is wholly or partly unusable.
    RecoveryFileUnusable { reason: &'a str },
    /// The recovery log cannot be written. The service continues without protection against loss.
    RecoveryLogUnprotected { reason: String },
    /// The recovery log can be written again, and protects the service.
    RecoveryLogProtected,
    /// The mark that the recovery log is complete could not be removed.
    RecoveryMarkNotRemoved,
    /// Durations of the writes to the recovery log since the start.
    RecoveryLogWrites { times: WriteTimes },
    /// All final states that a rebuild left to be written later have been written.
    FinalStatesWritten,
}

impl ProgramEvent<'_> {
    /// Logs the event.
    pub fn log(&self) {
        log_event(self.level(), self.name(), self);
    }

    fn level(&self) -> LogLevel {
        match self {
            ProgramEvent::ApiServed { .. }
            | ProgramEvent::ProcessStalled { .. }
            | ProgramEvent::StepSlow { .. }
            | ProgramEvent::RecoveryLogProtected
            | ProgramEvent::RecoveryLogWrites { .. }
            | ProgramEvent::FinalStatesWritten => LogLevel::Info,
            ProgramEvent::CannotRun { .. }
            | ProgramEvent::ProcessEnded { .. }
            | ProgramEvent::StoreDataLost { .. }
            | ProgramEvent::CannotRestart { .. }
            | ProgramEvent::RecoveryFileUnusable { .. }
            | ProgramEvent::RecoveryLogUnprotected { .. }
            | ProgramEvent::RecoveryMarkNotRemoved => LogLevel::Error,
        }
    }

    /// Returns the event's name, by which operators search logs.
    fn name(&self) -> &'static str {
        match self {
            ProgramEvent::ApiServed { .. } => "api_served",
            ProgramEvent::CannotRun { .. } => "cannot_run",
            ProgramEvent::ProcessEnded { .. } => "process_ended",
            ProgramEvent::ProcessStalled { .. } => "process_stalled",
            ProgramEvent::StepSlow { .. } => "step_slow",
            ProgramEvent::StoreDataLost { .. } => "store_data_lost",
            ProgramEvent::CannotRestart { .. } => "cannot_restart",
            ProgramEvent::RecoveryFileUnusable { .. } => "recovery_file_unusable",
            ProgramEvent::RecoveryLogUnprotected { .. } => "recovery_log_unprotected",
            ProgramEvent::RecoveryLogProtected => "recovery_log_protected",
            ProgramEvent::RecoveryMarkNotRemoved => "recovery_mark_not_removed",
            ProgramEvent::RecoveryLogWrites { .. } => "recovery_log_writes",
            ProgramEvent::FinalStatesWritten => "final_states_written",
        }
    }
}

/// Formats the fields only, without level and name.
impl Display for ProgramEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let fields = Fields::new(f);
        let fields = match self {
            ProgramEvent::ApiServed { node, address } => {
                fields.field("node", node).field("address", address)
            }
            ProgramEvent::CannotRun { reason } => fields.field("reason", reason),
            ProgramEvent::ProcessEnded { reason }
            | ProgramEvent::RecoveryFileUnusable { reason } => fields.field("reason", reason),
            ProgramEvent::CannotRestart { reason }
            | ProgramEvent::RecoveryLogUnprotected { reason } => fields.field("reason", reason),
            ProgramEvent::ProcessStalled { duration } => {
                fields.field("duration_ms", duration.as_millis())
            }
            ProgramEvent::StepSlow { duration, is_running, work } => fields
                .field("duration_ms", duration.as_millis())
                .field("running", is_running)
                .field("activity", work.current)
                .field("work", work),
            ProgramEvent::StoreDataLost { loss } => fields.field("reason", loss),
            ProgramEvent::RecoveryLogWrites { times } => fields
                .field("count", times.count)
                .field("median_us", times.median)
                .field("p99_us", times.p99)
                .field("longest_us", times.longest),
            ProgramEvent::RecoveryLogProtected
            | ProgramEvent::RecoveryMarkNotRemoved
            | ProgramEvent::FinalStatesWritten => fields,
        };
        fields.finish()
    }
}

/// Logs an event as one line, such as `INFO partition_acquired partition=one term=5`.
pub fn log_event(log_level: LogLevel, name: &str, fields: &dyn Display) {
    let line = LogLine { name, fields };
    match log_level {
        LogLevel::Error => tracing::error!("{line}"),
        LogLevel::Info => tracing::info!("{line}"),
        LogLevel::Debug => tracing::debug!("{line}"),
    }
}

/// The part of a log line after the level. It is formatted only if the level is enabled.
struct LogLine<'a> {
    name: &'a str,
    fields: &'a dyn Display,
}

impl Display for LogLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)?;
        let fields = self.fields.to_string();
        if fields.is_empty() { Ok(()) } else { write!(f, " {fields}") }
    }
}

#[cfg(test)]
mod tests;
