//! Taking over a generation that serves.
//!
//! Invariant: a [`Reading`] exists only if the same identity stood at the same modification revision after the records were
//! read as before, so none of them is from a store that was replaced meanwhile.

use quartzlever_wire::Json;
use quartzlever_wire::store::Txn;

use super::inheritance::{TerminalJobs, add_final_states};
use super::listing::{list_generation, observe};
use super::outcome::{Attempt, Interruption, Opened, Progress};
use super::session::Session;
use crate::access::StoreAccess;
use crate::detection::{Loss, missing_records};
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{IDENTITY_KEY, Observed, UNVERIFIED_PREFIX};
use crate::picture::Picture;

/// Whether this process, which has no history, has asked the others to compare the records with theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Vouching {
    NotRequested,
    Requested,
}

/// All records of a generation that served while they were read.
pub(super) struct Reading {
    pub(super) generation: Generation,
    pub(super) picture: Picture,
    /// The keys of this crate, read after the records.
    pub(super) observed: Observed,
}

impl Reading {
    pub(super) fn of<A: StoreAccess>(
        session: &mut Session<'_, A>,
        generation: Generation,
    ) -> Attempt<Reading> {
        let picture = list_generation(session.access(), &generation)?;
        let observed = observe(session.access())?;
        let serves = observed.identity.as_ref().is_some_and(|found| {
            found.value == generation.identity && found.mod_revision == generation.mod_revision
        });
        if !serves {
            return Err(Interruption::Overtaken);
        }
        Ok(Reading { generation, picture, observed })
    }

    /// Records of a history that are missing here in a way that no change explains.
    pub(super) fn loss_since(&self, history: &History) -> Option<Loss> {
        let base = self.generation.identity.base;
        missing_records(&history.picture, base, self.picture.rows())
    }
}

/// Opens the store with the records that were read, once every final state is at hand and the others know
/// whether this process has a history.
pub(super) fn accept<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: Option<&History>,
    reading: Reading,
    vouching: &mut Vouching,
) -> Attempt<Progress> {
    let Reading { generation, mut picture, observed } = reading;
    if add_final_states(&mut picture, history, &generation, &observed) == TerminalJobs::Incomplete {
        session.log_progress(RebuildEvent::FinalStatesAwaited);
        return Ok(Progress::LookAgain);
    }
    if history.is_none() && *vouching == Vouching::NotRequested {
        request_vouching(session, &generation)?;
        // If the key is gone at the next look, others have vouched for the records.
        *vouching = Vouching::Requested;
        return Ok(Progress::LookAgain);
    }
    let lacks_jobs = observed.lacks_jobs(session.node());
    Ok(Progress::Opened(Opened { generation, picture, revision: observed.revision, lacks_jobs }))
}

fn request_vouching<A: StoreAccess>(
    session: &mut Session<'_, A>,
    generation: &Generation,
) -> Attempt<()> {
    let key = format!("{UNVERIFIED_PREFIX}{}", session.node());
    let txn = Txn::default().if_mod_revision(IDENTITY_KEY, generation.mod_revision);
    session.commit(txn.write(key, Json::of(&generation.identity.generation)))
}
