//! Presence checks: a machine that nobody here knows is asked whether it is there before it is claimed.
//!
//! A late copy of a heartbeat must not claim anew a machine that was returned. At most one check is under way
//! per machine, and only so many at once; each ends with an answer to the heartbeat that began it, given by
//! whoever takes the outcome.

use std::collections::HashMap;

use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros};

use crate::calls::PendingWorkerCall;
use crate::machines::ownership::PartitionTerm;
use crate::messages::RequestId;
use crate::outbox::Outbox;

/// Machines that are asked whether they are there, at once. The others get a 503 and come again after a
/// second: thousands of machines that nobody here rented are through within a few seconds.
const MAX_PRESENCE_CHECKS: usize = 16;

/// Heartbeats of machines that nobody knew, while the machines are asked.
#[derive(Debug, Default)]
pub(crate) struct PresenceChecks {
    awaiting: HashMap<String, AwaitingHeartbeat>,
}

/// A heartbeat that waits for the outcome of a check.
#[derive(Debug)]
struct AwaitingHeartbeat {
    id: RequestId,
    heartbeat: Heartbeat,
}

/// The outcome of a check, with the request that waits for it.
#[derive(Debug)]
pub(crate) enum PresenceOutcome {
    /// The machine is there, with its present status.
    Present { id: RequestId, status: Heartbeat },
    /// It gave no answer, or another machine lives at its address.
    NotConfirmed { id: RequestId },
}

impl PresenceChecks {
    /// Asks the machine that sent this heartbeat for its status, on behalf of a partition; not after `until`.
    pub fn begin(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        owner: PartitionTerm,
        until: Micros,
        outbox: &mut Outbox,
    ) {
        if self.awaiting.contains_key(&heartbeat.machine)
            || self.awaiting.len() >= MAX_PRESENCE_CHECKS
        {
            return outbox.reject_retryable(id, 503, "asked already");
        }
        let (machine, address) = (heartbeat.machine.clone(), heartbeat.address.clone());
        self.awaiting.insert(machine.clone(), AwaitingHeartbeat { id, heartbeat });
        let pending = PendingWorkerCall {
            partition: owner.partition,
            term: owner.term,
            machine,
            confirms_presence: true,
            ..PendingWorkerCall::default()
        };
        outbox.call_worker(address, WorkerCall::Status, pending, until);
    }

    /// A machine was asked whether it is there; `None` if nothing waits for that any more.
    pub fn answered(
        &mut self,
        machine: &str,
        result: Result<WorkerReply, CallError>,
    ) -> Option<PresenceOutcome> {
        let AwaitingHeartbeat { id, heartbeat } = self.awaiting.remove(machine)?;
        Some(match result {
            Ok(WorkerReply::Status(status)) if status.machine == heartbeat.machine => {
                PresenceOutcome::Present { id, status }
            }
            _ => PresenceOutcome::NotConfirmed { id },
        })
    }
}

#[cfg(test)]
mod tests;
