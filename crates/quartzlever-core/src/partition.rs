//! A part: the queue of one controller name, the machines that belong to it, and what its
//! present holder knows of both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::ops::Bound;
use std::sync::Arc;

use indexmap::IndexMap;
use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::state::{HostRecord, LIVE, LiveRecord, PARTS, Txn};
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, Ranges, SECOND};

use crate::config::Config;
use crate::failures::{JobFailures, TASKS_ON_TRIAL};
use crate::fleet::Fleet;
use crate::free_room_index::FreeRoomIndex;
use crate::machine::{Amounts, Machine, Slot, SlotKey};
use crate::messages::Weight;

/// Records by name, each in a place of its own: looking one up reads little memory, and where three
/// controllers share a core, most of what a report cost was waiting for memory. The order is that
/// of insertions and removals, so the same commands give the same effects.
pub type Table<T> = IndexMap<String, Box<T>, BuildHasherDefault<DefaultHasher>>;

/// A machine that a job failed on is tried again after this time where nothing of the job runs.
const FORGIVEN_AFTER: Micros = 20 * SECOND;

/// Where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub machine: String,
    pub attempt: u64,
}

/// A job with tasks in this part.
#[derive(Clone, Debug)]
pub struct PartitionJob {
    pub record: LiveRecord,
    pub stamp: u64,
    /// May be placed at once.
    pub ready: Ranges,
    /// May have been started by an earlier holder; waits for the recovery barrier.
    pub held: Ranges,
    /// Cut off for a thief, the move not committed yet.
    pub cutting: Ranges,
    /// On a machine, or possibly so.
    pub located: BTreeMap<u32, Place>,
    /// Reported done, not recorded yet.
    pub finished: Ranges,
    /// A write of this job's record is under way.
    pub writing: bool,
    /// An earlier write of unknown outcome may still come into force; only another write at the
    /// same stamp can settle that.
    pub doubtful: bool,
    pub write_after: Micros,
    pub wants_write: bool,
    /// When the submission was made, by the steady clock.
    pub since: Micros,
    pub due: Option<Micros>,
    /// Attempts that failed here.
    pub failures: JobFailures,
    /// Tasks of the job that were done here.
    pub good: u32,
    pub no_start_before: Micros,
    /// Tasks that were stopped for others once; they are not stopped again.
    pub stopped: Ranges,
    /// Its tasks lose nothing by starting with their machine's next report.
    pub patient: bool,
}

impl PartitionJob {
    pub fn spec(&self) -> &JobSpec {
        &self.record.job
    }

    pub fn need(&self) -> Amounts {
        Amounts::of_job(&self.record.job)
    }

    /// Whether its tasks run until it is cancelled.
    pub fn service(&self) -> bool {
        self.record.job.is_service()
    }

    /// Whether it is idle-time work that saves its progress when it is stopped, so that it loses next to nothing.
    pub fn yields(&self) -> bool {
        yields(&self.record.job)
    }

    /// All tasks that this part answers for, as far as it knows.
    fn known(&self) -> Ranges {
        let mut all = self.ready.union(&self.held);
        all.add(&self.cutting);
        all.add(&self.finished);
        all.add(&self.located.keys().copied().collect());
        all
    }

    /// The record, with whether the job has begun.
    pub fn begun_record(&self) -> LiveRecord {
        let mut record = self.record.clone();
        record.started |= !self.located.is_empty();
        record.started |= !record.finished.is_empty() || !self.finished.is_empty();
        record
    }

    /// Whether this part may have to end the job although it has no task of it any more: others
    /// may have recorded the last tasks in pages without knowing of each other.
    pub fn may_end_here(&self, part: &str) -> bool {
        self.record.paged && self.record.is_shared_by(part)
    }

    /// Whether the last tasks have finished, recorded or not.
    pub fn all_finished(&self) -> bool {
        self.record.finished.len() + self.finished.len() >= self.record.job.tasks
    }

    /// A replica of the service has run for a while: it works, and earlier failures count no more.
    pub fn settles(&mut self) {
        self.good = self.good.max(1);
        self.failures.forget();
    }

    /// Whether the job fails wherever it is tried. A service may do so after it has run well: what
    /// failed before that is forgotten by then.
    pub fn mistaken(&self) -> bool {
        (self.good == 0 || self.service()) && self.failures.speak_against_job()
    }

    /// How many of its ready tasks may be placed now: one that fails wherever it is tried is tried with
    /// few at once, so that it costs the machines next to nothing until it is cancelled.
    pub fn placeable(&self) -> u32 {
        if self.mistaken() && !self.service() {
            TASKS_ON_TRIAL.saturating_sub(self.located.len() as u32).min(self.ready.len())
        } else {
            self.ready.len()
        }
    }

    /// When the machines that it failed on are tried again although it has not failed on as many as a
    /// mistaken job: nothing of it runs, and there may be no others to be had. Where all machines had
    /// failed for a while, a service stayed away for good after they were sound again.
    pub fn forgives_at(&self) -> Option<Micros> {
        let waits = !self.failures.is_empty() && self.located.is_empty() && !self.mistaken();
        waits.then(|| self.failures.last() + FORGIVEN_AFTER)
    }

