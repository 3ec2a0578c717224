//! Reports the unmet conditions that keep this process, or one of its partitions, from making
//! progress.

use crate::leadership::awaited::Awaited;
use crate::router::Core;

impl Core {
    /// Reports whether this process acts as the leader of `partition` now.
    pub fn acts_for(&self, partition: &str) -> bool {
        self.may_act() && self.partitions.get(partition).is_some_and(|p| p.active())
    }

    /// Returns all unmet conditions that this process waits for.
    pub fn awaited(&self) -> Vec<Awaited> {
        let conditions = [
            (!self.holds_lease(), Awaited::Lease),
            (!self.has_announced(), Awaited::Announcement),
            (!self.cache.loaded(), Awaited::Records),
            (self.holds_lease() && !self.may_act(), Awaited::FreshView),
            (self.types.is_none(), Awaited::Catalogue),
            (self.partitions.is_empty(), Awaited::Partition),
            (self.write_budget.exhausted(), Awaited::ChangeBudget),
        ];
        let mut awaited: Vec<Awaited> = conditions
            .into_iter()
            .filter(|(unmet, _)| *unmet)
            .map(|(_, condition)| condition)
            .collect();
        awaited.extend(self.held_without_leadership());
        awaited.extend(self.awaited_by_partitions());
        awaited
    }

    /// Returns partitions whose keys name this process although it does not lead them.
    fn held_without_leadership(&self) -> impl Iterator<Item = Awaited> {
        let held_without_leadership = self.cache.partitions().iter().filter(|(name, held)| {
            held.record == *self.partition_keys.own_record() && !self.partitions.contains_key(*name)
        });
        held_without_leadership.map(|(name, _)| Awaited::Unattended { partition: name.clone() })
    }

    /// Returns the first unmet condition of each partition that this process leads.
    fn awaited_by_partitions(&self) -> impl Iterator<Item = Awaited> {
        self.partitions.values().filter_map(|partition| {
            let name = partition.name.clone();
            let unverified = partition.machines.values().filter(|m| !m.verified).count();
            let ready: u32 = partition.jobs.values().map(|job| job.ready.len()).sum();
            if !partition.active() {
                Some(Awaited::PartitionRecords { partition: name })
            } else if !partition.recovery_complete {
                Some(Awaited::Recovery { partition: name, machines: unverified })
            } else if ready > 0
                && partition.machines.is_empty()
                && partition.autoscaling.has_no_pending_machines()
            {
                Some(Awaited::Machines { partition: name, ready })
            } else {
                None
            }
        })
    }
}
