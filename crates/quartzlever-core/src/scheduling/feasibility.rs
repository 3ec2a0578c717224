//! Feasibility: on which machines tasks of a job may start at all.
//!
//! Whether it could run on any at all is another matter (`jobs::feasibility`): this is about one moment.
//! What the job's owner asks for, what is free, where it failed, and what is reserved for others.
//! Nothing here ranks machines.

use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;

use super::reservations::Reservations;
use super::silence_limit;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;

/// Whether a job may run on machines of this type, zone and kind (room aside).
pub fn offer_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// Whether a job may run on a machine of its type, zone and kind (room aside).
pub(super) fn machine_allowed(spec: &JobSpec, machine: &Machine) -> bool {
    let record = &machine.record;
    offer_allowed(spec, &record.machine_type, &record.zone, record.spot)
}

/// Which of the machines that a job may run on can take a task of it at one moment.
pub(super) struct Feasibility<'a> {
    spec: &'a JobSpec,
    need: Resources,
    job: &'a PartitionJob,
    /// It is tried again where it failed.
    tries_again: bool,
    reservations: &'a Reservations,
    /// Machines that were not heard of for so long get nothing new.
    quiet: Micros,
    now: Micros,
}

impl<'a> Feasibility<'a> {
    /// The filter for one job at one moment.
    pub fn new(
        partition: &'a Partition,
        config: &Config,
        job: &'a PartitionJob,
        now: Micros,
    ) -> Self {
        // Where it failed it is tried again only when it fails everywhere, or after a while.
        let tries_again = job.fails_everywhere() || job.forgives_at().is_some_and(|at| at <= now);
        Feasibility {
            spec: job.spec(),
            need: job.need(),
            job,
            tries_again,
            reservations: &partition.reservations,
            quiet: silence_limit(config),
            now,
        }
    }

    /// Whether a task may start on this machine.
    pub fn admits(&self, machine: &Machine) -> bool {
        !self.reservations.keeps_for_another(&machine.name, &self.spec.id)
            && machine.accepts_tasks(self.now, self.quiet)
            && machine.free.fits(&self.need)
            && (self.tries_again || !self.job.failures.includes(&machine.name))
            && !machine.failures.in_doubt(self.now)
            && !self.reservations.keeps_from(&machine.name, self.spec.priority, self.now)
    }
}
