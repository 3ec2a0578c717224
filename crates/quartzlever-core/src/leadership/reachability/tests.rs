//! Tests of the counts of received heartbeats, the release of partitions and the probes.

use rand::SeedableRng;

use super::*;
use crate::testing::*;

#[test]
fn repeated_releases_double_the_backoff_up_to_its_maximum() {
    // (seconds at which partitions are given up, with a successful probe between two that are more
    // than 10 s apart; seconds of the last backoff)
    let cases: &[(&[Micros], Micros)] = &[
        (&[100], 15),
        (&[100, 101, 102], 15),
        (&[100, 150], 30),
        (&[100, 150, 250], 60),
        (&[100, 150, 250, 350, 500, 700, 1_200, 2_000], 600),
        (&[100, 150, 1_000], 15),
    ];
    for (times, backoff) in cases {
        let mut outbox = Outbox::new(LogLevel::Error, 0);
        let mut reachability = Reachability::new(0);
        let mut last = 0;
        for at in *times {
            if at - last > 10 {
                reachability.handle_probe_result(true, &mut outbox);
            }
            last = *at;
            reachability.record_release(at * SECOND, "one", 5, &mut outbox);
        }
        assert_eq!(reachability.backoff, backoff * SECOND, "{times:?}");
    }
}

#[test]
fn a_partition_is_given_up_only_if_a_peer_sees_most_machines_and_this_node_almost_none() {
    let config = core().config;
    // With a heartbeat interval of a second: (machines of the partition, how many of them send
    // heartbeats here, seconds since the partition was acquired, since this process began to
    // listen, and since the peer's report; machines that the peer counts; whether the partition is
    // given up)
    for (n, (all, seen, acquired, listening, reported, peer, gives_up)) in [
        (10, 0, 60, 60, 0, 10, true),
        (10, 0, 60, 60, 0, 5, true),
        (10, 0, 60, 60, 0, 4, false),
        (10, 1, 60, 60, 0, 10, false),
        (20, 1, 60, 60, 0, 10, true),
        (10, 0, 1, 60, 0, 10, false),
        (10, 0, 60, 1, 0, 10, false),
        (10, 0, 2, 2, 0, 10, true),
        (10, 0, 60, 60, 2, 10, true),
        (10, 0, 60, 60, 3, 10, false),
        (2, 0, 60, 60, 0, 2, false),
        (3, 0, 60, 60, 0, 2, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut reachability = Reachability::new(NOW - listening * SECOND);
        reachability.note_machines_seen(NOW - reported * SECOND, "one".into(), peer);
        let own = |partition| OwnHeartbeats {
            partition,
            acquired_at: NOW - acquired * SECOND,
            last_heartbeats: (0..all).map(|m| if m < seen { NOW } else { NOW - 9 * SECOND }),
        };
        let peer_sees_more =
            |partition| reachability.peer_sees_more_machines(NOW, &config, own(partition));
        assert_eq!((peer_sees_more("one"), peer_sees_more("two")), (gives_up, false), "{n}");
    }
}

#[test]
fn the_highest_peer_count_is_used_while_it_is_valid() {
    // (second and count of each peer's report, count used after the last one)
    let cases: &[(&[(Micros, u32)], u32)] = &[
        (&[(0, 4), (1, 2)], 4),
        (&[(0, 2), (1, 4)], 4),
        (&[(0, 4), (3, 2)], 4),
        (&[(0, 4), (4, 2)], 2),
    ];
    for (reports, machines) in cases {
        let mut reachability = Reachability::new(NOW);
        for (second, count) in *reports {
            reachability.note_machines_seen(NOW + second * SECOND, "one".into(), *count);
        }
        assert_eq!(reachability.machines_seen["one"].machines, *machines, "{reports:?}");
    }
}

#[test]
fn machines_that_stop_sending_heartbeats_here_are_no_longer_reported() {
    let config = core().config;
    let mut reachability = Reachability::new(NOW);
    for (partition, machines) in [("two", 4), ("three", 2)] {
        for machine in 0..machines {
            // The first machine's heartbeat is a second older than the others'.
            let at = if machine == 0 { NOW - SECOND } else { NOW };
            reachability.note_foreign_heartbeat(at, partition, &format!("n-{machine}"));
        }
    }
    let mut reports = |after: Micros| reachability.foreign_machines(NOW + after, &config);
    let of_two = |machines| vec![ForeignMachines { partition: "two".into(), machines }];
    assert_eq!(reports(SECOND - 1), of_two(4));
    assert_eq!(reports(SECOND), of_two(3));
    assert!(reports(2 * SECOND).is_empty());
    assert!(reachability.foreign_heartbeats.is_empty(), "forgotten");
}

#[test]
fn machines_of_the_home_partition_are_probed_after_the_backoff() {
    let config = core().config;
    let machines: MachineRecords = [("n-1", "two"), ("n-2", "one")]
        .map(|(name, partition)| (name.to_owned(), machine_record_of(name, partition)))
        .into();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    let mut probe = |reachability: &mut Reachability, now, machines: &MachineRecords| {
        let permit = Permit::until(NOW + 99 * SECOND);
        reachability.poll_probe(now, &config, machines.iter(), permit, &mut rng, &mut outbox);
        let address = |effect| match effect {
            Effect::Worker { address, call: WorkerCall::Status, .. } => Some(address),
            _ => None,
        };
        outbox.take_effects().into_iter().filter_map(address).collect::<Vec<_>>()
    };
    let mut unused_outbox = Outbox::new(LogLevel::Error, NOW);
    let mut reachability = Reachability::new(NOW);
    assert!(probe(&mut reachability, NOW, &machines).is_empty(), "no partition was given up");
    reachability.record_release(NOW, "one", 5, &mut unused_outbox);
    let due = NOW + INITIAL_BACKOFF;
    assert!(probe(&mut reachability, due - 1, &machines).is_empty());
    assert_eq!(probe(&mut reachability, due, &machines), ["n-2:9000"]);
    assert!(probe(&mut reachability, due + 2 * SECOND - 1, &machines).is_empty());
    reachability.handle_probe_result(false, &mut unused_outbox);
    assert!(reachability.is_isolated_from_workers());
    assert_eq!(probe(&mut reachability, due + 2 * SECOND, &machines), ["n-2:9000"]);
    reachability.handle_probe_result(true, &mut unused_outbox);
    assert!(!reachability.is_isolated_from_workers());
    reachability.record_release(due + 3 * SECOND, "one", 5, &mut unused_outbox);
    assert!(reachability.is_isolated_from_workers());
    // Once a probe finds no machines, the node no longer counts as cut off.
    assert!(probe(&mut reachability, due + 60 * SECOND, &MachineRecords::new()).is_empty());
    assert!(!reachability.is_isolated_from_workers());
}
