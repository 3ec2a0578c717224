//! Who hears whose workers.

use rand::SeedableRng;

use super::*;
use crate::testing::*;

#[test]
fn a_partition_goes_to_and_fro_ever_more_seldom() {
    // (seconds at which partitions are given up, with workers reached between them if they are more
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
        let mut outbox = Outbox::new(LogLevel::Error, 0);
        let mut reachability = Reachability::new(0);
        let mut last = 0;
        for at in *times {
            if at - last > 10 {
                reachability.probed(true, &mut outbox);
            }
            last = *at;
            reachability.give_up(at * SECOND, "one", 5, &mut outbox);
        }
        assert_eq!(reachability.wait, wait * SECOND, "{times:?}");
    }
}

#[test]
fn a_peers_word_counts_only_beside_what_is_heard_here() {
    let config = core().config;
    // (machines of the partition, how many of them are heard here, seconds since the partition was
    // acquired, since this process listens, and since the peer's word; machines that the peer hears;
    // whether it hears more), with an interval of a second
    for (n, (all, heard, acquired, listening, said, peer, sees_more)) in [
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
        reachability.note_machines_seen(NOW - said * SECOND, "one".into(), peer);
        let own = |partition| OwnHeartbeats {
            partition,
            acquired_at: NOW - acquired * SECOND,
            last_heartbeats: (0..all).map(|m| if m < heard { NOW } else { NOW - 9 * SECOND }),
        };
        let is_seen_better =
            |partition| reachability.peer_sees_more_machines(NOW, &config, own(partition));
        assert_eq!((is_seen_better("one"), is_seen_better("two")), (sees_more, false), "{n}");
    }
}

#[test]
fn of_several_peers_the_one_that_hears_most_counts_while_its_word_is_fresh() {
    // (seconds of each peer's word and its machines; what counts in the end)
    let cases: &[(&[(Micros, u32)], u32)] = &[
        (&[(0, 4), (1, 2)], 4),
        (&[(0, 2), (1, 4)], 4),
        (&[(0, 4), (3, 2)], 4),
        (&[(0, 4), (4, 2)], 2),
    ];
    for (words, machines) in cases {
        let mut reachability = Reachability::new(NOW);
        for (second, count) in *words {
            reachability.note_machines_seen(NOW + second * SECOND, "one".into(), *count);
        }
        assert_eq!(reachability.machines_seen["one"].machines, *machines, "{words:?}");
    }
}

#[test]
fn machines_that_do_not_come_any_more_are_not_told_of() {
    let config = core().config;
    let mut reachability = Reachability::new(NOW);
    for (partition, machines) in [("two", 4), ("three", 2)] {
        for machine in 0..machines {
            // The first comes a second before the others.
            let at = if machine == 0 { NOW - SECOND } else { NOW };
            reachability.note_foreign_heartbeat(at, partition, &format!("n-{machine}"));
        }
    }
    let mut told = |after: Micros| reachability.foreign_machines(NOW + after, &config);
    let of_two = |machines| vec![ForeignMachines { partition: "two".into(), machines }];
    assert_eq!(told(SECOND - 1), of_two(4));
    assert_eq!(told(SECOND), of_two(3));
    assert!(told(2 * SECOND).is_empty());
    assert!(reachability.foreign_heartbeats.is_empty(), "forgotten");
}

#[test]
fn machines_of_home_are_tried_after_the_wait() {
    let config = core().config;
    let machines: MachineRecords = [("n-1", "two"), ("n-2", "one")]
        .map(|(name, partition)| (name.to_owned(), machine_record_of(name, partition)))
        .into();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    let mut tried = |reachability: &mut Reachability, now, machines: &MachineRecords| {
        let until = NOW + 99 * SECOND;
        reachability.poll_probe(now, &config, machines.iter(), until, &mut rng, &mut outbox);
        let address = |effect| match effect {
            Effect::Worker { address, call: WorkerCall::Status, .. } => Some(address),
            _ => None,
        };
        outbox.take_effects().into_iter().filter_map(address).collect::<Vec<_>>()
    };
    let mut quiet = Outbox::new(LogLevel::Error, NOW);
    let mut reachability = Reachability::new(NOW);
    assert!(tried(&mut reachability, NOW, &machines).is_empty(), "nothing was given up");
    reachability.give_up(NOW, "one", 5, &mut quiet);
    let due = NOW + FIRST_WAIT;
    assert!(tried(&mut reachability, due - 1, &machines).is_empty());
    assert_eq!(tried(&mut reachability, due, &machines), ["n-2:9000"]);
    assert!(tried(&mut reachability, due + 2 * SECOND - 1, &machines).is_empty());
    reachability.probed(false, &mut quiet);
    assert!(reachability.is_cut_from_workers());
    assert_eq!(tried(&mut reachability, due + 2 * SECOND, &machines), ["n-2:9000"]);
    reachability.probed(true, &mut quiet);
    assert!(!reachability.is_cut_from_workers());
    // Nothing to try it on.
    reachability.give_up(due + 3 * SECOND, "one", 5, &mut quiet);
    assert!(reachability.is_cut_from_workers());
    assert!(tried(&mut reachability, due + 60 * SECOND, &MachineRecords::new()).is_empty());
    assert!(!reachability.is_cut_from_workers());
}
