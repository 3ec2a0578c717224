//! An attempt of a task that is or may be on a machine: the commands sent for it, the state the
//! worker reported, and the commands that may still be in flight.
//!
//! An attempt is kept as long as a command could still start it or a heartbeat could still list it.
//! This module holds state only: [`super::commands`] creates the commands, and
//! [`super::attempt_outcomes`] processes the end.

use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::workers::{ExitCause, TaskPhase};
use quartzlever_wire::{Micros, micros_from_secs};

pub use crate::calls::AttemptKey;
use crate::jobs::partition_job::is_cheap_to_preempt;
use crate::machines::resources::Resources;

/// The outcome of the last direct call that carried an attempt's `run` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectCommand {
    /// No call was made, or its outcome is known.
    Settled,
    InFlight,
    /// The outcome of the call is unknown: the command may still arrive, minutes late. Such an
    /// attempt is never cleared in this incarnation, because the late command would start a cleared
    /// attempt again.
    OutcomeUnknown,
}

/// An attempt that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub required_resources: Resources,
    pub priority: Priority,
    /// Team of the job; empty if the job is not known here.
    pub team: String,
    /// Class of the job; empty if the job is not known here.
    pub class: String,
    pub image: String,
    /// Run time that the job's owner estimated.
    pub expected_run_time: Micros,
    /// When the attempt was placed here or first seen in a heartbeat.
    pub placed_at: Micros,
    /// When a heartbeat first reported it as running.
    pub running_since: Option<Micros>,
    pub phase: Option<TaskPhase>,
    pub cause: Option<ExitCause>,
    /// Whether it should run; an unwanted attempt is killed.
    pub wanted: bool,
    /// Seconds that it may take to save its progress when it is killed.
    pub leeway_s: f64,
    pub direct_command: DirectCommand,
    /// The highest fencing token of the direct calls of this term that carried its `run`. A copy of
    /// such a call may arrive at any time, also after it was answered, so the attempt is cleared
    /// only together with a higher token.
    pub direct_run_token: Option<u64>,
    /// Whether the answer to a heartbeat carries its `run` and no later heartbeat has arrived, so
    /// that the answer may still be in flight. Answers and direct commands use different
    /// connections, so a late answer would start the attempt again if it had been killed and
    /// cleared in the meantime.
    pub run_in_answer: bool,
    /// Whether a heartbeat of this incarnation has listed it.
    pub listed_in_heartbeat: bool,
    /// Whether its end has been processed.
    pub end_processed: bool,
    /// Whether its `run` command was sent to the worker's address at least once.
    pub run_sent: bool,
    /// Whether it is a best-effort task with checkpoints, which loses almost nothing when
    /// preempted.
    pub is_cheap_to_preempt: bool,
    /// Whether it is a replica of a service.
    pub service: bool,
    /// Earliest time at which its job may have ended.
    pub job_terminal_since: Option<Micros>,
    /// Whether its `run` may wait for the answer to the next heartbeat instead of a direct call.
    pub can_wait_for_heartbeat: bool,
    /// When a direct call last carried its `kill`.
    pub kill_sent_at: Option<Micros>,
}

impl Attempt {
    /// Reports whether the worker reported it as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }

    /// Reports whether a worker that has seen `fencing_token` refuses every direct call of this term
    /// that carried the attempt's `run`.
    pub fn is_fenced_by(&self, fencing_token: u64) -> bool {
        self.direct_run_token.is_none_or(|run_token| run_token < fencing_token)
    }

    /// Copies the details that the attempt takes from its job.
    pub fn set_job_details(&mut self, job: &JobSpec) {
        self.required_resources = Resources::required_by(job);
        self.priority = job.priority;
        self.service = job.is_service();
        self.is_cheap_to_preempt = is_cheap_to_preempt(job);
        self.team.clone_from(&job.team);
        self.class.clone_from(&job.class);
        self.image.clone_from(&job.image);
        self.expected_run_time = micros_from_secs(job.expect_s);
    }

    /// Returns an attempt whose job and state are not known yet.
    pub(super) fn without_job(now: Micros) -> Self {
        Attempt {
            required_resources: Resources::default(),
            priority: Priority::BestEffort,
            team: String::new(),
            class: String::new(),
            image: String::new(),
            expected_run_time: 0,
            placed_at: now,
            running_since: None,
            phase: None,
            cause: None,
            wanted: true,
            leeway_s: 0.0,
            direct_command: DirectCommand::Settled,
            direct_run_token: None,
            run_in_answer: false,
            listed_in_heartbeat: false,
            end_processed: false,
            run_sent: false,
            service: false,
            is_cheap_to_preempt: false,
            job_terminal_since: None,
            can_wait_for_heartbeat: false,
            kill_sent_at: None,
        }
    }

    /// Returns a new attempt of one of the job's tasks.
    pub fn new(job: &JobSpec, now: Micros) -> Self {
        let mut attempt = Attempt::without_job(now);
        attempt.set_job_details(job);
        attempt
    }
}
