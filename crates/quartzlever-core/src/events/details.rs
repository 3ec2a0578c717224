//! What some log events contain: counts, machines and violated invariants.

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::Micros;

use crate::autoscaling::ScaleInReason;
use crate::calls::AttemptKey;

/// An invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No `run` is sent for a job that the view shows as ended.
    NoRunOfEndedJob,
    /// No lease is renewed that keeps an attempt of a job alive beyond the time in which it has to
    /// end.
    NoRenewalForOverdueAttempt,
    /// A leader knows every machine that the records assign to its partition, unless it has
    /// terminated the machine itself.
    NoMachineMissing,
}

impl Display for Invariant {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::NoRunOfEndedJob => "no_run_of_ended_job",
            Invariant::NoRenewalForOverdueAttempt => "no_renewal_for_overdue_attempt",
            Invariant::NoMachineMissing => "no_machine_missing",
        })
    }
}

/// A violated invariant, with what is needed to trace it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    pub invariant: Invariant,
    pub partition: String,
    pub term: u64,
    /// Age of the view of the jobs, in microseconds.
    pub view_age: Micros,
    pub machine: String,
    /// The attempt that it concerns, if it concerns a single one.
    pub attempt: Option<AttemptKey>,
    /// When the attempt was placed, its job may have ended, or the partition was acquired, on the
    /// monotonic clock.
    pub since: Option<Micros>,
}

/// The number of requests rejected for one reason; displayed as `status:reason:count`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// Status code of the HTTP answer.
    pub status: u16,
    pub reason: &'static str,
    pub count: u32,
}

/// A terminated machine; displayed as `machine:reason`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TerminatedMachine {
    pub machine: String,
    /// `None` if the machine never came up.
    pub reason: Option<ScaleInReason>,
}

impl Display for RejectionCount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.status, self.reason, self.count)
    }
}

impl Display for TerminatedMachine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.reason {
            Some(reason) => write!(f, "{}:{reason}", self.machine),
            None => write!(f, "{}:never_came_up", self.machine),
        }
    }
}
