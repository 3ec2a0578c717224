//! Failures that were found, each as a small test: see the comments at the code they guard.

use std::collections::BTreeMap;
use std::sync::Arc;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::state::{HostRecord, LiveRecord, OverRecord, Share, StateReply};
use quartzlever_wire::users::{JobPhase, JobSpec, Rank, Shape};
use quartzlever_wire::workers::{Cause, Order, Report, TaskId, TaskPhase, TaskReport};
use quartzlever_wire::{CallError, Micros, Ranges, SECOND};

use crate::config::{Config, Operator, Team, WorkerTimes};
use crate::engine::Core;
use crate::messages::Weight;
use crate::part::Part;
use crate::placement::Paces;
use crate::stealing::Move;

pub(crate) const NOW: Micros = 1_000 * SECOND;

pub(crate) fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        id: "req-1".into(),
        class: "c".into(),
        team: "free".into(),
        shape: Shape::Batch,
        rank: Rank::Standard,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expect_s: 3.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

/// A record of a job of four tasks, with these of them in part "one".
fn record(mine: &str, other: &str) -> LiveRecord {
    let share = |part: &str, term, tasks: &str| Share {
        part: part.into(),
        term,
        tasks: tasks.parse().unwrap_or_default(),
    };
    LiveRecord {
        job: spec(4),
        since: NOW,
        started: false,
        shares: vec![share("one", 5, mine), share("two", 6, other)],
        finished: Ranges::default(),
    }
}

/// A controller that holds part "one" under term 5, with one open machine.
pub(crate) fn core() -> Core {
    let cfg = Config {
        node: "one".into(),
        zone: "a".into(),
        nodes: vec!["one".into(), "two".into()],
        zones: vec!["a".into(), "b".into()],
        teams: vec![
            Team { name: "free".into(), ..Team::default() },
            Team { name: "tight".into(), cpus_max: 8.0, ..Team::default() },
        ],
        objectives: Vec::new(),
        workers: WorkerTimes { report: SECOND, lease: 10 * SECOND, cancel: 3600 * SECOND },
        state_rps: 300.0,
        state_write_rps: 300.0,
        value_bytes: 16 * 1024,
        txn_ops: 24,
        at_ease: 10_000,
        operator: Operator::default(),
        notes: Weight::Error,
    };
    let mut core = Core::new(cfg, 1, NOW);
    let kind = MachineType {
        name: "m".into(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 50.0,
        pull_gb_per_s: 1.0,
        hourly: 1.0,
        market_price: None,
        ready_s: 2.0,
        zones: vec!["a".into()],
    };
    core.types = Some(Arc::new(BTreeMap::from([("m".into(), kind)])));
    core.hold.lease = Some(1);
    core.hold.sure_until = NOW + 1_000 * SECOND;
    core.mirror.viewed = NOW;
    let mut part = Part::new("one", 5, core.types.clone(), NOW);
    (part.loaded, part.barrier_open) = (true, true);
    let host = HostRecord {
        part: "one".into(),
        address: "n-1:9000".into(),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
    };
    part.add_machine("n-1", host, true, NOW);
    core.parts.insert("one".into(), part);
    core
}

fn report(tick: u64, tasks: &[(u64, TaskPhase, Option<Cause>)]) -> Report {
    let tasks = tasks
        .iter()
        .map(|(attempt, phase, cause)| TaskReport {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: *attempt,
            phase: *phase,
            cause: *cause,
            kept: None,
        })
        .collect();
    Report {
        host: "n-1".into(),
        address: "n-1:9000".into(),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick,
        baton: 5,
        warning_s: None,
        tasks,
    }
}

#[test]
fn an_older_record_is_no_news() {
    // (the records as they come: stamp, tasks of part "one"; what is ready in the end)
    type Case<'a> = (&'a str, &'a [(u64, &'a str)], &'a str);
    let cases: &[Case] = &[
        ("as written", &[(10, "0-3"), (12, "0-1")], "0-1"),
        (
            "given away in full, and an older record comes late",
            &[(10, "0-3"), (12, ""), (11, "0-3")],
            "",
        ),
        (
            "given away in full, and the same record comes again",
            &[(10, "0-3"), (12, ""), (12, "")],
            "",
        ),
        ("given away and given back", &[(10, "0-3"), (12, ""), (14, "2-3"), (11, "0-3")], "2-3"),
    ];
    for (name, records, ready) in cases {
        let mut core = core();
        for (stamp, mine) in *records {
            let other = Ranges::first(4).minus(&mine.parse().unwrap_or_default());
            core.absorb(record(mine, &other.to_string()), *stamp);
        }
        let job = core.parts["one"].jobs.get("req-1");
        let found = job.map(|j| j.ready.to_string()).unwrap_or_default();
        assert_eq!(found, *ready, "{name}");
    }
    let mut core = core();
    core.absorb(record("0-3", ""), 10);
    core.job_over("req-1", OverRecord { phase: JobPhase::Done, done: 4 });
    core.absorb(record("0-3", ""), 9);
    assert!(core.parts["one"].jobs.is_empty(), "over, and an older record comes late");
}

