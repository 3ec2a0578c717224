//! The wire formats of quartzlever, in one package that clients can use too.
//!
//! Each module holds the serde types of one protocol: [`users`], [`workers`], [`cloud`],
//! [`store`] (with [`pages`]) and [`peers`]. Names in the code are the usual terms (task, attempt,
//! incarnation, term, lease); the names on the wire and in the store are given by serde
//! attributes, and keys by the constants in [`store`] and [`pages`].
//!
//! [`fields`] is the form of log lines, in which all crates write theirs.
//!
//! Fields that end in `_s` are seconds, those in `_ms` milliseconds and those in `_gb` gigabytes.

#![deny(missing_docs)]

pub mod cloud;
pub mod fields;
pub mod json;
pub mod pages;
pub mod peers;
pub mod ranges;
pub mod store;
pub mod users;
pub mod workers;

pub use json::Json;
pub use ranges::Ranges;

/// A span or a point of time in whole microseconds.
pub type Micros = u64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// The largest body of a user's or worker's request, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// Converts seconds from the wire to whole microseconds; never negative.
pub fn micros_from_secs(secs: f64) -> Micros {
    if secs.is_finite() && secs > 0.0 { (secs * 1e6).round().min(1e18) as Micros } else { 0 }
}

/// Why a call brought no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was certainly not carried out and will not be.
    #[error("not carried out")]
    Refused,
    /// The call was not carried out either, since the store allows fewer in a second (429).
    #[error("too often")]
    Throttled,
    /// The call may have been carried out, or may still be.
    #[error("outcome unknown")]
    Unknown,
}
