//! Job records: which are due to be written, and the transactions that write them.
//!
//! Pure functions; the router sends what is planned here and applies the reply. Every transaction
//! is conditional on the partition's key, so that only its current leader can commit it, and on the
//! modification revision of the job's record. A record never drops a finished task that it has
//! listed, unless a page holds it, and a task counts as recorded only once a committed transaction
//! records it.

use quartzlever_wire::store::{
    ActiveJobRecord, PARTITION_PREFIX, StoreReply, TERMINAL_JOB_PREFIX, TerminalJobRecord, Txn,
};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Json, Micros, Ranges};

use crate::calls::{JobWriteAction, PageWrite};
use crate::jobs::pages::{Pages, ProgressWrite, WriteLimits};
use crate::jobs::partition_job::{PartitionJob, RecordStep};
use crate::store::active_job_key;
use crate::store::write_budget::WriteKind;

/// Returns the key of the final state of a job.
pub fn terminal_job_key(id: &str) -> String {
    format!("{TERMINAL_JOB_PREFIX}{id}")
}

/// A job whose record is due to be written. Sorts by priority: the kind of write first, then the
/// longest overdue.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueWrite {
    pub write_kind: WriteKind,
    pub due_since: Micros,
    pub partition: String,
    pub job: String,
}

impl DueWrite {
    /// Returns the number of changes that the write takes without its pages.
    pub fn change_count(&self) -> usize {
        if self.write_kind == WriteKind::Finish { 2 } else { 1 }
    }
}

/// Adds the due writes of a partition's jobs to `due`, and returns the jobs that the partition may
/// forget. Writes of progress are included only if `may_write_progress` is set.
pub(crate) fn collect_due<'a>(
    partition: &str,
    jobs: impl Iterator<Item = (&'a String, &'a PartitionJob)>,
    may_write_progress: bool,
    now: Micros,
    due: &mut Vec<DueWrite>,
) -> Vec<String> {
    let mut forgotten = Vec::new();
    for (id, job) in jobs {
        let write_kind = match job.next_record_step(partition, now) {
            RecordStep::Wait => continue,
            RecordStep::Forget => {
                forgotten.push(id.clone());
                continue;
            }
            RecordStep::WriteProgress if !may_write_progress => continue,
            RecordStep::WriteProgress => WriteKind::Progress,
            RecordStep::WriteFinalState => WriteKind::Finish,
        };
        due.push(DueWrite {
            write_kind,
            due_since: job.write_not_before(),
            partition: partition.to_owned(),
            job: id.clone(),
        });
    }
    forgotten
}

/// The outcome of a transaction that changes the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Committed {
        mod_revision: u64,
    },
    /// Another leader has the partition.
    PartitionLost,
    /// The record or a page is at another modification revision than expected.
    RecordChanged,
    /// The transaction was not carried out, or its outcome is unknown.
    Failed,
}

impl WriteOutcome {
    /// Derives the outcome of a transaction of the partition's leader from the store's reply.
    pub fn of(result: &Result<StoreReply, CallError>, partition: &str) -> Self {
        let is_partition_key = |key: &String| key.strip_prefix(PARTITION_PREFIX) == Some(partition);
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                WriteOutcome::Committed { mod_revision: *mod_revision }
            }
            Ok(StoreReply::Conflict(failed)) if failed.iter().any(is_partition_key) => {
                WriteOutcome::PartitionLost
            }
            Ok(StoreReply::Conflict(_)) => WriteOutcome::RecordChanged,
            Ok(_) | Err(_) => WriteOutcome::Failed,
        }
    }
}

/// A planned transaction, and what it records once committed.
#[derive(Debug)]
pub(crate) struct PlannedWrite {
    pub txn: Txn,
    pub action: JobWriteAction,
    /// The newly finished tasks that the transaction records.
    pub recorded: Ranges,
    /// The pages that the transaction writes.
    pub pages: Vec<PageWrite>,
}

