//! What users are told of a job.
//!
//! Pure: an answer is made from a record and what runs here. Whatever its record looks like, a live
//! job was accepted and is not over.

use quartzlever_wire::store::{ActiveJobRecord, TerminalJobRecord};
use quartzlever_wire::users::{JobAnswer, JobPhase, JobView};

use crate::messages::{Answer, RequestId};
use crate::outbox::Outbox;

/// Answers a submission or a cancellation with what the job has come to.
pub(crate) fn answer_phase(
    id: RequestId,
    status: u16,
    job: &str,
    phase: JobPhase,
    outbox: &mut Outbox,
) {
    outbox.answer(id, status, Answer::Job(JobAnswer { id: job.to_owned(), phase }));
}

/// Answers a lookup of a job that is done or cancelled.
pub(crate) fn answer_terminal_job(
    id: RequestId,
    job: &str,
    over: &TerminalJobRecord,
    outbox: &mut Outbox,
) {
    let view = JobView { id: job.to_owned(), phase: over.phase, done: over.done, running: 0 };
    outbox.answer(id, 200, Answer::View(view));
}

/// What a user is told of a job that is neither done nor cancelled, of which so many tasks run here.
pub(crate) fn view_active_job(record: &ActiveJobRecord, running: usize) -> JobView {
    let begun = record.started || !record.finished.is_empty() || running > 0;
    JobView {
        id: record.job.id.clone(),
        phase: if begun { JobPhase::Running } else { JobPhase::Queued },
        done: record.finished.len(),
        running: running as u32,
    }
}

/// What a user is told of a live job whose record cannot be read.
pub(crate) fn view_unreadable_job(job: String) -> JobView {
    JobView { id: job, phase: JobPhase::Queued, done: 0, running: 0 }
}

#[cfg(test)]
mod tests;
