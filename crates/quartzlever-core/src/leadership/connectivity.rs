//! Whether the store is reached from this node, and from its peers.
//!
//! It decides nothing about partitions: the lease alone bounds who may act for them. It tells a store
//! that is away for everybody from a node that alone is cut off from it, so that such a node says
//! that it is not ready, and names no leaders out of a cache that is no longer fed.

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::outbox::Outbox;

/// The store counts as out of reach after this time; a lease is renewed more often.
const UNREACHABLE_AFTER: Micros = 4 * SECOND;
/// How often the peers are asked meanwhile.
const PEER_PROBE_INTERVAL: Micros = SECOND;
/// How long a peer's word that the store is reached from there counts.
const ISOLATION_LIFETIME: Micros = 3 * PEER_PROBE_INTERVAL;

/// When the store last answered, and what peers say of it while it does not.
#[derive(Debug)]
pub(crate) struct StoreConnectivity {
    last_reply_at: Micros,
    /// When a peer last said that it is reached from there while it is not from here.
    isolated_at: Option<Micros>,
    peers_asked_at: Micros,
    /// The log was told that it is out of reach.
    outage_logged: bool,
}

impl StoreConnectivity {
    /// As if the store had answered just now.
    pub fn new(now: Micros) -> Self {
        StoreConnectivity {
            last_reply_at: now,
            isolated_at: None,
            peers_asked_at: 0,
            outage_logged: false,
        }
    }

    /// Whether the store has answered lately.
    pub fn is_reached(&self, now: Micros) -> bool {
        now < self.last_reply_at + UNREACHABLE_AFTER
    }

    /// Whether the store answers others and not this node, as far as is known.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.isolated_at.is_some_and(|at| now < at + ISOLATION_LIFETIME)
    }

    /// The store has answered.
    pub fn store_replied(&mut self, now: Micros, outbox: &mut Outbox) {
        let duration = now.saturating_sub(self.last_reply_at);
        self.last_reply_at = now;
        self.isolated_at = None;
        if std::mem::take(&mut self.outage_logged) {
            outbox.log(LogLevel::Info, || LogEvent::StoreReachable { duration });
        }
    }

    /// A peer reaches the store while this node does not.
    pub fn peer_reaches_store(&mut self, now: Micros, outbox: &mut Outbox) {
        // A late answer says nothing of the present.
        if self.outage_logged && self.isolated_at.replace(now).is_none() {
            outbox.log(LogLevel::Info, || LogEvent::IsolatedFromStore);
        }
    }

    /// Asks the peers, while the store gives no answer, whether they reach it.
    pub fn poll(&mut self, now: Micros, config: &Config, outbox: &mut Outbox) {
        if self.is_reached(now) || now < self.peers_asked_at + PEER_PROBE_INTERVAL {
            return;
        }
        self.peers_asked_at = now;
        if !std::mem::replace(&mut self.outage_logged, true) {
            let duration = UNREACHABLE_AFTER;
            outbox.log(LogLevel::Info, || LogEvent::StoreUnreachable { duration });
        }
        for node in config.nodes.iter().filter(|node| **node != config.node) {
            let request = PeerRequest::StoreConnectivity;
            outbox.ask_peer(node, request, PendingPeerCall::StoreConnectivity);
        }
    }
}

#[cfg(test)]
mod tests;
