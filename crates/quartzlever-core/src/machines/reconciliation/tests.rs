//! Conclusions from worker statuses and from silence, as tables.

use crate::machines::call_queue::CallQueue;
use crate::machines::commands::MessageKind;
use crate::store::cache::Cache;
use crate::testing::*;

/// A heartbeat that only confirms the known state takes a short path, which must leave the
/// partition in the same state as full processing.
#[test]
fn the_short_path_for_unchanged_heartbeats_matches_full_processing() {
    // (phases of two tasks in the previous and in the last heartbeat; whether the last takes the
    // short path)
    let running = (TaskPhase::Running, None);
    let ended = (TaskPhase::Exited, Some(ExitCause::Halted));
    let pulling = (TaskPhase::Pulling, None);
    for (before, after, short) in [
        ([running, running], [running, running], true),
        ([pulling, running], [pulling, running], true),
        ([pulling, running], [running, running], false),
        ([running, ended], [running, ended], true),
        ([running, running], [running, ended], false),
    ] {
        let set_up = || {
            let mut core = core();
            core.reconcile_job(job_record("0-9", ""), 10);
            let config = core.config.clone();
            let partition = core.partitions.get_mut("one").expect("partition one is led here");
            let mut run_times = RunTimes::default();
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &heartbeat_with(1, &[]),
                StatusSource::Heartbeat,
                NOW,
            );
            for index in 0..2 {
                partition.start_task("req-1", index, "n-1", NOW);
            }
            let attempts: Vec<u64> =
                (0..2).map(|i| partition.jobs["req-1"].assignments[&i].attempt).collect();
            let heartbeat = |sequence, phases: [(TaskPhase, Option<ExitCause>); 2]| {
                let list: Vec<_> =
                    attempts.iter().zip(phases).map(|(a, (p, c))| (*a, p, c)).collect();
                let mut heartbeat = heartbeat_with(sequence, &list);
                for (index, task) in heartbeat.tasks.iter_mut().enumerate() {
                    task.task.index = index as u32;
                }
                heartbeat
            };
            partition.commands_for("n-1", MessageKind::HeartbeatAnswer, &Cache::default(), NOW);
            partition.apply_heartbeat(
                &config,
                &mut run_times,
                &heartbeat(2, before),
                StatusSource::Heartbeat,
                NOW,
            );
            partition.call_queue = CallQueue::default();
            partition.placement_wanted = false;
            let last = heartbeat(3, after);
            (core, config, run_times, last)
        };
        let (mut one, config, mut run_times, last) = set_up();
        let partition = one.partitions.get_mut("one").expect("partition one is led here");
        assert_eq!(
            partition.machines["n-1"].confirms_known_state(&last),
            short,
            "{before:?} {after:?}"
        );
        partition.apply_heartbeat(&config, &mut run_times, &last, StatusSource::Heartbeat, NOW + 1);
        let (mut two, config, mut run_times, last) = set_up();
        let other = two.partitions.get_mut("one").expect("partition one is led here");
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
            let partition = one.partitions.get("one").expect("partition one is led here");
            assert_eq!(format!("{partition:?}"), format!("{other:?}"), "{before:?} {after:?}");
        }
    }
}

/// Guards against a lost attempt that stays unnoticed, as the list has the expected length.
#[test]
fn a_heartbeat_that_lists_an_attempt_twice_does_not_hide_that_another_is_missing() {
    let mut core = core();
    core.reconcile_job(job_record("0-3", ""), 10);
    make_machine_usable(&mut core);
    let (config, mut run_times) = (core.config.clone(), RunTimes::default());
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    for index in 0..2 {
        partition.start_task("req-1", index, "n-1", NOW);
    }
    let running = |index: u32| AttemptStatus {
        task: TaskId { job: "req-1".into(), index },
        attempt: partition.jobs["req-1"].assignments[&index].attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    };
    let both = Heartbeat { tasks: vec![running(0), running(1)], ..idle_heartbeat("n-1", 2, 5) };
    let twice = Heartbeat { tasks: vec![running(0), running(0)], ..idle_heartbeat("n-1", 3, 5) };
    partition.commands_for("n-1", MessageKind::HeartbeatAnswer, &Cache::default(), NOW);
    for heartbeat in [both, twice] {
        let source = StatusSource::Heartbeat;
        partition.apply_heartbeat(&config, &mut run_times, &heartbeat, source, NOW);
    }
    let job = &partition.jobs["req-1"];
    assert_eq!(job.assignments.keys().copied().collect::<Vec<_>>(), [0]);
    assert!(job.ready.contains(1), "the missing attempt's task is queued again");
}

