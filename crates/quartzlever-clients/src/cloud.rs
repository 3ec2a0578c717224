//! HTTP client of the cloud.

use quartzlever_wire::CallError;
use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, InstancePage, MachineNames, ScaleOutRequest,
};

use crate::http::HttpClient;
use crate::policy::CallPolicy;

/// Maximum number of instances per page of the list.
const LIST_PAGE_LIMIT: &str = "500";

/// Calls the cloud over HTTP.
#[derive(Clone, Debug)]
pub struct CloudClient {
    base: String,
    http: HttpClient,
}

impl CloudClient {
    /// Creates a client of the cloud at `address`, a host and port.
    pub fn new(address: &str) -> Self {
        CloudClient { base: format!("http://{address}"), http: HttpClient::new(CallPolicy::CLOUD) }
    }

    /// Makes one call and waits for the answer.
    pub fn call(&self, call: &CloudCall) -> Result<CloudReply, CallError> {
        match call {
            CloudCall::Catalogue => self.catalogue(),
            CloudCall::ScaleOut(request) => self.scale_out(request),
            CloudCall::ScaleIn(machines) => self.scale_in(machines),
            CloudCall::List { from } => self.list(from.as_deref()),
        }
    }

    fn catalogue(&self) -> Result<CloudReply, CallError> {
        let reply = self.http.get(&format!("{}/catalog", self.base), &[])?;
        match reply.status {
            200 => Ok(CloudReply::Catalogue(reply.json::<Catalogue>()?)),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn scale_out(&self, request: &ScaleOutRequest) -> Result<CloudReply, CallError> {
        let reply = self.http.post(&format!("{}/rentals", self.base), request)?;
        match reply.status {
            200 => Ok(CloudReply::ScaledOut(reply.json::<MachineNames>()?.machines)),
            503 if reply.contains("no capacity") => Ok(CloudReply::NoCapacity),
            // The cloud rejects the request as malformed, so a repetition cannot succeed either.
            400 => Ok(CloudReply::NoCapacity),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn scale_in(&self, machines: &[String]) -> Result<CloudReply, CallError> {
        let names = MachineNames { machines: machines.to_vec() };
        let reply = self.http.post(&format!("{}/rentals/return", self.base), &names)?;
        match reply.status {
            200 => Ok(CloudReply::ScaledIn),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn list(&self, from: Option<&str>) -> Result<CloudReply, CallError> {
        let mut query = vec![("limit", LIST_PAGE_LIMIT)];
        query.extend(from.map(|from| ("from", from)));
        let reply = self.http.get(&format!("{}/rentals", self.base), &query)?;
        match reply.status {
            200 => Ok(CloudReply::Listed(reply.json::<InstancePage>()?)),
            _ => Err(self.http.status_error(&reply)),
        }
    }
}
