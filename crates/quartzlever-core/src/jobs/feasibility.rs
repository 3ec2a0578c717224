//! Whether a job can ever run, given its team's limits and the existing machine types.
//!
//! Pure: the current free capacity and running tasks are not considered. A job is permanently
//! refused only if the limits or all known machine types rule it out; while the types are not
//! known, the result is [`Feasibility::Unknown`].

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;

use crate::config::Config;
use crate::machines::resources::Resources;

/// Whether a job can ever run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// Some machine type can run a task of it.
    Fits,
    /// The limits of its team or all known machine types rule it out.
    Never,
    /// The machine types are not known yet.
    Unknown,
}

/// Decides whether a job can ever run; `types` is `None` while the machine types are not known.
pub fn feasibility<'a>(
    config: &Config,
    types: Option<impl Iterator<Item = &'a MachineType>>,
    spec: &JobSpec,
) -> Feasibility {
    let Some(team) = config.team(&spec.team) else { return Feasibility::Never };
    // A limit of 0 means no limit.
    let exceeds = |requested: f64, limit: f64| limit > 0.0 && requested > limit;
    // All replicas of a service run at the same time.
    let concurrent_tasks = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
    if exceeds(spec.cpus * concurrent_tasks, team.cpus_max)
        || exceeds(spec.gpus * concurrent_tasks, team.gpus_max)
    {
        return Feasibility::Never;
    }
    let Some(mut types) = types else { return Feasibility::Unknown };
    let fits = types.any(|t| {
        allows_type(spec, t) && Resources::capacity_of(t).fits(&Resources::required_by(spec))
    });
    if fits { Feasibility::Fits } else { Feasibility::Never }
}

/// Reports whether a job's own restrictions on type and zone admit a machine type. The type's
/// capacity is not checked.
fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
}

#[cfg(test)]
mod tests;
