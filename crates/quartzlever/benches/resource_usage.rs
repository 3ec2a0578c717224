//! Measures the CPU time and memory of the real program by thread, with fakes of the store, the
//! cloud and the workers.
//!
//! `cargo bench -p quartzlever --bench resource_usage -- [MACHINES [PARTITIONS [SECONDS]]]`
//!
//! One controller leads one partition, or up to three partitions in place of controllers that are
//! not running. `MACHINES` machines are launched for its queue; their workers send a heartbeat
//! every six seconds and at each change. Three spans are measured:
//!
//! - the start, while all machines are launched;
//! - `SECONDS` seconds with a queue and with users who submit and look up jobs;
//! - `SECONDS` seconds in which the only requests are heartbeats.
//!
//! Between the last two, the process is killed and started again with its machines running: first
//! during an outage of the store, so that it rejects all heartbeats, then with the store available.
//! Both starts are measured too.
//!
//! CPU time and context switches are the kernel's figures for each thread, summed by thread name.
//! System calls are counted with `perf trace` if it is installed, in spans of their own, since
//! tracing slows the program down.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_testkit::program::Node;
use quartzlever_testkit::worker_fleet::{WorkerBehaviour, WorkerFleet};
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzlever");
const MACHINE_CPUS: f64 = 16.0;
const TASK_CPUS: f64 = 4.0;
const TASKS_PER_JOB: usize = 40;
/// Run time of a task in seconds.
const TASK_RUN_S: u64 = 20;

fn settings(state: SocketAddr, cloud: SocketAddr, names: &[&str]) -> String {
    let seeds: String = names
        .iter()
        .skip(1)
        .enumerate()
        .map(|(n, name)| {
            // Nothing listens at these addresses: the other controllers never run.
            format!(
                "[[seeds]]\nnode_name = \"{name}\"\nsite = \"a\"\naddr = \"127.0.0.1:{}\"\n",
                n + 1
            )
        })
        .collect();
    format!(
        r#"
node_name = "{}"
site = "a"
api_addr = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
{seeds}
[external]
cloud = "{cloud}"
state = "{state}"
[params]
zones = ["a"]
[[params.teams]]
name = "free"
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 8.0
share = 0.9
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
rps = 6.0
list_lag_s = 3.0
[params.machine_limits]
sockets = 6000
memory_mb = 200.0
"#,
        names[0]
    )
}

fn start(config: &Path) -> Node {
    Node::start(PROGRAM, config).expect("the program did not start")
}

/// CPU time and context switches of a thread, or of all threads with the same name.
#[derive(Clone, Copy, Debug, Default)]
struct ThreadUsage {
    threads: u64,
    cpu_ns: u64,
    switches: u64,
}

/// Returns name and usage of every thread of a process, by thread id.
fn read_threads(process: u32) -> BTreeMap<u32, (String, ThreadUsage)> {
    let mut all = BTreeMap::new();
    let Ok(entries) = std::fs::read_dir(format!("/proc/{process}/task")) else { return all };
    for entry in entries.flatten() {
        let path = entry.path();
        let read = |name: &str| std::fs::read_to_string(path.join(name)).unwrap_or_default();
        let cpu_ns = read("schedstat").split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let switches = read("status")
            .lines()
            .filter(|l| l.contains("ctxt_switches"))
            .filter_map(|l| l.split_whitespace().last()?.parse::<u64>().ok())
            .sum();
        let thread_id = entry.file_name().to_string_lossy().parse().unwrap_or(0);
        all.insert(
            thread_id,
            (read("comm").trim().to_owned(), ThreadUsage { threads: 1, cpu_ns, switches }),
        );
    }
    all
}

