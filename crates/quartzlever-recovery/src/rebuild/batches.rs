//! Changes in transactions that the store takes.
//!
//! Pure functions. Invariant: the batches hold all changes in their order, and no batch has more than the
//! given number of them, nor more than [`MAX_TXN_BYTES`] unless a single change has.

use quartzlever_wire::store::Change;

use crate::identity::Identity;

/// Bytes of keys and values in one transaction, which leaves room for its conditions.
const MAX_TXN_BYTES: usize = 48 * 1024;

/// Splits changes into batches of `max_changes` at most.
pub(super) fn batches(changes: Vec<Change>, max_changes: usize) -> Vec<Vec<Change>> {
    let mut all: Vec<Vec<Change>> = Vec::new();
    let mut batch_bytes = 0;
    for change in changes {
        let change_bytes = size_of_change(&change);
        match all.last_mut() {
            Some(batch)
                if batch.len() < max_changes && batch_bytes + change_bytes <= MAX_TXN_BYTES =>
            {
                batch.push(change);
            }
            _ => {
                all.push(vec![change]);
                batch_bytes = 0;
            }
        }
        batch_bytes += change_bytes;
    }
    all
}

/// The same change at the key that it has in the store under a generation's namespace.
pub(super) fn in_namespace(change: Change, identity: &Identity) -> Change {
    let namespace = &identity.namespace;
    match change {
        Change::Write { write, v, lease_id } => {
            Change::Write { write: format!("{namespace}{write}"), v, lease_id }
        }
        Change::Delete { delete } => Change::Delete { delete: format!("{namespace}{delete}") },
    }
}

fn size_of_change(change: &Change) -> usize {
    match change {
        Change::Write { write, v, .. } => write.len() + v.text().len(),
        Change::Delete { delete } => delete.len(),
    }
}
