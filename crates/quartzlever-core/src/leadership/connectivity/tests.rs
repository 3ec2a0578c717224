//! Tests with a store that replies, is unreachable for every node, or only for this one.

use super::*;
use crate::testing::*;

/// Returns the number of peers that one poll asks.
fn peers_asked(connectivity: &mut StoreConnectivity, now: Micros) -> usize {
    let mut outbox = Outbox::new(LogLevel::Error, now);
    connectivity.poll(now, &core().config, &mut outbox);
    let is_probe = |effect: &Effect| {
        matches!(effect, Effect::Peer { request: PeerRequest::StoreConnectivity, .. })
    };
    outbox.take_effects().iter().filter(|effect| is_probe(effect)).count()
}

#[test]
fn peers_are_asked_once_a_second_while_the_store_is_silent() {
    let mut connectivity = StoreConnectivity::new(NOW);
    // (milliseconds since the last reply, whether the store counts as reached, peers asked)
    for (silent, reached, peers) in
        [(0, true, 0), (3_999, true, 0), (4_000, false, 1), (4_999, false, 0), (5_000, false, 1)]
    {
        let now = NOW + silent * 1_000;
        assert_eq!(connectivity.is_reachable(now), reached, "{silent}");
        assert_eq!(peers_asked(&mut connectivity, now), peers, "{silent}");
    }
    let now = NOW + 6 * SECOND;
    connectivity.record_store_reply(now, &mut Outbox::new(LogLevel::Error, now));
    assert!(connectivity.is_reachable(now));
    assert_eq!(peers_asked(&mut connectivity, now), 0);
}

#[test]
fn a_peer_reply_marks_the_node_isolated_for_three_seconds_or_until_the_store_replies() {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    let mut connectivity = StoreConnectivity::new(NOW);
    connectivity.record_peer_reply(NOW, &mut outbox);
    assert!(!connectivity.is_isolated(NOW), "no outage on this node");
    let now = NOW + 5 * SECOND;
    connectivity.poll(now, &core().config, &mut outbox);
    assert!(!connectivity.is_isolated(now), "an outage for every node");
    connectivity.record_peer_reply(now, &mut outbox);
    assert!(connectivity.is_isolated(now + 3 * SECOND - 1));
    assert!(!connectivity.is_isolated(now + 3 * SECOND));
    connectivity.record_store_reply(now + SECOND, &mut outbox);
    assert!(!connectivity.is_isolated(now + SECOND));
}
