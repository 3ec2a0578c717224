//! Controllers <-> store: its protocol, and the records that quartzlever keeps there.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Ranges;
use crate::json::Json;
use crate::users::{JobPhase, JobSpec};

pub const PARTITION_PREFIX: &str = "parts/";
/// Prefix of the keys that tell a partition's leader who hears its workers, one for each node that does.
pub const MACHINES_SEEN_PREFIX: &str = "heard/";
pub const ACTIVE_JOB_PREFIX: &str = "live/";
pub const TERMINAL_JOB_PREFIX: &str = "over/";
pub const MACHINE_PREFIX: &str = "hosts/";
/// What controllers understand: the lasting cluster version, and under `nodes/` the version of each
/// process that is up, on its own lease.
pub const CLUSTER_PREFIX: &str = "cluster/";
pub const CLUSTER_VERSION_KEY: &str = "cluster/version";
/// How many machines share a key at most, once a value takes less than the settings say.
pub const GROUP_SIZE_KEY: &str = "cluster/blocks";
pub const NODE_VERSION_PREFIX: &str = "cluster/nodes/";
/// A key that nobody writes: reading it brings the present revision at little cost.
pub const REVISION_PROBE_KEY: &str = "nobody";
/// Key of the catalogue as the cloud last gave it, for a restart while the cloud is down.
pub const CATALOGUE_KEY: &str = "catalogue";

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub path: String,
    pub v: Json,
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    #[serde(rename = "charter", default)]
    pub lease_id: Option<u64>,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    pub rows: Vec<Row>,
    #[serde(default)]
    pub has_next: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction: the key stands at this modification revision, 0 for absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub path: String,
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        v: Json,
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

/// An atomic transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply", default)]
    pub changes: Vec<Change>,
}

impl Txn {
    pub fn when(mut self, path: impl Into<String>, mod_revision: u64) -> Self {
        self.conditions.push(Condition { path: path.into(), mod_revision });
        self
    }

    pub fn write(mut self, path: impl Into<String>, v: Json) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: None });
        self
    }

    pub fn write_held(mut self, path: impl Into<String>, v: Json, lease: u64) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, lease_id: Some(lease) });
        self
    }

    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { delete: path.into() });
        self
    }
}

/// Answer to a transaction: the revision, and the failed conditions if it was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAnswer {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<Vec<String>>,
}

/// A lease to be granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub life_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    #[serde(rename = "charter")]
    pub lease_id: u64,
}

/// One change in the log of a watch.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event {
    Write {
        write: String,
        v: Json,
        #[serde(rename = "stamp")]
        mod_revision: u64,
    },
    Delete {
        delete: String,
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
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub log: Vec<Event>,
}

/// So many machines of a partition came to a node of late that does not hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachinesSeenRecord {
    pub machines: u32,
}

/// Value of `partitions/{name}`: which process holds the partition. The key's modification revision is the term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    pub node: String,
    /// Differs between processes of one node, so that a process knows its own write again.
    pub process: u64,
}

/// Value of `cluster/version`: the version that every controller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterRecord {
    pub version: u32,
}

/// Value of `cluster/blocks`: the size of the blocks of machines, which only ever sinks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSizeRecord {
    pub size: u64,
}

/// Value of `cluster/nodes/{name}`: the version of the node's present process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub version: u32,
    pub process: u64,
}

/// Tasks of a job that one partition answers for since the given term of that partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    #[serde(rename = "part")]
    pub partition: String,
    pub term: u64,
    pub tasks: Ranges,
}

/// Value of `live/{ref}`: an accepted job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    pub job: JobSpec,
    /// Time of day of the submission, in microseconds since 1970.
    pub since: u64,
    pub started: bool,
    pub shares: Vec<Share>,
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

/// Value of `over/{ref}`: a job that is done or cancelled, kept for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    pub phase: JobPhase,
    pub done: u32,
}

/// Machines by name.
pub type MachineRecords = BTreeMap<String, MachineRecord>;

/// Value of `hosts/{block}`: the claimed machines of a block of names. A wave of first heartbeats or
/// of returns is one change then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    pub m: MachineRecords,
}

/// How many numbered names make a block of the first form: their records stay well inside 16 KiB.
pub const LARGE_GROUP_SIZE: u64 = 64;
/// What a machine's record takes at the most of a value, with its name.
const MACHINE_RECORD_BYTES: usize = 128;

/// How many machines a key may hold so that a value stays inside its limit: a power of two, so
/// that small blocks never cross the bounds of those of the first form.
pub fn group_size(value_bytes: usize) -> u64 {
    let most = (value_bytes / MACHINE_RECORD_BYTES).clamp(1, LARGE_GROUP_SIZE as usize) as u64;
    if most.is_power_of_two() { most } else { most.next_power_of_two() / 2 }
}

fn numbered(host: &str) -> Option<(&str, u64)> {
    let stem = host.trim_end_matches(|c: char| c.is_ascii_digit());
    host[stem.len()..].parse().ok().map(|number| (stem, number))
}

/// The key of the block of the first form that a machine's name belongs to.
pub fn large_group_key(host: &str) -> String {
    match numbered(host) {
        Some((stem, number)) => format!("{MACHINE_PREFIX}{stem}~{}", number / LARGE_GROUP_SIZE),
        None => format!("{MACHINE_PREFIX}{host}~"),
    }
}

/// The key of the block of so many machines that a machine's name belongs to.
pub fn group_key(host: &str, size: u64) -> String {
    match numbered(host).filter(|_| size < LARGE_GROUP_SIZE) {
        Some((stem, number)) => format!("{MACHINE_PREFIX}{stem}~{size}~{}", number / size),
        None => large_group_key(host),
    }
}

/// How many machines the block under a key may hold; none for the key of a single machine.
pub fn group_capacity(key: &str) -> Option<u64> {
    let mut partitions = key.strip_prefix(MACHINE_PREFIX)?.rsplit('~');
    let (_number, before) = (partitions.next()?, partitions.next()?);
    match partitions.next() {
        Some(_stem) => before.parse().ok(),
        None => Some(LARGE_GROUP_SIZE),
    }
}

/// The machines under a key: a block, or one machine as an earlier version kept it.
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
    if let Some(block) = value.parse::<MachineGroupRecord>() {
        return Some(block.m);
    }
    let Earlier { partition, address, machine_type, zone, spot } = value.parse()?;
    let name = path.strip_prefix(MACHINE_PREFIX)?.to_owned();
    Some(BTreeMap::from([(name, MachineRecord { partition, address, machine_type, zone, spot })]))
}

/// A machine and the partition that it belongs to; a plain list on the wire, to be short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MachineRecordFields", into = "MachineRecordFields")]
pub struct MachineRecord {
    pub partition: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
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

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// What is the present revision?
    Revision,
    Get(String),
    List {
        prefix: String,
        from: Option<String>,
    },
    Txn(Txn),
    Grant {
        life_ms: u64,
    },
    Renew {
        lease: u64,
    },
    Watch {
        from: u64,
        hold_ms: u64,
    },
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    Revision(u64),
    Row(Option<Row>),
    Rows(Rows),
    /// The transaction is in force at this revision.
    Committed(u64),
    /// Some conditions did not hold: these keys.
    Conflict(Vec<String>),
    /// The lease that the call names has ended.
    NoLease,
    /// The store takes no transaction of that size (400): a value, or the whole.
    TooLarge,
    Granted(u64),
    Renewed,
    Watched(WatchAnswer),
    /// The watch started too far back; the keys have to be read again.
    TooOld,
}
