//! Heartbeats, answers and calls, as tables.

use crate::leadership::connectivity::StoreConnectivity;
use crate::testing::*;

#[test]
fn an_attempt_is_cleared_only_when_its_run_is_spent() {
    // Whether the answer to a heartbeat carries the `run`, whether a direct call does that is given
    // up, and whether a later heartbeat comes; what may be cleared.
    for (answer, given_up, unsolicited, clear) in [
        (false, false, false, true),
        (true, false, false, false),
        (true, false, true, true),
        (false, true, false, false),
        (false, true, true, false),
        (true, true, true, false),
    ] {
        let mut core = core();
        core.reconcile_job(record("0", "1-3"), 10);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let mut run_times = RunTimes::default();
        partition.apply_heartbeat(&config, &mut run_times, &heartbeat_with(1, &[]), true, NOW);
        partition.start("req-1", 0, "n-1", NOW);
        let attempt = partition.jobs["req-1"].assignments[&0].attempt;
        assert_eq!(partition.commands_for("n-1", answer).len(), 1);
        if given_up {
            let Some(machine) = partition.machines.get_mut("n-1") else { unreachable!() };
            machine.slots.values_mut().for_each(|s| {
                s.direct_command = crate::machines::machine::DirectCommand::OutcomeUnknown
            });
        }
        let ended = [(attempt, TaskPhase::Exited, Some(Cause::Halted))];
        partition.apply_heartbeat(&config, &mut run_times, &heartbeat_with(2, &ended), false, NOW);
        if unsolicited {
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &heartbeat_with(3, &ended),
                true,
                NOW,
            );
        }
        let cleared = partition
            .commands_for("n-1", false)
            .iter()
            .any(|o| matches!(o, WorkerCommand::Clear { .. }));
        assert_eq!(cleared, clear, "answer {answer} given up {given_up} hello {unsolicited}");
    }
}

#[test]
fn what_has_ended_is_cleared_along_with_other_orders() {
    // (ended attempts, whether a task is to start, in the answer to a heartbeat; orders, clears)
    for (ended, starts, answer, commands, clears) in [
        (1, false, true, 0, 0),
        (1, true, true, 2, 1),
        (1, false, false, 1, 1),
        (3, false, true, 0, 0),
        (4, false, true, 4, 4),
        (0, true, true, 1, 0),
    ] {
        let mut core = core();
        core.reconcile_job(record("0-9", ""), 10);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let mut run_times = RunTimes::default();
        partition.apply_heartbeat(&config, &mut run_times, &heartbeat_with(1, &[]), true, NOW);
        let mut list = Vec::new();
        for index in 0..ended {
            partition.start("req-1", index, "n-1", NOW);
            let attempt = partition.jobs["req-1"].assignments[&index].attempt;
            list.push((attempt, TaskPhase::Exited, Some(Cause::Halted)));
        }
        let mut told = heartbeat_with(2, &list);
        for (index, task) in told.tasks.iter_mut().enumerate() {
            task.task.index = index as u32;
        }
        partition.apply_heartbeat(&config, &mut run_times, &told, true, NOW);
        if starts {
            partition.start("req-1", 9, "n-1", NOW);
        }
        let found = partition.commands_for("n-1", answer);
        let cleared = found.iter().filter(|o| matches!(o, WorkerCommand::Clear { .. })).count();
        assert_eq!((found.len(), cleared), (commands, clears), "{ended} {starts} {answer}");
    }
}

