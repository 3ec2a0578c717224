//! The `key=value` pairs of a log line.
//!
//! The events of the core, of the recovery and of the program share this format: one space
//! separates the pairs, and a value that is not a single word is quoted.

use std::fmt::{self, Display, Formatter};

/// Writes pairs to a formatter, in the order in which they are added. The first error stops the
/// writing.
pub struct Fields<'a, 'b> {
    formatter: &'a mut Formatter<'b>,
    is_first: bool,
    result: fmt::Result,
}

impl<'a, 'b> Fields<'a, 'b> {
    /// Creates a writer without pairs.
    pub fn new(formatter: &'a mut Formatter<'b>) -> Self {
        Fields { formatter, is_first: true, result: Ok(()) }
    }

    /// Adds a pair. A value that is empty or contains whitespace, a quotation mark, an equals sign
    /// or a control character is quoted and escaped, so that it remains one value on one line.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        if self.result.is_ok() {
            self.result = self.write(key, &value.to_string());
        }
        self
    }

    /// Adds a pair whose value is a comma-separated list.
    #[must_use]
    pub fn list(self, key: &str, items: impl IntoIterator<Item = impl Display>) -> Self {
        let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
        self.field(key, items.join(","))
    }

    /// Returns the result of the writing.
    ///
    /// # Errors
    /// The formatter's error, if it rejected one of the pairs.
    pub fn finish(self) -> fmt::Result {
        self.result
    }

    fn write(&mut self, key: &str, value: &str) -> fmt::Result {
        if !std::mem::take(&mut self.is_first) {
            self.formatter.write_str(" ")?;
        }
        let is_special = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
        if value.is_empty() || value.contains(is_special) {
            write!(self.formatter, "{key}={value:?}")
        } else {
            write!(self.formatter, "{key}={value}")
        }
    }
}

#[cfg(test)]
mod tests;
