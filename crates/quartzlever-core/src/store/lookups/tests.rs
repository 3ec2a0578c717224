//! What lookups wait for, how long, and how many may wait.

use super::*;
use crate::messages::LogLevel;
use crate::testing::NOW;

fn cache(revision: u64) -> Cache {
    let mut cache = Cache::default();
    cache.reset(revision);
    cache.complete_listing(NOW);
    cache
}

/// Polls for a read of the revision; returns the lookups that it serves, if one is sent.
fn read_revision(lookups: &mut Lookups, now: Micros) -> Option<Vec<PendingLookup>> {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    lookups.poll(now, SECOND / 10, &mut outbox);
    match outbox.take_store_call(1) {
        Some(PendingStoreCall::Revision { lookups, .. }) => Some(lookups),
        _ => None,
    }
}

#[test]
fn one_read_of_the_revision_serves_all_waiting_lookups() {
    let mut lookups = Lookups::default();
    assert!(read_revision(&mut lookups, NOW).is_none(), "no lookup is waiting");
    for id in 1..=3 {
        assert!(lookups.enqueue(NOW, id, format!("req-{id}")));
    }
    assert_eq!(read_revision(&mut lookups, NOW).map(|batch| batch.len()), Some(3));
    assert!(lookups.enqueue(NOW, 4, "req-4".into()));
    assert!(read_revision(&mut lookups, NOW + SECOND).is_none(), "a read is pending");
    lookups.record_read_reply();
    assert!(
        read_revision(&mut lookups, NOW + SECOND / 10 - 1).is_none(),
        "the minimum interval has not passed"
    );
    assert_eq!(read_revision(&mut lookups, NOW + SECOND / 10).map(|batch| batch.len()), Some(1));
}

#[test]
fn lookups_are_returned_once_the_cache_is_recent_enough_or_they_time_out() {
    let batch = |id| vec![PendingLookup { id, job: format!("req-{id}"), queued_at: NOW }];
    let ids = |batch: Option<Vec<PendingLookup>>| batch.map(|lookups| lookups[0].id);
    let mut lookups = Lookups::default();
    for (revision, id) in [(10, 1), (12, 2), (11, 3)] {
        lookups.queue_until(revision, batch(id));
    }
    assert_eq!(ids(lookups.take_answerable(&Cache::default())), None, "the cache is not loaded");
    assert_eq!(ids(lookups.take_answerable(&cache(11))), Some(1));
    assert_eq!(
        ids(lookups.take_answerable(&cache(11))),
        None,
        "batches are returned in the order of the reads"
    );
    assert_eq!(ids(lookups.take_overdue(NOW + LOOKUP_TIMEOUT)), None);
    assert_eq!(ids(lookups.take_overdue(NOW + LOOKUP_TIMEOUT + 1)), Some(2));
    assert_eq!(ids(lookups.take_answerable(&cache(11))), Some(3));
    assert_eq!(ids(lookups.take_overdue(NOW + SECOND)), None);
}

#[test]
fn the_number_of_waiting_lookups_is_limited() {
    let mut lookups = Lookups::default();
    for id in 0..MAX_WAITING_LOOKUPS as u64 {
        assert!(lookups.enqueue(NOW, id, "req-1".into()), "{id}");
    }
    assert!(!lookups.enqueue(NOW, 0, "req-1".into()));
    // Lookups that wait for the cache count as well.
    let batch = read_revision(&mut lookups, NOW).unwrap_or_default();
    lookups.queue_until(12, batch);
    assert!(!lookups.enqueue(NOW, 0, "req-1".into()));
    assert_eq!(
        lookups.take_answerable(&cache(12)).map(|batch| batch.len()),
        Some(MAX_WAITING_LOOKUPS)
    );
    assert!(lookups.enqueue(NOW, 0, "req-1".into()));
}
