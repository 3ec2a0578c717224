//! The decision logic of a quartzlever controller, without I/O, clocks or threads.
//!
//! [`Core`] owns all state of a process. [`Core::step`] takes the current time and a batch of
//! [`Command`]s and returns [`Effect`]s; every reply to an effect arrives as a command. The core is
//! deterministic: the same commands at the same times produce the same effects.
//!
//! - [`events`]: log events for operators.
//! - `outbox`, `calls`: outgoing calls, answers and log events, and the calls that await a reply.
//! - `router`: dispatch of commands to the components that own the state, and collection of the
//!   effects.
//! - `leadership`: the lease, the authority to act, the keys of partitions (takeover, eviction,
//!   hand-back), and the reachability of the store and of the workers.
//! - `store`: the cache of the replicated records, its listing and watch, reads by revision, the
//!   write budget.
//! - [`jobs`]: submissions, lookups, cancellations, and the record of each job.
//! - [`machines`]: ownership of machines by partitions, heartbeats, worker commands,
//!   reconciliation.
//! - `partition`: the job queue and the machines of one partition.
//! - `peers`: dispatch of requests and answers of other controllers.
//! - [`scheduling`]: placement of tasks on machines, and preemption.
//! - [`stealing`]: adaptive work stealing between partitions.
//! - [`autoscaling`]: scaling out, scaling in, and detection of faulty machines.
//! - `upgrade`: the cluster version, which all controllers understand, and raising it while
//!   serving.
//! - `work`: counts of the work of a step.

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
mod work;

pub use config::{Config, Operator, ServiceLevelObjective, Team, WorkerTimes};
pub use events::LogEvent;
pub use leadership::unmet_conditions::UnmetCondition;
pub use messages::{Answer, CallId, CallPriority, Command, Effect, LogLevel, RequestId};
pub use router::Core;
pub use upgrade::VERSION;
pub use work::{Activity, WorkCounter, WorkSummary};
