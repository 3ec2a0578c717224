//! The clocks of a process, in whole microseconds.
//!
//! Owns the two readings of time. Never mixes them: deadlines are of the steady clock, and the time of day
//! is only for what outlasts the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzlever_wire::Micros;

/// The steady clock. It does not start at zero, so that what lies before the start of the
/// process can be written as a time too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

const ORIGIN: Micros = 1_000_000_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock { start: Instant::now() }
    }

    /// The time since before the start, never going back.
    pub fn now(&self) -> Micros {
        ORIGIN + self.start.elapsed().as_micros() as Micros
    }
}

/// The time of day in microseconds since 1970.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
