//! Measures the processor time that the core takes for a heartbeat, a submission and a tick.
//!
//! All MACHINES are busy, about READY tasks are ready in the queue, and each job has TASKS tasks.
//!
//! `cargo run --release -p quartzlever-core --example cost [MACHINES [READY [TASKS]]]`

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quartzlever_core::{
    Answer, Command, Config, Core, Effect, LogLevel, Operator, Team, WorkerTimes,
};
use quartzlever_testkit::jobs;
use quartzlever_testkit::{Cloud, Store, Worker};
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::{WorkerCall, WorkerCommands, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};

/// Lease of the workers.
const LEASE: Micros = 30 * SECOND;

struct Simulation {
    core: Core,
    store: Store,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    now: Micros,
    /// Total duration and number of the commands, by kind.
    spent: BTreeMap<&'static str, (Duration, u32)>,
}

impl Simulation {
    /// Passes a command to the core, then executes effects and passes on their replies until there
    /// are no more replies. Returns the commands of the answer, if the command was a heartbeat that
    /// got any. Only the first step is timed.
    fn process(&mut self, kind: &'static str, command: Command) -> Option<WorkerCommands> {
        let begin = Instant::now();
        let mut effects = self.core.step(self.now, vec![command]);
        let entry = self.spent.entry(kind).or_default();
        entry.0 += begin.elapsed();
        entry.1 += 1;
        let mut commands = None;
        while !effects.is_empty() {
            let replies: Vec<Command> =
                effects.into_iter().filter_map(|e| self.execute(e, &mut commands)).collect();
            if replies.is_empty() {
                break;
            }
            effects = self.core.step(self.now, replies);
        }
        commands
    }

    /// Executes an effect and returns the command with the reply, if there is one.
    fn execute(
        &mut self,
        effect: Effect,
        commands: &mut Option<WorkerCommands>,
    ) -> Option<Command> {
        match effect {
            Effect::Store { call_id, call, .. } => {
                Some(Command::StoreReply { call_id, result: self.store.call(self.now, &call) })
            }
            Effect::Cloud { call_id, call, .. } => {
                let reply = self.cloud.call(&call);
                for (name, instance) in &self.cloud.machines {
                    if !self.workers.contains_key(name) {
                        let worker = Worker::new(instance.clone(), LEASE, 20 * SECOND, self.now);
                        self.workers.insert(name.clone(), worker);
                    }
                }
                Some(Command::CloudReply { call_id, result: Ok(reply) })
            }
            Effect::Worker { call_id, address, call, .. } => {
                let worker = self.workers.get_mut(address.trim_end_matches(":9000"));
                let result = worker.ok_or(CallError::Refused).map(|w| match &call {
                    WorkerCall::Status => WorkerReply::Status(w.heartbeat()),
                    WorkerCall::Command(commands) => w.receive_commands(commands, self.now),
                });
                Some(Command::WorkerReply { call_id, result })
            }
            Effect::Answer { body, .. } => {
                if let Answer::WorkerCommands(answered) = body {
                    *commands = Some(answered);
                }
                None
            }
            _ => None,
        }
    }
}

fn job(n: u32, tasks: u32) -> JobSpec {
    JobSpec { expect_s: 20.0, due_s: Some(60.0), ..jobs::array(n, tasks) }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|a| a.parse::<usize>().ok());
    let machines = arguments.next().flatten().unwrap_or(16);
    let ready = arguments.next().flatten().unwrap_or(0) as u32;
    let tasks = arguments.next().flatten().unwrap_or(12).max(1) as u32;
    let config = Config {
        node: "one".into(),
        zone: "a".into(),
        nodes: vec!["one".into()],
        zones: vec!["a".into()],
        teams: vec![Team { name: "free".into(), ..Team::default() }],
        objectives: Vec::new(),
        workers: WorkerTimes { heartbeat_interval: 3 * SECOND, lease: LEASE, cancel: 2 * LEASE },
        store_rps: 300.0,
        store_write_rps: 300.0,
        value_bytes: 16 * 1024,
        present_value_bytes: 16 * 1024,
        txn_ops: 24,
        version: quartzlever_core::VERSION,
        machine_capacity: 10_000,
        operator: Operator::default(),
        log_level: LogLevel::Error,
    };
    let now = 1_000 * SECOND;
    let mut simulation = Simulation {
        core: Core::new(config, 1, now),
        store: Store::default(),
        cloud: Cloud::new(32.0, &["a"], machines),
        workers: BTreeMap::new(),
        now,
        spent: BTreeMap::new(),
    };
    let mut id = 0;
    let mut jobs = 0;
    // Number of tasks that the machines run at the same time. Tasks take 20 s, so every ten ticks a
    // tenth of them is submitted again.
    let running = 16 * machines as u32;
    // Three minutes in ticks of 200 ms, with a heartbeat of each machine every three seconds.
    for tick in 0..900_u32 {
        simulation.now += SECOND / 5;
        let wall = simulation.now;
        simulation.process("tick", Command::Tick { wall, was_stalled: false });
        let mut due = u32::from(tick.is_multiple_of(10)) * running / (10 * tasks) + 1;
        if tick == 1 {
            due = (running + ready) / tasks + 1;
        }
        for _ in 0..if tick == 1 || tick.is_multiple_of(10) { due } else { 0 } {
            (id, jobs) = (id + 1, jobs + 1);
            let spec = Box::new(job(jobs, tasks));
            simulation.process("submission", Command::Submit { id, spec });
        }
        let names: Vec<String> = simulation.workers.keys().cloned().collect();
        for (n, name) in names.iter().enumerate() {
            let now = simulation.now;
            let Some(worker) = simulation.workers.get_mut(name) else { continue };
            worker.advance_to(now);
            if !(tick as usize + n).is_multiple_of(15) {
                continue;
            }
            let heartbeat = worker.heartbeat();
            let incarnation = heartbeat.incarnation;
            id += 1;
            let commands = simulation.process("heartbeat", Command::Heartbeat { id, heartbeat });
            if let (Some(commands), Some(worker)) = (commands, simulation.workers.get_mut(name)) {
                worker.receive_reply(&commands, now, incarnation, now);
            }
        }
        let cloud = &simulation.cloud;
        simulation.workers.retain(|name, _| !cloud.terminated.contains(name));
    }
    for (kind, (spent, count)) in &simulation.spent {
        let mean = spent.as_secs_f64() * 1e6 / f64::from(*count);
        println!("{kind}: {count} times, {mean:.1} microseconds each");
    }
    println!("jobs ended: {}", simulation.store.keys("over/").len());
}
