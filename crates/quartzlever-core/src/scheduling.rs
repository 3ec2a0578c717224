//! Which task goes where, and which running task is preempted.

pub mod free_capacity_index;
pub mod placement;
