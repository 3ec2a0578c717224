//! The work of one step with the largest jobs that the protocol accepts. While a step runs, no
//! health check, lookup or heartbeat is answered.

use crate::scheduling::MAX_STARTS_PER_PLACEMENT;
use crate::testing::*;

/// The most tasks that a job may have.
const LARGEST_JOB: u32 = 100_000;
/// The most units of work of a step: each task of the largest job may be visited a few times, but
/// none once for each other task.
const MAX_UNITS: u64 = 4 * LARGEST_JOB as u64;
/// Processors of a task of which all tasks of the largest job fit on one machine.
const TINY_CPUS: f64 = 0.00005;

type Change = fn(&mut JobSpec);

/// The shapes of a job that its placement depends on.
const SHAPES: [(&str, Change); 5] = [
    ("array", |_| {}),
    ("array in one zone", |spec| spec.one_zone = true),
    ("array spread over zones", |spec| spec.spread = true),
    ("service", |spec| spec.shape = Shape::Service),
    ("service spread over zones", |spec| (spec.shape, spec.spread) = (Shape::Service, true)),
];

/// Returns a job of tiny tasks.
fn tiny_job(tasks: u32, change: Change) -> JobSpec {
    let mut job = JobSpec { cpus: TINY_CPUS, ram_gb: 0.0, ..spec(tasks) };
    change(&mut job);
    job
}

/// Returns a controller with two machines, one in each zone, and this job in its queue.
fn core_with_job(job: &JobSpec) -> Core {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    set_machines(&mut core, &[("n-1", "m", "a", false), ("n-2", "m", "b", false)]);
    reconcile_test_job(&mut core, job, 10, NOW);
    core
}

/// Runs a step with these commands 200 ms after the last one, and returns its units of work.
fn step(core: &mut Core, commands: Vec<Command>) -> u64 {
    core.step(core.now + SECOND / 5, commands);
    core.work().summary().units.iter().map(|(_, units)| units).sum()
}

/// Returns a heartbeat that lists all attempts on a machine as running.
fn heartbeat_with_all(core: &Core, machine: &str, sequence: u64) -> Heartbeat {
    let state = &core.partitions["one"].machines[machine];
    let tasks = state.attempts.keys().map(|key| AttemptStatus {
        task: key.task.clone(),
        attempt: key.attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    });
    Heartbeat {
        address: "n:1".into(),
        zone: state.record.zone.clone(),
        spot: state.record.spot,
        tasks: tasks.collect(),
        ..idle_heartbeat(machine, sequence, 5)
    }
}

fn started(core: &Core) -> usize {
    core.partitions["one"].jobs["req-1"].assignments.len()
}

/// Guards against a controller that hangs in one placement of an accepted job (review/4): the
/// attempts of the job were counted anew before each start, n * n / 2 visits for n tasks.
#[test]
fn the_work_of_a_placement_does_not_grow_with_the_square_of_the_job() {
    for (shape, change) in SHAPES {
        for tasks in [LARGEST_JOB / 100, LARGEST_JOB / 10, LARGEST_JOB] {
            let mut core = core_with_job(&tiny_job(tasks, change));
            let units = step(&mut core, Vec::new());
            assert!(units <= MAX_UNITS, "{shape} of {tasks} tasks: {units} units");
            assert!(started(&core) > 0, "{shape} of {tasks} tasks");
        }
    }
}

/// Guards against a step that starts as many tasks as an accepted job has, and against tasks that
/// are never started because an earlier placement had made enough starts.
#[test]
fn the_starts_of_a_placement_are_limited_and_the_rest_follows() {
    const TASKS: u32 = 1_500;
    for (shape, change) in SHAPES {
        let mut core = core_with_job(&tiny_job(TASKS, change));
        step(&mut core, Vec::new());
        for sequence in 2..12 {
            let before = started(&core);
            let heartbeats = ["n-1", "n-2"].map(|n| heartbeat_with_all(&core, n, sequence));
            let handle = |(id, heartbeat)| Command::Heartbeat { id, heartbeat };
            let units = step(&mut core, (0..).zip(heartbeats).map(handle).collect());
            let attempts = started(&core);
            assert!(units <= MAX_UNITS, "{shape}: {units} units with {attempts} attempts");
            assert!(attempts - before <= MAX_STARTS_PER_PLACEMENT as usize, "{shape}");
            assert!(attempts > before || attempts == TASKS as usize, "{shape}: {attempts}");
        }
        assert_eq!(started(&core), TASKS as usize, "{shape}");
    }
}

/// Guards against machines that are launched, and work that is preempted, for tasks that wait only
/// for the heartbeat that lists the tasks started before them.
#[test]
fn tasks_that_a_machine_has_room_for_count_as_placed() {
    for (shape, change) in SHAPES {
        let mut core = core_with_job(&tiny_job(1_000, change));
        step(&mut core, Vec::new());
        let partition = &core.partitions["one"];
        let job = &partition.jobs["req-1"];
        assert!(!job.ready.is_empty(), "{shape}: not all tasks start at once");
        assert_eq!(job.unplaced_count(), 0, "{shape}");
        assert!(partition.jobs_without_capacity.is_empty(), "{shape}");
    }
}

/// Guards the limit on starts against hiding that capacity is lacking.
#[test]
fn tasks_that_fit_nowhere_still_lack_capacity() {
    let mut core = core_with_job(&JobSpec { cpus: 0.01, ram_gb: 0.0, ..spec(5_000) });
    step(&mut core, Vec::new());
    let partition = &core.partitions["one"];
    // Two machines of 8 processors have room for 1,600 tasks, not all of which start at once.
    assert!(started(&core) < 1_600);
    assert_eq!(partition.jobs["req-1"].unplaced_count(), 3_400);
    assert_eq!(partition.jobs_without_capacity, ["req-1"]);
}
