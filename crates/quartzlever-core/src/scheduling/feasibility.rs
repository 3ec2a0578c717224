//! Feasibility: the machines on which tasks of a job may start now.
//!
//! A machine is feasible if it satisfies the job's constraints, has the capacity free, is not
//! reserved for other jobs, is not in doubt after failures of several jobs, and is not one that the
//! job failed on (unless the job is tried again there). Whether a job could ever run on any machine
//! is decided in `jobs::feasibility`. Nothing here ranks machines.

use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;

use super::max_silence;
use super::reservations::Reservations;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;

/// Reports whether a job's constraints allow machines of this type and zone, spot or not. Capacity
/// is not checked.
pub fn constraints_allow(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// Reports whether a job's constraints allow a machine. Capacity is not checked.
pub(super) fn machine_allowed(spec: &JobSpec, machine: &Machine) -> bool {
    let record = &machine.record;
    constraints_allow(spec, &record.machine_type, &record.zone, record.spot)
}

/// Selects, of the machines that a job's constraints allow, those on which a task may start now.
pub(super) struct Feasibility<'a> {
    spec: &'a JobSpec,
    need: Resources,
    job: &'a PartitionJob,
    /// Whether the job is tried again on machines where it failed.
    retries_failed_machines: bool,
    reservations: &'a Reservations,
    /// Time without a heartbeat after which a machine gets no new tasks.
    max_silence: Micros,
    now: Micros,
}

impl<'a> Feasibility<'a> {
    /// Creates the filter for one job at the time `now`.
    pub fn new(
        partition: &'a Partition,
        config: &Config,
        job: &'a PartitionJob,
        now: Micros,
    ) -> Self {
        // A job is tried again on machines where it failed only if it fails everywhere, or after a
        // delay.
        let retries_failed_machines =
            job.fails_everywhere() || job.retry_failed_machines_at().is_some_and(|at| at <= now);
        Feasibility {
            spec: job.spec(),
            need: job.required_resources(),
            job,
            retries_failed_machines,
            reservations: &partition.reservations,
            max_silence: max_silence(config),
            now,
        }
    }

    /// Reports whether a task may start on a machine that the job's constraints allow.
    pub fn can_start_on(&self, machine: &Machine) -> bool {
        !self.reservations.is_reserved_for_other_job(&machine.name, &self.spec.id)
            && machine.accepts_tasks(self.now, self.max_silence)
            && machine.free.fits(&self.need)
            && (self.retries_failed_machines || !self.job.failures.has_failed_on(&machine.name))
            && !machine.failures.is_undecided(self.now)
            && !self.reservations.is_reserved_for_higher_priority(
                &machine.name,
                self.spec.priority,
                self.now,
            )
    }
}
