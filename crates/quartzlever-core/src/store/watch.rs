//! The watch that keeps the cache fresh, and what each of its events means.

use quartzlever_wire::pages::PAGES;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, CLUSTER_PREFIX, Event, MACHINES_SEEN_PREFIX,
    MachineRecords, PARTITION_PREFIX, PartitionRecord, Row, StoreCall, StoreReply,
    TERMINAL_JOB_PREFIX, TerminalJobRecord,
};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::events::LogEvent;
use crate::machines::ownership::is_machine_key;
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::parse;

/// Share of the requests to the store that may open watches.
pub(crate) const WATCH_SHARE: f64 = 0.15;
/// Shortest time between two watches: what comes meanwhile comes together.
pub(crate) const WATCH_PAUSE: Micros = SECOND / 4;
const WATCH_DEAD: Micros = 3 * SECOND / 2;
/// A view that is older than the longest watch by this much is renewed by a read.
const VIEW_LATE: Micros = SECOND;
/// After a watch or a read of the revision that failed.
const RETRY: Micros = SECOND / 2;

impl Core {
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
        let behind = self.cache.view_as_of < self.lease.regained_at();
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
                    self.pages.remove(&delete, mod_revision);
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
                self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&row.path));
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
}
