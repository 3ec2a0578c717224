//! Commands sent to a machine, in the answer to its heartbeat or by a direct call.
//!
//! A 200 renews the worker's lease, which keeps everything that it runs alive, so every answer
//! carries all kills that are allowed at that point. An attempt is cleared only after its end has
//! been processed and while no command that could start it again is in flight, neither in an answer
//! nor in a direct call of unknown outcome. Copies of direct calls that were answered may arrive at
//! any time, so the message that clears an attempt has a higher fencing token than every direct call
//! that carried its `run`: the worker refuses them from then on. The token is the partition's term
//! until such a message raises it.

use quartzlever_wire::workers::{
    AttemptStatus, ExitCause, Heartbeat, TaskPhase, WorkerCall, WorkerCommand, WorkerCommands,
    WorkerReply,
};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingWorkerCall;
use crate::config::Config;
use crate::events::LogEvent;
use crate::leadership::authority::{Permit, highest_fencing_token};
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::call_queue::CallLimits;
use crate::machines::machine::Machine;
use crate::machines::reconciliation::StatusSource;
use crate::messages::{CallId, LogLevel};
use crate::outbox::Outbox;
use crate::partition::Partition;
use crate::scheduling::RunTimes;
use crate::store::cache::Cache;

/// Delay before the next direct call to a machine after one that failed.
const CALL_RETRY_DELAY: Micros = 3 * SECOND;
/// The same delay for a machine that is not verified yet and so delays the partition's recovery.
const FENCING_CALL_RETRY_DELAY: Micros = SECOND;
/// Maximum number of direct calls in flight; there are several so that one hung machine does not
/// block the others. A call takes a few milliseconds, so thousands of machines are reached in
/// seconds. Many hung machines, at 2 s each, could delay the calls to the rest for minutes, but the
/// rest send a heartbeat by themselves within one interval.
const MAX_WORKER_CALLS: usize = 32;
/// Maximum number of calls in flight to fence machines while most of them are still due to send a
/// heartbeat.
const MAX_EARLY_FENCING_CALLS: usize = 24;

/// Minimum number of `clear` commands that an answer carries without any other command.
const MIN_CLEARS_IN_ANSWER: usize = 4;

/// Result of a direct call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DirectCallOutcome {
    /// The worker's status was received and applied; the machine may have free capacity now.
    StatusReceived,
    /// The call failed, its reply came from another machine or showed a later term, or the
    /// partition no longer has the machine.
    NoStatus,
}

/// How commands reach a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// In the answer to its heartbeat, which the worker executes within seconds or never.
    HeartbeatAnswer,
    /// In a call to its address, which may arrive late and more than once.
    DirectCall,
}

