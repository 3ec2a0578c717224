//! Adding to a rebuilt generation the jobs that only an absent controller knows: those accepted,
//! finished or cancelled in the last moments before the loss.
//!
//! Invariant: a contribution never replaces a record of the serving generation, except the record
//! of an active job by its final state. Each transaction has the revisions of the affected records,
//! as they were read, as its conditions.

use quartzlever_wire::Json;
use quartzlever_wire::pages::{PAGE_PREFIX, page_of_key};
use quartzlever_wire::store::{ACTIVE_JOB_PREFIX, StoreCall, StoreReply, TERMINAL_JOB_PREFIX, Txn};

use super::acceptance::ListedGeneration;
use super::outcome::{Interruption, StepResult};
use super::session::Session;
use crate::access::StoreAccess;
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{ABSENT_PREFIX, StoreObservation};
use crate::records::{Record, RecordSet};

/// Whether this process knew jobs that the records lacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contribution {
    /// It did and has submitted them, so the records may have changed since they were read.
    Submitted,
    /// It did not.
    Nothing,
}

/// Submits the jobs that this process knows and the records of a newer generation lack. Once none
/// are left, deletes the key that marks this controller as absent from the rebuild.
pub(super) fn contribute<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: Option<&History>,
    listed: &ListedGeneration,
) -> StepResult<Contribution> {
    let ListedGeneration { generation, records, observed } = listed;
    let calls = history.map(|history| missing_job_txns(history, records, generation));
    let calls = calls.unwrap_or_default();
    for call in &calls {
        match session.access().call(&generation.to_store(call))? {
            StoreReply::Committed(_) => {}
            StoreReply::Conflict(_) => return Err(Interruption::Conflict),
            _ => session.access().log(RebuildEvent::ContributionRefused { call: call.clone() }),
        }
    }
    if !calls.is_empty() {
        session.access().log(RebuildEvent::JobsContributed { count: calls.len() });
        return Ok(Contribution::Submitted);
    }
    delete_absent_key(session, observed)?;
    Ok(Contribution::Nothing)
}

/// Deletes the key that marks this controller as absent from the rebuild, if it exists.
fn delete_absent_key<A: StoreAccess>(
    session: &mut Session<'_, A>,
    observed: &StoreObservation,
) -> StepResult<()> {
    let Some(absent) = observed.absent.get(session.node()) else { return Ok(()) };
    let key = format!("{ABSENT_PREFIX}{}", session.node());
    session.commit(Txn::default().if_mod_revision(&key, absent.mod_revision).delete(&key))
}

/// Returns one transaction for each job that the records lack, or show as active though it has
/// ended.
fn missing_job_txns(
    history: &History,
    records: &RecordSet,
    generation: &Generation,
) -> Vec<StoreCall> {
    let known = &history.records;
    // After a change of the revision base, final states are carried over, except those of jobs that
    // the records show as active.
    let are_carried_over = generation.identity.base != history.identity.base;
    let ended = known.rows().iter().filter_map(|(key, record)| {
        missing_final_state(key, record, records)
            .filter(|found| !are_carried_over || found.is_recorded_as_active)
    });
    let active = known
        .rows()
        .iter()
        .filter_map(|(key, record)| missing_active_job(key, record, known, records));
    ended.map(|found| found.txn).chain(active).map(StoreCall::Txn).collect()
}

/// A final state that the records lack.
struct MissingFinalState {
    txn: Txn,
    /// Whether the records show the job as active.
    is_recorded_as_active: bool,
}

/// Returns the write of a final state that the records lack; `None` for any other key.
fn missing_final_state(
    key: &str,
    record: &Record,
    records: &RecordSet,
) -> Option<MissingFinalState> {
    let job = key.strip_prefix(TERMINAL_JOB_PREFIX).filter(|_| records.get(key).is_none())?;
    let active_job_key = format!("{ACTIVE_JOB_PREFIX}{job}");
    let active = records.get(&active_job_key);
    let txn = Txn::default()
        .if_mod_revision(key, 0)
        .if_mod_revision(&active_job_key, active.map_or(0, |record| record.mod_revision))
        .write(key, Json::from_text(&record.value)?);
    let is_recorded_as_active = active.is_some();
    let txn = if is_recorded_as_active { txn.delete(active_job_key) } else { txn };
    Some(MissingFinalState { txn, is_recorded_as_active })
}

/// Returns the write of an active job that the records lack, with its pages; `None` for any other
/// key.
fn missing_active_job(
    key: &str,
    record: &Record,
    known: &RecordSet,
    records: &RecordSet,
) -> Option<Txn> {
    let job = key.strip_prefix(ACTIVE_JOB_PREFIX)?;
    let terminal_job_key = format!("{TERMINAL_JOB_PREFIX}{job}");
    let is_in_records = [key, &terminal_job_key].iter().any(|key| records.get(key).is_some());
    if is_in_records || known.get(&terminal_job_key).is_some() {
        return None;
    }
    let txn = Txn::default().if_mod_revision(key, 0).if_mod_revision(terminal_job_key, 0);
    Some(add_pages(txn.write(key, Json::from_text(&record.value)?), job, known))
}

/// Adds the writes of a job's pages of finished tasks to the transaction that writes its record.
fn add_pages(txn: Txn, job: &str, known: &RecordSet) -> Txn {
    let prefix = format!("{PAGE_PREFIX}{job}/");
    let pages =
        known.rows().range(prefix.clone()..).take_while(|(key, _)| key.starts_with(&prefix));
    let of_job = pages.filter(|(key, _)| page_of_key(key).is_some_and(|(owner, _)| owner == job));
    of_job.fold(txn, |txn, (key, record)| match Json::from_text(&record.value) {
        Some(value) => txn.write(key, value),
        None => txn,
    })
}
