//! The partition keys: when this process acquires one, evicts an outdated leader, requests the
//! hand-back of its own partition, or hands one back; and the writes of keys that are pending.
//!
//! [`PartitionKeys::decide`] decides what to do about one key, and the caller carries it out. The
//! process acts for a partition only after it has written the key, and deletes the key only after
//! it has stopped acting for the partition. Each write is conditional on the key's modification
//! revision, which is the partition's fencing token, so of two competing processes only one
//! succeeds. At most one write per key is pending.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{PartitionRecord, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::calls::{PendingPeerCall, PendingStoreCall};
use crate::config::Config;
use crate::events::LogEvent;
use crate::leadership::reachability::PEER_TAKEOVER_WINDOW;
use crate::messages::{CallPriority, LogLevel};
use crate::outbox::Outbox;
use crate::store::partition_key;
use crate::store::write_budget::WriteBudget;

/// Delay after a failed attempt to acquire or release a partition. Immediate retries reached 100
/// per second, which used up the whole write limit of the store.
const RETRY_INTERVAL: Micros = SECOND / 4;
/// Shortest time between two evictions.
const EVICTION_INTERVAL: Micros = SECOND / 2;
/// Interval at which a home node requests its partition.
const HANDBACK_REQUEST_INTERVAL: Micros = SECOND;
/// A home node counts as gone after this time without a request.
const HANDBACK_REQUEST_LIFETIME: Micros = 3 * SECOND;
/// Time after its own start during which this process acquires no absent partition of which it is
/// not the home node: when the whole cluster starts, the home node may only be slower to come up.
const STARTUP_GRACE: Micros = 8 * SECOND;

/// A partition's key that names a leader, as the cache shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldKey<'a> {
    pub leader: &'a PartitionRecord,
    pub mod_revision: u64,
    /// Whether the leader is a live process of a version that may no longer hold a partition.
    pub is_outdated: bool,
}

/// The inputs of a decision on a key other than the key itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyContext<'a> {
    pub now: Micros,
    pub config: &'a Config,
    /// Whether this node gave up a partition because it received no heartbeats from its workers.
    pub is_isolated_from_workers: bool,
    /// How much later than this node another node may see a change through its watch.
    pub watch_delay: Micros,
}

impl KeyContext<'_> {
    /// Reports whether this node is a partition's home node. While it is cut off from the workers,
    /// it is the home of none.
    fn is_home(&self, name: &str) -> bool {
        name == self.config.node && !self.is_isolated_from_workers
    }
}

/// The decision on a partition's key. A write is conditional on the key's modification revision,
/// which is 0 for an absent key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyDecision<'a> {
    /// Leave the key as it is for now.
    Keep,
    /// Acquire a partition that has no leader, or whose leader was a former process of this node.
    Acquire { mod_revision: u64 },
    /// Take over a partition from an outdated leader.
    Evict { mod_revision: u64 },
    /// Stop acting for the partition, then delete its key.
    Release { mod_revision: u64 },
    /// Ask the leader to hand back this node's own partition.
    RequestHandback { leader: &'a str },
}

/// The outcome of an attempt to acquire a partition.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireOutcome {
    /// The key was written at this revision, which is the partition's new term.
    Committed { term: u64 },
    /// The lease to which the key was to be attached has ended.
    LeaseEnded,
    /// Another process was faster, the call failed, or its outcome is unknown and the watch will
    /// show it.
    Failed,
}

/// The outcome of an attempt to release a partition's key.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseOutcome {
    /// The key was deleted, or had already changed.
    Released,
    /// The key was not changed, or the outcome is unknown; the release is retried.
    Failed,
}

/// When a home node requested its partition: first and last time of an unbroken series.
#[derive(Clone, Copy, Debug)]
struct HandbackRequest {
    since: Micros,
    last: Micros,
}

/// The state of this process's operations on partition keys.
#[derive(Debug)]
pub(crate) struct PartitionKeys {
    /// The record that this process writes under the keys of its partitions.
    own_record: PartitionRecord,
    started_at: Micros,
    /// Partitions whose key has a pending write.
    pending_writes: BTreeSet<String>,
    /// The time before which a key is not written again after a failed write, by partition.
    retry_at: BTreeMap<String, Micros>,
    /// Partitions that this process has stopped acting for and not acquired again since.
    releasing: BTreeSet<String>,
    /// Partitions that are being taken over from a process that has not released them.
    evicting: BTreeSet<String>,
    /// The earliest time of the next eviction.
    next_eviction_at: Micros,
    /// Since when the key of each absent partition has been missing.
    absent_since: BTreeMap<String, Micros>,
    /// Hand-back requests of home nodes, by partition.
    handback_requests: BTreeMap<String, HandbackRequest>,
    /// The earliest time at which this node requests its own partition again.
    next_handback_request_at: Micros,
}

