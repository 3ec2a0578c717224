//! The states of a job's tasks as records, pages and replies to writes arrive.

use super::*;
use crate::testing::{NOW, job_record};

const CONTEXT: PartitionContext<'_> =
    PartitionContext { partition: "one", term: 5, recovery_complete: true };

fn ranges(text: &str) -> Ranges {
    text.parse().unwrap_or_default()
}

/// Returns a job of four tasks with a record at revision 10; `own` are those of partition "one".
fn job(own: &str) -> PartitionJob {
    let other = Ranges::up_to(4).difference(&ranges(own)).to_string();
    let record = job_record(own, &other);
    let mut job = PartitionJob::new(record.clone(), NOW, NOW);
    job.apply_record(record, 10, CONTEXT, false);
    job
}

#[test]
fn tasks_of_a_new_record_are_ready_unless_an_earlier_leader_may_have_started_them() {
    // (recovery complete; team limited; term; tasks ready; tasks awaiting recovery)
    for (recovery_complete, team_limited, term, ready, awaiting) in [
        (true, false, 5, "0-3", ""),
        (true, true, 9, "0-3", ""),
        (false, false, 5, "0-3", ""),
        (false, false, 9, "", "0-3"),
        (false, true, 5, "", "0-3"),
    ] {
        let record = job_record("0-3", "");
        let mut job = PartitionJob::new(record.clone(), NOW, NOW);
        let context = PartitionContext { partition: "one", term, recovery_complete };
        let effects = job.apply_record(record, 10, context, team_limited);
        let found = (job.ready.to_string(), job.awaiting_recovery.to_string());
        let name = format!("{recovery_complete} {team_limited} {term}");
        assert_eq!(found, (ready.to_owned(), awaiting.to_owned()), "{name}");
        assert_eq!(effects.placement_wanted, !ready.is_empty(), "{name}");
        assert!(!effects.may_forget_job, "{name}");
    }
}

#[test]
fn a_record_that_is_not_newer_changes_nothing() {
    let mut job = job("0-1");
    assert_eq!(
        job.apply_record(job_record("0-3", ""), 10, CONTEXT, false),
        RecordEffects::default()
    );
    assert_eq!((job.ready.to_string(), job.mod_revision()), ("0-1".into(), 10));
    let effects = job.apply_record(job_record("", "0-3"), 11, CONTEXT, false);
    assert!(effects.may_forget_job && job.ready.is_empty());
}

#[test]
fn a_move_ends_with_each_task_in_one_state() {
    type End = fn(&mut PartitionJob, &Ranges);
    let ends: [(&str, End, &str, usize); 4] = [
        ("undone", |job, tasks| job.move_not_applied(tasks), "0-3", 0),
        ("conflict", |job, tasks| job.move_conflicted(tasks, "one"), "0-3", 0),
        ("unknown", |job, _| job.move_outcome_unknown(NOW), "0-1", 2),
        (
            "committed",
            |job, tasks| job.move_committed(tasks, &mut job_record("0-1", "2-3"), 11),
            "0-1",
            0,
        ),
    ];
    for (name, end, ready, moving) in ends {
        let mut job = job("0-3");
        let tasks = job.ready.split_off_last(2);
        job.begin_move(&tasks);
        assert!(job.is_moving(2) && !job.is_record_settled(), "{name}");
        assert_eq!(job.next_record_step("one", NOW), RecordStep::Wait, "{name}");
        end(&mut job, &tasks);
        assert_eq!((job.ready.to_string(), job.moving_count() as usize), (ready.into(), moving));
        assert_eq!(job.is_record_settled(), moving == 0, "{name}");
    }
}

/// Only a write at the same modification revision, or a newer record while no write is in flight,
/// shows that a move of unknown outcome can no longer be committed.
#[test]
fn tasks_of_a_move_of_unknown_outcome_stay_out_of_the_queue_until_it_is_settled() {
    let with_unknown_outcome = || {
        let mut job = job("0-3");
        let tasks = job.ready.split_off_last(2);
        job.begin_move(&tasks);
        job.move_outcome_unknown(NOW);
        job
    };
    let mut job = with_unknown_outcome();
    assert_eq!(job.next_record_step("one", NOW), RecordStep::WriteProgress);
    job.begin_write(NOW + 1);
    let effects = job.apply_record(job_record("0-3", ""), 11, CONTEXT, false);
    assert_eq!((effects.placement_wanted, job.ready.to_string()), (false, "0-1".into()));
    job.end_write();
    assert!(job.progress_written(&Ranges::default(), 12));
    assert_eq!((job.ready.to_string(), job.mod_revision()), ("0-3".into(), 12));
    let mut job = with_unknown_outcome();
    let effects = job.apply_record(job_record("0-2", "3"), 11, CONTEXT, false);
    assert_eq!((effects.placement_wanted, job.ready.to_string()), (true, "0-2".into()));
    assert!(job.is_record_settled());
}

