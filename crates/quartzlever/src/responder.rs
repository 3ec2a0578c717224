//! The sockets of HTTP connections, and the answers that are written to them.
//!
//! There is exactly one answer for each request. The thread that sends the core's answer never
//! blocks on the socket.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::thread_pool::{AcceptedConnection, NewConnectionGuard, STACK_BYTES};

/// How long each write of the rest of an answer may block, if the socket did not accept it at once.
const SLOW_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of an HTTP answer other than its body.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub retry_after_s: Option<u32>,
}

/// The answer to a request that has to be retried.
pub const BUSY: ResponseHead = ResponseHead { status: 503, retry_after_s: Some(1) };
/// The body of [`BUSY`].
pub const BUSY_BODY: &[u8] = b"{\"error\":\"busy\"}";

/// The socket of a connection, shared by the connection's thread, which reads, and the thread that
/// answers.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    /// A request waits for the core's answer. The client must not send another before it.
    awaits_answer: AtomicBool,
    /// Counts the connection as new until the core has taken its first request.
    new_connection: Mutex<Option<NewConnectionGuard>>,
}

/// The right to send one answer on a connection. The thread that has the answer writes it: waking
/// the connection's thread for each answer took half the cost of a heartbeat.
#[derive(Debug)]
pub struct Responder {
    socket: Arc<ClientSocket>,
    close: bool,
}

impl ClientSocket {
    /// Creates the socket of a connection that has just been accepted.
    pub fn new(AcceptedConnection { stream, new_connection }: AcceptedConnection) -> ClientSocket {
        let new_connection = Mutex::new(Some(new_connection));
        ClientSocket { stream, awaits_answer: AtomicBool::new(false), new_connection }
    }

    /// Returns the stream to read requests from.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reports whether a request waits for the core's answer.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer.load(Ordering::Acquire)
    }

    /// Returns the responder for a request that is passed to the core. With `close`, the connection
    /// is closed after the answer.
    pub fn responder(self: &Arc<Self>, close: bool) -> Responder {
        self.awaits_answer.store(true, Ordering::Release);
        Responder { socket: self.clone(), close }
    }

    /// Reports whether the client has closed the connection. Unread bytes would hide that, but
    /// clients send nothing before they have their answer.
    pub fn is_closed_by_client(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream)
            .recv_with_flags(&mut byte, libc::MSG_PEEK | libc::MSG_DONTWAIT);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Sends an answer from the connection's own thread.
    ///
    /// # Errors
    ///
    /// Fails if the socket does. With `close` it always returns an error, which ends the
    /// connection.
    pub fn answer(&self, head: ResponseHead, body: &[u8], close: bool) -> io::Result<()> {
        self.mark_taken();
        let mut message = Vec::new();
        write_message(&mut message, &head, body, close);
        (&self.stream).write_all(&message)?;
        if close { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    /// Answers with an error status and its reason, as [`answer`](Self::answer) does.
    pub fn refuse(&self, status: u16, reason: &str, close: bool) -> io::Result<()> {
        let body = serde_json::json!({ "error": reason }).to_string();
        self.answer(ResponseHead { status, retry_after_s: None }, body.as_bytes(), close)
    }

    /// Answers with a 503, as [`answer`](Self::answer) does.
    pub fn refuse_busy(&self, close: bool) -> io::Result<()> {
        self.answer(BUSY, BUSY_BODY, close)
    }

    /// Marks a request of the connection as taken, so that the connection is no longer new.
    fn mark_taken(&self) {
        let new_connection = self.new_connection.lock().unwrap_or_else(|e| e.into_inner()).take();
        // Dropped after the lock is released, since this may wake the accepting thread.
        drop(new_connection);
    }
}

impl Responder {
    /// Marks the request as taken by the core's thread.
    pub fn mark_taken(&self) {
        self.socket.mark_taken();
    }

    /// Reports whether the client has closed the connection.
    pub fn is_closed_by_client(&self) -> bool {
        self.socket.is_closed_by_client()
    }

    /// Gives up the responder, as the request did not reach the core and the connection's thread
    /// answers it.
    pub fn withdraw(self) {
        self.socket.awaits_answer.store(false, Ordering::Release);
    }

    /// Sends an answer, using `scratch` as the buffer. Never blocks: the part that the socket does
    /// not accept at once is left to a thread of its own.
    pub fn send(self, head: &ResponseHead, body: &[u8], scratch: &mut Vec<u8>) {
        scratch.clear();
        write_message(scratch, head, body, self.close);
        self.socket.awaits_answer.store(false, Ordering::Release);
        let sent = SockRef::from(&self.socket.stream).send_with_flags(scratch, libc::MSG_DONTWAIT);
        let sent = match sent {
            Ok(sent) => sent,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            // The client has closed the connection.
            Err(_) => return,
        };
        if sent == scratch.len() {
            self.finish();
        } else {
            self.send_rest_on_thread(scratch.split_off(sent));
        }
    }

    /// Sends the rest of an answer on a thread of its own. The thread is not joined: it ends once
    /// the rest is sent, or on an error or timeout of the socket.
    fn send_rest_on_thread(self, rest: Vec<u8>) {
        let thread = thread::Builder::new().name("slow-answer".into()).stack_size(STACK_BYTES);
        // If no thread can be started, the answer stays truncated and the client times out.
        let _ = thread.spawn(move || match self.send_blocking(&rest) {
            Ok(()) => self.finish(),
            Err(_) => self.shut_down(),
        });
    }

    fn send_blocking(&self, rest: &[u8]) -> io::Result<()> {
        let mut stream = &self.socket.stream;
        stream.set_write_timeout(Some(SLOW_ANSWER_TIMEOUT))?;
        stream.write_all(rest)
    }

    /// Shuts the connection down if it is to be closed, which also ends the connection's thread.
    fn finish(&self) {
        if self.close {
            self.shut_down();
        }
    }

    fn shut_down(&self) {
        let _ = self.socket.stream.shutdown(Shutdown::Both);
    }
}

/// Appends a whole HTTP answer to `out`.
fn write_message(out: &mut Vec<u8>, head: &ResponseHead, body: &[u8], close: bool) {
    let ResponseHead { status, retry_after_s } = head;
    // Writing into memory cannot fail.
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
