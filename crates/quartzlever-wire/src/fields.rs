//! The `key=value` pairs of a log line.
//!
//! The same form for the events of the core, of the recovery and of the program: pairs are separated by one
//! space, and a value that would not be read back as one word is quoted.

use std::fmt::{self, Display, Formatter};

/// Writes pairs in the order in which they are given; an error ends the writing.
pub struct Fields<'a, 'b> {
    formatter: &'a mut Formatter<'b>,
    is_first: bool,
    result: fmt::Result,
}

impl<'a, 'b> Fields<'a, 'b> {
    /// No pair yet.
    pub fn new(formatter: &'a mut Formatter<'b>) -> Self {
        Fields { formatter, is_first: true, result: Ok(()) }
    }

    /// Adds a pair. A value that is empty or has a space, a quotation mark, an equals sign or a control
    /// character is quoted and escaped, so that it stays one value on one line.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        if self.result.is_ok() {
            self.result = self.write(key, &value.to_string());
        }
        self
    }

    /// Adds a pair whose value is a list, its items separated by commas.
    #[must_use]
    pub fn list(self, key: &str, items: impl IntoIterator<Item = impl Display>) -> Self {
        let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
        self.field(key, items.join(","))
    }

    /// How the writing went.
    ///
    /// # Errors
    /// The formatter's, if it took one of the pairs not.
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
