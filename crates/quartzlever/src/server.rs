//! The HTTP server of users, workers and health checks.
//!
//! `tiny_http` was the wish. It keeps a thread for every open connection without any bound,
//! has no time limit on a half-sent request and no way to close idle connections, and the
//! sockets, which would allow all that, stay hidden in it. What stands here is its nearest kin:
//! the same blocking threads, one for each connection, around the `httparse` parser, with a
//! bound on connections and a deadline on everything.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_core::Command;
use quartzlever_wire::users::{JobSpec, valid_id};
use quartzlever_wire::workers::Report;
use quartzlever_wire::{MAX_BODY, Micros};
use socket2::{Domain, SockRef, Socket, Type};

use crate::clock::Clock;
use crate::inbox::{Inbox, Line};
use crate::settings::Limits;
use crate::thread_pool::{New, STACK, accept_loop};

/// An idle connection is closed after this time, and when connections run short after a slice of
/// it, before others are refused.
const IDLE: Duration = Duration::from_secs(30);
const IDLE_SLICE: Duration = Duration::from_secs(10);
/// A request that has begun must be there in full within this time.
const WHOLE: Duration = Duration::from_secs(5);
const HEAD: usize = 8 * 1024;
/// Users give up after 5 s, pollers after 2 s, workers after 4 s; the core's thread looks for
/// those whose time is over now and then.
const USER_PATIENCE: Micros = 4_500_000;
const LOOKUP_PATIENCE: Micros = 1_700_000;
const WORKER_PATIENCE: Micros = 3_500_000;
const HEALTH_PATIENCE: Micros = 700_000;
/// What is read at once; most requests are shorter.
const PIECE: usize = 1024;

/// How many connections there may be; of these how many of workers, so that users find room
/// always; and of these how many may stay open. The workers beyond that are answered and their
/// connection is closed, so that they take turns: those that found no connection at all lost
/// their lease, since none of the others, which report all the time, ever becomes idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub all: usize,
    pub workers: usize,
    pub kept: usize,
}

/// What a connection costs, measured with hundreds of them (14 to 30 KB): its thread's stack as
/// far as it is touched, buffers, and what the core keeps of its worker.
const CONNECTION_MB: f64 = 0.035;
/// Share of the sockets and of the memory that connections may take.
const SOCKETS_SHARE: f64 = 0.8;
const MEMORY_SHARE: f64 = 0.7;
const WORKERS_SHARE: f64 = 0.85;
const KEPT_SHARE: f64 = 0.9;
/// Threads of the process that serve no connection of users or workers, with some to spare: calls
/// of all kinds, peers' connections, the core, those that accept.
const OTHER_THREADS: u32 = 120;

impl Bounds {
    pub fn of(limits: Limits) -> Bounds {
        let by_memory = limits.memory_mb * MEMORY_SHARE / CONNECTION_MB;
        let by_threads = f64::from(limits.threads.saturating_sub(OTHER_THREADS));
        let by_sockets = f64::from(limits.sockets) * SOCKETS_SHARE;
        let all = by_sockets.min(by_threads).min(by_memory).max(16.0);
        let workers = all * WORKERS_SHARE;
        let kept = (workers * KEPT_SHARE) as usize;
        Bounds { all: all as usize, workers: workers as usize, kept }
    }
}

/// Whether a worker's connection may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stay {
    Kept,
    /// For this one report.
    Once,
    Refused,
}

/// How many connections there are.
#[derive(Debug, Default)]
struct Open {
    all: AtomicUsize,
    workers: AtomicUsize,
}

/// A port that is taken but not served yet: whoever comes is refused by the system at no cost. All
/// workers knock every second at a node that has just started, and turning them away one by one
/// took it 14 s of what it needed to come to be of use.
pub struct Port {
    socket: Socket,
    bounds: Bounds,
    inbox: Inbox,
    clock: Clock,
}

/// How many connections the system keeps until they are accepted.
const BACKLOG: i32 = 128;

impl Port {
    pub fn take(
        address: SocketAddr,
        bounds: Bounds,
        inbox: Inbox,
        clock: Clock,
    ) -> io::Result<Port> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(Port { socket, bounds, inbox, clock })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        let address = self.socket.local_addr()?;
        address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
    }

    /// Serves the port from threads of its own.
    pub fn open(self) -> io::Result<()> {
        let Port { socket, bounds, inbox, clock } = self;
        socket.listen(BACKLOG)?;
        let open = Arc::new(Open::default());
        accept_loop("http", socket.into(), bounds.all, move |stream, new| {
            open.all.fetch_add(1, Ordering::Relaxed);
            let mut connection = Connection::new((stream, new), &inbox, clock, &open, bounds);
            let _ = connection.run();
            if connection.worker {
                open.workers.fetch_sub(1, Ordering::Relaxed);
            }
            open.all.fetch_sub(1, Ordering::Relaxed);
        })
    }
}

