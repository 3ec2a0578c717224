//! What all cases share: the record, the jobs, the controllers, and the users.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use quartzlever_testkit::{Store, http};
use serde_json::{Value, json};

use crate::web;

/// The settings of a deployment, as its site file and its page have them.
pub struct Site {
    pub zones: &'static [&'static str],
    pub teams: &'static [&'static str],
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub memory_mb: f64,
}

/// audeklis-mill-orders.
pub const AUDEKLIS: Site = Site {
    zones: &["riga-floor", "ogre-floor"],
    teams: &["orders-desk"],
    report_s: 3.0,
    lease_s: 34.0,
    cancel_s: 64.0,
    state_rps: 80.0,
    state_write_rps: 30.0,
    cloud_rps: 4.0,
    list_lag_s: 6.0,
    cpu_share: 0.16,
    memory_mb: 200.0,
};

/// lapis-lending.
pub const LAPIS: Site = Site {
    zones: &["sofia-north", "sofia-south", "plovdiv-campus", "varna-edge"],
    teams: &["catalogue-team", "licensing-team", "loans-team", "platform-team"],
    report_s: 3.0,
    lease_s: 36.0,
    cancel_s: 56.0,
    state_rps: 150.0,
    state_write_rps: 50.0,
    cloud_rps: 6.0,
    list_lag_s: 3.0,
    cpu_share: 0.064,
    memory_mb: 136.0,
};

/// What a worker knows of a job: users upload the description.
#[derive(Clone)]
pub struct Job {
    pub cpus: f64,
    pub bundle: String,
    pub pull_s: f64,
    /// None: until it is stopped.
    pub run_s: Option<f64>,
}

#[derive(Default)]
pub struct Counts {
    pub started: BTreeMap<String, usize>,
    pub completed: BTreeMap<String, usize>,
    pub halted: usize,
    pub killed_by_lease: usize,
    pub long_reports: BTreeMap<String, usize>,
}

pub struct Lab {
    begin: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    program: PathBuf,
    jobs: Mutex<BTreeMap<String, Job>>,
    nodes: Mutex<Vec<(String, String)>>,
    internal: Mutex<Vec<String>>,
    children: Mutex<BTreeMap<String, Child>>,
    seed: AtomicU64,
    pub counts: Mutex<Counts>,
    pub site: &'static Site,
    pub trouble: bool,
}

/// Free loopback addresses. The host part depends on the process, so that runs side by side do not share ports.
fn free_addresses(count: usize) -> Vec<String> {
    let process = std::process::id();
    let host = format!("127.{}.{}.1", 2 + process % 250, 2 + process / 250 % 250);
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((host.as_str(), 0)).expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address").to_string()).collect()
}

impl Lab {
    /// `record` is the file for what was sent, answered and run; `program` is the controller.
    pub fn new(record: &str, program: &str, folder: &str, site: &'static Site) -> Arc<Lab> {
        let nodes = ["drone-0", "drone-1", "drone-2"];
        let api = free_addresses(nodes.len() * 2);
        let (api, internal) = api.split_at(nodes.len());
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let lab = Arc::new(Lab {
            begin: Instant::now(),
            record: Mutex::new(File::create(record).expect("the record")),
            folder: folder.into(),
            program: program.into(),
            jobs: Mutex::default(),
            nodes: Mutex::new(
                nodes.iter().map(|n| (*n).to_owned()).zip(api.iter().cloned()).collect(),
            ),
            internal: Mutex::new(internal.to_vec()),
            children: Mutex::default(),
            seed: AtomicU64::new(0x9e37_79b9_7f4a_7c15),
            counts: Mutex::default(),
            site,
            trouble,
        });
        lab.note(&format!("trouble {}", if trouble { "on" } else { "off (TROUBLE=0)" }));
        lab
    }

    pub fn seconds(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{:8.3} {line}", self.seconds());
    }

    /// A number from 0 to 1, from a fixed sequence.
    pub fn random(&self) -> f64 {
        let mut x = self.seed.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.seed.store(x, Ordering::Relaxed);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.jobs.lock().unwrap().get(id).cloned()
    }

    pub fn nodes(&self) -> Vec<(String, String)> {
        self.nodes.lock().unwrap().clone()
    }

    pub fn started(&self, shard: &str, machine: &str) {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.started.entry(shard.to_owned()).or_default();
        *count += 1;
        let (count, total) = (*count, counts.started.len());
        drop(counts);
        if total <= 40 {
            self.note(&format!("{machine}: {shard} starts (start {count})"));
        }
    }

    pub fn completed(&self, shard: &str) {
        *self.counts.lock().unwrap().completed.entry(shard.to_owned()).or_default() += 1;
    }

    pub fn halted(&self, shard: &str, machine: &str) {
        self.counts.lock().unwrap().halted += 1;
        self.note(&format!("{machine}: {shard} killed by command"));
    }

    pub fn count_killed_by_lease(&self, count: usize) {
        self.counts.lock().unwrap().killed_by_lease += count;
    }

    pub fn note_long_report(&self, machine: &str, bytes: usize) {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.long_reports.entry(machine.to_owned()).or_default();
        *count += 1;
        let count = *count;
        drop(counts);
        if count <= 3 || count % 10 == 0 {
            self.note(&format!("{machine}: report {count} that is over 64 KiB, {bytes} bytes"));
        }
    }

    /// Starts a state service; returns its address.
    pub fn start_store(&self) -> (Arc<Mutex<Store>>, String) {
        let store = Arc::new(Mutex::new(Store::default()));
        let address = http::serve_store(store.clone(), self.begin).expect("the state service");
        (store, address.to_string())
    }

