//! Failures that come together, as tables: parts that change hands while much else goes on, nodes
//! that stand still or lose their workers, and one node that is left with everything.

use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, Room, ThiefRoom};
use quartzlever_wire::state::{
    Change, Event, HEARD, HostRecord, Hosts, LiveRecord, PartRecord, Share, StateCall, StateReply,
    WatchAnswer, block_key,
};
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::{Report, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros, Ranges, SECOND};

use crate::engine::Core;
use crate::messages::{Command, Effect, Token};
use crate::part::Part;
use crate::placement::Paces;
use crate::regressions::{NOW, core, spec};

/// The tokens of the transactions among the effects that change this key.
fn changes(effects: &[Effect], key: &str) -> Vec<Token> {
    let of = |e: &Effect| match e {
        Effect::State { token, call: StateCall::Txn(txn), .. } => {
            txn.conditions.iter().any(|c| c.path == key).then_some(*token)
        }
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

/// A core with a copy of the records, in which these nodes hold parts.
fn with_copy(parts: &[(&str, &str, u64)]) -> Core {
    let mut core = core();
    core.mirror.loaded = true;
    core.wall_offset = Some(0);
    core.hold.next = NOW + 900 * SECOND;
    for (part, node, stamp) in parts {
        let process = if *node == core.cfg.node { core.process } else { 77 };
        let record = PartRecord { node: (*node).into(), process };
        core.mirror.parts.insert((*part).into(), (record, *stamp));
    }
    core
}

#[test]
fn a_part_is_given_back_once() {
    // (what the release brings, how many more releases follow within a second)
    for (name, brings, more) in [
        ("given up", Ok(StateReply::Committed(20)), 0),
        ("another's already", Ok(StateReply::Conflict(vec!["parts/two".into()])), 0),
        ("not carried out", Err(CallError::Refused), 1),
        ("unknown", Err(CallError::Unknown), 1),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "one", 6)]);
        core.home_asks.insert("two".into(), (NOW - 60 * SECOND, NOW));
        let first = changes(&core.step(NOW, Vec::new()), "parts/two");
        assert_eq!(first.len(), 1, "{name}: asked for long enough");
        // The copy does not know of it yet; the home node still asks.
        let result = Command::State { token: first[0], result: brings };
        let mut again = changes(&core.step(NOW + SECOND / 20, vec![result]), "parts/two");
        for step in 2..20 {
            again.extend(changes(&core.step(NOW + step * SECOND / 20, Vec::new()), "parts/two"));
        }
        assert_eq!(again.len(), more, "{name}");
    }
}

