//! HTTP client of the store.

use quartzlever_wire::CallError;
use quartzlever_wire::store::{
    GrantAnswer, GrantRequest, KeyValue, ListPage, REVISION_PROBE_KEY, StoreCall, StoreReply, Txn,
    TxnAnswer, WatchAnswer,
};
use serde_json::json;

use crate::http::HttpClient;
use crate::policy::CallPolicy;

/// Maximum number of keys per page of a listing.
const LIST_PAGE_LIMIT: &str = "1000";

/// Calls the store over HTTP.
#[derive(Clone, Debug)]
pub struct StoreClient {
    base: String,
    http: HttpClient,
    /// For watches, which have a longer timeout.
    watch_http: HttpClient,
}

impl StoreClient {
    /// Creates a client of the store at `address`, a host and port.
    pub fn new(address: &str) -> Self {
        StoreClient {
            base: format!("http://{address}"),
            http: HttpClient::new(CallPolicy::STORE),
            watch_http: HttpClient::new(CallPolicy::STORE_WATCH),
        }
    }

    /// Makes one call and waits for the answer.
    pub fn call(&self, call: &StoreCall) -> Result<StoreReply, CallError> {
        match call {
            StoreCall::Revision => self.revision(),
            StoreCall::Get(key) => self.get(key),
            StoreCall::List { prefix, from } => self.list(prefix, from.as_deref()),
            StoreCall::Txn(txn) => self.commit(txn),
            StoreCall::Grant { life_ms } => self.grant(*life_ms),
            StoreCall::Renew { lease } => self.renew(*lease),
            StoreCall::Watch { from, hold_ms } => self.watch(*from, *hold_ms),
        }
    }

    fn revision(&self) -> Result<StoreReply, CallError> {
        let reply = self.http.get(&format!("{}/keys/{REVISION_PROBE_KEY}", self.base), &[])?;
        match reply.status {
            404 => Ok(StoreReply::Revision(reply.json::<TxnAnswer>()?.revision)),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn get(&self, key: &str) -> Result<StoreReply, CallError> {
        let reply = self.http.get(&format!("{}/keys/{key}", self.base), &[])?;
        match reply.status {
            200 => Ok(StoreReply::Read(reply.json::<KeyValue>()?)),
            404 => Ok(StoreReply::Absent { revision: reply.json::<TxnAnswer>()?.revision }),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn list(&self, prefix: &str, from: Option<&str>) -> Result<StoreReply, CallError> {
        let mut query = vec![("under", prefix), ("limit", LIST_PAGE_LIMIT)];
        query.extend(from.map(|from| ("from", from)));
        let reply = self.http.get(&format!("{}/keys", self.base), &query)?;
        match reply.status {
            200 => Ok(StoreReply::Listed(reply.json::<ListPage>()?)),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn commit(&self, txn: &Txn) -> Result<StoreReply, CallError> {
        let reply = self.http.post(&format!("{}/multi", self.base), txn)?;
        match reply.status {
            200 => Ok(StoreReply::Committed(reply.json::<TxnAnswer>()?.revision)),
            409 => {
                let answer = reply.json::<TxnAnswer>()?;
                Ok(StoreReply::Conflict(answer.failed.unwrap_or_default()))
            }
            400 if reply.contains("no such lease") => Ok(StoreReply::NoLease),
            400 => Ok(StoreReply::TooLarge),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn grant(&self, life_ms: u64) -> Result<StoreReply, CallError> {
        let reply = self.http.post(&format!("{}/holds", self.base), &GrantRequest { life_ms })?;
        match reply.status {
            200 => Ok(StoreReply::Granted(reply.json::<GrantAnswer>()?.lease_id)),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn renew(&self, lease: u64) -> Result<StoreReply, CallError> {
        let reply = self.http.post(&format!("{}/holds/{lease}/renew", self.base), &json!({}))?;
        match reply.status {
            200 => Ok(StoreReply::Renewed),
            404 => Ok(StoreReply::NoLease),
            _ => Err(self.http.status_error(&reply)),
        }
    }

    fn watch(&self, from: u64, hold_ms: u64) -> Result<StoreReply, CallError> {
        let (from, hold_ms) = (from.to_string(), hold_ms.to_string());
        let query = [("under", ""), ("from", &*from), ("hold_ms", &*hold_ms)];
        let reply = self.watch_http.get(&format!("{}/watch", self.base), &query)?;
        match reply.status {
            // The answer holds all changes since `from`. A repeated watch would return even more
            // and fail again until the store had discarded the changes, so the caller lists the
            // records instead, which come in pages.
            200 if reply.truncated => Ok(StoreReply::TooOld),
            200 => Ok(StoreReply::Watched(reply.json::<WatchAnswer>()?)),
            410 => Ok(StoreReply::TooOld),
            _ => Err(self.watch_http.status_error(&reply)),
        }
    }
}
