//! Listings that meet each other, and what they show of changes that were missed.

use crate::testing::*;

/// How many pages the effects ask for.
fn pages_asked(effects: &[Effect]) -> usize {
    let is_list = |e: &&Effect| matches!(e, Effect::Store { call: StoreCall::List { .. }, .. });
    effects.iter().filter(is_list).count()
}

/// Two watches may find that they are too far behind. The answer of the earlier one came while the
/// records were being listed for the later one: a second listing began, cleared what the first had
/// read, and the end of the first made the copy count as complete and fresh.
#[test]
fn one_listing_is_under_way_at_a_time() {
    let mut core = with_cache(&[("one", "one", 5)]);
    core.watch.set_number(3);
    core.watched(3, NOW, Ok(StoreReply::TooOld));
    assert_eq!(pages_asked(&core.step(NOW, Vec::new())), 1);
    let first = core.listing.latest();
    core.watched(2, NOW, Ok(StoreReply::TooOld));
    assert_eq!(pages_asked(&core.step(NOW + SECOND, Vec::new())), 0);
    assert_eq!(core.listing.latest(), first);
    // A page that is not read ends it; what comes of it after that is ignored.
    core.page_listed(first, Section::Partitions, Err(CallError::Unknown));
    assert_eq!(pages_asked(&core.step(NOW + 2 * SECOND, Vec::new())), 1);
    let late = ListPage { entries: Vec::new(), has_next: false, revision: 90 };
    core.page_listed(first, Section::Cluster, Ok(StoreReply::Listed(late)));
    assert!(!core.cache.loaded() && core.cache.revision() < 90);
    // The earlier watch's word is no news for a copy that was made anew.
    core.listing.abandon();
    let own = partition_entry("one", "one", core.process, 5);
    list_records(&mut core, &[own], 95);
    core.watched(2, NOW, Ok(StoreReply::TooOld));
    assert!(core.cache.loaded() && core.cache.revision() == 95);
}

/// A listing shows that a partition was lost among the changes that the watch had missed. Without that
/// its former leader went on acting for it beside the next one.
#[test]
fn a_partition_that_was_lost_unnoticed_is_given_up() {
    let own = core().process;
    // (the key of partition one, revision of the listing, whether it is held after that)
    for (n, (key, revision, held)) in [
        (Some(("one", own, 5)), 20, true),
        (Some(("two", 77, 9)), 20, false),
        (None, 20, false),
        // It was acquired after the listing had begun.
        (None, 4, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        let rows: Vec<KeyValue> = key
            .map(|(node, process, mod_revision)| {
                partition_entry("one", node, process, mod_revision)
            })
            .into_iter()
            .collect();
        list_records(&mut core, &rows, revision);
        assert_eq!(core.partitions.contains_key("one"), held, "{n}");
    }
}

/// An answer that comes when the copy has come further tells of a key that the watch has shown, or its
/// removal: a process that took it as news acted for a partition that another one held by then.
#[test]
fn a_late_answer_to_an_acquisition_is_no_news() {
    // (revision of the copy, whether the records are there; acquired at 30, whether it is held then)
    for (revision, loaded, held) in
        [(29, true, true), (30, true, false), (35, true, false), (29, false, false)]
    {
        let mut core = core();
        core.cache.set_loaded(loaded);
        core.cache.set_revision(revision);
        core.acquired("two", 1, &Ok(StoreReply::Committed(30)));
        assert_eq!(core.partitions.contains_key("two"), held, "{revision} {loaded}");
    }
}

/// What hung on an earlier lease has gone with it: a late answer that says so must not end the next one.
#[test]
fn the_end_of_an_earlier_lease_does_not_end_the_present_one() {
    // (the lease that the answer is about, whether the present one, 2, is kept)
    for (lease, kept) in [(1, true), (2, false)] {
        let mut core = core();
        core.lease = Lease::held(2, NOW + 1_000 * SECOND);
        core.acquired("two", lease, &Ok(StoreReply::NoLease));
        assert_eq!(core.lease.id().is_some(), kept, "{lease}");
        assert_eq!(core.partitions.contains_key("one"), kept, "{lease}");
    }
}

#[test]
fn what_is_known_by_its_stamp_is_not_read() {
    // An unreadable record shows whether it was read. (key, modification revision, whether it is)
    for (key, mod_revision, read) in [
        ("live/req-1", 10, false),
        ("live/req-1", 9, false),
        ("live/req-1", 11, true),
        ("live/req-2", 11, true),
        ("live/req-3", 11, false),
        ("over/req-3", 11, false),
    ] {
        let mut core = with_leaders(100);
        core.outbox.set_log_level(LogLevel::Error);
        core.reconcile_job(record_of(1, 4, "one"), 10);
        core.job_terminated("req-3", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
        core.cache.set_revision(8);
        core.watch.set_number(1);
        let v = Json::of(&"no record");
        let log = vec![Event::Write { write: key.into(), v, mod_revision }];
        core.watched(1, NOW, Ok(StoreReply::Watched(WatchAnswer { revision: 12, log })));
        let noted = core.outbox.take_effects().iter().any(
            |e| matches!(e, Effect::Log(LogEvent::UnreadableRecord { key: named }) if named == key),
        );
        assert_eq!(noted, read, "{key} {mod_revision}");
        assert_eq!(core.cache.revision(), 12, "{key} {mod_revision}");
        assert!(core.cache.active_job("req-1").is_some(), "a job stays known");
    }
}
