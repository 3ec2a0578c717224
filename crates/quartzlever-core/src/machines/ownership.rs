//! The machines' records in the store: claims and their removal, many machines to a key.
//!
//! Owns what is to be changed in each group of machines, and the splitting of groups. A group is rewritten on
//! condition of its modification revision and of the terms of all partitions whose machines the change concerns,
//! one write at a time; what comes meanwhile goes with the next. It never changes the cache: whoever takes an
//! outcome does.
//!
//! Groups of the first form hold 64 machines. Where a value's limit, or the one to come, is too low
//! for that, machines go into smaller groups as soon as the cluster version says that every
//! controller looks for them there; groups of the first form are split then, a few at a time. Each
//! machine still has one key that decides who claims it: a claim in a small group has the group of
//! the first form at its modification revision as a condition. Where the store takes even less than the
//! settings say, the controllers agree on smaller groups under one key, and each claim has that key
//! at its modification revision as a condition.

mod group_update;
mod layout;
mod splitting;

use std::collections::BTreeMap;

use quartzlever_wire::store::{PARTITION_PREFIX, StoreCall, StoreReply};
use quartzlever_wire::workers::Heartbeat;
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::{GroupWrite, PendingStoreCall};
use crate::messages::{CallPriority, RequestId};
use crate::outbox::Outbox;
use crate::partition::Partition;
use crate::store::cache::Cache;
use crate::store::write_budget::{WriteBudget, WriteKind};

use group_update::GroupUpdate;
pub(crate) use layout::{GroupLayout, GroupSizeAgreement};

const RETRY: Micros = SECOND / 2;
/// Shortest time between two writes of one group, so that a wave of heartbeats is one change.
const PAUSE: Micros = SECOND / 2;
/// As long for removals: nothing waits for them.
const RELEASE_INTERVAL: Micros = 2 * SECOND;
/// After a group that the store found too large.
const TOO_LARGE_PAUSE: Micros = 5 * SECOND;

/// A partition under one of its terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PartitionTerm {
    pub partition: String,
    pub term: u64,
}

/// What waits for a change of the machines' records.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    /// What is to be changed, by the key of the group.
    changes: BTreeMap<String, PendingGroupChange>,
    /// A group is being split; when the next one may be.
    splitting: bool,
    next_split_at: Micros,
}

/// A machine that waits for its claim, with the heartbeats that wait for an answer.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipClaim {
    pub ids: Vec<RequestId>,
    pub heartbeat: Heartbeat,
    owner: PartitionTerm,
}

/// What is to be changed in one group.
#[derive(Debug, Default)]
struct PendingGroupChange {
    claims: BTreeMap<String, OwnershipClaim>,
    /// Returned machines, with the partition and term that returned them.
    drops: BTreeMap<String, PartitionTerm>,
    writing: bool,
    not_before: Micros,
}

/// What decides about a change of groups now.
pub(crate) struct GroupContext<'a> {
    pub now: Micros,
    /// Whether this process may act for its partitions.
    pub may_act: bool,
    pub cache: &'a Cache,
    /// The partitions held here.
    pub partitions: &'a BTreeMap<String, Partition>,
    pub layout: GroupLayout,
}

impl GroupContext<'_> {
    /// Whether a partition is held here under that term, and may be acted for.
    fn holds(&self, owner: &PartitionTerm) -> bool {
        let partition = self.partitions.get(&owner.partition);
        self.may_act && partition.is_some_and(|p| p.term == owner.term && p.active())
    }
}

/// What became of the write of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupWriteOutcome {
    Committed {
        mod_revision: u64,
    },
    /// Something stands in the way, or nothing is known: the group is to be read again, after these partitions
    /// are given up.
    ToBeReread {
        lost: Vec<PartitionTerm>,
    },
    /// Surely not carried out: tried again.
    Failed,
}

