//! The age of the cache's view of the store.
//!
//! [`View`] owns the time before which all commits are in the cache, and the reads of the revision
//! that the cache has not caught up with. Invariant: the view dates from the sending of a read, and
//! only once the cache has reached the revision that the read returned.

use quartzlever_wire::store::StoreCall;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::Config;
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// A view that is older than the longest watch plus this margin is renewed by a read.
const VIEW_AGE_MARGIN: Micros = SECOND;
/// Shortest time between two reads of the revision.
const MIN_READ_INTERVAL: Micros = SECOND / 2;

/// A read of the revision that the cache has not caught up with.
#[derive(Debug)]
struct RevisionRead {
    revision: u64,
    sent: Micros,
}

/// The age of the view.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Time before which all commits are in the cache: when the latest read or listing that it has
    /// caught up with was sent.
    as_of: Micros,
    pending_reads: Vec<RevisionRead>,
    /// Whether a read of the revision that serves only the view is pending. There is at most one,
    /// since lease renewals share the threads, and each call to an unreachable store occupies one
    /// until it times out.
    is_reading: bool,
    next_read_at: Micros,
}

impl View {
    /// Returns the time before which all commits are in the cache.
    pub fn as_of(&self) -> Micros {
        self.as_of
    }

    /// Records that a read sent at `sent` returned `revision` as the store's current revision.
    pub fn record_revision_read(&mut self, revision: u64, sent: Micros) {
        self.pending_reads.push(RevisionRead { revision, sent });
    }

    /// Records a complete listing whose first page was requested at `sent`.
    pub fn record_listing(&mut self, sent: Micros) {
        self.as_of = self.as_of.max(sent);
    }

    /// Renews the view by the reads that the cache, now at `cache_revision`, has caught up with.
    pub fn catch_up(&mut self, cache_revision: u64) {
        let mut as_of = self.as_of;
        self.pending_reads.retain(|read| {
            let reached = read.revision <= cache_revision;
            if reached {
                as_of = as_of.max(read.sent);
            }
            !reached
        });
        self.as_of = as_of;
    }

    /// Reads the revision if the view is older than the longest watch plus [`VIEW_AGE_MARGIN`], or
    /// dates from before the lease was regained.
    pub fn poll(
        &mut self,
        now: Micros,
        config: &Config,
        lease_regained_at: Micros,
        outbox: &mut Outbox,
    ) {
        let is_too_old = now.saturating_sub(self.as_of) > config.watch_hold() + VIEW_AGE_MARGIN;
        let predates_lease = self.as_of < lease_regained_at;
        if !(is_too_old || predates_lease) || self.is_reading || now < self.next_read_at {
            return;
        }
        self.is_reading = true;
        self.next_read_at = now + MIN_READ_INTERVAL;
        let pending = PendingStoreCall::Revision { lookups: Vec::new(), sent: now };
        outbox.call_store(CallPriority::Lease, StoreCall::Revision, pending);
    }

    /// Records the reply to the read, or its failure.
    pub fn record_read_reply(&mut self) {
        self.is_reading = false;
    }
}

#[cfg(test)]
mod tests;
