//! Queue order: which job goes first, and how much a start presses.
//!
//! Guards that nothing waits for ever: a job that has not begun in time begins next, and an aged one
//! queues with urgent work.

use std::collections::BTreeSet;

use quartzlever_wire::users::Priority;
use quartzlever_wire::{Micros, SECOND};

use super::run_times::RunTimes;
use crate::config::{Config, ServiceLevelObjective};
use crate::jobs::partition_job::PartitionJob;
use crate::partition::Partition;

/// A job that has not begun by then begins next; users expect that within four minutes.
const STARVED_AFTER: Micros = 150 * SECOND;
/// So many first tasks of such a job are not stopped for higher ranks.
const PROTECTED_FIRST_TASKS: usize = 4;
/// A job that old is not stopped for higher ranks, and queues with urgent ones.
const AGED_AFTER: Micros = 240 * SECOND;
/// Idle-time work that saves its progress gets on in whatever time is left, so it is as old as this before it counts as
/// old. With the time of all other work, guests that were four minutes old filled the machines for good, and
/// jobs with deadlines waited until they were four minutes old themselves.
const IDLE_TIME_AGED_AFTER: Micros = 600 * SECOND;
/// A job that has neither a deadline nor an aim is treated as if it should start within this time.
const NO_AIM: Micros = 60 * SECOND;

/// When the ready tasks of a job have to start for the next aim on it that can still be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Every aim on the job is missed already; others go first.
    pub missed: bool,
    pub latest: Micros,
}

/// The points of time by which the tasks of a job should start.
struct Aims {
    now: Micros,
    /// The next that is still ahead.
    next: Option<Micros>,
    /// Whether there is any at all.
    any: bool,
}

impl Aims {
    fn add(&mut self, at: Micros) {
        self.any = true;
        if at >= self.now {
            self.next = Some(self.next.map_or(at, |next| next.min(at)));
        }
    }

    /// All aims on a job: its deadline, and the objectives of its class.
    fn of(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Self {
        let spec = job.spec();
        let expect = run_times.expect(spec);
        let by = |end: Micros| end.saturating_sub(expect);
        let span = job.due.map(|due| due.saturating_sub(job.since));
        let mut aims = Aims { now, next: None, any: false };
        if let Some(span) = span {
            aims.add(by(job.since + span));
        }
        for objective in config.objectives.iter().filter(|o| o.class() == spec.class) {
            match objective {
                ServiceLevelObjective::Wait { within, .. } => aims.add(job.since + within),
                ServiceLevelObjective::Finished { within, .. } => {
                    aims.add(by(job.since + within));
                }
                ServiceLevelObjective::Deadline { times, .. } => {
                    if let Some(span) = span {
                        aims.add(by(job.since + (span as f64 * times) as Micros));
                    }
                }
            }
        }
        aims
    }
}

/// What presses most for a job, of what can still be met.
pub fn urgency(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Urgency {
    if job.service() {
        // Each moment without a replica is lost.
        return Urgency { missed: false, latest: job.since };
    }
    match Aims::of(config, run_times, job, now) {
        Aims { any: false, .. } => Urgency { missed: false, latest: job.since + NO_AIM },
        Aims { next: Some(latest), .. } => Urgency { missed: false, latest },
        Aims { next: None, .. } => Urgency { missed: true, latest: job.since },
    }
}

/// A job's place in the queue, first come first, by the fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey<'a> {
    /// Jobs that must begin now go before all others: they may not wait.
    may_wait: bool,
    /// Then teams whose unfinished work fits their guarantee.
    outside_guarantee: bool,
    priority: Priority,
    urgency: Urgency,
    since: Micros,
    /// Makes the order one and the same wherever it is computed.
    id: &'a String,
}

impl PartitionJob {
    /// Whether the job has waited so long that higher ranks stop it no more.
    fn is_aged(&self, now: Micros) -> bool {
        let after = if self.yields() { IDLE_TIME_AGED_AFTER } else { AGED_AFTER };
        now.saturating_sub(self.since) > after
    }

    /// Whether higher ranks leave its tasks alone: so does a job whose first tasks begin late. As
    /// the youngest of all they were stopped again and again, while they fetched their image, and
    /// the job had not begun after 250 s.
    pub(super) fn is_protected(&self, now: Micros) -> bool {
        let late = now.saturating_sub(self.since) > STARVED_AFTER;
        let first = self.assignments.len() <= PROTECTED_FIRST_TASKS
            && self.finished.is_empty()
            && self.record.finished.is_empty();
        self.is_aged(now) || (late && first)
    }

    /// The rank that the job queues with: an aged one queues with urgent work.
    fn queue_priority(&self, now: Micros) -> Priority {
        let priority = self.spec().priority;
        if self.is_aged(now) { priority.min(Priority::Urgent) } else { priority }
    }

    /// Whether the job has not begun although it has waited as long as any may: it must begin now
    /// whatever else waits. Without this, a flood of higher work, or of jobs that can still meet their
    /// aims, kept others from beginning at all.
    pub(crate) fn is_starved(&self, now: Micros) -> bool {
        let begun = !self.assignments.is_empty()
            || !self.finished.is_empty()
            || !self.record.finished.is_empty();
        !begun && !self.fails_everywhere() && now.saturating_sub(self.since) > STARVED_AFTER
    }
}

impl Partition {
    /// Jobs with ready tasks: by rank, guarantee and time.
    pub fn queue_order(&self, config: &Config, run_times: &RunTimes, now: Micros) -> Vec<String> {
        let guaranteed = self.teams_inside_guarantee(config);
        let waiting = self.jobs.iter().filter(|(_, job)| !job.ready.is_empty());
        let mut order: Vec<QueueKey> = waiting
            .map(|(id, job)| QueueKey {
                may_wait: !job.is_starved(now),
                outside_guarantee: !guaranteed.contains(job.spec().team.as_str()),
                priority: job.queue_priority(now),
                urgency: urgency(config, run_times, job, now),
                since: job.since,
                id,
            })
            .collect();
        order.sort();
        order.into_iter().map(|key| key.id.clone()).collect()
    }

    /// The teams whose unfinished work fits their guarantee.
    pub(super) fn teams_inside_guarantee(&self, config: &Config) -> BTreeSet<String> {
        let inside = config.teams.iter().filter(|t| self.inside_guarantee(config, &t.name));
        inside.map(|t| t.name.clone()).collect()
    }

    /// Whether all unfinished work of a team, as far as this partition knows it, fits its guarantee.
    fn inside_guarantee(&self, config: &Config, team: &str) -> bool {
        let Some(team) = config.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let (mut cpus, mut gpus) = (0.0, 0.0);
        for job in self.jobs.values().filter(|j| j.spec().team == team.name) {
            let left =
                f64::from(job.spec().tasks - job.record.finished.len().min(job.spec().tasks));
            cpus += left * job.spec().cpus;
            gpus += left * job.spec().gpus;
        }
        cpus <= team.cpus + 1e-9 && gpus <= team.gpus + 1e-9
    }
}

#[cfg(test)]
mod tests;
