//! Reconciliation of what a worker reports with what this leader wants.
//!
//! A status of a worker is taken in once, in the order of incarnation and sequence. Attempts that an earlier
//! leader started are adopted where the task is ours and nowhere else, and ended otherwise. A machine counts as
//! verified only by this term's fencing token or by a full lease without an answer; a task goes back to its queue
//! only when no command that is still under way can start the attempt.

use quartzlever_wire::workers::{Heartbeat, TaskPhase, TaskStatus};
use quartzlever_wire::{Micros, micros_from_secs};

use crate::config::Config;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::attempt_outcomes::EndedAttempt;
use crate::machines::machine::Machine;
use crate::partition::Partition;
use crate::scheduling::RunTimes;

/// How a worker's status came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// A heartbeat of the worker's own accord, which proves that earlier answers were executed or dropped.
    Heartbeat,
    /// The reply to a direct call, which shows that the worker is reached and nothing of earlier answers.
    DirectReply,
}

impl Machine {
    /// Notes what a newer status says of the machine itself.
    fn note_status(&mut self, heartbeat: &Heartbeat, source: StatusSource, now: Micros) {
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.last_heartbeat_at = now;
        self.failed_calls = 0;
        match source {
            // A worker has one heartbeat under way at a time: earlier answers are spent.
            StatusSource::Heartbeat => {
                self.attempts.values_mut().for_each(|attempt| attempt.in_answer = false);
            }
            // It was reached, so it is not deaf.
            StatusSource::DirectReply => self.unacknowledged = 0,
        }
        self.record.address.clone_from(&heartbeat.address);
        self.spot_notice_until = heartbeat.warning_s.map(|s| now + micros_from_secs(s));
    }
}

