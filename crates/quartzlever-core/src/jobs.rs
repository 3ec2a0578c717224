//! Jobs: what users ask for, and the writing of each job's record.

mod feasibility;
pub mod pages;
pub mod partition_job;
pub(crate) mod records;

use std::collections::BTreeMap;

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, PARTITION_PREFIX, Row, Share, StoreCall, StoreReply,
    TERMINAL_JOB_PREFIX, TerminalJobRecord, Txn,
};
use quartzlever_wire::users::{JobAnswer, JobPhase, JobSpec, JobView};
use quartzlever_wire::{CallError, Json, Ranges};
use rand::seq::IndexedRandom;

use crate::calls::{PendingPeerCall, PendingStoreCall, Purpose};
use crate::jobs::feasibility::{Feasibility, feasibility};
use crate::jobs::records::{active_job_key, terminal_job_key};
use crate::messages::{Answer, CallPriority, LogLevel, RequestId};
use crate::router::Core;
use crate::store::parse;

/// Users' requests under way beyond which new ones are shed at once.
const MAX_USER_CALLS: usize = 64;
/// Submissions are shed earlier, so that lookups and cancellations still pass.
const MAX_SUBMISSIONS: usize = 40;
const MAX_CANCEL_ATTEMPTS: u32 = 6;

impl Core {
    fn user_answer(&mut self, id: RequestId, status: u16, job: &str, phase: JobPhase) {
        self.outbox.answer(id, status, Answer::Job(JobAnswer { id: job.to_owned(), phase }));
    }

    /// Starts a call for a user.
    fn user_call(&mut self, call: StoreCall, waiting: PendingStoreCall) {
        self.user_calls_in_flight += 1;
        self.outbox.call_store(CallPriority::User, call, waiting);
    }

    /// Reads a job for a user, unless too many calls of users are under way.
    pub(crate) fn read_for_user(&mut self, purpose: Purpose) {
        if self.user_calls_in_flight >= MAX_USER_CALLS {
            return self.outbox.reject_retryable(purpose.request(), 503, "busy");
        }
        self.read(purpose);
    }

    fn read(&mut self, purpose: Purpose) {
        let call = StoreCall::Get(active_job_key(purpose.job()));
        self.user_call(call, PendingStoreCall::ReadActiveJob { purpose });
    }

    pub(crate) fn submit(&mut self, id: RequestId, spec: Box<JobSpec>) {
        if let Some(over) = self.terminal_jobs.get(&spec.id) {
            let phase = over.phase;
            return self.user_answer(id, 200, &spec.id, phase);
        }
        if self.user_calls_in_flight >= MAX_SUBMISSIONS || self.write_budget.exhausted() {
            return self.outbox.reject_retryable(id, 429, "busy");
        }
        let types = self.types.as_ref().map(|t| t.values());
        let refuse = match feasibility(&self.config, types, &spec) {
            // An earlier version could not read its record.
            Feasibility::Fits if spec.is_service() && !self.cluster.services() => Some(false),
            Feasibility::Fits => None,
            Feasibility::Never => Some(true),
            Feasibility::Unsure => Some(false),
        };
        let target = self.accept_target(&spec);
        let (Some((partition, term)), None) = (target, refuse) else {
            let refuse = refuse.unwrap_or(false);
            return self.read(Purpose::Submit { id, job: spec.id.clone(), refuse });
        };
        let share = Share { partition: partition.clone(), term, tasks: Ranges::first(spec.tasks) };
        let record = ActiveJobRecord::new((*spec).clone(), self.wall(), vec![share]);
        let value = Json::of(&record);
        if value.text().len() > self.limits.value_bytes() {
            // Nothing could ever be kept of such a job; a known one is still answered as known.
            return self.read(Purpose::Submit { id, job: spec.id.clone(), refuse: true });
        }
        let active_key = active_job_key(&spec.id);
        let mut txn =
            Txn::default().when(active_key.clone(), 0).when(terminal_job_key(&spec.id), 0);
        if term > 0 {
            txn = txn.when(format!("{PARTITION_PREFIX}{partition}"), term);
        }
        let txn = txn.write(active_key, value);
        self.write_budget.spend(1);
        self.user_call(
            StoreCall::Txn(txn),
            PendingStoreCall::Accept { id, record: Box::new(record) },
        );
    }

