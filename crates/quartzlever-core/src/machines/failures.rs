//! Failure records that attribute failed tasks to their job or to the machine.
//!
//! Failures on several machines count against the job. Failures of several jobs on one machine, or
//! of a job that runs well elsewhere, count against the machine. The two cases can be told apart
//! only once the tasks have been tried on other machines, so a machine is not found faulty before
//! there was time for that.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::{Micros, SECOND};

/// Number of machines on which a job must fail, having run well on none, to be at fault itself.
const FAILS_EVERYWHERE_AFTER_MACHINES: usize = 3;
/// Retry delay after the first round of failures; each further round doubles it.
const INITIAL_RETRY_DELAY: Micros = SECOND;
/// Maximum number of doublings of the retry delay.
const MAX_RETRY_DELAY_DOUBLINGS: u32 = 5;
/// Number of tasks that a job that fails everywhere may run at once.
pub const MAX_TRIAL_TASKS: u32 = 1;
/// Number of failures without a success in between after which a machine may be found faulty.
const MIN_FAILURES_FOR_FAULT: u32 = 2;
/// Time within which a task that failed on one machine has been tried on another, including the
/// image pull.
const RETRY_ELSEWHERE_WINDOW: Micros = 20 * SECOND;

/// The failed tasks of one job in a partition.
#[derive(Clone, Debug, Default)]
pub struct JobFailures {
    machines: BTreeSet<String>,
    /// Rounds of failures; attempts that were placed together fail in one round.
    rounds: u32,
    round_started_at: Micros,
    last_failure_at: Micros,
    /// Longest reported run time of a failed attempt.
    longest_failed_run: Micros,
    /// Whether an attempt has run for much longer than any that failed.
    outlasted_failures: bool,
}

impl JobFailures {
    /// Records the failure of an attempt that was placed at `placed_at` and ran for `run_time`.
    pub fn record_failure(
        &mut self,
        machine: &str,
        placed_at: Micros,
        run_time: Micros,
        now: Micros,
    ) {
        self.record_round(placed_at, now);
        self.machines.insert(machine.to_owned());
        self.longest_failed_run = self.longest_failed_run.max(run_time);
    }

    /// Records a failure that does not count against its machine.
    pub fn record_round(&mut self, placed_at: Micros, now: Micros) {
        if self.rounds == 0 || placed_at > self.round_started_at {
            self.rounds += 1;
            self.round_started_at = now;
            self.outlasted_failures = false;
        }
        self.last_failure_at = now;
    }

    /// Reports whether no task has failed on a machine.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Reports whether a task failed on this machine.
    pub fn has_failed_on(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Returns the machines on which tasks failed.
    pub fn machines(&self) -> impl Iterator<Item = &String> {
        self.machines.iter()
    }

    /// Reports whether tasks failed on more than one machine.
    pub fn on_multiple_machines(&self) -> bool {
        self.machines.len() > 1
    }

    /// Returns the time of the last failure.
    pub fn last_failure_at(&self) -> Micros {
        self.last_failure_at
    }

    /// Returns how long the job waits before its next start.
    pub fn retry_delay(&self) -> Micros {
        INITIAL_RETRY_DELAY << self.rounds.saturating_sub(1).min(MAX_RETRY_DELAY_DOUBLINGS)
    }

    /// Reports whether the failures count against the job. The caller checks that no task of it has
    /// succeeded.
    pub fn is_job_at_fault(&self) -> bool {
        self.machines.len() >= FAILS_EVERYWHERE_AFTER_MACHINES && !self.outlasted_failures
    }

    /// Records that an attempt of the job is still running after `run_time`. If that exceeds the
    /// longest failed run by more than `margin`, the failures do not count against the job.
    pub fn record_running_for(&mut self, run_time: Micros, margin: Micros) {
        self.outlasted_failures |= run_time > self.longest_failed_run + margin;
    }

    /// Clears the record, so that earlier failures no longer count.
    pub fn reset(&mut self) {
        *self = JobFailures::default();
    }
}

/// What is known of a job on other machines, after it failed on one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutcomeElsewhere {
    NotTried,
    Failed,
    RunsWell,
}

/// The tasks that failed on one machine since the last one that completed there.
#[derive(Clone, Debug, Default)]
pub struct MachineFailures {
    count: u32,
    first_failure_at: Micros,
    jobs: BTreeMap<String, OutcomeElsewhere>,
}

impl MachineFailures {
    /// Records that a task of a job has failed on this machine.
    pub fn record_failure(
        &mut self,
        job: &str,
        runs_elsewhere: bool,
        failed_elsewhere: bool,
        now: Micros,
    ) {
        if self.count == 0 {
            self.first_failure_at = now;
        }
        self.count += 1;
        let elsewhere = match (runs_elsewhere, failed_elsewhere) {
            (true, _) => OutcomeElsewhere::RunsWell,
            (false, true) => OutcomeElsewhere::Failed,
            (false, false) => OutcomeElsewhere::NotTried,
        };
        self.jobs.insert(job.to_owned(), elsewhere);
    }

    /// Records that a job that failed here has failed on another machine as well.
    pub fn record_failure_elsewhere(&mut self, job: &str) {
        if let Some(elsewhere) = self.jobs.get_mut(job)
            && *elsewhere == OutcomeElsewhere::NotTried
        {
            *elsewhere = OutcomeElsewhere::Failed;
        }
    }

    /// Records that a job that failed here runs well on another machine.
    pub fn record_success_elsewhere(&mut self, job: &str) {
        if let Some(elsewhere) = self.jobs.get_mut(job) {
            *elsewhere = OutcomeElsewhere::RunsWell;
        }
    }

    /// Clears the record after a task has completed here.
    pub fn reset(&mut self) {
        *self = MachineFailures::default();
    }

    /// Reports whether any failure here may be the machine's fault.
    pub fn is_suspect(&self) -> bool {
        self.jobs.values().any(|elsewhere| *elsewhere != OutcomeElsewhere::Failed)
    }

    /// Reports whether the failures count against the machine.
    pub fn is_machine_at_fault(&self, now: Micros) -> bool {
        let runs_elsewhere = self.count >= MIN_FAILURES_FOR_FAULT
            && self.jobs.values().any(|elsewhere| *elsewhere == OutcomeElsewhere::RunsWell);
        runs_elsewhere || (self.several_jobs_failed_only_here() && self.retry_window_elapsed(now))
    }

    /// Reports whether the failures may be due to either the machine or the jobs. The machine gets
    /// no new tasks until that is decided.
    pub fn is_undecided(&self, now: Micros) -> bool {
        self.several_jobs_failed_only_here() && !self.retry_window_elapsed(now)
    }

    fn several_jobs_failed_only_here(&self) -> bool {
        self.jobs.values().filter(|elsewhere| **elsewhere == OutcomeElsewhere::NotTried).count() > 1
    }

    fn retry_window_elapsed(&self, now: Micros) -> bool {
        now.saturating_sub(self.first_failure_at) >= RETRY_ELSEWHERE_WINDOW
    }
}

#[cfg(test)]
mod tests;
