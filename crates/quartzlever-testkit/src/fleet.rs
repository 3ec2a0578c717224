//! Up to a few hundred fake workers, all under one lock, with a [`RuleChecker`] that observes the
//! whole fleet after each change. For thousands of workers see [`crate::worker_fleet`].
//!
//! Each worker has a loopback address of its own, all of them served by one listener.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::Instance;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::{Heartbeat, TaskId, WorkerCommands, WorkerReply};
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http::{read_body, respond, serve_at, serve_cloud, test_time};
use crate::repeats::RepeatSchedule;
use crate::rules::{MachineTasks, RuleChecker};
use crate::worker_fleet::{loopback_address, machine_number};
use crate::{Cloud, Worker};

/// Time after which a worker gives up on an unanswered heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Threads that serve calls to the workers.
const WORKER_THREADS: usize = 24;
/// Stack size in bytes of the thread that sends a worker's heartbeats.
const HEARTBEAT_STACK_BYTES: usize = 256 * 1024;

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

/// How long a request to a deaf worker stays open without an answer; longer than any caller waits.
const UNANSWERED_FOR: Duration = Duration::from_secs(4);
/// Interval at which a hung worker is checked for whether it has resumed.
const RESUME_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerFault {
    /// It does nothing and reads nothing. What was sent to it waits until it resumes.
    Hung,
    /// Its heartbeats arrive, but neither answers nor calls reach it.
    Deaf,
    /// Its heartbeats reach no controller, while calls reach it.
    Mute,
    /// Calls to its address are executed later by this time, when the caller no longer waits.
    CallsLate(Duration),
}

/// Counts of what the faults of workers have affected, for tests to check that they took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaultCounts {
    /// Heartbeats that a mute worker did not get through.
    pub lost_heartbeats: usize,
    /// Answers and calls that did not reach a deaf worker.
    pub unheard: usize,
    /// Calls that were executed late, by a hung worker or for [`WorkerFault::CallsLate`].
    pub executed_late: usize,
    /// Late calls that were refused, since the incarnation or the fencing token no longer matched.
    pub refused_late: usize,
    /// Worker leases that expired while tasks ran.
    pub expired_leases: usize,
    /// Copies of executed commands that were executed again.
    pub copies_executed: usize,
    /// Copies of executed commands that were refused.
    pub copies_refused: usize,
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
    /// Workers with a fault.
    faults: BTreeMap<String, WorkerFault>,
    fault_counts: WorkerFaultCounts,
    /// The machine at each address, also after its termination.
    machines_by_address: BTreeMap<String, String>,
    /// Port of the listener that serves all workers, once there is one.
    port: Option<u16>,
}

