//! The protocol between controllers and the store, and the records that quartzlever keeps there.
//!
//! The store's revision is the count of its changes. A key's modification revision is the revision
//! of its latest change. A transaction changes keys on the condition that keys have given
//! modification revisions. A key may be attached to a lease and is deleted when the lease ends.
//!
//! | key | record | lease |
//! | --- | --- | --- |
//! | `parts/{partition}` | [`PartitionRecord`] | the leader's |
//! | `heard/{partition}/{node}` | [`MachinesSeenRecord`] | the node's |
//! | `live/{job}` | [`ActiveJobRecord`] | |
//! | `over/{job}` | [`TerminalJobRecord`] | |
//! | `pages/{job}/{number}` | [`PageRecord`](crate::pages::PageRecord) | |
//! | `hosts/{group}` | [`MachineGroupRecord`] | |
//! | `cluster/version` | [`ClusterVersionRecord`] | |
//! | `cluster/blocks` | [`GroupSizeRecord`] | |
//! | `cluster/nodes/{node}` | [`NodeRecord`] | the node's |
//! | `catalogue` | [`Catalogue`](crate::cloud::Catalogue) | |

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Ranges;
use crate::json::Json;
use crate::users::{JobPhase, JobSpec};

/// Prefix of the keys of [`PartitionRecord`].
pub const PARTITION_PREFIX: &str = "parts/";
/// Prefix of the keys of [`MachinesSeenRecord`], one for each partition and node that receives
/// heartbeats of its machines.
pub const MACHINES_SEEN_PREFIX: &str = "heard/";
/// Prefix of the keys of [`ActiveJobRecord`].
pub const ACTIVE_JOB_PREFIX: &str = "live/";
/// Prefix of the keys of [`TerminalJobRecord`].
pub const TERMINAL_JOB_PREFIX: &str = "over/";
/// Prefix of the keys of [`MachineGroupRecord`].
pub const MACHINE_GROUP_PREFIX: &str = "hosts/";
/// Prefix of the keys that concern the whole cluster: the versions of its controllers and the size
/// of machine groups.
pub const CLUSTER_PREFIX: &str = "cluster/";
/// Key of the [`ClusterVersionRecord`], which is permanent.
pub const CLUSTER_VERSION_KEY: &str = "cluster/version";
/// Key of the [`GroupSizeRecord`]; written once the store's limit on values is found to be lower
/// than the settings state.
pub const GROUP_SIZE_KEY: &str = "cluster/blocks";
/// Prefix of the keys of [`NodeRecord`], one for each running process, attached to its lease.
pub const NODE_PREFIX: &str = "cluster/nodes/";
/// A key that is never written. The answer to reading it is short and contains the present
/// revision.
pub const REVISION_PROBE_KEY: &str = "nobody";
/// Key of the latest catalogue from the cloud, for a restart while the cloud is unreachable.
pub const CATALOGUE_KEY: &str = "catalogue";

/// A key with its value and modification revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision of the latest change of the key.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// The lease that the key is attached to, if any.
    #[serde(rename = "charter", default)]
    pub lease_id: Option<u64>,
}

/// A page of keys: the answer to [`StoreCall::List`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// Keys of the page, in ascending order.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether keys follow after the last of this page.
    #[serde(default)]
    pub has_next: bool,
    /// Revision at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub path: String,
    /// The modification revision that the key must have; 0 if it must be absent.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change made by a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Set the value of a key.
    Write {
        /// The key.
        write: String,
        /// The value.
        v: Json,
        /// The lease that the key is attached to, if any.
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        delete: String,
    },
}

/// A transaction. If all conditions hold, all changes are made at one revision; otherwise none is
/// made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes, at most one per key.
    #[serde(rename = "apply", default)]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds the condition that a key has this modification revision, or is absent for 0.
    pub fn if_mod_revision(mut self, path: impl Into<String>, mod_revision: u64) -> Self {
        self.conditions.push(Condition { path: path.into(), mod_revision });
        self
    }

    /// Adds a write of a key.
    pub fn write(mut self, path: impl Into<String>, v: Json) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: None });
        self
    }

    /// Adds a write of a key that is attached to a lease.
    pub fn write_with_lease(mut self, path: impl Into<String>, v: Json, lease: u64) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: Some(lease) });
        self
    }

    /// Adds a deletion of a key.
    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { delete: path.into() });
        self
    }
}

