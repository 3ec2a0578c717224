//! Applies records that a watch or a listing delivers to the components that they concern, in the
//! order of delivery.

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, KeyValue, PartitionRecord, StoreReply,
};
use quartzlever_wire::{CallError, Micros};

use crate::calls::Section;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::store::event::StoreEvent;
use crate::store::parse;
use crate::store::watch::WATCH_SHARE;

impl Core {
    /// Keeps the cache loaded and fresh: begins a listing while it is not loaded, otherwise polls
    /// the watch and the age of the view.
    pub(super) fn poll_cache(&mut self) {
        if !self.cache.is_loaded() {
            return self.listing.begin(self.now, &mut self.outbox);
        }
        let min_interval = self.min_interval_for(WATCH_SHARE);
        self.watch.poll(self.now, &self.config, min_interval, &self.cache, &mut self.outbox);
        let regained_at = self.lease.regained_at();
        self.cache.poll_view(self.now, &self.config, regained_at, &mut self.outbox);
    }

    /// Handles the reply to a watch, or its failure.
    pub(crate) fn watch_replied(
        &mut self,
        number: u64,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        let Some(answer) = self.watch.handle_reply(self.now, number, result, &mut self.cache)
        else {
            return;
        };
        // An earlier watch may answer after a later one; its events are known already then.
        let known = self.cache.revision();
        for event in answer.log {
            // Whether an event is new depends on the events applied before it.
            let event = StoreEvent::from_watch(event, known, &self.cache, &self.terminal_jobs);
            if let Some(event) = event {
                self.apply_store_event(event);
            }
        }
        self.cache.advance_to(answer.revision);
        // The answer includes at least everything that was committed before the watch was sent.
        self.cache.record_revision_read(answer.revision, sent);
    }

    /// Handles a page of a listing, or its failure.
    pub(crate) fn page_listed(
        &mut self,
        number: u64,
        section: Section,
        result: Result<StoreReply, CallError>,
    ) {
        let Some(page) = self.listing.handle_page(self.now, number, section, result) else {
            return;
        };
        if let Some(revision) = page.listing_revision {
            // The watch starts at the revision of the first page.
            self.cache.reset(revision);
            self.pages.reset(revision);
            self.partitions.values_mut().for_each(Partition::restart_loading);
        }
        if section == Section::Cluster && page.is_first_of_section {
            self.cluster.clear_announcements();
        }
        for entry in page.entries {
            if let Some(event) = StoreEvent::from_listing(section, entry) {
                self.apply_store_event(event);
            }
        }
        if let Some(sent) = self.listing.request_next(section, page.next, &mut self.outbox) {
            self.detect_upgrade();
            self.cache.complete_listing(sent);
            self.reconcile_after_listing();
        }
    }

    fn apply_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Partition { name, record, mod_revision } => {
                self.apply_partition_record(&name, record, mod_revision);
            }
            StoreEvent::PartitionDeleted { name, mod_revision } => {
                self.cache.remove_deleted_partition(&name, mod_revision);
                if self.partitions.get(&name).is_some_and(|p| p.term <= mod_revision) {
                    self.partitions.remove(&name);
                }
            }
            StoreEvent::MachineGroup { entry, is_change } => {
                self.apply_group_record(&entry, is_change)
            }
            StoreEvent::MachineGroupDeleted { key, mod_revision } => {
                self.cache.remove_deleted_group(&key, mod_revision);
            }
            StoreEvent::Job(entry) => self.apply_job_record(&entry),
            StoreEvent::JobDeleted { id, mod_revision } => {
                self.cache.remove_deleted_job(&id, mod_revision);
                if !self.cache.is_active_job(&id) {
                    self.drop_from_partitions(&id);
                }
            }
            StoreEvent::UnreadableFinalState { key } => {
                self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&key));
            }
            StoreEvent::JobTerminated { id, record } => self.job_terminated(&id, record),
            StoreEvent::Page(entry) => self.apply_page_record(&entry),
            StoreEvent::PageDeleted { key, mod_revision } => self.pages.remove(&key, mod_revision),
            StoreEvent::Cluster(entry) => self.apply_cluster_record(&entry),
            StoreEvent::ClusterDeleted { key, mod_revision } => {
                self.apply_cluster_deletion(&key, mod_revision);
            }
            StoreEvent::MachinesSeen(entry) => self.apply_machines_seen_record(&entry),
        }
    }

    /// Applies a job's record from the store. An unreadable record is left alone: its job counts as
    /// active, and lookups read the store for jobs that the cache does not have.
    fn apply_job_record(&mut self, entry: &KeyValue) {
        match parse::<ActiveJobRecord>(entry) {
            Some(record) => self.reconcile_job(record, entry.mod_revision),
            None => {
                if let Some(id) = entry.key.strip_prefix(ACTIVE_JOB_PREFIX) {
                    self.cache.record_unreadable_job(id);
                }
                self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key));
            }
        }
    }

    /// Applies the record of a partition's leader, which may be this process.
    pub(crate) fn apply_partition_record(
        &mut self,
        name: &str,
        record: PartitionRecord,
        mod_revision: u64,
    ) {
        let is_own = record.process == self.process && record.node == self.config.node;
        if !self.cache.record_partition(name, record, mod_revision) {
            return;
        }
        if self.partitions.get(name).is_some_and(|p| p.term < mod_revision) {
            // Another process took the partition over, or a later acquisition of this one
            // committed.
            self.partitions.remove(name);
        }
        if is_own {
            self.begin_leadership(name, mod_revision);
        }
    }

    /// Drops partitions led here whose keys were deleted or held by another process when the
    /// listing began: the watch had missed that change.
    fn drop_lost_partitions(&mut self) {
        let revision = self.cache.revision();
        let is_lost = |name: &str, term: u64| {
            term <= revision
                && self.cache.partition(name).is_none_or(|held| held.mod_revision != term)
        };
        let lost: Vec<(String, u64)> = self
            .partitions
            .values()
            .filter(|partition| is_lost(&partition.name, partition.term))
            .map(|partition| (partition.name.clone(), partition.term))
            .collect();
        for (partition, term) in lost {
            self.partitions.remove(&partition);
            self.outbox
                .log(LogLevel::Info, || LogEvent::PartitionLostUnnoticed { partition, term });
        }
    }

    /// Reconciles the partitions led here with a newly listed cache, since the watch may have
    /// missed changes before the listing.
    fn reconcile_after_listing(&mut self) {
        let now = self.now;
        self.drop_lost_partitions();
        // A job whose record is no newer than the revision of the listing, and that is not listed,
        // has ended. Its tasks are stopped now, since the view counts as fresh from here on. Its
        // final state is read when a user asks for it.
        let revision = self.cache.revision();
        for partition in self.partitions.values_mut().filter(|p| p.is_loaded()) {
            let ended: Vec<String> = partition
                .jobs
                .iter()
                .filter(|(id, job)| job.mod_revision() <= revision && !self.cache.is_active_job(id))
                .map(|(id, _)| id.clone())
                .collect();
            for id in ended {
                partition.drop_job(&id, now, now);
            }
            let name = partition.name.clone();
            for (machine, record) in self.cache.machines_of(&name) {
                if !partition.machines.contains_key(machine)
                    && !partition.fleet.terminated.contains(machine)
                {
                    partition.add_machine(machine, record.clone(), false, now);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
