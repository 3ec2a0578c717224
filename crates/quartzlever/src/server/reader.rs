//! Reads requests from a connection, within time limits.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quartzlever_wire::MAX_BODY;

use super::admission::AdmissionControl;
use super::request::{MalformedRequest, RequestHead, parse_head};
use super::routing::Route;
use crate::responder::ClientSocket;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// An idle connection waits in steps of this length. It is closed at the end of a step if nearly
/// all allowed connections are open, before new ones are refused. [`IDLE_TIMEOUT`] is a multiple of
/// it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// A request must be complete within this time from its first bytes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes read at once; most requests are shorter.
const READ_BYTES: usize = 1024;
/// A larger buffer is freed after its request.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * READ_BYTES;
/// Most bytes of an overlong body that are read and discarded.
const MAX_SKIPPED_BYTES: usize = 4 << 20;

const BODY_TOO_LONG: Route = Route::Refused { status: 400, reason: "body too long" };

/// The reason why no further request could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error(transparent)]
    Malformed(#[from] MalformedRequest),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A complete request. Its body is at the beginning of the reader's buffer.
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
    admission: &'a AdmissionControl,
    buffer: Vec<u8>,
    /// The read timeout that is set on the socket.
    read_timeout: Option<Duration>,
}

impl<'a> RequestReader<'a> {
    /// Creates a reader with an empty buffer.
    pub fn new(socket: Arc<ClientSocket>, admission: &'a AdmissionControl) -> RequestReader<'a> {
        RequestReader { socket, admission, buffer: Vec::new(), read_timeout: None }
    }

    /// Waits for the next request. Returns `None` if the connection has ended or was idle for too
    /// long.
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
            self.read_more(deadline)?;
        }
        Ok(Some(Request { route, close, body_bytes: content_length }))
    }

    /// Returns the body of the request that was read last.
    pub fn body(&self, request: &Request) -> &[u8] {
        &self.buffer[..request.body_bytes]
    }

    /// Reports whether bytes were received after the request.
    pub fn has_trailing_bytes(&self, request: &Request) -> bool {
        self.buffer.len() > request.body_bytes
    }

    /// Removes the body of the last request from the buffer.
    pub fn discard(&mut self, body_bytes: usize) {
        self.buffer.drain(..body_bytes);
        if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES && self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Waits for the first bytes of a request; returns `false` if none arrive.
    fn await_request(&mut self) -> io::Result<bool> {
        let mut waited = Duration::ZERO;
        loop {
            match self.read_some(IDLE_CHECK_INTERVAL) {
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    waited += IDLE_CHECK_INTERVAL;
                    if self.admission.is_nearly_full() || waited >= IDLE_TIMEOUT {
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
                None => self.read_more(deadline)?,
            }
        }
    }

    /// Reads and discards a body that is too long, up to a limit. Closing the connection with
    /// unread bytes would reset it, and the client would lose the answer.
    fn skip_body(&mut self, content_length: usize, deadline: Instant) -> io::Result<()> {
        let mut left = content_length.min(MAX_SKIPPED_BYTES);
        left -= self.buffer.len().min(left);
        self.buffer.clear();
        while left > 0 {
            let count = self.read_until(deadline)?;
            if count == 0 {
                break;
            }
            left -= count.min(left);
            self.buffer.clear();
        }
        Ok(())
    }

    /// Reads more of a request; fails if the connection ends.
    fn read_more(&mut self, deadline: Instant) -> io::Result<()> {
        if self.read_until(deadline)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// Reads some bytes; fails with [`io::ErrorKind::TimedOut`] once `deadline` has passed.
    fn read_until(&mut self, deadline: Instant) -> io::Result<usize> {
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
