//! Holding partitions: the lease, taking a partition, losing it, handing it back, and the cache of the records
//! that a watch keeps fresh.

pub(crate) mod awaited;
pub(crate) mod reachability;

use quartzlever_wire::pages::PAGES;
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, CLUSTER_PREFIX, Event, MACHINES_SEEN_PREFIX,
    MachineRecords, PARTITION_PREFIX, PartitionRecord, Row, StoreCall, StoreReply,
    TERMINAL_JOB_PREFIX, TerminalJobRecord, Txn,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::calls::{PendingPeerCall, PendingStoreCall};
use crate::config::surely_within;
use crate::leadership::reachability::PEERS_TAKE_OVER_WITHIN;
use crate::machines::ownership::is_machine_key;
use crate::messages::{CallPriority, LogLevel};
use crate::partition::Partition;
use crate::router::Core;

/// Kept back from a lease's life for answers and calls that are on their way out.
const LEASE_MARGIN: Micros = SECOND;
const RETRY: Micros = SECOND / 2;
/// After an attempt to take or give up a partition that failed. At once, again and again, they came
/// to a hundred a second, which the limit of changes left nothing beside.
const PARTITION_RETRY: Micros = SECOND / 4;
/// Share of the requests to the store that may open watches.
const WATCH_SHARE: f64 = 0.15;
/// Shortest time between two watches: what comes meanwhile comes together.
const WATCH_PAUSE: Micros = SECOND / 4;
const WATCH_DEAD: Micros = 3 * SECOND / 2;
/// A view that is older than the longest watch by this much is renewed by a read.
const VIEW_LATE: Micros = SECOND;
/// Home asks for its partition this often, and counts as gone after this long without asking.
const HANDBACK_REQUEST_INTERVAL: Micros = SECOND;
const HANDBACK_REQUEST_LIFETIME: Micros = 3 * SECOND;
/// At a start the peers may only be a little slower to come up.
const STARTUP_GRACE: Micros = 8 * SECOND;

pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    row.v.parse()
}

impl Core {
    /// Keeps the process's lease alive.
    pub(crate) fn renew_lease(&mut self) {
        if self.lease.call_pending || self.now < self.lease.next_renewal_at {
            return;
        }
        self.lease.call_pending = true;
        let sent = self.now;
        match self.lease.id {
            None => {
                let life_ms = self.config.operator.lease_life / 1000;
                self.outbox.call_store(
                    CallPriority::Lease,
                    StoreCall::Grant { life_ms },
                    PendingStoreCall::Grant { sent },
                );
            }
            Some(lease) => {
                self.outbox.call_store(
                    CallPriority::Lease,
                    StoreCall::Renew { lease },
                    PendingStoreCall::Renew { sent, lease },
                );
            }
        }
    }

    fn extend_lease(&mut self, sent: Micros) {
        if !self.holds_lease() {
            // The store may have been away, and its leases with their full time again: nobody is
            // called silent for what was not answered meanwhile.
            self.lease.regained_at = sent;
            self.reachability.listening_since = self.now;
        }
        let life = surely_within(self.config.operator.lease_life);
        self.lease.valid_until =
            self.lease.valid_until.max(sent + life.saturating_sub(LEASE_MARGIN));
        self.lease.next_renewal_at = sent + self.config.operator.lease_life / 6;
    }

    pub(crate) fn granted(&mut self, sent: Micros, result: Result<StoreReply, CallError>) {
        self.lease.call_pending = false;
        if let Ok(StoreReply::Granted(lease)) = result {
            self.lease.id = Some(lease);
            self.lease.valid_until = 0;
            self.extend_lease(sent);
        } else {
            self.lease.next_renewal_at = self.now + RETRY;
        }
    }

    pub(crate) fn renewed(
        &mut self,
        sent: Micros,
        lease: u64,
        result: Result<StoreReply, CallError>,
    ) {
        self.lease.call_pending = false;
        if self.lease.id != Some(lease) {
            return;
        }
        match result {
            Ok(StoreReply::Renewed) => self.extend_lease(sent),
            Ok(StoreReply::NoLease) => self.lease_ended(lease),
            _ => self.lease.next_renewal_at = self.now + RETRY,
        }
    }

    /// The store says that a lease has ended: of an earlier one that is nothing new.
    pub(crate) fn lease_ended(&mut self, lease: u64) {
        if self.lease.id == Some(lease) {
            self.lose_all_partitions();
        }
    }

    /// The lease is gone, and with it every partition.
    fn lose_all_partitions(&mut self) {
        self.lease.id = None;
        self.lease.valid_until = 0;
        self.lease.next_renewal_at = self.now;
        self.cluster.forget_node(&self.config.node);
        self.outbox.log(LogLevel::Info, || "lease lost, and all parts with it".into());
        self.partitions.clear();
    }

