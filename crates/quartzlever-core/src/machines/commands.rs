//! Which commands a machine gets, with the answer to its heartbeat or by a direct call.
//!
//! A 200 renews the worker's lease and with it the life of whatever it runs, so every answer carries the kills that
//! it may carry. An attempt is cleared only when its end is taken account of and no command that could start it
//! again is under way: neither in an answer nor in a direct call of unknown outcome. Every command carries the
//! partition's term as its fencing token.

use quartzlever_wire::workers::{
    Cause, Heartbeat, TaskPhase, TaskStatus, WorkerCall, WorkerCommand, WorkerCommands, WorkerReply,
};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingWorkerCall;
use crate::config::Config;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::call_queue::CallLimits;
use crate::machines::machine::Machine;
use crate::machines::reconciliation::StatusSource;
use crate::messages::CallId;
use crate::outbox::Outbox;
use crate::partition::Partition;
use crate::scheduling::RunTimes;

/// Wait after a direct call that brought nothing.
const CALL_RETRY: Micros = 3 * SECOND;
/// As long, while the machine holds up a recovery.
const FENCING_CALL_RETRY: Micros = SECOND;
/// Direct calls under way at once, so that hung machines do not block the others. A call takes some
/// milliseconds, so thousands of machines are through in seconds; those that hang, 2 s each, would hold
/// up the rest for minutes, but the others come by themselves within a heartbeat interval.
const MAX_WORKER_CALLS: usize = 32;
/// As many, to fence machines, while most of them will still report by themselves.
const MAX_EARLY_FENCING_CALLS: usize = 24;

/// So many ended attempts are cleared for themselves alone.
const MIN_CLEARS_IN_ANSWER: usize = 4;

/// What a direct call brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DirectCallOutcome {
    /// The worker's status, which was taken in: the machine may have room now.
    StatusReceived,
    NothingLearned,
}

impl Machine {
    /// The commands that bring the worker to what is wanted. `clearable` says whether an
    /// exited attempt is accounted for.
    pub fn commands(
        &self,
        clearable: impl Fn(&AttemptKey, &Attempt) -> bool,
    ) -> Vec<WorkerCommand> {
        const MOST: usize = 200;
        let mut commands = Vec::new();
        for (key, state) in &self.attempts {
            let (task, attempt) = (key.task.clone(), key.attempt);
            if state.exited() {
                let spent = state.direct_command == DirectCommand::Settled && !state.in_answer;
                if state.accounted && spent && clearable(key, state) {
                    commands.push(WorkerCommand::Clear { task, attempt });
                }
            } else if !state.wanted && state.phase.is_some() {
                let saving = state.phase == Some(TaskPhase::Saving) && state.leeway_s > 0.0;
                if !saving {
                    commands.push(WorkerCommand::Kill { task, attempt, leeway_s: state.leeway_s });
                }
            }
        }
        for (key, state) in &self.attempts {
            // A `run` without effect may be repeated. An unwanted attempt that was never reported
            // is not: it leaves the table once a later heartbeat proves that it is not there.
            if state.wanted && !state.exited() && state.phase.is_none() {
                commands.push(WorkerCommand::Run { task: key.task.clone(), attempt: key.attempt });
            }
        }
        // Whatever does not fit, what has to end goes first.
        commands.sort_by_key(|o| !matches!(o, WorkerCommand::Kill { .. }));
        commands.truncate(MOST);
        commands
    }

    /// Whether a direct call may be made now.
    pub(super) fn callable(&self, now: Micros) -> bool {
        self.call.is_none() && !self.scaling_in && now >= self.no_call_before
    }

    /// Notes that a direct call carries all commands of this moment; gives the attempts whose `run` it carries.
    fn note_direct_commands(&mut self, now: Micros) -> Vec<AttemptKey> {
        let mut run_attempts = Vec::new();
        for (key, attempt) in &mut self.attempts {
            if attempt.exited() {
                continue;
            }
            if attempt.wanted && attempt.phase.is_none() {
                attempt.sent = true;
                if attempt.direct_command == DirectCommand::Settled {
                    attempt.direct_command = DirectCommand::InFlight;
                }
                run_attempts.push(key.clone());
            } else if !attempt.wanted {
                attempt.kill_sent = Some(now);
            }
        }
        run_attempts
    }

