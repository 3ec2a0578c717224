//! The identity of the next generation, and the surviving records of the store.
//!
//! Invariant: all revisions of the next generation are higher than any revision that a candidate
//! has seen, since fencing tokens and attempt numbers are derived from them.

use super::listing::list_generation;
use super::outcome::StepResult;
use super::session::Session;
use crate::access::StoreAccess;
use crate::detection::{Assessment, LastKnownState, assess};
use crate::generation::{GENERATION_PREFIX, Generation};
use crate::history::History;
use crate::identity::{Identity, Phase, StoreObservation, Versioned};
use crate::plan::SurvivingRecords;

/// Distance of the base of a new lineage of revisions above the highest revision that was seen. The
/// store may have committed changes after the last one that any candidate knows; this is more than
/// any store commits within months. Thousands of rebuilds stay below 2^42, the limit of the
/// revisions that attempt numbers can be derived from.
const REVISION_HEADROOM: u64 = 1 << 30;

/// Reads the records that the store still holds of the generation that this process knows.
pub(super) fn read_survivors<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: &History,
    observed: &StoreObservation,
) -> StepResult<SurvivingRecords> {
    let same_lineage = is_same_lineage(session.node(), history, observed);
    let generation = Generation { identity: history.identity.clone(), mod_revision: 0 };
    let records = list_generation(session.access(), &generation)?;
    Ok(SurvivingRecords { rows: records.rows().clone(), same_lineage })
}

/// Returns the identity of the generation that follows the lost one.
pub(super) fn next_identity<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: &History,
    observed: &StoreObservation,
    survivors: &SurvivingRecords,
) -> Identity {
    let found = observed.identity.as_ref().map(|identity| &identity.value);
    let last = found.map_or(0, |i| i.generation).max(history.identity.generation);
    let known = history.identity.clone();
    let next = Identity { generation: last + 1, phase: Phase::Serving, ..known };
    if survivors.same_lineage {
        return next;
    }
    let base = found.map_or(0, |i| i.base).max(next.base);
    let newest_seen = latest_candidate_revision(observed)
        .max(base + observed.revision)
        .max(history.records.latest_revision());
    let namespace =
        format!("{GENERATION_PREFIX}{}-{:x}/", next.generation, session.access().random_number());
    Identity { namespace, base: newest_seen + REVISION_HEADROOM, ..next }
}

/// Reports whether the store's revisions continue those that the candidates have seen. The phase is
/// ignored, since the generation may have been given up.
fn is_same_lineage(node: &str, history: &History, observed: &StoreObservation) -> bool {
    let identity = observed.identity.as_ref().map(|found| Versioned {
        value: Identity { phase: Phase::Serving, ..found.value.clone() },
        mod_revision: found.mod_revision,
    });
    let serving = StoreObservation { identity, ..observed.clone() };
    let known: LastKnownState<'_> = history.last_known_state();
    let is_intact = matches!(assess(node, Some(&known), &serving), Assessment::Intact(_));
    is_intact && observed.revision + history.identity.base >= latest_candidate_revision(observed)
}

/// Returns the latest revision that any candidate knows.
fn latest_candidate_revision(observed: &StoreObservation) -> u64 {
    observed.candidates.values().map(|found| found.value.revision).max().unwrap_or(0)
}
