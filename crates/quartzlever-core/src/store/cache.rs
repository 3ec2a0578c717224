//! What a process knows of the records in the store.
//!
//! [`Cache`] owns the copy of partitions, machines and active jobs that a listing fills and a watch keeps
//! fresh, the revision it has come to, and the age of that view. It makes no calls but the read that
//! renews the view, and never takes an older record for a later one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::store::{
    ActiveJobRecord, MachineRecord, MachineRecords, PartitionRecord, group_capacity,
};
use quartzlever_wire::{Micros, Ranges};

use crate::config::Config;
use crate::outbox::Outbox;
use crate::store::view::View;

/// A record, and the revision at which it was written last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub record: T,
    pub mod_revision: u64,
}

impl<T> Versioned<T> {
    /// A record as of its last change.
    pub fn new(record: T, mod_revision: u64) -> Self {
        Versioned { record, mod_revision }
    }
}

/// The copy of the records of partitions, machines and active jobs: all changes up to its revision are in
/// it, and some later ones.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    loaded: bool,
    revision: u64,
    /// The latest revision that any answer told of.
    newest_revision: u64,
    view: View,
    partitions: BTreeMap<String, Versioned<PartitionRecord>>,
    /// Machines by the key of their block; and where each machine is found.
    groups: BTreeMap<String, Versioned<MachineRecords>>,
    group_of_machine: HashMap<String, String>,
    active_jobs: BTreeMap<String, Versioned<ActiveJobRecord>>,
    /// Jobs whose records cannot be read; they are not over for that.
    unreadable_jobs: BTreeSet<String>,
}

/// How far the cache has come.
impl Cache {
    /// Whether all records were listed, and no change has been missed since.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// All changes up to this revision are in the cache.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the store has come further than the cache, as far as any answer told.
    pub fn is_behind(&self) -> bool {
        self.newest_revision > self.revision
    }

    /// Whether a change of this process is to be taken in with its answer. If the cache has come as far
    /// already, it shows what became of the change: an answer that came after the removal of the
    /// partition's key made a process act for a partition that another one held. While the records
    /// are being listed the listing shows it, or the watch that follows.
    pub fn is_ahead_of_cache(&self, mod_revision: u64) -> bool {
        self.loaded && self.revision < mod_revision
    }

    /// Everything that was committed before this moment is in the cache.
    pub fn view_as_of(&self) -> Micros {
        self.view.as_of()
    }

    /// An answer told of this revision.
    pub fn saw_revision(&mut self, revision: u64) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// A read sent at that moment has shown this revision to be the present one.
    pub fn read_revision(&mut self, present_revision: u64, sent: Micros) {
        self.saw_revision(present_revision);
        self.view.revision_read(present_revision, sent);
        self.catch_up();
    }

    /// A watch has told all changes up to this revision.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Reads the revision if the view has become too old, or is from before the lease was regained.
    pub fn poll_view(
        &mut self,
        now: Micros,
        config: &Config,
        lease_regained_at: Micros,
        outbox: &mut Outbox,
    ) {
        self.view.poll(now, config, lease_regained_at, outbox);
    }

    /// The read of the revision for the view alone is answered, or has failed.
    pub fn view_read_answered(&mut self) {
        self.view.read_answered();
    }

    /// Changes were missed: all records are to be listed anew.
    pub fn outdated(&mut self) {
        self.loaded = false;
    }

    /// A listing begins at this revision: nothing that was known before counts any more.
    pub fn reset(&mut self, revision: u64) {
        self.partitions.clear();
        self.groups.clear();
        self.group_of_machine.clear();
        self.active_jobs.clear();
        self.unreadable_jobs.clear();
        self.revision = revision;
    }

    /// A listing whose first page was asked for at that moment is complete.
    pub fn listing_complete(&mut self, sent: Micros) {
        self.loaded = true;
        self.view.listed(sent);
        self.catch_up();
    }

    fn catch_up(&mut self) {
        if self.loaded {
            self.view.catch_up(self.revision);
        }
    }
}

/// Partitions.
impl Cache {
    /// All partitions that somebody holds, by name.
    pub fn partitions(&self) -> &BTreeMap<String, Versioned<PartitionRecord>> {
        &self.partitions
    }

    /// Who holds a partition.
    pub fn partition(&self, name: &str) -> Option<&Versioned<PartitionRecord>> {
        self.partitions.get(name)
    }

    /// How many nodes hold partitions.
    pub fn leaders(&self) -> usize {
        let nodes: BTreeSet<&str> =
            self.partitions.values().map(|held| held.record.node.as_str()).collect();
        nodes.len()
    }

    /// Notes who holds a partition; `false` if a later record is known.
    pub fn record_partition(
        &mut self,
        name: &str,
        record: PartitionRecord,
        mod_revision: u64,
    ) -> bool {
        if self.partitions.get(name).is_some_and(|known| known.mod_revision > mod_revision) {
            return false;
        }
        self.partitions.insert(name.to_owned(), Versioned::new(record, mod_revision));
        true
    }

    /// A partition's key was removed at this revision.
    pub fn partition_deleted(&mut self, name: &str, mod_revision: u64) {
        if self.partitions.get(name).is_some_and(|known| known.mod_revision <= mod_revision) {
            self.partitions.remove(name);
        }
    }

    /// A partition's key is not what it was at this modification revision any more.
    pub fn partition_given_up(&mut self, name: &str, mod_revision: u64) {
        if self.partitions.get(name).is_some_and(|known| known.mod_revision == mod_revision) {
            self.partitions.remove(name);
        }
    }
}

