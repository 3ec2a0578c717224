//! The rules by which the store's data counts as lost.
//!
//! Pure functions that compare the current state of the store with the state that was known before.
//! Invariant: only a reply of the store can show a loss. An outage, a rejected call, or a watch
//! that is late or starts at a compacted revision never counts as one.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CATALOGUE_KEY, CLUSTER_VERSION_KEY, GROUP_SIZE_KEY, TERMINAL_JOB_PREFIX,
};

use crate::generation::Generation;
use crate::history::History;
use crate::identity::{Identity, Phase, StoreObservation, Versioned};
use crate::records::{Record, RecordSet};

/// Why the store's data counts as lost.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Loss {
    /// The store has no identity, though a cluster was known.
    #[error("the identity of the records is gone")]
    IdentityGone,
    /// The store's identity is not the one that this process works with.
    #[error("the identity of the records is another one")]
    IdentityDiffers,
    /// The store's revision is lower than one seen before.
    #[error("the revision went back from {from} to {to}")]
    RevisionWentBack {
        /// The revision seen before, as a revision of the generation.
        from: u64,
        /// The store's current revision, as a revision of the generation.
        to: u64,
    },
    /// The witness counter of this controller in the store is lower than the last value that the
    /// controller wrote.
    #[error(
        "a key of this controller is older than it has written it: {found} instead of {written}"
    )]
    WitnessWentBack {
        /// The counter that was written last.
        written: u64,
        /// The counter in the store; zero if the key is absent.
        found: u64,
    },
    /// Records are missing or older, and no change can explain that.
    #[error("{count} lasting records are missing or older than before, {example} among them")]
    RecordsMissing {
        /// Number of records.
        count: usize,
        /// Key of one of the records.
        example: String,
    },
    /// The generation was given up, and the next one is not serving yet.
    #[error("another controller has given the generation up")]
    GivenUp,
}

/// The state of the store that a controller knows from before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastKnownState<'a> {
    identity: &'a Identity,
    /// The latest revision seen, as a revision of the generation.
    revision: u64,
    /// The witness counter that this controller has written last.
    witness: u64,
}

/// The meaning of an observation of the store for a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Neither the store nor this controller knows any cluster.
    NoCluster,
    /// The generation that this controller knows is serving, and no loss is visible.
    Intact(Generation),
    /// A generation is serving that is newer than the one this controller knows, if any.
    Newer(Generation),
    /// The store has the records of another cluster.
    ForeignCluster,
    /// The store has lost data.
    Lost(Loss),
}

/// Compares an observation with the state that `node` knows from before; `known` is `None` if the
/// node has no history.
pub fn assess(
    node: &str,
    known: Option<&LastKnownState<'_>>,
    observed: &StoreObservation,
) -> Assessment {
    let Some(Versioned { value: identity, mod_revision }) = &observed.identity else {
        return if known.is_some() {
            Assessment::Lost(Loss::IdentityGone)
        } else {
            Assessment::NoCluster
        };
    };
    let generation = Generation { identity: identity.clone(), mod_revision: *mod_revision };
    if known.is_some_and(|known| known.identity.cluster != identity.cluster) {
        return Assessment::ForeignCluster;
    }
    if identity.phase == Phase::Rebuilding {
        return Assessment::Lost(Loss::GivenUp);
    }
    match known {
        None => Assessment::Newer(generation),
        Some(known) if identity.generation > known.identity.generation => {
            Assessment::Newer(generation)
        }
        Some(known) => match detect_regression(node, known, identity, observed) {
            Some(loss) => Assessment::Lost(loss),
            None => Assessment::Intact(generation),
        },
    }
}

/// Returns a loss if the store does not have the generation that was known, or is behind it.
fn detect_regression(
    node: &str,
    known: &LastKnownState<'_>,
    identity: &Identity,
    observed: &StoreObservation,
) -> Option<Loss> {
    let same_lineage = identity.generation == known.identity.generation
        && identity.namespace == known.identity.namespace
        && identity.base == known.identity.base;
    if !same_lineage {
        return Some(Loss::IdentityDiffers);
    }
    let revision = observed.revision + identity.base;
    if revision < known.revision {
        return Some(Loss::RevisionWentBack { from: known.revision, to: revision });
    }
    let found = observed.witnesses.get(node).copied().unwrap_or(0);
    (found < known.witness).then_some(Loss::WitnessWentBack { written: known.witness, found })
}

impl History {
    /// Returns the state of the store that this history implies.
    pub fn last_known_state(&self) -> LastKnownState<'_> {
        let revision = self.records.latest_revision();
        LastKnownState { identity: &self.identity, revision, witness: self.witness }
    }
}

/// Reports whether records at this key are never deleted.
fn is_permanent(key: &str) -> bool {
    key.starts_with(TERMINAL_JOB_PREFIX)
        || [CLUSTER_VERSION_KEY, GROUP_SIZE_KEY, CATALOGUE_KEY].contains(&key)
}

/// Reports whether a known record is missing from the store's records, or older there, and no
/// change explains that. The store's records must have been listed after the record became known.
fn is_missing(key: &str, record: &Record, store: &BTreeMap<String, Record>) -> bool {
    if let Some(found) = store.get(key) {
        return found.mod_revision < record.mod_revision;
    }
    match key.strip_prefix(ACTIVE_JOB_PREFIX) {
        Some(job) => !store.contains_key(&format!("{TERMINAL_JOB_PREFIX}{job}")),
        None => is_permanent(key),
    }
}

/// Returns a loss if known records are missing from the store's records, or older there, and no
/// change explains that. Records up to the generation's `base` are ignored: they are carried over
/// from the previous generation and may not be written yet.
pub fn detect_missing_records(
    known: &RecordSet,
    base: u64,
    store: &BTreeMap<String, Record>,
) -> Option<Loss> {
    let rows = known.rows().iter().filter(|(_, record)| record.mod_revision > base);
    let mut missing = rows.filter(|(key, record)| is_missing(key, record, store));
    let (example, _) = missing.next()?;
    Some(Loss::RecordsMissing { count: 1 + missing.count(), example: example.clone() })
}
