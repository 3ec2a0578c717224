//! Thousands of fake workers, to measure the resource usage of the real program.
//!
//! Each worker has a loopback address of its own, all of them served by one listener, and one
//! thread with a small stack that sends heartbeats over one connection as the protocol requires.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::cloud::Instance;
use quartzlever_wire::workers::{Heartbeat, TaskId, WorkerCommands, WorkerReply};
use quartzlever_wire::{Micros, SECOND};

use crate::Worker;

/// Stack size in bytes of the thread of a worker.
const THREAD_STACK_BYTES: usize = 64 * 1024;
/// Interval at which a worker checks whether a heartbeat is due or its state has changed. A change
/// is reported no more often than this.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a heartbeat that was rejected or not answered.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a worker gives up on connecting or reading.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Timing of the workers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct WorkerBehaviour {
    /// Interval between the heartbeats of a worker. Each worker uses a fixed value between 75 % and
    /// 124 % of it, so that heartbeats do not come all at once.
    pub heartbeat_interval: Micros,
    /// Lease of a worker: how long it keeps its tasks running without an answer to its heartbeats.
    pub lease: Micros,
    /// Run time of a task.
    pub run_time: Micros,
}

type SharedWorker = Arc<Mutex<Worker>>;

/// A fleet of fake workers; new ones join with [`WorkerFleet::launched`].
pub struct WorkerFleet {
    workers: Mutex<BTreeMap<u32, SharedWorker>>,
    port: u16,
    start: Instant,
    behaviour: WorkerBehaviour,
    controller: Mutex<Option<SocketAddr>>,
    /// Number of heartbeats answered with 200.
    pub answered: AtomicU64,
    /// Number of heartbeats that were rejected or not answered.
    pub unanswered: AtomicU64,
}

/// Returns the number in a machine's name, from which its loopback address is derived.
pub(crate) fn machine_number(machine: &str) -> u32 {
    machine.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0)
}

/// Returns the loopback address, in 127.16.0.0/12, of the machine with this number, which has at
/// most 20 bits.
pub(crate) fn loopback_address(number: u32) -> Ipv4Addr {
    let [_, a, b, c] = number.to_be_bytes();
    Ipv4Addr::new(127, 16 | a, b, c)
}

