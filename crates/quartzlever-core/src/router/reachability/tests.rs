//! A node that does not hear the workers of its partitions, and peers that do.

use quartzlever_wire::store::MACHINES_SEEN_PREFIX;

use crate::testing::*;

#[test]
fn a_partition_goes_to_the_peer_that_hears_its_workers() {
    // (seconds since the leader heard anything, how many machines it hears now, how many a peer
    // says it hears, whether the leader stood still; whether it gives the partition up), of ten
    for (name, quiet, hears, peer, behind, given_up) in [
        ("cut from the workers alone", 4, 0, 9, false, true),
        ("a few hear it still", 4, 1, 9, false, false),
        ("a zone or the machines failed", 4, 0, 0, false, false),
        ("few come to the peer", 4, 0, 4, false, false),
        ("it stood still, its reports are unread", 4, 0, 9, true, false),
        ("too early to say", 1, 0, 9, false, false),
    ] {
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut core, NOW);
        let now = NOW + quiet * SECOND;
        let mut commands = vec![
            Command::Tick { wall: NOW, behind },
            Command::PeerRequest {
                id: 1,
                request: PeerRequest::MachinesSeen { partition: "one".into(), machines: peer },
            },
        ];
        for n in 1..=hears {
            let heartbeat = idle_heartbeat(&format!("n-{n}"), 9, 5);
            commands.push(Command::Heartbeat { id: 10 + n, heartbeat });
        }
        let gives = changes(&core.step(now, commands), "parts/one");
        assert_eq!(gives.len(), usize::from(given_up), "{name}");
        assert_eq!(core.partitions.contains_key("one"), !given_up, "{name}: no two are entitled");
    }
}

#[test]
fn a_peer_tells_the_leader_whom_it_hears() {
    // (machines of the peer's partition that come here, whether the leader is told)
    for (machines, told) in [(2, None), (3, Some(3)), (7, Some(7))] {
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let records: MachineRecords =
            names.iter().map(|n| (n.clone(), machine_record_of(n, "two"))).collect();
        core.apply_group_change(&large_group_key("n-101"), records, 9);
        let come = names.iter().take(machines).enumerate();
        let heartbeats = come.map(|(n, name)| Command::Heartbeat {
            id: n as u64,
            heartbeat: idle_heartbeat(name, 3, 6),
        });
        let effects = core.step(NOW, heartbeats.collect());
        let found = effects.iter().find_map(|e| match e {
            Effect::Peer {
                node,
                request: PeerRequest::MachinesSeen { partition, machines },
                ..
            } => (node == "two" && partition == "two").then_some(*machines),
            _ => None,
        });
        assert_eq!(found, told, "{machines}");
    }
}

