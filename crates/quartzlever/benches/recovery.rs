//! What rebuilding lost state costs, and how long it takes: the real program beside fakes.
//!
//! `cargo bench -p quartzlever --bench recovery -- [MACHINES [SECONDS]]`
//!
//! One controller fills so many machines with tasks. Processor time and memory are measured with recovery
//! switched off and on, and what its log writes; then the store loses everything, and the time is taken to
//! the first task that starts after it, and for how long nothing is known about a job.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use quartzlever_testkit::jobs::array;
use quartzlever_testkit::program::Node;
use quartzlever_testkit::worker_fleet::{WorkerBehaviour, WorkerFleet};
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzlever");
/// Tasks of a job; each takes a whole machine.
const TASKS: usize = 10;
const RUN_S: u64 = 20;
const PATIENCE: Duration = Duration::from_secs(120);
/// How long the machines may take to be filled.
const FILLED_WITHIN: Duration = Duration::from_secs(60);
/// Rounds of tasks in the queue at the start, so that all machines are worth renting.
const ROUNDS: usize = 6;
/// Every question was answered for so long.
const CALM: Duration = Duration::from_secs(3);
/// Clock ticks of the kernel's account of processor time.
const TICKS_A_SECOND: f64 = 100.0;

fn settings(state: SocketAddr, cloud: SocketAddr, address: &str) -> String {
    format!(
        r#"
node_name = "one"
site = "a"
api_addr = "{address}:7300"
internal_addr = "{address}:7301"
[external]
cloud = "{cloud}"
state = "{state}"
[params]
zones = ["a"]
[[params.teams]]
name = "free"
[params.workers]
report_s = 6.0
lease_s = 36.0
cancel_s = 60.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 24
[params.cloud]
rps = 20.0
list_lag_s = 3.0
[params.machine_limits]
sockets = 12000
memory_mb = 1000.0
"#
    )
}

/// Processor seconds that a process has used.
fn processor_s(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_A_SECOND
}

fn resident_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn log_bytes(directory: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(directory) else { return 0 };
    let logs = entries.flatten().filter(|e| e.file_name().to_string_lossy().starts_with("log-"));
    logs.filter_map(|entry| entry.metadata().ok()).map(|metadata| metadata.len()).sum()
}

/// A controller among its machines.
struct Bench {
    begin: Instant,
    store: Arc<Mutex<Store>>,
    crowd: Arc<WorkerFleet>,
    node: Node,
    directory: PathBuf,
    machines: usize,
    jobs: Vec<String>,
}

impl Bench {
    fn start(machines: usize, with_recovery: bool) -> Bench {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("store");
        let behaviour = WorkerBehaviour {
            heartbeat_interval: 6 * SECOND,
            lease: 36 * SECOND,
            run_time: RUN_S * SECOND,
        };
        let crowd = WorkerFleet::start(behaviour, begin).expect("crowd");
        let mut cloud = Cloud::new(2.0, &["a"], machines);
        // Idle machines are kept for as long as one boots.
        cloud.catalogue.types[0].ready_s = 600.0;
        let (joined, left) = (crowd.clone(), crowd.clone());
        let cloud = Arc::new(Mutex::new(cloud));
        let gone = move |machine: &str| left.terminated(machine);
        let cloud = http::serve_cloud(cloud, gone, move |r| joined.launched(r)).expect("cloud");

        let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let directory = scratch.join("recovery-bench");
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("a directory");
        let address = format!("127.1.{}.{}", machines % 250, 1 + u8::from(with_recovery));
        let config = scratch.join("recovery-bench.toml");
        std::fs::write(&config, settings(state, cloud, &address)).expect("a settings file");
        let operator = scratch.join("recovery-bench.yaml");
        let recovery = format!("recovery:\n  directory: {}\n", directory.display());
        std::fs::write(&operator, if with_recovery { &recovery } else { "" }).expect("a file");
        let node = Node::start_with(Path::new(PROGRAM), &config, Some(&operator)).expect("a start");
        crowd.report_to(node.address);
        Bench { begin, store, crowd, node, directory, machines, jobs: Vec::new() }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v2/runs{path}", self.node.address)
    }

