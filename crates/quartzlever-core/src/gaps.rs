//! What the protocol leaves out, as tables: late copies of reports, machines that hear nothing,
//! machines that nobody knows, jobs that wait too long, and answers about jobs.

use quartzlever_wire::state::{HostBlock, LiveRecord, Share, StateCall, StateReply, block_key};
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::{Report, TaskId, TaskPhase, TaskReport, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Ranges, SECOND};

use crate::engine::Core;
use crate::fleet::Expected;
use crate::messages::{Command, Effect};
use crate::placement::Paces;
use crate::regressions::{NOW, core, spec};

fn report(host: &str, session: u64, tick: u64, baton: u64, attempts: &[u64]) -> Report {
    let tasks = attempts.iter().map(|attempt| TaskReport {
        task: TaskId { job: "req-1".into(), index: 0 },
        attempt: *attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    });
    Report {
        host: host.into(),
        address: format!("{host}:9000"),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session,
        tick,
        baton,
        warning_s: None,
        tasks: tasks.collect(),
    }
}

fn submit(core: &mut Core, spec: &JobSpec, stamp: u64, since: u64) {
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(spec.tasks) };
    let record = LiveRecord {
        job: spec.clone(),
        since,
        started: false,
        shares: vec![share],
        finished: Ranges::default(),
    };
    core.absorb(record, stamp);
}

#[test]
fn a_late_copy_of_a_report_proves_nothing() {
    // What is known already: session and tick. What comes: of the worker's own accord or as an
    // answer to a call, session, tick, baton. Whether it counts, and proves the machine.
    type Told = (bool, u64, u64, u64);
    type Case<'a> = (&'a str, Option<(u64, u64)>, Told, bool, bool);
    let cases: &[Case] = &[
        ("the original", Some((1, 5)), (true, 1, 6, 5), true, true),
        ("a copy after it", Some((1, 6)), (true, 1, 6, 5), false, true),
        ("an older one", Some((1, 6)), (true, 1, 2, 5), false, true),
        ("one after a later session", Some((2, 1)), (true, 1, 90, 5), false, true),
        ("from before the takeover, at the new holder", None, (true, 1, 80, 4), false, false),
        ("so old that no baton was seen", None, (true, 1, 1, 0), false, false),
        ("the present one, at the new holder", None, (true, 1, 81, 5), true, true),
        ("an answer to our call, before the command", None, (false, 1, 82, 4), true, false),
        ("an answer to our command", None, (false, 1, 83, 5), true, true),
    ];
    for (name, known, (hello, session, tick, baton), counts, proven) in cases {
        let mut core = core();
        submit(&mut core, &spec(4), 10, NOW);
        let cfg = core.cfg.clone();
        let Some(part) = core.parts.get_mut("one") else { unreachable!() };
        let Some(machine) = part.machines.get_mut("n-1") else { unreachable!() };
        match known {
            Some((session, tick)) => (machine.session, machine.tick) = (*session, *tick),
            None => (machine.fenced, machine.proven) = (false, false),
        }
        part.barrier_open = known.is_some();
        machine.heard = NOW - SECOND;
        let told = report("n-1", *session, *tick, *baton, &[77]);
        let newer = part.take_report(&cfg, &mut Paces::default(), &told, *hello, NOW);
        part.try_open_barrier();
        assert_eq!(newer, *counts, "{name}");
        let machine = &part.machines["n-1"];
        assert_eq!(machine.proven, *proven, "{name}: proven");
        assert_eq!(part.barrier_open, known.is_some() || *proven, "{name}: barrier");
        assert_eq!(machine.heard == NOW, *counts, "{name}: a sign of life");
        assert_eq!(machine.slots.len(), usize::from(*counts), "{name}: its list is adopted");
    }
}

#[test]
fn copies_do_not_put_off_the_return_of_a_silent_machine() {
    // (seconds since the takeover, whether copies come all the time, whether it is returned)
    for (after, copies, returned) in [(1, true, false), (30, true, true), (30, false, true)] {
        let mut core = core();
        if let Some(part) = core.parts.get_mut("one") {
            part.acquired = NOW;
            part.barrier_open = false;
            if let Some(machine) = part.machines.get_mut("n-1") {
                (machine.fenced, machine.proven) = (false, false);
            }
        }
        let mut gone = false;
        for step in 1..=after * 2 {
            let mut commands = vec![Command::Tick { wall: NOW, behind: false }];
            if copies {
                let report = report("n-1", 1, step, 4, &[]);
                commands.push(Command::Report { id: step, report });
            }
            let effects = core.step(NOW + step * SECOND / 2, commands);
            gone |= effects.iter().any(|e| {
                matches!(e, Effect::Cloud { call: quartzlever_wire::cloud::CloudCall::Return(h), .. }
                    if h.contains(&"n-1".to_owned()))
            });
        }
        assert_eq!(gone, returned, "{after} s, copies {copies}");
    }
}

