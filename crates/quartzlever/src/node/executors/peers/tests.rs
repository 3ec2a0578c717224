//! Tests which nodes are called.

use std::time::Duration;

use super::*;

#[test]
fn a_node_missing_from_the_settings_is_not_called() {
    let (inbox, incoming) = Inbox::new();
    let executor = PeerExecutor::start(&[], &inbox).expect("executor threads start");
    executor.submit(7, "unknown".into(), PeerRequest::Saturated);
    let queued =
        incoming.priority.recv_timeout(Duration::from_secs(10)).expect("the result of the call");
    let refused = Err(CallError::Refused);
    assert!(
        matches!(queued.command, Command::PeerReply { call_id: 7, result } if result == refused)
    );
    assert!(queued.requester.is_none());
}
