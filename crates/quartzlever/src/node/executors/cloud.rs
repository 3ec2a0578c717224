//! Calls to the cloud.
//!
//! Owns the threads of these calls, and this node's part of the cloud's requests. Never returns a machine
//! after the right to do so has run out.

use std::io;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_clients::CloudClient;
use quartzlever_core::{CallId, Command};
use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::{CallError, Micros};

use super::limit::SharedLimit;
use super::thread::spawn;
use crate::clock::Clock;
use crate::inbox::Inbox;

const THREADS: usize = 2;
/// How long a call waits for the budget.
const PATIENCE: Duration = Duration::from_secs(5);
/// Share of the budget that is left to others.
const KEEP: f64 = 0.0;

struct Job {
    call_id: CallId,
    call: CloudCall,
    until: Micros,
}

/// Makes calls to the cloud.
pub struct CloudExecutor {
    queue: Sender<Job>,
    limit: SharedLimit,
}

impl CloudExecutor {
    /// Starts the threads.
    pub fn start(
        address: &str,
        limit: SharedLimit,
        inbox: &Inbox,
        clock: Clock,
    ) -> io::Result<CloudExecutor> {
        let (queue, receiver) = unbounded();
        for _ in 0..THREADS {
            let thread = CloudThread {
                jobs: receiver.clone(),
                client: CloudClient::new(address),
                limit: limit.clone(),
                inbox: inbox.clone(),
                clock,
            };
            spawn("cloud", move || thread.run())?;
        }
        Ok(CloudExecutor { queue, limit })
    }

    /// Has a call made; the return of machines only before `until`.
    pub fn submit(&self, call_id: CallId, call: CloudCall, until: Micros) {
        // A queue that is gone means that nobody wants the result.
        let _ = self.queue.send(Job { call_id, call, until });
    }

    /// Sets this node's share of the cloud's requests.
    pub fn set_share(&self, share: f64) {
        self.limit.set_share(share);
    }
}

/// A thread for calls to the cloud; lives as long as the process.
struct CloudThread {
    jobs: Receiver<Job>,
    client: CloudClient,
    limit: SharedLimit,
    inbox: Inbox,
    clock: Clock,
}

impl CloudThread {
    fn run(self) {
        for Job { call_id, call, until } in &self.jobs {
            let allowed = self.limit.wait(KEEP, PATIENCE);
            // Whoever holds the partition by then may have found the machines alive.
            let late = matches!(call, CloudCall::ScaleIn(_)) && self.clock.now() >= until;
            let allowed = allowed && !late;
            let result = if allowed { self.client.call(&call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::CloudReply { call_id, result });
        }
    }
}
