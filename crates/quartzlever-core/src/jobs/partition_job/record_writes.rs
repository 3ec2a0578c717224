//! When the record of a partition's job is written, and what an answer to a write changes of the job.
//!
//! One write or read of the record is under way at a time. A task leaves `finished` only once a
//! committed write has recorded it.

use quartzlever_wire::{Micros, Ranges};

use crate::jobs::partition_job::PartitionJob;

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

    /// Whether no write of the record is under way or of unknown outcome.
    pub fn is_record_settled(&self) -> bool {
        !self.writing && !self.write_outcome_unknown
    }

    /// Whether an earlier write may still come into force.
    pub fn is_write_outcome_unknown(&self) -> bool {
        self.write_outcome_unknown
    }
}
