//! Calls in flight: the context in which the reply to each is handled. Holds plain data and makes
//! no decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use quartzlever_wire::cloud::{Instance, ScaleOutRequest};
use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, CLUSTER_PREFIX, MACHINE_GROUP_PREFIX, MachineRecords,
    PARTITION_PREFIX,
};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, Ranges};

use crate::messages::RequestId;

/// The context of a call to the store.
#[derive(Debug)]
pub(crate) enum PendingStoreCall {
    /// Nothing depends on the reply: the call writes a hint for a peer or removes an unused key.
    Ignored,
    /// A read or a write of the stored catalogue; nothing follows from the reply to a write.
    StoredCatalogue,
    Grant {
        sent: Micros,
    },
    Renew {
        sent: Micros,
        lease: u64,
    },
    Acquire {
        partition: String,
        lease: u64,
    },
    Release {
        partition: String,
        mod_revision: u64,
    },
    /// A read of one page of a listing.
    List {
        listing: u64,
        section: Section,
    },
    /// An announcement of this process's version, or a write of the cluster version or group size.
    Cluster {
        write: ClusterWrite,
        lease: u64,
    },
    /// A step of the split of an oversized group of machines, such as one of the original form,
    /// into small groups.
    SplitGroup {
        /// Key of the oversized group.
        key: String,
        /// The small groups that the step writes, by key.
        small_groups: Vec<(String, MachineRecords)>,
        /// Whether the step deletes the oversized group.
        is_complete: bool,
    },
    Watch {
        number: u64,
        sent: Micros,
    },
    /// A read of the store's current revision, for the lookups that wait for it and for the age of
    /// the view.
    Revision {
        lookups: Vec<PendingLookup>,
        sent: Micros,
    },
    ReadActiveJob {
        purpose: JobReadPurpose,
    },
    ReadTerminalJob {
        purpose: JobReadPurpose,
    },
    Accept {
        id: RequestId,
        record: Box<ActiveJobRecord>,
    },
    Cancel {
        id: RequestId,
        job: String,
        done: u32,
        attempts: u32,
    },
    JobWrite(Box<JobWrite>),
    /// A read of an active job after a write found that its record had changed.
    RereadActiveJob {
        partition: String,
        term: u64,
        job: String,
    },
    /// A read of the final state of a job whose reread found no active record.
    RereadTerminalJob {
        partition: String,
        term: u64,
        job: String,
    },
    /// A write that moves tasks from a victim to a thief.
    StealWrite {
        /// The victim.
        partition: String,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<TaskMove>,
    },
    WriteGroup(GroupWrite),
    ReadGroup {
        key: String,
    },
}

/// Identifies an attempt on a machine. Keys sort by job first, so the attempts of a job are
/// adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub task: TaskId,
    /// Unique among all attempts of all jobs.
    pub attempt: u64,
}

impl AttemptKey {
    /// Returns the range of the keys of all attempts of a job.
    pub fn range_of_job(job: &str) -> RangeInclusive<AttemptKey> {
        let key =
            |index, attempt| AttemptKey { task: TaskId { job: job.to_owned(), index }, attempt };
        key(0, 0)..=key(u32::MAX, u64::MAX)
    }
}

/// The context of a call to a worker.
#[derive(Debug, Default)]
pub(crate) struct PendingWorkerCall {
    pub partition: String,
    pub term: u64,
    pub machine: String,
    /// The attempts whose `run` command the call carries.
    pub run_attempts: Vec<AttemptKey>,
    /// Whether the call confirms that an unknown machine exists.
    pub confirms_presence: bool,
    /// Whether the call is the probe of a node that is cut off from the workers; the reply shows
    /// that the node reaches them again.
    pub probe: bool,
}

/// The context of a call to the cloud.
#[derive(Debug)]
pub(crate) enum PendingCloudCall {
    Catalogue,
    ScaleOut { partition: String, term: u64, request: ScaleOutRequest },
    ScaleIn { partition: Option<(String, u64)>, machines: Vec<String> },
    List { instances: Vec<Instance> },
}

/// The context of a call to a peer.
#[derive(Debug)]
pub(crate) enum PendingPeerCall {
    Count {
        round: u64,
        node: String,
    },
    Steal {
        partition: String,
    },
    /// The question whether the peer reaches the store.
    StoreConnectivity,
    /// A report to a partition's leader of how many of its machines send their heartbeats here.
    MachinesSeen {
        partition: String,
        machines: u32,
    },
    /// A notification, whose answer carries nothing.
    Notification,
}

