//! Partitions that change hands, and how long they are acted for.

use crate::testing::*;

#[test]
fn a_partition_is_handed_back_once() {
    // (what the release brings, how many more releases follow within a second)
    for (name, brings, more) in [
        ("given up", Ok(StoreReply::Committed(20)), 0),
        ("another's already", Ok(StoreReply::Conflict(vec!["parts/two".into()])), 0),
        ("not carried out", Err(CallError::Refused), 1),
        ("unknown", Err(CallError::Unknown), 1),
    ] {
        let mut core = with_cache(&[("one", "one", 5), ("two", "one", 6)]);
        for second in (0..=60).rev() {
            core.partition_keys.note_handback_request(NOW - second * SECOND, "two");
        }
        let first = changes(&core.step(NOW, Vec::new()), "parts/two");
        assert_eq!(first.len(), 1, "{name}: asked for long enough");
        // The cache does not know of it yet; the home node still asks.
        let result = Command::StoreReply { call_id: first[0], result: brings };
        let mut again = changes(&core.step(NOW + SECOND / 20, vec![result]), "parts/two");
        for step in 2..20 {
            again.extend(changes(&core.step(NOW + step * SECOND / 20, Vec::new()), "parts/two"));
        }
        assert_eq!(again.len(), more, "{name}");
    }
}

/// The sending of a read counts, once the cache has come as far; a lease that is surely alive is not
/// enough, nor is a fresh view from before the lease was renewed after a time without.
#[test]
fn a_leader_acts_only_on_a_fresh_view() {
    let watched = |revision| Ok(StoreReply::Watched(WatchAnswer { revision, log: Vec::new() }));
    let mut core = core();
    core.cache.set_loaded(true);
    core.config.workers.cancel = 40 * SECOND;
    // 40 s less a lease of 10 s and a margin of 3 s, with drift.
    let bound = core.config.max_view_age();
    assert!(bound > 26 * SECOND && bound < 27 * SECOND, "{bound}");
    let at = |core: &mut Core, after: Micros| {
        core.now = NOW + after;
        core.may_act()
    };
    assert!(at(&mut core, bound - 1) && !at(&mut core, bound));
    // The watch was sent 5 s after the view, and tells nothing new.
    core.watched(1, NOW + 5 * SECOND, watched(12));
    assert!(at(&mut core, 5 * SECOND + bound - 1) && !at(&mut core, 5 * SECOND + bound));
    // A read of the revision counts from its sending, but only once the cache has come to it.
    core.revision_read(Vec::new(), NOW + 9 * SECOND, Ok(StoreReply::Revision(14)));
    assert!(!at(&mut core, 5 * SECOND + bound));
    core.watched(2, NOW + 6 * SECOND, watched(13));
    assert!(!at(&mut core, 6 * SECOND + bound));
    core.watched(3, NOW + 7 * SECOND, watched(14));
    assert!(at(&mut core, 9 * SECOND + bound - 1));
    // Renewed after a time without a sure lease: the view must be newer than that renewal.
    core.lease.expire_at(NOW);
    core.now = NOW + 20 * SECOND;
    core.lease_renewed(NOW + 19 * SECOND, 1, &Ok(StoreReply::Renewed));
    assert!(core.holds_lease() && !core.may_act(), "the view is from before the renewal");
    core.revision_read(Vec::new(), NOW + 19 * SECOND, Ok(StoreReply::Revision(14)));
    assert!(core.may_act());
}

/// The bound holds for whatever the settings say; where it cannot, that is said.
#[test]
fn views_leases_and_cancellations_add_up() {
    // (lease, cancel in seconds, whether leases alone do)
    for (lease, cancel, meets) in [
        (34, 64, true),
        (36, 56, true),
        (30, 37, false),
        (30, 38, true),
        (60, 30, false),
        (1, 1, false),
    ] {
        let mut config = core().config;
        (config.workers.lease, config.workers.cancel) = (lease * SECOND, cancel * SECOND);
        assert_eq!(config.leases_meet_cancel(), meets, "{lease} {cancel}");
        let latest = config.max_view_age() + config.workers.lease;
        assert!(
            !meets || latest + 2 * SECOND < config.workers.cancel,
            "{lease} {cancel}: {latest}"
        );
        assert!(config.watch_hold() < config.max_view_age() / 2, "{lease} {cancel}");
        let mut told = Core::new(config, 1, NOW);
        let effects = told.step(NOW, Vec::new());
        let (cancel, lease) = (cancel * SECOND, lease * SECOND);
        let event = LogEvent::CancelTooShortForLease { cancel, lease };
        let named = effects.iter().any(|e| matches!(e, Effect::Log(told) if *told == event));
        assert_eq!(named, !meets, "{lease} {cancel}");
    }
}

/// Its own partition is absent, and the store refuses what it is asked: each refusal was
/// followed by the next attempt at once, a hundred a second, and each counted against the limit of changes.
#[test]
fn a_refused_acquisition_is_repeated_after_a_pause() {
    for (name, brings) in [
        ("refused", Err(CallError::Refused)),
        ("too often", Err(CallError::Throttled)),
        ("conflict", Ok(StoreReply::Conflict(vec!["parts/one".into()]))),
    ] {
        let mut core = with_cache(&[("two", "two", 6)]);
        core.partitions.clear();
        core.apply_cluster_record(&announcement("one", core.process, 4));
        let (mut attempts, mut answers) = (0, Vec::new());
        for step in 0..200 {
            let now = NOW + step * SECOND / 100;
            let effects = core.step(now, std::mem::take(&mut answers));
            for call_id in changes(&effects, "parts/one") {
                attempts += 1;
                answers.push(Command::StoreReply { call_id, result: brings.clone() });
            }
        }
        assert!((4..=9).contains(&attempts), "{name}: {attempts} attempts in 2 s");
    }
}
