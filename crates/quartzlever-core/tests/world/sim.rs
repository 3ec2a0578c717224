//! A small world around pure cores: messages with delays, losses and late copies, a state
//! service, a cloud, and workers that notice every broken rule.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_core::{Command, Config, Core, Effect, Operator, Team, Weight, WorkerTimes};
use quartzlever_standin::jobs;
use quartzlever_standin::rules::{Asked, MachineTasks, RuleChecker, TeamLimit};
use quartzlever_standin::{Cloud, Store, Worker};
use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::state::{OverRecord, StateCall, StateReply};
use quartzlever_wire::users::{JobPhase, JobSpec};
use quartzlever_wire::workers::{Orders, Report, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const LEASE: Micros = 12 * SECOND;
pub const CANCEL: Micros = 20 * SECOND;
const STEP: Micros = 50_000;
pub const START: Micros = 1_000 * SECOND;

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
        workers: WorkerTimes { report: SECOND, lease: LEASE, cancel: CANCEL },
        state_rps: 300.0,
        state_write_rps: 300.0,
        value_bytes: 16 * 1024,
        block_bytes: 16 * 1024,
        txn_ops: 24,
        version: quartzlever_core::VERSION,
        machine_capacity: 10_000,
        operator: Operator {
            lease_life: 5 * SECOND,
            takeover_after: SECOND,
            handback_after: 2 * SECOND,
            silent_return: 4 * SECOND,
            ..Operator::default()
        },
        notes: Weight::Error,
    }
}

fn team_limits(teams: Vec<Team>) -> Vec<TeamLimit> {
    let limit = |t: Team| TeamLimit { team: t.name, cpus: t.cpus_max, gpus: t.gpus_max };
    teams.into_iter().map(limit).collect()
}

pub fn job(n: u32, tasks: u32) -> JobSpec {
    JobSpec { due_s: Some(60.0), ..jobs::array(n, tasks) }
}

/// What travels.
enum Message {
    ToNode(usize, u64, Box<Command>),
    State(usize, u64, u64, StateCall, bool),
    Worker(usize, u64, u64, String, WorkerCall, bool),
    Hello(usize, String, Box<Orders>, Micros, u64),
    /// A late copy of a transaction or of a direct command; nobody waits for its answer.
    /// A late copy of a report, to each of these nodes.
    Copy(Vec<usize>, Box<Report>),
    LateState(StateCall),
    LateWorker(String, WorkerCall),
    LateCloud(CloudCall),
    /// A controller that ended starts again.
    Start(usize),
    /// A controller that stood still goes on.
    GoOn(usize),
}

/// What happens to one call of a controller, or to the controller at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It is refused, and not carried out.
    Refused,
    /// It is carried out, and its answer lost.
    AnswerLost,
    /// It seems lost, and is carried out seconds later.
    CarriedOutLate,
    /// Its answer comes after more than three seconds.
    AnswerLate,
    /// It is carried out once more, seconds later.
    CarriedOutTwice,
    /// The controller ends before it leaves, and is back within a fraction of a second.
    EndsBefore,
    /// The controller ends while it is on its way, and is back within a fraction of a second.
    EndsAfter,
    /// The controller stands still for longer than its lease lives.
    StandsStill,
}

impl CallFault {
    pub const ALL: [CallFault; 8] = [
        CallFault::Refused,
        CallFault::AnswerLost,
        CallFault::CarriedOutLate,
        CallFault::AnswerLate,
        CallFault::CarriedOutTwice,
        CallFault::EndsBefore,
        CallFault::EndsAfter,
        CallFault::StandsStill,
    ];
}

/// How late a call, or its second execution, comes when a fault holds it up.
const CALL_LATE: Micros = 6 * SECOND;
/// When a caller gives a call up.
const CALL_PATIENCE: Micros = 1_500_000;
/// How late an answer comes that is held up.
const ANSWER_LATE: Micros = 3_200_000;
/// How long a controller that ends is away, and how long one stands still.
const AWAY: Micros = SECOND / 5;
const STILL: Micros = 9 * SECOND;