/// Returns a numeric field of `/proc/PROCESS/status`, 0 if it is absent.
fn read_status(process: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the resident memory of a process in kilobytes, by the kind of mapping.
fn read_resident_memory(process: u32) -> BTreeMap<&'static str, u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/smaps")).unwrap_or_default();
    let mut sums: BTreeMap<&'static str, u64> = BTreeMap::new();
    let (mut kind, mut size) = ("other", 0);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [span, _, _, _, _, rest @ ..] if span.contains('-') => {
                kind = match rest.first() {
                    Some(&"[heap]") => "main heap",
                    Some(path) if path.ends_with("quartzlever") => "program",
                    Some(path) if path.starts_with('/') => "libraries",
                    _ => "arenas",
                };
            }
            ["Size:", kb, _] => size = kb.parse().unwrap_or(0),
            ["Rss:", kb, _] => {
                // A thread's stack is a mapping of its own, far smaller than an arena of 64 MB.
                let stack = kind == "arenas" && size <= 256;
                let kb: u64 = kb.parse().unwrap_or(0);
                *sums.entry(if stack { "stacks" } else { kind }).or_default() += kb;
            }
            _ => {}
        }
    }
    sums
}

/// The workers and users around the controller.
struct Environment {
    workers: Arc<WorkerFleet>,
    users: Arc<Users>,
}

/// Submits jobs and looks them up until they are done.
#[derive(Default)]
struct Users {
    /// Address of the controller, `None` before the first one has started.
    controller: Mutex<Option<SocketAddr>>,
    /// Set while new jobs are submitted.
    busy: std::sync::atomic::AtomicBool,
    /// Number of the next job.
    next_job: AtomicU64,
    submitted: AtomicU64,
    looked_up: AtomicU64,
    /// Number of requests that failed or were rejected.
    failed: AtomicU64,
}

impl Users {
    /// Submits a job and returns its id, or `None` if the request fails.
    fn submit(&self, agent: &ureq::Agent, base: &str) -> Option<String> {
        let id = format!("req-{:06}", self.next_job.fetch_add(1, Ordering::Relaxed));
        let body = json!({
            "ref": id, "jobclass": "c", "owner": "free", "shape": "batch", "rank": "standard",
            "shards": TASKS_PER_JOB, "cpus": TASK_CPUS, "gpus": 0, "ram_gb": 1.0, "bundle": "img",
            "size_gb": 0.5, "together": false, "apart": false, "loaners": true,
            "expect_s": TASK_RUN_S as f64, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": 600.0
        });
        let sent = agent.post(&format!("{base}/v2/runs")).send_string(&body.to_string());
        self.submitted.fetch_add(1, Ordering::Relaxed);
        match sent {
            Ok(answer) => answer.into_string().ok().map(|_| id),
            Err(_) => {
                self.failed.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }

    /// Keeps up to `max_jobs` jobs open while `busy` is set, and looks each of them up every five
    /// seconds until it is done. Never returns.
    fn run(&self, max_jobs: usize) {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).build();
        let mut open: Vec<(String, Instant)> = Vec::new();
        loop {
            thread::sleep(Duration::from_millis(20));
            let Some(controller) = self.controller.lock().ok().and_then(|c| *c) else { continue };
            let base = format!("http://{controller}");
            if self.busy.load(Ordering::Relaxed)
                && open.len() < max_jobs
                && let Some(id) = self.submit(&agent, &base)
            {
                open.push((id, Instant::now()));
            }
            open.retain_mut(|(id, last_lookup)| {
                if last_lookup.elapsed() < Duration::from_secs(5) {
                    return true;
                }
                *last_lookup = Instant::now();
                self.looked_up.fetch_add(1, Ordering::Relaxed);
                match agent.get(&format!("{base}/v2/runs/{id}")).call() {
                    Ok(answer) => !answer.into_string().is_ok_and(|t| t.contains("\"done\":40,")),
                    Err(_) => {
                        self.failed.fetch_add(1, Ordering::Relaxed);
                        true
                    }
                }
            });
        }
    }
}

/// A span in which the usage of the controller is measured.
struct Span<'a> {
    name: &'a str,
    process: u32,
    begin: Instant,
    threads: BTreeMap<u32, (String, ThreadUsage)>,
    request_counts: [u64; 4],
}

impl<'a> Span<'a> {
    fn begin(name: &'a str, process: u32, environment: &Environment) -> Self {
        let (threads, request_counts) = (read_threads(process), environment.request_counts());
        Span { name, process, begin: Instant::now(), threads, request_counts }
    }