impl Machine {
    /// Returns the commands that bring the worker to the wanted state, kills first, for a message
    /// with this fencing token. `may_clear` reports whether an exited attempt may be removed from
    /// the worker.
    pub fn commands(
        &self,
        fencing_token: u64,
        may_clear: impl Fn(&AttemptKey, &Attempt) -> bool,
    ) -> Vec<WorkerCommand> {
        const MAX_COMMANDS: usize = 200;
        let mut commands = Vec::new();
        for (key, state) in &self.attempts {
            let (task, attempt) = (key.task.clone(), key.attempt);
            if state.has_exited() {
                let no_run_in_flight =
                    state.direct_command == DirectCommand::Settled && !state.run_in_answer;
                if state.end_processed
                    && no_run_in_flight
                    && state.is_fenced_by(fencing_token)
                    && may_clear(key, state)
                {
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
            // Repeating a `run` that the worker has already executed has no effect. An unwanted
            // attempt that was never reported gets no command: it is removed once a later heartbeat
            // proves that the worker does not have it.
            if state.wanted && !state.has_exited() && state.phase.is_none() {
                commands.push(WorkerCommand::Run { task: key.task.clone(), attempt: key.attempt });
            }
        }
        // Kills go first, so that the limit cuts off other commands before them.
        commands.sort_by_key(|command| !matches!(command, WorkerCommand::Kill { .. }));
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Reports whether a direct call may be made now.
    pub(super) fn can_be_called(&self, now: Micros) -> bool {
        self.call.is_none() && !self.scaling_in && now >= self.no_call_before
    }

    /// Records that a direct call with this fencing token carries all current commands, and returns
    /// the attempts whose `run` it carries.
    fn record_direct_commands(&mut self, fencing_token: u64, now: Micros) -> Vec<AttemptKey> {
        let carries_runs = self.accepts_direct_starts();
        let mut run_attempts = Vec::new();
        for (key, attempt) in &mut self.attempts {
            if attempt.has_exited() {
                continue;
            }
            if attempt.wanted && attempt.phase.is_none() {
                if !carries_runs {
                    continue;
                }
                attempt.run_sent = true;
                attempt.direct_run_token = Some(fencing_token);
                if attempt.direct_command == DirectCommand::Settled {
                    attempt.direct_command = DirectCommand::InFlight;
                }
                run_attempts.push(key.clone());
            } else if !attempt.wanted {
                attempt.kill_sent_at = Some(now);
            }
        }
        run_attempts
    }

    /// Records the end of a direct call. Unless its outcome is known, its commands may still
    /// arrive.
    fn settle_direct_call(
        &mut self,
        call_id: CallId,
        run_attempts: &[AttemptKey],
        outcome_known: bool,
    ) {
        if self.call == Some(call_id) {
            self.call = None;
        }
        for key in run_attempts {
            if let Some(attempt) = self.attempts.get_mut(key)
                && attempt.direct_command == DirectCommand::InFlight
            {
                attempt.direct_command = if outcome_known {
                    DirectCommand::Settled
                } else {
                    DirectCommand::OutcomeUnknown
                };
            }
        }
    }

    /// Records that a direct call failed, and sets the time of the next one.
    fn record_failed_call(&mut self, now: Micros) {
        let delay = if self.verified { CALL_RETRY_DELAY } else { FENCING_CALL_RETRY_DELAY };
        self.no_call_before = now + delay;
        self.failed_calls += 1;
    }
}

impl Partition {
    /// Calls workers that have urgent commands or must be fenced.
    pub(crate) fn call_workers(
        &mut self,
        config: &Config,
        now: Micros,
        permit: Permit,
        view: &Cache,
        outbox: &mut Outbox,
    ) {
        if !self.is_loaded() {
            return;
        }
        let limits = CallLimits {
            urgent: MAX_WORKER_CALLS,
            fencing: self.max_fencing_calls(config, now),
            in_flight: outbox.worker_calls_in_flight(),
        };
        for machine in self.call_queue.due(&self.machines, limits, now) {
            self.call_worker(&machine, now, permit, view, outbox);
        }
    }

    /// Returns the number of calls in flight up to which fencing calls are made. Most machines are
    /// fenced by their own heartbeats and only the rest need a call. A call costs more processor
    /// time than a heartbeat, so a partition with more than half of the machines that the processor
    /// can serve gets no fencing calls in the first half interval after its acquisition.
    fn max_fencing_calls(&self, config: &Config, now: Micros) -> usize {
        let since = now.saturating_sub(self.acquired_at);
        let heartbeat_interval = config.workers.heartbeat_interval;
        let near_capacity = self.machines.len() > config.machine_capacity / 2;
        match since {
            _ if near_capacity && since < heartbeat_interval / 2 => 0,
            _ if since < heartbeat_interval * 3 / 2 => MAX_EARLY_FENCING_CALLS,
            _ => MAX_WORKER_CALLS,
        }
    }

    /// Calls machines that run service replicas and whose heartbeat is late. A replica on a dead
    /// machine is out of service until its failure is noticed, and waiting for the lease to expire
    /// takes longer than a call.
    pub(crate) fn probe_late_service_machines(
        &mut self,
        config: &Config,
        now: Micros,
        permit: Permit,
        view: &Cache,
        outbox: &mut Outbox,
    ) {
        if !self.is_loaded() {
            return;
        }
        let late = config.late_heartbeat_after();
        let to_probe: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                m.verified
                    && now.saturating_sub(m.last_heartbeat_at) > late
                    && m.can_be_called(now)
                    && m.has_service_replicas()
            })
            .map(|m| m.name.clone())
            .take(MAX_WORKER_CALLS.saturating_sub(outbox.worker_calls_in_flight()))
            .collect();
        for machine in to_probe {
            self.call_worker(&machine, now, permit, view, outbox);
        }
    }

    /// Calls a worker with its commands, or only for its status while its incarnation is unknown.
    /// A `run` of a job that `view` shows as ended is not sent.
    fn call_worker(
        &mut self,
        name: &str,
        now: Micros,
        permit: Permit,
        view: &Cache,
        outbox: &mut Outbox,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let address = machine.record.address.clone();
        let mut run_attempts = Vec::new();
        let call = if machine.incarnation == 0 {
            WorkerCall::Status
        } else {
            let mut message = self.commands_for(name, MessageKind::DirectCall, view, now);
            if let Some(machine) = self.machines.get_mut(name) {
                run_attempts = machine.record_direct_commands(message.fencing_token, now);
                message.incarnation = Some(machine.incarnation);
            }
            self.remove_forbidden_commands(name, &mut message, permit, view);
            outbox.log(LogLevel::Debug, || LogEvent::DirectCallSent {
                partition: self.name.clone(),
                machine: name.to_owned(),
                message: message.clone(),
            });
            WorkerCall::Command(message)
        };
        let pending = PendingWorkerCall {
            partition: self.name.clone(),
            term: self.term,
            machine: name.to_owned(),
            run_attempts,
            ..PendingWorkerCall::default()
        };
        let call_id = outbox.call_worker(address, call, pending, permit);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.call = Some(call_id);
        }
    }

