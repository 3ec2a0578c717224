//! Lookups of jobs, many at a time: one cheap read brings the present revision, and once the
//! watched copy has come as far, all that waited are answered from it. So no answer is older than
//! any that was given before the question came. What the cache does not know is read.

use std::collections::VecDeque;

use quartzlever_wire::store::StoreReply;
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::{Asked, PendingStoreCall, Purpose};
use crate::messages::{Answer, CallPriority, RequestId};
use crate::router::Core;

/// Share of the requests to the store that may bring revisions.
const SHARE: f64 = 0.2;
/// A copy that has not come as far by then is not waited for.
const PATIENCE: Micros = SECOND * 7 / 10;
/// Lookups that may wait; more are turned away at once, to come again. They wait for one read of the
/// revision, tens of milliseconds, so 20,000 a second may come, however many machines there are.
const MOST: usize = 2_000;

/// The questions that wait.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    waiting: Vec<Asked>,
    /// A read of the revision is under way.
    reading: bool,
    next: Micros,
    /// By the revision that the cache has to come to.
    fenced: VecDeque<(u64, Vec<Asked>)>,
}

impl Core {
    pub(crate) fn lookup(&mut self, id: RequestId, job: String) {
        if let Some(over) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &over);
        }
        let queued: usize = self.lookups.fenced.iter().map(|f| f.1.len()).sum();
        if self.lookups.waiting.len() + queued >= MOST {
            return self.outbox.reject_retryable(id, 503, "busy");
        }
        let since = self.now;
        self.lookups.waiting.push(Asked { id, job, since });
    }

    /// Asks for the revision, and answers what the cache is new enough for.
    pub(crate) fn poll_lookups(&mut self) {
        let (now, pause) = (self.now, self.min_interval_for(SHARE));
        let lookups = &mut self.lookups;
        if !lookups.waiting.is_empty() && !lookups.reading && now >= lookups.next {
            lookups.reading = true;
            lookups.next = now + pause;
            let asked = std::mem::take(&mut lookups.waiting);
            let call = quartzlever_wire::store::StoreCall::Revision;
            self.outbox.call_store(
                CallPriority::User,
                call,
                PendingStoreCall::Revision { asked, sent: now },
            );
        }
        let loaded = self.cache.loaded();
        while let Some((revision, _)) = self.lookups.fenced.front()
            && loaded
            && *revision <= self.cache.revision
            && let Some((_, asked)) = self.lookups.fenced.pop_front()
        {
            for one in asked {
                self.answer_from_copy(one);
            }
        }
        // The cache lags behind, or there is none: read one by one, the oldest first.
        while let Some((_, asked)) = self.lookups.fenced.front()
            && asked.first().is_none_or(|a| now.saturating_sub(a.since) > PATIENCE)
            && let Some((_, asked)) = self.lookups.fenced.pop_front()
        {
            for one in asked {
                self.read_for_user(Purpose::Lookup { id: one.id, job: one.job });
            }
        }
    }

    pub(crate) fn fenced(
        &mut self,
        asked: Vec<Asked>,
        sent: Micros,
        result: Result<StoreReply, CallError>,
    ) {
        if asked.is_empty() {
            self.cache.view_read_pending = false;
        } else {
            self.lookups.reading = false;
        }
        match result {
            Ok(StoreReply::Revision(revision)) => {
                self.cache.read_revision(revision, sent);
                if !asked.is_empty() {
                    self.lookups.fenced.push_back((revision, asked));
                }
            }
            _ => {
                for one in asked {
                    self.outbox.reject_retryable(one.id, 503, "the state service gives no answer");
                }
            }
        }
    }

    fn answer_from_copy(&mut self, asked: Asked) {
        let Asked { id, job, .. } = asked;
        if let Some(over) = self.terminal_jobs.get(&job).cloned() {
            return self.answer_terminal_job(id, &job, &over);
        }
        match self.cache.active_jobs.get(&job) {
            Some((record, _)) => {
                let view = self.view_active_job(record);
                self.outbox.answer(id, 200, Answer::View(view));
            }
            None => self.read_for_user(Purpose::Lookup { id, job }),
        }
    }
}

#[cfg(test)]
mod tests;
