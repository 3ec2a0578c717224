//! The states of a process during a rebuild, and the transitions between them.
//!
//! The common progress of all controllers is recorded only in the store. A process therefore
//! determines its state from each observation of the store ([`StateMachine::state`]), performs the
//! single step of that state ([`StateMachine::advance`]), and observes the store again. A failed
//! step is not simply retried, because the next observation may lead to another state.
//!
//! ```text
//! no identity, identity lost or given up -> Electing   -> (lock won) next generation written -> Joining
//! generation of its own history          -> Verifying  -> opened, or records missing -> GivingUp
//! records missing                        -> GivingUp   -> Electing
//! generation newer than its own history  -> Joining    -> own jobs contributed -> opened
//! ```
//!
//! Invariant: the process opens the store only in `Verifying` and `Joining`, after all records were
//! read while the same generation was serving.

use quartzlever_wire::Json;
use quartzlever_wire::store::Txn;

use super::acceptance::{ListedGeneration, RecordVerification, accept};
use super::contribution::{Contribution, contribute};
use super::election::{Candidacy, Cause, ElectionOutcome};
use super::listing::observe;
use super::outcome::{OpenedStore, RebuildError, StepOutcome, StepResult};
use super::session::{POLL_INTERVAL, Session};
use super::settings::{LocalState, RebuildSettings};
use super::writer::Writer;
use crate::access::StoreAccess;
use crate::detection::{Assessment, Loss, assess};
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{IDENTITY_KEY, Identity, Phase, StoreObservation};

/// Opens the store, after a rebuild if it has lost data. Blocks until the store may be used.
///
/// # Errors
/// Returns a [`RebuildError`] if an operator has to intervene. Failed calls to the store are not
/// errors; the store is observed again.
pub fn open(
    access: &mut impl StoreAccess,
    settings: &RebuildSettings,
    local: &LocalState,
) -> Result<OpenedStore, RebuildError> {
    StateMachine::new(access, settings, local).run()
}

/// State of the process, determined from one observation of the store.
#[derive(Debug)]
enum State {
    /// The generation of this process's history is serving; its records are compared with the
    /// history.
    Verifying(Generation),
    /// A generation newer than this process's history is serving; jobs that the generation lacks
    /// are contributed.
    Joining(Generation),
    /// The generation of this process's history is serving but lacks records that the history has.
    GivingUp { generation: Generation, loss: Loss },
    /// No generation is serving; the controllers elect the one that writes the next generation.
    Electing(Cause),
}

/// Runs the rebuild for one process.
struct StateMachine<'a, A> {
    session: Session<'a, A>,
    history: Option<&'a History>,
    /// Permanent records that are missing although the identity is intact.
    missing_records: Option<Loss>,
    candidacy: Candidacy<'a>,
    verification: RecordVerification,
}

impl<'a, A: StoreAccess> StateMachine<'a, A> {
    fn new(access: &'a mut A, settings: &'a RebuildSettings, local: &'a LocalState) -> Self {
        let wall_time = access.wall_time();
        let history = local.history.as_ref();
        let is_verified =
            history.is_some_and(|history| history.is_verified(local.is_marked, wall_time));
        StateMachine {
            session: Session::new(access, settings),
            history,
            missing_records: local.known_loss.clone(),
            candidacy: Candidacy::new(history, is_verified),
            verification: RecordVerification::NotRequested,
        }
    }

    fn run(&mut self) -> Result<OpenedStore, RebuildError> {
        loop {
            match observe(self.session.access()) {
                Err(_) => self.session.log_progress(RebuildEvent::StoreAwaited),
                Ok(observed) => {
                    let state = self.state(&observed)?;
                    match self.advance(state, &observed) {
                        Ok(StepOutcome::Opened(opened)) => return Ok(opened),
                        Ok(StepOutcome::ObserveAgain) => {}
                        Err(_) => self.reset_leased_state(),
                    }
                }
            }
            self.session.access().pause(POLL_INTERVAL);
        }
    }

    /// Determines the state from an observation of the store.
    fn state(&self, observed: &StoreObservation) -> Result<State, RebuildError> {
        let known = self.history.map(History::last_known_state);
        let state = match assess(self.session.node(), known.as_ref(), observed) {
            Assessment::ForeignCluster => return Err(RebuildError::ForeignCluster),
            Assessment::Intact(generation) => match self.missing_records.clone() {
                Some(loss) => State::GivingUp { generation, loss },
                None => State::Verifying(generation),
            },
            Assessment::Newer(generation) => State::Joining(generation),
            Assessment::NoCluster => State::Electing(Cause::FirstStart),
            Assessment::Lost(loss) => State::Electing(Cause::Lost(loss)),
        };
        Ok(state)
    }

    /// Performs the step of a state.
    fn advance(&mut self, state: State, observed: &StoreObservation) -> StepResult<StepOutcome> {
        match state {
            State::Verifying(generation) => self.verify(generation),
            State::Joining(generation) => self.join(generation),
            State::GivingUp { generation, loss } => self.give_up(&generation, &loss),
            State::Electing(cause) => self.elect(&cause, observed),
        }
    }

    /// Opens the store, unless records of the history are missing from it.
    fn verify(&mut self, generation: Generation) -> StepResult<StepOutcome> {
        let listed = ListedGeneration::read(&mut self.session, generation)?;
        if let Some(loss) = self.history.and_then(|history| listed.detect_loss(history)) {
            self.missing_records = Some(loss);
            return Ok(StepOutcome::ObserveAgain);
        }
        accept(&mut self.session, self.history, listed, &mut self.verification)
    }

    /// Contributes the jobs that a newer generation lacks, then opens the store with it.
    fn join(&mut self, generation: Generation) -> StepResult<StepOutcome> {
        let listed = ListedGeneration::read(&mut self.session, generation)?;
        match contribute(&mut self.session, self.history, &listed)? {
            // The next observation reads the records together with the contribution.
            Contribution::Submitted => Ok(StepOutcome::ObserveAgain),
            Contribution::Nothing => {
                accept(&mut self.session, self.history, listed, &mut self.verification)
            }
        }
    }

    /// Gives up a generation that lacks records, after which none of its transactions can be
    /// committed.
    fn give_up(&mut self, generation: &Generation, loss: &Loss) -> StepResult<StepOutcome> {
        self.session.access().log(RebuildEvent::GenerationGivenUp {
            generation: generation.identity.generation,
            loss: loss.clone(),
        });
        let identity = Identity { phase: Phase::Rebuilding, ..generation.identity.clone() };
        let txn = Txn::default().if_mod_revision(IDENTITY_KEY, generation.mod_revision);
        self.session.commit(txn.write(IDENTITY_KEY, Json::of(&identity)))?;
        Ok(StepOutcome::ObserveAgain)
    }

    /// Performs one step of the election, and writes the next generation if it is won.
    fn elect(&mut self, cause: &Cause, observed: &StoreObservation) -> StepResult<StepOutcome> {
        match self.candidacy.campaign(&mut self.session, observed, cause)? {
            ElectionOutcome::Undecided => {}
            ElectionOutcome::Won { lock_revision } => {
                let is_verified = self.candidacy.is_verified();
                let mut writer = Writer::new(&mut self.session, observed, lock_revision);
                match self.history {
                    Some(history) => writer.rebuild_from(history, is_verified)?,
                    None => writer.found_generation()?,
                }
            }
        }
        Ok(StepOutcome::ObserveAgain)
    }

    /// Resets the state that is attached to the lease, which may have expired when a step fails.
    fn reset_leased_state(&mut self) {
        self.session.forget_lease();
        self.candidacy.reset_extras();
    }
}
