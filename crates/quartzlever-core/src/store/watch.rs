//! The watch that keeps the cache fresh.
//!
//! Owns which watch is the latest, whether it is open, and when the next may be opened. One is open at a
//! time, unless its connection is dead. What the events of a watch mean is no concern of this module.

use quartzlever_wire::store::{StoreCall, StoreReply, WatchAnswer};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingStoreCall;
use crate::config::Config;
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::cache::Cache;

/// Share of the requests to the store that may open watches.
pub(crate) const WATCH_SHARE: f64 = 0.15;
/// Shortest time between two watches: what comes meanwhile comes together.
pub(crate) const WATCH_PAUSE: Micros = SECOND / 4;
const WATCH_DEAD: Micros = 3 * SECOND / 2;
/// After a watch that failed.
const RETRY: Micros = SECOND / 2;

/// The latest watch.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    number: u64,
    /// Since when it is open.
    opened_at: Option<Micros>,
    /// When the next one may be opened.
    next_at: Micros,
}

impl Watch {
    /// Opens a watch if none is open, or the open one is dead. The share of requests allows one each
    /// `min_interval`.
    pub fn poll(
        &mut self,
        now: Micros,
        config: &Config,
        min_interval: Micros,
        cache: &Cache,
        outbox: &mut Outbox,
    ) {
        // A watch that stays open although there is something to tell has a dead connection.
        let dead = self
            .opened_at
            .is_some_and(|since| now.saturating_sub(since) > WATCH_DEAD && cache.is_behind());
        if (self.opened_at.is_none() || dead) && now >= self.next_at {
            self.opened_at = Some(now);
            self.number += 1;
            self.next_at = now + min_interval.max(WATCH_PAUSE);
            let hold_ms = config.watch_hold() / 1000;
            let call = StoreCall::Watch { from: cache.revision(), hold_ms };
            let pending = PendingStoreCall::Watch { number: self.number, sent: now };
            outbox.call_store(CallPriority::Watch, call, pending);
        }
    }

    /// A watch has answered, or failed. Gives what the cache is to take in.
    pub fn answered(
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
            Ok(StoreReply::Watched(answer)) => cache.loaded().then_some(answer),
            // What an earlier watch missed, a later one or a listing has brought.
            Ok(StoreReply::TooOld) => {
                if is_latest {
                    cache.outdated();
                }
                None
            }
            _ => {
                self.next_at = now + RETRY;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
