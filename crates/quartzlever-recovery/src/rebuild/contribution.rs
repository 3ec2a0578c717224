//! What a controller that had no part in a rebuild still knows: jobs that were accepted, done or cancelled
//! in the last moments before the loss.
//!
//! Invariant: a contribution never replaces a record of the generation that serves, except a live job's by
//! its final state; each transaction is on condition that the records are as they were read.

use quartzlever_wire::Json;
use quartzlever_wire::pages::{PAGE_PREFIX, page_of_key};
use quartzlever_wire::store::{ACTIVE_JOB_PREFIX, StoreCall, StoreReply, TERMINAL_JOB_PREFIX, Txn};

use super::acceptance::Reading;
use super::outcome::{Attempt, Interruption};
use super::session::Session;
use crate::access::StoreAccess;
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{ABSENT_PREFIX, Observed};
use crate::picture::{Picture, Record};

/// Whether this process knew anything that the records lacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contribution {
    /// It did, and the records have changed since they were read.
    HandedIn,
    Nothing,
}

/// Hands in what this process knows and the records of a newer generation lack. Once there is nothing left,
/// the key that says that this controller is awaited goes.
pub(super) fn contribute<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: Option<&History>,
    reading: &Reading,
) -> Attempt<Contribution> {
    let Reading { generation, picture, observed } = reading;
    let calls = history.map(|history| transactions(history, picture, generation));
    let calls = calls.unwrap_or_default();
    for call in &calls {
        match session.access().call(&generation.to_store(call))? {
            StoreReply::Committed(_) => {}
            StoreReply::Conflict(_) => return Err(Interruption::Overtaken),
            _ => session.access().log(RebuildEvent::ContributionRefused { call: call.clone() }),
        }
    }
    if !calls.is_empty() {
        session.access().log(RebuildEvent::JobsContributed { count: calls.len() });
        return Ok(Contribution::HandedIn);
    }
    remove_absence(session, observed)?;
    Ok(Contribution::Nothing)
}

fn remove_absence<A: StoreAccess>(
    session: &mut Session<'_, A>,
    observed: &Observed,
) -> Attempt<()> {
    let Some(absent) = observed.absent.get(session.node()) else { return Ok(()) };
    let key = format!("{ABSENT_PREFIX}{}", session.node());
    session.commit(Txn::default().if_mod_revision(&key, absent.mod_revision).delete(&key))
}

/// Jobs that the records lack, or show as live though they are over, each as a transaction.
fn transactions(history: &History, records: &Picture, generation: &Generation) -> Vec<StoreCall> {
    let known = &history.picture;
    // With a new line of revisions, final states are inherited, but for those of jobs that the records
    // show as live.
    let inherits = generation.identity.base != history.identity.base;
    let over = known.rows().iter().filter_map(|(key, record)| {
        final_state(key, record, records).filter(|found| !inherits || found.contradicts_live)
    });
    let live =
        known.rows().iter().filter_map(|(key, record)| live_job(key, record, known, records));
    over.map(|found| found.txn).chain(live).map(StoreCall::Txn).collect()
}

/// A final state that the records lack.
struct FinalState {
    txn: Txn,
    /// The records show the job as live.
    contradicts_live: bool,
}

fn final_state(key: &str, record: &Record, records: &Picture) -> Option<FinalState> {
    let job = key.strip_prefix(TERMINAL_JOB_PREFIX).filter(|_| records.get(key).is_none())?;
    let active_job_key = format!("{ACTIVE_JOB_PREFIX}{job}");
    let live = records.get(&active_job_key);
    let txn = Txn::default()
        .if_mod_revision(key, 0)
        .if_mod_revision(&active_job_key, live.map_or(0, |record| record.mod_revision))
        .write(key, Json::from_text(&record.value)?);
    let contradicts_live = live.is_some();
    let txn = if contradicts_live { txn.delete(active_job_key) } else { txn };
    Some(FinalState { txn, contradicts_live })
}

/// A live job that the records lack, with its pages.
fn live_job(key: &str, record: &Record, known: &Picture, records: &Picture) -> Option<Txn> {
    let job = key.strip_prefix(ACTIVE_JOB_PREFIX)?;
    let terminal_job_key = format!("{TERMINAL_JOB_PREFIX}{job}");
    let is_in_records = [key, &terminal_job_key].iter().any(|key| records.get(key).is_some());
    if is_in_records || known.get(&terminal_job_key).is_some() {
        return None;
    }
    let txn = Txn::default().if_mod_revision(key, 0).if_mod_revision(terminal_job_key, 0);
    Some(with_pages(txn.write(key, Json::from_text(&record.value)?), job, known))
}

/// A job's pages of finished tasks go with its record.
fn with_pages(txn: Txn, job: &str, known: &Picture) -> Txn {
    let prefix = format!("{PAGE_PREFIX}{job}/");
    let pages =
        known.rows().range(prefix.clone()..).take_while(|(key, _)| key.starts_with(&prefix));
    let of_job = pages.filter(|(key, _)| page_of_key(key).is_some_and(|(owner, _)| owner == job));
    of_job.fold(txn, |txn, (key, record)| match Json::from_text(&record.value) {
        Some(value) => txn.write(key, value),
        None => txn,
    })
}
