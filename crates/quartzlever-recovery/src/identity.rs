//! The keys under `recovery/`: the identity of the store's records, and what the controllers
//! exchange during a rebuild.
//!
//! This module defines the keys and the JSON of their values. Controllers of other versions read
//! both, so neither may change. The keys belong to no generation, so that a controller finds them
//! whichever generation is serving. Invariant: of all keys under `recovery/`, only the [`Identity`]
//! decides which records are valid.

use std::collections::BTreeMap;

use quartzlever_wire::store::{KeyValue, ListPage};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Prefix of all keys of this crate.
pub(crate) const RECOVERY_PREFIX: &str = "recovery/";
/// Key of the [`Identity`].
pub const IDENTITY_KEY: &str = "recovery/identity";
/// Key of the [`Lock`] of the controller that performs the rebuild.
pub const LOCK_KEY: &str = "recovery/lock";
/// Prefix of the keys of [`Candidate`]s, followed by the node's name.
pub const CANDIDATE_PREFIX: &str = "recovery/candidates/";
/// Prefix of the keys of [`ExtraPiece`]s, followed by the node's name and the number of the piece.
pub(crate) const EXTRA_PREFIX: &str = "recovery/extra/";
/// Prefix of the keys of [`AbsentNode`]s, followed by the node's name. They mark controllers that
/// were up before a loss and did not take part in the rebuild. Until such a controller returns, the
/// records lack the jobs that only it knows.
pub(crate) const ABSENT_PREFIX: &str = "recovery/absent/";
/// Prefix of keys, followed by the node's name, that mark controllers without a history. Such a
/// controller cannot tell whether a missing record never existed or was lost, until a controller
/// with a history has compared the records with its own.
pub const UNVERIFIED_PREFIX: &str = "recovery/unvouched/";
/// Key of the [`PendingFinalStates`], which exists while some final states of the previous
/// generation are not written yet.
pub const PENDING_FINAL_STATES_KEY: &str = "recovery/inheriting";
/// Prefix of the keys of [`Witness`]es, followed by the node's name.
pub const WITNESS_PREFIX: &str = "recovery/witness/";

/// Whether controllers may act on the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The records are complete; controllers may act on them.
    Serving,
    /// The generation was given up; no controller may act until the next one is serving.
    Rebuilding,
}

/// The identity of a cluster's records. Every transaction has the modification revision of its key
/// as a condition, so a decision made before a rebuild cannot be committed after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Random identifier of the cluster, chosen when the cluster was founded.
    pub cluster: String,
    /// Number of the generation, which each rebuild increments.
    pub generation: u32,
    /// Prefix of the generation's keys in the store. It is empty until a rebuild cannot continue
    /// the revisions of the previous generation, and so chooses a new prefix.
    pub namespace: String,
    /// Difference between the generation's revisions and the store's. Fencing tokens and attempt
    /// numbers are derived from the generation's revisions and may never decrease, although an
    /// empty store starts its revisions again.
    pub base: u64,
    /// Whether controllers may act on the records.
    pub phase: Phase,
}

/// The announcement of a controller that waits for an intact store, with the revisions of the
/// records that it could rebuild from. The key is attached to the controller's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The generation of the controller's history; `None` if it has no history.
    pub generation: Option<u32>,
    /// Revision of the latest change that the controller knows.
    pub revision: u64,
    /// Revision up to which the controller knows all changes.
    #[serde(rename = "complete_to")]
    pub complete_up_to: u64,
    /// Revision after which all changes that the controller knows are published under
    /// `recovery/extra/`; `None` if it has not published any.
    pub extras_after: Option<u64>,
    /// Whether the controller's log is verified to hold every change that it acted on.
    #[serde(rename = "proven")]
    pub is_verified: bool,
}

/// The lock of the controller that performs the rebuild, attached to the controller's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lock {
    /// Name of the controller.
    pub node: String,
    /// Random number of the controller's process.
    pub process: u64,
}

/// A piece of a change that a candidate knows and another candidate may lack. The key is attached
/// to the candidate's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExtraPiece {
    /// Key of the record that was changed.
    pub key: String,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// Piece of the record's JSON text; `None` if the record was deleted.
    pub text: Option<String>,
    /// Whether the text continues in the next piece.
    pub continues: bool,
}

/// Marks that some final states of the previous generation are not written yet. Until they are,
/// controllers answer from their own records, so a controller may serve only if its history
/// includes all changes up to [`PendingFinalStates::known_up_to`], or if it has a history of this
/// generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingFinalStates {
    /// Revision of the previous generation up to which every candidate knew all changes.
    #[serde(rename = "known_to")]
    pub known_up_to: u64,
}

/// Marks a controller that did not take part in a rebuild.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AbsentNode {
    /// The generation that was rebuilt without the controller.
    pub generation: u32,
}

/// The witness counter of a controller, which counts the writes of its own key. A store that was
/// restored from a backup has a lower count, even if its revision has since passed the one last
/// seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Number of writes; the first write has the count one.
    pub count: u64,
}

/// A value with the modification revision of its key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The store's revision at the last change of the key.
    pub mod_revision: u64,
}

/// The keys under `recovery/`, or the identity's key alone, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreObservation {
    /// The identity of the records; `None` if the store has none.
    pub identity: Option<Versioned<Identity>>,
    /// The lock; `None` if no controller holds it.
    pub(crate) lock: Option<Versioned<Lock>>,
    /// The announced candidates, by node.
    pub(crate) candidates: BTreeMap<String, Versioned<Candidate>>,
    /// Witness counters, by node.
    pub witnesses: BTreeMap<String, u64>,
    /// Controllers that may know jobs that the records lack, by node.
    pub(crate) absent: BTreeMap<String, Versioned<AbsentNode>>,
    /// The published last changes of the candidates, in the order of their keys.
    pub(crate) extras: Vec<ExtraPiece>,
    /// Present while some final states are not written yet.
    pub pending_final_states: Option<Versioned<PendingFinalStates>>,
    /// Modification revisions of the keys that mark controllers without a history, by node.
    pub unverified: BTreeMap<String, u64>,
    /// The store's own revision when the keys were read.
    pub revision: u64,
}

fn parse_versioned<T: DeserializeOwned>(entry: &KeyValue) -> Option<Versioned<T>> {
    Some(Versioned { value: entry.value.parse()?, mod_revision: entry.mod_revision })
}

impl StoreObservation {
    /// Reports whether other controllers may know jobs that the records lack, from the point of
    /// view of `node`.
    pub fn may_lack_jobs(&self, node: &str) -> bool {
        !self.absent.is_empty() || self.unverified.contains_key(node)
    }

    /// Decodes a listing of `recovery/`, or of the identity's key alone. Entries that cannot be
    /// decoded are ignored.
    pub fn from_page(page: &ListPage) -> StoreObservation {
        let mut observed =
            StoreObservation { revision: page.revision, ..StoreObservation::default() };
        for entry in &page.entries {
            if entry.key == IDENTITY_KEY {
                observed.identity = parse_versioned(entry);
            } else if entry.key == PENDING_FINAL_STATES_KEY {
                observed.pending_final_states = parse_versioned(entry);
            } else if entry.key == LOCK_KEY {
                observed.lock = parse_versioned(entry);
            } else if let Some(node) = entry.key.strip_prefix(CANDIDATE_PREFIX) {
                observed.candidates.extend(parse_versioned(entry).map(|c| (node.to_owned(), c)));
            } else if let Some(node) = entry.key.strip_prefix(ABSENT_PREFIX) {
                observed.absent.extend(parse_versioned(entry).map(|a| (node.to_owned(), a)));
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
