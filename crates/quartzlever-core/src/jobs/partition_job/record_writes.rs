//! When the record of a partition's job is written, and how replies to writes change the job.
//!
//! At most one write or read of the record is in flight. A task leaves `finished` only once a
//! committed write or a page has recorded it, or the partition no longer owns it.

use quartzlever_wire::{Micros, Ranges};

use crate::jobs::partition_job::PartitionJob;

/// The next step for the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStep {
    /// Do nothing now.
    Wait,
    /// Forget the job: this partition has no part in it any more.
    Forget,
    /// Write the finished tasks, or that the job has started.
    WriteProgress,
    /// End the job, all of whose tasks have finished.
    WriteFinalState,
}

impl PartitionJob {
    /// Returns the known modification revision of the record.
    pub fn mod_revision(&self) -> u64 {
        self.mod_revision
    }

    /// Returns the next step for the record.
    pub fn next_record_step(&self, partition: &str, now: Micros) -> RecordStep {
        if self.writing || now < self.write_not_before {
            return RecordStep::Wait;
        }
        if !self.idle() || self.needs_write {
            return match self.write_outcome_unknown || self.needs_write || !self.finished.is_empty()
            {
                false => RecordStep::Wait,
                true if self.all_finished() => RecordStep::WriteFinalState,
                true => RecordStep::WriteProgress,
            };
        }
        match self.may_have_to_end_job(partition) {
            true if self.all_finished() => RecordStep::WriteFinalState,
            false if !self.record.has_unfinished_tasks_of(partition) => RecordStep::Forget,
            _ => RecordStep::Wait,
        }
    }

    /// Returns the earliest time of the next write of the record.
    pub fn write_not_before(&self) -> Micros {
        self.write_not_before
    }

    /// Postpones the write of the record, because no progress can be written now.
    pub fn postpone_write(&mut self, until: Micros) {
        self.write_not_before = until;
    }

    /// Notes that a write of the record is sent; the next one may not start before `next`.
    pub fn begin_write(&mut self, next: Micros) {
        self.writing = true;
        self.needs_write = false;
        self.write_not_before = next;
    }

    /// Notes that the record is being read again; it is not written until the read is answered.
    pub fn begin_reread(&mut self) {
        self.writing = true;
    }

    /// Notes that the write or the read was answered.
    pub fn end_write(&mut self) {
        self.writing = false;
    }

    /// Schedules another write of the record at `not_before` at the earliest.
    pub fn retry_write(&mut self, not_before: Micros) {
        self.needs_write = true;
        self.write_not_before = not_before;
    }

    /// Schedules a write that marks the job as started, unless its record says so already. Progress
    /// is never written for a service, so without this other nodes would report it as queued.
    pub fn record_start(&mut self) {
        self.needs_write |= !self.record.started;
    }

    /// Applies a committed write of newly finished tasks. Returns whether tasks of a move of
    /// unknown outcome returned to the queue.
    pub fn progress_written(&mut self, recorded: &Ranges, mod_revision: u64) -> bool {
        self.finished.remove_all(recorded);
        if mod_revision > self.mod_revision {
            self.mod_revision = mod_revision;
            self.record.finished.insert_all(recorded);
            self.record.started = true;
        }
        // This write was committed at that modification revision, so the write of unknown outcome
        // never will be.
        self.settle_unknown_outcome()
    }

    /// Reports whether no write of the record is in flight or of unknown outcome.
    pub fn is_record_settled(&self) -> bool {
        !self.writing && !self.write_outcome_unknown
    }

    /// Reports whether an earlier write of unknown outcome may still be committed.
    pub fn is_write_outcome_unknown(&self) -> bool {
        self.write_outcome_unknown
    }
}
