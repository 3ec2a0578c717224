//! Decides which actions of a leader are allowed, and until when.
//!
//! Invariant: the process acts only while its lease is certainly valid *and* its view of the jobs
//! is fresh. Neither implies the other: when the store refused the calls of one leader and then
//! those of every node, that leader's lease was still valid while its watch delivered nothing, and
//! another node had already confirmed cancellations.
//!
//! Whether a worker's lease is renewed also depends on what its machine may still run: while an
//! attempt of an ended job may still start there, a renewal could keep it alive beyond `cancel_s`.
//!
//! The fencing token of a command is a revision of the store at which its partition was certainly
//! still led under the leader's term. So tokens can rise within a term, without a write, and every
//! later term is above all of them.
//!
//! Every call to a worker and every answer that renews a worker's lease needs a [`Permit`], which
//! only this module creates.

use std::fmt;

use quartzlever_wire::Micros;

use crate::config::Config;
use crate::leadership::lease::Lease;
use crate::store::cache::Cache;

/// What the right to act for partitions rests on: the lease of this process and its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Authority {
    /// The time until which the lease is certainly valid; `None` without a lease.
    lease_valid_until: Option<Micros>,
    lease_regained_at: Micros,
    /// The time before which all commits are in the view.
    view_as_of: Micros,
    max_view_age: Micros,
}

/// Returns the highest fencing token that the leader of a partition may use under its term: the
/// latest revision at which `view` shows the partition's key as written at `term`.
///
/// The key is written again only at a later revision, so the token of every later term is higher.
pub(crate) fn highest_fencing_token(partition: &str, term: u64, view: &Cache) -> u64 {
    let is_led_under_term =
        view.is_loaded() && view.partition(partition).is_some_and(|key| key.mod_revision == term);
    if is_led_under_term { term.max(view.revision()) } else { term }
}

/// The right to command workers and to renew their leases, until its deadline.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    term: u64,
    view_age: Micros,
    deadline: Micros,
    max_view_age: Micros,
}

/// The part of a heartbeat and of its partition's state on which the answer depends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatContext {
    /// Term under which this process leads the partition.
    pub term: u64,
    /// Whether the partition's jobs and machines are known.
    pub is_loaded: bool,
    /// The highest fencing token that the worker has seen.
    pub fencing_token: u64,
    /// The highest fencing token that this process has used for the machine under the term.
    pub issued_token: u64,
}

/// Why an action is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The process has no lease.
    NoLease,
    /// The lease may have expired.
    LeaseExpired,
    /// The view was read before the lease was regained, so it may lack what happened meanwhile.
    ViewPredatesLease,
    /// The view may lack a cancellation that was confirmed too long ago.
    ViewTooOld { age: Micros },
    /// The partition's records are not loaded yet.
    NotLoaded,
    /// The worker has seen the fencing token of a later term.
    LaterTerm { fencing_token: u64 },
    /// An attempt of a job that ended `age` ago may still start on the machine.
    EndNotConfirmed { age: Micros },
}

impl Authority {
    /// Computes the authority from this lease and a view that contains everything committed before
    /// `view_as_of`.
    pub fn new(lease: &Lease, view_as_of: Micros, config: &Config) -> Self {
        Authority {
            lease_valid_until: lease.id().map(|_| lease.valid_until()),
            lease_regained_at: lease.regained_at(),
            view_as_of,
            max_view_age: config.max_view_age(),
        }
    }

    /// Decides whether this process may act at all: start and stop tasks, claim machines, scale,
    /// steal. `term` is that of the partition for which it acts, or 0 if it acts for none.
    pub fn permit(self, term: u64, now: Micros) -> Result<Permit, Refusal> {
        let lease_valid_until = self.lease_valid_until.ok_or(Refusal::NoLease)?;
        // After a gap in the lease, the view must be at least as recent as the regained lease.
        if self.view_as_of < self.lease_regained_at {
            return Err(Refusal::ViewPredatesLease);
        }
        let view_age = self.view_age(now);
        let view_valid_until = self.view_as_of + self.max_view_age;
        if now >= lease_valid_until {
            return Err(Refusal::LeaseExpired);
        }
        if now >= view_valid_until {
            return Err(Refusal::ViewTooOld { age: view_age });
        }
        let deadline = lease_valid_until.min(view_valid_until);
        Ok(Permit { term, view_age, deadline, max_view_age: self.max_view_age })
    }

