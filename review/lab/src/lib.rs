//! Stand-ins and helpers that the scenarios of the review share: the record, settings files, the
//! controllers as processes, a cloud, and workers that behave as the users' pages say.
//!
//! The state service and the core of a worker are the project's own stand-ins. All addresses are
//! loopback addresses with free ports.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_testkit::{Cloud, Store, Worker, http};
use quartzlever_wire::cloud::{Instance, MachineType};
use quartzlever_wire::workers::{TaskId, WorkerCommand, WorkerCommands, WorkerReply};
use quartzlever_wire::{Micros, SECOND};
use serde_json::{Value, json};
use tiny_http::{Method, Response, Server};

/// Pause between two looks at the machines.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// A worker drops answers after this time and tries the next controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// A worker reports a change no more often than this.
const CHANGE_INTERVAL: Micros = SECOND / 2;

/// Locks a mutex whether or not a thread has panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a run: one line for each message or observation, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Arc<Record>> {
        Ok(Arc::new(Record { file: Mutex::new(File::create(path)?), start: Instant::now() }))
    }

    /// Adds a line to the record.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }

    /// Returns the time of the test, which is never 0.
    pub fn now(&self) -> Micros {
        SECOND + self.start.elapsed().as_micros() as Micros
    }
}

/// Values of a site that the settings and the stand-ins share.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    /// Zone of each controller; their number is that of the controllers.
    pub node_zones: Vec<&'static str>,
    pub teams: &'static str,
    pub objectives: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub store_rps: f64,
    pub store_write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub types: Vec<MachineType>,
}

impl Site {
    /// The site `audeklis-mill-orders` of the users' pages.
    pub fn audeklis() -> Site {
        let zones = vec!["ogre-floor", "riga-floor"];
        Site {
            types: vec![MachineType {
                name: "spindle-32".into(),
                cpus: 32.0,
                gpus: 0.0,
                ram_gb: 256.0,
                cache_gb: 70.0,
                pull_gb_per_s: 0.5,
                hourly: 1.69,
                market_price: Some(0.5),
                ready_s: 35.0,
                zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            }],
            zones,
            node_zones: vec!["riga-floor", "ogre-floor", "riga-floor"],
            teams: "[[params.teams]]\nname = \"orders-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
            objectives: "[[params.objectives]]\nkind = \"wait\"\nclass = \"rush-dye\"\nwithin_s = 3.0\nshare = 0.95\n",
            report_s: 3.0,
            lease_s: 34.0,
            cancel_s: 64.0,
            store_rps: 80.0,
            store_write_rps: 30.0,
            cloud_rps: 4.0,
            list_lag_s: 6.0,
            cpu_share: 0.16,
            memory_mb: 200.0,
        }
    }
}

