//! A job as the leader of one partition knows it.
//!
//! Each task that the partition owns is in one place only: ready, awaiting recovery, moving, on a
//! machine, or finished. What the record lists as finished is never run again, and the record is
//! written by one call at a time. While the outcome of a move is unknown, its tasks stay cut from
//! the queue. A record of an older modification revision than the known one is never taken in.
//!
//! Nothing here calls anything: the methods change the job and say what follows from that.

mod moves;
mod record_writes;

use std::collections::BTreeMap;

use quartzlever_wire::pages::tasks_of_page;
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::{Micros, Ranges, SECOND};

use crate::machines::failures::{JobFailures, MAX_TRIAL_TASKS};
use crate::machines::resources::Resources;

pub use record_writes::RecordStep;

/// A machine that a job failed on is tried again after this time where nothing of the job runs.
const FORGIVEN_AFTER: Micros = 20 * SECOND;

/// Where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The machine that it was given to.
    pub machine: String,
    /// The number of the attempt.
    pub attempt: u64,
}

/// A job with tasks in this partition.
#[derive(Clone, Debug)]
pub struct PartitionJob {
    /// The record as it was last taken in or written.
    pub record: ActiveJobRecord,
    mod_revision: u64,
    /// May be placed at once.
    pub ready: Ranges,
    /// May have been started by an earlier leader; waits for the recovery barrier.
    awaiting_recovery: Ranges,
    /// Cut off for a thief, the move not committed yet.
    moving: Ranges,
    /// On a machine, or possibly so.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Reported done, not recorded yet.
    pub finished: Ranges,
    /// A write of this job's record, or a read after a conflict, is under way.
    writing: bool,
    /// An earlier write of unknown outcome may still come into force; only another write at the
    /// same modification revision can settle that.
    write_outcome_unknown: bool,
    write_not_before: Micros,
    needs_write: bool,
    /// When the submission was made, by the steady clock.
    pub since: Micros,
    /// When it should be done, by the steady clock.
    pub due: Option<Micros>,
    /// Attempts that failed here.
    pub failures: JobFailures,
    /// Tasks of the job that were done here.
    pub succeeded: u32,
    /// After failures nothing of it is started before this time.
    pub no_start_before: Micros,
    /// Tasks that were stopped for others once; they are not stopped again.
    pub preempted: Ranges,
    /// Its tasks lose nothing by starting with their machine's next heartbeat.
    pub can_wait_for_heartbeat: bool,
}

/// The partition that holds the job, as far as that decides what becomes of its tasks.
#[derive(Clone, Copy, Debug)]
pub struct PartitionContext<'a> {
    /// The name of the partition.
    pub partition: &'a str,
    /// The term under which it is held.
    pub term: u64,
    /// Whether every machine is known to hold nothing that an earlier leader started unseen.
    pub recovery_complete: bool,
}

/// What follows from a record that was taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordTaken {
    /// Tasks have come into the queue.
    pub placement_wanted: bool,
    /// This partition has nothing to do with the job any more.
    pub nothing_left_here: bool,
}

impl PartitionJob {
    /// A job that has just come to be known, without any task yet.
    pub fn new(record: ActiveJobRecord, now: Micros, wall: Micros) -> Self {
        let age = wall.saturating_sub(record.since);
        let since = now.saturating_sub(age);
        let due = record.job.due_s.map(|s| since + quartzlever_wire::micros_from_secs(s));
        PartitionJob {
            record,
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
        }
    }

    /// Whether a record concerns a partition that does not know the job yet.
    pub fn concerns(record: &ActiveJobRecord, partition: &str) -> bool {
        ends_here(record, partition) || !record.owned_by(partition).is_empty()
    }

