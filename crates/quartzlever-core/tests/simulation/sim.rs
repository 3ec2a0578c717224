//! A small world around pure cores: messages with delays, losses and late copies, a state
//! service, a cloud, and workers that notice every broken rule.

mod calls;
mod checks;
mod digest;
mod users;

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_core::{Command, Config, Core, Effect, LogLevel, Operator, Team, WorkerTimes};
use quartzlever_testkit::jobs;
use quartzlever_testkit::rules::{MachineTasks, RuleChecker, TeamLimit, UserRequest};
use quartzlever_testkit::{Cloud, Store, Worker};
use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::store::{StoreCall, StoreReply, TerminalJobRecord};
use quartzlever_wire::users::{JobPhase, JobSpec};
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerCommands, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use calls::CallFault;
use digest::EffectDigest;

pub const LEASE: Micros = 12 * SECOND;
pub const CANCEL: Micros = 20 * SECOND;
const STEP: Micros = 50_000;
/// A worker gives up a heartbeat and turns to another node after this time.
const UNANSWERED: Micros = 5 * SECOND;
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
        workers: WorkerTimes { heartbeat_interval: SECOND, lease: LEASE, cancel: CANCEL },
        store_rps: 300.0,
        store_write_rps: 300.0,
        value_bytes: 16 * 1024,
        group_bytes: 16 * 1024,
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
        log_level: LogLevel::Error,
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
    Store(usize, u64, u64, StoreCall, bool),
    Worker(usize, u64, u64, String, WorkerCall, bool),
    Hello(usize, String, Box<WorkerCommands>, Micros, u64),
    /// A late copy of a transaction or of a direct command; nobody waits for its answer.
    /// A late copy of a heartbeat, to each of these nodes.
    Copy(Vec<usize>, Box<Heartbeat>),
    LateStoreCall(StoreCall),
    LateWorker(String, WorkerCall),
    LateCloud(CloudCall),
    /// A controller that ended starts again.
    Start(usize),
    /// A controller that stood still goes on.
    GoOn(usize),
}

/// How often, in parts of a hundred, things go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Answers that are lost: the caller learns nothing of the outcome.
    pub lost: u32,
    /// Calls that seem lost, and are carried out up to a minute later.
    pub late: u32,
    /// Transactions that are carried out, with only their answer lost.
    pub unanswered: u32,
    /// Transactions that get no answer and are carried out 2 to 12 s later.
    pub late_writes: u32,
    /// Heartbeats of which a copy arrives again, from 2 s to two leases later.
    pub copies: u32,
    /// Heartbeats of which a copy is kept until the next leader begins, and goes to every node then.
    pub for_next: u32,
}

/// What came about, for tests to see that it did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Times that a partition's key was written: acquisitions.
    pub leaders: usize,
    /// Calls refused to a node alone, and to everybody.
    pub refused_alone: usize,
    pub refused_all: usize,
    /// Heartbeats refused by a node that may not act.
    pub without_authority: usize,
    /// Transactions carried out late: those that came into force and those that did not.
    pub late_in_force: usize,
    pub late_conflicts: usize,
    pub unanswered: usize,
    pub copies: usize,
    pub copies_for_next: usize,
    /// Heartbeats that never reached anybody, and answers that never reached a machine.
    pub mute: usize,
    pub deaf: usize,
    /// Direct commands that were held up beyond their caller's patience; of these, the ones that
    /// found their machine and were executed, or refused by then.
    pub held: usize,
    pub delayed_executed: usize,
    pub delayed_refused: usize,
    /// Sessions that ended with tasks on the machine.
    pub leases_lost: usize,
    /// Questions of users that were answered for good.
    pub answers: usize,
    /// Heartbeats that waited at a controller that stood still.
    pub unread: usize,
    /// Machines that never came up.
    pub never_booted: usize,
}

struct Watch {
    node: usize,
    life: u64,
    call_id: u64,
    from: u64,
    end: Micros,
}

