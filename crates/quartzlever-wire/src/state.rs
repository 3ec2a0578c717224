//! Controllers <-> state service: its protocol, and the records that quartzlever keeps there.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::Ranges;
use crate::json::Json;
use crate::users::{JobPhase, JobSpec};

pub const PARTS: &str = "parts/";
/// Prefix of the keys that tell a part's holder who hears its workers, one for each node that does.
pub const HEARD: &str = "heard/";
pub const LIVE: &str = "live/";
pub const OVER: &str = "over/";
pub const HOSTS: &str = "hosts/";
/// What controllers understand: the lasting cluster version, and under `nodes/` the version of each
/// process that is up, on its own lease.
pub const CLUSTER: &str = "cluster/";
pub const CLUSTER_VERSION: &str = "cluster/version";
/// How many machines share a key at most, once a value takes less than the settings say.
pub const CLUSTER_BLOCKS: &str = "cluster/blocks";
pub const CLUSTER_NODES: &str = "cluster/nodes/";
/// A key that nobody writes: reading it brings the present revision at little cost.
pub const NOBODY: &str = "nobody";
/// Key of the catalogue as the cloud last gave it, for a restart while the cloud is down.
pub const CATALOGUE: &str = "catalogue";

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub path: String,
    pub v: Json,
    pub stamp: u64,
    #[serde(default)]
    pub charter: Option<u64>,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    pub rows: Vec<Row>,
    #[serde(default)]
    pub has_next: bool,
    pub epoch: u64,
}

/// A condition of a transaction: the key stands at this stamp, 0 for absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub path: String,
    pub stamp: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        v: Json,
        #[serde(skip_serializing_if = "Option::is_none")]
        charter: Option<u64>,
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
    pub fn when(mut self, path: impl Into<String>, stamp: u64) -> Self {
        self.conditions.push(Condition { path: path.into(), stamp });
        self
    }

    pub fn write(mut self, path: impl Into<String>, v: Json) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, charter: None });
        self
    }

    pub fn write_held(mut self, path: impl Into<String>, v: Json, lease: u64) -> Self {
        self.changes.push(Change::Write { write: path.into(), v, charter: Some(lease) });
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
    pub epoch: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<Vec<String>>,
}

/// A lease to be granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    pub life_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldAnswer {
    pub charter: u64,
}

/// One change in the log of a watch.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event {
    Write { write: String, v: Json, stamp: u64 },
    Delete { delete: String, stamp: u64 },
}

/// All that a change or an event can hold. An untagged enum would be read into values first, and
/// those could not be carried as text.
#[derive(Deserialize)]
struct Fields {
    write: Option<String>,
    delete: Option<String>,
    v: Option<Json>,
    charter: Option<u64>,
    stamp: Option<u64>,
}

impl<'de> Deserialize<'de> for Change {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match Fields::deserialize(d)? {
            Fields { write: Some(write), v: Some(v), charter, .. } => {
                Ok(Change::Write { write, v, charter })
            }
            Fields { delete: Some(delete), .. } => Ok(Change::Delete { delete }),
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

impl<'de> Deserialize<'de> for Event {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match Fields::deserialize(d)? {
            Fields { write: Some(write), v: Some(v), stamp: Some(stamp), .. } => {
                Ok(Event::Write { write, v, stamp })
            }
            Fields { delete: Some(delete), stamp: Some(stamp), .. } => {
                Ok(Event::Delete { delete, stamp })
            }
            _ => Err(de::Error::custom("neither a write nor a deletion")),
        }
    }
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    pub epoch: u64,
    #[serde(default)]
    pub log: Vec<Event>,
}

/// So many machines of a part came to a node of late that does not hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardRecord {
    pub machines: u32,
}

/// Value of `parts/{name}`: which process holds the part. The key's stamp is the term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
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
pub struct BlocksRecord {
    pub size: u64,
}

/// Value of `cluster/nodes/{name}`: the version of the node's present process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub version: u32,
    pub process: u64,
}

/// Tasks of a job that one part answers for since the given term of that part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub part: String,
    pub term: u64,
    pub tasks: Ranges,
}

/// Value of `live/{ref}`: an accepted job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveRecord {
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

impl LiveRecord {
    /// The record of a job that was just accepted.
    pub fn new(job: JobSpec, since: u64, shares: Vec<Share>) -> LiveRecord {
        let finished = Ranges::default();
        LiveRecord { job, since, started: false, shares, finished, paged: false }
    }

    /// Whether the part answers for tasks of the job, finished ones among them.
    pub fn is_shared_by(&self, part: &str) -> bool {
        self.shares.iter().any(|share| share.part == part)
    }

    /// The tasks of `part` that are not recorded as finished.
    pub fn owned_by(&self, part: &str) -> Ranges {
        let mut owned = Ranges::default();
        for share in self.shares.iter().filter(|s| s.part == part) {
            owned.add(&share.tasks);
        }
        owned.subtract(&self.finished);
        owned
    }

