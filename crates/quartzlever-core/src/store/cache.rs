//! The cache of the records in the store.
//!
//! [`Cache`] owns the copy of the partitions, machines and active jobs that a listing fills and a
//! watch keeps up to date, the revision that it has reached, and the age of that view. Its only
//! call is the read of the revision that renews the view. An older record never replaces a newer
//! one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::store::{
    ActiveJobRecord, MachineRecord, MachineRecords, PartitionRecord, max_group_size,
};
use quartzlever_wire::{Micros, Ranges};

use crate::config::Config;
use crate::outbox::Outbox;
use crate::store::view::View;

/// A record and its modification revision, the revision at which it was last written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub record: T,
    pub mod_revision: u64,
}

impl<T> Versioned<T> {
    /// Creates a record with its modification revision.
    pub fn new(record: T, mod_revision: u64) -> Self {
        Versioned { record, mod_revision }
    }
}

/// The copy of the records of partitions, machines and active jobs. It includes all changes up to
/// its revision, and possibly some later ones.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    loaded: bool,
    revision: u64,
    /// The latest revision in any reply of the store.
    newest_revision: u64,
    view: View,
    partitions: BTreeMap<String, Versioned<PartitionRecord>>,
    /// Machine groups by key.
    groups: BTreeMap<String, Versioned<MachineRecords>>,
    /// The key of the group in which each machine is claimed.
    group_of_machine: HashMap<String, String>,
    active_jobs: BTreeMap<String, Versioned<ActiveJobRecord>>,
    /// Jobs with unreadable records, which still count as active.
    unreadable_jobs: BTreeSet<String>,
}

/// Revision and age of the cache.
impl Cache {
    /// Reports whether a listing has completed and no change has been missed since.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the revision up to which the cache includes all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reports whether a reply of the store had a later revision than the cache.
    pub fn is_behind(&self) -> bool {
        self.newest_revision > self.revision
    }

    /// Reports whether a change at `mod_revision` and what replaced it need not come from anywhere
    /// else: the cache includes them, or the listing in progress and the watch after it deliver
    /// them.
    ///
    /// A reply that shows a record as written at such a revision is not applied: the record may
    /// have been deleted since, and the cache keeps no trace of deleted records.
    pub fn covers(&self, mod_revision: u64) -> bool {
        self.revision >= mod_revision
    }

    /// Reports whether a write of this process that was committed at `mod_revision` has to be
    /// applied to the cache when its reply arrives.
    ///
    /// Once the cache has reached that revision, it already shows the write or what replaced it:
    /// applying a reply that arrived after the deletion of the partition's key made a process act
    /// for a partition that another one led. During a listing, the listing or the watch after it
    /// delivers the write.
    pub fn has_not_reached(&self, mod_revision: u64) -> bool {
        self.loaded && !self.covers(mod_revision)
    }

    /// Returns the time before which all commits are in the cache.
    pub fn view_as_of(&self) -> Micros {
        self.view.as_of()
    }

    /// Records a revision from a reply of the store.
    pub fn record_revision(&mut self, revision: u64) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Records that a read sent at `sent` returned `present_revision` as the store's current
    /// revision.
    pub fn record_revision_read(&mut self, present_revision: u64, sent: Micros) {
        self.record_revision(present_revision);
        self.view.record_revision_read(present_revision, sent);
        self.catch_up();
    }

    /// Records that a watch has delivered all changes up to `revision`.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Reads the revision if the view is too old or dates from before the lease was regained.
    pub fn poll_view(
        &mut self,
        now: Micros,
        config: &Config,
        lease_regained_at: Micros,
        outbox: &mut Outbox,
    ) {
        self.view.poll(now, config, lease_regained_at, outbox);
    }

    /// Records the reply to a read of the revision that served only the view, or its failure.
    pub fn record_view_read_reply(&mut self) {
        self.view.record_read_reply();
    }

    /// Marks the cache as not loaded because changes were missed: all records must be listed again.
    pub fn mark_outdated(&mut self) {
        self.loaded = false;
    }