pub struct Simulation {
    pub now: Micros,
    pub names: Vec<&'static str>,
    cores: Vec<Option<Core>>,
    lives: Vec<u64>,
    pub cut: BTreeSet<(usize, String)>,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    next_heartbeat: BTreeMap<String, (usize, Micros)>,
    mail: Vec<(Micros, u64, Message)>,
    sent: u64,
    watches: Vec<Watch>,
    pub fault_rates: FaultRates,
    /// Faults of single calls, by their number among all calls of controllers.
    pub call_faults: BTreeMap<usize, CallFault>,
    /// Calls made by controllers.
    pub calls: usize,
    pub cloud_down: bool,
    /// Nodes that alone get no answer from the store.
    pub refused_by_store: BTreeSet<usize>,
    /// Nodes that no peer reaches, nor they any.
    pub apart: BTreeSet<usize>,
    /// Nodes that stand still: what comes for them waits.
    pub paused: BTreeSet<usize>,
    resumed: BTreeSet<usize>,
    /// Machines that reach no node, and those that are reached by nothing.
    pub mute: BTreeSet<String>,
    pub deaf: BTreeSet<String>,
    /// What each call to the store takes longer.
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
    kept_copies: Vec<Heartbeat>,
    partition_revisions: BTreeMap<String, u64>,
    seen_starts: BTreeMap<String, usize>,
    seen_ends: BTreeMap<String, usize>,
    rng: SmallRng,
    requests: BTreeMap<u64, (usize, u64)>,
    request: u64,
    pub answers: BTreeMap<u64, (u16, serde_json::Value)>,
    asked: BTreeMap<u64, (UserRequest, String, Micros)>,
    pub rules: RuleChecker,
    tune: fn(&mut Config),
    pub run_time: Micros,
    /// How often workers report.
    pub heartbeat_interval: Micros,
    /// Tasks with odd numbers do not end on workers that join from now on.
    pub odd_tasks_wait: bool,
    /// Jobs that were submitted with a mistake: their tasks fail on every machine.
    fails_everywhere: BTreeSet<String>,
    /// So many of a hundred new machines never come up.
    pub never_booted: u32,
    /// Over all that controllers have wanted done.
    digest: EffectDigest,
}