impl Ownership {
    /// A machine that nobody has claimed reports; it is to be claimed for a partition held here.
    pub fn request(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        owner: PartitionTerm,
        layout: &GroupLayout,
        now: Micros,
    ) {
        let soon = now + PAUSE;
        let change = self.changes.entry(layout.key_of(&heartbeat.machine)).or_default();
        change.not_before = change.not_before.min(soon);
        match change.claims.get_mut(&heartbeat.machine) {
            Some(claim) => {
                claim.ids.push(id);
                if (heartbeat.incarnation, heartbeat.sequence)
                    > (claim.heartbeat.incarnation, claim.heartbeat.sequence)
                {
                    claim.heartbeat = heartbeat;
                }
            }
            None => {
                let claim = OwnershipClaim { ids: vec![id], heartbeat, owner };
                change.claims.insert(claim.heartbeat.machine.clone(), claim);
            }
        }
    }

    /// A returned machine's record is no longer wanted.
    pub fn release(
        &mut self,
        machine: &str,
        owner: PartitionTerm,
        cache: &Cache,
        layout: &GroupLayout,
    ) {
        let known = cache.group_of_machine(machine).cloned();
        let key = known.unwrap_or_else(|| layout.key_of(machine));
        self.changes.entry(key).or_default().drops.insert(machine.to_owned(), owner);
    }

    /// The machine belongs to somebody now: gives the claim that waited for that.
    pub fn take_claim(&mut self, key: &str, machine: &str) -> Option<OwnershipClaim> {
        self.changes.get_mut(key)?.claims.remove(machine)
    }

