//! Writes changes that other controllers have committed to this controller's log.
//!
//! Owns the path from the peers' connections to the log. Never accepts a change of another
//! generation.

use std::sync::{Arc, OnceLock};

use quartzlever_recovery::records::{KeyChange, Update};
use quartzlever_wire::peers::{LoggedChanges, PeerAnswer};

use crate::recovery::state::GuardedStore;

/// The guarded store whose journal logs the changes of other controllers; empty until this
/// controller has an intact store.
pub type GuardedStoreCell = Arc<OnceLock<Arc<GuardedStore>>>;

/// Logs another controller's changes, if they belong to the same generation.
pub fn log_peer_changes(log: &GuardedStoreCell, logged: LoggedChanges) -> PeerAnswer {
    let Some(state) = log.get() else { return PeerAnswer::Empty };
    let LoggedChanges { cluster, generation, mod_revision, changes } = logged;
    let own = &state.guard.generation.identity;
    if own.cluster != cluster || own.generation != generation {
        return PeerAnswer::Empty;
    }
    let changes = changes.into_iter().map(|(key, value)| KeyChange { key, mod_revision, value });
    state.journal.record(Update { changes: changes.collect(), complete_up_to: None });
    PeerAnswer::Logged
}
