//! The state of a machine in its partition: incarnation, heartbeats, and the attempts that may be
//! on it.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::workers::{Heartbeat, TaskPhase};
use quartzlever_wire::{Micros, SECOND};

use crate::autoscaling::ScaleInReason;
use crate::machines::attempt::{Attempt, AttemptKey, DirectCommand};
use crate::machines::commands::{MAX_COMMANDS, MessageKind};
use crate::machines::failures::MachineFailures;
use crate::machines::listed_attempts::ListedAttempts;
use crate::machines::resources::Resources;
use crate::messages::CallId;

/// Number of exited attempts on a machine, started by direct calls and not cleared, from which on it
/// gets starts only in answers to heartbeats. Their list takes about a third of a status of 64 KiB.
const MAX_UNCLEARED_DIRECT_STARTS: usize = 200;
/// Number of attempts on a machine that no heartbeat has listed, from which on it gets no more: no
/// message could start more of them. The attempts of a machine thus stay within what its heartbeats
/// list, and one message.
const MAX_UNLISTED_ATTEMPTS: usize = MAX_COMMANDS;
/// Time after which a worker drops the answer to its heartbeat, and some for the way.
const ANSWER_TIMEOUT: Micros = 5 * SECOND;
/// Consecutive unacknowledged heartbeats after which a machine counts as ignoring commands.
const MIN_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;

/// An attempt of an ended job that may still start on a machine although the worker does not list
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnconfirmedEnd {
    pub attempt: AttemptKey,
    /// Earliest time at which the job may have ended.
    pub ended_at: Micros,
}

/// A claimed machine of a partition.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub record: MachineRecord,
    pub incarnation: u64,
    pub sequence: u64,
    /// The fencing token to which the machine's token was raised within this term; 0 if it was not.
    raised_token: u64,
    /// Whether the worker has reported or accepted this term's fencing token, so that commands of
    /// earlier leaders no longer have any effect on it.
    pub fenced: bool,
    /// Whether every attempt that an earlier leader may have started on the machine is known here
    /// or has ended.
    pub verified: bool,
    /// When the latest newer status arrived, as a heartbeat or as the reply to a direct call.
    pub last_heartbeat_at: Micros,
    /// When a heartbeat was last answered with status 200. The worker's lease runs from when it
    /// sent that heartbeat, which is earlier.
    pub last_answered_at: Micros,
    /// Whether answers to the machine's heartbeats renew the worker's lease. They do not while an
    /// attempt of a job that ended long ago may still start on the machine.
    pub is_lease_renewed: bool,
    pub idle_since: Option<Micros>,
    /// The approximate time at which the cloud reclaims the spot instance, if it gave notice.
    pub spot_reclaim_at: Option<Micros>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// The last attempt of the partition when the machine was last taken as empty because its lease
    /// had expired; 0 if it never was. A late heartbeat may still list that attempt and earlier ones.
    pub last_expired_attempt: u64,
    /// The free capacity, kept up to date by `Partition::refresh_machine`.
    pub free: Resources,
    /// Number of attempts that no heartbeat has listed, kept up to date like `free`.
    unlisted_attempts: usize,
    /// Consecutive failed direct calls since the last newer status.
    pub failed_calls: u32,
    /// Consecutive heartbeats that show no effect of the answers to earlier ones.
    pub unacknowledged_heartbeats: u32,
    /// When the first of these heartbeats arrived.
    pub unacknowledged_since: Micros,
    /// When a heartbeat without this term's fencing token last arrived, which may be a late copy.
    pub stale_heartbeat_at: Micros,
    /// Images that tasks have run from, and that the machine therefore has.
    pub images: BTreeSet<String>,
    /// The direct call in flight, if any.
    pub call: Option<CallId>,
    pub no_call_before: Micros,
    pub scaling_in: bool,
    pub scale_in_reason: Option<ScaleInReason>,
    /// Task failures on the machine since the last task that succeeded here.
    pub failures: MachineFailures,
    /// Run times of the latest tasks relative to the usual run time of their class, in thousandths.
    pub recent_paces: Vec<u32>,
}

impl Machine {
    /// Creates a machine that was just claimed or read from its record: neither fenced nor
    /// verified.
    pub fn new(name: &str, record: MachineRecord, now: Micros) -> Self {
        Machine {
            name: name.to_owned(),
            record,
            incarnation: 0,
            sequence: 0,
            raised_token: 0,
            fenced: false,
            verified: false,
            last_heartbeat_at: now,
            last_answered_at: now,
            is_lease_renewed: true,
            idle_since: Some(now),
            spot_reclaim_at: None,
            attempts: BTreeMap::new(),
            last_expired_attempt: 0,
            free: Resources::default(),
            unlisted_attempts: 0,
            failed_calls: 0,
            unacknowledged_heartbeats: 0,
            unacknowledged_since: 0,
            stale_heartbeat_at: 0,
            images: BTreeSet::new(),
            call: None,
            no_call_before: 0,
            scaling_in: false,
            scale_in_reason: None,
            failures: MachineFailures::default(),
            recent_paces: Vec::new(),
        }
    }

