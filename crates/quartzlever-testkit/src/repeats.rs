//! Requests that arrive once more after they were executed and answered.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Delays after which the copies of answered requests arrive, one after the other.
const DELAYS: [Duration; 7] = [
    Duration::from_millis(200),
    Duration::from_millis(2_500),
    Duration::from_millis(600),
    Duration::from_millis(12_000),
    Duration::from_millis(1_200),
    Duration::from_millis(5_000),
    Duration::from_millis(9_000),
];

/// Decides which answered requests arrive once more, and after which delay.
#[derive(Debug)]
pub struct RepeatSchedule {
    every: usize,
    /// Number of requests that were answered, and of those that the schedule skips at its start.
    answered: AtomicUsize,
}

impl RepeatSchedule {
    /// Creates a schedule by which one of `every` requests is repeated. `first_delay` is the index of
    /// the first delay, so that schedules differ.
    ///
    /// # Panics
    ///
    /// Panics if `every` is 0.
    pub fn new(every: usize, first_delay: usize) -> Self {
        assert!(every > 0, "one of 0 requests cannot be repeated");
        RepeatSchedule { every, answered: AtomicUsize::new(first_delay % DELAYS.len() * every) }
    }

    /// Returns the delay of the copy of a request that has just been answered, if there is one.
    pub fn next_delay(&self) -> Option<Duration> {
        let answered = self.answered.fetch_add(1, Ordering::Relaxed);
        let is_repeated = answered.is_multiple_of(self.every);
        is_repeated.then(|| DELAYS[answered / self.every % DELAYS.len()])
    }
}
