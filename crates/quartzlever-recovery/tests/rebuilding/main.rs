//! Tests of the whole rebuild of a store that has lost data, with failures at every step.

mod world;

use quartzlever_recovery::detection::Loss;
use quartzlever_recovery::generation::Generation;
use quartzlever_recovery::guard::{Guard, GuardError};
use quartzlever_recovery::identity::{
    CANDIDATE_PREFIX, Candidate, IDENTITY_KEY, LOCK_KEY, Lock, PENDING_FINAL_STATES_KEY,
    StoreObservation, WITNESS_PREFIX,
};
use quartzlever_recovery::rebuild::{RebuildError, observe, restore_final_states};
use quartzlever_recovery::records::{KeyChange, Update};
use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, SECOND};

use world::{
    START, SharedWorld, TestAccess, WORKER_LEASE, history, local, open_store, run_open, settings,
    values, world, write_records,
};

const RECORDS: &[(&str, &str)] = &[
    ("cluster/version", r#"{"version":2}"#),
    ("hosts/n~0", r#"{"m":{}}"#),
    ("live/req-1", r#"{"a":1}"#),
    ("live/req-2", r#"{"a":2}"#),
    ("over/req-3", r#"{"phase":"done","done":1}"#),
    ("over/req-4", r#"{"phase":"aborted","done":0}"#),
];

/// Announces the other controllers as candidates without changes of their own.
fn announce_others(world: &SharedWorld) {
    announce(world, &["two", "three"]);
}

fn announce(world: &SharedWorld, nodes: &[&str]) {
    announce_with_extras(world, nodes, Some(0));
}

fn announce_with_extras(world: &SharedWorld, nodes: &[&str], extras_after: Option<u64>) {
    let now = world.borrow().now;
    for node in nodes {
        let candidate = Candidate {
            generation: Some(0),
            revision: 0,
            complete_up_to: u64::MAX >> 4,
            extras_after,
            is_verified: true,
        };
        let txn = Txn::default().write(format!("{CANDIDATE_PREFIX}{node}"), Json::of(&candidate));
        world.borrow_mut().store.call(now, &StoreCall::Txn(txn)).expect("written");
    }
}

/// A process that dies at any call of its rebuild must leave the store either not rebuilt or
/// rebuilt completely, and the next process must be able to continue from there.
#[test]
fn a_rebuild_killed_at_any_call_is_completed_by_the_next_process() {
    let mut killed = 0;
    for call in 1.. {
        let world = world();
        write_records(&world, RECORDS);
        let history = history(&world);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut first = TestAccess::new(&world);
        first.killed_at = Some(call);
        if run_open(&mut first, &settings("one", 1), &local(&history)).is_some() {
            break;
        }
        killed += 1;
        // In one of three cases the store loses all data again before the next process starts.
        if call % 3 == 0 {
            world.borrow_mut().store.wipe();
            announce_others(&world);
        }
        let mut second = TestAccess::new(&world);
        let result = run_open(&mut second, &settings("one", 2), &local(&history));
        let opened = result.expect("not killed").expect("opened");
        assert_eq!(values(&opened.records), RECORDS.to_vec(), "killed at call {call}");
        assert!(opened.generation.identity.generation > 0, "killed at call {call}");
    }
    assert!(killed > 10, "killed at only {killed} calls");
}

/// Fencing tokens and attempt numbers are derived from revisions, and workers ignore numbers lower
/// than those they have seen.
#[test]
fn revisions_never_decrease_and_transactions_of_earlier_generations_are_rejected() {
    let world = world();
    write_records(&world, RECORDS);
    let mut history = history(&world);
    let mut seen = history.records.latest_revision();
    let mut stale_calls: Vec<StoreCall> = Vec::new();
    for round in 1..4 {
        // Transactions planned before the loss, with all low modification revisions: the store,
        // which counts from the beginning again, reaches the same ones after the loss.
        for (identity, record) in (1..30).flat_map(|i| (1..30).map(move |r| (i, r))) {
            let known = history.identity.clone();
            let generation = Generation { identity: known, mod_revision: identity };
            let mod_revision = generation.revision_from_store(record);
            let txn =
                Txn::default().if_mod_revision("live/req-1", mod_revision).delete("live/req-1");
            stale_calls.push(generation.to_store(&StoreCall::Txn(txn)));
        }
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let opened = open_store(&world, "one", &local(&history));
        assert_eq!(opened.generation.identity.generation, round);
        assert!(opened.records.revision() > seen + 1_000_000, "{round}");
        let oldest = opened.records.rows().values().map(|r| r.mod_revision).min();
        assert!(oldest > Some(seen), "{round}: {oldest:?}, {seen}");
        for call in &stale_calls {
            let now = world.borrow().now;
            let reply = world.borrow_mut().store.call(now, call);
            assert!(matches!(reply, Ok(StoreReply::Conflict(_))), "{round}: {call:?} {reply:?}");
        }
        seen = opened.records.latest_revision();
        history.identity = opened.generation.identity.clone();
        history.records = opened.records;
        history.wall_time = world.borrow().now;
    }
}

/// If the log may lack the last actions before the loss, no worker may get a command before the
/// leases of all workers have expired.
#[test]
fn an_unverified_log_delays_the_rebuild_until_worker_leases_expire() {
    // (marked, age of the log, whether it is complete, controllers that were up, whether the
    // rebuild waits)
    let cases: &[(bool, u64, bool, &[&str], bool)] = &[
        (true, 0, true, &[], false),
        (true, 10 * SECOND, true, &["one", "two"], false),
        (false, 0, true, &[], true),
        (true, 60 * SECOND, true, &[], true),
        (true, 0, false, &[], true),
        (true, 0, true, &["one", "four"], true),
    ];
    for (marked, age, is_complete, up, waits) in cases {
        let world = world();
        write_records(&world, RECORDS);
        let mut history = history(&world);
        for node in *up {
            let change = KeyChange {
                key: format!("cluster/nodes/{node}"),
                mod_revision: history.records.latest_revision() + 1,
                value: Some(r#"{"version":2,"process":1}"#.into()),
            };
            history.records.apply(Update { changes: vec![change], complete_up_to: None });
        }
        (history.wall_time, history.is_complete) = (START - age, *is_complete);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut local = local(&history);
        local.is_marked = *marked;
        let opened = open_store(&world, "one", &local);
        let took = world.borrow().now - START;
        assert_eq!(took > WORKER_LEASE, *waits, "{marked} {age} {is_complete} {up:?}: {took}");
        // A controller that was up and is absent may know jobs that no other controller knows.
        assert_eq!(opened.may_lack_jobs, up.contains(&"four"), "{up:?}");
    }
}

/// Each candidate may be the only one that knows a change that it made just before the loss.
#[test]
fn a_rebuild_includes_the_last_changes_of_all_candidates() {
    let world = world();
    write_records(&world, RECORDS);
    let history = history(&world);
    world.borrow_mut().store.wipe();
    let newest = history.records.latest_revision();
    // Longer than a value of the store may be, with characters that must not be split or escaped
    // wrongly.
    let long = format!(r#"{{"a":"{}"}}"#, r#"\"é"#.repeat(300));
    let local_with = |changes: Vec<(&str, Option<&str>, u64)>| {
        let mut history = history.clone();
        let changes = changes.into_iter().map(|(key, value, after)| KeyChange {
            key: key.into(),
            mod_revision: newest + after,
            value: value.map(str::to_owned),
        });
        history.records.apply(Update { changes: changes.collect(), complete_up_to: None });
        local(&history)
    };
    let one = local_with(vec![("live/req-5", Some(&long), 3), ("over/req-7", Some("{}"), 3)]);
    let two = local_with(vec![("live/req-1", None, 2), ("over/req-1", Some("{}"), 2)]);
    // Both announce themselves, and one of them publishes its last changes; then the one with the
    // latest records rebuilds.
    announce(&world, &["three"]);
    for (node, local, killed_at) in [("one", &one, 4), ("two", &two, 12)] {
        let mut access = TestAccess::new(&world);
        access.killed_at = Some(killed_at);
        assert!(run_open(&mut access, &settings(node, 1), local).is_none(), "{node}");
    }
    let opened = open_store(&world, "one", &one);
    let mut expected = RECORDS.to_vec();
    expected.retain(|(key, _)| *key != "live/req-1");
    expected.extend([("live/req-5", long.as_str()), ("over/req-1", "{}"), ("over/req-7", "{}")]);
    expected.sort();
    // Final states that some candidate does not know must be written at once, since that candidate
    // answers from its own records: a controller whose disk had been full reported a finished job
    // as running.
    let in_store = world.borrow().store.keys("generation/");
    for (job, there) in [("req-1", true), ("req-7", true), ("req-3", false)] {
        let found = in_store.iter().any(|key| key.ends_with(&format!("/over/{job}")));
        assert_eq!(found, there, "{job}: {in_store:?}");
    }
    assert_eq!(values(&opened.records), expected, "{:#?}", world.borrow().events);
}

/// A controller that has lost the lock must not commit a generation, whichever step it has reached.
#[test]
fn a_controller_that_lost_the_lock_commits_no_generation() {
    let mut aborted = 0;
    for pause in 1..30 {
        let world = world();
        write_records(&world, RECORDS);
        let history = history(&world);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut access = TestAccess::new(&world);
        access.killed_at = Some(100);
        access.scheduled_change = Some((pause, |w| {
            let lock = Lock { node: "two".into(), process: 9 };
            let txn =
                Txn::default().write(LOCK_KEY, Json::of(&lock)).write("lock_lost", Json::of(&1));
            w.store.call(w.now, &StoreCall::Txn(txn)).expect("written");
        }));
        run_open(&mut access, &settings("one", 1), &local(&history));
        let world = world.borrow();
        let mod_revision = |key: &str| world.store.get(key).map(|(_, mod_revision)| mod_revision);
        match (mod_revision(IDENTITY_KEY), mod_revision("lock_lost")) {
            (Some(rebuilt), Some(lost)) => assert!(rebuilt < lost, "pause {pause}"),
            (Some(_), None) => {}
            (None, _) => aborted += 1,
        }
    }
    assert!((1..29).contains(&aborted), "{aborted} rebuilds aborted");
}

/// Final states need not be written before the next generation serves: a controller that knew them
/// carries them over, and a controller without a history waits until they are written.
#[test]
fn final_states_are_carried_over_and_written_after_the_rebuild() {
    let world = world();
    write_records(&world, RECORDS);
    let known = history(&world);
    world.borrow_mut().store.wipe();
    announce_others(&world);
    let opened = open_store(&world, "one", &local(&known));
    let (generation, base) = (&opened.generation, opened.generation.identity.base);
    let in_store = |world: &SharedWorld| world.borrow().store.keys("generation/").len();
    assert_eq!(values(&opened.records), RECORDS.to_vec());
    assert_eq!(in_store(&world), RECORDS.len() - 2, "all but the final states");

    let waits = |world: &SharedWorld| {
        let mut access = TestAccess::new(world);
        access.killed_at = Some(30);
        run_open(&mut access, &settings("two", 1), &Default::default()).is_none()
    };
    assert!(waits(&world), "a controller without a history");
    let carried_over: Vec<_> =
        opened.records.carried_over(base, "").map(|(k, r)| (k.clone(), r.clone())).collect();
    assert_eq!(carried_over.len(), 2);
    // Two controllers write them; the second write changes nothing.
    for written in [true, false] {
        let mut store = |call: &StoreCall| {
            let mut world = world.borrow_mut();
            let now = world.now;
            world.store.call(now, call)
        };
        let update =
            restore_final_states(&mut store, generation, &carried_over).expect("an answer");
        assert_eq!(update.is_some(), written);
    }
    assert_eq!(in_store(&world), RECORDS.len());
    let gone = Txn::default().delete(PENDING_FINAL_STATES_KEY);
    world.borrow_mut().store.call(START, &StoreCall::Txn(gone)).expect("written");
    assert!(!waits(&world), "all final states are written");
}

/// A rebuild that did not wait for a present candidate to publish its last changes would lose them.
#[test]
fn a_rebuild_waits_for_the_last_changes_of_every_candidate() {
    let world = world();
    write_records(&world, RECORDS);
    let history = history(&world);
    world.borrow_mut().store.wipe();
    announce(&world, &["three"]);
    announce_with_extras(&world, &["two"], None);
    let mut access = TestAccess::new(&world);
    access.killed_at = Some(100);
    assert!(run_open(&mut access, &settings("one", 1), &local(&history)).is_none());
    assert!(world.borrow().store.get(IDENTITY_KEY).is_none(), "rebuilt without the last changes");
    announce(&world, &["two"]);
    let opened = open_store(&world, "one", &local(&history));
    assert_eq!(values(&opened.records), RECORDS.to_vec());
}

/// A controller that was absent during the rebuild contributes the jobs that no other controller
/// knows.
#[test]
fn a_returning_controller_contributes_the_jobs_that_it_alone_knows() {
    let world = world();
    write_records(&world, RECORDS);
    let before = history(&world);
    let now = world.borrow().now;
    let txn = Txn::default()
        .write("live/req-6", Json::from_text("{}").expect("JSON"))
        .delete("live/req-2")
        .write("over/req-2", Json::from_text("{}").expect("JSON"));
    world.borrow_mut().store.call(now, &StoreCall::Txn(txn)).expect("written");
    let absent = history(&world);
    world.borrow_mut().store.wipe();
    announce_others(&world);
    let rebuilt = open_store(&world, "one", &local(&before));
    assert!(rebuilt.records.get("live/req-2").is_some(), "the end of req-2 is not known yet");
    let returned = open_store(&world, "two", &local(&absent));
    assert_eq!(returned.generation, rebuilt.generation, "no second rebuild");
    for (key, there) in [("live/req-2", false), ("over/req-2", true), ("live/req-6", true)] {
        assert_eq!(returned.records.get(key).is_some(), there, "{key}");
    }
}

/// A controller without a history cannot tell a lost record from one that never existed, and so
/// answered 404 for a finished job. It must report that jobs may be missing until another
/// controller verifies the records.
#[test]
fn a_controller_without_a_history_may_lack_jobs_until_the_records_are_verified() {
    let world = world();
    write_records(&world, RECORDS);
    let history = history(&world);
    assert!(open_store(&world, "two", &Default::default()).may_lack_jobs);
    assert!(
        open_store(&world, "two", &local(&history)).may_lack_jobs,
        "restarted before the verification"
    );
    assert!(!open_store(&world, "one", &local(&history)).may_lack_jobs);
}

/// A controller must rebuild if the store shows a loss at its start, and must not after an outage
/// or after changes that other controllers may have made.
#[test]
fn only_a_loss_shown_by_the_store_causes_a_rebuild() {
    let write = |w: &mut world::World, key: &str, value: &str| {
        let txn = Txn::default().write(key, Json::from_text(value).expect("JSON"));
        w.store.call(START, &StoreCall::Txn(txn)).expect("written");
    };
    /// Name, fault, and the number of the generation that serves afterwards.
    type Case = (&'static str, fn(&mut world::World), u32);
    let cases: &[Case] = &[
        ("no fault", |_| {}, 0),
        ("outage", |w| w.store.outage = true, 0),
        ("missing identity", |w| w.store.lose_keys(|key| key == IDENTITY_KEY), 1),
        ("missing final state", |w| w.store.lose_keys(|key| key == "over/req-3"), 1),
        ("missing active job", |w| w.store.lose_keys(|key| key == "live/req-1"), 1),
        ("missing cluster version", |w| w.store.lose_keys(|k| k == "cluster/version"), 1),
        (
            "machines that were terminated",
            |w| w.store.lose_keys(|key| key.starts_with("hosts/")),
            0,
        ),
        ("all data missing", |w| w.store.wipe(), 1),
        (
            "missing witness counter",
            |w| w.store.lose_keys(|key| key.starts_with(WITNESS_PREFIX)),
            1,
        ),
    ];
    for (name, inject, generation) in cases {
        let world = world();
        write_records(&world, RECORDS);
        write(&mut world.borrow_mut(), &format!("{WITNESS_PREFIX}one"), r#"{"count":7}"#);
        let mut history = history(&world);
        history.witness = 7;
        inject(&mut world.borrow_mut());
        if !world.borrow().store.outage {
            announce_others(&world);
        }
        let mut access = TestAccess::new(&world);
        access.scheduled_change = Some((20, |w| w.store.end_outage(w.now)));
        let result = run_open(&mut access, &settings("one", 1), &local(&history));
        let opened = result.expect("not killed").expect("opened");
        assert_eq!(opened.generation.identity.generation, *generation, "{name}");
        let lost_machines = name.starts_with("machines");
        let kept = RECORDS.iter().filter(|(key, _)| !lost_machines || !key.starts_with("hosts"));
        let expected: Vec<_> = kept.copied().collect();
        assert_eq!(values(&opened.records), expected, "{name}");
    }
}

/// A cluster is founded only once all controllers have announced that they have no history. An
/// empty store and an empty directory alone may also mean that everything was lost while this
/// controller was absent.
#[test]
fn a_cluster_is_founded_only_once_all_controllers_are_candidates() {
    let world = world();
    let mut access = TestAccess::new(&world);
    access.killed_at = Some(60);
    assert!(run_open(&mut access, &settings("one", 1), &Default::default()).is_none());
    assert!(world.borrow().store.get(IDENTITY_KEY).is_none(), "founded alone");
    for node in ["three", "two"] {
        let mut access = TestAccess::new(&world);
        access.killed_at = Some(6);
        assert!(run_open(&mut access, &settings(node, 1), &Default::default()).is_none());
    }
    let founded = open_store(&world, "one", &Default::default());
    assert_eq!(founded.generation.identity.generation, 0);

    let foreign = local(&{
        let mut history = history(&world);
        history.identity.cluster = "another".into();
        history
    });
    let mut access = TestAccess::new(&world);
    let refused = run_open(&mut access, &settings("two", 1), &foreign);
    assert_eq!(refused, Some(Err(RebuildError::ForeignCluster)));
}

/// The guard must reject every reply of a store that has lost data, and must not report a loss when
/// a call is refused.
#[test]
fn the_guard_rejects_every_reply_of_a_store_that_lost_data() {
    let lost = |loss| Err(GuardError::Lost(loss));
    let gone = || lost(Loss::IdentityGone);
    let absent = "over/req-9".to_owned();
    let txn = Txn::default().if_mod_revision("over/req-9", 0).write("over/req-9", Json::of(&1));
    /// A call, the fault injected before it, and its result; `None` if the reply must pass.
    type Case<'a> = (StoreCall, fn(&mut world::World), Option<Result<StoreReply, GuardError>>);
    let wipe: fn(&mut world::World) = |w| w.store.wipe();
    let renew = StoreCall::Renew { lease: 1 };
    let watch = StoreCall::Watch { from: 7, hold_ms: 0 };
    let back = Loss::RevisionWentBack { from: 7, to: 0 };
    let cases: Vec<Case> = vec![
        (StoreCall::Get(absent.clone()), |_| {}, None),
        (StoreCall::Get(absent), wipe, Some(gone())),
        (StoreCall::Get("over/req-3".into()), wipe, Some(gone())),
        (
            StoreCall::Get("over/req-3".into()),
            |w| w.store.lose_keys(|key| key == "over/req-3"),
            Some(Err(GuardError::KnownRecordAbsent)),
        ),
        (StoreCall::Revision, wipe, Some(gone())),
        (StoreCall::Grant { life_ms: 1000 }, wipe, Some(gone())),
        // The lease may be another controller's: a store that has lost all data grants the same
        // numbers again.
        (
            renew,
            |w| {
                w.store.wipe();
                w.store.call(w.now, &StoreCall::Grant { life_ms: 9000 }).expect("granted");
            },
            Some(gone()),
        ),
        (watch, wipe, Some(lost(back))),
        (StoreCall::Txn(txn), wipe, Some(lost(Loss::IdentityDiffers))),
        (
            StoreCall::Revision,
            |w| w.store.outage = true,
            Some(Err(GuardError::Call(CallError::Refused))),
        ),
    ];
    for (call, inject, expected) in cases {
        let world = world();
        write_records(&world, RECORDS);
        let records = history(&world).records;
        let mut access = TestAccess::new(&world);
        let observed: StoreObservation = observe(&mut access).expect("observed");
        let identity = observed.identity.expect("an identity");
        let generation = Generation::new(identity);
        let guard = Guard::new(generation, observed.revision);
        inject(&mut world.borrow_mut());
        let mut store = |call: &StoreCall| {
            let mut world = world.borrow_mut();
            let now = world.now;
            world.store.call(now, call)
        };
        let result = guard.call(&mut store, &call, |key| records.get(key).is_some());
        match expected {
            Some(expected) => assert_eq!(result, expected, "{call:?}"),
            None => assert!(result.is_ok(), "{call:?}: {result:?}"),
        }
    }
}
