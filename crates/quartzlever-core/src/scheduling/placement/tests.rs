//! Where tasks may go, and what gives way, as tables.

use crate::testing::*;

#[test]
fn nothing_waits_for_ever() {
    // (seconds since a standard job came, whether it has begun, rank of a fresh one; who is first)
    for (age, begun, priority, first) in [
        (10, false, Priority::Urgent, "req-2"),
        (10, false, Priority::Prod, "req-2"),
        (160, false, Priority::Urgent, "req-1"),
        (160, false, Priority::Prod, "req-1"),
        (160, true, Priority::Urgent, "req-2"),
        (250, true, Priority::Prod, "req-2"),
    ] {
        let mut core = core();
        core.wall_offset = Some(0);
        let mut old = spec(4);
        old.due_s = Some(20.0);
        reconcile_test_job(&mut core, &old, 10, NOW - age * SECOND);
        let mut fresh = spec(2);
        (fresh.id, fresh.priority) = ("req-2".into(), priority);
        reconcile_test_job(&mut core, &fresh, 11, NOW);
        let job = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1"));
        if let Some(job) = job.filter(|_| begun) {
            job.finished.insert(0);
            job.ready.remove(0);
        }
        let order = core.partitions["one"].queue_order(&core.config, &core.run_times, NOW);
        assert_eq!(order.first().map(String::as_str), Some(first), "{age} {begun} {priority:?}");
    }
}

#[test]
fn tasks_go_only_where_their_job_allows() {
    type Change = fn(&mut JobSpec);
    type Case<'a> = (&'a str, Change, &'a [(&'a str, usize)]);
    let autoscaling: &[(&str, &str, &str, bool)] =
        &[("n-1", "m", "a", false), ("n-2", "m", "b", true), ("n-3", "x", "b", false)];
    // (what the job asks, by machine what it gets of four processors a task)
    let cases: &[Case] = &[
        ("anything", |s| s.tasks = 6, &[("n-1", 2), ("n-2", 2), ("n-3", 2)]),
        ("no spot", |s| s.spot = false, &[("n-1", 2), ("n-3", 2)]),
        ("one type", |s| s.types = Some(vec!["x".into()]), &[("n-3", 2)]),
        ("one zone by name", |s| s.zone = Some("a".into()), &[("n-1", 2)]),
        ("no such zone", |s| s.zone = Some("c".into()), &[]),
        ("all in the same zone", |s| s.one_zone = true, &[("n-2", 2), ("n-3", 2)]),
        (
            "at most half, rounded up, in a zone",
            |s| (s.spread, s.tasks) = (true, 5),
            &[("n-1", 2), ("n-2", 2), ("n-3", 1)],
        ),
        ("apart, of one task", |s| (s.spread, s.tasks) = (true, 1), &[("n-2", 1)]),
        ("too much memory", |s| s.ram_gb = 65.0, &[]),
        ("a limited team", |s| s.team = "tight".into(), &[("n-2", 2)]),
    ];
    for (name, change, expected) in cases {
        let mut core = core();
        machines(&mut core, autoscaling);
        let mut job = spec(4);
        job.cpus = 4.0;
        change(&mut job);
        queue_job(&mut core, &job, 10);
        let expected: Vec<(String, usize)> =
            expected.iter().map(|(m, n)| ((*m).to_owned(), *n)).collect();
        assert_eq!(placed(&core, &job.id), expected, "{name}");
    }
}

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
            core.partitions["one"].machines["n-1"].slots.values().filter(|s| !s.wanted).count()
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
        let unwanted = partition.machines["n-1"].slots.values().filter(|s| !s.wanted).count();
        assert_eq!(unwanted, stopped, "{runs:?} {checkpoint_s} {comes:?}");
        // It goes on where there is room, and nobody is asked for help before it presses.
        assert!(!partition.saturated, "{runs:?} {checkpoint_s} {comes:?}");
    }
}

#[test]
fn a_team_stays_within_its_limit_whatever_may_be_on_machines() {
    // (barrier open, an attempt of a forgotten job about, how many of eight tasks start that take
    // 2 processors each of the 8 allowed)
    for (open, stranger, starts) in [(true, false, 4), (false, false, 0), (true, true, 0)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false), ("n-2", "m", "a", false)]);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.recovery_complete = open;
            if stranger {
                let mut slot = crate::machines::attempt::Slot::new(&spec(1), NOW);
                slot.team = String::new();
                let task = quartzlever_wire::workers::TaskId { job: "req-9".into(), index: 0 };
                if let Some(machine) = partition.machines.get_mut("n-1") {
                    machine
                        .slots
                        .insert(crate::machines::attempt::AttemptKey { task, attempt: 1 }, slot);
                }
            }
        }
        let mut job = spec(8);
        job.team = "tight".into();
        queue_job(&mut core, &job, 10);
        let count: usize = placed(&core, &job.id).iter().map(|(_, n)| n).sum();
        assert_eq!(count, starts, "open {open} stranger {stranger}");
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
        let slots = core.partitions["one"].machines["n-1"].slots.values();
        assert_eq!(slots.filter(|s| !s.wanted).count(), stopped, "{age} {tasks} {done}");
    }
}

