//! Final states that are written after the next generation serves.
//!
//! Final states are most of the records, and only read. Those that every candidate knows are inherited: each
//! controller keeps them in its picture at the stamp of the last generation's end until they are written.
//! Invariant: a controller serves a generation only when it has every final state at hand, from the store or
//! from its own history.

use quartzlever_wire::state::{OVER, StateCall, StateReply, Txn};
use quartzlever_wire::{CallError, Json};

use crate::generation::Generation;
use crate::history::History;
use crate::identity::Observed;
use crate::picture::{Picture, Record, Update};

/// Whether a process has every final state of a generation at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalStates {
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
pub fn write_inherited(
    store: &mut impl FnMut(&StateCall) -> Result<StateReply, CallError>,
    generation: &Generation,
    records: &[(String, Record)],
) -> Result<Option<Update>, CallError> {
    let mut txn = Txn::default();
    for (key, record) in records {
        if let Some(value) = Json::from_text(&record.value) {
            txn = txn.when(key, 0).write(key, value);
        }
    }
    let call = StateCall::Txn(txn);
    let reply = generation.reply_from_store(store(&generation.to_store(&call))?);
    Ok(Update::shown_by(&call, &reply))
}

/// Adds to a generation's records the final states that this process knows and that may not be written yet.
pub(super) fn add_inherited(
    picture: &mut Picture,
    history: Option<&History>,
    generation: &Generation,
    observed: &Observed,
) -> FinalStates {
    let base = generation.identity.base;
    let Some(history) = history else {
        return match observed.inheriting {
            None => FinalStates::Complete,
            Some(_) => FinalStates::Incomplete,
        };
    };
    if history.identity.generation == generation.identity.generation {
        // What was inherited before this process was started anew, and is not written yet.
        inherit(picture, history.picture.inherited(base, ""), base);
        return FinalStates::Complete;
    }
    let known_to = history.picture.revision();
    if observed.inheriting.as_ref().is_some_and(|i| known_to < i.value.known_to) {
        return FinalStates::Incomplete;
    }
    let final_states = history.picture.rows().iter().filter(|(key, _)| key.starts_with(OVER));
    inherit(picture, final_states, base);
    FinalStates::Complete
}

fn inherit<'a>(
    picture: &mut Picture,
    records: impl Iterator<Item = (&'a String, &'a Record)>,
    base: u64,
) {
    picture.inherit(records.map(|(key, record)| (key.clone(), record.value.clone())), base);
}
