//! Calls to workers.
//!
//! Owns the threads of these calls. Never calls a worker after the right to command it has run out.

use std::io;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_clients::WorkerClient;
use quartzlever_core::{CallId, Command};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{CallError, Micros};

use super::thread::spawn;
use crate::clock::Clock;
use crate::inbox::Inbox;

/// As many as the core has direct calls under way: hung machines must not block the others.
const THREADS: usize = 32;

struct Job {
    call_id: CallId,
    address: String,
    call: WorkerCall,
    until: Micros,
}

/// Makes calls to workers.
pub struct WorkerExecutor {
    queue: Sender<Job>,
}

impl WorkerExecutor {
    /// Starts the threads.
    pub fn start(inbox: &Inbox, clock: Clock) -> io::Result<WorkerExecutor> {
        let (queue, receiver) = unbounded();
        let client = WorkerClient::default();
        for _ in 0..THREADS {
            let thread = WorkerThread {
                jobs: receiver.clone(),
                client: client.clone(),
                inbox: inbox.clone(),
                clock,
            };
            spawn("worker", move || thread.run())?;
        }
        Ok(WorkerExecutor { queue })
    }

    /// Has a call made, if its turn comes before `until`.
    pub fn submit(&self, call_id: CallId, address: String, call: WorkerCall, until: Micros) {
        // A queue that is gone means that nobody wants the result.
        let _ = self.queue.send(Job { call_id, address, call, until });
    }
}

/// A thread for calls to workers; lives as long as the process.
struct WorkerThread {
    jobs: Receiver<Job>,
    client: WorkerClient,
    inbox: Inbox,
    clock: Clock,
}

impl WorkerThread {
    fn run(self) {
        for Job { call_id, address, call, until } in &self.jobs {
            // The right to command may have run out while the call waited its turn.
            let allowed = self.clock.now() < until;
            let result =
                if allowed { self.client.call(&address, &call) } else { Err(CallError::Refused) };
            self.inbox.deliver(Command::WorkerReply { call_id, result });
        }
    }
}

#[cfg(test)]
mod tests;
