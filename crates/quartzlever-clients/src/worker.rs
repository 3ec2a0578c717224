//! HTTP client of the workers.

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerReply};

use crate::http::HttpClient;
use crate::policy::CallPolicy;

/// Calls workers over HTTP, at the addresses that they report.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    http: HttpClient,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient { http: HttpClient::new(CallPolicy::WORKERS) }
    }
}

impl WorkerClient {
    /// Makes one call to the worker at `address` and waits for the answer.
    pub fn call(&self, address: &str, call: &WorkerCall) -> Result<WorkerReply, CallError> {
        let reply = match call {
            WorkerCall::Status => self.http.get(&format!("http://{address}/status"), &[])?,
            WorkerCall::Command(commands) => {
                self.http.post(&format!("http://{address}/commands"), commands)?
            }
        };
        let heartbeat = || Heartbeat::parse(&reply.body).ok_or(CallError::Unknown);
        match reply.status {
            200 => Ok(WorkerReply::Status(heartbeat()?)),
            409 => Ok(WorkerReply::Refused(heartbeat()?)),
            _ => Err(self.http.status_error(&reply)),
        }
    }
}