/// What a request is about.
#[derive(Debug, PartialEq, Eq)]
enum Path {
    Ready,
    Hello,
    Submit,
    Lookup(String),
    Abort(String),
    /// Refused at once, with this status and reason.
    Wrong(u16, &'static str),
}

impl Path {
    fn of(method: &str, target: &str) -> Path {
        let path = target.split('?').next().unwrap_or("").trim_start_matches('/');
        let (path, allowed) = match path.strip_prefix("v2/runs") {
            Some("") => (Path::Submit, "POST"),
            Some(rest) => {
                match rest.strip_prefix('/').map(|r| r.split_once('/').unwrap_or((r, ""))) {
                    Some((job, "")) if !rest.ends_with('/') => {
                        (Path::Lookup(job.to_owned()), "GET")
                    }
                    Some((job, "abort")) => (Path::Abort(job.to_owned()), "POST"),
                    _ => return Path::Wrong(404, "no such path"),
                }
            }
            None if path == "ready" => (Path::Ready, "GET"),
            None if path == "hello" => (Path::Hello, "POST"),
            None => return Path::Wrong(404, "no such path"),
        };
        if method != allowed {
            return Path::Wrong(405, "method not allowed");
        }
        match path {
            // No job was ever accepted under a name that is none.
            Path::Lookup(job) | Path::Abort(job) if !valid_id(&job) => {
                Path::Wrong(404, "unknown job")
            }
            path => path,
        }
    }
}

struct Request {
    path: Path,
    close: bool,
}

/// The socket of a connection, shared by its thread, which reads, and by whoever answers.
#[derive(Debug)]
struct Link {
    stream: TcpStream,
    /// A request is with the core. Nobody may send another before its answer.
    asked: AtomicBool,
    /// The connection is new, until the core has taken its first request.
    new: Mutex<Option<New>>,
}

/// The way to a connection for one answer. The thread that has the answer writes it itself: a
/// thread that woke up for each answer only to write it was half the cost of a report.
#[derive(Debug)]
pub struct Responder {
    link: Arc<Link>,
    close: bool,
}

impl Link {
    /// A request of the connection is taken up.
    fn taken(&self) {
        drop(self.new.lock().unwrap_or_else(|e| e.into_inner()).take());
    }

    /// Whether the other side has given up and closed the connection. What waits unread, which
    /// nobody sends before an answer, does not matter.
    fn given_up(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream)
            .recv_with_flags(&mut byte, libc::MSG_PEEK | libc::MSG_DONTWAIT);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }
}

impl Responder {
    /// The core has taken the request.
    pub fn taken(&self) {
        self.link.taken();
    }

    /// Whether nobody waits for the answer any more.
    pub fn given_up(&self) -> bool {
        self.link.given_up()
    }

    /// Sends an answer; `scratch` is where it is written. Never waits: what the socket does not take
    /// at once is left to a thread of its own.
    pub fn send(self, answer: &Status, body: &[u8], scratch: &mut Vec<u8>) {
        scratch.clear();
        write_message(scratch, answer, body, self.close);
        self.link.asked.store(false, Ordering::Release);
        let sent = SockRef::from(&self.link.stream).send_with_flags(scratch, libc::MSG_DONTWAIT);
        let sent = match sent {
            Ok(sent) => sent,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            // The asker has gone away.
            Err(_) => return,
        };
        if sent == scratch.len() {
            self.finish();
        } else {
            let rest = scratch.split_off(sent);
            let _ = thread::Builder::new().name("slow-answer".into()).stack_size(STACK).spawn(
                move || {
                    let stream = &self.link.stream;
                    let set = stream.set_write_timeout(Some(WHOLE));
                    if set.is_ok() && (&self.link.stream).write_all(&rest).is_ok() {
                        self.finish();
                    } else {
                        let _ = self.link.stream.shutdown(std::net::Shutdown::Both);
                    }
                },
            );
        }
    }

