//! Deterministic simulation of whole controllers: cores that exchange delayed, lost and repeated
//! messages with a fake store, cloud and workers, while a checker records every broken rule.

mod calls;
mod checks;
mod digest;
mod users;

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_core::{
    Command, Config, Core, Effect, LogEvent, LogLevel, Operator, Team, WorkerTimes,
};
use quartzlever_testkit::jobs;
use quartzlever_testkit::rules::{MachineTasks, RuleChecker, TeamLimit, UserRequest};
use quartzlever_testkit::{Cloud, Store, Worker};
use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::store::{StoreCall, StoreReply, TerminalJobRecord, Txn};
use quartzlever_wire::users::{JobPhase, JobSpec};
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerCommands, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use calls::CallFault;
use digest::EffectDigest;

/// Lease of a worker: without a renewal for this long, it stops its tasks.
pub const LEASE: Micros = 12 * SECOND;
/// Time within which the tasks of a cancelled job must have stopped.
pub const CANCEL: Micros = 20 * SECOND;
/// Simulated time between two steps.
const STEP: Micros = 50_000;
/// Time after which a worker gives up an unanswered heartbeat and tries another node.
const HEARTBEAT_TIMEOUT: Micros = 5 * SECOND;
/// Time at which a simulation starts.
pub const START: Micros = 1_000 * SECOND;

/// Returns the settings of one of the nodes, before a test adjusts them.
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
        present_value_bytes: 16 * 1024,
        txn_ops: 24,
        version: quartzlever_core::VERSION,
        machine_capacity: 10_000,
        operator: Operator {
            lease_lifetime: 5 * SECOND,
            takeover_after: SECOND,
            handback_after: 2 * SECOND,
            silent_machine_timeout: 4 * SECOND,
            ..Operator::default()
        },
        log_level: LogLevel::Error,
    }
}

fn team_limits(teams: Vec<Team>) -> Vec<TeamLimit> {
    let limit = |t: Team| TeamLimit { team: t.name, cpus: t.cpus_max, gpus: t.gpus_max };
    teams.into_iter().map(limit).collect()
}

/// Returns an array job with the given number and count of tasks, due in a minute.
pub fn job(n: u32, tasks: u32) -> JobSpec {
    JobSpec { due_s: Some(60.0), ..jobs::array(n, tasks) }
}

/// A message in flight, or an event scheduled for a later time.
enum Message {
    /// Input for a controller in one of its epochs.
    ToNode(usize, u64, Box<Command>),
    /// A call to the store: caller, its epoch, number, call, and whether the answer is lost.
    StoreCall(usize, u64, u64, StoreCall, bool),
    /// A call to a worker: caller, its epoch, number, address, call, and whether the answer is
    /// lost.
    WorkerCall(usize, u64, u64, String, WorkerCall, bool),
    /// The answer to a heartbeat: node, machine, commands, when the heartbeat was sent, and the
    /// worker's incarnation.
    HeartbeatReply(usize, String, Box<WorkerCommands>, Micros, u64),
    /// A late copy of a heartbeat, to each of these nodes.
    HeartbeatCopy(Vec<usize>, Box<Heartbeat>),
    /// A call to the store that is executed after its caller has stopped waiting.
    LateStoreCall(StoreCall),
    /// A call to a worker, by its address, that is executed after its caller has stopped waiting.
    LateWorkerCall(String, WorkerCall),
    /// A call to the cloud that is executed after its caller has stopped waiting.
    LateCloudCall(CloudCall),
    /// A copy of a request that was executed and answered before.
    RequestCopy(RequestCopy),
    /// A crashed controller starts again.
    Start(usize),
    /// A paused controller resumes.
    Resume(usize),
}

/// A request that was executed and answered, and may be executed once more.
#[derive(Clone)]
enum RequestCopy {
    /// Direct commands, with the name of the machine.
    Commands(String, WorkerCommands),
    Txn(Txn),
}