#[test]
fn a_node_without_a_part_accepts_into_anothers() {
    // (whether this node holds its part, who holds parts by its copy; the condition of the
    // acceptance beside the job's own keys, none if the job is not accepted at all)
    type Case<'a> = (bool, &'a [(&'a str, &'a str, u64)], Option<(&'a str, u64)>);
    let cases: &[Case] = &[
        (true, &[("one", "one", 5), ("two", "two", 6)], Some(("parts/one", 5))),
        (false, &[("one", "two", 8), ("two", "two", 8)], Some(("parts/", 8))),
        (false, &[("two", "two", 6)], Some(("parts/two", 6))),
        (false, &[], None),
    ];
    for (n, (holds, parts, condition)) in cases.iter().enumerate() {
        let mut core = with_copy(parts);
        if !holds {
            core.parts.clear();
        }
        let submit = Command::Submit { id: 9, spec: Box::new(spec(2)) };
        let effects = core.step(NOW, vec![submit]);
        let found = effects.iter().find_map(|e| match e {
            Effect::State { call: StateCall::Txn(txn), .. } if !txn.changes.is_empty() => {
                let live = txn.conditions.iter().any(|c| c.path == "live/req-1");
                let part = txn.conditions.iter().find(|c| c.path.starts_with("parts/"));
                part.filter(|_| live).map(|c| (c.path.clone(), c.stamp))
            }
            _ => None,
        });
        assert_eq!(found.is_some(), condition.is_some(), "case {n}");
        if let (Some(found), Some(wanted)) = (found, condition) {
            assert!(found.0.starts_with(wanted.0) && found.1 == wanted.1, "case {n}: {found:?}");
        }
    }
}

fn host(name: &str, part: &str) -> HostRecord {
    let record = core().parts["one"].machines["n-1"].record.clone();
    HostRecord { part: part.into(), address: format!("{name}:9000"), ..record }
}

fn report(name: &str, tick: u64, baton: u64) -> Report {
    Report {
        host: name.into(),
        address: format!("{name}:9000"),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick,
        baton,
        warning_s: None,
        tasks: Vec::new(),
    }
}

/// Gives part "one" ten machines, heard last at this time.
fn ten_machines(core: &mut Core, heard: Micros) {
    let Some(part) = core.parts.get_mut("one") else { return };
    for n in 1..=10 {
        let name = format!("n-{n}");
        part.add_machine(&name, host(&name, "one"), true, heard);
        if let Some(machine) = part.machines.get_mut(&name) {
            (machine.heard, machine.answered, machine.session) = (heard, heard, 1);
            // Idle ones go for another reason.
            machine.idle_since = Some(NOW + 900 * SECOND);
        }
    }
}

fn returned(effects: &[Effect]) -> usize {
    let names = |e: &Effect| match e {
        Effect::Cloud { call: CloudCall::Return(hosts), .. } => hosts.len(),
        _ => 0,
    };
    effects.iter().map(names).sum()
}

#[test]
fn nobody_is_silent_to_a_node_that_did_not_listen() {
    // (seconds since anything was heard; whether the process stood still or is behind; how many
    // reports are in the first batch after that; machines returned)
    for (name, quiet, behind, heard, gone) in [
        ("all is silent, and the node listened", 13, false, 0, 10),
        ("it stood still, and nothing is read yet", 13, true, 0, 0),
        ("it stood still, and has read some", 13, true, 4, 0),
        ("it listened, and some are there", 13, false, 4, 6),
    ] {
        let mut core = with_copy(&[("one", "one", 5)]);
        ten_machines(&mut core, NOW);
        let now = NOW + quiet * SECOND;
        let mut commands = vec![Command::Tick { wall: NOW, behind }];
        for n in 1..=heard {
            let report = report(&format!("n-{n}"), 9, 5);
            commands.push(Command::Report { id: n, report });
        }
        assert_eq!(returned(&core.step(now, commands)), gone, "{name}");
        // In the end the silent ones go all the same.
        let mut late = 0;
        for step in 1..=30 {
            let now = now + step * SECOND / 2;
            let reports = (1..=heard).map(|n| Command::Report {
                id: 100 + n,
                report: report(&format!("n-{n}"), 10 + step, 5),
            });
            late += returned(&core.step(now, reports.collect()));
        }
        assert_eq!(late + gone, 10 - heard as usize, "{name}: later");
    }
}

#[test]
fn a_part_goes_to_the_peer_that_hears_its_workers() {
    // (seconds since the holder heard anything, how many machines it hears now, how many a peer
    // says it hears, whether the holder stood still; whether it gives the part up), of ten
    for (name, quiet, hears, peer, behind, given_up) in [
        ("cut from the workers alone", 4, 0, 9, false, true),
        ("a few hear it still", 4, 1, 9, false, false),
        ("a zone or the machines failed", 4, 0, 0, false, false),
        ("few come to the peer", 4, 0, 4, false, false),
        ("it stood still, its reports are unread", 4, 0, 9, true, false),
        ("too early to say", 1, 0, 9, false, false),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        ten_machines(&mut core, NOW);
        let now = NOW + quiet * SECOND;
        let mut commands = vec![
            Command::Tick { wall: NOW, behind },
            Command::Peer {
                id: 1,
                request: PeerRequest::Heard { part: "one".into(), machines: peer },
            },
        ];
        for n in 1..=hears {
            let report = report(&format!("n-{n}"), 9, 5);
            commands.push(Command::Report { id: 10 + n, report });
        }
        let gives = changes(&core.step(now, commands), "parts/one");
        assert_eq!(gives.len(), usize::from(given_up), "{name}");
        assert_eq!(core.parts.contains_key("one"), !given_up, "{name}: no two are entitled");
    }
}

#[test]
fn a_peer_tells_the_holder_whom_it_hears() {
    // (machines of the peer's part that come here, whether the holder is told)
    for (machines, told) in [(2, None), (3, Some(3)), (7, Some(7))] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let hosts: Hosts = names.iter().map(|n| (n.clone(), host(n, "two"))).collect();
        core.block_seen(&block_key("n-101"), hosts, 9);
        let come = names.iter().take(machines).enumerate();
        let reports =
            come.map(|(n, name)| Command::Report { id: n as u64, report: report(name, 3, 6) });
        let effects = core.step(NOW, reports.collect());
        let found = effects.iter().find_map(|e| match e {
            Effect::Peer { node, request: PeerRequest::Heard { part, machines }, .. } => {
                (node == "two" && part == "two").then_some(*machines)
            }
            _ => None,
        });
        assert_eq!(found, told, "{machines}");
    }
}