    fn end(self, environment: &Environment) {
        let seconds = self.begin.elapsed().as_secs_f64();
        let mut by_name: BTreeMap<String, ThreadUsage> = BTreeMap::new();
        for (thread_id, (name, now)) in read_threads(self.process) {
            let before = self.threads.get(&thread_id).map(|t| t.1).unwrap_or_default();
            let sum = by_name.entry(name).or_default();
            sum.threads += 1;
            sum.cpu_ns += now.cpu_ns.saturating_sub(before.cpu_ns);
            sum.switches += now.switches.saturating_sub(before.switches);
        }
        let after = environment.request_counts();
        let [heartbeats, unanswered, submitted, looked_up] =
            std::array::from_fn(|n| after[n] - self.request_counts[n]);
        let requests = (heartbeats + unanswered + submitted + looked_up).max(1);
        let cpu_ns: u64 = by_name.values().map(|s| s.cpu_ns).sum();
        let switches: u64 = by_name.values().map(|s| s.switches).sum();
        let (tasks, machines) = environment.workers.running();
        println!(
            "{}: {seconds:.1} s, {machines} machines, {tasks} tasks running; {heartbeats} heartbeats, \
             {unanswered} unanswered, {submitted} submissions, {looked_up} lookups",
            self.name
        );
        println!(
            "  {:.2}% of a core, {:.1} microseconds and {:.1} context switches per request",
            cpu_ns as f64 / 1e7 / seconds,
            cpu_ns as f64 / 1e3 / requests as f64,
            switches as f64 / requests as f64
        );
        let mut rows: Vec<_> = by_name.into_iter().collect();
        rows.sort_by_key(|(_, spent)| std::cmp::Reverse(spent.cpu_ns));
        for (name, spent) in rows {
            println!(
                "  {name:<14} {:>5} threads {:>8.2} ms per second {:>9.1} context switches per second",
                spent.threads,
                spent.cpu_ns as f64 / 1e6 / seconds,
                spent.switches as f64 / seconds
            );
        }
        let kinds: Vec<String> = read_resident_memory(self.process)
            .iter()
            .map(|(kind, kb)| format!("{kind} {kb}"))
            .collect();
        println!(
            "  memory, kB: {} now, {} peak; {}",
            read_status(self.process, "VmRSS"),
            read_status(self.process, "VmHWM"),
            kinds.join(", ")
        );
    }
}

impl Environment {
    /// Returns the numbers of answered heartbeats, unanswered heartbeats, submissions and lookups.
    fn request_counts(&self) -> [u64; 4] {
        let (workers, users) = (&self.workers, &self.users);
        [&workers.answered, &workers.unanswered, &users.submitted, &users.looked_up]
            .map(|c| c.load(Ordering::Relaxed))
    }

    /// Directs workers and users to a controller.
    fn set_controller(&self, node: &Node) {
        self.workers.report_to(node.address);
        if let Ok(mut known) = self.users.controller.lock() {
            *known = Some(node.address);
        }
    }

