//! Rebuilding what the store has lost, without file, network, clock or thread of its own.
//!
//! Everything from outside comes through [`StoreAccess`] or as values; the caller reads and writes the files.
//!
//! - [`picture`]: all records that a controller has seen, complete up to a revision.
//! - [`format`](mod@format): the bytes of snapshots and of the log of the changes after them.
//! - [`history`]: the picture that the files of a directory hold, whatever is torn or corrupt.
//! - [`identity`]: which store this is, and the generation of its records.
//! - [`generation`]: translation between the keys and revisions of a generation and those of the store.
//! - [`guard`]: calls to the store whose answers are checked for a loss of data.
//! - [`detection`]: what counts as a loss.
//! - [`events`]: what a rebuild tells the log.
//! - [`plan`]: which records a rebuild writes.
//! - [`rebuild`]: the steps from the start of a process to an intact store.

#![deny(missing_docs)]

mod access;
pub mod detection;
pub mod events;
pub mod format;
pub mod generation;
pub mod guard;
pub mod history;
pub mod identity;
pub mod picture;
pub mod plan;
pub mod rebuild;

pub use access::StoreAccess;
