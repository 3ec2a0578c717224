//! What a write of one group changes: planned from what waits, within the limits, and made into a transaction.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Json;
use quartzlever_wire::store::{
    GROUP_SIZE_KEY, MachineGroupRecord, MachineRecord, MachineRecords, PARTITION_PREFIX, Txn,
    large_group_key,
};
use serde::Serialize;

use super::{GroupContext, OwnershipClaim, PendingGroupChange};
use crate::store::cache::{Cache, Versioned};

/// What a group's value takes beside its machines, at the most; and a machine's name beside its
/// letters: quotes, a colon and a comma.
const GROUP_VALUE_OVERHEAD: usize = 16;
const MACHINE_NAME_OVERHEAD: usize = 4;

/// A change of one group.
pub(super) struct GroupUpdate {
    /// The group as it is to be, and its modification revision as it is.
    pub records: MachineRecords,
    pub mod_revision: u64,
    pub added: BTreeSet<String>,
    pub dropped: BTreeSet<String>,
    /// The partitions whose machines the change concerns, with their terms.
    pub terms: BTreeMap<String, u64>,
}

impl GroupUpdate {
    /// A group as it is to be: without the machines that were returned, and with those that wait for
    /// their claim, as far as they fit.
    pub fn plan(key: &str, pending: &PendingGroupChange, context: &GroupContext) -> Self {
        let Versioned { record: records, mod_revision } =
            context.cache.group(key).cloned().unwrap_or_default();
        let mut update = GroupUpdate {
            records,
            mod_revision,
            added: BTreeSet::new(),
            dropped: pending.drops.keys().cloned().collect(),
            terms: BTreeMap::new(),
        };
        for (machine, owner) in &pending.drops {
            if update.records.get(machine).is_some_and(|record| record.partition == owner.partition)
            {
                update.records.remove(machine);
                update.terms.insert(owner.partition.clone(), owner.term);
            }
        }
        if !pending.claims.is_empty() && context.layout.is_known {
            update.add_claims(&pending.claims, context);
        }
        update
    }

    /// Adds the machines that wait for their claim, as far as they fit.
    fn add_claims(&mut self, claims: &BTreeMap<String, OwnershipClaim>, context: &GroupContext) {
        // The whole group is measured once, then each record that comes to it: writing it out
        // anew for each was most of the work of a start.
        let mut room = context.layout.value_limit.saturating_sub(self.value_length());
        for (machine, claim) in claims {
            let is_claimed = context.cache.is_claimed(machine);
            if self.records.contains_key(machine) || is_claimed {
                continue;
            }
            let record = record_of(claim);
            let length = machine.len() + MACHINE_NAME_OVERHEAD + written_length(&record);
            if length > room {
                continue;
            }
            room -= length;
            self.records.insert(machine.clone(), record);
            self.added.insert(machine.clone());
            self.terms.insert(claim.owner.partition.clone(), claim.owner.term);
        }
    }

    /// How long the group's value is as JSON, at the most.
    fn value_length(&self) -> usize {
        written_length(&self.records) + GROUP_VALUE_OVERHEAD
    }

    /// Whether the group as it is to be takes more than this.
    pub fn exceeds(&self, value_limit: usize) -> bool {
        !self.records.is_empty() && self.value_length() > value_limit
    }

    /// The transaction: on condition of the group's modification revision, of the terms of all partitions
    /// concerned, and of whatever else decides where a machine is claimed.
    pub fn transaction(&self, key: &str, context: &GroupContext) -> Txn {
        let large_form = context.layout.is_large();
        let mut txn = Txn::default().if_mod_revision(key, self.mod_revision);
        for (partition, term) in &self.terms {
            txn = txn.if_mod_revision(format!("{PARTITION_PREFIX}{partition}"), *term);
        }
        if !self.added.is_empty() && !large_form {
            txn = txn.if_mod_revision(GROUP_SIZE_KEY, context.layout.size_revision);
        }
        // A claim that an earlier version wrote for one of these machines is seen there.
        let first_form = self.added.iter().next().map(|machine| large_group_key(machine));
        if let Some(first) = first_form.filter(|first| !large_form && first != key) {
            let mod_revision = known_revision(context.cache, &first);
            txn = txn.if_mod_revision(first, mod_revision);
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

/// How long a value is as JSON.
pub(super) fn written_length(value: &impl Serialize) -> usize {
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
