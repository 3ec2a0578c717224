//! A rate limit that all nodes share.
//!
//! Owns this node's share of the limit. Never knows who else shares it: the core says how large it is.

use std::sync::Arc;
use std::time::Duration;

use quartzlever_clients::Budget;

/// Share of a limit that the nodes allow themselves together: bursts of several may meet.
pub const NODES_SHARE: f64 = 0.95;

/// What an outside system allows to all nodes, and this node's part of it.
#[derive(Clone)]
pub struct SharedLimit {
    /// Requests a second.
    total: f64,
    budget: Arc<Budget>,
}

impl SharedLimit {
    /// A limit of which this node takes a share.
    pub fn new(total: f64, share: f64) -> SharedLimit {
        SharedLimit { total, budget: Arc::new(Budget::new(total * share)) }
    }

    /// Sets the share of this node in what the nodes allow themselves.
    pub fn set_share(&self, share: f64) {
        self.budget.set_rate(self.total * share * NODES_SHARE);
    }

    /// Waits until one request may be made; `false` if none may within `timeout`. A share of the budget,
    /// `keep`, is left to others.
    pub fn wait(&self, keep: f64, timeout: Duration) -> bool {
        self.budget.wait(1.0, keep, timeout)
    }
}
