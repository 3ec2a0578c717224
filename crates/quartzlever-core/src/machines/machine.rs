//! A machine as its partition knows it: its incarnation, its heartbeats, and the attempts that may be on it.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Micros;
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::workers::{Heartbeat, TaskPhase, TaskStatus};

use crate::autoscaling::ScaleInReason;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::failures::MachineFailures;
use crate::machines::resources::Resources;
use crate::messages::CallId;

/// So many heartbeats in a row without a sign of what answers said show a machine that hears nothing.
const UNACKNOWLEDGED_HEARTBEATS: u32 = 2;

/// A claimed machine of a partition.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub record: MachineRecord,
    pub incarnation: u64,
    pub sequence: u64,
    /// It has shown or accepted this term's fencing token: no command of an earlier leader has any
    /// effect on it now.
    pub fenced: bool,
    /// Nothing that an earlier leader started is on it without our knowing.
    pub verified: bool,
    /// Last newer heartbeat of any kind.
    pub last_heartbeat_at: Micros,
    /// Last time a heartbeat was answered 200; the worker's lease counts from before that.
    pub last_answered_at: Micros,
    pub idle_since: Option<Micros>,
    /// The cloud takes it away at about this time.
    pub spot_notice_until: Option<Micros>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// What is free, kept by `Partition::refresh`.
    pub free: Resources,
    /// Direct calls in a row that brought nothing, with nothing heard since.
    pub failed_calls: u32,
    /// Heartbeats in a row that show no sign of what earlier answers said, and since when.
    pub unacknowledged: u32,
    pub unacknowledged_since: Micros,
    /// When something came that may be a late copy: a heartbeat without this term's fencing token.
    pub stale_heartbeat_at: Micros,
    /// Images that tasks have run from, so that the machine has them.
    pub images: BTreeSet<String>,
    /// A direct call in flight.
    pub call: Option<CallId>,
    pub no_call_before: Micros,
    pub scaling_in: bool,
    pub scale_in_reason: Option<ScaleInReason>,
    /// Tasks that failed here since the last one that was done.
    pub failures: MachineFailures,
    /// Run times of its last tasks against what their class usually takes, in thousandths.
    pub pace: Vec<u32>,
}

impl Machine {
    /// A machine that was just claimed or read from its record: neither fenced nor verified.
    pub fn new(name: &str, record: MachineRecord, now: Micros) -> Self {
        Machine {
            name: name.to_owned(),
            record,
            incarnation: 0,
            sequence: 0,
            fenced: false,
            verified: false,
            last_heartbeat_at: now,
            last_answered_at: now,
            idle_since: Some(now),
            spot_notice_until: None,
            attempts: BTreeMap::new(),
            free: Resources::default(),
            failed_calls: 0,
            unacknowledged: 0,
            unacknowledged_since: 0,
            stale_heartbeat_at: 0,
            images: BTreeSet::new(),
            call: None,
            no_call_before: 0,
            scaling_in: false,
            scale_in_reason: None,
            failures: MachineFailures::default(),
            pace: Vec::new(),
        }
    }

    /// Whether the machine may get new tasks, as long as it is heard of.
    pub fn usable(&self) -> bool {
        self.fenced
            && self.incarnation > 0
            && !self.scaling_in
            && self.scale_in_reason.is_none()
            && self.spot_notice_until.is_none()
            && self.failed_calls == 0
            && self.unacknowledged == 0
    }

    /// Whether replicas of services are to run here.
    pub fn serves(&self) -> bool {
        self.attempts.values().any(|s| s.service && s.wanted && !s.exited())
    }

    /// Whether an attempt that must not be here is not proven gone although it has had that long:
    /// its job is over, or its `run` may still arrive and nothing will ever tell.
    pub fn has_lingering_attempt(&self, now: Micros, within: Micros) -> bool {
        self.attempts.values().filter(|s| !s.wanted && !s.exited()).any(|s| {
            let lost = s.phase.is_none() && s.direct_command == DirectCommand::OutcomeUnknown;
            let since = s.job_terminal_since.or(lost.then_some(s.since));
            since.is_some_and(|t| now.saturating_sub(t) > within)
        })
    }

