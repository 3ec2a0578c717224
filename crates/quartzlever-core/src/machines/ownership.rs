//! The machines' records in the store: claims and their removal, many machines to a key.
//!
//! A block is rewritten on condition of its modification revision and of the terms of all partitions whose machines
//! the change concerns, one write at a time; what comes meanwhile goes with the next.
//!
//! Blocks of the first form hold 64 machines. Where a value's limit, or the one to come, is too low
//! for that, machines go into smaller blocks as soon as the cluster version says that every
//! controller looks for them there; blocks of the first form are split then, a few at a time. Each
//! machine still has one key that decides who claims it: a claim in a small block has the block of
//! the first form at its modification revision as a condition. Where the store takes even less than the
//! settings say, the controllers agree on smaller blocks under one key, and each claim has that key
//! at its modification revision as a condition.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::store::{
    GROUP_SIZE_KEY, LARGE_GROUP_SIZE, MACHINE_PREFIX, MachineGroupRecord, MachineRecord,
    MachineRecords, PARTITION_PREFIX, Row, StoreCall, StoreReply, Txn, group_capacity, group_key,
    group_size, large_group_key, machine_records_in,
};
use quartzlever_wire::workers::Heartbeat;
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use serde::Serialize;

use crate::calls::PendingStoreCall;
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel, RequestId};
use crate::router::Core;
use crate::store::write_budget::WriteKind;

const RETRY: Micros = SECOND / 2;
/// Shortest time between two writes of one block, so that a wave of heartbeats is one change.
const PAUSE: Micros = SECOND / 2;
/// As long for removals: nothing waits for them.
const RELEASE_INTERVAL: Micros = 2 * SECOND;
/// After a block that the store found too large.
const TOO_LARGE_PAUSE: Micros = 5 * SECOND;
/// Shortest time between two looks for a block to split.
const SPLIT_PAUSE: Micros = SECOND / 5;

/// A machine that waits for its claim, with the heartbeats that wait for an answer.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipClaim {
    ids: Vec<RequestId>,
    heartbeat: Heartbeat,
    partition: String,
    term: u64,
}

/// What is to be changed in one block.
#[derive(Debug, Default)]
pub(crate) struct PendingGroupChange {
    claims: BTreeMap<String, OwnershipClaim>,
    /// Returned machines, with the partition and term that returned them.
    drops: BTreeMap<String, (String, u64)>,
    writing: bool,
    not_before: Micros,
}

/// A change of one block.
struct GroupUpdate {
    /// The block as it is to be, and its modification revision as it is.
    hosts: MachineRecords,
    mod_revision: u64,
    added: BTreeSet<String>,
    dropped: BTreeSet<String>,
    /// The partitions whose machines the change concerns, with their terms.
    terms: BTreeMap<String, u64>,
}

/// What a block's value takes beside its machines, at the most; and a machine's name beside its
/// letters: quotes, a colon and a comma.
const GROUP_VALUE_OVERHEAD: usize = 16;
const MACHINE_NAME_OVERHEAD: usize = 4;

impl Core {
    /// How many machines share a key that is written now.
    pub(crate) fn group_size(&self) -> u64 {
        if !self.cluster.services() {
            return LARGE_GROUP_SIZE;
        }
        let size = group_size(self.config.value_bytes);
        self.cluster.agreed_group_size().map_or(size, |agreed| agreed.min(size))
    }

    /// Whether all claims in larger blocks are known, as they are once the cache has come to the
    /// agreement on the present size.
    fn is_group_size_known(&self) -> bool {
        self.cluster.group_size_revision() <= self.cache.revision
    }

    /// The key that a machine is claimed under.
    fn group_key_of(&self, host: &str) -> String {
        group_key(host, self.group_size())
    }

