//! Commands in heartbeat answers and direct calls, as tables.

use crate::leadership::authority::Permit;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::commands::MessageKind;
use crate::machines::machine::Machine;
use crate::outbox::Outbox;
use crate::store::cache::Cache;
use crate::testing::*;

/// Returns the commands for machine "n-1" in the answer to its heartbeat, or in a direct call.
fn commands_for(partition: &mut Partition, in_answer: bool) -> Vec<WorkerCommand> {
    let kind = if in_answer { MessageKind::HeartbeatAnswer } else { MessageKind::DirectCall };
    partition.commands_for("n-1", kind, &Cache::default(), NOW).commands
}

#[test]
fn an_attempt_is_cleared_only_when_no_run_command_is_in_flight() {
    // (whether a heartbeat answer carries the `run`, whether a direct call of unknown outcome
    // carries it, whether a later heartbeat arrives; whether the attempt is cleared)
    for (in_answer, outcome_unknown, later_heartbeat, expected) in [
        (false, false, false, true),
        (true, false, false, false),
        (true, false, true, true),
        (false, true, false, false),
        (false, true, true, false),
        (true, true, true, false),
    ] {
        let mut core = core();
        core.reconcile_job(job_record("0", "1-3"), 10);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let mut run_times = RunTimes::default();
        partition.apply_heartbeat(
            &config,
            &mut run_times,
            &heartbeat_with(1, &[]),
            StatusSource::Heartbeat,
            NOW,
        );
        partition.start_task("req-1", 0, "n-1", NOW);
        let attempt = partition.jobs["req-1"].assignments[&0].attempt;
        assert_eq!(commands_for(partition, in_answer).len(), 1);
        if outcome_unknown {
            let Some(machine) = partition.machines.get_mut("n-1") else { unreachable!() };
            machine
                .attempts
                .values_mut()
                .for_each(|s| s.direct_command = DirectCommand::OutcomeUnknown);
        }
        let ended = [(attempt, TaskPhase::Exited, Some(ExitCause::Halted))];
        partition.apply_heartbeat(
            &config,
            &mut run_times,
            &heartbeat_with(2, &ended),
            StatusSource::DirectReply,
            NOW,
        );
        if later_heartbeat {
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &heartbeat_with(3, &ended),
                StatusSource::Heartbeat,
                NOW,
            );
        }
        let cleared = commands_for(partition, false)
            .iter()
            .any(|command| matches!(command, WorkerCommand::Clear { .. }));
        assert_eq!(
            cleared, expected,
            "in answer {in_answer}, unknown {outcome_unknown}, later heartbeat {later_heartbeat}"
        );
    }
}

#[test]
fn ended_attempts_are_cleared_in_batches_or_with_other_commands() {
    // (ended attempts, whether a task is to start, whether the commands go in the answer to a
    // heartbeat; commands, clears among them)
    for (ended, starts, in_answer, commands, clears) in [
        (1, false, true, 0, 0),
        (1, true, true, 2, 1),
        (1, false, false, 1, 1),
        (3, false, true, 0, 0),
        (4, false, true, 4, 4),
        (0, true, true, 1, 0),
    ] {
        let mut core = core();
        core.reconcile_job(job_record("0-9", ""), 10);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let mut run_times = RunTimes::default();
        partition.apply_heartbeat(
            &config,
            &mut run_times,
            &heartbeat_with(1, &[]),
            StatusSource::Heartbeat,
            NOW,
        );
        let mut list = Vec::new();
        for index in 0..ended {
            partition.start_task("req-1", index, "n-1", NOW);
            let attempt = partition.jobs["req-1"].assignments[&index].attempt;
            list.push((attempt, TaskPhase::Exited, Some(ExitCause::Halted)));
        }
        let mut heartbeat = heartbeat_with(2, &list);
        for (index, task) in heartbeat.tasks.iter_mut().enumerate() {
            task.task.index = index as u32;
        }
        partition.apply_heartbeat(
            &config,
            &mut run_times,
            &heartbeat,
            StatusSource::Heartbeat,
            NOW,
        );
        if starts {
            partition.start_task("req-1", 9, "n-1", NOW);
        }
        let found = commands_for(partition, in_answer);
        let cleared =
            found.iter().filter(|command| matches!(command, WorkerCommand::Clear { .. })).count();
        assert_eq!((found.len(), cleared), (commands, clears), "{ended} {starts} {in_answer}");
    }
}

