//! Job specifications for tests.

use quartzlever_wire::users::{JobSpec, Priority, Shape};

/// Returns a batch job of `tasks` tasks without placement constraints. Tests override fields as
/// needed.
pub fn array(number: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("req-{number:06}"),
        class: "c".into(),
        team: "free".into(),
        shape: Shape::Batch,
        priority: Priority::Standard,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expect_s: 3.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

/// Returns a service of `replicas` replicas without placement constraints.
pub fn service(number: u32, replicas: u32) -> JobSpec {
    JobSpec { shape: Shape::Service, expect_s: 0.0, cpus: 1.0, ..array(number, replicas) }
}