    /// Writes groups that have to change, as far as the budget allows.
    pub fn write_changes(
        &mut self,
        context: &GroupContext,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        let due: Vec<String> = self
            .changes
            .iter()
            .filter(|(_, change)| !change.writing && context.now >= change.not_before)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.reroute(&key, context);
            self.write_group(&key, context, write_budget, outbox);
        }
    }

    /// Sends what waits for a change of this group, but belongs to another one by now, there.
    fn reroute(&mut self, key: &str, context: &GroupContext) {
        let Some(change) = self.changes.get(key) else { return };
        let cache = context.cache;
        let claims: Vec<String> =
            change.claims.keys().filter(|h| context.layout.key_of(h) != key).cloned().collect();
        let elsewhere =
            |machine: &&String| cache.group_of_machine(machine).is_some_and(|group| group != key);
        let drops: Vec<String> = change.drops.keys().filter(elsewhere).cloned().collect();
        for machine in claims {
            let right = context.layout.key_of(&machine);
            if let Some(claim) = self.changes.get_mut(key).and_then(|c| c.claims.remove(&machine)) {
                self.changes.entry(right).or_default().claims.insert(machine, claim);
            }
        }
        for machine in drops {
            let Some(right) = cache.group_of_machine(&machine).cloned() else { continue };
            if let Some(owner) = self.changes.get_mut(key).and_then(|c| c.drops.remove(&machine)) {
                self.changes.entry(right).or_default().drops.insert(machine, owner);
            }
        }
    }

    fn write_group(
        &mut self,
        key: &str,
        context: &GroupContext,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        let Some(change) = self.changes.get_mut(key) else { return };
        if context.may_act && !write_budget.try_reserve(write_kind(!change.claims.is_empty()), 1) {
            return;
        }
        reject_all(change.drop_lost(context), outbox);
        let update = GroupUpdate::plan(key, change, context);
        if update.terms.is_empty() {
            // Nothing to change, or nothing that fits: those that wait are sent elsewhere.
            let claims = self.changes.remove(key).map(|change| change.claims).unwrap_or_default();
            return reject_all(claims.into_values().flat_map(|claim| claim.ids).collect(), outbox);
        }
        let claims_some = !update.added.is_empty();
        if update.exceeds(context.layout.value_limit) {
            // A group of the first form that is still to be split: nothing larger than the limit is
            // tried, over and over, and what was returned is removed from the small ones.
            change.not_before = context.now + RELEASE_INTERVAL;
        } else if write_budget.try_spend(write_kind(claims_some), 1) {
            change.writing = true;
            change.not_before = context.now + if claims_some { PAUSE } else { RELEASE_INTERVAL };
            send(key, update, context, outbox);
        }
    }

    /// The write of a group has been answered.
    pub fn write_answered(
        &mut self,
        write: &GroupWrite,
        result: &Result<StoreReply, CallError>,
        now: Micros,
    ) -> GroupWriteOutcome {
        let mut change = self.changes.get_mut(&write.key);
        if let Some(change) = &mut change {
            change.writing = false;
        }
        let pause = match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                if let Some(change) = change {
                    change.drops.retain(|machine, _| !write.dropped.contains(machine));
                }
                return GroupWriteOutcome::Committed { mod_revision: *mod_revision };
            }
            Ok(StoreReply::Conflict(failed)) => {
                let is_lost = |partition: &str| {
                    failed.iter().any(|path| {
                        path.strip_prefix(PARTITION_PREFIX).is_some_and(|name| name == partition)
                    })
                };
                let lost = write.partitions.iter().filter(|(partition, _)| is_lost(partition));
                let lost = lost.map(|(partition, term)| PartitionTerm {
                    partition: partition.clone(),
                    term: *term,
                });
                return GroupWriteOutcome::ToBeReread { lost: lost.collect() };
            }
            // It may still come into force, and then a write at the same modification revision fails.
            Err(CallError::Unknown) => return GroupWriteOutcome::ToBeReread { lost: Vec::new() },
            // Known not to be carried out: tried again.
            Ok(StoreReply::TooLarge) => TOO_LARGE_PAUSE,
            Ok(_) | Err(CallError::Refused | CallError::Throttled) => RETRY,
        };
        if let Some(change) = change {
            change.not_before = now + pause;
        }
        GroupWriteOutcome::Failed
    }

    /// Forgets a group in which nothing is to be changed any more.
    pub fn forget_if_settled(&mut self, key: &str) {
        if self.changes.get(key).is_some_and(|c| c.claims.is_empty() && c.drops.is_empty()) {
            self.changes.remove(key);
        }
    }

    /// Reads a group again; nothing is written to it meanwhile.
    pub fn reread(&mut self, key: &str, outbox: &mut Outbox) {
        if let Some(change) = self.changes.get_mut(key) {
            change.writing = true;
        }
        let pending = PendingStoreCall::ReadGroup { key: key.to_owned() };
        outbox.call_store(CallPriority::Work, StoreCall::Get(key.to_owned()), pending);
    }

    /// A group has been read again, or that has failed.
    pub fn read_answered(&mut self, key: &str, is_read: bool, now: Micros) {
        if let Some(change) = self.changes.get_mut(key) {
            change.writing = false;
            change.not_before = now + if is_read { PAUSE } else { RETRY };
        }
    }
}

impl PendingGroupChange {
    /// Forgets claims and removals for partitions that are not held here any more, under those terms;
    /// gives the requests that waited for such a claim.
    fn drop_lost(&mut self, context: &GroupContext) -> Vec<RequestId> {
        self.drops.retain(|_, owner| context.holds(owner));
        let mut rejected = Vec::new();
        self.claims.retain(|_, claim| {
            let held = context.holds(&claim.owner);
            if !held {
                rejected.append(&mut claim.ids);
            }
            held
        });
        rejected
    }
}

fn write_kind(claims_some: bool) -> WriteKind {
    if claims_some { WriteKind::Claim } else { WriteKind::GarbageCollection }
}

fn reject_all(requests: Vec<RequestId>, outbox: &mut Outbox) {
    for id in requests {
        outbox.reject_retryable(id, 503, "not entitled");
    }
}

fn send(key: &str, update: GroupUpdate, context: &GroupContext, outbox: &mut Outbox) {
    let txn = update.transaction(key, context);
    let GroupUpdate { records, added, dropped, terms, .. } = update;
    let write = GroupWrite { key: key.to_owned(), records, added, dropped, partitions: terms };
    let pending = PendingStoreCall::WriteGroup(write);
    outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), pending);
}

#[cfg(test)]
mod tests;