    /// Returns the fencing token of the commands to the machine, given its partition's term.
    pub fn fencing_token(&self, term: u64) -> u64 {
        self.raised_token.max(term)
    }

    /// Raises the fencing token of the commands to the machine. The worker then refuses all that
    /// was sent with a lower one.
    pub(super) fn raise_fencing_token(&mut self, fencing_token: u64) {
        self.raised_token = self.raised_token.max(fencing_token);
    }

    /// Reports whether a message that is sent now may raise the fencing token. The worker refuses
    /// what arrives after it with the present token, so a direct call must not be in flight, and a
    /// call must not overtake the answer to a heartbeat.
    pub(super) fn may_raise_fencing_token(&self, kind: MessageKind, now: Micros) -> bool {
        let is_answer_outdated = now >= self.last_answered_at + ANSWER_TIMEOUT;
        self.call.is_none() && (kind == MessageKind::HeartbeatAnswer || is_answer_outdated)
    }

    /// Reports whether tasks may be started by direct calls. They may not while many attempts that
    /// were started so are waiting to be cleared, since the worker's status lists all of them.
    pub(super) fn accepts_direct_starts(&self) -> bool {
        let is_waiting = |a: &&Attempt| a.has_exited() && a.direct_run_token.is_some();
        self.attempts.values().filter(is_waiting).count() < MAX_UNCLEARED_DIRECT_STARTS
    }

    /// Reports whether the machine may get new tasks, provided that its heartbeats keep arriving.
    pub fn is_usable(&self) -> bool {
        self.fenced
            && self.incarnation > 0
            && self.is_lease_renewed
            && !self.scaling_in
            && self.scale_in_reason.is_none()
            && self.spot_reclaim_at.is_none()
            && self.failed_calls == 0
            && self.unacknowledged_heartbeats == 0
    }

    /// Returns the number of tasks that may be started on the machine now, whatever fits.
    pub(crate) fn start_slots(&self) -> u32 {
        MAX_UNLISTED_ATTEMPTS.saturating_sub(self.unlisted_attempts) as u32
    }

    /// Counts the attempts that no heartbeat has listed. Returns whether the machine may get starts
    /// again, after it could get none.
    pub(super) fn count_unlisted_attempts(&mut self) -> bool {
        let had_slots = self.start_slots() > 0;
        let is_unlisted = |attempt: &&Attempt| !attempt.listed_in_heartbeat;
        self.unlisted_attempts = self.attempts.values().filter(is_unlisted).count();
        !had_slots && self.start_slots() > 0
    }

