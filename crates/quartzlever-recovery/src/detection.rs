//! What counts as a loss of the store's data.
//!
//! Pure functions that compare what the store shows with what was known. Invariant: only an answer of the
//! store itself shows a loss; an outage, a refusal, a watch that is too old or late never does.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CATALOGUE_KEY, CLUSTER_VERSION_KEY, GROUP_SIZE_KEY, TERMINAL_JOB_PREFIX,
};

use crate::generation::Generation;
use crate::history::History;
use crate::identity::{Identity, Observed, Phase, Stamped};
use crate::picture::{Picture, Record};

/// Why the store's data counts as lost.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Loss {
    /// The store has no identity, though a cluster was known.
    #[error("the identity of the records is gone")]
    IdentityGone,
    /// The store's identity is not the one that this process works with.
    #[error("the identity of the records is another one")]
    IdentityDiffers,
    /// The store's revision is lower than one that was seen before.
    #[error("the revision went back from {from} to {to}")]
    RevisionWentBack {
        /// The revision that was seen before, as the generation counts.
        from: u64,
        /// The revision that the store shows, as the generation counts.
        to: u64,
    },
    /// The witness key of this controller has an earlier count than it has written.
    #[error(
        "a key of this controller is older than it has written it: {found} instead of {written}"
    )]
    WitnessWentBack {
        /// The count that was written last.
        written: u64,
        /// The count in the store; zero without a key.
        found: u64,
    },
    /// Records are absent, or older, that no change can have removed.
    #[error("{count} lasting records are missing or older than before, {example} among them")]
    RecordsMissing {
        /// How many records.
        count: usize,
        /// Key of one of them.
        example: String,
    },
    /// The generation is no longer served, and the next one is not written yet.
    #[error("another controller has given the generation up")]
    GivenUp,
}

/// What a controller knew of the store when it last looked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known<'a> {
    identity: &'a Identity,
    /// The latest revision that was seen, as the generation counts.
    revision: u64,
    /// The count of the own witness key that was written last.
    witness: u64,
}

/// What an observation means for a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Neither the store nor this controller knows of any cluster.
    Unfounded,
    /// The store is as it was, or further.
    Intact(Generation),
    /// The store serves a generation that is new to this controller.
    Newer(Generation),
    /// The store has another cluster's records.
    ForeignCluster,
    /// The store has lost data.
    Lost(Loss),
}

/// Judges an observation by what `node` knew of the store; `None` if it has no history.
pub fn assess(node: &str, known: Option<&Known<'_>>, observed: &Observed) -> Assessment {
    let Some(Stamped { value: identity, mod_revision }) = &observed.identity else {
        return if known.is_some() {
            Assessment::Lost(Loss::IdentityGone)
        } else {
            Assessment::Unfounded
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
        Some(known) => match regression(node, known, identity, observed) {
            Some(loss) => Assessment::Lost(loss),
            None => Assessment::Intact(generation),
        },
    }
}

/// How the store stands behind what was known of the same generation.
fn regression(
    node: &str,
    known: &Known<'_>,
    identity: &Identity,
    observed: &Observed,
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
    /// What this history knows of the store.
    pub fn known(&self) -> Known<'_> {
        let revision = self.picture.newest();
        Known { identity: &self.identity, revision, witness: self.witness }
    }
}

/// Whether a record is never deleted.
fn is_permanent(key: &str) -> bool {
    key.starts_with(TERMINAL_JOB_PREFIX)
        || [CLUSTER_VERSION_KEY, GROUP_SIZE_KEY, CATALOGUE_KEY].contains(&key)
}

/// Whether a record of the picture is missing from the store's records, or older there, in a way that no
/// change explains. The records were listed after the picture was taken.
fn is_missing(key: &str, record: &Record, store: &BTreeMap<String, Record>) -> bool {
    if let Some(found) = store.get(key) {
        return found.mod_revision < record.mod_revision;
    }
    match key.strip_prefix(ACTIVE_JOB_PREFIX) {
        Some(job) => !store.contains_key(&format!("{TERMINAL_JOB_PREFIX}{job}")),
        None => is_permanent(key),
    }
}

/// Records of the picture that the store's records lack in a way that no change explains, as a loss; `None`
/// if there are none. Records up to the generation's `base` are inherited and may not be written yet.
pub fn missing_records(
    picture: &Picture,
    base: u64,
    store: &BTreeMap<String, Record>,
) -> Option<Loss> {
    let rows = picture.rows().iter().filter(|(_, record)| record.mod_revision > base);
    let mut missing = rows.filter(|(key, record)| is_missing(key, record, store));
    let (example, _) = missing.next()?;
    Some(Loss::RecordsMissing { count: 1 + missing.count(), example: example.clone() })
}
