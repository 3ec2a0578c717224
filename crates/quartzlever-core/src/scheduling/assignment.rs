//! Assignment: gives the ready tasks of the queue to machines.
//!
//! Each job in queue order is given to the feasible machines, best score first. Nothing is started
//! beyond a team's limit, and nothing on a machine that was not heard of lately.

use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND};

use super::feasibility::{Feasibility, machine_allowed};
use super::queue_order::urgency;
use super::score::{Score, Scoring};
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::resources::Resources;
use crate::partition::Partition;
use crate::router::Core;

/// Shortest time between two placements of a partition's whole queue: with hundreds of machines it
/// costs more than a heartbeat may.
const PLACEMENT_INTERVAL: Micros = SECOND / 10;
/// How often it is looked whether a job that fails everywhere has shown that it runs.
const TRIAL_CHECK_INTERVAL: Micros = SECOND;

/// Tasks of one job that are being given to machines.
struct Assigning<'a> {
    config: &'a Config,
    id: &'a str,
    need: Resources,
    /// The job is bound to zones, in which room is counted anew for each task.
    bound: bool,
    now: Micros,
}

impl Core {
    /// Gives the partition's ready tasks to its free machines.
    pub(crate) fn place(&mut self, name: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.placement_is_due(now))
        else {
            return;
        };
        partition.begin_placement(now);
        partition.update_reservation(now);
        let many = partition.machines.len() > self.config.machine_capacity / 2;
        // A call costs as much as several reports. A hundred of them for one job took a
        // short processor two seconds, in which submissions were late.
        let soon = now + self.config.workers.heartbeat_interval * 3 / 2;
        for id in partition.queue_order(&self.config, &self.run_times, now) {
            if let Some(job) = partition.jobs.get_mut(&id) {
                job.can_wait_for_heartbeat =
                    many && urgency(&self.config, &self.run_times, job, now).latest > soon;
            }
            if partition.place_tasks(&self.config, &id, None, now) {
                partition.note_short(id);
            }
        }
        partition.release_preempted_capacity(now);
        self.preempt(name);
    }

    /// Gives what found no room elsewhere to one machine.
    pub(crate) fn fill(&mut self, name: &str, machine: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else { return };
        if !partition.machines.get(machine).is_some_and(|m| m.usable() && m.free.cpus > 0.0) {
            return;
        }
        let short = std::mem::take(&mut partition.jobs_without_capacity);
        for id in &short {
            // Most machines that heartbeat are full, or nearly so.
            if partition
                .machines
                .get(machine)
                .is_none_or(|m| m.free.cpus + 1e-6 < partition.unplaced_min_cpus)
            {
                break;
            }
            partition.place_tasks(&self.config, id, Some(machine), now);
        }
        partition.jobs_without_capacity = short;
    }
}

impl Partition {
    /// Whether the whole queue is to be placed now.
    fn placement_is_due(&self, now: Micros) -> bool {
        let due = self.placement_wanted || self.placement_due_at.is_some_and(|at| now >= at);
        self.active() && due && now >= self.next_placement_at && self.types.is_some()
    }

    /// Forgets what the last placement left over.
    fn begin_placement(&mut self, now: Micros) {
        self.placement_wanted = false;
        self.placement_due_at = None;
        self.next_placement_at = now + PLACEMENT_INTERVAL;
        self.jobs_without_capacity.clear();
        self.unplaced_min_cpus = f64::INFINITY;
        self.saturated = false;
    }

    /// Notes a job whose ready tasks found no room.
    fn note_short(&mut self, id: String) {
        let need = self.jobs.get(&id).map_or(0.0, |j| j.spec().cpus);
        self.unplaced_min_cpus = self.unplaced_min_cpus.min(need);
        self.jobs_without_capacity.push(id);
    }

    /// Has the queue placed at this time at the latest.
    pub(super) fn schedule_placement(&mut self, at: Micros) {
        self.placement_due_at = Some(self.placement_due_at.map_or(at, |t| t.min(at)));
    }

