//! Workers' reports and calls to workers: claims, sessions, fencing, adoption, commands.

use quartzlever_wire::users::Rank;
use quartzlever_wire::workers::{
    Cause, Order, Orders, Report, TaskId, TaskPhase, TaskReport, WorkerCall, WorkerReply,
};
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use crate::config::Config;
use crate::engine::{CONTACT_LOST, Core, STARTING, WorkerWait};
use crate::failures::MachineFailures;
use crate::machine::{Amounts, Direct, Machine, Slot, SlotKey};
use crate::messages::{Answer, Effect, RequestId, Weight};
use crate::partition::{Partition, PartitionJob, Place, yields};
use crate::placement::RunTimes;

/// Wait after a direct call that brought nothing.
const CALL_PAUSE: Micros = 3 * SECOND;
/// As long, while the machine holds up a recovery.
const FENCE_PAUSE: Micros = SECOND;
/// Direct calls under way at once, so that hung machines do not block the others. A call takes some
/// milliseconds, so thousands of machines are through in seconds; those that hang, 2 s each, would hold
/// up the rest for minutes, but the others come by themselves within a report interval.
const MOST_CALLS: usize = 32;
/// As many, to fence machines, while most of them will still report by themselves.
const FIRST_CALLS: usize = 24;

/// A replica that has run for so long works, whatever ended it.
const SETTLED_AFTER: Micros = 30 * SECOND;

/// Run times of a machine's last tasks that are kept.
const REMEMBERED_PACES: usize = 8;

/// An attempt whose end a report shows for the first time.
struct EndedAttempt<'a> {
    host: &'a str,
    seen: &'a TaskReport,
    /// When its start was decided.
    placed: Micros,
    /// For how long it ran, if it was ever seen to run.
    ran: Option<Micros>,
    class: String,
    expect: Micros,
}

/// A replica has ended, which says nothing of its machine. One that ran well goes on at once, one
/// that should not have ended so soon after a pause.
fn replica_ended(job: &mut PartitionJob, ended: &EndedAttempt, now: Micros) {
    if ended.ran.is_some_and(|ran| ran > SETTLED_AFTER) {
        job.settles();
    } else {
        job.failures.note_round(ended.placed, now);
        job.no_start_before = now + job.failures.pause();
    }
}

/// So many ended attempts are cleared for themselves alone.
const CLEARED_TOGETHER: usize = 4;

/// Machines that are asked whether they are there, at once. The others get a 503 and come again after a
/// second: thousands of machines that nobody here rented are through within a few seconds.
const MOST_UNCONFIRMED: usize = 16;

impl Core {
    /// A worker reports.
    pub(crate) fn hello(&mut self, id: RequestId, report: Report) {
        let holder = self.parts.iter().find(|(_, p)| p.machines.contains_key(&report.host));
        if let Some((name, _)) = holder {
            let name = name.clone();
            return self.hello_own(id, &name, &report);
        }
        if !self.cache.loaded() {
            return self.later(id, 503, STARTING);
        }
        if let Some(record) = self.part_of_host(&report.host) {
            let part = record.part.clone();
            if self.holder_of(&part).is_some() {
                self.visited(&part, &report.host);
            }
            return self.redirect(id, &part);
        }
        // An unclaimed machine goes to the part that rented it, if that is known.
        let hinted = self.cloud.hints.get(&report.host).cloned();
        match hinted {
            Some(part) if !self.parts.contains_key(&part) && self.holder_of(&part).is_some() => {
                self.redirect(id, &part);
            }
            hinted => self.claim(id, report, hinted),
        }
    }

    pub(crate) fn holder_of(&self, part: &str) -> Option<&str> {
        let (record, _) = self.cache.parts.get(part)?;
        (record.node != self.cfg.node).then_some(record.node.as_str())
    }

    fn redirect(&mut self, id: RequestId, part: &str) {
        // Without the state service the cache tells of holders that may be none any more. Two such
        // nodes sent workers to and fro between them, past the one that had taken over, until
        // 809 machines were given up; turned away without a name, a worker tries one after the other.
        let fresh = self.now < self.contact.heard + CONTACT_LOST;
        match self.holder_of(part).filter(|_| fresh) {
            Some(node) => {
                let steward = node.to_owned();
                self.answer(id, 421, Answer::Steward { steward });
            }
            // Held here but not yet known as a machine of it, or by nobody.
            None => self.later(id, 503, "not entitled"),
        }
    }

