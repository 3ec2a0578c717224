//! Applies changes of the lease and of the partition keys to the partitions that this process
//! leads.
//!
//! The state and the decisions belong to `leadership::lease`, `leadership::authority` and
//! `leadership::partition_keys`.

use quartzlever_wire::store::StoreReply;
use quartzlever_wire::{CallError, Micros};

use crate::events::LogEvent;
use crate::leadership::authority::{Authority, Permit, Refusal};
use crate::leadership::lease::LeaseOutcome;
use crate::leadership::partition_keys::{
    AcquireOutcome, HeldKey, KeyContext, KeyDecision, ReleaseOutcome,
};
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::store::cache::Versioned;
use crate::store::watch::{MIN_WATCH_INTERVAL, WATCH_SHARE};
use crate::work::Activity;

/// Number of records and ranges of finished tasks that a step loads for an acquired partition, from
/// which on the next step goes on.
const MAX_LOADED_PER_STEP: usize = 20_000;

impl Core {
    /// Reports whether this process certainly still holds its lease.
    pub(crate) fn holds_lease(&self) -> bool {
        self.lease.is_held(self.now)
    }

    /// Returns what the right to act rests on at present.
    pub(crate) fn authority(&self) -> Authority {
        Authority::new(&self.lease, self.cache.view_as_of(), &self.config)
    }

    /// Returns the permit to act for a partition led here under `term`, or for none with term 0.
    pub(crate) fn permit(&self, term: u64) -> Result<Permit, Refusal> {
        self.authority().permit(term, self.now)
    }

    /// Reports whether this process may act for its partitions.
    pub(crate) fn may_act(&self) -> bool {
        self.permit(0).is_ok()
    }

    /// Logs when this process begins or ceases to be allowed to act.
    pub(super) fn log_authority_change(&mut self) {
        let permit = self.permit(0);
        if permit.is_ok() == std::mem::replace(&mut self.was_acting, permit.is_ok()) {
            return;
        }
        let partitions = self.partitions.len();
        let view_age = self.authority().view_age(self.now);
        self.outbox.log(LogLevel::Info, || match permit {
            Ok(_) => LogEvent::AuthorityGained { partitions, view_age },
            Err(reason) => LogEvent::AuthorityLost { reason, partitions, view_age },
        });
    }

    /// Handles the reply to the request for a lease that was sent at `sent`.
    pub(crate) fn lease_granted(&mut self, sent: Micros, result: &Result<StoreReply, CallError>) {
        let outcome = self.lease.granted(self.now, sent, &self.config, result);
        self.apply_lease_outcome(outcome);
    }

    /// Handles the reply to the renewal of a lease that was sent at `sent`.
    pub(crate) fn lease_renewed(
        &mut self,
        sent: Micros,
        lease: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        let outcome = self.lease.renewed(self.now, sent, lease, &self.config, result);
        self.apply_lease_outcome(outcome);
    }

    /// Handles the store's notice that a lease has ended.
    pub(crate) fn lease_ended(&mut self, lease: u64) {
        let outcome = self.lease.ended(self.now, lease);
        self.apply_lease_outcome(outcome);
    }

    fn apply_lease_outcome(&mut self, outcome: LeaseOutcome) {
        match outcome {
            LeaseOutcome::Unchanged | LeaseOutcome::Extended => {}
            LeaseOutcome::Regained => {
                // After an outage the store may grant leases their full lifetime again. Machines
                // whose heartbeats were not answered meanwhile must not count as silent.
                self.reachability.restart_listening(self.now);
            }
            LeaseOutcome::Ended => {
                // The node's announcement and its partition keys were attached to the lease and are
                // gone with it.
                self.cluster.remove_announcement(&self.config.node);
                let partitions = self.partitions.len();
                self.outbox.log(LogLevel::Info, || LogEvent::LeaseLost { partitions });
                self.partitions.clear();
            }
        }
    }

    /// Stops leading a partition, unless it was lost and acquired again under a later term.
    pub(crate) fn lose_partition(&mut self, name: &str, term: u64) {
        if self.partitions.get(name).is_some_and(|p| p.term == term) {
            self.partitions.remove(name);
            self.outbox.log(LogLevel::Info, || LogEvent::PartitionLost {
                partition: name.to_owned(),
                term,
            });
        }
    }

