//! What the HTTP clients share.

use std::io::Read;

use quartzlever_wire::CallError;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::policy::{CallPolicy, transport_failure};

/// The longest answer that is read, in bytes. Pages of the store hold 512 KiB, those of the cloud
/// 500 machines, and all groups of 4,000 machines together half a megabyte. Only a watch that has
/// missed a lot brings more; its answer is cut short and the records are listed instead, in pages.
const MAX_ANSWER: u64 = 4 << 20;

/// A status with its body.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// The body is longer than what was read of it.
    pub cut_short: bool,
}

impl Reply {
    /// Whether the body has this text in it.
    pub fn says(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|part| part == text.as_bytes())
    }

    /// The body as JSON. An answer that cannot be read tells nothing of the outcome.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Unknown)
    }
}

/// Makes HTTP calls by one policy.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    policy: CallPolicy,
}

impl HttpClient {
    /// A client with connections of its own, under this policy.
    pub fn new(policy: CallPolicy) -> HttpClient {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(policy.connect_timeout)
            .timeout(policy.timeout)
            .max_idle_connections(policy.idle_connections)
            .max_idle_connections_per_host(policy.idle_connections)
            .redirects(0)
            .no_delay(true)
            .build();
        HttpClient { agent, policy }
    }

    /// Reads what stands at this address, with query fields.
    pub fn get(&self, url: &str, query: &[(&str, &str)]) -> Result<Reply, CallError> {
        let mut request = self.agent.get(url);
        for (name, value) in query {
            request = request.query(name, value);
        }
        receive(request.call())
    }

    /// Sends a message to this address.
    pub fn post(&self, url: &str, message: &impl Serialize) -> Result<Reply, CallError> {
        // Our own types can always be written.
        let body = serde_json::to_vec(message).map_err(|_| CallError::Refused)?;
        let request = self.agent.post(url).set("Content-Type", "application/json");
        receive(request.send_bytes(&body))
    }

    /// What a reply says whose status is no answer to the call.
    pub fn failure(&self, reply: &Reply) -> CallError {
        (self.policy.status)(reply.status)
    }
}

fn receive(result: Result<ureq::Response, ureq::Error>) -> Result<Reply, CallError> {
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(ureq::Error::Transport(error)) => return Err(transport_failure(error.kind())),
    };
    let status = response.status();
    let mut body = Vec::new();
    response
        .into_reader()
        .take(MAX_ANSWER + 1)
        .read_to_end(&mut body)
        .map_err(|_| CallError::Unknown)?;
    let cut_short = body.len() as u64 > MAX_ANSWER;
    Ok(Reply { status, body, cut_short })
}
