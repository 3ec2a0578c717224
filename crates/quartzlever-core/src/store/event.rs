//! What the store tells of its records: changes that a watch brings, and records that are listed.
//!
//! Decides which records are read at all. What each means for a component is no concern of this module.

use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_PREFIX, Event, KeyValue, MACHINE_PREFIX, MACHINES_SEEN_PREFIX,
    PARTITION_PREFIX, PartitionRecord, TERMINAL_JOB_PREFIX, TerminalJobRecord,
};

use crate::calls::Section;
use crate::store::cache::Cache;
use crate::store::parse;
use crate::store::recent_jobs::TerminalJobs;

/// A record as the store has it, or its removal.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// A partition is held by a process.
    Partition {
        name: String,
        record: PartitionRecord,
        mod_revision: u64,
    },
    PartitionDeleted {
        name: String,
        mod_revision: u64,
    },
    /// A block of machines is as listed, or has changed.
    MachineGroup {
        entry: KeyValue,
        is_change: bool,
    },
    MachineGroupDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The record of a job that is neither done nor cancelled, which may be unreadable.
    Job(KeyValue),
    JobDeleted {
        id: String,
        mod_revision: u64,
    },
    /// A job is done or cancelled for good.
    JobTerminated {
        id: String,
        record: TerminalJobRecord,
    },
    /// Finished tasks of a job.
    Page(KeyValue),
    PageDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The cluster version, a node's version, or the size of blocks.
    Cluster(KeyValue),
    ClusterDeleted {
        key: String,
        mod_revision: u64,
    },
    /// A node tells how many of the machines it hears.
    MachinesSeen(KeyValue),
}

impl StoreEvent {
    /// What a watch tells, if it is news to a cache that knew all changes up to the revision `known`
    /// before that watch answered.
    pub fn watched(
        event: Event,
        known: u64,
        cache: &Cache,
        terminal_jobs: &TerminalJobs,
    ) -> Option<Self> {
        match event {
            Event::Write { mod_revision, .. } | Event::Delete { mod_revision, .. }
                if mod_revision <= known =>
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

    /// A record that a listing has brought.
    pub fn listed(section: Section, entry: KeyValue) -> Option<Self> {
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
        } else if entry.key.starts_with(MACHINE_PREFIX) {
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
            let record = parse::<TerminalJobRecord>(&entry)?;
            Some(StoreEvent::JobTerminated { id, record })
        }
    }

    fn deleted(key: String, mod_revision: u64) -> Option<Self> {
        if let Some(name) = key.strip_prefix(PARTITION_PREFIX) {
            Some(StoreEvent::PartitionDeleted { name: name.to_owned(), mod_revision })
        } else if key.starts_with(PAGE_PREFIX) {
            Some(StoreEvent::PageDeleted { key, mod_revision })
        } else if key.starts_with(CLUSTER_PREFIX) {
            Some(StoreEvent::ClusterDeleted { key, mod_revision })
        } else if key.starts_with(MACHINE_PREFIX) {
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

/// Whether a record at this modification revision, or a later one, has been taken in: by the write of this very
/// process, most of the time. Such records are not even read.
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
        key.starts_with(MACHINE_PREFIX) && cache.is_group_known(key, mod_revision)
    }
}

#[cfg(test)]
mod tests;
