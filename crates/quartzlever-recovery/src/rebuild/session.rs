//! A process's session with the store while it waits for an intact one: lease, commits and progress events.
//!
//! The session decides nothing about the records. Invariant: whatever it writes in many changes is written
//! no faster than the settings allow.

use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Micros, SECOND};

use super::outcome::{Attempt, Interruption};
use super::settings::RebuildSettings;
use crate::access::StoreAccess;
use crate::events::RebuildEvent;

/// Time between two looks at the store.
pub(super) const POLL_INTERVAL: Micros = SECOND / 2;
/// Time after which an event that has not changed is written again.
const EVENT_REPEAT_INTERVAL: Micros = 10 * SECOND;
/// A lease is renewed when this partition of its life is over.
const RENEWALS_PER_LIFE: Micros = 3;
const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Least rate of changes that is reckoned with, so that a pause is finite.
const MIN_WRITE_RPS: f64 = 0.1;
/// Time that leases are waited for beyond their life, for answers that are on their way.
const LEASE_MARGIN: Micros = 3 * SECOND;
/// Twice the drift of steady clocks, in parts of [`DRIFT_SCALE`].
const CLOCK_DRIFT: Micros = 10;
const DRIFT_SCALE: Micros = 10_000;

/// The lease of this process.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    renewed: Micros,
}

/// The last event of progress, and when it was written.
#[derive(Debug)]
struct ProgressEvent {
    event: RebuildEvent,
    written: Micros,
}

/// The session of one process.
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

    /// Name of this controller.
    pub(super) fn node(&self) -> &'a str {
        &self.settings.node
    }

    /// Commits a transaction; a condition that does not hold interrupts the step.
    pub(super) fn commit(&mut self, txn: Txn) -> Attempt<()> {
        match self.access.call(&StoreCall::Txn(txn))? {
            StoreReply::Committed(_) => Ok(()),
            _ => Err(Interruption::Overtaken),
        }
    }

    /// Commits many changes, and waits for as long as the store allows no more.
    pub(super) fn commit_batch(&mut self, txn: Txn) -> Attempt<()> {
        let seconds = txn.changes.len() as f64 / self.settings.write_rps.max(MIN_WRITE_RPS);
        self.commit(txn)?;
        self.access.pause(quartzlever_wire::micros_from_secs(seconds));
        Ok(())
    }

    /// Grants this process a lease, or renews it when that is due; the lease's number.
    pub(super) fn ensure_lease(&mut self) -> Attempt<u64> {
        let now = self.access.now();
        match self.lease {
            Some(lease) if now < lease.renewed + self.settings.lease_life / RENEWALS_PER_LIFE => {
                Ok(lease.id)
            }
            Some(lease) => self.renew_lease(lease, now),
            None => self.grant_lease(now),
        }
    }

    fn renew_lease(&mut self, lease: HeldLease, now: Micros) -> Attempt<u64> {
        match self.access.call(&StoreCall::Renew { lease: lease.id })? {
            StoreReply::Renewed => {
                self.lease = Some(HeldLease { renewed: now, ..lease });
                Ok(lease.id)
            }
            _ => Err(Interruption::Overtaken),
        }
    }

    fn grant_lease(&mut self, now: Micros) -> Attempt<u64> {
        let life_ms = self.settings.lease_life / MICROS_PER_MILLISECOND;
        match self.access.call(&StoreCall::Grant { life_ms })? {
            StoreReply::Granted(id) => {
                self.lease = Some(HeldLease { id, renewed: now });
                Ok(id)
            }
            _ => Err(Interruption::Call(CallError::Unknown)),
        }
    }

    /// Forgets the lease, which may be gone; the next step that needs one has a new one granted.
    pub(super) fn forget_lease(&mut self) {
        self.lease = None;
    }

    /// Waits until no task is on any machine: controllers that have not noticed the loss lose their right
    /// to act, and then workers their leases.
    pub(super) fn wait_out_worker_leases(&mut self) -> Attempt<()> {
        let leases = self.settings.lease_life + self.settings.worker_lease;
        let span = leases + leases * CLOCK_DRIFT / DRIFT_SCALE + LEASE_MARGIN;
        self.access.log(RebuildEvent::WorkerLeasesAwaited { duration: span });
        let end = self.access.now() + span;
        while self.access.now() < end {
            self.ensure_lease()?;
            self.access.pause(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Logs what is going on, once, and again after [`EVENT_REPEAT_INTERVAL`].
    pub(super) fn log_progress(&mut self, event: RebuildEvent) {
        let now = self.access.now();
        let is_recent = |last: &ProgressEvent| {
            last.event == event && now < last.written + EVENT_REPEAT_INTERVAL
        };
        if !self.last_progress.as_ref().is_some_and(is_recent) {
            self.access.log(event.clone());
            self.last_progress = Some(ProgressEvent { event, written: now });
        }
    }
}
