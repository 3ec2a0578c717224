//! Client of the store.

use std::time::Duration;

use quartzlever_wire::CallError;
use quartzlever_wire::store::{
    GrantAnswer, GrantRequest, REVISION_PROBE_KEY, Row, Rows, StoreCall, StoreReply, TxnAnswer,
    WatchAnswer,
};

use crate::http::{Reply, agent, call, to_body};

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    base: String,
    quick: ureq::Agent,
    can_wait_for_heartbeat: ureq::Agent,
}

const CONNECT: Duration = Duration::from_millis(700);
const WHOLE: Duration = Duration::from_millis(1500);

impl StoreClient {
    /// A client of the store at this address and port.
    pub fn new(address: &str) -> Self {
        StoreClient {
            base: format!("http://{address}"),
            quick: agent(CONNECT, WHOLE, 10),
            // A watch stays open for its time, and in an outage for longer. One whose connection
            // is dead must not keep the cache of the records old for long.
            can_wait_for_heartbeat: agent(CONNECT, Duration::from_secs(12), 2),
        }
    }

    /// Makes one call and waits for its answer.
    pub fn call(&self, what: &StoreCall) -> Result<StoreReply, CallError> {
        let base = &self.base;
        match what {
            StoreCall::Revision => {
                let reply =
                    call(self.quick.get(&format!("{base}/keys/{REVISION_PROBE_KEY}")), None)?;
                match reply.status {
                    404 => Ok(StoreReply::Revision(reply.json::<TxnAnswer>()?.revision)),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::Get(key) => {
                let reply = call(self.quick.get(&format!("{base}/keys/{key}")), None)?;
                match reply.status {
                    200 => Ok(StoreReply::Row(Some(reply.json::<Row>()?))),
                    404 => Ok(StoreReply::Row(None)),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::List { prefix, from } => {
                let mut request = self
                    .quick
                    .get(&format!("{base}/keys"))
                    .query("under", prefix)
                    .query("limit", "1000");
                if let Some(from) = from {
                    request = request.query("from", from);
                }
                let reply = call(request, None)?;
                match reply.status {
                    200 => Ok(StoreReply::Rows(reply.json::<Rows>()?)),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::Txn(txn) => {
                let reply = call(self.quick.post(&format!("{base}/multi")), Some(to_body(txn)?))?;
                match reply.status {
                    200 => Ok(StoreReply::Committed(reply.json::<TxnAnswer>()?.revision)),
                    409 => {
                        let answer = reply.json::<TxnAnswer>()?;
                        Ok(StoreReply::Conflict(answer.failed.unwrap_or_default()))
                    }
                    400 if reply.body.windows(13).any(|w| w == b"no such lease") => {
                        Ok(StoreReply::NoLease)
                    }
                    400 => Ok(StoreReply::TooLarge),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::Grant { life_ms } => {
                let body = to_body(&GrantRequest { life_ms: *life_ms })?;
                let reply = call(self.quick.post(&format!("{base}/holds")), Some(body))?;
                match reply.status {
                    200 => Ok(StoreReply::Granted(reply.json::<GrantAnswer>()?.lease_id)),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::Renew { lease } => {
                let request = self.quick.post(&format!("{base}/holds/{lease}/renew"));
                let reply = call(request, Some(b"{}".to_vec()))?;
                match reply.status {
                    200 => Ok(StoreReply::Renewed),
                    404 => Ok(StoreReply::NoLease),
                    _ => Err(failure(&reply)),
                }
            }
            StoreCall::Watch { from, hold_ms } => {
                let request = self
                    .can_wait_for_heartbeat
                    .get(&format!("{base}/watch"))
                    .query("under", "")
                    .query("from", &from.to_string())
                    .query("hold_ms", &hold_ms.to_string());
                let reply = call(request, None)?;
                match reply.status {
                    // It holds all changes since then, however many. Asked again it would only be
                    // longer, and nothing be known until the store had forgotten them;
                    // listed, the records come in pages.
                    200 if reply.cut_short => Ok(StoreReply::TooOld),
                    200 => Ok(StoreReply::Watched(reply.json::<WatchAnswer>()?)),
                    410 => Ok(StoreReply::TooOld),
                    _ => Err(failure(&reply)),
                }
            }
        }
    }
}

/// A status that says that the request was not carried out, or does not tell.
fn failure(reply: &Reply) -> CallError {
    match reply.status {
        429 => CallError::TooOften,
        400..=499 | 503 => CallError::Refused,
        _ => CallError::Unknown,
    }
}
