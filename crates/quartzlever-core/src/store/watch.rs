//! The watch that keeps the cache up to date.
//!
//! [`Watch`] owns the number of the latest watch, whether it is open, and when the next one may be
//! opened. Only one watch is open at a time, unless its connection is dead. The events of a watch
//! are handled by other modules.

use quartzlever_wire::store::{StoreCall, StoreReply, WatchAnswer};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::Config;
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::cache::Cache;

/// Share of the requests to the store that may open watches.
pub(crate) const WATCH_SHARE: f64 = 0.15;
/// Shortest time between two watches, so that changes in between are delivered together.
pub(crate) const MIN_WATCH_INTERVAL: Micros = SECOND / 4;
/// An open watch has a dead connection if it does not reply within this time although the store has
/// later changes.
const DEAD_WATCH_TIMEOUT: Micros = 3 * SECOND / 2;
/// Delay before the next watch after one failed.
const RETRY_DELAY: Micros = SECOND / 2;

/// The latest watch.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    number: u64,
    /// When the latest watch was opened, if it is open.
    opened_at: Option<Micros>,
    /// Earliest time to open the next watch.
    next_at: Micros,
}

impl Watch {
    /// Opens a watch if none is open or the open one has a dead connection. `min_interval` is the
    /// shortest time between two watches that [`WATCH_SHARE`] allows.
    pub fn poll(
        &mut self,
        now: Micros,
        config: &Config,
        min_interval: Micros,
        cache: &Cache,
        outbox: &mut Outbox,
    ) {
        // A working watch replies as soon as the store has later changes than the cache.
        let is_dead = self.opened_at.is_some_and(|opened_at| {
            now.saturating_sub(opened_at) > DEAD_WATCH_TIMEOUT && cache.is_behind()
        });
        if (self.opened_at.is_none() || is_dead) && now >= self.next_at {
            self.opened_at = Some(now);
            self.number += 1;
            self.next_at = now + min_interval.max(MIN_WATCH_INTERVAL);
            let hold_ms = config.watch_hold() / 1000;
            let call = StoreCall::Watch { from: cache.revision(), hold_ms };
            let pending = PendingStoreCall::Watch { number: self.number, sent: now };
            outbox.call_store(CallPriority::Watch, call, pending);
        }
    }

    /// Handles the reply to watch `number`, or its failure. Returns the answer if it is to be
    /// applied to the cache, which has to be loaded.
    pub fn handle_reply(
        &mut self,
        now: Micros,
        number: u64,
        result: Result<StoreReply, CallError>,
        cache: &mut Cache,
    ) -> Option<WatchAnswer> {
        let is_latest = number == self.number;
        if is_latest {
            self.opened_at = None;
        }
        match result {
            Ok(StoreReply::Watched(answer)) => cache.is_loaded().then_some(answer),
            // Changes that an earlier watch missed were delivered by a later one or by a listing.
            Ok(StoreReply::TooOld) => {
                if is_latest {
                    cache.mark_outdated();
                }
                None
            }
            _ => {
                self.next_at = now + RETRY_DELAY;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
