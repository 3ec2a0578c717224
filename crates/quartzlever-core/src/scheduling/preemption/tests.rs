//! What gives way to what, as tables.

use crate::testing::*;

#[test]
fn only_lower_ranks_give_way_and_only_in_need() {
    // (rank that runs, rank that comes, how many give way)
    for (runs, comes, stopped) in [
        (Priority::Standard, Priority::Urgent, 1),
        (Priority::BestEffort, Priority::Standard, 1),
        (Priority::Urgent, Priority::Prod, 1),
        (Priority::Standard, Priority::Standard, 0),
        (Priority::Urgent, Priority::Standard, 0),
    ] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(2);
        (first.cpus, first.priority) = (4.0, runs);
        queue_job(&mut core, &first, 10);
        let mut second = spec(1);
        (second.id, second.cpus, second.priority) = ("req-2".into(), 4.0, comes);
        second.due_s = Some(4.0);
        queue_job(&mut core, &second, 11);
        let unwanted = |core: &Core| {
            core.partitions["one"].machines["n-1"].attempts.values().filter(|s| !s.wanted).count()
        };
        assert_eq!(unwanted(&core), 0, "{runs:?} {comes:?}: at once");
        core.now = NOW + quartzlever_wire::SECOND;
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.placement_wanted = true;
        }
        core.place("one");
        assert_eq!(unwanted(&core), stopped, "{runs:?} {comes:?}: when it presses");
    }
}

/// Idle-time work that saves its progress gives way as soon as anything else waits. It was left alone until a start
/// became too late, and guests that had filled all machines made most deadlines be missed.
#[test]
fn idle_time_work_that_loses_nothing_gives_way_at_once() {
    use quartzlever_wire::SECOND;
    // (rank that runs, its checkpoints, rank that comes, how many give way long before it presses)
    for (runs, checkpoint_s, comes, stopped) in [
        (Priority::BestEffort, 30.0, Priority::Standard, 1),
        (Priority::BestEffort, 30.0, Priority::Urgent, 1),
        (Priority::BestEffort, 30.0, Priority::BestEffort, 0),
        (Priority::BestEffort, 0.0, Priority::Standard, 0),
        (Priority::Standard, 30.0, Priority::Urgent, 0),
    ] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let guest = JobSpec { cpus: 4.0, priority: runs, checkpoint_s, ..spec(2) };
        queue_job(&mut core, &guest, 10);
        let other = JobSpec { id: "req-2".into(), cpus: 4.0, priority: comes, ..spec(1) };
        queue_job(&mut core, &JobSpec { due_s: Some(600.0), ..other }, 11);
        core.now = NOW + SECOND;
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.placement_wanted = true;
        core.place("one");
        let partition = &core.partitions["one"];
        let unwanted = partition.machines["n-1"].attempts.values().filter(|s| !s.wanted).count();
        assert_eq!(unwanted, stopped, "{runs:?} {checkpoint_s} {comes:?}");
        // It goes on where there is room, and nobody is asked for help before it presses.
        assert!(!partition.saturated, "{runs:?} {checkpoint_s} {comes:?}");
    }
}

#[test]
fn the_first_tasks_of_a_job_that_begins_late_are_left_alone() {
    use quartzlever_wire::SECOND;
    // (seconds that the standard job has waited, tasks of it on the machine, whether one of it is
    // done; how many give way to an urgent task)
    for (age, tasks, done, stopped) in
        [(10, 2, false, 1), (160, 2, false, 0), (160, 2, true, 1), (160, 5, false, 1)]
    {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(tasks + u32::from(done));
        (first.cpus, first.priority) = (8.0 / f64::from(tasks), Priority::Standard);
        queue_job(&mut core, &first, 10);
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.since = NOW - age * SECOND;
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
        core.place("one");
        let attempts = core.partitions["one"].machines["n-1"].attempts.values();
        assert_eq!(attempts.filter(|s| !s.wanted).count(), stopped, "{age} {tasks} {done}");
    }
}
