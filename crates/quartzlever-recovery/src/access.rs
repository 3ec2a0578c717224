//! The environment in which a rebuild runs.
//!
//! [`StoreAccess`] is the only way by which this crate reaches a store, a clock and a log. No other
//! module performs I/O or reads a clock.

use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros};

use crate::events::RebuildEvent;

/// The store, clocks, log and random numbers of the process that runs a rebuild.
pub trait StoreAccess {
    /// Makes one call to the store.
    ///
    /// # Errors
    /// Returns the call's [`CallError`], which says whether the call may have been carried out.
    fn call(&mut self, call: &StoreCall) -> Result<StoreReply, CallError>;
    /// Returns the time of a monotonic clock, in microseconds since an arbitrary moment.
    fn now(&mut self) -> Micros;
    /// Returns the wall clock time, in microseconds since 1970.
    fn wall_time(&mut self) -> Micros;
    /// Blocks for this many microseconds.
    fn pause(&mut self, span: Micros);
    /// Writes an event to the operator's log.
    fn log(&mut self, event: RebuildEvent);
    /// Returns a random number that differs from those of all other rebuild attempts.
    fn random_number(&mut self) -> u64;
}
