//! Run-time checks of what must hold for every command sent to a worker, whatever decided on it,
//! and of the machines that a leader knows.
//!
//! A violation is an error event, on which every test harness fails. The process goes on, without
//! the command that must not be sent.

use std::collections::HashSet;

use quartzlever_wire::Micros;
use quartzlever_wire::workers::{
    AttemptStatus, Heartbeat, TaskId, TaskPhase, WorkerCommand, WorkerCommands,
};

use crate::events::{Invariant, InvariantViolation, LogEvent};
use crate::leadership::authority::Permit;
use crate::machines::attempt::AttemptKey;
use crate::machines::listed_attempts::ListedAttempts;
use crate::partition::Partition;
use crate::store::cache::Cache;

impl Partition {
    /// Removes from a message to a machine the commands that must never be sent, and reports them.
    pub(super) fn remove_forbidden_commands(
        &mut self,
        machine: &str,
        message: &mut WorkerCommands,
        permit: Permit,
        view: &Cache,
    ) {
        self.remove_runs_of_ended_jobs(machine, &mut message.commands, permit, view);
        self.remove_unfenced_clears(machine, message, permit);
    }

    /// Removes each `clear` of an attempt that a copy of an earlier direct call would start again,
    /// and reports it.
    fn remove_unfenced_clears(
        &mut self,
        machine: &str,
        message: &mut WorkerCommands,
        permit: Permit,
    ) {
        let Some(state) = self.machines.get(machine) else { return };
        let (partition, fencing_token) = (&self.name, message.fencing_token);
        let log_events = &mut self.log_events;
        message.commands.retain(|command| {
            let WorkerCommand::Clear { task, attempt } = command else { return true };
            let key = AttemptKey { task: task.clone(), attempt: *attempt };
            let Some(attempt) = state.attempts.get(&key) else { return true };
            if attempt.is_fenced_by(fencing_token) {
                return true;
            }
            log_events.push(LogEvent::InvariantViolated(Box::new(InvariantViolation {
                invariant: Invariant::NoUnfencedClear,
                partition: partition.clone(),
                term: permit.term(),
                view_age: permit.view_age(),
                machine: machine.to_owned(),
                attempt: Some(key),
                since: Some(attempt.placed_at),
            })));
            false
        });
    }

    /// Reports an attempt of this term that a newer status lists although it was removed before,
    /// after it was cleared or could not start any more.
    pub(super) fn check_unknown_attempt(
        &mut self,
        machine: &str,
        status: &AttemptStatus,
        now: Micros,
    ) {
        let may_be_expired =
            self.machines.get(machine).is_none_or(|m| status.attempt <= m.last_expired_attempt);
        if may_be_expired || !self.is_attempt_of_term(status.attempt) {
            return;
        }
        self.log_events.push(LogEvent::InvariantViolated(Box::new(InvariantViolation {
            invariant: Invariant::NoClearedAttemptListed,
            partition: self.name.clone(),
            term: self.term,
            view_age: 0,
            machine: machine.to_owned(),
            attempt: Some(AttemptKey { task: status.task.clone(), attempt: status.attempt }),
            since: Some(now),
        })));
    }

    /// Removes from the commands for a machine each `run` of a job that `view` shows as ended, and
    /// reports it.
    fn remove_runs_of_ended_jobs(
        &mut self,
        machine: &str,
        commands: &mut Vec<WorkerCommand>,
        permit: Permit,
        view: &Cache,
    ) {
        commands.retain(|command| {
            let WorkerCommand::Run { task, attempt } = command else { return true };
            if !view.shows_as_ended(&task.job) {
                return true;
            }
            let key = AttemptKey { task: task.clone(), attempt: *attempt };
            let placed_at = self
                .machines
                .get(machine)
                .and_then(|m| m.attempts.get(&key))
                .map(|attempt| attempt.placed_at);
            self.log_events.push(LogEvent::InvariantViolated(Box::new(InvariantViolation {
                invariant: Invariant::NoRunOfEndedJob,
                partition: self.name.clone(),
                term: permit.term(),
                view_age: permit.view_age(),
                machine: machine.to_owned(),
                attempt: Some(key),
                since: placed_at,
            })));
            false
        });
    }

    /// Reports each attempt of a job that ended before `ended_before` which the answer to this
    /// heartbeat keeps alive, because it renews the machine's lease and does not kill the attempt.
    /// An attempt that the heartbeat lists as exited stays so in its incarnation, even if the
    /// heartbeat is from before a takeover and proves nothing else.
    pub(super) fn check_renewal(
        &mut self,
        heartbeat: &Heartbeat,
        commands: &[WorkerCommand],
        permit: Permit,
        ended_before: Micros,
    ) {
        let Some(state) = self.machines.get(&heartbeat.machine) else { return };
        let ended = state.attempts_of_ended_jobs();
        let mut overdue = ended.filter(|(_, ended_at)| *ended_at < ended_before).peekable();
        if overdue.peek().is_none() {
            return;
        }
        let listed = ListedAttempts::of(heartbeat);
        let is_listed_as_exited = |key: &AttemptKey| {
            heartbeat.incarnation == state.incarnation
                && listed.get(key).is_some_and(|status| status.phase == TaskPhase::Exited)
        };
        let killed: HashSet<(&TaskId, u64)> = commands.iter().filter_map(killed_attempt).collect();
        for (key, ended_at) in overdue {
            if is_listed_as_exited(key) || killed.contains(&(&key.task, key.attempt)) {
                continue;
            }
            self.log_events.push(LogEvent::InvariantViolated(Box::new(InvariantViolation {
                invariant: Invariant::NoRenewalForOverdueAttempt,
                partition: self.name.clone(),
                term: permit.term(),
                view_age: permit.view_age(),
                machine: heartbeat.machine.clone(),
                attempt: Some(key.clone()),
                since: Some(ended_at),
            })));
        }
    }

    /// Reports, once in a term, a machine that the records assign to this partition, which lacks it
    /// although it is loaded and has not terminated the machine.
    pub(crate) fn check_missing_machine(&mut self, machine: &str, view_age: Micros) {
        if !self.is_loaded()
            || self.machines.contains_key(machine)
            || self.fleet.terminated.contains(machine)
            || !self.reported_missing.insert(machine.to_owned())
        {
            return;
        }
        self.log_events.push(LogEvent::InvariantViolated(Box::new(InvariantViolation {
            invariant: Invariant::NoMachineMissing,
            partition: self.name.clone(),
            term: self.term,
            view_age,
            machine: machine.to_owned(),
            attempt: None,
            since: Some(self.acquired_at),
        })));
    }
}

/// Returns the attempt that a command kills, if it is a kill.
fn killed_attempt(command: &WorkerCommand) -> Option<(&TaskId, u64)> {
    match command {
        WorkerCommand::Kill { task, attempt, .. } => Some((task, *attempt)),
        WorkerCommand::Run { .. } | WorkerCommand::Clear { .. } => None,
    }
}

#[cfg(test)]
mod tests;
