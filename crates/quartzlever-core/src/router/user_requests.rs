//! Handles users' submissions and cancellations, and the reads of jobs that answer requests.
//!
//! The decisions are made in `jobs`. The steps here check a request against the known final states,
//! the cache and the partitions led by this process. Every reply of the store to a call made for a
//! user first frees the call's slot among the users' calls in flight.

use quartzlever_wire::CallError;
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{
    ActiveJobRecord, KeyValue, StoreCall, StoreReply, TerminalJobRecord,
};
use quartzlever_wire::users::{JobPhase, JobSpec, JobView};

use crate::calls::{JobReadPurpose, PendingPeerCall, PendingStoreCall};
use crate::events::LogEvent;
use crate::jobs::cancellation::{self, CancelOutcome, cancelled_state};
use crate::jobs::feasibility::feasibility;
use crate::jobs::lookups;
use crate::jobs::records::terminal_job_key;
use crate::jobs::submission::{
    self, AcceptOutcome, Acceptance, EntryChoice, EntryPartition, LedPartition, Refusal,
};
use crate::messages::{Answer, LogLevel, RequestId};
use crate::router::Core;
use crate::store::parse;

/// The reason for rejecting a request that the store did not answer.
const NO_STORE_REPLY: &str = "the state service gives no answer";

impl Core {
    fn answer_phase(&mut self, id: RequestId, status: u16, job: &str, phase: JobPhase) {
        lookups::answer_phase(id, status, job, phase, &mut self.outbox);
    }

    pub(crate) fn answer_terminal_job(
        &mut self,
        id: RequestId,
        job: &str,
        terminal: &TerminalJobRecord,
    ) {
        lookups::answer_terminal_job(id, job, terminal, &mut self.outbox);
    }

    /// Returns the user's view of a job that is neither done nor cancelled.
    pub(crate) fn view_active_job(&self, record: &ActiveJobRecord) -> JobView {
        let local_jobs = self.partitions.values().filter_map(|p| p.jobs.get(&record.job.id));
        lookups::view_active_job(record, local_jobs.map(|job| job.assignments.len()).sum())
    }

    /// Reads a job for a new request, or rejects the request if too many users' calls are in
    /// flight.
    pub(crate) fn read_for_user(&mut self, purpose: JobReadPurpose) {
        self.user_requests.read_or_reject(purpose, &mut self.outbox);
    }

    /// Reads a job for a request that was already admitted.
    fn read_job(&mut self, purpose: JobReadPurpose) {
        self.user_requests.read(purpose, &mut self.outbox);
    }

    /// Handles a submission: accepts the job, or rejects it as retryable while too much is in
    /// flight or the write budget is exhausted. If the job is refused, cannot be stored or finds no
    /// partition to enter, reads it first, since a job that exists already is answered as such.
    pub(super) fn submit(&mut self, id: RequestId, spec: Box<JobSpec>) {
        if let Some(terminal) = self.terminal_jobs.get(&spec.id) {
            let phase = terminal.phase;
            return self.answer_phase(id, 200, &spec.id, phase);
        }
        if !self.user_requests.admits_submission(&self.write_budget) {
            return self.outbox.reject_retryable(id, 429, "busy");
        }
        let types = self.types.as_ref().map(|t| t.values());
        let feasibility = feasibility(&self.config, types, &spec);
        let refusal = submission::refusal(feasibility, &spec, self.cluster.supports_services());
        let entry = self.choose_entry(&spec);
        let (Some(entry), None) = (entry, refusal) else {
            let reject_if_unknown = refusal == Some(Refusal::Permanent);
            return self.read_job(JobReadPurpose::Submit {
                id,
                job: spec.id.clone(),
                reject_if_unknown,
            });
        };
        let (wall, value_bytes) = (self.wall(), self.limits.value_bytes());
        let planned = submission::plan_acceptance(&spec, entry, wall, value_bytes);
        let Some(Acceptance { txn, record }) = planned else {
            // The record is too long for the store. If a job with this id exists, the answer is its
            // state all the same; otherwise the submission is rejected permanently.
            return self.read_job(JobReadPurpose::Submit {
                id,
                job: spec.id.clone(),
                reject_if_unknown: true,
            });
        };
        self.write_budget.spend(1);
        let pending = PendingStoreCall::Accept { id, record };
        self.user_requests.start_call(StoreCall::Txn(txn), pending, &mut self.outbox);
    }