    /// Lets the connection's thread end with the connection.
    fn finish(&self) {
        if self.close {
            let _ = self.link.stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// An answer but for its body.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    pub status: u16,
    pub retry_after_s: Option<u32>,
}

/// The answer to those who have to come back, and its body.
pub const BUSY: Status = Status { status: 503, retry_after_s: Some(1) };
pub const BUSY_BODY: &[u8] = b"{\"error\":\"busy\"}";

const READY_BODY: &[u8] = b"{\"ready\":true}";

struct Connection<'a> {
    link: Arc<Link>,
    buffer: Vec<u8>,
    inbox: &'a Inbox,
    clock: Clock,
    open: &'a Open,
    bounds: Bounds,
    /// A worker reports here.
    worker: bool,
    /// The time limit that the socket has at present.
    limit: Option<Duration>,
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed request")
}

impl<'a> Connection<'a> {
    fn new(
        (stream, new): (TcpStream, New),
        inbox: &'a Inbox,
        clock: Clock,
        open: &'a Open,
        bounds: Bounds,
    ) -> Self {
        let new = Mutex::new(Some(new));
        let link = Arc::new(Link { stream, asked: AtomicBool::new(false), new });
        let buffer = Vec::new();
        Connection { link, buffer, inbox, clock, open, bounds, worker: false, limit: None }
    }

    /// Counts the connection as a worker's, and says whether it may stay.
    fn count_worker(&mut self) -> Stay {
        if self.worker {
            return Stay::Kept;
        }
        let before = self.open.workers.fetch_add(1, Ordering::Relaxed);
        if before >= self.bounds.workers {
            self.open.workers.fetch_sub(1, Ordering::Relaxed);
            return Stay::Refused;
        }
        self.worker = true;
        if before < self.bounds.kept { Stay::Kept } else { Stay::Once }
    }

    fn run(&mut self) -> io::Result<()> {
        loop {
            let (request, body) = match self.read_request() {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    return self.answer(400, "malformed request", true);
                }
                Err(e) => return Err(e),
            };
            if self.link.asked.load(Ordering::Acquire) {
                // Nobody sends a second request before the answer to the first.
                return Ok(());
            }
            if body == self.buffer.len() && self.link.given_up() {
                // Read too late. Far behind, a node took in nothing but reports of workers that
                // had closed the connection and reported elsewhere, and never caught up.
                return Ok(());
            }
            let stay = if request.path == Path::Hello { self.count_worker() } else { Stay::Kept };
            let close = request.close || stay != Stay::Kept;
            if stay == Stay::Refused {
                return self.busy(true);
            }
            self.route(request.path, body, close)?;
            self.buffer.drain(..body);
            if self.buffer.capacity() > 4 * PIECE && self.buffer.is_empty() {
                self.buffer = Vec::new();
            }
        }
    }

