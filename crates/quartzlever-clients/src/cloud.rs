//! Client of the cloud.

use std::time::Duration;

use quartzlever_wire::CallError;
use quartzlever_wire::cloud::{Catalogue, CloudCall, CloudReply, HostNames, InstancePage};

use crate::http::{agent, call, to_body};

/// Client of the cloud.
#[derive(Clone, Debug)]
pub struct CloudClient {
    base: String,
    agent: ureq::Agent,
}

impl CloudClient {
    /// A client of the cloud at this address and port.
    pub fn new(address: &str) -> Self {
        CloudClient {
            base: format!("http://{address}"),
            agent: agent(Duration::from_secs(1), Duration::from_secs(5), 3),
        }
    }

    /// Makes one call and waits for its answer.
    pub fn call(&self, what: &CloudCall) -> Result<CloudReply, CallError> {
        let base = &self.base;
        match what {
            CloudCall::Catalogue => {
                let reply = call(self.agent.get(&format!("{base}/catalog")), None)?;
                match reply.status {
                    200 => Ok(CloudReply::Catalogue(reply.json::<Catalogue>()?)),
                    _ => Err(CallError::Refused),
                }
            }
            CloudCall::ScaleOut(request) => {
                let reply =
                    call(self.agent.post(&format!("{base}/rentals")), Some(to_body(request)?))?;
                let refused = || reply.body.windows(11).any(|w| w == b"no capacity");
                match reply.status {
                    200 => Ok(CloudReply::ScaledOut(reply.json::<HostNames>()?.hosts)),
                    503 if refused() => Ok(CloudReply::NoCapacity),
                    // Malformed for the cloud, so never to be had.
                    400 => Ok(CloudReply::NoCapacity),
                    _ => Err(CallError::Refused),
                }
            }
            CloudCall::Return(hosts) => {
                let body = to_body(&HostNames { hosts: hosts.clone() })?;
                let reply = call(self.agent.post(&format!("{base}/rentals/return")), Some(body))?;
                match reply.status {
                    200 => Ok(CloudReply::ScaledIn),
                    _ => Err(CallError::Refused),
                }
            }
            CloudCall::List { from } => {
                let mut request = self.agent.get(&format!("{base}/rentals")).query("limit", "500");
                if let Some(from) = from {
                    request = request.query("from", from);
                }
                let reply = call(request, None)?;
                match reply.status {
                    200 => Ok(CloudReply::Listed(reply.json::<InstancePage>()?)),
                    _ => Err(CallError::Refused),
                }
            }
        }
    }
}
