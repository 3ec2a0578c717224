//! Measures the cost of recovery and the duration of a rebuild, with the real program and fakes of
//! the store, the cloud and the workers.
//!
//! `cargo bench -p quartzlever --bench recovery -- [MACHINES [SECONDS]]`
//!
//! One controller fills `MACHINES` machines with tasks. The benchmark measures CPU time, memory and
//! the bytes written to the log over `SECONDS` seconds, first with recovery switched off, then with
//! recovery switched on. Then the store loses all records, and the benchmark measures the time to
//! the first task start after the loss and the longest time without an answer about a job.

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
/// Tasks of a job; each occupies a whole machine.
const TASKS_PER_JOB: usize = 10;
/// Run time of a task in seconds.
const TASK_RUN_S: u64 = 20;
/// Timeout of the submission of jobs and of the rebuild.
const MAX_WAIT: Duration = Duration::from_secs(120);
/// Maximum time until the machines are filled with tasks.
const MAX_FILL_TIME: Duration = Duration::from_secs(60);
/// Tasks per machine in the queue at the start; enough work that launching all machines pays off.
const QUEUED_TASKS_PER_MACHINE: usize = 6;
/// The rebuild counts as finished when every lookup has been answered for this long.
const ANSWERED_PERIOD: Duration = Duration::from_secs(3);
/// Unit in which the kernel reports CPU time in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

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

/// Returns the CPU time of a process in seconds, user and system.
fn cpu_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
}

/// Returns the resident memory of a process in kilobytes.
fn resident_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Returns the total size of the logs in a directory in bytes.
fn log_bytes(directory: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(directory) else { return 0 };
    let logs = entries.flatten().filter(|e| e.file_name().to_string_lossy().starts_with("log-"));
    logs.filter_map(|entry| entry.metadata().ok()).map(|metadata| metadata.len()).sum()
}

/// A controller process, the fakes around it, and the jobs submitted to it.
struct Bench {
    begin: Instant,
    store: Arc<Mutex<Store>>,
    workers: Arc<WorkerFleet>,
    node: Node,
    directory: PathBuf,
    machines: usize,
    jobs: Vec<String>,
}

impl Bench {
    /// Starts the fakes and a controller, with recovery or without.
    fn start(machines: usize, with_recovery: bool) -> Bench {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("cannot serve the store");
        let behaviour = WorkerBehaviour {
            heartbeat_interval: 6 * SECOND,
            lease: 36 * SECOND,
            run_time: TASK_RUN_S * SECOND,
        };
        let workers = WorkerFleet::start(behaviour, begin).expect("cannot start the workers");
        let mut cloud = Cloud::new(2.0, &["a"], machines);
        // Idle machines are kept for as long as a machine takes to boot: a long boot time keeps
        // them.
        cloud.catalogue.types[0].ready_s = 600.0;
        let (launching, terminating) = (workers.clone(), workers.clone());
        let cloud = Arc::new(Mutex::new(cloud));
        let on_termination = move |machine: &str| terminating.terminated(machine);
        let cloud = http::serve_cloud(cloud, on_termination, move |r| launching.launched(r))
            .expect("cannot serve the cloud");

        let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let directory = scratch.join("recovery-bench");
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("cannot create the directory");
        let address = format!("127.1.{}.{}", machines % 250, 1 + u8::from(with_recovery));
        let config = scratch.join("recovery-bench.toml");
        std::fs::write(&config, settings(state, cloud, &address))
            .expect("cannot write the settings file");
        let operator = scratch.join("recovery-bench.yaml");
        let recovery = format!("recovery:\n  directory: {}\n", directory.display());
        std::fs::write(&operator, if with_recovery { &recovery } else { "" })
            .expect("cannot write the operator file");
        let node = Node::start_with(Path::new(PROGRAM), &config, Some(&operator))
            .expect("the program did not start");
        workers.report_to(node.address);
        Bench { begin, store, workers, node, directory, machines, jobs: Vec::new() }
    }

    /// Returns the URL of a path below `/v2/runs`.
    fn url(&self, path: &str) -> String {
        format!("http://{}/v2/runs{path}", self.node.address)
    }