/// Probabilities of faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Answers that are lost, so that the caller does not learn the outcome.
    pub lost_answers: u32,
    /// Calls that time out for their caller and are executed later: transactions within 90 s,
    /// direct commands within 30 s. Also answers to heartbeats that are delayed by up to 3 s.
    pub late_calls: u32,
    /// Transactions that are committed although their answer is lost.
    pub unanswered_txns: u32,
    /// Transactions that get no answer and are executed 2 to 12 s later.
    pub late_txns: u32,
    /// Calls to the store, other than watches, that are executed at once and answered up to a
    /// second later, within their caller's timeout.
    pub slow_answers: u32,
    /// Heartbeats of which a copy arrives again, from 2 s to two leases later.
    pub heartbeat_copies: u32,
    /// Heartbeats of which a copy is kept until a partition is next acquired, and sent to every
    /// node then.
    pub copies_for_next_leader: u32,
    /// Executed direct commands and answered transactions of which a copy arrives again, from a tenth
    /// of a second to two leases later.
    pub request_copies: u32,
    /// The same, but the copy is kept until its sender is next killed, and arrives within a second
    /// of that.
    pub request_copies_for_restart: u32,
}

/// Counts of the events that came about, for tests to check that their faults took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Acquisitions: observed changes of a partition's key.
    pub acquisitions: usize,
    /// Store calls refused to a single node.
    pub refused_one_node: usize,
    /// Store calls refused to all nodes in an outage.
    pub refused_all_nodes: usize,
    /// Answers with the error `not entitled`, from a node that may not act for the partition.
    pub without_authority: usize,
    /// Transactions that were executed late and committed.
    pub late_committed: usize,
    /// Transactions that were executed late and not committed.
    pub late_conflicts: usize,
    /// Transactions that were committed and whose answer was lost.
    pub unanswered_txns: usize,
    /// Calls to the store that were executed at once and answered slowly.
    pub slow_answers: usize,
    /// Late copies of heartbeats that reached a controller.
    pub heartbeat_copies: usize,
    /// Heartbeats that were kept for the next leader and sent to all nodes.
    pub copies_for_next_leader: usize,
    /// Copies of direct commands that their machine executed again.
    pub command_copies_executed: usize,
    /// Copies of direct commands that their machine refused.
    pub command_copies_refused: usize,
    /// Copies of transactions that were committed again.
    pub txn_copies_committed: usize,
    /// Copies of transactions whose conditions did not hold any more.
    pub txn_copies_refused: usize,
    /// Heartbeats of silent machines, which reached no node.
    pub lost_heartbeats: usize,
    /// Answers to heartbeats that did not reach an unreachable machine.
    pub lost_replies: usize,
    /// Calls to workers that were delayed beyond their caller's timeout.
    pub delayed_commands: usize,
    /// Late commands that reached their machine and were executed.
    pub delayed_executed: usize,
    /// Late commands that reached their machine and were refused.
    pub delayed_refused: usize,
    /// Worker leases that expired while tasks ran on the machine.
    pub expired_leases: usize,
    /// Requests of users that were answered with 200 or 201.
    pub answers: usize,
    /// Heartbeats that were queued at a paused controller.
    pub unread_heartbeats: usize,
    /// Machines that never came up.
    pub failed_boots: usize,
}

/// A pending watch call of a controller.
struct Watch {
    node: usize,
    epoch: u64,
    call_id: u64,
    from: u64,
    end: Micros,
}

