//! Calls to the store, in a lane for each purpose.
//!
//! Owns the lanes, their threads, and this node's part of the store's requests. Never keeps account of
//! changes: the core does, since it knows which are worth most.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_core::{Command, Lane, Token};
use quartzlever_wire::CallError;
use quartzlever_wire::state::StateCall;

use super::limit::SharedLimit;
use super::thread::spawn;
use crate::inbox::Inbox;
use crate::recovery::StateService;

/// What a lane may use.
struct LaneBounds {
    lane: Lane,
    threads: usize,
    /// Share of the budget that is left to others.
    keep: f64,
    /// How long a call waits for the budget.
    patience: Duration,
}

const LANES: [LaneBounds; 4] = [
    LaneBounds { lane: Lane::Lease, threads: 2, keep: 0.0, patience: Duration::from_millis(2000) },
    LaneBounds { lane: Lane::Watch, threads: 2, keep: 0.0, patience: Duration::from_millis(2000) },
    LaneBounds { lane: Lane::Work, threads: 4, keep: 0.1, patience: Duration::from_millis(1500) },
    LaneBounds { lane: Lane::User, threads: 4, keep: 0.25, patience: Duration::from_millis(600) },
];

struct Job {
    token: Token,
    call: StateCall,
}

/// Makes calls to the store.
pub struct StoreExecutor {
    lanes: HashMap<Lane, Sender<Job>>,
    limit: SharedLimit,
}

impl StoreExecutor {
    /// Starts the threads of all lanes.
    pub fn start(
        client: &StateService,
        limit: SharedLimit,
        inbox: &Inbox,
    ) -> io::Result<StoreExecutor> {
        let mut lanes = HashMap::new();
        for bounds in LANES {
            let (sender, receiver) = unbounded();
            for _ in 0..bounds.threads {
                let thread = LaneThread {
                    jobs: receiver.clone(),
                    client: client.clone(),
                    limit: limit.clone(),
                    keep: bounds.keep,
                    patience: bounds.patience,
                    inbox: inbox.clone(),
                };
                spawn("state", move || thread.run())?;
            }
            lanes.insert(bounds.lane, sender);
        }
        Ok(StoreExecutor { lanes, limit })
    }

    /// Has a call made.
    pub fn submit(&self, token: Token, lane: Lane, call: StateCall) {
        if let Some(queue) = self.lanes.get(&lane) {
            // A queue that is gone means that nobody wants the result.
            let _ = queue.send(Job { token, call });
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
    client: StateService,
    limit: SharedLimit,
    keep: f64,
    patience: Duration,
    inbox: Inbox,
}

impl LaneThread {
    fn run(self) {
        for Job { token, call } in &self.jobs {
            let allowed = self.limit.wait(self.keep, self.patience);
            let result = if allowed { self.client.call(&call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::State { token, result });
        }
    }
}
