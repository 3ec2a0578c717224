//! Preemption of work of lower priority, or of teams beyond their guarantee, for jobs without free
//! capacity.
//!
//! Work of lower priority is not preempted while its job is protected (`queue_order`), and no more
//! is preempted than the waiting tasks require. On each machine the attempts that lose the least
//! work are stopped, and the machine with the lowest cost is chosen first.

use std::collections::BTreeSet;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::{Micros, SECOND};

use super::feasibility::machine_allowed;
use super::max_silence;
use super::queue_order::urgency;
use super::run_times::RunTimes;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::work::Activity;

/// How long before the latest start of a job work of lower priority is preempted for it: the time
/// that it takes to stop one task and start another.
const PREEMPTION_LEAD_TIME: Micros = 5 * SECOND / 2;
/// Run time that is added to the cost of a task that was preempted before.
const REPEATED_PREEMPTION_COST: Micros = 4 * SECOND;
/// Time after the submission in which no work is preempted for a job, since capacity may become
/// free or another partition may steal the tasks.
const MIN_WAIT_BEFORE_PREEMPTION: Micros = SECOND / 5;
/// Minimum time between two searches of all machines for work to preempt. With hundreds of
/// machines, one search takes longer than the handling of a heartbeat may.
const PREEMPTION_INTERVAL: Micros = SECOND / 5;
/// Number of attempts that are preempted in a search from which on no more are; the next search goes
/// on.
pub(crate) const MAX_PREEMPTIONS: usize = 1000;
/// Minimum number of processors that a task counts with in the cost of lost work.
const MIN_CPUS_IN_COST: f64 = 0.1;

/// The tasks that may be preempted for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victims {
    /// Best-effort tasks with checkpoints, which lose almost no work: they are preempted as soon as
    /// any other work waits. When they were preempted only just before the latest start, with all
    /// machines full of them, two thirds of the deadlines were missed, because saving, the image
    /// pull and the slowest task add to the delay.
    CheckpointedBestEffort,
    /// All tasks that the priority or the guarantee allows, once the start would otherwise be late.
    Any,
}

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

/// A job for which work is preempted at the time `now`.
struct PreemptionRequest<'a> {
    spec: &'a JobSpec,
    need: Resources,
    /// The teams whose unfinished work fits their guarantee.
    teams_within_guarantee: &'a BTreeSet<String>,
    victims: Victims,
    /// Number of attempts from which on no more are preempted.
    max_preemptions: usize,
    now: Micros,
    /// Time without a heartbeat after which a machine is left out.
    max_silence: Micros,
}

/// An attempt that may be preempted.
struct Candidate<'a> {
    /// Work lost by stopping it, in processor-microseconds.
    cost: f64,
    key: &'a AttemptKey,
    attempt: &'a Attempt,
}

impl PreemptionRequest<'_> {
    /// Reports whether an attempt may be preempted for the job: it has lower priority and is not
    /// protected, or its team is beyond its guarantee while the job's team is within its own.
    fn may_preempt(&self, attempt: &Attempt, is_protected: bool) -> bool {
        let has_lower_priority = attempt.priority > self.spec.priority;
        let exceeds_guarantee = self.teams_within_guarantee.contains(&self.spec.team)
            && attempt.team != self.spec.team
            && !attempt.team.is_empty()
            && !self.teams_within_guarantee.contains(&attempt.team);
        let is_eligible = self.victims == Victims::Any || attempt.is_cheap_to_preempt;
        attempt.wanted
            && !attempt.has_exited()
            && is_eligible
            && ((has_lower_priority && !is_protected) || exceeds_guarantee)
    }

    /// Returns the cost of pulling the job's image if the machine lacks it, in
    /// processor-microseconds, since the pull delays the start as well.
    fn image_pull_cost(&self, machine: &Machine, machine_type: &MachineType) -> f64 {
        if machine.images.contains(&self.spec.image) {
            return 0.0;
        }
        let pull = self.spec.image_gb / machine_type.pull_gb_per_s.max(0.01);
        pull * 1e6 * self.need.cpus.max(MIN_CPUS_IN_COST)
    }
}