/// A simulated cluster of controllers with its store, cloud, workers and users. Tests inject faults
/// by setting the public fields. All randomness comes from one seed.
pub struct Simulation {
    pub now: Micros,
    /// Names of the nodes; each has a partition of the same name.
    pub names: Vec<&'static str>,
    /// The running controllers; `None` for a node that is down.
    cores: Vec<Option<Core>>,
    /// Number of starts and kills of each node. A message for another epoch is dropped.
    epochs: Vec<u64>,
    /// Pairs of node and machine that cannot reach each other.
    pub severed_links: BTreeSet<(usize, String)>,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    /// The node to which each machine sends its next heartbeat, and when.
    next_heartbeat: BTreeMap<String, (usize, Micros)>,
    /// Messages in flight: due time, sequence number and message.
    in_flight: Vec<(Micros, u64, Message)>,
    messages_sent: u64,
    watches: Vec<Watch>,
    pub fault_rates: FaultRates,
    /// Faults of single calls, by their number among all calls of controllers, from 1.
    pub call_faults: BTreeMap<usize, CallFault>,
    /// Number of calls that controllers have made.
    pub calls: usize,
    pub cloud_down: bool,
    /// Nodes whose calls the store refuses, while it serves the others.
    pub refused_by_store: BTreeSet<usize>,
    /// Nodes that cannot exchange messages with any peer.
    pub isolated_from_peers: BTreeSet<usize>,
    /// Nodes whose processes are paused: messages for them wait.
    pub paused: BTreeSet<usize>,
    /// Nodes that have been paused since their last step: their next tick says that they were
    /// stalled.
    stalled: BTreeSet<usize>,
    /// Machines whose heartbeats reach no node.
    pub silent_machines: BTreeSet<String>,
    /// Machines that neither answers to heartbeats nor direct commands reach.
    pub unreachable_machines: BTreeSet<String>,
    /// Additional latency of each call to the store.
    pub store_latency: Micros,
    /// Additional latency of the answers to watches.
    pub watch_latency: Micros,
    /// Delay of direct commands, beyond their caller's timeout; 0 for none.
    pub command_delay: Micros,
    /// Time from the launch of a machine to its first heartbeat.
    pub boot_time: Micros,
    pub counts: Counts,
    /// Nodes whose processes start as the first version.
    pub first_version_nodes: BTreeSet<usize>,
    /// Reason that a controller gave for terminating its process.
    pub exit_reason: Option<String>,
    /// Heartbeats to be sent to every node when a partition is next acquired.
    kept_copies: Vec<Heartbeat>,
    /// Copies of requests that arrive when their sender, given by its index, is next killed.
    kept_request_copies: Vec<(usize, RequestCopy)>,
    /// Every direct command that a machine has executed, with the name of the machine.
    executed_commands: Vec<(String, WorkerCommands)>,
    /// Last modification revision of each partition's key that was seen.
    partition_revisions: BTreeMap<String, u64>,
    /// Number of task starts of each machine that the checker has received.
    checked_starts: BTreeMap<String, usize>,
    /// Number of completed tasks of each machine that the checker has received.
    checked_completions: BTreeMap<String, usize>,
    rng: SmallRng,
    /// Caller and call number of each unanswered request between peers, by the request's number.
    /// Requests of users are entered too, and are never answered by a peer.
    requests: BTreeMap<u64, (usize, u64)>,
    last_request: u64,
    /// Status and body of each answer, by the number of its request.
    pub answers: BTreeMap<u64, (u16, serde_json::Value)>,
    /// Unanswered requests of users, each with its job and the time at which it was sent.
    user_requests: BTreeMap<u64, (UserRequest, String, Micros)>,
    pub rules: RuleChecker,
    /// Adjusts the settings of each process that starts.
    adjust_config: fn(&mut Config),
    /// Run time of a task on workers that join from now on.
    pub run_time: Micros,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// Whether tasks with odd numbers do not end on workers that join from now on.
    pub odd_tasks_wait: bool,
    /// Jobs whose tasks fail on every machine, as after a mistaken submission.
    fails_everywhere: BTreeSet<String>,
    /// Percentage of new machines that never come up.
    pub boot_failure_percent: u32,
    /// Digest of all effects of all controllers.
    digest: EffectDigest,
}

