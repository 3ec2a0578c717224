//! The decisions of quartzlever, without I/O, clock or thread.
//!
//! [`Core`] owns all state of a process. [`Core::step`] takes the time and a batch of
//! [`Command`]s and returns [`Effect`]s; every answer to an effect comes back as a command.
//! The same commands at the same times give the same effects.
//!
//! - [`jobs`]: submissions, lookups, cancellations, and the record of each job.
//! - `leases`, `cache`, `listing`: the lease, partitions that change hands, and what is known of the records.
//! - `lookups`, `ledger`, `claims`: what is asked of and written to the state service, and how often.
//! - `partition`, `reports`: a partition's queue, its holder, its machines' reports, and recovery.
//! - `cluster`: what all controllers understand, and how that is raised while serving.
//! - `reachability`: whether this node hears its workers, and parts given up to a peer that does.
//! - [`placement`]: which task goes where.
//! - [`free_room_index`]: the free room of a partition's machines.
//! - [`stealing`]: the adaptive work stealing between parts.
//! - [`fleet`]: renting, returning, and suspicion of machines.
//! - `diagnosis`: what a controller waits for before it can act.

mod cache;
mod claims;
mod cluster;
mod config;
mod diagnosis;
mod engine;
mod failures;
pub mod fleet;
pub mod free_room_index;
pub mod jobs;
mod leases;
mod ledger;
mod listing;
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
pub use diagnosis::Awaited;
pub use engine::Core;
pub use messages::{Answer, Command, Effect, Lane, RequestId, Token, Weight};
