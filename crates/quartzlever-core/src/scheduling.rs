//! Which task goes where, and which running task is preempted.
//!
//! - `queue_order`: which job goes first, and how much its start presses.
//! - `feasibility`: on which machines its tasks may start, `zones` in which zones.
//! - `score`: which of these machines suits it best.
//! - `assignment`: gives ready tasks to machines.
//! - `preemption`: stops work of lower rank where there is no room.
//! - `reservations`: what is kept free, and for whom.
//! - `run_times`: how long tasks will probably run.
//! - [`free_capacity_index`]: free room by kind of machine.

mod assignment;
mod feasibility;
pub mod free_capacity_index;
mod preemption;
mod queue_order;
mod reservations;
mod run_times;
mod score;
mod zones;

use quartzlever_wire::Micros;

use crate::config::Config;

pub use feasibility::offer_allowed;
pub use queue_order::{Urgency, urgency};
pub use reservations::Reservations;
pub use run_times::RunTimes;
pub(crate) use zones::{ZoneCapacity, zone_capacity};

/// A machine that was not heard of for so many heartbeat intervals gets no new tasks.
const SILENT_HEARTBEATS: u64 = 3;

/// How long a machine may be silent and still get new tasks.
pub(crate) fn silence_limit(config: &Config) -> Micros {
    config.workers.heartbeat_interval * SILENT_HEARTBEATS
}
