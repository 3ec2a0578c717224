//! The log events of a rebuild, for operators.
//!
//! Each event has a name in snake case and fields. `Display` writes the fields as `key=value` pairs
//! in a fixed order. All events have the level `info`. Durations are written in milliseconds, with
//! `_ms` in the key.

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::Micros;
use quartzlever_wire::fields::Fields;
use quartzlever_wire::store::StoreCall;

use crate::detection::Loss;
use crate::plan::Summary;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A log event of a rebuild.
#[derive(Clone, Debug, PartialEq)]
pub enum RebuildEvent {
    /// The store does not reply; the call is repeated.
    StoreAwaited,
    /// The rebuild waits for other controllers to announce themselves, since they may have later
    /// records.
    ControllersAwaited {
        /// The loss; `None` at the first start.
        loss: Option<Loss>,
        /// Names of the controllers that have not announced themselves.
        controllers: Vec<String>,
    },
    /// Another controller has the latest records and performs the rebuild.
    RebuildLeftTo {
        /// Name of that controller.
        controller: String,
    },
    /// Another controller holds the lock, and its attempt to rebuild has not ended yet.
    RebuildLockAwaited {
        /// Name of the controller that holds the lock.
        controller: String,
    },
    /// The rebuild waits for other controllers to publish the last changes that they know.
    LastChangesAwaited {
        /// Names of these controllers.
        controllers: Vec<String>,
    },
    /// The logs of the controllers may lack their last actions, so the rebuild waits until the
    /// leases of all workers have expired and no task runs on any machine.
    WorkerLeasesAwaited {
        /// Length of the wait, in microseconds.
        duration: Micros,
    },
    /// Records of the next generation were written.
    RebuildProgress {
        /// Number of the next generation.
        generation: u32,
        /// Number of changes written so far.
        written: usize,
        /// Number of changes to write in total.
        total: usize,
    },
    /// The rebuild is complete, and the next generation is serving.
    GenerationRebuilt {
        /// Number of the generation.
        generation: u32,
        /// Duration of the rebuild, in microseconds.
        duration: Micros,
        /// Counts of the records by what the rebuild did with them.
        summary: Summary,
    },
    /// A generation begins with the records in the store as they are, since no controller has a
    /// history.
    GenerationFounded {
        /// Identity of the cluster.
        cluster: String,
        /// Number of the generation.
        generation: u32,
    },
    /// A generation that lacks records is given up.
    GenerationGivenUp {
        /// Number of the generation.
        generation: u32,
        /// The loss.
        loss: Loss,
    },
    /// Other controllers have not written all final states yet.
    FinalStatesAwaited,
    /// This controller has added jobs that only it knew to the records.
    JobsContributed {
        /// Number of jobs.
        count: usize,
    },
    /// The store has rejected a job that this controller tried to add to the records.
    ContributionRefused {
        /// The rejected call.
        call: StoreCall,
    },
}

impl RebuildEvent {
    /// Returns the event's name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            RebuildEvent::StoreAwaited => "store_awaited",
            RebuildEvent::ControllersAwaited { .. } => "controllers_awaited",
            RebuildEvent::RebuildLeftTo { .. } => "rebuild_left_to",
            RebuildEvent::RebuildLockAwaited { .. } => "rebuild_lock_awaited",
            RebuildEvent::LastChangesAwaited { .. } => "last_changes_awaited",
            RebuildEvent::WorkerLeasesAwaited { .. } => "worker_leases_awaited",
            RebuildEvent::RebuildProgress { .. } => "rebuild_progress",
            RebuildEvent::GenerationRebuilt { .. } => "generation_rebuilt",
            RebuildEvent::GenerationFounded { .. } => "generation_founded",
            RebuildEvent::GenerationGivenUp { .. } => "generation_given_up",
            RebuildEvent::FinalStatesAwaited => "final_states_awaited",
            RebuildEvent::JobsContributed { .. } => "jobs_contributed",
            RebuildEvent::ContributionRefused { .. } => "contribution_refused",
        }
    }
}

/// Writes the fields only, without level and name.
impl Display for RebuildEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let fields = Fields::new(f);
        let fields = match self {
            RebuildEvent::StoreAwaited | RebuildEvent::FinalStatesAwaited => fields,
            RebuildEvent::ControllersAwaited { loss, controllers } => {
                let fields = match loss {
                    Some(loss) => fields.field("reason", loss),
                    None => fields.field("reason", "the first start"),
                };
                fields.list("controllers", controllers)
            }
            RebuildEvent::RebuildLeftTo { controller }
            | RebuildEvent::RebuildLockAwaited { controller } => {
                fields.field("controller", controller)
            }
            RebuildEvent::LastChangesAwaited { controllers } => {
                fields.list("controllers", controllers)
            }
            RebuildEvent::WorkerLeasesAwaited { duration } => {
                fields.field("duration_ms", duration / MICROS_PER_MILLISECOND)
            }
            RebuildEvent::RebuildProgress { generation, written, total } => fields
                .field("generation", generation)
                .field("written", written)
                .field("total", total),
            RebuildEvent::GenerationRebuilt { generation, duration, summary } => {
                let fields = fields
                    .field("generation", generation)
                    .field("duration_ms", duration / MICROS_PER_MILLISECOND);
                summary.add_to(fields)
            }
            RebuildEvent::GenerationFounded { cluster, generation } => {
                fields.field("cluster", cluster).field("generation", generation)
            }
            RebuildEvent::GenerationGivenUp { generation, loss } => {
                fields.field("generation", generation).field("reason", loss)
            }
            RebuildEvent::JobsContributed { count } => fields.field("count", count),
            RebuildEvent::ContributionRefused { call } => {
                fields.field("call", format_args!("{call:?}"))
            }
        };
        fields.finish()
    }
}

#[cfg(test)]
mod tests;
