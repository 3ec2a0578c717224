//! Assignment of the ready tasks in the queue to machines.
//!
//! The jobs are placed in queue order, each on its feasible machines by descending score. No task
//! is started beyond the limit of its team, or on a machine without a recent heartbeat.

use std::collections::BTreeSet;

use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND};

use super::distribution::{Distribution, MachineRoom, Spreading, distribute};
use super::feasibility::{Feasibility, machine_allowed};
use super::queue_order::urgency;
use super::score::{Score, Scoring};
use super::team_usage::TeamUsage;
use super::zones::zone_capacity;
use crate::config::{Config, Team};
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;
use crate::router::Core;
use crate::work::Activity;

/// Minimum time between two placements of a partition's whole queue. With hundreds of machines, one
/// placement takes longer than the handling of a heartbeat may.
const PLACEMENT_INTERVAL: Micros = SECOND / 10;
/// Maximum number of tasks that one placement of the queue starts; the next one goes on. It takes a
/// controller with a fiftieth of a processor a fraction of the second in which it has to answer
/// health checks.
pub(crate) const MAX_STARTS_PER_PLACEMENT: u32 = 1000;
/// Interval of the check whether an attempt of a job that fails everywhere has run longer than all
/// failed ones.
const TRIAL_CHECK_INTERVAL: Micros = SECOND;

/// Which starts a placement may make.
struct PlacementScope<'a> {
    /// The only machine that may get tasks; `None` for all.
    only_machine: Option<&'a str>,
    /// Number of starts that are left.
    max_starts: u32,
    /// The use of the teams' resources, once a job of a team with limits was placed.
    team_usage: Option<TeamUsage>,
}

impl<'a> PlacementScope<'a> {
    /// Creates the scope of a placement on all machines, or on one.
    fn new(only_machine: Option<&'a str>) -> Self {
        PlacementScope { only_machine, max_starts: MAX_STARTS_PER_PLACEMENT, team_usage: None }
    }
}

impl Core {
    /// Places the ready tasks of a partition if a placement is due, and preempts work of lower
    /// priority for those without capacity.
    pub(crate) fn place_ready_tasks(&mut self, name: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.placement_is_due(now))
        else {
            return;
        };
        let _activity = self.work.begin(Activity::Placement);
        partition.begin_placement(now);
        partition.update_reservation(now);
        let many_machines = partition.machines.len() > self.config.machine_capacity / 2;
        // A direct call costs as much processor time as several heartbeats. A hundred calls for one
        // job took two seconds on a controller with little processor time, and delayed submissions.
        // With many machines, starts that are not urgent wait for the next heartbeat instead.
        let next_heartbeat_by = now + self.config.workers.heartbeat_interval * 3 / 2;
        let mut scope = PlacementScope::new(None);
        for id in partition.queue_order(&self.config, &self.run_times, now) {
            if let Some(job) = partition.jobs.get_mut(&id) {
                job.held_back = 0;
                job.can_wait_for_heartbeat = many_machines
                    && urgency(&self.config, &self.run_times, job, now).latest_start
                        > next_heartbeat_by;
            }
            if partition.place_tasks(&self.config, &id, &mut scope, now) {
                partition.add_job_without_capacity(id);
            }
        }
        partition.placement_wanted |= scope.max_starts == 0;
        partition.release_preempted_capacity(now);
        self.preempt(name);
    }

    /// Starts tasks that found no capacity in the last placement on one machine.
    pub(crate) fn place_on_machine(&mut self, name: &str, machine: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.is_loaded()) else {
            return;
        };
        if !partition.machines.get(machine).is_some_and(|m| m.is_usable() && m.free.cpus > 0.0) {
            return;
        }
        let _activity = self.work.begin(Activity::Placement);
        let waiting = std::mem::take(&mut partition.jobs_without_capacity);
        let mut scope = PlacementScope::new(Some(machine));
        for id in &waiting {
            // Most machines are full, or nearly so, and are skipped here without a search.
            if partition
                .machines
                .get(machine)
                .is_none_or(|m| m.free.cpus + 1e-6 < partition.unplaced_min_cpus)
            {
                break;
            }
            partition.place_tasks(&self.config, id, &mut scope, now);
        }
        partition.jobs_without_capacity = waiting;
    }
}

