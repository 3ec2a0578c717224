//! Commands sent to a machine, in the answer to its heartbeat or by a direct call.
//!
//! A 200 renews the worker's lease, which keeps everything that it runs alive, so every answer
//! carries all kills that are allowed at that point. An attempt is cleared only after its end has
//! been processed and while no command that could start it again is in flight, neither in an answer
//! nor in a direct call of unknown outcome. Copies of direct calls that were answered may arrive at
//! any time, so the message that clears an attempt has a higher fencing token than every direct call
//! that carried its `run`: the worker refuses them from then on. The token is the partition's term
//! until such a message raises it.

use quartzlever_wire::Micros;
use quartzlever_wire::workers::{
    AttemptStatus, ExitCause, Heartbeat, TaskPhase, WorkerCommand, WorkerCommands,
};

use crate::leadership::authority::{Permit, highest_fencing_token};
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::machine::Machine;
use crate::partition::Partition;
use crate::store::cache::Cache;

/// Maximum number of commands in a message.
pub(super) const MAX_COMMANDS: usize = 200;
/// Minimum number of `clear` commands that an answer carries without any other command.
const MIN_CLEARS_IN_ANSWER: usize = 4;

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
}

impl Partition {
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
        self.work.add(machine.attempts.len());
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