/// How often, in parts of a hundred, things go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Luck {
    /// Answers that are lost: the caller learns nothing of the outcome.
    pub lost: u32,
    /// Calls that seem lost, and are carried out up to a minute later.
    pub late: u32,
    /// Transactions that are carried out, with only their answer lost.
    pub unanswered: u32,
    /// Transactions that get no answer and are carried out 2 to 12 s later.
    pub late_writes: u32,
    /// Reports of which a copy arrives again, from 2 s to two leases later.
    pub copies: u32,
    /// Reports of which a copy is kept until the next holder begins, and goes to every node then.
    pub for_next: u32,
}

/// What came about, for tests to see that it did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Times that a part's key was written: acquisitions.
    pub holders: usize,
    /// Calls refused to a node alone, and to everybody.
    pub refused_alone: usize,
    pub refused_all: usize,
    /// Reports refused by a node that may not act.
    pub not_entitled: usize,
    /// Transactions carried out late: those that came into force and those that did not.
    pub late_in_force: usize,
    pub late_conflicts: usize,
    pub unanswered: usize,
    pub copies: usize,
    pub copies_for_next: usize,
    /// Reports that never reached anybody, and answers that never reached a machine.
    pub mute: usize,
    pub deaf: usize,
    /// Direct commands that were held up beyond their caller's patience; of these, the ones that
    /// found their machine and were executed, or refused by then.
    pub held: usize,
    pub held_executed: usize,
    pub held_refused: usize,
    /// Sessions that ended with tasks on the machine.
    pub leases_lost: usize,
    /// Questions of users that were answered for good.
    pub answers: usize,
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
    /// Faults of single calls, by their number among all calls of controllers.
    pub call_faults: BTreeMap<usize, CallFault>,
    /// Calls made by controllers.
    pub calls: usize,
    pub cloud_down: bool,
    /// Nodes that alone get no answer from the state service.
    pub lonely: BTreeSet<usize>,
    /// Nodes that no peer reaches, nor they any.
    pub apart: BTreeSet<usize>,
    /// Nodes that stand still: what comes for them waits.
    pub frozen: BTreeSet<usize>,
    thawed: BTreeSet<usize>,
    /// Machines that reach no node, and those that are reached by nothing.
    pub mute: BTreeSet<String>,
    pub deaf: BTreeSet<String>,
    /// What each call to the state service takes longer.
    pub slow: Micros,
    /// What the answers of watches take longer.
    pub watch_lag: Micros,
    /// Direct commands are held up for so long, if at all.
    pub held: Micros,
    /// How long a new machine takes to come up.
    pub boot: Micros,
    pub counts: Counts,
    /// Nodes whose processes start as the first version.
    pub old: BTreeSet<usize>,
    /// Why a process could not go on.
    pub ended: Option<String>,
    kept_copies: Vec<Report>,
    part_stamps: BTreeMap<String, u64>,
    seen_starts: BTreeMap<String, usize>,
    seen_ends: BTreeMap<String, usize>,
    rng: SmallRng,
    requests: BTreeMap<u64, (usize, u64)>,
    request: u64,
    pub answers: BTreeMap<u64, (u16, serde_json::Value)>,
    asked: BTreeMap<u64, (Asked, String, Micros)>,
    pub rules: RuleChecker,
    tune: fn(&mut Config),
    pub run_time: Micros,
    /// Tasks with odd numbers do not end on workers that join from now on.
    pub odd_tasks_wait: bool,
}

