//! Until when this process may act for its partitions.
//!
//! Invariant: it acts only while its lease is surely alive *and* its view of the jobs fresh. One does
//! not follow from the other: while the store refused a leader alone and then everybody, its lease
//! lived on, its watch told nothing, and another node had confirmed cancellations.

use quartzlever_wire::Micros;

use crate::config::Config;
use crate::leadership::lease::Lease;

/// The right to act for partitions, as it stands at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Authority {
    expires_at: Micros,
}

impl Authority {
    /// What follows from this lease and from a view that shows all that was committed before
    /// `view_as_of`.
    pub fn new(lease: &Lease, view_as_of: Micros, config: &Config) -> Self {
        // After a time without a sure lease the view must have been read anew.
        let is_caught_up = view_as_of >= lease.regained_at();
        let expires_at = if lease.id().is_none() || !is_caught_up {
            0
        } else {
            lease.valid_until().min(view_as_of + config.max_view_age())
        };
        Authority { expires_at }
    }

    /// Nothing that acts for a partition may leave after this time; 0 if nothing may at all.
    pub fn expires_at(self) -> Micros {
        self.expires_at
    }

    /// Whether this process may act for its partitions.
    pub fn is_valid(self, now: Micros) -> bool {
        now < self.expires_at
    }
}

#[cfg(test)]
mod tests;
