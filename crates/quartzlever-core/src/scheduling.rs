//! Scheduling: placement of ready tasks on machines, and preemption of running ones.
//!
//! - `queue_order`: the order of the jobs, and the urgency of their starts.
//! - `feasibility`: the machines on which tasks of a job may start.
//! - `zones`: the number of tasks of a job that may start in each zone.
//! - `score`: the ranking of feasible machines.
//! - `assignment`: the assignment of ready tasks to machines.
//! - `distribution`: how many tasks of a job start on each of its feasible machines.
//! - `preemption`: the preemption of work of lower priority where free capacity is lacking.
//! - `reservations`: capacity that is reserved for certain jobs.
//! - `team_usage`: the resources that the tasks of each team use.
//! - `run_times`: estimates of the run times of tasks.
//! - [`free_capacity_index`]: an index of machines by their free processors.

mod assignment;
mod distribution;
mod feasibility;
pub mod free_capacity_index;
mod preemption;
mod queue_order;
mod reservations;
mod run_times;
mod score;
mod team_usage;
mod zones;

use quartzlever_wire::Micros;

use crate::config::Config;

#[cfg(test)]
pub(crate) use assignment::MAX_STARTS_PER_PLACEMENT;
pub use feasibility::constraints_allow;
#[cfg(test)]
pub(crate) use preemption::MAX_PREEMPTIONS;
pub use queue_order::{Urgency, urgency};
pub use reservations::Reservations;
pub use run_times::RunTimes;
pub(crate) use zones::{ZoneCapacity, zone_capacity};

/// Number of heartbeat intervals without a heartbeat after which a machine gets no new tasks.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Returns the time without a heartbeat after which a machine gets no new tasks.
pub(crate) fn max_silence(config: &Config) -> Micros {
    config.workers.heartbeat_interval * MAX_MISSED_HEARTBEATS
}
