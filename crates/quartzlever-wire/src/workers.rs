//! Workers <-> controllers: reports, commands, status.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// One task of a job, written `req-000412/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: String,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A text that names no task.
#[derive(Debug, thiserror::Error)]
#[error("not a task: {0:?}")]
pub struct BadTask(String);

impl FromStr for TaskId {
    type Err = BadTask;

    fn from_str(text: &str) -> Result<Self, BadTask> {
        let bad = || BadTask(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(bad)?;
        let index = index.parse().map_err(|_| bad())?;
        Ok(TaskId { job: job.to_owned(), index })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Text;
        impl de::Visitor<'_> for Text {
            type Value = TaskId;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<TaskId, E> {
                text.parse().map_err(E::custom)
            }
        }
        d.deserialize_str(Text)
    }
}

/// What a worker says of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    Pulling,
    Running,
    Saving,
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Halted,
    Error,
    NoRoom,
    Busy,
    Unknown,
    /// A cause that this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// One task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "shard")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub phase: TaskPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// A worker's report: the body of `/hello`, and of the answers of `/status` and `/commands`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub host: String,
    pub address: String,
    #[serde(rename = "frame")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "tick")]
    pub sequence: u64,
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning_s: Option<f64>,
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Reads a heartbeat; `None` for anything malformed.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body).ok()?;
        let named = !heartbeat.host.is_empty()
            && heartbeat.host.len() <= 100
            && heartbeat.host.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        let sound =
            heartbeat.tasks.iter().all(|t| (t.phase == TaskPhase::Exited) == t.cause.is_some());
        (named && heartbeat.incarnation > 0 && sound).then_some(heartbeat)
    }
}

impl Heartbeat {
    /// Whether the heartbeat lists an attempt of a task.
    pub fn lists(&self, (task, attempt): &(TaskId, u64)) -> bool {
        self.tasks.iter().any(|t| t.attempt == *attempt && t.task == *task)
    }
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    Run {
        #[serde(rename = "shard")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Kill {
        #[serde(rename = "shard")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
        leeway_s: f64,
    },
    Clear {
        #[serde(rename = "shard")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat, and the body of a direct command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A call to a worker's own address.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    Status,
    Command(WorkerCommands),
}

/// What a worker answered.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// Status, or commands executed.
    Status(Heartbeat),
    /// Nothing executed: lower token or another session.
    Refused(Heartbeat),
}
