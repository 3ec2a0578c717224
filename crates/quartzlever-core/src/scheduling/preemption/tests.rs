//! Table-driven tests of preemption.

use crate::testing::*;

#[test]
fn only_work_of_lower_priority_is_preempted_and_only_for_urgent_starts() {
    // (priority of the running job, of the waiting one, number of attempts preempted)
    for (running_priority, waiting_priority, stopped) in [
        (Priority::Standard, Priority::Urgent, 1),
        (Priority::BestEffort, Priority::Standard, 1),
        (Priority::Urgent, Priority::Prod, 1),
        (Priority::Standard, Priority::Standard, 0),
        (Priority::Urgent, Priority::Standard, 0),
    ] {
        let mut core = core();
        set_machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(2);
        (first.cpus, first.priority) = (4.0, running_priority);
        queue_job(&mut core, &first, 10);
        let mut second = spec(1);
        (second.id, second.cpus, second.priority) = ("req-2".into(), 4.0, waiting_priority);
        second.due_s = Some(4.0);
        queue_job(&mut core, &second, 11);
        let unwanted = |core: &Core| {
            core.partitions["one"].machines["n-1"].attempts.values().filter(|s| !s.wanted).count()
        };
        assert_eq!(unwanted(&core), 0, "{running_priority:?} {waiting_priority:?}: at once");
        core.now = NOW + quartzlever_wire::SECOND;
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.placement_wanted = true;
        }
        core.place_ready_tasks("one");
        assert_eq!(
            unwanted(&core),
            stopped,
            "{running_priority:?} {waiting_priority:?}: when it is urgent"
        );
    }
}

/// When best-effort tasks with checkpoints were preempted only just before the latest start, and
/// had filled all machines, most deadlines were missed. They are preempted as soon as other work
/// waits.
#[test]
fn best_effort_work_with_checkpoints_is_preempted_long_before_the_latest_start() {
    use quartzlever_wire::SECOND;
    // (priority of the running job, its checkpoint interval, priority of the waiting job, number of
    // attempts preempted long before the start is urgent)
    for (running_priority, checkpoint_s, waiting_priority, stopped) in [
        (Priority::BestEffort, 30.0, Priority::Standard, 1),
        (Priority::BestEffort, 30.0, Priority::Urgent, 1),
        (Priority::BestEffort, 30.0, Priority::BestEffort, 0),
        (Priority::BestEffort, 0.0, Priority::Standard, 0),
        (Priority::Standard, 30.0, Priority::Urgent, 0),
    ] {
        let mut core = core();
        set_machines(&mut core, &[("n-1", "m", "a", false)]);
        let running_job =
            JobSpec { cpus: 4.0, priority: running_priority, checkpoint_s, ..spec(2) };
        queue_job(&mut core, &running_job, 10);
        let other =
            JobSpec { id: "req-2".into(), cpus: 4.0, priority: waiting_priority, ..spec(1) };
        queue_job(&mut core, &JobSpec { due_s: Some(600.0), ..other }, 11);
        core.now = NOW + SECOND;
        let partition = core.partitions.get_mut("one").expect("partition one exists");
        partition.placement_wanted = true;
        core.place_ready_tasks("one");
        let partition = &core.partitions["one"];
        let unwanted = partition.machines["n-1"].attempts.values().filter(|s| !s.wanted).count();
        assert_eq!(unwanted, stopped, "{running_priority:?} {checkpoint_s} {waiting_priority:?}");
        // The preempted task continues where capacity is free. Peers are not notified before the
        // start is urgent.
        assert!(!partition.saturated, "{running_priority:?} {checkpoint_s} {waiting_priority:?}");
    }
}

#[test]
fn the_first_tasks_of_a_job_that_begins_late_are_not_preempted() {
    use quartzlever_wire::SECOND;
    // (seconds since the submission of a standard job, its tasks on the machine, whether one of its
    // tasks is finished; number of attempts preempted for an urgent task)
    for (waited_s, tasks, done, stopped) in
        [(10, 2, false, 1), (160, 2, false, 0), (160, 2, true, 1), (160, 5, false, 1)]
    {
        let mut core = core();
        set_machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(tasks + u32::from(done));
        (first.cpus, first.priority) = (8.0 / f64::from(tasks), Priority::Standard);
        queue_job(&mut core, &first, 10);
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.submitted_at = NOW - waited_s * SECOND;
            if done {
                job.ready = Ranges::default();
                job.finished.insert(tasks);
            }
        }
        let mut second = spec(1);
        (second.id, second.cpus, second.priority) = ("req-2".into(), 1.0, Priority::Urgent);
        second.due_s = Some(4.0);
        queue_job(&mut core, &second, 11);
        core.now = NOW + SECOND;
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.placement_wanted = true;
        }
        core.place_ready_tasks("one");
        let attempts = core.partitions["one"].machines["n-1"].attempts.values();
        assert_eq!(attempts.filter(|s| !s.wanted).count(), stopped, "{waited_s} {tasks} {done}");
    }
}
