//! A partition: the queue of one controller name, the machines that belong to it, and what its
//! present leader knows of both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::ops::Bound;
use std::sync::Arc;

use indexmap::IndexMap;
use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, MachineRecord, PARTITION_PREFIX, Txn,
};
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, Ranges, SECOND};

use crate::autoscaling::Fleet;
use crate::config::Config;
use crate::machines::failures::{JobFailures, MAX_TRIAL_TASKS};
use crate::machines::machine::{Machine, Resources, Slot, SlotKey};
use crate::messages::LogLevel;
use crate::scheduling::free_capacity_index::FreeCapacityIndex;

/// Records by name, each in a place of its own: looking one up reads little memory, and where three
/// controllers share a core, most of what a heartbeat cost was waiting for memory. The order is that
/// of insertions and removals, so the same commands give the same effects.
pub type Table<T> = IndexMap<String, Box<T>, BuildHasherDefault<DefaultHasher>>;

/// A machine that a job failed on is tried again after this time where nothing of the job runs.
const FORGIVEN_AFTER: Micros = 20 * SECOND;

/// Where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub machine: String,
    pub attempt: u64,
}

/// A job with tasks in this partition.
#[derive(Clone, Debug)]
pub struct PartitionJob {
    pub record: ActiveJobRecord,
    pub mod_revision: u64,
    /// May be placed at once.
    pub ready: Ranges,
    /// May have been started by an earlier leader; waits for the recovery barrier.
    pub awaiting_recovery: Ranges,
    /// Cut off for a thief, the move not committed yet.
    pub moving: Ranges,
    /// On a machine, or possibly so.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Reported done, not recorded yet.
    pub finished: Ranges,
    /// A write of this job's record is under way.
    pub writing: bool,
    /// An earlier write of unknown outcome may still come into force; only another write at the
    /// same modification revision can settle that.
    pub write_outcome_unknown: bool,
    pub write_not_before: Micros,
    pub needs_write: bool,
    /// When the submission was made, by the steady clock.
    pub since: Micros,
    pub due: Option<Micros>,
    /// Attempts that failed here.
    pub failures: JobFailures,
    /// Tasks of the job that were done here.
    pub succeeded: u32,
    pub no_start_before: Micros,
    /// Tasks that were stopped for others once; they are not stopped again.
    pub preempted: Ranges,
    /// Its tasks lose nothing by starting with their machine's next heartbeat.
    pub can_wait_for_heartbeat: bool,
}

impl PartitionJob {
    pub fn spec(&self) -> &JobSpec {
        &self.record.job
    }

    pub fn need(&self) -> Resources {
        Resources::required_by(&self.record.job)
    }

    /// Whether its tasks run until it is cancelled.
    pub fn service(&self) -> bool {
        self.record.job.is_service()
    }

    /// Whether it is idle-time work that saves its progress when it is stopped, so that it loses next to nothing.
    pub fn yields(&self) -> bool {
        yields(&self.record.job)
    }

    /// All tasks that this partition answers for, as far as it knows.
    fn known(&self) -> Ranges {
        let mut all = self.ready.union(&self.awaiting_recovery);
        all.add(&self.moving);
        all.add(&self.finished);
        all.add(&self.assignments.keys().copied().collect());
        all
    }

    /// The record, with whether the job has begun.
    pub fn begun_record(&self) -> ActiveJobRecord {
        let mut record = self.record.clone();
        record.started |= !self.assignments.is_empty();
        record.started |= !record.finished.is_empty() || !self.finished.is_empty();
        record
    }

    /// Whether this partition may have to end the job although it has no task of it any more: others
    /// may have recorded the last tasks in pages without knowing of each other.
    pub fn may_end_here(&self, partition: &str) -> bool {
        self.record.paged && self.record.is_shared_by(partition)
    }

    /// Whether the last tasks have finished, recorded or not.
    pub fn all_finished(&self) -> bool {
        self.record.finished.len() + self.finished.len() >= self.record.job.tasks
    }

