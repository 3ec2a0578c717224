//! A few fake workers on loopback ports, all under one lock, with a [`RuleChecker`] that is shown the
//! whole fleet after each change. For thousands of workers see [`crate::worker_fleet`].

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::Instance;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::{Heartbeat, TaskId, WorkerCommands, WorkerReply};
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http::{body_of, listen, micros, respond, serve_cloud};
use crate::rules::{MachineTasks, RuleChecker};
use crate::{Cloud, Worker};

/// A worker gives up on a heartbeat after this time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
const WORKER_THREADS: usize = 2;

/// How the workers of a fleet behave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time between heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// Every second machine carries out calls to its own address only after this time.
    pub slow_calls: Duration,
    /// How long a worker runs its tasks without an answer to its heartbeats.
    pub lease: Micros,
    /// How long a task runs.
    pub run_time: Micros,
}

/// Controllers by name, where workers report.
pub type Controllers = Arc<Mutex<Vec<(String, SocketAddr)>>>;

struct State {
    workers: BTreeMap<String, Worker>,
    rules: RuleChecker,
    endless: BTreeSet<String>,
    /// Machines that were returned, some of them before they were up.
    returned: BTreeSet<String>,
    /// How many starts and ends of each worker the checker has been shown.
    starts_shown: BTreeMap<String, usize>,
    ends_shown: BTreeMap<String, usize>,
}

/// The workers of a test and what they did.
pub struct Fleet {
    state: Mutex<State>,
    controllers: Controllers,
    behaviour: Behaviour,
    begin: Instant,
}

impl Fleet {
    /// A fleet without workers.
    pub fn new(
        rules: RuleChecker,
        controllers: Controllers,
        behaviour: Behaviour,
        begin: Instant,
    ) -> Arc<Fleet> {
        let state = State {
            workers: BTreeMap::new(),
            rules,
            endless: BTreeSet::new(),
            returned: BTreeSet::new(),
            starts_shown: BTreeMap::new(),
            ends_shown: BTreeMap::new(),
        };
        Arc::new(Fleet { state: Mutex::new(state), controllers, behaviour, begin })
    }