impl Simulation {
    pub fn new(seed: u64, names: &[&'static str]) -> Self {
        Simulation::with(seed, names, |_| {})
    }

    /// A world whose controllers have other settings.
    pub fn with(seed: u64, names: &[&'static str], tune: fn(&mut Config)) -> Self {
        let mut config = config(names[0], names);
        tune(&mut config);
        let mut simulation = Simulation {
            now: START,
            names: names.to_vec(),
            cores: names.iter().map(|_| None).collect(),
            lives: vec![0; names.len()],
            cut: BTreeSet::new(),
            store: Store::default(),
            cloud: Cloud::new(8.0, &["a", "b"], 6),
            workers: BTreeMap::new(),
            next_heartbeat: BTreeMap::new(),
            mail: Vec::new(),
            sent: 0,
            watches: Vec::new(),
            fault_rates: FaultRates::default(),
            call_faults: BTreeMap::new(),
            calls: 0,
            cloud_down: false,
            refused_by_store: BTreeSet::new(),
            apart: BTreeSet::new(),
            paused: BTreeSet::new(),
            resumed: BTreeSet::new(),
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
            partition_revisions: BTreeMap::new(),
            seen_starts: BTreeMap::new(),
            seen_ends: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            request: 1 << 32,
            answers: BTreeMap::new(),
            asked: BTreeMap::new(),
            rules: RuleChecker::new(config.workers.cancel, team_limits(config.teams)),
            tune,
            run_time: 3 * SECOND,
            heartbeat_interval: config.workers.heartbeat_interval,
            odd_tasks_wait: false,
            fails_everywhere: BTreeSet::new(),
            never_booted: 0,
            digest: EffectDigest::new(),
        };
        for n in 0..names.len() {
            simulation.start(n);
        }
        simulation
    }

    pub fn start(&mut self, n: usize) {
        self.lives[n] += 1;
        let mut config = config(self.names[n], &self.names);
        (self.tune)(&mut config);
        if self.old.contains(&n) {
            config.version = 1;
        }
        let seed = self.lives[n] * 1000 + n as u64;
        self.cores[n] = Some(Core::new(config, seed, self.now));
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

    fn draw_faults(&mut self) -> (bool, bool) {
        let lost = self.rng.random_range(0..100) < self.fault_rates.lost;
        let late = self.rng.random_range(0..100) < self.fault_rates.late;
        (lost, late)
    }

    /// The node that holds most machines' partitions; the first one of several.
    pub fn leader(&self, partition: &str) -> Option<usize> {
        let (value, _) = self.store.get(&format!("parts/{partition}"))?;
        let record = value.parse::<quartzlever_wire::store::PartitionRecord>()?;
        self.names.iter().position(|n| *n == record.node)
    }

    /// The partition whose machines run most tasks, with its leader.
    pub fn busiest(&self) -> (String, usize) {
        let mut tasks: BTreeMap<String, usize> = BTreeMap::new();
        for key in self.store.keys("hosts/") {
            let Some((value, _)) = self.store.get(&key) else { continue };
            for (machine, record) in
                quartzlever_wire::store::machine_records_in(&key, value).into_iter().flatten()
            {
                let on = self.workers.get(&machine).map_or(0, |w| w.running().len());
                *tasks.entry(record.partition).or_default() += on;
            }
        }
        let most = tasks.into_iter().max_by_key(|(_, n)| *n).map(|(partition, _)| partition);
        let partition = most.unwrap_or_else(|| self.names[0].to_owned());
        let leader = self.leader(&partition).unwrap_or(0);
        (partition, leader)
    }

    /// Processes that start from now on have other settings.
    pub fn retune(&mut self, tune: fn(&mut Config)) {
        self.tune = tune;
    }

    /// Ends all troubles.
    pub fn calm(&mut self) {
        self.fault_rates = FaultRates::default();
        self.cut.clear();
        self.refused_by_store.clear();
        self.apart.clear();
        self.paused.clear();
        self.mute.clear();
        self.deaf.clear();
        (self.slow, self.watch_lag, self.held, self.cloud_down) = (0, 0, 0, false);
        self.workers.values_mut().for_each(|w| w.hung = false);
        self.never_booted = 0;
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
    pub fn run_for(&mut self, span: Micros) {
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

    /// From now on the tasks of a job fail on every machine, or they no longer do.
    pub fn set_fails_everywhere(&mut self, job: &str, fails_everywhere: bool) {
        if fails_everywhere {
            self.fails_everywhere.insert(job.to_owned());
        } else {
            self.fails_everywhere.remove(job);
        }
        self.workers.values_mut().for_each(|w| w.fails_everywhere = self.fails_everywhere.clone());
    }

    /// How often tasks of a job were started, on the machines that there are now.
    pub fn starts_of(&self, job: &str) -> usize {
        let of_job = |w: &Worker| w.started.iter().filter(|(task, _)| task.job == job).count();
        self.workers.values().map(of_job).sum()
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
            let (incarnation, busy) = (worker.incarnation(), !worker.running().is_empty());
            worker.advance_to(now);
            self.counts.leases_lost += usize::from(busy && worker.incarnation() > incarnation);
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
            if self.paused.contains(&n) {
                self.resumed.insert(n);
                continue;
            }
            let mut batch = batches.remove(&n).unwrap_or_default();
            let behind = self.resumed.remove(&n);
            if behind || now.is_multiple_of(4 * STEP) {
                batch.push(Command::Tick { wall: now, behind });
            }
            let Some(core) = self.cores[n].as_mut() else { continue };
            let effects = core.step(now, batch);
            self.carry_out_all(n, effects);
        }
        self.heartbeats();
        self.check();
    }

    fn heartbeats(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some((node, at)) = self.next_heartbeat.get(&name).copied() else { continue };
            // An answer to the heartbeat under way moves it to another node.
            if at > self.now || self.workers.get(&name).is_none_or(|w| w.hung) {
                continue;
            }
            let Some(heartbeat) = self.workers.get_mut(&name).map(Worker::heartbeat) else {
                continue;
            };
            let (sent, incarnation) = (self.now, heartbeat.incarnation);
            if self.rng.random_range(0..100) < self.fault_rates.copies {
                let wait = self.rng.random_range(2 * SECOND..2 * LEASE);
                self.post(wait, Message::Copy(vec![node], Box::new(heartbeat.clone())));
            }
            if self.rng.random_range(0..100) < self.fault_rates.for_next {
                self.kept_copies.push(heartbeat.clone());
            }
            if self.mute.contains(&name) {
                self.counts.mute += 1;
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + SECOND));
                continue;
            }
            if self.cores[node].is_none() || self.cut.contains(&(node, name.clone())) {
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + SECOND));
                continue;
            }
            let id = self.request + 1;
            self.request = id;
            let command = Command::Heartbeat { id, heartbeat };
            if self.paused.contains(&node) {
                // It waits there unread, and the worker turns to the next node in the end.
                self.counts.unread += 1;
                let life = self.lives[node];
                self.post(STEP, Message::ToNode(node, life, Box::new(command)));
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + UNANSWERED));
                continue;
            }
            // Handed over at once, so that its answer is known before the next heartbeat.
            let effects = match self.cores[node].as_mut() {
                Some(core) => core.step(self.now, vec![command]),
                None => Vec::new(),
            };
            self.carry_out_all(node, effects);
            let (lost, _) = self.draw_faults();
            let mut next = node;
            let mut after = self.heartbeat_interval;
            match self.answers.remove(&id) {
                Some((200, body)) if !lost => {
                    if let Ok(commands) = serde_json::from_value::<WorkerCommands>(body) {
                        // Now and then a packet is lost and resent; the worker waits with its
                        // next heartbeat.
                        let (_, late) = self.draw_faults();
                        let delay = if late {
                            self.rng.random_range(SECOND / 2..3 * SECOND)
                        } else {
                            self.short()
                        };
                        after = after.max(delay + STEP);
                        let handle_heartbeat = Message::Hello(
                            node,
                            name.clone(),
                            Box::new(commands),
                            sent,
                            incarnation,
                        );
                        self.post(delay, handle_heartbeat);
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
            self.next_heartbeat.insert(name, (next, self.now + after));
        }
    }
}