    /// Whether the work of this part on the job is over and recorded.
    pub fn idle(&self) -> bool {
        self.ready.is_empty()
            && self.held.is_empty()
            && self.cutting.is_empty()
            && self.located.is_empty()
            && self.finished.is_empty()
            && !self.writing
            && !self.doubtful
    }
}

/// Whether tasks of a job give way to any other work at next to no loss.
pub fn yields(job: &JobSpec) -> bool {
    job.rank == Rank::BestEffort && job.checkpoint_s > 0.0
}

/// Machine types by name, shared by all parts of a process.
pub type Types = Arc<BTreeMap<String, MachineType>>;

/// A part that this process holds.
#[derive(Debug)]
pub struct Partition {
    pub name: String,
    /// The stamp of the part's key: the term, and the baton of its commands.
    pub term: u64,
    pub acquired: Micros,
    /// From then on no earlier holder answers workers: at once where the partition was given up or
    /// its holder's lease had ended, later where it was taken from a live process.
    pub alone_from: Micros,
    /// Its jobs and machines are known as of the acquisition or later; nothing is decided before.
    pub loaded: bool,
    pub jobs: Table<PartitionJob>,
    pub machines: Table<Machine>,
    /// Whether every machine is known to hold nothing that an earlier holder started unseen.
    pub barrier_open: bool,
    attempts: u64,
    pub fleet: Fleet,
    /// Lines for the log, taken up with the next decisions.
    pub notes: Vec<(Weight, String)>,
    pub types: Option<Types>,
    /// Machines that have, or had, attempts of a job: the end of each job was looked for on every
    /// machine, a fourth of all work with 2,000 of them.
    pub attempted: HashMap<String, BTreeSet<String>>,
    /// Free room of the machines that may get tasks.
    pub free_room_index: FreeRoomIndex,
    /// Machines that may have something to be told at once.
    pub urgent: BTreeSet<String>,
    /// Machines that no report has proven yet, while the barrier is closed.
    pub unfenced: BTreeSet<String>,
    /// The whole queue is to be placed; not before `place_after`.
    pub place_wanted: bool,
    pub place_after: Micros,
    /// It is to be placed again at this time even if nothing happens.
    pub place_due: Option<Micros>,
    pub preempt_after: Micros,
    /// Jobs whose ready tasks found no room in the last placement.
    pub short: Vec<String>,
    /// The fewest processors that a task of these takes.
    pub short_least: f64,
    /// A machine kept for the first task of a job that has waited too long to begin.
    pub kept_for: Option<(String, String)>,
    /// Machines on which room is being made.
    pub making_room: BTreeSet<String>,
    /// Tasks should start now, and no room can be made for them here.
    pub pressed: bool,
}

impl Partition {
    pub fn new(name: &str, term: u64, types: Option<Types>, now: Micros) -> Self {
        Partition {
            name: name.to_owned(),
            term,
            acquired: now,
            alone_from: now,
            loaded: false,
            jobs: Table::default(),
            machines: Table::default(),
            barrier_open: false,
            attempts: 0,
            fleet: Fleet::default(),
            notes: Vec::new(),
            types,
            attempted: HashMap::new(),
            free_room_index: FreeRoomIndex::default(),
            urgent: BTreeSet::new(),
            unfenced: BTreeSet::new(),
            place_wanted: true,
            place_after: 0,
            place_due: None,
            preempt_after: 0,
            short: Vec::new(),
            short_least: f64::INFINITY,
            kept_for: None,
            making_room: BTreeSet::new(),
            pressed: false,
        }
    }

    pub fn active(&self) -> bool {
        self.loaded
    }

    pub fn key(&self) -> String {
        format!("{PARTS}{}", self.name)
    }

    /// A transaction that only the present holder of this part can get into force.
    pub fn txn(&self) -> Txn {
        Txn::default().when(self.key(), self.term)
    }

