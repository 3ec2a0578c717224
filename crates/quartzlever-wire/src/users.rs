//! The protocol between users and controllers: submissions, lookups and cancellations.
//!
//! Users submit a [`JobSpec`] and receive a [`JobAnswer`] or, for a lookup, a [`JobView`].

use serde::{Deserialize, Serialize};

use crate::MAX_BODY;

/// The maximum number of tasks of one job.
pub const MAX_TASKS: u32 = 100_000;

/// The maximum number of decimal digits in a job id.
const MAX_ID_DIGITS: usize = 20;

/// The priority of a job, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Production.
    Prod,
    /// Urgent work outside production.
    Urgent,
    /// The usual priority.
    Standard,
    /// Runs on the capacity that the other priorities leave free.
    BestEffort,
}

/// The kind of a job: whether its tasks run to completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    Batch,
    /// A service: its tasks (replicas) run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A submission, as users send it and as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user: `req-` and a number, see [`is_valid_id`].
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of the job; jobs of one class are expected to have similar run times.
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
    /// Number of tasks, 1 to [`MAX_TASKS`]; for a service, the number of replicas.
    #[serde(rename = "shards")]
    pub tasks: u32,
    /// Processors per task.
    pub cpus: f64,
    /// Graphics processors per task.
    pub gpus: f64,
    /// Memory per task.
    pub ram_gb: f64,
    /// Image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, which a worker pulls before the first task that needs it.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that the tasks may run on; any if absent.
    #[serde(rename = "chassis", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Zone that the tasks must run in; any if absent.
    #[serde(rename = "bay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all running tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether each zone may run at most half of the tasks, rounded up.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether the tasks may run on spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimated run time of a task, given by the team; 0 for a service.
    pub expect_s: f64,
    /// Interval between checkpoints of a task; 0 if it makes none.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its work when it is stopped; 0 if it cannot save it.
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    /// Deadline of the job, in seconds after the submission; none for a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// The error for a malformed submission.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body is longer than [`MAX_BODY`].
    #[error("the body holds more than {MAX_BODY} bytes")]
    TooLong,
    /// The body is not JSON, or a field is missing or of the wrong type; with the parser's message.
    #[error("not a valid submission: {0}")]
    Json(String),
    /// The id is invalid, see [`is_valid_id`].
    #[error("invalid ref")]
    Id,
    /// The job has no task or more than [`MAX_TASKS`].
    #[error("shards must be 1 to {MAX_TASKS}")]
    Tasks,
    /// The field with this name on the wire is negative or not finite.
    #[error("{0} must be a finite amount, not below zero")]
    Amount(&'static str),
}

/// Reports whether a text is a job id: `req-` and 1 to 20 decimal digits.
pub fn is_valid_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|n| {
        !n.is_empty() && n.len() <= MAX_ID_DIGITS && n.bytes().all(|b| b.is_ascii_digit())
    })
}

impl JobSpec {
    /// Parses and validates a submission. It does not check whether the job can ever run.
    ///
    /// # Errors
    /// The first fault that is found.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        if body.len() > MAX_BODY {
            return Err(SubmissionError::TooLong);
        }
        // serde would also deserialize the struct from a JSON array.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err(SubmissionError::Json("not an object".into()));
        }
        let mut spec: JobSpec =
            serde_json::from_slice(body).map_err(|e| SubmissionError::Json(e.to_string()))?;
        if !is_valid_id(&spec.id) {
            return Err(SubmissionError::Id);
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err(SubmissionError::Tasks);
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
                return Err(SubmissionError::Amount(name));
            }
        }
        if spec.is_service() {
            // A service does not end, so it has neither an expected run time nor a deadline.
            (spec.expect_s, spec.due_s) = (0.0, None);
        }
        Ok(spec)
    }

    /// Reports whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }
}

/// The state of a job, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// The job is accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task has run to completion.
    Done,
    /// A user has cancelled the job.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: String,
    /// State of the job.
    pub phase: JobPhase,
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: String,
    /// State of the job.
    pub phase: JobPhase,
    /// Number of tasks that have run to completion.
    pub done: u32,
    /// Number of tasks that run now, to the knowledge of the answering controller.
    pub running: u32,
}
