//! Detects that the store has lost data, and rebuilds the lost records.
//!
//! The crate opens no files, makes no network connections, reads no clock and starts no threads.
//! It reaches the store through [`StoreAccess`] and receives everything else as values. The caller
//! reads and writes the files.
//!
//! - [`records`]: the records that a controller knows, complete up to a revision.
//! - [`format`](mod@format): the encoding of snapshots, and of the log of the changes after them.
//! - [`history`]: the records that the files of a directory contain, even if some files are
//!   truncated or corrupt.
//! - [`identity`]: the keys under `recovery/`, among them the identity of the records and their
//!   generation.
//! - [`generation`]: translation between the keys and revisions of a generation and those of the
//!   store.
//! - [`guard`]: calls to the store whose replies are checked for a loss of data.
//! - [`detection`]: the rules by which data counts as lost.
//! - [`events`]: the log events of a rebuild.
//! - [`plan`]: the records that a rebuild writes.
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
pub mod plan;
pub mod rebuild;
pub mod records;

pub use access::StoreAccess;