    /// The partition that a new job enters, with its term.
    fn accept_target(&mut self, spec: &JobSpec) -> Option<(String, u64)> {
        if self.config.limited(&spec.team) {
            let partition = self.config.partition_of_team(&spec.team);
            let term =
                self.cache.partitions.get(partition).map_or(0, |(_, mod_revision)| *mod_revision);
            return Some((partition.to_owned(), term));
        }
        if self.may_act()
            && let Some(partition) =
                self.partitions.get(&self.config.node).or_else(|| self.partitions.values().next())
        {
            let own = (partition.name.clone(), partition.term);
            return Some(self.less_loaded_partition(&own.0).unwrap_or(own));
        }
        // A node without a partition, such as one that is back and waits for its own, accepts into
        // another's: the write has that partition's term as its condition, and the watch tells the leader.
        let held: Vec<(&String, &u64)> = self
            .cache
            .partitions
            .iter()
            .map(|(name, (_, mod_revision))| (name, mod_revision))
            .collect();
        held.choose(&mut self.rng).map(|(name, mod_revision)| ((*name).clone(), **mod_revision))
    }

    /// A partition of another node that a new job enters instead of this one, which has more tasks than
    /// its processor could serve machines for, while the other has less than half. Each task
    /// brings a machine at the most, and a partition never gives machines away: of three controllers one
    /// had two thirds of them and went under, with the others at a quarter of their share.
    fn less_loaded_partition(&self, own: &str) -> Option<(String, u64)> {
        let others = || {
            self.cache.partitions.iter().filter(|(name, (record, _))| {
                *name != own && record.node == **name && !self.partitions.contains_key(*name)
            })
        };
        others().next()?;
        let mut tasks: BTreeMap<&str, usize> = BTreeMap::new();
        for (record, _) in self.cache.active_jobs.values() {
            for share in &record.shares {
                // What is finished counts until the job is over: nothing hangs on it.
                *tasks.entry(share.partition.as_str()).or_default() += share.tasks.len() as usize;
            }
        }
        let of = |partition: &str| tasks.get(partition).copied().unwrap_or(0);
        if of(own) <= self.config.machine_capacity {
            return None;
        }
        let (name, (_, term)) = others().min_by_key(|(name, _)| of(name))?;
        (of(name) < of(own) / 2).then(|| (name.clone(), *term))
    }

