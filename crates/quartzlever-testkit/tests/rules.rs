//! The checker finds a violation of each rule, and nothing in what is right.

use quartzlever_testkit::jobs;
use quartzlever_testkit::rules::{MachineTasks, RuleChecker, TeamLimit, UserRequest};
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND};

const START: Micros = 1_000 * SECOND;

fn job(n: u32, tasks: u32) -> JobSpec {
    JobSpec { due_s: Some(60.0), ..jobs::array(n, tasks) }
}

fn task(n: u32, index: u32) -> TaskId {
    TaskId { job: job(n, 1).id, index }
}

fn on(machine: &str, zone: &str, tasks: &[TaskId]) -> MachineTasks {
    MachineTasks {
        machine: machine.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: true,
        tasks: tasks.to_vec(),
    }
}

/// A checker that knows of a job of two tasks, accepted at the start.
fn checker(change: impl FnOnce(&mut JobSpec)) -> RuleChecker {
    let tight = TeamLimit { team: "tight".into(), cpus: 3.0, ..TeamLimit::default() };
    let mut checker = RuleChecker::new(20 * SECOND, vec![tight]);
    let mut spec = job(1, 2);
    change(&mut spec);
    checker.asked(UserRequest::Submit, &spec.id, Some(&spec));
    checker.answered(START, START - 1, UserRequest::Submit, &spec.id, 201, "queued");
    checker
}

type Script = fn(&mut RuleChecker);

