//! What a rebuild tells its operator: the events of the log.
//!
//! Each event has a name in snake case and fields; `Display` writes the fields as `key=value` pairs in a fixed
//! order. All events have the level `info`. Times are written in milliseconds, with `_ms` in the key.

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::Micros;
use quartzlever_wire::fields::Fields;
use quartzlever_wire::store::StoreCall;

use crate::detection::Loss;
use crate::plan::Summary;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// One event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RebuildEvent {
    /// The store does not answer; it is asked again.
    StoreAwaited,
    /// A rebuild waits for what other controllers know.
    ControllersAwaited {
        /// What was lost; none at the first start.
        loss: Option<Loss>,
        /// Names of the controllers that have not announced themselves.
        controllers: Vec<String>,
    },
    /// Another controller has the latest records and rebuilds.
    RebuildLeftTo {
        /// Name of that controller.
        controller: String,
    },
    /// Another controller's attempt to rebuild has not ended yet.
    RebuildLockAwaited {
        /// Name of the controller that holds the lock.
        controller: String,
    },
    /// A rebuild waits for the last changes that other controllers know.
    LastChangesAwaited {
        /// Names of these controllers.
        controllers: Vec<String>,
    },
    /// The own log may lack what was done last: no rebuild before no task is on any machine.
    WorkerLeasesAwaited {
        /// How long that takes, in microseconds.
        duration: Micros,
    },
    /// Records of the next generation were written.
    RebuildProgress {
        /// Number of that generation.
        generation: u32,
        /// Records that were written so far.
        written: usize,
        /// Records that are to be written.
        total: usize,
    },
    /// The next generation serves.
    GenerationRebuilt {
        /// Its number.
        generation: u32,
        /// How long the rebuild took, in microseconds.
        duration: Micros,
        /// What has become of the records.
        summary: Summary,
    },
    /// A generation begins with the records that there are, since no controller has any history.
    GenerationFounded {
        /// Identity of the cluster.
        cluster: String,
        /// Number of the generation.
        generation: u32,
    },
    /// A generation that lacks records is given up.
    GenerationGivenUp {
        /// Its number.
        generation: u32,
        /// What was lost.
        loss: Loss,
    },
    /// The others have not written all final states yet.
    FinalStatesAwaited,
    /// Jobs that were known to this controller alone were handed in.
    JobsContributed {
        /// How many.
        count: usize,
    },
    /// The store does not take what this controller hands in.
    ContributionRefused {
        /// The call that it did not take.
        call: StoreCall,
    },
}

impl RebuildEvent {
    /// Name of the event, by which logs are searched.
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

/// The fields alone, without level and name.
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
