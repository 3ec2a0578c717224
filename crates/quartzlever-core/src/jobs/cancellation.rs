//! Cancellations: the transaction that ends a job, and who is told of it.
//!
//! Pure: the steps of the router send what is planned here. A job is cancelled by one transaction that
//! removes its record, at the modification revision that was read, and writes its final state. So a
//! job that is over never changes its final state, and no later write brings its record back.

use quartzlever_wire::store::{ActiveJobRecord, StoreReply, TerminalJobRecord, Txn};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Json};

use crate::jobs::records::terminal_job_key;
use crate::store::active_job_key;

/// A record that changes each time between its read and the cancellation is read so often again.
const MAX_CANCEL_ATTEMPTS: u32 = 6;
/// How many changes a cancellation takes.
pub(crate) const CHANGES: usize = 2;

/// The final state of a cancelled job of which so many tasks had finished.
pub(crate) fn cancelled(done: u32) -> TerminalJobRecord {
    TerminalJobRecord { phase: JobPhase::Cancelled, done }
}

/// The transaction that cancels a job whose record was read at a modification revision.
pub(crate) fn plan_cancellation(job: &str, mod_revision: u64, done: u32) -> Txn {
    let active_key = active_job_key(job);
    Txn::default()
        .if_mod_revision(active_key.clone(), mod_revision)
        .delete(active_key)
        .write(terminal_job_key(job), Json::of(&cancelled(done)))
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    Committed,
    /// The record has changed meanwhile, and is read again.
    ReadAgain,
    /// It was not carried out, or may not have been.
    Failed,
}

impl CancelOutcome {
    /// The outcome by the store's answer, after so many tries before.
    pub fn of(result: &Result<StoreReply, CallError>, tries: u32) -> Self {
        match result {
            Ok(StoreReply::Committed(_)) => CancelOutcome::Committed,
            Ok(StoreReply::Conflict(_)) if tries < MAX_CANCEL_ATTEMPTS => CancelOutcome::ReadAgain,
            _ => CancelOutcome::Failed,
        }
    }
}

/// The other nodes that lead partitions of a job, each once.
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