    /// Gives ready tasks of a job to machines with room, or to one of them only; whether some
    /// found none.
    fn place_tasks(&mut self, config: &Config, id: &str, only: Option<&str>, now: Micros) -> bool {
        if !self.may_start_tasks(config, id, now) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let (spec, need, service) = (job.spec(), job.need(), job.service());
        let machines = self.feasible_machines(config, job, only, now);
        let bound = spec.one_zone || spec.spread;
        let allowance = self.team_allowance(config, spec, &need);
        let on_trial = job.fails_everywhere() && !service;
        let mut left = allowance.min(job.placeable());
        // Replicas are dealt out one a machine, round after round; other tasks fill machine by machine.
        let (rounds, each) = if service { (left, 1) } else { (1, u32::MAX) };
        let assigning = Assigning { config, id, need, bound, now };
        for machine in (0..rounds).flat_map(|_| &machines) {
            if left == 0 {
                break;
            }
            left -= self.start_tasks_on(&assigning, machine, left.min(each));
        }
        // What only the team's limit keeps back asks for no room, nor does a job that fails everywhere.
        allowance > 0 && left > 0 && !on_trial
    }

    /// Whether tasks of a job may start now; sees to it that the queue is placed again when more may.
    fn may_start_tasks(&mut self, config: &Config, id: &str, now: Micros) -> bool {
        let Some(job) = self.jobs.get(id).filter(|j| !j.ready.is_empty()) else { return false };
        if job.no_start_before > now {
            self.schedule_placement(job.no_start_before);
            return false;
        }
        if job.fails_everywhere() {
            self.try_to_clear(config, id, now);
            self.schedule_placement(now + TRIAL_CHECK_INTERVAL);
        }
        let forgives_at = self.jobs.get(id).and_then(|j| j.forgives_at());
        if let Some(at) = forgives_at.filter(|at| *at > now) {
            self.schedule_placement(at);
        }
        true
    }

    /// The machines that can take a task of a job, best first: all, or one of them only.
    fn feasible_machines(
        &self,
        config: &Config,
        job: &PartitionJob,
        only: Option<&str>,
        now: Micros,
    ) -> Vec<String> {
        let feasibility = Feasibility::new(self, config, job, now);
        let scoring = Scoring::new(job);
        if let Some(machine_name) = only {
            let machine =
                self.machines.get(machine_name).filter(|m| machine_allowed(job.spec(), m));
            let found = machine.filter(|m| feasibility.admits(m));
            return found.map(|_| machine_name.to_owned()).into_iter().collect();
        }
        // The index has only machines that the job may run on.
        let machines = self.free_capacity_index.with(job.spec()).filter_map(|machine_name| {
            let machine = self.machines.get(machine_name).filter(|m| feasibility.admits(m))?;
            Some((scoring.score(machine), machine_name))
        });
        let mut scored: Vec<(Score, &str)> = machines.collect();
        scored.sort_by(|a, b| a.0.order(&b.0).then_with(|| a.1.cmp(b.1)));
        scored.into_iter().map(|(_, machine_name)| machine_name.to_owned()).collect()
    }

    /// Starts tasks of a job on a machine, so many at the most and as far as there is room; how many.
    fn start_tasks_on(&mut self, assigning: &Assigning, machine: &str, most: u32) -> u32 {
        let Assigning { config, id, need, bound, now } = assigning;
        let room = self.machines.get(machine).map_or(0, |m| m.free.count(need)).min(most);
        let mut started = 0;
        while started < room {
            if *bound && !self.zone_open(&config.zones, id, machine) {
                break;
            }
            let Some(index) = self.jobs.get(*id).and_then(|j| j.ready.lowest()) else { break };
            self.start(id, index, machine, *now);
            started += 1;
        }
        self.refresh(machine);
        started
    }

    /// How many more tasks keep the team inside its limit, counting everything that may be on a
    /// machine.
    pub fn team_allowance(&self, config: &Config, spec: &JobSpec, need: &Resources) -> u32 {
        let Some(team) = config.team(&spec.team).filter(|t| t.has_limits()) else {
            return u32::MAX;
        };
        if !self.recovery_complete || config.partition_of_team(&team.name) != self.name {
            return 0;
        }
        let (used, certain) = self.team_use(&team.name);
        if !certain {
            return 0;
        }
        let unbound = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Resources {
            cpus: unbound(team.cpus_max, used.cpus),
            gpus: unbound(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        left.count(need)
    }

    /// Decides that a ready task goes to a machine, which is to be refreshed afterwards.
    pub fn start(&mut self, id: &str, index: u32, machine_name: &str, now: Micros) {
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

    /// Marks an attempt as unwanted.
    pub fn stop(&mut self, machine_name: &str, key: &AttemptKey, leeway_s: f64) {
        if let Some(machine) = self.machines.get_mut(machine_name) {
            machine.stop(key, leeway_s);
            self.call_queue.add_urgent(machine_name);
        }
    }
}

#[cfg(test)]
mod tests;
