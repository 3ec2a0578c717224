//! Reservations of capacity in a partition.
//!
//! There are two kinds: one machine for the starved job that has waited longest, and the capacity
//! that preemption frees, for work of the priority that it was freed for.

use std::collections::BTreeMap;

use quartzlever_wire::users::Priority;
use quartzlever_wire::{Micros, SECOND};

use super::feasibility::machine_allowed;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::resources::Resources;
use crate::partition::Partition;

/// Lifetime of a reservation of preempted capacity. The preempted tasks save and end, and their
/// machine reports it, within this time.
const PREEMPTED_CAPACITY_RESERVATION: Micros = 10 * SECOND;

/// The reservation of a machine for the first task of a starved job.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StarvedReservation {
    machine: String,
    job: String,
}

/// The reservation of capacity that preemption frees on a machine, for work of `priority` or above.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PreemptedCapacity {
    priority: Priority,
    until: Micros,
}

/// The reservations of a partition.
#[derive(Debug, Default)]
pub struct Reservations {
    /// The machine that is reserved for a starved job. Without it, a steady supply of small tasks
    /// took all capacity as soon as it became free, before two of them left enough for one larger
    /// task.
    starved: Option<StarvedReservation>,
    /// The reservations of preempted capacity by machine. Without them, work of lower priority
    /// started on the capacity of the first preempted tasks that ended; a task that needed the
    /// whole machine waited for a minute, and the work of lower priority was preempted six times
    /// over.
    preempted: BTreeMap<String, PreemptedCapacity>,
}

impl Reservations {
    /// Reports whether a machine is reserved for the first task of a job other than `id`.
    pub(super) fn is_reserved_for_other_job(&self, machine: &str, id: &str) -> bool {
        self.starved
            .as_ref()
            .is_some_and(|reserved| reserved.job != id && reserved.machine == machine)
    }

    /// Reports whether preempted capacity on a machine is reserved for work of higher priority than
    /// `priority`.
    pub(super) fn is_reserved_for_higher_priority(
        &self,
        machine: &str,
        priority: Priority,
        now: Micros,
    ) -> bool {
        self.preempted
            .get(machine)
            .is_some_and(|capacity| now < capacity.until && priority > capacity.priority)
    }

    /// Reserves the capacity that is being freed on a machine for work of a priority or above. An
    /// existing reservation is extended, and keeps the higher of both priorities.
    pub(super) fn reserve_preempted(&mut self, machine: &str, priority: Priority, now: Micros) {
        let priority = self
            .preempted
            .get(machine)
            .map_or(priority, |capacity| capacity.priority.min(priority));
        let capacity = PreemptedCapacity { priority, until: now + PREEMPTED_CAPACITY_RESERVATION };
        self.preempted.insert(machine.to_owned(), capacity);
    }

    /// Removes the reservations of preempted capacity that have expired, and those whose priority
    /// is above that of all waiting jobs.
    fn release_preempted(&mut self, waiting: impl Iterator<Item = Priority>, now: Micros) {
        if self.preempted.is_empty() {
            return;
        }
        let most_urgent = waiting.min();
        self.preempted.retain(|_, capacity| {
            now < capacity.until
                && most_urgent.is_some_and(|priority| priority <= capacity.priority)
        });
    }

    /// Removes the reservation of preempted capacity on a machine that was removed, so that it does
    /// not apply to a later machine of the same name.
    pub(crate) fn remove_machine(&mut self, machine: &str) {
        self.preempted.remove(machine);
    }
}

impl Partition {
    /// Reserves a machine for the starved job that has waited longest, until the job has begun. An
    /// existing reservation is kept while its job is starved and its machine usable.
    pub(super) fn update_reservation(&mut self, now: Micros) {
        let is_starved =
            |j: &PartitionJob| !j.ready.is_empty() && j.no_start_before <= now && j.is_starved(now);
        if let Some(StarvedReservation { machine, job }) = &self.reservations.starved
            && self.jobs.get(job).is_some_and(|j| is_starved(j))
            && self.machines.get(machine).is_some_and(|m| m.is_usable())
        {
            return;
        }
        let longest_waiting =
            self.jobs.values().filter(|j| is_starved(j)).min_by_key(|j| j.submitted_at);
        self.reservations.starved = longest_waiting.and_then(|job| {
            let machine = self.machine_with_most_free_cpus(job)?;
            Some(StarvedReservation { machine, job: job.spec().id.clone() })
        });
    }

    /// Returns the machine with the most free processors, of those that could run a task of the job
    /// if they were empty.
    fn machine_with_most_free_cpus(&self, job: &PartitionJob) -> Option<String> {
        let (spec, need) = (job.spec(), job.required_resources());
        let candidates = self.machines.iter().filter(|(machine, m)| {
            let machine_type = self.types.as_ref().and_then(|t| t.get(&m.record.machine_type));
            m.is_usable()
                && !job.failures.has_failed_on(machine)
                && machine_allowed(spec, m)
                && machine_type.is_some_and(|t| Resources::capacity_of(t).fits(&need))
        });
        let most_free = candidates.max_by(|a, b| a.1.free.cpus.total_cmp(&b.1.free.cpus))?;
        Some(most_free.0.clone())
    }

    /// Removes the reservations of preempted capacity that have expired, or for which no job of
    /// their priority or a higher one waits any more.
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