#[test]
fn the_record_is_written_only_when_something_has_changed() {
    let mut job = job("0-3");
    assert_eq!(job.next_record_step("one", NOW), RecordStep::Wait);
    job.record_start();
    assert_eq!(job.next_record_step("one", NOW), RecordStep::WriteProgress);
    job.begin_write(NOW + 5);
    assert_eq!(job.next_record_step("one", NOW + 5), RecordStep::Wait, "one write at a time");
    job.end_write();
    assert_eq!(job.next_record_step("one", NOW + 5), RecordStep::Wait, "nothing new");
    for index in 0..4 {
        job.ready.remove(index);
        job.finish(index, "one", NOW);
    }
    assert_eq!(
        job.next_record_step("one", NOW),
        RecordStep::WriteFinalState,
        "the final state is not delayed"
    );
    job.postpone_write(NOW + 9);
    assert_eq!(job.next_record_step("one", NOW + 8), RecordStep::Wait);
    assert_eq!(job.next_record_step("one", NOW + 9), RecordStep::WriteFinalState);
}

/// Other leaders may have recorded the last tasks in pages without knowing of each other.
#[test]
fn a_leader_without_unfinished_tasks_ends_a_job_with_pages_or_forgets_it() {
    for (paged, finished, step) in [
        (false, "", RecordStep::Forget),
        (true, "0-1", RecordStep::Wait),
        (true, "0-3", RecordStep::WriteFinalState),
    ] {
        let mut job = job("0-1");
        let mut record = job_record("0-1", "2-3");
        (record.paged, record.finished) = (paged, ranges(finished));
        if !paged {
            record = crate::testing::job_record("", "0-3");
        }
        job.apply_record(record, 11, CONTEXT, false);
        assert_eq!(job.next_record_step("one", NOW), step, "{paged} {finished}");
    }
}

#[test]
fn a_page_removes_its_finished_tasks_from_every_other_state() {
    let mut job = job("0-3");
    let tasks = job.ready.split_off_last(1);
    job.begin_move(&tasks);
    job.ready.remove(0);
    job.finish(0, "one", NOW);
    job.apply_page(0, &ranges("0-1,3"));
    assert_eq!(job.ready.to_string(), "2");
    assert!(job.finished.is_empty() && !job.is_moving(3));
    assert_eq!(job.record.finished.to_string(), "0-1,3");
}

/// Until recovery completes another machine could still hold an attempt of an earlier leader, so a
/// task that such a leader may have started waits.
#[test]
fn a_task_returns_to_the_queue_unless_it_is_finished_or_owned_by_another_partition() {
    // (number of the attempt that ended; whether the task is finished; recovery complete; term;
    // whether the task is put back; tasks ready; tasks awaiting recovery)
    for (ended, finished, recovery_complete, term, requeued, ready, awaiting) in [
        (7, false, true, 5, true, "0-3", ""),
        (7, false, false, 5, true, "0-3", ""),
        (7, false, false, 9, true, "1-3", "0"),
        (7, true, true, 5, false, "1-3", ""),
        (6, false, true, 5, false, "1-3", ""),
    ] {
        let mut job = job("0-3");
        job.ready.remove(0);
        job.assignments.insert(0, Assignment { machine: "n-1".into(), attempt: 7 });
        if finished {
            job.finish(0, "one", NOW);
        }
        let context = PartitionContext { partition: "one", term, recovery_complete };
        let name = format!("{ended} {finished} {recovery_complete} {term}");
        assert_eq!(job.requeue(0, ended, context), requeued, "{name}");
        assert_eq!(job.assignments.is_empty(), ended == 7, "{name}");
        let found = (job.ready.to_string(), job.awaiting_recovery.to_string());
        assert_eq!(found, (ready.to_owned(), awaiting.to_owned()), "{name}");
        job.complete_recovery();
        assert_eq!(job.ready.to_string(), if requeued { "0-3" } else { "1-3" }, "{name}");
    }
    let mut job = job("0-3");
    job.ready.remove(0);
    job.assignments.insert(0, Assignment { machine: "n-1".into(), attempt: 7 });
    job.apply_record(job_record("1-3", "0"), 11, CONTEXT, false);
    assert!(!job.requeue(0, 7, CONTEXT), "now owned by another partition");
    assert_eq!(job.ready.to_string(), "1-3");
}

/// The first heartbeat of a machine to a new leader may report an attempt of any task, including
/// one that is finished, assigned elsewhere or moving.
#[test]
fn a_reported_attempt_is_adopted_only_if_its_task_has_no_other_state() {
    let mut job = job("0-3");
    let tasks = job.ready.split_off_last(1);
    job.begin_move(&tasks);
    job.finish(0, "one", NOW);
    job.assign(1, "n-1", 7);
    for (index, partition, adopted) in [
        (0, "one", false),
        (1, "one", false),
        (2, "two", false),
        (3, "one", false),
        (2, "one", true),
        (2, "one", false),
    ] {
        assert_eq!(job.adopt(index, "n-2", 8, partition), adopted, "{index} {partition}");
    }
    assert!(job.ready.is_empty() && job.is_moving(3));
    let machines: Vec<&str> = job.assignments.values().map(|p| p.machine.as_str()).collect();
    assert_eq!(machines, ["n-1", "n-2"]);
}

/// A task of another partition that finishes here is recorded by the leader of that partition.
#[test]
fn only_own_tasks_count_as_finished() {
    let mut job = job("0-1");
    job.finish(2, "one", NOW);
    assert!(job.finished.is_empty() && job.succeeded == 0);
    job.finish(1, "one", NOW);
    assert_eq!(
        (job.finished.to_string(), job.succeeded, job.ready.to_string()),
        ("1".into(), 1, "0".into())
    );
}
