//! The state of a job at the leader of one partition.
//!
//! Each task that the partition owns is in exactly one state: ready, awaiting recovery, moving, on
//! a machine, or finished. A task that the record lists as finished is never run again, and the
//! record is written by one call at a time. While the outcome of a move is unknown, its tasks stay
//! out of the queue. A record that is not newer than the known modification revision is ignored.
//!
//! Nothing here makes calls: the methods change the job and return what has to follow.

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

/// Delay after a job's last failure before the machines that it failed on are tried again, if no
/// task of the job is running.
const FAILED_MACHINE_RETRY_DELAY: Micros = 20 * SECOND;

/// The machine and attempt that a task is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the machine.
    pub machine: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// A job with tasks in this partition.
#[derive(Clone, Debug)]
pub struct PartitionJob {
    /// The record as last read or written.
    pub record: ActiveJobRecord,
    mod_revision: u64,
    /// Tasks that may be placed now.
    pub ready: Ranges,
    /// Tasks that an earlier leader may have started; they wait for the recovery barrier.
    awaiting_recovery: Ranges,
    /// Tasks cut from the queue for a thief, whose move is not committed yet.
    moving: Ranges,
    /// Tasks that are, or may be, on a machine.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Tasks reported as done but not recorded yet.
    pub finished: Ranges,
    /// Whether a write of this job's record, or a read after a conflict, is in flight.
    writing: bool,
    /// Whether an earlier write of unknown outcome may still be committed. Another write at the
    /// same modification revision, or a newer record while no write is in flight, rules that out.
    write_outcome_unknown: bool,
    /// The earliest time of the next write of the record.
    write_not_before: Micros,
    /// Whether the record is to be written even without newly finished tasks.
    needs_write: bool,
    /// Time of the submission, on the monotonic clock.
    pub submitted_at: Micros,
    /// When the job should be done, on the monotonic clock.
    pub due: Option<Micros>,
    /// Failed attempts in this partition.
    pub failures: JobFailures,
    /// Number of tasks that were done in this partition.
    pub succeeded: u32,
    /// After failures, the earliest time at which tasks may be started again.
    pub no_start_before: Micros,
    /// Tasks that were preempted once; they are not preempted again.
    pub preempted_tasks: Ranges,
    /// Whether starting a task only with its machine's next heartbeat costs the job nothing.
    pub can_wait_for_heartbeat: bool,
    /// Number of ready tasks that the last placement found room for on machines, but held back as it
    /// had made enough starts. They lack no capacity.
    pub held_back: u32,
    /// The modification revision of the record that a move would have made larger than the store
    /// accepts, if any.
    too_large_to_move_at: Option<u64>,
}

/// The state of the job's partition that decides whether its tasks are ready.
#[derive(Clone, Copy, Debug)]
pub struct PartitionContext<'a> {
    /// Name of the partition.
    pub partition: &'a str,
    /// Current term of the partition.
    pub term: u64,
    /// Whether recovery is complete: no machine can hold an unknown attempt of an earlier leader.
    pub recovery_complete: bool,
}

/// The effects of applying a record to a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordEffects {
    /// Tasks were added to the queue.
    pub placement_wanted: bool,
    /// The partition may forget the job.
    pub may_forget_job: bool,
}

