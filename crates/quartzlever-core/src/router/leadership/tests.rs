//! Tests the transfer of partitions, and how long a leader may act.

use crate::testing::*;

#[test]
fn a_partition_is_handed_back_once() {
    // (reply to the release, number of further releases within a second)
    for (name, reply, more) in [
        ("released", Ok(StoreReply::Committed(20)), 0),
        ("held by another already", Ok(StoreReply::Conflict(vec!["parts/two".into()])), 0),
        ("not applied", Err(CallError::Refused), 1),
        ("unknown", Err(CallError::Unknown), 1),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "one", 6)]);
        for second in (0..=60).rev() {
            core.partition_keys.note_handback_request(NOW - second * SECOND, "two");
        }
        let first = transactions_on(&core.step(NOW, Vec::new()), "parts/two");
        assert_eq!(first.len(), 1, "{name}: requested for long enough");
        // The cache has not seen the release yet, and the home node still requests its partition.
        let result = Command::StoreReply { call_id: first[0], result: reply };
        let mut further = transactions_on(&core.step(NOW + SECOND / 20, vec![result]), "parts/two");
        for step in 2..20 {
            further.extend(transactions_on(
                &core.step(NOW + step * SECOND / 20, Vec::new()),
                "parts/two",
            ));
        }
        assert_eq!(further.len(), more, "{name}");
    }
}

/// The age of a view counts from the sending of the read, once the cache has reached the revision
/// that it returned. A valid lease alone is not enough, nor is a fresh view from before a lapsed
/// lease was renewed.
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
    // The watch was sent 5 s after the view, and reports no change.
    core.watch_replied(1, NOW + 5 * SECOND, watched(12));
    assert!(at(&mut core, 5 * SECOND + bound - 1) && !at(&mut core, 5 * SECOND + bound));
    // A read of the revision counts from its sending, but only once the cache has reached that
    // revision.
    core.revision_read(Vec::new(), NOW + 9 * SECOND, Ok(StoreReply::Revision(14)));
    assert!(!at(&mut core, 5 * SECOND + bound));
    core.watch_replied(2, NOW + 6 * SECOND, watched(13));
    assert!(!at(&mut core, 6 * SECOND + bound));
    core.watch_replied(3, NOW + 7 * SECOND, watched(14));
    assert!(at(&mut core, 9 * SECOND + bound - 1));
    // The lease is renewed after it lapsed: the view must be newer than that renewal.
    core.lease.expire_at(NOW);
    core.now = NOW + 20 * SECOND;
    core.lease_renewed(NOW + 19 * SECOND, 1, &Ok(StoreReply::Renewed));
    assert!(core.holds_lease() && !core.may_act(), "the view predates the renewal");
    core.revision_read(Vec::new(), NOW + 19 * SECOND, Ok(StoreReply::Revision(14)));
    assert!(core.may_act());
}

/// The maximum view age plus the worker lease stays below the cancellation deadline wherever the
/// settings allow it; where they do not, the controller logs so at its start.
#[test]
fn view_age_and_worker_lease_fit_within_the_cancellation_deadline() {
    // (lease and cancel in seconds, whether the lease alone meets cancel)
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
        let mut new_core = Core::new(config, 1, NOW);
        let effects = new_core.step(NOW, Vec::new());
        let (cancel, lease) = (cancel * SECOND, lease * SECOND);
        let event = LogEvent::CancelTooShortForLease { cancel, lease };
        let logged = effects.iter().any(|e| matches!(e, Effect::Log(found) if *found == event));
        assert_eq!(logged, !meets, "{lease} {cancel}");
    }
}

/// The node's own partition is absent, and the store refuses its acquisition. Each refusal was
/// followed by the next attempt at once, a hundred per second, each of which counted against the
/// write limit.
#[test]
fn a_failed_acquisition_is_retried_after_a_delay() {
    for (name, reply) in [
        ("refused", Err(CallError::Refused)),
        ("throttled", Err(CallError::Throttled)),
        ("conflict", Ok(StoreReply::Conflict(vec!["parts/one".into()]))),
    ] {
        let mut core = core_with_cache(&[("two", "two", 6)]);
        core.partitions.clear();
        core.apply_cluster_record(&announcement("one", core.process, 4));
        let (mut attempts, mut answers) = (0, Vec::new());
        for step in 0..200 {
            let now = NOW + step * SECOND / 100;
            let effects = core.step(now, std::mem::take(&mut answers));
            for call_id in transactions_on(&effects, "parts/one") {
                attempts += 1;
                answers.push(Command::StoreReply { call_id, result: reply.clone() });
            }
        }
        assert!((4..=9).contains(&attempts), "{name}: {attempts} attempts in 2 s");
    }
}
