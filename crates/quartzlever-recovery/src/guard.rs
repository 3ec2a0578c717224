//! Calls to the store whose answers are checked for a loss of data.
//!
//! This module owns the highest revision of the store that any answer has shown. Absence is what a loss looks
//! like, so an answer that says that something is absent, or that prolongs the right to act, counts only
//! after the identity of the records was read once more, later.
//!
//! Invariant: no answer of a store that has lost data passes. An outage or a refusal is never taken for a
//! loss.

use std::sync::atomic::{AtomicU64, Ordering};

use quartzlever_wire::CallError;
use quartzlever_wire::store::{StoreCall, StoreReply};

use crate::detection::Loss;
use crate::generation::Generation;
use crate::identity::{IDENTITY_KEY, Observed};

/// Why a call has no answer that may be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuardError {
    /// The call failed, or its outcome is unknown.
    #[error("the call to the state service failed: {0}")]
    Call(#[from] CallError),
    /// The store has lost data. Nothing that this process knows may be acted on any more.
    #[error("the state service has lost data: {0}")]
    Lost(Loss),
    /// A record that this process knows was not found. It may have been deleted since; an audit of all
    /// records tells.
    #[error("the state service lacks a record that is known here")]
    Suspect,
}

/// The generation and the revision that the store's answers are checked against.
#[derive(Debug)]
pub struct Guard {
    /// The generation that this process works with.
    pub generation: Generation,
    /// The latest revision of the store that any answer has told of.
    highest: AtomicU64,
}

impl Guard {
    /// A guard for a generation, whose identity was read at the store's revision `revision` or before.
    pub fn new(generation: Generation, revision: u64) -> Guard {
        Guard { generation, highest: AtomicU64::new(revision) }
    }

    /// Makes a call in the generation's keys and revisions. `is_known` says whether a record is in this
    /// process's picture.
    ///
    /// # Errors
    /// [`GuardError`]; after [`GuardError::Lost`] no answer that came before may be acted on either.
    pub fn call(
        &self,
        store: &mut impl FnMut(&StoreCall) -> Result<StoreReply, CallError>,
        call: &StoreCall,
        is_known: impl Fn(&str) -> bool,
    ) -> Result<StoreReply, GuardError> {
        let floor = self.highest.load(Ordering::SeqCst);
        let reply = store(&self.generation.to_store(call))?;
        match (call, &reply) {
            (StoreCall::Revision, StoreReply::Listed(page)) => {
                let revision = self.check(&Observed::of(page), floor)?;
                return Ok(StoreReply::Revision(self.generation.revision(revision)));
            }
            (StoreCall::Get(key), StoreReply::Read(None)) if is_known(key) => {
                self.verify(store)?;
                return Err(GuardError::Suspect);
            }
            (_, StoreReply::Read(None) | StoreReply::Listed(_))
            | (_, StoreReply::Renewed | StoreReply::Granted(_)) => {
                self.verify(store)?;
            }
            (_, StoreReply::Conflict(keys)) if keys.iter().any(|key| key == IDENTITY_KEY) => {
                return Err(GuardError::Lost(Loss::IdentityDiffers));
            }
            (StoreCall::Watch { from, .. }, StoreReply::Watched(answer)) => {
                let to = self.generation.revision(answer.revision);
                if to < *from {
                    return Err(GuardError::Lost(Loss::RevisionWentBack { from: *from, to }));
                }
            }
            _ => {}
        }
        Ok(self.generation.reply_from_store(reply))
    }

    /// Reads the identity of the records once more and checks it.
    ///
    /// # Errors
    /// As of [`Guard::call`].
    pub fn verify(
        &self,
        store: &mut impl FnMut(&StoreCall) -> Result<StoreReply, CallError>,
    ) -> Result<(), GuardError> {
        let floor = self.highest.load(Ordering::SeqCst);
        match store(&StoreCall::List { prefix: IDENTITY_KEY.into(), from: None })? {
            StoreReply::Listed(page) => self.check(&Observed::of(&page), floor).map(drop),
            _ => Err(GuardError::Call(CallError::Unknown)),
        }
    }

    /// Checks an observation against the identity and against `floor`, the highest revision of the store
    /// that was known when the call was sent; returns the store's revision.
    ///
    /// # Errors
    /// [`GuardError::Lost`] if the identity is absent or another one, or the revision is below `floor`.
    pub fn check(&self, observed: &Observed, floor: u64) -> Result<u64, GuardError> {
        let Some(identity) = &observed.identity else {
            return Err(GuardError::Lost(Loss::IdentityGone));
        };
        if identity.value != self.generation.identity
            || identity.mod_revision != self.generation.mod_revision
        {
            return Err(GuardError::Lost(Loss::IdentityDiffers));
        }
        if observed.revision < floor {
            let from = self.generation.revision(floor);
            let to = self.generation.revision(observed.revision);
            return Err(GuardError::Lost(Loss::RevisionWentBack { from, to }));
        }
        self.highest.fetch_max(observed.revision, Ordering::SeqCst);
        Ok(observed.revision)
    }

    /// The latest revision of the store that any answer has shown.
    pub fn highest(&self) -> u64 {
        self.highest.load(Ordering::SeqCst)
    }
}
