//! How long each client waits, how many connections it keeps, and what a failed call says of its
//! outcome.
//!
//! No client repeats a call: whether that is right depends on the call, so the caller decides. Only
//! [`PeerClient`](crate::PeerClient) connects anew, where the peer had closed a kept connection.

use std::time::Duration;

use quartzlever_wire::CallError;

/// The rules by which a client makes its calls.
#[derive(Clone, Copy, Debug)]
pub struct CallPolicy {
    /// The longest time for connecting.
    pub connect_timeout: Duration,
    /// The longest time for the whole call; for a peer, for each read and each write.
    pub timeout: Duration,
    /// How many unused connections are kept open for the next calls.
    pub idle_connections: usize,
    /// What a status says that is no answer to the call.
    pub status: fn(u16) -> CallError,
}

impl CallPolicy {
    /// All calls to the store but watches.
    pub const STORE: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(700),
        timeout: Duration::from_millis(1500),
        idle_connections: 10,
        status: store_status,
    };

    /// Watches of the store. One stays open for its time, and in an outage for longer. One whose
    /// connection is dead must not keep the cache of the records old for long.
    pub const STORE_WATCH: CallPolicy =
        CallPolicy { timeout: Duration::from_secs(12), idle_connections: 2, ..CallPolicy::STORE };

    /// Calls to the cloud.
    pub const CLOUD: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_secs(1),
        timeout: Duration::from_secs(5),
        idle_connections: 3,
        status: |_| CallError::Refused,
    };

    /// Calls to workers, all of them together.
    pub const WORKERS: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(800),
        timeout: Duration::from_secs(2),
        idle_connections: 100,
        status: worker_status,
    };

    /// Calls to one peer; their answers have no status.
    pub const PEER: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(700),
        timeout: Duration::from_secs(2),
        idle_connections: 1,
        status: |_| CallError::Unknown,
    };
}

fn store_status(status: u16) -> CallError {
    match status {
        429 => CallError::Throttled,
        400..=499 | 503 => CallError::Refused,
        _ => CallError::Unknown,
    }
}

fn worker_status(status: u16) -> CallError {
    match status {
        400 => CallError::Refused,
        _ => CallError::Unknown,
    }
}

/// What a call without a status says. A connection that cannot be made carries nothing out; any
/// other failure leaves the outcome open.
pub fn transport_failure(kind: ureq::ErrorKind) -> CallError {
    match kind {
        ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns | ureq::ErrorKind::InvalidUrl => {
            CallError::Refused
        }
        _ => CallError::Unknown,
    }
}

#[cfg(test)]
mod tests;