impl Simulation {
    /// Creates a simulation whose controllers run with the settings of [`config`].
    pub fn new(seed: u64, names: &[&'static str]) -> Self {
        Simulation::with(seed, names, |_| {})
    }

    /// Creates a simulation whose controllers run with adjusted settings.
    pub fn with(seed: u64, names: &[&'static str], adjust_config: fn(&mut Config)) -> Self {
        let mut config = config(names[0], names);
        adjust_config(&mut config);
        let mut simulation = Simulation {
            now: START,
            names: names.to_vec(),
            cores: names.iter().map(|_| None).collect(),
            epochs: vec![0; names.len()],
            severed_links: BTreeSet::new(),
            store: Store::default(),
            cloud: Cloud::new(8.0, &["a", "b"], 6),
            workers: BTreeMap::new(),
            next_heartbeat: BTreeMap::new(),
            in_flight: Vec::new(),
            messages_sent: 0,
            watches: Vec::new(),
            fault_rates: FaultRates::default(),
            call_faults: BTreeMap::new(),
            calls: 0,
            cloud_down: false,
            refused_by_store: BTreeSet::new(),
            isolated_from_peers: BTreeSet::new(),
            paused: BTreeSet::new(),
            stalled: BTreeSet::new(),
            silent_machines: BTreeSet::new(),
            unreachable_machines: BTreeSet::new(),
            store_latency: 0,
            watch_latency: 0,
            command_delay: 0,
            boot_time: SECOND,
            counts: Counts::default(),
            first_version_nodes: BTreeSet::new(),
            exit_reason: None,
            kept_copies: Vec::new(),
            kept_request_copies: Vec::new(),
            executed_commands: Vec::new(),
            partition_revisions: BTreeMap::new(),
            checked_starts: BTreeMap::new(),
            checked_completions: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            last_request: 1 << 32,
            answers: BTreeMap::new(),
            user_requests: BTreeMap::new(),
            rules: RuleChecker::new(config.workers.cancel, team_limits(config.teams)),
            adjust_config,
            run_time: 3 * SECOND,
            heartbeat_interval: config.workers.heartbeat_interval,
            odd_tasks_wait: false,
            fails_everywhere: BTreeSet::new(),
            boot_failure_percent: 0,
            digest: EffectDigest::new(),
        };
        for n in 0..names.len() {
            simulation.start(n);
        }
        simulation
    }

    /// Starts the controller of a node.
    pub fn start(&mut self, n: usize) {
        self.epochs[n] += 1;
        let mut config = config(self.names[n], &self.names);
        (self.adjust_config)(&mut config);
        if self.first_version_nodes.contains(&n) {
            config.version = 1;
        }
        let seed = self.epochs[n] * 1000 + n as u64;
        self.cores[n] = Some(Core::new(config, seed, self.now));
    }

    /// Kills the controller of a node; messages that are on their way to it are lost.
    pub fn kill(&mut self, n: usize) {
        self.cores[n] = None;
        self.epochs[n] += 1;
        let epoch = self.epochs[n];
        self.watches.retain(|w| w.node != n || w.epoch == epoch);
        self.schedule_kept_request_copies(n);
    }

    /// Schedules a message for delivery after a delay.
    fn schedule(&mut self, delay: Micros, message: Message) {
        self.messages_sent += 1;
        self.in_flight.push((self.now + delay, self.messages_sent, message));
    }

    /// Draws the latency of a message.
    fn draw_latency(&mut self) -> Micros {
        self.rng.random_range(1_000..120_000)
    }

    /// Draws whether the answer to a call is lost, and whether the call is late.
    fn draw_faults(&mut self) -> (bool, bool) {
        let lost = self.rng.random_range(0..100) < self.fault_rates.lost_answers;
        let late = self.rng.random_range(0..100) < self.fault_rates.late_calls;
        (lost, late)
    }

    /// Returns the node that leads a partition, according to the store.
    pub fn leader(&self, partition: &str) -> Option<usize> {
        let (value, _) = self.store.get(&format!("parts/{partition}"))?;
        let record = value.parse::<quartzlever_wire::store::PartitionRecord>()?;
        self.names.iter().position(|n| *n == record.node)
    }

    /// Returns the partition whose machines run most tasks, with its leader.
    pub fn busiest_partition(&self) -> (String, usize) {
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

    /// Changes the adjustment of settings for processes that start from now on.
    pub fn set_config_adjustment(&mut self, adjust_config: fn(&mut Config)) {
        self.adjust_config = adjust_config;
    }

    /// Ends the injected faults and starts every node that is down.
    pub fn clear_faults(&mut self) {
        self.fault_rates = FaultRates::default();
        self.severed_links.clear();
        self.refused_by_store.clear();
        self.isolated_from_peers.clear();
        self.paused.clear();
        self.silent_machines.clear();
        self.unreachable_machines.clear();
        (self.store_latency, self.watch_latency, self.command_delay, self.cloud_down) =
            (0, 0, 0, false);
        self.workers.values_mut().for_each(|w| w.hung = false);
        self.boot_failure_percent = 0;
        if self.store.outage {
            self.store.end_outage(self.now);
        }
        for n in 0..self.names.len() {
            if self.cores[n].is_none() {
                self.start(n);
            }
        }
    }

    /// Advances the time while users look up all accepted jobs every 2 s, each at a random node.
    pub fn run_with_lookups(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            for job in self.rules.accepted_jobs() {
                let n = self.rng.random_range(0..self.names.len());
                if self.cores[n].is_some() {
                    self.lookup(n, &job);
                }
            }
            self.run((2 * SECOND).min(end - self.now));
        }
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Returns a random number below `below`.
    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Returns the direct commands that were executed so far, each with the name of its machine.
    pub fn executed_commands(&self) -> &[(String, WorkerCommands)] {
        &self.executed_commands
    }

    /// Kills a node and starts it again after the given time, which passes meanwhile.
    pub fn restart(&mut self, n: usize, after: Micros) {
        self.kill(n);
        self.run(after);
        self.start(n);
    }

    /// Returns the machines on which tasks of a job run.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let on = |w: &Worker| w.running().iter().any(|t| t.job == job);
        self.workers.iter().filter(|(_, w)| on(w)).map(|(name, _)| name.clone()).collect()
    }

    /// Sets whether the tasks of a job fail on every machine from now on.
    pub fn set_fails_everywhere(&mut self, job: &str, fails_everywhere: bool) {
        if fails_everywhere {
            self.fails_everywhere.insert(job.to_owned());
        } else {
            self.fails_everywhere.remove(job);
        }
        self.workers.values_mut().for_each(|w| w.fails_everywhere = self.fails_everywhere.clone());
    }

    /// Counts the task starts of a job on the machines that exist now.
    pub fn start_count(&self, job: &str) -> usize {
        let of_job = |w: &Worker| w.started.iter().filter(|(task, _)| task.job == job).count();
        self.workers.values().map(of_job).sum()
    }

    /// Advances the time in steps.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    /// Processes one step: workers, due messages, watches, controllers, heartbeats, then the rules.
    fn step(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            self.counts.expired_leases += usize::from(worker.advance_to(now));
        }
        self.check_completions();
        self.workers.retain(|name, _| !self.cloud.terminated.contains(name));
        let due: Vec<(Micros, u64, Message)> = {
            let (mut due, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= now);
            self.in_flight = rest;
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
                self.stalled.insert(n);
                continue;
            }
            let mut batch = batches.remove(&n).unwrap_or_default();
            let was_stalled = self.stalled.remove(&n);
            if was_stalled || now.is_multiple_of(4 * STEP) {
                batch.push(Command::Tick { wall: now, was_stalled });
            }
            let Some(core) = self.cores[n].as_mut() else { continue };
            let effects = core.step(now, batch);
            self.execute_all(n, effects);
        }
        self.send_heartbeats();
        self.check_rules();
    }

