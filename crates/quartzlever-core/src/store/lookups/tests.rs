//! How long questions wait, and for what.

use super::*;
use crate::messages::LogLevel;
use crate::testing::NOW;

fn cache(revision: u64) -> Cache {
    let mut cache = Cache::default();
    cache.reset(revision);
    cache.listing_complete(NOW);
    cache
}

/// Has the revision read; gives the questions that wait for it.
fn read(lookups: &mut Lookups, now: Micros) -> Option<Vec<PendingLookup>> {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    lookups.poll(now, SECOND / 10, &mut outbox);
    match outbox.take_store_call(1) {
        Some(PendingStoreCall::Revision { asked, .. }) => Some(asked),
        _ => None,
    }
}

#[test]
fn one_read_of_the_revision_is_made_for_all_that_wait() {
    let mut lookups = Lookups::default();
    assert!(read(&mut lookups, NOW).is_none(), "nobody asks");
    for id in 1..=3 {
        assert!(lookups.ask(NOW, id, format!("req-{id}")));
    }
    assert_eq!(read(&mut lookups, NOW).map(|asked| asked.len()), Some(3));
    assert!(lookups.ask(NOW, 4, "req-4".into()));
    assert!(read(&mut lookups, NOW + SECOND).is_none(), "one at a time");
    lookups.read_answered();
    assert!(read(&mut lookups, NOW + SECOND / 10 - 1).is_none(), "its share of the requests");
    assert_eq!(read(&mut lookups, NOW + SECOND / 10).map(|asked| asked.len()), Some(1));
}

#[test]
fn questions_are_given_out_when_the_cache_is_new_enough_or_they_have_waited_too_long() {
    let asked = |id| vec![PendingLookup { id, job: format!("req-{id}"), since: NOW }];
    let ids = |asked: Option<Vec<PendingLookup>>| asked.map(|asked| asked[0].id);
    let mut lookups = Lookups::default();
    for (revision, id) in [(10, 1), (12, 2), (11, 3)] {
        lookups.wait_for(revision, asked(id));
    }
    assert_eq!(ids(lookups.take_answerable(&Cache::default())), None, "records are missing");
    assert_eq!(ids(lookups.take_answerable(&cache(11))), Some(1));
    assert_eq!(ids(lookups.take_answerable(&cache(11))), None, "in the order of the reads");
    assert_eq!(ids(lookups.take_overdue(NOW + PATIENCE)), None);
    assert_eq!(ids(lookups.take_overdue(NOW + PATIENCE + 1)), Some(2));
    assert_eq!(ids(lookups.take_answerable(&cache(11))), Some(3));
    assert_eq!(ids(lookups.take_overdue(NOW + SECOND)), None);
}

#[test]
fn no_more_than_a_certain_number_may_wait() {
    let mut lookups = Lookups::default();
    for id in 0..MOST as u64 {
        assert!(lookups.ask(NOW, id, "req-1".into()), "{id}");
    }
    assert!(!lookups.ask(NOW, 0, "req-1".into()));
    // Those that wait for the cache count as well.
    let asked = read(&mut lookups, NOW).unwrap_or_default();
    lookups.wait_for(12, asked);
    assert!(!lookups.ask(NOW, 0, "req-1".into()));
    assert_eq!(lookups.take_answerable(&cache(12)).map(|asked| asked.len()), Some(MOST));
    assert!(lookups.ask(NOW, 0, "req-1".into()));
}
