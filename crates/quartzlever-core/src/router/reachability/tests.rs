//! Tests a node that receives no heartbeats from its partitions' workers, and peers that do.

use quartzlever_wire::store::MACHINES_SEEN_PREFIX;

use crate::testing::*;

#[test]
fn a_partition_is_given_up_when_a_peer_receives_its_heartbeats() {
    // The partition has ten machines. (seconds since the leader last received a heartbeat, how many
    // machines send heartbeats now, how many a peer reports, whether the leader was stalled,
    // whether it gives the partition up)
    for (name, silent, own, peer, was_stalled, given_up) in [
        ("only this node is cut off from the workers", 4, 0, 9, false, true),
        ("some heartbeats still arrive", 4, 1, 9, false, false),
        ("a zone or the machines failed", 4, 0, 0, false, false),
        ("few reach the peer", 4, 0, 4, false, false),
        ("the leader was stalled, with heartbeats unprocessed", 4, 0, 9, true, false),
        ("too early to tell", 1, 0, 9, false, false),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut core, NOW);
        let now = NOW + silent * SECOND;
        let mut commands = vec![
            Command::Tick { wall: NOW, was_stalled },
            Command::PeerRequest {
                id: 1,
                request: PeerRequest::MachinesSeen { partition: "one".into(), machines: peer },
            },
        ];
        for n in 1..=own {
            let heartbeat = idle_heartbeat(&format!("n-{n}"), 9, 5);
            commands.push(Command::Heartbeat { id: 10 + n, heartbeat });
        }
        let releases = transactions_on(&core.step(now, commands), "parts/one");
        assert_eq!(releases.len(), usize::from(given_up), "{name}");
        assert_eq!(core.partitions.contains_key("one"), !given_up, "{name}: at most one leader");
    }
}

#[test]
fn a_peer_reports_foreign_heartbeats_to_their_leader() {
    // (machines of the leader's partition that send heartbeats here, the number that it is notified
    // of)
    for (machines, notified) in [(2, None), (3, Some(3)), (7, Some(7))] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let records: MachineRecords =
            names.iter().map(|n| (n.clone(), machine_record_of(n, "two"))).collect();
        core.apply_group_change(&large_group_key("n-101"), records, 9);
        let senders = names.iter().take(machines).enumerate();
        let heartbeats = senders.map(|(n, name)| Command::Heartbeat {
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
        assert_eq!(found, notified, "{machines}");
    }
}

#[test]
fn an_unreachable_leader_is_notified_through_the_store() {
    // (whether the leader is reached, whether the notice is stored instead; a leader that receives
    // no heartbeats then acts on it)
    for (reached, stored) in [(true, false), (false, true)] {
        let mut peer = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        let names: Vec<String> = (101..=110).map(|n| format!("n-{n}")).collect();
        let records: MachineRecords =
            names.iter().map(|n| (n.clone(), machine_record_of(n, "two"))).collect();
        peer.apply_group_change(&large_group_key("n-101"), records, 9);
        let heartbeats = names.iter().enumerate().map(|(n, name)| Command::Heartbeat {
            id: n as u64,
            heartbeat: idle_heartbeat(name, 3, 6),
        });
        let effects = peer.step(NOW, heartbeats.collect());
        let notice = effects.iter().find_map(|e| match e {
            Effect::Peer { call_id, request: PeerRequest::MachinesSeen { .. }, .. } => {
                Some(*call_id)
            }
            _ => None,
        });
        let Some(call_id) = notice else { panic!("the leader is not notified") };
        let result = if reached { Ok(PeerAnswer::Empty) } else { Err(CallError::Refused) };
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
        assert_eq!(event.is_some(), stored, "reached {reached}");
        let Some(event) = event else { continue };
        // The notice is about partition "two"; the leader under test is node "one" with partition
        // "one".
        let Event::Write { write, v, .. } = event else { continue };
        let write = write.replacen("two", "one", 1);
        let mut leader = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut leader, NOW - 10 * SECOND);
        leader.reachability.restart_listening(NOW - 60 * SECOND);
        if let Some(partition) = leader.partitions.get_mut("one") {
            partition.acquired_at = NOW - 60 * SECOND;
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
        assert_eq!(transactions_on(&effects, "parts/one").len(), 1, "given up");
    }
}

#[test]
fn a_partition_given_up_returns_home_once_workers_are_reachable() {
    // (seconds since it was given up, whether a probe reaches a machine, whether another node holds
    // the partition, whether the home node requests it, whether the home node acquires it)
    for (name, after, reaches, held, requests, acquires) in [
        ("soon after, nobody holds it yet", 4, false, false, false, false),
        ("nobody acquires it", 14, false, false, false, true),
        ("still cut off", 40, false, true, false, false),
        ("reachable again", 40, true, true, true, false),
        ("reachable at once: not back and forth", 4, true, true, false, false),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        with_ten_machines(&mut core, NOW - 10 * SECOND);
        core.reachability.restart_listening(NOW - 60 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.acquired_at = NOW - 60 * SECOND;
        }
        core.apply_group_change(
            &large_group_key("n-1"),
            [("n-1".into(), machine_record_of("n-1", "one"))].into(),
            9,
        );
        let request = PeerRequest::MachinesSeen { partition: "one".into(), machines: 10 };
        let effects = core.step(NOW, vec![Command::PeerRequest { id: 1, request }]);
        let call_ids = transactions_on(&effects, "parts/one");
        assert_eq!(call_ids.len(), 1, "{name}: given up");
        let mut commands = vec![Command::StoreReply {
            call_id: call_ids[0],
            result: Ok(StoreReply::Committed(20)),
        }];
        commands.extend(commit_announcement(&effects));
        let (mut requested, mut acquired) = (false, false);
        for step in 1..=after * 4 {
            let now = NOW + step * SECOND / 4;
            core.lease.expire_at(now + 10 * SECOND);
            if step == 2 && held {
                let record = PartitionRecord { node: "two".into(), process: 77 };
                core.cache.record_partition("one", record, 21);
            }
            let effects = core.step(now, std::mem::take(&mut commands));
            commands.extend(commit_announcement(&effects));
            for effect in effects {
                match effect {
                    Effect::Worker { call_id, call: WorkerCall::Status, .. } => {
                        let heartbeat = WorkerReply::Status(idle_heartbeat("n-1", 30 + step, 21));
                        let result = if reaches { Ok(heartbeat) } else { Err(CallError::Unknown) };
                        commands.push(Command::WorkerReply { call_id, result });
                    }
                    Effect::Peer { request: PeerRequest::HandBack { partition }, .. } => {
                        requested |= partition == "one";
                    }
                    Effect::Store { call: StoreCall::Txn(txn), .. } => {
                        acquired |= txn.conditions.iter().any(|c| c.path == "parts/one");
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((requested, acquired), (requests, acquires), "{name}");
    }
}