    fn claim(&mut self, id: RequestId, report: Report, hinted: Option<String>) {
        let part = hinted
            .and_then(|p| self.parts.get(&p))
            .or_else(|| self.parts.get(&self.cfg.node))
            .filter(|p| p.active());
        let Some(part) = part else { return self.later(id, 503, "not entitled") };
        if !self.sure() || part.fleet.gone.contains(&report.host) {
            return self.later(id, 503, "not entitled");
        }
        let (part_name, term) = (part.name.clone(), part.term);
        if part.fleet.arrivals.contains(&report.host) {
            return self.want_claim(id, report, &part_name, term);
        }
        // Nobody here knows of it: a late copy of a report must not claim anew a machine that
        // was returned, so the machine itself is asked first.
        if self.unconfirmed.contains_key(&report.host) || self.unconfirmed.len() >= MOST_UNCONFIRMED
        {
            return self.later(id, 503, "asked already");
        }
        let (machine, address) = (report.host.clone(), report.address.clone());
        self.unconfirmed.insert(machine.clone(), (id, report));
        let wait = WorkerWait {
            part: part_name,
            term,
            machine,
            confirms_presence: true,
            ..WorkerWait::default()
        };
        self.worker_call(address, WorkerCall::Status, wait);
    }

    /// A machine that nobody knew was asked whether it is there.
    fn presence_answered(&mut self, wait: &WorkerWait, result: Result<WorkerReply, CallError>) {
        let Some((id, report)) = self.unconfirmed.remove(&wait.machine) else { return };
        match result {
            Ok(WorkerReply::Report(fresh)) if fresh.host == report.host => {
                let held = self.parts.get(&wait.part).is_some_and(|p| p.term == wait.term);
                if held && self.sure() && self.part_of_host(&report.host).is_none() {
                    self.want_claim(id, fresh, &wait.part, wait.term);
                } else {
                    self.later(id, 503, "not entitled");
                }
            }
            _ => self.later(id, 503, "not entitled"),
        }
    }

