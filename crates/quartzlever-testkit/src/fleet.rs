//! A few fake workers on loopback ports, all under one lock, with a [`RuleChecker`] that observes
//! the whole fleet after each change. For thousands of workers see [`crate::worker_fleet`].

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

use crate::http::{read_body, respond, serve, serve_cloud, test_time};
use crate::rules::{MachineTasks, RuleChecker};
use crate::{Cloud, Worker};

/// Time after which a worker gives up on an unanswered heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Threads that serve calls to the port of one worker.
const WORKER_THREADS: usize = 2;

/// Timing of the workers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Interval between the heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// Delay before machines with an odd number execute a call to their own address.
    pub slow_calls: Duration,
    /// Lease of a worker: how long it keeps its tasks running without an answer to its heartbeats.
    pub lease: Micros,
    /// Run time of a task.
    pub run_time: Micros,
}

/// Names and API addresses of the controllers that workers send heartbeats to.
pub type Controllers = Arc<Mutex<Vec<(String, SocketAddr)>>>;

struct State {
    workers: BTreeMap<String, Worker>,
    rules: RuleChecker,
    /// Jobs whose tasks run until they are stopped.
    endless_jobs: BTreeSet<String>,
    /// Terminated machines, some of which were terminated before their worker had started.
    terminated: BTreeSet<String>,
    /// Per worker, the number of task starts that the checker has seen.
    observed_starts: BTreeMap<String, usize>,
    /// Per worker, the number of completed tasks that the checker has seen.
    observed_completions: BTreeMap<String, usize>,
}

/// The workers of a test and the rule checker that observes them.
pub struct Fleet {
    state: Mutex<State>,
    controllers: Controllers,
    behaviour: Behaviour,
    start: Instant,
}

impl Fleet {
    /// Creates a fleet without workers. `start` is the instant from which the test counts time.
    pub fn new(
        rules: RuleChecker,
        controllers: Controllers,
        behaviour: Behaviour,
        start: Instant,
    ) -> Arc<Fleet> {
        let state = State {
            workers: BTreeMap::new(),
            rules,
            endless_jobs: BTreeSet::new(),
            terminated: BTreeSet::new(),
            observed_starts: BTreeMap::new(),
            observed_completions: BTreeMap::new(),
        };
        Arc::new(Fleet { state: Mutex::new(state), controllers, behaviour, start })
    }

