//! A job as the leader of one partition knows it.
//!
//! Each task that the partition owns is in one place only: ready, awaiting recovery, moving, on a
//! machine, or finished. What the record lists as finished is never run again, and the record is
//! written by one call at a time. While the outcome of a move is unknown, its tasks stay cut from
//! the queue. A record of an older modification revision than the known one is never taken in.
//!
//! Nothing here calls anything: the methods change the job and say what follows from that.

use std::collections::BTreeMap;

use quartzlever_wire::pages::tasks_of_page;
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::{Micros, Ranges, SECOND};

use crate::machines::failures::{JobFailures, MAX_TRIAL_TASKS};
use crate::machines::resources::Resources;

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
    mod_revision: u64,
    /// May be placed at once.
    pub ready: Ranges,
    /// May have been started by an earlier leader; waits for the recovery barrier.
    pub awaiting_recovery: Ranges,
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

/// The partition that takes in a record, as far as that decides what becomes of the tasks.
#[derive(Clone, Copy, Debug)]
pub struct RecordHolder<'a> {
    pub partition: &'a str,
    pub term: u64,
    /// Whether every machine is known to hold nothing that an earlier leader started unseen.
    pub recovery_complete: bool,
    /// Whether the job's team may use only so much.
    pub team_limited: bool,
}

/// What follows from a record that was taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordTaken {
    /// Tasks have come into the queue.
    pub placement_wanted: bool,
    /// This partition has nothing to do with the job any more.
    pub nothing_left_here: bool,
}