    /// A report of a machine of a part that is held here.
    fn hello_own(&mut self, id: RequestId, name: &str, report: &Report) {
        let now = self.now;
        if !self.sure() {
            return self.later(id, 503, "not entitled");
        }
        let until = self.acts_until();
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active()) else {
            return self.later(id, 503, "not entitled");
        };
        if report.baton > part.term {
            // Somebody holds a later term, whatever the watch has told so far.
            return self.later(id, 503, "not entitled");
        }
        let newer = part.take_report(&self.cfg, &mut self.run_times, report, true, now);
        self.open_barrier(name);
        self.place(name);
        self.fill(name, &report.host);
        let Some(part) = self.parts.get_mut(name) else { return };
        let Some(machine) = part.machines.get_mut(&report.host) else {
            return self.later(id, 503, "not entitled");
        };
        // A late report's answer is dropped by the worker; the lease is taken as renewed all
        // the same, which errs on the safe side.
        machine.answered = now;
        let orders = if newer {
            part.orders_for(&report.host, true)
        } else {
            let cache = &self.cache;
            part.kills_for(report, |job| !cache.is_live(job))
        };
        let body = Answer::Orders(Orders { baton: part.term, session: None, orders });
        self.out.push(Effect::Answer {
            id,
            status: 200,
            body,
            retry_after_s: None,
            until: Some(until),
        });
    }

    /// Asks machines with replicas of services that are late with their report whether they are
    /// there: a replica on a dead machine runs nowhere, and silence alone shows it late.
    pub(crate) fn ask_late_servers(&mut self, name: &str) {
        let (now, late) = (self.now, self.cfg.late_report());
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active()) else { return };
        let free = |m: &Machine| m.call.is_none() && !m.returning && now >= m.no_call_before;
        let asked: Vec<String> = part
            .machines
            .values()
            .filter(|m| m.proven && now.saturating_sub(m.heard) > late && free(m) && m.serves())
            .map(|m| m.name.clone())
            .take(MOST_CALLS.saturating_sub(self.worker_waits.len()))
            .collect();
        for machine in asked {
            self.call_worker(name, &machine);
        }
    }

    /// Calls workers that have something urgent to be told, or have to be fenced.
    pub(crate) fn call_workers(&mut self, name: &str) {
        let now = self.now;
        let under_way = self.worker_waits.len();
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active()) else { return };
        let (machines, unfenced) = (&part.machines, &part.unfenced);
        part.urgent.retain(|host| {
            machines.get(host).is_some_and(|m| m.fenced && m.session > 0 && m.urgent_orders())
        });
        let free = |host: &&String| {
            let machine = machines.get(*host);
            machine.is_some_and(|m| m.call.is_none() && !m.returning && now >= m.no_call_before)
        };
        // Reports that come by themselves fence most machines; calls are for the rest. A call is
        // dearer than a report, so a processor that is short of time for both waits for reports.
        let since = now.saturating_sub(part.acquired);
        let report = self.cfg.workers.report;
        let short = machines.len() > self.cfg.machine_capacity / 2;
        let fencing = match since {
            _ if short && since < report / 2 => 0,
            _ if since < report * 3 / 2 => FIRST_CALLS,
            _ => MOST_CALLS,
        };
        let chosen: Vec<String> = part
            .urgent
            .iter()
            .filter(free)
            .take(MOST_CALLS.saturating_sub(under_way))
            .chain(unfenced.iter().filter(free).take(fencing.saturating_sub(under_way)))
            .cloned()
            .collect();
        for machine in chosen {
            self.call_worker(name, &machine);
        }
    }

    fn call_worker(&mut self, name: &str, machine_name: &str) {
        let now = self.now;
        let Some(part) = self.parts.get_mut(name) else { return };
        let term = part.term;
        let Some(machine) = part.machines.get_mut(machine_name) else { return };
        let address = machine.record.address.clone();
        let mut runs = Vec::new();
        let call = if machine.session == 0 {
            WorkerCall::Status
        } else {
            for (key, slot) in &mut machine.slots {
                if slot.exited() {
                    continue;
                }
                if slot.wanted && slot.phase.is_none() {
                    slot.sent = true;
                    if slot.direct == Direct::Settled {
                        slot.direct = Direct::InFlight;
                    }
                    runs.push(key.clone());
                } else if !slot.wanted {
                    slot.kill_sent = Some(now);
                }
            }
            let session = Some(machine.session);
            WorkerCall::Command(Orders {
                baton: term,
                session,
                orders: part.orders_for(machine_name, false),
            })
        };
        let wait = WorkerWait {
            part: name.to_owned(),
            term,
            machine: machine_name.to_owned(),
            runs,
            ..WorkerWait::default()
        };
        let token = self.worker_call(address, call, wait);
        if let Some(machine) =
            self.parts.get_mut(name).and_then(|p| p.machines.get_mut(machine_name))
        {
            machine.call = Some(token);
        }
    }

    pub(crate) fn worker_done(
        &mut self,
        token: u64,
        wait: WorkerWait,
        result: Result<WorkerReply, CallError>,
    ) {
        let now = self.now;
        if wait.probe {
            return self.probed(result.is_ok());
        }
        if wait.confirms_presence {
            return self.presence_answered(&wait, result);
        }
        let Some(part) = self.parts.get_mut(&wait.part).filter(|p| p.term == wait.term) else {
            return;
        };
        let Some(machine) = part.machines.get_mut(&wait.machine) else { return };
        part.urgent.insert(wait.machine.clone());
        if machine.call == Some(token) {
            machine.call = None;
        }
        let settled = !matches!(result, Err(CallError::Unknown));
        for key in &wait.runs {
            if let Some(slot) = machine.slots.get_mut(key)
                && slot.direct == Direct::InFlight
            {
                slot.direct = if settled { Direct::Settled } else { Direct::Doubtful };
            }
        }
        match result {
            Ok(WorkerReply::Report(report)) | Ok(WorkerReply::Refused(report)) => {
                // Another machine may have come to live at the address.
                if report.host != wait.machine {
                    machine.no_call_before = now + CALL_PAUSE;
                    return;
                }
                if report.baton > wait.term {
                    machine.no_call_before = now + CALL_PAUSE;
                    return;
                }
                part.take_report(&self.cfg, &mut self.run_times, &report, false, now);
                self.fill(&wait.part, &wait.machine);
            }
            Err(_) => {
                let pause = if machine.proven { CALL_PAUSE } else { FENCE_PAUSE };
                machine.no_call_before = now + pause;
                machine.failed_calls += 1;
                part.refresh(&wait.machine);
            }
        }
    }

    /// Takes as empty what has been silent for a full lease.
    pub(crate) fn expire_silent(&mut self, name: &str) {
        let now = self.now;
        let gone_after = self.cfg.lease_gone_after();
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active()) else { return };
        let alone_from = part.acquired.max(part.alone_from);
        let silent: Vec<String> = part
            .machines
            .values()
            .filter(|m| {
                // A session that was only heard of by a direct call runs out a lease after it
                // began, and it began before it was heard of. Without `heard`, tasks given to a
                // machine that had just come back were taken for gone and started elsewhere.
                now.saturating_sub(m.answered.max(m.heard).max(alone_from)) > gone_after
                    && (!m.proven || !m.slots.is_empty())
            })
            .map(|m| m.name.clone())
            .collect();
        for machine in silent {
            part.empty_machine(&machine);
            if let Some(machine) = part.machines.get_mut(&machine) {
                machine.proven = true;
            }
        }
    }
}