/// Answer to a transaction, and to a read of an absent key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// The store's revision; that of the changes if they were made.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The keys whose conditions did not hold, if the transaction was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<Vec<String>>,
}

/// Body of a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Duration of the lease from its grant and from each renewal.
    pub life_ms: u64,
}

/// Answer to a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Id of the lease.
    #[serde(rename = "charter")]
    pub lease_id: u64,
}

/// A change in the answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Write {
        /// The key.
        write: String,
        /// Its new value.
        v: Json,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        mod_revision: u64,
    },
    /// A key was deleted, by a transaction or with its lease.
    Delete {
        /// The key.
        delete: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        mod_revision: u64,
    },
}

/// All fields of a change and of an event. Deserialization as an untagged enum would parse the
/// value first, so that it could no longer be kept as text.
#[derive(Deserialize)]
struct ChangeFields {
    write: Option<String>,
    delete: Option<String>,
    v: Option<Json>,
    #[serde(rename = "charter")]
    lease_id: Option<u64>,
    #[serde(rename = "stamp")]
    mod_revision: Option<u64>,
}

impl<'de> Deserialize<'de> for Change {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match ChangeFields::deserialize(d)? {
            ChangeFields { write: Some(write), v: Some(v), lease_id, .. } => {
                Ok(Change::Write { write, v, lease_id })
            }
            ChangeFields { delete: Some(delete), .. } => Ok(Change::Delete { delete }),
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

impl<'de> Deserialize<'de> for Event {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match ChangeFields::deserialize(d)? {
            ChangeFields {
                write: Some(write),
                v: Some(v),
                mod_revision: Some(mod_revision),
                ..
            } => Ok(Event::Write { write, v, mod_revision }),
            ChangeFields { delete: Some(delete), mod_revision: Some(mod_revision), .. } => {
                Ok(Event::Delete { delete, mod_revision })
            }
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which the log is complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes since the start revision of the watch, in order.
    #[serde(default)]
    pub log: Vec<Event>,
}

/// Value of `heard/{partition}/{node}`, for the leader of the partition: written by a node that
/// receives heartbeats of the partition's machines, does not lead it and cannot reach the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachinesSeenRecord {
    /// Number of machines of the partition that have recently sent heartbeats to the node.
    pub machines: u32,
}

/// Value of `parts/{partition}`: the process that leads the partition. The key's modification
/// revision is the leader's term and the fencing token of its commands to workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Name of the process's node.
    pub node: String,
    /// Differs between processes of one node, so that a process recognizes its own write.
    pub process: u64,
}

/// Value of `cluster/version`: the version that every controller supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterVersionRecord {
    /// The version; controllers write records only in formats of this version.
    pub version: u32,
}

/// Value of `cluster/blocks`: the maximum number of machines in a group, which never rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSizeRecord {
    /// Maximum number of machines, a power of two.
    pub size: u64,
}

/// Value of `cluster/nodes/{node}`: the version of the node's running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The newest version that the process supports.
    pub version: u32,
    /// The process, as in [`PartitionRecord`].
    pub process: u64,
}

/// The tasks of a job that were assigned to one partition under one of its terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The partition.
    #[serde(rename = "part")]
    pub partition: String,
    /// Term of the partition under which the tasks were assigned to it.
    pub term: u64,
    /// The tasks, including finished ones.
    pub tasks: Ranges,
}

/// Value of `live/{job}`: an accepted job that is neither completed nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    /// The submission.
    pub job: JobSpec,
    /// Wall-clock time of the submission, in microseconds since 1970.
    pub since: u64,
    /// Whether any task has been started.
    pub started: bool,
    /// The partition that each task belongs to.
    pub shares: Vec<Share>,
    /// The finished tasks that are recorded in this record.
    pub finished: Ranges,
    /// Whether more finished tasks are recorded in [pages](crate::pages). Since version 2.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub paged: bool,
}

impl ActiveJobRecord {
    /// Creates the record of a newly accepted job.
    pub fn new(job: JobSpec, since: u64, shares: Vec<Share>) -> ActiveJobRecord {
        let finished = Ranges::default();
        ActiveJobRecord { job, since, started: false, shares, finished, paged: false }
    }

