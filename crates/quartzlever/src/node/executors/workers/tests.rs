//! Calls are made only in time.

use std::net::TcpListener;
use std::time::Duration;

use super::*;

#[test]
fn a_worker_is_not_called_after_the_right_to_command_it_has_run_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let (inbox, incoming) = Inbox::new();
    let clock = Clock::new();
    let executor = WorkerExecutor::start(&inbox, clock).expect("threads");
    executor.submit(7, address, WorkerCall::Status, clock.now());
    let item = incoming.priority.recv_timeout(Duration::from_secs(10)).expect("a result");
    let refused = Err(CallError::Refused);
    assert!(
        matches!(item.command, Command::WorkerReply { call_id: 7, result } if result == refused)
    );
    assert!(listener.accept().is_err(), "nobody connected");
}
