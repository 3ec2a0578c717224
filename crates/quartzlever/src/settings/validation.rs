//! Checks of single settings, and their errors.
//!
//! Owns the typed errors of settings files. Never reads a file, and knows no field by name: the
//! fields and their ranges are defined next to the format of each file.

use std::io;
use std::net::SocketAddr;

use quartzlever_wire::{Micros, micros_from_secs};

/// Maximum length of the name of a node or a zone, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Why the settings cannot be used. The message is one line; it names the file, and the field if
/// one is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Read { file: String, cause: io::Error },
    /// The file is not valid TOML or YAML, or its fields do not fit the format.
    #[error("{file}: {cause}")]
    Syntax { file: String, cause: SyntaxError },
    /// The value of a field is invalid.
    #[error("{file}: {field}: {violation}")]
    Field { file: String, field: String, violation: Violation },
}

/// A parser's error message, on one line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SyntaxError {
    /// The message itself gives the position, if the parser knows it.
    #[error("{0}")]
    WithPosition(String),
    /// The message has no position; lines are counted from one.
    #[error("{message} (line {line})")]
    AtLine { message: String, line: usize },
}

/// Why the value of a field is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Not an IP address with a port.
    #[error("not an IP address with a port: {0:?}")]
    Address(String),
    /// Not a number in the field's range.
    #[error("must be from {} to {}, is {value}", range.from, range.to)]
    OutOfRange { range: Range, value: f64 },
    /// Not a name that can be part of a key.
    #[error(
        "must be 1 to {max} printable ASCII characters without spaces or slashes, is {0:?}",
        max = MAX_NAME_BYTES
    )]
    Name(String),
    /// A name that is already used.
    #[error("duplicate name: {0:?}")]
    Duplicate(String),
    /// The list of zones is empty.
    #[error("must name at least one zone")]
    NoZone,
    /// A value below that of another field, which is its minimum.
    #[error("must not be below {0}")]
    Below(&'static str),
    /// A value below twice that of another field.
    #[error("must be at least twice {0}")]
    BelowTwice(&'static str),
}

/// The range of values that a field may have, both ends included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    pub from: f64,
    pub to: f64,
}

impl Range {
    /// Creates the range of values from `from` to `to`.
    pub const fn new(from: f64, to: f64) -> Range {
        Range { from, to }
    }
}

/// A numeric field of a file: its name, its value in the file, and the range of valid values.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a, Value = f64> {
    pub name: &'a str,
    pub value: Value,
    pub range: Range,
}

/// Checks the fields of one file, and names the file and the invalid field in errors.
pub struct Checker<'a> {
    pub file: &'a str,
}

impl Checker<'_> {
    /// Returns the error for an invalid field of the file.
    pub fn error(&self, field: &str, violation: Violation) -> SettingsError {
        SettingsError::Field { file: self.file.to_owned(), field: field.to_owned(), violation }
    }

    /// Returns the error for a file that cannot be parsed.
    pub fn syntax_error(&self, cause: SyntaxError) -> SettingsError {
        SettingsError::Syntax { file: self.file.to_owned(), cause }
    }

    /// Parses an IP address with a port.
    ///
    /// # Errors
    /// Returns [`Violation::Address`] for any other text.
    pub fn address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse().map_err(|_| self.error(field, Violation::Address(text.to_owned())))
    }

    /// Returns the field's value if it is a number in the field's range.
    ///
    /// # Errors
    /// Returns [`Violation::OutOfRange`] for a value outside the range, an infinite one or NaN.
    pub fn amount(&self, field: Field) -> Result<f64, SettingsError> {
        let Field { name, value, range } = field;
        if value.is_finite() && (range.from..=range.to).contains(&value) {
            Ok(value)
        } else {
            Err(self.error(name, Violation::OutOfRange { range, value }))
        }
    }

    /// Converts a duration in seconds.
    ///
    /// # Errors
    /// Returns the errors of [`Checker::amount`].
    pub fn duration(&self, field: Field) -> Result<Micros, SettingsError> {
        self.amount(field).map(micros_from_secs)
    }

    /// Checks a name that becomes part of keys in the store: printable ASCII without spaces or
    /// slashes.
    ///
    /// # Errors
    /// Returns [`Violation::Name`] for a name that is empty, too long, or has another character.
    pub fn name(&self, field: &str, value: &str) -> Result<String, SettingsError> {
        let is_usable = !value.is_empty()
            && value.len() <= MAX_NAME_BYTES
            && value.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        if is_usable {
            Ok(value.to_owned())
        } else {
            Err(self.error(field, Violation::Name(value.to_owned())))
        }
    }
}

/// Replaces line breaks and other white space in a parser's message by single spaces.
pub fn to_one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
