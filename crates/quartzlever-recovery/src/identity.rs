//! The keys under `recovery/`: which store this is, and what the controllers tell each other in a rebuild.
//!
//! This module owns the keys and the JSON of their values; both are read by controllers of other versions,
//! so neither may change. The keys stand outside every generation's namespace, and no generation's records
//! hide them. Invariant: of all keys under `recovery/`, only the [`Identity`] decides which records count.

use std::collections::BTreeMap;

use quartzlever_wire::store::{KeyValue, ListPage};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Prefix of all keys of this crate.
pub(crate) const RECOVERY_PREFIX: &str = "recovery/";
/// Key of the [`Identity`].
pub const IDENTITY_KEY: &str = "recovery/identity";
/// Key of the [`Lock`] of the controller that rebuilds.
pub const LOCK_KEY: &str = "recovery/lock";
/// Prefix of the keys of [`Candidate`]s, by node.
pub const CANDIDATE_PREFIX: &str = "recovery/candidates/";
/// Prefix of the keys of [`ExtraPiece`]s, by node and number.
pub(crate) const EXTRA_PREFIX: &str = "recovery/extra/";
/// Prefix of keys, by node, of controllers that were up before a loss and had no part in the rebuild: what
/// they alone know is not in the records before they come back.
pub(crate) const ABSENT_PREFIX: &str = "recovery/absent/";
/// Prefix of keys, by node, of controllers that came without any history. Such a one cannot tell records
/// that were never there from lost ones until a controller with a history has compared them with its own.
pub const UNVERIFIED_PREFIX: &str = "recovery/unvouched/";
/// Key that is there while final states of the generation before are not all written yet: [`PendingFinalStates`].
pub const PENDING_FINAL_STATES_KEY: &str = "recovery/inheriting";
/// Prefix of the keys of [`Witness`]es, by node.
pub const WITNESS_PREFIX: &str = "recovery/witness/";

/// Whether controllers may act on the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The records are complete; controllers may act on them.
    Serving,
    /// The generation was given up; nobody acts before the next one serves.
    Rebuilding,
}

/// The lasting identity of a cluster's records. Each transaction has its key, at its modification revision, as a condition,
/// so nothing that was decided before a rebuild comes into force after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn once, when the cluster was founded.
    pub cluster: String,
    /// Counts the rebuilds.
    pub generation: u32,
    /// Prefix of the generation's keys in the store; empty for the first.
    pub namespace: String,
    /// What the generation's revisions are ahead of the store's: tokens and attempts are made of them
    /// and may never sink, though a store that lost everything counts from the beginning.
    pub base: u64,
    /// Whether controllers may act on the records.
    pub phase: Phase,
}

/// A controller that waits for an intact store, with what it could rebuild it from; on its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The generation of its history; `None` if it has no history.
    pub generation: Option<u32>,
    /// Revision of the latest change that it knows.
    pub revision: u64,
    /// It knows all changes up to this revision.
    pub complete_to: u64,
    /// The changes after this revision that it knows are under `recovery/extra/`; `None` if none are.
    pub extras_after: Option<u64>,
    /// Whether its log surely has everything that it acted on.
    pub proven: bool,
}

/// The controller that rebuilds; on its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lock {
    /// Name of the controller.
    pub node: String,
    /// Random number of its process.
    pub process: u64,
}

/// A part of the value of a change that a candidate knows and another may lack; on the candidate's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExtraPiece {
    /// Key of the record that was changed.
    pub key: String,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// None if the key was deleted.
    pub text: Option<String>,
    /// Whether the value goes on in the next piece.
    pub continues: bool,
}

/// Final states are written after a rebuild. Until then the controllers that had them answer from their
/// pictures: those that knew everything up to this revision of the generation before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingFinalStates {
    /// A revision of the generation before.
    pub known_to: u64,
}

/// A controller that had no part in a rebuild.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AbsentNode {
    /// The generation that was rebuilt without it.
    pub generation: u32,
}

/// How often a controller has written this key. A store that was restored from a backup shows an earlier
/// number, even if its revision has grown beyond the one last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Number of writes, counted from one.
    pub count: u64,
}

/// A record with the modification revision of its key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamped<T> {
    /// The record.
    pub value: T,
    /// The store's revision of the key's last change.
    pub mod_revision: u64,
}

/// The keys under `recovery/` at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// The identity of the records, if there is one.
    pub identity: Option<Stamped<Identity>>,
    pub(crate) lock: Option<Stamped<Lock>>,
    pub(crate) candidates: BTreeMap<String, Stamped<Candidate>>,
    /// Counts of the witness keys, by node.
    pub witnesses: BTreeMap<String, u64>,
    /// Controllers whose knowledge the records lack.
    pub(crate) absent: BTreeMap<String, Stamped<AbsentNode>>,
    /// In the order of their keys.
    pub(crate) extras: Vec<ExtraPiece>,
    /// Present while some final states are not written.
    pub pending_final_states: Option<Stamped<PendingFinalStates>>,
    /// Stamps of the keys of controllers without a history, by node.
    pub unverified: BTreeMap<String, u64>,
    /// The store's own revision.
    pub revision: u64,
}

fn stamped<T: DeserializeOwned>(entry: &KeyValue) -> Option<Stamped<T>> {
    Some(Stamped { value: entry.value.parse()?, mod_revision: entry.mod_revision })
}

impl Observed {
    /// Whether some jobs may be known to others alone, as far as `node` can tell.
    pub fn lacks_jobs(&self, node: &str) -> bool {
        !self.absent.is_empty() || self.unverified.contains_key(node)
    }

    /// What a listing of `recovery/`, or of the identity's key alone, shows.
    pub fn of(page: &ListPage) -> Observed {
        let mut observed = Observed { revision: page.revision, ..Observed::default() };
        for entry in &page.entries {
            if entry.key == IDENTITY_KEY {
                observed.identity = stamped(entry);
            } else if entry.key == PENDING_FINAL_STATES_KEY {
                observed.pending_final_states = stamped(entry);
            } else if entry.key == LOCK_KEY {
                observed.lock = stamped(entry);
            } else if let Some(node) = entry.key.strip_prefix(CANDIDATE_PREFIX) {
                observed.candidates.extend(stamped(entry).map(|c| (node.to_owned(), c)));
            } else if let Some(node) = entry.key.strip_prefix(ABSENT_PREFIX) {
                observed.absent.extend(stamped(entry).map(|a| (node.to_owned(), a)));
            } else if let Some(node) = entry.key.strip_prefix(UNVERIFIED_PREFIX) {
                observed.unverified.insert(node.to_owned(), entry.mod_revision);
            } else if entry.key.starts_with(EXTRA_PREFIX) {
                observed.extras.extend(entry.value.parse::<ExtraPiece>());
            } else if let Some(node) = entry.key.strip_prefix(WITNESS_PREFIX) {
                let count = entry.value.parse::<Witness>().map(|w| w.count);
                observed.witnesses.extend(count.map(|count| (node.to_owned(), count)));
            }
        }
        observed
    }
}
