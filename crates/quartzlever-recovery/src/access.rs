//! The environment that the rebuild runs in.
//!
//! This module owns the single trait by which the crate reaches a store, a clock and a log; no other module
//! performs I/O or reads a clock. It knows nothing of the rebuild itself.

use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros};

use crate::events::RebuildEvent;

/// Store, clocks, log and random numbers of the process that runs a rebuild.
pub trait StoreAccess {
    /// Makes one call to the store.
    ///
    /// # Errors
    /// The call's [`CallError`], which says whether the call may have been carried out.
    fn call(&mut self, call: &StoreCall) -> Result<StoreReply, CallError>;
    /// The steady clock, in microseconds since an arbitrary moment; it never goes back.
    fn now(&mut self) -> Micros;
    /// The time of day, in microseconds since 1970.
    fn wall(&mut self) -> Micros;
    /// Blocks for this many microseconds.
    fn pause(&mut self, span: Micros);
    /// Writes an event to the operator's log.
    fn log(&mut self, event: RebuildEvent);
    /// A random number that no other attempt has drawn.
    fn draw(&mut self) -> u64;
}
