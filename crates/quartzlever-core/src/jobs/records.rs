//! The records of jobs: which are to be written, and the transactions that write them.
//!
//! Pure: what is planned here is sent, and its answer taken in, by the steps of the router. Every
//! transaction is on condition of the partition's key, so that only its present leader gets it into
//! force, and of the modification revision of the job's record. No finished task is ever left out of
//! a record that listed it, and a task counts as recorded only by what a committed transaction says.

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

/// The key of the final state of a job.
pub fn terminal_job_key(id: &str) -> String {
    format!("{TERMINAL_JOB_PREFIX}{id}")
}

/// A job whose record is to be written, in the order of what is written first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueWrite {
    pub write_kind: WriteKind,
    pub due_since: Micros,
    pub partition: String,
    pub job: String,
}

impl DueWrite {
    /// How many changes the write takes without its pages.
    pub fn changes(&self) -> usize {
        if self.write_kind == WriteKind::Finish { 2 } else { 1 }
    }
}

/// Adds the due writes of the jobs of a partition to `due`, those of mere progress only if
/// `may_write_progress`, and gives the jobs that it has nothing to do with any more.
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
            RecordStep::WriteEnd => WriteKind::Finish,
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

/// What became of a transaction that changes the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Committed {
        mod_revision: u64,
    },
    /// The partition is another leader's.
    PartitionLost,
    /// The record, or a page, is not what it was held to be.
    RecordChanged,
    /// It was not carried out, or may not have been.
    Failed,
}

impl WriteOutcome {
    /// The outcome of a leader's transaction by the store's answer.
    pub fn of(result: &Result<StoreReply, CallError>, partition: &str) -> Self {
        let fences = |key: &String| key.strip_prefix(PARTITION_PREFIX) == Some(partition);
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                WriteOutcome::Committed { mod_revision: *mod_revision }
            }
            Ok(StoreReply::Conflict(failed)) if failed.iter().any(fences) => {
                WriteOutcome::PartitionLost
            }
            Ok(StoreReply::Conflict(_)) => WriteOutcome::RecordChanged,
            Ok(_) | Err(_) => WriteOutcome::Failed,
        }
    }
}

/// A planned transaction, and what it will have done.
#[derive(Debug)]
pub(crate) struct PlannedWrite {
    pub txn: Txn,
    pub action: JobWriteAction,
    /// The newly finished tasks that it records.
    pub recorded: Ranges,
    /// The pages that it writes.
    pub pages: Vec<PageWrite>,
}

/// Plans the write of a job that is due: its end, or as much of its progress as fits. `leader` is a
/// transaction that only the partition's leader gets into force, `paging` whether all controllers
/// know pages. None if nothing can be written that fits.
pub(crate) fn plan_write(
    leader: Txn,
    job: &PartitionJob,
    pages: &Pages,
    paging: bool,
    room: WriteLimits,
) -> Option<PlannedWrite> {
    let id = &job.spec().id;
    let base = leader.if_mod_revision(active_job_key(id), job.mod_revision());
    if job.all_finished() {
        return Some(end_of_job(base, job));
    }
    let progress = if paging {
        pages.plan(&job.begun_record(), &job.finished, room)
    } else {
        progress_without_pages(job, room.value_bytes)
    };
    progress.map(|progress| progress_of_job(base, id, progress, pages))
}

fn end_of_job(txn: Txn, job: &PartitionJob) -> PlannedWrite {
    let spec = job.spec();
    let over = TerminalJobRecord { phase: JobPhase::Done, done: spec.tasks };
    let txn =
        txn.delete(active_job_key(&spec.id)).write(terminal_job_key(&spec.id), Json::of(&over));
    let recorded = job.finished.clone();
    PlannedWrite { txn, action: JobWriteAction::End, recorded, pages: Vec::new() }
}

/// Makes a transaction record the progress of a job.
pub(crate) fn progress_of_job(
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

/// While a controller may be of the first version, a record keeps what fits: too many gaps are not
/// recorded until other tasks have finished between. What is not recorded is not cleared on the
/// machines either.
fn progress_without_pages(job: &PartitionJob, value_bytes: usize) -> Option<ProgressWrite> {
    let mut record = job.begun_record();
    let recorded = record.finished.clone();
    record.finished.add(&job.finished);
    let mut recorded_now = job.finished.clone();
    let mut length = Json::of(&record).text().len();
    if length > value_bytes {
        recorded_now = fitting(&mut record, &recorded, &recorded_now, value_bytes);
        length = Json::of(&record).text().len();
        if recorded_now.is_empty() && (length > value_bytes || !job.is_write_outcome_unknown()) {
            return None;
        }
    }
    Some(ProgressWrite { record: Some(record), pages: Vec::new(), recorded: recorded_now })
}

/// Puts as much of what has finished into a record as keeps it within a value's limit, the longest
/// ranges first, and gives what that is.
fn fitting(
    record: &mut ActiveJobRecord,
    recorded: &Ranges,
    finished: &Ranges,
    most: usize,
) -> Ranges {
    /// So many ranges are tried: they fill gaps or are long, and the rest can wait.
    const TRIED: usize = 64;
    record.finished = recorded.clone();
    let room = most.saturating_sub(Json::of(&*record).text().len() - recorded.to_string().len());
    let mut ranges: Vec<Ranges> = finished.ranges().map(Ranges::of).collect();
    ranges.sort_by_key(|r| std::cmp::Reverse(r.len()));
    let (mut kept, mut recorded_now) = (recorded.clone(), Ranges::default());
    for range in ranges.into_iter().take(TRIED) {
        let with = kept.union(&range);
        if with.to_string().len() <= room {
            kept = with;
            recorded_now.add(&range);
        }
    }
    record.finished = kept;
    recorded_now
}

#[cfg(test)]
mod tests;
