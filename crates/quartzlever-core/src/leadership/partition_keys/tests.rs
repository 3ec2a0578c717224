//! Decisions on the keys of partitions, and changes of keys under way.

use rand::SeedableRng;

use super::*;
use crate::testing::*;

impl PartitionKeys {
    /// Whether a home node has asked for this partition.
    pub(crate) fn is_asked_for(&self, partition: &str) -> bool {
        self.handback_requests.contains_key(partition)
    }
}

/// The bookkeeping of node one, that started long ago.
fn keys() -> PartitionKeys {
    PartitionKeys::new("one", 1, NOW - 60 * SECOND)
}

fn circumstances(config: &Config, now: Micros) -> Circumstances<'_> {
    Circumstances { now, config, is_cut_from_workers: false, watch_delay: 0 }
}

#[test]
fn what_is_done_depends_on_who_holds_the_key() {
    let config = core().config;
    let acquire = KeyDecision::Acquire { mod_revision: 7 };
    let evict = KeyDecision::Evict { mod_revision: 7 };
    let asks = KeyDecision::RequestHandback { leader: "two" };
    // (partition, its leader's node and process, whether that is outdated, whether this node is cut
    // from the workers; what is done)
    for (n, (name, node, process, is_outdated, is_cut_from_workers, decision)) in [
        ("one", "one", 1, false, false, KeyDecision::Keep),
        ("two", "one", 1, false, false, KeyDecision::Keep),
        ("one", "one", 9, false, false, acquire),
        // A former process of this node is dead, whatever its version.
        ("two", "one", 9, true, false, acquire),
        ("one", "two", 2, false, false, asks),
        ("one", "two", 2, false, true, KeyDecision::Keep),
        ("one", "two", 2, true, false, evict),
        ("two", "two", 2, true, true, evict),
        ("two", "two", 2, false, false, KeyDecision::Keep),
    ]
    .into_iter()
    .enumerate()
    {
        let leader = PartitionRecord { node: node.into(), process };
        let key = HeldKey { leader: &leader, mod_revision: 7, is_outdated };
        let mut rng = SmallRng::seed_from_u64(1);
        let circumstances = Circumstances { is_cut_from_workers, ..circumstances(&config, NOW) };
        let decided = keys().decide(name, Some(key), &circumstances, &mut rng);
        assert_eq!(decided, decision, "{n}");
    }
}

#[test]
fn an_absent_partition_is_left_to_its_home_for_a_while() {
    let config = core().config;
    // (partition, seconds since this process started, whether it is cut from the workers, delay of
    // the watches; between how many seconds of absence it is taken)
    for (n, (name, up, is_cut_from_workers, watch_delay, earliest, latest)) in [
        ("one", 0, false, 0, 0, 0),
        // 2 s as set, and up to a second by chance.
        ("two", 60, false, 0, 2, 3),
        ("two", 60, false, 4, 6, 7),
        ("two", 0, false, 0, 8, 8),
        // Who hears no workers leaves 10 s more to the others, also for its own partition.
        ("two", 60, true, 0, 12, 13),
        ("one", 60, true, 0, 12, 13),
    ]
    .into_iter()
    .enumerate()
    {
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut keys = PartitionKeys::new("one", 1, NOW - up * SECOND);
            let taken_after = (0..200).find(|tenths| {
                let circumstances = Circumstances {
                    is_cut_from_workers,
                    watch_delay: watch_delay * SECOND,
                    ..circumstances(&config, NOW + tenths * SECOND / 10)
                };
                let decided = keys.decide(name, None, &circumstances, &mut rng);
                decided == KeyDecision::Acquire { mod_revision: 0 }
            });
            let taken_after = taken_after.map(|tenths| tenths * SECOND / 10);
            let within = earliest * SECOND..=latest * SECOND;
            assert!(taken_after.is_some_and(|at| within.contains(&at)), "{n}: {taken_after:?}");
        }
    }
}