impl PartitionJob {
    /// Creates a job without any tasks; [`apply_record`](Self::apply_record) adds those of the
    /// partition.
    ///
    /// `now` is on the monotonic clock, `wall` is the time of day in microseconds since 1970.
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
            submitted_at: since,
            due,
            failures: JobFailures::default(),
            succeeded: 0,
            no_start_before: 0,
            preempted_tasks: Ranges::default(),
            can_wait_for_heartbeat: false,
            held_back: 0,
            too_large_to_move_at: None,
        }
    }

    /// Reports whether a record is relevant to a partition that does not know the job yet.
    pub fn is_relevant(record: &ActiveJobRecord, partition: &str) -> bool {
        may_have_to_end(record, partition) || record.has_unfinished_tasks_of(partition)
    }

    /// Applies a record read from the store if it is newer than the known one. `team_limited` tells
    /// whether the job's team has resource limits.
    pub fn apply_record(
        &mut self,
        record: ActiveJobRecord,
        mod_revision: u64,
        context: PartitionContext<'_>,
        team_limited: bool,
    ) -> RecordEffects {
        let mut effects = RecordEffects::default();
        if mod_revision <= self.mod_revision {
            return effects;
        }
        let owned = record.unfinished_tasks_of(context.partition);
        let fresh = record.tasks_assigned_under(context.partition, context.term);
        self.record = record;
        self.mod_revision = mod_revision;
        if !self.writing {
            // The record has a newer revision, so the write of unknown outcome can no longer
            // commit.
            effects.placement_wanted = self.settle_unknown_outcome();
        }
        let new = self.untracked_tasks(&owned);
        let startable = if context.recovery_complete {
            new.clone()
        } else if team_limited {
            // Tasks that an earlier leader may have started count towards the team's limit.
            Ranges::default()
        } else {
            new.intersection(&fresh)
        };
        self.awaiting_recovery.insert_all(&new.difference(&startable));
        self.ready.insert_all(&startable);
        self.ready.retain_all(&owned);
        self.awaiting_recovery.retain_all(&owned);
        self.moving.retain_all(&owned);
        self.finished.retain_all(&owned);
        effects.placement_wanted |= !self.ready.is_empty() && !startable.is_empty();
        effects.may_forget_job =
            self.idle() && owned.is_empty() && !may_have_to_end(&self.record, context.partition);
        effects
    }

    /// Applies a page of the job, possibly written by another leader: its tasks have finished.
    pub fn apply_page(&mut self, number: u32, finished: &Ranges) {
        self.record.paged = true;
        // Most pages were written by this leader and add nothing; comparing only the tasks of this
        // page is cheap.
        let new = finished.difference(&tasks_of_page(&self.record.finished, number));
        self.record.finished.insert_all(&new);
        self.ready.remove_all(&new);
        self.awaiting_recovery.remove_all(&new);
        self.moving.remove_all(&new);
        self.finished.remove_all(&new);
    }

    /// Puts a task whose attempt is known to be on no machine back into the queue, if the partition
    /// still owns it and it has not finished. Returns whether it was put back.
    ///
    /// While recovery is incomplete, a task that an earlier leader may have started waits for the
    /// recovery barrier instead of becoming ready.
    pub fn requeue(&mut self, index: u32, attempt: u64, context: PartitionContext<'_>) -> bool {
        if self.assignments.get(&index).is_none_or(|p| p.attempt != attempt) {
            return false;
        }
        self.assignments.remove(&index);
        let is_owned = self.record.is_unfinished_task_of(context.partition, index);
        if !is_owned || self.finished.contains(index) {
            return false;
        }
        // This attempt has ended, but until recovery completes another machine could still hold an
        // attempt of an earlier leader.
        let fresh = self.record.is_task_assigned_under(context.partition, context.term, index);
        if context.recovery_complete || fresh {
            self.ready.insert(index);
        } else {
            self.awaiting_recovery.insert(index);
        }
        true
    }

    /// Makes the tasks that waited for the recovery barrier ready: no machine holds an unknown
    /// attempt of an earlier leader.
    pub fn complete_recovery(&mut self) {
        let mut recovered = std::mem::take(&mut self.awaiting_recovery);
        recovered.insert_all(&self.ready);
        self.ready = recovered;
    }

    /// Assigns a ready task to a machine.
    pub fn assign(&mut self, index: u32, machine: &str, attempt: u64) {
        self.ready.remove(index);
        self.assignments.insert(index, Assignment { machine: machine.to_owned(), attempt });
    }

    /// Adopts an unknown attempt that a machine reports, if the partition owns its task and the
    /// task is neither finished nor on a machine nor moving. Returns whether it was adopted.
    pub fn adopt(&mut self, index: u32, machine: &str, attempt: u64, partition: &str) -> bool {
        let adoptable = self.record.is_unfinished_task_of(partition, index)
            && !self.assignments.contains_key(&index)
            && !self.finished.contains(index)
            && !self.moving.contains(index);
        if adoptable {
            self.awaiting_recovery.remove(index);
            self.assign(index, machine, attempt);
        }
        adoptable
    }

    /// Notes that a task is done. A task of this partition is kept in `finished` until it is
    /// recorded; any other is recorded by the leader of its own partition.
    pub fn finish(&mut self, index: u32, partition: &str, now: Micros) {
        self.ready.remove(index);
        self.awaiting_recovery.remove(index);
        if !self.record.is_unfinished_task_of(partition, index) {
            return;
        }
        self.succeeded += 1;
        self.finished.insert(index);
        if self.all_finished() {
            self.write_not_before = now;
        }
    }

    /// Returns the submitted specification.
    pub fn spec(&self) -> &JobSpec {
        &self.record.job
    }

    /// Returns the resources that one task requires.
    pub fn required_resources(&self) -> Resources {
        Resources::required_by(&self.record.job)
    }

    /// Reports whether the job is a service, whose replicas run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.record.job.is_service()
    }

    /// Reports whether the job is best-effort work that writes checkpoints; see
    /// [`is_cheap_to_preempt`].
    pub fn is_cheap_to_preempt(&self) -> bool {
        is_cheap_to_preempt(&self.record.job)
    }

    /// Returns those of the partition's unfinished tasks that it does not track yet, in any state.
    fn untracked_tasks(&self, owned: &Ranges) -> Ranges {
        let mut new = owned.difference(&self.ready);
        new.remove_all(&self.awaiting_recovery);
        new.remove_all(&self.moving);
        new.remove_all(&self.finished);
        if !new.is_empty() {
            new.remove_all(&self.assignments.keys().copied().collect());
        }
        new
    }

    /// Returns the record, marked as started if any task was assigned or has finished.
    pub fn record_with_start(&self) -> ActiveJobRecord {
        let mut record = self.record.clone();
        record.started |= !self.assignments.is_empty();
        record.started |= !record.finished.is_empty() || !self.finished.is_empty();
        record
    }

    /// Reports whether this partition may have to end the job although it owns no tasks of it any
    /// more: other leaders may have recorded the last tasks in pages without knowing of each other.
    pub fn may_have_to_end_job(&self, partition: &str) -> bool {
        may_have_to_end(&self.record, partition)
    }

    /// Reports whether all tasks of the job have finished, recorded or not.
    pub fn all_finished(&self) -> bool {
        self.record.finished.len() + self.finished.len() >= self.record.job.tasks
    }

    /// Notes that a replica of the service has run long enough to count as working, and forgets
    /// earlier failures.
    pub fn mark_healthy(&mut self) {
        self.succeeded = self.succeeded.max(1);
        self.failures.reset();
    }

    /// Reports whether the job fails on every machine that it is tried on. A service may do so even
    /// after it has run well, since its failures before that were forgotten.
    pub fn fails_everywhere(&self) -> bool {
        (self.succeeded == 0 || self.is_service()) && self.failures.is_job_at_fault()
    }

    /// Returns how many ready tasks no room was found for.
    pub fn unplaced_count(&self) -> u32 {
        self.ready.len().saturating_sub(self.held_back)
    }

    /// Returns how many ready tasks may be placed now. A job that fails everywhere and is not a
    /// service gets at most `MAX_TRIAL_TASKS` tasks at a time, so that it uses few resources until
    /// it is cancelled.
    pub fn placeable_count(&self) -> u32 {
        if self.fails_everywhere() && !self.is_service() {
            MAX_TRIAL_TASKS.saturating_sub(self.assignments.len() as u32).min(self.ready.len())
        } else {
            self.ready.len()
        }
    }

    /// Returns when the machines that the job failed on may be tried again, although it does not
    /// fail everywhere: no task of it is running, and there may be no other machines. Without this,
    /// a service whose attempts had failed on all machines was never placed again after the
    /// machines recovered.
    pub fn retry_failed_machines_at(&self) -> Option<Micros> {
        let waits =
            !self.failures.is_empty() && self.assignments.is_empty() && !self.fails_everywhere();
        waits.then(|| self.failures.last_failure_at() + FAILED_MACHINE_RETRY_DELAY)
    }

    /// Reports whether this partition has no unfinished or unrecorded work on the job.
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

/// Reports whether tasks of a job can be preempted by any other work at almost no loss: best-effort
/// work that writes checkpoints.
pub fn is_cheap_to_preempt(job: &JobSpec) -> bool {
    job.priority == Priority::BestEffort && job.checkpoint_s > 0.0
}

/// Reports whether a partition may have to end a job even if it owns no tasks of it.
fn may_have_to_end(record: &ActiveJobRecord, partition: &str) -> bool {
    record.paged && record.has_tasks_of(partition)
}

#[cfg(test)]
mod tests;