#[test]
fn each_broken_rule_is_found_and_nothing_else() {
    let id = "req-000001";
    assert_eq!(job(1, 2).id, id);
    // (rule, what happens)
    let cases: &[(&str, Script)] = &[
        ("", |j| {
            // All is well: one task ends, both have run, and the job is done.
            let both = [on("n1", "a", &[task(1, 0)]), on("n2", "b", &[task(1, 1)])];
            j.task_started(START + 1, &task(1, 0), "n1", &both);
            j.machines(START + 1, &both);
            j.task_completed(&task(1, 0));
            j.task_completed(&task(1, 1));
            j.answered(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
        }),
        ("", |j| {
            // A question sent before the end was told may get an older answer.
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.answered(START + 9, START + 5, UserRequest::Cancel, "req-000001", 200, "aborted");
            j.answered(START + 10, START + 8, UserRequest::Lookup, "req-000001", 200, "running");
            let still = [on("n1", "a", &[task(1, 0)])];
            j.machines(START + 9 + 20 * SECOND, &still);
        }),
        ("ran_twice", |j| {
            j.machines(START, &[on("n1", "a", &[task(1, 0)]), on("n2", "a", &[task(1, 0)])]);
        }),
        ("ran_cancelled", |j| {
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.answered(START, START - 1, UserRequest::Cancel, "req-000001", 200, "aborted");
            j.machines(START + 20 * SECOND + 1, &[on("n1", "a", &[task(1, 0)])]);
        }),
        ("ran_cancelled", |j| {
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.answered(START, START - 1, UserRequest::Cancel, "req-000001", 200, "aborted");
            j.task_started(START + 20 * SECOND + 1, &task(1, 0), "n1", &[]);
        }),
        ("forgotten", |j| {
            j.answered(START + 9, START + 8, UserRequest::Lookup, "req-000001", 404, "")
        }),
        ("forgotten", |j| {
            j.answered(START + 9, START + 8, UserRequest::Submit, "req-000001", 422, "")
        }),
        ("forgotten", |j| {
            j.answered(START + 9, START + 8, UserRequest::Submit, "req-000001", 400, "")
        }),
        ("forgotten", |j| j.unanswered(START + 90 * SECOND, START + SECOND)),
        ("invented", |j| {
            j.answered(START, START - 1, UserRequest::Lookup, "req-000002", 200, "queued")
        }),
        ("invented", |j| j.task_started(START, &task(2, 0), "n1", &[])),
        ("not_done", |j| {
            j.task_completed(&task(1, 0));
            j.answered(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
        }),
        ("went_back", |j| {
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.answered(START + 9, START + 8, UserRequest::Cancel, "req-000001", 200, "aborted");
            j.answered(START + 12, START + 10, UserRequest::Submit, "req-000001", 200, "queued");
        }),
        ("went_back", |j| {
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.task_completed(&task(1, 0));
            j.task_completed(&task(1, 1));
            j.answered(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
            j.answered(START + 9, START + 8, UserRequest::Cancel, "req-000001", 200, "aborted");
        }),
        ("went_back", |j| {
            j.answered(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "aborted");
        }),
        ("ran_after_end", |j| {
            j.job_done(START, "req-000001");
            j.task_started(START + 1, &task(1, 0), "n1", &[]);
        }),
        ("nothing_ran", |j| j.day_over(START + 9)),
        ("", |j| {
            j.task_started(START + 1, &task(1, 0), "n1", &[]);
            j.day_over(START + 9);
        }),
        ("", |j| {
            // Nobody wants the only job any more.
            j.asked(UserRequest::Cancel, "req-000001", None);
            j.day_over(START + 9);
        }),
        ("not_held", |j| j.partition_held(START + 9, "one", 0)),
        ("not_held", |j| j.partition_held(START + 9, "one", 2)),
        ("", |j| j.partition_held(START + 9, "one", 1)),
        ("class_waits", |j| j.classes_start(START + 90 * SECOND, START, |_| true)),
        ("", |j| j.classes_start(START + 90 * SECOND, START, |_| false)),
        ("", |j| {
            // Another job of the class was begun after the last fault.
            j.asked(UserRequest::Submit, &job(2, 1).id, Some(&job(2, 1)));
            j.task_started(START + 2 * SECOND, &task(2, 0), "n1", &[]);
            j.classes_start(START + 90 * SECOND, START + SECOND, |_| true);
        }),
        ("class_waits", |j| {
            // So it was, but before.
            j.asked(UserRequest::Submit, &job(2, 1).id, Some(&job(2, 1)));
            j.task_started(START + 1, &task(2, 0), "n1", &[]);
            j.classes_start(START + 90 * SECOND, START + SECOND, |_| true);
        }),
    ];
    for (n, (rule, script)) in cases.iter().enumerate() {
        let mut checker = checker(|_| {});
        script(&mut checker);
        let found: Vec<&str> = checker.broken.iter().filter_map(|b| b.split(' ').next()).collect();
        let expected: Vec<&str> = if rule.is_empty() { vec![] } else { vec![rule] };
        assert_eq!(found, expected, "case {n}");
    }
}

#[test]
fn places_and_limits_are_checked() {
    type Change = fn(&mut JobSpec);
    let both = [on("n1", "a", &[task(1, 0)]), on("n2", "b", &[task(1, 1)])];
    let same = [on("n1", "a", &[task(1, 0)]), on("n2", "a", &[task(1, 1)])];
    // (rule, the job, the machines when its second task starts on n2)
    let cases: &[(&str, Change, &[MachineTasks])] = &[
        ("", |_| {}, &both),
        ("wrong_place", |s| s.types = Some(vec!["x".into()]), &both),
        ("wrong_place", |s| s.zone = Some("a".into()), &both),
        ("wrong_place", |s| s.spot = false, &both),
        ("wrong_place", |s| s.one_zone = true, &both),
        ("", |s| s.one_zone = true, &same),
        ("wrong_place", |s| s.spread = true, &same),
        ("", |s| s.spread = true, &both),
        ("quota", |s| s.team = "tight".into(), &both),
    ];
    for (n, (rule, change, machines)) in cases.iter().enumerate() {
        let mut checker = checker(*change);
        checker.task_started(START + 1, &task(1, 1), "n2", machines);
        checker.machines(START + 1, machines);
        let found = checker.broken.first().and_then(|b| b.split(' ').next()).unwrap_or("");
        assert_eq!(found, *rule, "case {n}");
    }
}
