//! Zones: how many more tasks of a gang or a spread job may start in each.
//!
//! Zones are counted within one partition; that is why such jobs stay where they are.

use std::collections::BTreeMap;

use crate::jobs::partition_job::PartitionJob;
use crate::partition::Partition;

/// How many more tasks of a job may start in each zone; without bounds for most jobs.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCapacity(Option<BTreeMap<String, u32>>);

impl ZoneCapacity {
    /// How many more tasks may start in a zone.
    pub fn left(&self, zone: &str) -> u32 {
        self.0.as_ref().map_or(u32::MAX, |left| left.get(zone).copied().unwrap_or(0))
    }

    /// So many tasks are going to start in a zone.
    pub fn take(&mut self, zone: &str, count: u32) {
        if let Some(left) = self.0.as_mut().and_then(|left| left.get_mut(zone)) {
            *left = left.saturating_sub(count);
        }
    }
}

/// How many more tasks of the job may start in each zone now.
pub(crate) fn zone_capacity(
    partition: &Partition,
    job: &PartitionJob,
    zones: &[String],
) -> ZoneCapacity {
    let spec = job.spec();
    if !spec.one_zone && !spec.spread {
        return ZoneCapacity(None);
    }
    let used = tasks_by_zone(partition, &spec.id);
    if spec.one_zone && !used.is_empty() {
        return ZoneCapacity(Some(used.keys().map(|z| ((*z).to_owned(), u32::MAX)).collect()));
    }
    let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let left = |zone: &String| most.saturating_sub(used.get(zone.as_str()).copied().unwrap_or(0));
    ZoneCapacity(Some(zones.iter().map(|zone| (zone.clone(), left(zone))).collect()))
}

/// How many tasks of a job may be running in each zone; zones without any are left out.
fn tasks_by_zone<'a>(partition: &'a Partition, id: &str) -> BTreeMap<&'a str, u32> {
    let mut used: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in partition.machines.values() {
        let attempts = machine.attempts.iter();
        let count = attempts
            .filter(|(key, attempt)| key.task.job == *id && !attempt.exited())
            .count() as u32;
        if count > 0 {
            *used.entry(machine.record.zone.as_str()).or_default() += count;
        }
    }
    used
}

impl Partition {
    /// Whether a task of a job that is bound to zones may start on this machine.
    pub(super) fn zone_open(&self, zones: &[String], id: &str, machine_name: &str) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(machine_name))
        else {
            return false;
        };
        zone_capacity(self, job, zones).left(&machine.record.zone) > 0
    }
}