impl WorkerFleet {
    /// Starts a fleet without workers. `start` is the instant from which the test counts time.
    pub fn start(behaviour: WorkerBehaviour, start: Instant) -> io::Result<Arc<WorkerFleet>> {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let fleet = Arc::new(WorkerFleet {
            workers: Mutex::new(BTreeMap::new()),
            port: listener.local_addr()?.port(),
            start,
            behaviour,
            controller: Mutex::new(None),
            answered: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
        });
        let served = fleet.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fleet = served.clone();
                thread::spawn(move || fleet.serve_connection(stream));
            }
        });
        Ok(fleet)
    }

    /// Returns the time of the test: microseconds since `start` plus one second, so that no time is
    /// 0.
    fn now(&self) -> Micros {
        SECOND + self.start.elapsed().as_micros() as Micros
    }

    /// Makes all workers send their heartbeats to this controller from their next connection on.
    pub fn report_to(&self, controller: SocketAddr) {
        if let Ok(mut known) = self.controller.lock() {
            *known = Some(controller);
        }
    }

    /// Starts the worker of a launched machine.
    pub fn launched(self: &Arc<Self>, mut instance: Instance) {
        let number = machine_number(&instance.name);
        instance.address = format!("{}:{}", loopback_address(number), self.port);
        let worker =
            Worker::new(instance, self.behaviour.lease, self.behaviour.run_time, self.now());
        let shared_worker = Arc::new(Mutex::new(worker));
        if let Ok(mut workers) = self.workers.lock() {
            workers.insert(number, shared_worker.clone());
        }
        let fleet = self.clone();
        let heartbeat_loop = move || {
            while fleet.find_worker(number).is_some() {
                fleet.send_heartbeats(&shared_worker);
            }
        };
        let _ = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(heartbeat_loop);
    }

    /// Removes the worker of a terminated machine.
    pub fn terminated(&self, machine: &str) {
        if let Ok(mut workers) = self.workers.lock() {
            workers.remove(&machine_number(machine));
        }
    }

    fn find_worker(&self, number: u32) -> Option<SharedWorker> {
        self.workers.lock().ok()?.get(&number).cloned()
    }

    /// Returns the number of running tasks and the number of workers.
    pub fn running(&self) -> (usize, usize) {
        let workers: Vec<_> = match self.workers.lock() {
            Ok(workers) => workers.values().cloned().collect(),
            Err(_) => Vec::new(),
        };
        let task_counts = workers.iter().filter_map(|w| w.lock().ok()).map(|w| w.running().len());
        (task_counts.sum(), workers.len())
    }

    /// Returns all task starts on the current machines, with their times.
    fn starts(&self) -> Vec<(TaskId, Micros)> {
        let workers: Vec<SharedWorker> = match self.workers.lock() {
            Ok(workers) => workers.values().cloned().collect(),
            Err(_) => Vec::new(),
        };
        let started = workers.iter().filter_map(|w| w.lock().ok().map(|w| w.started.clone()));
        started.flatten().collect()
    }

    /// Returns the number of task starts on the current machines.
    pub fn started(&self) -> usize {
        self.starts().len()
    }

    /// Returns the number of task starts beyond the first of each task.
    pub fn started_again(&self) -> usize {
        let starts = self.starts();
        let tasks: BTreeSet<&TaskId> = starts.iter().map(|(task, _)| task).collect();
        starts.len() - tasks.len()
    }

    /// Returns the time of the first task start after `moment`.
    pub fn first_start_since(&self, moment: Micros) -> Option<Micros> {
        self.starts().into_iter().map(|(_, at)| at).filter(|at| *at > moment).min()
    }

    /// Sends heartbeats over one connection until it ends, and pauses after a failure.
    fn send_heartbeats(&self, shared_worker: &Mutex<Worker>) {
        let Some(controller) = self.controller.lock().ok().and_then(|c| *c) else {
            return thread::sleep(RETRY_DELAY);
        };
        if self.send_heartbeats_to(shared_worker, controller).is_err() {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Sends heartbeats to a controller over one connection until the controller closes it or the
    /// machine is terminated.
    fn send_heartbeats_to(
        &self,
        shared_worker: &Mutex<Worker>,
        controller: SocketAddr,
    ) -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&controller, CONNECTION_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CONNECTION_TIMEOUT))?;
        let mut stream = BufReader::with_capacity(512, stream);
        loop {
            let (heartbeat, sent, close) = self.exchange_heartbeat(shared_worker, &mut stream)?;
            if !self.wait_until_due(shared_worker, &heartbeat, sent)? || close {
                return Ok(());
            }
        }
    }

    /// Sends one heartbeat and passes the response to the worker. Returns the heartbeat, when it
    /// was sent, and whether the controller closes the connection.
    fn exchange_heartbeat(
        &self,
        shared_worker: &Mutex<Worker>,
        stream: &mut BufReader<TcpStream>,
    ) -> io::Result<(Heartbeat, Micros, bool)> {
        let sent = self.now();
        let heartbeat = {
            let mut worker = shared_worker.lock().map_err(|_| heartbeat_failed())?;
            worker.advance_to(sent);
            worker.heartbeat()
        };
        let head = "POST /hello HTTP/1.1\r\nHost: c\r\n";
        send_message(stream, head, "Content-Type: application/json\r\n", &heartbeat)?;
        let (first_line, body, close) = read_message(stream)?;
        if !first_line.contains(" 200 ") {
            return Err(heartbeat_failed());
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        let commands: WorkerCommands = serde_json::from_slice(&body)?;
        let mut worker = shared_worker.lock().map_err(|_| heartbeat_failed())?;
        worker.receive_reply(&commands, sent, heartbeat.incarnation, self.now());
        drop(worker);
        Ok((heartbeat, sent, close))
    }

    /// Waits until the next heartbeat is due or the state of the worker has changed. Returns
    /// `false` if the machine has been terminated.
    ///
    /// The interval of a worker depends on the number of its machine, which spreads the heartbeats.
    fn wait_until_due(
        &self,
        shared_worker: &Mutex<Worker>,
        heartbeat: &Heartbeat,
        sent: Micros,
    ) -> io::Result<bool> {
        let number = machine_number(&heartbeat.machine);
        let offset = SECOND * u64::from(number % 50) / 50;
        let next = sent
            + self.behaviour.heartbeat_interval * 3 / 4
            + offset * self.behaviour.heartbeat_interval / 2 / SECOND;
        loop {
            thread::sleep(CHANGE_CHECK_INTERVAL);
            if self.find_worker(number).is_none() {
                return Ok(false);
            }
            let mut worker = shared_worker.lock().map_err(|_| heartbeat_failed())?;
            let now = self.now();
            worker.advance_to(now);
            if now >= next || !worker.is_reported_by(heartbeat) {
                return Ok(true);
            }
        }
    }

    /// Serves calls to the address of a worker on one connection.
    fn serve_connection(&self, stream: TcpStream) {
        let Ok(SocketAddr::V4(local)) = stream.local_addr() else { return };
        let [_, a, b, c] = local.ip().octets();
        let number = u32::from_be_bytes([0, a & 15, b, c]);
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::with_capacity(512, stream);
        while let Ok((first_line, body, _)) = read_message(&mut stream) {
            let (head, heartbeat) = match self.handle_request(number, &first_line, &body) {
                Some(WorkerReply::Status(heartbeat)) => ("HTTP/1.1 200 OK\r\n", heartbeat),
                Some(WorkerReply::Refused(heartbeat)) => ("HTTP/1.1 409 Conflict\r\n", heartbeat),
                None => return,
            };
            if send_message(&mut stream, head, "", &heartbeat).is_err() {
                return;
            }
        }
    }

    /// Returns a worker's reply to a call, or `None` if the worker is gone or the call is
    /// malformed.
    fn handle_request(&self, number: u32, first_line: &str, body: &[u8]) -> Option<WorkerReply> {
        let shared_worker = self.find_worker(number)?;
        let mut worker = shared_worker.lock().ok()?;
        let now = self.now();
        worker.advance_to(now);
        if first_line.starts_with("GET") {
            return Some(WorkerReply::Status(worker.heartbeat()));
        }
        let commands = serde_json::from_slice::<WorkerCommands>(body).ok()?;
        Some(worker.receive_commands(&commands, now))
    }
}

/// Returns the error for a rejected heartbeat and for a worker whose lock is poisoned.
fn heartbeat_failed() -> io::Error {
    io::ErrorKind::Other.into()
}

/// Writes an HTTP message: `head`, the content length, the lines `headers`, and a heartbeat as the
/// body.
fn send_message(
    stream: &mut BufReader<TcpStream>,
    head: &str,
    headers: &str,
    heartbeat: &Heartbeat,
) -> io::Result<()> {
    let body = serde_json::to_vec(heartbeat)?;
    let length = body.len();
    let mut message = format!("{head}Content-Length: {length}\r\n{headers}\r\n").into_bytes();
    message.extend_from_slice(&body);
    stream.get_mut().write_all(&message)
}

/// Reads an HTTP message. Returns its first line, its body, and whether it closes the connection.
fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<(String, Vec<u8>, bool)> {
    let mut first_line = String::new();
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if first_line.is_empty() {
            line.clone_into(&mut first_line);
            continue;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "connection" => close = value.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((first_line, body, close))
}