    /// Sends the heartbeats that are due, and schedules the answers and the next heartbeats.
    fn send_heartbeats(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            // The answer to the previous heartbeat has set the node and the time of this one.
            let Some((node, at)) = self.next_heartbeat.get(&name).copied() else { continue };
            if at > self.now || self.workers.get(&name).is_none_or(|w| w.hung) {
                continue;
            }
            let Some(heartbeat) = self.workers.get_mut(&name).map(Worker::heartbeat) else {
                continue;
            };
            let (sent, incarnation) = (self.now, heartbeat.incarnation);
            if self.rng.random_range(0..100) < self.fault_rates.heartbeat_copies {
                let wait = self.rng.random_range(2 * SECOND..2 * LEASE);
                self.schedule(
                    wait,
                    Message::HeartbeatCopy(vec![node], Box::new(heartbeat.clone())),
                );
            }
            if self.rng.random_range(0..100) < self.fault_rates.copies_for_next_leader {
                self.kept_copies.push(heartbeat.clone());
            }
            if self.silent_machines.contains(&name) {
                self.counts.lost_heartbeats += 1;
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + SECOND));
                continue;
            }
            if self.cores[node].is_none() || self.severed_links.contains(&(node, name.clone())) {
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + SECOND));
                continue;
            }
            let id = self.last_request + 1;
            self.last_request = id;
            let command = Command::Heartbeat { id, heartbeat };
            if self.paused.contains(&node) {
                // The heartbeat waits unread, and the worker times out and tries the next node.
                self.counts.unread_heartbeats += 1;
                let epoch = self.epochs[node];
                self.schedule(STEP, Message::ToNode(node, epoch, Box::new(command)));
                let next = (node + 1) % self.cores.len();
                self.next_heartbeat.insert(name, (next, self.now + HEARTBEAT_TIMEOUT));
                continue;
            }
            // Delivered without delay, so that the answer is known before the next heartbeat.
            let effects = match self.cores[node].as_mut() {
                Some(core) => core.step(self.now, vec![command]),
                None => Vec::new(),
            };
            self.execute_all(node, effects);
            let (lost, _) = self.draw_faults();
            let mut next = node;
            let mut after = self.heartbeat_interval;
            match self.answers.remove(&id) {
                Some((200, body)) if !lost => {
                    if let Ok(commands) = serde_json::from_value::<WorkerCommands>(body) {
                        // A packet may be lost and sent again; the worker sends its next heartbeat
                        // only after the reply.
                        let (_, late) = self.draw_faults();
                        let delay = if late {
                            self.rng.random_range(SECOND / 2..3 * SECOND)
                        } else {
                            self.draw_latency()
                        };
                        after = after.max(delay + STEP);
                        let reply = Message::HeartbeatReply(
                            node,
                            name.clone(),
                            Box::new(commands),
                            sent,
                            incarnation,
                        );
                        self.schedule(delay, reply);
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