/// What a heartbeat that tells nothing new brings is what the long way would have brought.
#[test]
fn nothing_new_is_the_same_as_the_long_way() {
    // (phases of two tasks in the last heartbeat but one and in the last; whether that is short)
    let running = (TaskPhase::Running, None);
    let ended = (TaskPhase::Exited, Some(Cause::Halted));
    let pulling = (TaskPhase::Pulling, None);
    for (before, after, short) in [
        ([running, running], [running, running], true),
        ([pulling, running], [pulling, running], true),
        ([pulling, running], [running, running], false),
        ([running, ended], [running, ended], true),
        ([running, running], [running, ended], false),
    ] {
        let make = || {
            let mut core = core();
            core.reconcile_job(record("0-9", ""), 10);
            let config = core.config.clone();
            let partition = core.partitions.get_mut("one").expect("held");
            let mut run_times = RunTimes::default();
            partition.apply_heartbeat(&config, &mut run_times, &heartbeat_with(1, &[]), true, NOW);
            for index in 0..2 {
                partition.start("req-1", index, "n-1", NOW);
            }
            let attempts: Vec<u64> =
                (0..2).map(|i| partition.jobs["req-1"].assignments[&i].attempt).collect();
            let told = |tick, phases: [(TaskPhase, Option<Cause>); 2]| {
                let list: Vec<_> =
                    attempts.iter().zip(phases).map(|(a, (p, c))| (*a, p, c)).collect();
                let mut told = heartbeat_with(tick, &list);
                for (index, task) in told.tasks.iter_mut().enumerate() {
                    task.task.index = index as u32;
                }
                told
            };
            partition.commands_for("n-1", true);
            partition.apply_heartbeat(&config, &mut run_times, &told(2, before), true, NOW);
            partition.urgent.clear();
            partition.placement_wanted = false;
            let last = told(3, after);
            (core, config, run_times, last)
        };
        let (mut one, config, mut run_times, last) = make();
        let partition = one.partitions.get_mut("one").expect("held");
        assert_eq!(
            partition.machines["n-1"].confirms_known_state(&last),
            short,
            "{before:?} {after:?}"
        );
        partition.apply_heartbeat(&config, &mut run_times, &last, true, NOW + 1);
        let (mut two, config, mut run_times, last) = make();
        let other = two.partitions.get_mut("one").expect("held");
        if short {
            if let Some(machine) = other.machines.get_mut("n-1") {
                (machine.sequence, machine.last_heartbeat_at) = (last.sequence, NOW + 1);
            }
            other.apply_status_changes(&config, &mut run_times, &last, true, NOW + 1);
            let partition = one.partitions.get("one").expect("held");
            assert_eq!(format!("{partition:?}"), format!("{other:?}"), "{before:?} {after:?}");
        }
    }
}

#[test]
fn a_machine_is_empty_only_a_lease_after_all_that_was_heard_of_it() {
    let terminated = 11 * SECOND + 10_000;
    // (seconds before now: acquired, alone since, last answered, last heard; whether its tasks are
    // taken back)
    for (acquired, alone, answered, heard, empty) in [
        (100, 100, 100, 100, true),
        (100, 100, 5, 100, false),
        (100, 100, 100, 5, false),
        (5, 5, 100, 100, false),
        (12, 12, 12, 12, true),
        (10, 10, 10, 10, false),
        // Taken from a live process, which answered workers a while longer.
        (100, 10, 100, 100, false),
        (100, 12, 100, 100, true),
    ] {
        let mut core = core();
        core.reconcile_job(record("0", "1-3"), 10);
        assert_eq!(core.config.lease_gone_after(), terminated);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.start("req-1", 0, "n-1", NOW);
            partition.acquired = NOW - acquired * SECOND;
            partition.sole_leader_from = NOW - alone * SECOND;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                machine.last_answered_at = NOW - answered * SECOND;
                machine.last_heartbeat_at = NOW - heard * SECOND;
            }
        }
        core.expire_silent_machines("one");
        let taken_back = core.partitions["one"].jobs["req-1"].ready.contains(0);
        assert_eq!(taken_back, empty, "{acquired} {alone} {answered} {heard}");
    }
}

