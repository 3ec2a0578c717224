//! The cancellation transaction, its outcomes, and the leaders that are notified.

use super::*;
use crate::testing::{Change, job_record};

#[test]
fn a_cancellation_removes_the_record_that_was_read_and_writes_the_final_state() {
    let txn = plan_cancellation("req-1", 10, 3);
    let conditions: Vec<(&str, u64)> =
        txn.conditions.iter().map(|c| (c.path.as_str(), c.mod_revision)).collect();
    assert_eq!(conditions, [("live/req-1", 10)]);
    assert_eq!(txn.changes.len(), CANCELLATION_CHANGES);
    let final_state = txn.changes.iter().find_map(|change| match change {
        Change::Write { v, .. } => v.parse::<TerminalJobRecord>(),
        Change::Delete { .. } => None,
    });
    assert_eq!(final_state.map(|state| (state.phase, state.done)), Some((JobPhase::Cancelled, 3)));
}

#[test]
fn a_changed_record_is_read_again_up_to_six_times() {
    let conflict = || Ok(StoreReply::Conflict(vec!["live/req-1".into()]));
    for (result, attempts, outcome) in [
        (Ok(StoreReply::Committed(7)), 6, CancelOutcome::Committed),
        (conflict(), 0, CancelOutcome::ReadAgain),
        (conflict(), 5, CancelOutcome::ReadAgain),
        (conflict(), 6, CancelOutcome::Failed),
        (Err(CallError::Unknown), 0, CancelOutcome::Failed),
    ] {
        assert_eq!(CancelOutcome::of(&result, attempts), outcome, "{result:?} {attempts}");
    }
}

#[test]
fn each_other_leader_is_notified_once() {
    let record = job_record("0-1", "2-3");
    let both = other_leaders(&record, |_| Some("three"));
    assert_eq!(both, ["three"]);
    let other = other_leaders(&record, |partition| (partition == "two").then_some("two"));
    assert_eq!(other, ["two"], "this node leads partition one itself");
}
