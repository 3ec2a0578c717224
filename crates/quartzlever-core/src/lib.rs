//! The decisions of quartzlever, without I/O, clock or thread.
//!
//! [`Core`] owns all state of a process. [`Core::step`] takes the time and a batch of
//! [`Command`]s and returns [`Effect`]s; every answer to an effect comes back as a command.
//! The same commands at the same times give the same effects.
//!
//! - [`jobs`]: submissions, lookups, cancellations, and the record of each job.
//! - `lookups`, `ledger`, `claims`: what is asked of and written to the state service, and how often.
//! - [`part`]: a part's queue, its holder, its machines' reports, and recovery.
//! - `cluster`: what all controllers understand, and how that is raised while serving.
//! - `hearing`: whether this node hears its workers, and parts given up to a peer that does.
//! - [`placement`]: which task goes where.
//! - [`rooms`]: the free room of a part's machines, as an index.
//! - [`stealing`]: the adaptive work stealing between parts.
//! - [`fleet`]: renting, returning, and suspicion of machines.

mod claims;
mod cluster;
mod config;
mod engine;
pub mod fleet;
pub mod free_room_index;
pub mod jobs;
mod leases;
mod ledger;
mod lookups;
pub mod machine;
mod messages;
pub mod pages;
mod partition;
pub mod placement;
mod reachability;
mod reports;
pub mod stealing;
#[cfg(test)]
mod testing;

pub use cluster::VERSION;
pub use config::{Config, Objective, Operator, Team, WorkerTimes};
pub use engine::Core;
pub use messages::{Answer, Command, Effect, Lane, RequestId, Token, Weight};
