//! Calls to the store, in one lane for each priority, within this node's share of the store's rate
//! limit.
//!
//! Only requests are limited here. The core limits the number of changes, since it knows which of
//! them are the most important.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_core::{CallId, CallPriority, Command};
use quartzlever_wire::CallError;
use quartzlever_wire::store::StoreCall;

use super::limit::SharedLimit;
use super::thread::spawn;
use crate::inbox::Inbox;
use crate::recovery::StoreService;

/// The threads of a lane and its use of the budget.
struct LaneConfig {
    call_priority: CallPriority,
    threads: usize,
    /// Share of the budget that is left to other lanes.
    reserve: f64,
    /// How long a call waits for this node's budget of requests.
    timeout: Duration,
}

const LANES: [LaneConfig; 4] = [
    LaneConfig {
        call_priority: CallPriority::Lease,
        threads: 2,
        reserve: 0.0,
        timeout: Duration::from_millis(2000),
    },
    LaneConfig {
        call_priority: CallPriority::Watch,
        threads: 2,
        reserve: 0.0,
        timeout: Duration::from_millis(2000),
    },
    LaneConfig {
        call_priority: CallPriority::Work,
        threads: 4,
        reserve: 0.1,
        timeout: Duration::from_millis(1500),
    },
    LaneConfig {
        call_priority: CallPriority::User,
        threads: 4,
        reserve: 0.25,
        timeout: Duration::from_millis(600),
    },
];

struct QueuedCall {
    call_id: CallId,
    call: StoreCall,
}

/// Makes calls to the store.
pub struct StoreExecutor {
    queues: HashMap<CallPriority, Sender<QueuedCall>>,
    limit: SharedLimit,
}

impl StoreExecutor {
    /// Starts the threads of all lanes.
    pub fn start(
        client: &StoreService,
        limit: SharedLimit,
        inbox: &Inbox,
    ) -> io::Result<StoreExecutor> {
        let mut queues = HashMap::new();
        for lane in LANES {
            let (sender, receiver) = unbounded();
            for _ in 0..lane.threads {
                let thread = LaneThread {
                    calls: receiver.clone(),
                    client: client.clone(),
                    limit: limit.clone(),
                    reserve: lane.reserve,
                    timeout: lane.timeout,
                    inbox: inbox.clone(),
                };
                spawn("state", move || thread.run())?;
            }
            queues.insert(lane.call_priority, sender);
        }
        Ok(StoreExecutor { queues, limit })
    }

    /// Enqueues a call in the lane of its priority.
    pub fn submit(&self, call_id: CallId, call_priority: CallPriority, call: StoreCall) {
        if let Some(queue) = self.queues.get(&call_priority) {
            // Fails only if the executor's threads have ended, and then the result is not needed.
            let _ = queue.send(QueuedCall { call_id, call });
        }
    }

    /// Sets this node's share of the store's rate limit.
    pub fn set_share(&self, share: f64) {
        self.limit.set_share(share);
    }
}

/// A thread of a lane; lives as long as the process.
struct LaneThread {
    calls: Receiver<QueuedCall>,
    client: StoreService,
    limit: SharedLimit,
    reserve: f64,
    timeout: Duration,
    inbox: Inbox,
}

impl LaneThread {
    fn run(self) {
        for QueuedCall { call_id, call } in &self.calls {
            let allowed = self.limit.wait(self.reserve, self.timeout);
            let result = if allowed { self.client.call(&call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::StoreReply { call_id, result });
        }
    }
}