impl World {
    pub fn new(seed: u64, names: &[&'static str]) -> Self {
        World::with(seed, names, |_| {})
    }

    /// A world whose controllers have other settings.
    pub fn with(seed: u64, names: &[&'static str], tune: fn(&mut Config)) -> Self {
        let mut cfg = config(names[0], names);
        tune(&mut cfg);
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
            call_faults: BTreeMap::new(),
            calls: 0,
            cloud_down: false,
            lonely: BTreeSet::new(),
            apart: BTreeSet::new(),
            frozen: BTreeSet::new(),
            thawed: BTreeSet::new(),
            mute: BTreeSet::new(),
            deaf: BTreeSet::new(),
            slow: 0,
            watch_lag: 0,
            held: 0,
            boot: SECOND,
            counts: Counts::default(),
            old: BTreeSet::new(),
            ended: None,
            kept_copies: Vec::new(),
            part_stamps: BTreeMap::new(),
            seen_starts: BTreeMap::new(),
            seen_ends: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            request: 1 << 32,
            answers: BTreeMap::new(),
            asked: BTreeMap::new(),
            rules: RuleChecker::new(cfg.workers.cancel, team_limits(cfg.teams)),
            tune,
            run_time: 3 * SECOND,
            odd_tasks_wait: false,
        };
        for n in 0..names.len() {
            world.start(n);
        }
        world
    }

    pub fn start(&mut self, n: usize) {
        self.lives[n] += 1;
        let mut cfg = config(self.names[n], &self.names);
        (self.tune)(&mut cfg);
        if self.old.contains(&n) {
            cfg.version = 1;
        }
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

    fn ask(&mut self, n: usize, asked: Asked, job: &str, make: impl FnOnce(u64) -> Command) -> u64 {
        let id = self.request(n, make);
        self.asked.insert(id, (asked, job.to_owned(), self.now));
        id
    }

    pub fn submit(&mut self, n: usize, spec: JobSpec) -> u64 {
        let job = spec.id.clone();
        self.rules.asked(Asked::Submit, &job, Some(&spec));
        self.ask(n, Asked::Submit, &job, |id| Command::Submit { id, spec: Box::new(spec) })
    }

    pub fn lookup(&mut self, n: usize, job: &str) -> u64 {
        let name = job.to_owned();
        self.ask(n, Asked::Lookup, job, |id| Command::Lookup { id, job: name })
    }

    pub fn abort(&mut self, n: usize, job: &str) -> u64 {
        self.rules.asked(Asked::Cancel, job, None);
        let name = job.to_owned();
        self.ask(n, Asked::Cancel, job, |id| Command::Abort { id, job: name })
    }

    /// Users ask at all nodes and repeat the submission, all at once.
    pub fn look_closely(&mut self, job: &str) {
        for n in 0..self.names.len() {
            self.lookup(n, job);
            if let Some(spec) = self.rules.specs.get(job).cloned() {
                self.submit(n, spec);
            }
        }
    }

    /// The node that holds most machines' parts; the first one of several.
    pub fn holder(&self, part: &str) -> Option<usize> {
        let (value, _) = self.store.get(&format!("parts/{part}"))?;
        let record = value.parse::<quartzlever_wire::state::PartRecord>()?;
        self.names.iter().position(|n| *n == record.node)
    }

    /// The part whose machines run most tasks, with its holder.
    pub fn busiest(&self) -> (String, usize) {
        let mut tasks: BTreeMap<String, usize> = BTreeMap::new();
        for key in self.store.keys("hosts/") {
            let Some((value, _)) = self.store.get(&key) else { continue };
            for (host, record) in
                quartzlever_wire::state::hosts_in(&key, value).into_iter().flatten()
            {
                let on = self.workers.get(&host).map_or(0, |w| w.running().len());
                *tasks.entry(record.part).or_default() += on;
            }
        }
        let most = tasks.into_iter().max_by_key(|(_, n)| *n).map(|(part, _)| part);
        let part = most.unwrap_or_else(|| self.names[0].to_owned());
        let holder = self.holder(&part).unwrap_or(0);
        (part, holder)
    }

    /// Processes that start from now on have other settings.
    pub fn retune(&mut self, tune: fn(&mut Config)) {
        self.tune = tune;
    }

    /// Ends all troubles.
    pub fn calm(&mut self) {
        self.luck = Luck::default();
        self.cut.clear();
        self.lonely.clear();
        self.apart.clear();
        self.frozen.clear();
        self.mute.clear();
        self.deaf.clear();
        (self.slow, self.watch_lag, self.held, self.cloud_down) = (0, 0, 0, false);
        self.workers.values_mut().for_each(|w| w.hung = false);
        if self.store.outage {
            self.store.end_outage(self.now);
        }
        for n in 0..self.names.len() {
            if self.cores[n].is_none() {
                self.start(n);
            }
        }
    }

    /// Lets time pass while users ask about all their jobs now and then, at any node.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            for job in self.rules.accepted() {
                let n = self.rng.random_range(0..self.names.len());
                if self.cores[n].is_some() {
                    self.lookup(n, &job);
                }
            }
            self.run((2 * SECOND).min(end - self.now));
        }
    }

    /// A chance of so many in a hundred.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub fn pick(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Kills a node and starts it again after a while.
    pub fn restart(&mut self, n: usize, after: Micros) {
        self.kill(n);
        self.run(after);
        self.start(n);
    }

    /// Machines on which a job has tasks now.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let on = |w: &Worker| w.running().iter().any(|t| t.job == job);
        self.workers.iter().filter(|(_, w)| on(w)).map(|(name, _)| name.clone()).collect()
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
            let (session, busy) = (worker.session(), !worker.running().is_empty());
            worker.pass(now);
            self.counts.leases_lost += usize::from(busy && worker.session() > session);
        }
        self.note_ends();
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
            self.carry_out_all(n, effects);
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
                self.counts.refused_alone += usize::from(lonely && !self.store.outage);
                self.counts.refused_all += usize::from(self.store.outage);
                let mut result = if lonely { refused } else { self.store.call(now, &call) };
                let mut delay = self.short() + self.slow / 2;
                let unanswered = matches!(call, StateCall::Txn(_))
                    && matches!(result, Ok(StateReply::Committed(_)))
                    && self.rng.random_range(0..100) < self.luck.unanswered;
                self.counts.unanswered += usize::from(unanswered);
                if lost || unanswered {
                    result = Err(CallError::Unknown);
                    delay = 1_500_000;
                }
                let command = Command::State { token, result };
                self.post(delay, Message::ToNode(n, life, Box::new(command)));
            }
            Message::Worker(n, life, token, address, call, lost) => {
                let name = address.trim_end_matches(":9000").to_owned();
                let cut = self.cut.contains(&(n, name.clone())) || self.deaf.contains(&name);
                let result = match self.workers.get_mut(&name) {
                    Some(worker) if !worker.hung && !cut => Ok(match &call {
                        WorkerCall::Status => WorkerReply::Report(worker.report()),
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
                if self.deaf.contains(&name) {
                    self.counts.deaf += 1;
                    return;
                }
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.answered(&orders, sent, session, now);
                }
            }
            Message::LateState(call) => match self.store.call(now, &call) {
                Ok(StateReply::Committed(_)) => self.counts.late_in_force += 1,
                _ => self.counts.late_conflicts += 1,
            },
            Message::Copy(nodes, report) => {
                for n in nodes {
                    self.request += 1;
                    let id = self.request;
                    let command = Command::Report { id, report: (*report).clone() };
                    if self.cores[n].is_some() && !self.frozen.contains(&n) {
                        self.counts.copies += 1;
                        batches.entry(n).or_default().push(command);
                    }
                }
            }
            Message::LateCloud(call) => {
                self.cloud_call(&call);
            }
            Message::Start(n) => {
                if self.cores[n].is_none() {
                    self.start(n);
                }
            }
            Message::GoOn(n) => {
                self.frozen.remove(&n);
            }
            Message::LateWorker(address, call) => {
                let name = address.trim_end_matches(":9000").to_owned();
                if let (Some(worker), WorkerCall::Command(orders)) =
                    (self.workers.get_mut(&name), &call)
                {
                    match worker.command(orders, now) {
                        WorkerReply::Refused(_) => self.counts.held_refused += 1,
                        WorkerReply::Report(_) => self.counts.held_executed += 1,
                    }
                }
            }
        }
    }

    /// Tells the checker which tasks have run to their end.
    fn note_ends(&mut self) {
        for (name, worker) in &self.workers {
            let seen = self.seen_ends.entry(name.clone()).or_default();
            for task in &worker.completed[*seen..] {
                self.rules.task_completed(task);
            }
            *seen = worker.completed.len();
        }
    }

    /// The cloud carries out a call, and new machines begin to boot.
    fn cloud_call(&mut self, call: &CloudCall) -> CloudReply {
        let reply = self.cloud.call(call);
        if let CloudReply::Rented(hosts) = &reply {
            for host in hosts {
                let rental = self.cloud.machines.get(host).cloned();
                if let Some(rental) = rental.filter(|_| !self.workers.contains_key(host)) {
                    let mut worker = Worker::new(rental, LEASE, self.run_time, self.now);
                    worker.odd_tasks_wait = self.odd_tasks_wait;
                    self.workers.insert(host.clone(), worker);
                    let first = self.rng.random_range(0..self.cores.len());
                    let at = self.now + self.boot;
                    self.next_report.insert(host.clone(), (first, at));
                }
            }
        }
        reply
    }

    fn poll_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let call = StateCall::Watch { from: watch.from, hold_ms: 0 };
            let result = self.store.call(self.now, &call);
            let ready = match &result {
                Ok(StateReply::Watched(answer)) => !answer.log.is_empty() || self.now >= watch.end,
                Ok(StateReply::TooOld) => true,
                _ => false,
            };
            let ready = ready && !self.lonely.contains(&watch.node);
            if ready && self.lives[watch.node] == watch.life {
                // What a watch tells may be a good deal older than what calls have brought.
                let command = Command::State { token: watch.token, result };
                let delay = if self.rng.random() { 0 } else { self.rng.random_range(0..SECOND) };
                let delay = delay + self.watch_lag;
                self.post(delay, Message::ToNode(watch.node, watch.life, Box::new(command)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    /// Carries out what a controller wants done, until it ends.
    fn carry_out_all(&mut self, n: usize, effects: Vec<Effect>) {
        let life = self.lives[n];
        for effect in effects {
            if self.lives[n] == life {
                self.carry_out(n, effect);
            }
        }
    }

    /// The fault that befalls an effect, if it is a call and its turn has come.
    fn fault_of(&mut self, effect: &Effect) -> Option<CallFault> {
        let is_call = matches!(
            effect,
            Effect::State { .. }
                | Effect::Cloud { .. }
                | Effect::Worker { .. }
                | Effect::Peer { .. }
        );
        if !is_call {
            return None;
        }
        self.calls += 1;
        self.call_faults.get(&self.calls).copied()
    }

    /// Executes a call when its caller does not wait for it any more: once more if it was answered, or
    /// for the first time.
    fn carry_out_late(&mut self, effect: Effect, answered: bool) {
        let late = match effect {
            Effect::State { call: StateCall::Watch { .. }, .. } => return,
            Effect::State { call, .. } => Message::LateState(call),
            Effect::Cloud { call, .. } => Message::LateCloud(call),
            Effect::Worker { address, call, .. } if !answered => Message::LateWorker(address, call),
            // Direct commands are carried out once, however late.
            _ => return,
        };
        self.post(CALL_LATE, late);
    }

    /// Tells the caller how a call ended that was not answered.
    fn fail_call(&mut self, n: usize, effect: &Effect, error: CallError, after: Micros) {
        let command = match effect {
            Effect::State { token, .. } => Command::State { token: *token, result: Err(error) },
            Effect::Cloud { token, .. } => Command::Cloud { token: *token, result: Err(error) },
            Effect::Worker { token, .. } => Command::Worker { token: *token, result: Err(error) },
            Effect::Peer { token, .. } => Command::Asked { token: *token, result: Err(error) },
            _ => return,
        };
        let life = self.lives[n];
        self.post(after, Message::ToNode(n, life, Box::new(command)));
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let Some(fault) = self.fault_of(&effect) else { return self.carry_out_soundly(n, effect) };
        match fault {
            CallFault::Refused => self.fail_call(n, &effect, CallError::Refused, STEP),
            CallFault::AnswerLost => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_PATIENCE);
                // Carried out for a caller that is not there any more.
                self.lives[n] += 1;
                self.carry_out_soundly(n, effect);
                self.lives[n] -= 1;
            }
            CallFault::CarriedOutLate => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_PATIENCE);
                self.carry_out_late(effect, false);
            }
            CallFault::AnswerLate => {
                let sent = self.mail.len();
                self.carry_out_soundly(n, effect);
                self.mail[sent..].iter_mut().for_each(|(at, ..)| *at += ANSWER_LATE);
            }
            CallFault::CarriedOutTwice => {
                self.carry_out_late(effect.clone(), true);
                self.carry_out_soundly(n, effect);
            }
            CallFault::EndsBefore => self.end(n),
            CallFault::EndsAfter => {
                self.carry_out_soundly(n, effect);
                self.end(n);
            }
            CallFault::StandsStill => {
                self.carry_out_soundly(n, effect);
                self.frozen.insert(n);
                self.post(STILL, Message::GoOn(n));
            }
        }
    }

    /// Ends a controller, which is back within a fraction of a second.
    fn end(&mut self, n: usize) {
        self.kill(n);
        self.post(AWAY, Message::Start(n));
    }

    fn carry_out_soundly(&mut self, n: usize, effect: Effect) {
        let life = self.lives[n];
        match effect {
            Effect::State { token, call: StateCall::Watch { from, hold_ms }, .. } => {
                let end = self.now + hold_ms * 1000;
                self.watches.push(Watch { node: n, life, token, from, end });
            }
            Effect::State { token, call, .. } => {
                let (lost, late) = self.fate();
                let delay = self.short() + self.slow / 2;
                let txn = matches!(call, StateCall::Txn(_));
                let lagging = txn && self.rng.random_range(0..100) < self.luck.late_writes;
                if lagging {
                    let wait = self.rng.random_range(2 * SECOND..12 * SECOND);
                    self.post(wait, Message::LateState(call));
                    let command = Command::State { token, result: Err(CallError::Unknown) };
                    self.post(1_500_000, Message::ToNode(n, life, Box::new(command)));
                } else if late && txn {
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
                let reply = self.cloud_call(&call);
                let (lost, _) = self.fate();
                let result = if lost { Err(CallError::Refused) } else { Ok(reply) };
                let command = Command::Cloud { token, result };
                self.post(200_000, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::Worker { token, address, call, until } => {
                assert!(until > self.now, "a command without a sure hold");
                let (lost, late) = self.fate();
                let delay = self.short();
                let held = self.held > 0 && matches!(call, WorkerCall::Command(_));
                if late || held {
                    self.counts.held += 1;
                    let any = self.rng.random_range(2..30) * SECOND;
                    let wait = if held { self.held } else { any };
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
                self.counts.not_entitled += usize::from(body["error"] == "not entitled");
                if let Some((asked, job, sent)) = self.asked.remove(&id) {
                    let phase = body["phase"].as_str().unwrap_or("");
                    self.counts.answers += usize::from(matches!(status, 200 | 201));
                    self.rules.answered(self.now, sent, asked, &job, status, phase);
                }
                self.answers.insert(id, (status, body));
            }
            Effect::End { why } => self.ended = Some(why),
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
            if self.rng.random_range(0..100) < self.luck.copies {
                let wait = self.rng.random_range(2 * SECOND..2 * LEASE);
                self.post(wait, Message::Copy(vec![node], Box::new(report.clone())));
            }
            if self.rng.random_range(0..100) < self.luck.for_next {
                self.kept_copies.push(report.clone());
            }
            if self.mute.contains(&name) {
                self.counts.mute += 1;
                let next = (node + 1) % self.cores.len();
                self.next_report.insert(name, (next, self.now + SECOND));
                continue;
            }
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
            self.carry_out_all(node, effects);
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
        let now = self.now;
        let seen: Vec<MachineTasks> = self
            .workers
            .values()
            .map(|w| MachineTasks {
                host: w.rental.name.clone(),
                kind: w.rental.kind.clone(),
                zone: w.rental.zone.clone(),
                spot: w.rental.spot,
                tasks: w.running(),
            })
            .collect();
        self.rules.machines(now, &seen);
        for key in self.store.keys("over/") {
            let id = &key["over/".len()..];
            if self.over(id) == Some(JobPhase::Done) {
                self.rules.job_done(now, id);
            }
        }
        for (name, worker) in &self.workers {
            let told = self.seen_starts.entry(name.clone()).or_default();
            for (task, at) in &worker.started[*told..] {
                self.rules.task_started(*at, task, name, &seen);
            }
            *told = worker.started.len();
        }
        self.watch_holders();
        if !self.old.is_empty() {
            self.check_old_forms();
        }
    }

    /// While a process of the first version may be up, everything is in forms that it reads.
    fn check_old_forms(&mut self) {
        let now = self.now;
        if let Some(key) = self.store.key_unknown_to_first_version() {
            self.rules.broken.push(format!("new_form at {} ms: {key}", now / 1000));
        }
    }

    /// Counts new holders, and hands them what was kept for them.
    fn watch_holders(&mut self) {
        let mut new = 0;
        for name in self.names.clone() {
            let stamp = self.store.get(&format!("parts/{name}")).map(|(_, stamp)| stamp);
            if let Some(stamp) = stamp
                && self.part_stamps.insert(name.to_owned(), stamp) != Some(stamp)
            {
                new += 1;
            }
        }
        self.counts.holders += new;
        if new > 0 {
            let all: Vec<usize> = (0..self.names.len()).collect();
            for report in std::mem::take(&mut self.kept_copies) {
                self.counts.copies_for_next += 1;
                let delay = self.short();
                self.post(delay, Message::Copy(all.clone(), Box::new(report)));
            }
        }
    }

    /// The controllers have been undisturbed since `since`: each partition has one that acts for it,
    /// and tasks start. Each is given a report of what the controllers wait for if not.
    pub fn check_liveness(&mut self, since: Micros) {
        let now = self.now;
        let before = self.rules.broken.len();
        for partition in self.names.clone() {
            let acting = self.cores.iter().flatten().filter(|c| c.acts_for(partition)).count();
            self.rules.partition_held(now, partition, acting);
        }
        let types = self.cloud.catalogue.types.clone();
        let can_rent = self.cloud.machines.len() < self.cloud.most;
        let limits = team_limits(config(self.names[0], &self.names).teams);
        self.rules.classes_start(now, since, |spec| {
            let limit = limits.iter().find(|l| l.team == spec.team).map_or(0.0, |l| l.cpus);
            let fits = types.iter().any(|t| {
                t.cpus >= spec.cpus
                    && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                    && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
            });
            fits && can_rent && limit <= 0.0
        });
        self.rules.day_over(now);
        if self.rules.broken.len() > before {
            let report = self.awaited();
            self.rules.broken[before..].iter_mut().for_each(|broken| broken.push_str(&report));
        }
    }

    /// What each controller waits for.
    pub fn awaited(&self) -> String {
        let each = self.names.iter().zip(&self.cores).map(|(name, core)| match core {
            Some(core) => {
                let awaited: Vec<String> = core.awaited().iter().map(ToString::to_string).collect();
                format!("; {name} waits for [{}]", awaited.join(", "))
            }
            None => format!("; {name} is down"),
        });
        each.collect()
    }

    /// Whether a machine that reports has room for one more task of the usual size.
    pub fn has_room(&self) -> bool {
        self.workers.values().any(|w| !w.hung && w.running().len() < 4)
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
            let id = self.abort(n, job);
            if let Some((200, body)) = self.answer(id, 5 * SECOND) {
                return Some(body["phase"].as_str().unwrap_or("").to_owned());
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        None
    }
}
