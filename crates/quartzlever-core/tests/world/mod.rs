//! A small world around pure cores: messages with delays, losses and late copies, a state
//! service, a cloud, and workers that notice every broken rule.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_core::{Command, Config, Core, Effect, Operator, Team, Weight, WorkerTimes};
use quartzlever_standin::{Cloud, Store, Worker};
use quartzlever_wire::cloud::CloudReply;
use quartzlever_wire::state::{OverRecord, StateCall, StateReply};
use quartzlever_wire::users::{JobPhase, JobSpec, Rank, Shape};
use quartzlever_wire::workers::{Orders, WorkerCall};
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const LEASE: Micros = 12 * SECOND;
const STEP: Micros = 50_000;
const START: Micros = 1_000 * SECOND;

pub fn config(node: &str, nodes: &[&str]) -> Config {
    Config {
        node: node.into(),
        zone: "a".into(),
        nodes: nodes.iter().map(|n| (*n).to_owned()).collect(),
        zones: vec!["a".into(), "b".into()],
        teams: vec![
            Team { name: "free".into(), ..Team::default() },
            Team { name: "tight".into(), cpus_max: 4.0, ..Team::default() },
        ],
        objectives: Vec::new(),
        workers: WorkerTimes { report: SECOND, lease: LEASE },
        state_rps: 300.0,
        state_write_rps: 300.0,
        value_bytes: 16 * 1024,
        txn_ops: 24,
        at_ease: 10_000,
        operator: Operator {
            hold_life: 5 * SECOND,
            takeover_after: SECOND,
            handback_after: 2 * SECOND,
            silent_return: 4 * SECOND,
            ..Operator::default()
        },
        notes: Weight::Error,
    }
}

pub fn job(n: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("req-{n:06}"),
        class: "c".into(),
        team: "free".into(),
        shape: Shape::Batch,
        rank: Rank::Standard,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expect_s: 3.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: Some(60.0),
    }
}

/// What travels.
enum Message {
    ToNode(usize, u64, Box<Command>),
    State(usize, u64, u64, StateCall, bool),
    Worker(usize, u64, u64, String, WorkerCall, bool),
    Hello(usize, String, Box<Orders>, Micros, u64),
    /// A late copy of a transaction or of a direct command; nobody waits for its answer.
    LateState(StateCall),
    LateWorker(String, WorkerCall),
}

/// How often, in parts of a hundred, things go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Luck {
    /// Answers that are lost: the caller learns nothing of the outcome.
    pub lost: u32,
    /// Calls that seem lost, and are carried out up to a minute later.
    pub late: u32,
}

struct Watch {
    node: usize,
    life: u64,
    token: u64,
    from: u64,
    end: Micros,
}

pub struct World {
    pub now: Micros,
    pub names: Vec<&'static str>,
    cores: Vec<Option<Core>>,
    lives: Vec<u64>,
    pub cut: BTreeSet<(usize, String)>,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    next_report: BTreeMap<String, (usize, Micros)>,
    mail: Vec<(Micros, u64, Message)>,
    sent: u64,
    watches: Vec<Watch>,
    pub luck: Luck,
    pub cloud_down: bool,
    /// Nodes that alone get no answer from the state service.
    pub lonely: BTreeSet<usize>,
    /// Nodes that no peer reaches, nor they any.
    pub apart: BTreeSet<usize>,
    /// Nodes that stand still: what comes for them waits.
    pub frozen: BTreeSet<usize>,
    thawed: BTreeSet<usize>,
    /// Since when each job is over.
    ended: BTreeMap<String, Micros>,
    seen_starts: BTreeMap<String, usize>,
    rng: SmallRng,
    requests: BTreeMap<u64, (usize, u64)>,
    request: u64,
    pub answers: BTreeMap<u64, (u16, serde_json::Value)>,
    pub cancelled: BTreeMap<String, Micros>,
    pub broken: Vec<String>,
    pub specs: BTreeMap<String, JobSpec>,
    pub run_time: Micros,
}

