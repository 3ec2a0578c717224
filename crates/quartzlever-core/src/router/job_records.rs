//! Keeps job records up to date: applies records from the store, writes changed ones, and rereads
//! those that another leader has changed.
//!
//! Every record is applied to the cache, the partitions led by this process, the pages and the
//! final states. The decisions are made in `jobs`. The order of the steps matters: a final state is
//! recorded before an older record of the same job can be applied.

use quartzlever_wire::store::{
    ActiveJobRecord, KeyValue, StoreCall, StoreReply, TerminalJobRecord,
};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Micros, Ranges, SECOND};

use crate::calls::{JobWrite, JobWriteAction, PageWrite, PendingStoreCall};
use crate::events::LogEvent;
use crate::jobs::pages::{PageEntry, WriteLimits, affordable_pages};
use crate::jobs::records::{self, DueWrite, PlannedWrite, WriteOutcome, terminal_job_key};
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::active_job_key;
use crate::store::parse;
use crate::store::write_budget::WriteKind;

/// Number of ranges of finished tasks in the records that one scan writes, from which on it leaves
/// the others to the next scan: the ranges of the largest job, every second task of which has
/// finished.
const MAX_RANGES_PER_SCAN: usize = 50_000;
/// Delay before the next write of a job after a write that failed or that wrote only pages.
const WRITE_RETRY_DELAY: Micros = SECOND / 2;

impl Core {
    /// Applies a job's record to the cache and to every loaded partition that it concerns.
    pub(crate) fn reconcile_job(&mut self, mut record: ActiveJobRecord, mod_revision: u64) {
        // A watch may deliver earlier writes after this process has ended the job itself.
        if self.terminal_jobs.get(&record.job.id).is_some()
            || !self.latest_revisions.record(&record.job.id, mod_revision)
        {
            return;
        }
        self.work.add(1 + record.finished.range_count());
        let known = self.cache.active_job(&record.job.id).map(|known| &known.record);
        self.pages.join_finished(&mut record, known);
        let id = &record.job.id;
        let (now, wall) = (self.now, self.wall());
        for partition in self.partitions.values_mut().filter(|p| p.follows_changes()) {
            if partition.jobs.contains_key(id)
                || record.shares.iter().any(|s| s.partition == partition.name)
            {
                partition.reconcile_job(&self.config, record.clone(), mod_revision, now, wall);
            }
        }
        self.cache.record_active_job(record, mod_revision);
    }

    /// Applies a job's record that a reply of the store or of a peer shows as written at
    /// `mod_revision`.
    ///
    /// A job that the cache lacks at a later revision has ended since, or is still to be listed.
    /// Its final state may be unknown here, if a listing has replaced the changes that the watch
    /// missed.
    pub(crate) fn reconcile_job_from_reply(&mut self, record: ActiveJobRecord, mod_revision: u64) {
        if !self.cache.covers(mod_revision) || self.cache.is_active_job(&record.job.id) {
            self.reconcile_job(record, mod_revision);
        }
    }

    /// Records that a job is done or cancelled, and drops it from the partitions led here.
    pub(crate) fn job_terminated(&mut self, id: &str, terminal: TerminalJobRecord) {
        self.terminal_jobs.insert(id, terminal);
        self.cache.remove_active_job(id);
        self.drop_from_partitions(id);
    }

    /// Drops a job that has ended from the partitions led here.
    pub(crate) fn drop_from_partitions(&mut self, id: &str) {
        // The view still showed the job as active, so it ended no earlier than that view was read.
        let since = self.cache.view_as_of().min(self.now);
        for partition in self.partitions.values_mut() {
            partition.drop_job(id, since, self.now);
        }
    }

