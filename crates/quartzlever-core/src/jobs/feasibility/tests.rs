//! Which jobs are refused for good.

use super::*;
use crate::testing::{core, spec};

#[test]
fn a_job_is_refused_only_if_limits_or_all_machine_types_rule_it_out() {
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
    // (the job; what is said of it with the types, and without them)
    use Feasibility::*;
    for (name, job, known, unknown) in [
        ("an ordinary one", of_team("free", 8.0), Fits, Unsure),
        ("of nobody", of_team("nobody", 1.0), Never, Never),
        ("larger than any machine", of_team("free", 8.5), Never, Unsure),
        ("as large as its team's limit", of_team("tight", 8.0), Fits, Unsure),
        ("larger than its team's limit", of_team("tight", 8.5), Never, Never),
        ("a service within the limit", service(2.0), Fits, Unsure),
        ("a service whose replicas exceed it together", service(2.5), Never, Never),
        ("of a known type", of_type("m"), Fits, Unsure),
        ("of an unknown type", of_type("x"), Never, Unsure),
        ("of a zone with machines", in_zone("a"), Fits, Unsure),
        ("of a zone without", in_zone("b"), Never, Unsure),
    ] {
        assert_eq!(feasibility(&core.config, Some(types.values()), &job), known, "{name}");
        let none = None::<std::iter::Empty<&MachineType>>;
        assert_eq!(feasibility(&core.config, none, &job), unknown, "{name}, types unknown");
    }
}