#[test]
fn what_calls_cannot_reach_holds_up_a_recovery_for_less_time() {
    // (calls that failed, seconds since the takeover, whether the machine is given up), with
    // reports every 6 s and 10 s of silence allowed
    for (failed, after, given_up) in
        [(0, 7, false), (1, 7, false), (2, 7, true), (0, 13, true), (2, 4, false)]
    {
        let mut core = core();
        (core.cfg.workers.report, core.cfg.workers.lease) = (6 * SECOND, 34 * SECOND);
        if let Some(part) = core.parts.get_mut("one") {
            part.barrier_open = false;
            if let Some(machine) = part.machines.get_mut("n-1") {
                (machine.fenced, machine.proven) = (false, false);
                machine.failed_calls = failed;
            }
            // One that was heard, so that the zone does not count as cut off.
            let record = part.machines["n-1"].record.clone();
            part.add_machine("n-2", record, true, NOW + after * SECOND);
        }
        core.step(NOW + after * SECOND, Vec::new());
        let wanted = core.parts["one"].machines.get("n-1").and_then(|m| m.return_wanted);
        assert_eq!(wanted.is_some(), given_up, "{failed} calls, {after} s");
    }
}

#[test]
fn a_machine_that_nobody_knows_is_asked_before_it_is_claimed() {
    let alive = |host: &str| Ok(WorkerReply::Report(report(host, 1, 9, 0, &[])));
    // (whether its first report is expected, what it says when it is asked, whether it is claimed)
    for (name, expected, says, claimed) in [
        ("rented and coming up", true, None, true),
        ("there, though nobody knew", false, Some(alive("n-9")), true),
        ("gone, and a copy came late", false, Some(Err(CallError::Unknown)), false),
        ("another lives at its address", false, Some(alive("n-8")), false),
    ] {
        let mut core = core();
        core.mirror.loaded = true;
        core.hold.next = NOW + 900 * SECOND;
        if let Some(part) = core.parts.get_mut("one").filter(|_| expected) {
            let machine = Expected { kind: "m".into(), zone: "a".into(), spot: true, since: NOW };
            part.fleet.expected.insert("n-9".into(), machine);
        }
        let first = Command::Report { id: 1, report: report("n-9", 1, 1, 0, &[]) };
        let mut effects = core.step(NOW, vec![first]);
        let asked = effects.iter().find_map(|e| match e {
            Effect::Worker { token, call: WorkerCall::Status, address, .. }
                if address == "n-9:9000" =>
            {
                Some(*token)
            }
            _ => None,
        });
        assert_eq!(asked.is_some(), says.is_some(), "{name}: asked");
        if let (Some(token), Some(result)) = (asked, says) {
            effects.extend(core.step(NOW, vec![Command::Worker { token, result }]));
        }
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let key = block_key("n-9");
        let written = effects.iter().any(|e| match e {
            Effect::State { call: StateCall::Txn(txn), .. } => {
                txn.conditions.iter().any(|c| c.path == key)
            }
            _ => false,
        });
        assert_eq!(written, claimed, "{name}: claimed");
        let turned = effects.iter().any(|e| matches!(e, Effect::Answer { id: 1, status: 503, .. }));
        assert_eq!(turned, !claimed, "{name}: turned away");
    }
}

