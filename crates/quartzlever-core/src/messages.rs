//! The input and output of the core: commands, effects and the identifiers that link them.

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::users::{JobAnswer, JobSpec, JobView};
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerCommands, WorkerReply};
use quartzlever_wire::{CallError, Micros};
use serde::Serialize;

use crate::events::LogEvent;
pub use crate::events::LogLevel;

/// Identifies a request from outside that waits for an answer.
pub type RequestId = u64;

/// Identifies a call whose reply is awaited.
pub type CallId = u64;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Command {
    Submit {
        id: RequestId,
        spec: Box<JobSpec>,
    },
    Lookup {
        id: RequestId,
        job: String,
    },
    Cancel {
        id: RequestId,
        job: String,
    },
    Ready {
        id: RequestId,
    },
    Heartbeat {
        id: RequestId,
        heartbeat: Heartbeat,
    },
    PeerRequest {
        id: RequestId,
        request: PeerRequest,
    },
    StoreReply {
        call_id: CallId,
        result: Result<StoreReply, CallError>,
    },
    CloudReply {
        call_id: CallId,
        result: Result<CloudReply, CallError>,
    },
    WorkerReply {
        call_id: CallId,
        result: Result<WorkerReply, CallError>,
    },
    PeerReply {
        call_id: CallId,
        result: Result<PeerAnswer, CallError>,
    },
    /// Time has passed.
    Tick {
        /// Time of day, in microseconds since 1970.
        wall: Micros,
        /// Whether the process has stalled since the last tick, or received more commands than it
        /// has processed.
        was_stalled: bool,
    },
}

impl Command {
    /// Returns the rank of the command in the order of processing under load, lowest first:
    /// heartbeats and replies, then ticks, requests of peers and readiness checks, then lookups and
    /// cancellations, then submissions.
    pub fn processing_rank(&self) -> u8 {
        match self {
            Command::Heartbeat { .. }
            | Command::StoreReply { .. }
            | Command::CloudReply { .. }
            | Command::WorkerReply { .. }
            | Command::PeerReply { .. } => 0,
            Command::Tick { .. } | Command::PeerRequest { .. } | Command::Ready { .. } => 1,
            Command::Lookup { .. } | Command::Cancel { .. } => 2,
            Command::Submit { .. } => 3,
        }
    }
}

/// The priority of a call to the store, most urgent first. Each priority has threads of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallPriority {
    /// Leases and the keys of partitions.
    Lease,
    /// Open watches.
    Watch,
    /// Claims of machines, progress of jobs, moves of tasks.
    Work,
    /// Requests of users.
    User,
}

/// The body of an answer to an HTTP request; serialized only once, when it is sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// Commands for a worker.
    WorkerCommands(WorkerCommands),
    Job(JobAnswer),
    View(JobView),
    /// Redirects a worker to the leader of its partition.
    Leader {
        #[serde(rename = "steward")]
        leader: String,
    },
    Ready {
        ready: bool,
    },
    Error {
        error: &'static str,
    },
}

/// An output of the core, to be carried out by the program.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answers an HTTP request. From `deadline` on the answer must not be sent any more; a 503 is
    /// sent instead.
    Answer {
        id: RequestId,
        status: u16,
        body: Answer,
        retry_after_s: Option<u32>,
        deadline: Option<Micros>,
    },
    /// Logs an event.
    Log(LogEvent),
    AnswerPeer {
        id: RequestId,
        answer: PeerAnswer,
    },
    Store {
        call_id: CallId,
        call_priority: CallPriority,
        call: StoreCall,
    },
    /// Calls the cloud. A scale-in is not made from `deadline` on.
    Cloud {
        call_id: CallId,
        call: CloudCall,
        deadline: Micros,
    },
    /// Calls a worker. From `deadline` on the call is not sent any more.
    Worker {
        call_id: CallId,
        address: String,
        call: WorkerCall,
        deadline: Micros,
    },
    Peer {
        call_id: CallId,
        node: String,
        request: PeerRequest,
    },
    /// Ends the process, which cannot continue.
    Terminate {
        reason: String,
    },
    /// Sets the share of the rate limits of the store and the cloud that this node may use.
    SetRateShare(f64),
}