    /// Waits until at least `tasks` tasks run, or until the timeout.
    fn await_running(&self, tasks: usize, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.workers.running().0 < tasks && Instant::now() < end {
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Counts the system calls of a process for `seconds` seconds and prints them, if `perf` is
/// installed.
fn count_system_calls(process: u32, seconds: u64, environment: &Environment) {
    let before = environment.request_counts();
    let traced = Command::new("timeout")
        .args(["-s", "INT", &seconds.to_string(), "perf", "trace", "-s", "-p"])
        .arg(process.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .output();
    let Ok(output) = traced else { return };
    let after = environment.request_counts();
    let requests: u64 = [0, 2, 3].iter().map(|n| after[*n] - before[*n]).sum();
    // `perf trace -s` prints a line for each system call of each thread: name, count, errors,
    // times.
    let mut calls: BTreeMap<String, u64> = BTreeMap::new();
    for line in String::from_utf8_lossy(&output.stderr).lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let [name, count, _, total, ..] = words.as_slice()
            && let (Ok(count), Ok(_)) = (count.parse::<u64>(), total.parse::<f64>())
        {
            *calls.entry((*name).to_owned()).or_default() += count;
        }
    }
    let mut calls: Vec<_> = calls.into_iter().collect();
    calls.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let sum: u64 = calls.iter().map(|(_, count)| count).sum();
    let each = sum as f64 / requests.max(1) as f64;
    println!("  system calls for {requests} requests: {sum}, {each:.1} per request");
    for (name, count) in calls.iter().filter(|(_, count)| *count >= seconds) {
        println!("    {name:<18} {:>7.1} per second", *count as f64 / seconds as f64);
    }
}

fn main() {
    // Cargo itself adds `--bench`.
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .map(|a| a.parse::<usize>().expect("the arguments must be numbers"));
    let machines = arguments.next().unwrap_or(500);
    let partitions = arguments.next().unwrap_or(1).clamp(1, 3);
    let seconds = arguments.next().unwrap_or(20) as u64;
    let begin = Instant::now();
    let keys = Arc::new(Mutex::new(Store::default()));
    let store = http::serve_store(keys.clone(), begin).expect("cannot serve the store");
    let behaviour = WorkerBehaviour {
        heartbeat_interval: 6 * SECOND,
        lease: 36 * SECOND,
        run_time: TASK_RUN_S * SECOND,
    };
    let workers = WorkerFleet::start(behaviour, begin).expect("cannot start the workers");
    let mut cloud = Cloud::new(MACHINE_CPUS, &["a"], machines);
    // Idle machines are kept for as long as a machine takes to boot: a long boot time keeps them.
    cloud.catalogue.types[0].ready_s = 600.0;
    let (launching, terminating) = (workers.clone(), workers.clone());
    let cloud = Arc::new(Mutex::new(cloud));
    let cloud = http::serve_cloud(
        cloud,
        move |machine| terminating.terminated(machine),
        move |r| launching.launched(r),
    );
    let cloud = cloud.expect("cannot serve the cloud");
    let names = &["one", "two", "three"][..partitions];
    let config = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("resource-usage-{}.toml", std::process::id()));
    std::fs::write(&config, settings(store, cloud, names)).expect("cannot write the settings file");

    let users = Arc::new(Users::default());
    let environment = Environment { workers, users: users.clone() };
    let tasks_to_fill = (machines as f64 * MACHINE_CPUS / TASK_CPUS) as usize;
    // Half as many jobs again as fill the machines.
    thread::spawn(move || users.run(tasks_to_fill * 3 / 2 / TASKS_PER_JOB + 1));
    let node = start(&config);
    let process = node.process();
    let span = Span::begin("start", process, &environment);
    environment.set_controller(&node);
    environment.users.busy.store(true, Ordering::Relaxed);
    environment.await_running(tasks_to_fill * 95 / 100, Duration::from_secs(90));
    span.end(&environment);

    let span = Span::begin("busy", process, &environment);
    thread::sleep(Duration::from_secs(seconds));
    span.end(&environment);
    count_system_calls(process, seconds / 2, &environment);

    environment.users.busy.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    drop(node);
    // The controller is restarted during an outage of the store, so it rejects every heartbeat.
    keys.lock().expect("lock").outage = true;
    let node = start(&config);
    let process = node.process();
    environment.set_controller(&node);
    let span = Span::begin("store outage", process, &environment);
    thread::sleep(Duration::from_secs(8));
    span.end(&environment);
    let now = SECOND + begin.elapsed().as_micros() as u64;
    keys.lock().expect("lock").end_outage(now);
    drop(node);
    let node = start(&config);
    let process = node.process();
    let span = Span::begin("restart", process, &environment);
    environment.set_controller(&node);
    thread::sleep(Duration::from_secs(12));
    span.end(&environment);

    // Waits until the queue is empty and no task runs.
    let end = Instant::now() + Duration::from_secs(3 * TASK_RUN_S);
    while environment.workers.running().0 > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(12));
    let span = Span::begin("idle", process, &environment);
    thread::sleep(Duration::from_secs(seconds));
    span.end(&environment);
    count_system_calls(process, seconds / 2, &environment);
    let failed = environment.users.failed.load(Ordering::Relaxed);
    println!("failed requests of users: {failed}");
}
