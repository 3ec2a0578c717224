//! Handles heartbeats and replies of workers.

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{Heartbeat, WorkerReply};

use super::{Core, STARTING};
use crate::calls::PendingWorkerCall;
use crate::events::{DirectCallResult, LogEvent};
use crate::leadership::authority::Refusal;
use crate::machines::direct_calls::DirectCallOutcome;
use crate::machines::heartbeats::{Claimant, HeartbeatRoute, OwnershipView};
use crate::machines::ownership::PartitionTerm;
use crate::machines::presence::PresenceOutcome;
use crate::machines::reconciliation::StatusSource;
use crate::messages::{Answer, CallId, LogLevel, RequestId};

impl Core {
    fn ownership_view(&self) -> OwnershipView<'_> {
        OwnershipView { node: &self.config.node, cache: &self.cache, partitions: &self.partitions }
    }

    /// Handles a heartbeat: answers it, redirects the worker to its leader, or claims the machine.
    pub(crate) fn handle_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        let launched_for = |machine: &str| self.cloud.launched_for(machine);
        match self.ownership_view().route(&heartbeat.machine, launched_for) {
            HeartbeatRoute::Own { partition } => {
                self.handle_own_heartbeat(id, &partition, &heartbeat);
            }
            HeartbeatRoute::CacheNotLoaded => self.outbox.reject_retryable(id, 503, STARTING),
            HeartbeatRoute::Owned { partition } => {
                let view_age = self.authority().view_age(self.now);
                if let Some(led) = self.partitions.get_mut(&partition) {
                    led.check_missing_machine(&heartbeat.machine, view_age);
                }
                if self.other_leader_of(&partition).is_some() {
                    self.note_foreign_heartbeat(&partition, &heartbeat.machine);
                }
                self.redirect(id, &partition);
            }
            HeartbeatRoute::LaunchedElsewhere { partition } => self.redirect(id, &partition),
            HeartbeatRoute::Unclaimed { launched_for } => {
                self.claim(id, heartbeat, launched_for.as_deref());
            }
        }
    }

    /// Returns the node that leads `partition`, if the cache shows a node other than this one.
    pub(crate) fn other_leader_of(&self, partition: &str) -> Option<&str> {
        self.ownership_view().other_leader_of(partition)
    }

    /// Redirects a worker to the leader of its partition, or rejects the heartbeat if none is
    /// known.
    fn redirect(&mut self, id: RequestId, partition: &str) {
        // While the store is unreachable, the cache may name a former leader. Two such nodes
        // redirected workers to each other, past the node that had taken over, until 809 machines
        // were given up. A worker that is rejected without the name of a leader tries the
        // controllers in turn.
        let store_reachable = self.store_connectivity.is_reachable(self.now);
        match self.other_leader_of(partition).filter(|_| store_reachable) {
            Some(node) => {
                let leader = node.to_owned();
                self.outbox.answer(id, 421, Answer::Leader { leader });
            }
            // This node leads the partition but has not added the machine yet, or nobody leads it.
            None => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    /// Claims an unclaimed machine, after a presence check if no heartbeat of it was expected.
    fn claim(&mut self, id: RequestId, heartbeat: Heartbeat, launched_for: Option<&str>) {
        let claimant =
            self.ownership_view().claimant_of(&heartbeat.machine, launched_for, self.may_act());
        match claimant {
            Claimant::NotEntitled => self.outbox.reject_retryable(id, 503, "not entitled"),
            Claimant::Expected(owner) => self.request_ownership(id, heartbeat, owner),
            Claimant::Unexpected(owner) => match self.permit(owner.term) {
                Ok(permit) => {
                    self.presence_checks.begin(id, heartbeat, owner, permit, &mut self.outbox);
                }
                Err(refusal) => self.refuse_heartbeat(id, refusal),
            },
        }
    }

    /// Handles the reply to a presence check: claims the machine if it confirmed its presence.
    fn presence_replied(
        &mut self,
        call: &PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        match self.presence_checks.answered(&call.machine, result) {
            Some(PresenceOutcome::Present { id, status }) => {
                let is_led =
                    self.partitions.get(&call.partition).is_some_and(|p| p.term == call.term);
                if is_led && self.may_act() && self.cache.machine_record(&status.machine).is_none()
                {
                    let owner =
                        PartitionTerm { partition: call.partition.clone(), term: call.term };
                    self.request_ownership(id, status, owner);
                } else {
                    self.outbox.reject_retryable(id, 503, "not entitled");
                }
            }
            Some(PresenceOutcome::NotConfirmed { id }) => {
                self.outbox.reject_retryable(id, 503, "not entitled");
            }
            None => {}
        }
    }

    /// Applies a heartbeat from a machine of a partition led here, and answers it with commands.
    fn handle_own_heartbeat(&mut self, id: RequestId, name: &str, heartbeat: &Heartbeat) {
        let (now, authority) = (self.now, self.authority());
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let permit = match authority.permit_heartbeat(partition.heartbeat_context(heartbeat), now) {
            Ok(permit) => permit,
            Err(refusal) => return self.refuse_heartbeat(id, refusal),
        };
        let (run_times, source) = (&mut self.run_times, StatusSource::Heartbeat);
        let is_newer = partition.apply_heartbeat(&self.config, run_times, heartbeat, source, now);
        let renewal = partition.permit_renewal(permit, heartbeat, is_newer, now);
        self.complete_recovery(name);
        self.place_ready_tasks(name);
        self.place_on_machine(name, &heartbeat.machine);
        let permit = match renewal {
            Ok(permit) => permit,
            Err(refusal) => return self.refuse_heartbeat(id, refusal),
        };
        let cache = &self.cache;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        match partition.heartbeat_answer(heartbeat, is_newer, permit, cache, now) {
            Some(commands) => self.outbox.answer_heartbeat(id, commands, permit),
            None => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    /// Rejects a heartbeat, so that the worker's lease is not renewed.
    fn refuse_heartbeat(&mut self, id: RequestId, refusal: Refusal) {
        self.outbox.reject_retryable(id, 503, refusal.reason());
    }

    /// Checks all machines of a partition: those silent for a full lease are taken as empty, and
    /// those that run service replicas and are late with a heartbeat are probed.
    pub(super) fn check_machines(&mut self, name: &str) {
        let (now, authority) = (self.now, self.authority());
        let Some(partition) = self.partitions.get_mut(name) else { return };
        partition.expire_silent_machines(&self.config, now);
        if let Ok(permit) = authority.permit(partition.term, now) {
            let (cache, outbox) = (&self.cache, &mut self.outbox);
            partition.probe_late_service_machines(&self.config, now, permit, cache, outbox);
        }
    }

    /// Sends the due calls to workers of a partition.
    pub(super) fn call_workers(&mut self, name: &str) {
        let (now, authority) = (self.now, self.authority());
        if let Some(partition) = self.partitions.get_mut(name)
            && let Ok(permit) = authority.permit(partition.term, now)
        {
            let (cache, outbox) = (&self.cache, &mut self.outbox);
            partition.call_workers(&self.config, now, permit, cache, outbox);
        }
    }

    /// Handles a worker's reply, or the failure of the call.
    pub(super) fn worker_replied(
        &mut self,
        call_id: CallId,
        call: PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        if call.probe {
            return self.probe_replied(result.is_ok());
        }
        if call.confirms_presence {
            return self.presence_replied(&call, result);
        }
        self.outbox.log(LogLevel::Debug, || LogEvent::DirectCallEnded {
            partition: call.partition.clone(),
            machine: call.machine.clone(),
            result: DirectCallResult::of(&result),
            worker: match &result {
                Ok(WorkerReply::Status(status) | WorkerReply::Refused(status)) => {
                    Some((status.fencing_token, status.incarnation))
                }
                Err(_) => None,
            },
            run_attempts: call.run_attempts.clone(),
        });
        let Some(partition) =
            self.partitions.get_mut(&call.partition).filter(|p| p.term == call.term)
        else {
            return;
        };
        let (config, run_times) = (&self.config, &mut self.run_times);
        let outcome =
            partition.handle_worker_reply(config, run_times, call_id, &call, result, self.now);
        if outcome == DirectCallOutcome::StatusReceived {
            self.place_on_machine(&call.partition, &call.machine);
        }
    }
}

#[cfg(test)]
mod tests;
