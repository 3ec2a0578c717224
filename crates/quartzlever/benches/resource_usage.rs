//! Where the real program's processor time and memory go, beside fakes for everything else.
//!
//! `cargo bench -p quartzlever --bench resource_usage -- [MACHINES [PARTITIONS [SECONDS]]]`
//!
//! One controller holds one partition, or the partitions of all three names; so many machines are rented for
//! its queue and report every six seconds and at each change. Three spans are measured: the start
//! with all machines coming up, so many seconds with a queue and users who submit and look up, and
//! so many seconds in which machines only report. Between the two the process is killed and started
//! again among its machines, first without the store, so that it turns all of them away. Processor time and thread switches are the kernel's own account of
//! each thread, by name; system calls are counted with `perf trace` if that is there, in spans
//! of their own, since it slows the program down.

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
/// Processors of a machine, and of a task.
const MACHINE: f64 = 16.0;
const TASK: f64 = 4.0;
const TASKS: usize = 40;
const RUN_S: u64 = 20;

fn settings(state: SocketAddr, cloud: SocketAddr, names: &[&str]) -> String {
    let seeds: String = names
        .iter()
        .skip(1)
        .enumerate()
        .map(|(n, name)| {
            // Nobody listens there: the other controllers are gone for good.
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
    Node::start(PROGRAM, config).expect("the program starts")
}

/// Processor time and switches of a thread, or of all threads of a name.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    threads: u64,
    nanos: u64,
    switches: u64,
}

/// What every thread of a process has spent, by its number.
fn threads(process: u32) -> BTreeMap<u32, (String, Spent)> {
    let mut all = BTreeMap::new();
    let Ok(entries) = std::fs::read_dir(format!("/proc/{process}/task")) else { return all };
    for entry in entries.flatten() {
        let path = entry.path();
        let read = |name: &str| std::fs::read_to_string(path.join(name)).unwrap_or_default();
        let nanos = read("schedstat").split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let switches = read("status")
            .lines()
            .filter(|l| l.contains("ctxt_switches"))
            .filter_map(|l| l.split_whitespace().last()?.parse::<u64>().ok())
            .sum();
        let number = entry.file_name().to_string_lossy().parse().unwrap_or(0);
        all.insert(number, (read("comm").trim().to_owned(), Spent { threads: 1, nanos, switches }));
    }
    all
}

fn status(process: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Resident memory by what it belongs to, in kilobytes.
fn memory(process: u32) -> BTreeMap<&'static str, u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/smaps")).unwrap_or_default();
    let mut sums: BTreeMap<&'static str, u64> = BTreeMap::new();
    let (mut owner, mut size) = ("other", 0);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [span, _, _, _, _, rest @ ..] if span.contains('-') => {
                owner = match rest.first() {
                    Some(&"[heap]") => "main heap",
                    Some(path) if path.ends_with("quartzlever") => "program",
                    Some(path) if path.starts_with('/') => "libraries",
                    _ => "arenas",
                };
            }
            ["Size:", kb, _] => size = kb.parse().unwrap_or(0),
            ["Rss:", kb, _] => {
                // Stacks are maps of their own, far smaller than an arena's 64 MB.
                let stack = owner == "arenas" && size <= 256;
                let kb: u64 = kb.parse().unwrap_or(0);
                *sums.entry(if stack { "stacks" } else { owner }).or_default() += kb;
            }
            _ => {}
        }
    }
    sums
}

/// Everything around the controller.
struct World {
    crowd: Arc<WorkerFleet>,
    users: Arc<Users>,
}

/// Submits jobs and looks them up until they are done.
#[derive(Default)]
struct Users {
    controller: Mutex<Option<SocketAddr>>,
    busy: std::sync::atomic::AtomicBool,
    count: AtomicU64,
    submitted: AtomicU64,
    looked_up: AtomicU64,
    failed: AtomicU64,
}

