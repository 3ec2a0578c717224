//! Records and deletions that the store delivers through a watch or a listing.
//!
//! This module classifies them by key and decides which of them need to be parsed at all. The
//! router applies them to the components.

use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_PREFIX, Event, KeyValue, MACHINE_GROUP_PREFIX, MACHINES_SEEN_PREFIX,
    PARTITION_PREFIX, PartitionRecord, TERMINAL_JOB_PREFIX, TerminalJobRecord,
};

use crate::calls::Section;
use crate::store::cache::Cache;
use crate::store::parse;
use crate::store::recent_jobs::TerminalJobs;

/// A record in the store, or its deletion.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// The process that leads a partition.
    Partition {
        name: String,
        record: PartitionRecord,
        mod_revision: u64,
    },
    PartitionDeleted {
        name: String,
        mod_revision: u64,
    },
    /// A machine group, either listed or, if `is_change`, changed.
    MachineGroup {
        entry: KeyValue,
        is_change: bool,
    },
    MachineGroupDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The record of an active job, which may be unreadable.
    Job(KeyValue),
    JobDeleted {
        id: String,
        mod_revision: u64,
    },
    /// The final state of a job that is done or cancelled.
    JobTerminated {
        id: String,
        record: TerminalJobRecord,
    },
    /// A final state that cannot be parsed. Its job has ended all the same, as the deletion of the
    /// active record shows.
    UnreadableFinalState {
        key: String,
    },
    /// A page of the finished tasks of a job.
    Page(KeyValue),
    PageDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The cluster version, the announced version of a node, or the agreed group size.
    Cluster(KeyValue),
    ClusterDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The number of machines from which a node receives heartbeats.
    MachinesSeen(KeyValue),
}

impl StoreEvent {
    /// Classifies an event of a watch. Returns `None` if it has no effect: its revision is not
    /// after `known_revision`, the revision of the cache before the watch replied, its record has
    /// already been applied, its key is unknown, or it is an unreadable record of a partition.
    pub fn from_watch(
        event: Event,
        known_revision: u64,
        cache: &Cache,
        terminal_jobs: &TerminalJobs,
    ) -> Option<Self> {
        match event {
            Event::Write { mod_revision, .. } | Event::Delete { mod_revision, .. }
                if mod_revision <= known_revision =>
            {
                None
            }
            Event::Write { write, mod_revision, .. }
                if is_already_applied(&write, mod_revision, cache, terminal_jobs) =>
            {
                None
            }
            Event::Write { write, v, mod_revision } => {
                Self::written(KeyValue { key: write, value: v, mod_revision, lease_id: None })
            }
            Event::Delete { delete, mod_revision } => Self::deleted(delete, mod_revision),
        }
    }

    /// Classifies a record of a listing; returns `None` for a partition whose record is unreadable.
    pub fn from_listing(section: Section, entry: KeyValue) -> Option<Self> {
        match section {
            Section::Partitions => Self::partition(&entry),
            Section::Machines => Some(StoreEvent::MachineGroup { entry, is_change: false }),
            Section::Jobs => Some(StoreEvent::Job(entry)),
            Section::Pages => Some(StoreEvent::Page(entry)),
            Section::Cluster => Some(StoreEvent::Cluster(entry)),
        }
    }

    fn written(entry: KeyValue) -> Option<Self> {
        if entry.key.starts_with(PARTITION_PREFIX) {
            Self::partition(&entry)
        } else if entry.key.starts_with(MACHINE_GROUP_PREFIX) {
            Some(StoreEvent::MachineGroup { entry, is_change: true })
        } else if entry.key.starts_with(ACTIVE_JOB_PREFIX) {
            Some(StoreEvent::Job(entry))
        } else if entry.key.starts_with(PAGE_PREFIX) {
            Some(StoreEvent::Page(entry))
        } else if entry.key.starts_with(CLUSTER_PREFIX) {
            Some(StoreEvent::Cluster(entry))
        } else if entry.key.starts_with(MACHINES_SEEN_PREFIX) {
            Some(StoreEvent::MachinesSeen(entry))
        } else {
            let id = entry.key.strip_prefix(TERMINAL_JOB_PREFIX)?.to_owned();
            Some(match parse::<TerminalJobRecord>(&entry) {
                Some(record) => StoreEvent::JobTerminated { id, record },
                None => StoreEvent::UnreadableFinalState { key: entry.key },
            })
        }
    }

    fn deleted(key: String, mod_revision: u64) -> Option<Self> {
        if let Some(name) = key.strip_prefix(PARTITION_PREFIX) {
            Some(StoreEvent::PartitionDeleted { name: name.to_owned(), mod_revision })
        } else if key.starts_with(PAGE_PREFIX) {
            Some(StoreEvent::PageDeleted { key, mod_revision })
        } else if key.starts_with(CLUSTER_PREFIX) {
            Some(StoreEvent::ClusterDeleted { key, mod_revision })
        } else if key.starts_with(MACHINE_GROUP_PREFIX) {
            Some(StoreEvent::MachineGroupDeleted { key, mod_revision })
        } else {
            let id = key.strip_prefix(ACTIVE_JOB_PREFIX)?.to_owned();
            Some(StoreEvent::JobDeleted { id, mod_revision })
        }
    }

    fn partition(entry: &KeyValue) -> Option<Self> {
        let name = entry.key.strip_prefix(PARTITION_PREFIX)?.to_owned();
        let record = parse(entry)?;
        Some(StoreEvent::Partition { name, record, mod_revision: entry.mod_revision })
    }
}

/// Reports whether the record of `key` has already been applied at `mod_revision` or later, usually
/// because this process wrote it, or belongs to a job whose final state is known. Such records are
/// not parsed.
fn is_already_applied(
    key: &str,
    mod_revision: u64,
    cache: &Cache,
    terminal_jobs: &TerminalJobs,
) -> bool {
    if let Some(id) = key.strip_prefix(ACTIVE_JOB_PREFIX) {
        cache.is_active_job_known(id, mod_revision) || terminal_jobs.get(id).is_some()
    } else if let Some(id) = key.strip_prefix(TERMINAL_JOB_PREFIX) {
        terminal_jobs.get(id).is_some()
    } else {
        key.starts_with(MACHINE_GROUP_PREFIX) && cache.is_group_known(key, mod_revision)
    }
}

#[cfg(test)]
mod tests;
