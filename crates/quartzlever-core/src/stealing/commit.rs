//! The write of a move, and what each outcome does; roll-back.
//!
//! The paper's victim hands tasks over by an answer (algorithm 2). Here the store decides: a move that is
//! in force is told to the thief, one that is not returns its ranges to the queue, and after an unknown
//! outcome they stay cut, so that no task is ever on two queues.

use quartzlever_wire::peers::PeerAnswer;
use quartzlever_wire::store::{StoreCall, StoreReply};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::cut::StealRequest;
use crate::calls::{PendingStoreCall, TaskMove};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel, RequestId};
use crate::router::Core;
use crate::store::active_job_key;
use crate::store::write_budget::WriteKind;

/// After a move of unknown outcome its jobs are written again after this time, which settles the matter.
const SETTLE_AFTER: Micros = SECOND / 4;

impl Core {
    /// Cuts ready ranges off the victim's queue and writes the move; the thief is told after
    /// the write is in force.
    pub(super) fn steal_tasks(&mut self, asked: StealRequest) {
        let request = asked.request;
        let Some(cut) = self.cut_tasks(&asked) else { return self.answer_nothing(request) };
        let StealRequest { victim, .. } = asked;
        if !self.write_budget.try_spend(WriteKind::Move, cut.moved.len()) {
            self.take_back(&victim, cut.moved);
            return self.answer_nothing(request);
        }
        let pending = PendingStoreCall::StealWrite {
            partition: victim,
            term: cut.term,
            request,
            moved: cut.moved,
        };
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(cut.txn), pending);
    }

    /// The store has answered the write of a move, or not.
    pub(crate) fn steal_written(
        &mut self,
        name: &str,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<TaskMove>,
        result: Result<StoreReply, CallError>,
    ) {
        if self.partition_at_term(name, term).is_none() {
            return self.answer_nothing(request);
        }
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                return self.move_committed(name, request, moved, mod_revision);
            }
            Ok(StoreReply::Conflict(failed)) => self.move_conflicted(name, term, moved, &failed),
            Err(CallError::Refused | CallError::Throttled) | Ok(_) => {
                self.take_back(name, moved);
                if let Some(partition) = self.partitions.get_mut(name) {
                    partition.placement_wanted = true;
                }
            }
            Err(CallError::Unknown) => self.move_outcome_unknown(name, moved),
        }
        self.answer_nothing(request);
    }

    /// The move is in force: the thief is told.
    fn move_committed(
        &mut self,
        name: &str,
        request: Option<RequestId>,
        moved: Vec<TaskMove>,
        mod_revision: u64,
    ) {
        let mut jobs = Vec::new();
        for TaskMove { job: id, cut, mut record } in moved {
            let text = Json::of(&self.pages.stored_form(&record)).text().to_owned();
            if let Some(job) = self.partitions.get_mut(name).and_then(|p| p.jobs.get_mut(&id)) {
                job.move_committed(&cut, &mut record, mod_revision);
            }
            // The thief may be another partition of this very process.
            self.reconcile_job(record, mod_revision);
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

    /// The move can no longer come into force: what is still owned returns to the queue, and jobs whose
    /// records have changed are read again.
    fn move_conflicted(&mut self, name: &str, term: u64, moved: Vec<TaskMove>, failed: &[String]) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut again = Vec::new();
        for TaskMove { job: id, cut, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_conflicted(&cut, name);
            if failed.contains(&active_job_key(&id)) {
                job.begin_reread();
                again.push(id);
            }
        }
        partition.placement_wanted = true;
        if failed.contains(&partition.key()) {
            self.lose_partition(name, term);
        }
        for id in again {
            self.reread_job(name, term, &id);
        }
    }

    /// The move was not carried out: its tasks return to the queue.
    fn take_back(&mut self, name: &str, moved: Vec<TaskMove>) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for TaskMove { job: id, cut, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_undone(&cut);
        }
    }

    /// The move may still come into force, minutes late. Its tasks stay cut until another write at the
    /// same modification revision, or a newer record, has settled the matter.
    fn move_outcome_unknown(&mut self, name: &str, moved: Vec<TaskMove>) {
        let settle_at = self.now + SETTLE_AFTER;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for TaskMove { job: id, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_outcome_unknown(settle_at);
        }
    }
}