    pub(crate) fn accept_answered(
        &mut self,
        id: RequestId,
        record: ActiveJobRecord,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_calls_in_flight -= 1;
        let job = record.job.id.clone();
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                // Whichever node holds the partition hears of it by the watch; here it may start now.
                self.reconcile_job(record, mod_revision);
                // It may be over by now, and a user may have been told so at another node.
                match self.terminal_jobs.get(&job).map(|over| over.phase) {
                    Some(phase) => self.user_answer(id, 200, &job, phase),
                    None => self.user_answer(id, 201, &job, JobPhase::Queued),
                }
            }
            Ok(StoreReply::Conflict(failed)) => {
                let known = failed.iter().any(|k| {
                    k.starts_with(ACTIVE_JOB_PREFIX) || k.starts_with(TERMINAL_JOB_PREFIX)
                });
                if known {
                    self.read(Purpose::Submit { id, job, refuse: false });
                } else {
                    self.outbox.reject_retryable(id, 503, "the part has changed hands");
                }
            }
            _ => self.outbox.reject_retryable(id, 503, "not written"),
        }
    }

    pub(crate) fn cancel(&mut self, id: RequestId, job: String) {
        if let Some(over) = self.terminal_jobs.get(&job) {
            let phase = over.phase;
            return self.user_answer(id, 200, &job, phase);
        }
        self.read_for_user(Purpose::Cancel { id, job, tries: 0 });
    }

    pub(crate) fn answer_terminal_job(
        &mut self,
        id: RequestId,
        job: &str,
        over: &TerminalJobRecord,
    ) {
        let view = JobView { id: job.to_owned(), phase: over.phase, done: over.done, running: 0 };
        self.outbox.answer(id, 200, Answer::View(view));
    }

    pub(crate) fn active_job_read(
        &mut self,
        purpose: Purpose,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_calls_in_flight -= 1;
        let row: Row = match result {
            Ok(StoreReply::Row(Some(row))) => row,
            Ok(StoreReply::Row(None)) => {
                let call = StoreCall::Get(terminal_job_key(purpose.job()));
                return self.user_call(call, PendingStoreCall::ReadTerminalJob { purpose });
            }
            _ => {
                return self.outbox.reject_retryable(
                    purpose.request(),
                    503,
                    "the state service gives no answer",
                );
            }
        };
        let record = parse::<ActiveJobRecord>(&row);
        if record.is_none() {
            let path = row.path.clone();
            self.outbox.log(LogLevel::Error, || format!("unreadable record: {path}"));
        }
        match purpose {
            Purpose::Submit { id, job, .. } => {
                let phase = record.map_or(JobPhase::Queued, |r| self.view_active_job(&r).phase);
                self.user_answer(id, 200, &job, phase);
            }
            Purpose::Lookup { id, job } => {
                // Whatever its record looks like, the job was accepted and is not over.
                let unreadable_jobs =
                    JobView { id: job, phase: JobPhase::Queued, done: 0, running: 0 };
                let view = record.map_or(unreadable_jobs, |r| self.view_active_job(&r));
                self.outbox.answer(id, 200, Answer::View(view));
            }
            Purpose::Cancel { id, job, tries } => {
                let done = record.map_or(0, |r| r.finished.len());
                let over = TerminalJobRecord { phase: JobPhase::Cancelled, done };
                let active_key = active_job_key(&job);
                let txn = Txn::default()
                    .when(active_key.clone(), row.mod_revision)
                    .delete(active_key)
                    .write(terminal_job_key(&job), Json::of(&over));
                self.write_budget.spend(2);
                self.user_call(
                    StoreCall::Txn(txn),
                    PendingStoreCall::Cancel { id, job, done, tries },
                );
            }
        }
    }

    pub(crate) fn terminal_job_read(
        &mut self,
        purpose: Purpose,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_calls_in_flight -= 1;
        let over = match result {
            Ok(StoreReply::Row(Some(row))) => {
                let over = parse::<TerminalJobRecord>(&row);
                if over.is_none() {
                    self.outbox.log(LogLevel::Error, || format!("unreadable record: {}", row.path));
                }
                over
            }
            Ok(StoreReply::Row(None)) => {
                return match purpose {
                    Purpose::Submit { id, refuse: true, .. } => {
                        self.outbox.answer(id, 422, Answer::Error { error: "can never run" });
                    }
                    Purpose::Submit { id, .. } => {
                        self.outbox.reject_retryable(id, 503, "cannot decide yet")
                    }
                    Purpose::Lookup { id, .. } | Purpose::Cancel { id, .. } => {
                        self.outbox.answer(id, 404, Answer::Error { error: "unknown job" });
                    }
                };
            }
            _ => None,
        };
        let Some(over) = over else {
            return self.outbox.reject_retryable(
                purpose.request(),
                503,
                "the state service gives no answer",
            );
        };
        let job = purpose.job().to_owned();
        self.job_terminated(&job, over.clone());
        match purpose {
            Purpose::Lookup { id, .. } => self.answer_terminal_job(id, &job, &over),
            Purpose::Submit { id, .. } | Purpose::Cancel { id, .. } => {
                self.user_answer(id, 200, &job, over.phase);
            }
        }
    }

    pub(crate) fn cancel_answered(
        &mut self,
        id: RequestId,
        job: String,
        done: u32,
        tries: u32,
        result: Result<StoreReply, CallError>,
    ) {
        self.user_calls_in_flight -= 1;
        match result {
            Ok(StoreReply::Committed(_)) => {
                self.notify_cancelled(&job, done);
                self.job_terminated(&job, TerminalJobRecord { phase: JobPhase::Cancelled, done });
                self.user_answer(id, 200, &job, JobPhase::Cancelled);
            }
            Ok(StoreReply::Conflict(_)) if tries < MAX_CANCEL_ATTEMPTS => {
                self.read(Purpose::Cancel { id, job, tries: tries + 1 });
            }
            _ => self.outbox.reject_retryable(id, 503, "not written"),
        }
    }

    /// Tells the leaders of a job that was just cancelled, so that its tasks end sooner where the
    /// watch is late. Nothing rests on it.
    fn notify_cancelled(&mut self, job: &str, done: u32) {
        let Some((record, _)) = self.cache.active_jobs.get(job) else { return };
        let mut nodes: Vec<&str> = record
            .shares
            .iter()
            .filter_map(|share| self.other_leader_of(&share.partition))
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        for node in nodes.into_iter().map(str::to_owned).collect::<Vec<_>>() {
            let request = PeerRequest::Cancelled { job: job.to_owned(), done };
            self.outbox.ask_peer(&node, request, PendingPeerCall::Notification);
        }
    }
}

#[cfg(test)]
mod tests;
