//! Direct calls to the addresses of workers, and what their ends show.
//!
//! A call is made for a command that cannot wait for the answer to the next heartbeat, to fence a
//! machine after a takeover, and to find out whether a machine with replicas is still there. It may
//! be executed late, and more than once; [`super::commands`] decides what it carries.

use quartzlever_wire::workers::{WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::PendingWorkerCall;
use crate::config::Config;
use crate::events::LogEvent;
use crate::leadership::authority::Permit;
use crate::machines::attempt::{AttemptKey, DirectCommand};
use crate::machines::call_queue::CallLimits;
use crate::machines::commands::MessageKind;
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

/// Result of a direct call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DirectCallOutcome {
    /// The worker's status was received and applied; the machine may have free capacity now.
    StatusReceived,
    /// The call failed, its reply came from another machine or showed a later term, or the
    /// partition no longer has the machine.
    NoStatus,
}

impl Machine {
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
}

#[cfg(test)]
mod tests;
