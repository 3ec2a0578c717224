//! Calls to the state service, none of whose answers may come from a store that has lost data.
//!
//! Absence is what a loss looks like, so whatever says that something is absent, and whatever prolongs the
//! right to act, counts only after the identity of the records was read once more, later.

use std::sync::atomic::{AtomicU64, Ordering};

use quartzlever_wire::CallError;
use quartzlever_wire::state::{StateCall, StateReply};

use crate::detection::Loss;
use crate::generation::Generation;
use crate::identity::{IDENTITY, Observed};

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardError {
    Call(CallError),
    /// The store has lost data. Nothing that this process knows may be acted on any more.
    Lost(Loss),
    /// A record that should be there was not found; whether it is lost shows an audit.
    Suspect,
}

impl From<CallError> for GuardError {
    fn from(error: CallError) -> GuardError {
        GuardError::Call(error)
    }
}

/// What a process holds against the store's answers.
#[derive(Debug)]
pub struct Guard {
    pub generation: Generation,
    /// The latest revision of the store that any answer has told of.
    highest: AtomicU64,
}

impl Guard {
    pub fn new(generation: Generation, epoch: u64) -> Guard {
        Guard { generation, highest: AtomicU64::new(epoch) }
    }

    /// Makes a call. `is_known` says whether a record is in this process's picture.
    pub fn call(
        &self,
        store: &mut impl FnMut(&StateCall) -> Result<StateReply, CallError>,
        call: &StateCall,
        is_known: impl Fn(&str) -> bool,
    ) -> Result<StateReply, GuardError> {
        let floor = self.highest.load(Ordering::SeqCst);
        let reply = store(&self.generation.to_store(call))?;
        match (call, &reply) {
            (StateCall::Revision, StateReply::Rows(rows)) => {
                let epoch = self.check(&Observed::of(rows), floor)?;
                return Ok(StateReply::Revision(self.generation.revision(epoch)));
            }
            (StateCall::Get(key), StateReply::Row(None)) if is_known(key) => {
                self.verify(store)?;
                return Err(GuardError::Suspect);
            }
            (_, StateReply::Row(None) | StateReply::Rows(_))
            | (_, StateReply::Renewed | StateReply::Granted(_)) => {
                self.verify(store)?;
            }
            (_, StateReply::Conflict(keys)) if keys.iter().any(|key| key == IDENTITY) => {
                return Err(GuardError::Lost(Loss::IdentityDiffers));
            }
            (StateCall::Watch { from, .. }, StateReply::Watched(answer)) => {
                let to = self.generation.revision(answer.epoch);
                if to < *from {
                    return Err(GuardError::Lost(Loss::RevisionWentBack { from: *from, to }));
                }
            }
            _ => {}
        }
        Ok(self.generation.from_store(reply))
    }

    /// Reads the identity of the records once more.
    pub fn verify(
        &self,
        store: &mut impl FnMut(&StateCall) -> Result<StateReply, CallError>,
    ) -> Result<(), GuardError> {
        let floor = self.highest.load(Ordering::SeqCst);
        match store(&StateCall::List { prefix: IDENTITY.into(), from: None })? {
            StateReply::Rows(rows) => self.check(&Observed::of(&rows), floor).map(drop),
            _ => Err(GuardError::Call(CallError::Unknown)),
        }
    }

    /// Checks what an answer to a call that was sent when `floor` was known shows; the store's revision.
    pub fn check(&self, observed: &Observed, floor: u64) -> Result<u64, GuardError> {
        let Some(identity) = &observed.identity else {
            return Err(GuardError::Lost(Loss::IdentityGone));
        };
        if identity.value != self.generation.identity || identity.stamp != self.generation.stamp {
            return Err(GuardError::Lost(Loss::IdentityDiffers));
        }
        if observed.epoch < floor {
            let from = self.generation.revision(floor);
            let to = self.generation.revision(observed.epoch);
            return Err(GuardError::Lost(Loss::RevisionWentBack { from, to }));
        }
        self.highest.fetch_max(observed.epoch, Ordering::SeqCst);
        Ok(observed.epoch)
    }

    /// The latest revision of the store that is known.
    pub fn highest(&self) -> u64 {
        self.highest.load(Ordering::SeqCst)
    }
}
