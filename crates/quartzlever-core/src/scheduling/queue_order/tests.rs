//! Table-driven tests of the queue order.

use crate::testing::*;

#[test]
fn a_job_that_waits_too_long_is_placed_first() {
    // (seconds since the submission of a standard job, whether it has begun, priority of a new job;
    // id of the first job)
    for (waited_s, begun, priority, first) in [
        (10, false, Priority::Urgent, "req-2"),
        (10, false, Priority::Prod, "req-2"),
        (160, false, Priority::Urgent, "req-1"),
        (160, false, Priority::Prod, "req-1"),
        (160, true, Priority::Urgent, "req-2"),
        (250, true, Priority::Prod, "req-2"),
    ] {
        let mut core = core();
        core.wall_offset = Some(0);
        let mut old = spec(4);
        old.due_s = Some(20.0);
        reconcile_test_job(&mut core, &old, 10, NOW - waited_s * SECOND);
        let mut fresh = spec(2);
        (fresh.id, fresh.priority) = ("req-2".into(), priority);
        reconcile_test_job(&mut core, &fresh, 11, NOW);
        let job = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1"));
        if let Some(job) = job.filter(|_| begun) {
            job.finished.insert(0);
            job.ready.remove(0);
        }
        let order = core.partitions["one"].queue_order(&core.config, &core.run_times, NOW);
        assert_eq!(
            order.first().map(String::as_str),
            Some(first),
            "{waited_s} {begun} {priority:?}"
        );
    }
}

/// A best-effort job with checkpoints that has begun stays behind jobs with deadlines for ten
/// minutes. When such jobs were queued with urgent priority and protected from preemption after
/// four minutes, they filled the machines, and jobs with deadlines waited until they were as old.
#[test]
fn checkpointed_best_effort_work_ages_more_slowly_than_other_work() {
    use quartzlever_wire::SECOND;
    // (priority of the old job, its checkpoint interval, seconds since its submission, whether it
    // has begun; id of the first job)
    for (priority, checkpoint_s, waited_s, begun, first) in [
        (Priority::BestEffort, 30.0, 250, true, "req-2"),
        (Priority::BestEffort, 30.0, 590, true, "req-2"),
        (Priority::BestEffort, 30.0, 610, true, "req-1"),
        (Priority::BestEffort, 30.0, 160, false, "req-1"),
        (Priority::BestEffort, 0.0, 250, true, "req-1"),
        (Priority::Standard, 30.0, 250, true, "req-1"),
    ] {
        let mut core = core();
        core.wall_offset = Some(0);
        let old = JobSpec { priority, checkpoint_s, ..spec(4) };
        reconcile_test_job(&mut core, &old, 10, NOW - waited_s * SECOND);
        let fresh = JobSpec { id: "req-2".into(), due_s: Some(60.0), ..spec(2) };
        reconcile_test_job(&mut core, &fresh, 11, NOW);
        let job = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1"));
        if let Some(job) = job.filter(|_| begun) {
            job.finished.insert(0);
            job.ready.remove(0);
        }
        let order = core.partitions["one"].queue_order(&core.config, &core.run_times, NOW);
        let found = order.first().map(String::as_str);
        assert_eq!(found, Some(first), "{priority:?} {checkpoint_s} {waited_s} {begun}");
    }
}