    /// Takes in the record as the store has it, if it is newer than the known one. `team_limited` says
    /// whether the job's team may use only so much.
    pub fn take_record(
        &mut self,
        record: ActiveJobRecord,
        mod_revision: u64,
        context: PartitionContext<'_>,
        team_limited: bool,
    ) -> RecordTaken {
        let mut taken = RecordTaken::default();
        if mod_revision <= self.mod_revision {
            return taken;
        }
        let owned = record.owned_by(context.partition);
        let fresh = record.entered_under(context.partition, context.term);
        self.record = record;
        self.mod_revision = mod_revision;
        if !self.writing {
            // The record has moved on, so the doubtful write can no longer come into force.
            taken.placement_wanted = self.settle_unknown_outcome();
        }
        let new = owned.minus(&self.known());
        let at_once = if context.recovery_complete {
            new.clone()
        } else if team_limited {
            // The team's limit counts what an earlier leader may have started.
            Ranges::default()
        } else {
            new.intersect(&fresh)
        };
        self.awaiting_recovery.add(&new.minus(&at_once));
        self.ready.add(&at_once);
        self.ready = self.ready.intersect(&owned);
        self.awaiting_recovery = self.awaiting_recovery.intersect(&owned);
        self.moving = self.moving.intersect(&owned);
        self.finished = self.finished.intersect(&owned);
        taken.placement_wanted |= !self.ready.is_empty() && !at_once.is_empty();
        taken.nothing_left_here =
            self.idle() && owned.is_empty() && !ends_here(&self.record, context.partition);
        taken
    }

    /// A page of the job, which another leader may have written, records these tasks as finished.
    pub fn take_page(&mut self, number: u32, finished: &Ranges) {
        self.record.paged = true;
        // Most pages are of this leader's own writing: a look at the page's tasks alone is cheap.
        let new = finished.minus(&tasks_of_page(&self.record.finished, number));
        self.record.finished.add(&new);
        self.ready.subtract(&new);
        self.awaiting_recovery.subtract(&new);
        self.moving.subtract(&new);
        self.finished.subtract(&new);
    }

    /// Puts a task whose attempt is surely on no machine back into the queue, if it is still the
    /// partition's and not finished. Whether it came back.
    pub fn requeue(&mut self, index: u32, attempt: u64, context: PartitionContext<'_>) -> bool {
        if self.assignments.get(&index).is_none_or(|p| p.attempt != attempt) {
            return false;
        }
        self.assignments.remove(&index);
        let owned = self.record.owned_by(context.partition);
        if !owned.contains(index) || self.finished.contains(index) {
            return false;
        }
        // Seen to have ended here, but before the barrier opens another machine could still
        // hold an attempt of an earlier leader.
        let fresh = self.record.entered_under(context.partition, context.term).contains(index);
        if context.recovery_complete || fresh {
            self.ready.insert(index);
        } else {
            self.awaiting_recovery.insert(index);
        }
        true
    }

    /// No machine holds anything that an earlier leader started: what waited for that is ready.
    pub fn complete_recovery(&mut self) {
        let held = std::mem::take(&mut self.awaiting_recovery);
        self.ready.add(&held);
    }

    /// Gives a ready task to a machine.
    pub fn assign(&mut self, index: u32, machine: &str, attempt: u64) {
        self.ready.remove(index);
        self.assignments.insert(index, Assignment { machine: machine.to_owned(), attempt });
    }

    /// Takes up an attempt that a machine reports and nobody here knows of, if its task is the
    /// partition's, and neither finished nor on a machine nor moving. Whether it was taken up.
    pub fn adopt(&mut self, index: u32, machine: &str, attempt: u64, partition: &str) -> bool {
        let free = self.record.owned_by(partition).contains(index)
            && !self.assignments.contains_key(&index)
            && !self.finished.contains(index)
            && !self.moving.contains(index);
        if free {
            self.awaiting_recovery.remove(index);
            self.assign(index, machine, attempt);
        }
        free
    }

    /// Notes that a task is done; if it is the partition's, it counts once the record says so.
    pub fn finish(&mut self, index: u32, partition: &str, now: Micros) {
        self.ready.remove(index);
        self.awaiting_recovery.remove(index);
        if !self.record.owned_by(partition).contains(index) {
            return;
        }
        self.succeeded += 1;
        self.finished.insert(index);
        if self.all_finished() {
            self.write_not_before = now;
        }
    }

    /// What was submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.job
    }

    /// What a task takes of a machine.
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
        ends_here(&self.record, partition)
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

/// Whether a partition may have to end a job of which it need not own any task.
fn ends_here(record: &ActiveJobRecord, partition: &str) -> bool {
    record.paged && record.is_shared_by(partition)
}

#[cfg(test)]
mod tests;
