//! The exchange of the last changes before the loss, which one candidate may know and another lack.
//!
//! The changes pass through the store, since the controllers may be unable to reach each other, in
//! pieces that fit into its values. Pure functions between changes, writes and observations.
//! Invariant: [`collect`] returns exactly the changes that [`piece_writes`] was given, whatever
//! their length and characters.

use quartzlever_wire::Json;
use quartzlever_wire::store::Change;

use crate::identity::{Candidate, EXTRA_PREFIX, ExtraPiece, StoreObservation};
use crate::records::{KeyChange, Update};

/// A piece takes at most a third of the size limit of a value: escaping of quotes makes it longer,
/// and the key is stored along with it.
const PIECES_PER_VALUE: usize = 3;
/// Lower bound of the size limit of a piece, which applies if the key is long.
const MIN_PIECE_BYTES: usize = 64;

/// Returns the candidates whose history is of the latest generation that any candidate has.
pub(super) fn latest_generation_candidates(
    observed: &StoreObservation,
) -> impl Iterator<Item = (&String, &Candidate)> {
    let latest = observed.candidates.values().filter_map(|c| c.value.generation).max();
    let all = observed.candidates.iter().map(|(node, c)| (node, &c.value));
    all.filter(move |(_, c)| c.generation.is_some() && c.generation == latest)
}

/// Returns the revision up to which every candidate of the latest generation knows all changes.
pub(super) fn common_revision(observed: &StoreObservation) -> u64 {
    latest_generation_candidates(observed).map(|(_, c)| c.complete_up_to).min().unwrap_or(0)
}

/// Returns the candidates of the latest generation that have not published all their changes after
/// the common revision.
pub(super) fn unpublished_candidates(observed: &StoreObservation) -> Vec<String> {
    let common = common_revision(observed);
    let is_unpublished = |c: &Candidate| c.extras_after.is_none_or(|after| after > common);
    latest_generation_candidates(observed)
        .filter(|(_, c)| is_unpublished(c))
        .map(|(node, _)| node.clone())
        .collect()
}

/// Cuts a text into pieces of at most `max_bytes`, between characters.
fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > max_bytes {
        let cut = (1..=max_bytes).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(rest.len());
        let (piece, after) = rest.split_at(cut);
        pieces.push(piece);
        rest = after;
    }
    pieces.push(rest);
    pieces
}

/// Returns the pieces of a change, sized for values of at most `value_bytes`.
fn pieces_of(change: &KeyChange, value_bytes: usize) -> Vec<ExtraPiece> {
    let max_bytes =
        (value_bytes / PIECES_PER_VALUE).saturating_sub(change.key.len()).max(MIN_PIECE_BYTES);
    let piece = |text: Option<&str>, continues| ExtraPiece {
        key: change.key.clone(),
        mod_revision: change.mod_revision,
        text: text.map(str::to_owned),
        continues,
    };
    match &change.value {
        None => vec![piece(None, false)],
        Some(value) => {
            let texts = split_text(value, max_bytes);
            let last = texts.len() - 1;
            texts.iter().enumerate().map(|(n, text)| piece(Some(text), n < last)).collect()
        }
    }
}

/// Returns the writes that publish a candidate's changes, in pieces numbered in their order.
pub(super) fn piece_writes(
    node: &str,
    changes: &[KeyChange],
    value_bytes: usize,
    lease: u64,
) -> Vec<Change> {
    let pieces = changes.iter().flat_map(|change| pieces_of(change, value_bytes));
    let write = |(n, piece): (usize, ExtraPiece)| Change::Write {
        write: format!("{EXTRA_PREFIX}{node}/{n:08}"),
        v: Json::of(&piece),
        lease_id: Some(lease),
    };
    pieces.enumerate().map(write).collect()
}

/// Joins the pieces published by all candidates into changes, ordered by revision.
pub(super) fn collect(observed: &StoreObservation) -> Update {
    let mut changes = Vec::new();
    let mut value_so_far = String::new();
    for ExtraPiece { key, mod_revision, text, continues } in &observed.extras {
        value_so_far += text.as_deref().unwrap_or("");
        if !continues {
            let whole = std::mem::take(&mut value_so_far);
            let value = text.as_ref().map(|_| whole);
            changes.push(KeyChange { key: key.clone(), mod_revision: *mod_revision, value });
        }
    }
    changes.sort_by_key(|change| change.mod_revision);
    Update { changes, complete_up_to: None }
}
