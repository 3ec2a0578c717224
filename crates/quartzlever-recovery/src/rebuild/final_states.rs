//! Final states that are written after the next generation serves.
//!
//! Most records are final states, which are only read, so writing them can wait. Those that every
//! candidate knows are carried over: until they are written, each controller keeps them among its
//! own records, with the base revision of the generation as their modification revision, which
//! counts as the end of the previous generation. Invariant: a controller serves a generation only
//! if it has every final state, from the store or from its own history.

use quartzlever_wire::store::{StoreCall, StoreReply, TERMINAL_JOB_PREFIX, Txn};
use quartzlever_wire::{CallError, Json};

use crate::generation::Generation;
use crate::history::History;
use crate::identity::StoreObservation;
use crate::records::{Record, RecordSet, Update};

/// Whether a process has every final state of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalStates {
    /// The records include all final states.
    Complete,
    /// Some final states may be neither written yet nor known to this process.
    Incomplete,
}

/// Writes carried-over final states, which must fit into one transaction, and returns the update if
/// it was committed. Other controllers write them too, so nothing is written if any of the records
/// exists already.
///
/// # Errors
/// Returns the error of the call, whose outcome may be unknown. Writing the same records again is
/// harmless.
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
    Ok(Update::from_reply(&call, &reply))
}

/// Adds the final states that this process knows, and that may not be written yet, to a
/// generation's records.
pub(super) fn add_final_states(
    records: &mut RecordSet,
    history: Option<&History>,
    generation: &Generation,
    observed: &StoreObservation,
) -> FinalStates {
    let base = generation.identity.base;
    let Some(history) = history else {
        return match observed.pending_final_states {
            None => FinalStates::Complete,
            Some(_) => FinalStates::Incomplete,
        };
    };
    if history.identity.generation == generation.identity.generation {
        // Final states that were carried over before this process restarted, and are not written
        // yet.
        carry_over(records, history.records.carried_over(base, ""), base);
        return FinalStates::Complete;
    }
    let known_up_to = history.records.revision();
    if observed.pending_final_states.as_ref().is_some_and(|i| known_up_to < i.value.known_up_to) {
        return FinalStates::Incomplete;
    }
    let final_states =
        history.records.rows().iter().filter(|(key, _)| key.starts_with(TERMINAL_JOB_PREFIX));
    carry_over(records, final_states, base);
    FinalStates::Complete
}

/// Adds records to the target at the revision `base`, unless it has them.
fn carry_over<'a>(
    target: &mut RecordSet,
    records: impl Iterator<Item = (&'a String, &'a Record)>,
    base: u64,
) {
    target.carry_over(records.map(|(key, record)| (key.clone(), record.value.clone())), base);
}
