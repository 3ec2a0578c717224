//! The ranking of feasible machines for a job.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use quartzlever_wire::users::JobSpec;

use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;

/// The state of an image on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ImageState {
    Present,
    Pulling,
    Absent,
}

/// The score of a machine for a job, compared field by field in the order of declaration; lower
/// scores are better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Whether failures on the machine may be its own fault.
    suspect: bool,
    /// Number of replicas of the same service on the machine.
    replicas: usize,
    image: ImageState,
    /// Whether the machine is not a spot instance, and so more expensive.
    on_demand: bool,
    /// Processors that remain free beside the task (best fit).
    remaining_cpus: f64,
}

impl Score {
    /// Compares two scores, the better one first. Free processors are never NaN; if they were, the
    /// scores would count as equal.
    pub fn compare(&self, other: &Score) -> Ordering {
        self.partial_cmp(other).unwrap_or(Ordering::Equal)
    }
}

/// Scores machines for one job.
pub(super) struct Scoring<'a> {
    spec: &'a JobSpec,
    need: Resources,
    /// Number of replicas by machine; empty for jobs that are not services.
    replicas: BTreeMap<&'a str, usize>,
}

impl<'a> Scoring<'a> {
    /// Creates the scoring for a job with its present assignments.
    pub fn new(job: &'a PartitionJob) -> Self {
        // Replicas of a service are spread over machines, so that the loss of a machine stops one
        // of them.
        let service = job.is_service();
        let mut replicas: BTreeMap<&str, usize> = BTreeMap::new();
        for assignment in job.assignments.values().filter(|_| service) {
            *replicas.entry(assignment.machine.as_str()).or_default() += 1;
        }
        Scoring { spec: job.spec(), need: job.required_resources(), replicas }
    }

    /// Returns the score of a machine for the job.
    pub fn score(&self, machine: &Machine) -> Score {
        let image = if machine.images.contains(&self.spec.image) {
            ImageState::Present
        } else if machine.is_pulling(&self.spec.image) {
            ImageState::Pulling
        } else {
            ImageState::Absent
        };
        Score {
            suspect: machine.failures.is_suspect(),
            replicas: self.replicas.get(machine.name.as_str()).copied().unwrap_or(0),
            image,
            on_demand: !machine.record.spot,
            remaining_cpus: machine.free.cpus - self.need.cpus,
        }
    }
}