    /// The part's tasks that entered it under `term`, so never ran for an earlier holder.
    pub fn entered_under(&self, part: &str, term: u64) -> Ranges {
        let mut out = Ranges::default();
        for share in self.shares.iter().filter(|s| s.part == part && s.term == term) {
            out.add(&share.tasks);
        }
        out
    }

    /// Moves tasks from one part to another under the given term of the latter.
    pub fn move_tasks(&mut self, tasks: &Ranges, from: &str, to: &str, term: u64) {
        for share in self.shares.iter_mut().filter(|s| s.part == from) {
            share.tasks.subtract(tasks);
        }
        match self.shares.iter_mut().find(|s| s.part == to && s.term == term) {
            Some(share) => share.tasks.add(tasks),
            None => self.shares.push(Share { part: to.into(), term, tasks: tasks.clone() }),
        }
        self.shares.retain(|s| !s.tasks.is_empty());
    }
}

/// Value of `over/{ref}`: a job that is done or cancelled, kept for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    pub phase: JobPhase,
    pub done: u32,
}

/// Machines by name.
pub type Hosts = BTreeMap<String, HostRecord>;

/// Value of `hosts/{block}`: the claimed machines of a block of names. A wave of first reports or
/// of returns is one change then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBlock {
    pub m: Hosts,
}

/// How many numbered names make a block of the first form: their records stay well inside 16 KiB.
pub const BLOCK: u64 = 64;
/// What a machine's record takes at the most of a value, with its name.
const HOST_BYTES: usize = 128;

/// How many machines a key may hold so that a value stays inside its limit: a power of two, so
/// that small blocks never cross the bounds of those of the first form.
pub fn block_size(value_bytes: usize) -> u64 {
    let most = (value_bytes / HOST_BYTES).clamp(1, BLOCK as usize) as u64;
    if most.is_power_of_two() { most } else { most.next_power_of_two() / 2 }
}

fn numbered(host: &str) -> Option<(&str, u64)> {
    let stem = host.trim_end_matches(|c: char| c.is_ascii_digit());
    host[stem.len()..].parse().ok().map(|number| (stem, number))
}

/// The key of the block of the first form that a machine's name belongs to.
pub fn block_key(host: &str) -> String {
    match numbered(host) {
        Some((stem, number)) => format!("{HOSTS}{stem}~{}", number / BLOCK),
        None => format!("{HOSTS}{host}~"),
    }
}

/// The key of the block of so many machines that a machine's name belongs to.
pub fn small_block_key(host: &str, size: u64) -> String {
    match numbered(host).filter(|_| size < BLOCK) {
        Some((stem, number)) => format!("{HOSTS}{stem}~{size}~{}", number / size),
        None => block_key(host),
    }
}

/// How many machines the block under a key may hold; none for the key of a single machine.
pub fn span_of_block(key: &str) -> Option<u64> {
    let mut parts = key.strip_prefix(HOSTS)?.rsplit('~');
    let (_number, before) = (parts.next()?, parts.next()?);
    match parts.next() {
        Some(_stem) => before.parse().ok(),
        None => Some(BLOCK),
    }
}

/// The machines under a key: a block, or one machine as an earlier version kept it.
pub fn hosts_in(path: &str, value: &Json) -> Option<Hosts> {
    #[derive(Deserialize)]
    struct Earlier {
        part: String,
        address: String,
        kind: String,
        zone: String,
        spot: bool,
    }
    if let Some(block) = value.parse::<HostBlock>() {
        return Some(block.m);
    }
    let Earlier { part, address, kind, zone, spot } = value.parse()?;
    let name = path.strip_prefix(HOSTS)?.to_owned();
    Some(BTreeMap::from([(name, HostRecord { part, address, kind, zone, spot })]))
}

/// A machine and the part that it belongs to; a plain list on the wire, to be short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "HostFields", into = "HostFields")]
pub struct HostRecord {
    pub part: String,
    pub address: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

type HostFields = (String, String, String, String, bool);

impl From<HostFields> for HostRecord {
    fn from((part, address, kind, zone, spot): HostFields) -> Self {
        HostRecord { part, address, kind, zone, spot }
    }
}

impl From<HostRecord> for HostFields {
    fn from(r: HostRecord) -> Self {
        (r.part, r.address, r.kind, r.zone, r.spot)
    }
}

/// A call to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateCall {
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

/// What the state service answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    Revision(u64),
    Row(Option<Row>),
    Rows(Rows),
    /// The transaction is in force at this revision.
    Committed(u64),
    /// Some conditions did not hold: these keys.
    Conflict(Vec<String>),
    /// The lease that the call names has ended.
    NoLease,
    /// The state service takes no transaction of that size (400): a value, or the whole.
    TooLarge,
    Granted(u64),
    Renewed,
    Watched(WatchAnswer),
    /// The watch started too far back; the keys have to be read again.
    TooOld,
}
