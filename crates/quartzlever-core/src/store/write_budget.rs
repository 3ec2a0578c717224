//! The write budget: this controller's share of the changes per second that the store allows, part
//! of which is reserved for the more urgent kinds.
//!
//! [`WriteBudget`] owns a token bucket of changes and the observed limit of the store. It writes
//! nothing itself. Two invariants: a change that can wait leaves the reserve for more urgent kinds
//! untouched, and the debt is bounded, so that claims are possible again within seconds, no matter
//! how many changes were attempted.

use std::collections::BTreeMap;

use quartzlever_wire::{Micros, SECOND};

/// Kinds of changes that depend on the budget, the most urgent first. Changes for leases,
/// partition keys, admitted submissions and cancellations are made whatever the balance, and may
/// leave the budget in debt; new submissions are rejected while it is
/// [exhausted](WriteBudget::is_exhausted).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    /// The end of a job.
    Finish,
    /// The claim of a machine for a partition.
    Claim,
    /// Deletion of records that are no longer needed, such as those of terminated machines. A new
    /// leader has to check each machine that has a record: when these deletions had the lowest
    /// priority, hundreds of leftover records delayed the recovery of whole partitions.
    GarbageCollection,
    /// The move of tasks between partitions.
    Move,
    /// The finished tasks of a job that is still active.
    Progress,
}

impl WriteKind {
    /// Returns the share of a second's changes that this kind leaves for more urgent ones.
    fn reserved_share(self) -> f64 {
        match self {
            WriteKind::Finish => 0.0,
            WriteKind::Claim => 0.1,
            WriteKind::GarbageCollection => 0.15,
            WriteKind::Move => 0.2,
            WriteKind::Progress => 0.35,
        }
    }
}

/// A token bucket of changes to the store. Its capacity is the changes of one second, but at least
/// two changes.
#[derive(Debug)]
pub struct WriteBudget {
    /// Refill rate, in changes per second.
    rate: f64,
    /// Available changes; negative if in debt.
    balance: f64,
    /// Time of the last refill.
    now: Micros,
    /// Share of the configured limit that the store is assumed to allow.
    allowed_share: f64,
    /// When throttling last lowered `allowed_share`; 0 if never.
    throttled_at: Micros,
    /// Kinds of changes with priority over submissions that were denied for lack of budget, until
    /// they are allowed again.
    denied: BTreeMap<WriteKind, Denial>,
}

/// When a kind of change was first and last denied, without an interruption of
/// [`STARVATION_DELAY`].
#[derive(Clone, Copy, Debug)]
struct Denial {
    since: Micros,
    last: Micros,
}

impl Denial {
    /// Reports whether the change has been denied for too long. A change that is no longer
    /// attempted does not count.
    fn is_starved(self, now: Micros) -> bool {
        let is_current = now.saturating_sub(self.last) < STARVATION_DELAY;
        is_current && self.last.saturating_sub(self.since) >= STARVATION_DELAY
    }
}

/// A kind of change with priority over submissions counts as starved when it has been denied for
/// this long.
const STARVATION_DELAY: Micros = SECOND;

/// Factor on the allowed share of the limit each time the store throttles this controller.
const THROTTLE_FACTOR: f64 = 0.8;
/// Lower bound of the allowed share of the limit.
const MIN_ALLOWED_SHARE: f64 = 0.1;
/// Share of the limit by which the allowed share recovers per second.
const SHARE_REGAINED_PER_SECOND: f64 = 0.005;
/// Share of the limit that is used; the rest absorbs coinciding bursts of several controllers.
const USABLE_SHARE: f64 = 0.9;
/// Maximum debt, in seconds of changes. The store itself counts the changes of one second, and has
/// rejected any beyond them. With an unbounded debt, 40 acquisitions that the store rejected one
/// after the other left a controller without budget for more than a minute: it claimed no machine,
/// and no task was started.
const MAX_DEBT_SECONDS: f64 = 2.0;

