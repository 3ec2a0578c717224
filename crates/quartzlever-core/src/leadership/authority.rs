//! The time until which this process may act for its partitions.
//!
//! Invariant: the process acts only while its lease is certainly valid *and* its view of the jobs
//! is fresh. Neither implies the other: when the store refused the calls of one leader and then
//! those of every node, that leader's lease was still valid while its watch delivered nothing, and
//! another node had already confirmed cancellations.

use quartzlever_wire::Micros;

use crate::config::Config;
use crate::leadership::lease::Lease;

/// The right to act for partitions, with the time at which it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Authority {
    expires_at: Micros,
}

impl Authority {
    /// Computes the authority from this lease and a view that contains everything committed before
    /// `view_as_of`.
    pub fn new(lease: &Lease, view_as_of: Micros, config: &Config) -> Self {
        // After a gap in the lease, the view must be at least as recent as the regained lease.
        let is_caught_up = view_as_of >= lease.regained_at();
        let expires_at = if lease.id().is_none() || !is_caught_up {
            0
        } else {
            lease.valid_until().min(view_as_of + config.max_view_age())
        };
        Authority { expires_at }
    }

    /// Returns the time after which no call that acts for a partition may be sent; 0 if none may be
    /// sent at all.
    pub fn expires_at(self) -> Micros {
        self.expires_at
    }

    /// Reports whether this process may act for its partitions.
    pub fn is_valid(self, now: Micros) -> bool {
        now < self.expires_at
    }
}

#[cfg(test)]
mod tests;
