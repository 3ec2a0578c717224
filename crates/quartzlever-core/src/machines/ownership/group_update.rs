//! Planning the write of one group: pending changes, within the size limits, become one
//! transaction.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Json;
use quartzlever_wire::store::{
    GROUP_SIZE_KEY, MachineGroupRecord, MachineRecord, MachineRecords, Txn, large_group_key,
};
use serde::Serialize;

use super::{GroupContext, OwnershipClaim, PendingGroupChange};
use crate::store::cache::{Cache, Versioned};
use crate::store::partition_key;

/// Upper bound of the bytes in a group's value beside its machines.
const GROUP_VALUE_OVERHEAD: usize = 16;
/// Bytes beside a machine's name in a group's value: quotes, a colon and a comma.
const MACHINE_NAME_OVERHEAD: usize = 4;

/// A planned write of one group.
pub(super) struct GroupUpdate {
    /// The machines of the group after the write.
    pub records: MachineRecords,
    /// The modification revision of the group before the write.
    pub mod_revision: u64,
    pub added: BTreeSet<String>,
    pub removed: BTreeSet<String>,
    /// The partitions whose machines the write concerns, with their terms.
    pub partition_terms: BTreeMap<String, u64>,
}

impl GroupUpdate {
    /// Plans the write of a group: removes the terminated machines, and adds those with a pending
    /// claim for which the group's value has space.
    pub fn plan(key: &str, pending: &PendingGroupChange, context: &GroupContext) -> Self {
        let Versioned { record: records, mod_revision } =
            context.cache.group(key).cloned().unwrap_or_default();
        let mut update = GroupUpdate {
            records,
            mod_revision,
            added: BTreeSet::new(),
            removed: pending.removals.keys().cloned().collect(),
            partition_terms: BTreeMap::new(),
        };
        for (machine, owner) in &pending.removals {
            if update.records.get(machine).is_some_and(|record| record.partition == owner.partition)
            {
                update.records.remove(machine);
                update.partition_terms.insert(owner.partition.clone(), owner.term);
            }
        }
        if !pending.claims.is_empty() && context.layout.larger_groups_known {
            update.add_claims(&pending.claims, context);
        }
        update
    }

    /// Adds the machines with a pending claim, unless they are claimed already or the group's value
    /// would exceed the limit.
    fn add_claims(&mut self, claims: &BTreeMap<String, OwnershipClaim>, context: &GroupContext) {
        // The group is serialized once to measure it, then each added record by itself.
        // Serializing the whole group for each record took most of the time of a start.
        let mut remaining = context.layout.value_limit.saturating_sub(self.max_value_length());
        for (machine, claim) in claims {
            let is_claimed = context.cache.is_claimed(machine);
            if self.records.contains_key(machine) || is_claimed {
                continue;
            }
            let record = record_of(claim);
            let length = machine.len() + MACHINE_NAME_OVERHEAD + json_length(&record);
            if length > remaining {
                continue;
            }
            remaining -= length;
            self.records.insert(machine.clone(), record);
            self.added.insert(machine.clone());
            self.partition_terms.insert(claim.owner.partition.clone(), claim.owner.term);
        }
    }

    /// Returns an upper bound of the length of the group's value as JSON, in bytes.
    fn max_value_length(&self) -> usize {
        json_length(&self.records) + GROUP_VALUE_OVERHEAD
    }

    /// Reports whether the group's new value may be longer than `value_limit` bytes.
    pub fn exceeds(&self, value_limit: usize) -> bool {
        !self.records.is_empty() && self.max_value_length() > value_limit
    }

    /// Returns the transaction that writes the group, or deletes it when no machine is left.
    ///
    /// It is conditional on the group's modification revision and on the terms of all partitions
    /// concerned. Claims in a small group are also conditional on the agreed group size and on the
    /// large group that could hold the same machines.
    pub fn transaction(&self, key: &str, context: &GroupContext) -> Txn {
        let uses_large_groups = context.layout.uses_large_groups();
        let mut txn = Txn::default().if_mod_revision(key, self.mod_revision);
        for (partition, term) in &self.partition_terms {
            txn = txn.if_mod_revision(partition_key(partition), *term);
        }
        if !self.added.is_empty() && !uses_large_groups {
            txn = txn.if_mod_revision(GROUP_SIZE_KEY, context.layout.size_revision);
        }
        // An earlier version of the program claims these machines in the large group, and the
        // condition detects that.
        let large_key = self.added.iter().next().map(|machine| large_group_key(machine));
        if let Some(large_key) = large_key.filter(|large| !uses_large_groups && large != key) {
            let mod_revision = known_revision(context.cache, &large_key);
            txn = txn.if_mod_revision(large_key, mod_revision);
        }
        if self.records.is_empty() {
            txn.delete(key)
        } else {
            txn.write(key, Json::of(&MachineGroupRecord { machines: self.records.clone() }))
        }
    }
}

fn known_revision(cache: &Cache, key: &str) -> u64 {
    cache.group(key).map_or(0, |group| group.mod_revision)
}

/// Returns the length of a value as JSON, in bytes.
pub(super) fn json_length(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

fn record_of(claim: &OwnershipClaim) -> MachineRecord {
    MachineRecord {
        partition: claim.owner.partition.clone(),
        address: claim.heartbeat.address.clone(),
        machine_type: claim.heartbeat.machine_type.clone(),
        zone: claim.heartbeat.zone.clone(),
        spot: claim.heartbeat.spot,
    }
}
