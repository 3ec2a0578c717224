//! Who hears whose workers.

use super::*;
use crate::testing::*;

#[test]
fn a_part_goes_to_and_fro_ever_more_seldom() {
    // (seconds at which parts are given up, with workers reached between them if they are more
    // than 10 s apart; seconds of the last wait)
    let cases: &[(&[Micros], Micros)] = &[
        (&[100], 15),
        (&[100, 101, 102], 15),
        (&[100, 150], 30),
        (&[100, 150, 250], 60),
        (&[100, 150, 250, 350, 500, 700, 1_200, 2_000], 600),
        (&[100, 150, 1_000], 15),
    ];
    for (times, wait) in cases {
        let mut reachability = Reachability::new(0);
        let mut last = 0;
        for at in *times {
            if at - last > 10 {
                reachability.lost = None;
            }
            last = *at;
            reachability.lose(at * SECOND);
        }
        assert_eq!(reachability.wait, wait * SECOND, "{times:?}");
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
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
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
            let report = report_idle(&format!("n-{n}"), 9, 5);
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
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let hosts: Hosts = names.iter().map(|n| (n.clone(), host_record(n, "two"))).collect();
        core.block_seen(&block_key("n-101"), hosts, 9);
        let come = names.iter().take(machines).enumerate();
        let reports =
            come.map(|(n, name)| Command::Report { id: n as u64, report: report_idle(name, 3, 6) });
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
        let mut peer = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let hosts: Hosts = names.iter().map(|n| (n.clone(), host_record(n, "two"))).collect();
        peer.block_seen(&block_key("n-101"), hosts, 9);
        let reports = names
            .iter()
            .enumerate()
            .map(|(n, name)| Command::Report { id: n as u64, report: report_idle(name, 3, 6) });
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
        let mut holder = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        ten_machines(&mut holder, NOW - 10 * SECOND);
        holder.reachability.attentive = NOW - 60 * SECOND;
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
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        ten_machines(&mut core, NOW - 10 * SECOND);
        core.reachability.attentive = NOW - 60 * SECOND;
        if let Some(part) = core.parts.get_mut("one") {
            part.acquired = NOW - 60 * SECOND;
        }
        core.block_seen(&block_key("n-1"), [("n-1".into(), host_record("n-1", "one"))].into(), 9);
        let request = PeerRequest::Heard { part: "one".into(), machines: 10 };
        let effects = core.step(NOW, vec![Command::Peer { id: 1, request }]);
        let tokens = changes(&effects, "parts/one");
        assert_eq!(tokens.len(), 1, "{name}: given up");
        let mut told =
            vec![Command::State { token: tokens[0], result: Ok(StateReply::Committed(20)) }];
        told.extend(commit_announcement(&effects));
        let (mut asked, mut taken) = (false, false);
        for step in 1..=after * 4 {
            let now = NOW + step * SECOND / 4;
            core.lease.sure_until = now + 10 * SECOND;
            if step == 2 && held {
                let record = PartRecord { node: "two".into(), process: 77 };
                core.cache.parts.insert("one".into(), (record, 21));
            }
            let effects = core.step(now, std::mem::take(&mut told));
            told.extend(commit_announcement(&effects));
            for effect in effects {
                match effect {
                    Effect::Worker { token, call: WorkerCall::Status, .. } => {
                        let report = WorkerReply::Report(report_idle("n-1", 30 + step, 21));
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
