//! Preemption: stops work of lower rank, or of teams beyond their guarantee, for jobs that found no
//! room.
//!
//! Never stops what is protected (`queue_order`), and never more than makes room for what waits. On
//! each machine the attempts that lose the least are stopped, and of all machines the cheapest first.

use std::collections::BTreeSet;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::{Micros, SECOND};

use super::feasibility::machine_allowed;
use super::queue_order::urgency;
use super::run_times::RunTimes;
use super::silence_limit;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::{Attempt, AttemptKey};
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;

/// Work of lower rank gives way so long before a start becomes too late: what it takes to stop
/// one task and start another.
const PREEMPT_AHEAD: Micros = 5 * SECOND / 2;
/// Lost work that stopping a task again counts for on top of what is lost.
const REPEATED_PREEMPTION_COST: Micros = 4 * SECOND;
/// Room that frees by itself, or a thief, gets this long first.
const PREEMPT_AFTER: Micros = SECOND / 5;
/// Shortest time between two looks at all machines for work to stop: with hundreds of machines one
/// costs more than a heartbeat may.
const PREEMPTION_INTERVAL: Micros = SECOND / 5;
/// Tasks that take less than this many processors lose work as if they took so many.
const LEAST_CPUS_LOST: f64 = 0.1;

/// Whose tasks may be stopped to make room for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victims {
    /// Idle-time work that loses next to nothing: it gives way as soon as anything else waits. Left alone until
    /// a start became too late, guests that filled all machines made two thirds of the deadlines be missed,
    /// since saving, the image and the slowest task take their time after that.
    Yielding,
    /// All that the rank or the guarantee allows, once the start would come too late otherwise.
    Any,
}

/// From when on work is stopped for a job.
struct PreemptionTimes {
    /// Idle-time work that yields.
    yielding_from: Micros,
    /// All that the rank or the guarantee allows.
    any_from: Micros,
}

impl PreemptionTimes {
    fn new(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Self {
        let yielding_from = job.since + PREEMPT_AFTER;
        let latest = urgency(config, run_times, job, now).latest;
        let pressing = (latest + 1).saturating_sub(PREEMPT_AHEAD);
        PreemptionTimes { yielding_from, any_from: yielding_from.max(pressing) }
    }

    fn victims(&self, now: Micros) -> Victims {
        if now < self.any_from { Victims::Yielding } else { Victims::Any }
    }
}

/// What runs on the machines of a partition, as far as preemption goes.
struct Preemptible {
    /// Processors that are being freed already, and not counted on for any job yet.
    coming: f64,
    /// The lowest rank that could still give way.
    lowest: Priority,
    /// Whether any of it gives way at once.
    yields: bool,
}

impl Preemptible {
    fn of(partition: &Partition) -> Self {
        let mut all = Preemptible { coming: 0.0, lowest: Priority::Prod, yields: false };
        for attempt in partition.active_attempts() {
            if attempt.wanted {
                all.lowest = all.lowest.max(attempt.priority);
                all.yields |= attempt.yields;
            } else {
                all.coming += attempt.need.cpus;
            }
        }
        all
    }

    /// So many tasks of a job need room made; what is being freed already is promised to the others.
    fn promise(&mut self, tasks: u32, need: &Resources) -> u32 {
        let all = f64::from(tasks) * need.cpus;
        let promised = f64::min(self.coming, all);
        self.coming -= promised;
        ((all - promised) / need.cpus.max(1e-6)).ceil() as u32
    }
}

/// A job that makes room for its tasks, at one moment.
struct Preemption<'a> {
    spec: &'a JobSpec,
    need: Resources,
    /// The teams whose unfinished work fits their guarantee.
    inside: &'a BTreeSet<String>,
    victims: Victims,
    now: Micros,
    /// Machines that were not heard of for so long are left alone.
    quiet: Micros,
}

/// An attempt that may be stopped.
struct Stoppable<'a> {
    /// Work lost by stopping it.
    cost: f64,
    key: &'a AttemptKey,
    attempt: &'a Attempt,
}