#[test]
fn a_machine_is_kept_for_a_job_that_waits_too_long() {
    use quartzlever_wire::SECOND;
    // (seconds that a job of 8 processors a task has waited while 4 are free; what a later urgent
    // one of 4 gets, and what the old one gets when the machine is free)
    for (age, small, large) in [(10, 1, 0), (160, 0, 1)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut running = spec(1);
        (running.id, running.cpus, running.priority) = ("req-7".into(), 4.0, Priority::Prod);
        queue_job(&mut core, &running, 10);
        let mut old = spec(2);
        old.cpus = 8.0;
        queue_job(&mut core, &old, 11);
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.since = NOW - age * SECOND;
        }
        let mut fresh = spec(1);
        (fresh.id, fresh.cpus, fresh.priority) = ("req-2".into(), 4.0, Priority::Urgent);
        queue_job(&mut core, &fresh, 12);
        assert_eq!(placed(&core, "req-2").len(), small, "{age}: takes the room");
        // The first task ends.
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.drop_job("req-7", NOW);
            partition.empty_machine("n-1");
            partition.placement_wanted = true;
        }
        core.now += SECOND;
        core.place("one");
        assert_eq!(placed(&core, "req-1").len(), large, "{age}: begins");
    }
}

/// Four small guests make room for one wide task, and end one after the other: none of the room that they
/// leave goes to the guests that wait. It did, and the wide task waited for a minute while guests
/// were stopped and started six times over.
#[test]
fn room_that_is_made_is_kept_for_what_it_was_made_for() {
    use quartzlever_wire::SECOND;
    let mut core = core();
    machines(&mut core, &[("n-1", "m", "a", false)]);
    let guest =
        JobSpec { priority: Priority::BestEffort, checkpoint_s: 30.0, save_s: 3.0, ..spec(20) };
    queue_job(&mut core, &guest, 10);
    let wide = JobSpec { id: "req-2".into(), cpus: 8.0, due_s: Some(600.0), ..spec(1) };
    queue_job(&mut core, &wide, 11);
    let place = |core: &mut Core, now| {
        core.now = now;
        core.partitions.get_mut("one").expect("it is held").placement_wanted = true;
        core.place("one");
    };
    place(&mut core, NOW + SECOND);
    let stopped = |core: &Core| -> Vec<crate::machines::attempt::AttemptKey> {
        let slots = &core.partitions["one"].machines["n-1"].slots;
        slots.iter().filter(|(_, s)| !s.wanted).map(|(key, _)| key.clone()).collect()
    };
    let keys = stopped(&core);
    assert_eq!(keys.len(), 4, "all that is on the machine");
    for (n, key) in keys.iter().enumerate() {
        assert_eq!(placed(&core, &wide.id), [], "{n} have ended");
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.machines["n-1"].slots.remove(key);
        partition.requeue(&key.task, key.attempt);
        partition.refresh("n-1");
        core.fill("one", "n-1");
        place(&mut core, NOW + 2 * SECOND + n as u64 * SECOND / 5);
    }
    assert_eq!(placed(&core, &wide.id), [("n-1".to_owned(), 1)]);
    assert_eq!(placed(&core, &guest.id), [], "no guest took what was left meanwhile");
}

/// Idle-time work that saves its progress waits for idle time, whatever its age, as long as it has begun. When guests of
/// four minutes queued with urgent work and were not stopped any more, they filled the machines, and jobs with
/// deadlines waited until they were as old.
#[test]
fn old_idle_time_work_does_not_go_before_deadlines() {
    use quartzlever_wire::SECOND;
    // (rank of the old job, its checkpoints, seconds since it came, it has begun; who is first)
    for (priority, checkpoint_s, age, begun, first) in [
        (Priority::BestEffort, 30.0, 250, true, "req-2"),
        (Priority::BestEffort, 30.0, 590, true, "req-2"),
        (Priority::BestEffort, 30.0, 610, true, "req-1"),
        (Priority::BestEffort, 30.0, 160, false, "req-1"),
        (Priority::BestEffort, 0.0, 250, true, "req-1"),
        (Priority::Standard, 30.0, 250, true, "req-1"),
    ] {
        let mut core = core();
        core.wall_offset = Some(0);
        let old = JobSpec { priority, checkpoint_s, ..spec(4) };
        reconcile_test_job(&mut core, &old, 10, NOW - age * SECOND);
        let fresh = JobSpec { id: "req-2".into(), due_s: Some(60.0), ..spec(2) };
        reconcile_test_job(&mut core, &fresh, 11, NOW);
        let job = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1"));
        if let Some(job) = job.filter(|_| begun) {
            job.finished.insert(0);
            job.ready.remove(0);
        }
        let order = core.partitions["one"].queue_order(&core.config, &core.run_times, NOW);
        let found = order.first().map(String::as_str);
        assert_eq!(found, Some(first), "{priority:?} {checkpoint_s} {age} {begun}");
    }
}
