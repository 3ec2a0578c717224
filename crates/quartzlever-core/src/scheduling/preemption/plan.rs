//! The plan of a preemption: the attempts to stop so that tasks of one job fit, those with the least
//! lost work first.
//!
//! Only reads. The candidates of each machine are sorted once; evictions are then selected from what
//! is left of them.

use std::collections::BTreeSet;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, SECOND};

use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;
use crate::scheduling::feasibility::machine_allowed;

/// Run time that is added to the cost of a task that was preempted before.
const REPEATED_PREEMPTION_COST: Micros = 4 * SECOND;
/// Minimum number of processors that a task counts with in the cost of lost work.
const MIN_CPUS_IN_COST: f64 = 0.1;

/// The tasks that may be preempted for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victims {
    /// Best-effort tasks with checkpoints, which lose almost no work: they are preempted as soon as
    /// any other work waits. When they were preempted only just before the latest start, with all
    /// machines full of them, two thirds of the deadlines were missed, because saving, the image
    /// pull and the slowest task add to the delay.
    CheckpointedBestEffort,
    /// All tasks that the priority or the guarantee allows, once the start would otherwise be late.
    Any,
}

/// A job for which work is preempted at the time `now`.
pub(super) struct PreemptionRequest<'a> {
    pub spec: &'a JobSpec,
    pub need: Resources,
    /// The teams whose unfinished work fits their guarantee.
    pub teams_within_guarantee: &'a BTreeSet<String>,
    pub victims: Victims,
    /// Number of attempts from which on no more are preempted.
    pub max_preemptions: usize,
    pub now: Micros,
    /// Time without a heartbeat after which a machine is left out.
    pub max_silence: Micros,
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
pub(super) struct Eviction {
    pub machine: String,
    pub attempts: Vec<AttemptKey>,
}

/// The evictions for a job.
pub(super) struct PreemptionPlan {
    /// The evictions, the cheapest first.
    pub evictions: Vec<Eviction>,
    /// Number of tasks for which no capacity can be freed.
    pub unplaced: u32,
    /// Number of attempts that were visited.
    pub visited: usize,
}

impl PreemptionPlan {
    /// Creates the plan for a job for which nothing may be preempted.
    pub fn none(unplaced: u32) -> Self {
        PreemptionPlan { evictions: Vec::new(), unplaced, visited: 0 }
    }
}

impl Partition {
    /// Selects the attempts with the lowest cost until `wanted` tasks of the job fit. Each candidate
    /// is visited once for the search and once if it is selected.
    pub(super) fn plan_preemption(
        &self,
        request: &PreemptionRequest,
        wanted: u32,
    ) -> PreemptionPlan {
        let mut evictions = Vec::new();
        let (mut unplaced, mut preempted) = (wanted, 0);
        let mut machines = Vec::new();
        let mut visited = 0;
        for machine in self.machines.values() {
            visited += machine.attempts.len();
            machines.extend(self.candidates_on(request, machine));
        }
        self.work.add(self.machines.len() + visited);
        machines.sort_by(|a, b| b.next.lost_work.total_cmp(&a.next.lost_work));
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
        PreemptionPlan { evictions, unplaced, visited }
    }

    /// Returns the work that may be preempted on a machine; `None` if no task of the job can be made
    /// to fit there.
    fn candidates_on<'a>(
        &'a self,
        request: &PreemptionRequest,
        machine: &'a Machine,
    ) -> Option<MachineCandidates<'a>> {
        let machine_type = self.types.as_ref()?.get(&machine.record.machine_type)?;
        if !machine.accepts_tasks(request.now, request.max_silence)
            || !machine_allowed(request.spec, machine)
        {
            return None;
        }
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
