//! Holding partitions: the lease, taking a partition, losing it, handing it back.

pub(crate) mod authority;
pub(crate) mod awaited;
pub(crate) mod connectivity;
pub(crate) mod lease;
pub(crate) mod reachability;

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{PARTITION_PREFIX, PartitionRecord, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::Rng;

use crate::calls::{PendingPeerCall, PendingStoreCall};
use crate::events::LogEvent;
use crate::leadership::reachability::PEERS_TAKE_OVER_WITHIN;
use crate::messages::{CallPriority, LogLevel};
use crate::partition::Partition;
use crate::router::Core;
use crate::store::watch::{WATCH_PAUSE, WATCH_SHARE};

const RETRY: Micros = SECOND / 2;
/// After an attempt to take or give up a partition that failed. At once, again and again, they came
/// to a hundred a second, which the limit of changes left nothing beside.
const PARTITION_RETRY: Micros = SECOND / 4;
/// Home asks for its partition this often, and counts as gone after this long without asking.
const HANDBACK_REQUEST_INTERVAL: Micros = SECOND;
const HANDBACK_REQUEST_LIFETIME: Micros = 3 * SECOND;
/// At a start the peers may only be a little slower to come up.
const STARTUP_GRACE: Micros = 8 * SECOND;

impl Core {
    pub(crate) fn lose_partition(&mut self, name: &str, term: u64) {
        if self.partitions.get(name).is_some_and(|p| p.term == term) {
            self.partitions.remove(name);
            self.outbox.log(LogLevel::Info, || LogEvent::PartitionLost {
                partition: name.to_owned(),
                term,
            });
        }
    }

    /// Takes, asks for and hands back partitions.
    pub(crate) fn poll_leadership(&mut self) {
        self.load_partitions();
        if !self.cache.loaded() || !self.holds_lease() {
            return;
        }
        for name in self.config.nodes.clone() {
            // While it does not hear workers, this node is home to none.
            let ignores_commands = self.reachability.lost();
            let home = name == self.config.node && !ignores_commands;
            let entry = self.cache.partitions.get(&name).cloned();
            match entry {
                None => {
                    let grace = if home {
                        0
                    } else {
                        let spread = self.rng.random_range(0..SECOND);
                        let others = if ignores_commands { PEERS_TAKE_OVER_WITHIN } else { 0 };
                        // Its home node may hear of the release later than this one.
                        let watch_delay =
                            self.min_interval_for(WATCH_SHARE).saturating_sub(WATCH_PAUSE);
                        self.config.operator.takeover_after + spread + others + watch_delay
                    };
                    let start_grace = if home { 0 } else { STARTUP_GRACE };
                    let since = *self.absent_since.entry(name.clone()).or_insert(self.now);
                    let due = (since + grace).max(self.started + start_grace);
                    if self.now >= due {
                        self.acquire(&name, 0);
                    }
                }
                Some((record, mod_revision)) => {
                    self.absent_since.remove(&name);
                    if record.node == self.config.node && record.process != self.process {
                        // Our own former process held it; that process is dead.
                        self.acquire(&name, mod_revision);
                    } else if self.cluster.is_outdated_leader(&record, mod_revision) {
                        self.evict(&name, mod_revision);
                    } else if record.node == self.config.node {
                        if self.releasing.contains(&name) || self.is_handback_due(&name) {
                            self.release(&name, mod_revision);
                        }
                    } else if home {
                        self.request_handback(&record.node);
                    }
                }
            }
        }
    }

    /// Takes a partition from a live process of a version that must not hold it any more. Its key
    /// fences it off; until it has noticed, it may still answer workers.
    fn evict(&mut self, name: &str, mod_revision: u64) {
        if self.now < self.next_eviction_at {
            // Whether the last attempt was a success shows with the watch.
            return;
        }
        self.next_eviction_at = self.now + RETRY;
        self.evicting.insert(name.to_owned());
        self.acquire(name, mod_revision);
    }

    fn acquire(&mut self, name: &str, mod_revision: u64) {
        let Some(lease) = self.lease.id().filter(|_| self.has_announced()) else { return };
        if !self.may_change_partition(name) {
            return;
        }
        self.releasing.remove(name);
        let record = PartitionRecord { node: self.config.node.clone(), process: self.process };
        let key = format!("{PARTITION_PREFIX}{name}");
        let txn = Txn::default().when(key.clone(), mod_revision).write_held(
            key,
            Json::of(&record),
            lease,
        );
        self.write_budget.spend(1);
        let waiting = PendingStoreCall::Acquire { partition: name.to_owned(), lease };
        self.outbox.call_store(CallPriority::Lease, StoreCall::Txn(txn), waiting);
    }

    /// Whether a partition's key may be changed now; it counts as being changed then.
    fn may_change_partition(&mut self, name: &str) -> bool {
        let is_early = self.partition_retry_at.get(name).is_some_and(|at| self.now < *at);
        !is_early && self.partitions_being_written.insert(name.to_owned())
    }

    /// A change of a partition's key has failed, or may have.
    fn partition_change_failed(&mut self, name: &str) {
        self.partition_retry_at.insert(name.to_owned(), self.now + PARTITION_RETRY);
    }

    pub(crate) fn acquired(
        &mut self,
        name: &str,
        lease: u64,
        result: Result<StoreReply, CallError>,
    ) {
        self.partitions_being_written.remove(name);
        match result {
            Ok(StoreReply::Committed(revision)) => {
                let record =
                    PartitionRecord { node: self.config.node.clone(), process: self.process };
                self.cache.newest_revision = self.cache.newest_revision.max(revision);
                if self.cache.is_ahead_of_cache(revision) {
                    self.apply_partition_record(
                        &format!("{PARTITION_PREFIX}{name}"),
                        Some(record),
                        revision,
                    );
                }
            }
            Ok(StoreReply::NoLease) => self.lease_ended(lease),
            // The watch shows who was quicker, or that an unknown outcome was a success.
            other => {
                if matches!(other, Ok(StoreReply::Conflict(_))) {
                    self.evicting.remove(name);
                }
                self.absent_since.insert(name.to_owned(), self.now);
                self.partition_change_failed(name);
            }
        }
    }

    /// Starts acting as a partition's leader: reads its jobs and machines first.
    pub(crate) fn begin_leadership(&mut self, name: &str, term: u64) {
        if self.releasing.contains(name)
            || self.partitions.get(name).is_some_and(|p| p.term >= term)
        {
            return;
        }
        self.outbox.log(LogLevel::Info, || LogEvent::PartitionAcquired {
            partition: name.to_owned(),
            term,
        });
        let mut partition = Partition::new(name, term, self.types.clone(), self.now);
        if self.evicting.remove(name) {
            partition.sole_leader_from = self.now + self.config.operator.lease_life;
        }
        self.partitions.insert(name.to_owned(), partition);
    }

    /// Partitions whose acquisition the cache has come to begin their work from it: what an earlier
    /// leader wrote is in it, and it can write no more.
    fn load_partitions(&mut self) {
        if !self.cache.loaded {
            return;
        }
        let (now, wall, revision) = (self.now, self.wall(), self.cache.revision);
        for partition in self.partitions.values_mut().filter(|p| !p.loaded && p.term <= revision) {
            for (record, mod_revision) in self.cache.active_jobs.values() {
                partition.reconcile_job(&self.config, record.clone(), *mod_revision, now, wall);
            }
            let name = partition.name.clone();
            for (host, record) in self.cache.machines_of(&name) {
                partition.add_machine(host, record.clone(), false, now);
            }
            partition.loaded = true;
        }
    }

    fn request_handback(&mut self, leader: &str) {
        if self.now < self.stealing.next_handback_request_at {
            return;
        }
        self.stealing.next_handback_request_at = self.now + HANDBACK_REQUEST_INTERVAL;
        let request = PeerRequest::HandBack { partition: self.config.node.clone() };
        let leader = leader.to_owned();
        self.outbox.ask_peer(&leader, request, PendingPeerCall::Notification);
    }

    /// A home node asks for its partition.
    pub(crate) fn handback_requests(&mut self, partition: &str) {
        if !self.cluster.may_lead(partition) {
            return;
        }
        let now = self.now;
        let entry = self.handback_requests.entry(partition.to_owned()).or_insert((now, now));
        if now.saturating_sub(entry.1) > HANDBACK_REQUEST_LIFETIME {
            entry.0 = now;
        }
        entry.1 = now;
    }

    fn is_handback_due(&self, partition: &str) -> bool {
        partition != self.config.node
            && self.handback_requests.get(partition).is_some_and(|(since, last)| {
                last.saturating_sub(*since) >= self.config.operator.handback_after
                    && self.now.saturating_sub(*last) < HANDBACK_REQUEST_LIFETIME
            })
    }

    /// Stops acting for a partition and then gives up its key.
    pub(crate) fn release(&mut self, name: &str, mod_revision: u64) {
        self.partitions.remove(name);
        self.handback_requests.remove(name);
        self.releasing.insert(name.to_owned());
        if !self.may_change_partition(name) {
            return;
        }
        self.outbox.log(LogLevel::Info, || LogEvent::PartitionHandedBack {
            partition: name.to_owned(),
            term: mod_revision,
        });
        let key = format!("{PARTITION_PREFIX}{name}");
        let txn = Txn::default().when(key.clone(), mod_revision).delete(key);
        self.write_budget.spend(1);
        let waiting = PendingStoreCall::Release { partition: name.to_owned(), mod_revision };
        self.outbox.call_store(CallPriority::Lease, StoreCall::Txn(txn), waiting);
    }

    /// A partition's key was given up, or is another's already. the cache lags behind, and a partition that
    /// it still shows as ours was released again and again: 700 changes in a row, in which the
    /// limit of changes, and with it every submission, was lost.
    pub(crate) fn released(
        &mut self,
        name: &str,
        mod_revision: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        self.partitions_being_written.remove(name);
        let accounted = matches!(result, Ok(StoreReply::Committed(_) | StoreReply::Conflict(_)));
        if !accounted {
            self.partition_change_failed(name);
        } else if self.cache.partitions.get(name).is_some_and(|(_, s)| *s == mod_revision) {
            self.cache.partitions.remove(name);
        }
    }
}

#[cfg(test)]
mod tests;
