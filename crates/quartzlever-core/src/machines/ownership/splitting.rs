//! Splitting of groups that are larger than the present group size, one at a time.
//!
//! One transaction writes the small groups and deletes the oversized one if the limit on changes
//! allows it. Otherwise the small groups are written first, in several steps, and the last step
//! deletes the oversized one. Each step may be repeated.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    GROUP_SIZE_KEY, MachineGroupRecord, MachineRecords, StoreCall, StoreReply, Txn, group_key,
    max_group_size,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::{GroupContext, Ownership, RETRY_DELAY};
use crate::calls::PendingStoreCall;
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::cache::Versioned;
use crate::store::write_budget::{WriteBudget, WriteKind};

/// Minimum time between two searches for a group to split.
const SPLIT_INTERVAL: Micros = SECOND / 5;

/// A step of splitting a group.
struct GroupSplit {
    txn: Txn,
    /// The small groups that the step writes, by key.
    small_groups: Vec<(String, MachineRecords)>,
    /// Whether the step deletes the oversized group.
    is_complete: bool,
}

impl Ownership {
    /// Starts the next step of splitting one group that is larger than the present group size.
    pub fn split_group(
        &mut self,
        context: &GroupContext,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        if context.layout.uses_large_groups()
            || self.splitting
            || context.now < self.next_split_at
            || !context.may_act
            || !context.layout.larger_groups_known
        {
            return;
        }
        self.next_split_at = context.now + SPLIT_INTERVAL;
        let Some(key) = self.group_to_split(context) else { return };
        let Some(GroupSplit { txn, small_groups, is_complete }) = plan_split(&key, context) else {
            return;
        };
        // The split may overdraw the write budget: under load the budget never holds that many
        // changes at once, and a lower limit of the store may take effect at any moment.
        if !write_budget.allows(WriteKind::Claim, 1) {
            return;
        }
        write_budget.spend(txn.changes.len());
        self.splitting = true;
        let pending = PendingStoreCall::SplitGroup { key, small_groups, is_complete };
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), pending);
    }

    /// Handles the result of a step of a split. Returns its modification revision if it was
    /// committed.
    pub fn split_replied(
        &mut self,
        result: &Result<StoreReply, CallError>,
        now: Micros,
    ) -> Option<u64> {
        self.splitting = false;
        match result {
            Ok(StoreReply::Committed(mod_revision)) => Some(*mod_revision),
            // A step whose call failed may have taken effect. The watch then reports it, and the
            // next attempt starts from the updated cache.
            _ => {
                self.next_split_at = now + RETRY_DELAY;
                None
            }
        }
    }

    /// Returns the first group, by key, that is larger than the present size, whose first machine
    /// belongs to a partition led by this node, and that is not being written.
    fn group_to_split(&self, context: &GroupContext) -> Option<String> {
        let size = context.layout.size;
        let is_led_here = |records: &MachineRecords| {
            let first = records.values().next();
            first.is_some_and(|record| context.partitions.contains_key(&record.partition))
        };
        let is_oversized = |key: &str, records: &MachineRecords| {
            let larger = max_group_size(key).filter(|capacity| *capacity > size);
            larger.is_some() && records.keys().next().is_some_and(|m| group_key(m, size) != key)
        };
        let is_being_written =
            |key: &String| self.changes.get(key).is_some_and(|change| change.writing);
        context
            .cache
            .groups()
            .iter()
            .filter(|(key, group)| is_oversized(key, &group.record) && is_led_here(&group.record))
            .map(|(key, _)| key)
            .find(|key| !is_being_written(key))
            .cloned()
    }
}

/// Plans the next step of splitting a group; `None` if the cache has no such group.
fn plan_split(key: &str, context: &GroupContext) -> Option<GroupSplit> {
    let known = |key: &str| context.cache.group(key);
    let Versioned { record: records, mod_revision } = known(key)?;
    let mut groups: BTreeMap<String, MachineRecords> = BTreeMap::new();
    for (machine, record) in records {
        let group = groups.entry(context.layout.key_of(machine)).or_default();
        group.insert(machine.clone(), record.clone());
    }
    // Machines that an earlier step has copied are not written again.
    groups.retain(|key, group| {
        known(key).is_none_or(|existing| {
            !group.iter().all(|(machine, record)| existing.record.get(machine) == Some(record))
        })
    });
    let max_changes = context.layout.max_changes;
    // The deletion of the oversized group is one more change.
    let is_complete = groups.len() < max_changes;
    let mut txn = Txn::default()
        .if_mod_revision(key, *mod_revision)
        .if_mod_revision(GROUP_SIZE_KEY, context.layout.size_revision);
    let mut small_groups = Vec::new();
    let max_writes = if is_complete { max_changes } else { max_changes.max(1) };
    for (key, mut group) in groups.into_iter().take(max_writes) {
        let Versioned { record: existing, mod_revision } = known(&key).cloned().unwrap_or_default();
        group.extend(existing);
        txn = txn
            .if_mod_revision(&key, mod_revision)
            .write(&key, Json::of(&MachineGroupRecord { machines: group.clone() }));
        small_groups.push((key, group));
    }
    if is_complete {
        txn = txn.delete(key);
    }
    Some(GroupSplit { txn, small_groups, is_complete })
}

#[cfg(test)]
mod tests;
