//! How old the view counts as.

use super::*;
use crate::messages::LogLevel;
use crate::testing::{NOW, config};

/// The sending of a read counts, and only once the cache has come as far.
#[test]
fn a_read_counts_from_its_sending_once_the_cache_has_caught_up() {
    let mut view = View::default();
    view.listed(NOW);
    view.revision_read(14, NOW + 9);
    view.revision_read(12, NOW + 5);
    for (present_revision, as_of) in [(11, NOW), (12, NOW + 5), (13, NOW + 5), (14, NOW + 9)] {
        view.catch_up(present_revision);
        assert_eq!(view.as_of(), as_of, "{present_revision}");
    }
    // What was sent earlier than what is known makes the view no older.
    view.revision_read(15, NOW + 7);
    view.listed(NOW + 8);
    view.catch_up(20);
    assert_eq!(view.as_of(), NOW + 9);
}

/// Reads are made for the view alone: one at a time, with a pause after each, and only while the view is too
/// old or from before the lease was regained.
#[test]
fn the_revision_is_read_while_the_view_is_too_old() {
    let (config, mut outbox) = (config(), Outbox::new(LogLevel::Error, NOW));
    let late = config.watch_hold() + VIEW_LATE;
    let mut view = View::default();
    view.listed(NOW);
    let mut reads = |view: &mut View, now, regained_at| {
        view.poll(now, &config, regained_at, &mut outbox);
        outbox.take_effects().len()
    };
    assert_eq!(reads(&mut view, NOW + late, NOW), 0, "fresh enough");
    assert_eq!(reads(&mut view, NOW + 1, NOW + 1), 1, "the lease was regained later");
    let now = NOW + late + SECOND;
    assert_eq!(reads(&mut view, now, NOW), 0, "one at a time");
    view.read_answered();
    assert_eq!(reads(&mut view, now, NOW), 1, "too old");
    view.read_answered();
    assert_eq!(reads(&mut view, now + READ_INTERVAL - 1, NOW), 0, "a pause after each");
    assert_eq!(reads(&mut view, now + READ_INTERVAL, NOW), 1);
}
