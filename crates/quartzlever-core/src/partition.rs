//! A partition: the queue of one controller name, the machines that belong to it, and what its
//! present leader knows of both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::{ActiveJobRecord, PARTITION_PREFIX, Txn};
use quartzlever_wire::users::Priority;
use quartzlever_wire::workers::TaskId;

use crate::autoscaling::Fleet;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::{PartitionContext, PartitionJob};
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::call_queue::CallQueue;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::scheduling::Reservations;
use crate::scheduling::free_capacity_index::FreeCapacityIndex;
pub use crate::table::Table;

/// Machine types by name, shared by all partitions of a process.
pub type Types = Arc<BTreeMap<String, MachineType>>;

/// A partition that this process holds.
#[derive(Debug)]
pub struct Partition {
    pub name: String,
    /// The modification revision of the partition's key: the term, and the fencing token of its commands.
    pub term: u64,
    pub acquired: Micros,
    /// From then on no earlier leader answers workers: at once where the partition was given up or
    /// its leader's lease had ended, later where it was taken from a live process.
    pub sole_leader_from: Micros,
    /// Its jobs and machines are known as of the acquisition or later; nothing is decided before.
    pub loaded: bool,
    pub jobs: Table<PartitionJob>,
    pub machines: Table<Machine>,
    /// Whether every machine is known to hold nothing that an earlier leader started unseen.
    pub recovery_complete: bool,
    last_attempt: u64,
    pub autoscaling: Fleet,
    /// Events for the log, taken up with the next decisions.
    pub log_events: Vec<LogEvent>,
    /// Machine types by name; `None` until the catalogue is known.
    pub types: Option<Types>,
    /// Machines that have, or had, attempts of a job: the end of each job was looked for on every
    /// machine, a fourth of all work with 2,000 of them.
    pub machines_by_job: HashMap<String, BTreeSet<String>>,
    /// Free room of the machines that may get tasks.
    pub free_capacity_index: FreeCapacityIndex,
    /// Machines that are to be called.
    pub call_queue: CallQueue,
    /// The whole queue is to be placed; not before `next_placement_at`.
    pub placement_wanted: bool,
    pub next_placement_at: Micros,
    /// It is to be placed again at this time even if nothing happens.
    pub placement_due_at: Option<Micros>,
    pub next_preemption_at: Micros,
    /// Jobs whose ready tasks found no room in the last placement.
    pub jobs_without_capacity: Vec<String>,
    /// The fewest processors that a task of these takes.
    pub unplaced_min_cpus: f64,
    /// What is kept free, and for whom.
    pub reservations: Reservations,
    /// Tasks should start now, and no room can be made for them here.
    pub saturated: bool,
}

impl Partition {
    /// A partition that was just acquired, before its records are loaded.
    pub fn new(name: &str, term: u64, types: Option<Types>, now: Micros) -> Self {
        Partition {
            name: name.to_owned(),
            term,
            acquired: now,
            sole_leader_from: now,
            loaded: false,
            jobs: Table::default(),
            machines: Table::default(),
            recovery_complete: false,
            last_attempt: 0,
            autoscaling: Fleet::default(),
            log_events: Vec::new(),
            types,
            machines_by_job: HashMap::new(),
            free_capacity_index: FreeCapacityIndex::default(),
            call_queue: CallQueue::default(),
            placement_wanted: true,
            next_placement_at: 0,
            placement_due_at: None,
            next_preemption_at: 0,
            jobs_without_capacity: Vec::new(),
            unplaced_min_cpus: f64::INFINITY,
            reservations: Reservations::default(),
            saturated: false,
        }
    }

    /// Whether its records are loaded, so that decisions may be made.
    pub fn active(&self) -> bool {
        self.loaded
    }

    /// Key of its record in the store.
    pub fn key(&self) -> String {
        format!("{PARTITION_PREFIX}{}", self.name)
    }

    /// A transaction that only the present leader of this partition can get into force.
    pub fn txn(&self) -> Txn {
        Txn::default().if_mod_revision(self.key(), self.term)
    }