    /// Submits jobs of so many tasks together.
    fn submit(&mut self, tasks: usize) {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).build();
        let end = Instant::now() + PATIENCE;
        let jobs = tasks.div_ceil(TASKS);
        for _ in 0..jobs {
            let spec = array(self.jobs.len() as u32 + 1, TASKS as u32);
            let body = serde_json::to_string(&spec).expect("a job");
            while agent.post(&self.url("")).send_string(&body).is_err() {
                assert!(Instant::now() < end, "{} is not accepted", spec.id);
                thread::sleep(Duration::from_millis(50));
            }
            self.jobs.push(spec.id);
        }
    }

    fn await_running(&self, tasks: usize) -> bool {
        let end = Instant::now() + FILLED_WITHIN;
        while self.crowd.running().0 < tasks {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Measures a span of usual work.
    fn work(&mut self, seconds: u64) {
        let process = self.node.process();
        let (spent, bytes) = (processor_s(process), log_bytes(&self.directory));
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(seconds) {
            self.submit(self.machines / RUN_S as usize);
            thread::sleep(Duration::from_secs(1));
        }
        let span = begin.elapsed().as_secs_f64();
        println!(
            "  work: {:.2}% of a core, {} kB resident, log {:.1} kB a second",
            (processor_s(process) - spent) * 100.0 / span,
            resident_kb(process),
            (log_bytes(&self.directory).saturating_sub(bytes)) as f64 / 1e3 / span,
        );
    }

    /// The store loses everything.
    fn lose(&mut self) {
        let lost = SECOND + self.begin.elapsed().as_micros() as u64;
        let at = Instant::now();
        let started = self.crowd.started();
        let keys = {
            let mut store = self.store.lock().expect("lock");
            let keys = store.keys("").len();
            store.wipe();
            keys
        };
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(2)).build();
        // Spans between two answers about the same job; some still come before the loss is noticed.
        let mut unanswered = Histogram::<u64>::new(3).expect("a histogram");
        let mut answered = vec![at; self.jobs.len()];
        let (mut first_start, mut failed) = (None, at);
        while (first_start.is_none() || failed.elapsed() < CALM) && at.elapsed() < PATIENCE {
            for (job, last) in self.jobs.iter().zip(&mut answered) {
                if agent.get(&self.url(&format!("/{job}"))).call().is_ok() {
                    let span = last.elapsed().as_millis() as u64;
                    unanswered.record(span).expect("it grows");
                    *last = Instant::now();
                } else {
                    failed = Instant::now();
                }
            }
            first_start = first_start.or_else(|| self.crowd.first_start_since(lost));
            thread::sleep(Duration::from_millis(100));
        }
        let first = first_start.map_or("none".into(), |t| format!("{} ms", (t - lost) / 1000));
        println!(
            "  loss of {keys} keys: first task started after {first}; no job of {} without an answer \
             for more than {} ms, the last refusal after {} ms",
            self.jobs.len(),
            unanswered.max(),
            (failed - at).as_millis()
        );
        thread::sleep(Duration::from_secs(RUN_S));
        let repeated = self.crowd.started_again();
        println!(
            "  {} tasks started since, {repeated} of all twice",
            self.crowd.started() - started
        );
    }
}

fn main() {
    // Cargo itself adds `--bench`.
    let numbers = std::env::args().skip(1).filter(|a| !a.starts_with("--"));
    let mut numbers = numbers.map(|a| a.parse::<usize>().expect("a number"));
    let machines = numbers.next().unwrap_or(100);
    let seconds = numbers.next().unwrap_or(20) as u64;
    for with_recovery in [false, true] {
        let mut bench = Bench::start(machines, with_recovery);
        bench.submit(machines * ROUNDS);
        let filled = bench.await_running(machines * 95 / 100);
        let (tasks, up) = bench.crowd.running();
        println!("recovery {with_recovery}: {up} machines, {tasks} tasks running, filled {filled}");
        bench.work(seconds);
        if with_recovery {
            bench.lose();
        }
    }
}