/// Sends a heartbeat and returns the commands in its answer.
fn commands_in_answer(core: &mut Core, heartbeat: Heartbeat) -> Vec<WorkerCommand> {
    let now = core.now + SECOND;
    let effects = core.step(now, vec![Command::Heartbeat { id: 77, heartbeat }]);
    let commands = effects.into_iter().find_map(|e| match e {
        Effect::Answer { id: 77, status: 200, body: Answer::WorkerCommands(commands), .. } => {
            Some(commands)
        }
        _ => None,
    });
    commands.expect("the heartbeat is answered 200").commands
}

/// A 200 renews the worker's lease and so the life of everything that it runs. Without the kill in
/// the answer to the first heartbeat that a new leader gets, or to one that a direct call has
/// overtaken, a cancelled task would run for one more lease on a machine that becomes unreachable
/// right after.
#[test]
fn every_answer_that_renews_a_lease_carries_its_kills() {
    // (whether the heartbeat is from before the takeover, whether it is older than the known state,
    // whether the job is active; whether the listed attempt is killed)
    for (before, older, active, killed) in [
        (true, false, false, true),
        (true, false, true, false),
        (false, true, false, true),
        (false, true, true, false),
        (false, false, false, true),
    ] {
        let mut core = core();
        if active {
            core.reconcile_job(job_record("0-3", ""), 4);
        }
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.add_machine("n-2", machine_record_of("n-2", "one"), !before, NOW);
        if older {
            commands_in_answer(&mut core, heartbeat_from("n-2", 1, 9, 5, &[]));
        }
        let fencing_token = if before { 4 } else { 5 };
        let commands =
            commands_in_answer(&mut core, heartbeat_from("n-2", 1, 3, fencing_token, &[7]));
        let kills = commands
            .iter()
            .filter(|command| matches!(command, WorkerCommand::Kill { attempt: 7, .. }))
            .count();
        assert_eq!(
            kills == 1,
            killed,
            "before {before}, older {older}, active {active}: {commands:?}"
        );
    }
}

/// A list of commands is truncated, so kills must not be queued behind the others.
#[test]
fn kills_are_sent_before_all_other_commands() {
    let mut core = core();
    let attempts: Vec<u64> = (1..=260).collect();
    let mut heartbeat = heartbeat_from("n-1", 1, 1, 5, &attempts);
    for task in &mut heartbeat.tasks[..250] {
        (task.phase, task.cause) = (TaskPhase::Exited, Some(ExitCause::Halted));
    }
    let commands = commands_in_answer(&mut core, heartbeat);
    let kills =
        commands.iter().take_while(|command| matches!(command, WorkerCommand::Kill { .. })).count();
    assert_eq!(kills, 10);
    assert!(commands.len() > 10 && commands.len() < 260, "{}", commands.len());
}

/// While a task saves its progress, another kill with a leeway is redundant; one without ends the
/// saving.
#[test]
fn a_kill_with_leeway_is_not_repeated_while_a_task_saves() {
    // (reported phase, whether the attempt is wanted, seconds that it may take to save; expected
    // command)
    let kill = |leeway_s| Some(WorkerCommand::Kill { task: task(), attempt: 7, leeway_s });
    let run = Some(WorkerCommand::Run { task: task(), attempt: 7 });
    for (phase, wanted, leeway_s, expected) in [
        (Some(TaskPhase::Running), false, 0.0, kill(0.0)),
        (Some(TaskPhase::Running), false, 5.0, kill(5.0)),
        (Some(TaskPhase::Pulling), false, 5.0, kill(5.0)),
        (Some(TaskPhase::Saving), false, 5.0, None),
        (Some(TaskPhase::Saving), false, 0.0, kill(0.0)),
        (Some(TaskPhase::Exited), false, 0.0, None),
        // Never reported: it is removed once a heartbeat proves that the worker does not have it.
        (None, false, 0.0, None),
        (Some(TaskPhase::Running), true, 0.0, None),
        (None, true, 0.0, run),
    ] {
        let mut machine = Machine::new("n-1", machine_record_of("n-1", "one"), NOW);
        let attempt = Attempt { phase, wanted, leeway_s, ..Attempt::new(&spec(1), NOW) };
        machine.attempts.insert(AttemptKey { task: task(), attempt: 7 }, attempt);
        let commands = machine.commands(5, |_, _| true);
        assert_eq!(commands, Vec::from_iter(expected), "{phase:?} {wanted} {leeway_s}");
    }
}

fn task() -> TaskId {
    TaskId { job: "req-1".into(), index: 0 }
}