/// The work that may be preempted for the job on one machine, and how much of it has to end next.
struct MachineCandidates<'a> {
    machine: &'a Machine,
    /// The remaining candidates, those with the least lost work last.
    candidates: Vec<Candidate<'a>>,
    /// Cost of the image pull, in processor-microseconds.
    pull_cost: f64,
    next: NextEviction,
}

/// The candidates whose end frees capacity for a task of the job.
#[derive(Clone, Copy, Default)]
struct NextEviction {
    /// Number of candidates to stop.
    attempts: usize,
    /// Lost work and the cost of the image pull, in processor-microseconds.
    lost_work: f64,
    /// Number of the job's tasks that fit afterwards.
    tasks_placed: u32,
}

impl MachineCandidates<'_> {
    /// Selects the candidates with the least lost work whose end makes a task of the job fit.
    /// Returns `false` if it cannot be made to fit, or fits already.
    fn select_next(&mut self, need: &Resources) -> bool {
        let mut free = self.machine.free;
        let mut next = NextEviction::default();
        for Candidate { cost, attempt, .. } in self.candidates.iter().rev() {
            if free.fits(need) {
                break;
            }
            free.add(&attempt.required_resources);
            next.lost_work += cost;
            next.attempts += 1;
        }
        next.lost_work += self.pull_cost;
        next.tasks_placed = free.count_fitting(need);
        self.next = next;
        free.fits(need) && next.attempts > 0
    }

    /// Removes and returns the selected candidates, those with the least lost work first.
    fn take_next(&mut self) -> Vec<AttemptKey> {
        let first = self.candidates.len() - self.next.attempts;
        self.candidates.drain(first..).rev().map(|candidate| candidate.key.clone()).collect()
    }
}

/// A set of attempts whose end frees capacity for the job on one machine.
struct Eviction {
    machine: String,
    attempts: Vec<AttemptKey>,
}

/// The evictions for a job.
struct PreemptionPlan {
    /// The evictions, the cheapest first.
    evictions: Vec<Eviction>,
    /// Number of tasks for which no capacity can be freed.
    unplaced: u32,
}

/// The result of a preemption for one job.
struct PreemptionResult {
    /// Number of attempts preempted on each machine, in the order of the evictions.
    by_machine: Vec<(String, usize)>,
    /// Number of tasks for which no capacity could be freed.
    unplaced: u32,
}

