//! Users -> controllers: submissions, lookups, cancellations.

use serde::{Deserialize, Serialize};

use crate::MAX_BODY;

/// The most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Priority of a job; a later variant gives way to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Prod,
    Urgent,
    Standard,
    BestEffort,
}

/// How the tasks of a job hang together.
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
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "shards")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    #[serde(rename = "chassis", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "bay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub expect_s: f64,
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadJob {
    #[error("the body holds more than {MAX_BODY} bytes")]
    TooLong,
    #[error("not a valid submission: {0}")]
    Json(String),
    #[error("invalid ref")]
    Id,
    #[error("shards must be 1 to {MAX_TASKS}")]
    Tasks,
    #[error("{0} must be a finite amount, not below zero")]
    Amount(&'static str),
}

/// Whether a text is a job id: `req-` and a number.
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
    Queued,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    #[serde(rename = "ref")]
    pub id: String,
    pub phase: JobPhase,
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    #[serde(rename = "ref")]
    pub id: String,
    pub phase: JobPhase,
    pub done: u32,
    pub running: u32,
}