impl Partition {
    /// Takes in a status of a worker; `false` if it is older than what is known.
    pub fn apply_heartbeat(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: Micros,
    ) -> bool {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return false };
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence) {
            return false;
        }
        if source == StatusSource::Heartbeat && !machine.fenced && heartbeat.fencing_token < term {
            // It may be a copy from before the takeover, minutes old: its list is not taken for
            // the present one, and it proves nothing. The answer makes a worker that did send it
            // now report again with this term's fencing token.
            machine.stale_heartbeat_at = now;
            return false;
        }
        if source == StatusSource::Heartbeat && machine.confirms_known_state(heartbeat) {
            machine.sequence = heartbeat.sequence;
            machine.last_heartbeat_at = now;
            machine.attempts.values_mut().for_each(|s| s.in_answer = false);
            return true;
        }
        self.apply_status_changes(config, run_times, heartbeat, source, now);
        true
    }

    /// Takes in a heartbeat that may change something.
    pub(crate) fn apply_status_changes(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: Micros,
    ) {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        if source == StatusSource::Heartbeat {
            machine.track_acknowledgement(heartbeat, now);
        }
        if heartbeat.incarnation > machine.incarnation && machine.incarnation > 0 {
            // The lease ran out over there: everything of the earlier incarnation is gone.
            self.empty_machine(&heartbeat.machine);
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        machine.note_status(heartbeat, source, now);
        if heartbeat.fencing_token >= term {
            machine.fenced = true;
            machine.verified = true;
            self.call_queue.fenced(&heartbeat.machine);
        }
        for task in &heartbeat.tasks {
            self.apply_task_status(config, run_times, &heartbeat.machine, task, now);
        }
        self.remove_unlisted_attempts(heartbeat, source);
        self.checkpoint_before_reclaim(heartbeat);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        if machine.busy() {
            machine.idle_since = None;
        } else if machine.idle_since.is_none() {
            machine.idle_since = Some(now);
        }
        self.refresh(&heartbeat.machine);
    }

    /// On a spot notice, stops the tasks that can still save their progress; the others may yet
    /// come to their end.
    fn checkpoint_before_reclaim(&mut self, heartbeat: &Heartbeat) {
        let Some(left) = heartbeat.warning_s else { return };
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let jobs = &self.jobs;
        for (AttemptKey { task, .. }, attempt) in &mut machine.attempts {
            let Some(job) = jobs.get(&task.job).map(|j| &j.record.job) else { continue };
            // The notice may run half as long as it says.
            let saves = job.checkpoint_s > 0.0 && job.save_s <= left / 2.0;
            // A replica runs again elsewhere the sooner.
            if (saves || job.is_service())
                && attempt.wanted
                && attempt.phase == Some(TaskPhase::Running)
            {
                attempt.wanted = false;
                attempt.leeway_s = job.save_s;
                self.call_queue.add_urgent(heartbeat.machine.clone());
            }
        }
    }

    /// Attempts that are known here but not in the heartbeat.
    fn remove_unlisted_attempts(&mut self, heartbeat: &Heartbeat, source: StatusSource) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let absent: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                if heartbeat.lists(&key.task, key.attempt) {
                    return false;
                }
                // Seen before, so its `run` is spent: cleared, or lost.
                let spent = attempt.phase.is_some();
                // Never seen, and nothing that could still start it is under way.
                let dead = source == StatusSource::Heartbeat
                    && !attempt.wanted
                    && attempt.direct_command == DirectCommand::Settled;
                spent || dead
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.placement_wanted |= !absent.is_empty();
        for key in absent {
            if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
                machine.attempts.remove(&key);
            }
            self.requeue(&key.task, key.attempt);
        }
    }

    /// One task of a newer heartbeat.
    fn apply_task_status(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        machine: &str,
        seen: &TaskStatus,
        now: Micros,
    ) {
        let key = AttemptKey { task: seen.task.clone(), attempt: seen.attempt };
        let known = self.machines.get(machine).is_some_and(|m| m.attempts.contains_key(&key));
        if !known {
            self.reconcile_attempt(config, machine, seen, now);
        }
        if seen.phase == TaskPhase::Running {
            self.attempt_runs(config, machine, &key, now);
        }
        let Some(attempt) = self.machines.get_mut(machine).and_then(|m| m.attempts.get_mut(&key))
        else {
            return;
        };
        attempt.phase = Some(seen.phase);
        attempt.cause = seen.cause;
        if seen.phase != TaskPhase::Exited || attempt.accounted {
            return;
        }
        attempt.accounted = true;
        // What a limited team used, or may have used, is free for its other tasks anywhere.
        self.placement_wanted |= attempt.team.is_empty() || config.is_team_limited(&attempt.team);
        let ended = EndedAttempt {
            machine,
            seen,
            placed: attempt.since,
            ran: attempt.running_since.map(|since| now.saturating_sub(since)),
            class: attempt.class.clone(),
            expect: attempt.expect,
        };
        self.attempt_ended(config, run_times, &ended, now);
    }

    /// An attempt that this leader has not started: adopted if the task is ours and nowhere
    /// else, ended otherwise.
    fn reconcile_attempt(
        &mut self,
        config: &Config,
        machine_name: &str,
        seen: &TaskStatus,
        now: Micros,
    ) {
        let exited = seen.phase == TaskPhase::Exited;
        let mut attempt = Attempt::blank(now);
        (attempt.phase, attempt.cause) = (Some(seen.phase), seen.cause);
        (attempt.wanted, attempt.sent) = (false, true);
        if !self.jobs.contains_key(&seen.task.job) {
            // Its job may have ended while no leader acted: then it has had that time already.
            let absent = config.operator.lease_life + config.operator.takeover_after;
            attempt.job_terminal_since = Some(now.saturating_sub(absent));
        }
        if let Some(job) = self.jobs.get_mut(&seen.task.job) {
            attempt.describe(&job.record.job);
            self.machines_by_job
                .entry(seen.task.job.clone())
                .or_default()
                .insert(machine_name.to_owned());
            let index = seen.task.index;
            let allowed = config.team(&job.record.job.team).is_some();
            if !exited && allowed && job.adopt(index, machine_name, seen.attempt, &self.name) {
                attempt.wanted = true;
            }
        }
        if let Some(machine) = self.machines.get_mut(machine_name) {
            machine
                .attempts
                .insert(AttemptKey { task: seen.task.clone(), attempt: seen.attempt }, attempt);
        }
    }

    /// Takes as empty what has been silent for a full lease.
    pub(crate) fn expire_silent_machines(&mut self, config: &Config, now: Micros) {
        if !self.active() {
            return;
        }
        let gone_after = config.worker_lease_expired_after();
        let sole_leader_from = self.acquired.max(self.sole_leader_from);
        let silent: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                // An incarnation that was only heard of by a direct call runs out a lease after it
                // began, and it began before it was heard of. Without that time, tasks given to a
                // machine that had just come back were taken for gone and started elsewhere.
                now.saturating_sub(
                    m.last_answered_at.max(m.last_heartbeat_at).max(sole_leader_from),
                ) > gone_after
                    && (!m.verified || !m.attempts.is_empty())
            })
            .map(|m| m.name.clone())
            .collect();
        for machine in silent {
            self.empty_machine(&machine);
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.verified = true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