    /// Applies a page record from the store.
    pub(crate) fn apply_page_record(&mut self, entry: &KeyValue) {
        match PageEntry::read(entry) {
            PageEntry::NotAPage => {}
            PageEntry::Unreadable => {
                self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key));
            }
            PageEntry::Page { job, number, finished } => {
                self.record_page(job, number, finished, entry.mod_revision);
            }
        }
    }

    /// Records a page that was committed at a modification revision.
    fn record_page(&mut self, job: &str, number: u32, finished: Ranges, mod_revision: u64) {
        self.work.add(1 + finished.range_count());
        self.cache.add_finished(job, &finished);
        for partition in self.partitions.values_mut().filter(|p| p.follows_changes()) {
            if let Some(job) = partition.jobs.get_mut(job) {
                job.apply_page(number, &finished);
            }
        }
        self.pages.insert(job, number, finished, mod_revision);
    }

    /// Removes pages of ended jobs. Only one node does so: the leader of the first partition.
    pub(super) fn remove_leftover_pages(&mut self) {
        if !self.pages.may_remove(self.now) || !self.may_act() {
            return;
        }
        let Some((first, _)) = self.cache.partitions().first_key_value() else { return };
        let Some(partition) = self.partitions.get(first).filter(|partition| partition.is_loaded())
        else {
            return;
        };
        let cache = &self.cache;
        self.pages.remove_leftovers(
            self.now,
            |job| cache.is_active_job(job),
            partition.txn(),
            self.limits.txn_ops(),
            &mut self.write_budget,
            &mut self.outbox,
        );
    }

    /// Writes the changed job records within the write budget, with at most one write in flight per
    /// job: ends of jobs first, then the writes that have been due longest.
    pub(super) fn write_jobs(&mut self) {
        let now = self.now;
        let mut due: Vec<DueWrite> = Vec::new();
        let may_write_progress = self.write_budget.allows(WriteKind::Progress, 1);
        for (name, partition) in self.partitions.iter_mut().filter(|(_, p)| p.is_loaded()) {
            let jobs = partition.jobs.iter().map(|(id, job)| (id, &**job));
            for id in records::collect_due(name, jobs, may_write_progress, now, &mut due) {
                partition.jobs.swap_remove(&id);
            }
        }
        due.sort();
        let mut ranges = 0;
        for write in due {
            if ranges >= MAX_RANGES_PER_SCAN
                || !self.write_budget.try_spend(write.write_kind, write.change_count())
            {
                break;
            }
            ranges += self.write_job(&write.partition, &write.job);
        }
    }

    /// Writes the record of a job. Returns the number of its ranges of finished tasks, each of which
    /// is visited a few times.
    fn write_job(&mut self, name: &str, id: &str) -> usize {
        let now = self.now;
        let pause = self.config.operator.progress_write;
        let limits = WriteLimits {
            value_bytes: self.limits.value_bytes(),
            pages: affordable_pages(&self.write_budget, self.limits.txn_ops()),
        };
        let paging_supported = self.cluster.supports_pages();
        let Some(partition) = self.partitions.get_mut(name) else { return 0 };
        let (term, leader_txn) = (partition.term, partition.txn());
        let Some(job) = partition.jobs.get_mut(id) else { return 0 };
        let ranges = job.record.finished.range_count() + job.finished.range_count();
        self.work.add(1 + ranges);
        let Some(planned) =
            records::plan_write(leader_txn, job, &self.pages, paging_supported, limits)
        else {
            job.postpone_write(now + 2 * pause);
            return ranges;
        };
        job.begin_write(now + pause);
        let PlannedWrite { txn, action, recorded, pages } = planned;
        self.write_budget.spend(pages.len());
        let write = JobWrite {
            partition: name.to_owned(),
            term,
            job: id.to_owned(),
            action,
            recorded,
            pages,
        };
        self.outbox.call_store(
            CallPriority::Work,
            StoreCall::Txn(txn),
            PendingStoreCall::JobWrite(Box::new(write)),
        );
        ranges
    }

    /// Handles the reply to the write of a job.
    pub(crate) fn job_written(&mut self, write: JobWrite, result: Result<StoreReply, CallError>) {
        let JobWrite { partition: name, term, job: id, action, recorded, pages } = write;
        let outcome = WriteOutcome::of(&result, &name);
        if let WriteOutcome::Committed { mod_revision } = outcome {
            if action != JobWriteAction::PagesOnly {
                self.latest_revisions.record(&id, mod_revision);
            }
            if !self.cache.covers(mod_revision) {
                for PageWrite { number, finished } in pages {
                    self.record_page(&id, number, finished, mod_revision);
                }
            }
        }
        let now = self.now;
        let Some(partition) = self.partition_at_term(&name, term) else { return };
        let Some(job) = partition.jobs.get_mut(&id) else { return };
        job.end_write();
        match (outcome, action) {
            (WriteOutcome::Committed { .. }, JobWriteAction::End) => {
                let done = job.record.job.tasks;
                self.job_terminated(&id, TerminalJobRecord { phase: JobPhase::Done, done });
            }
            (WriteOutcome::Committed { mod_revision }, JobWriteAction::Record) => {
                self.progress_written(&name, &id, &recorded, mod_revision);
            }
            (WriteOutcome::PartitionLost, _) => self.lose_partition(&name, term),
            (WriteOutcome::RecordChanged, _) => {
                job.begin_reread();
                self.reread_job(&name, term, &id);
            }
            (WriteOutcome::Committed { .. }, JobWriteAction::PagesOnly)
            | (WriteOutcome::Failed, _) => job.retry_write(now + WRITE_RETRY_DELAY),
        }
    }

    /// Handles the commit of a job's record with newly finished tasks.
    fn progress_written(&mut self, name: &str, id: &str, recorded: &Ranges, mod_revision: u64) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let Some(job) = partition.jobs.get_mut(id) else { return };
        let placement_wanted = job.progress_written(recorded, mod_revision);
        let record = (job.mod_revision() == mod_revision).then(|| job.record.clone());
        partition.placement_wanted |= placement_wanted;
        if let Some(record) = record {
            // Applied here, so that the watch event of the same write changes nothing.
            self.reconcile_job_from_reply(record, mod_revision);
        }
    }

    /// Reads a job's record again after a write found that it had changed.
    pub(crate) fn reread_job(&mut self, partition: &str, term: u64, job: &str) {
        let pending = PendingStoreCall::RereadActiveJob {
            partition: partition.into(),
            term,
            job: job.into(),
        };
        self.outbox.call_store(CallPriority::Work, StoreCall::Get(active_job_key(job)), pending);
    }

    /// Handles the reread of an active job; without a record, reads the job's final state.
    pub(crate) fn active_job_reread(
        &mut self,
        name: &str,
        term: u64,
        id: &str,
        result: Result<StoreReply, CallError>,
    ) {
        let now = self.now;
        let Some(partition) = self.partition_at_term(name, term) else { return };
        let Some(job) = partition.jobs.get_mut(id) else { return };
        job.end_write();
        match result {
            Ok(StoreReply::Read(entry)) => {
                if let Some(record) = parse::<ActiveJobRecord>(&entry) {
                    self.reconcile_job_from_reply(record, entry.mod_revision);
                }
            }
            Ok(StoreReply::Absent { .. }) => {
                job.begin_reread();
                let pending = PendingStoreCall::RereadTerminalJob {
                    partition: name.into(),
                    term,
                    job: id.to_owned(),
                };
                self.outbox.call_store(
                    CallPriority::Work,
                    StoreCall::Get(terminal_job_key(id)),
                    pending,
                );
            }
            _ => {
                job.retry_write(now + WRITE_RETRY_DELAY);
            }
        }
    }

    /// Handles the reread of a job's final state.
    pub(crate) fn terminal_job_reread(
        &mut self,
        name: &str,
        term: u64,
        id: &str,
        result: Result<StoreReply, CallError>,
    ) {
        let now = self.now;
        if let Ok(StoreReply::Read(entry)) = &result
            && let Some(terminal) = parse::<TerminalJobRecord>(entry)
        {
            return self.job_terminated(id, terminal);
        }
        if let Some(partition) = self.partition_at_term(name, term)
            && let Some(job) = partition.jobs.get_mut(id)
        {
            job.end_write();
            job.retry_write(now + WRITE_RETRY_DELAY);
        }
    }
}
