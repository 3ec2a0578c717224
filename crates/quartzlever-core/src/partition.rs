//! A partition: the job queue and the machines that belong to one controller name, with the state
//! that the partition's leader keeps of both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::{ActiveJobRecord, Txn};
use quartzlever_wire::users::Priority;
use quartzlever_wire::workers::TaskId;

use crate::autoscaling::Fleet;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::{PartitionContext, PartitionJob};
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::call_queue::CallQueue;
use crate::machines::machine::Machine;
use crate::scheduling::Reservations;
use crate::scheduling::free_capacity_index::FreeCapacityIndex;
use crate::store::cache::Cache;
use crate::store::partition_key;
pub use crate::table::Table;
use crate::work::WorkCounter;

/// Machine types by name, shared by all partitions of a process.
pub type Types = Arc<BTreeMap<String, MachineType>>;

/// Number of bits of an attempt's number that count the attempts of a term; the others are the term.
const ATTEMPT_COUNT_BITS: u32 = 22;

/// A partition that this process leads.
#[derive(Debug)]
pub struct Partition {
    pub name: String,
    /// The modification revision of the partition's key, which is also the lowest fencing token of
    /// its commands.
    pub term: u64,
    pub acquired_at: Micros,
    /// From this time on no earlier leader answers workers. It is the time of the acquisition if
    /// the partition had been released or its leader's lease had ended, and later if the partition
    /// was taken from a live process.
    pub sole_leader_from: Micros,
    /// Whether the jobs and machines are known as of the acquisition or later. No decisions are
    /// made before.
    pub loaded: bool,
    /// The last job that was loaded, while the jobs are being loaded in several steps. Changes of
    /// jobs are applied from the first of these steps on.
    pub(crate) loaded_up_to: Option<String>,
    pub jobs: Table<PartitionJob>,
    pub machines: Table<Machine>,
    /// Whether every machine is verified, so that none can run an attempt of an earlier leader that
    /// this process does not know of.
    pub recovery_complete: bool,
    /// Machines that were reported as missing in this term.
    pub(crate) reported_missing: BTreeSet<String>,
    /// Number of attempts created in this term.
    last_attempt: u64,
    pub fleet: Fleet,
    /// Events that the next decision step logs, before it places tasks.
    pub log_events: Vec<LogEvent>,
    /// Machine types by name; `None` until the catalogue is known.
    pub types: Option<Types>,
    /// The machines that have or had attempts of each job. Without this index the end of each job
    /// searched all machines, which was a quarter of all work with 2,000 machines.
    pub machines_by_job: HashMap<String, BTreeSet<String>>,
    /// Free capacity of the machines that may receive tasks.
    pub free_capacity_index: FreeCapacityIndex,
    /// Machines whose workers are to be called.
    pub call_queue: CallQueue,
    /// Whether the whole queue is to be placed, at `next_placement_at` at the earliest.
    pub placement_wanted: bool,
    pub next_placement_at: Micros,
    /// When the queue is placed again even if nothing has changed.
    pub placement_due_at: Option<Micros>,
    pub next_preemption_at: Micros,
    /// The job with which the next search for work to preempt begins, if the last one ended early.
    pub next_preemption_for: Option<String>,
    /// Jobs with ready tasks that the last placement found no capacity for.
    pub jobs_without_capacity: Vec<String>,
    /// The lowest number of processors that a task of these jobs requires.
    pub unplaced_min_cpus: f64,
    /// Capacity that is kept free for certain jobs.
    pub reservations: Reservations,
    /// Whether tasks that should start now fit nowhere here, even with preemption.
    pub saturated: bool,
    /// Counts the work of the present step.
    pub work: WorkCounter,
}

impl Partition {
    /// Creates a partition that was just acquired, before its records are loaded.
    pub fn new(name: &str, term: u64, types: Option<Types>, now: Micros) -> Self {
        Partition {
            name: name.to_owned(),
            term,
            acquired_at: now,
            sole_leader_from: now,
            loaded: false,
            loaded_up_to: None,
            jobs: Table::default(),
            machines: Table::default(),
            recovery_complete: false,
            reported_missing: BTreeSet::new(),
            last_attempt: 0,
            fleet: Fleet::default(),
            log_events: Vec::new(),
            types,
            machines_by_job: HashMap::new(),
            free_capacity_index: FreeCapacityIndex::default(),
            call_queue: CallQueue::default(),
            placement_wanted: true,
            next_placement_at: 0,
            placement_due_at: None,
            next_preemption_at: 0,
            next_preemption_for: None,
            jobs_without_capacity: Vec::new(),
            unplaced_min_cpus: f64::INFINITY,
            reservations: Reservations::default(),
            saturated: false,
            work: WorkCounter::default(),
        }
    }

    /// Reports whether the partition's records are loaded, so that decisions may be made.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Reports whether changes of jobs concern the partition: its jobs are loaded or being loaded.
    pub(crate) fn follows_changes(&self) -> bool {
        self.loaded || self.loaded_up_to.is_some()
    }

