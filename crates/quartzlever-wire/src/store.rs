//! The protocol between controllers and the store, and the records that quartzlever keeps there.
//!
//! The store counts its changes: that count is its revision, and the revision of a key's latest
//! change is the key's modification revision. A transaction changes keys on the condition that
//! others stand at given modification revisions. A key may be attached to a lease and is deleted
//! with it.
//!
//! | key | record | lease |
//! | --- | --- | --- |
//! | `parts/{partition}` | [`PartitionRecord`] | the leader's |
//! | `heard/{partition}/{node}` | [`MachinesSeenRecord`] | the node's |
//! | `live/{job}` | [`ActiveJobRecord`] | |
//! | `over/{job}` | [`TerminalJobRecord`] | |
//! | `pages/{job}/{number}` | [`PageRecord`](crate::pages::PageRecord) | |
//! | `hosts/{group}` | [`MachineGroupRecord`] | |
//! | `cluster/version` | [`ClusterRecord`] | |
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
/// Prefix of the keys of [`MachinesSeenRecord`], one for each partition and node that its workers
/// report to.
pub const MACHINES_SEEN_PREFIX: &str = "heard/";
/// Prefix of the keys of [`ActiveJobRecord`].
pub const ACTIVE_JOB_PREFIX: &str = "live/";
/// Prefix of the keys of [`TerminalJobRecord`].
pub const TERMINAL_JOB_PREFIX: &str = "over/";
/// Prefix of the keys of [`MachineGroupRecord`].
pub const MACHINE_PREFIX: &str = "hosts/";
/// Prefix of the keys that are about the whole cluster: what its controllers understand.
pub const CLUSTER_PREFIX: &str = "cluster/";
/// Key of the [`ClusterRecord`], which lasts.
pub const CLUSTER_VERSION_KEY: &str = "cluster/version";
/// Key of the [`GroupSizeRecord`]; written once a value of the store takes less than the settings
/// say.
pub const GROUP_SIZE_KEY: &str = "cluster/blocks";
/// Prefix of the keys of [`NodeRecord`], one for each process that is up, on its own lease.
pub const NODE_VERSION_PREFIX: &str = "cluster/nodes/";
/// A key that nobody writes: reading it brings the present revision at little cost.
pub const REVISION_PROBE_KEY: &str = "nobody";
/// Key of the catalogue as the cloud last gave it, for a restart while the cloud is down.
pub const CATALOGUE_KEY: &str = "catalogue";

/// A key with its value and the revision of its last change.
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
    /// The lease that the key is attached to.
    #[serde(rename = "charter", default)]
    pub lease_id: Option<u64>,
}

/// A page of keys: the answer to [`StoreCall::List`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// The keys of the page, in order.
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

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Set the value of a key.
    Write {
        /// The key.
        write: String,
        /// The value.
        v: Json,
        /// The lease that the key is to be attached to.
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        delete: String,
    },
}

/// A transaction: all of its changes are made at one revision if all of its conditions hold,
/// otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes, at most one of each key.
    #[serde(rename = "apply", default)]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds the condition that a key has this modification revision, 0 for absent.
    pub fn if_mod_revision(mut self, path: impl Into<String>, mod_revision: u64) -> Self {
        self.conditions.push(Condition { path: path.into(), mod_revision });
        self
    }

    /// Adds the writing of a key.
    pub fn write(mut self, path: impl Into<String>, v: Json) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: None });
        self
    }

    /// Adds the writing of a key that is attached to a lease.
    pub fn write_with_lease(mut self, path: impl Into<String>, v: Json, lease: u64) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: Some(lease) });
        self
    }

    /// Adds the deletion of a key.
    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { delete: path.into() });
        self
    }
}

/// Answer to a transaction, and to the reading of an absent key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// The store's revision: that of the changes, if they were made.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The keys whose conditions did not hold, if the transaction was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<Vec<String>>,
}

/// Body of the request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// How long the lease lasts after its grant and after each renewal.
    pub life_ms: u64,
}

/// Answer to the request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The number of the lease.
    #[serde(rename = "charter")]
    pub lease_id: u64,
}

/// One change that a watch tells of.
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
    /// A key was deleted, or ended with its lease.
    Delete {
        /// The key.
        delete: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        mod_revision: u64,
    },
}

