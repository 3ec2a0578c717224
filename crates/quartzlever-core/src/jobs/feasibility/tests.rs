//! Which jobs can never run.

use super::*;
use crate::testing::{core, spec};

#[test]
fn a_job_is_infeasible_only_if_limits_or_all_machine_types_rule_it_out() {
    let core = core();
    let types = core.types.clone().expect("the types are known");
    let of_team = |team: &str, cpus: f64| JobSpec { team: team.into(), cpus, ..spec(4) };
    let of_type = |name: &str| JobSpec { types: Some(vec![name.into()]), ..spec(4) };
    let in_zone = |zone: &str| JobSpec { zone: Some(zone.into()), ..spec(4) };
    let service = |cpus| JobSpec {
        team: "tight".into(),
        cpus,
        shape: crate::testing::Shape::Service,
        ..spec(4)
    };
    // (job; result while the machine types are known; result while they are not)
    use Feasibility::*;
    for (name, job, known, unknown) in [
        ("within all limits", of_team("free", 8.0), Fits, Unknown),
        ("of an unknown team", of_team("nobody", 1.0), Never, Never),
        ("larger than any machine", of_team("free", 8.5), Never, Unknown),
        ("as large as its team's limit", of_team("tight", 8.0), Fits, Unknown),
        ("larger than its team's limit", of_team("tight", 8.5), Never, Never),
        ("a service within the limit", service(2.0), Fits, Unknown),
        ("a service whose replicas together exceed the limit", service(2.5), Never, Never),
        ("of a known type", of_type("m"), Fits, Unknown),
        ("of an unknown type", of_type("x"), Never, Unknown),
        ("of a zone with machines", in_zone("a"), Fits, Unknown),
        ("of a zone without machines", in_zone("b"), Never, Unknown),
    ] {
        assert_eq!(feasibility(&core.config, Some(types.values()), &job), known, "{name}");
        let none = None::<std::iter::Empty<&MachineType>>;
        assert_eq!(feasibility(&core.config, none, &job), unknown, "{name}, types unknown");
    }
}
