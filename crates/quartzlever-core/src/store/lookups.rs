//! Batched lookups of jobs.
//!
//! One cheap read returns the store's current revision, and once the cache has reached it, all
//! lookups that waited are answered from the cache. So no answer is older than any answer given
//! before the lookup arrived. Jobs that the cache does not contain are read from the store.
//!
//! [`Lookups`] owns the waiting lookups. It does not answer them: it returns those that can be
//! answered from the cache, and those that have waited too long for it.

use std::collections::VecDeque;

use quartzlever_wire::store::StoreCall;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::{PendingLookup, PendingStoreCall};
use crate::messages::{CallPriority, RequestId};
use crate::outbox::Outbox;
use crate::store::cache::Cache;

/// Share of the requests to the store that may read the revision for lookups.
pub(crate) const REVISION_SHARE: f64 = 0.2;
/// Maximum time that a lookup waits for the cache; after it, its job is read from the store.
const LOOKUP_TIMEOUT: Micros = SECOND * 7 / 10;
/// Maximum number of waiting lookups; further ones are rejected at once and may be retried. Lookups
/// wait for one read of the revision, which takes tens of milliseconds, so 20,000 lookups a second
/// are possible, independent of the number of machines.
const MAX_WAITING_LOOKUPS: usize = 2_000;

/// The waiting lookups.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    /// Lookups that arrived since the last read of the revision was sent.
    awaiting_read: Vec<PendingLookup>,
    /// Whether a read of the revision is pending.
    is_reading: bool,
    next_read_at: Micros,
    /// Batches that wait for the cache to reach a revision, in the order of the reads.
    awaiting_cache: VecDeque<LookupBatch>,
}

/// Lookups that wait for the cache to reach `revision`.
#[derive(Debug)]
struct LookupBatch {
    revision: u64,
    lookups: Vec<PendingLookup>,
}

impl Lookups {
    /// Queues a user's lookup of a job; returns `false` if too many lookups are waiting.
    pub fn enqueue(&mut self, now: Micros, id: RequestId, job: String) -> bool {
        let awaiting_cache: usize =
            self.awaiting_cache.iter().map(|batch| batch.lookups.len()).sum();
        if self.awaiting_read.len() + awaiting_cache >= MAX_WAITING_LOOKUPS {
            return false;
        }
        self.awaiting_read.push(PendingLookup { id, job, queued_at: now });
        true
    }

    /// Reads the revision for all lookups that wait for it, unless a read is pending.
    /// `min_interval` is the shortest time between two reads that [`REVISION_SHARE`] allows.
    pub fn poll(&mut self, now: Micros, min_interval: Micros, outbox: &mut Outbox) {
        if self.awaiting_read.is_empty() || self.is_reading || now < self.next_read_at {
            return;
        }
        self.is_reading = true;
        self.next_read_at = now + min_interval;
        let lookups = std::mem::take(&mut self.awaiting_read);
        let pending = PendingStoreCall::Revision { lookups, sent: now };
        outbox.call_store(CallPriority::User, StoreCall::Revision, pending);
    }

    /// Records the reply to the read of the revision, or its failure.
    pub fn record_read_reply(&mut self) {
        self.is_reading = false;
    }

    /// Queues lookups until the cache reaches `revision`.
    pub fn queue_until(&mut self, revision: u64, lookups: Vec<PendingLookup>) {
        self.awaiting_cache.push_back(LookupBatch { revision, lookups });
    }

    /// Removes and returns the oldest batch of lookups if the cache is recent enough for it.
    pub fn take_answerable(&mut self, cache: &Cache) -> Option<Vec<PendingLookup>> {
        let first = self.awaiting_cache.front()?;
        if !cache.is_loaded() || first.revision > cache.revision() {
            return None;
        }
        self.awaiting_cache.pop_front().map(|batch| batch.lookups)
    }

    /// Removes and returns the oldest batch of lookups if it has waited longer than
    /// [`LOOKUP_TIMEOUT`], because the cache lags behind or is not loaded.
    pub fn take_overdue(&mut self, now: Micros) -> Option<Vec<PendingLookup>> {
        let first = self.awaiting_cache.front()?.lookups.first();
        if first.is_some_and(|lookup| now.saturating_sub(lookup.queued_at) <= LOOKUP_TIMEOUT) {
            return None;
        }
        self.awaiting_cache.pop_front().map(|batch| batch.lookups)
    }
}

#[cfg(test)]
mod tests;
