//! Threads are bounded and used again.

use super::*;
use std::io::{Read, Write};

#[test]
fn threads_are_used_again_and_no_more_than_allowed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let threads = Arc::new(Mutex::new(std::collections::HashSet::new()));
    let seen = threads.clone();
    accept_loop("test", listener, 2, move |Accepted { mut stream, new }| {
        drop(new);
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
    // One after the other: a connection may come before the last thread is free again.
    for _ in 0..20 {
        let mut stream = connect();
        while !echo(&mut stream) {
            stream = connect();
        }
    }
    assert!(lock(&threads).len() <= 2, "{} threads", lock(&threads).len());
    // Two at a time, and a third is closed.
    let (mut first, mut second) = (connect(), connect());
    while !echo(&mut first) {
        first = connect();
    }
    while !echo(&mut second) {
        second = connect();
    }
    assert!(!echo(&mut connect()), "a third");
    assert!(echo(&mut first) && echo(&mut second), "the others go on");
}

#[test]
fn new_connections_wait_for_those_before_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let held = Arc::new(Mutex::new(Vec::new()));
    let (kept, tell) = (held.clone(), crossbeam_channel::unbounded());
    let told = tell.0;
    accept_loop("test", listener, 1000, move |accepted| {
        lock(&kept).push(accepted);
        let _ = told.send(());
    })
    .expect("a thread");
    let streams: Vec<TcpStream> =
        (0..MAX_NEW + 5).map(|_| TcpStream::connect(address).expect("connects")).collect();
    for _ in 0..MAX_NEW {
        tell.1.recv().expect("accepted");
    }
    assert!(tell.1.try_recv().is_err(), "no more than {MAX_NEW} at first");
    // Each that is new no longer lets another one in.
    for n in 0..5 {
        assert_eq!(lock(&held).len(), MAX_NEW);
        let oldest = lock(&held).remove(0);
        drop(oldest);
        tell.1.recv().unwrap_or_else(|e| panic!("number {n}: {e}"));
    }
    assert_eq!(streams.len(), MAX_NEW + 5);
}