    /// Reports whether tasks of the job belong to the partition, including finished ones.
    pub fn has_tasks_of(&self, partition: &str) -> bool {
        self.shares.iter().any(|share| share.partition == partition)
    }

    /// Returns the tasks of `partition` that this record does not list as finished.
    pub fn unfinished_tasks_of(&self, partition: &str) -> Ranges {
        let mut owned = Ranges::default();
        for share in self.shares.iter().filter(|s| s.partition == partition) {
            owned.insert_all(&share.tasks);
        }
        owned.difference(&self.finished)
    }

    /// Reports whether a task belongs to the partition and is not listed as finished.
    pub fn is_unfinished_task_of(&self, partition: &str, task: u32) -> bool {
        let mut shares = self.shares.iter().filter(|share| share.partition == partition);
        shares.any(|share| share.tasks.contains(task)) && !self.finished.contains(task)
    }

    /// Reports whether a task was assigned to the partition under `term`.
    pub fn is_task_assigned_under(&self, partition: &str, term: u64, task: u32) -> bool {
        let mut shares = self.shares.iter().filter(|s| s.partition == partition && s.term == term);
        shares.any(|share| share.tasks.contains(task))
    }

    /// Reports whether any task of the partition is not listed as finished.
    pub fn has_unfinished_tasks_of(&self, partition: &str) -> bool {
        let mut shares = self.shares.iter().filter(|share| share.partition == partition);
        shares.any(|share| !self.finished.contains_all(&share.tasks))
    }

    /// Returns the tasks that were assigned to the partition under `term`, so that no earlier
    /// leader of it has run them.
    pub fn tasks_assigned_under(&self, partition: &str, term: u64) -> Ranges {
        let mut out = Ranges::default();
        for share in self.shares.iter().filter(|s| s.partition == partition && s.term == term) {
            out.insert_all(&share.tasks);
        }
        out
    }

    /// Moves tasks from partition `from` to partition `to`, under `term` of the latter.
    pub fn move_tasks(&mut self, tasks: &Ranges, from: &str, to: &str, term: u64) {
        for share in self.shares.iter_mut().filter(|s| s.partition == from) {
            share.tasks.remove_all(tasks);
        }
        match self.shares.iter_mut().find(|s| s.partition == to && s.term == term) {
            Some(share) => share.tasks.insert_all(tasks),
            None => self.shares.push(Share { partition: to.into(), term, tasks: tasks.clone() }),
        }
        self.shares.retain(|s| !s.tasks.is_empty());
    }
}

/// Value of `over/{job}`: a job that is completed or cancelled. It is kept permanently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    /// [`Done`](JobPhase::Done) or [`Cancelled`](JobPhase::Cancelled).
    pub phase: JobPhase,
    /// Number of tasks that had run to completion.
    pub done: u32,
}

/// Machine records by name.
pub type MachineRecords = BTreeMap<String, MachineRecord>;

/// Value of `hosts/{group}`: the claimed machines of a group of names. Grouping lets the claims at
/// many first heartbeats, or many scale-ins, share one change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// The machines by name.
    #[serde(rename = "m")]
    pub machines: MachineRecords,
}

/// Number of machines in a large group, the original form of groups, whose key does not contain the
/// size. Their records take far less than 16 KiB.
pub const LARGE_GROUP_SIZE: u64 = 64;
/// The maximum length of a machine's record with its name in a value.
const MAX_MACHINE_RECORD_BYTES: usize = 128;

/// Returns the maximum number of machines in a group whose value may take `value_bytes`. It is a
/// power of two, so that each small group lies within one large group.
pub fn group_size(value_bytes: usize) -> u64 {
    let max = (value_bytes / MAX_MACHINE_RECORD_BYTES).clamp(1, LARGE_GROUP_SIZE as usize) as u64;
    if max.is_power_of_two() { max } else { max.next_power_of_two() / 2 }
}

/// Splits a machine's name into its stem and its number, or returns `None` if it does not end in
/// one.
fn split_number(machine: &str) -> Option<(&str, u64)> {
    let stem = machine.trim_end_matches(|c: char| c.is_ascii_digit());
    machine[stem.len()..].parse().ok().map(|number| (stem, number))
}

