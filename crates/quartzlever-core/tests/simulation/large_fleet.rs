//! A fleet of more than 4,000 machines, all of which a single controller takes over.

use quartzlever_core::Config;
use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::{Micros, SECOND};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
const MACHINES: usize = 4_200;
const JOBS: u32 = 6;

fn large_fleet_config(config: &mut Config) {
    config.workers.heartbeat_interval = 4 * SECOND;
    config.operator.silent_machine_timeout = 9 * SECOND;
}

/// Returns a job whose tasks fill a machine each, with 100 tasks more than its share of the
/// machines.
fn machine_filling_job(number: u32) -> JobSpec {
    let tasks = MACHINES as u32 / JOBS + 100;
    JobSpec { cpus: 8.0, expect_s: 45.0, ..job(number, tasks) }
}

/// Returns a simulation in which more than 4,000 machines run tasks of [`JOBS`] jobs.
fn busy_fleet(seed: u64, run_time: Micros, job: impl Fn(u32) -> JobSpec) -> Simulation {
    let mut simulation = Simulation::with(seed, NODES, large_fleet_config);
    simulation.cloud.max_machines = MACHINES;
    simulation.run_time = run_time;
    simulation.run(3 * SECOND);
    for number in 0..JOBS {
        let node = number as usize % NODES.len();
        assert_eq!(simulation.submit_until_accepted(node, &job(number)), 201);
    }
    simulation.run(35 * SECOND);
    let busy = simulation.workers.values().filter(|w| !w.running().is_empty()).count();
    assert!(busy > 4_000, "only {busy} machines run tasks");
    simulation
}

/// No limit in the controller lies below this number of machines: all are launched and claimed, and
/// after all controllers but one have crashed, that one takes them over and runs the remaining
/// tasks.
#[test]
fn one_controller_takes_over_more_than_4000_machines() {
    let mut simulation = busy_fleet(4_200, 45 * SECOND, machine_filling_job);

    simulation.kill(1);
    simulation.kill(2);
    simulation.run_with_lookups(110 * SECOND);
    for partition in NODES {
        assert_eq!(simulation.leader(partition), Some(0), "{partition}");
    }
    assert_eq!(simulation.rules.violations, Vec::<String>::new());
    for number in 0..JOBS {
        let spec = machine_filling_job(number);
        let request = simulation.lookup(0, &spec.id);
        let (status, body) = simulation
            .wait_for_answer(request, 3 * SECOND)
            .expect("no answer to the lookup within 3 s");
        assert_eq!((status, &body["phase"]), (200, &"done".into()), "{body}");
    }
}

/// At production size, hundreds of start commands of cancelled jobs are on their way at once while
/// the cloud terminates nothing, and the leaders change: no task of these jobs outlives `cancel_s`.
#[test]
fn cancelled_jobs_end_in_time_on_more_than_4000_machines_without_the_cloud() {
    let half_filling_job = |number| JobSpec { cpus: 5.0, ..machine_filling_job(number) };
    let mut simulation = busy_fleet(4_201, 90 * SECOND, half_filling_job);

    simulation.command_delay = 24 * SECOND;
    simulation.cloud_down = true;
    for number in JOBS..3 * JOBS {
        let spec = JobSpec {
            priority: Priority::Urgent,
            due_s: Some(3.2),
            ..job(number, MACHINES as u32 / JOBS)
        };
        let node = number as usize % NODES.len();
        assert_eq!(simulation.submit_until_accepted(node, &spec), 201);
        assert!(simulation.cancel_until_confirmed(node, &spec.id).is_some());
    }
    simulation.run(12 * SECOND);
    simulation.restart(0, SECOND / 5);
    simulation.run(20 * SECOND);
    let counts = simulation.counts;
    assert!(counts.delayed_commands > 300, "{counts:?}");
    assert!(counts.delayed_executed + counts.delayed_refused > 100, "{counts:?}");
    assert!(simulation.rules.cancellations >= 2 * JOBS as usize);
    assert_eq!(simulation.rules.violations, Vec::<String>::new());
}
