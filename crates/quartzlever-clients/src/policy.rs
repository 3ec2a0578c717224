//! Timeouts and connection limits of each client, and the classification of failed calls.
//!
//! Clients do not retry: whether a retry is safe depends on the call, so the caller decides. Only
//! [`PeerClient`](crate::PeerClient) sends a request again, over a new connection, if the peer had
//! closed the idle one.

use std::time::Duration;

use quartzlever_wire::CallError;

/// Timeouts, connection limit and error classification of a client.
#[derive(Clone, Copy, Debug)]
pub struct CallPolicy {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of the whole call; for a peer, of each read and each write.
    pub timeout: Duration,
    /// Maximum number of idle connections kept open for reuse.
    pub idle_connections: usize,
    /// Classifies an HTTP status that is not an answer to the call.
    pub classify_status: fn(u16) -> CallError,
}

impl CallPolicy {
    /// Calls to the store, except watches.
    pub const STORE: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(700),
        timeout: Duration::from_millis(1500),
        idle_connections: 10,
        classify_status: classify_store_status,
    };

    /// Watches of the store. A watch stays open for its requested time, and for longer during an
    /// outage. The timeout ends a watch on a dead connection before the cache of the records has
    /// been outdated for long.
    pub const STORE_WATCH: CallPolicy =
        CallPolicy { timeout: Duration::from_secs(12), idle_connections: 2, ..CallPolicy::STORE };

    /// Calls to the cloud.
    pub const CLOUD: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_secs(1),
        timeout: Duration::from_secs(5),
        idle_connections: 3,
        classify_status: |_| CallError::Refused,
    };

    /// Calls to workers; the connection limit is for all workers together.
    pub const WORKERS: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(800),
        timeout: Duration::from_secs(2),
        idle_connections: 100,
        classify_status: classify_worker_status,
    };

    /// Calls to one peer; its answers have no HTTP status.
    pub const PEER: CallPolicy = CallPolicy {
        connect_timeout: Duration::from_millis(700),
        timeout: Duration::from_secs(2),
        idle_connections: 1,
        classify_status: |_| CallError::Unknown,
    };
}

fn classify_store_status(status: u16) -> CallError {
    match status {
        429 => CallError::Throttled,
        400..=499 | 503 => CallError::Refused,
        _ => CallError::Unknown,
    }
}

fn classify_worker_status(status: u16) -> CallError {
    match status {
        400 => CallError::Refused,
        _ => CallError::Unknown,
    }
}

/// Classifies a call that failed without an HTTP status. If no connection was made, the call was
/// not carried out; after any other failure the outcome is unknown.
pub fn classify_transport_error(kind: ureq::ErrorKind) -> CallError {
    match kind {
        ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns | ureq::ErrorKind::InvalidUrl => {
            CallError::Refused
        }
        _ => CallError::Unknown,
    }
}

#[cfg(test)]
mod tests;