#[test]
fn an_attempt_is_cleared_only_when_its_run_is_spent() {
    // Whether the answer to a report carries the `run`, whether a direct call does that is given
    // up, and whether a later report comes; what may be cleared.
    for (answer, given_up, hello, clear) in [
        (false, false, false, true),
        (true, false, false, false),
        (true, false, true, true),
        (false, true, false, false),
        (false, true, true, false),
        (true, true, true, false),
    ] {
        let mut core = core();
        core.absorb(record("0", "1-3"), 10);
        let cfg = core.cfg.clone();
        let Some(part) = core.parts.get_mut("one") else { unreachable!() };
        let mut paces = Paces::default();
        part.take_report(&cfg, &mut paces, &report(1, &[]), true, NOW);
        part.start("req-1", 0, "n-1", NOW);
        let attempt = part.jobs["req-1"].located[&0].attempt;
        assert_eq!(part.orders_for("n-1", answer).len(), 1);
        if given_up {
            let Some(machine) = part.machines.get_mut("n-1") else { unreachable!() };
            machine.slots.values_mut().for_each(|s| s.direct = crate::machine::Direct::Doubtful);
        }
        let ended = [(attempt, TaskPhase::Exited, Some(Cause::Halted))];
        part.take_report(&cfg, &mut paces, &report(2, &ended), false, NOW);
        if hello {
            part.take_report(&cfg, &mut paces, &report(3, &ended), true, NOW);
        }
        let cleared =
            part.orders_for("n-1", false).iter().any(|o| matches!(o, Order::Clear { .. }));
        assert_eq!(cleared, clear, "answer {answer} given up {given_up} hello {hello}");
    }
}

#[test]
fn what_has_ended_is_cleared_along_with_other_orders() {
    // (ended attempts, whether a task is to start, in the answer to a report; orders, clears)
    for (ended, starts, answer, orders, clears) in [
        (1, false, true, 0, 0),
        (1, true, true, 2, 1),
        (1, false, false, 1, 1),
        (3, false, true, 0, 0),
        (4, false, true, 4, 4),
        (0, true, true, 1, 0),
    ] {
        let mut core = core();
        core.absorb(record("0-9", ""), 10);
        let cfg = core.cfg.clone();
        let Some(part) = core.parts.get_mut("one") else { unreachable!() };
        let mut paces = Paces::default();
        part.take_report(&cfg, &mut paces, &report(1, &[]), true, NOW);
        let mut list = Vec::new();
        for index in 0..ended {
            part.start("req-1", index, "n-1", NOW);
            let attempt = part.jobs["req-1"].located[&index].attempt;
            list.push((attempt, TaskPhase::Exited, Some(Cause::Halted)));
        }
        let mut told = report(2, &list);
        for (index, task) in told.tasks.iter_mut().enumerate() {
            task.task.index = index as u32;
        }
        part.take_report(&cfg, &mut paces, &told, true, NOW);
        if starts {
            part.start("req-1", 9, "n-1", NOW);
        }
        let found = part.orders_for("n-1", answer);
        let cleared = found.iter().filter(|o| matches!(o, Order::Clear { .. })).count();
        assert_eq!((found.len(), cleared), (orders, clears), "{ended} {starts} {answer}");
    }
}

/// What a report that tells nothing new brings is what the long way would have brought.
#[test]
fn nothing_new_is_the_same_as_the_long_way() {
    // (phases of two tasks in the last report but one and in the last; whether that is short)
    let running = (TaskPhase::Running, None);
    let ended = (TaskPhase::Exited, Some(Cause::Halted));
    let pulling = (TaskPhase::Pulling, None);
    for (before, after, short) in [
        ([running, running], [running, running], true),
        ([pulling, running], [pulling, running], true),
        ([pulling, running], [running, running], false),
        ([running, ended], [running, ended], true),
        ([running, running], [running, ended], false),
    ] {
        let make = || {
            let mut core = core();
            core.absorb(record("0-9", ""), 10);
            let cfg = core.cfg.clone();
            let part = core.parts.get_mut("one").expect("held");
            let mut paces = Paces::default();
            part.take_report(&cfg, &mut paces, &report(1, &[]), true, NOW);
            for index in 0..2 {
                part.start("req-1", index, "n-1", NOW);
            }
            let attempts: Vec<u64> =
                (0..2).map(|i| part.jobs["req-1"].located[&i].attempt).collect();
            let told = |tick, phases: [(TaskPhase, Option<Cause>); 2]| {
                let list: Vec<_> =
                    attempts.iter().zip(phases).map(|(a, (p, c))| (*a, p, c)).collect();
                let mut told = report(tick, &list);
                for (index, task) in told.tasks.iter_mut().enumerate() {
                    task.task.index = index as u32;
                }
                told
            };
            part.orders_for("n-1", true);
            part.take_report(&cfg, &mut paces, &told(2, before), true, NOW);
            part.urgent.clear();
            part.place_wanted = false;
            let last = told(3, after);
            (core, cfg, paces, last)
        };
        let (mut one, cfg, mut paces, last) = make();
        let part = one.parts.get_mut("one").expect("held");
        assert_eq!(part.machines["n-1"].shows_nothing_new(&last), short, "{before:?} {after:?}");
        part.take_report(&cfg, &mut paces, &last, true, NOW + 1);
        let (mut two, cfg, mut paces, last) = make();
        let other = two.parts.get_mut("one").expect("held");
        if short {
            if let Some(machine) = other.machines.get_mut("n-1") {
                (machine.tick, machine.heard) = (last.tick, NOW + 1);
            }
            other.take_news(&cfg, &mut paces, &last, true, NOW + 1);
            let part = one.parts.get("one").expect("held");
            assert_eq!(format!("{part:?}"), format!("{other:?}"), "{before:?} {after:?}");
        }
    }
}

