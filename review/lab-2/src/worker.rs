//! A worker stand-in: one machine with its lease, its token, its tasks, its reports and its own address.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cloud::Type;
use crate::lab::Lab;
use crate::web;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Pulling,
    Running,
    Exited(&'static str),
}

struct Task {
    job: String,
    phase: Phase,
    since: Instant,
}

struct State {
    tenure: u64,
    tick: u64,
    baton: u64,
    renewed: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    results: BTreeSet<String>,
    changed: bool,
    ended: bool,
}

/// A worker on one machine.
pub struct Worker {
    lab: Arc<Lab>,
    pub name: String,
    pub bay: String,
    kind: Type,
    loaners: bool,
    address: Mutex<String>,
    state: Mutex<State>,
}

/// The longest request body that the protocol allows.
const MAX_BODY: usize = 64 * 1024;

impl Worker {
    pub fn start(lab: Arc<Lab>, name: &str, kind: &Type, bay: &str, loaners: bool) -> Arc<Worker> {
        let state = State {
            tenure: 1,
            tick: 0,
            baton: 0,
            renewed: Instant::now(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            results: BTreeSet::new(),
            changed: false,
            ended: false,
        };
        let worker = Arc::new(Worker {
            lab,
            name: name.into(),
            bay: bay.into(),
            kind: kind.clone(),
            loaners,
            address: Mutex::default(),
            state: Mutex::new(state),
        });
        let served = worker.clone();
        let address = web::serve(2, move |method, url, body| served.direct(method, url, body));
        *worker.address.lock().unwrap() = address;
        worker.lab.note(&format!("{name}: up in {bay}"));
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_until_ended());
        worker
    }

    pub fn address(&self) -> String {
        self.address.lock().unwrap().clone()
    }

    /// Ends the machine with all that is on it; returns how many tasks were on it.
    pub fn end(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        let lost = state.tasks.values().filter(|t| !matches!(t.phase, Phase::Exited(_))).count();
        state.tasks.clear();
        lost
    }

    /// How many tasks of a job run here.
    pub fn running(&self, job: &str) -> usize {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        state.tasks.values().filter(|t| t.job == job && t.phase == Phase::Running).count()
    }

    /// The CPUs that no task takes, if the last report was answered within the last two intervals.
    pub fn room(&self) -> f64 {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let served = state.renewed.elapsed().as_secs_f64() < 2.5 * self.lab.site.report_s;
        if served && !state.ended { self.free_cpus(&state) } else { 0.0 }
    }

    /// Brings the tasks to the present: the lease, the images and the ends of tasks.
    fn advance(&self, state: &mut State) {
        if state.renewed.elapsed().as_secs_f64() > self.lab.site.lease_s {
            let killed =
                state.tasks.values().filter(|t| !matches!(t.phase, Phase::Exited(_))).count();
            state.tenure += 1;
            state.renewed = Instant::now();
            state.tasks.clear();
            state.changed = true;
            self.lab.note(&format!(
                "{}: lease ended, {killed} tasks killed, tenure {}",
                self.name, state.tenure
            ));
            self.lab.count_killed_by_lease(killed);
        }
        let mut changed = false;
        for ((shard, _), task) in &mut state.tasks {
            let Some(job) = self.lab.job(&task.job) else { continue };
            if task.phase == Phase::Pulling && task.since.elapsed().as_secs_f64() >= job.pull_s {
                state.images.insert(job.bundle.clone());
                task.since = Instant::now();
                task.phase = if state.results.contains(shard) {
                    Phase::Exited("done")
                } else {
                    Phase::Running
                };
                if task.phase == Phase::Running {
                    self.lab.started(shard, &self.name);
                }
                changed = true;
            }
            if task.phase == Phase::Running
                && job.run_s.is_some_and(|s| task.since.elapsed().as_secs_f64() >= s)
            {
                task.phase = Phase::Exited("done");
                state.results.insert(shard.clone());
                self.lab.completed(shard);
                changed = true;
            }
        }
        state.changed |= changed;
    }

    fn free_cpus(&self, state: &State) -> f64 {
        let used = state.tasks.values().filter(|t| !matches!(t.phase, Phase::Exited(_)));
        self.kind.cpus - used.map(|t| self.lab.job(&t.job).map_or(0.0, |j| j.cpus)).sum::<f64>()
    }

