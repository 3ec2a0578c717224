//! Table-driven tests of work stealing.

use crate::testing::*;

#[test]
fn tasks_of_a_move_return_to_the_queue_only_once_it_is_known_not_to_be_applied() {
    // (result of the move, result of the write that settles it, ready tasks after each)
    let committed = Ok(StoreReply::Committed(20));
    let conflict = Ok(StoreReply::Conflict(vec!["live/req-1".into()]));
    for (name, move_result, settling_result, ready_after_move, ready_after_settling) in [
        ("refused", Err(CallError::Refused), None, "0-3", "0-3"),
        ("conflict", conflict.clone(), None, "0-3", "0-3"),
        (
            "unknown, settled by a write",
            Err(CallError::Unknown),
            Some(committed.clone()),
            "0-1",
            "0-3",
        ),
        (
            "unknown, unknown again",
            Err(CallError::Unknown),
            Some(Err(CallError::Unknown)),
            "0-1",
            "0-1",
        ),
        ("unknown, then a conflict", Err(CallError::Unknown), Some(conflict), "0-1", "0-1"),
        ("committed", committed, None, "0-1", "0-1"),
    ] {
        let mut core = core();
        core.reconcile_job(job_record("0-3", ""), 10);
        let tasks: Ranges = "2-3".parse().unwrap_or_default();
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.ready.remove_all(&tasks);
            job.begin_move(&tasks);
        }
        let task_move = TaskMove { job: "req-1".into(), tasks, record: job_record("0-1", "2-3") };
        core.steal_written("one", 5, None, vec![task_move], move_result);
        let ready = |core: &Core| core.partitions["one"].jobs["req-1"].ready.to_string();
        assert_eq!(ready(&core), ready_after_move, "{name}");
        if let Some(settling_result) = settling_result {
            core.job_written(
                JobWrite {
                    partition: "one".into(),
                    term: 5,
                    job: "req-1".into(),
                    action: JobWriteAction::Record,
                    recorded: Ranges::default(),
                    pages: Vec::new(),
                },
                settling_result,
            );
            assert_eq!(ready(&core), ready_after_settling, "{name}");
        }
    }
}

#[test]
fn a_partition_with_a_queue_steals_only_from_a_much_longer_one() {
    // (name; tasks submitted, of which four run; the peer's number of movable tasks, its queued work
    // in processor-seconds, its processors; whether the partition asks the peer for tasks)
    for (name, tasks, ready, work, cpus, steals) in [
        ("both queues take 12 s", 20, 16, 96.0, 8.0, false),
        ("longer", 20, 16, 240.0, 8.0, false),
        ("much longer", 20, 16, 320.0, 8.0, true),
        ("the peer has no machines", 20, 1, 6.0, 0.0, true),
        ("much longer, but nothing movable", 20, 0, 320.0, 8.0, false),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        make_machine_usable(&mut core);
        queue_tasks(&mut core, tasks, Priority::Standard, 2.0);
        let mut effects = core.step(NOW, Vec::new());
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let count_request = effects.iter().find_map(|e| match e {
            Effect::Peer { call_id, request: PeerRequest::Counts { .. }, .. } => Some(*call_id),
            _ => None,
        });
        let Some(call_id) = count_request else { panic!("{name}: no peer is asked for counts") };
        let load = Load { work, cpus };
        let result = Ok(PeerAnswer::Counts { ready, load });
        let effects = core.step(NOW + SECOND, vec![Command::PeerReply { call_id, result }]);
        let steal_requested = effects.iter().any(|e| {
            matches!(e, Effect::Peer { request: PeerRequest::Steal { load: Some(_), .. }, .. })
        });
        assert_eq!(steal_requested, steals, "{name}");
    }
}