impl Partition {
    /// Reports whether the whole queue has to be placed now.
    fn placement_is_due(&self, now: Micros) -> bool {
        let is_requested =
            self.placement_wanted || self.placement_due_at.is_some_and(|at| now >= at);
        self.is_loaded() && is_requested && now >= self.next_placement_at && self.types.is_some()
    }

    /// Clears the requests for a placement and the results of the last one.
    fn begin_placement(&mut self, now: Micros) {
        self.placement_wanted = false;
        self.placement_due_at = None;
        self.next_placement_at = now + PLACEMENT_INTERVAL;
        self.jobs_without_capacity.clear();
        self.unplaced_min_cpus = f64::INFINITY;
        self.saturated = false;
    }

    /// Records a job that has ready tasks without capacity.
    fn add_job_without_capacity(&mut self, id: String) {
        let need = self.jobs.get(&id).map_or(0.0, |j| j.spec().cpus);
        self.unplaced_min_cpus = self.unplaced_min_cpus.min(need);
        self.jobs_without_capacity.push(id);
    }

    /// Schedules a placement of the queue at `at`, unless an earlier one is scheduled.
    pub(super) fn schedule_placement(&mut self, at: Micros) {
        self.placement_due_at = Some(self.placement_due_at.map_or(at, |t| t.min(at)));
    }