#[test]
fn a_cut_of_unknown_outcome_is_settled_before_it_is_used() {
    // (outcome of the move, of the write that settles it; ready tasks after each)
    let committed = Ok(StateReply::Committed(20));
    let conflict = Ok(StateReply::Conflict(vec!["live/req-1".into()]));
    for (name, moved, settled, after_move, after) in [
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
        ("unknown, overtaken", Err(CallError::Unknown), Some(conflict), "0-1", "0-1"),
        ("in force", committed, None, "0-1", "0-1"),
    ] {
        let mut core = core();
        core.absorb(record("0-3", ""), 10);
        let cut: Ranges = "2-3".parse().unwrap_or_default();
        if let Some(job) = core.parts.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.ready.subtract(&cut);
            job.cutting.add(&cut);
            job.writing = true;
        }
        let the_move = Move { job: "req-1".into(), cut, record: record("0-1", "2-3") };
        core.steal_written("one", 5, None, vec![the_move], moved);
        let ready = |core: &Core| core.parts["one"].jobs["req-1"].ready.to_string();
        assert_eq!(ready(&core), after_move, "{name}");
        if let Some(settled) = settled {
            core.job_written("one", 5, "req-1", Ranges::default(), false, settled);
            assert_eq!(ready(&core), after, "{name}");
        }
    }
}

#[test]
fn a_machine_is_empty_only_a_lease_after_all_that_was_heard_of_it() {
    let gone = 11 * SECOND + 10_000;
    // (seconds before now: acquired, last answered, last heard; whether its tasks are taken back)
    for (acquired, answered, heard, empty) in [
        (100, 100, 100, true),
        (100, 5, 100, false),
        (100, 100, 5, false),
        (5, 100, 100, false),
        (12, 12, 12, true),
        (10, 10, 10, false),
    ] {
        let mut core = core();
        core.absorb(record("0", "1-3"), 10);
        assert_eq!(core.cfg.lease_gone_after(), gone);
        if let Some(part) = core.parts.get_mut("one") {
            part.start("req-1", 0, "n-1", NOW);
            part.acquired = NOW - acquired * SECOND;
            if let Some(machine) = part.machines.get_mut("n-1") {
                machine.answered = NOW - answered * SECOND;
                machine.heard = NOW - heard * SECOND;
            }
        }
        core.expire_silent("one");
        let taken_back = core.parts["one"].jobs["req-1"].ready.contains(0);
        assert_eq!(taken_back, empty, "acquired {acquired} answered {answered} heard {heard}");
    }
}

#[test]
fn a_restart_while_the_cloud_is_down_knows_the_types() {
    use crate::messages::{Command, Effect};
    use quartzlever_wire::state::{CATALOGUE, Row, StateCall};
    // (whether an earlier process kept the catalogue, whether types are known in the end)
    for (kept, known) in [(true, true), (false, false)] {
        let mut core = core();
        let types: Vec<MachineType> =
            core.types.take().iter().flat_map(|t| t.values().cloned()).collect();
        let asked = core.step(NOW, Vec::new());
        let cloud = asked.iter().find_map(|e| match e {
            Effect::Cloud { token, .. } => Some(*token),
            _ => None,
        });
        let Some(token) = cloud else { panic!("the cloud is not asked") };
        let down = Command::Cloud { token, result: Err(CallError::Refused) };
        let read = core.step(NOW, vec![down]);
        let token = read.iter().find_map(|e| match e {
            Effect::State { token, call: StateCall::Get(key), .. } if key == CATALOGUE => {
                Some(*token)
            }
            _ => None,
        });
        let Some(token) = token else { panic!("the kept catalogue is not read") };
        let v = serde_json::json!({ "chassis": types });
        let row = Row {
            path: CATALOGUE.into(),
            v: quartzlever_wire::Json::of(&v),
            stamp: 3,
            charter: None,
        };
        let result = Ok(StateReply::Row(kept.then_some(row)));
        core.step(NOW, vec![Command::State { token, result }]);
        assert_eq!(core.types.is_some(), known, "kept {kept}");
    }
}
