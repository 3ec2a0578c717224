//! What some log events contain: counts, machines and violated invariants.

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::workers::{WorkerCommand, WorkerReply};
use quartzlever_wire::{CallError, Micros};

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
    /// No attempt is cleared under a fencing token with which a direct call carried its `run`.
    NoUnfencedClear,
    /// No worker lists an attempt of the present term that was cleared before.
    NoClearedAttemptListed,
}

impl Display for Invariant {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::NoRunOfEndedJob => "no_run_of_ended_job",
            Invariant::NoRenewalForOverdueAttempt => "no_renewal_for_overdue_attempt",
            Invariant::NoMachineMissing => "no_machine_missing",
            Invariant::NoUnfencedClear => "no_unfenced_clear",
            Invariant::NoClearedAttemptListed => "no_cleared_attempt_listed",
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

/// How a direct call to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectCallResult {
    /// The worker executed the commands.
    Executed,
    /// The worker refused the commands because of their fencing token or incarnation.
    Refused,
    /// The call certainly did not reach the worker.
    NotSent,
    /// The commands may have been executed, or may still be.
    Unknown,
}

/// Returns the short form `verb:task:attempt` of each command.
pub(super) fn short_forms(commands: &[WorkerCommand]) -> Vec<String> {
    let short_form = |command: &WorkerCommand| match command {
        WorkerCommand::Run { task, attempt } => format!("run:{task}:{attempt}"),
        WorkerCommand::Kill { task, attempt, .. } => format!("kill:{task}:{attempt}"),
        WorkerCommand::Clear { task, attempt } => format!("clear:{task}:{attempt}"),
    };
    commands.iter().map(short_form).collect()
}

impl DirectCallResult {
    /// Returns how a call ended, given the reply to it.
    pub(crate) fn of(reply: &Result<WorkerReply, CallError>) -> Self {
        match reply {
            Ok(WorkerReply::Status(_)) => DirectCallResult::Executed,
            Ok(WorkerReply::Refused(_)) => DirectCallResult::Refused,
            Err(CallError::Unknown) => DirectCallResult::Unknown,
            Err(_) => DirectCallResult::NotSent,
        }
    }
}

impl Display for DirectCallResult {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DirectCallResult::Executed => "executed",
            DirectCallResult::Refused => "refused",
            DirectCallResult::NotSent => "not_sent",
            DirectCallResult::Unknown => "unknown",
        })
    }
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