    /// Starts ready tasks of a job on machines with free capacity. Returns whether tasks remain for
    /// lack of capacity.
    fn place_tasks(
        &mut self,
        config: &Config,
        id: &str,
        scope: &mut PlacementScope,
        now: Micros,
    ) -> bool {
        if !self.may_start_tasks(config, id, now) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let (spec, need, service) = (job.spec(), job.required_resources(), job.is_service());
        let mut rooms = self.rooms_on_feasible_machines(config, job, scope.only_machine, now);
        if rooms.is_empty() && scope.only_machine.is_some() {
            return false;
        }
        let team = config.team(&spec.team).filter(|team| team.has_limits());
        let allowance = team.map_or(u32::MAX, |team| {
            let usage = scope.team_usage.get_or_insert_with(|| TeamUsage::of(self));
            self.team_allowance(config, team, usage, &need)
        });
        let on_trial = job.fails_everywhere() && !service;
        let wanted = allowance.min(job.placeable_count());
        let spreading = if service { Spreading::OnePerRound } else { Spreading::FillEach };
        let distribution = distribute(
            &mut rooms,
            zone_capacity(self, job, &config.zones),
            wanted,
            scope.max_starts,
            spreading,
        );
        if let Some((usage, team)) = scope.team_usage.as_mut().zip(team) {
            usage.add(&team.name, &need, distribution.started);
        }
        scope.max_starts -= distribution.started;
        self.start_tasks(id, &rooms, &distribution, now);
        if scope.only_machine.is_none()
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.held_back = distribution.held_back;
        }
        // Tasks that only the team's limit or the number of starts holds back, and those of a job
        // that fails everywhere, do not count as lacking capacity.
        let lacking = wanted - distribution.started - distribution.held_back;
        allowance > 0 && lacking > 0 && !on_trial
    }

    /// Reports whether tasks of a job may start now. Also clears a job that failed everywhere if
    /// one of its attempts has outlasted the failed ones, and schedules a placement for the time
    /// when more tasks or machines become eligible.
    fn may_start_tasks(&mut self, config: &Config, id: &str, now: Micros) -> bool {
        let Some(job) = self.jobs.get(id).filter(|j| !j.ready.is_empty()) else { return false };
        if job.no_start_before > now {
            self.schedule_placement(job.no_start_before);
            return false;
        }
        if job.fails_everywhere() {
            self.clear_failures_if_outlasted(config, id, now);
            self.schedule_placement(now + TRIAL_CHECK_INTERVAL);
        }
        let retry_at = self.jobs.get(id).and_then(|j| j.retry_failed_machines_at());
        if let Some(at) = retry_at.filter(|at| *at > now) {
            self.schedule_placement(at);
        }
        true
    }

    /// Returns the machines on which a task of a job may start now, best first, with what each can
    /// take of the job; at most `only_machine` if given.
    fn rooms_on_feasible_machines(
        &self,
        config: &Config,
        job: &PartitionJob,
        only_machine: Option<&str>,
        now: Micros,
    ) -> Vec<MachineRoom> {
        let feasibility = Feasibility::new(self, config, job, now);
        let feasible = |machine_name: &str| {
            self.machines.get(machine_name).filter(|m| feasibility.can_start_on(m))
        };
        let need = job.required_resources();
        if let Some(machine_name) = only_machine {
            let found = feasible(machine_name).filter(|m| machine_allowed(job.spec(), m));
            self.work.add(usize::from(found.is_some()));
            return found.map(|machine| MachineRoom::of(machine, &need)).into_iter().collect();
        }
        self.work.add(if job.is_service() { job.assignments.len() } else { 0 });
        let scoring = Scoring::new(job);
        // The index returns only machines that satisfy the job's constraints.
        let machines = self.free_capacity_index.machines_with_free_cpus(job.spec());
        let mut scored: Vec<(Score, &Machine)> = machines
            .filter_map(feasible)
            .map(|machine| (scoring.score(machine), &**machine))
            .collect();
        scored.sort_by(|a, b| a.0.compare(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
        self.work.add(scored.len());
        scored.into_iter().map(|(_, machine)| MachineRoom::of(machine, &need)).collect()
    }

    /// Starts the lowest ready tasks of a job on machines as distributed.
    fn start_tasks(
        &mut self,
        id: &str,
        rooms: &[MachineRoom],
        distribution: &Distribution,
        now: Micros,
    ) {
        let mut changed = BTreeSet::new();
        for start in &distribution.starts {
            let Some(machine) = rooms.get(start.room).map(|room| &room.machine) else { continue };
            for _ in 0..start.tasks {
                let Some(index) = self.jobs.get(id).and_then(|j| j.ready.lowest()) else { break };
                self.start_task(id, index, machine, now);
            }
            changed.insert(machine);
        }
        for machine in changed {
            self.refresh_machine(machine);
        }
    }

    /// Returns how many more tasks that need `need` may start within their team's limit. Returns 0
    /// while the use is uncertain, and in every partition but the one that the team is assigned to.
    fn team_allowance(
        &self,
        config: &Config,
        team: &Team,
        usage: &TeamUsage,
        need: &Resources,
    ) -> u32 {
        if !self.recovery_complete || config.partition_of_team(&team.name) != self.name {
            return 0;
        }
        let Some(used) = usage.of_team(&team.name) else { return 0 };
        let remaining = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Resources {
            cpus: remaining(team.cpus_max, used.cpus),
            gpus: remaining(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        left.count_fitting(need)
    }

    /// Assigns a ready task to a machine as a new attempt, and queues a call to the machine. The
    /// caller refreshes the machine afterwards.
    pub fn start_task(&mut self, id: &str, index: u32, machine_name: &str, now: Micros) {
        self.work.add(1);
        let attempt = self.next_attempt();
        let (Some(job), Some(machine)) =
            (self.jobs.get_mut(id), self.machines.get_mut(machine_name))
        else {
            return;
        };
        job.assign(index, machine_name, attempt);
        let key = AttemptKey { task: TaskId { job: id.to_owned(), index }, attempt };
        let state = Attempt {
            can_wait_for_heartbeat: job.can_wait_for_heartbeat,
            ..Attempt::new(job.spec(), now)
        };
        machine.attempts.insert(key, state);
        self.machines_by_job.entry(id.to_owned()).or_default().insert(machine_name.to_owned());
        machine.idle_since = None;
        self.call_queue.add_urgent(machine_name);
    }

    /// Marks an attempt as unwanted, gives it `leeway_s` seconds to save its work, and queues a
    /// call to its machine.
    pub fn stop_attempt(&mut self, machine_name: &str, key: &AttemptKey, leeway_s: f64) {
        if let Some(machine) = self.machines.get_mut(machine_name) {
            machine.mark_unwanted(key, leeway_s);
            self.call_queue.add_urgent(machine_name);
        }
    }
}

#[cfg(test)]
mod tests;