    /// Chooses the partition that a new job enters.
    fn choose_entry(&mut self, spec: &JobSpec) -> Option<EntryPartition> {
        let own_partition = if self.may_act() {
            let home = self.partitions.get(&self.config.node);
            home.or_else(|| self.partitions.values().next())
        } else {
            None
        };
        let choice = EntryChoice {
            config: &self.config,
            cache: &self.cache,
            own: own_partition
                .map(|partition| LedPartition { name: &partition.name, term: partition.term }),
            leads: |partition: &str| self.partitions.contains_key(partition),
        };
        choice.choose(spec, &mut self.rng)
    }

    /// Handles the reply to the transaction that accepts a job.
    pub(super) fn accept_replied(
        &mut self,
        id: RequestId,
        record: ActiveJobRecord,
        result: &Result<StoreReply, CallError>,
    ) {
        self.user_requests.call_answered();
        let job = record.job.id.clone();
        match AcceptOutcome::of(result) {
            AcceptOutcome::Committed { mod_revision } => {
                // Other leaders learn of the job from their watch; here its tasks may start now.
                self.reconcile_job_from_reply(record, mod_revision);
                // The job may have ended already, and another node may have reported so.
                match self.terminal_jobs.get(&job).map(|terminal| terminal.phase) {
                    Some(phase) => self.answer_phase(id, 200, &job, phase),
                    None if self.cache.is_active_job(&job) => {
                        self.answer_phase(id, 201, &job, JobPhase::Queued);
                    }
                    None => {
                        self.read_job(JobReadPurpose::Submit { id, job, reject_if_unknown: false });
                    }
                }
            }
            AcceptOutcome::AlreadyExists => {
                self.read_job(JobReadPurpose::Submit { id, job, reject_if_unknown: false })
            }
            AcceptOutcome::PartitionChanged => {
                self.outbox.reject_retryable(id, 503, "the part has changed hands");
            }
            AcceptOutcome::Failed => self.outbox.reject_retryable(id, 503, "not written"),
        }
    }

    /// Handles a cancellation: answers a job that is known to have ended, and reads any other job.
    pub(super) fn cancel(&mut self, id: RequestId, job: String) {
        if let Some(terminal) = self.terminal_jobs.get(&job) {
            let phase = terminal.phase;
            return self.answer_phase(id, 200, &job, phase);
        }
        self.read_for_user(JobReadPurpose::Cancel { id, job, attempts: 0 });
    }

    /// Handles the reply to the read of an active job; without a record, reads the final state.
    pub(super) fn active_job_read(
        &mut self,
        purpose: JobReadPurpose,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_requests.call_answered();
        match result {
            Ok(StoreReply::Read(stored)) => self.answer_active_job(purpose, &stored),
            Ok(StoreReply::Absent { .. }) => {
                let call = StoreCall::Get(terminal_job_key(purpose.job()));
                let pending = PendingStoreCall::ReadTerminalJob { purpose };
                self.user_requests.start_call(call, pending, &mut self.outbox);
            }
            _ => self.outbox.reject_retryable(purpose.request(), 503, NO_STORE_REPLY),
        }
    }