#[test]
fn a_machine_that_heeds_nothing_gets_no_more_and_is_returned() {
    // What each later report shows of the attempt that answers told it to run; whether it may
    // get more after the first of them, and whether it is returned in the end.
    for (name, shows, usable, returned) in [
        ("it hears", [true, true, true], true, false),
        ("an answer was lost", [false, true, true], false, false),
        ("it hears nothing", [false, false, false], false, true),
    ] {
        let mut core = core();
        submit(&mut core, &spec(1), 10, NOW);
        core.step(NOW, vec![Command::Report { id: 1, report: report("n-1", 1, 1, 5, &[]) }]);
        let part = &core.parts["one"];
        let attempt = part.jobs["req-1"].located.values().next().map(|p| p.attempt);
        let Some(attempt) = attempt else { panic!("{name}: not started") };
        let mut gone = false;
        for (n, shown) in shows.into_iter().enumerate() {
            let now = NOW + (n as u64 + 1) * SECOND;
            let attempts: &[u64] = if shown { &[attempt] } else { &[] };
            let next = report("n-1", 1, n as u64 + 2, 5, attempts);
            core.step(now, vec![Command::Report { id: 2 + n as u64, report: next }]);
            if n == 0 {
                let machine = &core.parts["one"].machines["n-1"];
                assert_eq!(machine.usable(), usable, "{name}");
            }
            gone |= core.parts["one"].machines["n-1"].return_wanted == Some("deaf");
        }
        let effects = core.step(NOW + 4 * SECOND, Vec::new());
        gone |= effects.iter().any(|e| {
            matches!(e, Effect::Cloud { call: quartzlever_wire::cloud::CloudCall::Return(_), .. })
        });
        assert_eq!(gone, returned, "{name}");
        // Until it is proven empty its task stays where it may be.
        let located = core.parts["one"].jobs["req-1"].located.len();
        assert_eq!(located, 1, "{name}: not started elsewhere");
    }
}

#[test]
fn nothing_waits_for_ever() {
    // (seconds since a standard job came, whether it has begun, rank of a fresh one; who is first)
    for (age, begun, rank, first) in [
        (10, false, Rank::Urgent, "req-2"),
        (10, false, Rank::Prod, "req-2"),
        (160, false, Rank::Urgent, "req-1"),
        (160, false, Rank::Prod, "req-1"),
        (160, true, Rank::Urgent, "req-2"),
        (250, true, Rank::Prod, "req-2"),
    ] {
        let mut core = core();
        core.wall_offset = Some(0);
        let mut old = spec(4);
        old.due_s = Some(20.0);
        submit(&mut core, &old, 10, NOW - age * SECOND);
        let mut fresh = spec(2);
        (fresh.id, fresh.rank) = ("req-2".into(), rank);
        submit(&mut core, &fresh, 11, NOW);
        let job = core.parts.get_mut("one").and_then(|p| p.jobs.get_mut("req-1"));
        if let Some(job) = job.filter(|_| begun) {
            job.finished.insert(0);
            job.ready.remove(0);
        }
        let order = core.parts["one"].queue_order(&core.cfg, &core.paces, NOW);
        assert_eq!(order.first().map(String::as_str), Some(first), "{age} {begun} {rank:?}");
    }
}

#[test]
fn questions_are_answered_from_a_copy_that_is_new_enough() {
    // (what the read of the revision brings, how far the copy has come; status of the answer, or
    // what is read instead, as soon as nothing better is to be hoped for)
    let read = |epoch| Ok(StateReply::Epoch(epoch));
    for (name, brings, copy, status, reads) in [
        ("as new as the revision", read(10), 10, Some(200), false),
        ("newer", read(10), 12, Some(200), false),
        ("behind", read(13), 12, None, true),
        ("no answer", Err(CallError::Refused), 12, Some(503), false),
    ] {
        let mut core = core();
        core.mirror.loaded = true;
        core.mirror.epoch = copy;
        submit(&mut core, &spec(4), 10, NOW);
        let asked = core.step(NOW, vec![Command::Lookup { id: 7, job: "req-1".into() }]);
        let token = asked.iter().find_map(|e| match e {
            Effect::State { token, call: StateCall::Epoch, .. } => Some(*token),
            _ => None,
        });
        let Some(token) = token else { panic!("{name}: the revision is not read") };
        let mut effects = core.step(NOW, vec![Command::State { token, result: brings }]);
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 7, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, status, "{name}");
        let read = effects.iter().any(
            |e| matches!(e, Effect::State { call: StateCall::Get(key), .. } if key == "live/req-1"),
        );
        assert_eq!(read, reads, "{name}: read for itself");
    }
}