impl Preemption<'_> {
    /// Whether an attempt may be stopped for the job: it is of lower rank and not protected, or its team
    /// is beyond its guarantee while the job's is within its own.
    fn may_stop(&self, attempt: &Attempt, is_protected: bool) -> bool {
        let lower = attempt.priority > self.spec.priority;
        let borrowed = self.inside.contains(&self.spec.team)
            && attempt.team != self.spec.team
            && !attempt.team.is_empty()
            && !self.inside.contains(&attempt.team);
        let asked = self.victims == Victims::Any || attempt.yields;
        attempt.wanted && !attempt.exited() && asked && ((lower && !is_protected) || borrowed)
    }

    /// Fetching the image takes its time on the way to the start as well.
    fn image_cost(&self, machine: &Machine, machine_type: &MachineType) -> f64 {
        if machine.images.contains(&self.spec.image) {
            return 0.0;
        }
        let pull = self.spec.image_gb / machine_type.pull_gb_per_s.max(0.01);
        pull * 1e6 * self.need.cpus.max(LEAST_CPUS_LOST)
    }
}

/// What it takes to make room on one machine.
struct Eviction {
    /// Work lost.
    lost: f64,
    /// Tasks of the job that get room.
    gain: u32,
    machine: String,
    attempts: Vec<AttemptKey>,
}

/// What was stopped for a job.
struct Stopped {
    /// How many attempts on which machines.
    on: Vec<(String, usize)>,
    /// Tasks for which no room could be made.
    lacking: u32,
}

impl Stopped {
    fn nothing(lacking: u32) -> Self {
        Stopped { on: Vec::new(), lacking }
    }
}