    /// Writes the settings of a node and starts it.
    pub fn start_node(&self, node: usize, state: &str, cloud: &str) {
        let site = self.site;
        let zones = site.zones;
        let teams: String = site
            .teams
            .iter()
            .map(|team| {
                format!("[[params.teams]]\nname = \"{team}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n")
            })
            .collect();
        let (names, internal) = (self.nodes(), self.internal.lock().unwrap().clone());
        let mut seeds = String::new();
        for (n, (name, _)) in names.iter().enumerate().filter(|(n, _)| *n != node) {
            seeds += &format!(
                "[[seeds]]\nnode_name = \"{name}\"\nsite = \"{}\"\naddr = \"{}\"\n",
                zones[n % zones.len()],
                internal[n]
            );
        }
        let (name, api) = &names[node];
        let text = format!(
            "node_name = \"{name}\"\nsite = \"{}\"\napi_addr = \"{api}\"\ninternal_addr = \"{}\"\n{seeds}\
             [external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [params]\ninitial_size = {}\nzones = {zones:?}\nclock_error_ms = 250.0\n{teams}\
             [params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = {:?}\n\
             [params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = 16.0\ntxn_ops = 24\n\
             [params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\
             [params.machine_limits]\ncpu_share = {:?}\nmemory_mb = {:?}\nsockets = 2500\n",
            zones[node % zones.len()],
            internal[node],
            names.len(),
            site.report_s,
            site.lease_s,
            site.cancel_s,
            site.state_rps,
            site.state_write_rps,
            site.cloud_rps,
            site.list_lag_s,
            site.cpu_share,
            site.memory_mb,
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("the settings");
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.expect("the log")))
            .spawn()
            .expect("the controller");
        let mut processes = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("processes"))
            .expect("a file");
        let _ = writeln!(processes, "{}", child.id());
        self.note(&format!("{name} started at {api}"));
        self.children.lock().unwrap().insert(name.clone(), child);
    }

    /// Kills a node's process.
    pub fn kill_node(&self, name: &str) {
        if let Some(mut child) = self.children.lock().unwrap().remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("{name} killed"));
        }
    }

    /// Names of nodes whose process ended by itself.
    pub fn ended_nodes(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        children
            .iter_mut()
            .filter_map(|(n, c)| (!matches!(c.try_wait(), Ok(None))).then(|| n.clone()))
            .collect()
    }

    pub fn stop(&self) {
        for (_, mut child) in std::mem::take(&mut *self.children.lock().unwrap()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn address(&self, node: usize) -> String {
        self.nodes()[node].1.clone()
    }

    pub fn until(&self, what: &str, limit_s: f64, mut holds: impl FnMut() -> bool) -> bool {
        let begin = Instant::now();
        while begin.elapsed().as_secs_f64() < limit_s {
            if holds() {
                self.note(&format!("reached: {what}"));
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.note(&format!("not reached within {limit_s} s: {what}"));
        false
    }

    pub fn ready(&self, node: usize) -> bool {
        web::call(
            "GET",
            &format!("http://{}/ready", self.address(node)),
            None,
            Duration::from_secs(1),
        )
        .0 == 200
    }

    /// The body of a submission, with its description uploaded for the workers.
    pub fn describe(&self, id: &str, fields: Value, pull_s: f64, run_s: Option<f64>) -> Value {
        let mut body = json!({"ref": id, "jobclass": "c", "owner": self.site.teams[0], "shape": "batch", "rank": "standard",
            "shards": 1, "cpus": 1.0, "gpus": 0.0, "ram_gb": 1.0, "bundle": "img-01", "size_gb": 0.5,
            "chassis": null, "bay": null, "together": false, "apart": false, "loaners": false,
            "expect_s": run_s.unwrap_or(0.0), "snapshot_s": 0.0, "flush_s": 0.0, "due_s": null});
        for (key, value) in fields.as_object().into_iter().flatten() {
            body[key] = value.clone();
        }
        let job = Job {
            cpus: body["cpus"].as_f64().unwrap_or(0.0),
            bundle: body["bundle"].as_str().unwrap_or_default().into(),
            pull_s,
            run_s,
        };
        self.jobs.lock().unwrap().insert(id.into(), job);
        body
    }

    /// Submits as a user does, with retries for up to 60 s; returns the last status.
    pub fn submit(&self, node: usize, body: &Value) -> u16 {
        let id = body["ref"].as_str().unwrap_or_default().to_owned();
        let begin = Instant::now();
        loop {
            let url = format!("http://{}/v2/runs", self.address(node));
            let (status, answer) =
                web::call("POST", &url, Some(&body.to_string()), Duration::from_secs(5));
            self.note(&format!("submit {id} at {}: {status} {answer}", self.nodes()[node].0));
            if matches!(status, 200 | 201 | 400 | 422) || begin.elapsed().as_secs() > 60 {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Submits through a load balancer that passes over nodes that are not ready, in order.
    pub fn submit_balanced(&self, body: &Value) -> u16 {
        let node = (0..self.nodes().len()).find(|n| self.ready(*n)).unwrap_or(0);
        self.submit(node, body)
    }

    /// Looks a job up; returns the status and the view.
    pub fn look_up(&self, node: usize, id: &str) -> (u16, Value) {
        let url = format!("http://{}/v2/runs/{id}", self.address(node));
        web::call("GET", &url, None, Duration::from_secs(2))
    }
}