impl Users {
    fn submit(&self, agent: &ureq::Agent, base: &str) -> Option<String> {
        let id = format!("req-{:06}", self.count.fetch_add(1, Ordering::Relaxed));
        let body = json!({
            "ref": id, "jobclass": "c", "owner": "free", "shape": "batch", "rank": "standard",
            "shards": TASKS, "cpus": TASK, "gpus": 0, "ram_gb": 1.0, "bundle": "img",
            "size_gb": 0.5, "together": false, "apart": false, "loaners": true,
            "expect_s": RUN_S as f64, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": 600.0
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

    /// Keeps as many jobs open as fill the machines and half as much again, each looked up every
    /// five seconds.
    fn go_on(&self, jobs: usize) {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).build();
        let mut open: Vec<(String, Instant)> = Vec::new();
        loop {
            thread::sleep(Duration::from_millis(20));
            let Some(controller) = self.controller.lock().ok().and_then(|c| *c) else { continue };
            let base = format!("http://{controller}");
            if self.busy.load(Ordering::Relaxed)
                && open.len() < jobs
                && let Some(id) = self.submit(&agent, &base)
            {
                open.push((id, Instant::now()));
            }
            open.retain_mut(|(id, asked)| {
                if asked.elapsed() < Duration::from_secs(5) {
                    return true;
                }
                *asked = Instant::now();
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

/// One measured span.
struct Span<'a> {
    name: &'a str,
    process: u32,
    begin: Instant,
    threads: BTreeMap<u32, (String, Spent)>,
    counts: [u64; 4],
}

impl<'a> Span<'a> {
    fn begin(name: &'a str, process: u32, world: &World) -> Self {
        let (threads, counts) = (threads(process), world.counts());
        Span { name, process, begin: Instant::now(), threads, counts }
    }

    fn end(self, world: &World) {
        let seconds = self.begin.elapsed().as_secs_f64();
        let mut by_name: BTreeMap<String, Spent> = BTreeMap::new();
        for (number, (name, now)) in threads(self.process) {
            let before = self.threads.get(&number).map(|t| t.1).unwrap_or_default();
            let sum = by_name.entry(name).or_default();
            sum.threads += 1;
            sum.nanos += now.nanos.saturating_sub(before.nanos);
            sum.switches += now.switches.saturating_sub(before.switches);
        }
        let after = world.counts();
        let [reports, unanswered, submitted, looked_up] =
            std::array::from_fn(|n| after[n] - self.counts[n]);
        let requests = (reports + unanswered + submitted + looked_up).max(1);
        let nanos: u64 = by_name.values().map(|s| s.nanos).sum();
        let switches: u64 = by_name.values().map(|s| s.switches).sum();
        let (tasks, machines) = world.crowd.running();
        println!(
            "{}: {seconds:.1} s, {machines} machines, {tasks} tasks running; {reports} reports, \
             {unanswered} unanswered, {submitted} submissions, {looked_up} lookups",
            self.name
        );
        println!(
            "  {:.2}% of a core, {:.1} microseconds and {:.1} switches a request",
            nanos as f64 / 1e7 / seconds,
            nanos as f64 / 1e3 / requests as f64,
            switches as f64 / requests as f64
        );
        let mut rows: Vec<_> = by_name.into_iter().collect();
        rows.sort_by_key(|(_, spent)| std::cmp::Reverse(spent.nanos));
        for (name, spent) in rows {
            println!(
                "  {name:<14} {:>5} threads {:>8.2} ms a second {:>9.1} switches a second",
                spent.threads,
                spent.nanos as f64 / 1e6 / seconds,
                spent.switches as f64 / seconds
            );
        }
        let parts: Vec<String> =
            memory(self.process).iter().map(|(owner, kb)| format!("{owner} {kb}")).collect();
        println!(
            "  memory, kB: {} now, {} at most; {}",
            status(self.process, "VmRSS"),
            status(self.process, "VmHWM"),
            parts.join(", ")
        );
    }
}

impl World {
    fn counts(&self) -> [u64; 4] {
        let (crowd, users) = (&self.crowd, &self.users);
        [&crowd.answered, &crowd.unanswered, &users.submitted, &users.looked_up]
            .map(|c| c.load(Ordering::Relaxed))
    }

    /// Points workers and users to a controller.
    fn serve_from(&self, node: &Node) {
        self.crowd.report_to(node.address);
        if let Ok(mut known) = self.users.controller.lock() {
            *known = Some(node.address);
        }
    }

    /// Waits until so many machines run enough, or for a while.
    fn await_running(&self, tasks: usize, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.crowd.running().0 < tasks && Instant::now() < end {
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Counts system calls over a span, if there is a program for it.
fn count_calls(process: u32, seconds: u64, world: &World) {
    let before = world.counts();
    let traced = Command::new("timeout")
        .args(["-s", "INT", &seconds.to_string(), "perf", "trace", "-s", "-p"])
        .arg(process.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .output();
    let Ok(output) = traced else { return };
    let after = world.counts();
    let requests: u64 = [0, 2, 3].iter().map(|n| after[*n] - before[*n]).sum();
    // A line for each call of each thread: name, count, and times.
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
    println!("  system calls for {requests} requests: {sum}, {each:.1} each");
    for (name, count) in calls.iter().filter(|(_, count)| *count >= seconds) {
        println!("    {name:<18} {:>7.1} a second", *count as f64 / seconds as f64);
    }
}

fn main() {
    // Cargo itself adds `--bench`.
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .map(|a| a.parse::<usize>().expect("a number"));
    let machines = arguments.next().unwrap_or(500);
    let parts = arguments.next().unwrap_or(1).clamp(1, 3);
    let seconds = arguments.next().unwrap_or(20) as u64;
    let begin = Instant::now();
    let keys = Arc::new(Mutex::new(Store::default()));
    let store = http::serve_store(keys.clone(), begin).expect("store");
    let behaviour = WorkerBehaviour {
        heartbeat_interval: 6 * SECOND,
        lease: 36 * SECOND,
        run_time: RUN_S * SECOND,
    };
    let crowd = WorkerFleet::start(behaviour, begin).expect("crowd");
    let mut cloud = Cloud::new(MACHINE, &["a"], machines);
    // Idle machines are kept for as long as one boots.
    cloud.catalogue.types[0].ready_s = 600.0;
    let (joined, left) = (crowd.clone(), crowd.clone());
    let cloud = Arc::new(Mutex::new(cloud));
    let cloud = http::serve_cloud(
        cloud,
        move |machine| left.terminated(machine),
        move |r| joined.launched(r),
    );
    let cloud = cloud.expect("cloud");
    let names = &["one", "two", "three"][..parts];
    let config =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("account-{}.toml", std::process::id()));
    std::fs::write(&config, settings(store, cloud, names)).expect("a scratch file");

    let users = Arc::new(Users::default());
    let world = World { crowd, users: users.clone() };
    let fills = (machines as f64 * MACHINE / TASK) as usize;
    thread::spawn(move || users.go_on(fills * 3 / 2 / TASKS + 1));
    let node = start(&config);
    let process = node.process();
    let span = Span::begin("start", process, &world);
    world.serve_from(&node);
    world.users.busy.store(true, Ordering::Relaxed);
    world.await_running(fills * 95 / 100, Duration::from_secs(90));
    span.end(&world);

    let span = Span::begin("busy", process, &world);
    thread::sleep(Duration::from_secs(seconds));
    span.end(&world);
    count_calls(process, seconds / 2, &world);

    world.users.busy.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    drop(node);
    // Started anew while the store is away, so that every worker is turned away.
    keys.lock().expect("lock").outage = true;
    let node = start(&config);
    let process = node.process();
    world.serve_from(&node);
    let span = Span::begin("turned away", process, &world);
    thread::sleep(Duration::from_secs(8));
    span.end(&world);
    let now = SECOND + begin.elapsed().as_micros() as u64;
    keys.lock().expect("lock").end_outage(now);
    drop(node);
    let node = start(&config);
    let process = node.process();
    let span = Span::begin("restart", process, &world);
    world.serve_from(&node);
    thread::sleep(Duration::from_secs(12));
    span.end(&world);

    // The queue runs dry.
    let end = Instant::now() + Duration::from_secs(3 * RUN_S);
    while world.crowd.running().0 > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(12));
    let span = Span::begin("idle", process, &world);
    thread::sleep(Duration::from_secs(seconds));
    span.end(&world);
    count_calls(process, seconds / 2, &world);
    let failed = world.users.failed.load(Ordering::Relaxed);
    println!("users' requests that failed: {failed}");
}
