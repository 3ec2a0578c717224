//! Calls that are under way: what the reply to each belongs to. Plain data, without any decision.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{Instance, ScaleOutRequest};
use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, CLUSTER_PREFIX, MACHINE_PREFIX, MachineRecords,
    PARTITION_PREFIX,
};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, Ranges};

use crate::messages::RequestId;

/// What an answer from the store belongs to.
#[derive(Debug)]
pub(crate) enum PendingStoreCall {
    /// Nothing depends on the answer: a hint for a peer, or the removal of what nobody needs.
    Ignored,
    /// The kept catalogue is read, or written.
    ReadCatalogue,
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
    /// A page of the records is listed.
    List {
        listing: u64,
        section: Section,
    },
    /// A version was announced, or raised.
    Cluster {
        write: ClusterWrite,
        lease: u64,
    },
    /// Machines move from a block of the first form to small ones.
    SplitGroup {
        key: String,
        small: Vec<(String, MachineRecords)>,
        is_complete: bool,
    },
    Watch {
        number: u64,
        sent: Micros,
    },
    /// The present revision, for the questions that wait for it, and for the age of the view.
    Revision {
        asked: Vec<PendingLookup>,
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
        tries: u32,
    },
    JobWrite(Box<JobWrite>),
    Reread {
        partition: String,
        term: u64,
        job: String,
    },
    RereadTerminalJob {
        partition: String,
        term: u64,
        job: String,
    },
    StealWrite {
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

/// Names an attempt on a machine. The attempts of a job are neighbours in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub task: TaskId,
    /// A number that no other attempt ever had.
    pub attempt: u64,
}

/// What an answer from a worker belongs to.
#[derive(Debug, Default)]
pub(crate) struct PendingWorkerCall {
    pub partition: String,
    pub term: u64,
    pub machine: String,
    /// The attempts whose `run` the call carries.
    pub run_attempts: Vec<AttemptKey>,
    /// A machine that nobody knew is asked whether it is there.
    pub confirms_presence: bool,
    /// Any machine is asked, to see whether workers are reached from here.
    pub probe: bool,
}

/// What an answer from the cloud belongs to.
#[derive(Debug)]
pub(crate) enum PendingCloudCall {
    Catalogue,
    ScaleOutRequest { partition: String, term: u64, request: ScaleOutRequest },
    ScaleIn { partition: Option<(String, u64)>, machines: Vec<String> },
    List { seen: Vec<Instance> },
}

/// What an answer from a peer belongs to.
#[derive(Debug)]
pub(crate) enum PendingPeerCall {
    Count {
        round: u64,
        node: String,
    },
    Steal {
        partition: String,
    },
    /// Whether the peer reaches the store.
    StoreConnectivity,
    /// A leader was told how many of a partition's machines come here.
    MachinesSeen {
        partition: String,
        machines: u32,
    },
    /// Something was only told.
    Notification,
}

/// How large a transaction was: its largest value, and its changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransactionSize {
    pub value: usize,
    pub ops: usize,
}

/// A transaction that writes a group of machines.
#[derive(Debug)]
pub(crate) struct GroupWrite {
    pub key: String,
    /// The group as it will be.
    pub records: MachineRecords,
    pub added: BTreeSet<String>,
    pub dropped: BTreeSet<String>,
    /// The partitions whose machines the change concerns, with their terms.
    pub partitions: BTreeMap<String, u64>,
}

/// A transaction that changes the record of a job.
#[derive(Debug)]
pub(crate) struct JobWrite {
    pub partition: String,
    pub term: u64,
    pub job: String,
    pub action: JobWriteAction,
    /// The newly finished tasks that it records.
    pub recorded: Ranges,
    /// The pages that it writes.
    pub pages: Vec<PageWrite>,
}

/// A page of finished tasks as it is written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PageWrite {
    pub number: u32,
    /// All that has finished of it.
    pub finished: Ranges,
}

/// What a transaction does with the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobWriteAction {
    /// Writes it anew.
    Record,
    /// Writes pages only, on condition of the record as it is.
    PagesOnly,
    /// Ends the job.
    End,
}

/// Why a job is read from the store.
#[derive(Debug)]
pub(crate) enum JobReadPurpose {
    /// Whether a submission that cannot be accepted is of a known job; `refuse` says whether an
    /// unknown one is refused for good.
    Submit {
        id: RequestId,
        job: String,
        refuse: bool,
    },
    Lookup {
        id: RequestId,
        job: String,
    },
    Cancel {
        id: RequestId,
        job: String,
        tries: u32,
    },
}

impl JobReadPurpose {
    /// The request that waits for the answer.
    pub fn request(&self) -> RequestId {
        match self {
            JobReadPurpose::Submit { id, .. }
            | JobReadPurpose::Lookup { id, .. }
            | JobReadPurpose::Cancel { id, .. } => *id,
        }
    }

    /// The job that is read.
    pub fn job(&self) -> &str {
        match self {
            JobReadPurpose::Submit { job, .. }
            | JobReadPurpose::Lookup { job, .. }
            | JobReadPurpose::Cancel { job, .. } => job,
        }
    }
}

/// Ranges of one job that a transaction moves, and the job's record after it.
#[derive(Debug)]
pub(crate) struct TaskMove {
    pub job: String,
    pub cut: Ranges,
    pub record: ActiveJobRecord,
}

/// A question that waits.
#[derive(Debug)]
pub(crate) struct PendingLookup {
    pub id: RequestId,
    pub job: String,
    pub since: Micros,
}

/// Records of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Section {
    Partitions,
    Machines,
    Jobs,
    /// Listed after the jobs: what has moved from a job's record to a page is in one of the two at least.
    Pages,
    Cluster,
}

impl Section {
    #[cfg(test)]
    pub(crate) const ALL: [Section; 5] =
        [Section::Partitions, Section::Machines, Section::Jobs, Section::Pages, Section::Cluster];

    /// Prefix of the keys of the section.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Section::Partitions => PARTITION_PREFIX,
            Section::Machines => MACHINE_PREFIX,
            Section::Jobs => ACTIVE_JOB_PREFIX,
            Section::Pages => PAGE_PREFIX,
            Section::Cluster => CLUSTER_PREFIX,
        }
    }

    /// The section that is listed next.
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

/// What was asked of the store for the cluster version.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ClusterWrite {
    /// This process's version was announced.
    AnnounceVersion,
    /// Smaller blocks of machines were agreed on.
    SetGroupSize,
    /// The cluster version was raised.
    RaiseVersion,
}
