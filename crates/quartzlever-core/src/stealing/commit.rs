//! The write of a move of tasks, and the handling of its outcome.
//!
//! In the work-stealing design (docs/design.md), the victim hands tasks over with its answer
//! (algorithm 2). Here the store decides: a committed move is sent to the thief, and a failed one
//! is rolled back, which returns its ranges to the queue. After an unknown outcome they stay out of
//! the queues, so that no task is ever in two queues.

use quartzlever_wire::peers::PeerAnswer;
use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::selection::StealRequest;
use crate::calls::{PendingStoreCall, TaskMove};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel, RequestId};
use crate::router::Core;
use crate::store::active_job_key;
use crate::store::write_budget::WriteKind;

/// Time after which the jobs of a move of unknown outcome are written again, which settles the
/// outcome.
const SETTLE_DELAY: Micros = SECOND / 4;

impl Core {
    /// Removes ready ranges from the victim's queue and writes the move. The thief is answered once
    /// the write is committed.
    pub(super) fn steal_tasks(&mut self, steal: StealRequest) {
        let request = steal.request;
        let Some(planned) = self.plan_move(&steal) else { return self.answer_no_tasks(request) };
        let StealRequest { victim, .. } = steal;
        if !self.write_budget.try_spend(WriteKind::Move, planned.moved.len()) {
            self.undo_move(&victim, planned.moved);
            return self.answer_no_tasks(request);
        }
        let pending = PendingStoreCall::StealWrite {
            partition: victim,
            term: planned.term,
            request,
            moved: planned.moved,
        };
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(planned.txn), pending);
    }

    /// Handles the outcome of the write of a move.
    pub(crate) fn steal_written(
        &mut self,
        name: &str,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<TaskMove>,
        result: Result<StoreReply, CallError>,
    ) {
        if self.partition_at_term(name, term).is_none() {
            return self.answer_no_tasks(request);
        }
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                return self.move_committed(name, request, moved, mod_revision);
            }
            Ok(StoreReply::Conflict(failed)) => self.move_conflicted(name, term, moved, &failed),
            Err(CallError::Refused | CallError::Throttled) | Ok(_) => {
                self.undo_move(name, moved);
                if let Some(partition) = self.partitions.get_mut(name) {
                    partition.placement_wanted = true;
                }
            }
            Err(CallError::Unknown) => self.move_outcome_unknown(name, moved),
        }
        self.answer_no_tasks(request);
    }

    /// Applies a committed move, and sends it to the thief.
    fn move_committed(
        &mut self,
        name: &str,
        request: Option<RequestId>,
        moved: Vec<TaskMove>,
        mod_revision: u64,
    ) {
        let mut jobs = Vec::new();
        for TaskMove { job: id, tasks, mut record } in moved {
            let text = Json::of(&self.pages.stored_form(&record)).text().to_owned();
            if let Some(job) = self.partitions.get_mut(name).and_then(|p| p.jobs.get_mut(&id)) {
                job.move_committed(&tasks, &mut record, mod_revision);
            }
            // The thief may be another partition of this process.
            self.reconcile_job_from_reply(record, mod_revision);
            jobs.push((id, mod_revision, text));
        }
        self.outbox.log(LogLevel::Info, || LogEvent::TasksStolen {
            partition: name.to_owned(),
            jobs: jobs.len(),
        });
        match request {
            Some(id) => {
                let answer = PeerAnswer::Stolen { jobs };
                self.outbox.answer_peer(id, answer);
            }
            None => self.steal_succeeded(),
        }
    }

    /// Handles a move that a conflict has ruled out: the tasks that are still owned return to the
    /// queue, and the jobs whose records have changed are read again.
    fn move_conflicted(&mut self, name: &str, term: u64, moved: Vec<TaskMove>, failed: &[String]) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut to_reread = Vec::new();
        for TaskMove { job: id, tasks, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_conflicted(&tasks, name);
            if failed.contains(&active_job_key(&id)) {
                job.begin_reread();
                to_reread.push(id);
            }
        }
        partition.placement_wanted = true;
        if failed.contains(&partition.key()) {
            self.lose_partition(name, term);
        }
        for id in to_reread {
            self.reread_job(name, term, &id);
        }
    }

    /// Returns the tasks of a move that was not carried out to the queue.
    fn undo_move(&mut self, name: &str, moved: Vec<TaskMove>) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for TaskMove { job: id, tasks, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_not_applied(&tasks);
        }
    }

    /// Handles a move of unknown outcome. The write may still be applied minutes later, so the
    /// tasks stay out of the queue until another write at the same modification revision, or a
    /// newer record, settles it.
    fn move_outcome_unknown(&mut self, name: &str, moved: Vec<TaskMove>) {
        let settle_at = self.now + SETTLE_DELAY;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for TaskMove { job: id, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_outcome_unknown(settle_at);
        }
    }
}
