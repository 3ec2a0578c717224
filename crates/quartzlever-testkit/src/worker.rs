//! The fake worker: incarnations, fencing tokens, its lease, and tasks that take a fixed time.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::Instance;
use quartzlever_wire::workers::{
    Cause, Heartbeat, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerCommands, WorkerReply,
};
use quartzlever_wire::{Micros, SECOND};

/// One attempt on the worker.
#[derive(Clone, Debug)]
struct Attempt {
    started: Micros,
    exited: Option<Cause>,
}

/// A fake worker of one machine. It does nothing until the caller lets time pass; faults are set by the
/// public fields.
#[derive(Debug)]
pub struct Worker {
    /// The machine, as the cloud lists it.
    pub instance: Instance,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    lease: Micros,
    /// When the last answered heartbeat was sent, or the incarnation began.
    renewed: Micros,
    attempts: BTreeMap<(TaskId, u64), Attempt>,
    /// How long a task runs.
    pub run_time: Micros,
    /// Jobs whose tasks run until they are stopped.
    pub endless: BTreeSet<String>,
    /// The cloud takes the machine back in so many seconds.
    pub warning_s: Option<f64>,
    /// Tasks with odd numbers run until this is unset.
    pub odd_tasks_wait: bool,
    /// Every task fails here.
    pub faulty: bool,
    /// Jobs whose tasks fail wherever they run.
    pub fails_everywhere: BTreeSet<String>,
    /// Executes nothing and says nothing.
    pub hung: bool,
    /// Tasks that were started here, in order.
    pub started: Vec<(TaskId, Micros)>,
    /// Tasks that ran to their end here, in order.
    pub completed: Vec<TaskId>,
}

impl Worker {
    /// A worker without tasks, whose lease begins now.
    pub fn new(instance: Instance, lease: Micros, run_time: Micros, now: Micros) -> Self {
        Worker {
            instance,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease,
            renewed: now,
            attempts: BTreeMap::new(),
            run_time,
            endless: BTreeSet::new(),
            warning_s: None,
            odd_tasks_wait: false,
            faulty: false,
            fails_everywhere: BTreeSet::new(),
            hung: false,
            started: Vec::new(),
            completed: Vec::new(),
        }
    }

    /// The present incarnation: one more than the number of leases that have run out.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Tasks that are on the machine now.
    pub fn running(&self) -> Vec<TaskId> {
        let on = self.attempts.iter().filter(|(_, a)| a.exited.is_none());
        on.map(|((task, _), _)| task.clone()).collect()
    }

    /// Lets time pass: ends tasks, and the incarnation when the lease has run out.
    pub fn advance_to(&mut self, now: Micros) {
        if now.saturating_sub(self.renewed) > self.lease {
            self.attempts.clear();
            self.incarnation += 1;
            self.renewed = now;
        }
        if self.hung {
            return;
        }
        let (endless, odd_tasks_wait) = (&self.endless, self.odd_tasks_wait);
        let (faulty, fails_everywhere) = (self.faulty, &self.fails_everywhere);
        let waits =
            |task: &TaskId| endless.contains(&task.job) || (odd_tasks_wait && task.index % 2 == 1);
        for ((task, _), attempt) in self.attempts.iter_mut().filter(|(_, a)| a.exited.is_none()) {
            let fails = faulty || fails_everywhere.contains(&task.job);
            if fails && now >= attempt.started + SECOND / 2 {
                attempt.exited = Some(Cause::Error);
            } else if now >= attempt.started + self.run_time && !waits(task) {
                attempt.exited = Some(Cause::Done);
                self.completed.push(task.clone());
            }
        }
    }

    /// A heartbeat as it stands.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.instance.name.clone(),
            address: self.instance.address.clone(),
            machine_type: self.instance.machine_type.clone(),
            zone: self.instance.zone.clone(),
            spot: self.instance.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            warning_s: self.warning_s,
            tasks: self
                .attempts
                .iter()
                .map(|((task, attempt), a)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: if a.exited.is_some() { TaskPhase::Exited } else { TaskPhase::Running },
                    cause: a.exited,
                    kept: None,
                })
                .collect(),
        }
    }

    /// Whether a heartbeat told of everything that is on the machine now.
    pub fn is_reported_by(&self, heartbeat: &Heartbeat) -> bool {
        let exited = |t: &TaskStatus| t.phase == TaskPhase::Exited;
        self.incarnation == heartbeat.incarnation
            && self.fencing_token == heartbeat.fencing_token
            && self.attempts.len() == heartbeat.tasks.len()
            && heartbeat.tasks.iter().all(|t| {
                let known = self.attempts.get(&(t.task.clone(), t.attempt));
                known.is_some_and(|a| a.exited.is_some() == exited(t))
            })
    }

    /// Receives the 200 to a heartbeat that was sent at `sent` in this incarnation.
    pub fn answered(
        &mut self,
        commands: &WorkerCommands,
        sent: Micros,
        incarnation: u64,
        now: Micros,
    ) {
        let late = now.saturating_sub(sent) > 4 * SECOND;
        if self.hung
            || late
            || incarnation != self.incarnation
            || commands.fencing_token < self.fencing_token
        {
            return;
        }
        self.fencing_token = commands.fencing_token;
        self.renewed = self.renewed.max(sent);
        self.execute(&commands.commands, now);
    }

    /// Receives commands at its own address.
    pub fn command(&mut self, commands: &WorkerCommands, now: Micros) -> WorkerReply {
        if commands.fencing_token < self.fencing_token
            || commands.incarnation != Some(self.incarnation)
        {
            return WorkerReply::Refused(self.heartbeat());
        }
        self.fencing_token = commands.fencing_token;
        self.execute(&commands.commands, now);
        WorkerReply::Status(self.heartbeat())
    }

    /// Starts an attempt, unless it is known already or another of the task runs.
    fn run(&mut self, task: &TaskId, attempt: u64, now: Micros) {
        let key = (task.clone(), attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let busy = self.attempts.iter().any(|((t, _), a)| t == task && a.exited.is_none());
        let exited = busy.then_some(Cause::Busy);
        if exited.is_none() {
            self.started.push((task.clone(), now));
        }
        self.attempts.insert(key, Attempt { started: now, exited });
    }

    fn execute(&mut self, commands: &[WorkerCommand], now: Micros) {
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => self.run(task, *attempt, now),
                WorkerCommand::Kill { task, attempt, .. } => {
                    if let Some(a) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                        a.exited = a.exited.or(Some(Cause::Halted));
                    }
                }
                WorkerCommand::Clear { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.attempts.get(&key).is_some_and(|a| a.exited.is_some()) {
                        self.attempts.remove(&key);
                    }
                }
            }
        }
    }
}
