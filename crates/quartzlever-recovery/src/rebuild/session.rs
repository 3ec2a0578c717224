//! A process's session with the store during a rebuild: lease, commits and progress events.
//!
//! The session makes no decisions about records. Invariant: batches of changes are written no
//! faster than the settings allow.

use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Micros, SECOND};

use super::outcome::{Interruption, StepResult};
use super::settings::RebuildSettings;
use crate::access::StoreAccess;
use crate::events::RebuildEvent;

/// Time between two observations of the store.
pub(super) const POLL_INTERVAL: Micros = SECOND / 2;
/// Time after which an unchanged progress event is logged again.
const EVENT_REPEAT_INTERVAL: Micros = 10 * SECOND;
/// A lease is renewed once its lifetime divided by this number has passed.
const RENEWALS_PER_LIFETIME: Micros = 3;
const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Lower bound of the configured changes per second, so that pauses are finite.
const MIN_CHANGES_PER_SECOND: f64 = 0.1;
/// Time added to the lifetime of leases when waiting for their expiry, for replies in transit.
const LEASE_EXPIRY_MARGIN: Micros = 3 * SECOND;
/// Twice the drift of monotonic clocks, in units of 1 / [`DRIFT_SCALE`].
const CLOCK_DRIFT: Micros = 10;
const DRIFT_SCALE: Micros = 10_000;

/// A lease granted to this process, and the time when it was granted or last renewed.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    renewed_at: Micros,
}

/// The last progress event and the time when it was logged.
#[derive(Debug)]
struct ProgressEvent {
    event: RebuildEvent,
    logged_at: Micros,
}

/// Access to the store with the lease of one process and a limited rate of changes.
pub(super) struct Session<'a, A> {
    access: &'a mut A,
    settings: &'a RebuildSettings,
    lease: Option<HeldLease>,
    last_progress: Option<ProgressEvent>,
}

impl<'a, A: StoreAccess> Session<'a, A> {
    pub(super) fn new(access: &'a mut A, settings: &'a RebuildSettings) -> Self {
        Session { access, settings, lease: None, last_progress: None }
    }

    pub(super) fn access(&mut self) -> &mut A {
        self.access
    }

    pub(super) fn settings(&self) -> &'a RebuildSettings {
        self.settings
    }

    /// Returns the name of this controller.
    pub(super) fn node(&self) -> &'a str {
        &self.settings.node
    }

    /// Commits a transaction; fails with a conflict if one of its conditions does not hold.
    pub(super) fn commit(&mut self, txn: Txn) -> StepResult<()> {
        match self.access.call(&StoreCall::Txn(txn))? {
            StoreReply::Committed(_) => Ok(()),
            _ => Err(Interruption::Conflict),
        }
    }

    /// Commits a batch of changes, then pauses to stay within the configured rate of changes.
    pub(super) fn commit_batch(&mut self, txn: Txn) -> StepResult<()> {
        let seconds = txn.changes.len() as f64
            / self.settings.max_changes_per_second.max(MIN_CHANGES_PER_SECOND);
        self.commit(txn)?;
        self.access.pause(quartzlever_wire::micros_from_secs(seconds));
        Ok(())
    }

    /// Requests a lease for this process, or renews it when that is due, and returns its number.
    pub(super) fn ensure_lease(&mut self) -> StepResult<u64> {
        let now = self.access.now();
        match self.lease {
            Some(lease)
                if now
                    < lease.renewed_at + self.settings.lease_lifetime / RENEWALS_PER_LIFETIME =>
            {
                Ok(lease.id)
            }
            Some(lease) => self.renew_lease(lease, now),
            None => self.grant_lease(now),
        }
    }

    fn renew_lease(&mut self, lease: HeldLease, now: Micros) -> StepResult<u64> {
        match self.access.call(&StoreCall::Renew { lease: lease.id })? {
            StoreReply::Renewed => {
                self.lease = Some(HeldLease { renewed_at: now, ..lease });
                Ok(lease.id)
            }
            _ => Err(Interruption::Conflict),
        }
    }

    fn grant_lease(&mut self, now: Micros) -> StepResult<u64> {
        let life_ms = self.settings.lease_lifetime / MICROS_PER_MILLISECOND;
        match self.access.call(&StoreCall::Grant { life_ms })? {
            StoreReply::Granted(id) => {
                self.lease = Some(HeldLease { id, renewed_at: now });
                Ok(id)
            }
            _ => Err(Interruption::Call(CallError::Unknown)),
        }
    }

    /// Forgets the lease, which may have expired; the next step that needs one requests a new one.
    pub(super) fn forget_lease(&mut self) {
        self.lease = None;
    }

    /// Waits until no task runs on any machine: first the leases of controllers that have not
    /// noticed the loss expire, and with them their right to act, and then the leases of their
    /// workers.
    pub(super) fn await_worker_lease_expiry(&mut self) -> StepResult<()> {
        let leases = self.settings.lease_lifetime + self.settings.worker_lease_lifetime;
        let span = leases + leases * CLOCK_DRIFT / DRIFT_SCALE + LEASE_EXPIRY_MARGIN;
        self.access.log(RebuildEvent::WorkerLeasesAwaited { duration: span });
        let end = self.access.now() + span;
        while self.access.now() < end {
            self.ensure_lease()?;
            self.access.pause(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Logs a progress event, unless the same event was logged last and [`EVENT_REPEAT_INTERVAL`]
    /// is not over.
    pub(super) fn log_progress(&mut self, event: RebuildEvent) {
        let now = self.access.now();
        let is_recent = |last: &ProgressEvent| {
            last.event == event && now < last.logged_at + EVENT_REPEAT_INTERVAL
        };
        if !self.last_progress.as_ref().is_some_and(is_recent) {
            self.access.log(event.clone());
            self.last_progress = Some(ProgressEvent { event, logged_at: now });
        }
    }
}