impl WriteBudget {
    /// Creates a budget with one available change.
    pub fn new(now: Micros) -> Self {
        WriteBudget {
            rate: 1.0,
            balance: 1.0,
            now,
            allowed_share: 1.0,
            throttled_at: 0,
            denied: BTreeMap::new(),
        }
    }

    /// Adds the changes for the time since the last refill. `limit` is the store's limit in changes
    /// per second, which `sharers` controllers share.
    pub fn refill(&mut self, now: Micros, limit: f64, sharers: usize) {
        let elapsed_s = now.saturating_sub(self.now) as f64 / SECOND as f64;
        self.now = now;
        self.allowed_share = (self.allowed_share + elapsed_s * SHARE_REGAINED_PER_SECOND).min(1.0);
        self.rate = (limit * self.allowed_share * USABLE_SHARE / sharers.max(1) as f64).max(0.5);
        self.balance = (self.balance + elapsed_s * self.rate).min(self.rate.max(2.0));
    }

    /// Records that the store throttled a change, which lowers the rate. Rejections within one
    /// second count once; reports whether this one counted.
    pub fn record_throttling(&mut self, now: Micros) -> bool {
        if now.saturating_sub(self.throttled_at) < SECOND && self.throttled_at > 0 {
            return false;
        }
        self.throttled_at = now;
        self.allowed_share = (self.allowed_share * THROTTLE_FACTOR).max(MIN_ALLOWED_SHARE);
        self.balance = self.balance.min(0.0);
        true
    }

    /// Spends `count` changes if [`allows`](Self::allows) permits them; reports whether it did.
    /// Otherwise the denial is recorded as by
    /// [`check_or_record_denial`](Self::check_or_record_denial).
    pub fn try_spend(&mut self, write_kind: WriteKind, count: usize) -> bool {
        let is_available = self.check_or_record_denial(write_kind, count);
        if is_available {
            self.spend(count);
        }
        is_available
    }

    /// Reports whether `count` changes are available in addition to the reserve for more urgent
    /// kinds. A full budget allows any number of changes, since a transaction may need more than it
    /// can hold.
    pub fn allows(&self, write_kind: WriteKind, count: usize) -> bool {
        let capacity = self.rate.max(2.0);
        let needed = (count as f64 + write_kind.reserved_share() * self.rate).min(capacity);
        self.balance + 1e-9 >= needed
    }

    /// Reports whether `count` changes are available for a pending change, without spending them.
    /// Otherwise records the denial of a kind that has priority over submissions, so that these
    /// have to wait once the kind is starved.
    pub fn check_or_record_denial(&mut self, write_kind: WriteKind, count: usize) -> bool {
        let is_available = self.allows(write_kind, count);
        if is_available {
            self.denied.remove(&write_kind);
        } else if write_kind <= WriteKind::Claim {
            let now = self.now;
            let denial = self.denied.entry(write_kind).or_insert(Denial { since: now, last: now });
            if now.saturating_sub(denial.last) >= STARVATION_DELAY {
                denial.since = now;
            }
            denial.last = now;
        }
        is_available
    }

    /// Spends changes that are made in any case, if necessary as debt.
    pub fn spend(&mut self, count: usize) {
        let min_balance = -MAX_DEBT_SECONDS * self.rate.max(2.0);
        // Existing debt remains, even if the rate, and with it the maximum debt, has decreased
        // since.
        self.balance = (self.balance - count as f64).max(min_balance.min(self.balance));
    }

    /// Reports whether new submissions have to wait: the debt exceeds the changes of one second, or
    /// a kind with priority over submissions is starved. Without the second condition, a flood of
    /// submissions consumed each change as it became available, so that no machine was claimed and
    /// no task started.
    pub fn is_exhausted(&self) -> bool {
        let is_starved = self.denied.values().any(|denial| denial.is_starved(self.now));
        is_starved || self.balance < -self.rate.max(2.0)
    }
}

#[cfg(test)]
mod tests;