impl Partition {
    /// The commands for a machine; notes which `run`s they carry if they are the answer to a
    /// report.
    pub fn orders_for(&mut self, name: &str, answer: bool) -> Vec<Order> {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else { return Vec::new() };
        let mut orders = machine.orders(|key, slot| {
            // The result of a finished task is kept on the machine until its end is recorded.
            slot.cause != Some(Cause::Done)
                || jobs
                    .get(&key.0.job)
                    .is_none_or(|job| job.service() || job.record.finished.contains(key.0.index))
        });
        // Whatever an answer orders makes the worker report again at once. What has ended does no
        // harm where it is, so it goes with the next order that does something, or a few together.
        let clears = |o: &Order| matches!(o, Order::Clear { .. });
        if answer && orders.len() < CLEARED_TOGETHER && orders.iter().all(clears) {
            orders.clear();
        }
        for slot in machine.slots.values_mut() {
            if slot.wanted && slot.phase.is_none() {
                slot.sent = true;
                slot.in_answer |= answer;
            }
        }
        orders
    }

    /// What an answer has to end although nothing new is learned from its report: the answer renews
    /// the worker's lease, and with it the life of whatever it runs. An attempt whose job is over,
    /// or which is unwanted, may be killed however old the report is.
    pub fn kills_for(&self, report: &Report, over: impl Fn(&str) -> bool) -> Vec<Order> {
        let slots = self.machines.get(&report.host).map(|m| &m.slots);
        let unwanted = |t: &TaskReport| {
            let key = (t.task.clone(), t.attempt);
            slots.and_then(|s| s.get(&key)).is_some_and(|s| !s.wanted && s.leeway_s <= 0.0)
        };
        let ends = |t: &&TaskReport| {
            t.phase != TaskPhase::Exited
                && (unwanted(t) || (!self.jobs.contains_key(&t.task.job) && over(&t.task.job)))
        };
        let kill = |t: &TaskReport| Order::Kill {
            task: t.task.clone(),
            attempt: t.attempt,
            leeway_s: 0.0,
        };
        report.tasks.iter().filter(ends).map(kill).collect()
    }