    /// Returns the attempts of a job.
    pub(crate) fn attempts_of(&self, job: &str) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.attempts.range(AttemptKey::range_of_job(job))
    }

    /// Records what every newer heartbeat shows: no earlier answer can still take effect, and the
    /// worker lists these attempts.
    pub(super) fn record_listed_attempts(&mut self) {
        for attempt in self.attempts.values_mut() {
            attempt.run_in_answer = false;
            attempt.listed_in_heartbeat = true;
        }
    }

    /// Reports whether any service replica is meant to run on the machine.
    pub fn has_service_replicas(&self) -> bool {
        self.attempts.values().any(|a| a.service && a.wanted && !a.has_exited())
    }

    /// Reports whether an unwanted attempt is still not confirmed as ended after `exit_timeout`.
    ///
    /// This concerns attempts whose job is over, and attempts that were never reported although
    /// their `run` command may still arrive: no status will ever confirm the end of those.
    pub fn has_lingering_attempt(&self, now: Micros, exit_timeout: Micros) -> bool {
        self.attempts.values().filter(|a| !a.wanted && !a.has_exited()).any(|a| {
            let unconfirmed =
                a.phase.is_none() && a.direct_command == DirectCommand::OutcomeUnknown;
            let since = a.job_terminal_since.or(unconfirmed.then_some(a.placed_at));
            since.is_some_and(|t| now.saturating_sub(t) > exit_timeout)
        })
    }

    /// Returns, of the unwanted attempts of ended jobs that the answer to this heartbeat cannot end,
    /// the one whose job may have ended first. An attempt that the heartbeat lists is killed by the
    /// answer that renews the lease; one that it does not list may still be started by a command
    /// in flight.
    pub(crate) fn unconfirmed_end(&self, heartbeat: &Heartbeat) -> Option<UnconfirmedEnd> {
        let mut ended = self.attempts_of_ended_jobs().peekable();
        ended.peek()?;
        let listed = ListedAttempts::of(heartbeat);
        let (key, ended_at) =
            ended.filter(|(key, _)| !listed.contains(key)).min_by_key(|(_, ended_at)| *ended_at)?;
        Some(UnconfirmedEnd { attempt: key.clone(), ended_at })
    }

    /// Returns the unwanted attempts of ended jobs that have not exited, and the earliest time at
    /// which the job may have ended.
    pub(super) fn attempts_of_ended_jobs(&self) -> impl Iterator<Item = (&AttemptKey, Micros)> {
        let unwanted = self.attempts.iter().filter(|(_, a)| !a.wanted && !a.has_exited());
        unwanted.filter_map(|(key, attempt)| Some((key, attempt.job_terminal_since?)))
    }

    /// Reports whether the machine sends heartbeats but does not act on the answers to them.
    pub fn ignores_commands(&self, now: Micros, heartbeat_interval: Micros) -> bool {
        self.unacknowledged_heartbeats >= MIN_UNACKNOWLEDGED_HEARTBEATS
            && now.saturating_sub(self.unacknowledged_since) >= heartbeat_interval
    }

    /// Reports whether a newer heartbeat, not sent as the reply to a direct call, contains nothing
    /// new. Most heartbeats are of this kind, and need no further processing.
    pub fn confirms_known_state(&self, heartbeat: &Heartbeat) -> bool {
        self.is_usable()
            && self.verified
            && heartbeat.incarnation == self.incarnation
            && heartbeat.warning_s.is_none()
            && heartbeat.address == self.record.address
            && heartbeat.tasks.len() == self.attempts.len()
            && self.lists_known_attempts(&ListedAttempts::of(heartbeat))
            && !self.has_urgent_commands()
    }

    /// Reports whether a heartbeat lists the attempts on the machine in their known states. The list
    /// has as many attempts as the machine, and both are in the order of their keys.
    fn lists_known_attempts(&self, listed: &ListedAttempts) -> bool {
        listed.iter().zip(&self.attempts).all(|(status, (key, attempt))| {
            key.attempt == status.attempt
                && key.task == status.task
                && attempt.phase == Some(status.phase)
                && attempt.cause == status.cause
                && (status.phase != TaskPhase::Exited || attempt.end_processed)
                && (status.phase != TaskPhase::Running || attempt.running_since.is_some())
        })
    }

    /// Updates the count of unacknowledged heartbeats from a newer heartbeat.
    ///
    /// A worker has one heartbeat in flight at a time, so a newer heartbeat proves that the worker
    /// has received the answer to the previous one, or never will.
    pub(super) fn track_acknowledgement(
        &mut self,
        heartbeat: &Heartbeat,
        listed: &ListedAttempts,
        now: Micros,
    ) {
        let missing = self
            .attempts
            .iter()
            .any(|(key, a)| a.run_in_answer && a.wanted && !listed.contains(key));
        // The lease of the earlier incarnation expired although its heartbeats were answered.
        let lease_expired = heartbeat.incarnation > self.incarnation
            && self.incarnation > 0
            && self.unacknowledged_heartbeats > 0;
        if missing || lease_expired {
            if self.unacknowledged_heartbeats == 0 {
                self.unacknowledged_since = now;
            }
            self.unacknowledged_heartbeats += 1;
        } else {
            self.unacknowledged_heartbeats = 0;
        }
    }

    /// Reports whether the machine may get new tasks: it is usable, and its last heartbeat is less
    /// than `max_silence` old.
    pub fn accepts_tasks(&self, now: Micros, max_silence: Micros) -> bool {
        self.is_usable() && now.saturating_sub(self.last_heartbeat_at) < max_silence
    }

    /// Returns the part of `capacity` that is free. Every attempt that may be on the machine counts
    /// as using what it needs.
    pub fn free_capacity(&self, capacity: Resources) -> Resources {
        let mut free = capacity;
        for attempt in self.attempts.values().filter(|a| !a.has_exited()) {
            free.subtract(&attempt.required_resources);
        }
        free
    }

    /// Reports whether the machine pulls `image` for a task, or is about to.
    pub fn is_pulling(&self, image: &str) -> bool {
        let is_starting = |a: &Attempt| matches!(a.phase, None | Some(TaskPhase::Pulling));
        self.attempts.values().any(|a| is_starting(a) && a.image == image)
    }

    /// Reports whether an attempt may be running on the machine.
    pub fn has_active_attempts(&self) -> bool {
        self.attempts.values().any(|a| !a.has_exited())
    }

    /// Reports whether a command is pending that needs a direct call instead of waiting for the
    /// answer to the next heartbeat.
    pub fn has_urgent_commands(&self) -> bool {
        let is_urgent_start = |a: &Attempt| a.wanted && !a.run_sent && !a.can_wait_for_heartbeat;
        let is_urgent_kill = |a: &Attempt| !a.wanted && a.kill_sent_at.is_none();
        let active = || self.attempts.values().filter(|a| !a.has_exited());
        active().any(is_urgent_kill)
            || (active().any(is_urgent_start) && self.accepts_direct_starts())
    }

    /// Marks an attempt as unwanted, with the time in seconds that it gets to save its work.
    pub fn mark_unwanted(&mut self, key: &AttemptKey, leeway_s: f64) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.wanted = false;
            attempt.leeway_s = leeway_s;
        }
    }
}