#[test]
fn a_silent_machine_counts_as_empty_only_after_a_full_lease() {
    let lease_expired_after = 11 * SECOND + 10_000;
    // (seconds since the partition was acquired, since this leader is the only one, since the last
    // answer, since the last heartbeat; whether the machine's tasks are requeued)
    for (acquired, sole_leader, answered, heartbeat, requeued) in [
        (100, 100, 100, 100, true),
        (100, 100, 5, 100, false),
        (100, 100, 100, 5, false),
        (5, 5, 100, 100, false),
        (12, 12, 12, 12, true),
        (10, 10, 10, 10, false),
        // Taken over from a live process, which answered workers for a while longer.
        (100, 10, 100, 100, false),
        (100, 12, 100, 100, true),
    ] {
        let mut core = core();
        core.reconcile_job(job_record("0", "1-3"), 10);
        assert_eq!(core.config.worker_lease_expired_after(), lease_expired_after);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.start_task("req-1", 0, "n-1", NOW);
            partition.acquired_at = NOW - acquired * SECOND;
            partition.sole_leader_from = NOW - sole_leader * SECOND;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                machine.last_answered_at = NOW - answered * SECOND;
                machine.last_heartbeat_at = NOW - heartbeat * SECOND;
            }
        }
        let config = core.config.clone();
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.expire_silent_machines(&config, NOW);
        }
        let is_ready = core.partitions["one"].jobs["req-1"].ready.contains(0);
        assert_eq!(is_ready, requeued, "{acquired} {sole_leader} {answered} {heartbeat}");
    }
}

#[test]
fn a_late_copy_of_a_heartbeat_proves_nothing() {
    // Source, incarnation, sequence and fencing token of a status.
    type Received = (StatusSource, u64, u64, u64);
    // (case, known incarnation and sequence if the machine is verified, status; whether it is
    // applied, whether the machine is verified after it)
    type Case<'a> = (&'a str, Option<(u64, u64)>, Received, bool, bool);
    let cases: &[Case] = &[
        ("a newer heartbeat", Some((1, 5)), (StatusSource::Heartbeat, 1, 6, 5), true, true),
        ("a copy of the last one", Some((1, 6)), (StatusSource::Heartbeat, 1, 6, 5), false, true),
        ("an older one", Some((1, 6)), (StatusSource::Heartbeat, 1, 2, 5), false, true),
        ("an earlier incarnation", Some((2, 1)), (StatusSource::Heartbeat, 1, 90, 5), false, true),
        (
            "from before the takeover, at the new leader",
            None,
            (StatusSource::Heartbeat, 1, 80, 4),
            false,
            false,
        ),
        ("from before any fencing token", None, (StatusSource::Heartbeat, 1, 1, 0), false, false),
        ("current, at the new leader", None, (StatusSource::Heartbeat, 1, 81, 5), true, true),
        (
            "a reply to a call, before the command",
            None,
            (StatusSource::DirectReply, 1, 82, 4),
            true,
            false,
        ),
        ("a reply to a command", None, (StatusSource::DirectReply, 1, 83, 5), true, true),
    ];
    for (name, known, (source, incarnation, sequence, fencing_token), applied, verified) in cases {
        let mut core = core();
        reconcile_test_job(&mut core, &spec(4), 10, NOW);
        let config = core.config.clone();
        let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
        let Some(machine) = partition.machines.get_mut("n-1") else { unreachable!() };
        match known {
            Some((incarnation, sequence)) => {
                (machine.incarnation, machine.sequence) = (*incarnation, *sequence)
            }
            None => (machine.fenced, machine.verified) = (false, false),
        }
        partition.recovery_complete = known.is_some();
        machine.last_heartbeat_at = NOW - SECOND;
        let heartbeat = heartbeat_from("n-1", *incarnation, *sequence, *fencing_token, &[77]);
        let newer =
            partition.apply_heartbeat(&config, &mut RunTimes::default(), &heartbeat, *source, NOW);
        partition.try_complete_recovery();
        assert_eq!(newer, *applied, "{name}");
        let machine = &partition.machines["n-1"];
        assert_eq!(machine.verified, *verified, "{name}: verified");
        assert_eq!(
            partition.recovery_complete,
            known.is_some() || *verified,
            "{name}: recovery complete"
        );
        assert_eq!(machine.last_heartbeat_at == NOW, *applied, "{name}: heartbeat time");
        assert_eq!(machine.attempts.len(), usize::from(*applied), "{name}: its attempts are added");
    }
}
