//! Only nodes of the settings are called.

use std::time::Duration;

use super::*;

#[test]
fn a_node_that_the_settings_do_not_name_is_not_called() {
    let (inbox, incoming) = Inbox::new();
    let executor = PeerExecutor::start(&[], &inbox).expect("threads");
    executor.submit(7, "unknown".into(), PeerRequest::Saturated);
    let item = incoming.priority.recv_timeout(Duration::from_secs(10)).expect("a result");
    let refused = Err(CallError::Refused);
    assert!(matches!(item.command, Command::PeerReply { call_id: 7, result } if result == refused));
    assert!(item.waiter.is_none());
}
