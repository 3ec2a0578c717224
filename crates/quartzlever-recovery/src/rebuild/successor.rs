//! The identity of the next generation, and what of the store's records can be compared with a history.
//!
//! Invariant: revisions of the next generation are above every revision that any candidate has seen, since
//! fencing tokens and attempts are made of them.

use super::listing::list_generation;
use super::outcome::Attempt;
use super::session::Session;
use crate::access::StoreAccess;
use crate::detection::{Assessment, Known, assess};
use crate::generation::{GENERATION_PREFIX, Generation};
use crate::history::History;
use crate::identity::{Identity, Observed, Phase, Stamped};
use crate::plan::Survivors;

/// How far the revisions of a new line start above all that were seen: more than any store takes in changes
/// between a controller's last write to its log and the loss, for months. It leaves room for
/// thousands of rebuilds below the 2^42 that attempts can be made of.
const REVISION_HEADROOM: u64 = 1 << 30;

/// Reads what the store still holds of the generation that this process knows.
pub(super) fn read_survivors<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: &History,
    observed: &Observed,
) -> Attempt<Survivors> {
    let same_lineage = is_same_lineage(session.node(), history, observed);
    let generation = Generation { identity: history.identity.clone(), mod_revision: 0 };
    let picture = list_generation(session.access(), &generation)?;
    Ok(Survivors { rows: picture.rows().clone(), same_lineage })
}

/// The identity of the generation after the one that was lost.
pub(super) fn next_identity<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: &History,
    observed: &Observed,
    survivors: &Survivors,
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
        .max(history.picture.newest());
    let namespace =
        format!("{GENERATION_PREFIX}{}-{:x}/", next.generation, session.access().draw());
    Identity { namespace, base: newest_seen + REVISION_HEADROOM, ..next }
}

/// Whether the store's revisions went on from those that any candidate has seen, apart from the phase of the
/// generation, which may have been given up.
fn is_same_lineage(node: &str, history: &History, observed: &Observed) -> bool {
    let identity = observed.identity.as_ref().map(|found| Stamped {
        value: Identity { phase: Phase::Serving, ..found.value.clone() },
        mod_revision: found.mod_revision,
    });
    let serving = Observed { identity, ..observed.clone() };
    let known: Known<'_> = history.known();
    let is_intact = matches!(assess(node, Some(&known), &serving), Assessment::Intact(_));
    is_intact && observed.revision + history.identity.base >= latest_candidate_revision(observed)
}

fn latest_candidate_revision(observed: &Observed) -> u64 {
    observed.candidates.values().map(|found| found.value.revision).max().unwrap_or(0)
}
