//! What the run and the end of an attempt say: of its task, of its job, and of the machine it was on.
//!
//! Each end is taken account of once. A task is put back into the queue only here, in reconciliation and with a
//! machine that is surely empty; a machine is blamed only by its record of failures.

use quartzlever_wire::workers::{Cause, TaskId, TaskStatus};
use quartzlever_wire::{Micros, SECOND};

use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::AttemptKey;
use crate::machines::failures::MachineFailures;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::scheduling::RunTimes;

/// A replica that has run for so long works, whatever ended it.
const REPLICA_HEALTHY_AFTER: Micros = 30 * SECOND;

/// Run times of a machine's last tasks that are kept.
const MAX_RECENT_PACES: usize = 8;

/// An attempt whose end a heartbeat shows for the first time.
pub(super) struct EndedAttempt<'a> {
    pub machine: &'a str,
    pub seen: &'a TaskStatus,
    /// When its start was decided.
    pub placed: Micros,
    /// For how long it ran, if it was ever seen to run.
    pub ran: Option<Micros>,
    pub class: String,
    pub expect: Micros,
}

/// A replica has ended, which says nothing of its machine. One that ran well goes on at once, one
/// that should not have ended so soon after a pause.
fn note_replica_end(job: &mut PartitionJob, ended: &EndedAttempt, now: Micros) {
    if ended.ran.is_some_and(|ran| ran > REPLICA_HEALTHY_AFTER) {
        job.mark_healthy();
    } else {
        job.failures.note_round(ended.placed, now);
        job.no_start_before = now + job.failures.pause();
    }
}

impl Partition {
    /// An attempt is reported to run.
    pub(super) fn attempt_runs(
        &mut self,
        config: &Config,
        machine_name: &str,
        key: &AttemptKey,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(machine_name) else { return };
        let Some(attempt) = machine.attempts.get_mut(key) else { return };
        let task = &key.task;
        if attempt.running_since.is_none() {
            attempt.running_since = Some(now);
            if config.log_level >= LogLevel::Debug {
                let submitted = self.jobs.get(&task.job).map_or(now, |job| job.since);
                self.log_events.push(LogEvent::TaskRunning {
                    partition: self.name.clone(),
                    job: task.job.clone(),
                    task: task.index,
                    machine: machine_name.to_owned(),
                    class: attempt.class.clone(),
                    since_placement: now - attempt.since,
                    since_submission: now - submitted,
                });
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.service()) {
            job.record_start();
            if attempt.running_since.is_some_and(|t| now.saturating_sub(t) > REPLICA_HEALTHY_AFTER)
            {
                job.mark_healthy();
            }
        }
        if !machine.images.contains(&attempt.image) {
            machine.images.insert(attempt.image.clone());
        }
    }

    /// An attempt has ended: takes account of it, and puts its task back into the queue unless it is done.
    pub(super) fn attempt_ended(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        ended: &EndedAttempt,
        now: Micros,
    ) {
        let seen = ended.seen;
        let job = self.jobs.get_mut(&seen.task.job);
        if let Some(job) = job.filter(|job| job.service())
            && (ended.ran.is_some_and(|ran| ran > REPLICA_HEALTHY_AFTER)
                || seen.cause == Some(Cause::Done))
        {
            note_replica_end(job, ended, now);
            return self.requeue(&seen.task, seen.attempt);
        }
        match seen.cause {
            Some(Cause::Done) => return self.task_done(run_times, ended, now),
            Some(Cause::Halted) => {}
            Some(Cause::Error) | Some(Cause::Other) | None => {
                self.attempt_failed(config, ended, now)
            }
            Some(Cause::NoCapacity | Cause::Busy | Cause::Unknown) => {
                if let Some(job) = self.jobs.get_mut(&seen.task.job) {
                    job.no_start_before = now + SECOND;
                }
            }
        }
        self.requeue(&seen.task, seen.attempt);
    }

    fn task_done(&mut self, run_times: &mut RunTimes, ended: &EndedAttempt, now: Micros) {
        let task = &ended.seen.task;
        if let Some(machine) = self.machines.get_mut(ended.machine) {
            machine.failures.forget();
            if let Some(ran) = ended.ran.filter(|_| ended.expect > 0) {
                let pace = (ran.saturating_mul(1000) / ended.expect).min(1_000_000) as u32;
                machine.pace.push(run_times.relative(&ended.class, pace));
                run_times.learn(&ended.class, pace);
                if machine.pace.len() > MAX_RECENT_PACES {
                    machine.pace.remove(0);
                }
            }
        }
        let is_first = self.jobs.get(&task.job).is_some_and(|job| job.succeeded == 0);
        self.finish(&task.job, task.index, now);
        if is_first {
            self.job_runs_well(&task.job);
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.assignments.get(&task.index).is_some_and(|p| p.attempt == ended.seen.attempt)
        {
            job.assignments.remove(&task.index);
        }
    }

    fn attempt_failed(&mut self, config: &Config, ended: &EndedAttempt, now: Micros) {
        let id = &ended.seen.task.job;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let was_mistaken = job.fails_everywhere();
        job.failures.note(ended.machine, ended.placed, ended.ran.unwrap_or(0), now);
        let (runs_well, several) = (job.succeeded > 0, job.failures.on_several());
        if several {
            // A mistaken job fails everywhere: it must not hammer the machines.
            job.no_start_before = now + job.failures.pause();
        }
        let has_turned = job.fails_everywhere() && !was_mistaken;
        if has_turned && config.log_level >= LogLevel::Info {
            let (partition, job) = (self.name.clone(), id.clone());
            self.log_events.push(LogEvent::JobFailsEverywhere { partition, job });
        }
        if let Some(machine) = self.machines.get_mut(ended.machine) {
            machine.failures.note(id, runs_well, several, now);
        }
        if several && !runs_well {
            // It says nothing of the machines that it failed on before either.
            self.update_failure_records(id, |failures| failures.failed_elsewhere(id));
        }
    }

    /// Whether an attempt of a job that failed everywhere has shown by now that it runs.
    pub(crate) fn try_to_clear(&mut self, config: &Config, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.fails_everywhere()) else { return };
        // A heartbeat may show a start or a failure an interval late.
        let margin = config.workers.heartbeat_interval * 2;
        for (index, place) in &job.assignments {
            let key = AttemptKey {
                task: TaskId { job: id.to_owned(), index: *index },
                attempt: place.attempt,
            };
            let attempt = self.machines.get(&place.machine).and_then(|m| m.attempts.get(&key));
            let since = attempt
                .filter(|attempt| !attempt.exited())
                .and_then(|attempt| attempt.running_since);
            if let Some(since) = since {
                job.failures.runs(now.saturating_sub(since), margin);
            }
        }
        if !job.fails_everywhere() {
            self.job_runs_well(id);
        }
    }

    /// A job that may have failed on some machines has run well on another.
    fn job_runs_well(&mut self, id: &str) {
        self.update_failure_records(id, |failures| failures.runs_elsewhere(id));
        self.placement_wanted = true;
    }

    /// Tells the machines that a job failed on what has become of it elsewhere.
    fn update_failure_records(&mut self, id: &str, tell: impl Fn(&mut MachineFailures)) {
        let Some(job) = self.jobs.get(id) else { return };
        for machine_name in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(machine_name) {
                tell(&mut machine.failures);
            }
        }
    }
}

#[cfg(test)]
mod tests;