impl PartitionKeys {
    /// Creates the state without pending writes and without known absent keys. `process`
    /// distinguishes this process from earlier ones of the same node.
    pub fn new(node: &str, process: u64, now: Micros) -> Self {
        PartitionKeys {
            own_record: PartitionRecord { node: node.to_owned(), process },
            started_at: now,
            pending_writes: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            releasing: BTreeSet::new(),
            evicting: BTreeSet::new(),
            next_eviction_at: 0,
            absent_since: BTreeMap::new(),
            handback_requests: BTreeMap::new(),
            next_handback_request_at: 0,
        }
    }

    /// Returns the record that this process writes under the keys of its partitions.
    pub fn own_record(&self) -> &PartitionRecord {
        &self.own_record
    }

    /// Decides what to do about a partition's key; `key` is `None` if the cache shows no key.
    pub fn decide<'a>(
        &mut self,
        name: &str,
        key: Option<HeldKey<'a>>,
        key_context: &KeyContext<'_>,
        rng: &mut SmallRng,
    ) -> KeyDecision<'a> {
        match key {
            None => self.decide_on_absent(name, key_context, rng),
            Some(key) => {
                self.absent_since.remove(name);
                self.decide_on_held(name, key, key_context)
            }
        }
    }

    /// Decides on a partition without a leader: its home node acquires it immediately, other nodes
    /// after a delay.
    fn decide_on_absent(
        &mut self,
        name: &str,
        key_context: &KeyContext<'_>,
        rng: &mut SmallRng,
    ) -> KeyDecision<'static> {
        let now = key_context.now;
        let (grace, startup_grace) = if key_context.is_home(name) {
            (0, 0)
        } else {
            let spread = rng.random_range(0..SECOND);
            let peer_window =
                if key_context.is_isolated_from_workers { PEER_TAKEOVER_WINDOW } else { 0 };
            // The home node may learn of the release later than this node.
            let watch_delay = key_context.watch_delay;
            let takeover_after = key_context.config.operator.takeover_after;
            (takeover_after + spread + peer_window + watch_delay, STARTUP_GRACE)
        };
        let since = *self.absent_since.entry(name.to_owned()).or_insert(now);
        let due_at = (since + grace).max(self.started_at + startup_grace);
        if now >= due_at { KeyDecision::Acquire { mod_revision: 0 } } else { KeyDecision::Keep }
    }

    fn decide_on_held<'a>(
        &self,
        name: &str,
        key: HeldKey<'a>,
        key_context: &KeyContext<'_>,
    ) -> KeyDecision<'a> {
        let HeldKey { leader, mod_revision, is_outdated } = key;
        let is_own_node = leader.node == self.own_record.node;
        if is_own_node && leader.process != self.own_record.process {
            // The leader was a former process of this node, which is dead.
            KeyDecision::Acquire { mod_revision }
        } else if is_outdated {
            KeyDecision::Evict { mod_revision }
        } else if is_own_node {
            if self.releasing.contains(name) || self.is_handback_due(name, key_context) {
                KeyDecision::Release { mod_revision }
            } else {
                KeyDecision::Keep
            }
        } else if key_context.is_home(name) {
            KeyDecision::RequestHandback { leader: &leader.node }
        } else {
            KeyDecision::Keep
        }
    }

    fn is_handback_due(&self, name: &str, key_context: &KeyContext<'_>) -> bool {
        let KeyContext { now, config, .. } = *key_context;
        name != self.own_record.node
            && self.handback_requests.get(name).is_some_and(|request| {
                let requested_for = request.last.saturating_sub(request.since);
                requested_for >= config.operator.handback_after
                    && now.saturating_sub(request.last) < HANDBACK_REQUEST_LIFETIME
            })
    }

    /// Takes over a partition from a live process of a version that may no longer hold it. The new
    /// key fences off that process's writes; until it notices, it may still answer workers.
    pub fn evict(
        &mut self,
        now: Micros,
        name: &str,
        mod_revision: u64,
        lease: Option<u64>,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        if now < self.next_eviction_at {
            // The watch shows whether the last attempt succeeded.
            return;
        }
        self.next_eviction_at = now + EVICTION_INTERVAL;
        self.evicting.insert(name.to_owned());
        self.acquire(now, name, mod_revision, lease, write_budget, outbox);
    }

    /// Writes a partition's key, attached to this lease. Writes nothing without a lease.
    pub fn acquire(
        &mut self,
        now: Micros,
        name: &str,
        mod_revision: u64,
        lease: Option<u64>,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        let Some(lease) = lease else { return };
        if !self.try_begin_write(now, name) {
            return;
        }
        self.releasing.remove(name);
        let (key, value) = (partition_key(name), Json::of(&self.own_record));
        let txn = Txn::default()
            .if_mod_revision(key.clone(), mod_revision)
            .write_with_lease(key, value, lease);
        let pending = PendingStoreCall::Acquire { partition: name.to_owned(), lease };
        send_change(txn, pending, write_budget, outbox);
    }

    /// Handles the store's reply to an attempt to acquire a partition.
    pub fn acquired(
        &mut self,
        now: Micros,
        name: &str,
        result: &Result<StoreReply, CallError>,
    ) -> AcquireOutcome {
        self.pending_writes.remove(name);
        match result {
            Ok(StoreReply::Committed(revision)) => AcquireOutcome::Committed { term: *revision },
            Ok(StoreReply::NoLease) => AcquireOutcome::LeaseEnded,
            // The watch shows which process was faster, or that a write of unknown outcome
            // succeeded.
            other => {
                if matches!(other, Ok(StoreReply::Conflict(_))) {
                    self.evicting.remove(name);
                }
                self.absent_since.insert(name.to_owned(), now);
                self.retry_later(now, name);
                AcquireOutcome::Failed
            }
        }
    }

    /// Deletes the key of a partition that this process no longer acts for.
    pub fn release(
        &mut self,
        now: Micros,
        name: &str,
        mod_revision: u64,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        self.handback_requests.remove(name);
        self.releasing.insert(name.to_owned());
        if !self.try_begin_write(now, name) {
            return;
        }
        outbox.log(LogLevel::Info, || LogEvent::PartitionHandedBack {
            partition: name.to_owned(),
            term: mod_revision,
        });
        let key = partition_key(name);
        let txn = Txn::default().if_mod_revision(key.clone(), mod_revision).delete(key);
        let pending = PendingStoreCall::Release { partition: name.to_owned(), mod_revision };
        send_change(txn, pending, write_budget, outbox);
    }

    /// Handles the store's reply to an attempt to release a partition's key.
    pub fn released(
        &mut self,
        now: Micros,
        name: &str,
        result: &Result<StoreReply, CallError>,
    ) -> ReleaseOutcome {
        self.pending_writes.remove(name);
        if matches!(result, Ok(StoreReply::Committed(_) | StoreReply::Conflict(_))) {
            return ReleaseOutcome::Released;
        }
        self.retry_later(now, name);
        ReleaseOutcome::Failed
    }

    /// Reports whether this process has stopped acting for a partition whose key may still name it.
    pub fn is_releasing(&self, name: &str) -> bool {
        self.releasing.contains(name)
    }

    /// Reports, once, whether a partition that this process begins to lead was taken over from a
    /// live process, which may answer workers until it notices.
    pub fn take_eviction(&mut self, name: &str) -> bool {
        self.evicting.remove(name)
    }

    /// Asks the leader of this node's own partition to hand it back, once per
    /// [`HANDBACK_REQUEST_INTERVAL`].
    pub fn request_handback(&mut self, now: Micros, leader: &str, outbox: &mut Outbox) {
        if now < self.next_handback_request_at {
            return;
        }
        self.next_handback_request_at = now + HANDBACK_REQUEST_INTERVAL;
        let request = PeerRequest::HandBack { partition: self.own_record.node.clone() };
        outbox.call_peer(leader, request, PendingPeerCall::Notification);
    }

    /// Records that a home node has requested its partition.
    pub fn note_handback_request(&mut self, now: Micros, partition: &str) {
        let request = self
            .handback_requests
            .entry(partition.to_owned())
            .or_insert(HandbackRequest { since: now, last: now });
        if now.saturating_sub(request.last) > HANDBACK_REQUEST_LIFETIME {
            request.since = now;
        }
        request.last = now;
    }

    /// Reports whether a partition's key may be written now, and if so marks its write as pending.
    fn try_begin_write(&mut self, now: Micros, name: &str) -> bool {
        let is_early = self.retry_at.get(name).is_some_and(|at| now < *at);
        !is_early && self.pending_writes.insert(name.to_owned())
    }

    /// Delays the next write of a partition's key after one that failed or may have failed.
    fn retry_later(&mut self, now: Micros, name: &str) {
        self.retry_at.insert(name.to_owned(), now + RETRY_INTERVAL);
    }
}

/// Sends the transaction that changes the key of a partition.
fn send_change(
    txn: Txn,
    pending: PendingStoreCall,
    write_budget: &mut WriteBudget,
    outbox: &mut Outbox,
) {
    write_budget.spend(1);
    outbox.call_store(CallPriority::Lease, StoreCall::Txn(txn), pending);
}

#[cfg(test)]
mod tests;
