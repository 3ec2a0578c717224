//! The output of the core: calls with the context of their replies, answers, and events for the
//! log.
//!
//! Only the outbox creates effects. It makes no decisions.

use std::collections::{BTreeMap, HashMap};

use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::store::{Change, StoreCall};
use quartzlever_wire::workers::{WorkerCall, WorkerCommands};
use quartzlever_wire::{Micros, SECOND};

use crate::calls::{
    PendingCloudCall, PendingPeerCall, PendingStoreCall, PendingWorkerCall, TransactionSize,
};
use crate::events::{LogEvent, RejectionCount};
use crate::leadership::authority::Permit;
use crate::messages::{Answer, CallId, CallPriority, Effect, LogLevel, RequestId};

/// Minimum time between two log events about rejected requests.
const REJECTION_LOG_INTERVAL: Micros = 10 * SECOND;
/// `Retry-After` of a rejected request, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Collects the effects of a step and keeps the context of the calls in flight.
#[derive(Debug)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    last_call_id: CallId,
    store_calls: HashMap<CallId, PendingStoreCall>,
    worker_calls: HashMap<CallId, PendingWorkerCall>,
    cloud_calls: HashMap<CallId, PendingCloudCall>,
    peer_calls: HashMap<CallId, PendingPeerCall>,
    transaction_sizes: HashMap<CallId, TransactionSize>,
    /// Requests rejected since the last log event about them, by status and reason.
    rejected: BTreeMap<(u16, &'static str), u32>,
    next_rejection_log_at: Micros,
    log_level: LogLevel,
}

impl Outbox {
    /// Creates an empty outbox. Events less important than `log_level` are not created.
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

    /// Takes the effects collected so far, in the order in which they were added.
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
            let largest_value_bytes = txn.changes.iter().map(value_bytes).max().unwrap_or(0);
            let size = TransactionSize { largest_value_bytes, changes: txn.changes.len() };
            self.transaction_sizes.insert(call_id, size);
        }
        self.store_calls.insert(call_id, pending);
        self.effects.push(Effect::Store { call_id, call_priority: priority, call });
    }

    /// Calls the cloud. A scale-in is not made from `deadline` on.
    pub fn call_cloud(&mut self, call: CloudCall, pending: PendingCloudCall, deadline: Micros) {
        let call_id = self.next_call_id();
        self.cloud_calls.insert(call_id, pending);
        self.effects.push(Effect::Cloud { call_id, call, deadline });
    }

    /// Calls a worker, unless the permit is void by the time the call would be sent. Returns the id
    /// of the call.
    pub fn call_worker(
        &mut self,
        address: String,
        call: WorkerCall,
        pending: PendingWorkerCall,
        permit: Permit,
    ) -> CallId {
        let call_id = self.next_call_id();
        self.worker_calls.insert(call_id, pending);
        let deadline = permit.deadline();
        self.effects.push(Effect::Worker { call_id, address, call, deadline });
        call_id
    }

    /// Sends a request or a notification to another controller.
    pub fn call_peer(&mut self, node: &str, request: PeerRequest, pending: PendingPeerCall) {
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
        self.effects.push(Effect::Answer { id, status, body, retry_after_s: None, deadline: None });
    }

    /// Answers a heartbeat with 200, which renews the worker's lease. Once the permit is void, a
    /// 503 is sent instead.
    pub fn answer_heartbeat(&mut self, id: RequestId, commands: WorkerCommands, permit: Permit) {
        self.effects.push(Effect::Answer {
            id,
            status: 200,
            body: Answer::WorkerCommands(commands),
            retry_after_s: None,
            deadline: Some(permit.deadline()),
        });
    }

    /// Rejects an HTTP request and asks the client to retry after [`RETRY_AFTER_S`].
    pub fn reject_retryable(&mut self, id: RequestId, status: u16, reason: &'static str) {
        let body = Answer::Error { error: reason };
        self.count_rejected(status, reason, 1);
        let retry_after_s = Some(RETRY_AFTER_S);
        self.effects.push(Effect::Answer { id, status, body, retry_after_s, deadline: None });
    }

    /// Counts rejected requests for the log.
    pub fn count_rejected(&mut self, status: u16, reason: &'static str, count: u32) {
        if count > 0 {
            *self.rejected.entry((status, reason)).or_default() += count;
        }
    }

    /// Logs the number of rejected requests by reason, at most once per [`REJECTION_LOG_INTERVAL`].
    /// Nothing else in the log shows an overload.
    pub fn log_rejected(&mut self, now: Micros) {
        if now < self.next_rejection_log_at {
            return;
        }
        self.next_rejection_log_at = now + REJECTION_LOG_INTERVAL;
        let rejected = std::mem::take(&mut self.rejected);
        if !rejected.is_empty() {
            self.log(LogLevel::Info, || {
                let to_count = |((status, reason), count)| RejectionCount { status, reason, count };
                LogEvent::RequestsRejected { counts: rejected.into_iter().map(to_count).collect() }
            });
        }
    }

    /// Removes and returns the only call to a worker in flight, with its number.
    #[cfg(test)]
    pub fn take_only_worker_call(&mut self) -> (CallId, PendingWorkerCall) {
        assert_eq!(self.worker_calls.len(), 1);
        self.worker_calls.drain().next().expect("one call is in flight")
    }

    /// Sets the level of the least important events that are logged.
    #[cfg(test)]
    pub fn set_log_level(&mut self, log_level: LogLevel) {
        self.log_level = log_level;
    }

    /// Logs an event if its level is enabled; `event` is called only then. `log_level` must be the
    /// level of the event.
    pub fn log(&mut self, log_level: LogLevel, event: impl FnOnce() -> LogEvent) {
        if log_level <= self.log_level {
            let event = event();
            debug_assert_eq!(event.level(), log_level, "{event:?}");
            self.effects.push(Effect::Log(event));
        }
    }

    /// Sets the share of the rate limits of the store and the cloud that this node may use.
    pub fn set_rate_share(&mut self, share: f64) {
        self.effects.push(Effect::SetRateShare(share));
    }

    /// Ends the process.
    pub fn terminate(&mut self, reason: String) {
        self.effects.push(Effect::Terminate { reason });
    }

    /// Removes and returns the context of a call to the store.
    pub fn take_store_call(&mut self, call_id: CallId) -> Option<PendingStoreCall> {
        self.store_calls.remove(&call_id)
    }

    /// Removes and returns the size of the transaction of a call, or `None` if the call is not a
    /// transaction.
    pub fn take_transaction_size(&mut self, call_id: CallId) -> Option<TransactionSize> {
        self.transaction_sizes.remove(&call_id)
    }

    /// Removes and returns the context of a call to the cloud.
    pub fn take_cloud_call(&mut self, call_id: CallId) -> Option<PendingCloudCall> {
        self.cloud_calls.remove(&call_id)
    }

    /// Removes and returns the context of a call to a worker.
    pub fn take_worker_call(&mut self, call_id: CallId) -> Option<PendingWorkerCall> {
        self.worker_calls.remove(&call_id)
    }

    /// Removes and returns the context of a call to a peer.
    pub fn take_peer_call(&mut self, call_id: CallId) -> Option<PendingPeerCall> {
        self.peer_calls.remove(&call_id)
    }

    /// Returns the number of calls to workers in flight.
    pub fn worker_calls_in_flight(&self) -> usize {
        self.worker_calls.len()
    }
}

/// Returns the size of the value that a change writes, in bytes.
fn value_bytes(change: &Change) -> usize {
    match change {
        Change::Write { v, .. } => v.text().len(),
        Change::Delete { .. } => 0,
    }
}