#[test]
fn a_holder_that_no_peer_reaches_is_told_by_the_state_service() {
    // (whether the holder is reached; whether word is left, and then heeded by a holder that
    // hears nothing)
    for (reached, left) in [(true, false), (false, true)] {
        let mut peer = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let hosts: Hosts = names.iter().map(|n| (n.clone(), host(n, "two"))).collect();
        peer.block_seen(&block_key("n-101"), hosts, 9);
        let reports = names
            .iter()
            .enumerate()
            .map(|(n, name)| Command::Report { id: n as u64, report: report(name, 3, 6) });
        let effects = peer.step(NOW, reports.collect());
        let told = effects.iter().find_map(|e| match e {
            Effect::Peer { token, request: PeerRequest::Heard { .. }, .. } => Some(*token),
            _ => None,
        });
        let Some(token) = told else { panic!("nothing is told") };
        let result = if reached { Ok(PeerAnswer::Nothing) } else { Err(CallError::Refused) };
        let effects = peer.step(NOW, vec![Command::Asked { token, result }]);
        let event = effects.iter().find_map(|e| match e {
            Effect::State { call: StateCall::Txn(txn), .. } => match txn.changes.first() {
                Some(Change::Write { write, v, charter: Some(_) }) if write.starts_with(HEARD) => {
                    Some(Event::Write { write: write.clone(), v: v.clone(), stamp: 30 })
                }
                _ => None,
            },
            _ => None,
        });
        assert_eq!(event.is_some(), left, "reached {reached}");
        let Some(event) = event else { continue };
        // The part is called "two" there; the holder here is node one with part "one".
        let Event::Write { write, v, .. } = event else { continue };
        let write = write.replacen("two", "one", 1);
        let mut holder = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        ten_machines(&mut holder, NOW - 10 * SECOND);
        holder.hearing.attentive = NOW - 60 * SECOND;
        if let Some(part) = holder.parts.get_mut("one") {
            part.acquired = NOW - 60 * SECOND;
        }
        let watch = holder.step(NOW, Vec::new()).into_iter().find_map(|e| match e {
            Effect::State { token, call: StateCall::Watch { .. }, .. } => Some(token),
            _ => None,
        });
        let Some(token) = watch else { panic!("no watch is open") };
        let log = vec![Event::Write { write, v, stamp: 30 }];
        let result = Ok(StateReply::Watched(WatchAnswer { epoch: 30, log }));
        let mut effects = holder.step(NOW, vec![Command::State { token, result }]);
        effects.extend(holder.step(NOW + SECOND, Vec::new()));
        assert_eq!(changes(&effects, "parts/one").len(), 1, "given up");
    }
}

