//! Tests the reuse of threads and the limits on connections.

use super::*;
use std::io::{Read, Write};

#[test]
fn threads_are_reused_and_their_number_is_limited() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let threads = Arc::new(Mutex::new(std::collections::HashSet::new()));
    let seen = threads.clone();
    accept_loop("test", listener, 2, move |AcceptedConnection { mut stream, new_connection }| {
        drop(new_connection);
        lock(&seen).insert(thread::current().id());
        let mut byte = [0];
        while stream.read(&mut byte).is_ok_and(|n| n > 0) && stream.write(&byte).is_ok() {}
    })
    .expect("a thread");
    let echo = |stream: &mut TcpStream| {
        let mut byte = [0];
        stream.write_all(b"x").is_ok() && stream.read(&mut byte).is_ok_and(|n| n == 1)
    };
    let connect = || TcpStream::connect(address).expect("a connection");
    // Successive connections. One that comes before the previous thread is idle may be closed.
    for _ in 0..20 {
        let mut stream = connect();
        while !echo(&mut stream) {
            stream = connect();
        }
    }
    assert!(lock(&threads).len() <= 2, "{} threads", lock(&threads).len());
    // Two connections are served at a time, and a third is closed.
    let (mut first, mut second) = (connect(), connect());
    while !echo(&mut first) {
        first = connect();
    }
    while !echo(&mut second) {
        second = connect();
    }
    assert!(!echo(&mut connect()), "a third connection must be closed");
    assert!(echo(&mut first) && echo(&mut second), "the other connections must stay open");
}

#[test]
fn connections_are_accepted_only_as_earlier_ones_cease_to_be_new() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let held = Arc::new(Mutex::new(Vec::new()));
    let (accepted_connections, (sender, receiver)) = (held.clone(), crossbeam_channel::unbounded());
    accept_loop("test", listener, 1000, move |accepted| {
        lock(&accepted_connections).push(accepted);
        let _ = sender.send(());
    })
    .expect("a thread");
    let streams: Vec<TcpStream> = (0..MAX_NEW_CONNECTIONS + 5)
        .map(|_| TcpStream::connect(address).expect("a connection"))
        .collect();
    for _ in 0..MAX_NEW_CONNECTIONS {
        receiver.recv().expect("the connection is accepted");
    }
    assert!(receiver.try_recv().is_err(), "more than {MAX_NEW_CONNECTIONS} accepted at first");
    // Each connection that is no longer new allows another one to be accepted.
    for n in 0..5 {
        assert_eq!(lock(&held).len(), MAX_NEW_CONNECTIONS);
        let oldest = lock(&held).remove(0);
        drop(oldest);
        receiver.recv().unwrap_or_else(|e| panic!("connection {n} is not accepted: {e}"));
    }
    assert_eq!(streams.len(), MAX_NEW_CONNECTIONS + 5);
}
