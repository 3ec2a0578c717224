//! Tests of reservations.

use crate::testing::*;

#[test]
fn a_machine_is_reserved_for_a_job_that_waits_too_long() {
    use quartzlever_wire::SECOND;
    // (seconds that a job with tasks of 8 processors has waited while 4 are free; number of
    // machines on which a later urgent job with a task of 4 starts, and on which the old job starts
    // once the machine is free)
    for (waited_s, fresh_starts, old_starts) in [(10, 1, 0), (160, 0, 1)] {
        let mut core = core();
        set_machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut running = spec(1);
        (running.id, running.cpus, running.priority) = ("req-7".into(), 4.0, Priority::Prod);
        queue_job(&mut core, &running, 10);
        let mut old = spec(2);
        old.cpus = 8.0;
        queue_job(&mut core, &old, 11);
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.submitted_at = NOW - waited_s * SECOND;
        }
        let mut fresh = spec(1);
        (fresh.id, fresh.cpus, fresh.priority) = ("req-2".into(), 4.0, Priority::Urgent);
        queue_job(&mut core, &fresh, 12);
        assert_eq!(
            task_counts_by_machine(&core, "req-2").len(),
            fresh_starts,
            "{waited_s}: starts of the later job"
        );
        // The first task ends.
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.drop_job("req-7", NOW, NOW);
            partition.requeue_attempts_of("n-1");
            partition.placement_wanted = true;
        }
        core.now += SECOND;
        core.place_ready_tasks("one");
        assert_eq!(
            task_counts_by_machine(&core, "req-1").len(),
            old_starts,
            "{waited_s}: starts of the old job"
        );
    }
}

/// Four small tasks are preempted for one large task and end one after the other. When waiting
/// small tasks started on the capacity that became free meanwhile, the large task waited for a
/// minute, and small tasks were stopped and started six times over.
#[test]
fn preempted_capacity_is_reserved_for_the_job_that_it_was_freed_for() {
    use quartzlever_wire::SECOND;
    let mut core = core();
    set_machines(&mut core, &[("n-1", "m", "a", false)]);
    let small_job =
        JobSpec { priority: Priority::BestEffort, checkpoint_s: 30.0, save_s: 3.0, ..spec(20) };
    queue_job(&mut core, &small_job, 10);
    let large_job = JobSpec { id: "req-2".into(), cpus: 8.0, due_s: Some(600.0), ..spec(1) };
    queue_job(&mut core, &large_job, 11);
    let place = |core: &mut Core, now| {
        core.now = now;
        core.partitions.get_mut("one").expect("partition one exists").placement_wanted = true;
        core.place_ready_tasks("one");
    };
    place(&mut core, NOW + SECOND);
    let stopped = |core: &Core| -> Vec<crate::machines::attempt::AttemptKey> {
        let attempts = &core.partitions["one"].machines["n-1"].attempts;
        attempts.iter().filter(|(_, s)| !s.wanted).map(|(key, _)| key.clone()).collect()
    };
    let keys = stopped(&core);
    assert_eq!(keys.len(), 4, "all tasks on the machine are preempted");
    for (n, key) in keys.iter().enumerate() {
        assert_eq!(
            task_counts_by_machine(&core, &large_job.id),
            [],
            "{n} preempted tasks have ended"
        );
        let partition = core.partitions.get_mut("one").expect("partition one exists");
        partition.machines["n-1"].attempts.remove(key);
        partition.requeue(&key.task, key.attempt);
        partition.refresh_machine("n-1");
        core.place_on_machine("one", "n-1");
        place(&mut core, NOW + 2 * SECOND + n as u64 * SECOND / 5);
    }
    assert_eq!(task_counts_by_machine(&core, &large_job.id), [("n-1".to_owned(), 1)]);
    assert_eq!(task_counts_by_machine(&core, &small_job.id), [], "no small task started meanwhile");
}
