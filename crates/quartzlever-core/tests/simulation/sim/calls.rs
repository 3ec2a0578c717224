//! Execution of the calls of controllers, their answers, and their injected faults.

use super::*;

/// Shortest and longest time after which a copy of an executed request arrives.
const REQUEST_COPY_DELAY: std::ops::Range<Micros> = SECOND / 10..2 * LEASE;
/// Time within which the kept copies arrive once their sender is killed.
const KEPT_COPY_DELAY: Micros = SECOND;

/// A fault of one call of a controller, or of the controller when it makes the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call is refused and not executed.
    Refused,
    /// The call is executed and its answer is lost.
    AnswerLost,
    /// The call times out and is executed seconds later.
    ExecutedLate,
    /// The answer arrives after more than three seconds.
    AnswerLate,
    /// The call is executed a second time, seconds later.
    ExecutedTwice,
    /// The controller crashes before it sends the call, and restarts after a fraction of a second.
    CrashBeforeCall,
    /// The controller crashes while the call is in flight, and restarts after a fraction of a
    /// second.
    CrashAfterCall,
    /// The controller is paused for longer than the lifetime of its lease.
    ControllerPaused,
}

impl CallFault {
    pub const ALL: [CallFault; 8] = [
        CallFault::Refused,
        CallFault::AnswerLost,
        CallFault::ExecutedLate,
        CallFault::AnswerLate,
        CallFault::ExecutedTwice,
        CallFault::CrashBeforeCall,
        CallFault::CrashAfterCall,
        CallFault::ControllerPaused,
    ];
}

/// Delay of a late execution of a call.
const LATE_EXECUTION_DELAY: Micros = 6 * SECOND;
/// Time after which a caller gives up a call.
const CALL_TIMEOUT: Micros = 1_500_000;
/// Longest additional delay of a slow answer, which its caller still waits for.
const MAX_ANSWER_DELAY: Micros = SECOND;
/// Additional delay of a late answer.
const LATE_ANSWER_DELAY: Micros = 3_200_000;
/// Time from a crash of a controller to its restart.
const RESTART_DELAY: Micros = SECOND / 5;
/// Duration of a pause of a controller; longer than the lifetime of a lease.
const PAUSE: Micros = 9 * SECOND;

