//! Effects of an attempt's run and end on its task, its job and its machine.
//!
//! Each end is processed once. A task is requeued only here, in reconciliation and when its machine
//! is known to be empty. A machine is found faulty only from its failure record.

use quartzlever_wire::workers::{AttemptStatus, ExitCause, TaskId};
use quartzlever_wire::{Micros, SECOND};

use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::AttemptKey;
use crate::machines::failures::MachineFailures;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::scheduling::RunTimes;

/// A replica that has run for longer than this counts as healthy, whatever the cause of its end.
const REPLICA_HEALTHY_AFTER: Micros = 30 * SECOND;

/// Number of recent relative run times kept per machine.
const MAX_RECENT_PACES: usize = 8;

/// An attempt that a heartbeat reports as exited for the first time.
pub(super) struct EndedAttempt<'a> {
    pub machine: &'a str,
    pub status: &'a AttemptStatus,
    /// When it was placed.
    pub placed_at: Micros,
    /// How long it ran; `None` if it was never reported as running.
    pub run_time: Option<Micros>,
    pub class: String,
    pub expected_run_time: Micros,
}

/// Records the end of a replica, which does not count against its machine. A healthy replica is
/// restarted at once; one that ended too soon is restarted only after the retry delay.
fn record_replica_end(job: &mut PartitionJob, ended: &EndedAttempt, now: Micros) {
    if ended.run_time.is_some_and(|run_time| run_time > REPLICA_HEALTHY_AFTER) {
        job.mark_healthy();
    } else {
        job.failures.record_round(ended.placed_at, now);
        job.no_start_before = now + job.failures.retry_delay();
    }
}

impl Partition {
    /// Processes a heartbeat that reports an attempt as running.
    pub(super) fn handle_running_attempt(
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
                let submitted = self.jobs.get(&task.job).map_or(now, |job| job.submitted_at);
                self.log_events.push(LogEvent::TaskRunning {
                    partition: self.name.clone(),
                    job: task.job.clone(),
                    task: task.index,
                    machine: machine_name.to_owned(),
                    class: attempt.class.clone(),
                    since_placement: now - attempt.placed_at,
                    since_submission: now - submitted,
                });
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.is_service()) {
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

    /// Processes the end of an attempt, and requeues its task unless the task is done.
    pub(super) fn handle_ended_attempt(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        ended: &EndedAttempt,
        now: Micros,
    ) {
        let status = ended.status;
        let job = self.jobs.get_mut(&status.task.job);
        if let Some(job) = job.filter(|job| job.is_service())
            && (ended.run_time.is_some_and(|run_time| run_time > REPLICA_HEALTHY_AFTER)
                || status.cause == Some(ExitCause::Done))
        {
            record_replica_end(job, ended, now);
            return self.requeue(&status.task, status.attempt);
        }
        match status.cause {
            Some(ExitCause::Done) => return self.handle_done_task(run_times, ended, now),
            Some(ExitCause::Halted) => {}
            Some(ExitCause::Error) | Some(ExitCause::Other) | None => {
                self.handle_failed_attempt(config, ended, now)
            }
            Some(ExitCause::NoCapacity | ExitCause::Busy | ExitCause::Unknown) => {
                if let Some(job) = self.jobs.get_mut(&status.task.job) {
                    job.no_start_before = now + SECOND;
                }
            }
        }
        self.requeue(&status.task, status.attempt);
    }

    fn handle_done_task(&mut self, run_times: &mut RunTimes, ended: &EndedAttempt, now: Micros) {
        let task = &ended.status.task;
        if let Some(machine) = self.machines.get_mut(ended.machine) {
            machine.failures.reset();
            if let Some(run_time) = ended.run_time.filter(|_| ended.expected_run_time > 0) {
                let pace =
                    (run_time.saturating_mul(1000) / ended.expected_run_time).min(1_000_000) as u32;
                machine.recent_paces.push(run_times.relative_to_class(&ended.class, pace));
                run_times.record(&ended.class, pace);
                if machine.recent_paces.len() > MAX_RECENT_PACES {
                    machine.recent_paces.remove(0);
                }
            }
        }
        let is_first_success = self.jobs.get(&task.job).is_some_and(|job| job.succeeded == 0);
        self.record_finished_task(&task.job, task.index, now);
        if is_first_success {
            self.record_success_elsewhere(&task.job);
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.assignments.get(&task.index).is_some_and(|p| p.attempt == ended.status.attempt)
        {
            job.assignments.remove(&task.index);
        }
    }

    fn handle_failed_attempt(&mut self, config: &Config, ended: &EndedAttempt, now: Micros) {
        let id = &ended.status.task.job;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let failed_everywhere_before = job.fails_everywhere();
        let had_failed_elsewhere = job.failures.on_multiple_machines();
        job.failures.record_failure(
            ended.machine,
            ended.placed_at,
            ended.run_time.unwrap_or(0),
            now,
        );
        let (has_succeeded, on_multiple_machines) =
            (job.succeeded > 0, job.failures.on_multiple_machines());
        if on_multiple_machines {
            // A faulty job fails on every machine: the delay limits the load that its restarts
            // cause.
            job.no_start_before = now + job.failures.retry_delay();
        }
        let newly_fails_everywhere = job.fails_everywhere() && !failed_everywhere_before;
        if newly_fails_everywhere && config.log_level >= LogLevel::Info {
            let (partition, job) = (self.name.clone(), id.clone());
            self.log_events.push(LogEvent::JobFailsEverywhere { partition, job });
        }
        if let Some(machine) = self.machines.get_mut(ended.machine) {
            machine.failures.record_failure(id, has_succeeded, on_multiple_machines, now);
        }
        if on_multiple_machines && !had_failed_elsewhere && !has_succeeded {
            // The job's earlier failures no longer count against their machines either. Its later
            // ones are recorded as failures elsewhere in the first place.
            self.update_failure_records(id, |failures| failures.record_failure_elsewhere(id));
        }
    }

    /// Stops treating a job as failing everywhere once one of its attempts has outlasted the failed
    /// ones.
    pub(crate) fn clear_failures_if_outlasted(&mut self, config: &Config, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.fails_everywhere()) else { return };
        // A heartbeat may report a start or a failure one interval late.
        let margin = config.workers.heartbeat_interval * 2;
        self.work.add(job.assignments.len());
        let mut key = AttemptKey { task: TaskId { job: id.to_owned(), index: 0 }, attempt: 0 };
        for (index, place) in &job.assignments {
            (key.task.index, key.attempt) = (*index, place.attempt);
            let attempt = self.machines.get(&place.machine).and_then(|m| m.attempts.get(&key));
            let since = attempt
                .filter(|attempt| !attempt.has_exited())
                .and_then(|attempt| attempt.running_since);
            if let Some(since) = since {
                job.failures.record_running_for(now.saturating_sub(since), margin);
            }
        }
        if !job.fails_everywhere() {
            self.record_success_elsewhere(id);
        }
    }

    /// Records on the machines where a job failed that it has run well on another machine.
    fn record_success_elsewhere(&mut self, id: &str) {
        self.update_failure_records(id, |failures| failures.record_success_elsewhere(id));
        self.placement_wanted = true;
    }

    /// Updates the failure record of each machine on which a job failed.
    fn update_failure_records(&mut self, id: &str, update: impl Fn(&mut MachineFailures)) {
        let Some(job) = self.jobs.get(id) else { return };
        for machine_name in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(machine_name) {
                update(&mut machine.failures);
            }
        }
    }
}

#[cfg(test)]
mod tests;
