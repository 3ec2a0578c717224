//! Final states that are written after the next generation serves.
//!
//! Final states are most of the records, and only read. Those that every candidate knows are inherited: each
//! controller keeps them in its picture at the modification revision of the last generation's end until they are written.
//! Invariant: a controller serves a generation only when it has every final state at hand, from the store or
//! from its own history.

use quartzlever_wire::store::{StoreCall, StoreReply, TERMINAL_JOB_PREFIX, Txn};
use quartzlever_wire::{CallError, Json};

use crate::generation::Generation;
use crate::history::History;
use crate::identity::Observed;
use crate::picture::{Picture, Record, Update};

/// Whether a process has every final state of a generation at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TerminalJobs {
    /// All are in the picture.
    Complete,
    /// Some are neither written yet nor known to this process.
    Incomplete,
}

/// Writes inherited final states, which must fit into one transaction, and returns the change if it was
/// committed. Other controllers write them too: a record that exists already stays as it is.
///
/// # Errors
/// The error of the call, whose outcome may be unknown; writing the same records again does no harm.
pub fn restore_final_states(
    store: &mut impl FnMut(&StoreCall) -> Result<StoreReply, CallError>,
    generation: &Generation,
    records: &[(String, Record)],
) -> Result<Option<Update>, CallError> {
    let mut txn = Txn::default();
    for (key, record) in records {
        if let Some(value) = Json::from_text(&record.value) {
            txn = txn.if_mod_revision(key, 0).write(key, value);
        }
    }
    let call = StoreCall::Txn(txn);
    let reply = generation.reply_from_store(store(&generation.to_store(&call))?);
    Ok(Update::shown_by(&call, &reply))
}

/// Adds to a generation's records the final states that this process knows and that may not be written yet.
pub(super) fn add_final_states(
    picture: &mut Picture,
    history: Option<&History>,
    generation: &Generation,
    observed: &Observed,
) -> TerminalJobs {
    let base = generation.identity.base;
    let Some(history) = history else {
        return match observed.pending_final_states {
            None => TerminalJobs::Complete,
            Some(_) => TerminalJobs::Incomplete,
        };
    };
    if history.identity.generation == generation.identity.generation {
        // What was inherited before this process was started anew, and is not written yet.
        carry_over(picture, history.picture.carried_over(base, ""), base);
        return TerminalJobs::Complete;
    }
    let known_to = history.picture.revision();
    if observed.pending_final_states.as_ref().is_some_and(|i| known_to < i.value.known_to) {
        return TerminalJobs::Incomplete;
    }
    let final_states =
        history.picture.rows().iter().filter(|(key, _)| key.starts_with(TERMINAL_JOB_PREFIX));
    carry_over(picture, final_states, base);
    TerminalJobs::Complete
}

fn carry_over<'a>(
    picture: &mut Picture,
    records: impl Iterator<Item = (&'a String, &'a Record)>,
    base: u64,
) {
    picture.carry_over(records.map(|(key, record)| (key.clone(), record.value.clone())), base);
}