    /// Whether it reports but heeds nothing that it is told.
    pub fn ignores_commands(&self, now: Micros, heartbeat_interval: Micros) -> bool {
        self.unacknowledged >= UNACKNOWLEDGED_HEARTBEATS
            && now.saturating_sub(self.unacknowledged_since) >= heartbeat_interval
    }

    /// Whether a newer heartbeat of this machine's own accord tells nothing that is not known: most
    /// do, and cost no more than to be heard.
    pub fn confirms_known_state(&self, heartbeat: &Heartbeat) -> bool {
        let known = |t: &TaskStatus| {
            let attempt = self
                .attempts
                .iter()
                .find(|(key, _)| key.attempt == t.attempt && key.task == t.task);
            attempt.is_some_and(|(_, s)| {
                s.phase == Some(t.phase)
                    && s.cause == t.cause
                    && (t.phase != TaskPhase::Exited || s.accounted)
                    && (t.phase != TaskPhase::Running || s.running_since.is_some())
            })
        };
        self.usable()
            && self.verified
            && heartbeat.incarnation == self.incarnation
            && heartbeat.warning_s.is_none()
            && heartbeat.address == self.record.address
            && heartbeat.tasks.len() == self.attempts.len()
            && heartbeat.tasks.iter().all(known)
            && !self.has_urgent_commands()
    }

    /// Takes account of whether a newer heartbeat shows that answers arrive: a worker has one heartbeat
    /// under way at a time, so it has seen the answer to the one before, or never will.
    pub fn track_acknowledgement(&mut self, heartbeat: &Heartbeat, now: Micros) {
        let missing = self
            .attempts
            .iter()
            .any(|(key, s)| s.in_answer && s.wanted && !heartbeat.lists(&key.task, key.attempt));
        // An incarnation whose lease ran out although it was answered all the time.
        let lapsed = heartbeat.incarnation > self.incarnation
            && self.incarnation > 0
            && self.unacknowledged > 0;
        if missing || lapsed {
            if self.unacknowledged == 0 {
                self.unacknowledged_since = now;
            }
            self.unacknowledged += 1;
        } else {
            self.unacknowledged = 0;
        }
    }

    /// Whether the machine may get new tasks.
    pub fn accepts_tasks(&self, now: Micros, quiet: Micros) -> bool {
        self.usable() && now.saturating_sub(self.last_heartbeat_at) < quiet
    }

    /// What is free, counting everything that may be on the machine as taken.
    pub fn free_of(&self, total: Resources) -> Resources {
        let mut free = total;
        for attempt in self.attempts.values().filter(|s| !s.exited()) {
            free.take(&attempt.need);
        }
        free
    }

    /// Whether an image is being fetched for a task.
    pub fn pulls(&self, image: &str) -> bool {
        let waits = |s: &Attempt| matches!(s.phase, None | Some(TaskPhase::Pulling));
        self.attempts.values().any(|s| waits(s) && s.image == image)
    }

    /// Whether an attempt may be running here.
    pub fn busy(&self) -> bool {
        self.attempts.values().any(|s| !s.exited())
    }

    /// Whether anything waits to be said to the worker that is worth a call of its own.
    pub fn has_urgent_commands(&self) -> bool {
        self.attempts.values().filter(|s| !s.exited()).any(|s| {
            if s.wanted { !s.sent && !s.can_wait_for_heartbeat } else { s.kill_sent.is_none() }
        })
    }

    /// Marks an attempt as unwanted.
    pub fn stop(&mut self, key: &AttemptKey, leeway_s: f64) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.wanted = false;
            attempt.leeway_s = leeway_s;
        }
    }
}
