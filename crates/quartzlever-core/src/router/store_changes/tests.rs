//! Tests overlapping listings, late replies, and changes that the watch missed.

use crate::testing::*;

/// Returns how many listing pages the effects request.
fn pages_requested(effects: &[Effect]) -> usize {
    let is_list = |e: &&Effect| matches!(e, Effect::Store { call: StoreCall::List { .. }, .. });
    effects.iter().filter(is_list).count()
}

/// Two watches may fall too far behind. The answer of the earlier one came during the listing for
/// the later one: a second listing began and cleared what the first had read, and the end of the
/// first marked the incomplete cache as loaded and fresh.
#[test]
fn only_one_listing_runs_at_a_time() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    core.watch.set_number(3);
    core.watch_replied(3, NOW, Ok(StoreReply::TooOld));
    assert_eq!(pages_requested(&core.step(NOW, Vec::new())), 1);
    let first = core.listing.latest_number();
    core.watch_replied(2, NOW, Ok(StoreReply::TooOld));
    assert_eq!(pages_requested(&core.step(NOW + SECOND, Vec::new())), 0);
    assert_eq!(core.listing.latest_number(), first);
    // A page that fails ends the listing; later pages of it are ignored.
    core.page_listed(first, Section::Partitions, Err(CallError::Unknown));
    assert_eq!(pages_requested(&core.step(NOW + 2 * SECOND, Vec::new())), 1);
    let late = ListPage { entries: Vec::new(), has_next: false, revision: 90 };
    core.page_listed(first, Section::Cluster, Ok(StoreReply::Listed(late)));
    assert!(!core.cache.is_loaded() && core.cache.revision() < 90);
    // The answer of the earlier watch does not invalidate a cache that was listed since.
    core.listing.abandon();
    let own = partition_entry("one", "one", core.process, 5);
    relist_records(&mut core, &[own], 95);
    core.watch_replied(2, NOW, Ok(StoreReply::TooOld));
    assert!(core.cache.is_loaded() && core.cache.revision() == 95);
}

