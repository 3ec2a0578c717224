//! What a process knows of the records in the state service: the cache that a watch keeps fresh, final states
//! of jobs, and the latest stamp of each job's record.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use quartzlever_wire::Micros;
use quartzlever_wire::state::{HostRecord, Hosts, LiveRecord, OverRecord, PartRecord};

use crate::listing::Listing;

/// The copy of the keys `parts/`, `hosts/` and `live/` that a watch keeps fresh: all changes up to
/// the revision `revision` are in it, and some later ones.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    pub loaded: bool,
    /// The listing of all records that is under way, and how many were begun.
    pub listing: Option<Listing>,
    pub listings: u64,
    pub retry_at: Micros,
    /// Number of the latest watch, which is open or not, and since when.
    pub watch: u64,
    pub watching: Option<Micros>,
    pub watch_at: Micros,
    pub revision: u64,
    /// Everything that was committed before this moment is in the copy: the sending of the latest
    /// read that it has caught up with.
    pub viewed: Micros,
    /// Reads of the revision that the cache has not caught up with: the revision, and the sending.
    pub ahead: VecDeque<(u64, Micros)>,
    /// The revision is being read for the age of the view alone: once at a time, since renewals
    /// share the threads and each call to a store that is away takes its whole patience.
    pub reading_view: bool,
    /// When it may be read next.
    pub view_read_at: Micros,
    /// The latest revision that any answer told of.
    pub newest: u64,
    pub parts: BTreeMap<String, (PartRecord, u64)>,
    /// Machines by the key of their block, with its stamp; and where each machine is found.
    pub blocks: BTreeMap<String, (Hosts, u64)>,
    pub hosts: HashMap<String, String>,
    pub live: BTreeMap<String, (LiveRecord, u64)>,
    /// Jobs whose records cannot be read; they are not over for that.
    pub unread: BTreeSet<String>,
}

impl Cache {
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Whether a change of this process is to be taken in with its answer. If the cache has come as far
    /// already, it shows what became of the change: an answer that came after the removal of the
    /// partition's key made a process act for a partition that another one held. While the records
    /// are being listed the listing shows it, or the watch that follows.
    pub fn is_news(&self, stamp: u64) -> bool {
        self.loaded && self.revision < stamp
    }

    /// The machines of a partition, each where it is claimed: while a block is split some are in two.
    pub fn machines_of(&self, part: &str) -> impl Iterator<Item = (&String, &HostRecord)> {
        let blocks = self.blocks.iter().flat_map(move |(key, (hosts, _))| {
            hosts.iter().filter(move |(host, _)| self.hosts.get(*host) == Some(key))
        });
        blocks.filter(move |(_, record)| record.part == part)
    }

    /// Whether a job is neither done nor cancelled, as far as the cache has come.
    pub fn is_live(&self, job: &str) -> bool {
        self.live.contains_key(job) || self.unread.contains(job)
    }

    /// A read sent at that moment has shown this revision to be the present one.
    pub fn read_revision(&mut self, epoch: u64, sent: Micros) {
        self.newest = self.newest.max(epoch);
        self.ahead.push_back((epoch, sent));
        self.catch_up();
    }

    /// Reckons the age of the view anew after the cache has come further.
    pub fn catch_up(&mut self) {
        if !self.loaded {
            return;
        }
        let (epoch, mut viewed) = (self.revision, self.viewed);
        self.ahead.retain(|(revision, sent)| {
            let reached = *revision <= epoch;
            if reached {
                viewed = viewed.max(*sent);
            }
            !reached
        });
        self.viewed = viewed;
    }

    /// How many nodes hold parts.
    pub fn holders(&self) -> usize {
        let nodes: BTreeSet<&str> = self.parts.values().map(|(r, _)| r.node.as_str()).collect();
        nodes.len()
    }
}

/// At least so many of the jobs that changed last are remembered, and at most twice as many. Nothing rests
/// on an older one: a final state is read again, and a watch brings no record later than its 12 s of
/// patience, in which the state service would have to take 1,600 changes a second to exceed this number.
const LEAST_REMEMBERED: usize = 20_000;

/// Something about each of the jobs that changed last, by their ids, in two generations: when the recent
/// one is full it becomes the older one, and what was older is forgotten.
#[derive(Debug)]
struct Remembered<T> {
    recent: HashMap<String, T>,
    older: HashMap<String, T>,
}

impl<T> Default for Remembered<T> {
    fn default() -> Self {
        Remembered { recent: HashMap::new(), older: HashMap::new() }
    }
}

impl<T> Remembered<T> {
    fn get(&self, id: &str) -> Option<&T> {
        self.recent.get(id).or_else(|| self.older.get(id))
    }

    fn put(&mut self, id: &str, value: T) {
        if let Some(known) = self.recent.get_mut(id) {
            *known = value;
            return;
        }
        if self.recent.len() >= LEAST_REMEMBERED {
            self.older = std::mem::take(&mut self.recent);
        }
        self.older.remove(id);
        self.recent.insert(id.to_owned(), value);
    }
}

/// Final states that were read or written; only these may be remembered.
#[derive(Debug, Default)]
pub(crate) struct FinalStates(Remembered<OverRecord>);

impl FinalStates {
    pub fn get(&self, id: &str) -> Option<&OverRecord> {
        self.0.get(id)
    }

    pub fn put(&mut self, id: &str, over: OverRecord) {
        self.0.put(id, over);
    }
}

/// The latest stamp of each job's record that was seen or written, so that an older record,
/// which a watch may bring late, is never taken for news: a part that had given away its last
/// tasks of a job took them back from such a record, and started them a second time.
#[derive(Debug, Default)]
pub(crate) struct LatestStamps(Remembered<u64>);

impl LatestStamps {
    /// Notes a stamp; `false` if a later one is known.
    pub fn saw(&mut self, id: &str, stamp: u64) -> bool {
        let is_late = self.0.get(id).is_some_and(|latest| *latest > stamp);
        if !is_late {
            self.0.put(id, stamp);
        }
        !is_late
    }
}

#[cfg(test)]
mod tests;
