//! The protocol between workers and controllers: heartbeats, commands, status.
//!
//! A worker posts its [`Heartbeat`] to a controller's `/hello` and receives [`WorkerCommands`]. The
//! controller may also call the worker's own address: `/status` and `/commands`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// One task of a job, written `req-000412/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job's id.
    pub job: String,
    /// Number of the task in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A text that names no task; it is quoted in the message.
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

/// State of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The worker pulls the image.
    Pulling,
    /// The attempt runs.
    Running,
    /// The attempt is being stopped and saves its work.
    Saving,
    /// The attempt has ended; the worker reports it until it is told to forget it.
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It ran to completion.
    Done,
    /// It was killed by a command.
    Halted,
    /// It failed.
    Error,
    /// It was not started: the machine has too little free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// It was not started: another attempt of the task is on the machine.
    Busy,
    /// The worker does not know what became of it.
    Unknown,
    /// A cause that this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// One attempt of a task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "shard")]
    pub task: TaskId,
    /// The attempt of the task, as the command that started it numbered it.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub phase: TaskPhase,
    /// Why it exited; given if and only if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether a stopped attempt has saved its work. Controllers read it and do not use it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// The state of a machine: the body that a worker posts to `/hello`, and its answer to `/status`
/// and `/commands`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name, as the cloud gave it.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address and port where the worker takes calls.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Rises each time the worker starts anew without tasks, as when its lease has run out;
    /// never 0.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Rises with each heartbeat of an incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has accepted a command under.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The cloud takes the machine back in so many seconds; absent if it has not said so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning_s: Option<f64>,
    /// All attempts on the machine, exited ones until they are cleared.
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Reads a heartbeat; `None` for anything malformed.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body).ok()?;
        let named = !heartbeat.machine.is_empty()
            && heartbeat.machine.len() <= 100
            && heartbeat.machine.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        let sound =
            heartbeat.tasks.iter().all(|t| (t.phase == TaskPhase::Exited) == t.cause.is_some());
        (named && heartbeat.incarnation > 0 && sound).then_some(heartbeat)
    }

    /// Whether the heartbeat lists an attempt of a task.
    pub fn lists(&self, task: &TaskId, attempt: u64) -> bool {
        self.tasks.iter().any(|t| t.attempt == attempt && t.task == *task)
    }
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start an attempt.
    Run {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Kill {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that it has to save its work; 0 to stop it at once.
        leeway_s: f64,
    },
    /// Forget an attempt that has exited.
    Clear {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// What a controller sends to a worker: the answer to a heartbeat, or the body of a post to
/// `/commands`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The term of the partition that the machine belongs to; a worker refuses a lower one than it
    /// has accepted.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The incarnation that the commands are meant for; required in a post to `/commands`.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// The commands, carried out in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A call of a controller to a worker's own address.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Ask for the state of the machine.
    Status,
    /// Carry out commands.
    Command(WorkerCommands),
}

/// What a worker answered.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// Status, or commands executed.
    Status(Heartbeat),
    /// Nothing executed: lower fencing token or another incarnation.
    Refused(Heartbeat),
}
