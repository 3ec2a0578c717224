//! A worker: sessions, tokens, its lease, and tasks that take a fixed time.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::Rental;
use quartzlever_wire::workers::{
    Cause, Order, Orders, Report, TaskId, TaskPhase, TaskReport, WorkerReply,
};
use quartzlever_wire::{Micros, SECOND};

/// One attempt on the worker.
#[derive(Clone, Debug)]
struct Attempt {
    started: Micros,
    exited: Option<Cause>,
}

/// A worker of one machine.
#[derive(Debug)]
pub struct Worker {
    pub rental: Rental,
    session: u64,
    tick: u64,
    baton: u64,
    lease: Micros,
    /// When the last answered report was sent, or the session began.
    renewed: Micros,
    attempts: BTreeMap<(TaskId, u64), Attempt>,
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
    pub mistaken: BTreeSet<String>,
    /// Executes nothing and says nothing.
    pub hung: bool,
    /// Tasks that were started here, in order.
    pub started: Vec<(TaskId, Micros)>,
    /// Tasks that ran to their end here, in order.
    pub completed: Vec<TaskId>,
}

impl Worker {
    pub fn new(rental: Rental, lease: Micros, run_time: Micros, now: Micros) -> Self {
        Worker {
            rental,
            session: 1,
            tick: 0,
            baton: 0,
            lease,
            renewed: now,
            attempts: BTreeMap::new(),
            run_time,
            endless: BTreeSet::new(),
            warning_s: None,
            odd_tasks_wait: false,
            faulty: false,
            mistaken: BTreeSet::new(),
            hung: false,
            started: Vec::new(),
            completed: Vec::new(),
        }
    }

    pub fn session(&self) -> u64 {
        self.session
    }

    /// Tasks that are on the machine now.
    pub fn running(&self) -> Vec<TaskId> {
        let on = self.attempts.iter().filter(|(_, a)| a.exited.is_none());
        on.map(|((task, _), _)| task.clone()).collect()
    }

    /// Lets time pass: ends tasks, and the session when the lease has run out.
    pub fn pass(&mut self, now: Micros) {
        if now.saturating_sub(self.renewed) > self.lease {
            self.attempts.clear();
            self.session += 1;
            self.renewed = now;
        }
        if self.hung {
            return;
        }
        let (endless, odd_tasks_wait) = (&self.endless, self.odd_tasks_wait);
        let (faulty, mistaken) = (self.faulty, &self.mistaken);
        let waits =
            |task: &TaskId| endless.contains(&task.job) || (odd_tasks_wait && task.index % 2 == 1);
        for ((task, _), attempt) in self.attempts.iter_mut().filter(|(_, a)| a.exited.is_none()) {
            let fails = faulty || mistaken.contains(&task.job);
            if fails && now >= attempt.started + SECOND / 2 {
                attempt.exited = Some(Cause::Error);
            } else if now >= attempt.started + self.run_time && !waits(task) {
                attempt.exited = Some(Cause::Done);
                self.completed.push(task.clone());
            }
        }
    }

    /// A report as it stands.
    pub fn report(&mut self) -> Report {
        self.tick += 1;
        Report {
            host: self.rental.name.clone(),
            address: self.rental.address.clone(),
            kind: self.rental.kind.clone(),
            zone: self.rental.zone.clone(),
            spot: self.rental.spot,
            session: self.session,
            tick: self.tick,
            baton: self.baton,
            warning_s: self.warning_s,
            tasks: self
                .attempts
                .iter()
                .map(|((task, attempt), a)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: if a.exited.is_some() { TaskPhase::Exited } else { TaskPhase::Running },
                    cause: a.exited,
                    kept: None,
                })
                .collect(),
        }
    }

    /// Whether a report told of everything that is on the machine now.
    pub fn told(&self, report: &Report) -> bool {
        let exited = |t: &TaskReport| t.phase == TaskPhase::Exited;
        self.session == report.session
            && self.baton == report.baton
            && self.attempts.len() == report.tasks.len()
            && report.tasks.iter().all(|t| {
                let known = self.attempts.get(&(t.task.clone(), t.attempt));
                known.is_some_and(|a| a.exited.is_some() == exited(t))
            })
    }

    /// The 200 to a report that was sent at `sent` in session `session`.
    pub fn answered(&mut self, orders: &Orders, sent: Micros, session: u64, now: Micros) {
        let late = now.saturating_sub(sent) > 4 * SECOND;
        if self.hung || late || session != self.session || orders.baton < self.baton {
            return;
        }
        self.baton = orders.baton;
        self.renewed = self.renewed.max(sent);
        self.execute(&orders.orders, now);
    }

    /// A direct command.
    pub fn command(&mut self, orders: &Orders, now: Micros) -> WorkerReply {
        if orders.baton < self.baton || orders.session != Some(self.session) {
            return WorkerReply::Refused(self.report());
        }
        self.baton = orders.baton;
        self.execute(&orders.orders, now);
        WorkerReply::Report(self.report())
    }

    fn execute(&mut self, orders: &[Order], now: Micros) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.attempts.contains_key(&key) {
                        continue;
                    }
                    let twin =
                        self.attempts.iter().any(|((t, _), a)| t == task && a.exited.is_none());
                    let exited = twin.then_some(Cause::Busy);
                    if exited.is_none() {
                        self.started.push((task.clone(), now));
                    }
                    self.attempts.insert(key, Attempt { started: now, exited });
                }
                Order::Kill { task, attempt, .. } => {
                    if let Some(a) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                        a.exited = a.exited.or(Some(Cause::Halted));
                    }
                }
                Order::Clear { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.attempts.get(&key).is_some_and(|a| a.exited.is_some()) {
                        self.attempts.remove(&key);
                    }
                }
            }
        }
    }
}