    /// Takes in a report; `false` if it is older than what is known. `hello` says that it is a
    /// report of the worker's own accord, which proves that earlier answers were executed or
    /// dropped.
    pub fn take_report(
        &mut self,
        cfg: &Config,
        run_times: &mut RunTimes,
        report: &Report,
        hello: bool,
        now: Micros,
    ) -> bool {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&report.host) else { return false };
        if (report.session, report.tick) <= (machine.session, machine.tick) {
            return false;
        }
        if hello && !machine.fenced && report.baton < term {
            // It may be a copy from before the takeover, minutes old: its list is not taken for
            // the present one, and it proves nothing. The answer makes a worker that did send it
            // now report again with this term's baton.
            machine.hinted = now;
            return false;
        }
        if hello && machine.shows_nothing_new(report) {
            machine.tick = report.tick;
            machine.heard = now;
            machine.slots.values_mut().for_each(|s| s.in_answer = false);
            return true;
        }
        self.take_news(cfg, run_times, report, hello, now);
        true
    }

    /// Takes in a report that may change something.
    pub(crate) fn take_news(
        &mut self,
        cfg: &Config,
        run_times: &mut RunTimes,
        report: &Report,
        hello: bool,
        now: Micros,
    ) {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&report.host) else { return };
        if hello {
            machine.heed(report, now);
        }
        if report.session > machine.session && machine.session > 0 {
            // The lease ran out over there: everything of the earlier session is gone.
            self.empty_machine(&report.host);
        }
        let Some(machine) = self.machines.get_mut(&report.host) else { return };
        machine.session = report.session;
        machine.tick = report.tick;
        machine.heard = now;
        machine.failed_calls = 0;
        if !hello {
            // It was reached, so it is not deaf.
            machine.unheeded = 0;
        }
        machine.record.address.clone_from(&report.address);
        machine.warned_until = report.warning_s.map(|s| now + micros_from_secs(s));
        if report.baton >= term {
            machine.fenced = true;
            machine.proven = true;
            self.unfenced.remove(&report.host);
        }
        if hello {
            // A worker has one report under way at a time: earlier answers are spent.
            machine.slots.values_mut().for_each(|s| s.in_answer = false);
        }
        for task in &report.tasks {
            self.take_task(cfg, run_times, &report.host, task, now);
        }
        self.take_absent(report, hello);
        self.save_before_taken(report);
        let Some(machine) = self.machines.get_mut(&report.host) else { return };
        if machine.busy() {
            machine.idle_since = None;
        } else if machine.idle_since.is_none() {
            machine.idle_since = Some(now);
        }
        self.refresh(&report.host);
    }

    /// On a spot notice, stops the tasks that can still save their progress; the others may yet
    /// come to their end.
    fn save_before_taken(&mut self, report: &Report) {
        let Some(left) = report.warning_s else { return };
        let Some(machine) = self.machines.get_mut(&report.host) else { return };
        let jobs = &self.jobs;
        for ((task, _), slot) in &mut machine.slots {
            let Some(job) = jobs.get(&task.job).map(|j| &j.record.job) else { continue };
            // The notice may run half as long as it says.
            let saves = job.checkpoint_s > 0.0 && job.save_s <= left / 2.0;
            // A replica runs again elsewhere the sooner.
            if (saves || job.is_service()) && slot.wanted && slot.phase == Some(TaskPhase::Running)
            {
                slot.wanted = false;
                slot.leeway_s = job.save_s;
                self.urgent.insert(report.host.clone());
            }
        }
    }

    /// Attempts that are known here but not in the report.
    fn take_absent(&mut self, report: &Report, hello: bool) {
        let Some(machine) = self.machines.get_mut(&report.host) else { return };
        let absent: Vec<SlotKey> = machine
            .slots
            .iter()
            .filter(|(key, slot)| {
                if report.lists(key) {
                    return false;
                }
                // Seen before, so its `run` is spent: cleared, or lost.
                let spent = slot.phase.is_some();
                // Never seen, and nothing that could still start it is under way.
                let dead = hello && !slot.wanted && slot.direct == Direct::Settled;
                spent || dead
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.place_wanted |= !absent.is_empty();
        for key in absent {
            if let Some(machine) = self.machines.get_mut(&report.host) {
                machine.slots.remove(&key);
            }
            self.requeue(&key.0, key.1);
        }
    }

    /// One task of a newer report.
    fn take_task(
        &mut self,
        cfg: &Config,
        run_times: &mut RunTimes,
        host: &str,
        seen: &TaskReport,
        now: Micros,
    ) {
        let key: SlotKey = (seen.task.clone(), seen.attempt);
        let known = self.machines.get(host).is_some_and(|m| m.slots.contains_key(&key));
        if !known {
            self.adopt_attempt(cfg, host, seen, now);
        }
        if seen.phase == TaskPhase::Running {
            self.attempt_runs(cfg, host, &key, now);
        }
        let Some(slot) = self.machines.get_mut(host).and_then(|m| m.slots.get_mut(&key)) else {
            return;
        };
        slot.phase = Some(seen.phase);
        slot.cause = seen.cause;
        if seen.phase != TaskPhase::Exited || slot.settled {
            return;
        }
        slot.settled = true;
        // What a limited team used, or may have used, is free for its other tasks anywhere.
        self.place_wanted |= slot.team.is_empty() || cfg.limited(&slot.team);
        let ended = EndedAttempt {
            host,
            seen,
            placed: slot.since,
            ran: slot.running_since.map(|since| now.saturating_sub(since)),
            class: slot.class.clone(),
            expect: slot.expect,
        };
        self.attempt_ended(run_times, &ended, now);
    }

    /// An attempt is reported to run.
    fn attempt_runs(&mut self, cfg: &Config, host: &str, key: &SlotKey, now: Micros) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        let Some(slot) = machine.slots.get_mut(key) else { return };
        let task = &key.0;
        if slot.running_since.is_none() {
            slot.running_since = Some(now);
            if cfg.notes >= Weight::Debug {
                let placed = (now - slot.since) / 1000;
                let since = self.jobs.get(&task.job).map_or(0, |j| (now - j.since) / 1000);
                let line = format!(
                    "{task} of {} runs on {host}, {placed} ms after its placement, {since} ms \
                     after its submission",
                    slot.class
                );
                self.notes.push((Weight::Debug, line));
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.service()) {
            // No progress is ever written of a service, so that others would call it queued.
            job.wants_write |= !job.record.started;
            if slot.running_since.is_some_and(|t| now.saturating_sub(t) > SETTLED_AFTER) {
                job.settles();
            }
        }
        if !machine.images.contains(&slot.image) {
            machine.images.insert(slot.image.clone());
        }
    }

    fn attempt_ended(&mut self, run_times: &mut RunTimes, ended: &EndedAttempt, now: Micros) {
        let seen = ended.seen;
        let job = self.jobs.get_mut(&seen.task.job);
        if let Some(job) = job.filter(|job| job.service())
            && (ended.ran.is_some_and(|ran| ran > SETTLED_AFTER) || seen.cause == Some(Cause::Done))
        {
            replica_ended(job, ended, now);
            return self.requeue(&seen.task, seen.attempt);
        }
        match seen.cause {
            Some(Cause::Done) => return self.task_done(run_times, ended, now),
            Some(Cause::Halted) => {}
            Some(Cause::Error) | Some(Cause::Other) | None => self.attempt_failed(ended, now),
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                if let Some(job) = self.jobs.get_mut(&seen.task.job) {
                    job.no_start_before = now + SECOND;
                }
            }
        }
        self.requeue(&seen.task, seen.attempt);
    }

    fn task_done(&mut self, run_times: &mut RunTimes, ended: &EndedAttempt, now: Micros) {
        let task = &ended.seen.task;
        if let Some(machine) = self.machines.get_mut(ended.host) {
            machine.failures.forget();
            if let Some(ran) = ended.ran.filter(|_| ended.expect > 0) {
                let pace = (ran.saturating_mul(1000) / ended.expect).min(1_000_000) as u32;
                machine.pace.push(run_times.relative(&ended.class, pace));
                run_times.learn(&ended.class, pace);
                if machine.pace.len() > REMEMBERED_PACES {
                    machine.pace.remove(0);
                }
            }
        }
        let is_first = self.jobs.get(&task.job).is_some_and(|job| job.good == 0);
        self.finish(&task.job, task.index, now);
        if is_first {
            self.job_runs_well(&task.job);
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.located.get(&task.index).is_some_and(|p| p.attempt == ended.seen.attempt)
        {
            job.located.remove(&task.index);
        }
    }

    fn attempt_failed(&mut self, ended: &EndedAttempt, now: Micros) {
        let id = &ended.seen.task.job;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let was_mistaken = job.mistaken();
        job.failures.note(ended.host, ended.placed, ended.ran.unwrap_or(0), now);
        let (runs_well, several) = (job.good > 0, job.failures.on_several());
        if several {
            // A mistaken job fails everywhere: it must not hammer the machines.
            job.no_start_before = now + job.failures.pause();
        }
        if job.mistaken() && !was_mistaken {
            let line = format!(
                "{id} fails on every machine that it is tried on; it is tried with a task at a time"
            );
            self.notes.push((Weight::Info, line));
        }
        if let Some(machine) = self.machines.get_mut(ended.host) {
            machine.failures.note(id, runs_well, several, now);
        }
        if several && !runs_well {
            // It says nothing of the machines that it failed on before either.
            self.tell_machines(id, |failures| failures.failed_elsewhere(id));
        }
    }

    /// Whether an attempt of a job that failed everywhere has shown by now that it runs.
    pub(crate) fn try_to_clear(&mut self, cfg: &Config, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.mistaken()) else { return };
        // A report may show a start or a failure an interval late.
        let margin = cfg.workers.report * 2;
        for (index, place) in &job.located {
            let key = (TaskId { job: id.to_owned(), index: *index }, place.attempt);
            let slot = self.machines.get(&place.machine).and_then(|m| m.slots.get(&key));
            let since = slot.filter(|slot| !slot.exited()).and_then(|slot| slot.running_since);
            if let Some(since) = since {
                job.failures.runs(now.saturating_sub(since), margin);
            }
        }
        if !job.mistaken() {
            self.job_runs_well(id);
        }
    }

    /// A job that may have failed on some machines has run well on another.
    fn job_runs_well(&mut self, id: &str) {
        self.tell_machines(id, |failures| failures.runs_elsewhere(id));
        self.place_wanted = true;
    }

    /// Tells the machines that a job failed on what has become of it elsewhere.
    fn tell_machines(&mut self, id: &str, tell: impl Fn(&mut MachineFailures)) {
        let Some(job) = self.jobs.get(id) else { return };
        for host in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(host) {
                tell(&mut machine.failures);
            }
        }
    }

    /// An attempt that this holder has not started: adopted if the task is ours and nowhere
    /// else, ended otherwise.
    fn adopt_attempt(&mut self, cfg: &Config, host: &str, seen: &TaskReport, now: Micros) {
        let exited = seen.phase == TaskPhase::Exited;
        let mut slot = Slot::blank(now);
        (slot.phase, slot.cause) = (Some(seen.phase), seen.cause);
        (slot.wanted, slot.sent) = (false, true);
        if !self.jobs.contains_key(&seen.task.job) {
            // Its job may have ended while no holder acted: then it has had that time already.
            let absent = cfg.operator.lease_life + cfg.operator.takeover_after;
            slot.over_since = Some(now.saturating_sub(absent));
        }
        if let Some(job) = self.jobs.get_mut(&seen.task.job) {
            slot.describe(&job.record.job);
            self.attempted.entry(seen.task.job.clone()).or_default().insert(host.to_owned());
            let index = seen.task.index;
            let ours = job.record.owned_by(&self.name).contains(index);
            let free = ours && !job.located.contains_key(&index) && !job.finished.contains(index);
            let allowed = cfg.team(&job.record.job.team).is_some();
            if free && !exited && allowed && !job.cutting.contains(index) {
                slot.wanted = true;
                job.ready.remove(index);
                job.held.remove(index);
                job.located
                    .insert(index, Place { machine: host.to_owned(), attempt: seen.attempt });
            }
        }
        if let Some(machine) = self.machines.get_mut(host) {
            machine.slots.insert((seen.task.clone(), seen.attempt), slot);
        }
    }
}

