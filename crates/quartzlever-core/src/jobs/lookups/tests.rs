//! The phase that users see of a job.

use quartzlever_wire::Ranges;

use super::*;
use crate::testing::job_record;

#[test]
fn a_job_is_running_once_any_of_its_tasks_has_started() {
    for (started, finished, running, phase) in [
        (false, 0, 0, JobPhase::Queued),
        (true, 0, 0, JobPhase::Running),
        (false, 1, 0, JobPhase::Running),
        (false, 0, 2, JobPhase::Running),
    ] {
        let mut record = job_record("0-3", "");
        (record.started, record.finished) = (started, Ranges::up_to(finished));
        let view = view_active_job(&record, running);
        let found = (view.phase, view.done, view.running);
        assert_eq!(found, (phase, finished, running as u32), "{started} {finished} {running}");
    }
}
