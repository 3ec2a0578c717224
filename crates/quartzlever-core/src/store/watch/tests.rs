//! When a watch is opened, and which replies are applied.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::{NOW, config};

/// Setters for the initial states of tests.
impl Watch {
    pub(crate) fn set_number(&mut self, number: u64) {
        self.number = number;
    }
}

/// Polls the watch; returns the revision from which a watch is opened, if one is.
fn opened_from(watch: &mut Watch, now: Micros, cache: &Cache) -> Option<u64> {
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
    cache.complete_listing(NOW);
    cache
}

#[test]
fn only_one_watch_is_open_unless_its_connection_is_dead() {
    let (mut watch, mut cache) = (Watch::default(), cache(7));
    assert_eq!(opened_from(&mut watch, NOW, &cache), Some(7));
    let after_timeout = NOW + DEAD_WATCH_TIMEOUT + 1;
    assert_eq!(
        opened_from(&mut watch, after_timeout, &cache),
        None,
        "the store has no later changes"
    );
    cache.record_revision(8);
    assert_eq!(
        opened_from(&mut watch, after_timeout - 1, &cache),
        None,
        "the watch may still reply"
    );
    assert_eq!(opened_from(&mut watch, after_timeout, &cache), Some(7), "its connection is dead");
    // The reply of the dead watch does not close the watch that replaced it.
    let answer = |revision| Ok(StoreReply::Watched(WatchAnswer { revision, log: Vec::new() }));
    assert!(watch.handle_reply(after_timeout, 1, answer(8), &mut cache).is_some());
    cache.advance_to(8);
    assert_eq!(opened_from(&mut watch, after_timeout + SECOND, &cache), None);
    assert!(watch.handle_reply(after_timeout, 2, answer(8), &mut cache).is_some());
    assert_eq!(
        opened_from(&mut watch, after_timeout + MIN_WATCH_INTERVAL - 1, &cache),
        None,
        "the minimum interval has not passed"
    );
    assert_eq!(opened_from(&mut watch, after_timeout + MIN_WATCH_INTERVAL, &cache), Some(8));
}

#[test]
fn only_the_latest_watch_can_mark_the_cache_as_outdated() {
    // (number of the watch that is too far behind, whether the cache is marked as outdated)
    for (number, is_outdated) in [(2, false), (3, true)] {
        let (mut watch, mut cache) = (Watch::default(), cache(7));
        watch.set_number(3);
        assert!(watch.handle_reply(NOW, number, Ok(StoreReply::TooOld), &mut cache).is_none());
        assert_eq!(cache.is_loaded(), !is_outdated, "{number}");
    }
}

#[test]
fn a_failed_watch_is_retried_after_a_delay_and_an_unloaded_cache_applies_nothing() {
    let (mut watch, mut cache) = (Watch::default(), cache(7));
    assert!(watch.handle_reply(NOW, 0, Err(CallError::Refused), &mut cache).is_none());
    assert_eq!(opened_from(&mut watch, NOW + RETRY_DELAY - 1, &cache), None);
    assert_eq!(opened_from(&mut watch, NOW + RETRY_DELAY, &cache), Some(7));
    cache.mark_outdated();
    let answer = StoreReply::Watched(WatchAnswer { revision: 9, log: Vec::new() });
    assert!(watch.handle_reply(NOW + RETRY_DELAY, 1, Ok(answer), &mut cache).is_none());
}