/// Returns a loopback address with a port that is free now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// A controller process. Dropping it kills the process.
pub struct Controller {
    pub name: String,
    pub address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Controller {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&self.settings).env("LOG_LEVEL", "info");
        self.child = Some(command.stdin(Stdio::null()).stderr(Stdio::from(log)).spawn()?);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process with the shell's `kill`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// Reports whether `GET /ready` returns 200.
    pub fn is_ready(&self) -> bool {
        call("GET", &format!("http://{}/ready", self.address), None, Duration::from_secs(1)).0 == 200
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends an HTTP request. Returns the status, 0 without a response, and the JSON body.
pub fn call(method: &str, url: &str, body: Option<&str>, timeout: Duration) -> (u16, Value) {
    let request = ureq::request(method, url).timeout(timeout);
    let result = match body {
        Some(body) => request.send_string(body),
        None => request.call(),
    };
    match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => {
            let status = response.status();
            let text = response.into_string().unwrap_or_default();
            (status, serde_json::from_str(&text).unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}

/// A direct command that a worker has executed.
#[derive(Clone, Debug)]
pub struct Executed {
    pub machine: String,
    pub commands: WorkerCommands,
    pub body: Vec<u8>,
}

impl Executed {
    /// Reports whether the commands start a task of this job.
    pub fn starts(&self, job: &str) -> bool {
        let runs = |c: &WorkerCommand| matches!(c, WorkerCommand::Run { task, .. } if task.job == job);
        self.commands.commands.iter().any(runs)
    }
}

struct WorkerPort {
    worker: Worker,
    /// Whether the machine still exists.
    alive: bool,
}

/// All machines of a run, with their workers.
pub struct Machines {
    record: Arc<Record>,
    site: Site,
    run_time: Micros,
    workers: Mutex<BTreeMap<String, Arc<Mutex<WorkerPort>>>>,
    endless_jobs: Mutex<BTreeSet<String>>,
    controllers: Mutex<Vec<(String, SocketAddr)>>,
    executed: Mutex<Vec<Executed>>,
    broken: Mutex<Vec<String>>,
    seen_started: Mutex<BTreeMap<String, usize>>,
    stopped: AtomicBool,
    next_target: AtomicUsize,
}

impl Machines {
    /// Creates a fleet without machines; tasks run for `run_time`.
    pub fn new(record: Arc<Record>, site: Site, run_time: Micros) -> Arc<Machines> {
        Arc::new(Machines {
            record,
            site,
            run_time,
            workers: Mutex::default(),
            endless_jobs: Mutex::default(),
            controllers: Mutex::default(),
            executed: Mutex::default(),
            broken: Mutex::default(),
            seen_started: Mutex::default(),
            stopped: AtomicBool::new(false),
            next_target: AtomicUsize::new(0),
        })
    }

    /// Makes the tasks of a job run until they are stopped. Call it before the job is submitted.
    pub fn run_without_end(&self, job: &str) {
        lock(&self.endless_jobs).insert(job.to_owned());
        for port in lock(&self.workers).values() {
            lock(port).worker.endless_jobs.insert(job.to_owned());
        }
    }

    /// Starts the worker of a machine that the cloud has launched.
    pub fn launch(self: &Arc<Self>, mut instance: Instance) {
        let Ok(server) = Server::http((Ipv4Addr::LOCALHOST, 0)) else { return };
        let Some(address) = server.server_addr().to_ip() else { return };
        instance.address = address.to_string();
        let machine = instance.name.clone();
        self.record.line(&format!("machine {machine} is up in {} at {address}", instance.zone));
        let lease = (self.site.lease_s * 1e6) as Micros;
        let mut worker = Worker::new(instance, lease, self.run_time, self.record.now());
        worker.endless_jobs = lock(&self.endless_jobs).clone();
        let port = Arc::new(Mutex::new(WorkerPort { worker, alive: true }));
        lock(&self.workers).insert(machine.clone(), port.clone());
        let (machines, serving, name) = (self.clone(), port.clone(), machine.clone());
        thread::spawn(move || machines.serve(&name, &serving, &server));
        let machines = self.clone();
        thread::spawn(move || machines.report(&machine, &port));
    }

    /// Ends a machine with everything on it.
    pub fn end(&self, machine: &str) {
        if let Some(port) = lock(&self.workers).remove(machine) {
            lock(&port).alive = false;
            self.record.line(&format!("machine {machine} is gone"));
        }
    }

    /// Serves the address of a worker until its machine is gone.
    fn serve(&self, machine: &str, port: &Mutex<WorkerPort>, server: &Server) {
        while lock(port).alive && !self.stopped.load(Ordering::Relaxed) {
            let Ok(Some(mut request)) = server.recv_timeout(Duration::from_millis(100)) else {
                continue;
            };
            let mut body = Vec::new();
            let _ = request.as_reader().read_to_end(&mut body);
            let is_status = *request.method() == Method::Get;
            let (status, answer) = if is_status {
                let mut port = lock(port);
                port.worker.advance_to(self.record.now());
                (200, json!(port.worker.heartbeat()))
            } else {
                self.execute(machine, port, &body)
            };
            let response = Response::from_string(answer.to_string()).with_status_code(status);
            let _ = request.respond(response);
        }
    }

    /// Executes a direct command as the page says: 200 if token and session match, else 409.
    fn execute(&self, machine: &str, port: &Mutex<WorkerPort>, body: &[u8]) -> (u16, Value) {
        let Ok(commands) = serde_json::from_slice::<WorkerCommands>(body) else {
            return (400, json!({}));
        };
        let reply = {
            let mut port = lock(port);
            let now = self.record.now();
            port.worker.advance_to(now);
            port.worker.receive_commands(&commands, now)
        };
        let (status, report) = match reply {
            WorkerReply::Status(report) => (200, report),
            WorkerReply::Refused(report) => (409, report),
        };
        let text = String::from_utf8_lossy(body);
        self.record.line(&format!("direct command to {machine}: {text} -> {status}"));
        self.look();
        if status == 200 {
            let body = body.to_vec();
            lock(&self.executed).push(Executed { machine: machine.to_owned(), commands, body });
        }
        (status, json!(report))
    }

    /// Delivers a copy of a direct command to the address of its machine once more, as the network
    /// may do. Returns the worker's status, 0 without an answer. Nobody else sees the answer.
    pub fn deliver_again(&self, command: &Executed) -> u16 {
        let Some(port) = lock(&self.workers).get(&command.machine).cloned() else { return 0 };
        let address = lock(&port).worker.instance.address.clone();
        let text = String::from_utf8_lossy(&command.body).into_owned();
        self.record.line(&format!("the network delivers a late copy to {}: {text}", command.machine));
        call("POST", &format!("http://{address}/commands"), Some(&text), ANSWER_TIMEOUT).0
    }

    /// Sends the reports of a worker until its machine is gone.
    fn report(&self, machine: &str, port: &Mutex<WorkerPort>) {
        let agent = ureq::AgentBuilder::new().timeout(ANSWER_TIMEOUT).redirects(0).build();
        let mut target = self.next_target.fetch_add(1, Ordering::Relaxed);
        while lock(port).alive && !self.stopped.load(Ordering::Relaxed) {
            let controllers = lock(&self.controllers).clone();
            if controllers.is_empty() {
                thread::sleep(LOOK_INTERVAL);
                continue;
            }
            let (name, address) = &controllers[target % controllers.len()];
            let (report, sent) = {
                let mut port = lock(port);
                let now = self.record.now();
                port.worker.advance_to(now);
                (port.worker.heartbeat(), now)
            };
            let url = format!("http://{address}/hello");
            let text = json!(report).to_string();
            match agent.post(&url).send_string(&text) {
                Ok(response) => {
                    let answer = response.into_string().unwrap_or_default();
                    let Ok(commands) = serde_json::from_str::<WorkerCommands>(&answer) else {
                        target += 1;
                        thread::sleep(Duration::from_secs(1));
                        continue;
                    };
                    if !report.tasks.is_empty() || !commands.commands.is_empty() {
                        self.record.line(&format!("report of {machine} to {name}: {text} -> 200 {answer}"));
                    }
                    let now = self.record.now();
                    lock(port).worker.receive_reply(&commands, sent, report.incarnation, now);
                    self.look();
                }
                Err(ureq::Error::Status(421, response)) => {
                    let text = response.into_string().unwrap_or_default();
                    let body: Value = serde_json::from_str(&text).unwrap_or_default();
                    let named = controllers.iter().position(|(node, _)| body["steward"] == **node);
                    match named.filter(|named| *named != target % controllers.len()) {
                        Some(named) => target = named,
                        None => {
                            target += 1;
                            thread::sleep(Duration::from_secs(1));
                        }
                    }
                    continue;
                }
                Err(_) => {
                    target += 1;
                    thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            // The next report is due after the interval, or half a second after this one if
            // something has changed.
            let due = sent + (self.site.report_s * 1e6) as Micros;
            loop {
                thread::sleep(LOOK_INTERVAL);
                let mut port = lock(port);
                let now = self.record.now();
                port.worker.advance_to(now);
                let changed = !port.worker.is_reported_by(&report);
                if now >= due || (changed && now >= sent + CHANGE_INTERVAL) || !port.alive {
                    break;
                }
            }
        }
    }

    /// Returns the direct commands that were executed so far.
    pub fn executed(&self) -> Vec<Executed> {
        lock(&self.executed).clone()
    }

    /// Returns the running tasks of each machine.
    pub fn running(&self) -> BTreeMap<String, Vec<TaskId>> {
        let workers = lock(&self.workers).clone();
        let now = self.record.now();
        let running = |port: &Arc<Mutex<WorkerPort>>| {
            let mut port = lock(port);
            port.worker.advance_to(now);
            port.worker.running()
        };
        workers.iter().map(|(machine, port)| (machine.clone(), running(port))).collect()
    }

    /// Returns the machines on which tasks of a job run, with their number.
    pub fn machines_of(&self, job: &str) -> BTreeMap<String, usize> {
        let running = self.running().into_iter();
        let counts = running.map(|(machine, tasks)| {
            (machine, tasks.iter().filter(|task| task.job == job).count())
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Reports whether the next report of a machine lists no task.
    pub fn is_empty(&self, machine: &str) -> bool {
        let Some(port) = lock(&self.workers).get(machine).cloned() else { return false };
        let mut port = lock(&port);
        port.worker.heartbeat().tasks.is_empty()
    }

    /// Starts a thread that looks at all machines and records starts and broken rules.
    pub fn watch(self: &Arc<Self>) {
        let machines = self.clone();
        thread::spawn(move || {
            while !machines.stopped.load(Ordering::Relaxed) {
                machines.look();
                thread::sleep(LOOK_INTERVAL);
            }
        });
    }

    /// Records new starts, and each task that is on two machines.
    pub fn look(&self) {
        let workers = lock(&self.workers).clone();
        for (machine, port) in &workers {
            let started = lock(port).worker.started.clone();
            let mut seen = lock(&self.seen_started);
            let count = seen.entry(machine.clone()).or_default();
            for (task, at) in &started[*count..] {
                let at = (*at - SECOND) as f64 / 1e6;
                self.record.line(&format!("task {task} started on {machine} at {at:.3}"));
            }
            *count = started.len();
        }
        let mut machine_of: BTreeMap<TaskId, String> = BTreeMap::new();
        for (machine, tasks) in self.running() {
            for task in tasks {
                let other = machine_of.insert(task.clone(), machine.clone());
                if let Some(other) = other {
                    self.record_broken(&format!("ran_twice: {task} is on {other} and on {machine}"));
                }
            }
        }
    }

    /// Records a broken rule, once for each text.
    pub fn record_broken(&self, what: &str) {
        let mut broken = lock(&self.broken);
        if !broken.iter().any(|known| known == what) {
            self.record.line(&format!("RULE BROKEN {what}"));
            broken.push(what.to_owned());
        }
    }

    /// Returns the broken rules.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.broken).clone()
    }
}

/// What the link of one controller to the state service does, besides passing everything on.
#[derive(Clone, Copy, Debug)]
pub struct SlowClaim {
    /// The first transaction that claims a machine gets no answer, and is carried out after this.
    pub late_by: Duration,
    /// The first read of a group of machines is carried out at once and answered after this.
    pub read_takes: Duration,
}

/// A proxy on the link of one controller to the state service.
pub struct StateLink {
    record: Arc<Record>,
    state: SocketAddr,
    slow_claim: Mutex<Option<SlowClaim>>,
    late_claims: AtomicUsize,
    slow_reads: AtomicUsize,
}

impl StateLink {
    /// Number of requests that are passed on at a time; each open watch is one.
    const THREADS: usize = 24;

    /// Starts the proxy on a free port and returns it with its address.
    fn start(record: Arc<Record>, state: SocketAddr) -> std::io::Result<(Arc<StateLink>, SocketAddr)> {
        let server = Server::http((Ipv4Addr::LOCALHOST, 0)).map_err(std::io::Error::other)?;
        let address = server.server_addr().to_ip().ok_or_else(|| std::io::Error::other("no address"))?;
        let link = Arc::new(StateLink {
            record,
            state,
            slow_claim: Mutex::new(None),
            late_claims: AtomicUsize::new(0),
            slow_reads: AtomicUsize::new(0),
        });
        let server = Arc::new(server);
        for _ in 0..Self::THREADS {
            let (link, server) = (link.clone(), server.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    link.pass_on(request);
                }
            });
        }
        Ok((link, address))
    }

    /// Sets what happens to the next claim and the next read of a group.
    pub fn slow_down(&self, slow_claim: SlowClaim) {
        *lock(&self.slow_claim) = Some(slow_claim);
    }

    /// Returns how many claims were carried out late, and how many reads were answered slowly.
    pub fn counts(&self) -> (usize, usize) {
        (self.late_claims.load(Ordering::Relaxed), self.slow_reads.load(Ordering::Relaxed))
    }

    fn pass_on(&self, mut request: tiny_http::Request) {
        let mut body = Vec::new();
        let _ = request.as_reader().read_to_end(&mut body);
        let (method, url) = (request.method().to_string(), request.url().to_owned());
        let text = String::from_utf8_lossy(&body).into_owned();
        let slow_claim = *lock(&self.slow_claim);
        let is_claim = method == "POST" && url == "/multi" && text.contains("\"write\":\"hosts/");
        let is_read = method == "GET" && url.starts_with("/keys/hosts/");
        if let Some(SlowClaim { late_by, .. }) = slow_claim
            && is_claim
            && self.late_claims.fetch_add(1, Ordering::Relaxed) == 0
        {
            self.record.line(&format!("state link: {method} {url} {text} is held up"));
            thread::sleep(late_by);
            let (status, answer) = self.forward(&method, &url, &text);
            self.record.line(&format!("state link: the claim is carried out: {status} {answer}; no answer"));
            // Closes the connection without an answer.
            drop(request.into_writer());
            return;
        }
        let (status, answer) = self.forward(&method, &url, &text);
        if is_claim || is_read {
            self.record.line(&format!("state link: {method} {url} {text} -> {status} {answer}"));
        }
        if let Some(SlowClaim { read_takes, .. }) = slow_claim
            && is_read
            && self.slow_reads.fetch_add(1, Ordering::Relaxed) == 0
        {
            thread::sleep(read_takes);
            self.record.line("state link: the read is answered now");
        }
        let _ = request.respond(Response::from_string(answer).with_status_code(status));
    }

    fn forward(&self, method: &str, url: &str, body: &str) -> (u16, String) {
        let request = ureq::request(method, &format!("http://{}{url}", self.state));
        let request = request.timeout(Duration::from_secs(70));
        let result = if method == "GET" { request.call() } else { request.send_string(body) };
        match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                (response.status(), response.into_string().unwrap_or_default())
            }
            Err(_) => (503, json!({ "error": "trouble" }).to_string()),
        }
    }
}

/// Everything around the controllers, and the controllers.
pub struct World {
    pub record: Arc<Record>,
    /// The link of drone-0 to the state service.
    pub state_link: Arc<StateLink>,
    pub store: Arc<Mutex<Store>>,
    pub cloud: Arc<Mutex<Cloud>>,
    pub machines: Arc<Machines>,
    pub controllers: Vec<Controller>,
}

impl World {
    /// Starts the stand-ins and the controllers, and waits until all are ready. `directory` takes
    /// the settings and the logs.
    pub fn start(
        record: Arc<Record>,
        site: &Site,
        directory: &Path,
        program: &Path,
        run_time: Micros,
        max_machines: usize,
    ) -> std::io::Result<World> {
        let begin = record.start;
        let mut store = Store::default();
        store.value_limit = 16 * 1024;
        store.ops_limit = 24;
        store.write_rate = site.store_write_rps;
        let store = Arc::new(Mutex::new(store));
        let state_address = http::serve_store(store.clone(), begin)?;
        let (state_link, link_address) = StateLink::start(record.clone(), state_address)?;
        let machines = Machines::new(record.clone(), site.clone(), run_time);
        let mut cloud = Cloud::new(1.0, &site.zones, max_machines);
        cloud.catalogue.types = site.types.clone();
        let cloud = Arc::new(Mutex::new(cloud));
        let (ended, launched) = (machines.clone(), machines.clone());
        let cloud_address = http::serve_cloud(
            cloud.clone(),
            move |machine| ended.end(machine),
            move |instance| launched.launch(instance),
        )?;
        let mut addresses = Vec::new();
        for node in 0..site.node_zones.len() {
            addresses.push((format!("drone-{node}"), free_address()?, free_address()?));
        }
        let mut controllers = Vec::new();
        for (node, (name, api, internal)) in addresses.iter().enumerate() {
            let settings = directory.join(format!("{name}.toml"));
            let mut seeds = String::new();
            for (other, (other_name, _, other_internal)) in addresses.iter().enumerate() {
                if other != node {
                    let zone = site.node_zones[other];
                    seeds += &format!("[[seeds]]\nnode_name = \"{other_name}\"\nsite = \"{zone}\"\naddr = \"{other_internal}\"\n");
                }
            }
            let Site { report_s, lease_s, cancel_s, store_rps, store_write_rps, .. } = site;
            let Site { cloud_rps, list_lag_s, cpu_share, memory_mb, .. } = site;
            let store_address = if node == 0 { link_address } else { state_address };
            let text = format!(
                "node_name = \"{name}\"\nsite = \"{}\"\napi_addr = \"{api}\"\ninternal_addr = \"{internal}\"\n{seeds}\
                 [external]\ncloud = \"{cloud_address}\"\nstate = \"{store_address}\"\n\
                 [params]\ninitial_size = {}\nzones = {:?}\nclock_error_ms = 250.0\n{}{}\
                 [params.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = {cancel_s:?}\n\
                 [params.state]\nrps = {store_rps:?}\nwrite_rps = {store_write_rps:?}\nvalue_kb = 16.0\ntxn_ops = 24\n\
                 [params.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = {list_lag_s:?}\n\
                 [params.machine_limits]\ncpu_share = {cpu_share:?}\nmemory_mb = {memory_mb:?}\nsockets = 2500\n",
                site.node_zones[node], site.node_zones.len(), site.zones, site.teams, site.objectives,
            );
            std::fs::write(&settings, text)?;
            controllers.push(Controller {
                name: name.clone(),
                address: *api,
                settings,
                log: directory.join(format!("{name}.log")),
                program: program.to_owned(),
                child: None,
            });
        }
        for controller in &mut controllers {
            controller.start()?;
        }
        *lock(&machines.controllers) =
            controllers.iter().map(|c| (c.name.clone(), c.address)).collect();
        machines.watch();
        let world = World { record, state_link, store, cloud, machines, controllers };
        let ready = wait_until(Duration::from_secs(20), || {
            world.controllers.iter().all(Controller::is_ready)
        });
        if !ready {
            return Err(std::io::Error::other("the controllers are not ready"));
        }
        world.record.line("all controllers are ready");
        Ok(world)
    }

    /// Sends a user's request to a controller and records it with its answer.
    pub fn user(&self, node: usize, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let url = format!("http://{}{path}", self.controllers[node].address);
        let text = body.map(Value::to_string);
        let answer = call(method, &url, text.as_deref(), Duration::from_secs(5));
        let (status, value) = &answer;
        let sent = text.unwrap_or_default();
        let name = &self.controllers[node].name;
        self.record.line(&format!("user to {name}: {method} {path} {sent} -> {status} {value}"));
        answer
    }

    /// Submits a job, repeating the request each second until it is accepted.
    pub fn submit(&self, node: usize, job: &Value) -> bool {
        wait_until(Duration::from_secs(30), || {
            let (status, _) = self.user(node, "POST", "/v2/runs", Some(job));
            let accepted = matches!(status, 200 | 201);
            if !accepted {
                thread::sleep(Duration::from_secs(1));
            }
            accepted
        })
    }

    /// Returns the phase of a job, or an empty text without an answer.
    pub fn phase(&self, node: usize, job: &str) -> String {
        let (_, body) = self.user(node, "GET", &format!("/v2/runs/{job}"), None);
        body["phase"].as_str().unwrap_or_default().to_owned()
    }

    /// Stops all workers and kills the controllers.
    pub fn stop(&mut self) {
        self.machines.stopped.store(true, Ordering::Relaxed);
        self.controllers.iter_mut().for_each(Controller::kill);
    }
}

/// Waits until the condition holds, for at most `limit`; returns whether it did.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(LOOK_INTERVAL);
    }
}

/// Returns a batch job of the team `orders-desk`.
pub fn batch(job: &str, class: &str, rank: &str, shards: u32, cpus: f64, ram_gb: f64, expect_s: f64, due_s: f64) -> Value {
    json!({
        "ref": job, "jobclass": class, "owner": "orders-desk", "shape": "batch", "rank": rank,
        "shards": shards, "cpus": cpus, "gpus": 0.0, "ram_gb": ram_gb, "bundle": class, "size_gb": 1.0,
        "chassis": null, "bay": null, "together": false, "apart": false, "loaners": true,
        "expect_s": expect_s, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": due_s
    })
}

/// The outcome of a scenario, as the exit status of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Reads the settings of a script from the environment: whether the disruption happens, the
/// program, the temporary folder and the record's path.
pub fn from_environment() -> (bool, PathBuf, PathBuf, PathBuf) {
    let path = |name: &str| PathBuf::from(std::env::var(name).unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    (trouble, path("PROGRAM"), path("SCRATCH"), path("RECORD"))
}
