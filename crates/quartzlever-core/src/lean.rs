//! What a controller does otherwise whose processor is short of time, and what it leaves undone
//! because it is known already, as tables.

use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::state::{
    Event, HostRecord, LiveRecord, OverRecord, PartRecord, Share, StateCall, StateReply,
    WatchAnswer,
};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::workers::{Report, TaskId, TaskPhase, TaskReport};
use quartzlever_wire::{Json, Ranges, SECOND};

use crate::config::Objective;
use crate::engine::Core;
use crate::messages::{Command, Effect};
use crate::regressions::{NOW, core, spec};

/// The record of a job, all of whose tasks are one part's.
fn job(number: u32, tasks: u32, part: &str) -> LiveRecord {
    let mut job = spec(tasks);
    job.id = format!("req-{number}");
    let shares = vec![Share { part: part.into(), term: 5, tasks: Ranges::first(tasks) }];
    LiveRecord { job, since: NOW, started: false, shares, finished: Ranges::default() }
}

/// A report of the machine of part "one" that is there from the beginning, and runs an attempt.
fn report(tick: u64, attempt: Option<u64>) -> Report {
    let running = |attempt| TaskReport {
        task: TaskId { job: "req-1".into(), index: 0 },
        attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    };
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
        tasks: attempt.map(running).into_iter().collect(),
    }
}

fn with_holders(at_ease: usize) -> Core {
    let mut core = core();
    core.cfg.at_ease = at_ease;
    core.mirror.loaded = true;
    core.wall_offset = Some(0);
    for (part, stamp, process) in [("one", 5, core.process), ("two", 6, 77)] {
        let record = PartRecord { node: part.into(), process };
        core.mirror.parts.insert(part.into(), (record, stamp));
    }
    core
}

#[test]
fn a_job_enters_a_part_that_has_far_less_where_the_processor_is_short() {
    // (machines at ease, tasks of the own part, of the other; the part that a job enters)
    for (at_ease, own, other, enters) in [
        (100, 0, 0, "one"),
        (100, 90, 0, "one"),
        (100, 150, 0, "two"),
        (100, 150, 74, "two"),
        (100, 150, 80, "one"),
        (1_000, 150, 0, "one"),
    ] {
        let mut core = with_holders(at_ease);
        for (number, tasks, part) in [(1, own, "one"), (2, other, "two")] {
            if tasks > 0 {
                core.absorb(job(number, tasks, part), 10);
            }
        }
        let mut new = spec(4);
        new.id = "req-9".into();
        let submit = Command::Submit { id: 1, spec: Box::new(new) };
        let effects = core.step(NOW, vec![submit]);
        // Every job is written on condition of the term of the part that it enters.
        let term = effects.iter().find_map(|e| match e {
            Effect::State { call: StateCall::Txn(txn), .. } => {
                let mut terms = txn.conditions.iter().filter(|c| c.path.starts_with("parts/"));
                terms.next().map(|c| (c.path.clone(), c.stamp))
            }
            _ => None,
        });
        let stamp = if enters == "one" { 5 } else { 6 };
        assert_eq!(term, Some((format!("parts/{enters}"), stamp)), "{at_ease} {own} {other}");
    }
}

#[test]
fn a_call_is_made_for_what_cannot_wait_for_a_report() {
    // (machines at ease, seconds within which a task should start; whether its start is called)
    for (at_ease, within, called) in [(100, None, true), (1, None, false), (1, Some(2), true)] {
        let mut core = with_holders(at_ease);
        core.cfg.objectives = within
            .map(|s| Objective::Wait { class: spec(1).class, share: 0.9, within: s * SECOND })
            .into_iter()
            .collect();
        if let Some(part) = core.parts.get_mut("one") {
            // A second machine, so that the part has more than half of what is at ease.
            let host = HostRecord {
                part: "one".into(),
                address: "n-2:9000".into(),
                kind: "m".into(),
                zone: "a".into(),
                spot: true,
            };
            part.add_machine("n-2", host, true, NOW);
            for machine in part.machines.values_mut() {
                (machine.session, machine.heard) = (1, NOW);
            }
            for host in ["n-1", "n-2"] {
                part.refresh(host);
            }
        }
        core.absorb(job(1, 1, "one"), 10);
        let effects = core.step(NOW + SECOND, Vec::new());
        let calls = effects.iter().filter(|e| matches!(e, Effect::Worker { .. })).count();
        assert_eq!(calls > 0, called, "{at_ease} {within:?}");
        assert_eq!(core.parts["one"].jobs["req-1"].located.len(), 1, "it is placed all the same");
    }
}

