//! The log on standard error: one line an event, with its level, its name and its fields.

use std::fmt::{self, Display, Formatter};

use quartzlever_core::LogLevel;

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