#[test]
fn a_late_copy_of_a_report_proves_nothing() {
    // What is known already: session and tick. What comes: of the worker's own accord or as an
    // answer to a call, session, tick, fencing token. Whether it counts, and proves the machine.
    type Told = (bool, u64, u64, u64);
    type Case<'a> = (&'a str, Option<(u64, u64)>, Told, bool, bool);
    let cases: &[Case] = &[
        ("the original", Some((1, 5)), (true, 1, 6, 5), true, true),
        ("a copy after it", Some((1, 6)), (true, 1, 6, 5), false, true),
        ("an older one", Some((1, 6)), (true, 1, 2, 5), false, true),
        ("one after a later session", Some((2, 1)), (true, 1, 90, 5), false, true),
        ("from before the takeover, at the new holder", None, (true, 1, 80, 4), false, false),
        ("so old that no baton was seen", None, (true, 1, 1, 0), false, false),
        ("the present one, at the new holder", None, (true, 1, 81, 5), true, true),
        ("an answer to our call, before the command", None, (false, 1, 82, 4), true, false),
        ("an answer to our command", None, (false, 1, 83, 5), true, true),
    ];
    for (name, known, (unsolicited, incarnation, tick, fencing_token), counts, verified) in cases {
        let mut core = core();
        reconcile_test_job(&mut core, &spec(4), 10, NOW);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let Some(machine) = partition.machines.get_mut("n-1") else { unreachable!() };
        match known {
            Some((incarnation, tick)) => {
                (machine.incarnation, machine.sequence) = (*incarnation, *tick)
            }
            None => (machine.fenced, machine.verified) = (false, false),
        }
        partition.recovery_complete = known.is_some();
        machine.last_heartbeat_at = NOW - SECOND;
        let told = heartbeat_from("n-1", *incarnation, *tick, *fencing_token, &[77]);
        let newer =
            partition.apply_heartbeat(&config, &mut RunTimes::default(), &told, *unsolicited, NOW);
        partition.try_complete_recovery();
        assert_eq!(newer, *counts, "{name}");
        let machine = &partition.machines["n-1"];
        assert_eq!(machine.verified, *verified, "{name}: proven");
        assert_eq!(partition.recovery_complete, known.is_some() || *verified, "{name}: barrier");
        assert_eq!(machine.last_heartbeat_at == NOW, *counts, "{name}: a sign of life");
        assert_eq!(machine.slots.len(), usize::from(*counts), "{name}: its list is adopted");
    }
}

#[test]
fn a_machine_that_nobody_knows_is_asked_before_it_is_claimed() {
    let alive = |host: &str| Ok(WorkerReply::Status(heartbeat_from(host, 1, 9, 0, &[])));
    // (whether its first heartbeat is expected, what it says when it is asked, whether it is claimed)
    for (name, expected, says, claimed) in [
        ("rented and coming up", true, None, true),
        ("there, though nobody knew", false, Some(alive("n-9")), true),
        ("gone, and a copy came late", false, Some(Err(CallError::Unknown)), false),
        ("another lives at its address", false, Some(alive("n-8")), false),
    ] {
        let mut core = core();
        core.cache.loaded = true;
        core.lease.renew_at(NOW + 900 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one").filter(|_| expected) {
            let machine = PendingInstance {
                machine_type: "m".into(),
                zone: "a".into(),
                spot: true,
                since: NOW,
            };
            partition.autoscaling.pending_instances.expect("n-9", machine);
        }
        let first = Command::Heartbeat { id: 1, heartbeat: heartbeat_from("n-9", 1, 1, 0, &[]) };
        let mut effects = core.step(NOW, vec![first]);
        let asked = effects.iter().find_map(|e| match e {
            Effect::Worker { call_id, call: WorkerCall::Status, address, .. }
                if address == "n-9:9000" =>
            {
                Some(*call_id)
            }
            _ => None,
        });
        assert_eq!(asked.is_some(), says.is_some(), "{name}: asked");
        if let (Some(call_id), Some(result)) = (asked, says) {
            effects.extend(core.step(NOW, vec![Command::WorkerReply { call_id, result }]));
        }
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let key = large_group_key("n-9");
        let written = effects.iter().any(|e| match e {
            Effect::Store { call: StoreCall::Txn(txn), .. } => {
                txn.conditions.iter().any(|c| c.path == key)
            }
            _ => false,
        });
        assert_eq!(written, claimed, "{name}: claimed");
        let turned = effects.iter().any(|e| matches!(e, Effect::Answer { id: 1, status: 503, .. }));
        assert_eq!(turned, !claimed, "{name}: turned away");
    }
}

#[test]
fn only_who_reaches_the_state_service_names_a_holder() {
    // (seconds since the store last answered, who holds partition "two" by the copy; the
    // status that a worker of that partition gets)
    for (quiet, leader, status) in
        [(1, "two", 421), (3, "two", 421), (5, "two", 503), (1, "one", 503)]
    {
        let mut core = with_cache(&[("one", "one", 5), ("two", leader, 6)]);
        core.apply_group_change(
            &large_group_key("n-7"),
            [("n-7".into(), machine_record_of("n-7", "two"))].into(),
            9,
        );
        core.store_connectivity = StoreConnectivity::new(NOW);
        let come = Command::Heartbeat { id: 4, heartbeat: idle_heartbeat("n-7", 3, 6) };
        let effects = core.step(NOW + quiet * SECOND, vec![come]);
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 4, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, Some(status), "{quiet} s, {leader}");
    }
}