    fn execute(&self, state: &mut State, orders: &Value) {
        let mut free = self.free_cpus(state);
        for order in orders.as_array().into_iter().flatten() {
            let shard = order["shard"].as_str().unwrap_or_default().to_owned();
            let attempt = order["try"].as_u64().unwrap_or(0);
            let key = (shard.clone(), attempt);
            match order["verb"].as_str().unwrap_or_default() {
                "run" if !state.tasks.contains_key(&key) => {
                    let job = shard.rsplit_once('/').map_or("", |(job, _)| job).to_owned();
                    let info = self.lab.job(&job);
                    let same = |((s, _), t): (&(String, u64), &Task)| {
                        *s == shard && !matches!(t.phase, Phase::Exited(_))
                    };
                    let phase = match &info {
                        None => Phase::Exited("unknown"),
                        Some(_) if state.tasks.iter().any(same) => Phase::Exited("busy"),
                        Some(info) if info.cpus > free + 1e-6 => Phase::Exited("no_room"),
                        Some(info) => {
                            free -= info.cpus;
                            Phase::Pulling
                        }
                    };
                    state.tasks.insert(key, Task { job, phase, since: Instant::now() });
                    state.changed = true;
                }
                "kill" => {
                    if let Some(task) =
                        state.tasks.get_mut(&key).filter(|t| !matches!(t.phase, Phase::Exited(_)))
                    {
                        task.phase = Phase::Exited("halted");
                        state.changed = true;
                        self.lab.halted(&shard, &self.name);
                    }
                }
                "clear" => {
                    if state.tasks.get(&key).is_some_and(|t| matches!(t.phase, Phase::Exited(_))) {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    /// The report, with a new tick.
    fn report(&self, state: &mut State) -> Value {
        state.tick += 1;
        let shards: Vec<Value> = state
            .tasks
            .iter()
            .map(|((shard, attempt), task)| match task.phase {
                Phase::Pulling => json!({"shard": shard, "try": attempt, "phase": "pulling"}),
                Phase::Running => json!({"shard": shard, "try": attempt, "phase": "running"}),
                Phase::Exited(cause) => {
                    json!({"shard": shard, "try": attempt, "phase": "exited", "cause": cause})
                }
            })
            .collect();
        json!({"host": self.name, "address": self.address(), "frame": self.kind.name, "bay": self.bay,
            "loaners": self.loaners, "tenure": state.tenure, "tick": state.tick, "baton": state.baton,
            "warning_s": null, "shards": shards})
    }

    /// Answers a request to the worker's own address.
    fn direct(&self, method: &str, url: &str, body: &str) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return (503, Value::Null);
        }
        self.advance(&mut state);
        if method == "GET" && url == "/status" {
            return (200, self.report(&mut state));
        }
        let message: Value = serde_json::from_str(body).unwrap_or_default();
        let (Some(baton), Some(tenure)) = (message["baton"].as_u64(), message["tenure"].as_u64())
        else {
            return (400, Value::Null);
        };
        if baton < state.baton || tenure != state.tenure {
            return (409, self.report(&mut state));
        }
        state.changed |= baton > state.baton;
        state.baton = baton;
        self.execute(&mut state, &message["orders"]);
        (200, self.report(&mut state))
    }

    fn report_until_ended(&self) {
        let mut node = 0;
        let agent_timeout = Duration::from_secs(4);
        loop {
            let sent = Instant::now();
            let (body, tenure) = {
                let mut state = self.state.lock().unwrap();
                if state.ended {
                    return;
                }
                self.advance(&mut state);
                state.changed = false;
                (self.report(&mut state).to_string(), state.tenure)
            };
            if body.len() > MAX_BODY {
                self.lab.note_long_report(&self.name, body.len());
            }
            let nodes = self.lab.nodes();
            let url = format!("http://{}/hello", nodes[node % nodes.len()].1);
            let (status, answer) = web::call("POST", &url, Some(&body), agent_timeout);
            let mut pause = self.lab.site.report_s * (0.75 + 0.5 * self.lab.random());
            match status {
                200 => {
                    let mut state = self.state.lock().unwrap();
                    self.advance(&mut state);
                    let baton = answer["baton"].as_u64().unwrap_or(0);
                    if tenure == state.tenure
                        && baton >= state.baton
                        && sent.elapsed() < agent_timeout
                    {
                        state.changed |= baton > state.baton;
                        state.baton = baton;
                        state.renewed = state.renewed.max(sent);
                        self.execute(&mut state, &answer["orders"]);
                    }
                }
                421 => match nodes
                    .iter()
                    .position(|(name, _)| Some(name.as_str()) == answer["steward"].as_str())
                {
                    Some(steward) if steward != node % nodes.len() => {
                        node = steward;
                        pause = 0.1;
                    }
                    _ => {
                        node += 1;
                        pause = 1.0;
                    }
                },
                _ => {
                    node += 1;
                    pause = 1.0;
                }
            }
            let until = sent + Duration::from_secs_f64(pause);
            let early = sent + Duration::from_millis(500);
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = self.state.lock().unwrap();
                if state.ended {
                    return;
                }
                self.advance(&mut state);
                let now = Instant::now();
                if now >= until || (status == 200 && state.changed && now >= early) {
                    break;
                }
            }
        }
    }
}
