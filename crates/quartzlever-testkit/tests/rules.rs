//! The rule checker reports each violation under its rule, and nothing for correct behaviour.

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

fn machine(name: &str, zone: &str, tasks: &[TaskId]) -> MachineTasks {
    MachineTasks {
        machine: name.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: true,
        tasks: tasks.to_vec(),
    }
}

/// Returns a checker with one job of two tasks, changed by `change` and accepted at [`START`], and
/// a team `tight` with a quota of 3 processors.
fn checker(change: impl FnOnce(&mut JobSpec)) -> RuleChecker {
    let tight_quota = TeamLimit { team: "tight".into(), cpus: 3.0, ..TeamLimit::default() };
    let mut checker = RuleChecker::new(20 * SECOND, vec![tight_quota]);
    let mut spec = job(1, 2);
    change(&mut spec);
    checker.record_request(UserRequest::Submit, &spec.id, Some(&spec));
    checker.record_answer(START, START - 1, UserRequest::Submit, &spec.id, 201, "queued");
    checker
}

/// Passes events to a checker.
type Script = fn(&mut RuleChecker);

#[test]
fn each_violation_is_reported_under_its_rule_and_nothing_else() {
    let id = "req-000001";
    assert_eq!(job(1, 2).id, id);
    // (rule that must be reported or "" for none, events passed to the checker)
    let cases: &[(&str, Script)] = &[
        ("", |c| {
            // Both tasks complete, then the job is reported as done.
            let both = [machine("n1", "a", &[task(1, 0)]), machine("n2", "b", &[task(1, 1)])];
            c.record_task_start(START + 1, &task(1, 0), "n1", &both);
            c.check_machines(START + 1, &both);
            c.record_task_completion(&task(1, 0));
            c.record_task_completion(&task(1, 1));
            c.record_answer(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
        }),
        ("", |c| {
            // A request sent before the cancellation was reported may get an earlier phase.
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.record_answer(
                START + 9,
                START + 5,
                UserRequest::Cancel,
                "req-000001",
                200,
                "aborted",
            );
            c.record_answer(
                START + 10,
                START + 8,
                UserRequest::Lookup,
                "req-000001",
                200,
                "running",
            );
            let still_running = [machine("n1", "a", &[task(1, 0)])];
            c.check_machines(START + 9 + 20 * SECOND, &still_running);
        }),
        ("ran_twice", |c| {
            c.check_machines(
                START,
                &[machine("n1", "a", &[task(1, 0)]), machine("n2", "a", &[task(1, 0)])],
            );
        }),
        ("ran_cancelled", |c| {
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.record_answer(START, START - 1, UserRequest::Cancel, "req-000001", 200, "aborted");
            c.check_machines(START + 20 * SECOND + 1, &[machine("n1", "a", &[task(1, 0)])]);
        }),
        ("ran_cancelled", |c| {
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.record_answer(START, START - 1, UserRequest::Cancel, "req-000001", 200, "aborted");
            c.record_task_start(START + 20 * SECOND + 1, &task(1, 0), "n1", &[]);
        }),
        ("forgotten", |c| {
            c.record_answer(START + 9, START + 8, UserRequest::Lookup, "req-000001", 404, "")
        }),
        ("forgotten", |c| {
            c.record_answer(START + 9, START + 8, UserRequest::Submit, "req-000001", 422, "")
        }),
        ("forgotten", |c| {
            c.record_answer(START + 9, START + 8, UserRequest::Submit, "req-000001", 400, "")
        }),
        ("forgotten", |c| c.check_answered_since(START + 90 * SECOND, START + SECOND)),
        ("invented", |c| {
            c.record_answer(START, START - 1, UserRequest::Lookup, "req-000002", 200, "queued")
        }),
        ("invented", |c| c.record_task_start(START, &task(2, 0), "n1", &[])),
        ("not_done", |c| {
            c.record_task_completion(&task(1, 0));
            c.record_answer(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
        }),
        ("went_back", |c| {
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.record_answer(
                START + 9,
                START + 8,
                UserRequest::Cancel,
                "req-000001",
                200,
                "aborted",
            );
            c.record_answer(
                START + 12,
                START + 10,
                UserRequest::Submit,
                "req-000001",
                200,
                "queued",
            );
        }),
        ("went_back", |c| {
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.record_task_completion(&task(1, 0));
            c.record_task_completion(&task(1, 1));
            c.record_answer(START + 9, START + 8, UserRequest::Lookup, "req-000001", 200, "done");
            c.record_answer(
                START + 9,
                START + 8,
                UserRequest::Cancel,
                "req-000001",
                200,
                "aborted",
            );
        }),
        ("went_back", |c| {
            c.record_answer(
                START + 9,
                START + 8,
                UserRequest::Lookup,
                "req-000001",
                200,
                "aborted",
            );
        }),
        ("ran_after_end", |c| {
            c.record_job_done(START, "req-000001");
            c.record_task_start(START + 1, &task(1, 0), "n1", &[]);
        }),
        ("nothing_ran", |c| c.check_any_task_started(START + 9)),
        ("", |c| {
            c.record_task_start(START + 1, &task(1, 0), "n1", &[]);
            c.check_any_task_started(START + 9);
        }),
        ("", |c| {
            // The only job was cancelled, so no task needs to start.
            c.record_request(UserRequest::Cancel, "req-000001", None);
            c.check_any_task_started(START + 9);
        }),
        ("not_held", |c| c.check_partition_leader(START + 9, "one", 0)),
        ("not_held", |c| c.check_partition_leader(START + 9, "one", 2)),
        ("", |c| c.check_partition_leader(START + 9, "one", 1)),
        ("class_waits", |c| c.check_class_starts(START + 90 * SECOND, START, |_| true)),
        ("", |c| c.check_class_starts(START + 90 * SECOND, START, |_| false)),
        ("", |c| {
            // A task of another job of the class starts after the last fault.
            c.record_request(UserRequest::Submit, &job(2, 1).id, Some(&job(2, 1)));
            c.record_task_start(START + 2 * SECOND, &task(2, 0), "n1", &[]);
            c.check_class_starts(START + 90 * SECOND, START + SECOND, |_| true);
        }),
        ("class_waits", |c| {
            // A task of another job of the class starts before the last fault.
            c.record_request(UserRequest::Submit, &job(2, 1).id, Some(&job(2, 1)));
            c.record_task_start(START + 1, &task(2, 0), "n1", &[]);
            c.check_class_starts(START + 90 * SECOND, START + SECOND, |_| true);
        }),
    ];
    for (n, (rule, script)) in cases.iter().enumerate() {
        let mut checker = checker(|_| {});
        script(&mut checker);
        let found: Vec<&str> =
            checker.violations.iter().filter_map(|b| b.split(' ').next()).collect();
        let expected: Vec<&str> = if rule.is_empty() { vec![] } else { vec![rule] };
        assert_eq!(found, expected, "case {n}");
    }
}

#[test]
fn placement_constraints_and_quotas_are_checked() {
    type Change = fn(&mut JobSpec);
    let two_zones = [machine("n1", "a", &[task(1, 0)]), machine("n2", "b", &[task(1, 1)])];
    let one_zone_only = [machine("n1", "a", &[task(1, 0)]), machine("n2", "a", &[task(1, 1)])];
    // (rule that must be reported or "" for none, change to the job, machines when its second task
    // starts on n2)
    let cases: &[(&str, Change, &[MachineTasks])] = &[
        ("", |_| {}, &two_zones),
        ("wrong_place", |s| s.types = Some(vec!["x".into()]), &two_zones),
        ("wrong_place", |s| s.zone = Some("a".into()), &two_zones),
        ("wrong_place", |s| s.spot = false, &two_zones),
        ("wrong_place", |s| s.one_zone = true, &two_zones),
        ("", |s| s.one_zone = true, &one_zone_only),
        ("wrong_place", |s| s.spread = true, &one_zone_only),
        ("", |s| s.spread = true, &two_zones),
        ("quota", |s| s.team = "tight".into(), &two_zones),
    ];
    for (n, (rule, change, machines)) in cases.iter().enumerate() {
        let mut checker = checker(*change);
        checker.record_task_start(START + 1, &task(1, 1), "n2", machines);
        checker.check_machines(START + 1, machines);
        let found = checker.violations.first().and_then(|b| b.split(' ').next()).unwrap_or("");
        assert_eq!(found, *rule, "case {n}");
    }
}
