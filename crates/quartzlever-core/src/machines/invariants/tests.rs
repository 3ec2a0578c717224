//! Tests that violated invariants are reported, and that a command that must not be sent is not.

use crate::events::{Invariant, LogEvent};
use crate::leadership::authority::Permit;
use crate::machines::attempt::AttemptKey;
use crate::partition::Partition;
use crate::store::cache::Cache;
use crate::testing::*;
use quartzlever_wire::workers::WorkerCommands;

/// Returns partition "one" with a task of job "req-1" placed on machine "n-1", and its attempt.
fn partition_with_attempt() -> (Partition, u64) {
    let mut core = core();
    make_machine_usable(&mut core);
    queue_tasks(&mut core, 1, Priority::Urgent, 1.0);
    let Some(mut partition) = core.partitions.remove("one") else { unreachable!() };
    partition.start_task("req-1", 0, "n-1", NOW);
    let attempt = partition.jobs["req-1"].assignments[&0].attempt;
    (partition, attempt)
}

fn violated(partition: &Partition) -> Vec<Invariant> {
    let violation = |event: &LogEvent| match event {
        LogEvent::InvariantViolated(violation) => Some(violation.invariant),
        _ => None,
    };
    partition.log_events.iter().filter_map(violation).collect()
}

#[test]
fn no_task_of_an_ended_job_is_started() {
    for is_ended in [false, true] {
        let mut view = Cache::default();
        view.set_loaded(is_ended);
        let (mut partition, _) = partition_with_attempt();
        let permit = Permit::until(NOW + SECOND);
        let heartbeat = heartbeat_of_one(2, None);
        let answer = partition.heartbeat_answer(&heartbeat, true, permit, &view, NOW);
        let runs = answer.map_or(0, |answer| answer.commands.len());
        assert_eq!(runs, usize::from(!is_ended));
        let expected = if is_ended { vec![Invariant::NoRunOfEndedJob] } else { Vec::new() };
        assert_eq!(violated(&partition), expected);
    }
}

#[test]
fn a_renewal_that_keeps_an_overdue_attempt_alive_is_reported() {
    // (when the job ended, whether the answer kills the attempt, the attempt's phase in the
    // heartbeat with its incarnation, whether that is a violation)
    let (running, exited) = (Some((TaskPhase::Running, 1)), Some((TaskPhase::Exited, 1)));
    let exited_earlier = Some((TaskPhase::Exited, 0));
    for (ended_at, killed, listed, expected) in [
        (NOW - SECOND, false, None, true),
        (NOW - SECOND, true, None, false),
        (NOW, false, None, false),
        (NOW + SECOND, false, None, false),
        (NOW - SECOND, false, running, true),
        (NOW - SECOND, false, exited, false),
        (NOW - SECOND, false, exited_earlier, true),
    ] {
        let (mut partition, attempt) = partition_with_attempt();
        let list: Vec<_> = listed.iter().map(|(phase, _)| (attempt, *phase, None)).collect();
        let incarnation = listed.map_or(1, |(_, incarnation)| incarnation);
        let heartbeat = Heartbeat { incarnation, ..heartbeat_with(2, &list) };
        partition.drop_job("req-1", ended_at, NOW);
        let kill = WorkerCommand::Kill {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt,
            leeway_s: 0.0,
        };
        let commands = if killed { vec![kill] } else { Vec::new() };
        partition.check_renewal(&heartbeat, &commands, Permit::until(NOW + SECOND), NOW);
        let reported = violated(&partition) == [Invariant::NoRenewalForOverdueAttempt];
        assert_eq!(reported, expected, "{ended_at}, killed {killed}, listed as {listed:?}");
    }
}

/// A machine that its leader does not know may run tasks that the leader starts elsewhere.
#[test]
fn a_machine_that_a_leader_lacks_is_reported_once() {
    // (whether the partition is loaded, whether it has terminated the machine, reports)
    for (loaded, terminated, reports) in [(true, false, 1), (false, false, 0), (true, true, 0)] {
        let mut core = core_with_cache(&[("one", "one", 5)]);
        let records = [("n-9".into(), machine_record_of("n-9", "one"))].into();
        core.cache.record_group(&large_group_key("n-9"), records, 4);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.loaded = loaded;
            if terminated {
                partition.fleet.terminated.record("n-9", NOW);
            }
        }
        for sequence in [1, 2] {
            core.handle_heartbeat(sequence, idle_heartbeat("n-9", sequence, 5));
            core.handle_heartbeat(sequence, heartbeat_of_one(sequence, None));
        }
        let reported = violated(&core.partitions["one"]);
        assert_eq!(reported, vec![Invariant::NoMachineMissing; reports], "{loaded} {terminated}");
    }
}

/// A copy of the direct call that carried its `run` would start such an attempt again.
#[test]
fn a_clear_under_the_token_of_the_start_is_not_sent() {
    for (fencing_token, expected) in [(5, vec![Invariant::NoUnfencedClear]), (6, Vec::new())] {
        let (mut partition, number) = partition_with_attempt();
        let task = TaskId { job: "req-1".into(), index: 0 };
        let key = AttemptKey { task: task.clone(), attempt: number };
        let machine = partition.machines.get_mut("n-1").expect("the machine is known");
        let attempt = machine.attempts.get_mut(&key).expect("the attempt is known");
        attempt.direct_run_token = Some(5);
        let commands = vec![WorkerCommand::Clear { task, attempt: number }];
        let mut message = WorkerCommands { fencing_token, incarnation: None, commands };
        let permit = Permit::until(NOW + SECOND);
        partition.remove_forbidden_commands("n-1", &mut message, permit, &Cache::default());
        assert_eq!(message.commands.is_empty(), !expected.is_empty());
        assert_eq!(violated(&partition), expected);
    }
}

/// Nobody waits for the answer to a copy of a start command, so only a later status shows its effect.
#[test]
fn a_cleared_attempt_that_a_worker_lists_again_is_reported() {
    // (whether the machine was taken as empty after its lease, whether the attempt is of this term;
    // whether its listing is a violation)
    for (expired, of_term, expected) in
        [(false, true, true), (true, true, false), (false, false, false)]
    {
        let (mut partition, number) = partition_with_attempt();
        let config = core().config;
        let number = if of_term { number } else { 7 };
        let mut statuses = vec![heartbeat_of_one(2, Some(number)), heartbeat_of_one(3, None)];
        if expired {
            partition.requeue_attempts_of("n-1");
            statuses.clear();
        }
        statuses.push(heartbeat_of_one(4, Some(number)));
        for status in statuses {
            let (run_times, source) = (&mut RunTimes::default(), StatusSource::DirectReply);
            partition.apply_heartbeat(&config, run_times, &status, source, NOW);
        }
        let reported = violated(&partition) == [Invariant::NoClearedAttemptListed];
        assert_eq!(reported, expected, "expired {expired}, of this term {of_term}");
    }
}