    /// A direct call has ended. Without `known` its commands may still arrive.
    fn settle_direct_call(&mut self, call_id: CallId, run_attempts: &[AttemptKey], known: bool) {
        if self.call == Some(call_id) {
            self.call = None;
        }
        for key in run_attempts {
            if let Some(attempt) = self.attempts.get_mut(key)
                && attempt.direct_command == DirectCommand::InFlight
            {
                attempt.direct_command =
                    if known { DirectCommand::Settled } else { DirectCommand::OutcomeUnknown };
            }
        }
    }

    /// A direct call brought nothing.
    fn note_failed_call(&mut self, now: Micros) {
        let pause = if self.verified { CALL_RETRY } else { FENCING_CALL_RETRY };
        self.no_call_before = now + pause;
        self.failed_calls += 1;
    }
}

impl Partition {
    /// Calls workers that have something urgent to be told, or have to be fenced; a call is not made any more
    /// after `until`.
    pub(crate) fn call_workers(
        &mut self,
        config: &Config,
        now: Micros,
        until: Micros,
        outbox: &mut Outbox,
    ) {
        if !self.active() {
            return;
        }
        let limits = CallLimits {
            urgent: MAX_WORKER_CALLS,
            fencing: self.max_fencing_calls(config, now),
            in_flight: outbox.worker_calls_in_flight(),
        };
        for machine in self.call_queue.due(&self.machines, limits, now) {
            self.call_worker(&machine, now, until, outbox);
        }
    }

    /// Heartbeats that come by themselves fence most machines; calls are for the rest. A call is
    /// dearer than a heartbeat, so a processor that is short of time for both waits for reports.
    fn max_fencing_calls(&self, config: &Config, now: Micros) -> usize {
        let since = now.saturating_sub(self.acquired);
        let heartbeat_interval = config.workers.heartbeat_interval;
        let short = self.machines.len() > config.machine_capacity / 2;
        match since {
            _ if short && since < heartbeat_interval / 2 => 0,
            _ if since < heartbeat_interval * 3 / 2 => MAX_EARLY_FENCING_CALLS,
            _ => MAX_WORKER_CALLS,
        }
    }

