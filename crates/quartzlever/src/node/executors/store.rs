//! Calls to the store, in a lane for each purpose.
//!
//! Owns the lanes, their threads, and this node's part of the store's requests. Never keeps account of
//! changes: the core does, since it knows which are worth most.

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

/// What a lane may use.
struct LaneBounds {
    call_priority: CallPriority,
    threads: usize,
    /// Share of the budget that is left to others.
    keep: f64,
    /// How long a call waits for the budget.
    timeout: Duration,
}

const LANES: [LaneBounds; 4] = [
    LaneBounds {
        call_priority: CallPriority::Lease,
        threads: 2,
        keep: 0.0,
        timeout: Duration::from_millis(2000),
    },
    LaneBounds {
        call_priority: CallPriority::Watch,
        threads: 2,
        keep: 0.0,
        timeout: Duration::from_millis(2000),
    },
    LaneBounds {
        call_priority: CallPriority::Work,
        threads: 4,
        keep: 0.1,
        timeout: Duration::from_millis(1500),
    },
    LaneBounds {
        call_priority: CallPriority::User,
        threads: 4,
        keep: 0.25,
        timeout: Duration::from_millis(600),
    },
];

struct Job {
    call_id: CallId,
    call: StoreCall,
}

/// Makes calls to the store.
pub struct StoreExecutor {
    call_priorities: HashMap<CallPriority, Sender<Job>>,
    limit: SharedLimit,
}

impl StoreExecutor {
    /// Starts the threads of all lanes.
    pub fn start(
        client: &StoreService,
        limit: SharedLimit,
        inbox: &Inbox,
    ) -> io::Result<StoreExecutor> {
        let mut call_priorities = HashMap::new();
        for bounds in LANES {
            let (sender, receiver) = unbounded();
            for _ in 0..bounds.threads {
                let thread = LaneThread {
                    jobs: receiver.clone(),
                    client: client.clone(),
                    limit: limit.clone(),
                    keep: bounds.keep,
                    timeout: bounds.timeout,
                    inbox: inbox.clone(),
                };
                spawn("state", move || thread.run())?;
            }
            call_priorities.insert(bounds.call_priority, sender);
        }
        Ok(StoreExecutor { call_priorities, limit })
    }

    /// Has a call made.
    pub fn submit(&self, call_id: CallId, call_priority: CallPriority, call: StoreCall) {
        if let Some(queue) = self.call_priorities.get(&call_priority) {
            // A queue that is gone means that nobody wants the result.
            let _ = queue.send(Job { call_id, call });
        }
    }

    /// Sets this node's share of the store's requests.
    pub fn set_share(&self, share: f64) {
        self.limit.set_share(share);
    }
}

/// A thread of a lane; lives as long as the process.
struct LaneThread {
    jobs: Receiver<Job>,
    client: StoreService,
    limit: SharedLimit,
    keep: f64,
    timeout: Duration,
    inbox: Inbox,
}

impl LaneThread {
    fn run(self) {
        for Job { call_id, call } in &self.jobs {
            let allowed = self.limit.wait(self.keep, self.timeout);
            let result = if allowed { self.client.call(&call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::StoreReply { call_id, result });
        }
    }
}
