//! The monotonic clock and the wall clock, in whole microseconds.
//!
//! Deadlines use the monotonic clock. The wall clock is only for times that outlive the process,
//! such as those in stored records.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzlever_wire::Micros;

/// The monotonic clock. It starts at `ORIGIN` instead of zero, so that times before the start of
/// the process can be represented too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

const ORIGIN: Micros = 1_000_000_000_000;

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the current time, which never decreases.
    pub fn now(&self) -> Micros {
        ORIGIN + self.start.elapsed().as_micros() as Micros
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch; 0 if the clock is set before
/// it.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
