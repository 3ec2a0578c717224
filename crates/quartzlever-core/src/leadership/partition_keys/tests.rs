//! Tests of the decisions on partition keys and of their pending writes.

use rand::SeedableRng;

use super::*;
use crate::testing::*;

impl PartitionKeys {
    /// Reports whether a home node has requested this partition.
    pub(crate) fn has_handback_request(&self, partition: &str) -> bool {
        self.handback_requests.contains_key(partition)
    }
}

/// The partition keys of node "one", whose process started a minute ago.
fn keys() -> PartitionKeys {
    PartitionKeys::new("one", 1, NOW - 60 * SECOND)
}

/// A node that receives heartbeats and whose peers see changes without delay.
fn key_context(config: &Config, now: Micros) -> KeyContext<'_> {
    KeyContext { now, config, is_isolated_from_workers: false, watch_delay: 0 }
}

#[test]
fn the_decision_depends_on_the_leader_named_by_the_key() {
    let config = core().config;
    let acquire = KeyDecision::Acquire { mod_revision: 7 };
    let evict = KeyDecision::Evict { mod_revision: 7 };
    let request = KeyDecision::RequestHandback { leader: "two" };
    // (partition, its leader's node and process, whether the leader is outdated, whether this node
    // is cut off from the workers, decision)
    for (n, (name, node, process, is_outdated, is_isolated_from_workers, decision)) in [
        ("one", "one", 1, false, false, KeyDecision::Keep),
        ("two", "one", 1, false, false, KeyDecision::Keep),
        ("one", "one", 9, false, false, acquire),
        // A former process of this node is dead, whatever its version.
        ("two", "one", 9, true, false, acquire),
        ("one", "two", 2, false, false, request),
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
        let key_context = KeyContext { is_isolated_from_workers, ..key_context(&config, NOW) };
        let decided = keys().decide(name, Some(key), &key_context, &mut rng);
        assert_eq!(decided, decision, "{n}");
    }
}

#[test]
fn other_nodes_acquire_an_absent_partition_later_than_its_home_node() {
    let config = core().config;
    // (partition, seconds since this process started, whether it is cut off from the workers, watch
    // delay in seconds, earliest and latest seconds of absence after which it acquires the
    // partition)
    for (n, (name, up, is_isolated_from_workers, watch_delay, earliest, latest)) in [
        ("one", 0, false, 0, 0, 0),
        // The configured 2 s, and a random delay of up to a second.
        ("two", 60, false, 0, 2, 3),
        ("two", 60, false, 4, 6, 7),
        ("two", 0, false, 0, 8, 8),
        // A node that is cut off from the workers gives its peers 10 s more, also for its own
        // partition.
        ("two", 60, true, 0, 12, 13),
        ("one", 60, true, 0, 12, 13),
    ]
    .into_iter()
    .enumerate()
    {
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut keys = PartitionKeys::new("one", 1, NOW - up * SECOND);
            let acquired_after = (0..200).find(|tenths| {
                let key_context = KeyContext {
                    is_isolated_from_workers,
                    watch_delay: watch_delay * SECOND,
                    ..key_context(&config, NOW + tenths * SECOND / 10)
                };
                let decided = keys.decide(name, None, &key_context, &mut rng);
                decided == KeyDecision::Acquire { mod_revision: 0 }
            });
            let acquired_after = acquired_after.map(|tenths| tenths * SECOND / 10);
            let within = earliest * SECOND..=latest * SECOND;
            assert!(
                acquired_after.is_some_and(|at| within.contains(&at)),
                "{n}: {acquired_after:?}"
            );
        }
    }
}

