//! The age of the view that the cache gives.
//!
//! Owns the moment up to which everything committed is in the cache, and the reads of the revision that the
//! cache has not caught up with. The invariant: the view counts from the sending of a read, and only once
//! the cache has come to the revision which that read brought.

use quartzlever_wire::store::StoreCall;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::Config;
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// A view that is older than the longest watch by this much is renewed by a read.
const VIEW_LATE: Micros = SECOND;
/// Shortest time between two reads.
const READ_INTERVAL: Micros = SECOND / 2;

/// A read of the revision that the cache has not caught up with.
#[derive(Debug)]
struct RevisionRead {
    revision: u64,
    sent: Micros,
}

/// How old the view is.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Everything that was committed before this moment is in the cache: the sending of the latest
    /// read that it has caught up with.
    as_of: Micros,
    pending_reads: Vec<RevisionRead>,
    /// The revision is being read for the age of the view alone: once at a time, since renewals
    /// share the threads and each call to a store that is away takes its whole patience.
    is_reading: bool,
    next_read_at: Micros,
}

impl View {
    /// Everything that was committed before this moment is in the cache.
    pub fn as_of(&self) -> Micros {
        self.as_of
    }

    /// A read sent at that moment has shown this revision to be the present one.
    pub fn revision_read(&mut self, revision: u64, sent: Micros) {
        self.pending_reads.push(RevisionRead { revision, sent });
    }

    /// All records were listed, beginning at that moment.
    pub fn listed(&mut self, sent: Micros) {
        self.as_of = self.as_of.max(sent);
    }

    /// The cache has come to this revision.
    pub fn catch_up(&mut self, present_revision: u64) {
        let mut as_of = self.as_of;
        self.pending_reads.retain(|read| {
            let reached = read.revision <= present_revision;
            if reached {
                as_of = as_of.max(read.sent);
            }
            !reached
        });
        self.as_of = as_of;
    }

    /// Reads the revision when the watch has not shown for long that the view is fresh, and after
    /// each time without a sure lease.
    pub fn poll(
        &mut self,
        now: Micros,
        config: &Config,
        lease_regained_at: Micros,
        outbox: &mut Outbox,
    ) {
        let is_aged = now.saturating_sub(self.as_of) > config.watch_hold() + VIEW_LATE;
        let behind = self.as_of < lease_regained_at;
        if !(is_aged || behind) || self.is_reading || now < self.next_read_at {
            return;
        }
        self.is_reading = true;
        self.next_read_at = now + READ_INTERVAL;
        let waiting = PendingStoreCall::Revision { asked: Vec::new(), sent: now };
        outbox.call_store(CallPriority::Lease, StoreCall::Revision, waiting);
    }

    /// The read is answered, or has failed.
    pub fn read_answered(&mut self) {
        self.is_reading = false;
    }
}

#[cfg(test)]
mod tests;
