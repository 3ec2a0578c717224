//! What the end of an attempt says of its task, its job and its machine, as a table.

use super::EndedAttempt;
use crate::testing::*;

/// A partition whose job has one task started on n-1, and the number of that attempt.
fn with_attempt(shape: Shape) -> (Core, u64) {
    let mut core = core();
    let job = JobSpec { shape, ..spec(4) };
    let share = Share { partition: "one".into(), term: 5, tasks: Ranges::first(4) };
    core.reconcile_job(ActiveJobRecord::new(job, NOW, vec![share]), 10);
    let partition = core.partitions.get_mut("one").expect("it is held");
    partition.start("req-1", 0, "n-1", NOW);
    let attempt = partition.jobs["req-1"].assignments[&0].attempt;
    (core, attempt)
}

#[test]
fn the_end_of_an_attempt_is_taken_account_of_by_its_cause() {
    use Shape::{Batch, Service};
    // (the kind of job, the cause of the end, for how many seconds it ran; whether the task is back in the queue,
    // whether the job waits before its next start, whether the machine is suspect)
    for (shape, cause, ran, queued, waits, suspect) in [
        (Batch, Some(Cause::Done), 5, false, false, false),
        (Batch, Some(Cause::Halted), 5, true, false, false),
        (Batch, Some(Cause::Error), 5, true, false, true),
        (Batch, Some(Cause::Other), 5, true, false, true),
        (Batch, None, 5, true, false, true),
        (Batch, Some(Cause::NoCapacity), 0, true, true, false),
        (Batch, Some(Cause::Busy), 0, true, true, false),
        (Batch, Some(Cause::Unknown), 0, true, true, false),
        // A replica is never done: it goes on at once if it ran well, after a pause otherwise.
        (Service, Some(Cause::Done), 5, true, true, false),
        (Service, Some(Cause::Done), 31, true, false, false),
        (Service, Some(Cause::Error), 5, true, false, true),
        (Service, Some(Cause::Error), 31, true, false, false),
        (Service, Some(Cause::NoCapacity), 0, true, true, false),
    ] {
        let (mut core, attempt) = with_attempt(shape);
        let config = core.config.clone();
        let partition = core.partitions.get_mut("one").expect("it is held");
        let now = NOW + 40 * SECOND;
        let seen = TaskStatus {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt,
            phase: TaskPhase::Exited,
            cause,
            kept: None,
        };
        let ended = EndedAttempt {
            machine: "n-1",
            seen: &seen,
            placed: NOW,
            ran: (ran > 0).then_some(ran * SECOND),
            class: spec(1).class,
            expect: 5 * SECOND,
        };
        partition.attempt_ended(&config, &mut RunTimes::default(), &ended, now);
        let case = format!("{shape:?} {cause:?} {ran}");
        let job = &partition.jobs["req-1"];
        assert!(job.assignments.is_empty(), "{case}: it is nowhere any more");
        assert_eq!(job.ready.contains(0), queued, "{case}: queued");
        assert_eq!(job.finished.contains(0), !queued, "{case}: finished");
        assert_eq!(job.no_start_before > now, waits, "{case}: waits");
        assert_eq!(partition.machines["n-1"].failures.is_suspect(), suspect, "{case}: suspect");
    }
}

/// An end that is reported late, of an attempt whose task was started anew elsewhere, frees nothing.
#[test]
fn the_end_of_an_earlier_attempt_leaves_the_present_one() {
    for cause in [Some(Cause::Halted), Some(Cause::Error), Some(Cause::NoCapacity)] {
        let (mut core, attempt) = with_attempt(Shape::Batch);
        let config = core.config.clone();
        let partition = core.partitions.get_mut("one").expect("it is held");
        let seen = TaskStatus {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: attempt - 1,
            phase: TaskPhase::Exited,
            cause,
            kept: None,
        };
        let (class, expect) = (spec(1).class, 5 * SECOND);
        let ended =
            EndedAttempt { machine: "n-1", seen: &seen, placed: NOW, ran: None, class, expect };
        partition.attempt_ended(&config, &mut RunTimes::default(), &ended, NOW + SECOND);
        let job = &partition.jobs["req-1"];
        assert_eq!(job.assignments[&0].attempt, attempt, "{cause:?}");
        assert!(!job.ready.contains(0), "{cause:?}");
    }
}
