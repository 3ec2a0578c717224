//! Tasks of a partition's job that are being moved to another partition.
//!
//! Moving tasks are removed from the ready ones, and return only when the move can no longer be
//! committed: a task that is ready here while a late write moves it away would run twice.

use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::{Micros, Ranges};

use crate::jobs::partition_job::PartitionJob;

impl PartitionJob {
    /// Reports whether a task is being moved to a thief.
    #[cfg(test)]
    pub fn is_moving(&self, index: u32) -> bool {
        self.moving.contains(index)
    }

    /// Returns how many tasks are being moved to a thief.
    #[cfg(test)]
    pub fn moving_count(&self) -> u32 {
        self.moving.len()
    }

    /// Records that a move would make the present record larger than the store accepts.
    pub fn record_too_large_to_move(&mut self) {
        self.too_large_to_move_at = Some(self.mod_revision);
    }

    /// Reports whether a move of the job has been found to make the present record larger than the
    /// store accepts, so that none is planned until the record changes.
    pub fn is_too_large_to_move(&self) -> bool {
        self.too_large_to_move_at == Some(self.mod_revision)
    }

    /// Starts the move of tasks that were removed from the ready ones.
    pub fn begin_move(&mut self, tasks: &Ranges) {
        self.moving.insert_all(tasks);
        self.writing = true;
    }

    /// Completes the move of tasks that was committed with `record`. Tasks that finished in the
    /// meantime are added to `record`.
    pub fn move_committed(
        &mut self,
        tasks: &Ranges,
        record: &mut ActiveJobRecord,
        mod_revision: u64,
    ) {
        self.writing = false;
        self.moving.remove_all(tasks);
        if mod_revision > self.mod_revision {
            // A page may have added finished tasks in the meantime.
            record.finished.insert_all(&self.record.finished);
            self.mod_revision = mod_revision;
            self.record = record.clone();
        }
    }

    /// Ends a move that conflicted and can no longer be committed: the tasks that the partition
    /// still owns return to the queue.
    pub fn move_conflicted(&mut self, tasks: &Ranges, partition: &str) {
        self.writing = false;
        self.moving.remove_all(tasks);
        let owned = self.record.unfinished_tasks_of(partition);
        self.ready.insert_all(&tasks.intersection(&owned));
    }

    /// Ends a move that was not carried out: its tasks return to the queue.
    pub fn move_not_applied(&mut self, tasks: &Ranges) {
        self.writing = false;
        self.moving.remove_all(tasks);
        self.ready.insert_all(tasks);
    }

    /// Notes that the outcome of the move is unknown. It may still be committed minutes later, so
    /// its tasks stay out of the queue until another write at the same modification revision, or a
    /// newer record, rules that out.
    pub fn move_outcome_unknown(&mut self, write_not_before: Micros) {
        self.writing = false;
        self.write_outcome_unknown = true;
        self.retry_write(write_not_before);
    }

    /// Notes that an earlier write of unknown outcome can no longer be committed: the tasks that it
    /// was to move return to the queue. Returns `false` if there was no such write.
    pub(super) fn settle_unknown_outcome(&mut self) -> bool {
        if !std::mem::take(&mut self.write_outcome_unknown) {
            return false;
        }
        let tasks = std::mem::take(&mut self.moving);
        self.ready.insert_all(&tasks);
        true
    }
}