    /// Loads the jobs that the partition has tasks of from the cache, but for those that earlier
    /// calls have loaded, until more than `max_visits` records and ranges of tasks were visited.
    /// Returns whether all are loaded.
    pub(crate) fn load_jobs(
        &mut self,
        config: &Config,
        cache: &Cache,
        max_visits: usize,
        now: Micros,
        wall: Micros,
    ) -> bool {
        let after = self.loaded_up_to.take().map_or(Bound::Unbounded, Bound::Excluded);
        let mut visits = 0;
        for (id, known) in cache.active_jobs().range((after, Bound::Unbounded)) {
            let units = 1 + known.record.finished.range_count();
            visits += units;
            self.work.add(units);
            self.reconcile_job(config, known.record.clone(), known.mod_revision, now, wall);
            if visits > max_visits {
                self.loaded_up_to = Some(id.clone());
                return false;
            }
        }
        true
    }

    /// Forgets the jobs that were loaded if not all are, because the cache is filled anew.
    pub(crate) fn restart_loading(&mut self) {
        if !self.loaded {
            self.jobs.clear();
            self.loaded_up_to = None;
        }
    }

    /// Returns the key of the partition's record in the store.
    pub fn key(&self) -> String {
        partition_key(&self.name)
    }

    /// Returns an empty transaction that can commit only while this term lasts: its condition is
    /// that the partition's key is unchanged.
    pub fn txn(&self) -> Txn {
        Txn::default().if_mod_revision(self.key(), self.term)
    }

    /// Returns a number that no other attempt has ever had: a term is unique, and only its leader
    /// counts the attempts.
    pub fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt()
    }

    /// Returns the number of the attempt that was created last in this term.
    pub fn last_attempt(&self) -> u64 {
        (self.term << ATTEMPT_COUNT_BITS) + self.last_attempt
    }

    /// Reports whether an attempt was created under the present term, given its number.
    pub fn is_attempt_of_term(&self, attempt: u64) -> bool {
        attempt >> ATTEMPT_COUNT_BITS == self.term
    }

    /// Applies a job's record read from the store.
    pub fn reconcile_job(
        &mut self,
        config: &Config,
        record: ActiveJobRecord,
        mod_revision: u64,
        now: Micros,
        wall: Micros,
    ) {
        if !self.jobs.contains_key(&record.job.id)
            && !PartitionJob::is_relevant(&record, &self.name)
        {
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
        let effects = job.apply_record(record, mod_revision, context, team_limited);
        self.placement_wanted |= effects.placement_wanted;
        if effects.may_forget_job {
            let id = job.spec().id.clone();
            self.jobs.swap_remove(&id);
        }
    }

    /// Removes a job that has ended, at `since` at the earliest, and marks its remaining attempts
    /// on machines as unwanted.
    pub fn drop_job(&mut self, id: &str, since: Micros, now: Micros) {
        if self.jobs.swap_remove(id).is_none() {
            // Its attempts on machines, if any, are already unwanted.
            return;
        }
        let attempts_of_job = AttemptKey::range_of_job(id);
        let mut active_attempts = 0;
        for name in self.machines_by_job.remove(id).into_iter().flatten() {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let mut active_on_machine = 0;
            for (_, attempt) in machine.attempts.range_mut(attempts_of_job.clone()) {
                self.work.add(1);
                attempt.wanted = false;
                attempt.leeway_s = 0.0;
                if attempt.has_exited() {
                    attempt.end_processed = true;
                } else {
                    attempt.job_terminal_since.get_or_insert(since);
                    active_on_machine += 1;
                }
            }
            if active_on_machine > 0 {
                self.call_queue.add_urgent(name);
                active_attempts += active_on_machine;
            }
        }
        if active_attempts > 0 {
            self.log_events.push(LogEvent::EndedJobSeen {
                partition: self.name.clone(),
                term: self.term,
                job: id.to_owned(),
                attempts: active_attempts,
                since_end: now.saturating_sub(since),
            });
        }
    }

    /// Notes that a task is done; it counts as finished once the job's record says so.
    pub fn record_finished_task(&mut self, id: &str, index: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.finish(index, &self.name, now);
        if let Some(assignment) = job.assignments.get(&index).cloned()
            && let Some(machine) = self.machines.get_mut(&assignment.machine)
            && let Some(attempt) = machine.attempts.get_mut(&AttemptKey {
                task: TaskId { job: id.to_owned(), index },
                attempt: assignment.attempt,
            })
        {
            // If this is another attempt than the one that finished the task, it is not needed.
            attempt.wanted = attempt.has_exited();
            self.call_queue.add_urgent(assignment.machine);
        }
    }

    /// Puts a task whose attempt is known to be on no machine back into the queue.
    pub fn requeue(&mut self, task: &TaskId, attempt: u64) {
        let context = PartitionContext {
            partition: &self.name,
            term: self.term,
            recovery_complete: self.recovery_complete,
        };
        self.work.add(1);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        self.placement_wanted |= job.requeue(task.index, attempt, context);
    }

    /// Sets the machine types, or replaces them by newer ones.
    pub fn set_machine_types(&mut self, types: Types) {
        self.types = Some(types);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.refresh_machine(&name);
        }
        self.placement_wanted = true;
    }

    /// Returns the attempts that may still be on a machine.
    pub fn active_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.machines.values().flat_map(|m| m.attempts.values()).filter(|s| !s.has_exited())
    }

    /// Returns the number of ready tasks of this priority or a higher one. Tasks of jobs that fail
    /// everywhere do not count, since nobody waits for them.
    pub fn ready_count(&self, priority: Priority) -> u32 {
        let jobs =
            self.jobs.values().filter(|j| j.spec().priority <= priority && !j.fails_everywhere());
        jobs.map(|j| j.ready.len()).sum()
    }
}

#[cfg(test)]
mod tests;
