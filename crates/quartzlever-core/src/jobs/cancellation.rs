//! Cancellations: the transaction that cancels a job, and which leaders are notified.
//!
//! Pure functions; the router sends what is planned here. One transaction removes the record of the
//! job, on condition of the modification revision that was read, and writes its final state. So the
//! final state of a job never changes, and no later write can restore its record.

use quartzlever_wire::store::{ActiveJobRecord, StoreReply, TerminalJobRecord, Txn};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Json};

use crate::jobs::records::terminal_job_key;
use crate::store::active_job_key;

/// Maximum number of times that a record is read again because it changed between its read and the
/// cancellation.
const MAX_CANCEL_RETRIES: u32 = 6;
/// Number of changes in the transaction of a cancellation.
pub(crate) const CANCELLATION_CHANGES: usize = 2;

/// Returns the final state of a cancelled job with `done` finished tasks.
pub(crate) fn cancelled_state(done: u32) -> TerminalJobRecord {
    TerminalJobRecord { phase: JobPhase::Cancelled, done }
}

/// Returns the transaction that cancels a job whose record was read at `mod_revision`.
pub(crate) fn plan_cancellation(job: &str, mod_revision: u64, done: u32) -> Txn {
    let active_key = active_job_key(job);
    Txn::default()
        .if_mod_revision(active_key.clone(), mod_revision)
        .delete(active_key)
        .write(terminal_job_key(job), Json::of(&cancelled_state(done)))
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    Committed,
    /// The record has changed since it was read, and has to be read again.
    ReadAgain,
    /// The transaction was not carried out, or its outcome is unknown.
    Failed,
}

impl CancelOutcome {
    /// Derives the outcome from the store's reply, after `attempts` earlier attempts.
    pub fn of(result: &Result<StoreReply, CallError>, attempts: u32) -> Self {
        match result {
            Ok(StoreReply::Committed(_)) => CancelOutcome::Committed,
            Ok(StoreReply::Conflict(_)) if attempts < MAX_CANCEL_RETRIES => {
                CancelOutcome::ReadAgain
            }
            _ => CancelOutcome::Failed,
        }
    }
}

/// Returns the other nodes that lead partitions of a job, without duplicates.
pub(crate) fn other_leaders<'a>(
    record: &ActiveJobRecord,
    other_leader_of: impl Fn(&str) -> Option<&'a str>,
) -> Vec<&'a str> {
    let mut nodes: Vec<&str> =
        record.shares.iter().filter_map(|share| other_leader_of(&share.partition)).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

#[cfg(test)]
mod tests;