    pub(crate) fn lose_partition(&mut self, name: &str, term: u64) {
        if self.partitions.get(name).is_some_and(|p| p.term == term) {
            self.partitions.remove(name);
            self.outbox.log(LogLevel::Info, || format!("part {name}: lost, term {term}"));
        }
    }

    /// Keeps the cache of the records, and the watch that feeds it.
    pub(crate) fn poll_cache(&mut self) {
        let now = self.now;
        if !self.cache.loaded {
            self.begin_listing();
            return;
        }
        // A watch that stays open although there is something to tell has a dead connection.
        let dead = self.cache.watch_opened_at.is_some_and(|since| {
            now.saturating_sub(since) > WATCH_DEAD
                && self.cache.newest_revision > self.cache.revision
        });
        if (self.cache.watch_opened_at.is_none() || dead) && now >= self.cache.next_watch_at {
            self.cache.watch_opened_at = Some(now);
            self.cache.watch += 1;
            self.cache.next_watch_at = now + self.min_interval_for(WATCH_SHARE).max(WATCH_PAUSE);
            let hold_ms = self.config.watch_hold() / 1000;
            let call = StoreCall::Watch { from: self.cache.revision, hold_ms };
            let number = self.cache.watch;
            self.outbox.call_store(
                CallPriority::Watch,
                call,
                PendingStoreCall::Watch { number, sent: now },
            );
        }
        self.poll_view();
    }

    /// Reads the revision when the watch has not shown for long that the view is fresh, and after
    /// each time without a sure lease.
    fn poll_view(&mut self) {
        let now = self.now;
        let is_aged =
            now.saturating_sub(self.cache.view_as_of) > self.config.watch_hold() + VIEW_LATE;
        let behind = self.cache.view_as_of < self.lease.regained_at;
        if !(is_aged || behind)
            || self.cache.view_read_pending
            || now < self.cache.next_view_read_at
        {
            return;
        }
        self.cache.view_read_pending = true;
        self.cache.next_view_read_at = now + RETRY;
        let waiting = PendingStoreCall::Revision { asked: Vec::new(), sent: now };
        self.outbox.call_store(CallPriority::Lease, StoreCall::Revision, waiting);
    }

    pub(crate) fn watched(
        &mut self,
        number: u64,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        if number == self.cache.watch {
            self.cache.watch_opened_at = None;
        }
        match result {
            Ok(StoreReply::Watched(answer)) if self.cache.loaded => {
                // An earlier watch may answer after a later one: what it tells is known then.
                let known = self.cache.revision;
                for event in answer.log {
                    self.event(event, known);
                }
                self.cache.revision = known.max(answer.revision);
                // It tells all that was committed before it was opened, at least.
                self.cache.read_revision(answer.revision, sent);
            }
            Ok(StoreReply::Watched(_)) => {}
            // What an earlier watch missed, a later one or a listing has brought.
            Ok(StoreReply::TooOld) if number == self.cache.watch => self.cache.loaded = false,
            Ok(StoreReply::TooOld) => {}
            _ => self.cache.next_watch_at = self.now + RETRY,
        }
    }

    fn event(&mut self, event: Event, known: u64) {
        match event {
            Event::Write { mod_revision, .. } | Event::Delete { mod_revision, .. }
                if mod_revision <= known => {}
            Event::Write { write, mod_revision, .. }
                if self.is_already_applied(&write, mod_revision) => {}
            Event::Write { write, v, mod_revision } => {
                let row = Row { path: write, v, mod_revision, lease_id: None };
                if row.path.starts_with(PARTITION_PREFIX) {
                    self.apply_partition_record(&row.path, parse(&row), mod_revision);
                } else if is_machine_key(&row.path) {
                    self.apply_group_row(&row, true);
                } else if row.path.starts_with(ACTIVE_JOB_PREFIX) {
                    self.apply_job_record(&row);
                } else if row.path.starts_with(PAGES) {
                    self.apply_page_row(&row);
                } else if row.path.starts_with(CLUSTER_PREFIX) {
                    self.apply_cluster_row(&row);
                } else if row.path.starts_with(MACHINES_SEEN_PREFIX) {
                    self.apply_machines_seen_row(&row);
                } else if let Some(id) = row.path.strip_prefix(TERMINAL_JOB_PREFIX)
                    && let Some(over) = parse::<TerminalJobRecord>(&row)
                {
                    let id = id.to_owned();
                    self.job_terminated(&id, over);
                }
            }
            Event::Delete { delete, mod_revision } => {
                if let Some(name) = delete.strip_prefix(PARTITION_PREFIX) {
                    if self.cache.partitions.get(name).is_some_and(|(_, s)| *s <= mod_revision) {
                        self.cache.partitions.remove(name);
                    }
                    if self.partitions.get(name).is_some_and(|p| p.term <= mod_revision) {
                        self.partitions.remove(name);
                    }
                } else if delete.starts_with(PAGES) {
                    self.page_deleted(&delete, mod_revision);
                } else if delete.starts_with(CLUSTER_PREFIX) {
                    self.cluster_deleted(&delete, mod_revision);
                } else if is_machine_key(&delete) {
                    if self
                        .cache
                        .ownership_groups
                        .get(&delete)
                        .is_some_and(|(_, s)| *s <= mod_revision)
                    {
                        self.apply_group_change(&delete, MachineRecords::new(), mod_revision + 1);
                    }
                } else if let Some(id) = delete.strip_prefix(ACTIVE_JOB_PREFIX) {
                    self.cache.unreadable_jobs.remove(id);
                    if self.cache.active_jobs.get(id).is_some_and(|(_, s)| *s <= mod_revision) {
                        self.cache.active_jobs.remove(id);
                    }
                }
            }
        }
    }

