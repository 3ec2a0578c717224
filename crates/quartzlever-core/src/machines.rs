//! The machines of a partition: which partition owns each, their heartbeats and commands, and what their
//! failed tasks say of them.
//!
//! - [`machine`], `attempt`, `resources`: a machine as its partition knows it, and what may run on it.
//! - `membership`: which machines a partition has, and the recovery barrier.
//! - `heartbeats`, `presence`: where a heartbeat belongs, and whether an unknown machine is there.
//! - `reconciliation`, `attempt_outcomes`: what a status shows, and what the end of an attempt says.
//! - `call_queue`, `commands`: whom to call, and what to say in calls and answers.
//! - `ownership`: the machines' records in the store.
//! - `failures`: whether failed tasks speak against their job or their machine.

pub(crate) mod attempt;
mod attempt_outcomes;
pub(crate) mod call_queue;
pub(crate) mod commands;
pub(crate) mod failures;
pub(crate) mod heartbeats;
pub mod machine;
mod membership;
pub(crate) mod ownership;
pub(crate) mod presence;
pub(crate) mod reconciliation;
pub(crate) mod resources;
