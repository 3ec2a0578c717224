//! Changes that other controllers have committed, taken into this one's log.
//!
//! Owns the way to the log from the peers' connections. Never takes a change of another generation.

use std::sync::{Arc, OnceLock};

use quartzlever_recovery::records::{KeyChange, Update};
use quartzlever_wire::peers::{LoggedChanges, PeerAnswer};

use crate::recovery::state::GuardedStore;

/// Where the changes of other controllers go once this one has an intact store.
pub type OwnLog = Arc<OnceLock<Arc<GuardedStore>>>;

/// Takes another controller's changes into the log, if they belong to the same generation.
pub fn take_changes(log: &OwnLog, logged: LoggedChanges) -> PeerAnswer {
    let Some(state) = log.get() else { return PeerAnswer::Nothing };
    let LoggedChanges { cluster, generation, mod_revision, changes } = logged;
    let own = &state.guard.generation.identity;
    if own.cluster != cluster || own.generation != generation {
        return PeerAnswer::Nothing;
    }
    let changes = changes.into_iter().map(|(key, value)| KeyChange { key, mod_revision, value });
    state.journal.record(Update { changes: changes.collect(), complete_up_to: None });
    PeerAnswer::Logged
}