#[test]
fn a_controller_that_is_behind_keeps_its_hold_and_its_machines() {
    // Seconds between two steps for 30 s, with the answer to each call only in the next step.
    for step_ms in [200, 1_500, 3_000, 5_000] {
        let mut core = with_holders(100);
        core.hold.next = NOW + 1;
        core.hold.sure_until = NOW + 13 * SECOND;
        // Its one task runs all the time, so that the machine is not returned as idle.
        core.absorb(job(1, 1, "one"), 10);
        core.step(NOW, vec![Command::Report { id: 1_000, report: report(1, None) }]);
        let located = core.parts["one"].jobs["req-1"].located.get(&0).map(|p| p.attempt);
        assert!(located.is_some(), "{step_ms}: placed");
        let (mut now, mut renewals, mut returns) = (NOW, 0, 0);
        let (mut reported, mut reports, mut answers) = (NOW, 0, 0);
        let mut waiting = Vec::new();
        while now < NOW + 30 * SECOND {
            now += step_ms * 1_000;
            let mut batch = std::mem::take(&mut waiting);
            batch.push(Command::Tick { wall: now, behind: step_ms > 1_000 });
            if now - reported >= core.cfg.workers.report {
                reported = now;
                reports += 1;
                batch.push(Command::Report { id: reports, report: report(1 + reports, located) });
            }
            for effect in core.step(now, batch) {
                match effect {
                    Effect::State { token, call: StateCall::Renew { .. }, .. } => {
                        renewals += 1;
                        waiting.push(Command::State { token, result: Ok(StateReply::Renewed) });
                    }
                    Effect::Cloud { call: CloudCall::Return(_), .. } => returns += 1,
                    Effect::Answer { status: 200, .. } => answers += 1,
                    _ => {}
                }
            }
            assert!(core.sure(), "{step_ms}: the hold after {} s", (now - NOW) / SECOND);
        }
        assert!(core.parts.contains_key("one"), "{step_ms}");
        assert!((3..=15).contains(&renewals), "{step_ms}: {renewals} renewals");
        assert_eq!((answers, returns), (reports, 0), "{step_ms}: reports answered, machines gone");
    }
}

#[test]
fn what_is_known_by_its_stamp_is_not_read() {
    // An unreadable record shows whether it was read. (key, stamp, whether it is)
    for (key, stamp, read) in [
        ("live/req-1", 10, false),
        ("live/req-1", 9, false),
        ("live/req-1", 11, true),
        ("live/req-2", 11, true),
        ("live/req-3", 11, false),
        ("over/req-3", 11, false),
    ] {
        let mut core = with_holders(100);
        core.cfg.notes = crate::messages::Weight::Error;
        core.absorb(job(1, 4, "one"), 10);
        core.job_over("req-3", OverRecord { phase: JobPhase::Done, done: 4 });
        core.mirror.epoch = 8;
        core.mirror.watch = 1;
        let v = Json::of(&"no record");
        let log = vec![Event::Write { write: key.into(), v, stamp }];
        core.watched(1, NOW, Ok(StateReply::Watched(WatchAnswer { epoch: 12, log })));
        let noted = core.out.iter().any(|e| matches!(e, Effect::Note { .. }));
        assert_eq!(noted, read, "{key} {stamp}");
        assert_eq!(core.mirror.epoch, 12, "{key} {stamp}");
        assert!(core.mirror.live.contains_key("req-1"), "a job stays known");
    }
}
