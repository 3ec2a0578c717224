//! The lease in the store on which all partitions of this process hang: its grant, renewal and loss.
//!
//! Invariant: the lease counts as held only while it is surely alive, reckoned from the *sending* of
//! the latest call that the store confirmed, less the drift of clocks and a margin. What the loss of
//! the lease means for partitions and announcements is for the caller, who is told by
//! [`LeaseOutcome`].

use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::{Config, lower_drift_bound};
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// Kept back from a lease's life for answers and calls that are on their way out.
const MARGIN: Micros = SECOND;
/// Wait after a grant or a renewal that failed.
const RETRY_INTERVAL: Micros = SECOND / 2;
/// A lease is renewed this many times in its life.
const RENEWALS_PER_LIFE: Micros = 6;

/// The lease of this process, if it has one.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    id: Option<u64>,
    /// Until then the lease is surely alive.
    valid_until: Micros,
    /// When the renewal was sent that ended the latest time without a sure lease. The view must
    /// have been read later: a leader that was away may have missed anything.
    regained_at: Micros,
    /// A grant or a renewal is under way.
    call_pending: bool,
    next_renewal_at: Micros,
}

/// What an answer of the store did to the lease.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseOutcome {
    /// Nothing: the call failed, or the answer is about an earlier lease.
    Unchanged,
    /// The lease, held without a gap, lives longer.
    Extended,
    /// The lease is held again, after a time in which that was not sure.
    Regained,
    /// The lease is gone, and with it every key that hangs on it.
    Ended,
}

impl Lease {
    /// The lease by its number in the store, also when it is not sure to be alive.
    pub fn id(&self) -> Option<u64> {
        self.id
    }

    /// Until when the lease is surely alive, if there is one.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// When the call was sent that ended the latest time without a sure lease.
    pub fn regained_at(&self) -> Micros {
        self.regained_at
    }

    /// Whether this process surely holds its lease.
    pub fn is_held(&self, now: Micros) -> bool {
        self.id.is_some() && now < self.valid_until
    }

    /// Asks for a lease or renews the present one, when that is due.
    pub fn poll(&mut self, now: Micros, config: &Config, outbox: &mut Outbox) {
        if self.call_pending || now < self.next_renewal_at {
            return;
        }
        self.call_pending = true;
        let (call, pending) = match self.id {
            None => (
                StoreCall::Grant { life_ms: config.operator.lease_life / 1000 },
                PendingStoreCall::Grant { sent: now },
            ),
            Some(lease) => {
                (StoreCall::Renew { lease }, PendingStoreCall::Renew { sent: now, lease })
            }
        };
        outbox.call_store(CallPriority::Lease, call, pending);
    }

    /// The store has answered the request for a lease that was sent at `sent`.
    pub fn granted(
        &mut self,
        now: Micros,
        sent: Micros,
        config: &Config,
        result: &Result<StoreReply, CallError>,
    ) -> LeaseOutcome {
        self.call_pending = false;
        match result {
            Ok(StoreReply::Granted(lease)) => {
                self.id = Some(*lease);
                self.valid_until = 0;
                self.extend(now, sent, config)
            }
            _ => self.retry_later(now),
        }
    }

    /// The store has answered the renewal of a lease that was sent at `sent`.
    pub fn renewed(
        &mut self,
        now: Micros,
        sent: Micros,
        lease: u64,
        config: &Config,
        result: &Result<StoreReply, CallError>,
    ) -> LeaseOutcome {
        self.call_pending = false;
        if self.id != Some(lease) {
            return LeaseOutcome::Unchanged;
        }
        match result {
            Ok(StoreReply::Renewed) => self.extend(now, sent, config),
            Ok(StoreReply::NoLease) => self.ended(now, lease),
            _ => self.retry_later(now),
        }
    }

    /// The store says that a lease has ended: of an earlier one that is nothing new.
    pub fn ended(&mut self, now: Micros, lease: u64) -> LeaseOutcome {
        if self.id != Some(lease) {
            return LeaseOutcome::Unchanged;
        }
        self.id = None;
        self.valid_until = 0;
        self.next_renewal_at = now;
        LeaseOutcome::Ended
    }

    fn extend(&mut self, now: Micros, sent: Micros, config: &Config) -> LeaseOutcome {
        let was_held = self.is_held(now);
        if !was_held {
            self.regained_at = sent;
        }
        let life = lower_drift_bound(config.operator.lease_life);
        self.valid_until = self.valid_until.max(sent + life.saturating_sub(MARGIN));
        self.next_renewal_at = sent + config.operator.lease_life / RENEWALS_PER_LIFE;
        if was_held { LeaseOutcome::Extended } else { LeaseOutcome::Regained }
    }

    fn retry_later(&mut self, now: Micros) -> LeaseOutcome {
        self.next_renewal_at = now + RETRY_INTERVAL;
        LeaseOutcome::Unchanged
    }
}

#[cfg(test)]
pub(crate) mod tests;