    /// Serves a cloud at a new loopback port: a launched machine becomes a worker of this fleet,
    /// and a terminated one leaves it.
    pub fn serve_cloud(self: &Arc<Self>, cloud: Cloud) -> io::Result<SocketAddr> {
        let (terminating, launching) = (self.clone(), self.clone());
        serve_cloud(
            Arc::new(Mutex::new(cloud)),
            move |machine| terminating.remove_worker(machine),
            move |instance| launching.clone().start_worker(instance),
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in another thread fails the test there, so poisoning is ignored here.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change to the fleet under the lock.
    ///
    /// The workers are advanced to the current time first. The checker sees the tasks completed by
    /// then before the change, and the state of all machines and the started tasks after it.
    fn update<T>(&self, change: impl FnOnce(&mut State, Micros) -> T) -> T {
        let mut state = self.lock();
        let now = test_time(self.start);
        for worker in state.workers.values_mut() {
            worker.advance_to(now);
        }
        state.observe_completions();
        let result = change(&mut state, now);
        state.observe_machines_and_starts(now);
        result
    }

    /// Advances the workers to the current time and checks the rules.
    pub fn observe(&self) {
        self.update(|_, _| ());
    }

    /// Calls `work` with the checker and the current time.
    pub fn rules<T>(&self, work: impl FnOnce(&mut RuleChecker, Micros) -> T) -> T {
        self.update(|state, now| work(&mut state.rules, now))
    }

    /// Makes the tasks of this job run until they are stopped, on all workers current and future.
    pub fn run_tasks_until_stopped(&self, spec: &JobSpec) {
        self.update(|state, _| {
            state.endless_jobs.insert(spec.id.clone());
            for worker in state.workers.values_mut() {
                worker.endless_jobs.insert(spec.id.clone());
            }
        });
    }

    /// Returns the number of running tasks of a job.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let of_job = |task: &&TaskId| task.job == job;
        state.workers.values().map(|w| w.running().iter().filter(of_job).count()).sum()
    }

    /// Makes one machine that runs tasks fail permanently, if there is one.
    pub fn fail_busy_machine(&self) {
        self.update(|state, _| {
            let busy = state.workers.iter().find(|(_, worker)| !worker.running().is_empty());
            if let Some(machine) = busy.map(|(machine, _)| machine.clone()) {
                state.workers.remove(&machine);
            }
        });
    }

    fn remove_worker(&self, machine: &str) {
        self.update(|state, _| {
            state.workers.remove(machine);
            state.terminated.insert(machine.to_owned());
        });
    }

    fn start_worker(self: Arc<Self>, instance: Instance) {
        thread::spawn(move || {
            // A worker that cannot open its port counts as a machine that never starts.
            let _ = self.serve_worker(instance);
        });
    }

    /// Serves a worker at a new port and sends its heartbeats until the worker is removed.
    fn serve_worker(self: Arc<Self>, mut instance: Instance) -> io::Result<()> {
        let machine = instance.name.clone();
        let (fleet, name) = (self.clone(), machine.clone());
        let address = serve(WORKER_THREADS, move |request| fleet.handle_request(&name, request))?;
        instance.address = address.to_string();
        self.update(|state, now| {
            let mut worker =
                Worker::new(instance, self.behaviour.lease, self.behaviour.run_time, now);
            worker.endless_jobs = state.endless_jobs.clone();
            if !state.terminated.contains(&machine) {
                state.workers.insert(machine.clone(), worker);
            }
        });
        self.send_heartbeats_until_terminated(&machine);
        Ok(())
    }

    /// Handles a request to a worker's own address.
    fn handle_request(&self, machine: &str, mut request: Request) {
        let body = read_body(&mut request);
        if machine.ends_with(['1', '3', '5', '7', '9']) {
            thread::sleep(self.behaviour.slow_calls);
        }
        let is_status = request.url() == "/status";
        let reply = self.update(|state, now| {
            let worker = state.workers.get_mut(machine)?;
            if is_status {
                return Some(Ok(WorkerReply::Status(worker.heartbeat())));
            }
            Some(
                serde_json::from_slice::<WorkerCommands>(&body)
                    .map(|commands| worker.receive_commands(&commands, now)),
            )
        });
        match reply {
            Some(Ok(WorkerReply::Status(heartbeat))) => respond(request, 200, &json!(heartbeat)),
            Some(Ok(WorkerReply::Refused(heartbeat))) => respond(request, 409, &json!(heartbeat)),
            Some(Err(_)) => respond(request, 400, &json!({})),
            // The machine no longer exists: the connection closes without a response.
            None => drop(request),
        }
    }

    /// Sends the heartbeats of a worker until the worker is removed.
    fn send_heartbeats_until_terminated(&self, machine: &str) {
        let agent = ureq::AgentBuilder::new().timeout(HEARTBEAT_TIMEOUT).build();
        let mut target = 0;
        loop {
            let heartbeat = self.update(|state, now| {
                let worker = state.workers.get_mut(machine)?;
                Some((worker.heartbeat(), now))
            });
            let Some((heartbeat, sent)) = heartbeat else { return };
            self.send_heartbeat(&agent, &mut target, &heartbeat, sent);
            thread::sleep(self.behaviour.heartbeat_interval);
        }
    }

    /// Sends one heartbeat to the controller at index `target`.
    ///
    /// A 421 response moves `target` to the controller that it names. If that controller is
    /// unknown, and after any other failure, `target` moves to the next one.
    fn send_heartbeat(
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
                self.update(|state, now| {
                    if let Some(worker) = state.workers.get_mut(&heartbeat.machine) {
                        worker.receive_reply(&commands, sent, heartbeat.incarnation, now);
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
    /// Passes newly completed tasks to the checker.
    fn observe_completions(&mut self) {
        for (machine, worker) in &self.workers {
            let observed = self.observed_completions.entry(machine.clone()).or_default();
            for task in &worker.completed[*observed..] {
                self.rules.record_task_completion(task);
            }
            *observed = worker.completed.len();
        }
    }

    /// Passes the state of all machines and newly started tasks to the checker.
    fn observe_machines_and_starts(&mut self, now: Micros) {
        let machines: Vec<MachineTasks> = self.workers.values().map(machine_tasks).collect();
        self.rules.check_machines(now, &machines);
        for (machine, worker) in &self.workers {
            let observed = self.observed_starts.entry(machine.clone()).or_default();
            for (task, at) in &worker.started[*observed..] {
                self.rules.record_task_start(*at, task, machine, &machines);
            }
            *observed = worker.started.len();
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