    /// Discards the records at the start of a listing, which begins at `revision`, but for those
    /// that a reply has shown as written later: the listing need not contain them, and the watch
    /// after it reports if they are deleted.
    pub fn reset(&mut self, revision: u64) {
        self.partitions.retain(|_, known| known.mod_revision > revision);
        self.groups.retain(|_, known| known.mod_revision > revision);
        self.group_of_machine.retain(|_, group| self.groups.contains_key(group));
        self.active_jobs.retain(|_, known| known.mod_revision > revision);
        self.unreadable_jobs.clear();
        self.revision = revision;
    }

    /// Marks the cache as loaded by a listing whose first page was requested at `sent`.
    pub fn complete_listing(&mut self, sent: Micros) {
        self.loaded = true;
        self.view.record_listing(sent);
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
    /// Returns all partitions that have a leader, by name.
    pub fn partitions(&self) -> &BTreeMap<String, Versioned<PartitionRecord>> {
        &self.partitions
    }

    /// Returns the leader record of a partition.
    pub fn partition(&self, name: &str) -> Option<&Versioned<PartitionRecord>> {
        self.partitions.get(name)
    }

    /// Returns the number of nodes that lead partitions.
    pub fn leader_count(&self) -> usize {
        let nodes: BTreeSet<&str> =
            self.partitions.values().map(|leader| leader.record.node.as_str()).collect();
        nodes.len()
    }

    /// Stores the leader record of a partition; returns `false` if a newer record is cached.
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

    /// Removes a partition whose key was deleted at `mod_revision`, unless its record is newer.
    pub fn remove_deleted_partition(&mut self, name: &str, mod_revision: u64) {
        if self.partitions.get(name).is_some_and(|known| known.mod_revision <= mod_revision) {
            self.partitions.remove(name);
        }
    }

    /// Removes a partition whose key no longer has the value written at `mod_revision`, unless the
    /// cached record has another modification revision.
    pub fn partition_released(&mut self, name: &str, mod_revision: u64) {
        if self.partitions.get(name).is_some_and(|known| known.mod_revision == mod_revision) {
            self.partitions.remove(name);
        }
    }
}

/// Machines, which are stored in groups.
impl Cache {
    /// Returns all machine groups, by key.
    pub fn groups(&self) -> &BTreeMap<String, Versioned<MachineRecords>> {
        &self.groups
    }

    /// Returns a machine group.
    pub fn group(&self, key: &str) -> Option<&Versioned<MachineRecords>> {
        self.groups.get(key)
    }

    /// Reports whether a group is cached at `mod_revision` or later.
    pub fn is_group_known(&self, key: &str, mod_revision: u64) -> bool {
        self.groups.get(key).is_some_and(|known| known.mod_revision >= mod_revision)
    }

    /// Returns the key of the group in which a machine is claimed.
    pub fn group_of_machine(&self, machine: &str) -> Option<&String> {
        self.group_of_machine.get(machine)
    }

    /// Reports whether any partition has claimed a machine.
    pub fn is_claimed(&self, machine: &str) -> bool {
        self.group_of_machine.contains_key(machine)
    }

    /// Returns the cached record of a machine, which names the partition that it belongs to.
    pub fn machine_record(&self, machine: &str) -> Option<&MachineRecord> {
        let key = self.group_of_machine.get(machine)?;
        self.groups.get(key)?.record.get(machine)
    }

    /// Returns the machines of a partition. While a group is being split, a machine can be in two
    /// groups: it is returned once, with the record of the group in which it is claimed.
    pub fn machines_of(&self, partition: &str) -> impl Iterator<Item = (&String, &MachineRecord)> {
        let groups = self.groups.iter().flat_map(move |(key, group)| {
            let machines = group.record.iter();
            machines.filter(move |(machine, _)| self.group_of_machine(machine) == Some(key))
        });
        groups.filter(move |(_, record)| record.partition == partition)
    }

