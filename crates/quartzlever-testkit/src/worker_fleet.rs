//! Thousands of fake workers, to measure what the real program costs beside them.
//!
//! Each worker has a loopback address of its own, all served by one listener, and one small thread
//! that heartbeats over one connection as the protocol says.

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

const STACK: usize = 64 * 1024;
/// A change is reported no more often than this.
const CHANGE: Duration = Duration::from_millis(500);
/// Wait after a heartbeat that was turned away or not answered.
const TURNED_AWAY: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(4);

/// How the workers of a fleet behave.
#[derive(Clone, Copy, Debug)]
pub struct WorkerBehaviour {
    /// Time between heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// How long a worker runs its tasks without an answer to its heartbeats.
    pub lease: Micros,
    /// How long a task runs.
    pub run_time: Micros,
}

type Member = Arc<Mutex<Worker>>;

/// A fleet of fake workers; new ones join with [`WorkerFleet::launched`].
pub struct WorkerFleet {
    members: Mutex<BTreeMap<u32, Member>>,
    port: u16,
    start: Instant,
    behaviour: WorkerBehaviour,
    controller: Mutex<Option<SocketAddr>>,
    /// How many heartbeats were answered.
    pub answered: AtomicU64,
    /// How many heartbeats were turned away or not answered.
    pub unanswered: AtomicU64,
}

/// The number in a machine's name, which makes its loopback address.
fn number(machine: &str) -> u32 {
    machine.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0)
}

fn address(number: u32) -> Ipv4Addr {
    let [_, a, b, c] = number.to_be_bytes();
    Ipv4Addr::new(127, 16 | a, b, c)
}