    /// Submits jobs with `tasks` tasks in total, rounded up to whole jobs.
    fn submit(&mut self, tasks: usize) {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).build();
        let end = Instant::now() + MAX_WAIT;
        let jobs = tasks.div_ceil(TASKS_PER_JOB);
        for _ in 0..jobs {
            let spec = array(self.jobs.len() as u32 + 1, TASKS_PER_JOB as u32);
            let body = serde_json::to_string(&spec).expect("cannot serialize the job");
            while agent.post(&self.url("")).send_string(&body).is_err() {
                assert!(Instant::now() < end, "{} was not accepted in time", spec.id);
                thread::sleep(Duration::from_millis(50));
            }
            self.jobs.push(spec.id);
        }
    }

    /// Waits until at least `tasks` tasks run, and reports whether they do in time.
    fn await_running(&self, tasks: usize) -> bool {
        let end = Instant::now() + MAX_FILL_TIME;
        while self.workers.running().0 < tasks {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Measures the controller under a steady load of submissions for `seconds` seconds, and prints
    /// the result.
    fn measure_load(&mut self, seconds: u64) {
        let process = self.node.process();
        let (cpu_before, bytes_before) = (cpu_seconds(process), log_bytes(&self.directory));
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(seconds) {
            self.submit(self.machines / TASK_RUN_S as usize);
            thread::sleep(Duration::from_secs(1));
        }
        let span = begin.elapsed().as_secs_f64();
        println!(
            "  load: {:.2}% of a core, {} kB resident, log {:.1} kB per second",
            (cpu_seconds(process) - cpu_before) * 100.0 / span,
            resident_kb(process),
            (log_bytes(&self.directory).saturating_sub(bytes_before)) as f64 / 1e3 / span,
        );
    }

    /// Makes the store lose all records, measures the rebuild, and prints the result.
    fn measure_rebuild(&mut self) {
        let lost = SECOND + self.begin.elapsed().as_micros() as u64;
        let at = Instant::now();
        let started = self.workers.started();
        let keys = {
            let mut store = self.store.lock().expect("lock");
            let keys = store.keys("").len();
            store.wipe();
            keys
        };
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(2)).build();
        // Times in milliseconds between two answers about the same job. Some answers still arrive
        // before the loss is detected.
        let mut unanswered = Histogram::<u64>::new(3).expect("cannot create the histogram");
        let mut last_answers = vec![at; self.jobs.len()];
        let (mut first_start, mut last_failure) = (None, at);
        while (first_start.is_none() || last_failure.elapsed() < ANSWERED_PERIOD)
            && at.elapsed() < MAX_WAIT
        {
            for (job, last) in self.jobs.iter().zip(&mut last_answers) {
                if agent.get(&self.url(&format!("/{job}"))).call().is_ok() {
                    let span = last.elapsed().as_millis() as u64;
                    unanswered.record(span).expect("the histogram resizes itself");
                    *last = Instant::now();
                } else {
                    last_failure = Instant::now();
                }
            }
            first_start = first_start.or_else(|| self.workers.first_start_since(lost));
            thread::sleep(Duration::from_millis(100));
        }
        let first = first_start.map_or("none".into(), |t| format!("{} ms", (t - lost) / 1000));
        println!(
            "  loss of {keys} keys: first task started after {first}; longest time without an answer \
             about one of {} jobs: {} ms; last failed lookup after {} ms",
            self.jobs.len(),
            unanswered.max(),
            (last_failure - at).as_millis()
        );
        thread::sleep(Duration::from_secs(TASK_RUN_S));
        let repeated = self.workers.started_again();
        println!(
            "  {} tasks started since the loss; {repeated} repeated starts since the beginning",
            self.workers.started() - started
        );
    }
}

fn main() {
    // Cargo itself adds `--bench`.
    let arguments = std::env::args().skip(1).filter(|a| !a.starts_with("--"));
    let mut arguments =
        arguments.map(|a| a.parse::<usize>().expect("the arguments must be numbers"));
    let machines = arguments.next().unwrap_or(100);
    let seconds = arguments.next().unwrap_or(20) as u64;
    for with_recovery in [false, true] {
        let mut bench = Bench::start(machines, with_recovery);
        bench.submit(machines * QUEUED_TASKS_PER_MACHINE);
        let filled = bench.await_running(machines * 95 / 100);
        let (tasks, running) = bench.workers.running();
        println!(
            "recovery {with_recovery}: {running} machines, {tasks} tasks running, filled {filled}"
        );
        bench.measure_load(seconds);
        if with_recovery {
            bench.measure_rebuild();
        }
    }
}
