//! What the HTTP clients share.

use std::io::Read;
use std::time::Duration;

use quartzlever_wire::CallError;
use serde::de::DeserializeOwned;

/// The longest answer that is read. Pages of the store hold 512 KiB, those of the cloud 500
/// machines, and all blocks of 4,000 machines together half a megabyte. Only a watch that has missed a lot
/// brings more; its answer is cut short and the records are listed instead, in pages.
const MOST_ANSWER: u64 = 4 << 20;

/// A status with its body.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// The body is longer than what was read of it.
    pub cut_short: bool,
}

impl Reply {
    /// The body as JSON. An answer that cannot be read tells nothing of the outcome.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Unknown)
    }
}

/// An agent with reused connections and the given deadlines.
pub fn agent(connect: Duration, whole: Duration, connections: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(connect)
        .timeout(whole)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .redirects(0)
        .no_delay(true)
        .build()
}

/// Makes a call. A connection that cannot be made carries nothing out; any other failure
/// leaves the outcome open.
pub fn call(request: ureq::Request, body: Option<Vec<u8>>) -> Result<Reply, CallError> {
    let result = match body {
        Some(body) => request.set("Content-Type", "application/json").send_bytes(&body),
        None => request.call(),
    };
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(ureq::Error::Transport(error)) => {
            return Err(match error.kind() {
                ureq::ErrorKind::ConnectionFailed
                | ureq::ErrorKind::Dns
                | ureq::ErrorKind::InvalidUrl => CallError::Refused,
                _ => CallError::Unknown,
            });
        }
    };
    let status = response.status();
    let mut body = Vec::new();
    response
        .into_reader()
        .take(MOST_ANSWER + 1)
        .read_to_end(&mut body)
        .map_err(|_| CallError::Unknown)?;
    let cut_short = body.len() as u64 > MOST_ANSWER;
    Ok(Reply { status, body, cut_short })
}

/// Writes a message; our own types always can be.
pub fn to_body<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(message).map_err(|_| CallError::Refused)
}
