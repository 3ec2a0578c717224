//! Calls to the store whose replies are checked for a loss of data.
//!
//! The guard keeps the latest revision of the store that any reply has shown. A store that has lost
//! data reports keys as absent. Therefore a reply that may report an absence, or that grants or
//! renews a lease and with it the right to act, is returned only after the identity of the records
//! was read again and found unchanged.
//!
//! Invariant: no reply of a store that has lost data is returned. An outage or a rejected call
//! never counts as a loss.

use std::sync::atomic::{AtomicU64, Ordering};

use quartzlever_wire::CallError;
use quartzlever_wire::store::{StoreCall, StoreReply};

use crate::detection::Loss;
use crate::generation::Generation;
use crate::identity::{IDENTITY_KEY, StoreObservation};

/// Why a call has no reply that may be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuardError {
    /// The call failed, or its outcome is unknown.
    #[error("the call to the state service failed: {0}")]
    Call(#[from] CallError),
    /// The store has lost data. The process may not act on anything that it knows.
    #[error("the state service has lost data: {0}")]
    Lost(Loss),
    /// A record that this process knows was not found. It may have been deleted since, or lost; an
    /// audit of all records decides which.
    #[error("the state service lacks a record that this controller knows")]
    KnownRecordAbsent,
}

/// Checks the store's replies against the generation of this process and the latest revision seen.
#[derive(Debug)]
pub struct Guard {
    /// The generation that this process works with.
    pub generation: Generation,
    /// The latest revision of the store that any reply has shown.
    latest_store_revision: AtomicU64,
}

impl Guard {
    /// Creates a guard for a generation whose identity was read at the store's revision
    /// `store_revision` or before.
    pub fn new(generation: Generation, store_revision: u64) -> Guard {
        Guard { generation, latest_store_revision: AtomicU64::new(store_revision) }
    }

    /// Makes a call with the generation's keys and revisions. `is_known` reports whether this
    /// process knows a record at a key that must therefore be in the store.
    ///
    /// # Errors
    /// Returns a [`GuardError`]. After [`GuardError::Lost`], replies to earlier calls may not be acted
    /// on either.
    pub fn call(
        &self,
        store: &mut impl FnMut(&StoreCall) -> Result<StoreReply, CallError>,
        call: &StoreCall,
        is_known: impl Fn(&str) -> bool,
    ) -> Result<StoreReply, GuardError> {
        let min_revision = self.latest_store_revision.load(Ordering::SeqCst);
        let reply = store(&self.generation.to_store(call))?;
        match (call, &reply) {
            (StoreCall::Revision, StoreReply::Listed(page)) => {
                let revision =
                    self.check_observation(&StoreObservation::from_page(page), min_revision)?;
                return Ok(StoreReply::Revision(self.generation.revision_from_store(revision)));
            }
            (StoreCall::Get(key), StoreReply::Absent { .. }) if is_known(key) => {
                self.verify_identity(store)?;
                return Err(GuardError::KnownRecordAbsent);
            }
            (_, StoreReply::Absent { .. } | StoreReply::Listed(_))
            | (_, StoreReply::Renewed | StoreReply::Granted(_)) => {
                self.verify_identity(store)?;
            }
            (_, StoreReply::Conflict(keys)) if keys.iter().any(|key| key == IDENTITY_KEY) => {
                return Err(GuardError::Lost(Loss::IdentityDiffers));
            }
            (StoreCall::Watch { from, .. }, StoreReply::Watched(answer)) => {
                let to = self.generation.revision_from_store(answer.revision);
                if to < *from {
                    return Err(GuardError::Lost(Loss::RevisionWentBack { from: *from, to }));
                }
            }
            _ => {}
        }
        Ok(self.generation.reply_from_store(reply))
    }

    /// Reads the identity of the records and checks that it is unchanged.
    ///
    /// # Errors
    /// Returns the errors of [`Guard::call`].
    pub fn verify_identity(
        &self,
        store: &mut impl FnMut(&StoreCall) -> Result<StoreReply, CallError>,
    ) -> Result<(), GuardError> {
        let min_revision = self.latest_store_revision.load(Ordering::SeqCst);
        match store(&StoreCall::List { prefix: IDENTITY_KEY.into(), from: None })? {
            StoreReply::Listed(page) => {
                self.check_observation(&StoreObservation::from_page(&page), min_revision).map(drop)
            }
            _ => Err(GuardError::Call(CallError::Unknown)),
        }
    }

    /// Checks an observation against the identity and against `min_revision`, the latest revision
    /// of the store that was known when the call was sent, and returns the store's revision.
    ///
    /// # Errors
    /// Returns [`GuardError::Lost`] if the identity is absent or has changed, or if the store's
    /// revision is below `min_revision`.
    pub fn check_observation(
        &self,
        observed: &StoreObservation,
        min_revision: u64,
    ) -> Result<u64, GuardError> {
        let Some(identity) = &observed.identity else {
            return Err(GuardError::Lost(Loss::IdentityGone));
        };
        if identity.value != self.generation.identity
            || identity.mod_revision != self.generation.mod_revision
        {
            return Err(GuardError::Lost(Loss::IdentityDiffers));
        }
        if observed.revision < min_revision {
            let from = self.generation.revision_from_store(min_revision);
            let to = self.generation.revision_from_store(observed.revision);
            return Err(GuardError::Lost(Loss::RevisionWentBack { from, to }));
        }
        self.latest_store_revision.fetch_max(observed.revision, Ordering::SeqCst);
        Ok(observed.revision)
    }

    /// Returns the latest revision of the store that any reply has shown.
    pub fn latest_store_revision(&self) -> u64 {
        self.latest_store_revision.load(Ordering::SeqCst)
    }
}
