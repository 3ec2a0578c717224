//! Where tasks may go, as tables.

use crate::testing::*;

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
fn a_team_stays_within_its_limit_whatever_may_be_on_machines() {
    // (barrier open, an attempt of a forgotten job about, how many of eight tasks start that take
    // 2 processors each of the 8 allowed)
    for (open, stranger, starts) in [(true, false, 4), (false, false, 0), (true, true, 0)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false), ("n-2", "m", "a", false)]);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.recovery_complete = open;
            if stranger {
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
        let count: usize = placed(&core, &job.id).iter().map(|(_, n)| n).sum();
        assert_eq!(count, starts, "open {open} stranger {stranger}");
    }
}
