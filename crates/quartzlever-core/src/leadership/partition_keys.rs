//! The keys of the partitions: when this process takes one, evicts an outdated leader, asks for its own
//! partition back, or hands one back; and the changes of keys that are under way.
//!
//! [`PartitionKeys::decide`] says what is to be done about one key, and the caller has it carried out. A
//! partition is acted for only after its key was written, and its key is deleted only after the
//! process has stopped acting for it; the condition on the key's modification revision, which is the
//! partition's fencing token, decides between two who want it. At most one change of a key is under way.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{PARTITION_PREFIX, PartitionRecord, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::calls::{PendingPeerCall, PendingStoreCall};
use crate::config::Config;
use crate::events::LogEvent;
use crate::leadership::reachability::PEERS_TAKE_OVER_WITHIN;
use crate::messages::{CallPriority, LogLevel};
use crate::outbox::Outbox;
use crate::store::write_budget::WriteBudget;

/// After an attempt to take or give up a partition that failed. At once, again and again, they came
/// to a hundred a second, which the limit of changes left nothing beside.
const RETRY_INTERVAL: Micros = SECOND / 4;
const EVICTION_INTERVAL: Micros = SECOND / 2;
/// Home asks for its partition this often, and counts as gone after this long without asking.
const HANDBACK_REQUEST_INTERVAL: Micros = SECOND;
const HANDBACK_REQUEST_LIFETIME: Micros = 3 * SECOND;
/// At a start the peers may only be a little slower to come up.
const STARTUP_GRACE: Micros = 8 * SECOND;

/// A partition's key as the cache shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldKey<'a> {
    pub leader: &'a PartitionRecord,
    pub mod_revision: u64,
    /// The leader is a live process of a version that must not hold a partition any more.
    pub is_outdated: bool,
}

/// What a decision on a key depends on beside the key itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Circumstances<'a> {
    pub now: Micros,
    pub config: &'a Config,
    /// This node gave up a partition because it heard none of its workers.
    pub is_cut_from_workers: bool,
    /// How much later than this one another node may learn of a change.
    pub watch_delay: Micros,
}

impl Circumstances<'_> {
    /// Whether this node is home to a partition. While it does not hear workers, it is home to none.
    fn is_home(&self, name: &str) -> bool {
        name == self.config.node && !self.is_cut_from_workers
    }
}

/// What is to be done about a partition's key. It is changed on condition of its modification
/// revision, 0 for an absent key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyDecision<'a> {
    /// Nothing, for now.
    Keep,
    /// Take a partition that nobody holds, or that a former process of this node held.
    Acquire { mod_revision: u64 },
    /// Take a partition from an outdated leader.
    Evict { mod_revision: u64 },
    /// Stop acting for the partition, and give up its key.
    Release { mod_revision: u64 },
    /// Ask the leader for this node's own partition.
    RequestHandback { leader: &'a str },
}

/// What became of an attempt to take a partition.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireOutcome {
    /// The key was written at this revision, the partition's new term.
    Committed { term: u64 },
    /// The lease that the key was to hang on has ended.
    LeaseEnded,
    /// Another was quicker, or the outcome is unknown: the watch shows it.
    Failed,
}

/// What became of an attempt to give up a partition's key.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseOutcome {
    /// The key was given up, or is another's already.
    GivenUp,
    /// Nothing was changed, or that is unknown: it is tried again.
    Failed,
}

/// A home node that asks for its partition.
#[derive(Clone, Copy, Debug)]
struct HandbackRequest {
    since: Micros,
    last: Micros,
}

