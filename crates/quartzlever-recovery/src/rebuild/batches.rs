//! Splitting changes into transactions within the store's limits.
//!
//! Pure functions. Invariant: the batches hold all changes in their order. No batch exceeds the
//! given number of changes, and none exceeds [`MAX_TXN_BYTES`] unless it consists of a single
//! larger change.

use quartzlever_wire::store::Change;

use crate::identity::Identity;

/// Maximum bytes of keys and values in one transaction; the rest of its size limit is for
/// conditions.
const MAX_TXN_BYTES: usize = 48 * 1024;

/// Splits changes into batches of at most `max_changes` and [`MAX_TXN_BYTES`].
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

/// Returns the change with its key prefixed by the generation's namespace.
pub(super) fn in_namespace(change: Change, identity: &Identity) -> Change {
    let namespace = &identity.namespace;
    match change {
        Change::Write { write, v, lease_id } => {
            Change::Write { write: format!("{namespace}{write}"), v, lease_id }
        }
        Change::Delete { delete } => Change::Delete { delete: format!("{namespace}{delete}") },
    }
}

/// Returns the bytes of a change's key and value.
fn size_of_change(change: &Change) -> usize {
    match change {
        Change::Write { write, v, .. } => write.len() + v.text().len(),
        Change::Delete { delete } => delete.len(),
    }
}
