//! A fleet of more than 4,000 machines, all of which one controller has to serve in the end.

use quartzlever_core::Config;
use quartzlever_wire::SECOND;
use quartzlever_wire::users::JobSpec;

use crate::sim::{World, job};

const NODES: &[&str] = &["one", "two", "three"];
const MACHINES: usize = 4_200;
const JOBS: u32 = 6;

fn large(cfg: &mut Config) {
    cfg.workers.report = 4 * SECOND;
    cfg.operator.silent_return = 9 * SECOND;
}

/// A job of tasks that fill a machine each.
fn wide(number: u32) -> JobSpec {
    let tasks = MACHINES as u32 / JOBS + 100;
    JobSpec { cpus: 8.0, expect_s: 45.0, ..job(number, tasks) }
}

/// Nothing is fixed below this number: all machines are rented and claimed, and when all controllers
/// but one have ended, that one takes them over and runs what is left on them.
#[test]
fn one_controller_takes_over_more_than_4000_machines() {
    let mut world = World::with(4_200, NODES, large);
    world.cloud.most = MACHINES;
    world.run_time = 45 * SECOND;
    world.run(3 * SECOND);
    for number in 0..JOBS {
        assert_eq!(world.submit_surely(number as usize % NODES.len(), &wide(number)), 201);
    }
    world.run(35 * SECOND);
    let busy = world.workers.values().filter(|w| !w.running().is_empty()).count();
    assert!(busy > 4_000, "only {busy} machines run tasks");

    world.kill(1);
    world.kill(2);
    world.pass(110 * SECOND);
    for part in NODES {
        assert_eq!(world.holder(part), Some(0), "{part}");
    }
    assert_eq!(world.rules.broken, Vec::<String>::new());
    for number in 0..JOBS {
        let spec = wide(number);
        let asked = world.lookup(0, &spec.id);
        let (status, body) = world.answer(asked, 3 * SECOND).expect("an answer");
        assert_eq!((status, &body["phase"]), (200, &"done".into()), "{body}");
    }
}
