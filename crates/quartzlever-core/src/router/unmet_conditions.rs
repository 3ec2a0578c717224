//! Reports the unmet conditions that keep this process, or one of its partitions, from making
//! progress.

use crate::leadership::unmet_conditions::UnmetCondition;
use crate::router::Core;

impl Core {
    /// Reports whether this process acts as the leader of `partition` now.
    pub fn is_acting_leader_of(&self, partition: &str) -> bool {
        self.may_act() && self.partitions.get(partition).is_some_and(|p| p.is_loaded())
    }

    /// Returns all unmet conditions that this process waits for.
    pub fn unmet_conditions(&self) -> Vec<UnmetCondition> {
        let conditions = [
            (!self.holds_lease(), UnmetCondition::Lease),
            (!self.has_announced(), UnmetCondition::Announcement),
            (!self.cache.is_loaded(), UnmetCondition::Records),
            (self.holds_lease() && !self.may_act(), UnmetCondition::FreshView),
            (self.types.is_none(), UnmetCondition::Catalogue),
            (self.partitions.is_empty(), UnmetCondition::Partition),
            (self.write_budget.is_exhausted(), UnmetCondition::WriteBudget),
        ];
        let mut unmet: Vec<UnmetCondition> = conditions
            .into_iter()
            .filter(|(is_unmet, _)| *is_unmet)
            .map(|(_, condition)| condition)
            .collect();
        unmet.extend(self.held_without_leadership());
        unmet.extend(self.unmet_by_partitions());
        unmet
    }

    /// Returns partitions whose keys name this process although it does not lead them.
    fn held_without_leadership(&self) -> impl Iterator<Item = UnmetCondition> {
        let held_without_leadership = self.cache.partitions().iter().filter(|(name, held)| {
            held.record == *self.partition_keys.own_record() && !self.partitions.contains_key(*name)
        });
        held_without_leadership
            .map(|(name, _)| UnmetCondition::HeldWithoutLeadership { partition: name.clone() })
    }

    /// Returns the first unmet condition of each partition that this process leads.
    fn unmet_by_partitions(&self) -> impl Iterator<Item = UnmetCondition> {
        self.partitions.values().filter_map(|partition| {
            let name = partition.name.clone();
            let unverified = partition.machines.values().filter(|m| !m.verified).count();
            let ready: u32 = partition.jobs.values().map(|job| job.ready.len()).sum();
            if !partition.is_loaded() {
                Some(UnmetCondition::PartitionRecords { partition: name })
            } else if !partition.recovery_complete {
                Some(UnmetCondition::Recovery { partition: name, machines: unverified })
            } else if ready > 0
                && partition.machines.is_empty()
                && partition.fleet.has_no_pending_machines()
            {
                Some(UnmetCondition::Machines { partition: name, ready })
            } else {
                None
            }
        })
    }
}