#[test]
fn a_leader_that_no_peer_reaches_is_told_by_the_store() {
    // (whether the leader is reached; whether word is left, and then heeded by a leader that
    // hears nothing)
    for (reached, left) in [(true, false), (false, true)] {
        let mut peer = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let records: MachineRecords =
            names.iter().map(|n| (n.clone(), machine_record_of(n, "two"))).collect();
        peer.apply_group_change(&large_group_key("n-101"), records, 9);
        let heartbeats = names.iter().enumerate().map(|(n, name)| Command::Heartbeat {
            id: n as u64,
            heartbeat: idle_heartbeat(name, 3, 6),
        });
        let effects = peer.step(NOW, heartbeats.collect());
        let told = effects.iter().find_map(|e| match e {
            Effect::Peer { call_id, request: PeerRequest::MachinesSeen { .. }, .. } => {
                Some(*call_id)
            }
            _ => None,
        });
        let Some(call_id) = told else { panic!("nothing is told") };
        let result = if reached { Ok(PeerAnswer::Nothing) } else { Err(CallError::Refused) };
        let effects = peer.step(NOW, vec![Command::PeerReply { call_id, result }]);
        let event = effects.iter().find_map(|e| match e {
            Effect::Store { call: StoreCall::Txn(txn), .. } => match txn.changes.first() {
                Some(Change::Write { write, v, lease_id: Some(_) })
                    if write.starts_with(MACHINES_SEEN_PREFIX) =>
                {
                    Some(Event::Write { write: write.clone(), v: v.clone(), mod_revision: 30 })
                }
                _ => None,
            },
            _ => None,
        });
        assert_eq!(event.is_some(), left, "reached {reached}");
        let Some(event) = event else { continue };
        // The partition is called "two" there; the leader here is node one with partition "one".
        let Event::Write { write, v, .. } = event else { continue };
        let write = write.replacen("two", "one", 1);
        let mut leader = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut leader, NOW - 10 * SECOND);
        leader.reachability.restart_listening(NOW - 60 * SECOND);
        if let Some(partition) = leader.partitions.get_mut("one") {
            partition.acquired = NOW - 60 * SECOND;
        }
        let watch = leader.step(NOW, Vec::new()).into_iter().find_map(|e| match e {
            Effect::Store { call_id, call: StoreCall::Watch { .. }, .. } => Some(call_id),
            _ => None,
        });
        let Some(call_id) = watch else { panic!("no watch is open") };
        let log = vec![Event::Write { write, v, mod_revision: 30 }];
        let result = Ok(StoreReply::Watched(WatchAnswer { revision: 30, log }));
        let mut effects = leader.step(NOW, vec![Command::StoreReply { call_id, result }]);
        effects.extend(leader.step(NOW + SECOND, Vec::new()));
        assert_eq!(changes(&effects, "parts/one").len(), 1, "given up");
    }
}

#[test]
fn a_partition_given_up_comes_home_once_workers_are_reached() {
    // (seconds since it was given up, whether a call reaches a machine, whether another holds the
    // partition; whether home asks for it, whether home takes it)
    for (name, after, reaches, held, asks, takes) in [
        ("soon after, nobody has it yet", 4, false, false, false, false),
        ("nobody wants it", 14, false, false, false, true),
        ("still cut", 40, false, true, false, false),
        ("reached again", 40, true, true, true, false),
        ("reached at once: not to and fro", 4, true, true, false, false),
    ] {
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut core, NOW - 10 * SECOND);
        core.reachability.restart_listening(NOW - 60 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.acquired = NOW - 60 * SECOND;
        }
        core.apply_group_change(
            &large_group_key("n-1"),
            [("n-1".into(), machine_record_of("n-1", "one"))].into(),
            9,
        );
        let request = PeerRequest::MachinesSeen { partition: "one".into(), machines: 10 };
        let effects = core.step(NOW, vec![Command::PeerRequest { id: 1, request }]);
        let call_ids = changes(&effects, "parts/one");
        assert_eq!(call_ids.len(), 1, "{name}: given up");
        let mut told = vec![Command::StoreReply {
            call_id: call_ids[0],
            result: Ok(StoreReply::Committed(20)),
        }];
        told.extend(commit_announcement(&effects));
        let (mut asked, mut taken) = (false, false);
        for step in 1..=after * 4 {
            let now = NOW + step * SECOND / 4;
            core.lease.expire_at(now + 10 * SECOND);
            if step == 2 && held {
                let record = PartitionRecord { node: "two".into(), process: 77 };
                core.cache.record_partition("one", record, 21);
            }
            let effects = core.step(now, std::mem::take(&mut told));
            told.extend(commit_announcement(&effects));
            for effect in effects {
                match effect {
                    Effect::Worker { call_id, call: WorkerCall::Status, .. } => {
                        let heartbeat = WorkerReply::Status(idle_heartbeat("n-1", 30 + step, 21));
                        let result = if reaches { Ok(heartbeat) } else { Err(CallError::Unknown) };
                        told.push(Command::WorkerReply { call_id, result });
                    }
                    Effect::Peer { request: PeerRequest::HandBack { partition }, .. } => {
                        asked |= partition == "one";
                    }
                    Effect::Store { call: StoreCall::Txn(txn), .. } => {
                        taken |= txn.conditions.iter().any(|c| c.path == "parts/one");
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((asked, taken), (asks, takes), "{name}");
    }
}