impl WorkerFleet {
    /// Starts a fleet without workers.
    pub fn start(behaviour: WorkerBehaviour, start: Instant) -> io::Result<Arc<WorkerFleet>> {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let fleet = Arc::new(WorkerFleet {
            members: Mutex::new(BTreeMap::new()),
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
                thread::spawn(move || fleet.commanded(stream));
            }
        });
        Ok(fleet)
    }

    fn now(&self) -> Micros {
        SECOND + self.start.elapsed().as_micros() as Micros
    }

    /// From now on workers report there.
    pub fn report_to(&self, controller: SocketAddr) {
        if let Ok(mut known) = self.controller.lock() {
            *known = Some(controller);
        }
    }

    /// A machine is up.
    pub fn launched(self: &Arc<Self>, mut instance: Instance) {
        let number = number(&instance.name);
        instance.address = format!("{}:{}", address(number), self.port);
        let worker =
            Worker::new(instance, self.behaviour.lease, self.behaviour.run_time, self.now());
        let member = Arc::new(Mutex::new(worker));
        if let Ok(mut members) = self.members.lock() {
            members.insert(number, member.clone());
        }
        let fleet = self.clone();
        let life = move || {
            while fleet.member(number).is_some() {
                fleet.report_for_long(&member);
            }
        };
        let _ = thread::Builder::new().stack_size(STACK).spawn(life);
    }

    /// A machine is gone.
    pub fn terminated(&self, machine: &str) {
        if let Ok(mut members) = self.members.lock() {
            members.remove(&number(machine));
        }
    }

    fn member(&self, number: u32) -> Option<Member> {
        self.members.lock().ok()?.get(&number).cloned()
    }

    /// How many tasks run on how many workers.
    pub fn running(&self) -> (usize, usize) {
        let members: Vec<_> = match self.members.lock() {
            Ok(members) => members.values().cloned().collect(),
            Err(_) => Vec::new(),
        };
        let tasks = members.iter().filter_map(|m| m.lock().ok()).map(|m| m.running().len());
        (tasks.sum(), members.len())
    }

    /// What was started on each machine that is there.
    fn starts(&self) -> Vec<(TaskId, Micros)> {
        let members: Vec<Member> = match self.members.lock() {
            Ok(members) => members.values().cloned().collect(),
            Err(_) => Vec::new(),
        };
        let started = members.iter().filter_map(|m| m.lock().ok().map(|m| m.started.clone()));
        started.flatten().collect()
    }

    /// How many tasks were started.
    pub fn started(&self) -> usize {
        self.starts().len()
    }

    /// How many tasks were started more than once.
    pub fn started_again(&self) -> usize {
        let starts = self.starts();
        let tasks: BTreeSet<&TaskId> = starts.iter().map(|(task, _)| task).collect();
        starts.len() - tasks.len()
    }

    /// When the first task was started after a moment.
    pub fn first_start_since(&self, moment: Micros) -> Option<Micros> {
        self.starts().into_iter().map(|(_, at)| at).filter(|at| *at > moment).min()
    }

    /// Heartbeats over one connection until that ends.
    fn report_for_long(&self, member: &Mutex<Worker>) {
        let Some(controller) = self.controller.lock().ok().and_then(|c| *c) else {
            return thread::sleep(TURNED_AWAY);
        };
        if self.report_to_one(member, controller).is_err() {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            thread::sleep(TURNED_AWAY);
        }
    }

    fn report_to_one(&self, member: &Mutex<Worker>, controller: SocketAddr) -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&controller, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let mut stream = BufReader::with_capacity(512, stream);
        loop {
            let (heartbeat, sent, close) = self.exchange(member, &mut stream)?;
            if !self.wait_until_due(member, &heartbeat, sent)? || close {
                return Ok(());
            }
        }
    }

    /// Sends one heartbeat and takes in the answer. Gives the heartbeat, when it was sent, and
    /// whether the connection ends.
    fn exchange(
        &self,
        member: &Mutex<Worker>,
        stream: &mut BufReader<TcpStream>,
    ) -> io::Result<(Heartbeat, Micros, bool)> {
        let sent = self.now();
        let heartbeat = {
            let mut worker = member.lock().map_err(|_| gone())?;
            worker.advance_to(sent);
            worker.heartbeat()
        };
        let head = "POST /hello HTTP/1.1\r\nHost: c\r\n";
        send_message(stream, head, "Content-Type: application/json\r\n", &heartbeat)?;
        let (first, body, close) = read_message(stream)?;
        if !first.contains(" 200 ") {
            return Err(gone());
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        let commands: WorkerCommands = serde_json::from_slice(&body)?;
        let mut worker = member.lock().map_err(|_| gone())?;
        worker.answered(&commands, sent, heartbeat.incarnation, self.now());
        drop(worker);
        Ok((heartbeat, sent, close))
    }

    /// Waits until the next heartbeat is due or something has changed; `false` if the machine is gone.
    fn wait_until_due(
        &self,
        member: &Mutex<Worker>,
        heartbeat: &Heartbeat,
        sent: Micros,
    ) -> io::Result<bool> {
        let number = number(&heartbeat.machine);
        let spread = SECOND * u64::from(number % 50) / 50;
        let next = sent
            + self.behaviour.heartbeat_interval * 3 / 4
            + spread * self.behaviour.heartbeat_interval / 2 / SECOND;
        loop {
            thread::sleep(CHANGE);
            if self.member(number).is_none() {
                return Ok(false);
            }
            let mut worker = member.lock().map_err(|_| gone())?;
            let now = self.now();
            worker.advance_to(now);
            if now >= next || !worker.is_reported_by(heartbeat) {
                return Ok(true);
            }
        }
    }

    /// Serves direct commands on one connection.
    fn commanded(&self, stream: TcpStream) {
        let Ok(SocketAddr::V4(local)) = stream.local_addr() else { return };
        let [_, a, b, c] = local.ip().octets();
        let number = u32::from_be_bytes([0, a & 15, b, c]);
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::with_capacity(512, stream);
        while let Ok((first, body, _)) = read_message(&mut stream) {
            let (head, heartbeat) = match self.carry_out(number, &first, &body) {
                Some(WorkerReply::Status(heartbeat)) => ("HTTP/1.1 200 OK\r\n", heartbeat),
                Some(WorkerReply::Refused(heartbeat)) => ("HTTP/1.1 409 Conflict\r\n", heartbeat),
                None => return,
            };
            if send_message(&mut stream, head, "", &heartbeat).is_err() {
                return;
            }
        }
    }

    /// A worker's reply to a call; none if it is gone or the call cannot be read.
    fn carry_out(&self, number: u32, first: &str, body: &[u8]) -> Option<WorkerReply> {
        let member = self.member(number)?;
        let mut worker = member.lock().ok()?;
        let now = self.now();
        worker.advance_to(now);
        if first.starts_with("GET") {
            return Some(WorkerReply::Status(worker.heartbeat()));
        }
        let commands = serde_json::from_slice::<WorkerCommands>(body).ok()?;
        Some(worker.command(&commands, now))
    }
}

fn gone() -> io::Error {
    io::ErrorKind::Other.into()
}

/// Writes a message: its first lines, the length of its body, further lines, and a heartbeat as the
/// body.
fn send_message(
    stream: &mut BufReader<TcpStream>,
    head: &str,
    more: &str,
    heartbeat: &Heartbeat,
) -> io::Result<()> {
    let body = serde_json::to_vec(heartbeat)?;
    let length = body.len();
    let mut message = format!("{head}Content-Length: {length}\r\n{more}\r\n").into_bytes();
    message.extend_from_slice(&body);
    stream.get_mut().write_all(&message)
}

/// The first line of a message, its body, and whether the connection ends with it.
fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<(String, Vec<u8>, bool)> {
    let mut first = String::new();
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
        if first.is_empty() {
            line.clone_into(&mut first);
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
    Ok((first, body, close))
}
