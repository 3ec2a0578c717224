//! Tasks of a partition's job that are being moved to another partition.
//!
//! They are cut from the ready ones, and return to them only when the move surely cannot come into
//! force any more: a task that is ready here while a late write gives it away would run twice.

use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::{Micros, Ranges};

use crate::jobs::partition_job::PartitionJob;

impl PartitionJob {
    /// Whether a task is cut off for a thief.
    #[cfg(test)]
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

    /// An earlier write of unknown outcome can no longer come into force: what it was to move returns
    /// to the queue. `false` if there was none.
    pub(super) fn settle_unknown_outcome(&mut self) -> bool {
        if !std::mem::take(&mut self.write_outcome_unknown) {
            return false;
        }
        let cut = std::mem::take(&mut self.moving);
        self.ready.add(&cut);
        true
    }
}