    /// Stores the machines of a group and returns those that are new or changed, or `None` if this
    /// or a newer revision of the group is cached.
    pub fn record_group(
        &mut self,
        key: &str,
        machines: MachineRecords,
        mod_revision: u64,
    ) -> Option<MachineRecords> {
        if self.is_group_known(key, mod_revision) {
            return None;
        }
        let previous = self.groups.remove(key).map(|group| group.record).unwrap_or_default();
        let removed = previous.keys().filter(|machine| !machines.contains_key(*machine));
        self.forget_machines_of(key, removed);
        let mut new = MachineRecords::new();
        for (machine, record) in &machines {
            // A machine that is also in a smaller group belongs to that one: the claim there was
            // conditional on the revision of this group or on the agreed group size, so the record
            // here is from a late write.
            let mapped = self.group_of_machine.get(machine);
            if mapped.is_some_and(|mapped| max_group_size(mapped) < max_group_size(key)) {
                continue;
            }
            if previous.get(machine) != Some(record) || mapped.is_none() {
                self.group_of_machine.insert(machine.clone(), key.to_owned());
                new.insert(machine.clone(), record.clone());
            }
        }
        self.groups.insert(key.to_owned(), Versioned::new(machines, mod_revision));
        Some(new)
    }

    /// Removes a group whose key was deleted, or found absent, at `revision`, unless the cached
    /// record is newer.
    ///
    /// The answer to a read may arrive after the watch has delivered later changes: a process that
    /// removed a newer group forgot its machines, and started their tasks a second time when it
    /// acquired the partition again.
    pub fn remove_deleted_group(&mut self, key: &str, revision: u64) {
        if self.groups.get(key).is_some_and(|known| known.mod_revision <= revision)
            && let Some(group) = self.groups.remove(key)
        {
            self.forget_machines_of(key, group.record.keys());
        }
    }

    /// Forgets that machines are claimed in a group. While a group is being split, its machines are
    /// in two groups, and stay claimed in the other one.
    fn forget_machines_of<'a>(&mut self, key: &str, machines: impl Iterator<Item = &'a String>) {
        for machine in machines {
            if self.group_of_machine.get(machine).is_some_and(|group| group == key) {
                self.group_of_machine.remove(machine);
            }
        }
    }
}

/// Active jobs, which are neither done nor cancelled.
impl Cache {
    /// Returns the active jobs with readable records, by id.
    pub fn active_jobs(&self) -> &BTreeMap<String, Versioned<ActiveJobRecord>> {
        &self.active_jobs
    }

    /// Returns the record of an active job.
    pub fn active_job(&self, job: &str) -> Option<&Versioned<ActiveJobRecord>> {
        self.active_jobs.get(job)
    }

    /// Reports whether a job is active at the revision of the cache, even if its record is
    /// unreadable.
    pub fn is_active_job(&self, job: &str) -> bool {
        self.active_jobs.contains_key(job) || self.unreadable_jobs.contains(job)
    }

    /// Reports whether the cache shows that a job has ended. Nothing is known while the cache is not
    /// loaded.
    pub fn shows_as_ended(&self, job: &str) -> bool {
        self.loaded && !self.is_active_job(job)
    }

    /// Reports whether a job's record is cached at `mod_revision` or later.
    pub fn is_active_job_known(&self, job: &str, mod_revision: u64) -> bool {
        self.active_jobs.get(job).is_some_and(|known| known.mod_revision >= mod_revision)
    }

    /// Stores a job's record, unless a newer one is cached.
    pub fn record_active_job(&mut self, record: ActiveJobRecord, mod_revision: u64) {
        let id = &record.job.id;
        self.unreadable_jobs.remove(id);
        if self.active_jobs.get(id).is_none_or(|known| known.mod_revision <= mod_revision) {
            self.active_jobs.insert(id.clone(), Versioned::new(record, mod_revision));
        }
    }

    /// Records that a job's record is unreadable. The job still counts as active.
    pub fn record_unreadable_job(&mut self, job: &str) {
        self.unreadable_jobs.insert(job.to_owned());
    }

    /// Adds finished tasks to a job's record, if it is cached.
    pub fn add_finished(&mut self, job: &str, finished: &Ranges) {
        if let Some(known) = self.active_jobs.get_mut(job) {
            known.record.finished.insert_all(finished);
        }
    }

    /// Removes a job whose record was deleted at `mod_revision`, unless the cached record is newer.
    pub fn remove_deleted_job(&mut self, job: &str, mod_revision: u64) {
        self.unreadable_jobs.remove(job);
        if self.active_jobs.get(job).is_some_and(|known| known.mod_revision <= mod_revision) {
            self.active_jobs.remove(job);
        }
    }

    /// Removes a job that is done or cancelled.
    pub fn remove_active_job(&mut self, job: &str) {
        self.active_jobs.remove(job);
    }
}

#[cfg(test)]
mod tests;