    /// A replica of the service has run for a while: it works, and earlier failures count no more.
    pub fn mark_healthy(&mut self) {
        self.succeeded = self.succeeded.max(1);
        self.failures.forget();
    }

    /// Whether the job fails wherever it is tried. A service may do so after it has run well: what
    /// failed before that is forgotten by then.
    pub fn fails_everywhere(&self) -> bool {
        (self.succeeded == 0 || self.service()) && self.failures.blame_job()
    }

    /// How many of its ready tasks may be placed now: one that fails wherever it is tried is tried with
    /// few at once, so that it costs the machines next to nothing until it is cancelled.
    pub fn placeable(&self) -> u32 {
        if self.fails_everywhere() && !self.service() {
            MAX_TRIAL_TASKS.saturating_sub(self.assignments.len() as u32).min(self.ready.len())
        } else {
            self.ready.len()
        }
    }

    /// When the machines that it failed on are tried again although it has not failed on as many as a
    /// mistaken job: nothing of it runs, and there may be no others to be had. Where all machines had
    /// failed for a while, a service stayed away for good after they were sound again.
    pub fn forgives_at(&self) -> Option<Micros> {
        let waits =
            !self.failures.is_empty() && self.assignments.is_empty() && !self.fails_everywhere();
        waits.then(|| self.failures.last() + FORGIVEN_AFTER)
    }

    /// Whether the work of this partition on the job is over and recorded.
    pub fn idle(&self) -> bool {
        self.ready.is_empty()
            && self.awaiting_recovery.is_empty()
            && self.moving.is_empty()
            && self.assignments.is_empty()
            && self.finished.is_empty()
            && !self.writing
            && !self.write_outcome_unknown
    }
}

/// Whether tasks of a job give way to any other work at next to no loss.
pub fn yields(job: &JobSpec) -> bool {
    job.priority == Priority::BestEffort && job.checkpoint_s > 0.0
}

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
    attempts: u64,
    pub autoscaling: Fleet,
    /// Lines for the log, taken up with the next decisions.
    pub log_events: Vec<(LogLevel, String)>,
    pub types: Option<Types>,
    /// Machines that have, or had, attempts of a job: the end of each job was looked for on every
    /// machine, a fourth of all work with 2,000 of them.
    pub attempted: HashMap<String, BTreeSet<String>>,
    /// Free room of the machines that may get tasks.
    pub free_capacity_index: FreeCapacityIndex,
    /// Machines that may have something to be told at once.
    pub urgent: BTreeSet<String>,
    /// Machines that no report has proven yet, while the barrier is closed.
    pub unfenced: BTreeSet<String>,
    /// The whole queue is to be placed; not before `next_placement_at`.
    pub placement_wanted: bool,
    pub next_placement_at: Micros,
    /// It is to be placed again at this time even if nothing happens.
    pub placement_due_at: Option<Micros>,
    pub next_preemption_at: Micros,
    /// Jobs whose ready tasks found no room in the last placement.
    pub short: Vec<String>,
    /// The fewest processors that a task of these takes.
    pub unplaced_min_cpus: f64,
    /// A machine kept for the first task of a job that has waited too long to begin.
    pub reservation: Option<(String, String)>,
    /// Machines on which room is being made.
    pub pending_preemption: BTreeSet<String>,
    /// Tasks should start now, and no room can be made for them here.
    pub saturated: bool,
}