    /// A number that no attempt ever had: the term is unique and the counter is its leader's.
    pub fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        (self.term << 22) + self.last_attempt
    }

    /// Takes in a job's record as the store has it.
    pub fn reconcile_job(
        &mut self,
        config: &Config,
        record: ActiveJobRecord,
        mod_revision: u64,
        now: Micros,
        wall: Micros,
    ) {
        if !self.jobs.contains_key(&record.job.id) && !PartitionJob::concerns(&record, &self.name) {
            return;
        }
        let context = PartitionContext {
            partition: &self.name,
            term: self.term,
            recovery_complete: self.recovery_complete,
        };
        let team_limited = config.is_team_limited(&record.job.team);
        let id = record.job.id.clone();
        let job = self
            .jobs
            .entry(id)
            .or_insert_with(|| Box::new(PartitionJob::new(record.clone(), now, wall)));
        let taken = job.take_record(record, mod_revision, context, team_limited);
        self.placement_wanted |= taken.placement_wanted;
        if taken.nothing_left_here {
            let id = job.spec().id.clone();
            self.jobs.swap_remove(&id);
        }
    }

    /// Forgets a job that is over, since that moment at the earliest; what is left of it on
    /// machines is to end.
    pub fn drop_job(&mut self, id: &str, since: Micros) {
        if self.jobs.swap_remove(id).is_none() {
            // What machines may have of it is unwanted already.
            return;
        }
        let key =
            |index, attempt| AttemptKey { task: TaskId { job: id.to_owned(), index }, attempt };
        let (first, last) = (key(0, 0), key(u32::MAX, u64::MAX));
        let all = (Bound::Included(&first), Bound::Included(&last));
        for name in self.machines_by_job.remove(id).into_iter().flatten() {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            for (_, state) in machine.attempts.range_mut::<AttemptKey, _>(all) {
                state.wanted = false;
                state.leeway_s = 0.0;
                if state.exited() {
                    state.accounted = true;
                } else {
                    state.job_terminal_since.get_or_insert(since);
                    self.call_queue.add_urgent(name.clone());
                }
            }
        }
    }

    /// Notes that a task is done; it counts once the record says so.
    pub fn finish(&mut self, id: &str, index: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.finish(index, &self.name, now);
        if let Some(place) = job.assignments.get(&index).cloned()
            && let Some(machine) = self.machines.get_mut(&place.machine)
            && let Some(attempt) = machine.attempts.get_mut(&AttemptKey {
                task: TaskId { job: id.to_owned(), index },
                attempt: place.attempt,
            })
        {
            // Another attempt, if that is what it is, has no use any more.
            attempt.wanted = attempt.exited();
            self.call_queue.add_urgent(place.machine);
        }
    }

    /// Puts a task that is surely on no machine back into the queue.
    pub fn requeue(&mut self, task: &TaskId, attempt: u64) {
        let context = PartitionContext {
            partition: &self.name,
            term: self.term,
            recovery_complete: self.recovery_complete,
        };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        self.placement_wanted |= job.requeue(task.index, attempt, context);
    }

    /// Takes up the machine types, or newer ones.
    pub fn use_types(&mut self, types: Types) {
        self.types = Some(types);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.refresh(&name);
        }
        self.placement_wanted = true;
    }

    /// What a team's tasks may be using in this partition, and whether that is known in full: an
    /// attempt of a forgotten job could be anybody's.
    pub fn team_use(&self, team: &str) -> (Resources, bool) {
        let mut sum = Resources::default();
        let mut certain = true;
        for attempt in self.active_attempts() {
            if attempt.team == team {
                sum.add(&attempt.need);
            } else if attempt.team.is_empty() {
                certain = false;
            }
        }
        (sum, certain)
    }

    /// Attempts that may still be on a machine.
    pub fn active_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.machines.values().flat_map(|m| m.attempts.values()).filter(|s| !s.exited())
    }

    /// Ready tasks of this rank or above. Jobs that fail everywhere have none that anybody waits for.
    pub fn ready_count(&self, priority: Priority) -> u32 {
        let jobs =
            self.jobs.values().filter(|j| j.spec().priority <= priority && !j.fails_everywhere());
        jobs.map(|j| j.ready.len()).sum()
    }
}

#[cfg(test)]
mod tests;
