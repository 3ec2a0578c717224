//! Calls to workers.
//!
//! A worker is never called after the deadline of the call, when this node's authority to command
//! it has expired.

use std::io;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_clients::WorkerClient;
use quartzlever_core::{CallId, Command};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{CallError, Micros};

use super::thread::spawn;
use crate::clock::Clock;
use crate::inbox::Inbox;

/// As many as the core makes direct calls at a time, so that machines that hang do not block calls
/// to others.
const THREADS: usize = 32;

struct QueuedCall {
    call_id: CallId,
    address: String,
    call: WorkerCall,
    deadline: Micros,
}

/// Makes calls to workers.
pub struct WorkerExecutor {
    queue: Sender<QueuedCall>,
}

impl WorkerExecutor {
    /// Starts the threads.
    pub fn start(inbox: &Inbox, clock: Clock) -> io::Result<WorkerExecutor> {
        let (queue, receiver) = unbounded();
        let client = WorkerClient::default();
        for _ in 0..THREADS {
            let thread = WorkerThread {
                calls: receiver.clone(),
                client: client.clone(),
                inbox: inbox.clone(),
                clock,
            };
            spawn("worker", move || thread.run())?;
        }
        Ok(WorkerExecutor { queue })
    }

    /// Enqueues a call, which is made only if a thread takes it before `deadline`.
    pub fn submit(&self, call_id: CallId, address: String, call: WorkerCall, deadline: Micros) {
        // Fails only if the executor's threads have ended, and then the result is not needed.
        let _ = self.queue.send(QueuedCall { call_id, address, call, deadline });
    }
}

/// A thread that makes calls to workers; lives as long as the process.
struct WorkerThread {
    calls: Receiver<QueuedCall>,
    client: WorkerClient,
    inbox: Inbox,
    clock: Clock,
}

impl WorkerThread {
    fn run(self) {
        for QueuedCall { call_id, address, call, deadline } in &self.calls {
            // This node's authority may have expired while the call was queued.
            let allowed = self.clock.now() < deadline;
            let result =
                if allowed { self.client.call(&address, &call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::WorkerReply { call_id, result });
        }
    }
}

#[cfg(test)]
mod tests;