    /// Whether a record at this modification revision, or a later one, has been taken in: by the write of this very
    /// process, most of the time. Such records are not even read.
    fn is_already_applied(&self, key: &str, mod_revision: u64) -> bool {
        if let Some(id) = key.strip_prefix(ACTIVE_JOB_PREFIX) {
            let known = self.cache.active_jobs.get(id).is_some_and(|(_, s)| *s >= mod_revision);
            known || self.terminal_jobs.get(id).is_some()
        } else if let Some(id) = key.strip_prefix(TERMINAL_JOB_PREFIX) {
            self.terminal_jobs.get(id).is_some()
        } else {
            is_machine_key(key)
                && self.cache.ownership_groups.get(key).is_some_and(|(_, s)| *s >= mod_revision)
        }
    }

    /// A job's record as the store has it. One that cannot be read is left alone: its
    /// job stays known, since lookups read what the cache does not have.
    pub(crate) fn apply_job_record(&mut self, row: &Row) {
        match parse::<ActiveJobRecord>(row) {
            Some(record) => self.reconcile_job(record, row.mod_revision),
            None => {
                if let Some(id) = row.path.strip_prefix(ACTIVE_JOB_PREFIX) {
                    self.cache.unreadable_jobs.insert(id.to_owned());
                }
                self.outbox.log(LogLevel::Error, || format!("unreadable record: {}", row.path));
            }
        }
    }

    pub(crate) fn apply_partition_record(
        &mut self,
        path: &str,
        record: Option<PartitionRecord>,
        mod_revision: u64,
    ) {
        let (Some(name), Some(record)) = (path.strip_prefix(PARTITION_PREFIX), record) else {
            return;
        };
        if self.cache.partitions.get(name).is_some_and(|(_, s)| *s > mod_revision) {
            return;
        }
        let mine = record.process == self.process && record.node == self.config.node;
        if self.partitions.get(name).is_some_and(|p| p.term < mod_revision) {
            // Somebody took the partition over, or a later acquisition of ours came into force.
            self.partitions.remove(name);
        }
        self.cache.partitions.insert(name.to_owned(), (record, mod_revision));
        if mine {
            let name = name.to_owned();
            self.begin_leadership(&name, mod_revision);
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
        let Some(lease) = self.lease.id.filter(|_| self.has_announced()) else { return };
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
    fn begin_leadership(&mut self, name: &str, term: u64) {
        if self.releasing.contains(name)
            || self.partitions.get(name).is_some_and(|p| p.term >= term)
        {
            return;
        }
        self.outbox.log(LogLevel::Info, || format!("part {name}: held, term {term}"));
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

    /// Takes a job's record into every partition held here.
    pub(crate) fn reconcile_job(&mut self, mut record: ActiveJobRecord, mod_revision: u64) {
        // A watch may tell of earlier writes after this process has ended the job itself.
        if self.terminal_jobs.get(&record.job.id).is_some()
            || !self.mod_revisions.saw(&record.job.id, mod_revision)
        {
            return;
        }
        self.join_finished(&mut record);
        let id = &record.job.id;
        let (now, wall) = (self.now, self.wall());
        for partition in self.partitions.values_mut().filter(|p| p.loaded) {
            if partition.jobs.contains_key(id)
                || record.shares.iter().any(|s| s.partition == partition.name)
            {
                partition.reconcile_job(&self.config, record.clone(), mod_revision, now, wall);
            }
        }
        self.cache.unreadable_jobs.remove(id);
        if self.cache.active_jobs.get(id).is_none_or(|(_, s)| *s <= mod_revision) {
            self.cache.active_jobs.insert(id.clone(), (record, mod_revision));
        }
    }

    /// A job is done or cancelled for good.
    pub(crate) fn job_terminated(&mut self, id: &str, over: TerminalJobRecord) {
        self.terminal_jobs.put(id, over);
        self.cache.active_jobs.remove(id);
        // It ended after the view was read that this process had until now.
        let since = self.cache.view_as_of.min(self.now);
        for partition in self.partitions.values_mut() {
            partition.drop_job(id, since);
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
        self.outbox.log(LogLevel::Info, || format!("part {name}: handed back"));
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
