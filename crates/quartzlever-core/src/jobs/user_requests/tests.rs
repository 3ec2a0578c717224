//! Limits on the calls in flight for users.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::NOW;

fn lookup(id: u64) -> JobReadPurpose {
    JobReadPurpose::Lookup { id, job: "req-1".into() }
}

#[test]
fn submissions_are_rejected_before_reads_and_requests_in_progress_never() {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    let mut requests = UserRequests::default();
    let budget = WriteBudget::new(NOW);
    let rejected = |outbox: &mut Outbox| {
        outbox.take_effects().iter().any(|e| matches!(e, Effect::Answer { status: 503, .. }))
    };
    for id in 0..64 {
        assert_eq!(requests.admits_submission(&budget), id < 40, "{id} in flight");
        requests.read_or_reject(lookup(id), &mut outbox);
        assert!(!rejected(&mut outbox), "{id} in flight");
    }
    requests.read_or_reject(lookup(64), &mut outbox);
    assert!(rejected(&mut outbox), "64 in flight");
    // The second read of a request in progress.
    requests.read(lookup(1), &mut outbox);
    assert!(!rejected(&mut outbox));
    requests.call_answered();
    requests.call_answered();
    requests.read_or_reject(lookup(65), &mut outbox);
    assert!(!rejected(&mut outbox), "63 in flight");
}

#[test]
fn submissions_are_rejected_while_the_write_budget_is_exhausted() {
    let requests = UserRequests::default();
    let mut budget = WriteBudget::new(NOW);
    assert!(requests.admits_submission(&budget));
    budget.spend(100);
    assert_eq!(requests.admits_submission(&budget), !budget.is_exhausted());
    assert!(budget.is_exhausted());
}