/// Plans the due write of a job: its final state, or as much of its progress as fits the limits.
/// Returns `None` if no write fits.
///
/// `leader` is a transaction conditional on the partition's term, so that only its leader can
/// commit it. `paging` tells whether all controllers support pages.
pub(crate) fn plan_write(
    leader: Txn,
    job: &PartitionJob,
    pages: &Pages,
    paging: bool,
    limits: WriteLimits,
) -> Option<PlannedWrite> {
    let id = &job.spec().id;
    let base = leader.if_mod_revision(active_job_key(id), job.mod_revision());
    if job.all_finished() {
        return Some(plan_final_state(base, job));
    }
    let progress = if paging {
        pages.plan(&job.record_with_start(), &job.finished, limits)
    } else {
        plan_progress_without_pages(job, limits.value_bytes)
    };
    progress.map(|progress| plan_progress(base, id, progress, pages))
}

fn plan_final_state(txn: Txn, job: &PartitionJob) -> PlannedWrite {
    let spec = job.spec();
    let final_state = TerminalJobRecord { phase: JobPhase::Done, done: spec.tasks };
    let txn = txn
        .delete(active_job_key(&spec.id))
        .write(terminal_job_key(&spec.id), Json::of(&final_state));
    let recorded = job.finished.clone();
    PlannedWrite { txn, action: JobWriteAction::End, recorded, pages: Vec::new() }
}

/// Adds the writes of a job's progress to a transaction.
pub(crate) fn plan_progress(
    txn: Txn,
    id: &str,
    progress: ProgressWrite,
    known: &Pages,
) -> PlannedWrite {
    let ProgressWrite { record, pages, recorded } = progress;
    let txn = known.add_to(txn, id, &pages);
    let (txn, action) = match record {
        Some(record) => (txn.write(active_job_key(id), Json::of(&record)), JobWriteAction::Record),
        None => (txn, JobWriteAction::PagesOnly),
    };
    PlannedWrite { txn, action, recorded, pages }
}

/// Plans a progress write without pages, which controllers of the first version cannot read.
///
/// The record lists as many finished tasks as fit. If there are too many gaps, the rest is recorded
/// only once tasks in between have finished, and until then it is not cleared on the machines
/// either.
fn plan_progress_without_pages(job: &PartitionJob, value_bytes: usize) -> Option<ProgressWrite> {
    let mut record = job.record_with_start();
    let recorded = record.finished.clone();
    record.finished.insert_all(&job.finished);
    let mut recorded_now = job.finished.clone();
    let mut length = Json::of(&record).text().len();
    if length > value_bytes {
        recorded_now = add_fitting_ranges(&mut record, &recorded, &recorded_now, value_bytes);
        length = Json::of(&record).text().len();
        if recorded_now.is_empty() && (length > value_bytes || !job.is_write_outcome_unknown()) {
            return None;
        }
    }
    Some(ProgressWrite { record: Some(record), pages: Vec::new(), recorded: recorded_now })
}

/// Adds finished tasks to a record, the longest ranges first, as long as its value stays within
/// `max_bytes`. Returns the tasks added. `recorded` are the tasks recorded already.
fn add_fitting_ranges(
    record: &mut ActiveJobRecord,
    recorded: &Ranges,
    finished: &Ranges,
    max_bytes: usize,
) -> Ranges {
    /// How many ranges are tried: these are long or fill gaps, and the rest can wait.
    const MAX_RANGES_TRIED: usize = 64;
    record.finished = recorded.clone();
    let ranges_limit =
        max_bytes.saturating_sub(Json::of(&*record).text().len() - recorded.to_string().len());
    let mut ranges: Vec<Ranges> = finished.ranges().map(Ranges::from_range).collect();
    ranges.sort_by_key(|r| std::cmp::Reverse(r.len()));
    let (mut kept, mut recorded_now) = (recorded.clone(), Ranges::default());
    for range in ranges.into_iter().take(MAX_RANGES_TRIED) {
        let with = kept.union(&range);
        if with.to_string().len() <= ranges_limit {
            kept = with;
            recorded_now.insert_all(&range);
        }
    }
    record.finished = kept;
    recorded_now
}

#[cfg(test)]
mod tests;
