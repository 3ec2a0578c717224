//! Presence checks: before an unexpected machine is claimed, a status call to it confirms that it
//! exists.
//!
//! Without the check, a late copy of a heartbeat could claim again a machine that was terminated.
//! At most one check is in flight per machine, and at most [`MAX_PRESENCE_CHECKS`] in total. Each
//! ends with an answer to the heartbeat that began it, which the caller gives when it handles the
//! outcome.

use std::collections::HashMap;

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{Heartbeat, WorkerCall, WorkerReply};

use crate::calls::PendingWorkerCall;
use crate::leadership::authority::Permit;
use crate::machines::ownership::PartitionTerm;
use crate::messages::RequestId;
use crate::outbox::Outbox;

/// Maximum number of presence checks in flight. Heartbeats of further machines get a 503 and are
/// repeated after a second, so that thousands of machines which this node did not launch are
/// checked within a few seconds.
const MAX_PRESENCE_CHECKS: usize = 16;

/// The presence checks in flight, by machine.
#[derive(Debug, Default)]
pub(crate) struct PresenceChecks {
    in_flight: HashMap<String, PresenceCheck>,
}

/// A check in flight, with the heartbeat that began it and its request.
#[derive(Debug)]
struct PresenceCheck {
    id: RequestId,
    heartbeat: Heartbeat,
}

/// The outcome of a check, with the request of the heartbeat that began it.
#[derive(Debug)]
pub(crate) enum PresenceOutcome {
    /// The machine replied with its present status.
    Present { id: RequestId, status: Heartbeat },
    /// The machine did not reply with a status, or another machine has its address.
    NotConfirmed { id: RequestId },
}

impl PresenceChecks {
    /// Asks the machine that sent this heartbeat for its status, on behalf of a partition. The call
    /// needs `permit`. The request is rejected if a check of the machine is in flight
    /// already, or too many checks are.
    pub fn begin(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        owner: PartitionTerm,
        permit: Permit,
        outbox: &mut Outbox,
    ) {
        if self.in_flight.contains_key(&heartbeat.machine)
            || self.in_flight.len() >= MAX_PRESENCE_CHECKS
        {
            return outbox.reject_retryable(id, 503, "asked already");
        }
        let (machine, address) = (heartbeat.machine.clone(), heartbeat.address.clone());
        self.in_flight.insert(machine.clone(), PresenceCheck { id, heartbeat });
        let pending = PendingWorkerCall {
            partition: owner.partition,
            term: owner.term,
            machine,
            confirms_presence: true,
            ..PendingWorkerCall::default()
        };
        outbox.call_worker(address, WorkerCall::Status, pending, permit);
    }

    /// Ends the check of a machine with the result of its status call; `None` if no check is in
    /// flight.
    pub fn answered(
        &mut self,
        machine: &str,
        result: Result<WorkerReply, CallError>,
    ) -> Option<PresenceOutcome> {
        let PresenceCheck { id, heartbeat } = self.in_flight.remove(machine)?;
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