    /// Waits for the next request; `false` if none comes.
    fn await_request(&mut self) -> io::Result<bool> {
        let mut waited = Duration::ZERO;
        loop {
            match self.read_some(IDLE_SLICE) {
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    waited += IDLE_SLICE;
                    let short = self.open.all.load(Ordering::Relaxed) * 10 > self.bounds.all * 9;
                    if short || waited >= IDLE {
                        return Ok(false);
                    }
                }
                result => return Ok(result? > 0),
            }
        }
    }

    /// Reads some more of a request that has begun.
    fn fill(&mut self, end: Instant) -> io::Result<usize> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.read_some(left)
    }

    fn read_some(&mut self, left: Duration) -> io::Result<usize> {
        if self.limit != Some(left) {
            self.link.stream.set_read_timeout(Some(left))?;
            self.limit = Some(left);
        }
        let before = self.buffer.len();
        self.buffer.resize(before + PIECE, 0);
        let result = loop {
            match (&self.link.stream).read(&mut self.buffer[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        self.buffer.truncate(before + result.as_ref().copied().unwrap_or(0));
        result
    }

    /// The next request, and how much of the buffer is its body.
    fn read_request(&mut self) -> io::Result<Option<(Request, usize)>> {
        if self.buffer.is_empty() && !self.await_request()? {
            return Ok(None);
        }
        let end = Instant::now() + WHOLE;
        let (head, mut request, length, expects) = loop {
            let mut headers = [httparse::EMPTY_HEADER; 48];
            let mut parsed = httparse::Request::new(&mut headers);
            match parsed.parse(&self.buffer).map_err(|_| malformed())? {
                httparse::Status::Complete(head) => {
                    let mut close = parsed.version == Some(0);
                    let (mut length, mut expects) = (0, false);
                    for header in parsed.headers.iter() {
                        let value = || std::str::from_utf8(header.value).unwrap_or("").trim();
                        let name = header.name;
                        if name.eq_ignore_ascii_case("content-length") {
                            length = value().parse().map_err(|_| malformed())?;
                        } else if name.eq_ignore_ascii_case("transfer-encoding") {
                            // Nobody sends bodies in chunks here; their end would be missed.
                            return Err(malformed());
                        } else if name.eq_ignore_ascii_case("connection") {
                            close = value().eq_ignore_ascii_case("close");
                        } else if name.eq_ignore_ascii_case("expect") {
                            expects = true;
                        }
                    }
                    let path = Path::of(parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
                    break (head, Request { path, close }, length, expects);
                }
                httparse::Status::Partial if self.buffer.len() > HEAD => return Err(malformed()),
                httparse::Status::Partial => {
                    if self.fill(end)? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        };
        self.buffer.drain(..head);
        if expects {
            (&self.link.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        if length > MAX_BODY {
            // Read past it, within reason, so that the answer is not lost with a reset.
            let mut left = length.min(4 << 20);
            left -= self.buffer.len().min(left);
            self.buffer.clear();
            while left > 0 {
                let count = self.fill(end)?;
                if count == 0 {
                    break;
                }
                left -= count.min(left);
                self.buffer.clear();
            }
            request.close = true;
            if !matches!(request.path, Path::Wrong(..)) {
                request.path = Path::Wrong(400, "body too long");
            }
            return Ok(Some((request, 0)));
        }
        while self.buffer.len() < length {
            if self.fill(end)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(Some((request, length)))
    }

    /// Hands a request to the core, or answers it at once; the body is the first part of the buffer.
    fn route(&self, path: Path, body: usize, close: bool) -> io::Result<()> {
        let body = &self.buffer[..body];
        match path {
            Path::Wrong(status, why) => self.answer(status, why, close),
            // All workers ask every second then; the core need not wake for each.
            Path::Ready | Path::Hello if self.inbox.starting() => self.busy(close),
            // A late answer to a health check takes the node out of service for seconds, and each
            // time for twice as long; it must not wait for what the core has to do first.
            Path::Ready if self.inbox.ready(self.clock.now()) => {
                self.write(Status { status: 200, retry_after_s: None }, READY_BODY, close)
            }
            Path::Ready => {
                self.ask(Line::First, HEALTH_PATIENCE, close, |id| Command::Ready { id })
            }
            Path::Hello => match Report::parse(body) {
                Some(report) => self
                    .ask(Line::First, WORKER_PATIENCE, close, |id| Command::Report { id, report }),
                None => self.answer(400, "not a report", close),
            },
            Path::Submit => match JobSpec::parse(body) {
                Ok(spec) => self.ask(Line::Submissions, USER_PATIENCE, close, |id| {
                    Command::Submit { id, spec: Box::new(spec) }
                }),
                Err(why) => self.answer(400, &why.to_string(), close),
            },
            Path::Lookup(job) => {
                self.ask(Line::Questions, LOOKUP_PATIENCE, close, |id| Command::Lookup { id, job })
            }
            Path::Abort(job) => {
                self.ask(Line::Questions, USER_PATIENCE, close, |id| Command::Abort { id, job })
            }
        }
    }

    /// Leaves a request to the core, whose thread answers it.
    fn ask(
        &self,
        line: Line,
        patience: Micros,
        close: bool,
        command: impl FnOnce(u64) -> Command,
    ) -> io::Result<()> {
        self.link.asked.store(true, Ordering::Release);
        let responder = Responder { link: self.link.clone(), close };
        match self.inbox.ask(line, responder, self.clock.now() + patience, command) {
            Ok(()) => Ok(()),
            Err(_) => {
                self.link.asked.store(false, Ordering::Release);
                self.busy(close)
            }
        }
    }

    fn answer(&self, status: u16, why: &str, close: bool) -> io::Result<()> {
        let body = serde_json::json!({ "error": why }).to_string();
        self.write(Status { status, retry_after_s: None }, body.as_bytes(), close)
    }

    fn busy(&self, close: bool) -> io::Result<()> {
        self.write(BUSY, BUSY_BODY, close)
    }

    fn write(&self, status: Status, body: &[u8], close: bool) -> io::Result<()> {
        self.link.taken();
        let mut message = Vec::new();
        write_message(&mut message, &status, body, close);
        (&self.link.stream).write_all(&message)?;
        if close { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }
}

/// Writes a whole answer.
fn write_message(out: &mut Vec<u8>, answer: &Status, body: &[u8], close: bool) {
    let Status { status, retry_after_s } = answer;
    // Writing into memory does not fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reason(*status),
        body.len()
    );
    if let Some(after) = retry_after_s {
        let _ = write!(out, "Retry-After: {after}\r\n");
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    out.extend_from_slice(body);
}

fn reason(status: u16) -> &'static str {
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

#[cfg(test)]
mod tests;
