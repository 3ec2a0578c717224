//! Lookups of jobs, many at a time: one cheap read brings the present revision, and once the
//! watched copy has come as far, all that waited are answered from it. So no answer is older than
//! any that was given before the question came. What the cache does not know is read.
//!
//! Owns the questions that wait. It answers none of them: it gives out which can be answered from the
//! cache, and which have waited too long for that.

use std::collections::VecDeque;

use quartzlever_wire::store::StoreCall;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::{PendingLookup, PendingStoreCall};
use crate::messages::{CallPriority, RequestId};
use crate::outbox::Outbox;
use crate::store::cache::Cache;

/// Share of the requests to the store that may bring revisions.
pub(crate) const REVISION_SHARE: f64 = 0.2;
/// A copy that has not come as far by then is not waited for.
const PATIENCE: Micros = SECOND * 7 / 10;
/// Lookups that may wait; more are turned away at once, to come again. They wait for one read of the
/// revision, tens of milliseconds, so 20,000 a second may come, however many machines there are.
const MOST: usize = 2_000;

/// The questions that wait.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    /// For a read of the revision.
    waiting: Vec<PendingLookup>,
    is_reading: bool,
    next_read_at: Micros,
    /// For the cache to come to a revision.
    fenced: VecDeque<Fenced>,
}

/// Questions that wait for the cache to come to a revision.
#[derive(Debug)]
struct Fenced {
    revision: u64,
    asked: Vec<PendingLookup>,
}

impl Lookups {
    /// A user asks for a job; `false` if too many wait already.
    pub fn ask(&mut self, now: Micros, id: RequestId, job: String) -> bool {
        let fenced: usize = self.fenced.iter().map(|fenced| fenced.asked.len()).sum();
        if self.waiting.len() + fenced >= MOST {
            return false;
        }
        self.waiting.push(PendingLookup { id, job, since: now });
        true
    }

    /// Reads the revision for all that wait for it. The share of requests allows that each
    /// `min_interval`.
    pub fn poll(&mut self, now: Micros, min_interval: Micros, outbox: &mut Outbox) {
        if self.waiting.is_empty() || self.is_reading || now < self.next_read_at {
            return;
        }
        self.is_reading = true;
        self.next_read_at = now + min_interval;
        let asked = std::mem::take(&mut self.waiting);
        let pending = PendingStoreCall::Revision { asked, sent: now };
        outbox.call_store(CallPriority::User, StoreCall::Revision, pending);
    }

    /// The read of the revision is answered, or has failed.
    pub fn read_answered(&mut self) {
        self.is_reading = false;
    }

    /// These questions wait for the cache to come to a revision from now on.
    pub fn wait_for(&mut self, revision: u64, asked: Vec<PendingLookup>) {
        self.fenced.push_back(Fenced { revision, asked });
    }

    /// The next questions that the cache is new enough for.
    pub fn take_answerable(&mut self, cache: &Cache) -> Option<Vec<PendingLookup>> {
        let first = self.fenced.front()?;
        if !cache.loaded() || first.revision > cache.revision() {
            return None;
        }
        self.fenced.pop_front().map(|fenced| fenced.asked)
    }

    /// The next questions that have waited too long, since the cache lags behind or there is none: the oldest
    /// first.
    pub fn take_overdue(&mut self, now: Micros) -> Option<Vec<PendingLookup>> {
        let first = self.fenced.front()?.asked.first();
        if first.is_some_and(|asked| now.saturating_sub(asked.since) <= PATIENCE) {
            return None;
        }
        self.fenced.pop_front().map(|fenced| fenced.asked)
    }
}

#[cfg(test)]
mod tests;
