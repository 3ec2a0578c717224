//! Zone constraints: the number of tasks that may still start in each zone, for jobs whose tasks
//! all run in one zone and for jobs that are spread over zones.
//!
//! Zones are counted within one partition, so such jobs do not move to other partitions.

use std::collections::BTreeMap;

use crate::jobs::partition_job::PartitionJob;
use crate::partition::Partition;

/// The number of tasks of a job that may still start in each zone; unlimited for jobs without a
/// zone constraint.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCapacity(Option<BTreeMap<String, u32>>);

impl ZoneCapacity {
    /// Returns the number of tasks that may still start in a zone.
    pub fn remaining(&self, zone: &str) -> u32 {
        self.0.as_ref().map_or(u32::MAX, |left| left.get(zone).copied().unwrap_or(0))
    }

    /// Subtracts `count` tasks that are going to start in a zone.
    pub fn subtract(&mut self, zone: &str, count: u32) {
        if let Some(left) = self.0.as_mut().and_then(|left| left.get_mut(zone)) {
            *left = left.saturating_sub(count);
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
        return ZoneCapacity(None);
    }
    let tasks = active_tasks_by_zone(partition, &spec.id);
    let max_per_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let remaining = |zone: &str| max_per_zone.saturating_sub(tasks.get(zone).copied().unwrap_or(0));
    let with_capacity = |zone: &str| (zone.to_owned(), remaining(zone));
    let is_zone_chosen = spec.one_zone && !tasks.is_empty();
    ZoneCapacity(Some(if is_zone_chosen {
        tasks.keys().map(|zone| with_capacity(zone)).collect()
    } else {
        zones.iter().map(|zone| with_capacity(zone)).collect()
    }))
}

/// Returns the number of tasks of a job that may be running in each zone, without zones that have
/// none.
fn active_tasks_by_zone<'a>(partition: &'a Partition, id: &str) -> BTreeMap<&'a str, u32> {
    let mut tasks: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in partition.machines.values() {
        partition.work.add(1 + machine.attempts.len());
        let attempts = machine.attempts.iter();
        let count = attempts
            .filter(|(key, attempt)| key.task.job == *id && !attempt.has_exited())
            .count() as u32;
        if count > 0 {
            *tasks.entry(machine.record.zone.as_str()).or_default() += count;
        }
    }
    tasks
}

impl Partition {
    /// Reports whether a job with a zone constraint may start another task in the zone of a
    /// machine.
    pub(super) fn zone_has_capacity(&self, zones: &[String], id: &str, machine_name: &str) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(machine_name))
        else {
            return false;
        };
        zone_capacity(self, job, zones).remaining(&machine.record.zone) > 0
    }
}
