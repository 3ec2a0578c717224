//! Preemption of work of lower priority, or of teams beyond their guarantee, for jobs without free
//! capacity.
//!
//! Work of lower priority is not preempted while its job is protected (`queue_order`), and no more
//! is preempted than the waiting tasks require. On each machine the attempts that lose the least
//! work are stopped, and the machine with the lowest cost is chosen first.

mod plan;

use quartzlever_wire::users::Priority;
use quartzlever_wire::{Micros, SECOND};

use super::max_silence;
use super::queue_order::urgency;
use super::run_times::RunTimes;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::AttemptKey;
use crate::machines::resources::Resources;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::work::Activity;

use plan::{Eviction, PreemptionPlan, PreemptionRequest, Victims};

/// How long before the latest start of a job work of lower priority is preempted for it: the time
/// that it takes to stop one task and start another.
const PREEMPTION_LEAD_TIME: Micros = 5 * SECOND / 2;
/// Time after the submission in which no work is preempted for a job, since capacity may become
/// free or another partition may steal the tasks.
const MIN_WAIT_BEFORE_PREEMPTION: Micros = SECOND / 5;
/// Minimum time between two searches of all machines for work to preempt. With hundreds of
/// machines, one search takes longer than the handling of a heartbeat may.
const PREEMPTION_INTERVAL: Micros = SECOND / 5;
/// Number of attempts that are preempted in a search from which on no more are; the next search goes
/// on.
pub(crate) const MAX_PREEMPTIONS: usize = 1000;
/// Number of attempts that a search visits from which on it looks at no more jobs; the next search
/// begins with the job after.
const MAX_VISITED_ATTEMPTS: usize = 200_000;

/// The times from which on work is preempted for a job.
struct PreemptionTimes {
    /// For best-effort tasks with checkpoints.
    checkpointed_from: Micros,
    /// For all tasks that the priority or the guarantee allows.
    any_from: Micros,
}

impl PreemptionTimes {
    fn new(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Self {
        let checkpointed_from = job.submitted_at + MIN_WAIT_BEFORE_PREEMPTION;
        let latest = urgency(config, run_times, job, now).latest_start;
        let urgent_from = (latest + 1).saturating_sub(PREEMPTION_LEAD_TIME);
        PreemptionTimes { checkpointed_from, any_from: checkpointed_from.max(urgent_from) }
    }

    fn victims(&self, now: Micros) -> Victims {
        if now < self.any_from { Victims::CheckpointedBestEffort } else { Victims::Any }
    }
}

/// The state of a partition's attempts that preemption depends on.
struct PreemptionState {
    /// Processors of attempts that are being stopped, not yet allotted to a waiting job.
    freeing_cpus: f64,
    /// The lowest priority of the attempts that are not being stopped.
    lowest_priority: Priority,
    /// Whether any of these is best-effort work with checkpoints.
    has_checkpointed: bool,
}

impl PreemptionState {
    fn of(partition: &Partition) -> Self {
        let mut all = PreemptionState {
            freeing_cpus: 0.0,
            lowest_priority: Priority::Prod,
            has_checkpointed: false,
        };
        for attempt in partition.active_attempts() {
            partition.work.add(1);
            if attempt.wanted {
                all.lowest_priority = all.lowest_priority.max(attempt.priority);
                all.has_checkpointed |= attempt.is_cheap_to_preempt;
            } else {
                all.freeing_cpus += attempt.required_resources.cpus;
            }
        }
        all
    }

