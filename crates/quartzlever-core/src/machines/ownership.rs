//! The machines' records in the store: claims and their removal, with many machines under one key.
//!
//! This component owns the pending changes of each group of machines, and the splitting of groups.
//! A group is rewritten on condition of its modification revision and of the terms of all
//! partitions whose machines the change concerns. Each group has at most one write in flight;
//! changes that arrive meanwhile go into the next one. The component never changes the cache: its
//! caller does so when it handles an outcome.
//!
//! Large groups, the original form, hold 64 machines. Where the limit on a value, or an announced
//! lower limit, is too low for that, machines go into smaller groups as soon as the cluster version
//! guarantees that every controller reads them; each controller then splits the large groups of its
//! partitions, one at a time. Each machine still has one key that decides its ownership: a claim in
//! a small group is conditional on the modification revision of the large group. Where the store
//! accepts even less than the settings say, the controllers agree on smaller groups under one key,
//! and each claim is conditional on that key's modification revision.

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

/// Delay before a failed read, write or split is retried.
const RETRY_DELAY: Micros = SECOND / 2;
/// Minimum time between two writes of a group with claims, so that a burst of heartbeats makes one
/// write.
const CLAIM_INTERVAL: Micros = SECOND / 2;
/// Minimum time between a write that only removes machines and the next write of the group, since
/// no request waits for a removal; a claim shortens it to [`CLAIM_INTERVAL`]. Also the delay before
/// an oversized group is checked again.
const REMOVAL_INTERVAL: Micros = 2 * SECOND;
/// Delay before a write that the store rejected as too large is retried.
const TOO_LARGE_RETRY_DELAY: Micros = 5 * SECOND;

/// A partition in one of its terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PartitionTerm {
    pub partition: String,
    pub term: u64,
}

/// The pending changes of the machines' records.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    /// Pending changes by the key of the group.
    changes: BTreeMap<String, PendingGroupChange>,
    /// Whether a group is being split.
    splitting: bool,
    /// The earliest time of the next split.
    next_split_at: Micros,
}

/// A pending claim of a machine: the latest of its heartbeats, and the requests that wait for an
/// answer.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipClaim {
    pub requests: Vec<RequestId>,
    pub heartbeat: Heartbeat,
    owner: PartitionTerm,
}

/// The pending changes of one group.
#[derive(Debug, Default)]
struct PendingGroupChange {
    claims: BTreeMap<String, OwnershipClaim>,
    /// Terminated machines, with the partition and term that terminated them.
    removals: BTreeMap<String, PartitionTerm>,
    /// Whether a write or a reread of the group is in flight.
    writing: bool,
    /// The earliest time of the next write.
    not_before: Micros,
}

/// The state of the node that group changes depend on.
pub(crate) struct GroupContext<'a> {
    pub now: Micros,
    /// Whether this node has the authority to act for its partitions.
    pub may_act: bool,
    pub cache: &'a Cache,
    /// The partitions that this node leads.
    pub partitions: &'a BTreeMap<String, Partition>,
    pub layout: GroupLayout,
}

impl GroupContext<'_> {
    /// Reports whether this node leads a partition in the given term, with the partition's records
    /// loaded, and may act for it.
    fn leads(&self, owner: &PartitionTerm) -> bool {
        let partition = self.partitions.get(&owner.partition);
        self.may_act && partition.is_some_and(|p| p.term == owner.term && p.is_loaded())
    }
}

/// The outcome of the write of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupWriteOutcome {
    Committed {
        mod_revision: u64,
    },
    /// A condition failed or the outcome is unknown. The caller gives up the lost partitions, then
    /// rereads the group.
    RereadNeeded {
        lost_partitions: Vec<PartitionTerm>,
    },
    /// The write did not take effect, and is retried.
    Failed,
}