#[test]
fn a_part_given_up_comes_home_once_workers_are_reached() {
    // (seconds since it was given up, whether a call reaches a machine, whether another holds the
    // part; whether home asks for it, whether home takes it)
    for (name, after, reaches, held, asks, takes) in [
        ("soon after, nobody has it yet", 4, false, false, false, false),
        ("nobody wants it", 14, false, false, false, true),
        ("still cut", 40, false, true, false, false),
        ("reached again", 40, true, true, true, false),
        ("reached at once: not to and fro", 4, true, true, false, false),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        ten_machines(&mut core, NOW - 10 * SECOND);
        core.hearing.attentive = NOW - 60 * SECOND;
        if let Some(part) = core.parts.get_mut("one") {
            part.acquired = NOW - 60 * SECOND;
        }
        core.block_seen(&block_key("n-1"), [("n-1".into(), host("n-1", "one"))].into(), 9);
        let request = PeerRequest::Heard { part: "one".into(), machines: 10 };
        let effects = core.step(NOW, vec![Command::Peer { id: 1, request }]);
        let tokens = changes(&effects, "parts/one");
        assert_eq!(tokens.len(), 1, "{name}: given up");
        let mut told =
            vec![Command::State { token: tokens[0], result: Ok(StateReply::Committed(20)) }];
        let (mut asked, mut taken) = (false, false);
        for step in 1..=after * 4 {
            let now = NOW + step * SECOND / 4;
            core.hold.sure_until = now + 10 * SECOND;
            if step == 2 && held {
                let record = PartRecord { node: "two".into(), process: 77 };
                core.mirror.parts.insert("one".into(), (record, 21));
            }
            for effect in core.step(now, std::mem::take(&mut told)) {
                match effect {
                    Effect::Worker { token, call: WorkerCall::Status, .. } => {
                        let report = WorkerReply::Report(report("n-1", 30 + step, 21));
                        let result = if reaches { Ok(report) } else { Err(CallError::Unknown) };
                        told.push(Command::Worker { token, result });
                    }
                    Effect::Peer { request: PeerRequest::HandBack { part }, .. } => {
                        asked |= part == "one";
                    }
                    Effect::State { call: StateCall::Txn(txn), .. } => {
                        taken |= txn.conditions.iter().any(|c| c.path == "parts/one");
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((asked, taken), (asks, takes), "{name}");
    }
}

/// Submits a job of so many tasks of 2 processors for 3 s each into part "one".
fn queue(core: &mut Core, tasks: u32, rank: Rank, cpus: f64) {
    let job = JobSpec { rank, cpus, ..spec(tasks) };
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(tasks) };
    let shares = vec![share];
    let finished = Ranges::default();
    core.absorb(LiveRecord { job, since: NOW, started: false, shares, finished }, 10);
}

#[test]
fn a_part_with_a_queue_takes_from_a_much_longer_one_only() {
    // (tasks ready beside the four that run, the peer's movable tasks and its load; whether the
    // part goes and takes)
    for (name, tasks, ready, work, cpus, takes) in [
        ("both last 12 s", 20, 16, 96.0, 8.0, false),
        ("longer", 20, 16, 240.0, 8.0, false),
        ("much longer", 20, 16, 320.0, 8.0, true),
        ("no machines over there", 20, 1, 6.0, 0.0, true),
        ("much longer, but bound to stay", 20, 0, 320.0, 8.0, false),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        ready_machine(&mut core);
        queue(&mut core, tasks, Rank::Standard, 2.0);
        let mut effects = core.step(NOW, Vec::new());
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let asked = effects.iter().find_map(|e| match e {
            Effect::Peer { token, request: PeerRequest::Counts { .. }, .. } => Some(*token),
            _ => None,
        });
        let Some(token) = asked else { panic!("{name}: nobody is asked") };
        let load = Load { work, cpus };
        let result = Ok(PeerAnswer::Counts { ready, load });
        let effects = core.step(NOW + SECOND, vec![Command::Asked { token, result }]);
        let found = effects.iter().any(|e| {
            matches!(e, Effect::Peer { request: PeerRequest::Steal { load: Some(_), .. }, .. })
        });
        assert_eq!(found, takes, "{name}");
    }
}

/// Makes the machine of part "one" usable.
fn ready_machine(core: &mut Core) {
    let cfg = core.cfg.clone();
    if let Some(part) = core.parts.get_mut("one") {
        part.take_report(&cfg, &mut Paces::default(), &report("n-1", 1, 5), true, NOW);
    }
}

#[test]
fn what_evens_out_two_queues_moves_and_nothing_urgent() {
    // (rank, processors a task, whether the victim has a machine of 8, the thief's work; tasks
    // that move), of 20, of which 4 run where there is a machine
    for (name, rank, cpus, machine, work, moves) in [
        ("half of what is ready", Rank::Standard, 2.0, true, 0.0, 8),
        ("the thief has a queue", Rank::Standard, 2.0, true, 48.0, 4),
        ("both last equally long", Rank::Standard, 2.0, true, 96.0, 0),
        ("urgent ones start here", Rank::Urgent, 2.0, true, 0.0, 0),
        ("unless nothing is here", Rank::Urgent, 2.0, false, 0.0, 10),
        ("too large for the thief", Rank::Standard, 9.0, false, 0.0, 0),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "two", 6)]);
        if machine {
            ready_machine(&mut core);
        }
        queue(&mut core, 20, rank, cpus);
        core.step(NOW, Vec::new());
        core.step(NOW + 2 * SECOND, Vec::new());
        let room = Room {
            kind: "m".into(),
            zone: "a".into(),
            spot: true,
            cpus: 8.0,
            gpus: 0.0,
            ram_gb: 64.0,
        };
        let request = PeerRequest::Steal {
            part: "two".into(),
            term: 6,
            rank: Rank::BestEffort,
            thief: ThiefRoom { free: vec![room] },
            load: Some(Load { work, cpus: 8.0 }),
        };
        core.step(NOW + 2 * SECOND, vec![Command::Peer { id: 1, request }]);
        let cut = core.parts["one"].jobs["req-1"].cutting.len();
        assert_eq!(cut, moves, "{name}");
    }
}