/// What this process does about the keys of partitions.
#[derive(Debug)]
pub(crate) struct PartitionKeys {
    /// What the key of a partition says that this process holds.
    own_record: PartitionRecord,
    started_at: Micros,
    /// Keys that are being changed.
    being_written: BTreeSet<String>,
    /// When a key may be changed next whose change failed.
    retry_at: BTreeMap<String, Micros>,
    /// Partitions that this process has stopped acting for, until it acquires them anew.
    releasing: BTreeSet<String>,
    /// Partitions that are being taken from a process that has not given them up.
    evicting: BTreeSet<String>,
    /// The next one is taken this way no sooner.
    next_eviction_at: Micros,
    /// Since when each absent partition has been missing.
    absent_since: BTreeMap<String, Micros>,
    /// Home nodes that ask for their partitions, by partition.
    handback_requests: BTreeMap<String, HandbackRequest>,
    /// When this node may next ask for its own.
    next_handback_request_at: Micros,
}

impl PartitionKeys {
    /// No key is being changed, and none is known to be absent. `process` tells this process from
    /// earlier ones of the same node.
    pub fn new(node: &str, process: u64, now: Micros) -> Self {
        PartitionKeys {
            own_record: PartitionRecord { node: node.to_owned(), process },
            started_at: now,
            being_written: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            releasing: BTreeSet::new(),
            evicting: BTreeSet::new(),
            next_eviction_at: 0,
            absent_since: BTreeMap::new(),
            handback_requests: BTreeMap::new(),
            next_handback_request_at: 0,
        }
    }

    /// What the key of a partition says that this process holds.
    pub fn own_record(&self) -> &PartitionRecord {
        &self.own_record
    }

