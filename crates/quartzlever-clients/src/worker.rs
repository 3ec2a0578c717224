//! Client of the workers' own addresses.

use std::time::Duration;

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerReply};

use crate::http::{agent, call, to_body};

/// Client of all workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    agent: ureq::Agent,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient { agent: agent(Duration::from_millis(800), Duration::from_secs(2), 100) }
    }
}

impl WorkerClient {
    /// Makes one call and waits for its answer.
    pub fn call(&self, address: &str, what: &WorkerCall) -> Result<WorkerReply, CallError> {
        let reply = match what {
            WorkerCall::Status => call(self.agent.get(&format!("http://{address}/status")), None)?,
            WorkerCall::Command(commands) => call(
                self.agent.post(&format!("http://{address}/commands")),
                Some(to_body(commands)?),
            )?,
        };
        let report = || Heartbeat::parse(&reply.body).ok_or(CallError::Unknown);
        match reply.status {
            200 => Ok(WorkerReply::Status(report()?)),
            409 => Ok(WorkerReply::Refused(report()?)),
            400 => Err(CallError::Refused),
            _ => Err(CallError::Unknown),
        }
    }
}
