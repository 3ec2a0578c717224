//! When a watch is opened, and whose answer counts.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::{NOW, config};

/// States that tests begin with.
impl Watch {
    pub(crate) fn set_number(&mut self, number: u64) {
        self.number = number;
    }
}

/// The revision from which a watch is opened, if one is.
fn opened(watch: &mut Watch, now: Micros, cache: &Cache) -> Option<u64> {
    let mut outbox = Outbox::new(LogLevel::Error, NOW);
    watch.poll(now, &config(), SECOND / 10, cache, &mut outbox);
    outbox.take_effects().into_iter().find_map(|effect| match effect {
        Effect::Store { call: StoreCall::Watch { from, .. }, .. } => Some(from),
        _ => None,
    })
}

fn cache(revision: u64) -> Cache {
    let mut cache = Cache::default();
    cache.reset(revision);
    cache.listing_complete(NOW);
    cache
}

#[test]
fn one_watch_is_open_unless_its_connection_is_dead() {
    let (mut watch, mut cache) = (Watch::default(), cache(7));
    assert_eq!(opened(&mut watch, NOW, &cache), Some(7));
    let late = NOW + WATCH_DEAD + 1;
    assert_eq!(opened(&mut watch, late, &cache), None, "there is nothing to tell");
    cache.saw_revision(8);
    assert_eq!(opened(&mut watch, late - 1, &cache), None, "it may still tell");
    assert_eq!(opened(&mut watch, late, &cache), Some(7), "it is dead");
    // The answer of the dead one does not end the one that took its place.
    let answer = |revision| Ok(StoreReply::Watched(WatchAnswer { revision, log: Vec::new() }));
    assert!(watch.answered(late, 1, answer(8), &mut cache).is_some());
    cache.advance(8);
    assert_eq!(opened(&mut watch, late + SECOND, &cache), None);
    assert!(watch.answered(late, 2, answer(8), &mut cache).is_some());
    assert_eq!(opened(&mut watch, late + WATCH_PAUSE - 1, &cache), None, "a pause");
    assert_eq!(opened(&mut watch, late + WATCH_PAUSE, &cache), Some(8));
}

#[test]
fn only_the_latest_watch_may_say_that_it_is_too_far_behind() {
    // (number of the watch that says so, whether all records are listed anew)
    for (number, is_outdated) in [(2, false), (3, true)] {
        let (mut watch, mut cache) = (Watch::default(), cache(7));
        watch.set_number(3);
        assert!(watch.answered(NOW, number, Ok(StoreReply::TooOld), &mut cache).is_none());
        assert_eq!(cache.loaded(), !is_outdated, "{number}");
    }
}

#[test]
fn after_a_failure_the_next_watch_waits_and_a_cache_without_records_takes_in_nothing() {
    let (mut watch, mut cache) = (Watch::default(), cache(7));
    assert!(watch.answered(NOW, 0, Err(CallError::Refused), &mut cache).is_none());
    assert_eq!(opened(&mut watch, NOW + RETRY - 1, &cache), None);
    assert_eq!(opened(&mut watch, NOW + RETRY, &cache), Some(7));
    cache.outdated();
    let answer = StoreReply::Watched(WatchAnswer { revision: 9, log: Vec::new() });
    assert!(watch.answered(NOW + RETRY, 1, Ok(answer), &mut cache).is_none());
}
