//! Everything that leaves the core: calls with what their replies belong to, answers, and events for the log.
//!
//! No other component makes effects. The outbox decides nothing.

use std::collections::{BTreeMap, HashMap};

use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::store::{Change, StoreCall};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{Micros, SECOND};

use crate::calls::{
    PendingCloudCall, PendingPeerCall, PendingStoreCall, PendingWorkerCall, TransactionSize,
};
use crate::events::{LogEvent, RejectionCount};
use crate::messages::{Answer, CallId, CallPriority, Effect, LogLevel, RequestId};

/// How often the log says what was rejected.
const REJECTION_LOG_INTERVAL: Micros = 10 * SECOND;
/// What a rejected user waits before coming again, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The effects of a step, and the calls that wait for a reply.
#[derive(Debug)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    last_call_id: CallId,
    store_calls: HashMap<CallId, PendingStoreCall>,
    worker_calls: HashMap<CallId, PendingWorkerCall>,
    cloud_calls: HashMap<CallId, PendingCloudCall>,
    peer_calls: HashMap<CallId, PendingPeerCall>,
    transaction_sizes: HashMap<CallId, TransactionSize>,
    /// What was rejected since the last line on it, by status and reason.
    rejected: BTreeMap<(u16, &'static str), u32>,
    next_rejection_log_at: Micros,
    log_level: LogLevel,
}

impl Outbox {
    /// An empty outbox; events beyond `log_level` are not even made.
    pub fn new(log_level: LogLevel, now: Micros) -> Self {
        Outbox {
            effects: Vec::new(),
            last_call_id: 0,
            store_calls: HashMap::new(),
            worker_calls: HashMap::new(),
            cloud_calls: HashMap::new(),
            peer_calls: HashMap::new(),
            transaction_sizes: HashMap::new(),
            rejected: BTreeMap::new(),
            next_rejection_log_at: now,
            log_level,
        }
    }

