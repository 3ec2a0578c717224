//! How many calls are made for users at once.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::NOW;

fn lookup(id: u64) -> JobReadPurpose {
    JobReadPurpose::Lookup { id, job: "req-1".into() }
}

#[test]
fn submissions_are_shed_before_reads_and_no_request_under_way_is() {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    let mut requests = UserRequests::default();
    let budget = WriteBudget::new(NOW);
    let rejected = |outbox: &mut Outbox| {
        outbox.take_effects().iter().any(|e| matches!(e, Effect::Answer { status: 503, .. }))
    };
    for id in 0..64 {
        assert_eq!(requests.admits_submission(&budget), id < 40, "{id} under way");
        requests.read_or_reject(lookup(id), &mut outbox);
        assert!(!rejected(&mut outbox), "{id} under way");
    }
    requests.read_or_reject(lookup(64), &mut outbox);
    assert!(rejected(&mut outbox), "64 under way");
    // The second read of a request under way.
    requests.read(lookup(1), &mut outbox);
    assert!(!rejected(&mut outbox));
    requests.call_answered();
    requests.call_answered();
    requests.read_or_reject(lookup(65), &mut outbox);
    assert!(!rejected(&mut outbox), "63 under way");
}

#[test]
fn submissions_wait_for_what_is_owed_to_the_store() {
    let requests = UserRequests::default();
    let mut budget = WriteBudget::new(NOW);
    assert!(requests.admits_submission(&budget));
    budget.spend(100);
    assert_eq!(requests.admits_submission(&budget), !budget.exhausted());
    assert!(budget.exhausted());
}