#[test]
fn a_block_write_of_unknown_outcome_claims_once() {
    // (what the write brings, what the block is read as after that; machines in the end)
    let block = |names: &[&str]| {
        let record = |n: &&str| {
            let mut host = core().parts["one"].machines["n-1"].record.clone();
            host.address = format!("{n}:9000");
            ((*n).to_owned(), host)
        };
        serde_json::json!(HostBlock { m: names.iter().map(record).collect() })
    };
    for (name, brings, found, machines) in [
        ("in force", Ok(StateReply::Committed(20)), None, 2),
        ("unknown, and it was carried out", Err(CallError::Unknown), Some(block(&["n-9"])), 2),
        ("unknown, and it was not", Err(CallError::Unknown), Some(block(&["n-8"])), 3),
    ] {
        let mut core = core();
        core.mirror.loaded = true;
        core.hold.next = NOW + 900 * SECOND;
        core.want_claim(1, report("n-9", 1, 1, 0, &[]), "one", 5);
        let txn = |effects: &[Effect]| {
            effects.iter().find_map(|e| match e {
                Effect::State { token, call: StateCall::Txn(txn), .. }
                    if txn.conditions.iter().any(|c| c.path.starts_with("hosts/")) =>
                {
                    Some(*token)
                }
                _ => None,
            })
        };
        let Some(token) = txn(&core.step(NOW + SECOND, Vec::new())) else { panic!("{name}") };
        let effects = core.step(NOW + SECOND, vec![Command::State { token, result: brings }]);
        if let Some(v) = found {
            let token = effects.iter().find_map(|e| match e {
                Effect::State { token, call: StateCall::Get(_), .. } => Some(*token),
                _ => None,
            });
            let Some(token) = token else { panic!("{name}: not read back") };
            let path = block_key("n-9");
            let row = quartzlever_wire::state::Row {
                path,
                v: quartzlever_wire::Json::of(&v),
                stamp: 21,
                charter: None,
            };
            let result = Ok(StateReply::Row(Some(row)));
            core.step(NOW + 2 * SECOND, vec![Command::State { token, result }]);
            if let Some(token) = txn(&core.step(NOW + 4 * SECOND, Vec::new())) {
                let result = Ok(StateReply::Committed(22));
                core.step(NOW + 4 * SECOND, vec![Command::State { token, result }]);
            }
        }
        let part = &core.parts["one"];
        assert!(part.machines.contains_key("n-9"), "{name}");
        assert_eq!(part.machines.len(), machines, "{name}");
    }
}

#[test]
fn a_node_that_alone_is_out_of_touch_says_that_it_is_not_ready() {
    use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
    // (seconds since the state service last answered, what a peer says of it; whether the peer is
    // asked, and the answer of the health check)
    for (name, quiet, says, asked, status) in [
        ("all is well", 1, Some(true), false, 200),
        ("cut off alone", 6, Some(true), true, 503),
        ("an outage for all", 6, Some(false), true, 200),
        ("peers out of reach as well", 6, None, true, 200),
    ] {
        let mut core = core();
        core.mirror.loaded = true;
        core.wall_offset = Some(0);
        core.contact.heard = NOW;
        let now = NOW + quiet * SECOND;
        let effects = core.step(now, Vec::new());
        let token = effects.iter().find_map(|e| match e {
            Effect::Peer { token, request: PeerRequest::Contact, .. } => Some(*token),
            _ => None,
        });
        assert_eq!(token.is_some(), asked, "{name}: asked");
        if let Some(token) = token {
            let result =
                says.map(|reached| PeerAnswer::Contact { reached }).ok_or(CallError::Unknown);
            core.step(now, vec![Command::Asked { token, result }]);
        }
        let check = core.step(now, vec![Command::Ready { id: 9 }]);
        let answer = check.iter().find_map(|e| match e {
            Effect::Answer { id: 9, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, Some(status), "{name}");
    }
}

#[test]
fn a_zone_that_fell_silent_holds_up_a_recovery_for_half_a_lease() {
    // (proven before, seconds of silence, whether the machines are given up), leases of 34 s
    for (proven, quiet, given_up) in
        [(false, 16, false), (false, 18, true), (true, 18, false), (true, 36, true)]
    {
        let mut core = core();
        (core.cfg.workers.report, core.cfg.workers.lease) = (6 * SECOND, 34 * SECOND);
        if let Some(part) = core.parts.get_mut("one") {
            let record = part.machines["n-1"].record.clone();
            for name in ["n-2", "n-3"] {
                part.add_machine(name, record.clone(), false, NOW);
            }
            for machine in part.machines.values_mut() {
                (machine.fenced, machine.proven) = (proven, proven);
                machine.idle_since = None;
                machine.failed_calls = 9;
            }
            part.barrier_open = proven;
        }
        core.step(NOW + quiet * SECOND, Vec::new());
        let machines = &core.parts["one"].machines;
        let wanted = machines.values().filter(|m| m.return_wanted.is_some()).count();
        assert_eq!(wanted, if given_up { 3 } else { 0 }, "{proven} {quiet}");
    }
}
