//! Queue order: the order in which jobs are placed, and the urgency of their starts.
//!
//! No job starves: a job that has not begun in time is placed before all others, and an aged one is
//! queued with urgent priority.

use std::collections::BTreeSet;

use quartzlever_wire::users::Priority;
use quartzlever_wire::{Micros, SECOND};

use super::run_times::RunTimes;
use crate::config::{Config, ServiceLevelObjective};
use crate::jobs::partition_job::PartitionJob;
use crate::partition::Partition;

/// Age beyond which a job that has not begun is placed before all others.
/// Users expect a job to begin within four minutes.
const STARVED_AFTER: Micros = 150 * SECOND;
/// A job older than `STARVED_AFTER` is not preempted for higher priorities while it has at most
/// this many tasks on machines and none finished.
const MAX_PROTECTED_FIRST_TASKS: usize = 4;
/// Age beyond which a job is not preempted for higher priorities, and is queued with urgent
/// priority.
const AGED_AFTER: Micros = 240 * SECOND;
/// The same age for best-effort jobs with checkpoints, which progress in the capacity that other
/// work leaves free. With `AGED_AFTER`, such jobs of four minutes filled the machines permanently,
/// and jobs with deadlines waited until they were four minutes old themselves.
const CHECKPOINTED_BEST_EFFORT_AGED_AFTER: Micros = 600 * SECOND;
/// Time within which a job with neither a deadline nor an objective should start.
const DEFAULT_START_WITHIN: Micros = 60 * SECOND;

/// The urgency of the start of a job's ready tasks, ordered with the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the job can meet none of its deadline and objectives any more; such jobs come last.
    pub missed: bool,
    /// The latest start that meets the next of them; the time of the submission if all are missed,
    /// and for a service.
    pub latest_start: Micros,
}

/// The latest starts of a job's tasks that meet its deadline and its objectives.
struct StartDeadlines {
    now: Micros,
    /// The earliest that has not passed.
    next: Option<Micros>,
    /// Whether the job has any, passed or not.
    any: bool,
}

impl StartDeadlines {
    fn add(&mut self, at: Micros) {
        self.any = true;
        if at >= self.now {
            self.next = Some(self.next.map_or(at, |next| next.min(at)));
        }
    }

    /// Collects the latest starts for a job's deadline and for the objectives of its class.
    fn of(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Self {
        let spec = job.spec();
        let expected_run_time = run_times.expected_run_time(spec);
        let latest_start_for = |end: Micros| end.saturating_sub(expected_run_time);
        let due_after = job.due.map(|due| due.saturating_sub(job.submitted_at));
        let mut deadlines = StartDeadlines { now, next: None, any: false };
        if let Some(due_after) = due_after {
            deadlines.add(latest_start_for(job.submitted_at + due_after));
        }
        for objective in config.objectives.iter().filter(|o| o.class() == spec.class) {
            match objective {
                ServiceLevelObjective::Wait { within, .. } => {
                    deadlines.add(job.submitted_at + within)
                }
                ServiceLevelObjective::Finished { within, .. } => {
                    deadlines.add(latest_start_for(job.submitted_at + within));
                }
                ServiceLevelObjective::Deadline { times, .. } => {
                    if let Some(due_after) = due_after {
                        deadlines.add(latest_start_for(
                            job.submitted_at + (due_after as f64 * times) as Micros,
                        ));
                    }
                }
            }
        }
        deadlines
    }
}

/// Returns the urgency of a job, by the earliest of its deadline and objectives that can still be
/// met.
pub fn urgency(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Urgency {
    if job.is_service() {
        // Every moment without a replica is downtime, so the start is due at once.
        return Urgency { missed: false, latest_start: job.submitted_at };
    }
    match StartDeadlines::of(config, run_times, job, now) {
        StartDeadlines { any: false, .. } => {
            Urgency { missed: false, latest_start: job.submitted_at + DEFAULT_START_WITHIN }
        }
        StartDeadlines { next: Some(latest_start), .. } => Urgency { missed: false, latest_start },
        StartDeadlines { next: None, .. } => {
            Urgency { missed: true, latest_start: job.submitted_at }
        }
    }
}

/// The sort key of a job in the queue, compared field by field in the order of declaration; lower
/// keys come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey<'a> {
    /// False for starved jobs, which come before all others.
    may_wait: bool,
    /// False for jobs of teams whose unfinished work fits their guarantee.
    beyond_guarantee: bool,
    priority: Priority,
    urgency: Urgency,
    since: Micros,
    /// Makes the order independent of where it is computed.
    id: &'a String,
}

impl PartitionJob {
    /// Reports whether the job is so old that it is not preempted for higher priorities any more.
    fn is_aged(&self, now: Micros) -> bool {
        let aged_after = if self.is_cheap_to_preempt() {
            CHECKPOINTED_BEST_EFFORT_AGED_AFTER
        } else {
            AGED_AFTER
        };
        now.saturating_sub(self.submitted_at) > aged_after
    }