/// The workers of a test and the rule checker that observes them.
pub struct Fleet {
    state: Mutex<State>,
    controllers: Controllers,
    behaviour: Behaviour,
    start: Instant,
    /// Which executed commands arrive at their worker once more, if any.
    repeats: Mutex<Option<RepeatSchedule>>,
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
            faults: BTreeMap::new(),
            fault_counts: WorkerFaultCounts::default(),
            machines_by_address: BTreeMap::new(),
            port: None,
        };
        Arc::new(Fleet {
            state: Mutex::new(state),
            controllers,
            behaviour,
            start,
            repeats: Mutex::default(),
        })
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
        state.advance_to(now);
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

    /// Returns the names of all machines.
    pub fn machines(&self) -> Vec<String> {
        self.lock().workers.keys().cloned().collect()
    }

    /// Begins a fault of these machines in place of a previous one, or ends it.
    pub fn set_fault(&self, machines: &[String], fault: Option<WorkerFault>) {
        self.update(|state, _| {
            for machine in machines {
                match fault {
                    Some(fault) => state.faults.insert(machine.clone(), fault),
                    None => state.faults.remove(machine),
                };
                if let Some(worker) = state.workers.get_mut(machine) {
                    worker.hung = fault == Some(WorkerFault::Hung);
                }
            }
        });
    }

    /// Lets executed commands arrive at their worker once more from now on.
    pub fn repeat_executed_commands(&self, repeats: RepeatSchedule) {
        *self.repeats.lock().unwrap_or_else(PoisonError::into_inner) = Some(repeats);
    }

    /// Delivers a copy of commands that a worker has just executed after a while, if they are to be
    /// repeated. A hung worker receives it when it resumes.
    fn repeat_executed(self: &Arc<Self>, machine: &str, commands: WorkerCommands) {
        let repeats = self.repeats.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(delay) = repeats.as_ref().and_then(RepeatSchedule::next_delay) else { return };
        drop(repeats);
        let (fleet, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || {
            thread::sleep(delay);
            while fleet.fault_of(&machine) == Some(WorkerFault::Hung) {
                thread::sleep(RESUME_CHECK_INTERVAL);
            }
            fleet.update(|state, now| {
                let Some(worker) = state.workers.get_mut(&machine) else { return };
                match worker.receive_commands(&commands, now) {
                    WorkerReply::Status(_) => state.fault_counts.copies_executed += 1,
                    WorkerReply::Refused(_) => state.fault_counts.copies_refused += 1,
                }
            });
        });
    }

    /// Returns what the faults of workers have affected so far.
    pub fn fault_counts(&self) -> WorkerFaultCounts {
        self.lock().fault_counts
    }

    fn fault_of(&self, machine: &str) -> Option<WorkerFault> {
        self.lock().faults.get(machine).copied()
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
        let thread = thread::Builder::new().stack_size(HEARTBEAT_STACK_BYTES);
        // A worker that cannot be started counts as a machine that never comes up.
        let _ = thread.spawn(move || {
            let _ = self.run_worker(instance);
        });
    }

    /// Returns the port of the listener that serves all workers, and opens it for the first one.
    fn listener_port(self: &Arc<Self>) -> io::Result<u16> {
        let mut state = self.lock();
        if let Some(port) = state.port {
            return Ok(port);
        }
        let fleet = self.clone();
        let any_address = (Ipv4Addr::UNSPECIFIED, 0).into();
        let address =
            serve_at(any_address, WORKER_THREADS, move |request| fleet.dispatch_request(request))?;
        state.port = Some(address.port());
        Ok(address.port())
    }

    /// Passes a request on to the worker at the address to which it was sent.
    fn dispatch_request(self: &Arc<Self>, request: Request) {
        let host = request.headers().iter().find(|header| header.field.equiv("Host"));
        let machine =
            host.and_then(|host| self.lock().machines_by_address.get(host.value.as_str()).cloned());
        match machine {
            Some(machine) => self.handle_request(&machine, request),
            None => drop(request),
        }
    }

    /// Adds a worker and sends its heartbeats until the worker is removed.
    fn run_worker(self: Arc<Self>, mut instance: Instance) -> io::Result<()> {
        let machine = instance.name.clone();
        let port = self.listener_port()?;
        instance.address = format!("{}:{port}", loopback_address(machine_number(&machine)));
        self.lock().machines_by_address.insert(instance.address.clone(), machine.clone());
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

    /// Handles a request to a worker's own address, as the fault of the worker requires.
    fn handle_request(self: &Arc<Self>, machine: &str, request: Request) {
        let Some(fault) = self.fault_of(machine).filter(|fault| *fault != WorkerFault::Mute) else {
            return self.execute_request(machine, request, Lateness::OnTime);
        };
        // The threads of the worker's port serve the requests after this one.
        let (fleet, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || match fault {
            WorkerFault::Hung => {
                while fleet.fault_of(&machine) == Some(WorkerFault::Hung) {
                    thread::sleep(RESUME_CHECK_INTERVAL);
                }
                fleet.execute_request(&machine, request, Lateness::Late);
            }
            WorkerFault::CallsLate(delay) => {
                thread::sleep(delay);
                fleet.execute_request(&machine, request, Lateness::Late);
            }
            WorkerFault::Deaf | WorkerFault::Mute => {
                fleet.lock().fault_counts.unheard += 1;
                thread::sleep(UNANSWERED_FOR);
                drop(request);
            }
        });
    }

    /// Executes a request to a worker's own address.
    fn execute_request(self: &Arc<Self>, machine: &str, mut request: Request, lateness: Lateness) {
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
            let reply = serde_json::from_slice::<WorkerCommands>(&body)
                .map(|commands| worker.receive_commands(&commands, now));
            if lateness == Lateness::Late {
                let refused = matches!(reply, Ok(WorkerReply::Refused(_)));
                state.fault_counts.refused_late += usize::from(refused);
                state.fault_counts.executed_late += usize::from(!refused);
            }
            Some(reply)
        });
        if let Some(Ok(WorkerReply::Status(_))) = &reply
            && let Ok(commands) = serde_json::from_slice::<WorkerCommands>(&body)
        {
            self.repeat_executed(machine, commands);
        }
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
            match self.fault_of(machine) {
                Some(WorkerFault::Hung) => {
                    thread::sleep(RESUME_CHECK_INTERVAL);
                    // The cloud may terminate a machine that hangs.
                    if self.lock().workers.contains_key(machine) {
                        continue;
                    }
                    return;
                }
                Some(WorkerFault::Mute) => {
                    self.lock().fault_counts.lost_heartbeats += 1;
                    target += 1;
                    thread::sleep(Duration::from_secs(1));
                    continue;
                }
                Some(WorkerFault::Deaf | WorkerFault::CallsLate(_)) | None => {}
            }
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
                if self.fault_of(&heartbeat.machine) == Some(WorkerFault::Deaf) {
                    self.lock().fault_counts.unheard += 1;
                    thread::sleep(UNANSWERED_FOR);
                    *target += 1;
                    return;
                }
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

/// Whether a call reaches its worker while the caller still waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lateness {
    OnTime,
    Late,
}

impl State {
    /// Advances the workers to the present time.
    fn advance_to(&mut self, now: Micros) {
        for worker in self.workers.values_mut() {
            self.fault_counts.expired_leases += usize::from(worker.advance_to(now));
        }
    }

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
