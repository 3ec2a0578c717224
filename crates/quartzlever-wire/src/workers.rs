//! The protocol between workers and controllers: heartbeats, commands and status.
//!
//! A worker posts its [`Heartbeat`] to `/hello` of a controller and receives [`WorkerCommands`].
//! The controller may also call `/status` and `/commands` at the worker's own address.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The maximum length of a machine's name, in bytes.
const MAX_MACHINE_NAME_BYTES: usize = 100;

/// The id of a task, written `req-000412/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Number of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The error for a text that is not a task id; the message quotes the text.
#[derive(Debug, thiserror::Error)]
#[error("not a task: {0:?}")]
pub struct ParseTaskIdError(String);

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, ParseTaskIdError> {
        let invalid = || ParseTaskIdError(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(invalid)?;
        let index: u32 = index.parse().map_err(|_| invalid())?;
        // A range of tasks ends one after its last task.
        if index == u32::MAX {
            return Err(invalid());
        }
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
        struct TaskIdVisitor;
        impl de::Visitor<'_> for TaskIdVisitor {
            type Value = TaskId;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<TaskId, E> {
                text.parse().map_err(E::custom)
            }
        }
        d.deserialize_str(TaskIdVisitor)
    }
}

/// The state of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The worker pulls the image.
    Pulling,
    /// The attempt runs.
    Running,
    /// The attempt is being stopped and saves its work.
    Saving,
    /// The attempt has ended. The worker reports it until [`WorkerCommand::Clear`].
    Exited,
}

/// The reason why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The attempt ran to completion.
    Done,
    /// A command killed the attempt.
    Halted,
    /// The attempt failed.
    Error,
    /// The attempt was not started: the machine has too little free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The attempt was not started: another attempt of the task is on the machine.
    Busy,
    /// The worker does not know the outcome of the attempt.
    Unknown,
    /// A cause that is unknown to this version; treated as a failure.
    #[serde(other)]
    Other,
}

/// One attempt of a task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// The task.
    #[serde(rename = "shard")]
    pub task: TaskId,
    /// Number of the attempt, from the command that started it.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub phase: TaskPhase,
    /// Why the attempt exited; present if and only if it has exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a stopped attempt has saved its work. Controllers accept it but do not use it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// The state of a machine: the body that a worker posts to `/hello`, and its answer to `/status`
/// and `/commands`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine, assigned by the cloud.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address and port at which the worker accepts calls.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Rises each time the worker restarts without tasks, for example when its lease has expired;
    /// never 0.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Rises with each heartbeat of an incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token under which the worker has accepted a command.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine; absent without a spot notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning_s: Option<f64>,
    /// All attempts on the machine, exited ones until they are cleared.
    #[serde(rename = "shards")]
    pub tasks: Vec<AttemptStatus>,
}

impl Heartbeat {
    /// Parses a heartbeat, or returns `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body).ok()?;
        let valid_name = !heartbeat.machine.is_empty()
            && heartbeat.machine.len() <= MAX_MACHINE_NAME_BYTES
            && heartbeat.machine.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        let valid_causes =
            heartbeat.tasks.iter().all(|t| (t.phase == TaskPhase::Exited) == t.cause.is_some());
        (valid_name && heartbeat.incarnation > 0 && valid_causes).then_some(heartbeat)
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start an attempt.
    Run {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Kill {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the attempt has to save its work; 0 to stop it immediately.
        leeway_s: f64,
    },
    /// Stop reporting an attempt that has exited.
    Clear {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Commands of a controller to a worker: the answer to a heartbeat, or the body of a post to
/// `/commands`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// Term of the partition that the machine belongs to. A worker refuses a lower token than the
    /// highest it has accepted.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation that the commands are for; required in a post to `/commands`.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// The commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A call of a controller to a worker's own address.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Query the state of the machine.
    Status,
    /// Execute commands.
    Command(WorkerCommands),
}

/// The answer of a worker to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The state of the machine, after the execution of any commands.
    Status(Heartbeat),
    /// The worker executed no command, because of a lower fencing token or another incarnation.
    Refused(Heartbeat),
}