impl World {
    pub fn new(seed: u64, names: &[&'static str]) -> Self {
        let mut world = World {
            now: START,
            names: names.to_vec(),
            cores: names.iter().map(|_| None).collect(),
            lives: vec![0; names.len()],
            cut: BTreeSet::new(),
            store: Store::default(),
            cloud: Cloud::new(8.0, &["a", "b"], 6),
            workers: BTreeMap::new(),
            next_report: BTreeMap::new(),
            mail: Vec::new(),
            sent: 0,
            watches: Vec::new(),
            luck: Luck::default(),
            cloud_down: false,
            lonely: BTreeSet::new(),
            apart: BTreeSet::new(),
            frozen: BTreeSet::new(),
            thawed: BTreeSet::new(),
            ended: BTreeMap::new(),
            seen_starts: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            request: 1 << 32,
            answers: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            broken: Vec::new(),
            specs: BTreeMap::new(),
            run_time: 3 * SECOND,
        };
        for n in 0..names.len() {
            world.start(n);
        }
        world
    }

    pub fn start(&mut self, n: usize) {
        self.lives[n] += 1;
        let cfg = config(self.names[n], &self.names);
        let seed = self.lives[n] * 1000 + n as u64;
        self.cores[n] = Some(Core::new(cfg, seed, self.now));
    }

    pub fn kill(&mut self, n: usize) {
        self.cores[n] = None;
        self.lives[n] += 1;
        let life = self.lives[n];
        self.watches.retain(|w| w.node != n || w.life == life);
    }

    fn post(&mut self, delay: Micros, message: Message) {
        self.sent += 1;
        self.mail.push((self.now + delay, self.sent, message));
    }

    fn short(&mut self) -> Micros {
        self.rng.random_range(1_000..120_000)
    }

    fn fate(&mut self) -> (bool, bool) {
        let lost = self.rng.random_range(0..100) < self.luck.lost;
        let late = self.rng.random_range(0..100) < self.luck.late;
        (lost, late)
    }

    /// Sends a request of a user to a node; its answer will be under the returned number.
    pub fn request(&mut self, n: usize, make: impl FnOnce(u64) -> Command) -> u64 {
        self.request += 1;
        let id = self.request;
        self.requests.insert(id, (n, self.lives[n]));
        let delay = self.short();
        let life = self.lives[n];
        self.post(delay, Message::ToNode(n, life, Box::new(make(id))));
        id
    }

    pub fn submit(&mut self, n: usize, spec: JobSpec) -> u64 {
        self.specs.insert(spec.id.clone(), spec.clone());
        self.request(n, |id| Command::Submit { id, spec: Box::new(spec) })
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.pass(now);
        }
        self.workers.retain(|name, _| !self.cloud.gone.contains(name));
        let due: Vec<(Micros, u64, Message)> = {
            let (mut due, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= now);
            self.mail = rest;
            due.sort_by_key(|m| (m.0, m.1));
            due
        };
        let mut batches: BTreeMap<usize, Vec<Command>> = BTreeMap::new();
        for (_, _, message) in due {
            self.deliver(message, &mut batches);
        }
        self.poll_watches();
        for n in 0..self.cores.len() {
            if self.frozen.contains(&n) {
                self.thawed.insert(n);
                continue;
            }
            let mut batch = batches.remove(&n).unwrap_or_default();
            let behind = self.thawed.remove(&n);
            if behind || now.is_multiple_of(4 * STEP) {
                batch.push(Command::Tick { wall: now, behind });
            }
            let Some(core) = self.cores[n].as_mut() else { continue };
            let effects = core.step(now, batch);
            for effect in effects {
                self.carry_out(n, effect);
            }
        }
        self.reports();
        self.check();
    }

