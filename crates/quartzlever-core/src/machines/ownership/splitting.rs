//! Splitting of groups that are larger than they are to be by now, one at a time.
//!
//! The small groups and the end of the large one go in one transaction if that takes no more changes than are
//! allowed, else the small ones first, and the end when all of them are there. Each step may be repeated.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    GROUP_SIZE_KEY, MachineGroupRecord, MachineRecords, StoreCall, StoreReply, Txn, group_capacity,
    group_key,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::{GroupContext, Ownership, RETRY};
use crate::calls::PendingStoreCall;
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::cache::Versioned;
use crate::store::write_budget::{WriteBudget, WriteKind};

/// Shortest time between two looks for a group to split.
const SPLIT_PAUSE: Micros = SECOND / 5;

/// A step of splitting a group.
struct GroupSplit {
    txn: Txn,
    /// The small groups that it writes.
    small: Vec<(String, MachineRecords)>,
    /// Whether the large group ends with it.
    is_complete: bool,
}

impl Ownership {
    /// Splits one group that is larger than they are to be by now.
    pub fn split_group(
        &mut self,
        context: &GroupContext,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        if context.layout.is_large()
            || self.splitting
            || context.now < self.next_split_at
            || !context.may_act
            || !context.layout.is_known
        {
            return;
        }
        self.next_split_at = context.now + SPLIT_PAUSE;
        let Some(key) = self.group_to_split(context) else { return };
        let Some(GroupSplit { txn, small, is_complete }) = plan_split(&key, context) else {
            return;
        };
        // It may leave the account in debt: under load that never holds as much at once, and the
        // lower limit may come at any moment.
        if !write_budget.has(WriteKind::Claim, 1) {
            return;
        }
        write_budget.spend(txn.changes.len());
        self.splitting = true;
        let pending = PendingStoreCall::SplitGroup { key, small, is_complete };
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), pending);
    }

    /// A step of splitting has been answered; gives its modification revision if it is in force.
    pub fn split_answered(
        &mut self,
        result: &Result<StoreReply, CallError>,
        now: Micros,
    ) -> Option<u64> {
        self.splitting = false;
        match result {
            Ok(StoreReply::Committed(mod_revision)) => Some(*mod_revision),
            // Any other outcome the watch tells of, and what the cache shows then is tried again.
            _ => {
                self.next_split_at = now + RETRY;
                None
            }
        }
    }

    /// The first group, by key, that is too large, has a machine of a partition held here, and is not being written.
    fn group_to_split(&self, context: &GroupContext) -> Option<String> {
        let size = context.layout.size;
        let ours = |records: &MachineRecords| {
            let first = records.values().next();
            first.is_some_and(|record| context.partitions.contains_key(&record.partition))
        };
        let large = |key: &str, records: &MachineRecords| {
            let span = group_capacity(key).filter(|span| *span > size);
            span.is_some() && records.keys().next().is_some_and(|h| group_key(h, size) != key)
        };
        let busy = |key: &String| self.changes.get(key).is_some_and(|change| change.writing);
        context
            .cache
            .groups()
            .iter()
            .filter(|(key, group)| large(key, &group.record) && ours(&group.record))
            .map(|(key, _)| key)
            .find(|key| !busy(key))
            .cloned()
    }
}

/// The next step of splitting this group.
fn plan_split(key: &str, context: &GroupContext) -> Option<GroupSplit> {
    let known = |key: &str| context.cache.group(key);
    let Versioned { record: records, mod_revision } = known(key)?;
    let mut groups: BTreeMap<String, MachineRecords> = BTreeMap::new();
    for (machine, record) in records {
        let group = groups.entry(context.layout.key_of(machine)).or_default();
        group.insert(machine.clone(), record.clone());
    }
    // What an earlier step has copied need not be written again.
    groups.retain(|key, group| {
        known(key).is_none_or(|there| !group.iter().all(|(h, r)| there.record.get(h) == Some(r)))
    });
    let most = context.layout.max_changes;
    let is_complete = groups.len() < most;
    let mut txn = Txn::default()
        .if_mod_revision(key, *mod_revision)
        .if_mod_revision(GROUP_SIZE_KEY, context.layout.size_revision);
    let mut small = Vec::new();
    for (key, mut group) in groups.into_iter().take(if is_complete { most } else { most.max(1) }) {
        let Versioned { record: there, mod_revision } = known(&key).cloned().unwrap_or_default();
        group.extend(there);
        txn = txn
            .if_mod_revision(&key, mod_revision)
            .write(&key, Json::of(&MachineGroupRecord { machines: group.clone() }));
        small.push((key, group));
    }
    if is_complete {
        txn = txn.delete(key);
    }
    Some(GroupSplit { txn, small, is_complete })
}

#[cfg(test)]
mod tests;
