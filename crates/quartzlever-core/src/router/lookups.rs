//! The answering of lookups: from the cache once it is new enough, else by reading the job.

use quartzlever_wire::CallError;
use quartzlever_wire::Micros;
use quartzlever_wire::store::StoreReply;

use crate::calls::{JobReadPurpose, PendingLookup};
use crate::messages::{Answer, RequestId};
use crate::router::Core;
use crate::store::lookups::REVISION_SHARE;

impl Core {
    pub(super) fn lookup(&mut self, id: RequestId, job: String) {
        if let Some(over) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &over);
        }
        if !self.lookups.ask(self.now, id, job) {
            self.outbox.reject_retryable(id, 503, "busy");
        }
    }

    /// Asks for the revision, and answers what the cache is new enough for.
    pub(super) fn poll_lookups(&mut self) {
        let (now, pause) = (self.now, self.min_interval_for(REVISION_SHARE));
        self.lookups.poll(now, pause, &mut self.outbox);
        while let Some(asked) = self.lookups.take_answerable(&self.cache) {
            for one in asked {
                self.answer_from_cache(one);
            }
        }
        while let Some(asked) = self.lookups.take_overdue(now) {
            for one in asked {
                self.read_for_user(JobReadPurpose::Lookup { id: one.id, job: one.job });
            }
        }
    }

    /// The revision was read, or not: for questions, or for the age of the view alone.
    pub(crate) fn revision_read(
        &mut self,
        asked: Vec<PendingLookup>,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        if asked.is_empty() {
            self.cache.view_read_answered();
        } else {
            self.lookups.read_answered();
        }
        match result {
            Ok(StoreReply::Revision(revision)) => {
                self.cache.read_revision(revision, sent);
                if !asked.is_empty() {
                    self.lookups.wait_for(revision, asked);
                }
            }
            _ => {
                for one in asked {
                    self.outbox.reject_retryable(one.id, 503, "the state service gives no answer");
                }
            }
        }
    }

    fn answer_from_cache(&mut self, asked: PendingLookup) {
        let PendingLookup { id, job, .. } = asked;
        if let Some(over) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &over);
        }
        match self.cache.active_job(&job) {
            Some(known) => {
                let view = self.view_active_job(&known.record);
                self.outbox.answer(id, 200, Answer::View(view));
            }
            None => self.read_for_user(JobReadPurpose::Lookup { id, job }),
        }
    }
}

#[cfg(test)]
mod tests;
