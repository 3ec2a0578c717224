//! Checks of single settings, and the errors they give.
//!
//! Owns what is wrong with a settings file as typed errors. Never reads a file, and knows no field by
//! name: the fields and their ranges stand beside the file's format.

use std::io;
use std::net::SocketAddr;

use quartzlever_wire::{Micros, micros_from_secs};

/// The longest name of a node or a zone, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Why the program cannot start; one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {cause}")]
    Read { file: String, cause: io::Error },
    /// The file is not of its format.
    #[error("{file}: {cause}")]
    Syntax { file: String, cause: SyntaxError },
    /// A field's value cannot be used.
    #[error("{file}: {field}: {violation}")]
    Field { file: String, field: String, violation: Violation },
}

/// What a parser found, on one line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SyntaxError {
    /// The parser's message says where.
    #[error("{0}")]
    Placed(String),
    /// The line is counted from one.
    #[error("{message} (line {line})")]
    AtLine { message: String, line: usize },
}

/// What is wrong with the value of a field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Not `address:port`.
    #[error("not an address with a port: {0:?}")]
    Address(String),
    /// Not a number of the field's range.
    #[error("must be from {} to {}, is {value}", range.from, range.to)]
    OutOfRange { range: Range, value: f64 },
    /// Not a name that fits into a key.
    #[error("not a usable name: {0:?}")]
    Name(String),
    /// A name that must be unique.
    #[error("twice: {0:?}")]
    Duplicate(String),
    /// An empty list of zones.
    #[error("must name a zone")]
    NoZone,
    /// A value that must not be below another field's.
    #[error("must not be below {0}")]
    Below(&'static str),
    /// A value that must be at least twice another field's.
    #[error("must be twice {0} at least")]
    BelowTwice(&'static str),
}

/// The values that a field may have, both ends included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    pub from: f64,
    pub to: f64,
}

impl Range {
    /// From the one to the other.
    pub const fn new(from: f64, to: f64) -> Range {
        Range { from, to }
    }
}

/// A numeric field of a file: its name, what the file says, and what it may say.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a, Value = f64> {
    pub name: &'a str,
    pub value: Value,
    pub range: Range,
}

/// Checks the settings of one file, and names the file and the field of a bad one.
pub struct Checker<'a> {
    pub file: &'a str,
}

impl Checker<'_> {
    /// The error about a field of the file.
    pub fn error(&self, field: &str, violation: Violation) -> SettingsError {
        SettingsError::Field { file: self.file.to_owned(), field: field.to_owned(), violation }
    }

    /// The error about the whole file.
    pub fn syntax_error(&self, cause: SyntaxError) -> SettingsError {
        SettingsError::Syntax { file: self.file.to_owned(), cause }
    }

    /// An address with a port.
    pub fn address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse().map_err(|_| self.error(field, Violation::Address(text.to_owned())))
    }

    /// A number of the field's range.
    pub fn amount(&self, field: Field) -> Result<f64, SettingsError> {
        let Field { name, value, range } = field;
        if value.is_finite() && (range.from..=range.to).contains(&value) {
            Ok(value)
        } else {
            Err(self.error(name, Violation::OutOfRange { range, value }))
        }
    }

    /// A duration, written in seconds.
    pub fn duration(&self, field: Field) -> Result<Micros, SettingsError> {
        self.amount(field).map(micros_from_secs)
    }

    /// A name that becomes a partition of keys.
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

/// A parser's message without its line breaks.
pub fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
