//! What goes into the core and what comes out.

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::state::{StateCall, StateReply};
use quartzlever_wire::users::{JobAnswer, JobSpec, JobView};
use quartzlever_wire::workers::{Orders, Report, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros};
use serde::Serialize;

/// Names a request from outside that waits for its answer.
pub type RequestId = u64;

/// Names an effect whose answer is awaited.
pub type Token = u64;

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
    Abort {
        id: RequestId,
        job: String,
    },
    Ready {
        id: RequestId,
    },
    Report {
        id: RequestId,
        report: Report,
    },
    Peer {
        id: RequestId,
        request: PeerRequest,
    },
    State {
        token: Token,
        result: Result<StateReply, CallError>,
    },
    Cloud {
        token: Token,
        result: Result<CloudReply, CallError>,
    },
    Worker {
        token: Token,
        result: Result<WorkerReply, CallError>,
    },
    Asked {
        token: Token,
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
            Command::Report { .. }
            | Command::State { .. }
            | Command::Cloud { .. }
            | Command::Worker { .. }
            | Command::Asked { .. } => 0,
            Command::Tick { .. } | Command::Peer { .. } | Command::Ready { .. } => 1,
            Command::Lookup { .. } | Command::Abort { .. } => 2,
            Command::Submit { .. } => 3,
        }
    }
}

/// How urgent a call to the state service is; each lane has threads of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Leases and parts.
    Lease,
    /// Open watches.
    Watch,
    /// Claims, progress, moves.
    Work,
    /// What users ask for.
    User,
}

/// How much a note in the log matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    Error,
    Info,
    Debug,
}

/// The body of an answer to an HTTP request; it becomes text once, where it is sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// What a worker is to do.
    Orders(Orders),
    Job(JobAnswer),
    View(JobView),
    Steward {
        steward: String,
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
    /// A line for the log.
    Note {
        weight: Weight,
        text: String,
    },
    AnswerPeer {
        id: RequestId,
        answer: PeerAnswer,
    },
    State {
        token: Token,
        lane: Lane,
        call: StateCall,
    },
    /// Call the cloud; machines are not returned any more after `until`.
    Cloud {
        token: Token,
        call: CloudCall,
        until: Micros,
    },
    /// Call a worker, but not after `until`.
    Worker {
        token: Token,
        address: String,
        call: WorkerCall,
        until: Micros,
    },
    Peer {
        token: Token,
        node: String,
        request: PeerRequest,
    },
    /// The process cannot go on, for this reason.
    End {
        why: String,
    },
    /// From now on this node may use so much of what the state service and the cloud allow.
    Share(f64),
}
