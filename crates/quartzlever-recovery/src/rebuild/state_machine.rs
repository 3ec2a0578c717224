//! The states of a process on its way to an intact store, and the transitions between them.
//!
//! What all controllers together have reached stands in the store alone, so a process derives its state anew
//! from every look at the store ([`StateMachine::state`]), takes the one step of that state
//! ([`StateMachine::advance`]), and looks again. A step that fails is never repeated by itself: the next look
//! may lead to another state.
//!
//! ```text
//! no identity, identity lost or given up -> Electing   -> (lock won) next generation written -> Joining
//! generation of the own history          -> Verifying  -> opened, or records missing -> GivingUp
//! records found missing                  -> GivingUp   -> Electing
//! generation newer than the own history  -> Joining    -> own knowledge handed in -> opened
//! ```
//!
//! Invariant: the process opens the store only in `Verifying` and `Joining`, after the records were read
//! while one and the same generation served.

use quartzlever_wire::Json;
use quartzlever_wire::store::Txn;

use super::acceptance::{Reading, Vouching, accept};
use super::contribution::{Contribution, contribute};
use super::election::{Candidacy, Cause, Election};
use super::listing::observe;
use super::outcome::{Attempt, Opened, Progress, RebuildError};
use super::session::{POLL_INTERVAL, Session};
use super::settings::{Local, RebuildSettings};
use super::writer::Writer;
use crate::access::StoreAccess;
use crate::detection::{Assessment, Loss, assess};
use crate::events::RebuildEvent;
use crate::generation::Generation;
use crate::history::History;
use crate::identity::{IDENTITY_KEY, Identity, Observed, Phase};

/// Returns a store that may be worked with; blocks, and asks the store again, until there is one.
///
/// # Errors
/// [`RebuildError`] if only an operator can help. Calls that fail are no error here.
pub fn open(
    access: &mut impl StoreAccess,
    settings: &RebuildSettings,
    local: &Local,
) -> Result<Opened, RebuildError> {
    StateMachine::new(access, settings, local).run()
}

/// What the process does next, as one look at the store shows.
#[derive(Debug)]
enum State {
    /// The generation of the own history serves; its records are compared with the history.
    Verifying(Generation),
    /// A generation serves that is newer than the own history; what it lacks is handed in.
    Joining(Generation),
    /// The generation of the own history serves, but lacks records.
    GivingUp { generation: Generation, loss: Loss },
    /// No generation serves; the controllers determine which of them writes the next one.
    Electing(Cause),
}

/// One process on its way to an intact store.
struct StateMachine<'a, A> {
    session: Session<'a, A>,
    history: Option<&'a History>,
    /// Lasting records that were missing though the identity is intact.
    missing: Option<Loss>,
    candidacy: Candidacy<'a>,
    vouching: Vouching,
}

impl<'a, A: StoreAccess> StateMachine<'a, A> {
    fn new(access: &'a mut A, settings: &'a RebuildSettings, local: &'a Local) -> Self {
        let wall = access.wall();
        let history = local.history.as_ref();
        let is_verified = history.is_some_and(|history| history.is_verified(local.marked, wall));
        StateMachine {
            session: Session::new(access, settings),
            history,
            missing: local.found.clone(),
            candidacy: Candidacy::new(history, is_verified),
            vouching: Vouching::NotRequested,
        }
    }

    fn run(&mut self) -> Result<Opened, RebuildError> {
        loop {
            match observe(self.session.access()) {
                Err(_) => self.session.log_progress(RebuildEvent::StoreAwaited),
                Ok(observed) => {
                    let state = self.state(&observed)?;
                    match self.advance(state, &observed) {
                        Ok(Progress::Opened(opened)) => return Ok(opened),
                        Ok(Progress::LookAgain) => {}
                        Err(_) => self.forget_what_is_leased(),
                    }
                }
            }
            self.session.access().pause(POLL_INTERVAL);
        }
    }

    fn state(&self, observed: &Observed) -> Result<State, RebuildError> {
        let known = self.history.map(History::known);
        let state = match assess(self.session.node(), known.as_ref(), observed) {
            Assessment::ForeignCluster => return Err(RebuildError::ForeignCluster),
            Assessment::Intact(generation) => match self.missing.clone() {
                Some(loss) => State::GivingUp { generation, loss },
                None => State::Verifying(generation),
            },
            Assessment::Newer(generation) => State::Joining(generation),
            Assessment::Unfounded => State::Electing(Cause::FirstStart),
            Assessment::Lost(loss) => State::Electing(Cause::Lost(loss)),
        };
        Ok(state)
    }

    fn advance(&mut self, state: State, observed: &Observed) -> Attempt<Progress> {
        match state {
            State::Verifying(generation) => self.verify(generation),
            State::Joining(generation) => self.join(generation),
            State::GivingUp { generation, loss } => self.give_up(&generation, &loss),
            State::Electing(cause) => self.elect(&cause, observed),
        }
    }

    fn verify(&mut self, generation: Generation) -> Attempt<Progress> {
        let reading = Reading::of(&mut self.session, generation)?;
        if let Some(loss) = self.history.and_then(|history| reading.loss_since(history)) {
            self.missing = Some(loss);
            return Ok(Progress::LookAgain);
        }
        accept(&mut self.session, self.history, reading, &mut self.vouching)
    }

    fn join(&mut self, generation: Generation) -> Attempt<Progress> {
        let reading = Reading::of(&mut self.session, generation)?;
        match contribute(&mut self.session, self.history, &reading)? {
            // The next look reads the records with what was contributed.
            Contribution::HandedIn => Ok(Progress::LookAgain),
            Contribution::Nothing => {
                accept(&mut self.session, self.history, reading, &mut self.vouching)
            }
        }
    }

    /// Gives up a generation that lacks records: from then on no change of it comes into force.
    fn give_up(&mut self, generation: &Generation, loss: &Loss) -> Attempt<Progress> {
        self.session.access().log(RebuildEvent::GenerationGivenUp {
            generation: generation.identity.generation,
            loss: loss.clone(),
        });
        let identity = Identity { phase: Phase::Rebuilding, ..generation.identity.clone() };
        let txn = Txn::default().if_mod_revision(IDENTITY_KEY, generation.mod_revision);
        self.session.commit(txn.write(IDENTITY_KEY, Json::of(&identity)))?;
        Ok(Progress::LookAgain)
    }

    fn elect(&mut self, cause: &Cause, observed: &Observed) -> Attempt<Progress> {
        match self.candidacy.campaign(&mut self.session, observed, cause)? {
            Election::Undecided => {}
            Election::Won { lock_stamp } => {
                let is_verified = self.candidacy.is_verified();
                let mut writer = Writer::new(&mut self.session, observed, lock_stamp);
                match self.history {
                    Some(history) => writer.rebuild_from(history, is_verified)?,
                    None => writer.found()?,
                }
            }
        }
        Ok(Progress::LookAgain)
    }

    /// What was announced or acquired may be gone after a step that failed.
    fn forget_what_is_leased(&mut self) {
        self.session.forget_lease();
        self.candidacy.forget_extras();
    }
}
