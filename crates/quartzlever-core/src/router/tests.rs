//! Being ready, and being behind.

use crate::leadership::connectivity::StoreConnectivity;
use crate::testing::*;

/// A call to the store under way, on whose reply nothing depends.
fn ignored_store_call(core: &mut Core) -> CallId {
    core.outbox.call_store(CallPriority::Work, StoreCall::Revision, PendingStoreCall::Ignored);
    let call = core.outbox.take_effects().into_iter().find_map(|effect| match effect {
        Effect::Store { call_id, .. } => Some(call_id),
        _ => None,
    });
    call.expect("a call")
}

#[test]
fn a_node_that_alone_is_out_of_touch_says_that_it_is_not_ready() {
    use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
    // (seconds since the store last answered, what a peer says of it; whether the peer is
    // asked, and the answer of the health check)
    for (name, quiet, says, asked, status) in [
        ("all is well", 1, Some(true), false, 200),
        ("cut off alone", 6, Some(true), true, 503),
        ("an outage for all", 6, Some(false), true, 200),
        ("peers out of reach as well", 6, None, true, 200),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.wall_offset = Some(0);
        core.store_connectivity = StoreConnectivity::new(NOW);
        let now = NOW + quiet * SECOND;
        let effects = core.step(now, Vec::new());
        let call_id = effects.iter().find_map(|e| match e {
            Effect::Peer { call_id, request: PeerRequest::StoreConnectivity, .. } => Some(*call_id),
            _ => None,
        });
        assert_eq!(call_id.is_some(), asked, "{name}: asked");
        if let Some(call_id) = call_id {
            let result = says
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

/// Events for the log among effects.
fn events(effects: &[Effect]) -> Vec<&LogEvent> {
    fn event(effect: &Effect) -> Option<&LogEvent> {
        match effect {
            Effect::Log(event) => Some(event),
            _ => None,
        }
    }
    effects.iter().filter_map(event).collect()
}

/// The log tells once that the store is out of reach, whether it is for others as well, and once that it is
/// back; a peer's word that comes after that counts for nothing.
#[test]
fn the_log_tells_once_of_a_state_service_that_is_out_of_reach() {
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
    assert!(!core.store_connectivity.is_isolated(core.now), "a late word");
}

#[test]
fn a_controller_that_is_behind_keeps_its_hold_and_its_machines() {
    // Seconds between two steps for 30 s, with the answer to each call only in the next step.
    for step_ms in [200, 1_500, 3_000, 5_000] {
        let mut core = with_leaders(100);
        core.lease.renew_at(NOW + 1);
        core.lease.expire_at(NOW + 13 * SECOND);
        // Its one task runs all the time, so that the machine is not returned as idle.
        core.reconcile_job(record_of(1, 1, "one"), 10);
        core.step(NOW, vec![Command::Heartbeat { id: 1_000, heartbeat: report_of_one(1, None) }]);
        let assignments =
            core.partitions["one"].jobs["req-1"].assignments.get(&0).map(|p| p.attempt);
        assert!(assignments.is_some(), "{step_ms}: placed");
        let (mut now, mut renewals, mut returns) = (NOW, 0, 0);
        let (mut reported, mut heartbeats, mut answers) = (NOW, 0, 0);
        let mut waiting = Vec::new();
        while now < NOW + 30 * SECOND {
            now += step_ms * 1_000;
            let mut batch = std::mem::take(&mut waiting);
            batch.push(Command::Tick { wall: now, behind: step_ms > 1_000 });
            if now - reported >= core.config.workers.heartbeat_interval {
                reported = now;
                heartbeats += 1;
                batch.push(Command::Heartbeat {
                    id: heartbeats,
                    heartbeat: report_of_one(1 + heartbeats, assignments),
                });
            }
            for effect in core.step(now, batch) {
                match effect {
                    Effect::Store { call_id, call: StoreCall::Renew { .. }, .. } => {
                        renewals += 1;
                        waiting
                            .push(Command::StoreReply { call_id, result: Ok(StoreReply::Renewed) });
                    }
                    Effect::Cloud { call: CloudCall::ScaleIn(_), .. } => returns += 1,
                    Effect::Answer { status: 200, .. } => answers += 1,
                    _ => {}
                }
            }
            assert!(core.may_act(), "{step_ms}: the hold after {} s", (now - NOW) / SECOND);
        }
        assert!(core.partitions.contains_key("one"), "{step_ms}");
        assert!((3..=15).contains(&renewals), "{step_ms}: {renewals} renewals");
        assert_eq!(
            (answers, returns),
            (heartbeats, 0),
            "{step_ms}: reports answered, machines gone"
        );
    }
}