/// Machines, in blocks.
impl Cache {
    /// All blocks of machines, by key.
    pub fn groups(&self) -> &BTreeMap<String, Versioned<MachineRecords>> {
        &self.groups
    }

    /// A block of machines.
    pub fn group(&self, key: &str) -> Option<&Versioned<MachineRecords>> {
        self.groups.get(key)
    }

    /// Whether a block is known as it was at this modification revision, or later.
    pub fn is_group_known(&self, key: &str, mod_revision: u64) -> bool {
        self.groups.get(key).is_some_and(|known| known.mod_revision >= mod_revision)
    }

    /// The key of the block that a machine is claimed in.
    pub fn group_of_machine(&self, machine: &str) -> Option<&String> {
        self.group_of_machine.get(machine)
    }

    /// Whether some partition has claimed a machine.
    pub fn is_claimed(&self, machine: &str) -> bool {
        self.group_of_machine.contains_key(machine)
    }

    /// The record of a machine, with the partition that it belongs to, as far as is known here.
    pub fn machine_record(&self, machine: &str) -> Option<&MachineRecord> {
        let key = self.group_of_machine.get(machine)?;
        self.groups.get(key)?.record.get(machine)
    }

    /// The machines of a partition, each where it is claimed: while a block is split some are in two.
    pub fn machines_of(&self, partition: &str) -> impl Iterator<Item = (&String, &MachineRecord)> {
        let groups = self.groups.iter().flat_map(move |(key, group)| {
            let machines = group.record.iter();
            machines.filter(move |(machine, _)| self.group_of_machine(machine) == Some(key))
        });
        groups.filter(move |(_, record)| record.partition == partition)
    }

    /// Notes a block's machines; `None` if a later state is known. Gives those that are new.
    pub fn record_group(
        &mut self,
        key: &str,
        machines: MachineRecords,
        mod_revision: u64,
    ) -> Option<MachineRecords> {
        let known = self.groups.get(key).map_or(0, |group| group.mod_revision);
        if mod_revision != 0 && known >= mod_revision {
            return None;
        }
        let before = self.groups.remove(key).map(|group| group.record).unwrap_or_default();
        // While a block is split its machines are in two.
        for machine in before.keys().filter(|machine| !machines.contains_key(*machine)) {
            if self.group_of_machine.get(machine).is_some_and(|group| group == key) {
                self.group_of_machine.remove(machine);
            }
        }
        let mut new = MachineRecords::new();
        for (machine, record) in &machines {
            // One in a smaller block too belongs there: that claim had this block, as it was then, or
            // the size of blocks as a condition, so what stands here is a write that came late.
            let mapped = self.group_of_machine.get(machine);
            if mapped.is_some_and(|smaller| group_capacity(smaller) < group_capacity(key)) {
                continue;
            }
            if before.get(machine) != Some(record) || mapped.is_none() {
                self.group_of_machine.insert(machine.clone(), key.to_owned());
                new.insert(machine.clone(), record.clone());
            }
        }
        if !machines.is_empty() {
            self.groups.insert(key.to_owned(), Versioned::new(machines, mod_revision));
        }
        Some(new)
    }
}

/// Jobs that are neither done nor cancelled.
impl Cache {
    /// All of them whose records can be read, by id.
    pub fn active_jobs(&self) -> &BTreeMap<String, Versioned<ActiveJobRecord>> {
        &self.active_jobs
    }

    /// The record of one.
    pub fn active_job(&self, job: &str) -> Option<&Versioned<ActiveJobRecord>> {
        self.active_jobs.get(job)
    }

    /// Whether a job is neither done nor cancelled, as far as the cache has come.
    pub fn is_active_job(&self, job: &str) -> bool {
        self.active_jobs.contains_key(job) || self.unreadable_jobs.contains(job)
    }

    /// Whether a job's record is known as it was at this modification revision, or later.
    pub fn is_active_job_known(&self, job: &str, mod_revision: u64) -> bool {
        self.active_jobs.get(job).is_some_and(|known| known.mod_revision >= mod_revision)
    }

    /// Notes a job's record, unless a later one is known.
    pub fn record_active_job(&mut self, record: ActiveJobRecord, mod_revision: u64) {
        let id = &record.job.id;
        self.unreadable_jobs.remove(id);
        if self.active_jobs.get(id).is_none_or(|known| known.mod_revision <= mod_revision) {
            self.active_jobs.insert(id.clone(), Versioned::new(record, mod_revision));
        }
    }

    /// A job's record cannot be read. Its job stays known.
    pub fn record_unreadable_job(&mut self, job: &str) {
        self.unreadable_jobs.insert(job.to_owned());
    }

    /// More of a job's tasks are known to have finished.
    pub fn add_finished(&mut self, job: &str, finished: &Ranges) {
        if let Some(known) = self.active_jobs.get_mut(job) {
            known.record.finished.add(finished);
        }
    }

    /// A job's record was removed at this revision.
    pub fn active_job_deleted(&mut self, job: &str, mod_revision: u64) {
        self.unreadable_jobs.remove(job);
        if self.active_jobs.get(job).is_some_and(|known| known.mod_revision <= mod_revision) {
            self.active_jobs.remove(job);
        }
    }

    /// A job is done or cancelled for good.
    pub fn active_job_ended(&mut self, job: &str) {
        self.active_jobs.remove(job);
    }
}

#[cfg(test)]
mod tests;
