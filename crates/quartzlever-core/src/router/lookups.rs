//! Answers lookups of jobs: from the cache once it is recent enough, otherwise by reading the
//! record.

use quartzlever_wire::CallError;
use quartzlever_wire::Micros;
use quartzlever_wire::store::StoreReply;

use crate::calls::{JobReadPurpose, PendingLookup};
use crate::messages::{Answer, RequestId};
use crate::router::Core;
use crate::store::lookups::REVISION_SHARE;

impl Core {
    /// Handles a lookup: answers a job that is known to have ended, and queues any other lookup.
    pub(super) fn lookup(&mut self, id: RequestId, job: String) {
        if let Some(terminal) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &terminal);
        }
        if !self.lookups.enqueue(self.now, id, job) {
            self.outbox.reject_retryable(id, 503, "busy");
        }
    }

    /// Requests the store's revision for the waiting lookups, answers those for which the cache is
    /// recent enough, and reads the jobs of those that have waited too long.
    pub(super) fn poll_lookups(&mut self) {
        let (now, min_interval) = (self.now, self.min_interval_for(REVISION_SHARE));
        self.lookups.poll(now, min_interval, &mut self.outbox);
        while let Some(lookups) = self.lookups.take_answerable(&self.cache) {
            for lookup in lookups {
                self.answer_from_cache(lookup);
            }
        }
        while let Some(lookups) = self.lookups.take_overdue(now) {
            for lookup in lookups {
                self.read_for_user(JobReadPurpose::Lookup { id: lookup.id, job: lookup.job });
            }
        }
    }

    /// Handles the reply to a read of the revision, which served `lookups` or, if that is empty,
    /// only the freshness of the view.
    pub(crate) fn revision_read(
        &mut self,
        lookups: Vec<PendingLookup>,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        if lookups.is_empty() {
            self.cache.record_view_read_reply();
        } else {
            self.lookups.record_read_reply();
        }
        match result {
            Ok(StoreReply::Revision(revision)) => {
                self.cache.record_revision_read(revision, sent);
                if !lookups.is_empty() {
                    self.lookups.queue_until(revision, lookups);
                }
            }
            _ => {
                for lookup in lookups {
                    self.outbox.reject_retryable(
                        lookup.id,
                        503,
                        "the state service gives no answer",
                    );
                }
            }
        }
    }

    fn answer_from_cache(&mut self, lookup: PendingLookup) {
        let PendingLookup { id, job, .. } = lookup;
        if let Some(terminal) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &terminal);
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
