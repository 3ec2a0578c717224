//! Reservations: what is kept free in a partition, and for whom.
//!
//! Two kinds: one machine for the job that has waited longest beyond its time to begin, and the room
//! that preemption makes, for work of the rank that it was made for.

use std::collections::BTreeMap;

use quartzlever_wire::users::Priority;
use quartzlever_wire::{Micros, SECOND};

use super::feasibility::machine_allowed;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::resources::Resources;
use crate::partition::Partition;

/// Room that was made is kept for what it was made for so long: the tasks there save, end and are reported.
const PREEMPTED_CAPACITY_RESERVED_FOR: Micros = 10 * SECOND;

/// A machine kept for the first task of a job that has waited too long to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StarvedReservation {
    machine: String,
    job: String,
}

/// Room that is being made on a machine for work of a rank: work of lower rank stays out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PreemptedCapacity {
    priority: Priority,
    until: Micros,
}

/// What is kept free in a partition, and for whom.
#[derive(Debug, Default)]
pub struct Reservations {
    /// Tasks are of different sizes, and smaller ones that come all the time took each piece of room
    /// before two of them made room for a larger one.
    starved: Option<StarvedReservation>,
    /// By machine. The first tasks to end there left room for lower work at once, so that a task which
    /// needs all of it waited for a minute, and the lower work was stopped six times over.
    preempted: BTreeMap<String, PreemptedCapacity>,
}

impl Reservations {
    /// Whether a machine is kept for the first task of another job.
    pub(super) fn keeps_for_another(&self, machine: &str, id: &str) -> bool {
        self.starved.as_ref().is_some_and(|kept| kept.job != id && kept.machine == machine)
    }

    /// Whether room is being made on a machine for more urgent work than of this rank.
    pub(super) fn keeps_from(&self, machine: &str, priority: Priority, now: Micros) -> bool {
        self.preempted.get(machine).is_some_and(|room| now < room.until && priority > room.priority)
    }

    /// Keeps the room that is being made on a machine for work of a rank, or above.
    pub(super) fn keep_preempted(&mut self, machine: &str, priority: Priority, now: Micros) {
        let priority =
            self.preempted.get(machine).map_or(priority, |room| room.priority.min(priority));
        let room = PreemptedCapacity { priority, until: now + PREEMPTED_CAPACITY_RESERVED_FOR };
        self.preempted.insert(machine.to_owned(), room);
    }

    /// Opens made room to everybody where nothing waits any more that it was made for.
    fn release_preempted(&mut self, waiting: impl Iterator<Item = Priority>, now: Micros) {
        if self.preempted.is_empty() {
            return;
        }
        let most_urgent = waiting.min();
        self.preempted.retain(|_, room| {
            now < room.until && most_urgent.is_some_and(|priority| priority <= room.priority)
        });
    }

    /// A machine is gone: whatever comes up under its name later has no room made.
    pub(crate) fn machine_removed(&mut self, machine: &str) {
        self.preempted.remove(machine);
    }
}

impl Partition {
    /// Keeps one machine for the job that has waited longest beyond its time to begin, until one
    /// of its tasks fits there.
    pub(super) fn update_reservation(&mut self, now: Micros) {
        let starved =
            |j: &PartitionJob| !j.ready.is_empty() && j.no_start_before <= now && j.is_starved(now);
        if let Some(StarvedReservation { machine, job }) = &self.reservations.starved
            && self.jobs.get(job).is_some_and(|j| starved(j))
            && self.machines.get(machine).is_some_and(|m| m.usable())
        {
            return;
        }
        let longest = self.jobs.values().filter(|j| starved(j)).min_by_key(|j| j.since);
        self.reservations.starved = longest.and_then(|job| {
            let machine = self.roomiest_machine_for(job)?;
            Some(StarvedReservation { machine, job: job.spec().id.clone() })
        });
    }

    /// Of the machines that could run a task of the job if they were empty, the one with the most
    /// processors free.
    fn roomiest_machine_for(&self, job: &PartitionJob) -> Option<String> {
        let (spec, need) = (job.spec(), job.need());
        let suitable = self.machines.iter().filter(|(machine, m)| {
            let machine_type = self.types.as_ref().and_then(|t| t.get(&m.record.machine_type));
            m.usable()
                && !job.failures.includes(machine)
                && machine_allowed(spec, m)
                && machine_type.is_some_and(|t| Resources::capacity_of(t).fits(&need))
        });
        let roomiest = suitable.max_by(|a, b| a.1.free.cpus.total_cmp(&b.1.free.cpus))?;
        Some(roomiest.0.clone())
    }

    /// Opens made room to everybody where nothing waits any more that it was made for.
    pub(super) fn release_preempted_capacity(&mut self, now: Micros) {
        let waiting = self
            .jobs_without_capacity
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|j| j.spec().priority);
        self.reservations.release_preempted(waiting, now);
    }
}

#[cfg(test)]
mod tests;
