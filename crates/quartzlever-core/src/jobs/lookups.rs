//! Answers to users about a job.
//!
//! Pure: an answer is built from the job's record and the number of tasks running here. A job with
//! an active record was accepted and has not ended, even if the record cannot be read.

use quartzlever_wire::store::{ActiveJobRecord, TerminalJobRecord};
use quartzlever_wire::users::{JobAnswer, JobPhase, JobView};

use crate::messages::{Answer, RequestId};
use crate::outbox::Outbox;

/// Answers a submission or a cancellation with the phase of the job.
pub(crate) fn answer_phase(
    id: RequestId,
    status: u16,
    job: &str,
    phase: JobPhase,
    outbox: &mut Outbox,
) {
    outbox.answer(id, status, Answer::Job(JobAnswer { id: job.to_owned(), phase }));
}

/// Answers a lookup of a job that is done or cancelled, from its final state.
pub(crate) fn answer_terminal_job(
    id: RequestId,
    job: &str,
    final_state: &TerminalJobRecord,
    outbox: &mut Outbox,
) {
    let (phase, done) = (final_state.phase, final_state.done);
    let view = JobView { id: job.to_owned(), phase, done, running: 0 };
    outbox.answer(id, 200, Answer::View(view));
}

/// Returns the view of a job that is neither done nor cancelled and has `running` tasks here.
pub(crate) fn view_active_job(record: &ActiveJobRecord, running: usize) -> JobView {
    let has_started = record.started || !record.finished.is_empty() || running > 0;
    JobView {
        id: record.job.id.clone(),
        phase: if has_started { JobPhase::Running } else { JobPhase::Queued },
        done: record.finished.len(),
        running: running as u32,
    }
}

/// Returns the view of an active job whose record cannot be read.
pub(crate) fn view_unreadable_job(job: String) -> JobView {
    JobView { id: job, phase: JobPhase::Queued, done: 0, running: 0 }
}

#[cfg(test)]
mod tests;
