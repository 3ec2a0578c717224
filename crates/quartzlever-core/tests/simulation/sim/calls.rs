//! The calls of controllers: carried out, answered, and going wrong.

use super::*;

/// What happens to one call of a controller, or to the controller at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It is refused, and not carried out.
    Refused,
    /// It is carried out, and its answer lost.
    AnswerLost,
    /// It seems lost, and is carried out seconds later.
    CarriedOutLate,
    /// Its answer comes after more than three seconds.
    AnswerLate,
    /// It is carried out once more, seconds later.
    CarriedOutTwice,
    /// The controller ends before it leaves, and is back within a fraction of a second.
    EndsBefore,
    /// The controller ends while it is on its way, and is back within a fraction of a second.
    EndsAfter,
    /// The controller stands still for longer than its lease lives.
    StandsStill,
}

impl CallFault {
    pub const ALL: [CallFault; 8] = [
        CallFault::Refused,
        CallFault::AnswerLost,
        CallFault::CarriedOutLate,
        CallFault::AnswerLate,
        CallFault::CarriedOutTwice,
        CallFault::EndsBefore,
        CallFault::EndsAfter,
        CallFault::StandsStill,
    ];
}

/// How late a call, or its second execution, comes when a fault holds it up.
const CALL_LATE: Micros = 6 * SECOND;
/// When a caller gives a call up.
const CALL_TIMEOUT: Micros = 1_500_000;
/// How late an answer comes that is held up.
const ANSWER_LATE: Micros = 3_200_000;
/// How long a controller that ends is away, and how long one stands still.
const AWAY: Micros = SECOND / 5;
const STILL: Micros = 9 * SECOND;

