//! The work of a step on machines with as many attempts of the largest job as they may have.

use super::*;
use crate::scheduling::MAX_PREEMPTIONS;

/// Attempts that fit into a heartbeat of 64 KiB.
const LISTED_ATTEMPTS: u32 = 1_400;
/// A job whose tasks are on two machines with that many attempts each.
const TASKS: u32 = 2 * LISTED_ATTEMPTS;

/// Returns a controller whose two machines run all tasks of job "req-1", as listed by heartbeats.
fn core_with_crowded_machines(job: &JobSpec) -> Core {
    let mut core = core_with_job(job);
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    for index in 0..job.tasks {
        let machine = if index < LISTED_ATTEMPTS { "n-1" } else { "n-2" };
        partition.start_task("req-1", index, machine, NOW);
    }
    let heartbeats = running_heartbeats(&core, 2);
    step(&mut core, heartbeats, "all attempts are listed first");
    assert_eq!(started(&core), TASKS as usize);
    core
}

/// Replaces the record of job "req-1" by one of the largest job, every second of whose later tasks
/// has finished.
fn finish_every_second_task(core: &mut Core) {
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    let Some(job) = partition.jobs.get_mut("req-1") else { unreachable!() };
    job.record.job.tasks = LARGEST_JOB;
    job.record.shares[0].tasks = Ranges::up_to(LARGEST_JOB);
    job.record.finished = (TASKS..LARGEST_JOB).filter(|task| task % 2 == 0).collect();
}

fn heartbeat_command(heartbeat: Heartbeat) -> Vec<Command> {
    vec![Command::Heartbeat { id: 1, heartbeat }]
}

/// Guards against heartbeats that take one step for each pair of attempts, or of an attempt and a
/// range of finished tasks.
#[test]
fn a_full_heartbeat_takes_one_pass_over_its_attempts() {
    for (case, phase, cause) in [
        ("nothing has changed", TaskPhase::Running, None),
        ("all are done", TaskPhase::Exited, Some(ExitCause::Done)),
        ("all have failed", TaskPhase::Exited, Some(ExitCause::Error)),
        ("all were killed", TaskPhase::Exited, Some(ExitCause::Halted)),
    ] {
        let mut core = core_with_crowded_machines(&tiny_job(TASKS, |_| {}));
        finish_every_second_task(&mut core);
        let heartbeat = heartbeat_with_all(&core, "n-1", 3, phase, cause);
        step(&mut core, heartbeat_command(heartbeat), case);
        let partition = &core.partitions["one"];
        let job = &partition.jobs["req-1"];
        let left = if phase == TaskPhase::Running { TASKS } else { LISTED_ATTEMPTS };
        assert!(job.assignments.len() >= left as usize, "{case}");
        let done = if cause == Some(ExitCause::Done) { LISTED_ATTEMPTS } else { 0 };
        assert_eq!(job.finished.len(), done, "{case}");
    }
}

/// Guards against a takeover that hangs when the first heartbeats arrive.
#[test]
fn a_new_leader_adopts_a_full_heartbeat_in_one_pass() {
    let earlier = core_with_crowded_machines(&tiny_job(TASKS, |_| {}));
    let mut heartbeat = heartbeat_with_all(&earlier, "n-1", 9, TaskPhase::Running, None);
    heartbeat.fencing_token = 6;
    let mut core = core_with_job(&tiny_job(TASKS, |_| {}));
    finish_every_second_task(&mut core);
    if let Some(partition) = core.partitions.get_mut("one") {
        partition.term = 6;
        partition.jobs["req-1"].no_start_before = core.now + 10 * SECOND;
    }
    step(&mut core, heartbeat_command(heartbeat), "adoption");
    assert_eq!(started(&core), LISTED_ATTEMPTS as usize);
}

/// Guards against a cancellation that hangs the controller of the job, and against kills that take
/// one step for each pair of attempts.
#[test]
fn a_cancelled_job_is_stopped_in_passes_over_its_attempts() {
    let mut core = core_with_crowded_machines(&tiny_job(TASKS, |_| {}));
    core.work.begin_step();
    core.job_terminated("req-1", TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 });
    assert_work_is_bounded(&core, "cancellation");
    let heartbeat = heartbeat_with_all(&core, "n-1", 3, TaskPhase::Running, None);
    let effects = step(&mut core, heartbeat_command(heartbeat), "kills");
    let is_killed = |effect: &Effect| match effect {
        Effect::Answer { body: Answer::WorkerCommands(message), .. } => {
            message.commands.iter().any(|c| matches!(c, WorkerCommand::Kill { .. }))
        }
        _ => false,
    };
    assert!(effects.iter().any(is_killed));
}

/// Guards against the loss of a machine taking one step for each pair of an attempt and a range of
/// finished tasks.
#[test]
fn the_tasks_of_a_lost_machine_are_requeued_in_one_pass() {
    let mut core = core_with_crowded_machines(&tiny_job(TASKS, |_| {}));
    finish_every_second_task(&mut core);
    core.work.begin_step();
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    partition.remove_machine("n-1");
    assert_eq!(partition.jobs["req-1"].ready.len(), LISTED_ATTEMPTS);
    assert_work_is_bounded(&core, "lost machine");
}

