//! What goes into the core and what comes out.

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::users::{JobAnswer, JobSpec, JobView};
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerCommands, WorkerReply};
use quartzlever_wire::{CallError, Micros};
use serde::Serialize;

use crate::events::LogEvent;
pub use crate::events::LogLevel;

/// Names a request from outside that waits for its answer.
pub type RequestId = u64;

/// Names an effect whose answer is awaited.
pub type CallId = u64;

/// One piece of work for the core.
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
    /// Time passes; `wall` is the time of day in microseconds since 1970. `behind` says that the
    /// process has stood still since the last tick, or that more has come than it has taken in.
    Tick {
        wall: Micros,
        behind: bool,
    },
}

impl Command {
    /// Order under load: what workers and other services say first, then decisions, then users who
    /// ask about jobs, then submissions.
    pub fn class(&self) -> u8 {
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

/// How urgent a call to the store is; each lane has threads of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallPriority {
    /// Leases and partitions.
    Lease,
    /// Open watches.
    Watch,
    /// Claims, progress, moves.
    Work,
    /// What users ask for.
    User,
}

/// The body of an answer to an HTTP request; it becomes text once, where it is sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// What a worker is to do.
    WorkerCommands(WorkerCommands),
    Job(JobAnswer),
    View(JobView),
    /// The worker is sent on to the leader of its partition.
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

/// One thing that the core wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer an HTTP request. After `until` the answer must not be given any more; a 503
    /// takes its place.
    Answer {
        id: RequestId,
        status: u16,
        body: Answer,
        retry_after_s: Option<u32>,
        until: Option<Micros>,
    },
    /// An event for the log.
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
    /// Call the cloud; machines are not returned any more after `until`.
    Cloud {
        call_id: CallId,
        call: CloudCall,
        until: Micros,
    },
    /// Call a worker, but not after `until`.
    Worker {
        call_id: CallId,
        address: String,
        call: WorkerCall,
        until: Micros,
    },
    Peer {
        call_id: CallId,
        node: String,
        request: PeerRequest,
    },
    /// The process cannot go on, for this reason.
    Terminate {
        reason: String,
    },
    /// From now on this node may use so much of what the store and the cloud allow.
    RateShare(f64),
}
