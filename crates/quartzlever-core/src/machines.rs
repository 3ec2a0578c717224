//! The machines of a partition: which partition owns each, their heartbeats and commands, and what their
//! failed tasks say of them.

pub(crate) mod failures;
pub(crate) mod heartbeats;
pub mod machine;
pub(crate) mod ownership;
