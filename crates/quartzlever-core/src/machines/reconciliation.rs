//! Reconciliation of the state that a worker reports with the state that this leader wants.
//!
//! Each status of a worker is applied once, in the order of incarnation and sequence. An attempt
//! that an earlier leader started is adopted if the partition owns the task, which is neither
//! finished nor moving nor has another attempt, and killed otherwise. A machine counts as verified
//! only after it shows this term's fencing token or after a full lease without an answer. A task is
//! requeued only when no command in flight can still start the attempt.

use quartzlever_wire::workers::{AttemptStatus, Heartbeat, TaskPhase};
use quartzlever_wire::{Micros, micros_from_secs};

use crate::config::Config;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::attempt_outcomes::EndedAttempt;
use crate::machines::listed_attempts::ListedAttempts;
use crate::machines::machine::Machine;
use crate::partition::Partition;
use crate::scheduling::RunTimes;

/// How a worker's status was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// A heartbeat sent by the worker, which proves that earlier answers were executed or dropped.
    Heartbeat,
    /// The reply to a direct call, which proves that the worker is reachable but nothing about
    /// earlier answers.
    DirectReply,
}

impl Machine {
    /// Records what a newer status reports about the machine itself.
    fn record_status(&mut self, heartbeat: &Heartbeat, source: StatusSource, now: Micros) {
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.last_heartbeat_at = now;
        self.failed_calls = 0;
        match source {
            // A worker has one heartbeat in flight at a time, so no earlier answer can still take
            // effect.
            StatusSource::Heartbeat => {
                self.attempts.values_mut().for_each(|attempt| attempt.run_in_answer = false);
            }
            // The worker received a call, so it does receive commands.
            StatusSource::DirectReply => self.unacknowledged_heartbeats = 0,
        }
        self.record.address.clone_from(&heartbeat.address);
        self.spot_reclaim_at = heartbeat.warning_s.map(|s| now + micros_from_secs(s));
    }
}

