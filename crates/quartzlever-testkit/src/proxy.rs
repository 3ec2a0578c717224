//! A TCP proxy that injects faults into the connections of one link, and repeats requests.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::repeats::RepeatSchedule;

/// Size in bytes of the largest piece of data that a proxy forwards at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Stack size in bytes of the threads that forward data.
const STACK_BYTES: usize = 128 * 1024;
/// Time for which a proxy waits for the answer to a repeated request, which nobody else waits for.
const REPEATED_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a proxy gives up on connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Connections are closed, and new ones are closed as soon as they are made.
    Refused,
    /// What the client sends is lost.
    RequestsLost,
    /// What the server sends is lost, after it has executed the request.
    AnswersLost,
    /// What either side sends is lost.
    AllLost,
    /// Everything arrives later by this time.
    Delayed(Duration),
    /// Everything is held until the fault ends and then delivered in order, even if the sender has
    /// closed its connection by then.
    Held,
}

/// Direction of data on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl LinkFault {
    fn loses(self, direction: Direction) -> bool {
        match self {
            LinkFault::AllLost => true,
            LinkFault::RequestsLost => direction == Direction::Request,
            LinkFault::AnswersLost => direction == Direction::Answer,
            LinkFault::Refused | LinkFault::Delayed(_) | LinkFault::Held => false,
        }
    }
}

/// The two ends of a connection through the proxy.
#[derive(Debug)]
struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Whether data was lost, after which nothing more gets through.
    is_dead: bool,
    /// What the client has sent since the server last sent anything. Clients send one request at a
    /// time, so this is a whole request as soon as the server sends its answer.
    request: Vec<u8>,
}

impl Connection {
    fn shut_down(&self) {
        // Either end may be closed already.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

#[derive(Debug, Default)]
struct LinkState {
    fault: Option<LinkFault>,
    connections: BTreeMap<u64, Connection>,
}

#[derive(Debug)]
struct SharedLink {
    target: SocketAddr,
    state: Mutex<LinkState>,
    fault_changed: Condvar,
    last_connection: AtomicU64,
    affected: AtomicUsize,
    repeats: Option<RepeatSchedule>,
    repeated: AtomicUsize,
}

/// A proxy in front of one server for one client, or for clients that share their faults.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<SharedLink>,
    address: SocketAddr,
}

impl Link {
    /// Starts a proxy at a new loopback port. It forwards to `target` until the process exits, and
    /// sends answered requests there once more as `repeats` says.
    pub fn open(target: SocketAddr, repeats: Option<RepeatSchedule>) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(SharedLink {
            target,
            state: Mutex::default(),
            fault_changed: Condvar::new(),
            last_connection: AtomicU64::new(0),
            affected: AtomicUsize::new(0),
            repeats,
            repeated: AtomicUsize::new(0),
        });
        let accepting = shared.clone();
        spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = accepting.clone();
                spawn(move || shared.serve(client));
            }
        });
        Ok(Link { shared, address })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins a fault in place of the previous one, or ends it.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        let mut state = self.shared.lock();
        state.fault = fault;
        if fault.is_some() {
            self.shared.affected.fetch_add(state.connections.len(), Ordering::Relaxed);
        }
        let refuses = fault == Some(LinkFault::Refused);
        for connection in state.connections.values() {
            // A connection that has lost data stays useless; the network would have reset it.
            if refuses || (connection.is_dead && fault.is_none()) {
                connection.shut_down();
            }
        }
        drop(state);
        self.shared.fault_changed.notify_all();
    }

    /// Returns how many connections and pieces of data were affected by faults so far: connections
    /// that were open when a fault began or that it refused, and data sent during it.
    pub fn affected(&self) -> usize {
        self.shared.affected.load(Ordering::Relaxed)
    }
}

impl Link {
    /// Returns the number of answered requests that were sent once more so far.
    pub fn repeated(&self) -> usize {
        self.shared.repeated.load(Ordering::Relaxed)
    }
}