#[test]
fn only_who_reaches_the_state_service_names_a_holder() {
    // (seconds since the state service last answered, who holds part "two" by the copy; the
    // status that a worker of that part gets)
    for (quiet, holder, status) in
        [(1, "two", 421), (3, "two", 421), (5, "two", 503), (1, "one", 503)]
    {
        let mut core = with_copy(&[("one", "one", 5), ("two", holder, 6)]);
        core.block_seen(&block_key("n-7"), [("n-7".into(), host("n-7", "two"))].into(), 9);
        core.contact.heard = NOW;
        let come = Command::Report { id: 4, report: report("n-7", 3, 6) };
        let effects = core.step(NOW + quiet * SECOND, vec![come]);
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 4, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, Some(status), "{quiet} s, {holder}");
    }
}

#[test]
fn a_pressed_part_finds_the_other_parts_of_its_node() {
    // (whether the part is pressed; whether the other one takes its urgent tasks)
    for pressed in [false, true] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "one", 6)]);
        queue(&mut core, 4, Rank::Urgent, 2.0);
        // Part two has a machine, full of lower work, and a queue of that.
        let mut two = Part::new("two", 6, core.types.clone(), NOW);
        (two.loaded, two.barrier_open) = (true, true);
        two.add_machine("n-2", host("n-2", "two"), true, NOW);
        core.parts.insert("two".into(), two);
        let cfg = core.cfg.clone();
        if let Some(part) = core.parts.get_mut("two") {
            part.take_report(&cfg, &mut Paces::default(), &report("n-2", 1, 6), true, NOW);
        }
        let job = JobSpec { id: "req-2".into(), rank: Rank::Standard, ..spec(8) };
        let share = Share { part: "two".into(), term: 6, tasks: Ranges::first(8) };
        let finished = Ranges::default();
        let shares = vec![share];
        core.absorb(LiveRecord { job, since: NOW, started: false, shares, finished }, 11);
        core.step(NOW, Vec::new());
        core.step(NOW + 2 * SECOND, Vec::new());
        core.stealing = crate::stealing::Stealing::new(&core.cfg);
        if let Some(part) = core.parts.get_mut("one") {
            part.pressed = pressed;
            // Whatever the steps have moved is here again.
            if let Some(job) = part.jobs.get_mut("req-1") {
                (job.ready, job.cutting) = (Ranges::first(4), Ranges::default());
                job.writing = false;
            }
        }
        core.keep_stealing();
        let cut = core.parts["one"].jobs["req-1"].cutting.len();
        assert_eq!(cut > 0, pressed, "pressed {pressed}");
    }
}
