//! Whether the store is reachable from this node and from its peers.
//!
//! This component decides nothing about partitions: only the lease bounds who may act for them. It
//! distinguishes an outage of the store from a node that alone is isolated from it. An isolated
//! node reports that it is not ready, and names no leaders from a cache that is no longer updated.

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::outbox::Outbox;

/// The store counts as unreachable after this time without a reply. Lease renewals are more
/// frequent, so a reachable store replies within it.
const UNREACHABLE_AFTER: Micros = 4 * SECOND;
/// Interval at which the peers are asked whether they reach the store while this node does not.
const PEER_PROBE_INTERVAL: Micros = SECOND;
/// How long a peer's reply that it reaches the store remains valid.
const PEER_REPLY_LIFETIME: Micros = 3 * PEER_PROBE_INTERVAL;

/// The time of the store's last reply, and what peers report about the store while it does not
/// reply.
#[derive(Debug)]
pub(crate) struct StoreConnectivity {
    last_reply_at: Micros,
    /// When a peer last reported that it reaches the store while this node does not.
    isolated_at: Option<Micros>,
    last_peer_probe_at: Micros,
    /// Whether the current outage has been logged.
    outage_logged: bool,
}

impl StoreConnectivity {
    /// Creates the state as if the store had replied at `now`.
    pub fn new(now: Micros) -> Self {
        StoreConnectivity {
            last_reply_at: now,
            isolated_at: None,
            last_peer_probe_at: 0,
            outage_logged: false,
        }
    }

    /// Reports whether the store has replied within [`UNREACHABLE_AFTER`].
    pub fn is_reachable(&self, now: Micros) -> bool {
        now < self.last_reply_at + UNREACHABLE_AFTER
    }

    /// Reports whether, according to a recent peer reply, the store is reachable from other nodes
    /// but not from this one.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.isolated_at.is_some_and(|at| now < at + PEER_REPLY_LIFETIME)
    }

    /// Handles a reply of the store, which ends an outage.
    pub fn record_store_reply(&mut self, now: Micros, outbox: &mut Outbox) {
        let duration = now.saturating_sub(self.last_reply_at);
        self.last_reply_at = now;
        self.isolated_at = None;
        if std::mem::take(&mut self.outage_logged) {
            outbox.log(LogLevel::Info, || LogEvent::StoreReachable { duration });
        }
    }

    /// Handles a peer's reply that it reaches the store.
    pub fn record_peer_reply(&mut self, now: Micros, outbox: &mut Outbox) {
        // A reply that arrives after the outage has ended says nothing about the present.
        if self.outage_logged && self.isolated_at.replace(now).is_none() {
            outbox.log(LogLevel::Info, || LogEvent::IsolatedFromStore);
        }
    }

    /// Asks the peers at intervals, while the store does not reply, whether they reach it.
    pub fn poll(&mut self, now: Micros, config: &Config, outbox: &mut Outbox) {
        if self.is_reachable(now) || now < self.last_peer_probe_at + PEER_PROBE_INTERVAL {
            return;
        }
        self.last_peer_probe_at = now;
        if !std::mem::replace(&mut self.outage_logged, true) {
            let duration = UNREACHABLE_AFTER;
            outbox.log(LogLevel::Info, || LogEvent::StoreUnreachable { duration });
        }
        for node in config.nodes.iter().filter(|node| **node != config.node) {
            let request = PeerRequest::StoreConnectivity;
            outbox.call_peer(node, request, PendingPeerCall::StoreConnectivity);
        }
    }
}

#[cfg(test)]
mod tests;