impl Partition {
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
            attempts: 0,
            autoscaling: Fleet::default(),
            log_events: Vec::new(),
            types,
            attempted: HashMap::new(),
            free_capacity_index: FreeCapacityIndex::default(),
            urgent: BTreeSet::new(),
            unfenced: BTreeSet::new(),
            placement_wanted: true,
            next_placement_at: 0,
            placement_due_at: None,
            next_preemption_at: 0,
            short: Vec::new(),
            unplaced_min_cpus: f64::INFINITY,
            reservation: None,
            pending_preemption: BTreeSet::new(),
            saturated: false,
        }
    }

    pub fn active(&self) -> bool {
        self.loaded
    }

    pub fn key(&self) -> String {
        format!("{PARTITION_PREFIX}{}", self.name)
    }

    /// A transaction that only the present leader of this partition can get into force.
    pub fn txn(&self) -> Txn {
        Txn::default().when(self.key(), self.term)
    }

    /// A number that no attempt ever had: the term is unique and the counter is its leader's.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << 22) + self.attempts
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
        let id = record.job.id.clone();
        let owned = record.owned_by(&self.name);
        let known_job = self.jobs.contains_key(&id);
        let ends_here = record.paged && record.is_shared_by(&self.name);
        if !known_job && owned.is_empty() && !ends_here {
            return;
        }
        let job = self.jobs.entry(id).or_insert_with(|| {
            let age = wall.saturating_sub(record.since);
            let since = now.saturating_sub(age);
            let due = record.job.due_s.map(|s| since + quartzlever_wire::micros_from_secs(s));
            Box::new(PartitionJob {
                record: record.clone(),
                mod_revision: 0,
                ready: Ranges::default(),
                awaiting_recovery: Ranges::default(),
                moving: Ranges::default(),
                assignments: BTreeMap::new(),
                finished: Ranges::default(),
                writing: false,
                write_outcome_unknown: false,
                write_not_before: 0,
                needs_write: false,
                since,
                due,
                failures: JobFailures::default(),
                succeeded: 0,
                no_start_before: 0,
                preempted: Ranges::default(),
                can_wait_for_heartbeat: false,
            })
        });
        if mod_revision <= job.mod_revision {
            return;
        }
        let fresh = record.entered_under(&self.name, self.term);
        job.record = record;
        job.mod_revision = mod_revision;
        if job.write_outcome_unknown && !job.writing {
            // The record has moved on, so the doubtful write can no longer come into force.
            job.write_outcome_unknown = false;
            let cut = std::mem::take(&mut job.moving);
            job.ready.add(&cut);
            self.placement_wanted = true;
        }
        let new = owned.minus(&job.known());
        let at_once = if self.recovery_complete {
            new.clone()
        } else if config.limited(&job.record.job.team) {
            // The team's limit counts what an earlier leader may have started.
            Ranges::default()
        } else {
            new.intersect(&fresh)
        };
        job.awaiting_recovery.add(&new.minus(&at_once));
        job.ready.add(&at_once);
        job.ready = job.ready.intersect(&owned);
        job.awaiting_recovery = job.awaiting_recovery.intersect(&owned);
        job.moving = job.moving.intersect(&owned);
        job.finished = job.finished.intersect(&owned);
        self.placement_wanted |= !job.ready.is_empty() && !at_once.is_empty();
        if job.idle() && owned.is_empty() && !ends_here {
            let id = job.record.job.id.clone();
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
        let task = |index| TaskId { job: id.to_owned(), index };
        let (first, last) = ((task(0), 0), (task(u32::MAX), u64::MAX));
        let all = (Bound::Included(&first), Bound::Included(&last));
        for name in self.attempted.remove(id).into_iter().flatten() {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            for (_, slot) in machine.slots.range_mut::<SlotKey, _>(all) {
                slot.wanted = false;
                slot.leeway_s = 0.0;
                if slot.exited() {
                    slot.accounted = true;
                } else {
                    slot.job_terminal_since.get_or_insert(since);
                    self.urgent.insert(name.clone());
                }
            }
        }
    }

    /// Puts a task that is surely on no machine back into the queue.
    pub fn requeue(&mut self, task: &TaskId, attempt: u64) {
        let barrier = self.recovery_complete;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.assignments.get(&task.index).is_none_or(|p| p.attempt != attempt) {
            return;
        }
        job.assignments.remove(&task.index);
        let owned = job.record.owned_by(&self.name);
        if owned.contains(task.index) && !job.finished.contains(task.index) {
            // Seen to have ended here, but before the barrier opens another machine could still
            // hold an attempt of an earlier leader.
            let fresh = job.record.entered_under(&self.name, self.term).contains(task.index);
            if barrier || fresh {
                job.ready.insert(task.index);
            } else {
                job.awaiting_recovery.insert(task.index);
            }
            self.placement_wanted = true;
        }
    }

    /// Takes everything off a machine that is surely empty.
    pub fn empty_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let slots = std::mem::take(&mut machine.slots);
        for ((task, attempt), slot) in slots {
            if slot.phase == Some(quartzlever_wire::workers::TaskPhase::Exited) && slot.accounted {
                continue;
            }
            self.requeue(&task, attempt);
        }
        self.refresh(name);
    }

    /// Removes a machine that is surely empty for good.
    pub fn remove_machine(&mut self, name: &str) -> bool {
        self.empty_machine(name);
        self.urgent.remove(name);
        self.unfenced.remove(name);
        self.free_capacity_index.remove(name);
        self.machines.swap_remove(name).is_some()
    }

    /// Brings what is kept of a machine's room up to date, after its attempts or its standing
    /// have changed.
    pub fn refresh(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.has_urgent_commands() {
            self.urgent.insert(name.to_owned());
        }
        let machine_type = self.types.as_ref().and_then(|t| t.get(&machine.record.machine_type));
        match machine_type.filter(|_| machine.usable()) {
            Some(machine_type) => {
                machine.free = machine.free_of(Resources::capacity_of(machine_type));
                self.free_capacity_index.put(name, &machine.record, machine.free.cpus);
            }
            None => self.free_capacity_index.remove(name),
        }
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

    /// Adds a claimed machine. `ours` says that it was claimed under this very term, so no
    /// earlier leader ever commanded it.
    pub fn add_machine(&mut self, name: &str, record: MachineRecord, ours: bool, now: Micros) {
        self.autoscaling.pending_instances.arrived(name, self.types.as_deref(), now);
        let machine = self
            .machines
            .entry(name.to_owned())
            .or_insert_with(|| Box::new(Machine::new(name, record, now)));
        if ours {
            machine.fenced = true;
            machine.verified = true;
        }
        if !machine.fenced {
            self.unfenced.insert(name.to_owned());
        }
        self.refresh(name);
    }

    /// Opens the recovery barrier once every machine is proven.
    pub fn try_complete_recovery(&mut self) -> bool {
        if self.recovery_complete || !self.active() || self.machines.values().any(|m| !m.verified) {
            return false;
        }
        self.recovery_complete = true;
        self.unfenced.clear();
        self.placement_wanted = true;
        for job in self.jobs.values_mut() {
            let held = std::mem::take(&mut job.awaiting_recovery);
            job.ready.add(&held);
        }
        true
    }

    /// What a team's tasks may be using in this partition, and whether that is known in full: an
    /// attempt of a forgotten job could be anybody's.
    pub fn team_use(&self, team: &str) -> (Resources, bool) {
        let mut sum = Resources::default();
        let mut certain = true;
        for slot in self.occupied_slots() {
            if slot.team == team {
                sum.give(&slot.need);
            } else if slot.team.is_empty() {
                certain = false;
            }
        }
        (sum, certain)
    }

    pub fn occupied_slots(&self) -> impl Iterator<Item = &Slot> {
        self.machines.values().flat_map(|m| m.slots.values()).filter(|s| !s.exited())
    }

    /// Ready tasks of this rank or above. Jobs that fail everywhere have none that anybody waits for.
    pub fn ready_count(&self, priority: Priority) -> u32 {
        let jobs =
            self.jobs.values().filter(|j| j.spec().priority <= priority && !j.fails_everywhere());
        jobs.map(|j| j.ready.len()).sum()
    }
}

/// The key of a job that is neither done nor cancelled.
pub fn active_job_key(id: &str) -> String {
    format!("{ACTIVE_JOB_PREFIX}{id}")
}

#[cfg(test)]
mod tests;
