//! The machines of a partition: which partition owns each, their heartbeats and commands, and what their
//! failed tasks say of them.

pub(crate) mod attempt;
mod attempt_outcomes;
pub(crate) mod commands;
pub(crate) mod failures;
pub(crate) mod heartbeats;
pub mod machine;
mod membership;
pub(crate) mod ownership;
pub(crate) mod presence;
pub(crate) mod reconciliation;
pub(crate) mod resources;
