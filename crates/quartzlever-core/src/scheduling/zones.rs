//! Zone constraints: the number of tasks that may still start in each zone, for jobs whose tasks
//! all run in one zone and for jobs that are spread over zones.
//!
//! Zones are counted within one partition, so such jobs do not move to other partitions.

use std::collections::BTreeMap;

use crate::jobs::partition_job::PartitionJob;
use crate::partition::Partition;

/// The number of tasks of a job that may still start in each zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCapacity {
    /// The remaining number by zone; `None` for jobs without a zone constraint.
    by_zone: Option<BTreeMap<String, u32>>,
    /// Whether all tasks must run in the zone of the first.
    one_zone: bool,
}

impl ZoneCapacity {
    /// Creates the capacity of a job without a zone constraint.
    pub fn unlimited() -> Self {
        ZoneCapacity { by_zone: None, one_zone: false }
    }

    /// Creates the capacity of a job that may start these numbers of tasks by zone, and in no other
    /// zone.
    pub fn limited(by_zone: BTreeMap<String, u32>, one_zone: bool) -> Self {
        ZoneCapacity { by_zone: Some(by_zone), one_zone }
    }

    /// Returns the number of tasks that may still start in a zone.
    pub fn remaining(&self, zone: &str) -> u32 {
        self.by_zone.as_ref().map_or(u32::MAX, |left| left.get(zone).copied().unwrap_or(0))
    }

    /// Subtracts `count` tasks that are planned for a zone.
    pub fn subtract(&mut self, zone: &str, count: u32) {
        if let Some(left) = self.by_zone.as_mut().and_then(|left| left.get_mut(zone)) {
            *left = left.saturating_sub(count);
        }
    }

    /// Subtracts `count` tasks that start in a zone. Where all tasks must run in one zone, the first
    /// start rules out all others.
    pub fn start(&mut self, zone: &str, count: u32) {
        self.subtract(zone, count);
        if self.one_zone
            && count > 0
            && let Some(left) = self.by_zone.as_mut()
        {
            left.retain(|other, _| other == zone);
        }
    }
}

/// Returns the number of tasks of a job that may start in each zone now.
pub(crate) fn zone_capacity(
    partition: &Partition,
    job: &PartitionJob,
    zones: &[String],
) -> ZoneCapacity {
    let spec = job.spec();
    if !spec.one_zone && !spec.spread {
        return ZoneCapacity::unlimited();
    }
    let tasks = active_tasks_by_zone(partition, &spec.id);
    let max_per_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let remaining = |zone: &str| max_per_zone.saturating_sub(tasks.get(zone).copied().unwrap_or(0));
    let with_capacity = |zone: &str| (zone.to_owned(), remaining(zone));
    let is_zone_chosen = spec.one_zone && !tasks.is_empty();
    let by_zone = if is_zone_chosen {
        tasks.keys().map(|zone| with_capacity(zone)).collect()
    } else {
        zones.iter().map(|zone| with_capacity(zone)).collect()
    };
    // A job that already runs in several zones, against its constraint, may go on in each.
    ZoneCapacity::limited(by_zone, spec.one_zone && !is_zone_chosen)
}

/// Returns the number of tasks of a job that may be running in each zone, without zones that have
/// none. Visits each attempt of the job once, and no others.
fn active_tasks_by_zone<'a>(partition: &'a Partition, id: &str) -> BTreeMap<&'a str, u32> {
    let mut tasks: BTreeMap<&str, u32> = BTreeMap::new();
    let names = partition.machines_by_job.get(id).into_iter().flatten();
    for machine in names.filter_map(|name| partition.machines.get(name)) {
        let mut visited = 0;
        let attempts = machine.attempts_of(id).inspect(|_| visited += 1);
        let count = attempts.filter(|(_, attempt)| !attempt.has_exited()).count() as u32;
        partition.work.add(1 + visited);
        if count > 0 {
            *tasks.entry(machine.record.zone.as_str()).or_default() += count;
        }
    }
    tasks
}
