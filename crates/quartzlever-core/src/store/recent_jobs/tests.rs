//! Which jobs are remembered, and how many.

use super::*;

/// A job that keeps changing was evicted once enough other jobs had followed its first record, so
/// that a late record of it was accepted as new.
#[test]
fn a_job_that_keeps_changing_is_not_evicted() {
    let mut latest_revisions = LatestRevisions::default();
    for round in 0..3 {
        assert!(latest_revisions.record("req-old", 10 + round), "round {round}");
        for job in 0..MIN_REMEMBERED_JOBS as u64 - 1 {
            assert!(latest_revisions.record(&format!("req-{round}-{job}"), 100 + job));
        }
    }
    assert!(!latest_revisions.record("req-old", 11), "a later record is known");
    assert!(latest_revisions.record("req-old", 12), "the latest record again");
}

#[test]
fn the_number_of_remembered_jobs_is_bounded() {
    let mut latest_revisions = LatestRevisions::default();
    for job in 0..5 * MIN_REMEMBERED_JOBS as u64 {
        latest_revisions.record(&format!("req-{job}"), job);
    }
    let remembered = latest_revisions.0.recent.len() + latest_revisions.0.older.len();
    assert!((MIN_REMEMBERED_JOBS..=2 * MIN_REMEMBERED_JOBS).contains(&remembered), "{remembered}");
}
