//! Client of the state service.

use std::time::Duration;

use quartzlever_wire::CallError;
use quartzlever_wire::state::{
    HoldAnswer, HoldRequest, NOBODY, Row, Rows, StateCall, StateReply, TxnAnswer, WatchAnswer,
};

use crate::http::{Reply, agent, call, to_body};

/// Client of the state service.
#[derive(Clone, Debug)]
pub struct StateClient {
    base: String,
    quick: ureq::Agent,
    patient: ureq::Agent,
}

const CONNECT: Duration = Duration::from_millis(700);
const WHOLE: Duration = Duration::from_millis(1500);

impl StateClient {
    /// A client of the state service at this address and port.
    pub fn new(address: &str) -> Self {
        StateClient {
            base: format!("http://{address}"),
            quick: agent(CONNECT, WHOLE, 10),
            // A watch stays open for its time, and in an outage for longer. One whose connection
            // is dead must not keep the cache of the records old for long.
            patient: agent(CONNECT, Duration::from_secs(12), 2),
        }
    }

    /// Makes one call and waits for its answer.
    pub fn call(&self, what: &StateCall) -> Result<StateReply, CallError> {
        let base = &self.base;
        match what {
            StateCall::Revision => {
                let reply = call(self.quick.get(&format!("{base}/keys/{NOBODY}")), None)?;
                match reply.status {
                    404 => Ok(StateReply::Revision(reply.json::<TxnAnswer>()?.epoch)),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::Get(key) => {
                let reply = call(self.quick.get(&format!("{base}/keys/{key}")), None)?;
                match reply.status {
                    200 => Ok(StateReply::Row(Some(reply.json::<Row>()?))),
                    404 => Ok(StateReply::Row(None)),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::List { prefix, from } => {
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
                    200 => Ok(StateReply::Rows(reply.json::<Rows>()?)),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::Txn(txn) => {
                let reply = call(self.quick.post(&format!("{base}/multi")), Some(to_body(txn)?))?;
                match reply.status {
                    200 => Ok(StateReply::Committed(reply.json::<TxnAnswer>()?.epoch)),
                    409 => {
                        let answer = reply.json::<TxnAnswer>()?;
                        Ok(StateReply::Conflict(answer.failed.unwrap_or_default()))
                    }
                    400 if reply.body.windows(13).any(|w| w == b"no such lease") => {
                        Ok(StateReply::NoLease)
                    }
                    400 => Ok(StateReply::TooLarge),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::Grant { life_ms } => {
                let body = to_body(&HoldRequest { life_ms: *life_ms })?;
                let reply = call(self.quick.post(&format!("{base}/holds")), Some(body))?;
                match reply.status {
                    200 => Ok(StateReply::Granted(reply.json::<HoldAnswer>()?.charter)),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::Renew { lease } => {
                let request = self.quick.post(&format!("{base}/holds/{lease}/renew"));
                let reply = call(request, Some(b"{}".to_vec()))?;
                match reply.status {
                    200 => Ok(StateReply::Renewed),
                    404 => Ok(StateReply::NoLease),
                    _ => Err(failure(&reply)),
                }
            }
            StateCall::Watch { from, hold_ms } => {
                let request = self
                    .patient
                    .get(&format!("{base}/watch"))
                    .query("under", "")
                    .query("from", &from.to_string())
                    .query("hold_ms", &hold_ms.to_string());
                let reply = call(request, None)?;
                match reply.status {
                    // It holds all changes since then, however many. Asked again it would only be
                    // longer, and nothing be known until the state service had forgotten them;
                    // listed, the records come in pages.
                    200 if reply.cut_short => Ok(StateReply::TooOld),
                    200 => Ok(StateReply::Watched(reply.json::<WatchAnswer>()?)),
                    410 => Ok(StateReply::TooOld),
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
