//! What statuses of workers and their silence prove, as tables.

use crate::machines::call_queue::CallQueue;
use crate::testing::*;

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
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &heartbeat_with(1, &[]),
                StatusSource::Heartbeat,
                NOW,
            );
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
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &told(2, before),
                StatusSource::Heartbeat,
                NOW,
            );
            partition.call_queue = CallQueue::default();
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
        partition.apply_heartbeat(&config, &mut run_times, &last, StatusSource::Heartbeat, NOW + 1);
        let (mut two, config, mut run_times, last) = make();
        let other = two.partitions.get_mut("one").expect("held");
        if short {
            if let Some(machine) = other.machines.get_mut("n-1") {
                (machine.sequence, machine.last_heartbeat_at) = (last.sequence, NOW + 1);
            }
            other.apply_status_changes(
                &config,
                &mut run_times,
                &last,
                StatusSource::Heartbeat,
                NOW + 1,
            );
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
        assert_eq!(core.config.worker_lease_expired_after(), terminated);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.start("req-1", 0, "n-1", NOW);
            partition.acquired = NOW - acquired * SECOND;
            partition.sole_leader_from = NOW - alone * SECOND;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                machine.last_answered_at = NOW - answered * SECOND;
                machine.last_heartbeat_at = NOW - heard * SECOND;
            }
        }
        let config = core.config.clone();
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.expire_silent_machines(&config, NOW);
        }
        let taken_back = core.partitions["one"].jobs["req-1"].ready.contains(0);
        assert_eq!(taken_back, empty, "{acquired} {alone} {answered} {heard}");
    }
}

#[test]
fn a_late_copy_of_a_report_proves_nothing() {
    // What is known already: incarnation and sequence. What comes: of the worker's own accord or as an
    // answer to a call, incarnation, sequence, fencing token. Whether it counts, and proves the machine.
    type Told = (StatusSource, u64, u64, u64);
    type Case<'a> = (&'a str, Option<(u64, u64)>, Told, bool, bool);
    let cases: &[Case] = &[
        ("the original", Some((1, 5)), (StatusSource::Heartbeat, 1, 6, 5), true, true),
        ("a copy after it", Some((1, 6)), (StatusSource::Heartbeat, 1, 6, 5), false, true),
        ("an older one", Some((1, 6)), (StatusSource::Heartbeat, 1, 2, 5), false, true),
        (
            "one after a later session",
            Some((2, 1)),
            (StatusSource::Heartbeat, 1, 90, 5),
            false,
            true,
        ),
        (
            "from before the takeover, at the new holder",
            None,
            (StatusSource::Heartbeat, 1, 80, 4),
            false,
            false,
        ),
        ("so old that no baton was seen", None, (StatusSource::Heartbeat, 1, 1, 0), false, false),
        (
            "the present one, at the new holder",
            None,
            (StatusSource::Heartbeat, 1, 81, 5),
            true,
            true,
        ),
        (
            "an answer to our call, before the command",
            None,
            (StatusSource::DirectReply, 1, 82, 4),
            true,
            false,
        ),
        ("an answer to our command", None, (StatusSource::DirectReply, 1, 83, 5), true, true),
    ];
    for (name, known, (source, incarnation, tick, fencing_token), counts, verified) in cases {
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
            partition.apply_heartbeat(&config, &mut RunTimes::default(), &told, *source, NOW);
        partition.try_complete_recovery();
        assert_eq!(newer, *counts, "{name}");
        let machine = &partition.machines["n-1"];
        assert_eq!(machine.verified, *verified, "{name}: proven");
        assert_eq!(partition.recovery_complete, known.is_some() || *verified, "{name}: barrier");
        assert_eq!(machine.last_heartbeat_at == NOW, *counts, "{name}: a sign of life");
        assert_eq!(machine.attempts.len(), usize::from(*counts), "{name}: its list is adopted");
    }
}
