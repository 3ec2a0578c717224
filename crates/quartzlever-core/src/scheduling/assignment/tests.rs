//! Table-driven tests of the assignment of tasks to machines.

use crate::testing::*;

#[test]
fn tasks_start_only_where_the_constraints_of_their_job_allow() {
    type Change = fn(&mut JobSpec);
    type Case<'a> = (&'a str, Change, &'a [(&'a str, usize)]);
    let machine_list: &[(&str, &str, &str, bool)] =
        &[("n-1", "m", "a", false), ("n-2", "m", "b", true), ("n-3", "x", "b", false)];
    // (constraint of the job, number of its tasks of four processors each by machine)
    let cases: &[Case] = &[
        ("no constraint", |s| s.tasks = 6, &[("n-1", 2), ("n-2", 2), ("n-3", 2)]),
        ("no spot instances", |s| s.spot = false, &[("n-1", 2), ("n-3", 2)]),
        ("one machine type", |s| s.types = Some(vec!["x".into()]), &[("n-3", 2)]),
        ("one zone by name", |s| s.zone = Some("a".into()), &[("n-1", 2)]),
        ("unknown zone", |s| s.zone = Some("c".into()), &[]),
        ("all in the same zone", |s| s.one_zone = true, &[("n-2", 2), ("n-3", 2)]),
        (
            "spread: at most half, rounded up, per zone",
            |s| (s.spread, s.tasks) = (true, 5),
            &[("n-1", 2), ("n-2", 2), ("n-3", 1)],
        ),
        (
            "all in the same zone, and spread",
            |s| (s.one_zone, s.spread, s.tasks) = (true, true, 5),
            &[("n-2", 2), ("n-3", 1)],
        ),
        ("spread, one task", |s| (s.spread, s.tasks) = (true, 1), &[("n-2", 1)]),
        ("too much memory", |s| s.ram_gb = 65.0, &[]),
        ("team with a limit", |s| s.team = "tight".into(), &[("n-2", 2)]),
    ];
    for (name, change, expected) in cases {
        let mut core = core();
        set_machines(&mut core, machine_list);
        let mut job = spec(4);
        job.cpus = 4.0;
        change(&mut job);
        queue_job(&mut core, &job, 10);
        let expected: Vec<(String, usize)> =
            expected.iter().map(|(m, n)| ((*m).to_owned(), *n)).collect();
        assert_eq!(task_counts_by_machine(&core, &job.id), expected, "{name}");
    }
}

#[test]
fn a_team_starts_tasks_only_within_its_limit_and_only_while_its_use_is_certain() {
    // (recovery complete, a machine has an attempt of an unknown job, number of tasks started, of
    // eight of 2 processors each within a limit of 8 processors)
    for (recovered, unknown_job, starts) in [(true, false, 4), (false, false, 0), (true, true, 0)] {
        let mut core = core();
        set_machines(&mut core, &[("n-1", "m", "a", false), ("n-2", "m", "a", false)]);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.recovery_complete = recovered;
            if unknown_job {
                let mut attempt = crate::machines::attempt::Attempt::new(&spec(1), NOW);
                attempt.team = String::new();
                let task = quartzlever_wire::workers::TaskId { job: "req-9".into(), index: 0 };
                if let Some(machine) = partition.machines.get_mut("n-1") {
                    machine
                        .attempts
                        .insert(crate::machines::attempt::AttemptKey { task, attempt: 1 }, attempt);
                }
            }
        }
        let mut job = spec(8);
        job.team = "tight".into();
        queue_job(&mut core, &job, 10);
        let count: usize = task_counts_by_machine(&core, &job.id).iter().map(|(_, n)| n).sum();
        assert_eq!(count, starts, "recovered {recovered}, unknown job {unknown_job}");
    }
}
