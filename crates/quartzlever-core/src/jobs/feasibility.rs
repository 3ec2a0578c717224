//! Whether a job can ever run, by its team's limits and the machine types there are.
//!
//! Pure: it knows nothing of what is free or running now. A job is refused for good only if the
//! limits or all known machine types rule it out; while the types are not known, that is left open.

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;

use crate::config::Config;
use crate::machines::resources::Resources;

/// Whether a job could ever run, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    Fits,
    Never,
    /// The machine types are not known yet.
    Unsure,
}

/// Decides whether a job can ever run.
pub fn feasibility<'a>(
    config: &Config,
    types: Option<impl Iterator<Item = &'a MachineType>>,
    spec: &JobSpec,
) -> Feasibility {
    let Some(team) = config.team(&spec.team) else { return Feasibility::Never };
    let over = |want: f64, most: f64| most > 0.0 && want > most;
    // All replicas of a service run at once.
    let at_once = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
    if over(spec.cpus * at_once, team.cpus_max) || over(spec.gpus * at_once, team.gpus_max) {
        return Feasibility::Never;
    }
    let Some(mut types) = types else { return Feasibility::Unsure };
    let fits = types.any(|t| {
        type_allowed(spec, t) && Resources::capacity_of(t).fits(&Resources::required_by(spec))
    });
    if fits { Feasibility::Fits } else { Feasibility::Never }
}

/// Whether a job may run on a machine type at all (room aside).
fn type_allowed(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
}

#[cfg(test)]
mod tests;