/// Guards against a search that preempts as many tasks as an accepted job has, each after a new
/// search of its machine.
#[test]
fn a_search_preempts_a_bounded_number_of_attempts_for_the_largest_job() {
    let mut core = core_with_crowded_machines(&JobSpec {
        priority: Priority::BestEffort,
        cpus: 8.0 / f64::from(LISTED_ATTEMPTS),
        ..tiny_job(TASKS, |_| {})
    });
    let urgent = JobSpec {
        id: "req-2".into(),
        priority: Priority::Prod,
        cpus: 8.0 / f64::from(LISTED_ATTEMPTS),
        due_s: Some(1.0),
        ..tiny_job(LARGEST_JOB, |_| {})
    };
    reconcile_test_job(&mut core, &urgent, 11, NOW);
    let stopped = |core: &Core| {
        core.partitions["one"].active_attempts().filter(|attempt| !attempt.wanted).count()
    };
    let mut before = 0;
    for search in 0..4 {
        step(&mut core, Vec::new(), "preemption");
        let now_stopped = stopped(&core);
        assert!(now_stopped - before <= MAX_PREEMPTIONS, "search {search}: {now_stopped}");
        before = now_stopped;
    }
    assert_eq!(before, TASKS as usize, "the next searches go on");
    assert!(core.partitions["one"].saturated, "then capacity is lacking");
}

/// Heartbeats that the program handles in one step at most.
const HEARTBEATS_PER_STEP: u32 = 64;

/// Returns a controller with as many crowded machines as send heartbeats in one step, all of whose
/// attempts are of job "req-1".
fn core_with_crowded_fleet(job: &JobSpec) -> (Core, Vec<String>) {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let names: Vec<String> = (0..HEARTBEATS_PER_STEP).map(|n| format!("n-{n:02}")).collect();
    let machines: Vec<(&str, &str, &str, bool)> =
        names.iter().map(|name| (name.as_str(), "m", "a", false)).collect();
    set_machines(&mut core, &machines);
    reconcile_test_job(&mut core, job, 10, NOW);
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    for (first, name) in (0..).step_by(LISTED_ATTEMPTS as usize).zip(&names) {
        for index in first..first + LISTED_ATTEMPTS {
            partition.start_task("req-1", index, name, NOW);
        }
    }
    (core, names)
}

/// Guards against a batch of heartbeats that holds a controller.
#[test]
fn a_step_of_as_many_full_heartbeats_as_it_takes_is_bounded() {
    let (mut core, names) = core_with_crowded_fleet(&tiny_job(LARGEST_JOB, |_| {}));
    for (sequence, phase, cause) in
        [(2, TaskPhase::Running, None), (3, TaskPhase::Exited, Some(ExitCause::Done))]
    {
        let commands = names.iter().zip(1..).map(|(name, id)| {
            let heartbeat = heartbeat_with_all(&core, name, sequence, phase, cause);
            Command::Heartbeat { id, heartbeat }
        });
        let commands = commands.collect();
        step(&mut core, commands, "heartbeats of all machines");
    }
    let job = &core.partitions["one"].jobs["req-1"];
    assert!(job.finished.len() >= HEARTBEATS_PER_STEP * LISTED_ATTEMPTS);
}

/// Guards against the use of a team's resources being summed over all attempts for each job of the
/// queue.
#[test]
fn the_queue_of_a_team_with_limits_takes_one_pass_over_the_attempts() {
    const QUEUED_JOBS: u32 = 100;
    let all_running = HEARTBEATS_PER_STEP * LISTED_ATTEMPTS;
    let job = tiny_job(all_running, |spec| spec.team = "tight".into());
    let (mut core, _) = core_with_crowded_fleet(&job);
    for number in 2..2 + QUEUED_JOBS {
        let mut record = record_of(number, 1, "one");
        record.job.team = "tight".into();
        core.reconcile_job(record, 10 + u64::from(number));
    }
    step(&mut core, Vec::new(), "queue of a team with limits");
    let placed =
        |number: u32| !core.partitions["one"].jobs[&format!("req-{number}")].assignments.is_empty();
    let count = (2..2 + QUEUED_JOBS).filter(|number| placed(*number)).count();
    // The team may use 8 processors, of which the largest job uses 4.5, and each of these jobs 2.
    assert_eq!(count, 1);
}

/// Guards against a search for work to preempt that visits all attempts for each job of the queue,
/// and against jobs at the end of the queue that no search comes to.
#[test]
fn a_search_for_work_to_preempt_visits_a_bounded_number_of_attempts() {
    const QUEUED_JOBS: u32 = 20;
    let prod_job = |number: u32, tasks: u32, cpus: f64| {
        let mut record = record_of(number, tasks, "one");
        (record.job.priority, record.job.cpus, record.job.due_s) =
            (Priority::Prod, cpus, Some(1.0));
        record.since = NOW + u64::from(number);
        record
    };
    // One processor of each machine runs work that is not preempted, the others best-effort work.
    let all_running = HEARTBEATS_PER_STEP * LISTED_ATTEMPTS;
    let job = tiny_job(all_running, |spec| {
        (spec.priority, spec.cpus) = (Priority::BestEffort, 7.0 / f64::from(LISTED_ATTEMPTS));
    });
    let (mut core, names) = core_with_crowded_fleet(&job);
    core.reconcile_job(prod_job(9, HEARTBEATS_PER_STEP, 1.0), 10);
    for (index, name) in (0..).zip(&names) {
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        partition.start_task("req-9", index, name, NOW);
        partition.refresh_machine(name);
    }
    // Only a task of the last job can be made to fit.
    let last = 10 + QUEUED_JOBS;
    for number in 10..=last {
        let cpus = if number == last { 7.0 } else { 8.0 };
        core.reconcile_job(prod_job(number, 1, cpus), u64::from(number));
    }
    let mut stopped = 0;
    for _ in 0..QUEUED_JOBS {
        core.cache.set_view_as_of(core.now);
        step(&mut core, Vec::new(), "preemption");
        let attempts = core.partitions["one"].active_attempts();
        stopped = attempts.filter(|attempt| !attempt.wanted).count();
    }
    assert!(stopped >= LISTED_ATTEMPTS as usize, "{stopped} attempts are stopped for the last job");
}