/// Returns the key of the large group that a machine belongs to.
pub fn large_group_key(machine: &str) -> String {
    match split_number(machine) {
        Some((stem, number)) => {
            format!("{MACHINE_GROUP_PREFIX}{stem}~{}", number / LARGE_GROUP_SIZE)
        }
        None => format!("{MACHINE_GROUP_PREFIX}{machine}~"),
    }
}

/// Returns the key of the group of `size` machines that a machine belongs to.
pub fn group_key(machine: &str, size: u64) -> String {
    match split_number(machine).filter(|_| size < LARGE_GROUP_SIZE) {
        Some((stem, number)) => format!("{MACHINE_GROUP_PREFIX}{stem}~{size}~{}", number / size),
        None => large_group_key(machine),
    }
}

/// Returns the maximum number of machines in the group under a key, or `None` if the key is that of
/// a single machine.
pub fn max_group_size(key: &str) -> Option<u64> {
    let mut segments = key.strip_prefix(MACHINE_GROUP_PREFIX)?.rsplit('~');
    let (_number, size_or_stem) = (segments.next()?, segments.next()?);
    match segments.next() {
        Some(_stem) => size_or_stem.parse().ok(),
        None => Some(LARGE_GROUP_SIZE),
    }
}

/// Returns the machines under a key: those of a group, or the single machine in the format of an
/// earlier version. Returns `None` if the value has neither format.
pub fn machine_records_in(path: &str, value: &Json) -> Option<MachineRecords> {
    #[derive(Deserialize)]
    struct SingleMachineRecord {
        #[serde(rename = "part")]
        partition: String,
        address: String,
        #[serde(rename = "kind")]
        machine_type: String,
        zone: String,
        spot: bool,
    }
    if let Some(group) = value.parse::<MachineGroupRecord>() {
        return Some(group.machines);
    }
    let SingleMachineRecord { partition, address, machine_type, zone, spot } = value.parse()?;
    let name = path.strip_prefix(MACHINE_GROUP_PREFIX)?.to_owned();
    Some(BTreeMap::from([(name, MachineRecord { partition, address, machine_type, zone, spot })]))
}

/// A machine and the partition that it belongs to. It is stored as a list of its fields, which is
/// short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MachineRecordFields", into = "MachineRecordFields")]
pub struct MachineRecord {
    /// The partition.
    pub partition: String,
    /// Address and port of the machine's worker.
    pub address: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

type MachineRecordFields = (String, String, String, String, bool);

impl From<MachineRecordFields> for MachineRecord {
    fn from((partition, address, machine_type, zone, spot): MachineRecordFields) -> Self {
        MachineRecord { partition, address, machine_type, zone, spot }
    }
}

impl From<MachineRecord> for MachineRecordFields {
    fn from(r: MachineRecord) -> Self {
        (r.partition, r.address, r.machine_type, r.zone, r.spot)
    }
}

/// A call of a controller to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read the present revision.
    Revision,
    /// Read a key.
    Get(String),
    /// Read a page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        from: Option<String>,
    },
    /// Execute a transaction.
    Txn(Txn),
    /// Grant a lease.
    Grant {
        /// Duration of the lease from its grant and from each renewal.
        life_ms: u64,
    },
    /// Renew a lease.
    Renew {
        /// Id of the lease.
        lease: u64,
    },
    /// Wait for changes of any key.
    Watch {
        /// The answer contains the changes after this revision.
        from: u64,
        /// Maximum time to wait if there is no change.
        hold_ms: u64,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The present revision.
    Revision(u64),
    /// The key that was read.
    Read(KeyValue),
    /// The key that was read did not exist.
    Absent {
        /// The store's revision at the time of the read.
        revision: u64,
    },
    /// A page of keys.
    Listed(ListPage),
    /// The transaction is committed at this revision.
    Committed(u64),
    /// The conditions on these keys did not hold.
    Conflict(Vec<String>),
    /// The lease that the call names has ended.
    NoLease,
    /// A value or the whole transaction exceeds the store's size limit (400).
    TooLarge,
    /// The lease with this id is granted.
    Granted(u64),
    /// The lease is renewed.
    Renewed,
    /// The changes since the start revision of the watch, possibly none.
    Watched(WatchAnswer),
    /// The start revision of the watch is too old; the keys have to be listed again.
    TooOld,
}