impl Simulation {
    /// Delivers a due message; input for controllers is added to their batches for this step.
    pub(super) fn deliver(
        &mut self,
        message: Message,
        batches: &mut BTreeMap<usize, Vec<Command>>,
    ) {
        let now = self.now;
        match message {
            Message::ToNode(n, epoch, command) => {
                if self.paused.contains(&n) {
                    self.schedule(STEP, Message::ToNode(n, epoch, command));
                } else if self.cores[n].is_some() && self.epochs[n] == epoch {
                    batches.entry(n).or_default().push(*command);
                }
            }
            Message::StoreCall(n, epoch, call_id, call, lost) => {
                let refused = Err(CallError::Refused);
                let refused_by_store = self.refused_by_store.contains(&n);
                self.counts.refused_one_node += usize::from(refused_by_store && !self.store.outage);
                self.counts.refused_all_nodes += usize::from(self.store.outage);
                let mut result =
                    if refused_by_store { refused } else { self.store.call(now, &call) };
                let mut delay = self.draw_latency() + self.store_latency / 2;
                let unanswered = matches!(call, StoreCall::Txn(_))
                    && matches!(result, Ok(StoreReply::Committed(_)))
                    && self.rng.random_range(0..100) < self.fault_rates.unanswered_txns;
                self.counts.unanswered_txns += usize::from(unanswered);
                if self.fault_rates.slow_answers > 0 && self.chance(self.fault_rates.slow_answers) {
                    delay += self.rng.random_range(0..MAX_ANSWER_DELAY);
                    self.counts.slow_answers += 1;
                }
                if lost || unanswered {
                    result = Err(CallError::Unknown);
                    delay = 1_500_000;
                }
                // A copy of a transaction that conflicted may find its conditions fulfilled later.
                if let (StoreCall::Txn(txn), Ok(_)) = (&call, &result) {
                    self.draw_request_copies(n, &RequestCopy::Txn(txn.clone()));
                }
                let command = Command::StoreReply { call_id, result };
                self.schedule(delay, Message::ToNode(n, epoch, Box::new(command)));
            }
            Message::WorkerCall(n, epoch, call_id, address, call, lost) => {
                let name = address.trim_end_matches(":9000").to_owned();
                let severed = self.severed_links.contains(&(n, name.clone()))
                    || self.unreachable_machines.contains(&name);
                let result = match self.workers.get_mut(&name) {
                    Some(worker) if !worker.hung && !severed => Ok(match &call {
                        WorkerCall::Status => WorkerReply::Status(worker.heartbeat()),
                        WorkerCall::Command(commands) => worker.receive_commands(commands, now),
                    }),
                    Some(_) => {
                        // The call is delivered later, when the machine or the network may be back.
                        self.schedule(8 * SECOND, Message::LateWorkerCall(address, call.clone()));
                        Err(CallError::Unknown)
                    }
                    None => Err(CallError::Refused),
                };
                if let (Ok(WorkerReply::Status(_)), WorkerCall::Command(commands)) = (&result, call)
                {
                    self.draw_request_copies(
                        n,
                        &RequestCopy::Commands(name.clone(), commands.clone()),
                    );
                    self.executed_commands.push((name, commands));
                }
                let result = if lost { Err(CallError::Unknown) } else { result };
                let delay = if result.is_err() { 2 * SECOND } else { self.draw_latency() };
                let command = Command::WorkerReply { call_id, result };
                self.schedule(delay, Message::ToNode(n, epoch, Box::new(command)));
            }
            Message::HeartbeatReply(n, name, commands, sent, incarnation) => {
                if self.severed_links.contains(&(n, name.clone())) {
                    return;
                }
                if self.unreachable_machines.contains(&name) {
                    self.counts.lost_replies += 1;
                    return;
                }
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.receive_reply(&commands, sent, incarnation, now);
                }
            }
            Message::LateStoreCall(call) => match self.store.call(now, &call) {
                Ok(StoreReply::Committed(_)) => self.counts.late_committed += 1,
                _ => self.counts.late_conflicts += 1,
            },
            Message::HeartbeatCopy(nodes, heartbeat) => {
                for n in nodes {
                    self.last_request += 1;
                    let id = self.last_request;
                    let command = Command::Heartbeat { id, heartbeat: (*heartbeat).clone() };
                    if self.cores[n].is_some() && !self.paused.contains(&n) {
                        self.counts.heartbeat_copies += 1;
                        batches.entry(n).or_default().push(command);
                    }
                }
            }
            Message::LateCloudCall(call) => {
                self.call_cloud(&call);
            }
            Message::RequestCopy(copy) => self.deliver_request_copy(copy),
            Message::Start(n) => {
                if self.cores[n].is_none() {
                    self.start(n);
                }
            }
            Message::Resume(n) => {
                self.paused.remove(&n);
            }
            Message::LateWorkerCall(address, call) => {
                let name = address.trim_end_matches(":9000").to_owned();
                if let (Some(worker), WorkerCall::Command(commands)) =
                    (self.workers.get_mut(&name), &call)
                {
                    match worker.receive_commands(commands, now) {
                        WorkerReply::Refused(_) => self.counts.delayed_refused += 1,
                        WorkerReply::Status(_) => self.counts.delayed_executed += 1,
                    }
                }
            }
        }
    }

    /// Draws whether copies of an executed request of node `n` arrive later, or when it is killed.
    fn draw_request_copies(&mut self, n: usize, copy: &RequestCopy) {
        let FaultRates { request_copies, request_copies_for_restart, .. } = self.fault_rates;
        if request_copies > 0 && self.chance(request_copies) {
            let delay = self.rng.random_range(REQUEST_COPY_DELAY);
            self.schedule(delay, Message::RequestCopy(copy.clone()));
        }
        if request_copies_for_restart > 0 && self.chance(request_copies_for_restart) {
            self.kept_request_copies.push((n, copy.clone()));
        }
    }

    /// Schedules the kept copies of the requests of a node that has just been killed.
    pub(super) fn schedule_kept_request_copies(&mut self, n: usize) {
        let kept = std::mem::take(&mut self.kept_request_copies);
        let (due, rest): (Vec<_>, Vec<_>) = kept.into_iter().partition(|(sender, _)| *sender == n);
        self.kept_request_copies = rest;
        for (_, copy) in due {
            let delay = self.rng.random_range(0..KEPT_COPY_DELAY);
            self.schedule(delay, Message::RequestCopy(copy));
        }
    }

    /// Executes a copy of a request. Nobody waits for the answer. A machine that hangs receives it
    /// once it goes on.
    fn deliver_request_copy(&mut self, copy: RequestCopy) {
        let now = self.now;
        match &copy {
            RequestCopy::Txn(txn) => match self.store.call(now, &StoreCall::Txn(txn.clone())) {
                Ok(StoreReply::Committed(_)) => self.counts.txn_copies_committed += 1,
                _ => self.counts.txn_copies_refused += 1,
            },
            RequestCopy::Commands(machine, commands) => match self.workers.get_mut(machine) {
                Some(worker) if worker.hung => self.schedule(SECOND, Message::RequestCopy(copy)),
                Some(worker) => match worker.receive_commands(commands, now) {
                    WorkerReply::Status(_) => self.counts.command_copies_executed += 1,
                    WorkerReply::Refused(_) => self.counts.command_copies_refused += 1,
                },
                None => {}
            },
        }
    }

    /// Delivers every direct command that was executed so far once more, in the order of their
    /// execution or in the reverse order, and returns the tasks that this started.
    pub fn repeat_executed_commands(&mut self, reversed: bool) -> Vec<String> {
        let mut commands = self.executed_commands.clone();
        if reversed {
            commands.reverse();
        }
        let mut started = Vec::new();
        for (machine, commands) in commands {
            let Some(worker) = self.workers.get_mut(&machine).filter(|worker| !worker.hung) else {
                continue;
            };
            let before = worker.started.len();
            worker.receive_commands(&commands, self.now);
            let new_starts = &worker.started[before..];
            started.extend(new_starts.iter().map(|(task, _)| format!("{task} on {machine}")));
        }
        started
    }

    /// Executes a call to the cloud, and lets new machines boot.
    pub(super) fn call_cloud(&mut self, call: &CloudCall) -> CloudReply {
        let reply = self.cloud.call(call);
        if let CloudReply::ScaledOut(machines) = &reply {
            for machine in machines {
                let instance = self.cloud.machines.get(machine).cloned();
                if let Some(instance) = instance.filter(|_| !self.workers.contains_key(machine)) {
                    let mut worker = Worker::new(instance, LEASE, self.run_time, self.now);
                    worker.odd_tasks_wait = self.odd_tasks_wait;
                    worker.fails_everywhere = self.fails_everywhere.clone();
                    self.workers.insert(machine.clone(), worker);
                    if self.boot_failure_percent > 0
                        && self.rng.random_range(0..100) < self.boot_failure_percent
                    {
                        self.counts.failed_boots += 1;
                        continue;
                    }
                    let first = self.rng.random_range(0..self.cores.len());
                    let at = self.now + self.boot_time;
                    self.next_heartbeat.insert(machine.clone(), (first, at));
                }
            }
        }
        reply
    }

    /// Answers the watches that have changes to report, are too old or have run out.
    pub(super) fn poll_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let call = StoreCall::Watch { from: watch.from, hold_ms: 0 };
            let result = self.store.call(self.now, &call);
            let ready = match &result {
                Ok(StoreReply::Watched(answer)) => !answer.log.is_empty() || self.now >= watch.end,
                Ok(StoreReply::TooOld) => true,
                _ => false,
            };
            let ready = ready && !self.refused_by_store.contains(&watch.node);
            if ready && self.epochs[watch.node] == watch.epoch {
                // The changes of a watch may arrive much later than newer answers to calls.
                let command = Command::StoreReply { call_id: watch.call_id, result };
                let delay = if self.rng.random() { 0 } else { self.rng.random_range(0..SECOND) };
                let delay = delay + self.watch_latency;
                self.schedule(delay, Message::ToNode(watch.node, watch.epoch, Box::new(command)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    /// Executes the effects of a controller, up to a crash of it.
    pub(super) fn execute_all(&mut self, n: usize, effects: Vec<Effect>) {
        self.digest.add(n, self.now, &effects);
        let epoch = self.epochs[n];
        for effect in effects {
            if self.epochs[n] == epoch {
                self.execute(n, effect);
            }
        }
    }

    /// Counts an effect that is a call, and returns the fault set for its number.
    pub(super) fn count_call(&mut self, effect: &Effect) -> Option<CallFault> {
        let is_call = matches!(
            effect,
            Effect::Store { .. }
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

    /// Schedules the execution of a call for when its caller no longer waits for it: a second one
    /// if the call was answered, else the first.
    pub(super) fn schedule_late_execution(&mut self, effect: Effect) {
        let late = match effect {
            Effect::Store { call: StoreCall::Watch { .. }, .. } => return,
            Effect::Store { call, .. } => Message::LateStoreCall(call),
            Effect::Cloud { call, .. } => Message::LateCloudCall(call),
            Effect::Worker { address, call, .. } => Message::LateWorkerCall(address, call),
            // Calls between peers are never late.
            _ => return,
        };
        self.schedule(LATE_EXECUTION_DELAY, late);
    }

    /// Sends the caller an error in place of an answer.
    pub(super) fn fail_call(&mut self, n: usize, effect: &Effect, error: CallError, after: Micros) {
        let command = match effect {
            Effect::Store { call_id, .. } => {
                Command::StoreReply { call_id: *call_id, result: Err(error) }
            }
            Effect::Cloud { call_id, .. } => {
                Command::CloudReply { call_id: *call_id, result: Err(error) }
            }
            Effect::Worker { call_id, .. } => {
                Command::WorkerReply { call_id: *call_id, result: Err(error) }
            }
            Effect::Peer { call_id, .. } => {
                Command::PeerReply { call_id: *call_id, result: Err(error) }
            }
            _ => return,
        };
        let epoch = self.epochs[n];
        self.schedule(after, Message::ToNode(n, epoch, Box::new(command)));
    }

    /// Executes one effect, with the fault that is set for it.
    pub(super) fn execute(&mut self, n: usize, effect: Effect) {
        let Some(fault) = self.count_call(&effect) else {
            return self.execute_without_fault(n, effect);
        };
        match fault {
            CallFault::Refused => self.fail_call(n, &effect, CallError::Refused, STEP),
            CallFault::AnswerLost => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_TIMEOUT);
                // Executed on behalf of another epoch, so that the answer is dropped.
                self.epochs[n] += 1;
                self.execute_without_fault(n, effect);
                self.epochs[n] -= 1;
            }
            CallFault::ExecutedLate => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_TIMEOUT);
                self.schedule_late_execution(effect);
            }
            CallFault::AnswerLate => {
                let sent = self.in_flight.len();
                self.execute_without_fault(n, effect);
                self.in_flight[sent..].iter_mut().for_each(|(at, ..)| *at += LATE_ANSWER_DELAY);
            }
            CallFault::ExecutedTwice => {
                self.schedule_late_execution(effect.clone());
                self.execute_without_fault(n, effect);
            }
            CallFault::CrashBeforeCall => self.crash(n),
            CallFault::CrashAfterCall => {
                self.execute_without_fault(n, effect);
                self.crash(n);
            }
            CallFault::ControllerPaused => {
                self.execute_without_fault(n, effect);
                self.paused.insert(n);
                self.schedule(PAUSE, Message::Resume(n));
            }
        }
    }

    /// Crashes a controller, which restarts after a fraction of a second.
    pub(super) fn crash(&mut self, n: usize) {
        self.kill(n);
        self.schedule(RESTART_DELAY, Message::Start(n));
    }

    /// Executes one effect without a fault of its own; [`FaultRates`] and the state of the
    /// simulation apply.
    pub(super) fn execute_without_fault(&mut self, n: usize, effect: Effect) {
        let epoch = self.epochs[n];
        match effect {
            Effect::Store { call_id, call: StoreCall::Watch { from, hold_ms }, .. } => {
                let end = self.now + hold_ms * 1000;
                self.watches.push(Watch { node: n, epoch, call_id, from, end });
            }
            Effect::Store { call_id, call, .. } => {
                let (lost, late) = self.draw_faults();
                let delay = self.draw_latency() + self.store_latency / 2;
                let txn = matches!(call, StoreCall::Txn(_));
                let late_txn = txn && self.rng.random_range(0..100) < self.fault_rates.late_txns;
                if late_txn {
                    let wait = self.rng.random_range(2 * SECOND..12 * SECOND);
                    self.schedule(wait, Message::LateStoreCall(call));
                    let command = Command::StoreReply { call_id, result: Err(CallError::Unknown) };
                    self.schedule(1_500_000, Message::ToNode(n, epoch, Box::new(command)));
                } else if late && txn {
                    // Executed within seconds, or up to a minute and a half later.
                    let longest = if self.rng.random() { 2 * SECOND } else { 90 * SECOND };
                    let wait = self.rng.random_range(SECOND / 10..longest);
                    self.schedule(wait, Message::LateStoreCall(call));
                    let command = Command::StoreReply { call_id, result: Err(CallError::Unknown) };
                    self.schedule(1_500_000, Message::ToNode(n, epoch, Box::new(command)));
                } else {
                    self.schedule(delay, Message::StoreCall(n, epoch, call_id, call, lost));
                }
            }
            Effect::Cloud { call_id, .. } if self.cloud_down => {
                let command = Command::CloudReply { call_id, result: Err(CallError::Refused) };
                self.schedule(200_000, Message::ToNode(n, epoch, Box::new(command)));
            }
            Effect::Cloud { call_id, call, .. } => {
                let reply = self.call_cloud(&call);
                let (lost, _) = self.draw_faults();
                let result = if lost { Err(CallError::Refused) } else { Ok(reply) };
                let command = Command::CloudReply { call_id, result };
                self.schedule(200_000, Message::ToNode(n, epoch, Box::new(command)));
            }
            Effect::Worker { call_id, address, call, deadline } => {
                assert!(deadline > self.now, "a command was sent after its deadline");
                let (lost, late) = self.draw_faults();
                let delay = self.draw_latency();
                let delayed = self.command_delay > 0 && matches!(call, WorkerCall::Command(_));
                if late || delayed {
                    self.counts.delayed_commands += 1;
                    let random = self.rng.random_range(2..30) * SECOND;
                    let wait = if delayed { self.command_delay } else { random };
                    self.schedule(wait, Message::LateWorkerCall(address, call));
                    let command = Command::WorkerReply { call_id, result: Err(CallError::Unknown) };
                    self.schedule(2 * SECOND, Message::ToNode(n, epoch, Box::new(command)));
                } else {
                    self.schedule(
                        delay,
                        Message::WorkerCall(n, epoch, call_id, address, call, lost),
                    );
                }
            }
            Effect::Peer { call_id, node, request } => {
                let to = self.names.iter().position(|name| *name == node);
                let Some(to) = to.filter(|to| self.cores[*to].is_some()) else {
                    let command = Command::PeerReply { call_id, result: Err(CallError::Refused) };
                    return self.schedule(10_000, Message::ToNode(n, epoch, Box::new(command)));
                };
                let isolated =
                    self.isolated_from_peers.contains(&n) || self.isolated_from_peers.contains(&to);
                let lost = self.draw_faults().0 || isolated;
                self.last_request += 1;
                let id = self.last_request;
                if !lost {
                    self.requests.insert(id, (n, call_id));
                }
                let (delay, to_epoch) = (self.draw_latency(), self.epochs[to]);
                let command = Command::PeerRequest { id, request };
                self.schedule(delay, Message::ToNode(to, to_epoch, Box::new(command)));
                // The answer comes as `AnswerPeer`; without one, this error ends the call.
                let command = Command::PeerReply { call_id, result: Err(CallError::Unknown) };
                self.schedule(2 * SECOND, Message::ToNode(n, epoch, Box::new(command)));
            }
            Effect::AnswerPeer { id, answer } => {
                if let Some((caller, call_id)) = self.requests.remove(&id) {
                    let (delay, epoch) = (self.draw_latency(), self.epochs[caller]);
                    let command = Command::PeerReply { call_id, result: Ok(answer) };
                    self.schedule(delay, Message::ToNode(caller, epoch, Box::new(command)));
                }
            }
            Effect::Answer { id, status, body, deadline, .. } => {
                assert!(
                    deadline.is_none_or(|deadline| deadline > self.now),
                    "an answer was sent after its deadline"
                );
                let body = serde_json::to_value(body).expect("serialize the answer as JSON");
                self.counts.without_authority += usize::from(body["error"] == "not entitled");
                if let Some((request, job, sent)) = self.user_requests.remove(&id) {
                    let phase = body["phase"].as_str().unwrap_or("");
                    self.counts.answers += usize::from(matches!(status, 200 | 201));
                    self.rules.record_answer(self.now, sent, request, &job, status, phase);
                }
                self.answers.insert(id, (status, body));
            }
            Effect::Terminate { reason } => self.exit_reason = Some(reason),
            Effect::Log(event @ LogEvent::InvariantViolated(_)) => {
                let violation = format!("{} at {} ms: {event}", event.name(), self.now / 1000);
                self.rules.violations.push(violation);
            }
            Effect::Log(_) | Effect::SetRateShare(_) => {}
        }
    }
}