    /// Processes the end of a direct call that this partition made under its current term.
    pub(crate) fn handle_worker_reply(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        call_id: CallId,
        call: &PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
        now: Micros,
    ) -> DirectCallOutcome {
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return DirectCallOutcome::NoStatus;
        };
        self.call_queue.add_urgent(call.machine.clone());
        let outcome_known = !matches!(result, Err(CallError::Unknown));
        machine.settle_direct_call(call_id, &call.run_attempts, outcome_known);
        match result {
            Ok(WorkerReply::Status(status) | WorkerReply::Refused(status)) => {
                // Another machine may have taken over the address, or another controller has a
                // later term.
                let issued_token = machine.fencing_token(call.term);
                if status.machine != call.machine || status.fencing_token > issued_token {
                    machine.no_call_before = now + CALL_RETRY_DELAY;
                    return DirectCallOutcome::NoStatus;
                }
                self.apply_heartbeat(config, run_times, &status, StatusSource::DirectReply, now);
                DirectCallOutcome::StatusReceived
            }
            Err(_) => {
                machine.record_failed_call(now);
                self.refresh_machine(&call.machine);
                DirectCallOutcome::NoStatus
            }
        }
    }

    /// Returns the answer to a heartbeat; `None` if the partition does not have the machine.
    /// `is_newer` says whether the heartbeat was newer than the known state, `permit` allows the
    /// renewal of the worker's lease, and `view` shows which jobs are active.
    pub(crate) fn heartbeat_answer(
        &mut self,
        heartbeat: &Heartbeat,
        is_newer: bool,
        permit: Permit,
        view: &Cache,
        now: Micros,
    ) -> Option<WorkerCommands> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        // The worker drops an answer that comes too late. Its lease is taken as renewed all the
        // same, which is the safe assumption.
        machine.last_answered_at = now;
        let fencing_token = machine.fencing_token(self.term);
        let mut message = if is_newer {
            self.commands_for(&heartbeat.machine, MessageKind::HeartbeatAnswer, view, now)
        } else {
            let commands = self.kills_for(heartbeat, |job| !view.is_active_job(job));
            WorkerCommands { fencing_token, incarnation: None, commands }
        };
        self.remove_forbidden_commands(&heartbeat.machine, &mut message, permit, view);
        self.check_renewal(heartbeat, &message.commands, permit, permit.earliest_end(now));
        Some(message)
    }

    /// Returns the commands for a machine with their fencing token, and records the `run`s among them
    /// as sent. The token is raised if that allows an attempt to be cleared.
    pub(super) fn commands_for(
        &mut self,
        name: &str,
        kind: MessageKind,
        view: &Cache,
        now: Micros,
    ) -> WorkerCommands {
        let term = self.term;
        let highest_token = highest_fencing_token(&self.name, term, view);
        let jobs = &self.jobs;
        let mut message =
            WorkerCommands { fencing_token: term, incarnation: None, commands: Vec::new() };
        let Some(machine) = self.machines.get_mut(name) else { return message };
        let present_token = machine.fencing_token(term);
        let possible_token = if machine.may_raise_fencing_token(kind, now) {
            highest_token.max(present_token)
        } else {
            present_token
        };
        let mut commands = machine.commands(possible_token, |key, attempt| {
            // The machine keeps a finished task until the job's record in the store lists it as
            // finished.
            attempt.cause != Some(ExitCause::Done)
                || jobs.get(&key.task.job).is_none_or(|job| {
                    job.is_service() || job.record.finished.contains(key.task.index)
                })
        });
        let is_answer = kind == MessageKind::HeartbeatAnswer;
        let carries_runs = is_answer || machine.accepts_direct_starts();
        if !carries_runs {
            commands.retain(|command| !matches!(command, WorkerCommand::Run { .. }));
        }
        // Any command in an answer makes the worker send another heartbeat at once. An exited
        // attempt does no harm on the worker, so its `clear` waits for another kind of command or
        // for a few more clears.
        let is_clear = |command: &WorkerCommand| matches!(command, WorkerCommand::Clear { .. });
        if is_answer && commands.len() < MIN_CLEARS_IN_ANSWER && commands.iter().all(is_clear) {
            commands.clear();
        }
        // A higher token makes the worker send another heartbeat, as a `clear` does anyway.
        if commands.iter().any(is_clear) {
            machine.raise_fencing_token(possible_token);
        }
        for attempt in machine.attempts.values_mut() {
            if carries_runs && attempt.wanted && attempt.phase.is_none() {
                attempt.run_sent = true;
                attempt.run_in_answer |= is_answer;
            }
        }
        message.fencing_token = machine.fencing_token(term);
        message.commands = commands;
        message
    }

    /// Returns the kills that the answer to an outdated heartbeat carries: the answer may still
    /// renew the worker's lease, which keeps alive all that the worker runs. An attempt that is
    /// unwanted and has no leeway, or whose job has ended, may be killed however old the heartbeat
    /// is.
    pub fn kills_for(
        &self,
        heartbeat: &Heartbeat,
        is_terminal: impl Fn(&str) -> bool,
    ) -> Vec<WorkerCommand> {
        let attempts = self.machines.get(&heartbeat.machine).map(|m| &m.attempts);
        let is_unwanted = |t: &AttemptStatus| {
            let key = AttemptKey { task: t.task.clone(), attempt: t.attempt };
            attempts.and_then(|s| s.get(&key)).is_some_and(|s| !s.wanted && s.leeway_s <= 0.0)
        };
        let must_end = |t: &&AttemptStatus| {
            t.phase != TaskPhase::Exited
                && (is_unwanted(t)
                    || (!self.jobs.contains_key(&t.task.job) && is_terminal(&t.task.job)))
        };
        let kill = |t: &AttemptStatus| WorkerCommand::Kill {
            task: t.task.clone(),
            attempt: t.attempt,
            leeway_s: 0.0,
        };
        heartbeat.tasks.iter().filter(must_end).map(kill).collect()
    }
}

#[cfg(test)]
mod tests;
