//! What one candidate knows and another may lack: the last changes before the loss. They pass through the
//! store, in pieces that a value holds, since the controllers may not reach each other.
//!
//! Pure functions from an observation to writes and changes. Invariant: [`collect`] returns exactly the
//! changes that [`writes`] was given, whatever their length and characters.

use quartzlever_wire::Json;
use quartzlever_wire::store::Change;

use crate::identity::{Candidate, EXTRA_PREFIX, ExtraPiece, Observed};
use crate::picture::{KeyChange, Update};

/// A piece takes a third of a value at the most: quotes in it are escaped, and its key comes on top.
const PIECES_PER_VALUE: usize = 3;
const MIN_PIECE_BYTES: usize = 64;

/// The candidates that have a history of the latest generation.
pub(super) fn informed(observed: &Observed) -> impl Iterator<Item = (&String, &Candidate)> {
    let latest = observed.candidates.values().filter_map(|c| c.value.generation).max();
    let all = observed.candidates.iter().map(|(node, c)| (node, &c.value));
    all.filter(move |(_, c)| c.generation.is_some() && c.generation == latest)
}

/// The revision up to which each informed candidate knows everything.
pub(super) fn common_revision(observed: &Observed) -> u64 {
    informed(observed).map(|(_, c)| c.complete_to).min().unwrap_or(0)
}

/// Informed candidates whose changes after the common revision are not there yet.
pub(super) fn unpublished(observed: &Observed) -> Vec<String> {
    let common = common_revision(observed);
    let is_unpublished = |c: &Candidate| c.extras_after.is_none_or(|after| after > common);
    informed(observed).filter(|(_, c)| is_unpublished(c)).map(|(node, _)| node.clone()).collect()
}

/// Cuts a text into pieces of at most `max_bytes`, between characters.
fn split(text: &str, max_bytes: usize) -> Vec<&str> {
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
            let texts = split(value, max_bytes);
            let last = texts.len() - 1;
            texts.iter().enumerate().map(|(n, text)| piece(Some(text), n < last)).collect()
        }
    }
}

/// The writes that tell the others of a candidate's changes.
pub(super) fn writes(
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

/// The changes that all candidates have told of.
pub(super) fn collect(observed: &Observed) -> Update {
    let mut changes = Vec::new();
    let mut begun = String::new();
    for ExtraPiece { key, mod_revision, text, continues } in &observed.extras {
        begun += text.as_deref().unwrap_or("");
        if !continues {
            let whole = std::mem::take(&mut begun);
            let value = text.as_ref().map(|_| whole);
            changes.push(KeyChange { key: key.clone(), mod_revision: *mod_revision, value });
        }
    }
    changes.sort_by_key(|change| change.mod_revision);
    Update { changes, complete_to: None }
}
