//! The work of a placement of the largest job.

use super::*;

/// The most units of the first placement of a job, whatever its size: a few for each of the starts
/// that a placement may make.
const MAX_PLACEMENT_UNITS: u64 = 10 * MAX_STARTS_PER_PLACEMENT as u64;

/// Guards against a controller that hangs in one placement of an accepted job (review/4): the
/// attempts of the job were counted anew before each start, n * n / 2 visits for n tasks.
#[test]
fn the_work_of_a_placement_does_not_grow_with_the_square_of_the_job() {
    for (shape, change) in SHAPES {
        for tasks in [LARGEST_JOB / 100, LARGEST_JOB / 10, LARGEST_JOB] {
            let mut core = core_with_job(&tiny_job(tasks, change));
            step(&mut core, Vec::new(), shape);
            assert!(units(&core) <= MAX_PLACEMENT_UNITS, "{shape} of {tasks} tasks");
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
        step(&mut core, Vec::new(), shape);
        for sequence in 2..12 {
            let before = started(&core);
            let heartbeats = running_heartbeats(&core, sequence);
            step(&mut core, heartbeats, shape);
            let attempts = started(&core);
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
        step(&mut core, Vec::new(), shape);
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
    step(&mut core, Vec::new(), "larger than the machines");
    let partition = &core.partitions["one"];
    // Two machines of 8 processors have room for 1,600 tasks, not all of which start at once.
    assert!(started(&core) < 1_600);
    assert_eq!(partition.jobs["req-1"].unplaced_count(), 3_400);
    assert_eq!(partition.jobs_without_capacity, ["req-1"]);
}

/// Guards against a step that makes as many starts as there are machines and tasks, and against jobs
/// behind such a job that count as lacking capacity meanwhile.
#[test]
fn a_placement_on_many_machines_makes_a_thousand_starts() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let names: Vec<String> = (0..20).map(|n| format!("n-{n:02}")).collect();
    let machines: Vec<(&str, &str, &str, bool)> =
        names.iter().map(|name| (name.as_str(), "m", "a", false)).collect();
    set_machines(&mut core, &machines);
    reconcile_test_job(&mut core, &tiny_job(LARGEST_JOB, |_| {}), 10, NOW);
    core.reconcile_job(record_of(2, 3, "one"), 11);
    step(&mut core, Vec::new(), "many machines");
    assert_eq!(started(&core), 1_000);
    let partition = &core.partitions["one"];
    assert!(partition.jobs_without_capacity.is_empty());
    assert!(partition.jobs.values().all(|job| job.unplaced_count() == 0));
    step(&mut core, Vec::new(), "many machines");
    assert_eq!(started(&core), 2_000, "the next placement goes on");
}

/// Guards against a machine that gets attempts without end while its heartbeats, which may have grown
/// too long, do not arrive: replies to direct calls may be longer.
#[test]
fn a_machine_gets_as_many_attempts_as_a_message_starts_until_a_heartbeat_lists_them() {
    let mut core = core_with_job(&tiny_job(LARGEST_JOB, |_| {}));
    let attempts = |core: &Core| core.partitions["one"].machines["n-1"].attempts.len();
    for sequence in 2..6 {
        step(&mut core, Vec::new(), "direct calls");
        let status = heartbeat_with_all(&core, "n-1", sequence, TaskPhase::Running, None);
        let (config, mut run_times) = (core.config.clone(), RunTimes::default());
        let (now, source) = (core.now, StatusSource::DirectReply);
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        assert!(partition.apply_heartbeat(&config, &mut run_times, &status, source, now));
        assert_eq!(attempts(&core), 200, "after {sequence} statuses");
    }
    let heartbeats = running_heartbeats(&core, 6);
    step(&mut core, heartbeats, "heartbeats");
    step(&mut core, Vec::new(), "heartbeats");
    assert_eq!(attempts(&core), 400, "after a heartbeat");
}