impl Simulation {
    pub(super) fn deliver(
        &mut self,
        message: Message,
        batches: &mut BTreeMap<usize, Vec<Command>>,
    ) {
        let now = self.now;
        match message {
            Message::ToNode(n, life, command) => {
                if self.paused.contains(&n) {
                    self.post(STEP, Message::ToNode(n, life, command));
                } else if self.cores[n].is_some() && self.lives[n] == life {
                    batches.entry(n).or_default().push(*command);
                }
            }
            Message::Store(n, life, call_id, call, lost) => {
                let refused = Err(CallError::Refused);
                let refused_by_store = self.refused_by_store.contains(&n);
                self.counts.refused_alone += usize::from(refused_by_store && !self.store.outage);
                self.counts.refused_all += usize::from(self.store.outage);
                let mut result =
                    if refused_by_store { refused } else { self.store.call(now, &call) };
                let mut delay = self.short() + self.slow / 2;
                let unanswered = matches!(call, StoreCall::Txn(_))
                    && matches!(result, Ok(StoreReply::Committed(_)))
                    && self.rng.random_range(0..100) < self.fault_rates.unanswered;
                self.counts.unanswered += usize::from(unanswered);
                if lost || unanswered {
                    result = Err(CallError::Unknown);
                    delay = 1_500_000;
                }
                let command = Command::StoreReply { call_id, result };
                self.post(delay, Message::ToNode(n, life, Box::new(command)));
            }
            Message::Worker(n, life, call_id, address, call, lost) => {
                let name = address.trim_end_matches(":9000").to_owned();
                let cut = self.cut.contains(&(n, name.clone())) || self.deaf.contains(&name);
                let result = match self.workers.get_mut(&name) {
                    Some(worker) if !worker.hung && !cut => Ok(match &call {
                        WorkerCall::Status => WorkerReply::Status(worker.heartbeat()),
                        WorkerCall::Command(commands) => worker.command(commands, now),
                    }),
                    Some(_) => {
                        // Held back, and delivered when the machine or the network is back.
                        self.post(8 * SECOND, Message::LateWorker(address, call));
                        Err(CallError::Unknown)
                    }
                    None => Err(CallError::Refused),
                };
                let result = if lost { Err(CallError::Unknown) } else { result };
                let delay = if result.is_err() { 2 * SECOND } else { self.short() };
                let command = Command::WorkerReply { call_id, result };
                self.post(delay, Message::ToNode(n, life, Box::new(command)));
            }
            Message::Hello(n, name, commands, sent, incarnation) => {
                if self.cut.contains(&(n, name.clone())) {
                    return;
                }
                if self.deaf.contains(&name) {
                    self.counts.deaf += 1;
                    return;
                }
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.answered(&commands, sent, incarnation, now);
                }
            }
            Message::LateStoreCall(call) => match self.store.call(now, &call) {
                Ok(StoreReply::Committed(_)) => self.counts.late_in_force += 1,
                _ => self.counts.late_conflicts += 1,
            },
            Message::Copy(nodes, heartbeat) => {
                for n in nodes {
                    self.request += 1;
                    let id = self.request;
                    let command = Command::Heartbeat { id, heartbeat: (*heartbeat).clone() };
                    if self.cores[n].is_some() && !self.paused.contains(&n) {
                        self.counts.copies += 1;
                        batches.entry(n).or_default().push(command);
                    }
                }
            }
            Message::LateCloud(call) => {
                self.cloud_call(&call);
            }
            Message::Start(n) => {
                if self.cores[n].is_none() {
                    self.start(n);
                }
            }
            Message::GoOn(n) => {
                self.paused.remove(&n);
            }
            Message::LateWorker(address, call) => {
                let name = address.trim_end_matches(":9000").to_owned();
                if let (Some(worker), WorkerCall::Command(commands)) =
                    (self.workers.get_mut(&name), &call)
                {
                    match worker.command(commands, now) {
                        WorkerReply::Refused(_) => self.counts.delayed_refused += 1,
                        WorkerReply::Status(_) => self.counts.delayed_executed += 1,
                    }
                }
            }
        }
    }

    /// The cloud carries out a call, and new machines begin to boot.
    pub(super) fn cloud_call(&mut self, call: &CloudCall) -> CloudReply {
        let reply = self.cloud.call(call);
        if let CloudReply::ScaledOut(machines) = &reply {
            for machine in machines {
                let instance = self.cloud.machines.get(machine).cloned();
                if let Some(instance) = instance.filter(|_| !self.workers.contains_key(machine)) {
                    let mut worker = Worker::new(instance, LEASE, self.run_time, self.now);
                    worker.odd_tasks_wait = self.odd_tasks_wait;
                    worker.fails_everywhere = self.fails_everywhere.clone();
                    self.workers.insert(machine.clone(), worker);
                    if self.never_booted > 0 && self.rng.random_range(0..100) < self.never_booted {
                        self.counts.never_booted += 1;
                        continue;
                    }
                    let first = self.rng.random_range(0..self.cores.len());
                    let at = self.now + self.boot;
                    self.next_heartbeat.insert(machine.clone(), (first, at));
                }
            }
        }
        reply
    }

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
            if ready && self.lives[watch.node] == watch.life {
                // What a watch tells may be a good deal older than what calls have brought.
                let command = Command::StoreReply { call_id: watch.call_id, result };
                let delay = if self.rng.random() { 0 } else { self.rng.random_range(0..SECOND) };
                let delay = delay + self.watch_lag;
                self.post(delay, Message::ToNode(watch.node, watch.life, Box::new(command)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    /// Carries out what a controller wants done, until it ends.
    pub(super) fn carry_out_all(&mut self, n: usize, effects: Vec<Effect>) {
        self.digest.add(n, self.now, &effects);
        let life = self.lives[n];
        for effect in effects {
            if self.lives[n] == life {
                self.carry_out(n, effect);
            }
        }
    }

    /// The fault that befalls an effect, if it is a call and its turn has come.
    pub(super) fn fault_of(&mut self, effect: &Effect) -> Option<CallFault> {
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

    /// Executes a call when its caller does not wait for it any more: once more if it was answered, or
    /// for the first time.
    pub(super) fn carry_out_late(&mut self, effect: Effect, answered: bool) {
        let late = match effect {
            Effect::Store { call: StoreCall::Watch { .. }, .. } => return,
            Effect::Store { call, .. } => Message::LateStoreCall(call),
            Effect::Cloud { call, .. } => Message::LateCloud(call),
            Effect::Worker { address, call, .. } if !answered => Message::LateWorker(address, call),
            // Direct commands are carried out once, however late.
            _ => return,
        };
        self.post(CALL_LATE, late);
    }

    /// Tells the caller how a call ended that was not answered.
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
        let life = self.lives[n];
        self.post(after, Message::ToNode(n, life, Box::new(command)));
    }

    pub(super) fn carry_out(&mut self, n: usize, effect: Effect) {
        let Some(fault) = self.fault_of(&effect) else { return self.carry_out_soundly(n, effect) };
        match fault {
            CallFault::Refused => self.fail_call(n, &effect, CallError::Refused, STEP),
            CallFault::AnswerLost => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_TIMEOUT);
                // Carried out for a caller that is not there any more.
                self.lives[n] += 1;
                self.carry_out_soundly(n, effect);
                self.lives[n] -= 1;
            }
            CallFault::CarriedOutLate => {
                self.fail_call(n, &effect, CallError::Unknown, CALL_TIMEOUT);
                self.carry_out_late(effect, false);
            }
            CallFault::AnswerLate => {
                let sent = self.mail.len();
                self.carry_out_soundly(n, effect);
                self.mail[sent..].iter_mut().for_each(|(at, ..)| *at += ANSWER_LATE);
            }
            CallFault::CarriedOutTwice => {
                self.carry_out_late(effect.clone(), true);
                self.carry_out_soundly(n, effect);
            }
            CallFault::EndsBefore => self.end(n),
            CallFault::EndsAfter => {
                self.carry_out_soundly(n, effect);
                self.end(n);
            }
            CallFault::StandsStill => {
                self.carry_out_soundly(n, effect);
                self.paused.insert(n);
                self.post(STILL, Message::GoOn(n));
            }
        }
    }

    /// Ends a controller, which is back within a fraction of a second.
    pub(super) fn end(&mut self, n: usize) {
        self.kill(n);
        self.post(AWAY, Message::Start(n));
    }

    pub(super) fn carry_out_soundly(&mut self, n: usize, effect: Effect) {
        let life = self.lives[n];
        match effect {
            Effect::Store { call_id, call: StoreCall::Watch { from, hold_ms }, .. } => {
                let end = self.now + hold_ms * 1000;
                self.watches.push(Watch { node: n, life, call_id, from, end });
            }
            Effect::Store { call_id, call, .. } => {
                let (lost, late) = self.draw_faults();
                let delay = self.short() + self.slow / 2;
                let txn = matches!(call, StoreCall::Txn(_));
                let lagging = txn && self.rng.random_range(0..100) < self.fault_rates.late_writes;
                if lagging {
                    let wait = self.rng.random_range(2 * SECOND..12 * SECOND);
                    self.post(wait, Message::LateStoreCall(call));
                    let command = Command::StoreReply { call_id, result: Err(CallError::Unknown) };
                    self.post(1_500_000, Message::ToNode(n, life, Box::new(command)));
                } else if late && txn {
                    // Soon after, or minutes later.
                    let most = if self.rng.random() { 2 * SECOND } else { 90 * SECOND };
                    let wait = self.rng.random_range(SECOND / 10..most);
                    self.post(wait, Message::LateStoreCall(call));
                    let command = Command::StoreReply { call_id, result: Err(CallError::Unknown) };
                    self.post(1_500_000, Message::ToNode(n, life, Box::new(command)));
                } else {
                    self.post(delay, Message::Store(n, life, call_id, call, lost));
                }
            }
            Effect::Cloud { call_id, .. } if self.cloud_down => {
                let command = Command::CloudReply { call_id, result: Err(CallError::Refused) };
                self.post(200_000, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::Cloud { call_id, call, .. } => {
                let reply = self.cloud_call(&call);
                let (lost, _) = self.draw_faults();
                let result = if lost { Err(CallError::Refused) } else { Ok(reply) };
                let command = Command::CloudReply { call_id, result };
                self.post(200_000, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::Worker { call_id, address, call, until } => {
                assert!(until > self.now, "a command without a sure hold");
                let (lost, late) = self.draw_faults();
                let delay = self.short();
                let held = self.held > 0 && matches!(call, WorkerCall::Command(_));
                if late || held {
                    self.counts.held += 1;
                    let any = self.rng.random_range(2..30) * SECOND;
                    let wait = if held { self.held } else { any };
                    self.post(wait, Message::LateWorker(address, call));
                    let command = Command::WorkerReply { call_id, result: Err(CallError::Unknown) };
                    self.post(2 * SECOND, Message::ToNode(n, life, Box::new(command)));
                } else {
                    self.post(delay, Message::Worker(n, life, call_id, address, call, lost));
                }
            }
            Effect::Peer { call_id, node, request } => {
                let to = self.names.iter().position(|name| *name == node);
                let Some(to) = to.filter(|to| self.cores[*to].is_some()) else {
                    let command = Command::PeerReply { call_id, result: Err(CallError::Refused) };
                    return self.post(10_000, Message::ToNode(n, life, Box::new(command)));
                };
                let apart = self.apart.contains(&n) || self.apart.contains(&to);
                let lost = self.draw_faults().0 || apart;
                self.request += 1;
                let id = self.request;
                if !lost {
                    self.requests.insert(id, (n, call_id));
                }
                let (delay, to_life) = (self.short(), self.lives[to]);
                let command = Command::PeerRequest { id, request };
                self.post(delay, Message::ToNode(to, to_life, Box::new(command)));
                // The answer comes as `AnswerPeer`; without one the call runs out.
                let command = Command::PeerReply { call_id, result: Err(CallError::Unknown) };
                self.post(2 * SECOND, Message::ToNode(n, life, Box::new(command)));
            }
            Effect::AnswerPeer { id, answer } => {
                if let Some((asker, call_id)) = self.requests.remove(&id) {
                    let (delay, life) = (self.short(), self.lives[asker]);
                    let command = Command::PeerReply { call_id, result: Ok(answer) };
                    self.post(delay, Message::ToNode(asker, life, Box::new(command)));
                }
            }
            Effect::Answer { id, status, body, until, .. } => {
                assert!(until.is_none_or(|u| u > self.now), "an answer without a sure hold");
                let body = serde_json::to_value(body).expect("an answer is JSON");
                self.counts.without_authority += usize::from(body["error"] == "not entitled");
                if let Some((asked, job, sent)) = self.asked.remove(&id) {
                    let phase = body["phase"].as_str().unwrap_or("");
                    self.counts.answers += usize::from(matches!(status, 200 | 201));
                    self.rules.answered(self.now, sent, asked, &job, status, phase);
                }
                self.answers.insert(id, (status, body));
            }
            Effect::Terminate { reason } => self.ended = Some(reason),
            Effect::Log(_) | Effect::RateShare(_) => {}
        }
    }
}