/// The size of a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransactionSize {
    /// Size of the largest value, in bytes.
    pub largest_value_bytes: usize,
    /// Number of changes.
    pub changes: usize,
}

/// A transaction that writes a group of machines.
#[derive(Debug)]
pub(crate) struct GroupWrite {
    pub key: String,
    /// Contents of the group after the write.
    pub records: MachineRecords,
    pub added: BTreeSet<String>,
    pub removed: BTreeSet<String>,
    /// The partitions whose machines are added or removed, with their terms.
    pub partition_terms: BTreeMap<String, u64>,
}

/// A transaction that changes the record of a job.
#[derive(Debug)]
pub(crate) struct JobWrite {
    pub partition: String,
    pub term: u64,
    pub job: String,
    pub action: JobWriteAction,
    /// The newly finished tasks that the transaction records.
    pub recorded: Ranges,
    /// The pages of finished tasks that the transaction writes.
    pub pages: Vec<PageWrite>,
}

/// A write of a page of finished tasks.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PageWrite {
    pub number: u32,
    /// All finished tasks of the page, whether or not they were recorded before.
    pub finished: Ranges,
}

/// The effect of a transaction on the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobWriteAction {
    /// Replaces the record.
    Record,
    /// Writes pages only, on the condition that the record is unchanged.
    PagesOnly,
    /// Ends the job.
    End,
}

/// The purpose of reading a job from the store.
#[derive(Debug)]
pub(crate) enum JobReadPurpose {
    /// Finds out whether the job of a submission that cannot be accepted exists already. If it does
    /// not, `reject_if_unknown` tells whether the submission is rejected permanently.
    Submit {
        id: RequestId,
        job: String,
        reject_if_unknown: bool,
    },
    Lookup {
        id: RequestId,
        job: String,
    },
    Cancel {
        id: RequestId,
        job: String,
        attempts: u32,
    },
}

impl JobReadPurpose {
    /// Returns the request that waits for the read.
    pub fn request(&self) -> RequestId {
        match self {
            JobReadPurpose::Submit { id, .. }
            | JobReadPurpose::Lookup { id, .. }
            | JobReadPurpose::Cancel { id, .. } => *id,
        }
    }

    /// Returns the id of the job that is read.
    pub fn job(&self) -> &str {
        match self {
            JobReadPurpose::Submit { job, .. }
            | JobReadPurpose::Lookup { job, .. }
            | JobReadPurpose::Cancel { job, .. } => job,
        }
    }
}

/// The tasks of one job that a transaction moves to another partition.
#[derive(Debug)]
pub(crate) struct TaskMove {
    pub job: String,
    /// The moved tasks.
    pub tasks: Ranges,
    /// The job's record after the move.
    pub record: ActiveJobRecord,
}

/// A lookup of a job that waits until the cache is recent enough.
#[derive(Debug)]
pub(crate) struct PendingLookup {
    pub id: RequestId,
    pub job: String,
    pub queued_at: Micros,
}

/// A kind of records in the store, listed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Section {
    Partitions,
    Machines,
    Jobs,
    /// Listed after the jobs, so that finished tasks that move from a job's record to a page during
    /// the listing are seen in at least one of the two.
    Pages,
    Cluster,
}

impl Section {
    #[cfg(test)]
    pub(crate) const ALL: [Section; 5] =
        [Section::Partitions, Section::Machines, Section::Jobs, Section::Pages, Section::Cluster];

    /// Returns the prefix of the section's keys.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Section::Partitions => PARTITION_PREFIX,
            Section::Machines => MACHINE_GROUP_PREFIX,
            Section::Jobs => ACTIVE_JOB_PREFIX,
            Section::Pages => PAGE_PREFIX,
            Section::Cluster => CLUSTER_PREFIX,
        }
    }

    /// Returns the section that is listed after this one.
    pub(crate) fn next(self) -> Option<Section> {
        match self {
            Section::Partitions => Some(Section::Machines),
            Section::Machines => Some(Section::Jobs),
            Section::Jobs => Some(Section::Pages),
            Section::Pages => Some(Section::Cluster),
            Section::Cluster => None,
        }
    }
}

/// A write by which the controllers agree on the cluster version or on the size of machine groups.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ClusterWrite {
    /// Announces the version of this process.
    AnnounceVersion,
    /// Reduces the size of machine groups that all controllers use.
    SetGroupSize,
    /// Raises the cluster version.
    RaiseVersion,
}