/// What is to be done about the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStep {
    /// Nothing now.
    Wait,
    /// This partition has nothing to do with the job any more.
    Forget,
    /// What has finished, or that the job has begun, is to be written.
    WriteProgress,
    /// All tasks have finished: the job is to be ended.
    WriteEnd,
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

    /// Takes in the record as the store has it, if it is newer than the known one.
    pub fn take_record(
        &mut self,
        record: ActiveJobRecord,
        mod_revision: u64,
        holder: RecordHolder<'_>,
    ) -> RecordTaken {
        let mut taken = RecordTaken::default();
        if mod_revision <= self.mod_revision {
            return taken;
        }
        let owned = record.owned_by(holder.partition);
        let fresh = record.entered_under(holder.partition, holder.term);
        self.record = record;
        self.mod_revision = mod_revision;
        if !self.writing {
            // The record has moved on, so the doubtful write can no longer come into force.
            taken.placement_wanted = self.settle_unknown_outcome();
        }
        let new = owned.minus(&self.known());
        let at_once = if holder.recovery_complete {
            new.clone()
        } else if holder.team_limited {
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
            self.idle() && owned.is_empty() && !ends_here(&self.record, holder.partition);
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

    /// Notes that a task of this partition is done; it counts once the record says so.
    pub fn finish(&mut self, index: u32, now: Micros) {
        self.succeeded += 1;
        self.finished.insert(index);
        if self.all_finished() {
            self.write_not_before = now;
        }
    }

    /// The modification revision of the record.
    pub fn mod_revision(&self) -> u64 {
        self.mod_revision
    }

    /// What is to be done about the record now.
    pub fn next_record_step(&self, partition: &str, now: Micros) -> RecordStep {
        if self.writing || now < self.write_not_before {
            return RecordStep::Wait;
        }
        if !self.idle() || self.needs_write {
            return match self.write_outcome_unknown || self.needs_write || !self.finished.is_empty()
            {
                false => RecordStep::Wait,
                true if self.all_finished() => RecordStep::WriteEnd,
                true => RecordStep::WriteProgress,
            };
        }
        match self.may_end_here(partition) {
            true if self.all_finished() => RecordStep::WriteEnd,
            false if self.record.owned_by(partition).is_empty() => RecordStep::Forget,
            _ => RecordStep::Wait,
        }
    }

    /// The record is not written again before this time.
    pub fn write_not_before(&self) -> Micros {
        self.write_not_before
    }

    /// Nothing of the progress can be written now; it is tried again at this time.
    pub fn postpone_write(&mut self, until: Micros) {
        self.write_not_before = until;
    }

    /// A write of the record begins; the next one not before this time.
    pub fn begin_write(&mut self, next: Micros) {
        self.writing = true;
        self.needs_write = false;
        self.write_not_before = next;
    }

    /// The record is read again, and not written meanwhile.
    pub fn begin_reread(&mut self) {
        self.writing = true;
    }

    /// The write, or the read, has been answered.
    pub fn end_write(&mut self) {
        self.writing = false;
    }

    /// The record is to be written again, not before this time.
    pub fn retry_write(&mut self, not_before: Micros) {
        self.needs_write = true;
        self.write_not_before = not_before;
    }

    /// Has the record say that the job has begun. No progress is ever written of a service, so that
    /// others would call it queued.
    pub fn record_start(&mut self) {
        self.needs_write |= !self.record.started;
    }

    /// The record is in force with newly finished tasks. Whether tasks returned to the queue.
    pub fn progress_written(&mut self, recorded: &Ranges, mod_revision: u64) -> bool {
        self.finished.subtract(recorded);
        if mod_revision > self.mod_revision {
            self.mod_revision = mod_revision;
            self.record.finished.add(recorded);
            self.record.started = true;
        }
        // Ours came into force at that modification revision, so the doubtful one never will.
        self.settle_unknown_outcome()
    }

    /// An earlier write of unknown outcome can no longer come into force: what it was to move returns
    /// to the queue. `false` if there was none.
    fn settle_unknown_outcome(&mut self) -> bool {
        if !std::mem::take(&mut self.write_outcome_unknown) {
            return false;
        }
        let cut = std::mem::take(&mut self.moving);
        self.ready.add(&cut);
        true
    }

    /// Whether no write of the record is under way or of unknown outcome.
    pub fn is_record_settled(&self) -> bool {
        !self.writing && !self.write_outcome_unknown
    }

    /// Whether an earlier write may still come into force.
    pub fn is_write_outcome_unknown(&self) -> bool {
        self.write_outcome_unknown
    }

    /// Whether a task is cut off for a thief.
    pub fn is_moving(&self, index: u32) -> bool {
        self.moving.contains(index)
    }

    /// How many tasks are cut off for a thief.
    #[cfg(test)]
    pub fn moving_count(&self) -> u32 {
        self.moving.len()
    }

    /// Tasks that were cut from the ready ones are being moved to another partition.
    pub fn begin_move(&mut self, cut: &Ranges) {
        self.moving.add(cut);
        self.writing = true;
    }

    /// The move of these tasks is in force, with this record, which learns what has finished meanwhile.
    pub fn move_committed(
        &mut self,
        cut: &Ranges,
        record: &mut ActiveJobRecord,
        mod_revision: u64,
    ) {
        self.writing = false;
        self.moving.subtract(cut);
        if mod_revision > self.mod_revision {
            // A page may have told of finished tasks meanwhile.
            record.finished.add(&self.record.finished);
            self.mod_revision = mod_revision;
            self.record = record.clone();
        }
    }

    /// The move can no longer come into force: what is still owned returns to the queue.
    pub fn move_conflicted(&mut self, cut: &Ranges, partition: &str) {
        self.writing = false;
        self.moving.subtract(cut);
        let owned = self.record.owned_by(partition);
        self.ready.add(&cut.intersect(&owned));
    }

    /// The move was not carried out: its tasks return to the queue.
    pub fn move_undone(&mut self, cut: &Ranges) {
        self.writing = false;
        self.moving.subtract(cut);
        self.ready.add(cut);
    }

    /// The move may still come into force, minutes late. Its tasks stay cut until another write at the
    /// same modification revision, or a newer record, has settled the matter.
    pub fn move_outcome_unknown(&mut self, write_not_before: Micros) {
        self.writing = false;
        self.write_outcome_unknown = true;
        self.retry_write(write_not_before);
    }

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