    /// What is to be done about the key of a partition, which is as the cache shows it or absent.
    pub fn decide<'a>(
        &mut self,
        name: &str,
        key: Option<HeldKey<'a>>,
        circumstances: &Circumstances<'_>,
        rng: &mut SmallRng,
    ) -> KeyDecision<'a> {
        match key {
            None => self.decide_on_absent(name, circumstances, rng),
            Some(key) => {
                self.absent_since.remove(name);
                self.decide_on_held(name, key, circumstances)
            }
        }
    }

    /// A partition that nobody holds is taken at once by its home, and by others after a while.
    fn decide_on_absent(
        &mut self,
        name: &str,
        circumstances: &Circumstances<'_>,
        rng: &mut SmallRng,
    ) -> KeyDecision<'static> {
        let now = circumstances.now;
        let (grace, startup_grace) = if circumstances.is_home(name) {
            (0, 0)
        } else {
            let spread = rng.random_range(0..SECOND);
            let others = if circumstances.is_cut_from_workers { PEERS_TAKE_OVER_WITHIN } else { 0 };
            // Its home node may hear of the release later than this one.
            let watch_delay = circumstances.watch_delay;
            let takeover_after = circumstances.config.operator.takeover_after;
            (takeover_after + spread + others + watch_delay, STARTUP_GRACE)
        };
        let since = *self.absent_since.entry(name.to_owned()).or_insert(now);
        let due_at = (since + grace).max(self.started_at + startup_grace);
        if now >= due_at { KeyDecision::Acquire { mod_revision: 0 } } else { KeyDecision::Keep }
    }

    fn decide_on_held<'a>(
        &self,
        name: &str,
        key: HeldKey<'a>,
        circumstances: &Circumstances<'_>,
    ) -> KeyDecision<'a> {
        let HeldKey { leader, mod_revision, is_outdated } = key;
        let is_own_node = leader.node == self.own_record.node;
        if is_own_node && leader.process != self.own_record.process {
            // Our own former process held it; that process is dead.
            KeyDecision::Acquire { mod_revision }
        } else if is_outdated {
            KeyDecision::Evict { mod_revision }
        } else if is_own_node {
            if self.releasing.contains(name) || self.is_handback_due(name, circumstances) {
                KeyDecision::Release { mod_revision }
            } else {
                KeyDecision::Keep
            }
        } else if circumstances.is_home(name) {
            KeyDecision::RequestHandback { leader: &leader.node }
        } else {
            KeyDecision::Keep
        }
    }

    fn is_handback_due(&self, name: &str, circumstances: &Circumstances<'_>) -> bool {
        let Circumstances { now, config, .. } = *circumstances;
        name != self.own_record.node
            && self.handback_requests.get(name).is_some_and(|request| {
                let asked_for = request.last.saturating_sub(request.since);
                asked_for >= config.operator.handback_after
                    && now.saturating_sub(request.last) < HANDBACK_REQUEST_LIFETIME
            })
    }

    /// Takes a partition from a live process of a version that must not hold it any more. Its key
    /// fences it off; until it has noticed, it may still answer workers.
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
            // Whether the last attempt was a success shows with the watch.
            return;
        }
        self.next_eviction_at = now + EVICTION_INTERVAL;
        self.evicting.insert(name.to_owned());
        self.acquire(now, name, mod_revision, lease, write_budget, outbox);
    }

    /// Writes a partition's key, to hang on this lease; without a lease that a key may hang on nothing
    /// is written.
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
        let key = format!("{PARTITION_PREFIX}{name}");
        let value = Json::of(&self.own_record);
        let txn = Txn::default()
            .if_mod_revision(key.clone(), mod_revision)
            .write_with_lease(key, value, lease);
        write_budget.spend(1);
        let pending = PendingStoreCall::Acquire { partition: name.to_owned(), lease };
        outbox.call_store(CallPriority::Lease, StoreCall::Txn(txn), pending);
    }

    /// The store has answered the attempt to take a partition.
    pub fn acquired(
        &mut self,
        now: Micros,
        name: &str,
        result: &Result<StoreReply, CallError>,
    ) -> AcquireOutcome {
        self.being_written.remove(name);
        match result {
            Ok(StoreReply::Committed(revision)) => AcquireOutcome::Committed { term: *revision },
            Ok(StoreReply::NoLease) => AcquireOutcome::LeaseEnded,
            // The watch shows who was quicker, or that an unknown outcome was a success.
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

    /// Deletes the key of a partition that this process does not act for any more.
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
        let key = format!("{PARTITION_PREFIX}{name}");
        let txn = Txn::default().if_mod_revision(key.clone(), mod_revision).delete(key);
        write_budget.spend(1);
        let pending = PendingStoreCall::Release { partition: name.to_owned(), mod_revision };
        outbox.call_store(CallPriority::Lease, StoreCall::Txn(txn), pending);
    }

    /// The store has answered the attempt to give up a partition's key.
    pub fn released(
        &mut self,
        now: Micros,
        name: &str,
        result: &Result<StoreReply, CallError>,
    ) -> ReleaseOutcome {
        self.being_written.remove(name);
        if matches!(result, Ok(StoreReply::Committed(_) | StoreReply::Conflict(_))) {
            return ReleaseOutcome::GivenUp;
        }
        self.retry_later(now, name);
        ReleaseOutcome::Failed
    }

    /// Whether this process has stopped acting for a partition whose key may still name it.
    pub fn is_releasing(&self, name: &str) -> bool {
        self.releasing.contains(name)
    }

    /// Whether a partition that comes into force was taken from a live process, which may answer
    /// workers until it notices. Told once.
    pub fn take_eviction(&mut self, name: &str) -> bool {
        self.evicting.remove(name)
    }

    /// Asks the leader of this node's own partition for it, now and then.
    pub fn request_handback(&mut self, now: Micros, leader: &str, outbox: &mut Outbox) {
        if now < self.next_handback_request_at {
            return;
        }
        self.next_handback_request_at = now + HANDBACK_REQUEST_INTERVAL;
        let request = PeerRequest::HandBack { partition: self.own_record.node.clone() };
        outbox.ask_peer(leader, request, PendingPeerCall::Notification);
    }

    /// A home node asks for its partition.
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

    /// Whether a partition's key may be changed now; it counts as being changed then.
    fn try_begin_write(&mut self, now: Micros, name: &str) -> bool {
        let is_early = self.retry_at.get(name).is_some_and(|at| now < *at);
        !is_early && self.being_written.insert(name.to_owned())
    }

    /// A change of a partition's key has failed, or may have.
    fn retry_later(&mut self, now: Micros, name: &str) {
        self.retry_at.insert(name.to_owned(), now + RETRY_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
