//! Opening the store with a generation that is already serving.
//!
//! Invariant: a [`ListedGeneration`] exists only if the identity had the same value and
//! modification revision before and after the records were read. None of them comes from a store
//! that was replaced meanwhile.

use quartzlever_wire::Json;
use quartzlever_wire::store::Txn;

use super::final_states::{FinalStates, add_final_states};
use super::listing::{list_generation, observe};
use super::outcome::{Interruption, OpenedStore, StepOutcome, StepResult};
use super::session::Session;
use crate::access::StoreAccess;
use crate::detection::{Loss, detect_missing_records};
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{IDENTITY_KEY, StoreObservation, UNVERIFIED_PREFIX};
use crate::records::RecordSet;

/// Whether this process, which has no history, has requested that other controllers compare the
/// records with their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordVerification {
    NotRequested,
    Requested,
}

/// All records of a generation that was serving while they were read.
pub(super) struct ListedGeneration {
    pub(super) generation: Generation,
    pub(super) records: RecordSet,
    /// The keys under `recovery/`, read after the records.
    pub(super) observed: StoreObservation,
}

impl ListedGeneration {
    /// Reads all records of a generation; fails with a conflict if it was replaced or given up
    /// meanwhile.
    pub(super) fn read<A: StoreAccess>(
        session: &mut Session<'_, A>,
        generation: Generation,
    ) -> StepResult<ListedGeneration> {
        let records = list_generation(session.access(), &generation)?;
        let observed = observe(session.access())?;
        let serves = observed.identity.as_ref().is_some_and(|found| {
            found.value == generation.identity && found.mod_revision == generation.mod_revision
        });
        if !serves {
            return Err(Interruption::Conflict);
        }
        Ok(ListedGeneration { generation, records, observed })
    }

    /// Returns a loss if records of the history are missing or older here and no change explains
    /// that.
    pub(super) fn detect_loss(&self, history: &History) -> Option<Loss> {
        let base = self.generation.identity.base;
        detect_missing_records(&history.records, base, self.records.rows())
    }
}

/// Opens the store with the records that were read, once every final state is available and a
/// process without a history has requested verification of the records.
pub(super) fn accept<A: StoreAccess>(
    session: &mut Session<'_, A>,
    history: Option<&History>,
    listed: ListedGeneration,
    verification: &mut RecordVerification,
) -> StepResult<StepOutcome> {
    let ListedGeneration { generation, mut records, observed } = listed;
    if add_final_states(&mut records, history, &generation, &observed) == FinalStates::Incomplete {
        session.log_progress(RebuildEvent::FinalStatesAwaited);
        return Ok(StepOutcome::ObserveAgain);
    }
    if history.is_none() && *verification == RecordVerification::NotRequested {
        request_verification(session, &generation)?;
        // If the key is gone at the next observation, another controller has verified the records.
        *verification = RecordVerification::Requested;
        return Ok(StepOutcome::ObserveAgain);
    }
    let may_lack_jobs = observed.may_lack_jobs(session.node());
    Ok(StepOutcome::Opened(OpenedStore {
        generation,
        records,
        revision: observed.revision,
        may_lack_jobs,
    }))
}

fn request_verification<A: StoreAccess>(
    session: &mut Session<'_, A>,
    generation: &Generation,
) -> StepResult<()> {
    let key = format!("{UNVERIFIED_PREFIX}{}", session.node());
    let txn = Txn::default().if_mod_revision(IDENTITY_KEY, generation.mod_revision);
    session.commit(txn.write(key, Json::of(&generation.identity.generation)))
}