#[test]
fn a_partition_is_handed_back_to_a_home_that_keeps_asking() {
    let config = core().config;
    let leader = PartitionRecord { node: "one".into(), process: 1 };
    let key = HeldKey { leader: &leader, mod_revision: 7, is_outdated: false };
    let release = KeyDecision::Release { mod_revision: 7 };
    // (partition, seconds at which its home asks, second of the decision; what is done)
    let cases: &[(&str, &[Micros], Micros, KeyDecision<'_>)] = &[
        ("two", &[], 5, KeyDecision::Keep),
        ("two", &[0, 1, 2, 3, 4], 5, KeyDecision::Keep),
        ("two", &[0, 1, 2, 3, 4, 5], 5, release),
        ("two", &[0, 1, 2, 3, 4, 5], 8, KeyDecision::Keep),
        // It was away between.
        ("two", &[0, 1, 5, 6, 7], 7, KeyDecision::Keep),
        ("two", &[0, 3, 6], 6, release),
        ("one", &[0, 1, 2, 3, 4, 5], 5, KeyDecision::Keep),
    ];
    for (n, (name, asked_at, at, decision)) in cases.iter().enumerate() {
        let mut keys = keys();
        for second in *asked_at {
            keys.note_handback_request(NOW + second * SECOND, name);
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let circumstances = circumstances(&config, NOW + at * SECOND);
        assert_eq!(keys.decide(name, Some(key), &circumstances, &mut rng), *decision, "{n}");
    }
}

/// The calls to the store that an action makes.
fn calls(act: impl FnOnce(&mut WriteBudget, &mut Outbox)) -> usize {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    act(&mut WriteBudget::new(NOW), &mut outbox);
    outbox.take_effects().iter().filter(|e| matches!(e, Effect::Store { .. })).count()
}

#[test]
fn one_change_of_a_key_at_a_time_and_a_pause_after_a_failure() {
    let mut keys = keys();
    let acquire = |keys: &mut PartitionKeys, now, lease| {
        calls(|budget, outbox| keys.acquire(now, "two", 0, lease, budget, outbox))
    };
    let release = |keys: &mut PartitionKeys, now| {
        calls(|budget, outbox| keys.release(now, "two", 7, budget, outbox))
    };
    assert_eq!(acquire(&mut keys, NOW, None), 0, "no lease to hang on");
    assert_eq!(acquire(&mut keys, NOW, Some(1)), 1);
    assert_eq!(acquire(&mut keys, NOW, Some(1)) + release(&mut keys, NOW), 0, "under way");
    assert_eq!(keys.acquired(NOW, "two", &Err(CallError::Refused)), AcquireOutcome::Failed);
    assert_eq!(acquire(&mut keys, NOW + SECOND / 4 - 1, Some(1)), 0);
    let now = NOW + SECOND / 4;
    assert_eq!(acquire(&mut keys, now, Some(1)), 1);
    assert!(!keys.is_releasing("two"), "it is wanted again");
    let committed = Ok(StoreReply::Committed(9));
    assert_eq!(keys.acquired(now, "two", &committed), AcquireOutcome::Committed { term: 9 });
    assert_eq!(release(&mut keys, now), 1);
    assert!(keys.is_releasing("two"));
    assert_eq!(keys.released(now, "two", &Err(CallError::Unknown)), ReleaseOutcome::Failed);
    assert_eq!(release(&mut keys, now + SECOND / 4 - 1), 0);
    assert_eq!(release(&mut keys, now + SECOND / 4), 1);
    let conflict = Ok(StoreReply::Conflict(vec!["parts/two".into()]));
    assert_eq!(keys.released(now, "two", &conflict), ReleaseOutcome::GivenUp);
    assert!(keys.is_releasing("two"), "the cache may still name this process");
    let ended = keys.acquired(now, "two", &Ok(StoreReply::NoLease));
    assert_eq!(ended, AcquireOutcome::LeaseEnded);
}

#[test]
fn an_eviction_is_tried_twice_a_second_and_told_once() {
    let evict = |keys: &mut PartitionKeys, name: &str, now| {
        calls(|budget, outbox| keys.evict(now, name, 7, Some(1), budget, outbox))
    };
    // (what the attempt brings, whether the partition counts as taken from a live process then)
    for (result, is_eviction) in [
        (Ok(StoreReply::Committed(9)), true),
        (Err(CallError::Unknown), true),
        (Ok(StoreReply::Conflict(vec!["parts/two".into()])), false),
    ] {
        let mut keys = keys();
        assert_eq!(evict(&mut keys, "two", NOW), 1);
        assert_eq!(evict(&mut keys, "three", NOW + SECOND / 2 - 1), 0);
        assert_eq!(evict(&mut keys, "three", NOW + SECOND / 2), 1);
        let _ = keys.acquired(NOW, "two", &result);
        assert_eq!(keys.take_eviction("two"), is_eviction, "{result:?}");
        assert!(!keys.take_eviction("two"), "{result:?}");
    }
}

#[test]
fn home_asks_once_a_second() {
    let mut keys = keys();
    let mut asks = |after: Micros| {
        let mut outbox = Outbox::new(LogLevel::Error, NOW);
        keys.request_handback(NOW + after, "two", &mut outbox);
        let asks_for = |e: &Effect| match e {
            Effect::Peer { node, request: PeerRequest::HandBack { partition }, .. } => {
                node == "two" && partition == "one"
            }
            _ => false,
        };
        outbox.take_effects().iter().filter(|e| asks_for(e)).count()
    };
    assert_eq!((asks(0), asks(SECOND - 1), asks(SECOND)), (1, 0, 1));
}
