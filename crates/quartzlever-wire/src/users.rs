//! The protocol between users and controllers: submissions, lookups, cancellations.
//!
//! Users send [`JobSpec`] and receive [`JobAnswer`] or [`JobView`].

use serde::{Deserialize, Serialize};

use crate::MAX_BODY;

/// The most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Priority of a job, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Production.
    Prod,
    /// Urgent work outside production.
    Urgent,
    /// The usual priority.
    Standard,
    /// Runs on what the others leave.
    BestEffort,
}

/// Whether the tasks of a job end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    Batch,
    /// A service: its tasks (replicas) run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A submission, as users send it and as the store keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user: `req-` and a number, see [`valid_id`].
    #[serde(rename = "ref")]
    pub id: String,
    /// Jobs of one class are expected to have similar run times.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team whose quota the job counts against.
    #[serde(rename = "owner")]
    pub team: String,
    /// Batch or service.
    pub shape: Shape,
    /// Priority of all tasks.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// How many tasks the job has, 1 to [`MAX_TASKS`]; for a service, replicas.
    #[serde(rename = "shards")]
    pub tasks: u32,
    /// Processors for each task.
    pub cpus: f64,
    /// Graphics processors for each task.
    pub gpus: f64,
    /// Memory for each task.
    pub ram_gb: f64,
    /// The image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, which a worker pulls before the first task that needs it.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The machine types that the tasks may run on; any if absent.
    #[serde(rename = "chassis", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that the tasks must run in; any if absent.
    #[serde(rename = "bay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All running tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// No zone may have more than half of the tasks, rounded up.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// The tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time; 0 for a service.
    pub expect_s: f64,
    /// Time between checkpoints of a task; 0 if it makes none.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its work when it is stopped; 0 if it cannot.
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    /// Time after the submission by which the job should be done; none for a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadJob {
    /// The body is longer than [`MAX_BODY`].
    #[error("the body holds more than {MAX_BODY} bytes")]
    TooLong,
    /// Not JSON, or a field is missing or of another type; the parser's message.
    #[error("not a valid submission: {0}")]
    Json(String),
    /// The id is not one by [`valid_id`].
    #[error("invalid ref")]
    Id,
    /// No task, or more than [`MAX_TASKS`].
    #[error("shards must be 1 to {MAX_TASKS}")]
    Tasks,
    /// The field of this name on the wire is negative or not finite.
    #[error("{0} must be a finite amount, not below zero")]
    Amount(&'static str),
}

/// Whether a text is a job id: `req-` and 1 to 20 decimal digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Reads and checks a submission. Whether it can ever run is not decided here.
    pub fn parse(body: &[u8]) -> Result<JobSpec, BadJob> {
        if body.len() > MAX_BODY {
            return Err(BadJob::TooLong);
        }
        // serde would read a struct from a JSON array as well.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err(BadJob::Json("not an object".into()));
        }
        let mut spec: JobSpec =
            serde_json::from_slice(body).map_err(|e| BadJob::Json(e.to_string()))?;
        if !valid_id(&spec.id) {
            return Err(BadJob::Id);
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err(BadJob::Tasks);
        }
        for (name, amount) in [
            ("cpus", spec.cpus),
            ("gpus", spec.gpus),
            ("ram_gb", spec.ram_gb),
            ("size_gb", spec.image_gb),
            ("expect_s", spec.expect_s),
            ("snapshot_s", spec.checkpoint_s),
            ("flush_s", spec.save_s),
            ("due_s", spec.due_s.unwrap_or(0.0)),
        ] {
            if !amount.is_finite() || amount < 0.0 {
                return Err(BadJob::Amount(name));
            }
        }
        if spec.is_service() {
            // It has no end that could be expected or due.
            (spec.expect_s, spec.due_s) = (0.0, None);
        }
        Ok(spec)
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }
}

/// What a user is told of a job's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Accepted, no task has started.
    Queued,
    /// Some task has started.
    Running,
    /// Every task has run to completion.
    Done,
    /// Cancelled by a user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Its state.
    pub phase: JobPhase,
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Its state.
    pub phase: JobPhase,
    /// Tasks that have run to completion.
    pub done: u32,
    /// Tasks that run now, as far as the answering controller knows.
    pub running: u32,
}