impl PreemptionResult {
    fn none(unplaced: u32) -> Self {
        PreemptionResult { by_machine: Vec::new(), unplaced }
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
        let mut max_preemptions = MAX_PREEMPTIONS;
        let teams_within_guarantee = partition.teams_within_guarantee(&self.config);
        for id in partition.jobs_without_capacity.clone() {
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
            if max_preemptions == 0 {
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
            let result = if may_have_victims {
                partition.preempt_for(&request, wanted)
            } else {
                PreemptionResult::none(wanted)
            };
            // Peers are notified of lacking capacity only for starts that are urgent.
            partition.saturated |= result.unplaced > 0 && victims == Victims::Any;
            for (machine, count) in result.by_machine {
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

    /// Preempts the attempts with the lowest cost until `wanted` tasks of the job fit.
    fn preempt_for(&mut self, request: &PreemptionRequest, wanted: u32) -> PreemptionResult {
        let PreemptionPlan { evictions, unplaced } = self.plan_preemption(request, wanted);
        let mut result = PreemptionResult::none(unplaced);
        for eviction in evictions {
            result.by_machine.push((eviction.machine.clone(), eviction.attempts.len()));
            self.evict(request, eviction);
        }
        result
    }

    /// Selects the attempts with the lowest cost until `wanted` tasks of the job fit. Each candidate
    /// is visited once for the search and once if it is selected.
    fn plan_preemption(&self, request: &PreemptionRequest, wanted: u32) -> PreemptionPlan {
        let mut evictions = Vec::new();
        let (mut unplaced, mut preempted) = (wanted, 0);
        let mut machines = self.machines_with_candidates(request);
        while unplaced > 0 {
            if preempted >= request.max_preemptions {
                // The others are not known to lack capacity.
                unplaced = 0;
                break;
            }
            let Some(mut cheapest) = machines.pop() else { break };
            unplaced -= cheapest.next.tasks_placed.min(unplaced);
            let attempts = cheapest.take_next();
            self.work.add(attempts.len());
            preempted += attempts.len();
            evictions.push(Eviction { machine: cheapest.machine.name.clone(), attempts });
            // More attempts on the same machine may be worth preempting.
            if cheapest.select_next(&request.need) {
                let at = machines.partition_point(|m| m.next.lost_work > cheapest.next.lost_work);
                machines.insert(at, cheapest);
            }
        }
        PreemptionPlan { evictions, unplaced }
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

    /// Returns the machines where a task of the job can be made to fit, in descending order of the
    /// cost.
    fn machines_with_candidates(&self, request: &PreemptionRequest) -> Vec<MachineCandidates<'_>> {
        let machines = self.machines.values();
        let mut all: Vec<MachineCandidates> =
            machines.filter_map(|machine| self.candidates_on(request, machine)).collect();
        all.sort_by(|a, b| b.next.lost_work.total_cmp(&a.next.lost_work));
        all
    }

    /// Returns the work that may be preempted on a machine; `None` if no task of the job can be made
    /// to fit there.
    fn candidates_on<'a>(
        &'a self,
        request: &PreemptionRequest,
        machine: &'a Machine,
    ) -> Option<MachineCandidates<'a>> {
        let machine_type = self.types.as_ref()?.get(&machine.record.machine_type)?;
        self.work.add(1);
        if !machine.accepts_tasks(request.now, request.max_silence)
            || !machine_allowed(request.spec, machine)
        {
            return None;
        }
        self.work.add(machine.attempts.len());
        let mut found = MachineCandidates {
            machine,
            candidates: self.candidates(request, machine),
            pull_cost: request.image_pull_cost(machine, machine_type),
            next: NextEviction::default(),
        };
        found.select_next(&request.need).then_some(found)
    }

    /// Returns the attempts on a machine that may be preempted for the job, in descending order of
    /// cost.
    fn candidates<'a>(
        &'a self,
        request: &PreemptionRequest,
        machine: &'a Machine,
    ) -> Vec<Candidate<'a>> {
        let attempts = machine.attempts.iter().filter(|(key, attempt)| {
            let job = self.jobs.get(&key.task.job);
            request.may_preempt(attempt, job.is_some_and(|j| j.is_protected(request.now)))
        });
        let mut candidates: Vec<Candidate> = attempts
            .map(|(key, attempt)| Candidate {
                cost: self.preemption_cost(key, attempt, request.now),
                key,
                attempt,
            })
            .collect();
        // Of equal candidates, the first by key is stopped first.
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates.reverse();
        candidates
    }

    /// Returns the work that is lost by stopping an attempt, in processor-microseconds.
    fn preemption_cost(&self, key: &AttemptKey, attempt: &Attempt, now: Micros) -> f64 {
        let ran = attempt.running_since.map_or(0, |since| now.saturating_sub(since));
        // A higher cost, but no exemption: exempting tasks that were preempted before shifted the
        // preemptions to older tasks, and more work was lost.
        let was_preempted =
            self.jobs.get(&key.task.job).is_none_or(|j| j.preempted_tasks.contains(key.task.index));
        let ran = if was_preempted { ran + REPEATED_PREEMPTION_COST } else { ran };
        ran as f64 * attempt.required_resources.cpus.max(MIN_CPUS_IN_COST)
    }
}

#[cfg(test)]
mod tests;
