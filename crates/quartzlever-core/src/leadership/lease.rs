//! The lease in the store to which all partition keys of this process are attached: its grant,
//! renewal and loss.
//!
//! Invariant: the lease counts as held only while it is certainly valid. Its validity is computed
//! from the time at which the latest confirmed call was *sent*, less clock drift and a margin. The
//! caller, informed by [`LeaseOutcome`], applies the loss of the lease to partitions and
//! announcements.

use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::{Config, lower_drift_bound};
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// Subtracted from a lease's lifetime to cover replies and calls that are still being sent.
const VALIDITY_MARGIN: Micros = SECOND;
/// Delay after a failed grant or renewal.
const RETRY_INTERVAL: Micros = SECOND / 2;
/// Number of renewals within one lease lifetime.
const RENEWALS_PER_LIFETIME: Micros = 6;

/// The lease of this process, if it has one, and the state of its renewal.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    id: Option<u64>,
    /// The time until which the lease is certainly valid.
    valid_until: Micros,
    /// When the call was sent that ended the latest gap without a valid lease. The view must have
    /// been read after this time, since a leader may have missed any change during the gap.
    regained_at: Micros,
    /// Whether a grant or a renewal is in flight.
    call_pending: bool,
    next_renewal_at: Micros,
}

/// The effect of a store reply on the lease.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseOutcome {
    /// No effect: the call failed, or the reply concerns an earlier lease.
    Unchanged,
    /// The lease was held without a gap and is extended.
    Extended,
    /// The lease is valid again, or for the first time, after a gap.
    Regained,
    /// The lease has ended, and with it every key attached to it.
    Ended,
}

impl Lease {
    /// Returns the lease's number in the store, also when the lease may have expired.
    pub fn id(&self) -> Option<u64> {
        self.id
    }

    /// Returns the time until which the lease is certainly valid; 0 if there is none.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// Returns when the call was sent that ended the latest gap without a valid lease.
    pub fn regained_at(&self) -> Micros {
        self.regained_at
    }

    /// Reports whether this process certainly holds its lease.
    pub fn is_held(&self, now: Micros) -> bool {
        self.id.is_some() && now < self.valid_until
    }

    /// Requests a lease, or renews the current one, when that is due.
    pub fn poll(&mut self, now: Micros, config: &Config, outbox: &mut Outbox) {
        if self.call_pending || now < self.next_renewal_at {
            return;
        }
        self.call_pending = true;
        let (call, pending) = match self.id {
            None => (
                StoreCall::Grant { life_ms: config.operator.lease_lifetime / 1000 },
                PendingStoreCall::Grant { sent: now },
            ),
            Some(lease) => {
                (StoreCall::Renew { lease }, PendingStoreCall::Renew { sent: now, lease })
            }
        };
        outbox.call_store(CallPriority::Lease, call, pending);
    }

    /// Handles the reply to a grant request that was sent at `sent`.
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

    /// Handles the reply to a renewal of `lease` that was sent at `sent`.
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

    /// Handles the store's report that a lease has ended. A report about an earlier lease has no
    /// effect.
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
        let life = lower_drift_bound(config.operator.lease_lifetime);
        self.valid_until = self.valid_until.max(sent + life.saturating_sub(VALIDITY_MARGIN));
        self.next_renewal_at = sent + config.operator.lease_lifetime / RENEWALS_PER_LIFETIME;
        if was_held { LeaseOutcome::Extended } else { LeaseOutcome::Regained }
    }

    fn retry_later(&mut self, now: Micros) -> LeaseOutcome {
        self.next_renewal_at = now + RETRY_INTERVAL;
        LeaseOutcome::Unchanged
    }
}

#[cfg(test)]
pub(crate) mod tests;
