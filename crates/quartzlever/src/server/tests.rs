//! What the servers read and answer.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use super::*;
use crate::inbox::{Reply, Waiter};
use crate::responder::Status;

/// A worker that heartbeats over a connection for as long as it may.
struct Reporter {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Reporter {
    /// Heartbeats once; the status of the answer.
    fn report(&mut self, n: usize) -> Option<u16> {
        let body = format!(
            r#"{{"host":"n-{n}","address":"n-{n}:1","frame":"m","bay":"a","loaners":true,
            "tenure":1,"tick":1,"baton":0,"warning_s":null,"shards":[]}}"#
        );
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(self.address).ok()?,
        };
        let length = body.len();
        let head = format!("POST /hello HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + &body).as_bytes()).ok()?;
        let mut answer = Vec::new();
        let mut piece = [0; 1024];
        while !answer.ends_with(b"{}") {
            let count = stream.read(&mut piece).ok().filter(|c| *c > 0)?;
            answer.extend_from_slice(&piece[..count]);
        }
        let text = String::from_utf8_lossy(&answer).into_owned();
        if text.contains("Connection: close") {
            // Closed by the other side, so counted no more.
            while stream.read(&mut piece).is_ok_and(|c| c > 0) {}
        } else {
            self.stream = Some(stream);
        }
        text.split(' ').nth(1)?.parse().ok()
    }
}

#[test]
fn every_worker_is_heard_though_not_all_keep_a_connection() {
    let (inbox, incoming) = Inbox::new();
    thread::spawn(move || {
        let mut scratch = Vec::new();
        for item in incoming.priority {
            if let Some(Waiter { reply: Reply::Http { responder, .. }, .. }) = item.waiter {
                responder.send(&Status { status: 200, retry_after_s: None }, b"{}", &mut scratch);
            }
        }
    });
    let bounds = Bounds { all: 9, workers: 6, kept: 4 };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = Port::take(address, bounds, inbox, Clock::new()).expect("a free port");
    let address = port.address().expect("an address");
    assert!(TcpStream::connect(address).is_err(), "refused before the port is open");
    port.open().expect("a thread");
    let mut workers: Vec<Reporter> = (0..12).map(|_| Reporter { address, stream: None }).collect();
    for round in 0..3 {
        for (n, worker) in workers.iter_mut().enumerate() {
            assert_eq!(worker.report(n), Some(200), "worker {n}, report {round}");
        }
    }
    let kept = workers.iter().filter(|w| w.stream.is_some()).count();
    assert_eq!(kept, bounds.kept);
}