#[test]
fn a_partition_is_handed_back_to_a_home_node_that_keeps_requesting_it() {
    let config = core().config;
    let leader = PartitionRecord { node: "one".into(), process: 1 };
    let key = HeldKey { leader: &leader, mod_revision: 7, is_outdated: false };
    let release = KeyDecision::Release { mod_revision: 7 };
    // (partition, seconds at which its home node requests it, second of the decision, decision)
    let cases: &[(&str, &[Micros], Micros, KeyDecision<'_>)] = &[
        ("two", &[], 5, KeyDecision::Keep),
        ("two", &[0, 1, 2, 3, 4], 5, KeyDecision::Keep),
        ("two", &[0, 1, 2, 3, 4, 5], 5, release),
        ("two", &[0, 1, 2, 3, 4, 5], 8, KeyDecision::Keep),
        // The gap between the requests is too long.
        ("two", &[0, 1, 5, 6, 7], 7, KeyDecision::Keep),
        ("two", &[0, 3, 6], 6, release),
        ("one", &[0, 1, 2, 3, 4, 5], 5, KeyDecision::Keep),
    ];
    for (n, (name, requested_at, at, decision)) in cases.iter().enumerate() {
        let mut keys = keys();
        for second in *requested_at {
            keys.note_handback_request(NOW + second * SECOND, name);
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let key_context = key_context(&config, NOW + at * SECOND);
        assert_eq!(keys.decide(name, Some(key), &key_context, &mut rng), *decision, "{n}");
    }
}

/// Returns the number of store calls that an action makes.
fn calls(act: impl FnOnce(&mut WriteBudget, &mut Outbox)) -> usize {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    act(&mut WriteBudget::new(NOW), &mut outbox);
    outbox.take_effects().iter().filter(|e| matches!(e, Effect::Store { .. })).count()
}

#[test]
fn at_most_one_write_of_a_key_is_pending_and_a_failure_delays_the_next() {
    let mut keys = keys();
    let acquire = |keys: &mut PartitionKeys, now, lease| {
        calls(|budget, outbox| keys.acquire(now, "two", 0, lease, budget, outbox))
    };
    let release = |keys: &mut PartitionKeys, now| {
        calls(|budget, outbox| keys.release(now, "two", 7, budget, outbox))
    };
    assert_eq!(acquire(&mut keys, NOW, None), 0, "no lease for the key");
    assert_eq!(acquire(&mut keys, NOW, Some(1)), 1);
    assert_eq!(acquire(&mut keys, NOW, Some(1)) + release(&mut keys, NOW), 0, "a write is pending");
    assert_eq!(keys.acquired(NOW, "two", &Err(CallError::Refused)), AcquireOutcome::Failed);
    assert_eq!(acquire(&mut keys, NOW + SECOND / 4 - 1, Some(1)), 0);
    let now = NOW + SECOND / 4;
    assert_eq!(acquire(&mut keys, now, Some(1)), 1);
    assert!(!keys.is_releasing("two"), "acquiring it again ends the release");
    let committed = Ok(StoreReply::Committed(9));
    assert_eq!(keys.acquired(now, "two", &committed), AcquireOutcome::Committed { term: 9 });
    assert_eq!(release(&mut keys, now), 1);
    assert!(keys.is_releasing("two"));
    assert_eq!(keys.released(now, "two", &Err(CallError::Unknown)), ReleaseOutcome::Failed);
    assert_eq!(release(&mut keys, now + SECOND / 4 - 1), 0);
    assert_eq!(release(&mut keys, now + SECOND / 4), 1);
    let conflict = Ok(StoreReply::Conflict(vec!["parts/two".into()]));
    assert_eq!(keys.released(now, "two", &conflict), ReleaseOutcome::Released);
    assert!(keys.is_releasing("two"), "the cache may still name this process");
    let ended = keys.acquired(now, "two", &Ok(StoreReply::NoLease));
    assert_eq!(ended, AcquireOutcome::LeaseEnded);
}

#[test]
fn evictions_are_half_a_second_apart_and_reported_once() {
    let evict = |keys: &mut PartitionKeys, name: &str, now| {
        calls(|budget, outbox| keys.evict(now, name, 7, Some(1), budget, outbox))
    };
    // (reply to the attempt, whether the partition then counts as taken over from a live process)
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
fn the_home_node_requests_a_hand_back_once_per_second() {
    let mut keys = keys();
    let mut requests = |after: Micros| {
        let mut outbox = Outbox::new(LogLevel::Error, NOW);
        keys.request_handback(NOW + after, "two", &mut outbox);
        let is_request = |e: &Effect| match e {
            Effect::Peer { node, request: PeerRequest::HandBack { partition }, .. } => {
                node == "two" && partition == "one"
            }
            _ => false,
        };
        outbox.take_effects().iter().filter(|e| is_request(e)).count()
    };
    assert_eq!((requests(0), requests(SECOND - 1), requests(SECOND)), (1, 0, 1));
}
