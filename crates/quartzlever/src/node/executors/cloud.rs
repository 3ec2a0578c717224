//! Calls to the cloud, within this node's share of the cloud's rate limit.
//!
//! A scale-in is not sent after its deadline, when this node's authority to terminate machines has
//! expired.

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
/// How long a call waits for this node's budget of requests.
const BUDGET_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of the budget that calls must leave unused: none, as all of them are calls to the cloud.
const RESERVE: f64 = 0.0;

struct QueuedCall {
    call_id: CallId,
    call: CloudCall,
    deadline: Micros,
}

/// Makes calls to the cloud.
pub struct CloudExecutor {
    queue: Sender<QueuedCall>,
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
                calls: receiver.clone(),
                client: CloudClient::new(address),
                limit: limit.clone(),
                inbox: inbox.clone(),
                clock,
            };
            spawn("cloud", move || thread.run())?;
        }
        Ok(CloudExecutor { queue, limit })
    }

    /// Enqueues a call. A scale-in is sent only before `deadline`.
    pub fn submit(&self, call_id: CallId, call: CloudCall, deadline: Micros) {
        // Fails only if the executor's threads have ended, and then the result is not needed.
        let _ = self.queue.send(QueuedCall { call_id, call, deadline });
    }

    /// Sets this node's share of the cloud's rate limit.
    pub fn set_share(&self, share: f64) {
        self.limit.set_share(share);
    }
}

/// A thread that makes calls to the cloud; lives as long as the process.
struct CloudThread {
    calls: Receiver<QueuedCall>,
    client: CloudClient,
    limit: SharedLimit,
    inbox: Inbox,
    clock: Clock,
}

impl CloudThread {
    fn run(self) {
        for QueuedCall { call_id, call, deadline } in &self.calls {
            let allowed = self.limit.wait(RESERVE, BUDGET_TIMEOUT);
            // A later leader of the partition may have received heartbeats from the machines.
            let late = matches!(call, CloudCall::ScaleIn(_)) && self.clock.now() >= deadline;
            let allowed = allowed && !late;
            let result = if allowed { self.client.call(&call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::CloudReply { call_id, result });
        }
    }
}