/// All that a change or an event can hold. An untagged enum would be read into values first, and
/// those could not be carried as text.
#[derive(Deserialize)]
struct Fields {
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
        match Fields::deserialize(d)? {
            Fields { write: Some(write), v: Some(v), lease_id, .. } => {
                Ok(Change::Write { write, v, lease_id })
            }
            Fields { delete: Some(delete), .. } => Ok(Change::Delete { delete }),
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

impl<'de> Deserialize<'de> for Event {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match Fields::deserialize(d)? {
            Fields { write: Some(write), v: Some(v), mod_revision: Some(mod_revision), .. } => {
                Ok(Event::Write { write, v, mod_revision })
            }
            Fields { delete: Some(delete), mod_revision: Some(mod_revision), .. } => {
                Ok(Event::Delete { delete, mod_revision })
            }
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// The revision up to which the log is complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes since the revision that the watch began at, in order.
    #[serde(default)]
    pub log: Vec<Event>,
}

/// Value of `heard/{partition}/{node}`: written by a node that receives heartbeats of a partition
/// it does not hold and cannot reach the leader, for the leader to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachinesSeenRecord {
    /// How many machines of the partition have lately reported to the node.
    pub machines: u32,
}

/// Value of `parts/{partition}`: which process holds the partition, as its leader. The key's
/// modification revision is the leader's term, and the fencing token of its commands to workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Name of the node.
    pub node: String,
    /// Differs between processes of one node, so that a process knows its own write again.
    pub process: u64,
}

/// Value of `cluster/version`: the version that every controller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterRecord {
    /// The version; records are written only in forms that it knows.
    pub version: u32,
}

/// Value of `cluster/blocks`: how many machines a group may hold, which only ever sinks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSizeRecord {
    /// The size, a power of two.
    pub size: u64,
}

/// Value of `cluster/nodes/{node}`: the version of the node's present process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The newest version that the process knows.
    pub version: u32,
    /// The process, as in [`PartitionRecord`].
    pub process: u64,
}

/// Tasks of a job that belong to one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The partition.
    #[serde(rename = "part")]
    pub partition: String,
    /// The term of the partition under which the tasks entered it.
    pub term: u64,
    /// The tasks, finished ones among them.
    pub tasks: Ranges,
}

/// Value of `live/{job}`: an accepted job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    /// The submission.
    pub job: JobSpec,
    /// Time of day of the submission, in microseconds since 1970.
    pub since: u64,
    /// Whether any task has been started.
    pub started: bool,
    /// Which partition each task belongs to.
    pub shares: Vec<Share>,
    /// The finished tasks that are recorded here.
    pub finished: Ranges,
    /// More finished tasks are recorded in [pages](crate::pages); from the second version on.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub paged: bool,
}

impl ActiveJobRecord {
    /// The record of a job that was just accepted.
    pub fn new(job: JobSpec, since: u64, shares: Vec<Share>) -> ActiveJobRecord {
        let finished = Ranges::default();
        ActiveJobRecord { job, since, started: false, shares, finished, paged: false }
    }

    /// Whether the partition answers for tasks of the job, finished ones among them.
    pub fn is_shared_by(&self, partition: &str) -> bool {
        self.shares.iter().any(|share| share.partition == partition)
    }

    /// The tasks of `partition` that are not recorded as finished.
    pub fn owned_by(&self, partition: &str) -> Ranges {
        let mut owned = Ranges::default();
        for share in self.shares.iter().filter(|s| s.partition == partition) {
            owned.add(&share.tasks);
        }
        owned.subtract(&self.finished);
        owned
    }

    /// The partition's tasks that entered it under `term`, so never ran for an earlier leader.
    pub fn entered_under(&self, partition: &str, term: u64) -> Ranges {
        let mut out = Ranges::default();
        for share in self.shares.iter().filter(|s| s.partition == partition && s.term == term) {
            out.add(&share.tasks);
        }
        out
    }

    /// Moves tasks from one partition to another under the given term of the latter.
    pub fn move_tasks(&mut self, tasks: &Ranges, from: &str, to: &str, term: u64) {
        for share in self.shares.iter_mut().filter(|s| s.partition == from) {
            share.tasks.subtract(tasks);
        }
        match self.shares.iter_mut().find(|s| s.partition == to && s.term == term) {
            Some(share) => share.tasks.add(tasks),
            None => self.shares.push(Share { partition: to.into(), term, tasks: tasks.clone() }),
        }
        self.shares.retain(|s| !s.tasks.is_empty());
    }
}

/// Value of `over/{job}`: a job that is done or cancelled, kept for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// How many tasks had run to completion.
    pub done: u32,
}