impl Ownership {
    /// Records that an unclaimed machine, which sent this heartbeat, is to be claimed for a
    /// partition led by this node. The heartbeat's request waits until the claim is settled.
    pub fn request_claim(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        owner: PartitionTerm,
        layout: &GroupLayout,
        now: Micros,
    ) {
        let claim_due = now + CLAIM_INTERVAL;
        let change = self.changes.entry(layout.key_of(&heartbeat.machine)).or_default();
        change.not_before = change.not_before.min(claim_due);
        match change.claims.get_mut(&heartbeat.machine) {
            Some(claim) => {
                claim.requests.push(id);
                if (heartbeat.incarnation, heartbeat.sequence)
                    > (claim.heartbeat.incarnation, claim.heartbeat.sequence)
                {
                    claim.heartbeat = heartbeat;
                }
            }
            None => {
                let claim = OwnershipClaim { requests: vec![id], heartbeat, owner };
                change.claims.insert(claim.heartbeat.machine.clone(), claim);
            }
        }
    }

    /// Records that a terminated machine is to be removed from its group.
    pub fn request_removal(
        &mut self,
        machine: &str,
        owner: PartitionTerm,
        cache: &Cache,
        layout: &GroupLayout,
    ) {
        let known_key = cache.group_of_machine(machine).cloned();
        let key = known_key.unwrap_or_else(|| layout.key_of(machine));
        self.changes.entry(key).or_default().removals.insert(machine.to_owned(), owner);
    }

    /// Removes and returns the pending claim of a machine, which some partition owns by now.
    pub fn take_claim(&mut self, key: &str, machine: &str) -> Option<OwnershipClaim> {
        self.changes.get_mut(key)?.claims.remove(machine)
    }

