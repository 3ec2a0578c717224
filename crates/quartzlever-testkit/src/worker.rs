//! A fake worker with incarnations, fencing tokens, a lease, and tasks of a fixed run time.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::Instance;
use quartzlever_wire::workers::{
    AttemptStatus, ExitCause, Heartbeat, TaskId, TaskPhase, WorkerCommand, WorkerCommands,
    WorkerReply,
};
use quartzlever_wire::{Micros, SECOND};

/// An attempt at a task on the worker.
#[derive(Clone, Debug)]
struct Attempt {
    started: Micros,
    exited: Option<ExitCause>,
}

/// A fake worker on one machine.
///
/// Its state changes only in calls to its methods, and the caller passes in the time. Faults are
/// set in the public fields.
#[derive(Debug)]
pub struct Worker {
    /// The machine, as the cloud lists it.
    pub instance: Instance,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    lease: Micros,
    /// When the latest answered heartbeat was sent, or the incarnation began if there is none.
    lease_renewed_at: Micros,
    attempts: BTreeMap<(TaskId, u64), Attempt>,
    /// Run time of a task.
    pub run_time: Micros,
    /// Jobs whose tasks run until they are stopped.
    pub endless_jobs: BTreeSet<String>,
    /// Seconds until the cloud takes the machine back, if it has given a spot notice.
    pub warning_s: Option<f64>,
    /// Whether tasks with an odd index keep running until this is unset.
    pub odd_tasks_wait: bool,
    /// Whether every task on this machine fails.
    pub fails_all_tasks: bool,
    /// Jobs whose tasks fail wherever they run.
    pub fails_everywhere: BTreeSet<String>,
    /// Whether the worker hangs: its tasks make no progress and answers to its heartbeats are
    /// ignored, but its lease still expires. The caller must not take heartbeats from it or send it
    /// commands.
    pub hung: bool,
    /// Tasks started on this machine, with their start times, in order.
    pub started: Vec<(TaskId, Micros)>,
    /// Tasks completed on this machine, in order.
    pub completed: Vec<TaskId>,
}

impl Worker {
    /// Creates a worker without tasks whose lease starts at `now`.
    pub fn new(instance: Instance, lease: Micros, run_time: Micros, now: Micros) -> Self {
        Worker {
            instance,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease,
            lease_renewed_at: now,
            attempts: BTreeMap::new(),
            run_time,
            endless_jobs: BTreeSet::new(),
            warning_s: None,
            odd_tasks_wait: false,
            fails_all_tasks: false,
            fails_everywhere: BTreeSet::new(),
            hung: false,
            started: Vec::new(),
            completed: Vec::new(),
        }
    }

    /// Returns the current incarnation: 1 plus the number of expired leases.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the tasks that run on the machine.
    pub fn running(&self) -> Vec<TaskId> {
        let running = self.attempts.iter().filter(|(_, a)| a.exited.is_none());
        running.map(|((task, _), _)| task.clone()).collect()
    }

    /// Advances to the time `now`: drops all attempts and starts a new incarnation if the lease has
    /// expired, and ends the tasks that are due. Returns whether the expiry ended running tasks.
    ///
    /// A failing task fails half a second after its start.
    pub fn advance_to(&mut self, now: Micros) -> bool {
        let mut expiry_ended_tasks = false;
        if now.saturating_sub(self.lease_renewed_at) > self.lease {
            expiry_ended_tasks = self.attempts.values().any(|attempt| attempt.exited.is_none());
            self.attempts.clear();
            self.incarnation += 1;
            self.lease_renewed_at = now;
        }
        if self.hung {
            return expiry_ended_tasks;
        }
        let (endless_jobs, odd_tasks_wait) = (&self.endless_jobs, self.odd_tasks_wait);
        let (faulty, fails_everywhere) = (self.fails_all_tasks, &self.fails_everywhere);
        let keeps_running = |task: &TaskId| {
            endless_jobs.contains(&task.job) || (odd_tasks_wait && task.index % 2 == 1)
        };
        for ((task, _), attempt) in self.attempts.iter_mut().filter(|(_, a)| a.exited.is_none()) {
            let fails = faulty || fails_everywhere.contains(&task.job);
            if fails && now >= attempt.started + SECOND / 2 {
                attempt.exited = Some(ExitCause::Error);
            } else if now >= attempt.started + self.run_time && !keeps_running(task) {
                attempt.exited = Some(ExitCause::Done);
                self.completed.push(task.clone());
            }
        }
        expiry_ended_tasks
    }

    /// Returns the next heartbeat with the current state.
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
                .map(|((task, attempt), a)| AttemptStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: if a.exited.is_some() { TaskPhase::Exited } else { TaskPhase::Running },
                    cause: a.exited,
                    kept: None,
                })
                .collect(),
        }
    }

    /// Reports whether a heartbeat contains the current state of all attempts on the machine.
    pub fn is_reported_by(&self, heartbeat: &Heartbeat) -> bool {
        let exited = |t: &AttemptStatus| t.phase == TaskPhase::Exited;
        self.incarnation == heartbeat.incarnation
            && self.fencing_token == heartbeat.fencing_token
            && self.attempts.len() == heartbeat.tasks.len()
            && heartbeat.tasks.iter().all(|t| {
                let known = self.attempts.get(&(t.task.clone(), t.attempt));
                known.is_some_and(|a| a.exited.is_some() == exited(t))
            })
    }

    /// Receives the 200 response to a heartbeat that was sent at `sent` in `incarnation`, renews
    /// the lease and executes the commands.
    ///
    /// Ignores the response if it comes more than 4 s after the heartbeat, belongs to another
    /// incarnation or has a lower fencing token.
    pub fn receive_reply(
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
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        self.execute(&commands.commands, now);
    }

    /// Receives commands sent to its own address.
    ///
    /// Refuses them if they have a lower fencing token or do not name the current incarnation.
    pub fn receive_commands(&mut self, commands: &WorkerCommands, now: Micros) -> WorkerReply {
        if commands.fencing_token < self.fencing_token
            || commands.incarnation != Some(self.incarnation)
        {
            return WorkerReply::Refused(self.heartbeat());
        }
        self.fencing_token = commands.fencing_token;
        self.execute(&commands.commands, now);
        WorkerReply::Status(self.heartbeat())
    }

    /// Starts an attempt unless it is already known. While another attempt at the task runs, it
    /// exits at once with cause `Busy`.
    fn start_attempt(&mut self, task: &TaskId, attempt: u64, now: Micros) {
        let key = (task.clone(), attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let busy = self.attempts.iter().any(|((t, _), a)| t == task && a.exited.is_none());
        let exited = busy.then_some(ExitCause::Busy);
        if exited.is_none() {
            self.started.push((task.clone(), now));
        }
        self.attempts.insert(key, Attempt { started: now, exited });
    }

    fn execute(&mut self, commands: &[WorkerCommand], now: Micros) {
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => self.start_attempt(task, *attempt, now),
                WorkerCommand::Kill { task, attempt, .. } => {
                    if let Some(a) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                        a.exited = a.exited.or(Some(ExitCause::Halted));
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
