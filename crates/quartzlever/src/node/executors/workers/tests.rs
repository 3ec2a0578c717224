//! Tests the deadline of calls.

use std::net::TcpListener;
use std::time::Duration;

use super::*;

#[test]
fn a_worker_is_not_called_after_the_deadline_of_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    let address = listener.local_addr().expect("the listener's address").to_string();
    let (inbox, incoming) = Inbox::new();
    let clock = Clock::new();
    let executor = WorkerExecutor::start(&inbox, clock).expect("executor threads start");
    executor.submit(7, address, WorkerCall::Status, clock.now());
    let queued =
        incoming.priority.recv_timeout(Duration::from_secs(10)).expect("the result of the call");
    let refused = Err(CallError::Refused);
    assert!(
        matches!(queued.command, Command::WorkerReply { call_id: 7, result } if result == refused)
    );
    assert!(listener.accept().is_err(), "no connection was made");
}