/// Machines by name.
pub type MachineRecords = BTreeMap<String, MachineRecord>;

/// Value of `hosts/{group}`: the claimed machines of a group of names. Many first heartbeats or
/// returns at once are one change then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// The machines by name.
    #[serde(rename = "m")]
    pub machines: MachineRecords,
}

/// How many numbered names make a group of the first form, whose key does not name the size: their
/// records stay well inside 16 KiB.
pub const LARGE_GROUP_SIZE: u64 = 64;
/// What a machine's record takes at the most of a value, with its name.
const MACHINE_RECORD_BYTES: usize = 128;

/// How many machines a key may hold so that a value stays inside its limit of so many bytes: a
/// power of two, so that small groups never cross the bounds of those of the first form.
pub fn group_size(value_bytes: usize) -> u64 {
    let most = (value_bytes / MACHINE_RECORD_BYTES).clamp(1, LARGE_GROUP_SIZE as usize) as u64;
    if most.is_power_of_two() { most } else { most.next_power_of_two() / 2 }
}

fn numbered(machine: &str) -> Option<(&str, u64)> {
    let stem = machine.trim_end_matches(|c: char| c.is_ascii_digit());
    machine[stem.len()..].parse().ok().map(|number| (stem, number))
}

/// The key of the group of the first form that a machine's name belongs to.
pub fn large_group_key(machine: &str) -> String {
    match numbered(machine) {
        Some((stem, number)) => format!("{MACHINE_PREFIX}{stem}~{}", number / LARGE_GROUP_SIZE),
        None => format!("{MACHINE_PREFIX}{machine}~"),
    }
}

/// The key of the group of so many machines that a machine's name belongs to.
pub fn group_key(machine: &str, size: u64) -> String {
    match numbered(machine).filter(|_| size < LARGE_GROUP_SIZE) {
        Some((stem, number)) => format!("{MACHINE_PREFIX}{stem}~{size}~{}", number / size),
        None => large_group_key(machine),
    }
}

/// How many machines the group under a key may hold; none for the key of a single machine.
pub fn group_capacity(key: &str) -> Option<u64> {
    let mut partitions = key.strip_prefix(MACHINE_PREFIX)?.rsplit('~');
    let (_number, before) = (partitions.next()?, partitions.next()?);
    match partitions.next() {
        Some(_stem) => before.parse().ok(),
        None => Some(LARGE_GROUP_SIZE),
    }
}

/// The machines under a key: a group, or one machine as an earlier version kept it.
pub fn machine_records_in(path: &str, value: &Json) -> Option<MachineRecords> {
    #[derive(Deserialize)]
    struct Earlier {
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
    let Earlier { partition, address, machine_type, zone, spot } = value.parse()?;
    let name = path.strip_prefix(MACHINE_PREFIX)?.to_owned();
    Some(BTreeMap::from([(name, MachineRecord { partition, address, machine_type, zone, spot })]))
}

/// A machine and the partition that it belongs to; stored as a list of its fields, to be short.
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
    /// Whether it is a spot machine.
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
    /// What is the present revision?
    Revision,
    /// Read one key.
    Get(String),
    /// Read a page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// The last key of the page before; none for the first page.
        from: Option<String>,
    },
    /// Carry out a transaction.
    Txn(Txn),
    /// Grant a lease.
    Grant {
        /// How long it lasts after its grant and after each renewal.
        life_ms: u64,
    },
    /// Renew a lease.
    Renew {
        /// The number of the lease.
        lease: u64,
    },
    /// Wait for changes of any key.
    Watch {
        /// Changes after this revision are told.
        from: u64,
        /// How long to wait if there is none.
        hold_ms: u64,
    },
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The present revision.
    Revision(u64),
    /// The key, if it is there.
    Read(Option<KeyValue>),
    /// A page of keys.
    Listed(ListPage),
    /// The transaction is in force at this revision.
    Committed(u64),
    /// Some conditions did not hold: these keys.
    Conflict(Vec<String>),
    /// The lease that the call names has ended.
    NoLease,
    /// The store takes no transaction of that size (400): a value, or the whole.
    TooLarge,
    /// The lease of this number is granted.
    Granted(u64),
    /// The lease is renewed.
    Renewed,
    /// The changes since the revision of the watch, or none.
    Watched(WatchAnswer),
    /// The watch started too far back; the keys have to be read again.
    TooOld,
}