#[test]
fn a_steal_balances_two_queues_and_moves_no_urgent_task_of_a_victim_with_machines() {
    // (name; priority, processors of a task, whether the victim has a machine of 8 processors, the
    // thief's queued work in processor-seconds; number of tasks that move, of 20, of which 4 run if
    // there is a machine)
    for (name, priority, cpus, machine, work, moves) in [
        ("half of what is ready", Priority::Standard, 2.0, true, 0.0, 8),
        ("the thief has a queue", Priority::Standard, 2.0, true, 48.0, 4),
        ("both queues take equally long", Priority::Standard, 2.0, true, 96.0, 0),
        ("urgent tasks stay", Priority::Urgent, 2.0, true, 0.0, 0),
        ("urgent tasks of a victim without machines", Priority::Urgent, 2.0, false, 0.0, 10),
        ("too large for the thief's machines", Priority::Standard, 9.0, false, 0.0, 0),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        if machine {
            make_machine_usable(&mut core);
        }
        queue_tasks(&mut core, 20, priority, cpus);
        core.step(NOW, Vec::new());
        core.step(NOW + 2 * SECOND, Vec::new());
        let capacity = FreeCapacity {
            machine_type: "m".into(),
            zone: "a".into(),
            spot: true,
            cpus: 8.0,
            gpus: 0.0,
            ram_gb: 64.0,
        };
        let request = PeerRequest::Steal {
            partition: "two".into(),
            term: 6,
            priority: Priority::BestEffort,
            capacity: ThiefCapacity { free: vec![capacity] },
            load: Some(Load { work, cpus: 8.0 }),
        };
        core.step(NOW + 2 * SECOND, vec![Command::PeerRequest { id: 1, request }]);
        let moving = core.partitions["one"].jobs["req-1"].moving_count();
        assert_eq!(moving, moves, "{name}");
    }
}

#[test]
fn a_saturated_partition_has_urgent_tasks_stolen_by_another_partition_of_its_node() {
    // (whether the partition is saturated, in which case the other one steals its urgent tasks)
    for saturated in [false, true] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "one", 6)]);
        // Partition one needs a machine: the work of a partition without machines moves in any
        // case.
        make_machine_usable(&mut core);
        queue_tasks(&mut core, 4, Priority::Urgent, 2.0);
        // Partition two has a machine that is full of work of lower priority, and more of it
        // queued.
        let mut two = Partition::new("two", 6, core.types.clone(), NOW);
        (two.loaded, two.recovery_complete) = (true, true);
        two.add_machine("n-2", machine_record_of("n-2", "two"), true, NOW);
        core.partitions.insert("two".into(), two);
        let config = core.config.clone();
        if let Some(partition) = core.partitions.get_mut("two") {
            partition.apply_heartbeat(
                &config,
                &mut RunTimes::default(),
                &idle_heartbeat("n-2", 1, 6),
                StatusSource::Heartbeat,
                NOW,
            );
        }
        let job = JobSpec { id: "req-2".into(), priority: Priority::Standard, ..spec(8) };
        let share = Share { partition: "two".into(), term: 6, tasks: Ranges::up_to(8) };
        let finished = Ranges::default();
        let shares = vec![share];
        core.reconcile_job(
            ActiveJobRecord { finished, ..ActiveJobRecord::new(job, NOW, shares) },
            11,
        );
        core.step(NOW, Vec::new());
        core.step(NOW + 2 * SECOND, Vec::new());
        core.stealing = crate::stealing::Stealing::new(&core.config);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.saturated = saturated;
            // Undoes the moves that the steps have made.
            if let Some(job) = partition.jobs.get_mut("req-1") {
                job.move_not_applied(&Ranges::up_to(4));
            }
        }
        core.poll_stealing();
        let moving = core.partitions["one"].jobs["req-1"].moving_count();
        assert_eq!(moving > 0, saturated, "saturated: {saturated}");
    }
}

#[test]
fn a_failed_steal_doubles_the_wait_and_a_success_resets_it() {
    use quartzlever_wire::SECOND;
    // (number of consecutive failures, seconds until the next attempt)
    for (failures, wait) in [(1, 1), (2, 2), (3, 4), (5, 16), (9, 16)] {
        let mut core = core();
        for _ in 0..failures {
            core.steal_failed();
        }
        assert_eq!(core.next_steal_in(), wait * SECOND, "{failures} failures");
        core.steal_succeeded();
        core.steal_failed();
        assert_eq!(core.next_steal_in(), SECOND, "after a success");
    }
}