    /// Loads, acquires, requests and releases partitions as their keys require.
    pub(crate) fn poll_leadership(&mut self) {
        self.load_partitions();
        if !self.cache.is_loaded() || !self.holds_lease() {
            return;
        }
        // A process announces itself before it acquires a partition, on the same lease.
        let lease = self.lease.id().filter(|_| self.has_announced());
        let key_context = KeyContext {
            now: self.now,
            config: &self.config,
            is_isolated_from_workers: self.reachability.is_isolated_from_workers(),
            watch_delay: self.min_interval_for(WATCH_SHARE).saturating_sub(MIN_WATCH_INTERVAL),
        };
        let (now, keys) = (self.now, &mut self.partition_keys);
        let (budget, outbox) = (&mut self.write_budget, &mut self.outbox);
        for name in &self.config.nodes {
            let entry = self.cache.partition(name);
            let held = entry.map(|Versioned { record: leader, mod_revision }| HeldKey {
                leader,
                mod_revision: *mod_revision,
                is_outdated: self.cluster.is_outdated_leader(leader, *mod_revision),
            });
            match keys.decide(name, held, &key_context, &mut self.rng) {
                KeyDecision::Keep => {}
                KeyDecision::Acquire { mod_revision } => {
                    keys.acquire(now, name, mod_revision, lease, budget, outbox);
                }
                KeyDecision::Evict { mod_revision } => {
                    keys.evict(now, name, mod_revision, lease, budget, outbox);
                }
                KeyDecision::Release { mod_revision } => {
                    self.partitions.remove(name);
                    keys.release(now, name, mod_revision, budget, outbox);
                }
                KeyDecision::RequestHandback { leader } => {
                    keys.request_handback(now, leader, outbox);
                }
            }
        }
    }

    /// Stops leading a partition and then releases its key.
    pub(crate) fn release(&mut self, name: &str, mod_revision: u64) {
        self.partitions.remove(name);
        let (budget, outbox) = (&mut self.write_budget, &mut self.outbox);
        self.partition_keys.release(self.now, name, mod_revision, budget, outbox);
    }

    /// Handles the reply to the acquisition of a partition whose key is attached to `lease`.
    pub(crate) fn acquire_replied(
        &mut self,
        name: &str,
        lease: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        match self.partition_keys.acquired(self.now, name, result) {
            AcquireOutcome::Committed { term } => {
                self.cache.record_revision(term);
                if self.cache.has_not_reached(term) {
                    let record = self.partition_keys.own_record().clone();
                    self.apply_partition_record(name, record, term);
                }
            }
            AcquireOutcome::LeaseEnded => self.lease_ended(lease),
            AcquireOutcome::Failed => {}
        }
    }

    /// Handles the reply to the release of a partition's key.
    ///
    /// A key that was released, or that another process holds, is removed from the cache at once.
    /// The cache lags behind the store, and a partition that it still showed as led here was
    /// released repeatedly: 700 writes in a row used up the write limit, and every submission was
    /// lost.
    pub(crate) fn release_replied(
        &mut self,
        name: &str,
        mod_revision: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        match self.partition_keys.released(self.now, name, result) {
            ReleaseOutcome::Released => {
                self.cache.partition_released(name, mod_revision);
            }
            ReleaseOutcome::Failed => {}
        }
    }

    /// Starts leading a partition; its jobs and machines are loaded before any decision is made.
    pub(crate) fn begin_leadership(&mut self, name: &str, term: u64) {
        if self.partition_keys.is_releasing(name)
            || self.partitions.get(name).is_some_and(|p| p.term >= term)
        {
            return;
        }
        self.outbox.log(LogLevel::Info, || LogEvent::PartitionAcquired {
            partition: name.to_owned(),
            term,
        });
        let mut partition = Partition::new(name, term, self.types.clone(), self.now);
        partition.work = self.work.clone();
        if self.partition_keys.take_eviction(name) {
            partition.sole_leader_from = self.now + self.config.operator.lease_lifetime;
        }
        self.partitions.insert(name.to_owned(), partition);
    }

    /// Loads the partitions whose acquisition the cache has reached. The cache then holds
    /// everything that an earlier leader wrote, and the earlier leader can no longer write.
    fn load_partitions(&mut self) {
        if !self.cache.is_loaded() {
            return;
        }
        let _activity = self.work.begin(Activity::Takeover);
        let (now, wall, revision) = (self.now, self.wall(), self.cache.revision());
        for partition in self.partitions.values_mut().filter(|p| !p.loaded && p.term <= revision) {
            if !partition.load_jobs(&self.config, &self.cache, MAX_LOADED_PER_STEP, now, wall) {
                continue;
            }
            let name = partition.name.clone();
            for (machine, record) in self.cache.machines_of(&name) {
                partition.add_machine(machine, record.clone(), false, now);
            }
            partition.loaded = true;
        }
    }

    /// Handles a home node's request for its partition. The request is ignored if the cluster
    /// version has been raised and the node has not announced itself, as processes of version 1 do
    /// not.
    pub(crate) fn handback_requested(&mut self, partition: &str) {
        if self.cluster.may_lead(partition) {
            self.partition_keys.note_handback_request(self.now, partition);
        }
    }
}

#[cfg(test)]
mod tests;
