//! Tests readiness, the log of store outages, and a lagging controller.

use crate::leadership::connectivity::StoreConnectivity;
use crate::testing::*;

/// Starts a call to the store whose reply is ignored, and returns its id.
fn ignored_store_call(core: &mut Core) -> CallId {
    core.outbox.call_store(CallPriority::Work, StoreCall::Revision, PendingStoreCall::Ignored);
    let call = core.outbox.take_effects().into_iter().find_map(|effect| match effect {
        Effect::Store { call_id, .. } => Some(call_id),
        _ => None,
    });
    call.expect("a call to the store")
}

#[test]
fn a_node_that_alone_cannot_reach_the_store_is_not_ready() {
    use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
    // (seconds since the store last replied, whether a peer reaches it, whether the peer is asked,
    // status of the health check)
    for (name, silent, peer_reaches_store, asked, status) in [
        ("store reachable", 1, Some(true), false, 200),
        ("isolated", 6, Some(true), true, 503),
        ("outage for all nodes", 6, Some(false), true, 200),
        ("peers unreachable as well", 6, None, true, 200),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.wall_offset = Some(0);
        core.store_connectivity = StoreConnectivity::new(NOW);
        let now = NOW + silent * SECOND;
        let effects = core.step(now, Vec::new());
        let call_id = effects.iter().find_map(|e| match e {
            Effect::Peer { call_id, request: PeerRequest::StoreConnectivity, .. } => Some(*call_id),
            _ => None,
        });
        assert_eq!(call_id.is_some(), asked, "{name}: asked");
        if let Some(call_id) = call_id {
            let result = peer_reaches_store
                .map(|reached| PeerAnswer::StoreConnectivity { reached })
                .ok_or(CallError::Unknown);
            core.step(now, vec![Command::PeerReply { call_id, result }]);
        }
        let check = core.step(now, vec![Command::Ready { id: 9 }]);
        let answer = check.iter().find_map(|e| match e {
            Effect::Answer { id: 9, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, Some(status), "{name}");
    }
}

/// Returns the log events among the effects.
fn events(effects: &[Effect]) -> Vec<&LogEvent> {
    fn event(effect: &Effect) -> Option<&LogEvent> {
        match effect {
            Effect::Log(event) => Some(event),
            _ => None,
        }
    }
    effects.iter().filter_map(event).collect()
}

/// Each outage of the store is logged once, as is the isolation of this node and the end of the
/// outage. A peer's reply that arrives after the end is ignored.
#[test]
fn a_store_outage_is_logged_once() {
    use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
    let mut core = core();
    core.outbox.set_log_level(LogLevel::Info);
    core.cache.set_loaded(true);
    core.store_connectivity = StoreConnectivity::new(NOW);
    assert!(events(&core.step(NOW + 3 * SECOND, Vec::new())).is_empty());
    let effects = core.step(NOW + 5 * SECOND, Vec::new());
    assert_eq!(events(&effects), [&LogEvent::StoreUnreachable { duration: 4 * SECOND }]);
    let call_id = effects.iter().find_map(|effect| match effect {
        Effect::Peer { call_id, request: PeerRequest::StoreConnectivity, .. } => Some(*call_id),
        _ => None,
    });
    let reached = |call_id| {
        let result = Ok(PeerAnswer::StoreConnectivity { reached: true });
        vec![Command::PeerReply { call_id, result }]
    };
    let effects = core.step(NOW + 5 * SECOND, reached(call_id.expect("a peer is asked")));
    assert_eq!(events(&effects), [&LogEvent::IsolatedFromStore]);
    let effects = core.step(NOW + 7 * SECOND, Vec::new());
    assert!(events(&effects).is_empty(), "once");
    let late = effects.iter().find_map(|effect| match effect {
        Effect::Peer { call_id, request: PeerRequest::StoreConnectivity, .. } => Some(*call_id),
        _ => None,
    });
    let call_id = ignored_store_call(&mut core);
    let answer = Command::StoreReply { call_id, result: Ok(StoreReply::Renewed) };
    let effects = core.step(NOW + 9 * SECOND, vec![answer]);
    let back = LogEvent::StoreReachable { duration: 9 * SECOND };
    assert!(events(&effects).contains(&&back), "{:?}", events(&effects));
    core.step(NOW + 9 * SECOND, reached(late.expect("a peer is asked again")));
    assert!(!core.store_connectivity.is_isolated(core.now), "a late reply");
}

#[test]
fn a_lagging_controller_keeps_its_lease_and_its_machines() {
    // Milliseconds between two steps over 30 s; each call is answered only in the next step.
    for step_ms in [200, 1_500, 3_000, 5_000] {
        let mut core = core_with_leaders(100);
        core.lease.renew_at(NOW + 1);
        core.lease.expire_at(NOW + 13 * SECOND);
        // The one task runs all the time, so that the machine is not terminated as idle.
        core.reconcile_job(record_of(1, 1, "one"), 10);
        core.step(
            NOW,
            vec![Command::Heartbeat { id: 1_000, heartbeat: heartbeat_of_one(1, None) }],
        );
        let attempt = core.partitions["one"].jobs["req-1"].assignments.get(&0).map(|p| p.attempt);
        assert!(attempt.is_some(), "{step_ms}: placed");
        let (mut now, mut renewals, mut terminations) = (NOW, 0, 0);
        let (mut last_heartbeat_at, mut heartbeats, mut answers) = (NOW, 0, 0);
        let mut replies = Vec::new();
        while now < NOW + 30 * SECOND {
            now += step_ms * 1_000;
            let mut batch = std::mem::take(&mut replies);
            batch.push(Command::Tick { wall: now, was_stalled: step_ms > 1_000 });
            if now - last_heartbeat_at >= core.config.workers.heartbeat_interval {
                last_heartbeat_at = now;
                heartbeats += 1;
                batch.push(Command::Heartbeat {
                    id: heartbeats,
                    heartbeat: heartbeat_of_one(1 + heartbeats, attempt),
                });
            }
            for effect in core.step(now, batch) {
                match effect {
                    Effect::Store { call_id, call: StoreCall::Renew { .. }, .. } => {
                        renewals += 1;
                        replies
                            .push(Command::StoreReply { call_id, result: Ok(StoreReply::Renewed) });
                    }
                    Effect::Cloud { call: CloudCall::ScaleIn(_), .. } => terminations += 1,
                    Effect::Answer { status: 200, .. } => answers += 1,
                    _ => {}
                }
            }
            assert!(core.may_act(), "{step_ms}: authority after {} s", (now - NOW) / SECOND);
        }
        assert!(core.partitions.contains_key("one"), "{step_ms}");
        assert!((3..=15).contains(&renewals), "{step_ms}: {renewals} renewals");
        assert_eq!(
            (answers, terminations),
            (heartbeats, 0),
            "{step_ms}: heartbeats answered, machines terminated"
        );
    }
}
