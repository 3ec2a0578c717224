//! The age of the view, and when it is renewed.

use super::*;
use crate::messages::LogLevel;
use crate::testing::{NOW, config};

#[test]
fn the_view_dates_from_the_sending_of_a_read_once_the_cache_has_caught_up() {
    let mut view = View::default();
    view.record_listing(NOW);
    view.record_revision_read(14, NOW + 9);
    view.record_revision_read(12, NOW + 5);
    for (cache_revision, as_of) in [(11, NOW), (12, NOW + 5), (13, NOW + 5), (14, NOW + 9)] {
        view.catch_up(cache_revision);
        assert_eq!(view.as_of(), as_of, "{cache_revision}");
    }
    // Reads and listings that were sent earlier do not make the view older.
    view.record_revision_read(15, NOW + 7);
    view.record_listing(NOW + 8);
    view.catch_up(20);
    assert_eq!(view.as_of(), NOW + 9);
}

/// The revision is read once at a time, at the minimum interval, and only while the view is too old
/// or dates from before the lease was regained.
#[test]
fn the_revision_is_read_while_the_view_is_too_old_or_predates_the_lease() {
    let (config, mut outbox) = (config(), Outbox::new(LogLevel::Error, NOW));
    let max_age = config.watch_hold() + VIEW_AGE_MARGIN;
    let mut view = View::default();
    view.record_listing(NOW);
    let mut reads = |view: &mut View, now, regained_at| {
        view.poll(now, &config, regained_at, &mut outbox);
        outbox.take_effects().len()
    };
    assert_eq!(reads(&mut view, NOW + max_age, NOW), 0, "fresh enough");
    assert_eq!(
        reads(&mut view, NOW + 1, NOW + 1),
        1,
        "the view dates from before the lease was regained"
    );
    let now = NOW + max_age + SECOND;
    assert_eq!(reads(&mut view, now, NOW), 0, "a read is pending");
    view.record_read_reply();
    assert_eq!(reads(&mut view, now, NOW), 1, "too old");
    view.record_read_reply();
    assert_eq!(
        reads(&mut view, now + MIN_READ_INTERVAL - 1, NOW),
        0,
        "the minimum interval has not passed"
    );
    assert_eq!(reads(&mut view, now + MIN_READ_INTERVAL, NOW), 1);
}