    /// A number that no attempt ever had: the term is unique and the counter is its holder's.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << 22) + self.attempts
    }

    /// Takes in a job's record as the state service has it.
    pub fn absorb(
        &mut self,
        cfg: &Config,
        record: LiveRecord,
        stamp: u64,
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
                stamp: 0,
                ready: Ranges::default(),
                held: Ranges::default(),
                cutting: Ranges::default(),
                located: BTreeMap::new(),
                finished: Ranges::default(),
                writing: false,
                doubtful: false,
                write_after: 0,
                wants_write: false,
                since,
                due,
                failures: JobFailures::default(),
                good: 0,
                no_start_before: 0,
                stopped: Ranges::default(),
                patient: false,
            })
        });
        if stamp <= job.stamp {
            return;
        }
        let fresh = record.entered_under(&self.name, self.term);
        job.record = record;
        job.stamp = stamp;
        if job.doubtful && !job.writing {
            // The record has moved on, so the doubtful write can no longer come into force.
            job.doubtful = false;
            let cut = std::mem::take(&mut job.cutting);
            job.ready.add(&cut);
            self.place_wanted = true;
        }
        let new = owned.minus(&job.known());
        let at_once = if self.barrier_open {
            new.clone()
        } else if cfg.limited(&job.record.job.team) {
            // The team's limit counts what an earlier holder may have started.
            Ranges::default()
        } else {
            new.intersect(&fresh)
        };
        job.held.add(&new.minus(&at_once));
        job.ready.add(&at_once);
        job.ready = job.ready.intersect(&owned);
        job.held = job.held.intersect(&owned);
        job.cutting = job.cutting.intersect(&owned);
        job.finished = job.finished.intersect(&owned);
        self.place_wanted |= !job.ready.is_empty() && !at_once.is_empty();
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
                    slot.settled = true;
                } else {
                    slot.over_since.get_or_insert(since);
                    self.urgent.insert(name.clone());
                }
            }
        }
    }

    /// Puts a task that is surely on no machine back into the queue.
    pub fn requeue(&mut self, task: &TaskId, attempt: u64) {
        let barrier = self.barrier_open;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.located.get(&task.index).is_none_or(|p| p.attempt != attempt) {
            return;
        }
        job.located.remove(&task.index);
        let owned = job.record.owned_by(&self.name);
        if owned.contains(task.index) && !job.finished.contains(task.index) {
            // Seen to have ended here, but before the barrier opens another machine could still
            // hold an attempt of an earlier holder.
            let fresh = job.record.entered_under(&self.name, self.term).contains(task.index);
            if barrier || fresh {
                job.ready.insert(task.index);
            } else {
                job.held.insert(task.index);
            }
            self.place_wanted = true;
        }
    }

    /// Takes everything off a machine that is surely empty.
    pub fn empty_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let slots = std::mem::take(&mut machine.slots);
        for ((task, attempt), slot) in slots {
            if slot.phase == Some(quartzlever_wire::workers::TaskPhase::Exited) && slot.settled {
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
        self.free_room_index.remove(name);
        self.machines.swap_remove(name).is_some()
    }

    /// Brings what is kept of a machine's room up to date, after its attempts or its standing
    /// have changed.
    pub fn refresh(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.urgent_orders() {
            self.urgent.insert(name.to_owned());
        }
        let kind = self.types.as_ref().and_then(|t| t.get(&machine.record.kind));
        match kind.filter(|_| machine.usable()) {
            Some(kind) => {
                machine.room = machine.free(Amounts::of_type(kind));
                self.free_room_index.put(name, &machine.record, machine.room.cpus);
            }
            None => self.free_room_index.remove(name),
        }
    }

    /// Takes up the machine types, or newer ones.
    pub fn use_types(&mut self, types: Types) {
        self.types = Some(types);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.refresh(&name);
        }
        self.place_wanted = true;
    }

    /// Adds a claimed machine. `ours` says that it was claimed under this very term, so no
    /// earlier holder ever commanded it.
    pub fn add_machine(&mut self, name: &str, record: HostRecord, ours: bool, now: Micros) {
        self.fleet.arrivals.arrived(name, self.types.as_deref(), now);
        let machine = self
            .machines
            .entry(name.to_owned())
            .or_insert_with(|| Box::new(Machine::new(name, record, now)));
        if ours {
            machine.fenced = true;
            machine.proven = true;
        }
        if !machine.fenced {
            self.unfenced.insert(name.to_owned());
        }
        self.refresh(name);
    }

    /// Opens the recovery barrier once every machine is proven.
    pub fn try_open_barrier(&mut self) -> bool {
        if self.barrier_open || !self.active() || self.machines.values().any(|m| !m.proven) {
            return false;
        }
        self.barrier_open = true;
        self.unfenced.clear();
        self.place_wanted = true;
        for job in self.jobs.values_mut() {
            let held = std::mem::take(&mut job.held);
            job.ready.add(&held);
        }
        true
    }

    /// What a team's tasks may be using in this part, and whether that is known in full: an
    /// attempt of a forgotten job could be anybody's.
    pub fn team_use(&self, team: &str) -> (Amounts, bool) {
        let mut sum = Amounts::default();
        let mut certain = true;
        for slot in self.live_slots() {
            if slot.team == team {
                sum.give(&slot.need);
            } else if slot.team.is_empty() {
                certain = false;
            }
        }
        (sum, certain)
    }

    pub fn live_slots(&self) -> impl Iterator<Item = &Slot> {
        self.machines.values().flat_map(|m| m.slots.values()).filter(|s| !s.exited())
    }

    /// Ready tasks of this rank or above. Jobs that fail everywhere have none that anybody waits for.
    pub fn ready_count(&self, rank: Rank) -> u32 {
        let jobs = self.jobs.values().filter(|j| j.spec().rank <= rank && !j.mistaken());
        jobs.map(|j| j.ready.len()).sum()
    }
}

/// The key of a job that is neither done nor cancelled.
pub fn live_key(id: &str) -> String {
    format!("{LIVE}{id}")
}

#[cfg(test)]
mod tests;
