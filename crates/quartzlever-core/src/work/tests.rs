//! Tests of the counts of a step's work, and of its bound with the largest jobs that the protocol
//! accepts.

mod crowded_machines;
mod large_records;
mod placement;

use super::*;
use crate::scheduling::MAX_STARTS_PER_PLACEMENT;
use crate::testing::*;

/// The most tasks that a job may have.
const LARGEST_JOB: u32 = 100_000;
/// The most units of work of a step. At 20 ns for a unit, a controller with a fiftieth of a
/// processor does them in the second in which it has to answer a health check. Each task of the
/// largest job may be visited a few times, but none once for each other task.
const MAX_UNITS: u64 = 10 * LARGEST_JOB as u64;
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

/// Returns the units of work of the present or the last step.
fn units(core: &Core) -> u64 {
    core.work().summary().units.iter().map(|(_, units)| units).sum()
}

/// Runs a step with these commands 200 ms after the last one. Checks its work and returns its
/// effects.
fn step(core: &mut Core, commands: Vec<Command>, case: &str) -> Vec<Effect> {
    let effects = core.step(core.now + SECOND / 5, commands);
    assert_work_is_bounded(core, case);
    effects
}

/// Checks the work of the present or the last step.
fn assert_work_is_bounded(core: &Core, case: &str) {
    let summary = core.work().summary();
    assert!(units(core) <= MAX_UNITS, "{case}: {summary}");
}

/// Returns a heartbeat that lists all attempts on a machine in this state.
fn heartbeat_with_all(
    core: &Core,
    machine: &str,
    sequence: u64,
    phase: TaskPhase,
    cause: Option<ExitCause>,
) -> Heartbeat {
    let state = &core.partitions["one"].machines[machine];
    let tasks = state.attempts.keys().map(|key| AttemptStatus {
        task: key.task.clone(),
        attempt: key.attempt,
        phase,
        cause,
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

/// Returns the commands of heartbeats that list all attempts of both machines as running.
fn running_heartbeats(core: &Core, sequence: u64) -> Vec<Command> {
    let heartbeats = ["n-1", "n-2"]
        .map(|machine| heartbeat_with_all(core, machine, sequence, TaskPhase::Running, None));
    (0..).zip(heartbeats).map(|(id, heartbeat)| Command::Heartbeat { id, heartbeat }).collect()
}

/// Returns how many tasks of job "req-1" are on machines.
fn started(core: &Core) -> usize {
    core.partitions["one"].jobs["req-1"].assignments.len()
}

/// Guards the explanation of a slow step: work counts for the activity that does it, also when one
/// activity interrupts another.
#[test]
fn work_counts_for_the_innermost_activity() {
    let counter = WorkCounter::default();
    counter.begin_step();
    let shared = counter.clone();
    {
        let _heartbeats = counter.begin(Activity::Heartbeats);
        counter.add(2);
        {
            let _placement = counter.begin(Activity::Placement);
            shared.add(30);
            assert_eq!(counter.summary().current, Activity::Placement);
        }
        counter.add(1);
    }
    let summary = counter.summary();
    assert_eq!(summary.current, Activity::Other);
    assert_eq!(summary.to_string(), "heartbeats:3,placement:30");
    counter.begin_step();
    assert_eq!(counter.summary().to_string(), "-");
}

#[test]
fn each_activity_has_its_own_place_and_name() {
    let names: std::collections::BTreeSet<&str> = Activity::ALL.iter().map(|a| a.name()).collect();
    assert_eq!(names.len(), Activity::ALL.len());
    for (place, activity) in Activity::ALL.into_iter().enumerate() {
        assert_eq!(activity as usize, place, "{activity}");
    }
}