#[test]
fn a_call_is_made_for_what_cannot_wait_for_a_report() {
    // (machines that the processor serves, seconds within which a task should start; whether its start is called)
    for (machine_capacity, within, called) in
        [(100, None, true), (1, None, false), (1, Some(2), true)]
    {
        let mut core = with_leaders(machine_capacity);
        core.config.objectives = within
            .map(|s| ServiceLevelObjective::Wait {
                class: spec(1).class,
                share: 0.9,
                within: s * SECOND,
            })
            .into_iter()
            .collect();
        if let Some(partition) = core.partitions.get_mut("one") {
            // A second machine, so that the partition has more than half of what the processor serves.
            let host = MachineRecord {
                partition: "one".into(),
                address: "n-2:9000".into(),
                machine_type: "m".into(),
                zone: "a".into(),
                spot: true,
            };
            partition.add_machine("n-2", host, true, NOW);
            for machine in partition.machines.values_mut() {
                (machine.incarnation, machine.last_heartbeat_at) = (1, NOW);
            }
            for host in ["n-1", "n-2"] {
                partition.refresh(host);
            }
        }
        core.reconcile_job(record_of(1, 1, "one"), 10);
        let effects = core.step(NOW + SECOND, Vec::new());
        let calls = effects.iter().filter(|e| matches!(e, Effect::Worker { .. })).count();
        assert_eq!(calls > 0, called, "{machine_capacity} {within:?}");
        assert_eq!(
            core.partitions["one"].jobs["req-1"].assignments.len(),
            1,
            "it is placed all the same"
        );
    }
}

/// The orders in the answer to a heartbeat.
fn commands_to(core: &mut Core, heartbeat: Heartbeat) -> Vec<WorkerCommand> {
    let now = core.now + SECOND;
    let effects = core.step(now, vec![Command::Heartbeat { id: 77, heartbeat }]);
    let commands = effects.into_iter().find_map(|e| match e {
        Effect::Answer { id: 77, status: 200, body: Answer::WorkerCommands(commands), .. } => {
            Some(commands)
        }
        _ => None,
    });
    commands.expect("the report is answered").commands
}

/// A 200 renews the lease of whatever runs on the worker: without the kill in the answer to a new
/// leader's first heartbeat, or to one that a direct call had overtaken, a cancelled task on a machine
/// that could not be reached from then on lived for one more lease.
#[test]
fn every_answer_that_renews_a_lease_carries_its_kills() {
    // (the heartbeat is from before the takeover, it is older than what is known, the job is live,
    // whether the attempt that it lists is killed)
    for (before, older, active, killed) in [
        (true, false, false, true),
        (true, false, true, false),
        (false, true, false, true),
        (false, true, true, false),
        (false, false, false, true),
    ] {
        let mut core = core();
        if active {
            core.reconcile_job(record("0-3", ""), 4);
        }
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.add_machine("n-2", machine_record_of("n-2", "one"), !before, NOW);
        if older {
            commands_to(&mut core, heartbeat_from("n-2", 1, 9, 5, &[]));
        }
        let fencing_token = if before { 4 } else { 5 };
        let commands = commands_to(&mut core, heartbeat_from("n-2", 1, 3, fencing_token, &[7]));
        let kills =
            commands.iter().filter(|o| matches!(o, WorkerCommand::Kill { attempt: 7, .. })).count();
        assert_eq!(
            kills == 1,
            killed,
            "before {before}, older {older}, active {active}: {commands:?}"
        );
    }
}

/// What must not wait for a place among many orders goes first.
#[test]
fn kills_go_before_all_other_orders() {
    let mut core = core();
    let attempts: Vec<u64> = (1..=260).collect();
    let mut heartbeat = heartbeat_from("n-1", 1, 1, 5, &attempts);
    for task in &mut heartbeat.tasks[..250] {
        (task.phase, task.cause) = (TaskPhase::Exited, Some(Cause::Halted));
    }
    let commands = commands_to(&mut core, heartbeat);
    let kills = commands.iter().take_while(|o| matches!(o, WorkerCommand::Kill { .. })).count();
    assert_eq!(kills, 10);
    assert!(commands.len() > 10 && commands.len() < 260, "{}", commands.len());
}
