//! What the store tells of its records: changes that a watch brings, and records that are listed.
//!
//! Decides which records are read at all. What each means for a component is no concern of this module.

use quartzlever_wire::pages::PAGES;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_PREFIX, Event, MACHINE_PREFIX, MACHINES_SEEN_PREFIX,
    PARTITION_PREFIX, PartitionRecord, Row, TERMINAL_JOB_PREFIX, TerminalJobRecord,
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
        row: Row,
        is_change: bool,
    },
    MachineGroupDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The record of a job that is neither done nor cancelled, which may be unreadable.
    Job(Row),
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
    Page(Row),
    PageDeleted {
        key: String,
        mod_revision: u64,
    },
    /// The cluster version, a node's version, or the size of blocks.
    Cluster(Row),
    ClusterDeleted {
        key: String,
        mod_revision: u64,
    },
    /// A node tells how many of the machines it hears.
    MachinesSeen(Row),
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
                Self::written(Row { path: write, v, mod_revision, lease_id: None })
            }
            Event::Delete { delete, mod_revision } => Self::deleted(delete, mod_revision),
        }
    }

    /// A record that a listing has brought.
    pub fn listed(section: Section, row: Row) -> Option<Self> {
        match section {
            Section::Partitions => Self::partition(&row),
            Section::Machines => Some(StoreEvent::MachineGroup { row, is_change: false }),
            Section::Jobs => Some(StoreEvent::Job(row)),
            Section::Pages => Some(StoreEvent::Page(row)),
            Section::Cluster => Some(StoreEvent::Cluster(row)),
        }
    }

    fn written(row: Row) -> Option<Self> {
        if row.path.starts_with(PARTITION_PREFIX) {
            Self::partition(&row)
        } else if row.path.starts_with(MACHINE_PREFIX) {
            Some(StoreEvent::MachineGroup { row, is_change: true })
        } else if row.path.starts_with(ACTIVE_JOB_PREFIX) {
            Some(StoreEvent::Job(row))
        } else if row.path.starts_with(PAGES) {
            Some(StoreEvent::Page(row))
        } else if row.path.starts_with(CLUSTER_PREFIX) {
            Some(StoreEvent::Cluster(row))
        } else if row.path.starts_with(MACHINES_SEEN_PREFIX) {
            Some(StoreEvent::MachinesSeen(row))
        } else {
            let id = row.path.strip_prefix(TERMINAL_JOB_PREFIX)?.to_owned();
            let record = parse::<TerminalJobRecord>(&row)?;
            Some(StoreEvent::JobTerminated { id, record })
        }
    }

    fn deleted(key: String, mod_revision: u64) -> Option<Self> {
        if let Some(name) = key.strip_prefix(PARTITION_PREFIX) {
            Some(StoreEvent::PartitionDeleted { name: name.to_owned(), mod_revision })
        } else if key.starts_with(PAGES) {
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

    fn partition(row: &Row) -> Option<Self> {
        let name = row.path.strip_prefix(PARTITION_PREFIX)?.to_owned();
        let record = parse(row)?;
        Some(StoreEvent::Partition { name, record, mod_revision: row.mod_revision })
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