    /// Reports whether the job's tasks are not preempted for higher priorities: the job is aged, or
    /// it is older than `STARVED_AFTER`, none of its tasks has finished, and at most
    /// `MAX_PROTECTED_FIRST_TASKS` are on machines. Without the second case, the first tasks of a
    /// late job, as the youngest, were preempted repeatedly while they pulled their image, and the
    /// job had not begun after 250 s.
    pub(super) fn is_protected(&self, now: Micros) -> bool {
        let late = now.saturating_sub(self.submitted_at) > STARVED_AFTER;
        let only_first_tasks = self.assignments.len() <= MAX_PROTECTED_FIRST_TASKS
            && self.finished.is_empty()
            && self.record.finished.is_empty();
        self.is_aged(now) || (late && only_first_tasks)
    }

    /// Returns the priority with which the job is queued: at least urgent for an aged one.
    fn queue_priority(&self, now: Micros) -> Priority {
        let priority = self.spec().priority;
        if self.is_aged(now) { priority.min(Priority::Urgent) } else { priority }
    }

    /// Reports whether the job has waited longer than `STARVED_AFTER` without beginning, so that it
    /// is placed before all others. Without this, a continuous supply of work of higher priority,
    /// or of jobs that could still meet their objectives, kept others from ever beginning. A job
    /// that fails everywhere is not starved.
    pub(crate) fn is_starved(&self, now: Micros) -> bool {
        let begun = !self.assignments.is_empty()
            || !self.finished.is_empty()
            || !self.record.finished.is_empty();
        !begun && !self.fails_everywhere() && now.saturating_sub(self.submitted_at) > STARVED_AFTER
    }
}

impl Partition {
    /// Returns the ids of the jobs with ready tasks, in the order in which they are to be placed.
    pub fn queue_order(&self, config: &Config, run_times: &RunTimes, now: Micros) -> Vec<String> {
        let teams_within_guarantee = self.teams_within_guarantee(config);
        let waiting = self.jobs.iter().filter(|(_, job)| !job.ready.is_empty());
        let mut order: Vec<QueueKey> = waiting
            .map(|(id, job)| QueueKey {
                may_wait: !job.is_starved(now),
                beyond_guarantee: !teams_within_guarantee.contains(job.spec().team.as_str()),
                priority: job.queue_priority(now),
                urgency: urgency(config, run_times, job, now),
                since: job.submitted_at,
                id,
            })
            .collect();
        order.sort();
        order.into_iter().map(|key| key.id.clone()).collect()
    }

    /// Returns the teams whose unfinished work fits their guarantee.
    pub(super) fn teams_within_guarantee(&self, config: &Config) -> BTreeSet<String> {
        let teams = config.teams.iter().filter(|t| self.is_within_guarantee(config, &t.name));
        teams.map(|t| t.name.clone()).collect()
    }

    /// Reports whether the unfinished work of a team, of all jobs known to this partition, fits the
    /// team's guarantee. False for a team without a guarantee.
    fn is_within_guarantee(&self, config: &Config, team: &str) -> bool {
        let Some(team) = config.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let (mut cpus, mut gpus) = (0.0, 0.0);
        for job in self.jobs.values().filter(|j| j.spec().team == team.name) {
            let unfinished =
                f64::from(job.spec().tasks - job.record.finished.len().min(job.spec().tasks));
            cpus += unfinished * job.spec().cpus;
            gpus += unfinished * job.spec().gpus;
        }
        cpus <= team.cpus + 1e-9 && gpus <= team.gpus + 1e-9
    }
}

#[cfg(test)]
mod tests;
