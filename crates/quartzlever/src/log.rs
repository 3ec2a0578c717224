//! The log on standard error: one line an event, with its level, its name and its fields.
//!
//! The events of the core and of a rebuild are written in the same form as those of the program itself.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use quartzlever_core::LogLevel;
use quartzlever_recovery::detection::Loss;
use quartzlever_recovery::format::WriteTimes;
use quartzlever_wire::fields::Fields;

/// An event of the program itself, around the core. Times are written in milliseconds, with `_ms` in the key,
/// but those of writes in microseconds, with `_us`.
#[derive(Debug)]
pub enum ProgramEvent<'a> {
    /// The API is served.
    ApiServed {
        /// Name of this controller.
        node: &'a str,
        address: SocketAddr,
    },
    /// The process cannot run, and ends.
    CannotRun { reason: &'a io::Error },
    /// The process ends, since it must not go on.
    ProcessEnded { reason: &'a str },
    /// The process has stood still.
    ProcessStalled { duration: Duration },
    /// The store has lost data: nothing is done before it is rebuilt.
    StoreDataLost { loss: &'a Loss },
    /// The process that has found the loss cannot begin anew.
    CannotRestart { reason: String },
    /// A file of the recovery directory cannot be used in full.
    RecoveryFileUnusable { reason: &'a str },
    /// The recovery log cannot be written; the service goes on unprotected.
    RecoveryLogUnprotected { reason: String },
    /// The recovery log is written again; the service is protected.
    RecoveryLogProtected,
    /// The mark of the recovery log, which says that it has all, could not be removed.
    RecoveryMarkNotRemoved,
    /// How long writes of the recovery log took since the start.
    RecoveryLogWrites { times: WriteTimes },
    /// All final states are written after a rebuild.
    FinalStatesWritten,
}

impl ProgramEvent<'_> {
    /// Writes the event.
    pub fn log(&self) {
        log_event(self.level(), self.name(), self);
    }

    fn level(&self) -> LogLevel {
        match self {
            ProgramEvent::ApiServed { .. }
            | ProgramEvent::ProcessStalled { .. }
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

    /// Name of the event, by which logs are searched.
    fn name(&self) -> &'static str {
        match self {
            ProgramEvent::ApiServed { .. } => "api_served",
            ProgramEvent::CannotRun { .. } => "cannot_run",
            ProgramEvent::ProcessEnded { .. } => "process_ended",
            ProgramEvent::ProcessStalled { .. } => "process_stalled",
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

/// The fields alone, without level and name.
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

/// Writes an event as one line, such as `INFO partition_acquired partition=one term=5`.
pub fn log_event(log_level: LogLevel, name: &str, fields: &dyn Display) {
    let line = Line { name, fields };
    match log_level {
        LogLevel::Error => tracing::error!("{line}"),
        LogLevel::Info => tracing::info!("{line}"),
        LogLevel::Debug => tracing::debug!("{line}"),
    }
}

/// What follows the level; formatted only where the level is on.
struct Line<'a> {
    name: &'a str,
    fields: &'a dyn Display,
}

impl Display for Line<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)?;
        let fields = self.fields.to_string();
        if fields.is_empty() { Ok(()) } else { write!(f, " {fields}") }
    }
}

#[cfg(test)]
mod tests;
