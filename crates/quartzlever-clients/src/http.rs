//! The HTTP calls on which the clients of the store, the cloud and the workers are built.

use std::io::Read;

use quartzlever_wire::CallError;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::policy::{CallPolicy, classify_transport_error};

/// The longest response body that is read, in bytes. A page of the store holds 512 KiB and one of
/// the cloud 500 machines; the records of all groups of 4,000 machines take half a megabyte. Only a
/// watch that is far behind receives more. Its answer is truncated, and the records are listed in
/// pages instead.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// A response: its status and its body.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body exceeds [`MAX_RESPONSE_BYTES`] and was truncated.
    pub truncated: bool,
}

impl Reply {
    /// Reports whether the body contains `text`.
    pub fn contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// [`CallError::Unknown`] if it does not parse: such a response does not show the outcome.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Unknown)
    }
}

/// Makes HTTP calls under one policy.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    policy: CallPolicy,
}

impl HttpClient {
    /// Creates a client with its own connection pool.
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

    /// Sends a GET request with these query parameters.
    pub fn get(&self, url: &str, query: &[(&str, &str)]) -> Result<Reply, CallError> {
        let mut request = self.agent.get(url);
        for (name, value) in query {
            request = request.query(name, value);
        }
        receive(request.call())
    }

    /// Sends a POST request with `message` as its JSON body.
    pub fn post(&self, url: &str, message: &impl Serialize) -> Result<Reply, CallError> {
        // The types of quartzlever-wire always serialize. If one did not, nothing would be sent.
        let body = serde_json::to_vec(message).map_err(|_| CallError::Refused)?;
        let request = self.agent.post(url).set("Content-Type", "application/json");
        receive(request.send_bytes(&body))
    }

    /// Returns the error for a reply whose status is not an answer to the call.
    pub fn status_error(&self, reply: &Reply) -> CallError {
        (self.policy.classify_status)(reply.status)
    }
}

fn receive(result: Result<ureq::Response, ureq::Error>) -> Result<Reply, CallError> {
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(ureq::Error::Transport(error)) => return Err(classify_transport_error(error.kind())),
    };
    let status = response.status();
    let mut body = Vec::new();
    response
        .into_reader()
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|_| CallError::Unknown)?;
    let truncated = body.len() as u64 > MAX_RESPONSE_BYTES;
    Ok(Reply { status, body, truncated })
}
