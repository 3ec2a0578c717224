//! Dispatches the requests and answers of other controllers to the components that handle them.

use quartzlever_wire::CallError;
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::store::TerminalJobRecord;
use quartzlever_wire::users::JobPhase;

use crate::calls::PendingPeerCall;
use crate::messages::RequestId;
use crate::router::Core;

impl Core {
    /// Handles a request or notification of a peer.
    pub(crate) fn handle_peer_request(&mut self, id: RequestId, request: PeerRequest) {
        let answer = match request {
            PeerRequest::Saturated => {
                self.stealing.record_peer_saturation(&self.config, self.now);
                PeerAnswer::Empty
            }
            PeerRequest::StoreConnectivity => PeerAnswer::StoreConnectivity {
                reached: self.store_connectivity.is_reachable(self.now),
            },
            PeerRequest::Counts { priority } => self.answer_counts(priority),
            PeerRequest::HandBack { partition } => {
                self.handback_requested(&partition);
                PeerAnswer::Empty
            }
            PeerRequest::MachinesSeen { partition, machines } => {
                self.reachability.note_machines_seen(self.now, partition, machines);
                PeerAnswer::Empty
            }
            // Handled outside the core: the program appends the changes to its recovery log.
            PeerRequest::LogChanges(_) => PeerAnswer::Empty,
            PeerRequest::Cancelled { job, done } => {
                self.job_terminated(&job, TerminalJobRecord { phase: JobPhase::Cancelled, done });
                PeerAnswer::Empty
            }
            PeerRequest::ScaledOut { partition, machines } => {
                for machine in machines {
                    self.cloud.add_launch_hint(machine, &partition, self.now);
                }
                PeerAnswer::Empty
            }
            // Answered once the move has committed or failed.
            PeerRequest::Steal { partition, term, priority, capacity, load } => {
                return self.steal_requested(id, partition, term, priority, capacity, load);
            }
        };
        self.outbox.answer_peer(id, answer);
    }

    /// Handles the answer of a peer, or the failure of the call.
    pub(crate) fn peer_replied(
        &mut self,
        pending: PendingPeerCall,
        result: Result<PeerAnswer, CallError>,
    ) {
        match pending {
            PendingPeerCall::Notification => {}
            PendingPeerCall::MachinesSeen { partition, machines } => {
                if result.is_err() {
                    self.store_machines_seen(&partition, machines);
                }
            }
            PendingPeerCall::StoreConnectivity => {
                if let Ok(PeerAnswer::StoreConnectivity { reached: true }) = result {
                    self.store_connectivity.record_peer_reply(self.now, &mut self.outbox);
                }
            }
            PendingPeerCall::Count { round, node } => self.counts_replied(round, node, result),
            PendingPeerCall::Steal { partition } => self.steal_replied(&partition, result),
        }
    }
}