    /// Answers or continues a request for a job that is neither done nor cancelled.
    fn answer_active_job(&mut self, purpose: JobReadPurpose, stored: &KeyValue) {
        let record = parse::<ActiveJobRecord>(stored);
        if record.is_none() {
            self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&stored.key));
        }
        match purpose {
            JobReadPurpose::Submit { id, job, .. } => {
                let phase = record.map_or(JobPhase::Queued, |r| self.view_active_job(&r).phase);
                self.answer_phase(id, 200, &job, phase);
            }
            JobReadPurpose::Lookup { id, job } => {
                let view = match record {
                    Some(record) => self.view_active_job(&record),
                    None => lookups::view_unreadable_job(job),
                };
                self.outbox.answer(id, 200, Answer::View(view));
            }
            JobReadPurpose::Cancel { id, job, attempts } => {
                let done = record.map_or(0, |r| r.finished.len());
                let txn = cancellation::plan_cancellation(&job, stored.mod_revision, done);
                self.write_budget.spend(cancellation::CANCELLATION_CHANGES);
                let pending = PendingStoreCall::Cancel { id, job, done, attempts };
                self.user_requests.start_call(StoreCall::Txn(txn), pending, &mut self.outbox);
            }
        }
    }

    /// Handles the reply to the read of a job's final state.
    pub(super) fn terminal_job_read(
        &mut self,
        purpose: JobReadPurpose,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_requests.call_answered();
        let terminal = match result {
            Ok(StoreReply::Read(stored)) => {
                let parsed = parse::<TerminalJobRecord>(&stored);
                if parsed.is_none() {
                    self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&stored.key));
                }
                parsed
            }
            Ok(StoreReply::Absent { .. }) => return self.answer_unknown_job(&purpose),
            _ => None,
        };
        let Some(terminal) = terminal else {
            return self.outbox.reject_retryable(purpose.request(), 503, NO_STORE_REPLY);
        };
        let job = purpose.job().to_owned();
        self.job_terminated(&job, terminal.clone());
        match purpose {
            JobReadPurpose::Lookup { id, .. } => self.answer_terminal_job(id, &job, &terminal),
            JobReadPurpose::Submit { id, .. } | JobReadPurpose::Cancel { id, .. } => {
                self.answer_phase(id, 200, &job, terminal.phase);
            }
        }
    }

    /// Answers a request for a job that has neither an active nor a terminal record.
    fn answer_unknown_job(&mut self, purpose: &JobReadPurpose) {
        match *purpose {
            JobReadPurpose::Submit { id, reject_if_unknown: true, .. } => {
                self.outbox.answer(id, 422, Answer::Error { error: "can never run" });
            }
            JobReadPurpose::Submit { id, .. } => {
                self.outbox.reject_retryable(id, 503, "cannot decide yet");
            }
            JobReadPurpose::Lookup { id, .. } | JobReadPurpose::Cancel { id, .. } => {
                self.outbox.answer(id, 404, Answer::Error { error: "unknown job" });
            }
        }
    }

    /// Handles the reply to the transaction that cancels a job.
    pub(super) fn cancel_replied(
        &mut self,
        id: RequestId,
        job: String,
        done: u32,
        attempts: u32,
        result: &Result<StoreReply, CallError>,
    ) {
        self.user_requests.call_answered();
        match CancelOutcome::of(result, attempts) {
            CancelOutcome::Committed => {
                self.notify_cancelled(&job, done);
                self.job_terminated(&job, cancelled_state(done));
                self.outbox
                    .log(LogLevel::Info, || LogEvent::CancellationCommitted { job: job.clone() });
                self.answer_phase(id, 200, &job, JobPhase::Cancelled);
            }
            CancelOutcome::ReadAgain => {
                self.read_job(JobReadPurpose::Cancel { id, job, attempts: attempts + 1 })
            }
            CancelOutcome::Failed => self.outbox.reject_retryable(id, 503, "not written"),
        }
    }

    /// Notifies the other leaders of a job that was just cancelled, so that its tasks stop sooner
    /// where the watch lags. Correctness does not depend on it.
    fn notify_cancelled(&mut self, job: &str, done: u32) {
        let Some(known) = self.cache.active_job(job) else { return };
        let leaders = cancellation::other_leaders(&known.record, |name| self.other_leader_of(name));
        for node in leaders.into_iter().map(str::to_owned).collect::<Vec<_>>() {
            let request = PeerRequest::Cancelled { job: job.to_owned(), done };
            self.outbox.call_peer(&node, request, PendingPeerCall::Notification);
        }
    }
}

#[cfg(test)]
mod tests;
