//! Workers' reports and calls to workers: claims, sessions, fencing, adoption, commands.

use quartzlever_wire::users::Priority;
use quartzlever_wire::workers::{
    Cause, Heartbeat, TaskId, TaskPhase, TaskStatus, WorkerCall, WorkerCommand, WorkerCommands,
    WorkerReply,
};
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use crate::calls::PendingWorkerCall;
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::{Assignment, PartitionJob, yields};
use crate::machines::failures::MachineFailures;
use crate::machines::machine::{DirectCommand, Machine, Resources, Slot, SlotKey};
use crate::messages::{Answer, LogLevel, RequestId};
use crate::partition::Partition;
use crate::router::{Core, STARTING};
use crate::scheduling::placement::RunTimes;

/// Wait after a direct call that brought nothing.
const CALL_RETRY: Micros = 3 * SECOND;
/// As long, while the machine holds up a recovery.
const FENCING_CALL_RETRY: Micros = SECOND;
/// Direct calls under way at once, so that hung machines do not block the others. A call takes some
/// milliseconds, so thousands of machines are through in seconds; those that hang, 2 s each, would hold
/// up the rest for minutes, but the others come by themselves within a heartbeat interval.
const MAX_WORKER_CALLS: usize = 32;
/// As many, to fence machines, while most of them will still report by themselves.
const MAX_EARLY_FENCING_CALLS: usize = 24;

/// A replica that has run for so long works, whatever ended it.
const REPLICA_HEALTHY_AFTER: Micros = 30 * SECOND;

/// Run times of a machine's last tasks that are kept.
const MAX_RECENT_PACES: usize = 8;

/// An attempt whose end a heartbeat shows for the first time.
struct EndedAttempt<'a> {
    host: &'a str,
    seen: &'a TaskStatus,
    /// When its start was decided.
    placed: Micros,
    /// For how long it ran, if it was ever seen to run.
    ran: Option<Micros>,
    class: String,
    expect: Micros,
}

/// A replica has ended, which says nothing of its machine. One that ran well goes on at once, one
/// that should not have ended so soon after a pause.
fn note_replica_end(job: &mut PartitionJob, ended: &EndedAttempt, now: Micros) {
    if ended.ran.is_some_and(|ran| ran > REPLICA_HEALTHY_AFTER) {
        job.mark_healthy();
    } else {
        job.failures.note_round(ended.placed, now);
        job.no_start_before = now + job.failures.pause();
    }
}

/// So many ended attempts are cleared for themselves alone.
const MIN_CLEARS_IN_ANSWER: usize = 4;

/// Machines that are asked whether they are there, at once. The others get a 503 and come again after a
/// second: thousands of machines that nobody here rented are through within a few seconds.
const MAX_PRESENCE_CHECKS: usize = 16;

