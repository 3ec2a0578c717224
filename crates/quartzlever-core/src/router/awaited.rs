//! Which conditions are not met without which this process, or one of its partitions, cannot go on.

use crate::leadership::awaited::Awaited;
use crate::router::Core;

impl Core {
    /// Whether this process acts for a partition now.
    pub fn acts_for(&self, partition: &str) -> bool {
        self.may_act() && self.partitions.get(partition).is_some_and(|p| p.active())
    }

    /// Everything that this process waits for.
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
        let mut awaited: Vec<Awaited> =
            conditions.into_iter().filter(|(unmet, _)| *unmet).map(|(_, what)| what).collect();
        awaited.extend(self.unattended());
        awaited.extend(self.awaited_by_partitions());
        awaited
    }

    /// Partitions whose keys name this process although it does not act for them.
    fn unattended(&self) -> impl Iterator<Item = Awaited> {
        let ours = self.cache.partitions().iter().filter(|(name, held)| {
            held.record == *self.partition_keys.own_record() && !self.partitions.contains_key(*name)
        });
        ours.map(|(name, _)| Awaited::Unattended { partition: name.clone() })
    }

    fn awaited_by_partitions(&self) -> impl Iterator<Item = Awaited> {
        self.partitions.values().filter_map(|held| {
            let partition = held.name.clone();
            let unverified = held.machines.values().filter(|m| !m.verified).count();
            let ready: u32 = held.jobs.values().map(|job| job.ready.len()).sum();
            if !held.active() {
                Some(Awaited::PartitionRecords { partition })
            } else if !held.recovery_complete {
                Some(Awaited::Recovery { partition, machines: unverified })
            } else if ready > 0
                && held.machines.is_empty()
                && held.autoscaling.has_no_pending_machines()
            {
                Some(Awaited::Machines { partition, ready })
            } else {
                None
            }
        })
    }
}