    /// Sends what waits for a change of this block, but belongs to another one by now, there.
    fn reroute(&mut self, key: &str) {
        let Some(work) = self.group_changes.get(key) else { return };
        let claims: Vec<String> =
            work.claims.keys().filter(|h| self.group_key_of(h) != key).cloned().collect();
        let elsewhere = |h: &String| self.cache.group_of_machine.get(h).is_some_and(|k| k != key);
        let drops: Vec<String> = work.drops.keys().filter(|h| elsewhere(h)).cloned().collect();
        for host in claims {
            let right = self.group_key_of(&host);
            if let Some(claim) =
                self.group_changes.get_mut(key).and_then(|w| w.claims.remove(&host))
            {
                self.group_changes.entry(right).or_default().claims.insert(host, claim);
            }
        }
        for host in drops {
            let Some(right) = self.cache.group_of_machine.get(&host).cloned() else { continue };
            if let Some(by) = self.group_changes.get_mut(key).and_then(|w| w.drops.remove(&host)) {
                self.group_changes.entry(right).or_default().drops.insert(host, by);
            }
        }
    }

    /// Splits one block that is larger than they are to be by now: the small ones and the
    /// end of the large one in one transaction if that takes no more changes than are allowed, else
    /// the small ones first, and the end when all of them are there. Each step may be repeated.
    pub(crate) fn split_groups(&mut self) {
        let size = self.group_size();
        if size == LARGE_GROUP_SIZE
            || self.splitting
            || self.now < self.next_split_at
            || !self.may_act()
        {
            return;
        }
        if !self.is_group_size_known() {
            return;
        }
        self.next_split_at = self.now + SPLIT_PAUSE;
        let ours = |hosts: &MachineRecords| {
            hosts
                .values()
                .next()
                .is_some_and(|record| self.partitions.contains_key(&record.partition))
        };
        let large = |key: &str, hosts: &MachineRecords| {
            let span = group_capacity(key).filter(|span| *span > size);
            span.is_some() && hosts.keys().next().is_some_and(|h| group_key(h, size) != key)
        };
        let mut found: Vec<&String> = self
            .cache
            .ownership_groups
            .iter()
            .filter(|(key, (hosts, _))| large(key, hosts) && ours(hosts))
            .map(|(key, _)| key)
            .collect();
        found.sort();
        let busy = |key: &String| self.group_changes.get(key).is_some_and(|w| w.writing);
        let Some(key) = found.into_iter().find(|key| !busy(key)).cloned() else { return };
        let Some((hosts, mod_revision)) = self.cache.ownership_groups.get(&key) else { return };
        let mut small: BTreeMap<String, MachineRecords> = BTreeMap::new();
        for (host, record) in hosts {
            let partition = small.entry(group_key(host, size)).or_default();
            partition.insert(host.clone(), record.clone());
        }
        let mut txn = Txn::default()
            .when(&key, *mod_revision)
            .when(GROUP_SIZE_KEY, self.cluster.group_size_revision());
        let mut written = Vec::new();
        let most = self.limits.txn_ops();
        let known = |key: &String| self.cache.ownership_groups.get(key);
        // What an earlier step has copied need not be written again.
        small.retain(|key, partition| {
            known(key)
                .is_none_or(|(there, _)| !partition.iter().all(|(h, r)| there.get(h) == Some(r)))
        });
        let whole = small.len() < most;
        for (key, mut partition) in small.into_iter().take(if whole { most } else { most.max(1) }) {
            let (there, mod_revision) = known(&key).cloned().unwrap_or_default();
            partition.extend(there);
            txn = txn
                .when(&key, mod_revision)
                .write(&key, Json::of(&MachineGroupRecord { m: partition.clone() }));
            written.push((key, partition));
        }
        if whole {
            txn = txn.delete(&key);
        }
        // It may leave the account in debt: under load that never holds as much at once, and the
        // lower limit may come at any moment.
        if !self.write_budget.has(WriteKind::Claim, 1) {
            return;
        }
        self.write_budget.spend(txn.changes.len());
        self.splitting = true;
        let waiting = PendingStoreCall::SplitGroup { key, small: written, whole };
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), waiting);
    }

    pub(crate) fn group_split(
        &mut self,
        key: &str,
        small: Vec<(String, MachineRecords)>,
        whole: bool,
        result: &Result<StoreReply, CallError>,
    ) {
        self.splitting = false;
        // Any other outcome the watch tells of, and what the cache shows then is tried again.
        if let Ok(StoreReply::Committed(mod_revision)) = result {
            for (key, hosts) in small {
                self.record_group(&key, hosts, *mod_revision);
            }
            if whole {
                self.record_group(key, MachineRecords::new(), *mod_revision + 1);
            }
        } else {
            self.next_split_at = self.now + RETRY;
        }
    }

    /// The partition that a machine belongs to, as far as is known here.
    pub(crate) fn machine_record(&self, host: &str) -> Option<&MachineRecord> {
        let key = self.cache.group_of_machine.get(host)?;
        self.cache.ownership_groups.get(key)?.0.get(host)
    }

    /// A machine that nobody has claimed reports; it is to be claimed for a partition held here.
    pub(crate) fn request_ownership(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        partition: &str,
        term: u64,
    ) {
        let soon = self.now + PAUSE;
        let work = self.group_changes.entry(self.group_key_of(&heartbeat.host)).or_default();
        work.not_before = work.not_before.min(soon);
        match work.claims.get_mut(&heartbeat.host) {
            Some(claim) => {
                claim.ids.push(id);
                if (heartbeat.incarnation, heartbeat.sequence)
                    > (claim.heartbeat.incarnation, claim.heartbeat.sequence)
                {
                    claim.heartbeat = heartbeat;
                }
            }
            None => {
                let partition = partition.to_owned();
                let claim = OwnershipClaim { ids: vec![id], heartbeat, partition, term };
                work.claims.insert(claim.heartbeat.host.clone(), claim);
            }
        }
    }

    /// A returned machine's record is no longer wanted.
    pub(crate) fn release_ownership(&mut self, host: &str, partition: &str, term: u64) {
        let key = self
            .cache
            .group_of_machine
            .get(host)
            .cloned()
            .unwrap_or_else(|| self.group_key_of(host));
        let work = self.group_changes.entry(key).or_default();
        work.drops.insert(host.to_owned(), (partition.to_owned(), term));
    }

    /// Writes blocks that have to change, as far as the account allows.
    pub(crate) fn write_groups(&mut self) {
        let now = self.now;
        let keys: Vec<String> = self
            .group_changes
            .iter()
            .filter(|(_, w)| !w.writing && now >= w.not_before)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write_group(&key);
        }
    }

    /// The largest value that a block may take now.
    fn group_value_limit(&self) -> usize {
        if self.cluster.services() {
            self.limits.value_bytes()
        } else {
            self.config.group_bytes.min(self.limits.learned_value_bytes())
        }
    }

    fn write_group(&mut self, key: &str) {
        self.reroute(key);
        let may_act = self.may_act();
        let Some(work) = self.group_changes.get(key) else { return };
        let machine_type =
            if work.claims.is_empty() { WriteKind::GarbageCollection } else { WriteKind::Claim };
        if may_act && !self.write_budget.try_reserve(machine_type, 1) {
            return;
        }
        let rejected = self.drop_lost_changes(key, may_act);
        self.reject_all(rejected);
        let Some(change) = self.plan_group(key) else { return };
        if change.terms.is_empty() {
            // Nothing to change, or nothing that fits: those that wait are sent elsewhere.
            let claims = self.group_changes.remove(key).map(|work| work.claims).unwrap_or_default();
            return self.reject_all(claims.into_values().flat_map(|claim| claim.ids).collect());
        }
        let machine_type =
            if change.added.is_empty() { WriteKind::GarbageCollection } else { WriteKind::Claim };
        let too_large = !change.hosts.is_empty()
            && written_length(&change.hosts) + GROUP_VALUE_OVERHEAD > self.group_value_limit();
        let Some(work) = self.group_changes.get_mut(key) else { return };
        if too_large {
            // A block of the first form that is still to be split: nothing larger than the limit is
            // tried, over and over, and what was returned is removed from the small ones.
            work.not_before = self.now + RELEASE_INTERVAL;
        } else if self.write_budget.try_spend(machine_type, 1) {
            work.writing = true;
            work.not_before =
                self.now + if change.added.is_empty() { RELEASE_INTERVAL } else { PAUSE };
            self.send_group(key, change);
        }
    }

    fn reject_all(&mut self, requests: Vec<RequestId>) {
        for id in requests {
            self.outbox.reject_retryable(id, 503, "not entitled");
        }
    }

    /// Forgets claims and removals for partitions that are not held here any more, under those terms;
    /// gives the requests that waited for such a claim.
    fn drop_lost_changes(&mut self, key: &str, may_act: bool) -> Vec<RequestId> {
        let partitions = &self.partitions;
        let held = |partition: &str, term: u64| {
            may_act && partitions.get(partition).is_some_and(|p| p.term == term && p.active())
        };
        let Some(work) = self.group_changes.get_mut(key) else { return Vec::new() };
        work.drops.retain(|_, (partition, term)| held(partition, *term));
        let lost: Vec<String> = work
            .claims
            .iter()
            .filter(|(_, claim)| !held(&claim.partition, claim.term))
            .map(|(host, _)| host.clone())
            .collect();
        lost.iter()
            .filter_map(|host| work.claims.remove(host))
            .flat_map(|claim| claim.ids)
            .collect()
    }

    /// A block as it is to be: without the machines that were returned, and with those that wait for
    /// their claim, as far as they fit.
    fn plan_group(&self, key: &str) -> Option<GroupUpdate> {
        let work = self.group_changes.get(key)?;
        let (hosts, mod_revision) =
            self.cache.ownership_groups.get(key).cloned().unwrap_or_default();
        let dropped = work.drops.keys().cloned().collect();
        let mut change = GroupUpdate {
            hosts,
            mod_revision,
            added: BTreeSet::new(),
            dropped,
            terms: BTreeMap::new(),
        };
        for (host, (partition, term)) in &work.drops {
            if change.hosts.get(host).is_some_and(|record| record.partition == *partition) {
                change.hosts.remove(host);
                change.terms.insert(partition.clone(), *term);
            }
        }
        if work.claims.is_empty() || !self.is_group_size_known() {
            return Some(change);
        }
        // The whole block is measured once, then each record that comes to it: writing it out
        // anew for each was most of the work of a start.
        let mut room = self
            .group_value_limit()
            .saturating_sub(written_length(&change.hosts) + GROUP_VALUE_OVERHEAD);
        for (host, claim) in &work.claims {
            if change.hosts.contains_key(host) || self.cache.group_of_machine.contains_key(host) {
                continue;
            }
            let record = record_of(claim);
            let length = host.len() + MACHINE_NAME_OVERHEAD + written_length(&record);
            if length > room {
                continue;
            }
            room -= length;
            change.hosts.insert(host.clone(), record);
            change.added.insert(host.clone());
            change.terms.insert(claim.partition.clone(), claim.term);
        }
        Some(change)
    }

    /// Writes a block on condition of its modification revision, of the terms of all partitions concerned, and of
    /// whatever else decides where a machine is claimed.
    fn send_group(&mut self, key: &str, change: GroupUpdate) {
        let GroupUpdate { hosts, mod_revision, added, dropped, terms } = change;
        let large_form = self.group_size() == LARGE_GROUP_SIZE;
        let mut txn = Txn::default().when(key, mod_revision);
        for (partition, term) in &terms {
            txn = txn.when(format!("{PARTITION_PREFIX}{partition}"), *term);
        }
        if !added.is_empty() && !large_form {
            txn = txn.when(GROUP_SIZE_KEY, self.cluster.group_size_revision());
        }
        // A claim that an earlier version wrote for one of these machines is seen there.
        let first_form = added.iter().next().map(|host| large_group_key(host));
        if let Some(first) = first_form.filter(|first| !large_form && first != key) {
            let mod_revision = self
                .cache
                .ownership_groups
                .get(&first)
                .map_or(0, |(_, mod_revision)| *mod_revision);
            txn = txn.when(first, mod_revision);
        }
        let txn = if hosts.is_empty() {
            txn.delete(key)
        } else {
            txn.write(key, Json::of(&MachineGroupRecord { m: hosts.clone() }))
        };
        let waiting = PendingStoreCall::WriteGroup {
            key: key.to_owned(),
            hosts,
            added,
            dropped,
            partitions: terms,
        };
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), waiting);
    }

    pub(crate) fn group_written(
        &mut self,
        key: &str,
        hosts: MachineRecords,
        added: &BTreeSet<String>,
        dropped: &BTreeSet<String>,
        partitions: &BTreeMap<String, u64>,
        result: Result<StoreReply, CallError>,
    ) {
        let now = self.now;
        if let Some(work) = self.group_changes.get_mut(key) {
            work.writing = false;
        }
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                if let Some(work) = self.group_changes.get_mut(key) {
                    work.drops.retain(|host, _| !dropped.contains(host));
                }
                self.apply_group_change(key, hosts, mod_revision);
                // An event of a later change may have been quicker: then these are known already.
                for host in added {
                    self.settle_claim(key, host);
                }
                if self
                    .group_changes
                    .get(key)
                    .is_some_and(|w| w.claims.is_empty() && w.drops.is_empty())
                {
                    self.group_changes.remove(key);
                }
            }
            Ok(StoreReply::Conflict(failed)) => {
                for (partition, term) in partitions {
                    if failed.contains(&format!("{PARTITION_PREFIX}{partition}")) {
                        self.lose_partition(partition, *term);
                    }
                }
                self.reread_group(key);
            }
            // Known not to be carried out: tried again.
            Ok(StoreReply::TooLarge) => {
                if let Some(work) = self.group_changes.get_mut(key) {
                    work.not_before = now + TOO_LARGE_PAUSE;
                }
            }
            Ok(_) | Err(CallError::Refused | CallError::TooOften) => {
                if let Some(work) = self.group_changes.get_mut(key) {
                    work.not_before = now + RETRY;
                }
            }
            // It may still come into force, and then a write at the same modification revision fails.
            Err(CallError::Unknown) => self.reread_group(key),
        }
    }

    fn reread_group(&mut self, key: &str) {
        if let Some(work) = self.group_changes.get_mut(key) {
            work.writing = true;
        }
        let waiting = PendingStoreCall::ReadGroup { key: key.to_owned() };
        self.outbox.call_store(CallPriority::Work, StoreCall::Get(key.to_owned()), waiting);
    }

    pub(crate) fn group_read(&mut self, key: &str, result: Result<StoreReply, CallError>) {
        let now = self.now;
        if let Some(work) = self.group_changes.get_mut(key) {
            work.writing = false;
            work.not_before = now + PAUSE;
        }
        match result {
            Ok(StoreReply::Row(Some(row))) => self.apply_group_row(&row, true),
            // The watch tells of its removal, at which modification revision it cannot be written any more.
            Ok(StoreReply::Row(None)) => self.apply_group_change(key, MachineRecords::new(), 0),
            _ => {
                if let Some(work) = self.group_changes.get_mut(key) {
                    work.not_before = now + RETRY;
                }
            }
        }
    }

    /// Takes in a block as the store has it. `news` says that a machine which was not
    /// known before has been claimed since.
    pub(crate) fn apply_group_row(&mut self, row: &Row, is_change: bool) {
        let Some(hosts) = machine_records_in(&row.path, &row.v) else {
            return self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&row.path));
        };
        if is_change {
            self.apply_group_change(&row.path, hosts, row.mod_revision);
        } else {
            self.record_group(&row.path, hosts, row.mod_revision);
        }
    }

    /// Notes a block's machines; `None` if a later state is known. Gives those that are new.
    fn record_group(
        &mut self,
        key: &str,
        hosts: MachineRecords,
        mod_revision: u64,
    ) -> Option<MachineRecords> {
        let (before, known) = self.cache.ownership_groups.get(key).cloned().unwrap_or_default();
        if mod_revision != 0 && known >= mod_revision {
            return None;
        }
        // While a block is split its machines are in two.
        for host in before.keys().filter(|h| !hosts.contains_key(*h)) {
            if self.cache.group_of_machine.get(host).is_some_and(|k| k == key) {
                self.cache.group_of_machine.remove(host);
            }
        }
        let mut new = MachineRecords::new();
        for (host, record) in &hosts {
            // One in a smaller block too belongs there: that claim had this block, as it was then, or
            // the size of blocks as a condition, so what stands here is a write that came late.
            let mapped = self.cache.group_of_machine.get(host);
            if mapped.is_some_and(|smaller| group_capacity(smaller) < group_capacity(key)) {
                continue;
            }
            if before.get(host) != Some(record) || mapped.is_none() {
                self.cache.group_of_machine.insert(host.clone(), key.to_owned());
                new.insert(host.clone(), record.clone());
            }
        }
        if hosts.is_empty() {
            self.cache.ownership_groups.remove(key);
        } else {
            self.cache.ownership_groups.insert(key.to_owned(), (hosts, mod_revision));
        }
        Some(new)
    }

    /// A block has changed.
    pub(crate) fn apply_group_change(
        &mut self,
        key: &str,
        hosts: MachineRecords,
        mod_revision: u64,
    ) {
        let now = self.now;
        let Some(new) = self.record_group(key, hosts, mod_revision) else { return };
        for (host, record) in new {
            if let Some(partition) = self.partitions.get_mut(&record.partition)
                && partition.active()
                && !partition.machines.contains_key(&host)
                && !partition.autoscaling.terminated.contains(&host)
                && mod_revision > partition.term
            {
                // A claim of ours, whether its answer has come or not; claims of earlier terms
                // fail by then.
                partition.add_machine(&host, record.clone(), true, now);
            }
            for partition in self.partitions.values_mut().filter(|p| p.name != record.partition) {
                partition.autoscaling.pending_instances.arrived(
                    &host,
                    partition.types.as_deref(),
                    now,
                );
            }
            self.settle_claim(key, &host);
        }
    }

    /// The machine belongs to somebody now: answers the heartbeats that waited for that.
    fn settle_claim(&mut self, key: &str, host: &str) {
        let Some(claim) = self.group_changes.get_mut(key).and_then(|w| w.claims.remove(host))
        else {
            return;
        };
        for id in claim.ids {
            self.handle_heartbeat(id, claim.heartbeat.clone());
        }
    }
}

/// How long a value is as JSON.
fn written_length(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

fn record_of(claim: &OwnershipClaim) -> MachineRecord {
    MachineRecord {
        partition: claim.partition.clone(),
        address: claim.heartbeat.address.clone(),
        machine_type: claim.heartbeat.machine_type.clone(),
        zone: claim.heartbeat.zone.clone(),
        spot: claim.heartbeat.spot,
    }
}

/// Whether a key is one of machines.
pub(crate) fn is_machine_key(key: &str) -> bool {
    key.starts_with(MACHINE_PREFIX)
}

#[cfg(test)]
mod tests;