impl Core {
    /// A worker reports.
    pub(crate) fn handle_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        let leader = self.partitions.iter().find(|(_, p)| p.machines.contains_key(&heartbeat.host));
        if let Some((name, _)) = leader {
            let name = name.clone();
            return self.handle_own_heartbeat(id, &name, &heartbeat);
        }
        if !self.cache.loaded() {
            return self.outbox.reject_retryable(id, 503, STARTING);
        }
        if let Some(record) = self.machine_record(&heartbeat.host) {
            let partition = record.partition.clone();
            if self.other_leader_of(&partition).is_some() {
                self.note_foreign_heartbeat(&partition, &heartbeat.host);
            }
            return self.redirect(id, &partition);
        }
        // An unclaimed machine goes to the partition that rented it, if that is known.
        let stale_heartbeat_at = self.cloud.launch_hints.get(&heartbeat.host).cloned();
        match stale_heartbeat_at {
            Some(partition)
                if !self.partitions.contains_key(&partition)
                    && self.other_leader_of(&partition).is_some() =>
            {
                self.redirect(id, &partition);
            }
            stale_heartbeat_at => self.claim(id, heartbeat, stale_heartbeat_at),
        }
    }

    pub(crate) fn other_leader_of(&self, partition: &str) -> Option<&str> {
        let (record, _) = self.cache.partitions.get(partition)?;
        (record.node != self.config.node).then_some(record.node.as_str())
    }

    fn redirect(&mut self, id: RequestId, partition: &str) {
        // Without the store the cache tells of leaders that may be none any more. Two such
        // nodes sent workers to and fro between them, past the one that had taken over, until
        // 809 machines were given up; turned away without a name, a worker tries one after the other.
        let fresh = self.store_connectivity.is_reached(self.now);
        match self.other_leader_of(partition).filter(|_| fresh) {
            Some(node) => {
                let leader = node.to_owned();
                self.outbox.answer(id, 421, Answer::Leader { leader });
            }
            // Held here but not yet known as a machine of it, or by nobody.
            None => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    fn claim(&mut self, id: RequestId, heartbeat: Heartbeat, stale_heartbeat_at: Option<String>) {
        let partition = stale_heartbeat_at
            .and_then(|p| self.partitions.get(&p))
            .or_else(|| self.partitions.get(&self.config.node))
            .filter(|p| p.active());
        let Some(partition) = partition else {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        };
        if !self.may_act() || partition.autoscaling.terminated.contains(&heartbeat.host) {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        }
        let (partition_name, term) = (partition.name.clone(), partition.term);
        if partition.autoscaling.pending_instances.contains(&heartbeat.host) {
            return self.request_ownership(id, heartbeat, &partition_name, term);
        }
        // Nobody here knows of it: a late copy of a heartbeat must not claim anew a machine that
        // was returned, so the machine itself is asked first.
        if self.awaiting_presence_check.contains_key(&heartbeat.host)
            || self.awaiting_presence_check.len() >= MAX_PRESENCE_CHECKS
        {
            return self.outbox.reject_retryable(id, 503, "asked already");
        }
        let (machine, address) = (heartbeat.host.clone(), heartbeat.address.clone());
        self.awaiting_presence_check.insert(machine.clone(), (id, heartbeat));
        let wait = PendingWorkerCall {
            partition: partition_name,
            term,
            machine,
            confirms_presence: true,
            ..PendingWorkerCall::default()
        };
        let until = self.authority_expires_at();
        self.outbox.call_worker(address, WorkerCall::Status, wait, until);
    }

    /// A machine that nobody knew was asked whether it is there.
    fn presence_answered(
        &mut self,
        wait: &PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        let Some((id, heartbeat)) = self.awaiting_presence_check.remove(&wait.machine) else {
            return;
        };
        match result {
            Ok(WorkerReply::Status(fresh)) if fresh.host == heartbeat.host => {
                let held =
                    self.partitions.get(&wait.partition).is_some_and(|p| p.term == wait.term);
                if held && self.may_act() && self.machine_record(&heartbeat.host).is_none() {
                    self.request_ownership(id, fresh, &wait.partition, wait.term);
                } else {
                    self.outbox.reject_retryable(id, 503, "not entitled");
                }
            }
            _ => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    /// A heartbeat of a machine of a partition that is held here.
    fn handle_own_heartbeat(&mut self, id: RequestId, name: &str, heartbeat: &Heartbeat) {
        let now = self.now;
        if !self.may_act() {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        }
        let until = self.authority_expires_at();
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        };
        if heartbeat.fencing_token > partition.term {
            // Somebody holds a later term, whatever the watch has told so far.
            return self.outbox.reject_retryable(id, 503, "not entitled");
        }
        let newer =
            partition.apply_heartbeat(&self.config, &mut self.run_times, heartbeat, true, now);
        self.complete_recovery(name);
        self.place(name);
        self.fill(name, &heartbeat.host);
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let Some(machine) = partition.machines.get_mut(&heartbeat.host) else {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        };
        // A late heartbeat's answer is dropped by the worker; the lease is taken as renewed all
        // the same, which errs on the safe side.
        machine.last_answered_at = now;
        let commands = if newer {
            partition.commands_for(&heartbeat.host, true)
        } else {
            let cache = &self.cache;
            partition.kills_for(heartbeat, |job| !cache.is_active_job(job))
        };
        let body = Answer::WorkerCommands(WorkerCommands {
            fencing_token: partition.term,
            incarnation: None,
            commands,
        });
        self.outbox.answer_until(id, body, until);
    }

    /// Asks machines with replicas of services that are late with their heartbeat whether they are
    /// there: a replica on a dead machine runs nowhere, and silence alone shows it late.
    pub(crate) fn probe_late_service_machines(&mut self, name: &str) {
        let (now, late) = (self.now, self.config.late_heartbeat_after());
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else { return };
        let free = |m: &Machine| m.call.is_none() && !m.scaling_in && now >= m.no_call_before;
        let asked: Vec<String> = partition
            .machines
            .values()
            .filter(|m| {
                m.verified
                    && now.saturating_sub(m.last_heartbeat_at) > late
                    && free(m)
                    && m.serves()
            })
            .map(|m| m.name.clone())
            .take(MAX_WORKER_CALLS.saturating_sub(self.outbox.worker_calls_in_flight()))
            .collect();
        for machine in asked {
            self.call_worker(name, &machine);
        }
    }

    /// Calls workers that have something urgent to be told, or have to be fenced.
    pub(crate) fn call_workers(&mut self, name: &str) {
        let now = self.now;
        let under_way = self.outbox.worker_calls_in_flight();
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else { return };
        let (machines, unfenced) = (&partition.machines, &partition.unfenced);
        partition.urgent.retain(|host| {
            machines
                .get(host)
                .is_some_and(|m| m.fenced && m.incarnation > 0 && m.has_urgent_commands())
        });
        let free = |host: &&String| {
            let machine = machines.get(*host);
            machine.is_some_and(|m| m.call.is_none() && !m.scaling_in && now >= m.no_call_before)
        };
        // Heartbeats that come by themselves fence most machines; calls are for the rest. A call is
        // dearer than a heartbeat, so a processor that is short of time for both waits for reports.
        let since = now.saturating_sub(partition.acquired);
        let heartbeat_interval = self.config.workers.heartbeat_interval;
        let short = machines.len() > self.config.machine_capacity / 2;
        let fencing = match since {
            _ if short && since < heartbeat_interval / 2 => 0,
            _ if since < heartbeat_interval * 3 / 2 => MAX_EARLY_FENCING_CALLS,
            _ => MAX_WORKER_CALLS,
        };
        let chosen: Vec<String> = partition
            .urgent
            .iter()
            .filter(free)
            .take(MAX_WORKER_CALLS.saturating_sub(under_way))
            .chain(unfenced.iter().filter(free).take(fencing.saturating_sub(under_way)))
            .cloned()
            .collect();
        for machine in chosen {
            self.call_worker(name, &machine);
        }
    }

    fn call_worker(&mut self, name: &str, machine_name: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let term = partition.term;
        let Some(machine) = partition.machines.get_mut(machine_name) else { return };
        let address = machine.record.address.clone();
        let mut runs = Vec::new();
        let call = if machine.incarnation == 0 {
            WorkerCall::Status
        } else {
            for (key, slot) in &mut machine.slots {
                if slot.exited() {
                    continue;
                }
                if slot.wanted && slot.phase.is_none() {
                    slot.sent = true;
                    if slot.direct_command == DirectCommand::Settled {
                        slot.direct_command = DirectCommand::InFlight;
                    }
                    runs.push(key.clone());
                } else if !slot.wanted {
                    slot.kill_sent = Some(now);
                }
            }
            let incarnation = Some(machine.incarnation);
            WorkerCall::Command(WorkerCommands {
                fencing_token: term,
                incarnation,
                commands: partition.commands_for(machine_name, false),
            })
        };
        let wait = PendingWorkerCall {
            partition: name.to_owned(),
            term,
            machine: machine_name.to_owned(),
            runs,
            ..PendingWorkerCall::default()
        };
        let until = self.authority_expires_at();
        let call_id = self.outbox.call_worker(address, call, wait, until);
        if let Some(machine) =
            self.partitions.get_mut(name).and_then(|p| p.machines.get_mut(machine_name))
        {
            machine.call = Some(call_id);
        }
    }

    pub(crate) fn worker_replied(
        &mut self,
        call_id: u64,
        wait: PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        let now = self.now;
        if wait.probe {
            return self.probed(result.is_ok());
        }
        if wait.confirms_presence {
            return self.presence_answered(&wait, result);
        }
        let Some(partition) =
            self.partitions.get_mut(&wait.partition).filter(|p| p.term == wait.term)
        else {
            return;
        };
        let Some(machine) = partition.machines.get_mut(&wait.machine) else { return };
        partition.urgent.insert(wait.machine.clone());
        if machine.call == Some(call_id) {
            machine.call = None;
        }
        let accounted = !matches!(result, Err(CallError::Unknown));
        for key in &wait.runs {
            if let Some(slot) = machine.slots.get_mut(key)
                && slot.direct_command == DirectCommand::InFlight
            {
                slot.direct_command =
                    if accounted { DirectCommand::Settled } else { DirectCommand::OutcomeUnknown };
            }
        }
        match result {
            Ok(WorkerReply::Status(heartbeat)) | Ok(WorkerReply::Refused(heartbeat)) => {
                // Another machine may have come to live at the address.
                if heartbeat.host != wait.machine {
                    machine.no_call_before = now + CALL_RETRY;
                    return;
                }
                if heartbeat.fencing_token > wait.term {
                    machine.no_call_before = now + CALL_RETRY;
                    return;
                }
                partition.apply_heartbeat(
                    &self.config,
                    &mut self.run_times,
                    &heartbeat,
                    false,
                    now,
                );
                self.fill(&wait.partition, &wait.machine);
            }
            Err(_) => {
                let pause = if machine.verified { CALL_RETRY } else { FENCING_CALL_RETRY };
                machine.no_call_before = now + pause;
                machine.failed_calls += 1;
                partition.refresh(&wait.machine);
            }
        }
    }

    /// Takes as empty what has been silent for a full lease.
    pub(crate) fn expire_silent_machines(&mut self, name: &str) {
        let now = self.now;
        let gone_after = self.config.lease_gone_after();
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else { return };
        let sole_leader_from = partition.acquired.max(partition.sole_leader_from);
        let silent: Vec<String> = partition
            .machines
            .values()
            .filter(|m| {
                // A session that was only heard of by a direct call runs out a lease after it
                // began, and it began before it was heard of. Without `heard`, tasks given to a
                // machine that had just come back were taken for gone and started elsewhere.
                now.saturating_sub(
                    m.last_answered_at.max(m.last_heartbeat_at).max(sole_leader_from),
                ) > gone_after
                    && (!m.verified || !m.slots.is_empty())
            })
            .map(|m| m.name.clone())
            .collect();
        for machine in silent {
            partition.empty_machine(&machine);
            if let Some(machine) = partition.machines.get_mut(&machine) {
                machine.verified = true;
            }
        }
    }
}

impl Partition {
    /// The commands for a machine; notes which `run`s they carry if they are the answer to a
    /// report.
    pub fn commands_for(&mut self, name: &str, answer: bool) -> Vec<WorkerCommand> {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else { return Vec::new() };
        let mut commands = machine.commands(|key, slot| {
            // The result of a finished task is kept on the machine until its end is recorded.
            slot.cause != Some(Cause::Done)
                || jobs
                    .get(&key.0.job)
                    .is_none_or(|job| job.service() || job.record.finished.contains(key.0.index))
        });
        // Whatever an answer orders makes the worker report again at once. What has ended does no
        // harm where it is, so it goes with the next order that does something, or a few together.
        let clears = |o: &WorkerCommand| matches!(o, WorkerCommand::Clear { .. });
        if answer && commands.len() < MIN_CLEARS_IN_ANSWER && commands.iter().all(clears) {
            commands.clear();
        }
        for slot in machine.slots.values_mut() {
            if slot.wanted && slot.phase.is_none() {
                slot.sent = true;
                slot.in_answer |= answer;
            }
        }
        commands
    }

    /// What an answer has to end although nothing new is learned from its heartbeat: the answer renews
    /// the worker's lease, and with it the life of whatever it runs. An attempt whose job is over,
    /// or which is unwanted, may be killed however old the heartbeat is.
    pub fn kills_for(
        &self,
        heartbeat: &Heartbeat,
        over: impl Fn(&str) -> bool,
    ) -> Vec<WorkerCommand> {
        let slots = self.machines.get(&heartbeat.host).map(|m| &m.slots);
        let unwanted = |t: &TaskStatus| {
            let key = (t.task.clone(), t.attempt);
            slots.and_then(|s| s.get(&key)).is_some_and(|s| !s.wanted && s.leeway_s <= 0.0)
        };
        let ends = |t: &&TaskStatus| {
            t.phase != TaskPhase::Exited
                && (unwanted(t) || (!self.jobs.contains_key(&t.task.job) && over(&t.task.job)))
        };
        let kill = |t: &TaskStatus| WorkerCommand::Kill {
            task: t.task.clone(),
            attempt: t.attempt,
            leeway_s: 0.0,
        };
        heartbeat.tasks.iter().filter(ends).map(kill).collect()
    }

    /// Takes in a heartbeat; `false` if it is older than what is known. `handle_heartbeat` says that it is a
    /// report of the worker's own accord, which proves that earlier answers were executed or
    /// dropped.
    pub fn apply_heartbeat(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        heartbeat: &Heartbeat,
        unsolicited: bool,
        now: Micros,
    ) -> bool {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return false };
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence) {
            return false;
        }
        if unsolicited && !machine.fenced && heartbeat.fencing_token < term {
            // It may be a copy from before the takeover, minutes old: its list is not taken for
            // the present one, and it proves nothing. The answer makes a worker that did send it
            // now report again with this term's fencing token.
            machine.stale_heartbeat_at = now;
            return false;
        }
        if unsolicited && machine.confirms_known_state(heartbeat) {
            machine.sequence = heartbeat.sequence;
            machine.last_heartbeat_at = now;
            machine.slots.values_mut().for_each(|s| s.in_answer = false);
            return true;
        }
        self.apply_status_changes(config, run_times, heartbeat, unsolicited, now);
        true
    }

    /// Takes in a heartbeat that may change something.
    pub(crate) fn apply_status_changes(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        heartbeat: &Heartbeat,
        unsolicited: bool,
        now: Micros,
    ) {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return };
        if unsolicited {
            machine.track_acknowledgement(heartbeat, now);
        }
        if heartbeat.incarnation > machine.incarnation && machine.incarnation > 0 {
            // The lease ran out over there: everything of the earlier session is gone.
            self.empty_machine(&heartbeat.host);
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return };
        machine.incarnation = heartbeat.incarnation;
        machine.sequence = heartbeat.sequence;
        machine.last_heartbeat_at = now;
        machine.failed_calls = 0;
        if !unsolicited {
            // It was reached, so it is not deaf.
            machine.unacknowledged = 0;
        }
        machine.record.address.clone_from(&heartbeat.address);
        machine.spot_notice_until = heartbeat.warning_s.map(|s| now + micros_from_secs(s));
        if heartbeat.fencing_token >= term {
            machine.fenced = true;
            machine.verified = true;
            self.unfenced.remove(&heartbeat.host);
        }
        if unsolicited {
            // A worker has one heartbeat under way at a time: earlier answers are spent.
            machine.slots.values_mut().for_each(|s| s.in_answer = false);
        }
        for task in &heartbeat.tasks {
            self.apply_task_status(config, run_times, &heartbeat.host, task, now);
        }
        self.remove_unlisted_attempts(heartbeat, unsolicited);
        self.checkpoint_before_reclaim(heartbeat);
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return };
        if machine.busy() {
            machine.idle_since = None;
        } else if machine.idle_since.is_none() {
            machine.idle_since = Some(now);
        }
        self.refresh(&heartbeat.host);
    }

    /// On a spot notice, stops the tasks that can still save their progress; the others may yet
    /// come to their end.
    fn checkpoint_before_reclaim(&mut self, heartbeat: &Heartbeat) {
        let Some(left) = heartbeat.warning_s else { return };
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return };
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
                self.urgent.insert(heartbeat.host.clone());
            }
        }
    }

    /// Attempts that are known here but not in the heartbeat.
    fn remove_unlisted_attempts(&mut self, heartbeat: &Heartbeat, unsolicited: bool) {
        let Some(machine) = self.machines.get_mut(&heartbeat.host) else { return };
        let absent: Vec<SlotKey> = machine
            .slots
            .iter()
            .filter(|(key, slot)| {
                if heartbeat.lists(key) {
                    return false;
                }
                // Seen before, so its `run` is spent: cleared, or lost.
                let spent = slot.phase.is_some();
                // Never seen, and nothing that could still start it is under way.
                let dead =
                    unsolicited && !slot.wanted && slot.direct_command == DirectCommand::Settled;
                spent || dead
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.placement_wanted |= !absent.is_empty();
        for key in absent {
            if let Some(machine) = self.machines.get_mut(&heartbeat.host) {
                machine.slots.remove(&key);
            }
            self.requeue(&key.0, key.1);
        }
    }

    /// One task of a newer heartbeat.
    fn apply_task_status(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        host: &str,
        seen: &TaskStatus,
        now: Micros,
    ) {
        let key: SlotKey = (seen.task.clone(), seen.attempt);
        let known = self.machines.get(host).is_some_and(|m| m.slots.contains_key(&key));
        if !known {
            self.reconcile_attempt(config, host, seen, now);
        }
        if seen.phase == TaskPhase::Running {
            self.attempt_runs(config, host, &key, now);
        }
        let Some(slot) = self.machines.get_mut(host).and_then(|m| m.slots.get_mut(&key)) else {
            return;
        };
        slot.phase = Some(seen.phase);
        slot.cause = seen.cause;
        if seen.phase != TaskPhase::Exited || slot.accounted {
            return;
        }
        slot.accounted = true;
        // What a limited team used, or may have used, is free for its other tasks anywhere.
        self.placement_wanted |= slot.team.is_empty() || config.limited(&slot.team);
        let ended = EndedAttempt {
            host,
            seen,
            placed: slot.since,
            ran: slot.running_since.map(|since| now.saturating_sub(since)),
            class: slot.class.clone(),
            expect: slot.expect,
        };
        self.attempt_ended(config, run_times, &ended, now);
    }

    /// An attempt is reported to run.
    fn attempt_runs(&mut self, config: &Config, host: &str, key: &SlotKey, now: Micros) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        let Some(slot) = machine.slots.get_mut(key) else { return };
        let task = &key.0;
        if slot.running_since.is_none() {
            slot.running_since = Some(now);
            if config.log_level >= LogLevel::Debug {
                let submitted = self.jobs.get(&task.job).map_or(now, |job| job.since);
                self.log_events.push(LogEvent::TaskRunning {
                    partition: self.name.clone(),
                    job: task.job.clone(),
                    task: task.index,
                    machine: host.to_owned(),
                    class: slot.class.clone(),
                    since_placement: now - slot.since,
                    since_submission: now - submitted,
                });
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.service()) {
            job.record_start();
            if slot.running_since.is_some_and(|t| now.saturating_sub(t) > REPLICA_HEALTHY_AFTER) {
                job.mark_healthy();
            }
        }
        if !machine.images.contains(&slot.image) {
            machine.images.insert(slot.image.clone());
        }
    }

    fn attempt_ended(
        &mut self,
        config: &Config,
        run_times: &mut RunTimes,
        ended: &EndedAttempt,
        now: Micros,
    ) {
        let seen = ended.seen;
        let job = self.jobs.get_mut(&seen.task.job);
        if let Some(job) = job.filter(|job| job.service())
            && (ended.ran.is_some_and(|ran| ran > REPLICA_HEALTHY_AFTER)
                || seen.cause == Some(Cause::Done))
        {
            note_replica_end(job, ended, now);
            return self.requeue(&seen.task, seen.attempt);
        }
        match seen.cause {
            Some(Cause::Done) => return self.task_done(run_times, ended, now),
            Some(Cause::Halted) => {}
            Some(Cause::Error) | Some(Cause::Other) | None => {
                self.attempt_failed(config, ended, now)
            }
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
                if machine.pace.len() > MAX_RECENT_PACES {
                    machine.pace.remove(0);
                }
            }
        }
        let is_first = self.jobs.get(&task.job).is_some_and(|job| job.succeeded == 0);
        self.finish(&task.job, task.index, now);
        if is_first {
            self.job_runs_well(&task.job);
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.assignments.get(&task.index).is_some_and(|p| p.attempt == ended.seen.attempt)
        {
            job.assignments.remove(&task.index);
        }
    }

    fn attempt_failed(&mut self, config: &Config, ended: &EndedAttempt, now: Micros) {
        let id = &ended.seen.task.job;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let was_mistaken = job.fails_everywhere();
        job.failures.note(ended.host, ended.placed, ended.ran.unwrap_or(0), now);
        let (runs_well, several) = (job.succeeded > 0, job.failures.on_several());
        if several {
            // A mistaken job fails everywhere: it must not hammer the machines.
            job.no_start_before = now + job.failures.pause();
        }
        let is_news = job.fails_everywhere() && !was_mistaken;
        if is_news && config.log_level >= LogLevel::Info {
            let (partition, job) = (self.name.clone(), id.clone());
            self.log_events.push(LogEvent::JobFailsEverywhere { partition, job });
        }
        if let Some(machine) = self.machines.get_mut(ended.host) {
            machine.failures.note(id, runs_well, several, now);
        }
        if several && !runs_well {
            // It says nothing of the machines that it failed on before either.
            self.update_failure_records(id, |failures| failures.failed_elsewhere(id));
        }
    }

    /// Whether an attempt of a job that failed everywhere has shown by now that it runs.
    pub(crate) fn try_to_clear(&mut self, config: &Config, id: &str, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.fails_everywhere()) else { return };
        // A heartbeat may show a start or a failure an interval late.
        let margin = config.workers.heartbeat_interval * 2;
        for (index, place) in &job.assignments {
            let key = (TaskId { job: id.to_owned(), index: *index }, place.attempt);
            let slot = self.machines.get(&place.machine).and_then(|m| m.slots.get(&key));
            let since = slot.filter(|slot| !slot.exited()).and_then(|slot| slot.running_since);
            if let Some(since) = since {
                job.failures.runs(now.saturating_sub(since), margin);
            }
        }
        if !job.fails_everywhere() {
            self.job_runs_well(id);
        }
    }

    /// A job that may have failed on some machines has run well on another.
    fn job_runs_well(&mut self, id: &str) {
        self.update_failure_records(id, |failures| failures.runs_elsewhere(id));
        self.placement_wanted = true;
    }

    /// Tells the machines that a job failed on what has become of it elsewhere.
    fn update_failure_records(&mut self, id: &str, tell: impl Fn(&mut MachineFailures)) {
        let Some(job) = self.jobs.get(id) else { return };
        for host in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(host) {
                tell(&mut machine.failures);
            }
        }
    }

    /// An attempt that this leader has not started: adopted if the task is ours and nowhere
    /// else, ended otherwise.
    fn reconcile_attempt(&mut self, config: &Config, host: &str, seen: &TaskStatus, now: Micros) {
        let exited = seen.phase == TaskPhase::Exited;
        let mut slot = Slot::blank(now);
        (slot.phase, slot.cause) = (Some(seen.phase), seen.cause);
        (slot.wanted, slot.sent) = (false, true);
        if !self.jobs.contains_key(&seen.task.job) {
            // Its job may have ended while no leader acted: then it has had that time already.
            let absent = config.operator.lease_life + config.operator.takeover_after;
            slot.job_terminal_since = Some(now.saturating_sub(absent));
        }
        if let Some(job) = self.jobs.get_mut(&seen.task.job) {
            slot.describe(&job.record.job);
            self.attempted.entry(seen.task.job.clone()).or_default().insert(host.to_owned());
            let index = seen.task.index;
            let ours = job.record.owned_by(&self.name).contains(index);
            let free =
                ours && !job.assignments.contains_key(&index) && !job.finished.contains(index);
            let allowed = config.team(&job.record.job.team).is_some();
            if free && !exited && allowed && !job.is_moving(index) {
                slot.wanted = true;
                job.ready.remove(index);
                job.awaiting_recovery.remove(index);
                job.assignments
                    .insert(index, Assignment { machine: host.to_owned(), attempt: seen.attempt });
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
        self.need = Resources::required_by(job);
        self.priority = job.priority;
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
            need: Resources::default(),
            priority: Priority::BestEffort,
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
            direct_command: DirectCommand::Settled,
            in_answer: false,
            accounted: false,
            sent: false,
            service: false,
            yields: false,
            job_terminal_since: None,
            can_wait_for_heartbeat: false,
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
