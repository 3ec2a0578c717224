//! What the store tells of its records, by a watch or a listing, handed to the components that it concerns
//! in the order in which it is told.

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, KeyValue, MachineRecords, PartitionRecord, StoreReply,
};
use quartzlever_wire::{CallError, Micros};

use crate::calls::Section;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::router::Core;
use crate::store::event::StoreEvent;
use crate::store::parse;
use crate::store::watch::WATCH_SHARE;

impl Core {
    /// Keeps the cache of the records, and the watch that feeds it.
    pub(super) fn poll_cache(&mut self) {
        if !self.cache.loaded() {
            return self.listing.begin(self.now, &mut self.outbox);
        }
        let pause = self.min_interval_for(WATCH_SHARE);
        self.watch.poll(self.now, &self.config, pause, &self.cache, &mut self.outbox);
        let regained_at = self.lease.regained_at();
        self.cache.poll_view(self.now, &self.config, regained_at, &mut self.outbox);
    }

    /// A watch has answered, or failed.
    pub(crate) fn watched(
        &mut self,
        number: u64,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        let Some(answer) = self.watch.answered(self.now, number, result, &mut self.cache) else {
            return;
        };
        // An earlier watch may answer after a later one: what it tells is known then.
        let known = self.cache.revision();
        for event in answer.log {
            // Whether it is news depends on what came before it.
            let event = StoreEvent::watched(event, known, &self.cache, &self.terminal_jobs);
            if let Some(event) = event {
                self.apply_store_event(event);
            }
        }
        self.cache.advance(answer.revision);
        // It tells all that was committed before it was opened, at least.
        self.cache.read_revision(answer.revision, sent);
    }

    /// A page of the records was read, or not.
    pub(crate) fn page_listed(
        &mut self,
        number: u64,
        section: Section,
        result: Result<StoreReply, CallError>,
    ) {
        let Some(page) = self.listing.page_listed(self.now, number, section, result) else {
            return;
        };
        if let Some(revision) = page.begins_at {
            // The watch will begin at the revision of the first page.
            self.cache.reset(revision);
            self.pages.clear();
        }
        if section == Section::Cluster && page.begins_section {
            self.cluster.forget_nodes();
        }
        for entry in page.entries {
            if let Some(event) = StoreEvent::listed(section, entry) {
                self.apply_store_event(event);
            }
        }
        if let Some(sent) = self.listing.proceed(section, page.next, &mut self.outbox) {
            self.look_for_upgrade();
            self.cache.listing_complete(sent);
            self.close_gap();
        }
    }

    fn apply_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Partition { name, record, mod_revision } => {
                self.apply_partition_record(&name, record, mod_revision);
            }
            StoreEvent::PartitionDeleted { name, mod_revision } => {
                self.cache.partition_deleted(&name, mod_revision);
                if self.partitions.get(&name).is_some_and(|p| p.term <= mod_revision) {
                    self.partitions.remove(&name);
                }
            }
            StoreEvent::MachineGroup { entry, is_change } => {
                self.apply_group_record(&entry, is_change)
            }
            StoreEvent::MachineGroupDeleted { key, mod_revision } => {
                if self.cache.group(&key).is_some_and(|group| group.mod_revision <= mod_revision) {
                    self.apply_group_change(&key, MachineRecords::new(), mod_revision + 1);
                }
            }
            StoreEvent::Job(entry) => self.apply_job_record(&entry),
            StoreEvent::JobDeleted { id, mod_revision } => {
                self.cache.active_job_deleted(&id, mod_revision);
            }
            StoreEvent::JobTerminated { id, record } => self.job_terminated(&id, record),
            StoreEvent::Page(entry) => self.apply_page_record(&entry),
            StoreEvent::PageDeleted { key, mod_revision } => self.pages.remove(&key, mod_revision),
            StoreEvent::Cluster(entry) => self.apply_cluster_record(&entry),
            StoreEvent::ClusterDeleted { key, mod_revision } => {
                self.cluster_deleted(&key, mod_revision);
            }
            StoreEvent::MachinesSeen(entry) => self.apply_machines_seen_record(&entry),
        }
    }

    /// A job's record as the store has it. One that cannot be read is left alone: its
    /// job stays known, since lookups read what the cache does not have.
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

    /// A partition is held by a process, which may be this one.
    pub(crate) fn apply_partition_record(
        &mut self,
        name: &str,
        record: PartitionRecord,
        mod_revision: u64,
    ) {
        let mine = record.process == self.process && record.node == self.config.node;
        if !self.cache.record_partition(name, record, mod_revision) {
            return;
        }
        if self.partitions.get(name).is_some_and(|p| p.term < mod_revision) {
            // Somebody took the partition over, or a later acquisition of ours came into force.
            self.partitions.remove(name);
        }
        if mine {
            self.begin_leadership(name, mod_revision);
        }
    }

    /// Partitions that are held here although their keys were gone when the listing began, or
    /// another's: that was among the changes that were missed.
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

    /// The cache was made anew: partitions that were held before may have missed changes.
    fn close_gap(&mut self) {
        let now = self.now;
        self.drop_lost_partitions();
        // What was there at the revision at which the listing began, and is not listed, is over:
        // its tasks end here and now, since the view counts as fresh from here on. Which end it
        // came to is read when somebody asks.
        let revision = self.cache.revision();
        for partition in self.partitions.values_mut().filter(|p| p.active()) {
            let over: Vec<String> = partition
                .jobs
                .iter()
                .filter(|(id, job)| job.mod_revision() <= revision && !self.cache.is_active_job(id))
                .map(|(id, _)| id.clone())
                .collect();
            for id in over {
                partition.drop_job(&id, now);
            }
            let name = partition.name.clone();
            for (machine, record) in self.cache.machines_of(&name) {
                if !partition.machines.contains_key(machine)
                    && !partition.autoscaling.terminated.contains(machine)
                {
                    partition.add_machine(machine, record.clone(), false, now);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
