//! Score: how well a feasible machine suits a job.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use quartzlever_wire::users::JobSpec;

use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;

/// Whether an image is on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ImageState {
    Present,
    Fetching,
    Absent,
}

/// How well a machine suits a job, best first, by the fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Something has failed on it lately.
    suspect: bool,
    /// Replicas of the same service that it has.
    replicas: usize,
    image: ImageState,
    /// It is an ordinary machine, which is the dearer kind.
    ordinary: bool,
    /// Best fit: the processors that a task leaves over.
    cpus_left: f64,
}

impl Score {
    /// Best first. Processors are never NaN; if they were, the machines would count as equal.
    pub fn order(&self, other: &Score) -> Ordering {
        self.partial_cmp(other).unwrap_or(Ordering::Equal)
    }
}

/// Scores machines for one job.
pub(super) struct Scoring<'a> {
    spec: &'a JobSpec,
    need: Resources,
    /// Replicas by machine; empty for all but services.
    replicas: BTreeMap<&'a str, usize>,
}

impl<'a> Scoring<'a> {
    /// The scoring for a job as its tasks are placed now.
    pub fn new(job: &'a PartitionJob) -> Self {
        // Replicas of one service go to different machines, so that a loss takes one of them.
        let service = job.service();
        let mut replicas: BTreeMap<&str, usize> = BTreeMap::new();
        for assignment in job.assignments.values().filter(|_| service) {
            *replicas.entry(assignment.machine.as_str()).or_default() += 1;
        }
        Scoring { spec: job.spec(), need: job.need(), replicas }
    }

    /// How well a machine suits the job.
    pub fn score(&self, machine: &Machine) -> Score {
        let image = if machine.images.contains(&self.spec.image) {
            ImageState::Present
        } else if machine.pulls(&self.spec.image) {
            ImageState::Fetching
        } else {
            ImageState::Absent
        };
        Score {
            suspect: machine.failures.is_suspect(),
            replicas: self.replicas.get(machine.name.as_str()).copied().unwrap_or(0),
            image,
            ordinary: !machine.record.spot,
            cpus_left: machine.free.cpus - self.need.cpus,
        }
    }
}