impl Core {
    /// Stops work of lower rank for jobs that found no room.
    pub(super) fn preempt(&mut self, name: &str) {
        let now = self.now;
        let quiet = silence_limit(&self.config);
        let Some(partition) =
            self.partitions.get_mut(name).filter(|p| !p.jobs_without_capacity.is_empty())
        else {
            return;
        };
        if !partition.begin_preemption(now) {
            return;
        }
        let mut preemptible = Preemptible::of(partition);
        let inside = partition.teams_inside_guarantee(&self.config);
        for id in partition.jobs_without_capacity.clone() {
            let Some(job) = partition.jobs.get(&id) else { continue };
            let times = PreemptionTimes::new(&self.config, &self.run_times, job, now);
            let (spec, need, ready) = (job.spec().clone(), job.need(), job.ready.len());
            let victims = times.victims(now);
            if victims == Victims::Yielding
                && !partition.yielding_may_be_stopped(&times, preemptible.yields, now)
            {
                continue;
            }
            let wanted = preemptible.promise(ready, &need);
            if wanted == 0 {
                continue;
            }
            partition.schedule_placement(now + PREEMPTION_INTERVAL);
            let gives_way = preemptible.lowest > spec.priority || inside.contains(&spec.team);
            let asks = Preemption { spec: &spec, need, inside: &inside, victims, now, quiet };
            let stopped = if gives_way {
                partition.preempt_for(&asks, wanted)
            } else {
                Stopped::nothing(wanted)
            };
            // Only what should start by now has others look for room elsewhere.
            partition.saturated |= stopped.lacking > 0 && victims == Victims::Any;
            for (machine, count) in stopped.on {
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
    /// Whether all machines may be looked at for work to stop; if not, has that done as soon as it may.
    fn begin_preemption(&mut self, now: Micros) -> bool {
        if now < self.next_preemption_at {
            self.schedule_placement(self.next_preemption_at);
            return false;
        }
        self.next_preemption_at = now + PREEMPTION_INTERVAL;
        true
    }

    /// Whether idle-time work may be stopped now for a job that does not press yet; sees to it that the
    /// queue is placed again when more may be stopped.
    fn yielding_may_be_stopped(
        &mut self,
        times: &PreemptionTimes,
        any_yields: bool,
        now: Micros,
    ) -> bool {
        let soonest = if any_yields { times.yielding_from } else { times.any_from };
        let may = now >= soonest;
        self.schedule_placement(if may { times.any_from } else { soonest });
        may
    }

    /// Stops what costs the least, until so many tasks of a job have room.
    fn preempt_for(&mut self, asks: &Preemption, mut wanted: u32) -> Stopped {
        let mut stopped = Stopped::nothing(0);
        let mut evictions = self.all_evictions(asks);
        while wanted > 0 {
            let Some(eviction) = evictions.pop() else { break };
            stopped.on.push((eviction.machine.clone(), eviction.attempts.len()));
            wanted -= eviction.gain.min(wanted);
            let machine = self.evict(asks, eviction);
            // The machine may have more to give.
            if let Some(more) = self.cheapest_eviction(asks, &machine) {
                let at = evictions.partition_point(|e| e.lost > more.lost);
                evictions.insert(at, more);
            }
        }
        stopped.lacking = wanted;
        stopped
    }

    /// Stops the attempts of an eviction, and keeps their room if it takes time to come; on which machine.
    fn evict(&mut self, asks: &Preemption, eviction: Eviction) -> String {
        let Eviction { machine, attempts, .. } = eviction;
        if self.takes_time_to_end(&machine, &attempts) {
            self.reservations.keep_preempted(&machine, asks.spec.priority, asks.now);
        }
        for key in attempts {
            if let Some(job) = self.jobs.get_mut(&key.task.job) {
                job.preempted.insert(key.task.index);
                let leeway = job.record.job.save_s;
                self.stop(&machine, &key, leeway);
            }
        }
        machine
    }

    /// Whether some of these attempts save before they end, so that they end one after the other.
    fn takes_time_to_end(&self, machine_name: &str, attempts: &[AttemptKey]) -> bool {
        let on_machine = self.machines.get(machine_name).map(|machine| &machine.attempts);
        let on_machine =
            attempts.iter().filter_map(|key| on_machine.and_then(|on_machine| on_machine.get(key)));
        on_machine.into_iter().any(|attempt| attempt.yields)
    }

    /// All ways to make room for tasks of the job on one machine each, the dearest first.
    fn all_evictions(&self, asks: &Preemption) -> Vec<Eviction> {
        let mut all: Vec<Eviction> = self
            .machines
            .keys()
            .filter_map(|machine| self.cheapest_eviction(asks, machine))
            .collect();
        all.sort_by(|a, b| b.lost.total_cmp(&a.lost));
        all
    }

    /// The attempts to stop on a machine so that a task of the job fits there, at the least lost
    /// work; none if that cannot be had.
    fn cheapest_eviction(&self, asks: &Preemption, machine_name: &str) -> Option<Eviction> {
        let machine =
            self.machines.get(machine_name).filter(|m| m.accepts_tasks(asks.now, asks.quiet))?;
        let machine_type = self.types.as_ref()?.get(&machine.record.machine_type)?;
        if !machine_allowed(asks.spec, machine) {
            return None;
        }
        let mut free = machine.free;
        let (mut lost, mut attempts) = (0.0, Vec::new());
        for Stoppable { cost, key, attempt } in self.stoppable(asks, machine) {
            if free.fits(&asks.need) {
                break;
            }
            free.add(&attempt.need);
            lost += cost;
            attempts.push(key.clone());
        }
        lost += asks.image_cost(machine, machine_type);
        let gain = free.count(&asks.need);
        let fits = free.fits(&asks.need) && !attempts.is_empty();
        fits.then(|| Eviction { lost, gain, machine: machine_name.to_owned(), attempts })
    }

    /// The attempts on a machine that may be stopped for a job, the cheapest first.
    fn stoppable<'a>(&'a self, asks: &Preemption, machine: &'a Machine) -> Vec<Stoppable<'a>> {
        let attempts = machine.attempts.iter().filter(|(key, attempt)| {
            let job = self.jobs.get(&key.task.job);
            asks.may_stop(attempt, job.is_some_and(|j| j.is_protected(asks.now)))
        });
        let mut stoppable: Vec<Stoppable> = attempts
            .map(|(key, attempt)| Stoppable {
                cost: self.stopping_cost(key, attempt, asks.now),
                key,
                attempt,
            })
            .collect();
        stoppable.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        stoppable
    }

    /// Work that is lost by stopping an attempt, in processor-microseconds.
    fn stopping_cost(&self, key: &AttemptKey, attempt: &Attempt, now: Micros) -> f64 {
        let ran = attempt.running_since.map_or(0, |since| now.saturating_sub(since));
        // Sparing them for good made the older ones pay, and lost more work.
        let again =
            self.jobs.get(&key.task.job).is_none_or(|j| j.preempted.contains(key.task.index));
        let ran = if again { ran + REPEATED_PREEMPTION_COST } else { ran };
        ran as f64 * attempt.need.cpus.max(LEAST_CPUS_LOST)
    }
}

#[cfg(test)]
mod tests;
