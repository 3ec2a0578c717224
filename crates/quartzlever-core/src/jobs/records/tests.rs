//! Which job records are written, in which order, and on which conditions.

use super::*;
use crate::jobs::partition_job::PartitionContext;
use crate::testing::*;

/// A record with more gaps than fit in a value lists what fits, the longest ranges first. The rest
/// is not recorded, and so not cleared on the machines, until it fits.
#[test]
fn as_much_progress_is_recorded_as_a_value_holds() {
    // (limit of a value in bytes; finished before; finished since; whether all of that is recorded;
    // whether any of it is)
    let gaps: String = (0..400).map(|n| format!("{},", 2 * n)).collect();
    let gaps = gaps.trim_end_matches(',');
    let long = format!("{gaps},1000-1999");
    for (n, (max_bytes, before, since, all, some)) in [
        (16 * 1024, "", gaps, true, true),
        (2 * 1024, "", "0-1999", true, true),
        (1_200, "", gaps, false, true),
        (1_200, "", long.as_str(), false, true),
        (300, "", gaps, false, false),
    ]
    .into_iter()
    .enumerate()
    {
        let ranges = |text: &str| text.parse::<Ranges>().unwrap_or_default();
        let mut record = record_of(1, 2_000, "one");
        record.finished = ranges(before);
        let (recorded, finished) = (record.finished.clone(), ranges(since));
        record.finished.insert_all(&finished);
        let added = if Json::of(&record).text().len() > max_bytes {
            add_fitting_ranges(&mut record, &recorded, &finished, max_bytes)
        } else {
            finished.clone()
        };
        assert_eq!((added == finished, !added.is_empty()), (all, some), "{n}: {added}");
        assert!(Json::of(&record).text().len() <= max_bytes || !some, "{n}");
        assert_eq!(record.finished, recorded.union(&added), "{n}");
        if since == long && !all {
            assert!(added.contains(1_500), "{n}: the long range is added first");
        }
    }
}

fn partition_job(id: &str, mine: &str) -> PartitionJob {
    let context = PartitionContext { partition: "one", term: 5, recovery_complete: true };
    let mut record = job_record(mine, "");
    record.job.id = id.into();
    let mut job = PartitionJob::new(record.clone(), NOW, NOW);
    job.apply_record(record, 10, context, false);
    job
}

/// Final states are written before progress, and within each kind the longest overdue first. A job
/// without tasks in the partition is forgotten.
#[test]
fn final_states_are_written_first_and_then_the_longest_overdue() {
    let job_with = |id: &str, finished: u32, since: Micros| {
        let mut job = partition_job(id, "0-3");
        for index in 0..finished {
            job.ready.remove(index);
            job.finish(index, "one", NOW);
        }
        job.postpone_write(since);
        job
    };
    let mut given_away = job_with("e", 0, 0);
    let context = PartitionContext { partition: "one", term: 5, recovery_complete: true };
    given_away.apply_record(job_record("", "0-3"), 11, context, false);
    let jobs = BTreeMap::from([
        ("a".to_owned(), job_with("a", 1, NOW)),
        ("b".to_owned(), job_with("b", 1, NOW - 5)),
        ("c".to_owned(), job_with("c", 4, NOW)),
        ("d".to_owned(), job_with("d", 4, NOW + 1)),
        ("e".to_owned(), given_away),
        ("f".to_owned(), job_with("f", 0, 0)),
    ]);
    for (may_write_progress, order) in [(true, "c b a"), (false, "c")] {
        let mut due = Vec::new();
        let forgotten = collect_due("one", jobs.iter(), may_write_progress, NOW, &mut due);
        due.sort();
        let found: Vec<&str> = due.iter().map(|write| write.job.as_str()).collect();
        assert_eq!(found.join(" "), order, "{may_write_progress}");
        assert_eq!(forgotten, ["e"]);
        assert_eq!(due[0].change_count(), 2, "one deletes the record, one writes the final state");
    }
}

#[test]
fn every_write_is_on_condition_of_the_partition_and_the_record() {
    let limits = WriteLimits { value_bytes: 16 * 1024, pages: 4 };
    for (finished, paging, action, changes) in [
        (2, true, JobWriteAction::Record, 1),
        (2, false, JobWriteAction::Record, 1),
        (4, true, JobWriteAction::End, 2),
        (4, false, JobWriteAction::End, 2),
    ] {
        let mut job = partition_job("req-1", "0-3");
        for index in 0..finished {
            job.ready.remove(index);
            job.finish(index, "one", NOW);
        }
        let leader = Txn::default().if_mod_revision("parts/one", 5);
        let planned = plan_write(leader, &job, &Pages::default(), paging, limits);
        let PlannedWrite { txn, action: planned_action, recorded, .. } = planned.expect("it fits");
        let conditions: Vec<(&str, u64)> =
            txn.conditions.iter().map(|c| (c.path.as_str(), c.mod_revision)).collect();
        assert_eq!(conditions, [("parts/one", 5), ("live/req-1", 10)]);
        assert_eq!((planned_action, recorded), (action, Ranges::up_to(finished)));
        assert_eq!(txn.changes.len(), changes, "{finished} {paging}");
    }
}

#[test]
fn a_conflict_tells_whether_the_partition_or_the_record_has_changed() {
    let conflict = |keys: &[&str]| {
        Ok(StoreReply::Conflict(keys.iter().map(|key| (*key).to_owned()).collect()))
    };
    for (result, outcome) in [
        (Ok(StoreReply::Committed(7)), WriteOutcome::Committed { mod_revision: 7 }),
        (conflict(&["live/req-1", "parts/one"]), WriteOutcome::PartitionLost),
        (conflict(&["live/req-1"]), WriteOutcome::RecordChanged),
        (conflict(&["parts/one-b"]), WriteOutcome::RecordChanged),
        (Ok(StoreReply::TooLarge), WriteOutcome::Failed),
        (Err(CallError::Unknown), WriteOutcome::Failed),
    ] {
        assert_eq!(WriteOutcome::of(&result, "one"), outcome, "{result:?}");
    }
}