    /// Serves a cloud whose machines are the workers of this fleet.
    pub fn serve_cloud(self: &Arc<Self>, cloud: Cloud) -> io::Result<SocketAddr> {
        let (leaving, joining) = (self.clone(), self.clone());
        serve_cloud(
            Arc::new(Mutex::new(cloud)),
            move |machine| leaving.leave(machine),
            move |instance| joining.clone().join(instance),
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere is reported by the test that it ended.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a change at one moment, after what time alone has changed, and shows the checker all
    /// that came of it.
    fn change<T>(&self, change: impl FnOnce(&mut State, Micros) -> T) -> T {
        let mut state = self.lock();
        let now = micros(self.begin);
        for worker in state.workers.values_mut() {
            worker.advance_to(now);
        }
        state.show_ends();
        let result = change(&mut state, now);
        state.show_starts(now);
        result
    }

    /// Lets time pass, and the checker look.
    pub fn observe(&self) {
        self.change(|_, _| ());
    }

    /// Tells or asks the checker something.
    pub fn rules<T>(&self, work: impl FnOnce(&mut RuleChecker, Micros) -> T) -> T {
        self.change(|state, now| work(&mut state.rules, now))
    }

    /// The tasks of this job run until they are stopped.
    pub fn never_ends(&self, spec: &JobSpec) {
        self.change(|state, _| {
            state.endless.insert(spec.id.clone());
            for worker in state.workers.values_mut() {
                worker.endless.insert(spec.id.clone());
            }
        });
    }

    /// How many tasks of a job are on machines.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let of_job = |task: &&TaskId| task.job == job;
        state.workers.values().map(|w| w.running().iter().filter(of_job).count()).sum()
    }

    /// A machine that runs tasks stops for good, if there is one.
    pub fn fail_busy_machine(&self) {
        self.change(|state, _| {
            let busy = state.workers.iter().find(|(_, worker)| !worker.running().is_empty());
            if let Some(machine) = busy.map(|(machine, _)| machine.clone()) {
                state.workers.remove(&machine);
            }
        });
    }

    fn leave(&self, machine: &str) {
        self.change(|state, _| {
            state.workers.remove(machine);
            state.returned.insert(machine.to_owned());
        });
    }

    fn join(self: Arc<Self>, instance: Instance) {
        thread::spawn(move || {
            // A worker that cannot serve its port is a machine that never comes up.
            let _ = self.serve_worker(instance);
        });
    }

    fn serve_worker(self: Arc<Self>, mut instance: Instance) -> io::Result<()> {
        let machine = instance.name.clone();
        let (fleet, name) = (self.clone(), machine.clone());
        let address = listen(WORKER_THREADS, move |request| fleet.command(&name, request))?;
        instance.address = address.to_string();
        self.change(|state, now| {
            let mut worker =
                Worker::new(instance, self.behaviour.lease, self.behaviour.run_time, now);
            worker.endless = state.endless.clone();
            if !state.returned.contains(&machine) {
                state.workers.insert(machine.clone(), worker);
            }
        });
        self.report_until_returned(&machine);
        Ok(())
    }

    /// A call to the worker's own address.
    fn command(&self, machine: &str, mut request: Request) {
        let body = body_of(&mut request);
        if machine.ends_with(['1', '3', '5', '7', '9']) {
            thread::sleep(self.behaviour.slow_calls);
        }
        let is_status = request.url() == "/status";
        let reply = self.change(|state, now| {
            let worker = state.workers.get_mut(machine)?;
            if is_status {
                return Some(Ok(WorkerReply::Status(worker.heartbeat())));
            }
            Some(
                serde_json::from_slice::<WorkerCommands>(&body)
                    .map(|commands| worker.command(&commands, now)),
            )
        });
        match reply {
            Some(Ok(WorkerReply::Status(heartbeat))) => respond(request, 200, &json!(heartbeat)),
            Some(Ok(WorkerReply::Refused(heartbeat))) => respond(request, 409, &json!(heartbeat)),
            Some(Err(_)) => respond(request, 400, &json!({})),
            // The machine is gone: the connection closes without an answer.
            None => drop(request),
        }
    }

    fn report_until_returned(&self, machine: &str) {
        let agent = ureq::AgentBuilder::new().timeout(HEARTBEAT_TIMEOUT).build();
        let mut target = 0;
        loop {
            let heartbeat = self.change(|state, now| {
                let worker = state.workers.get_mut(machine)?;
                Some((worker.heartbeat(), now))
            });
            let Some((heartbeat, sent)) = heartbeat else { return };
            self.send_report(&agent, &mut target, &heartbeat, sent);
            thread::sleep(self.behaviour.heartbeat_interval);
        }
    }

    fn send_report(
        &self,
        agent: &ureq::Agent,
        target: &mut usize,
        heartbeat: &Heartbeat,
        sent: Micros,
    ) {
        let controllers = self.controllers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some((_, address)) = controllers.get(*target % controllers.len()) else {
            return;
        };
        match agent
            .post(&format!("http://{address}/hello"))
            .send_string(&json!(heartbeat).to_string())
        {
            Ok(response) => {
                let text = response.into_string().unwrap_or_default();
                let Ok(commands) = serde_json::from_str::<WorkerCommands>(&text) else { return };
                self.change(|state, now| {
                    if let Some(worker) = state.workers.get_mut(&heartbeat.machine) {
                        worker.answered(&commands, sent, heartbeat.incarnation, now);
                    }
                });
            }
            Err(ureq::Error::Status(421, response)) => {
                let text = response.into_string().unwrap_or_default();
                let body: Value = serde_json::from_str(&text).unwrap_or_default();
                let named = controllers.iter().position(|(name, _)| body["steward"] == **name);
                *target = named.unwrap_or(*target + 1);
            }
            Err(_) => *target += 1,
        }
    }
}

impl State {
    fn show_ends(&mut self) {
        for (machine, worker) in &self.workers {
            let shown = self.ends_shown.entry(machine.clone()).or_default();
            for task in &worker.completed[*shown..] {
                self.rules.task_completed(task);
            }
            *shown = worker.completed.len();
        }
    }

    fn show_starts(&mut self, now: Micros) {
        let machines: Vec<MachineTasks> = self.workers.values().map(machine_tasks).collect();
        self.rules.machines(now, &machines);
        for (machine, worker) in &self.workers {
            let shown = self.starts_shown.entry(machine.clone()).or_default();
            for (task, at) in &worker.started[*shown..] {
                self.rules.task_started(*at, task, machine, &machines);
            }
            *shown = worker.started.len();
        }
    }
}

fn machine_tasks(worker: &Worker) -> MachineTasks {
    MachineTasks {
        machine: worker.instance.name.clone(),
        machine_type: worker.instance.machine_type.clone(),
        zone: worker.instance.zone.clone(),
        spot: worker.instance.spot,
        tasks: worker.running(),
    }
}
