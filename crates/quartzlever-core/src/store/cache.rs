//! What a process knows of the records in the store: the cache that a watch keeps fresh, final states
//! of jobs, and the latest modification revision of each job's record.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use quartzlever_wire::Micros;
use quartzlever_wire::store::{
    ActiveJobRecord, MachineRecord, MachineRecords, PartitionRecord, TerminalJobRecord,
    group_capacity,
};

use crate::store::listing::Listing;

/// The copy of the keys `partitions/`, `hosts/` and `live/` that a watch keeps fresh: all changes up to
/// the revision `revision` are in it, and some later ones.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    pub loaded: bool,
    /// The listing of all records that is under way, and how many were begun.
    pub listing: Option<Listing>,
    pub listings_begun: u64,
    pub retry_at: Micros,
    /// Number of the latest watch, which is open or not, and since when.
    pub watch: u64,
    pub watch_opened_at: Option<Micros>,
    pub next_watch_at: Micros,
    pub revision: u64,
    /// Everything that was committed before this moment is in the copy: the sending of the latest
    /// read that it has caught up with.
    pub view_as_of: Micros,
    /// Reads of the revision that the cache has not caught up with: the revision, and the sending.
    pub pending_revision_reads: VecDeque<(u64, Micros)>,
    /// The revision is being read for the age of the view alone: once at a time, since renewals
    /// share the threads and each call to a store that is away takes its whole patience.
    pub view_read_pending: bool,
    /// When it may be read next.
    pub next_view_read_at: Micros,
    /// The latest revision that any answer told of.
    pub newest_revision: u64,
    pub partitions: BTreeMap<String, (PartitionRecord, u64)>,
    /// Machines by the key of their block, with its modification revision; and where each machine is found.
    pub ownership_groups: BTreeMap<String, (MachineRecords, u64)>,
    pub group_of_machine: HashMap<String, String>,
    pub active_jobs: BTreeMap<String, (ActiveJobRecord, u64)>,
    /// Jobs whose records cannot be read; they are not over for that.
    pub unreadable_jobs: BTreeSet<String>,
}

impl Cache {
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Whether a change of this process is to be taken in with its answer. If the cache has come as far
    /// already, it shows what became of the change: an answer that came after the removal of the
    /// partition's key made a process act for a partition that another one held. While the records
    /// are being listed the listing shows it, or the watch that follows.
    pub fn is_ahead_of_cache(&self, mod_revision: u64) -> bool {
        self.loaded && self.revision < mod_revision
    }

    /// The machines of a partition, each where it is claimed: while a block is split some are in two.
    pub fn machines_of(&self, partition: &str) -> impl Iterator<Item = (&String, &MachineRecord)> {
        let blocks = self.ownership_groups.iter().flat_map(move |(key, (hosts, _))| {
            hosts.iter().filter(move |(host, _)| self.group_of_machine.get(*host) == Some(key))
        });
        blocks.filter(move |(_, record)| record.partition == partition)
    }

    /// The record of a machine, with the partition that it belongs to, as far as is known here.
    pub fn machine_record(&self, host: &str) -> Option<&MachineRecord> {
        let key = self.group_of_machine.get(host)?;
        self.ownership_groups.get(key)?.0.get(host)
    }

    /// Notes a block's machines; `None` if a later state is known. Gives those that are new.
    pub fn record_group(
        &mut self,
        key: &str,
        hosts: MachineRecords,
        mod_revision: u64,
    ) -> Option<MachineRecords> {
        let (before, known) = self.ownership_groups.get(key).cloned().unwrap_or_default();
        if mod_revision != 0 && known >= mod_revision {
            return None;
        }
        // While a block is split its machines are in two.
        for host in before.keys().filter(|h| !hosts.contains_key(*h)) {
            if self.group_of_machine.get(host).is_some_and(|k| k == key) {
                self.group_of_machine.remove(host);
            }
        }
        let mut new = MachineRecords::new();
        for (host, record) in &hosts {
            // One in a smaller block too belongs there: that claim had this block, as it was then, or
            // the size of blocks as a condition, so what stands here is a write that came late.
            let mapped = self.group_of_machine.get(host);
            if mapped.is_some_and(|smaller| group_capacity(smaller) < group_capacity(key)) {
                continue;
            }
            if before.get(host) != Some(record) || mapped.is_none() {
                self.group_of_machine.insert(host.clone(), key.to_owned());
                new.insert(host.clone(), record.clone());
            }
        }
        if hosts.is_empty() {
            self.ownership_groups.remove(key);
        } else {
            self.ownership_groups.insert(key.to_owned(), (hosts, mod_revision));
        }
        Some(new)
    }

    /// Whether a job is neither done nor cancelled, as far as the cache has come.
    pub fn is_active_job(&self, job: &str) -> bool {
        self.active_jobs.contains_key(job) || self.unreadable_jobs.contains(job)
    }

    /// A read sent at that moment has shown this revision to be the present one.
    pub fn read_revision(&mut self, present_revision: u64, sent: Micros) {
        self.newest_revision = self.newest_revision.max(present_revision);
        self.pending_revision_reads.push_back((present_revision, sent));
        self.catch_up();
    }

    /// Reckons the age of the view anew after the cache has come further.
    pub fn catch_up(&mut self) {
        if !self.loaded {
            return;
        }
        let (present_revision, mut view_as_of) = (self.revision, self.view_as_of);
        self.pending_revision_reads.retain(|(revision, sent)| {
            let reached = *revision <= present_revision;
            if reached {
                view_as_of = view_as_of.max(*sent);
            }
            !reached
        });
        self.view_as_of = view_as_of;
    }

    /// How many nodes hold partitions.
    pub fn leaders(&self) -> usize {
        let nodes: BTreeSet<&str> =
            self.partitions.values().map(|(r, _)| r.node.as_str()).collect();
        nodes.len()
    }
}

/// At least so many of the jobs that changed last are remembered, and at most twice as many. Nothing rests
/// on an older one: a final state is read again, and a watch brings no record later than its 12 s of
/// patience, in which the store would have to take 1,600 changes a second to exceed this number.
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
pub(crate) struct TerminalJobs(Remembered<TerminalJobRecord>);

impl TerminalJobs {
    pub fn get(&self, id: &str) -> Option<&TerminalJobRecord> {
        self.0.get(id)
    }

    pub fn put(&mut self, id: &str, over: TerminalJobRecord) {
        self.0.put(id, over);
    }
}

/// The latest modification revision of each job's record that was seen or written, so that an older record,
/// which a watch may bring late, is never taken for news: a partition that had given away its last
/// tasks of a job took them back from such a record, and started them a second time.
#[derive(Debug, Default)]
pub(crate) struct LatestRevisions(Remembered<u64>);

impl LatestRevisions {
    /// Notes a modification revision; `false` if a later one is known.
    pub fn saw(&mut self, id: &str, mod_revision: u64) -> bool {
        let is_late = self.0.get(id).is_some_and(|latest| *latest > mod_revision);
        if !is_late {
            self.0.put(id, mod_revision);
        }
        !is_late
    }
}

#[cfg(test)]
mod tests;
