//! Workers' heartbeats and replies, step by step through the components that they concern.

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{Heartbeat, WorkerReply};

use super::{Core, STARTING};
use crate::calls::PendingWorkerCall;
use crate::machines::commands::DirectCallOutcome;
use crate::machines::heartbeats::{Claimant, HeartbeatRoute, OwnershipView};
use crate::machines::ownership::PartitionTerm;
use crate::machines::presence::PresenceOutcome;
use crate::machines::reconciliation::StatusSource;
use crate::messages::{Answer, CallId, RequestId};

impl Core {
    fn ownership_view(&self) -> OwnershipView<'_> {
        OwnershipView { node: &self.config.node, cache: &self.cache, partitions: &self.partitions }
    }

    /// A worker reports.
    pub(crate) fn handle_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        let launched_for = |machine: &str| self.cloud.launched_for(machine);
        match self.ownership_view().route(&heartbeat.machine, launched_for) {
            HeartbeatRoute::Own { partition } => {
                self.handle_own_heartbeat(id, &partition, &heartbeat);
            }
            HeartbeatRoute::CacheNotLoaded => self.outbox.reject_retryable(id, 503, STARTING),
            HeartbeatRoute::Owned { partition } => {
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

    pub(crate) fn other_leader_of(&self, partition: &str) -> Option<&str> {
        self.ownership_view().other_leader_of(partition)
    }

    fn redirect(&mut self, id: RequestId, partition: &str) {
        // Without the store the cache tells of leaders that may be none any more. Two such
        // nodes sent workers to and fro between them, past the one that had taken over, until
        // 809 machines were given up; turned away without a name, a worker tries one after the other.
        let fresh = self.store_connectivity.is_reached(self.now);
        match self.other_leader_of(partition).filter(|_| fresh) {
            Some(node) => {
                let leader = node.to_owned();
                self.outbox.answer(id, 421, Answer::Leader { leader });
            }
            // Held here but not yet known as a machine of it, or by nobody.
            None => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    fn claim(&mut self, id: RequestId, heartbeat: Heartbeat, launched_for: Option<&str>) {
        let claimant =
            self.ownership_view().claimant_of(&heartbeat.machine, launched_for, self.may_act());
        match claimant {
            Claimant::NotEntitled => self.outbox.reject_retryable(id, 503, "not entitled"),
            Claimant::Expected(owner) => self.request_ownership(id, heartbeat, owner),
            Claimant::Unexpected(owner) => {
                let until = self.authority_expires_at();
                self.presence_checks.begin(id, heartbeat, owner, until, &mut self.outbox);
            }
        }
    }

    /// A machine that nobody knew was asked whether it is there.
    fn presence_answered(
        &mut self,
        call: &PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        match self.presence_checks.answered(&call.machine, result) {
            Some(PresenceOutcome::Present { id, status }) => {
                let held =
                    self.partitions.get(&call.partition).is_some_and(|p| p.term == call.term);
                if held && self.may_act() && self.cache.machine_record(&status.machine).is_none() {
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

    /// A heartbeat of a machine of a partition that is held here.
    fn handle_own_heartbeat(&mut self, id: RequestId, name: &str, heartbeat: &Heartbeat) {
        let now = self.now;
        if !self.may_act() {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        }
        let until = self.authority_expires_at();
        let Some(partition) =
            self.partitions.get_mut(name).filter(|p| p.is_entitled_to_answer(heartbeat))
        else {
            return self.outbox.reject_retryable(id, 503, "not entitled");
        };
        let (run_times, source) = (&mut self.run_times, StatusSource::Heartbeat);
        let newer = partition.apply_heartbeat(&self.config, run_times, heartbeat, source, now);
        self.complete_recovery(name);
        self.place(name);
        self.fill(name, &heartbeat.machine);
        let cache = &self.cache;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let is_over = |job: &str| !cache.is_active_job(job);
        match partition.answer_to(heartbeat, newer, is_over, now) {
            Some(commands) => {
                self.outbox.answer_until(id, Answer::WorkerCommands(commands), until);
            }
            None => self.outbox.reject_retryable(id, 503, "not entitled"),
        }
    }

    /// Looks at all machines of a partition: those that are surely empty, and those to be asked.
    pub(super) fn check_machines(&mut self, name: &str) {
        let (now, may_act, until) = (self.now, self.may_act(), self.authority_expires_at());
        let Some(partition) = self.partitions.get_mut(name) else { return };
        partition.expire_silent_machines(&self.config, now);
        if may_act {
            partition.probe_late_service_machines(&self.config, now, until, &mut self.outbox);
        }
    }

    /// Calls workers of a partition.
    pub(super) fn call_workers(&mut self, name: &str) {
        let until = self.authority_expires_at();
        if let Some(partition) = self.partitions.get_mut(name) {
            partition.call_workers(&self.config, self.now, until, &mut self.outbox);
        }
    }

    /// A worker has replied, or a call to it has failed.
    pub(super) fn worker_replied(
        &mut self,
        call_id: CallId,
        call: PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        if call.probe {
            return self.probed(result.is_ok());
        }
        if call.confirms_presence {
            return self.presence_answered(&call, result);
        }
        let Some(partition) =
            self.partitions.get_mut(&call.partition).filter(|p| p.term == call.term)
        else {
            return;
        };
        let (config, run_times) = (&self.config, &mut self.run_times);
        let outcome = partition.worker_replied(config, run_times, call_id, &call, result, self.now);
        if outcome == DirectCallOutcome::StatusReceived {
            self.fill(&call.partition, &call.machine);
        }
    }
}

#[cfg(test)]
mod tests;
