//! The rebuild: from the start of a process to a store that it may work with.
//!
//! A controller that finds the store intact, or rebuilt by another controller, continues at once. Otherwise
//! every controller announces itself as a candidate with what it could rebuild the records from. The
//! candidate with the latest records takes a lock that is bound to its lease, writes the records, and makes
//! them the next generation by one conditional write.
//!
//! Invariant: the generation changes by that one write only, on condition of the lock and of the identity
//! that was read before. A controller that dies at any earlier step has changed nothing, and the next
//! candidate starts over in a namespace of its own.
//!
//! - `state_machine`: the states of the process and the transitions between them.
//! - `election`: the stages of a candidate, up to the lock.
//! - `writer`: writing the next generation as the leader of the lock.
//! - `successor`: the identity of the next generation, and what of the store's records can be compared.
//! - `acceptance`: taking over a generation that serves.
//! - `contribution`: what a controller that was away knows and the records lack.
//! - `extras`: the last changes that candidates tell each other of.
//! - `inheritance`: final states that are written after the next generation serves.
//! - `session`: lease, commits and progress notes of the process.
//! - `batches`: changes in transactions that the store takes.
//! - `listing`: reading whole prefixes of the store.
//! - `settings`, `outcome`: what goes into a rebuild and what comes out.

mod acceptance;
mod batches;
mod contribution;
mod election;
mod extras;
mod inheritance;
mod listing;
mod outcome;
mod session;
mod settings;
mod state_machine;
mod successor;
mod writer;

pub use inheritance::restore_final_states;
pub use listing::{list_generation, observe};
pub use outcome::{Opened, RebuildError};
pub use settings::{Local, RebuildSettings};
pub use state_machine::open;
