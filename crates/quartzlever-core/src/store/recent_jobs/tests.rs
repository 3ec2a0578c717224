//! What is remembered of jobs, and for how long.

use super::*;

/// The modification revision of a job that changes again and again was forgotten once enough other jobs had come after
/// its first record, and a late record of it was taken for news then.
#[test]
fn a_job_that_keeps_changing_is_remembered_however_many_came_after_it() {
    let mut mod_revisions = LatestRevisions::default();
    for round in 0..3 {
        assert!(mod_revisions.saw("req-old", 10 + round), "round {round}");
        for job in 0..LEAST_REMEMBERED as u64 - 1 {
            assert!(mod_revisions.saw(&format!("req-{round}-{job}"), 100 + job));
        }
    }
    assert!(!mod_revisions.saw("req-old", 11), "a later record is known");
    assert!(mod_revisions.saw("req-old", 12), "the same record is no late one");
}

#[test]
fn what_is_remembered_stays_within_its_bound() {
    let mut mod_revisions = LatestRevisions::default();
    for job in 0..5 * LEAST_REMEMBERED as u64 {
        mod_revisions.saw(&format!("req-{job}"), job);
    }
    let kept = mod_revisions.0.recent.len() + mod_revisions.0.older.len();
    assert!((LEAST_REMEMBERED..=2 * LEAST_REMEMBERED).contains(&kept), "{kept}");
}