/// A listing shows that a partition was lost in a change that the watch missed. Without this check
/// the former leader went on acting for the partition beside the next one.
#[test]
fn a_partition_lost_in_a_missed_change_is_dropped() {
    let own = core().process;
    // (the key of partition "one", revision of the listing, whether the partition is led
    // afterwards)
    for (n, (key, revision, led)) in [
        (Some(("one", own, 5)), 20, true),
        (Some(("two", 77, 9)), 20, false),
        (None, 20, false),
        // The partition was acquired after the listing had begun.
        (None, 4, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        let entries: Vec<KeyValue> = key
            .map(|(node, process, mod_revision)| {
                partition_entry("one", node, process, mod_revision)
            })
            .into_iter()
            .collect();
        relist_records(&mut core, &entries, revision);
        assert_eq!(core.partitions.contains_key("one"), led, "{n}");
    }
}

/// When the reply to an acquisition comes after the cache has passed its revision, the watch has
/// already delivered the key or its deletion. A process that applied such a reply acted for a
/// partition that another process held by then.
#[test]
fn a_late_acquisition_reply_is_ignored() {
    // The key is acquired at revision 30. (revision of the cache, whether it is loaded, whether the
    // partition is led afterwards)
    for (revision, loaded, led) in
        [(29, true, true), (30, true, false), (35, true, false), (29, false, false)]
    {
        let mut core = core();
        core.cache.set_loaded(loaded);
        core.cache.set_revision(revision);
        core.acquire_replied("two", 1, &Ok(StoreReply::Committed(30)));
        assert_eq!(core.partitions.contains_key("two"), led, "{revision} {loaded}");
    }
}

/// Keys attached to an earlier lease are gone with it; a late reply about that lease must not end
/// the current one.
#[test]
fn the_end_of_an_earlier_lease_does_not_end_the_current_one() {
    // (the lease that the reply is about, whether the current lease, 2, is kept)
    for (lease, kept) in [(1, true), (2, false)] {
        let mut core = core();
        core.lease = Lease::held(2, NOW + 1_000 * SECOND);
        core.acquire_replied("two", lease, &Ok(StoreReply::NoLease));
        assert_eq!(core.lease.id().is_some(), kept, "{lease}");
        assert_eq!(core.partitions.contains_key("one"), kept, "{lease}");
    }
}

#[test]
fn a_record_at_a_known_revision_is_not_parsed() {
    // An unreadable record is logged only if it is parsed. (key, modification revision, whether it
    // is parsed)
    for (key, mod_revision, parsed) in [
        ("live/req-1", 10, false),
        ("live/req-1", 9, false),
        ("live/req-1", 11, true),
        ("live/req-2", 11, true),
        ("live/req-3", 11, false),
        ("over/req-3", 11, false),
    ] {
        let mut core = core_with_leaders(100);
        core.outbox.set_log_level(LogLevel::Error);
        core.reconcile_job(record_of(1, 4, "one"), 10);
        core.job_terminated("req-3", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
        core.cache.set_revision(8);
        core.watch.set_number(1);
        let v = Json::of(&"no record");
        let log = vec![Event::Write { write: key.into(), v, mod_revision }];
        core.watch_replied(1, NOW, Ok(StoreReply::Watched(WatchAnswer { revision: 12, log })));
        let logged = core.outbox.take_effects().iter().any(
            |e| matches!(e, Effect::Log(LogEvent::UnreadableRecord { key: found }) if found == key),
        );
        assert_eq!(logged, parsed, "{key} {mod_revision}");
        assert_eq!(core.cache.revision(), 12, "{key} {mod_revision}");
        assert!(core.cache.active_job("req-1").is_some(), "a job stays known");
    }
}

/// A job whose final state cannot be parsed has ended: its tasks are stopped, and none is started.
#[test]
fn a_job_with_an_unreadable_final_state_is_dropped() {
    let mut core = core_with_leaders(100);
    core.outbox.set_log_level(LogLevel::Error);
    core.reconcile_job(record_of(1, 4, "one"), 10);
    core.cache.set_revision(10);
    core.watch.set_number(1);
    let log = vec![
        Event::Delete { delete: "live/req-1".into(), mod_revision: 11 },
        Event::Write { write: "over/req-1".into(), v: Json::of(&"no record"), mod_revision: 11 },
    ];
    core.watch_replied(1, NOW, Ok(StoreReply::Watched(WatchAnswer { revision: 11, log })));
    let is_logged = |effect: &Effect| matches!(effect, Effect::Log(LogEvent::UnreadableRecord { key }) if key == "over/req-1");
    assert!(core.outbox.take_effects().iter().any(is_logged));
    assert!(!core.partitions["one"].jobs.contains_key("req-1"));
    assert!(!core.cache.is_active_job("req-1"));
}

/// Submits job "req-1" and returns the call that writes its acceptance.
fn submit_job(core: &mut Core) -> CallId {
    let effects = core.step(NOW, vec![Command::Submit { id: 9, spec: Box::new(spec(4)) }]);
    let calls = transactions_on(&effects, "live/req-1");
    assert_eq!(calls.len(), 1, "{effects:?}");
    calls[0]
}

/// A user cancels a job at another node, this process misses that change and lists all records, and
/// only then an answer arrives that shows the job as it was. The process took the job for active and
/// started its tasks.
#[test]
fn a_late_answer_does_not_bring_back_a_job_that_a_listing_has_shown_as_ended() {
    type Reply = fn(&mut Core, CallId);
    let replies: [(&str, Reply); 3] = [
        ("steal", |core, _| {
            let record = Json::of(&record_of(1, 4, "one")).text().to_owned();
            let jobs = vec![("req-1".to_owned(), 12, record)];
            core.steal_replied("one", Ok(PeerAnswer::Stolen { jobs }));
        }),
        ("move", |core, _| {
            let record = record_of(1, 4, "one");
            let moved = vec![TaskMove { job: "req-1".into(), tasks: Ranges::up_to(4), record }];
            core.steal_written("one", 5, None, moved, Ok(StoreReply::Committed(12)));
        }),
        ("acceptance", |core, acceptance| {
            let result = Ok(StoreReply::Committed(12));
            core.step(NOW, vec![Command::StoreReply { call_id: acceptance, result }]);
        }),
    ];
    for (name, reply) in replies {
        // (revision of the listing, whether the answer is applied)
        for (revision, applied) in [(11, true), (12, false), (20, false)] {
            let mut core = core_with_cache(&[("one", "one", 5)]);
            let acceptance = submit_job(&mut core);
            let own = partition_entry("one", "one", core.process, 5);
            relist_records(&mut core, &[own], revision);
            reply(&mut core, acceptance);
            let partition = &core.partitions["one"];
            assert_eq!(core.cache.is_active_job("req-1"), applied, "{name} {revision}");
            assert_eq!(partition.jobs.contains_key("req-1"), applied, "{name} {revision}");
        }
    }
}

/// The same while the listing is in progress: the jobs that are active are still to be listed.
#[test]
fn a_late_answer_does_not_bring_back_a_job_during_a_listing() {
    // (revision of the listing, whether the answer is applied)
    for (revision, applied) in [(11, true), (12, false)] {
        let mut core = core_with_cache(&[("one", "one", 5)]);
        core.reconcile_job(record_of(1, 4, "one"), 10);
        begin_listing(&mut core, revision);
        let value = Json::of(&record_of(1, 4, "one"));
        let entry = KeyValue { key: "live/req-1".into(), value, mod_revision: 12, lease_id: None };
        core.active_job_reread("one", 5, "req-1", Ok(StoreReply::Read(entry)));
        assert_eq!(core.cache.is_active_job("req-1"), applied, "{revision}");
    }
}

/// The user is told what has become of the job, as another node may have said already.
#[test]
fn a_late_acceptance_of_a_job_that_has_ended_is_answered_with_its_final_state() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let acceptance = submit_job(&mut core);
    let own = partition_entry("one", "one", core.process, 5);
    relist_records(&mut core, &[own], 20);
    let ended = KeyValue {
        key: "over/req-1".into(),
        value: Json::of(&TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 }),
        mod_revision: 15,
        lease_id: None,
    };
    let result = Ok(StoreReply::Committed(12));
    let mut batch = vec![Command::StoreReply { call_id: acceptance, result }];
    let mut answers = Vec::new();
    for _ in 0..3 {
        for effect in core.step(NOW, std::mem::take(&mut batch)) {
            match effect {
                Effect::Store { call_id, call: StoreCall::Get(key), .. } => {
                    let is_final_state = key == ended.key;
                    let absent = StoreReply::Absent { revision: 20 };
                    let reply =
                        if is_final_state { StoreReply::Read(ended.clone()) } else { absent };
                    batch.push(Command::StoreReply { call_id, result: Ok(reply) });
                }
                Effect::Answer { id: 9, status, body, .. } => answers.push((status, body)),
                _ => {}
            }
        }
    }
    let [(200, Answer::Job(answer))] = &answers[..] else { panic!("{answers:?}") };
    assert_eq!(answer.phase, JobPhase::Cancelled);
}

/// A job is accepted while the first page of a listing is on its way, which was read before. A
/// controller that forgot the job with the older records took it for ended: it reported a violated
/// invariant instead of starting its tasks.
#[test]
fn a_job_accepted_after_the_first_page_of_a_listing_was_read_is_not_taken_for_ended() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let acceptance = submit_job(&mut core);
    core.cache.mark_outdated();
    let result = Ok(StoreReply::Committed(12));
    core.step(NOW, vec![Command::StoreReply { call_id: acceptance, result }]);
    core.listing.abandon();
    let own = partition_entry("one", "one", core.process, 5);
    relist_records(&mut core, &[own], 11);
    assert!(core.cache.is_loaded() && !core.cache.shows_as_ended("req-1"));
    assert!(core.partitions["one"].jobs.contains_key("req-1"));
}
