//! Requests as they are read from a connection.
//!
//! Owns the buffer of a connection and the time limits of reading. Never writes an answer.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quartzlever_wire::MAX_BODY;

use super::admission::Admission;
use super::request::{Malformed, RequestHead, parse_head};
use super::routing::Route;
use crate::responder::ClientSocket;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// When connections run short an idle one is closed after this time, before others are refused.
const IDLE_SLICE: Duration = Duration::from_secs(10);
/// A request that has begun must be there in full within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// What is read at once, in bytes; most requests are shorter.
const READ_BYTES: usize = 1024;
/// A buffer of more bytes is not kept from one request to the next.
const MAX_KEPT_BYTES: usize = 4 * READ_BYTES;
/// The most bytes of a body that is too long that are read past.
const MAX_SKIPPED_BYTES: usize = 4 << 20;

const BODY_TOO_LONG: Route = Route::Refused { status: 400, reason: "body too long" };

/// Why there is no further request.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A request that is there in full. Its body is the first part of the buffer.
#[derive(Debug)]
pub struct Request {
    pub route: Route,
    /// The connection is closed after the answer.
    pub close: bool,
    body_bytes: usize,
}

/// Reads the requests of a connection, one after the other.
pub struct RequestReader<'a> {
    socket: Arc<ClientSocket>,
    admission: &'a Admission,
    buffer: Vec<u8>,
    /// The time limit that the socket has at present.
    read_timeout: Option<Duration>,
}

impl<'a> RequestReader<'a> {
    /// Nothing is read yet.
    pub fn new(socket: Arc<ClientSocket>, admission: &'a Admission) -> RequestReader<'a> {
        RequestReader { socket, admission, buffer: Vec::new(), read_timeout: None }
    }

    /// Waits for the next request; none if the connection has ended, or was idle for too long.
    pub fn next_request(&mut self) -> Result<Option<Request>, ReadError> {
        if self.buffer.is_empty() && !self.await_request()? {
            return Ok(None);
        }
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let head = self.read_head(deadline)?;
        self.buffer.drain(..head.head_bytes);
        if head.expects_continue {
            self.socket.stream().write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let RequestHead { route, close, content_length, .. } = head;
        if content_length > MAX_BODY {
            self.skip_body(content_length, deadline)?;
            let is_refused = matches!(route, Route::Refused { .. });
            let route = if is_refused { route } else { BODY_TOO_LONG };
            return Ok(Some(Request { route, close: true, body_bytes: 0 }));
        }
        while self.buffer.len() < content_length {
            self.read_part(deadline)?;
        }
        Ok(Some(Request { route, close, body_bytes: content_length }))
    }

    /// The body of the request that was read last.
    pub fn body(&self, request: &Request) -> &[u8] {
        &self.buffer[..request.body_bytes]
    }

    /// Whether something was received behind the request.
    pub fn has_more(&self, request: &Request) -> bool {
        self.buffer.len() > request.body_bytes
    }

    /// Makes room for the next request.
    pub fn discard(&mut self, body_bytes: usize) {
        self.buffer.drain(..body_bytes);
        if self.buffer.capacity() > MAX_KEPT_BYTES && self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Waits for the first bytes of a request; `false` if none come.
    fn await_request(&mut self) -> io::Result<bool> {
        let mut waited = Duration::ZERO;
        loop {
            match self.read_some(IDLE_SLICE) {
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    waited += IDLE_SLICE;
                    if self.admission.is_short() || waited >= IDLE_TIMEOUT {
                        return Ok(false);
                    }
                }
                result => return Ok(result? > 0),
            }
        }
    }

    fn read_head(&mut self, deadline: Instant) -> Result<RequestHead, ReadError> {
        loop {
            match parse_head(&self.buffer)? {
                Some(head) => return Ok(head),
                None => self.read_part(deadline)?,
            }
        }
    }

    /// Reads past a body that is too long, within reason, so that the answer is not lost with a reset.
    fn skip_body(&mut self, content_length: usize, deadline: Instant) -> io::Result<()> {
        let mut left = content_length.min(MAX_SKIPPED_BYTES);
        left -= self.buffer.len().min(left);
        self.buffer.clear();
        while left > 0 {
            let count = self.read_before(deadline)?;
            if count == 0 {
                break;
            }
            left -= count.min(left);
            self.buffer.clear();
        }
        Ok(())
    }

    /// Reads another partition of a request that must not end yet.
    fn read_part(&mut self, deadline: Instant) -> io::Result<()> {
        if self.read_before(deadline)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    fn read_before(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.read_some(left)
    }

    fn read_some(&mut self, timeout: Duration) -> io::Result<usize> {
        if self.read_timeout != Some(timeout) {
            self.socket.stream().set_read_timeout(Some(timeout))?;
            self.read_timeout = Some(timeout);
        }
        let before = self.buffer.len();
        self.buffer.resize(before + READ_BYTES, 0);
        let result = loop {
            match self.socket.stream().read(&mut self.buffer[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        self.buffer.truncate(before + result.as_ref().copied().unwrap_or(0));
        result
    }
}
