//! The sockets of users' and workers' connections, and the answers that are written to them.
//!
//! Owns the text of an answer, and who may write to a socket when: one answer for each request. Never
//! reads a request, and never waits for a socket on the thread that has the answer.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::thread_pool::{Accepted, NewConnection, STACK_BYTES};

/// An answer that the socket did not take at once must be taken within this time.
const SLOW_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer but for its body.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    pub status: u16,
    pub retry_after_s: Option<u32>,
}

/// The answer to those who have to come back.
pub const BUSY: Status = Status { status: 503, retry_after_s: Some(1) };
/// Its body.
pub const BUSY_BODY: &[u8] = b"{\"error\":\"busy\"}";

/// The socket of a connection, shared by its thread, which reads, and by whoever answers.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    /// A request is with the core. Nobody may send another before its answer.
    awaits_answer: AtomicBool,
    /// The connection is new, until the core has taken its first request.
    new: Mutex<Option<NewConnection>>,
}

/// The way to a connection for one answer. The thread that has the answer writes it itself: a
/// thread that woke up for each answer only to write it was half the cost of a heartbeat.
#[derive(Debug)]
pub struct Responder {
    socket: Arc<ClientSocket>,
    close: bool,
}

impl ClientSocket {
    /// The socket of a connection that was accepted just now.
    pub fn new(Accepted { stream, new }: Accepted) -> ClientSocket {
        let new = Mutex::new(Some(new));
        ClientSocket { stream, awaits_answer: AtomicBool::new(false), new }
    }

    /// The socket to read from.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether a request is with the core.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer.load(Ordering::Acquire)
    }

    /// The way for the answer to a request that is given to the core.
    pub fn responder(self: &Arc<Self>, close: bool) -> Responder {
        self.awaits_answer.store(true, Ordering::Release);
        Responder { socket: self.clone(), close }
    }

    /// Whether the other side has given up and closed the connection. What waits unread, which
    /// nobody sends before an answer, does not matter.
    pub fn is_given_up(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream)
            .recv_with_flags(&mut byte, libc::MSG_PEEK | libc::MSG_DONTWAIT);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Answers on the connection's own thread. An error also ends a connection that is to be closed.
    pub fn answer(&self, status: Status, body: &[u8], close: bool) -> io::Result<()> {
        self.mark_taken();
        let mut message = Vec::new();
        write_message(&mut message, &status, body, close);
        (&self.stream).write_all(&message)?;
        if close { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    /// Answers with the reason for a refusal.
    pub fn refuse(&self, status: u16, reason: &str, close: bool) -> io::Result<()> {
        let body = serde_json::json!({ "error": reason }).to_string();
        self.answer(Status { status, retry_after_s: None }, body.as_bytes(), close)
    }

    /// Tells the other side to come back.
    pub fn refuse_busy(&self, close: bool) -> io::Result<()> {
        self.answer(BUSY, BUSY_BODY, close)
    }

    /// A request of the connection is taken up.
    fn mark_taken(&self) {
        let new = self.new.lock().unwrap_or_else(|e| e.into_inner()).take();
        // Without the lock, since this may wake the thread that accepts.
        drop(new);
    }
}

impl Responder {
    /// The core has taken the request.
    pub fn mark_taken(&self) {
        self.socket.mark_taken();
    }

    /// Whether nobody waits for the answer any more.
    pub fn is_given_up(&self) -> bool {
        self.socket.is_given_up()
    }

    /// The core did not get the request; the connection's thread answers.
    pub fn abandon(self) {
        self.socket.awaits_answer.store(false, Ordering::Release);
    }

    /// Sends an answer; `scratch` is where it is written. Never waits: what the socket does not take
    /// at once is left to a thread of its own.
    pub fn send(self, answer: &Status, body: &[u8], scratch: &mut Vec<u8>) {
        scratch.clear();
        write_message(scratch, answer, body, self.close);
        self.socket.awaits_answer.store(false, Ordering::Release);
        let sent = SockRef::from(&self.socket.stream).send_with_flags(scratch, libc::MSG_DONTWAIT);
        let sent = match sent {
            Ok(sent) => sent,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            // The asker has gone away.
            Err(_) => return,
        };
        if sent == scratch.len() {
            self.finish();
        } else {
            self.send_later(scratch.split_off(sent));
        }
    }

    /// Sends the rest of an answer from a thread of its own. It is not joined: it ends with the answer,
    /// or after its time limit.
    fn send_later(self, rest: Vec<u8>) {
        let thread = thread::Builder::new().name("slow-answer".into()).stack_size(STACK_BYTES);
        // Without a thread the answer stays cut off, and the asker gives up.
        let _ = thread.spawn(move || match self.send_slowly(&rest) {
            Ok(()) => self.finish(),
            Err(_) => self.shut_down(),
        });
    }

    fn send_slowly(&self, rest: &[u8]) -> io::Result<()> {
        let mut stream = &self.socket.stream;
        stream.set_write_timeout(Some(SLOW_ANSWER_TIMEOUT))?;
        stream.write_all(rest)
    }

    /// Lets the connection's thread end with the connection.
    fn finish(&self) {
        if self.close {
            self.shut_down();
        }
    }

    fn shut_down(&self) {
        let _ = self.socket.stream.shutdown(Shutdown::Both);
    }
}

/// Writes a whole answer.
fn write_message(out: &mut Vec<u8>, answer: &Status, body: &[u8], close: bool) {
    let Status { status, retry_after_s } = answer;
    // Writing into memory does not fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reason_phrase(*status),
        body.len()
    );
    if let Some(after) = retry_after_s {
        let _ = write!(out, "Retry-After: {after}\r\n");
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    out.extend_from_slice(body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Entity",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