    fn deliver(&mut self, message: Message, batches: &mut BTreeMap<usize, Vec<Command>>) {
        let now = self.now;
        match message {
            Message::ToNode(n, life, command) => {
                if self.frozen.contains(&n) {
                    self.post(STEP, Message::ToNode(n, life, command));
                } else if self.cores[n].is_some() && self.lives[n] == life {
                    batches.entry(n).or_default().push(*command);
                }
            }
            Message::State(n, life, token, call, lost) => {
                let refused = Err(CallError::Refused);
                let lonely = self.lonely.contains(&n);
                let mut result = if lonely { refused } else { self.store.call(now, &call) };
                let mut delay = self.short();
                if lost {
                    result = Err(CallError::Unknown);
                    delay = 1_500_000;
                }
                let command = Command::State { token, result };
                self.post(delay, Message::ToNode(n, life, Box::new(command)));
            }
            Message::Worker(n, life, token, address, call, lost) => {
                let name = address.trim_end_matches(":9000").to_owned();
                let cut = self.cut.contains(&(n, name.clone()));
                let result = match self.workers.get_mut(&name) {
                    Some(worker) if !worker.hung && !cut => Ok(match &call {
                        WorkerCall::Status => {
                            quartzlever_wire::workers::WorkerReply::Report(worker.report())
                        }
                        WorkerCall::Command(orders) => worker.command(orders, now),
                    }),
                    Some(_) => {
                        // Held back, and delivered when the machine or the network is back.
                        self.post(8 * SECOND, Message::LateWorker(address, call));
                        Err(CallError::Unknown)
                    }
                    None => Err(CallError::Refused),
                };
                let result = if lost { Err(CallError::Unknown) } else { result };
                let delay = if result.is_err() { 2 * SECOND } else { self.short() };
                let command = Command::Worker { token, result };
                self.post(delay, Message::ToNode(n, life, Box::new(command)));
            }
            Message::Hello(n, name, orders, sent, session) => {
                if self.cut.contains(&(n, name.clone())) {
                    return;
                }
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.answered(&orders, sent, session, now);
                }
            }
            Message::LateState(call) => {
                let _ = self.store.call(now, &call);
            }
            Message::LateWorker(address, call) => {
                let name = address.trim_end_matches(":9000").to_owned();
                if let (Some(worker), WorkerCall::Command(orders)) =
                    (self.workers.get_mut(&name), &call)
                {
                    worker.command(orders, now);
                }
            }
        }
    }

    fn poll_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let call = StateCall::Watch { from: watch.from, hold_ms: 0 };
            let result = self.store.call(self.now, &call);
            let ready = match &result {
                Ok(StateReply::Watched(answer)) => !answer.log.is_empty() || self.now >= watch.end,
                _ => false,
            };
            let ready = ready && !self.lonely.contains(&watch.node);
            if ready && self.lives[watch.node] == watch.life {
                // What a watch tells may be a good deal older than what calls have brought.
                let command = Command::State { token: watch.token, result };
                let delay = if self.rng.random() { 0 } else { self.rng.random_range(0..SECOND) };
                self.post(delay, Message::ToNode(watch.node, watch.life, Box::new(command)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let life = self.lives[n];
        match effect {
            Effect::State { token, call: StateCall::Watch { from, hold_ms }, .. } => {
                let end = self.now + hold_ms * 1000;
                self.watches.push(Watch { node: n, life, token, from, end });
            }
            Effect::State { token, call, .. } => {
                let (lost, late) = self.fate();
                let delay = self.short();
                if late && matches!(call, StateCall::Txn(_)) {
                    // Soon after, or minutes later.
                    let most = if self.rng.random() { 2 * SECOND } else { 90 * SECOND };
                    let wait = self.rng.random_range(SECOND / 10..most);
                    self.post(wait, Message::LateState(call));
                    let command = Command::State { token, result: Err(CallError::Unknown) };
                    self.post(1_500_000, Message::ToNode(n, life, Box::new(command)));
                } else {
                    self.post(delay, Message::State(n, life, token, call, lost));
                }
            }
            Effect::Cloud { token, .. } if self.cloud_down => {
                let command = Command::Cloud { token, result: Err(CallError::Refused) };
                self.post(200_000, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::Cloud { token, call, .. } => {
                let reply = self.cloud.call(&call);
                if let CloudReply::Rented(hosts) = &reply {
                    for host in hosts {
                        let rental = self.cloud.machines.get(host).cloned();
                        if let Some(rental) = rental.filter(|_| !self.workers.contains_key(host)) {
                            let worker = Worker::new(rental, LEASE, self.run_time, self.now);
                            self.workers.insert(host.clone(), worker);
                            let first = self.rng.random_range(0..self.cores.len());
                            let at = self.now + SECOND;
                            self.next_report.insert(host.clone(), (first, at));
                        }
                    }
                }
                let (lost, _) = self.fate();
                let result = if lost { Err(CallError::Refused) } else { Ok(reply) };
                let command = Command::Cloud { token, result };
                self.post(200_000, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::Worker { token, address, call, until } => {
                assert!(until > self.now, "a command without a sure hold");
                let (lost, late) = self.fate();
                let delay = self.short();
                if late {
                    let wait = self.rng.random_range(2..30) * SECOND;
                    self.post(wait, Message::LateWorker(address, call));
                    let command = Command::Worker { token, result: Err(CallError::Unknown) };
                    self.post(2 * SECOND, Message::ToNode(n, life, Box::new(command)));
                } else {
                    self.post(delay, Message::Worker(n, life, token, address, call, lost));
                }
            }
            Effect::Peer { token, node, request } => {
                let to = self.names.iter().position(|name| *name == node);
                let Some(to) = to.filter(|to| self.cores[*to].is_some()) else {
                    let command = Command::Asked { token, result: Err(CallError::Refused) };
                    return self.post(10_000, Message::ToNode(n, life, Box::new(command)));
                };
                let apart = self.apart.contains(&n) || self.apart.contains(&to);
                let lost = self.fate().0 || apart;
                self.request += 1;
                let id = self.request;
                if !lost {
                    self.requests.insert(id, (n, token));
                }
                let (delay, to_life) = (self.short(), self.lives[to]);
                let command = Command::Peer { id, request };
                self.post(delay, Message::ToNode(to, to_life, Box::new(command)));
                // The answer comes as `AnswerPeer`; without one the call runs out.
                let command = Command::Asked { token, result: Err(CallError::Unknown) };
                self.post(2 * SECOND, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::AnswerPeer { id, answer } => {
                if let Some((asker, token)) = self.requests.remove(&id) {
                    let (delay, life) = (self.short(), self.lives[asker]);
                    let command = Command::Asked { token, result: Ok(answer) };
                    self.post(delay, Message::ToNode(asker, life, Box::new(command)));
                }
            }
            Effect::Answer { id, status, body, until, .. } => {
                assert!(until.is_none_or(|u| u > self.now), "an answer without a sure hold");
                let body = serde_json::to_value(body).expect("an answer is JSON");
                self.answers.insert(id, (status, body));
            }
            Effect::Note { .. } | Effect::Share(_) => {}
        }
    }

    fn reports(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some((node, at)) = self.next_report.get(&name).copied() else { continue };
            // An answer to the report under way moves it to another node.
            if at > self.now || self.workers.get(&name).is_none_or(|w| w.hung) {
                continue;
            }
            let Some(report) = self.workers.get_mut(&name).map(Worker::report) else { continue };
            let (sent, session) = (self.now, report.session);
            if self.cores[node].is_none() || self.cut.contains(&(node, name.clone())) {
                let next = (node + 1) % self.cores.len();
                self.next_report.insert(name, (next, self.now + SECOND));
                continue;
            }
            // Handed over at once, so that its answer is known before the next report.
            let id = self.request + 1;
            self.request = id;
            let command = Command::Report { id, report };
            let effects = match self.cores[node].as_mut() {
                Some(core) => core.step(self.now, vec![command]),
                None => Vec::new(),
            };
            for effect in effects {
                self.carry_out(node, effect);
            }
            let (lost, _) = self.fate();
            let mut next = node;
            let mut after = SECOND;
            match self.answers.remove(&id) {
                Some((200, body)) if !lost => {
                    if let Ok(orders) = serde_json::from_value::<Orders>(body) {
                        // Now and then a packet is lost and resent; the worker waits with its
                        // next report.
                        let (_, late) = self.fate();
                        let delay = if late {
                            self.rng.random_range(SECOND / 2..3 * SECOND)
                        } else {
                            self.short()
                        };
                        after = after.max(delay + STEP);
                        let hello =
                            Message::Hello(node, name.clone(), Box::new(orders), sent, session);
                        self.post(delay, hello);
                    }
                }
                Some((421, body)) => {
                    let steward = body["steward"].as_str().unwrap_or("");
                    let to = self.names.iter().position(|n| *n == steward);
                    next = to.unwrap_or((node + 1) % self.cores.len());
                }
                Some((200, _)) | None => {}
                Some(_) => next = (node + 1) % self.cores.len(),
            }
            self.next_report.insert(name, (next, self.now + after));
        }
    }

    /// Looks for broken rules.
    fn check(&mut self) {
        let mut on: BTreeMap<String, (String, u32)> = BTreeMap::new();
        let mut tight = 0.0;
        for (name, worker) in &self.workers {
            for task in worker.running() {
                let seen = on.entry(task.to_string()).or_insert((name.clone(), 0));
                seen.1 += 1;
                if seen.1 > 1 {
                    let text = format!("{}: {task} on {} and {name}", self.now - START, seen.0);
                    self.broken.push(text);
                }
                if let Some(spec) = self.specs.get(&task.job).filter(|s| s.team == "tight") {
                    tight += spec.cpus;
                }
                let long_over =
                    self.cancelled.get(&task.job).is_some_and(|at| self.now > at + 20 * SECOND);
                if long_over {
                    self.broken.push(format!("{}: {task} after its end", self.now - START));
                }
            }
        }
        for key in self.store.keys("over/") {
            let id = &key["over/".len()..];
            if !self.ended.contains_key(id) && self.over(id) == Some(JobPhase::Done) {
                self.ended.insert(id.to_owned(), self.now);
            }
        }
        for (name, worker) in &self.workers {
            let seen = self.seen_starts.entry(name.clone()).or_default();
            for (task, at) in &worker.started[*seen..] {
                if self.ended.get(&task.job).is_some_and(|end| at > end) {
                    self.broken.push(format!("{}: {task} starts after its end", at - START));
                }
            }
            *seen = worker.started.len();
        }
        if tight > 4.0 {
            self.broken.push(format!("{}: tight team uses {tight}", self.now - START));
        }
    }

    /// The final state of a job, if it has one.
    pub fn over(&self, id: &str) -> Option<JobPhase> {
        let (value, _) = self.store.get(&format!("over/{id}"))?;
        value.parse::<OverRecord>().map(|o| o.phase)
    }

    /// Waits until a user's request is answered.
    pub fn answer(&mut self, id: u64, within: Micros) -> Option<(u16, serde_json::Value)> {
        let end = self.now + within;
        while self.now < end && !self.answers.contains_key(&id) {
            self.run(STEP);
        }
        self.answers.remove(&id)
    }

    /// Submits until accepted, as users do.
    pub fn submit_surely(&mut self, mut n: usize, spec: &JobSpec) -> u16 {
        for _ in 0..60 {
            let id = self.submit(n, spec.clone());
            if let Some((status @ (200 | 201 | 400 | 422), _)) = self.answer(id, 5 * SECOND) {
                return status;
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        0
    }

    /// Cancels until that is answered for good, as users do.
    pub fn abort_surely(&mut self, mut n: usize, job: &str) -> Option<String> {
        for _ in 0..60 {
            let name = job.to_owned();
            let id = self.request(n, |id| Command::Abort { id, job: name });
            if let Some((200, body)) = self.answer(id, 5 * SECOND) {
                let phase = body["phase"].as_str().unwrap_or("").to_owned();
                if phase == "aborted" {
                    self.cancelled.insert(job.to_owned(), self.now);
                }
                return Some(phase);
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        None
    }
}