/// Returns a controller that leads partition "one" in term 5, with `exited` attempts that were
/// started on machine "n-1" at `NOW` and have failed there; its cache has reached `revision`.
fn core_with_exited_attempts(exited: u32, by_direct_call: bool, revision: u64) -> Core {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    make_machine_usable(&mut core);
    queue_tasks(&mut core, exited + 1, Priority::Urgent, 0.01);
    let config = core.config.clone();
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    let mut heartbeat = idle_heartbeat("n-1", 9, 5);
    for index in 0..exited {
        partition.start_task("req-1", index, "n-1", NOW);
        heartbeat.tasks.push(AttemptStatus {
            task: TaskId { job: "req-1".into(), index },
            attempt: partition.jobs["req-1"].assignments[&index].attempt,
            phase: TaskPhase::Exited,
            cause: Some(ExitCause::Error),
            kept: None,
        });
    }
    if by_direct_call {
        let mut outbox = Outbox::new(LogLevel::Info, NOW);
        let permit = Permit::until(NOW + 1);
        partition.call_workers(&config, NOW, permit, &core.cache, &mut outbox);
        let (call_id, call) = outbox.take_only_worker_call();
        let result = Ok(WorkerReply::Status(heartbeat.clone()));
        let run_times = &mut RunTimes::default();
        partition.handle_worker_reply(&config, run_times, call_id, &call, result, NOW);
    } else {
        commands_for(partition, true);
    }
    heartbeat.sequence += 1;
    let (run_times, source) = (&mut RunTimes::default(), StatusSource::Heartbeat);
    partition.apply_heartbeat(&config, run_times, &heartbeat, source, NOW);
    core.cache.advance_to(revision);
    core
}

#[test]
fn an_attempt_that_a_direct_call_started_is_cleared_only_with_a_higher_token() {
    use MessageKind::{DirectCall, HeartbeatAnswer};
    let (soon, later) = (NOW + SECOND, NOW + 6 * SECOND);
    // (whether a direct call started the attempts, revision of the cache, how the commands are sent
    // and when after the last answer, whether a call is in flight; clears, fencing token)
    for (by_direct_call, revision, kind, now, in_flight, clears, fencing_token) in [
        (true, 9, HeartbeatAnswer, soon, false, 4, 9),
        (true, 9, DirectCall, later, false, 4, 9),
        (true, 5, HeartbeatAnswer, soon, false, 0, 5),
        // The worker would refuse the call in flight.
        (true, 9, HeartbeatAnswer, soon, true, 0, 5),
        // The worker would drop the answer to its heartbeat.
        (true, 9, DirectCall, soon, false, 0, 5),
        (false, 5, HeartbeatAnswer, soon, false, 4, 5),
        (false, 5, DirectCall, soon, false, 4, 5),
    ] {
        let mut core = core_with_exited_attempts(4, by_direct_call, revision);
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        let machine = partition.machines.get_mut("n-1").expect("the machine is known");
        machine.last_answered_at = NOW;
        machine.call = in_flight.then_some(77);
        let message = partition.commands_for("n-1", kind, &core.cache, now);
        let is_clear = |command: &&WorkerCommand| matches!(command, WorkerCommand::Clear { .. });
        let found = message.commands.iter().filter(is_clear).count();
        assert_eq!(
            (found, message.fencing_token),
            (clears, fencing_token),
            "direct {by_direct_call}, revision {revision}, {kind:?}, in flight {in_flight}"
        );
        // The token does not go back with the next message.
        let next = partition.commands_for("n-1", HeartbeatAnswer, &Cache::default(), later);
        assert!(next.fencing_token >= fencing_token);
    }
}

/// The list of exited attempts must not outgrow a status while the revision stands still.
#[test]
fn tasks_start_only_by_heartbeat_answers_while_many_attempts_wait_to_be_cleared() {
    use MessageKind::{DirectCall, HeartbeatAnswer};
    for (exited, started_directly) in [(199, true), (200, false), (201, false)] {
        let mut core = core_with_exited_attempts(exited, true, 5);
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.start_task("req-1", exited, "n-1", NOW);
        assert_eq!(partition.machines["n-1"].has_urgent_commands(), started_directly, "{exited}");
        for (kind, started) in [(DirectCall, started_directly), (HeartbeatAnswer, true)] {
            let message = partition.commands_for("n-1", kind, &core.cache, NOW);
            let is_run = |command: &WorkerCommand| matches!(command, WorkerCommand::Run { .. });
            assert_eq!(message.commands.iter().any(is_run), started, "{exited}, {kind:?}");
        }
    }
}