    /// Writes the groups with due changes, as the write budget allows.
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
            self.move_misplaced_changes(&key, context);
            self.write_group(&key, context, write_budget, outbox);
        }
    }

    /// Moves the changes that belong to another group by now from this group to that one.
    fn move_misplaced_changes(&mut self, key: &str, context: &GroupContext) {
        let Some(change) = self.changes.get(key) else { return };
        let cache = context.cache;
        let claims: Vec<String> =
            change.claims.keys().filter(|m| context.layout.key_of(m) != key).cloned().collect();
        let is_misplaced =
            |machine: &&String| cache.group_of_machine(machine).is_some_and(|group| group != key);
        let removals: Vec<String> = change.removals.keys().filter(is_misplaced).cloned().collect();
        for machine in claims {
            let target = context.layout.key_of(&machine);
            if let Some(claim) = self.changes.get_mut(key).and_then(|c| c.claims.remove(&machine)) {
                self.changes.entry(target).or_default().claims.insert(machine, claim);
            }
        }
        for machine in removals {
            let Some(target) = cache.group_of_machine(&machine).cloned() else { continue };
            if let Some(owner) = self.changes.get_mut(key).and_then(|c| c.removals.remove(&machine))
            {
                self.changes.entry(target).or_default().removals.insert(machine, owner);
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
        if context.may_act
            && !write_budget.check_or_record_denial(write_kind(!change.claims.is_empty()), 1)
        {
            return;
        }
        reject_all(change.discard_lost_partitions(context), outbox);
        let update = GroupUpdate::plan(key, change, context);
        if update.partition_terms.is_empty() {
            // Nothing to change, or no claim that fits: the waiting requests are rejected as
            // retryable, so that the workers try elsewhere.
            let claims = self.changes.remove(key).map(|change| change.claims).unwrap_or_default();
            return reject_all(
                claims.into_values().flat_map(|claim| claim.requests).collect(),
                outbox,
            );
        }
        let has_claims = !update.added.is_empty();
        if update.exceeds(context.layout.value_limit) {
            // A large group that is still to be split: a value above the limit is never written, as
            // the store would reject it each time. Terminated machines are removed from the small
            // groups after the split.
            change.not_before = context.now + REMOVAL_INTERVAL;
        } else if write_budget.try_spend(write_kind(has_claims), 1) {
            change.writing = true;
            let interval = if has_claims { CLAIM_INTERVAL } else { REMOVAL_INTERVAL };
            change.not_before = context.now + interval;
            send_write(key, update, context, outbox);
        }
    }

    /// Handles the result of the write of a group, and returns the outcome for the caller to act
    /// on.
    pub fn write_replied(
        &mut self,
        write: &GroupWrite,
        result: &Result<StoreReply, CallError>,
        now: Micros,
    ) -> GroupWriteOutcome {
        let mut change = self.changes.get_mut(&write.key);
        if let Some(change) = &mut change {
            change.writing = false;
        }
        let delay = match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                if let Some(change) = change {
                    change.removals.retain(|machine, _| !write.removed.contains(machine));
                }
                return GroupWriteOutcome::Committed { mod_revision: *mod_revision };
            }
            Ok(StoreReply::Conflict(failed)) => {
                let is_lost = |partition: &str| {
                    failed.iter().any(|path| {
                        path.strip_prefix(PARTITION_PREFIX).is_some_and(|name| name == partition)
                    })
                };
                let lost = write.partition_terms.iter().filter(|(partition, _)| is_lost(partition));
                let lost = lost.map(|(partition, term)| PartitionTerm {
                    partition: partition.clone(),
                    term: *term,
                });
                return GroupWriteOutcome::RereadNeeded { lost_partitions: lost.collect() };
            }
            // The write may still take effect. A later write conditional on the same modification
            // revision fails in that case.
            Err(CallError::Unknown) => {
                return GroupWriteOutcome::RereadNeeded { lost_partitions: Vec::new() };
            }
            // The write is known not to have taken effect.
            Ok(StoreReply::TooLarge) => TOO_LARGE_RETRY_DELAY,
            Ok(_) | Err(CallError::Refused | CallError::Throttled) => RETRY_DELAY,
        };
        if let Some(change) = change {
            change.not_before = now + delay;
        }
        GroupWriteOutcome::Failed
    }

    /// Removes the entry of a group that has no pending changes.
    pub fn forget_if_settled(&mut self, key: &str) {
        if self.changes.get(key).is_some_and(|c| c.claims.is_empty() && c.removals.is_empty()) {
            self.changes.remove(key);
        }
    }

    /// Starts a read of a group, during which nothing is written to it.
    pub fn reread(&mut self, key: &str, outbox: &mut Outbox) {
        if let Some(change) = self.changes.get_mut(key) {
            change.writing = true;
        }
        let pending = PendingStoreCall::ReadGroup { key: key.to_owned() };
        outbox.call_store(CallPriority::Work, StoreCall::Get(key.to_owned()), pending);
    }

    /// Handles the end of a read of a group. `is_read` says whether the read succeeded.
    pub fn read_replied(&mut self, key: &str, is_read: bool, now: Micros) {
        if let Some(change) = self.changes.get_mut(key) {
            change.writing = false;
            change.not_before = now + if is_read { CLAIM_INTERVAL } else { RETRY_DELAY };
        }
    }
}

impl PendingGroupChange {
    /// Discards the claims and removals for partitions that this node no longer leads in the same
    /// term. Returns the requests that waited for those claims.
    fn discard_lost_partitions(&mut self, context: &GroupContext) -> Vec<RequestId> {
        self.removals.retain(|_, owner| context.leads(owner));
        let mut rejected = Vec::new();
        self.claims.retain(|_, claim| {
            let is_led = context.leads(&claim.owner);
            if !is_led {
                rejected.append(&mut claim.requests);
            }
            is_led
        });
        rejected
    }
}

fn write_kind(has_claims: bool) -> WriteKind {
    if has_claims { WriteKind::Claim } else { WriteKind::GarbageCollection }
}

fn reject_all(requests: Vec<RequestId>, outbox: &mut Outbox) {
    for id in requests {
        outbox.reject_retryable(id, 503, "not entitled");
    }
}

fn send_write(key: &str, update: GroupUpdate, context: &GroupContext, outbox: &mut Outbox) {
    let txn = update.transaction(key, context);
    let GroupUpdate { records, added, removed, partition_terms, .. } = update;
    let write = GroupWrite { key: key.to_owned(), records, added, removed, partition_terms };
    let pending = PendingStoreCall::WriteGroup(write);
    outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), pending);
}

#[cfg(test)]
mod tests;
