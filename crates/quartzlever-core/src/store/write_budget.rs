//! What this controller may still change in the store: its share of the changes a second,
//! and how much of it is kept for what matters more.
//!
//! Owns the account of changes and what it has found out of the store's limit. It writes nothing itself.
//! Two invariants: a kind of change that may wait finds something left for the more urgent ones, and what is
//! owed is bounded, so that whatever was tried, claims are made again within seconds.

use std::collections::BTreeMap;

use quartzlever_wire::{Micros, SECOND};

/// Kinds of changes, the most urgent first. Leases, partitions, submissions and cancellations are
/// always made, and may leave the account in debt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    /// The end of a job.
    Finish,
    /// The claim of a machine for a partition.
    Claim,
    /// Removing the records of returned machines. A new leader has to find out about each that is
    /// left: with these last of all, hundreds held up the recovery of whole partitions.
    GarbageCollection,
    /// Tasks that move between partitions.
    Move,
    /// What has finished of a job that goes on.
    Progress,
}

impl WriteKind {
    /// Share of a second's changes that is left for others.
    fn keeps(self) -> f64 {
        match self {
            WriteKind::Finish => 0.0,
            WriteKind::Claim => 0.1,
            WriteKind::GarbageCollection => 0.15,
            WriteKind::Move => 0.2,
            WriteKind::Progress => 0.35,
        }
    }
}

/// An account that fills at a rate and holds at most a second's worth.
#[derive(Debug)]
pub struct WriteBudget {
    /// Changes a second.
    rate: f64,
    level: f64,
    now: Micros,
    /// Share of the limit that the store was seen to allow, and when that last sank.
    allowed_share: f64,
    throttled_at: Micros,
    /// Kinds of changes that go before submissions and found nothing left.
    denied: BTreeMap<WriteKind, Denied>,
}

/// Since when a kind of change has been denied, and when it was last.
#[derive(Clone, Copy, Debug)]
struct Denied {
    since: Micros,
    last: Micros,
}

impl Denied {
    /// Whether it waits for too long. One that is not asked for any more waits for nothing.
    fn is_starved(self, now: Micros) -> bool {
        let lasts = now.saturating_sub(self.last) < STARVED_AFTER;
        lasts && self.last.saturating_sub(self.since) >= STARVED_AFTER
    }
}

/// A change that goes before submissions waits no longer than this for what they have taken.
const STARVED_AFTER: Micros = SECOND;

/// Once refused for coming too often, changes come so much slower, and come back to the limit at
/// this share of it a second.
const THROTTLE_FACTOR: f64 = 0.8;
const MIN_ALLOWED_SHARE: f64 = 0.1;
const SHARE_REGAINED_PER_SECOND: f64 = 0.005;
/// Share of the limit that is used at all: bursts of several controllers may meet.
const USABLE_SHARE: f64 = 0.9;
/// Never more than so many seconds' worth is owed. The store itself remembers a second; what was
/// asked beyond that it has refused. Without a bound 40 acquisitions that it had refused, one after
/// the other, left a controller without a change for more than a minute: it claimed no machine, and no
/// task was started.
const MAX_DEBT_SECONDS: f64 = 2.0;

impl WriteBudget {
    /// An account with one change in it.
    pub fn new(now: Micros) -> Self {
        WriteBudget {
            rate: 1.0,
            level: 1.0,
            now,
            allowed_share: 1.0,
            throttled_at: 0,
            denied: BTreeMap::new(),
        }
    }

    /// Time passes; `limit` is for all who change anything, `sharers` so many.
    pub fn refill(&mut self, now: Micros, limit: f64, sharers: usize) {
        let passed = now.saturating_sub(self.now) as f64 / SECOND as f64;
        self.now = now;
        self.allowed_share = (self.allowed_share + passed * SHARE_REGAINED_PER_SECOND).min(1.0);
        self.rate = (limit * self.allowed_share * USABLE_SHARE / sharers.max(1) as f64).max(0.5);
        self.level = (self.level + passed * self.rate).min(self.rate.max(2.0));
    }

    /// The store has refused a change for coming too often; whether that is news. What is
    /// refused together counts once.
    pub fn throttle(&mut self, now: Micros) -> bool {
        if now.saturating_sub(self.throttled_at) < SECOND && self.throttled_at > 0 {
            return false;
        }
        self.throttled_at = now;
        self.allowed_share = (self.allowed_share * THROTTLE_FACTOR).max(MIN_ALLOWED_SHARE);
        self.level = self.level.min(0.0);
        true
    }

    /// Takes `count` changes, if enough is left for what matters more. One more than a full
    /// account ever holds is let through when the account is full.
    pub fn try_spend(&mut self, write_kind: WriteKind, count: usize) -> bool {
        let has = self.try_reserve(write_kind, count);
        if has {
            self.spend(count);
        }
        has
    }

    /// Whether that much is left.
    pub fn has(&self, write_kind: WriteKind, count: usize) -> bool {
        let most = self.rate.max(2.0);
        let need = (count as f64 + write_kind.keeps() * self.rate).min(most);
        self.level + 1e-9 >= need
    }

    /// Whether that much is left for a change that waits to be made; if not, and it goes before
    /// submissions, these wait for it from some time on.
    pub fn try_reserve(&mut self, write_kind: WriteKind, count: usize) -> bool {
        let has = self.has(write_kind, count);
        if has {
            self.denied.remove(&write_kind);
        } else if write_kind <= WriteKind::Claim {
            let now = self.now;
            let denied = self.denied.entry(write_kind).or_insert(Denied { since: now, last: now });
            if now.saturating_sub(denied.last) >= STARVED_AFTER {
                denied.since = now;
            }
            denied.last = now;
        }
        has
    }

    /// Takes changes that are made in any case.
    pub fn spend(&mut self, count: usize) {
        let least = -MAX_DEBT_SECONDS * self.rate.max(2.0);
        // What is owed already stays owed, though the rate may have sunk since.
        self.level = (self.level - count as f64).max(least.min(self.level));
    }

    /// Whether so much is owed that new submissions have to wait, or changes that go before them do:
    /// a flood of submissions took each change as it came, no machine was claimed, and no task started.
    pub fn exhausted(&self) -> bool {
        let starved = self.denied.values().any(|denied| denied.is_starved(self.now));
        starved || self.level < -self.rate.max(2.0)
    }
}

#[cfg(test)]
mod tests;