    /// Takes out the effects so far, in the order in which they came about.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn next_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        self.last_call_id
    }

    /// Calls the store.
    pub fn call_store(
        &mut self,
        priority: CallPriority,
        call: StoreCall,
        pending: PendingStoreCall,
    ) {
        let call_id = self.next_call_id();
        if let StoreCall::Txn(txn) = &call {
            let value = txn.changes.iter().map(value_bytes).max().unwrap_or(0);
            let size = TransactionSize { value, ops: txn.changes.len() };
            self.transaction_sizes.insert(call_id, size);
        }
        self.store_calls.insert(call_id, pending);
        self.effects.push(Effect::Store { call_id, call_priority: priority, call });
    }

    /// Calls the cloud; machines are not returned any more after `until`.
    pub fn call_cloud(&mut self, call: CloudCall, pending: PendingCloudCall, until: Micros) {
        let call_id = self.next_call_id();
        self.cloud_calls.insert(call_id, pending);
        self.effects.push(Effect::Cloud { call_id, call, until });
    }

    /// Calls a worker, but not after `until`.
    pub fn call_worker(
        &mut self,
        address: String,
        call: WorkerCall,
        pending: PendingWorkerCall,
        until: Micros,
    ) -> CallId {
        let call_id = self.next_call_id();
        self.worker_calls.insert(call_id, pending);
        self.effects.push(Effect::Worker { call_id, address, call, until });
        call_id
    }

    /// Asks or tells another controller something.
    pub fn ask_peer(&mut self, node: &str, request: PeerRequest, pending: PendingPeerCall) {
        let call_id = self.next_call_id();
        self.peer_calls.insert(call_id, pending);
        self.effects.push(Effect::Peer { call_id, node: node.to_owned(), request });
    }

    /// Answers a request of another controller.
    pub fn answer_peer(&mut self, id: RequestId, answer: PeerAnswer) {
        self.effects.push(Effect::AnswerPeer { id, answer });
    }

    /// Answers an HTTP request.
    pub fn answer(&mut self, id: RequestId, status: u16, body: Answer) {
        self.effects.push(Effect::Answer { id, status, body, retry_after_s: None, until: None });
    }

    /// Answers an HTTP request with 200, but not after `until`.
    pub fn answer_until(&mut self, id: RequestId, body: Answer, until: Micros) {
        self.effects.push(Effect::Answer {
            id,
            status: 200,
            body,
            retry_after_s: None,
            until: Some(until),
        });
    }

    /// Tells whoever asked to come back, at once.
    pub fn reject_retryable(&mut self, id: RequestId, status: u16, reason: &'static str) {
        let body = Answer::Error { error: reason };
        self.count_rejected(status, reason, 1);
        let retry_after_s = Some(RETRY_AFTER_S);
        self.effects.push(Effect::Answer { id, status, body, retry_after_s, until: None });
    }

    /// Counts requests that were rejected, for the log.
    pub fn count_rejected(&mut self, status: u16, reason: &'static str, count: u32) {
        if count > 0 {
            *self.rejected.entry((status, reason)).or_default() += count;
        }
    }

    /// Says now and then what was rejected, and why: nothing else shows an overload.
    pub fn log_rejected(&mut self, now: Micros) {
        if now < self.next_rejection_log_at {
            return;
        }
        self.next_rejection_log_at = now + REJECTION_LOG_INTERVAL;
        let rejected = std::mem::take(&mut self.rejected);
        if !rejected.is_empty() {
            self.log(LogLevel::Info, || {
                let each = |((status, reason), count)| RejectionCount { status, reason, count };
                LogEvent::RequestsRejected { counts: rejected.into_iter().map(each).collect() }
            });
        }
    }

    /// Turns levels of the log on or off.
    #[cfg(test)]
    pub fn set_log_level(&mut self, log_level: LogLevel) {
        self.log_level = log_level;
    }

    /// Leaves an event in the log, if its level is on; it is made only then. `log_level` is the event's own.
    pub fn log(&mut self, log_level: LogLevel, event: impl FnOnce() -> LogEvent) {
        if log_level <= self.log_level {
            let event = event();
            debug_assert_eq!(event.level(), log_level, "{event:?}");
            self.effects.push(Effect::Log(event));
        }
    }

    /// From now on this node may use so much of what the store and the cloud allow.
    pub fn set_rate_share(&mut self, share: f64) {
        self.effects.push(Effect::RateShare(share));
    }

    /// Ends the process.
    pub fn terminate(&mut self, reason: String) {
        self.effects.push(Effect::Terminate { reason });
    }

    /// What the reply to a call to the store belongs to.
    pub fn take_store_call(&mut self, call_id: CallId) -> Option<PendingStoreCall> {
        self.store_calls.remove(&call_id)
    }

    /// How large the transaction of a call was, if it was one.
    pub fn take_transaction_size(&mut self, call_id: CallId) -> Option<TransactionSize> {
        self.transaction_sizes.remove(&call_id)
    }

    /// What the reply to a call to the cloud belongs to.
    pub fn take_cloud_call(&mut self, call_id: CallId) -> Option<PendingCloudCall> {
        self.cloud_calls.remove(&call_id)
    }

    /// What the reply of a worker belongs to.
    pub fn take_worker_call(&mut self, call_id: CallId) -> Option<PendingWorkerCall> {
        self.worker_calls.remove(&call_id)
    }

    /// What the reply of a peer belongs to.
    pub fn take_peer_call(&mut self, call_id: CallId) -> Option<PendingPeerCall> {
        self.peer_calls.remove(&call_id)
    }

    /// How many calls to workers wait for a reply.
    pub fn worker_calls_in_flight(&self) -> usize {
        self.worker_calls.len()
    }
}

fn value_bytes(change: &Change) -> usize {
    match change {
        Change::Write { v, .. } => v.text().len(),
        Change::Delete { .. } => 0,
    }
}
