//! Tests of the server over real connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use super::*;
use crate::inbox::{ReplyChannel, Requester};
use crate::responder::ResponseHead;

/// A worker that sends heartbeats, over the same connection while the server keeps it open.
struct HeartbeatClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl HeartbeatClient {
    /// Sends one heartbeat and returns the status of the answer, if there is one.
    fn heartbeat(&mut self, n: usize) -> Option<u16> {
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
            // Waits until the server has closed the connection and no longer counts it.
            while stream.read(&mut piece).is_ok_and(|c| c > 0) {}
        } else {
            self.stream = Some(stream);
        }
        text.split(' ').nth(1)?.parse().ok()
    }
}

#[test]
fn every_worker_is_answered_although_not_all_connections_stay_open() {
    let (inbox, incoming) = Inbox::new();
    thread::spawn(move || {
        let mut scratch = Vec::new();
        for queued in incoming.priority {
            if let Some(Requester { reply: ReplyChannel::Http { responder, .. }, .. }) =
                queued.requester
            {
                responder.send(
                    &ResponseHead { status: 200, retry_after_s: None },
                    b"{}",
                    &mut scratch,
                );
            }
        }
    });
    let limits = ConnectionLimits { total: 9, workers: 6, keep_alive: 4 };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = Port::bind(address, limits, inbox, Clock::new()).expect("a free port");
    let address = port.address().expect("the bound address");
    assert!(
        TcpStream::connect(address).is_err(),
        "connections must be refused before the port is open"
    );
    port.open().expect("the port opens");
    let mut workers: Vec<HeartbeatClient> =
        (0..12).map(|_| HeartbeatClient { address, stream: None }).collect();
    for round in 0..3 {
        for (n, worker) in workers.iter_mut().enumerate() {
            assert_eq!(worker.heartbeat(n), Some(200), "worker {n}, heartbeat {round}");
        }
    }
    let keep_alive = workers.iter().filter(|w| w.stream.is_some()).count();
    assert_eq!(keep_alive, limits.keep_alive);
}
