//! The wire formats of quartzlever. Clients can use this package too.
//!
//! The modules [`users`], [`workers`], [`cloud`], [`store`] (with [`pages`]) and [`peers`] each
//! hold the serde types of one protocol. Identifiers are the usual terms (task, attempt,
//! incarnation, term, lease). Serde attributes give the names on the wire and in the store, and the
//! constants in [`store`] and [`pages`] give the keys.
//!
//! The module [`fields`] formats the log lines of all crates.
//!
//! The unit of a field follows from its suffix: `_s` for seconds, `_ms` for milliseconds and `_gb`
//! for gigabytes.

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

/// A duration or a point in time, in whole microseconds.
pub type Micros = u64;

/// One second, in [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// The maximum length of the body of a user's or worker's request, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// Converts seconds from the wire to whole microseconds. Negative and non-finite values become 0.
pub fn micros_from_secs(secs: f64) -> Micros {
    if secs.is_finite() && secs > 0.0 { (secs * 1e6).round().min(1e18) as Micros } else { 0 }
}

/// The reason why a call returned no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was not carried out and will not be.
    #[error("not carried out")]
    Refused,
    /// The call was not carried out, because it exceeds the store's rate limit (429).
    #[error("too often")]
    Throttled,
    /// The call may have been carried out, or may be carried out later.
    #[error("outcome unknown")]
    Unknown,
}
