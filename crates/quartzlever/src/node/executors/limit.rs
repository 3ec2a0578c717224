//! A rate limit that all nodes share.
//!
//! The core sets how large this node's share is; which other nodes share the limit is not known
//! here.

use std::sync::Arc;
use std::time::Duration;

use quartzlever_clients::Budget;

/// Share of a limit that all nodes use together. The rest absorbs bursts of several nodes at once.
pub const NODES_SHARE: f64 = 0.95;

/// The rate limit of an external system, and this node's budget within it.
#[derive(Clone)]
pub struct SharedLimit {
    /// Requests per second that all nodes together may make.
    total: f64,
    budget: Arc<Budget>,
}

impl SharedLimit {
    /// Creates a limit of which this node uses `share`, a share of the whole limit.
    pub fn new(total: f64, share: f64) -> SharedLimit {
        SharedLimit { total, budget: Arc::new(Budget::new(total * share)) }
    }

    /// Sets this node's share of what all nodes use together, which is [`NODES_SHARE`] of the
    /// limit.
    pub fn set_share(&self, share: f64) {
        self.budget.set_rate(self.total * share * NODES_SHARE);
    }

    /// Waits until one request may be made; returns `false` if none may within `timeout`. The share
    /// `reserve` of the budget is left to other calls.
    pub fn wait(&self, reserve: f64, timeout: Duration) -> bool {
        self.budget.wait(1.0, reserve, timeout)
    }
}
