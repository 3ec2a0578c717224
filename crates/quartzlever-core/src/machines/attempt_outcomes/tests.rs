//! Effects of an attempt's end on its task, its job and its machine, as tables.

use super::EndedAttempt;
use crate::testing::*;

/// Returns a core whose partition has one task started on n-1, and the number of that attempt.
fn core_with_attempt(shape: Shape) -> (Core, u64) {
    let mut core = core();
    let job = JobSpec { shape, ..spec(4) };
    let share = Share { partition: "one".into(), term: 5, tasks: Ranges::up_to(4) };
    core.reconcile_job(ActiveJobRecord::new(job, NOW, vec![share]), 10);
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    partition.start_task("req-1", 0, "n-1", NOW);
    let attempt = partition.jobs["req-1"].assignments[&0].attempt;
    (core, attempt)
}

#[test]
fn the_cause_of_an_attempts_end_decides_requeueing_delay_and_suspicion() {
    use Shape::{Batch, Service};
    // (job shape, cause of the end, run time in seconds; whether the task is requeued, whether the
    // job waits before its next start, whether the machine is suspect)
    for (shape, cause, run_time, queued, waits, suspect) in [
        (Batch, Some(ExitCause::Done), 5, false, false, false),
        (Batch, Some(ExitCause::Halted), 5, true, false, false),
        (Batch, Some(ExitCause::Error), 5, true, false, true),
        (Batch, Some(ExitCause::Other), 5, true, false, true),
        (Batch, None, 5, true, false, true),
        (Batch, Some(ExitCause::NoCapacity), 0, true, true, false),
        (Batch, Some(ExitCause::Busy), 0, true, true, false),
        (Batch, Some(ExitCause::Unknown), 0, true, true, false),
        // A replica is never done: it restarts at once if it was healthy, after a delay otherwise.
        (Service, Some(ExitCause::Done), 5, true, true, false),
        (Service, Some(ExitCause::Done), 31, true, false, false),
        (Service, Some(ExitCause::Error), 5, true, false, true),
        (Service, Some(ExitCause::Error), 31, true, false, false),
        (Service, Some(ExitCause::NoCapacity), 0, true, true, false),
    ] {
        let (mut core, attempt) = core_with_attempt(shape);
        let config = core.config.clone();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        let now = NOW + 40 * SECOND;
        let status = AttemptStatus {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt,
            phase: TaskPhase::Exited,
            cause,
            kept: None,
        };
        let ended = EndedAttempt {
            machine: "n-1",
            status: &status,
            placed_at: NOW,
            run_time: (run_time > 0).then_some(run_time * SECOND),
            class: spec(1).class,
            expected_run_time: 5 * SECOND,
        };
        partition.handle_ended_attempt(&config, &mut RunTimes::default(), &ended, now);
        let case = format!("{shape:?} {cause:?} {run_time}");
        let job = &partition.jobs["req-1"];
        assert!(job.assignments.is_empty(), "{case}: its assignment is removed");
        assert_eq!(job.ready.contains(0), queued, "{case}: queued");
        assert_eq!(job.finished.contains(0), !queued, "{case}: finished");
        assert_eq!(job.no_start_before > now, waits, "{case}: waits");
        assert_eq!(partition.machines["n-1"].failures.is_suspect(), suspect, "{case}: suspect");
    }
}

/// The end of an attempt may be reported after its task was started again elsewhere; the current
/// attempt keeps its assignment.
#[test]
fn a_late_end_of_an_earlier_attempt_does_not_free_the_current_one() {
    for cause in [Some(ExitCause::Halted), Some(ExitCause::Error), Some(ExitCause::NoCapacity)] {
        let (mut core, attempt) = core_with_attempt(Shape::Batch);
        let config = core.config.clone();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        let status = AttemptStatus {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: attempt - 1,
            phase: TaskPhase::Exited,
            cause,
            kept: None,
        };
        let (class, expected_run_time) = (spec(1).class, 5 * SECOND);
        let ended = EndedAttempt {
            machine: "n-1",
            status: &status,
            placed_at: NOW,
            run_time: None,
            class,
            expected_run_time,
        };
        partition.handle_ended_attempt(&config, &mut RunTimes::default(), &ended, NOW + SECOND);
        let job = &partition.jobs["req-1"];
        assert_eq!(job.assignments[&0].attempt, attempt, "{cause:?}");
        assert!(!job.ready.contains(0), "{cause:?}");
    }
}
