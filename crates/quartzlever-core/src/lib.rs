//! The decisions of a quartzlever controller, without I/O, clock or thread.
//!
//! [`Core`] owns all state of a process. [`Core::step`] takes the time and a batch of
//! [`Command`]s and returns [`Effect`]s; every reply to an effect comes back as a command.
//! The same commands at the same times give the same effects.
//!
//! - [`events`]: what the log tells an operator.
//! - `outbox`, `calls`: everything that leaves, and the calls that wait for a reply.
//! - `router`: hands each command to the component that owns the state, and collects the effects.
//! - `leadership`: the lease, the authority to act, the keys of partitions (takeover, eviction, hand-back),
//!   and who reaches the store and the workers.
//! - `store`: the cache of the replicated records, how it is filled, reads by revision, the write budget.
//! - [`jobs`]: submissions, lookups, cancellations, and the record of each job.
//! - [`machines`]: which partition owns which machine, heartbeats, worker commands, reconciliation.
//! - `partition`: the queue and the machines of one controller name.
//! - `peers`: requests of other controllers, handed to the components that answer them.
//! - [`scheduling`]: which task goes where.
//! - [`stealing`]: the adaptive work stealing between partitions.
//! - [`autoscaling`]: scaling out, scaling in, and suspicion of machines.
//! - `upgrade`: what all controllers understand, and how that is raised while serving.

pub mod autoscaling;
mod calls;
mod config;
pub mod events;
pub mod jobs;
mod leadership;
pub mod machines;
mod messages;
mod outbox;
mod partition;
mod peers;
mod router;
pub mod scheduling;
pub mod stealing;
mod store;
mod table;
#[cfg(test)]
mod testing;
mod upgrade;

pub use config::{Config, Operator, ServiceLevelObjective, Team, WorkerTimes};
pub use events::LogEvent;
pub use leadership::awaited::Awaited;
pub use messages::{Answer, CallId, CallPriority, Command, Effect, LogLevel, RequestId};
pub use router::Core;
pub use upgrade::VERSION;
