//! The machines of a partition: their ownership, heartbeats, commands and task failures.
//!
//! - [`machine`], `attempt`, `resources`: the state of a machine and of the task attempts on it.
//! - `membership`: adding and removing machines of a partition, and the recovery barrier.
//! - `heartbeats`, `presence`: routing of heartbeats, and confirmation that an unknown machine
//!   exists.
//! - `listed_attempts`, `reconciliation`, `attempt_outcomes`: processing of worker statuses and of
//!   ended attempts.
//! - `call_queue`, `direct_calls`: the workers to call, and the calls.
//! - `commands`: the commands in calls and heartbeat answers.
//! - `invariants`: run-time checks of the commands.
//! - `ownership`: the machines' records in the store.
//! - `failures`: attribution of task failures to a job or to a machine.

pub(crate) mod attempt;
mod attempt_outcomes;
pub(crate) mod call_queue;
pub(crate) mod commands;
pub(crate) mod direct_calls;
pub(crate) mod failures;
pub(crate) mod heartbeats;
mod invariants;
mod listed_attempts;
pub mod machine;
mod membership;
pub(crate) mod ownership;
pub(crate) mod presence;
pub(crate) mod reconciliation;
pub(crate) mod resources;