    /// Decides whether this process may handle the heartbeat of a machine in one of its partitions.
    /// The answer, which renews the worker's lease, also needs [`Permit::renew_lease`].
    pub fn permit_heartbeat(
        self,
        heartbeat: HeartbeatContext,
        now: Micros,
    ) -> Result<Permit, Refusal> {
        let permit = self.permit(heartbeat.term, now)?;
        if !heartbeat.is_loaded {
            return Err(Refusal::NotLoaded);
        }
        // A later fencing token means that a later term has begun, even if the watch has not
        // reported it yet.
        if heartbeat.fencing_token > heartbeat.issued_token {
            return Err(Refusal::LaterTerm { fencing_token: heartbeat.fencing_token });
        }
        Ok(permit)
    }

    /// Returns the age of the view.
    pub fn view_age(self, now: Micros) -> Micros {
        now.saturating_sub(self.view_as_of)
    }

    /// Returns the time from which the cloud must not be asked to terminate machines: a later
    /// leader may use them once the lease has expired.
    pub fn termination_deadline(self) -> Micros {
        self.lease_valid_until.unwrap_or(0)
    }
}

impl Permit {
    /// Decides whether the worker's lease may be renewed. `ended_at` is the earliest end of a job
    /// of which an attempt may still start on the machine, if there is one.
    ///
    /// A renewal keeps such an attempt alive for a lease, as it does for a job whose cancellation
    /// the view does not show yet, so the same bound holds for the time since the end of its job as
    /// for the age of the view.
    pub fn renew_lease(self, ended_at: Option<Micros>, now: Micros) -> Result<Permit, Refusal> {
        let Some(ended_at) = ended_at else { return Ok(self) };
        let last_renewal_at = ended_at + self.max_view_age;
        if now >= last_renewal_at {
            return Err(Refusal::EndNotConfirmed { age: now.saturating_sub(ended_at) });
        }
        Ok(Permit { deadline: self.deadline.min(last_renewal_at), ..self })
    }

    /// Returns the time before which a job must not have ended for an attempt of it that a renewal
    /// at `now` keeps alive.
    pub fn earliest_end(self, now: Micros) -> Micros {
        now.saturating_sub(self.max_view_age)
    }

    /// Returns the term of the partition for which the permit was given; 0 if for none.
    pub fn term(self) -> u64 {
        self.term
    }

    /// Returns the age of the view when the permit was given.
    pub fn view_age(self) -> Micros {
        self.view_age
    }

    /// Returns the time from which the permit is void.
    pub fn deadline(self) -> Micros {
        self.deadline
    }

    /// Returns a permit of term 5 that is void from `deadline` on.
    #[cfg(test)]
    pub fn until(deadline: Micros) -> Permit {
        Permit { term: 5, view_age: 0, deadline, max_view_age: Micros::MAX / 2 }
    }
}

impl Refusal {
    /// Returns the reason for the client and for the count of rejected requests.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::EndNotConfirmed { .. } => "end not confirmed",
            _ => "not entitled",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NoLease => "no_lease",
            Refusal::LeaseExpired => "lease_expired",
            Refusal::ViewPredatesLease => "view_predates_lease",
            Refusal::ViewTooOld { .. } => "view_too_old",
            Refusal::NotLoaded => "not_loaded",
            Refusal::LaterTerm { .. } => "later_term",
            Refusal::EndNotConfirmed { .. } => "end_not_confirmed",
        })
    }
}

#[cfg(test)]
mod tests;