    /// Asks machines with replicas of services that are late with their heartbeat whether they are
    /// there: a replica on a dead machine runs nowhere, and silence alone shows it late.
    pub(crate) fn probe_late_service_machines(
        &mut self,
        config: &Config,
        now: Micros,
        until: Micros,
        outbox: &mut Outbox,
    ) {
        if !self.active() {
            return;
        }
        let late = config.late_heartbeat_after();
        let asked: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                m.verified
                    && now.saturating_sub(m.last_heartbeat_at) > late
                    && m.callable(now)
                    && m.serves()
            })
            .map(|m| m.name.clone())
            .take(MAX_WORKER_CALLS.saturating_sub(outbox.worker_calls_in_flight()))
            .collect();
        for machine in asked {
            self.call_worker(&machine, now, until, outbox);
        }
    }

    /// Calls a worker: with its commands, or for its status alone while no incarnation of it is known.
    fn call_worker(&mut self, name: &str, now: Micros, until: Micros, outbox: &mut Outbox) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let address = machine.record.address.clone();
        let mut run_attempts = Vec::new();
        let call = if machine.incarnation == 0 {
            WorkerCall::Status
        } else {
            run_attempts = machine.note_direct_commands(now);
            let incarnation = Some(machine.incarnation);
            WorkerCall::Command(WorkerCommands {
                fencing_token: self.term,
                incarnation,
                commands: self.commands_for(name, false),
            })
        };
        let pending = PendingWorkerCall {
            partition: self.name.clone(),
            term: self.term,
            machine: name.to_owned(),
            run_attempts,
            ..PendingWorkerCall::default()
        };
        let call_id = outbox.call_worker(address, call, pending, until);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.call = Some(call_id);
        }
    }

    /// A direct call of this partition under its present term has ended.
    pub(crate) fn worker_replied(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        call_id: CallId,
        call: &PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
        now: Micros,
    ) -> DirectCallOutcome {
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return DirectCallOutcome::NothingLearned;
        };
        self.call_queue.add_urgent(call.machine.clone());
        let known = !matches!(result, Err(CallError::Unknown));
        machine.settle_direct_call(call_id, &call.run_attempts, known);
        match result {
            Ok(WorkerReply::Status(status) | WorkerReply::Refused(status)) => {
                // Another machine may have come to live at the address, or somebody holds a later term.
                if status.machine != call.machine || status.fencing_token > call.term {
                    machine.no_call_before = now + CALL_RETRY;
                    return DirectCallOutcome::NothingLearned;
                }
                self.apply_heartbeat(config, run_times, &status, StatusSource::DirectReply, now);
                DirectCallOutcome::StatusReceived
            }
            Err(_) => {
                machine.note_failed_call(now);
                self.refresh(&call.machine);
                DirectCallOutcome::NothingLearned
            }
        }
    }

    /// The answer to a heartbeat, `is_newer` than what was known or not; `None` if the machine is not there.
    pub(crate) fn answer_to(
        &mut self,
        heartbeat: &Heartbeat,
        is_newer: bool,
        is_over: impl Fn(&str) -> bool,
        now: Micros,
    ) -> Option<WorkerCommands> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        // A late heartbeat's answer is dropped by the worker; the lease is taken as renewed all
        // the same, which errs on the safe side.
        machine.last_answered_at = now;
        let commands = if is_newer {
            self.commands_for(&heartbeat.machine, true)
        } else {
            self.kills_for(heartbeat, is_over)
        };
        Some(WorkerCommands { fencing_token: self.term, incarnation: None, commands })
    }

    /// The commands for a machine; notes which `run`s they carry if they are the answer to a
    /// report.
    pub fn commands_for(&mut self, name: &str, answer: bool) -> Vec<WorkerCommand> {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else { return Vec::new() };
        let mut commands = machine.commands(|key, attempt| {
            // The result of a finished task is kept on the machine until its end is recorded.
            attempt.cause != Some(Cause::Done)
                || jobs
                    .get(&key.task.job)
                    .is_none_or(|job| job.service() || job.record.finished.contains(key.task.index))
        });
        // Whatever an answer orders makes the worker report again at once. What has ended does no
        // harm where it is, so it goes with the next order that does something, or a few together.
        let clears = |o: &WorkerCommand| matches!(o, WorkerCommand::Clear { .. });
        if answer && commands.len() < MIN_CLEARS_IN_ANSWER && commands.iter().all(clears) {
            commands.clear();
        }
        for attempt in machine.attempts.values_mut() {
            if attempt.wanted && attempt.phase.is_none() {
                attempt.sent = true;
                attempt.in_answer |= answer;
            }
        }
        commands
    }

    /// What an answer has to end although nothing new is learned from its heartbeat: the answer renews
    /// the worker's lease, and with it the life of whatever it runs. An attempt whose job is over,
    /// or which is unwanted, may be killed however old the heartbeat is.
    pub fn kills_for(
        &self,
        heartbeat: &Heartbeat,
        over: impl Fn(&str) -> bool,
    ) -> Vec<WorkerCommand> {
        let attempts = self.machines.get(&heartbeat.machine).map(|m| &m.attempts);
        let unwanted = |t: &TaskStatus| {
            let key = AttemptKey { task: t.task.clone(), attempt: t.attempt };
            attempts.and_then(|s| s.get(&key)).is_some_and(|s| !s.wanted && s.leeway_s <= 0.0)
        };
        let ends = |t: &&TaskStatus| {
            t.phase != TaskPhase::Exited
                && (unwanted(t) || (!self.jobs.contains_key(&t.task.job) && over(&t.task.job)))
        };
        let kill = |t: &TaskStatus| WorkerCommand::Kill {
            task: t.task.clone(),
            attempt: t.attempt,
            leeway_s: 0.0,
        };
        heartbeat.tasks.iter().filter(ends).map(kill).collect()
    }
}

#[cfg(test)]
mod tests;