impl SharedLink {
    fn lock(&self) -> MutexGuard<'_, LinkState> {
        // A panic in another thread fails the test there, so poisoning is ignored here.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_affected(&self) {
        self.affected.fetch_add(1, Ordering::Relaxed);
    }

    /// Connects a client to the target and forwards data both ways until either end closes.
    fn serve(self: Arc<Self>, client: TcpStream) {
        if self.lock().fault == Some(LinkFault::Refused) {
            self.count_affected();
            let _ = client.shutdown(Shutdown::Both);
            return;
        }
        if let Err(error) = self.clone().connect(&client) {
            // The client sees that the server refuses connections.
            let _ = client.shutdown(Shutdown::Both);
            drop(error);
        }
    }

    fn connect(self: Arc<Self>, client: &TcpStream) -> io::Result<()> {
        let server = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let id = self.last_connection.fetch_add(1, Ordering::Relaxed) + 1;
        let registered = Connection {
            client: client.try_clone()?,
            server: server.try_clone()?,
            is_dead: false,
            request: Vec::new(),
        };
        self.lock().connections.insert(id, registered);
        let (from_client, to_client) = (client.try_clone()?, client.try_clone()?);
        let (from_server, to_server) = (server.try_clone()?, server);
        let requests = self.clone();
        spawn(move || requests.forward(id, Direction::Request, from_client, to_server));
        self.forward(id, Direction::Answer, from_server, to_client);
        self.lock().connections.remove(&id);
        Ok(())
    }

    /// Forwards data in one direction until its sender closes the connection. The close is passed
    /// on, so that the other direction ends too.
    fn forward(
        self: &Arc<Self>,
        id: u64,
        direction: Direction,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk) {
            if direction == Direction::Answer {
                self.repeat_answered_request(id);
            }
            if !self.admit(id, direction) {
                continue;
            }
            if direction == Direction::Request {
                self.record_request(id, &chunk[..length]);
            }
            if to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Records data of a request that is passed to the target.
    fn record_request(&self, id: u64, data: &[u8]) {
        if self.repeats.is_some()
            && let Some(connection) = self.lock().connections.get_mut(&id)
        {
            connection.request.extend_from_slice(data);
        }
    }

    /// Sends the request that the target now answers once more after a while, if it is to be
    /// repeated.
    fn repeat_answered_request(self: &Arc<Self>, id: u64) {
        let Some(repeats) = &self.repeats else { return };
        let request = self.lock().connections.get_mut(&id).map(|c| std::mem::take(&mut c.request));
        let Some(request) = request.filter(|request| !request.is_empty()) else { return };
        let Some(delay) = repeats.next_delay() else { return };
        let shared = self.clone();
        spawn(move || {
            thread::sleep(delay);
            // The target may be down by now, so that the copy is lost.
            let _ = shared.send_again(&request);
        });
    }

    /// Sends a request over a connection of its own and drops the answer.
    fn send_again(&self, request: &[u8]) -> io::Result<()> {
        let mut server = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        server.set_read_timeout(Some(REPEATED_ANSWER_TIMEOUT))?;
        server.write_all(request)?;
        self.repeated.fetch_add(1, Ordering::Relaxed);
        server.read(&mut [0; CHUNK_BYTES]).map(drop)
    }

    /// Applies the present fault to a piece of data: waits as it requires, and returns whether the
    /// data gets through.
    fn admit(&self, id: u64, direction: Direction) -> bool {
        let mut state = self.lock();
        let Some(fault) = state.fault else {
            return !state.connections.get(&id).is_some_and(|connection| connection.is_dead);
        };
        self.count_affected();
        match fault {
            LinkFault::Delayed(delay) => {
                drop(state);
                thread::sleep(delay);
                true
            }
            LinkFault::Held => {
                while state.fault == Some(LinkFault::Held) {
                    state = self.fault_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
                }
                true
            }
            fault => {
                let loses = fault.loses(direction);
                if let Some(connection) = state.connections.get_mut(&id).filter(|_| loses) {
                    connection.is_dead = true;
                }
                !loses && !state.connections.get(&id).is_some_and(|connection| connection.is_dead)
            }
        }
    }
}

/// Starts a thread with a small stack. If that fails, its connection is not served.
fn spawn(work: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
}
