//! An attempt of a task that is on a machine, or may be: what was ordered, what was reported, and what may
//! still be under way to the worker.
//!
//! An attempt is held as long as anything could still start it or show it. It decides nothing itself: commands
//! are made in [`super::commands`], and its end is taken account of in [`super::attempt_outcomes`].

use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::workers::{Cause, TaskPhase};
use quartzlever_wire::{Micros, micros_from_secs};

pub use crate::calls::AttemptKey;
use crate::jobs::partition_job::yields;
use crate::machines::resources::Resources;

/// What became of the last direct call that carried an attempt's `run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectCommand {
    /// None was made, or it was answered.
    Settled,
    InFlight,
    /// It was given up and may still arrive, minutes late. Such an attempt is never cleared in
    /// this incarnation: a cleared attempt would be started again by the late command.
    OutcomeUnknown,
}

/// An attempt that is on a machine, or may be.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub need: Resources,
    pub priority: Priority,
    /// Team and class of the job; empty for an attempt of a job that is not known here.
    pub team: String,
    pub class: String,
    pub image: String,
    pub expect: Micros,
    /// When the command was first given, or the attempt first seen.
    pub since: Micros,
    /// When it was first reported running.
    pub running_since: Option<Micros>,
    pub phase: Option<TaskPhase>,
    pub cause: Option<Cause>,
    pub wanted: bool,
    pub leeway_s: f64,
    pub direct_command: DirectCommand,
    /// The answer to a heartbeat carries its `run`, and no later heartbeat has come: the answer may
    /// still be under way. Answers and direct commands go by different connections, so that a
    /// late answer would start the attempt again if it were killed and cleared meanwhile.
    pub in_answer: bool,
    /// Its end has been taken account of.
    pub accounted: bool,
    /// The command was handed to the worker's address at least once.
    pub sent: bool,
    /// It is idle-time work that saves its progress when it is stopped, so that it loses next to nothing.
    pub yields: bool,
    /// It is a replica of a service.
    pub service: bool,
    /// Since when its job may have been over, at the earliest.
    pub job_terminal_since: Option<Micros>,
    /// Its start need not be told by a call: the answer to the next heartbeat is soon enough.
    pub can_wait_for_heartbeat: bool,
    pub kill_sent: Option<Micros>,
}

impl Attempt {
    /// Whether it was reported to have ended.
    pub fn exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }

    /// Notes what the job says of the attempt.
    pub fn describe(&mut self, job: &JobSpec) {
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
    pub(super) fn blank(now: Micros) -> Self {
        Attempt {
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
    pub fn new(job: &JobSpec, now: Micros) -> Self {
        let mut attempt = Attempt::blank(now);
        attempt.describe(job);
        attempt
    }
}