impl Slot {
    /// Notes what the job says of the attempt.
    pub fn describe(&mut self, job: &quartzlever_wire::users::JobSpec) {
        self.need = Amounts::of_job(job);
        self.rank = job.rank;
        self.service = job.is_service();
        self.yields = yields(job);
        self.team.clone_from(&job.team);
        self.class.clone_from(&job.class);
        self.image.clone_from(&job.image);
        self.expect = micros_from_secs(job.expect_s);
    }

    /// An attempt of which nothing is known yet.
    fn blank(now: Micros) -> Self {
        Slot {
            need: Amounts::default(),
            rank: Rank::BestEffort,
            team: String::new(),
            class: String::new(),
            image: String::new(),
            expect: 0,
            since: now,
            running_since: None,
            phase: None,
            cause: None,
            wanted: true,
            leeway_s: 0.0,
            direct: Direct::Settled,
            in_answer: false,
            settled: false,
            sent: false,
            service: false,
            yields: false,
            over_since: None,
            patient: false,
            kill_sent: None,
        }
    }

    /// A new attempt of a job's task.
    pub fn new(job: &quartzlever_wire::users::JobSpec, now: Micros) -> Self {
        let mut slot = Slot::blank(now);
        slot.describe(job);
        slot
    }
}

impl Machine {
    /// Marks an attempt as unwanted.
    pub fn stop(&mut self, key: &SlotKey, leeway_s: f64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.wanted = false;
            slot.leeway_s = leeway_s;
        }
    }
}

#[cfg(test)]
mod tests;