impl Partition {
    /// Applies a status of a worker. Returns `false` if the status is not newer than the known
    /// state, or may predate the takeover, or comes from a machine that the partition does not
    /// have.
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
            // This may be a copy from before the takeover, minutes old: its task list may be
            // outdated, and it proves nothing. If the worker has just sent it, the answer makes it
            // send another heartbeat with this term's fencing token.
            machine.stale_heartbeat_at = now;
            return false;
        }
        self.work.add(heartbeat.tasks.len());
        if source == StatusSource::Heartbeat && machine.confirms_known_state(heartbeat) {
            machine.sequence = heartbeat.sequence;
            machine.last_heartbeat_at = now;
            machine.record_listed_attempts();
            self.placement_wanted |= machine.count_unlisted_attempts();
            return true;
        }
        self.apply_status_changes(config, run_times, heartbeat, source, now);
        true
    }

    /// Applies a newer status that may change the known state.
    pub(crate) fn apply_status_changes(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: Micros,
    ) {
        let term = self.term;
        let listed = ListedAttempts::of(heartbeat);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        self.work.add(machine.attempts.len() + heartbeat.tasks.len());
        if source == StatusSource::Heartbeat {
            machine.track_acknowledgement(heartbeat, &listed, now);
        }
        if heartbeat.incarnation > machine.incarnation && machine.incarnation > 0 {
            // The worker's lease expired and it stopped every task of the earlier incarnation.
            self.requeue_attempts_of(&heartbeat.machine);
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        machine.record_status(heartbeat, source, now);
        if heartbeat.fencing_token >= term {
            machine.fenced = true;
            machine.verified = true;
            self.call_queue.mark_fenced(&heartbeat.machine);
        }
        for task in &heartbeat.tasks {
            self.apply_task_status(config, run_times, &heartbeat.machine, task, source, now);
        }
        self.remove_unlisted_attempts(heartbeat, &listed, source);
        self.checkpoint_before_reclaim(heartbeat);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        if machine.has_active_attempts() {
            machine.idle_since = None;
        } else if machine.idle_since.is_none() {
            machine.idle_since = Some(now);
        }
        self.refresh_machine(&heartbeat.machine);
    }

    /// Stops the tasks that can still save their progress after a spot notice. The others keep
    /// running, as they may complete before the machine is taken away.
    fn checkpoint_before_reclaim(&mut self, heartbeat: &Heartbeat) {
        let Some(remaining_s) = heartbeat.warning_s else { return };
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let jobs = &self.jobs;
        for (AttemptKey { task, .. }, attempt) in &mut machine.attempts {
            let Some(job) = jobs.get(&task.job).map(|j| &j.record.job) else { continue };
            // The machine may be taken away after half of the announced time.
            let can_save = job.checkpoint_s > 0.0 && job.save_s <= remaining_s / 2.0;
            // A replica is stopped in any case, so that it starts elsewhere sooner.
            if (can_save || job.is_service())
                && attempt.wanted
                && attempt.phase == Some(TaskPhase::Running)
            {
                attempt.wanted = false;
                attempt.leeway_s = job.save_s;
                self.call_queue.add_urgent(heartbeat.machine.clone());
            }
        }
    }

    /// Removes attempts that the heartbeat does not list and that nothing can still start, and
    /// requeues their tasks.
    fn remove_unlisted_attempts(
        &mut self,
        heartbeat: &Heartbeat,
        listed: &ListedAttempts,
        source: StatusSource,
    ) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let absent: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                if listed.contains(key) {
                    return false;
                }
                // It was listed before, so its `run` has been executed; the attempt was cleared or
                // lost since.
                let was_listed = attempt.phase.is_some();
                // It was never listed, and no command that could still start it is in flight.
                let cannot_start = source == StatusSource::Heartbeat
                    && !attempt.wanted
                    && attempt.direct_command == DirectCommand::Settled;
                was_listed || cannot_start
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

    /// Applies the status of one task from a newer heartbeat.
    fn apply_task_status(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        machine: &str,
        status: &AttemptStatus,
        source: StatusSource,
        now: Micros,
    ) {
        let key = AttemptKey { task: status.task.clone(), attempt: status.attempt };
        let known = self.machines.get(machine).is_some_and(|m| m.attempts.contains_key(&key));
        if !known {
            self.check_unknown_attempt(machine, status, now);
            self.reconcile_attempt(config, machine, status, now);
        }
        if status.phase == TaskPhase::Running {
            self.handle_running_attempt(config, machine, &key, now);
        }
        let Some(attempt) = self.machines.get_mut(machine).and_then(|m| m.attempts.get_mut(&key))
        else {
            return;
        };
        attempt.phase = Some(status.phase);
        attempt.cause = status.cause;
        attempt.listed_in_heartbeat |= source == StatusSource::Heartbeat;
        if status.phase != TaskPhase::Exited || attempt.end_processed {
            return;
        }
        attempt.end_processed = true;
        // Resources that a team with a limit used, or may have used, are available to its tasks on
        // any machine.
        self.placement_wanted |= attempt.team.is_empty() || config.is_team_limited(&attempt.team);
        let ended = EndedAttempt {
            machine,
            status,
            placed_at: attempt.placed_at,
            run_time: attempt.running_since.map(|since| now.saturating_sub(since)),
            class: attempt.class.clone(),
            expected_run_time: attempt.expected_run_time,
        };
        self.handle_ended_attempt(config, run_times, &ended, now);
    }

    /// Adds an attempt that this leader has not started. It is wanted if it has not exited, the
    /// settings have its job's team, and the partition owns the task, which is neither finished nor
    /// moving nor on another machine; otherwise it is to be killed.
    fn reconcile_attempt(
        &mut self,
        config: &Config,
        machine_name: &str,
        status: &AttemptStatus,
        now: Micros,
    ) {
        let exited = status.phase == TaskPhase::Exited;
        let mut attempt = Attempt::without_job(now);
        (attempt.phase, attempt.cause) = (Some(status.phase), status.cause);
        (attempt.wanted, attempt.run_sent) = (false, true);
        if !self.jobs.contains_key(&status.task.job) {
            // The job may have ended while the partition had no active leader, so the duration of a
            // takeover counts as elapsed since its end.
            let leaderless = config.operator.lease_lifetime + config.operator.takeover_after;
            attempt.job_terminal_since = Some(now.saturating_sub(leaderless));
        }
        if let Some(job) = self.jobs.get_mut(&status.task.job) {
            attempt.set_job_details(&job.record.job);
            self.machines_by_job
                .entry(status.task.job.clone())
                .or_default()
                .insert(machine_name.to_owned());
            let index = status.task.index;
            let team_known = config.team(&job.record.job.team).is_some();
            if !exited && team_known && job.adopt(index, machine_name, status.attempt, &self.name) {
                attempt.wanted = true;
            }
        }
        if let Some(machine) = self.machines.get_mut(machine_name) {
            machine
                .attempts
                .insert(AttemptKey { task: status.task.clone(), attempt: status.attempt }, attempt);
        }
    }

    /// Treats machines that have been silent for a full lease as empty and verified.
    pub(crate) fn expire_silent_machines(&mut self, config: &Config, now: Micros) {
        if !self.is_loaded() {
            return;
        }
        let gone_after = config.worker_lease_expired_after();
        let sole_leader_from = self.acquired_at.max(self.sole_leader_from);
        let silent: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                // The lease of an incarnation that is known only from a direct reply ends at the
                // latest one lease after that reply, as the incarnation began before it. Without
                // `last_heartbeat_at`, which a reply updates too, tasks given to a machine that has
                // just come back would be taken for lost and started elsewhere.
                now.saturating_sub(
                    m.last_answered_at.max(m.last_heartbeat_at).max(sole_leader_from),
                ) > gone_after
                    && (!m.verified || !m.attempts.is_empty())
            })
            .map(|m| m.name.clone())
            .collect();
        for machine in silent {
            self.requeue_attempts_of(&machine);
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.verified = true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
