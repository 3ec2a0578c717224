//! Rebuilding what the state service has lost, without file, network, clock or thread of its own.
//!
//! - [`picture`]: all records that a controller has seen, complete up to a revision.
//! - [`format`](mod@format): the bytes of snapshots and of the log of the changes after them.
//! - [`history`]: the picture that the files of a directory hold, whatever is torn or corrupt.
//! - [`identity`]: which store this is, and the generation of its records.
//! - [`generation`]: keys and revisions of a generation, beside those of the store.
//! - [`guard`]: calls to the state service, none of whose answers may come from a store that has lost data.
//! - [`detection`]: what counts as a loss.
//! - [`plan`]: which records a rebuild writes.
//! - [`rebuild`]: the steps from the start of a process to an intact store.

pub mod detection;
pub mod format;
pub mod generation;
pub mod guard;
pub mod history;
pub mod identity;
pub mod picture;
pub mod plan;
pub mod rebuild;

use quartzlever_wire::state::{StateCall, StateReply};
use quartzlever_wire::{CallError, Micros};

/// What the steps of this crate need from outside.
pub trait StateAccess {
    /// Makes one call to the state service.
    fn call(&mut self, call: &StateCall) -> Result<StateReply, CallError>;
    /// The steady clock.
    fn now(&mut self) -> Micros;
    /// The time of day.
    fn wall(&mut self) -> Micros;
    /// Waits.
    fn pause(&mut self, span: Micros);
    /// Leaves a line in the log.
    fn note(&mut self, line: String);
    /// A number that no other attempt has drawn.
    fn draw(&mut self) -> u64;
}