    /// Returns for how many of `tasks` tasks work has to be preempted, and allots the processors
    /// that are being freed to the others.
    fn subtract_freeing_cpus(&mut self, tasks: u32, need: &Resources) -> u32 {
        let all = f64::from(tasks) * need.cpus;
        let covered = f64::min(self.freeing_cpus, all);
        self.freeing_cpus -= covered;
        ((all - covered) / need.cpus.max(1e-6)).ceil() as u32
    }
}

impl Core {
    /// Preempts work for the jobs that found no capacity in the last placement.
    pub(super) fn preempt(&mut self, name: &str) {
        let now = self.now;
        let max_silence = max_silence(&self.config);
        let Some(partition) =
            self.partitions.get_mut(name).filter(|p| !p.jobs_without_capacity.is_empty())
        else {
            return;
        };
        if !partition.try_begin_preemption(now) {
            return;
        }
        let _activity = self.work.begin(Activity::Preemption);
        let mut state = PreemptionState::of(partition);
        let (mut max_preemptions, mut visited) = (MAX_PREEMPTIONS, 0);
        let teams_within_guarantee = partition.teams_within_guarantee(&self.config);
        for id in partition.jobs_to_preempt_for() {
            let Some(job) = partition.jobs.get(&id) else { continue };
            let times = PreemptionTimes::new(&self.config, &self.run_times, job, now);
            let (spec, need, ready) =
                (job.spec().clone(), job.required_resources(), job.unplaced_count());
            let victims = times.victims(now);
            if victims == Victims::CheckpointedBestEffort
                && !partition.may_preempt_checkpointed(&times, state.has_checkpointed, now)
            {
                continue;
            }
            let wanted = state.subtract_freeing_cpus(ready, &need);
            if wanted == 0 {
                continue;
            }
            partition.schedule_placement(now + PREEMPTION_INTERVAL);
            if max_preemptions == 0 || visited > MAX_VISITED_ATTEMPTS {
                partition.next_preemption_for = Some(id);
                break;
            }
            let may_have_victims = state.lowest_priority > spec.priority
                || teams_within_guarantee.contains(&spec.team);
            let request = PreemptionRequest {
                spec: &spec,
                need,
                teams_within_guarantee: &teams_within_guarantee,
                victims,
                max_preemptions,
                now,
                max_silence,
            };
            let plan = if may_have_victims {
                partition.plan_preemption(&request, wanted)
            } else {
                PreemptionPlan::none(wanted)
            };
            visited += plan.visited;
            // Peers are notified of lacking capacity only for starts that are urgent.
            partition.saturated |= plan.unplaced > 0 && victims == Victims::Any;
            for eviction in plan.evictions {
                let (machine, count) = (eviction.machine.clone(), eviction.attempts.len());
                partition.evict(&request, eviction);
                max_preemptions = max_preemptions.saturating_sub(count);
                self.outbox.log(LogLevel::Info, || LogEvent::TasksPreempted {
                    partition: name.to_owned(),
                    machine,
                    job: id.clone(),
                    count,
                });
            }
        }
    }
}

impl Partition {
    /// Reports whether all machines may be searched for work to preempt now; if not, schedules a
    /// placement for the time when they may.
    fn try_begin_preemption(&mut self, now: Micros) -> bool {
        if now < self.next_preemption_at {
            self.schedule_placement(self.next_preemption_at);
            return false;
        }
        self.next_preemption_at = now + PREEMPTION_INTERVAL;
        true
    }

    /// Returns the jobs without capacity in queue order, but beginning with the one at which the last
    /// search ended early.
    fn jobs_to_preempt_for(&mut self) -> Vec<String> {
        let mut jobs = self.jobs_without_capacity.clone();
        if let Some(first) = self.next_preemption_for.take()
            && let Some(place) = jobs.iter().position(|id| *id == first)
        {
            jobs.rotate_left(place);
        }
        jobs
    }

    /// Reports whether best-effort tasks with checkpoints may be preempted now for a job that is
    /// not urgent yet, and schedules a placement for the time when more may be preempted.
    fn may_preempt_checkpointed(
        &mut self,
        times: &PreemptionTimes,
        any_checkpointed: bool,
        now: Micros,
    ) -> bool {
        let earliest = if any_checkpointed { times.checkpointed_from } else { times.any_from };
        let may = now >= earliest;
        self.schedule_placement(if may { times.any_from } else { earliest });
        may
    }

    /// Stops the attempts of an eviction, and reserves their capacity if some of them save before
    /// they end.
    fn evict(&mut self, request: &PreemptionRequest, eviction: Eviction) {
        let Eviction { machine, attempts } = eviction;
        if self.any_saves_before_end(&machine, &attempts) {
            self.reservations.reserve_preempted(&machine, request.spec.priority, request.now);
        }
        for key in attempts {
            if let Some(job) = self.jobs.get_mut(&key.task.job) {
                job.preempted_tasks.insert(key.task.index);
                let leeway = job.record.job.save_s;
                self.stop_attempt(&machine, &key, leeway);
            }
        }
    }

    /// Reports whether any of these attempts saves before it ends, so that they end at different
    /// times.
    fn any_saves_before_end(&self, machine_name: &str, attempts: &[AttemptKey]) -> bool {
        let on_machine = self.machines.get(machine_name).map(|machine| &machine.attempts);
        let on_machine =
            attempts.iter().filter_map(|key| on_machine.and_then(|on_machine| on_machine.get(key)));
        on_machine.into_iter().any(|attempt| attempt.is_cheap_to_preempt)
    }
}

#[cfg(test)]
mod tests;
