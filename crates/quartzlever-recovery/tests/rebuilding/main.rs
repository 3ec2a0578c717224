//! From a store that has lost data to one that may be worked with, whatever fails on the way.

mod world;

use quartzlever_recovery::detection::Loss;
use quartzlever_recovery::generation::Generation;
use quartzlever_recovery::guard::{Guard, GuardError};
use quartzlever_recovery::identity::{
    CANDIDATE_PREFIX, Candidate, IDENTITY_KEY, LOCK_KEY, Lock, Observed, PENDING_FINAL_STATES_KEY,
    WITNESS_PREFIX,
};
use quartzlever_recovery::picture::{KeyChange, Update};
use quartzlever_recovery::rebuild::{RebuildError, observe, restore_final_states};
use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, SECOND};

use world::{Access, START, Shared, WORKER_LEASE, fill, history, local, opened, settings, start};
use world::{values, world};

const RECORDS: &[(&str, &str)] = &[
    ("cluster/version", r#"{"version":2}"#),
    ("hosts/n~0", r#"{"m":{}}"#),
    ("live/req-1", r#"{"a":1}"#),
    ("live/req-2", r#"{"a":2}"#),
    ("over/req-3", r#"{"phase":"done","done":1}"#),
    ("over/req-4", r#"{"phase":"aborted","done":0}"#),
];

/// The other controllers have announced themselves, with nothing beyond what is known to all.
fn announce_others(world: &Shared) {
    announce(world, &["two", "three"]);
}

fn announce(world: &Shared, nodes: &[&str]) {
    announce_with_extras(world, nodes, Some(0));
}

fn announce_with_extras(world: &Shared, nodes: &[&str], extras_after: Option<u64>) {
    let now = world.borrow().now;
    for node in nodes {
        let candidate = Candidate {
            generation: Some(0),
            revision: 0,
            complete_to: u64::MAX >> 4,
            extras_after,
            proven: true,
        };
        let txn = Txn::default().write(format!("{CANDIDATE_PREFIX}{node}"), Json::of(&candidate));
        world.borrow_mut().store.call(now, &StoreCall::Txn(txn)).expect("written");
    }
}

/// A rebuild that ends at any call leaves the store as lost as it was, or rebuilt in full; the next
/// controller goes on from there.
#[test]
fn a_rebuild_may_end_at_any_call() {
    let mut killed = 0;
    for call in 1.. {
        let world = world();
        fill(&world, RECORDS);
        let history = history(&world);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut first = Access::new(&world);
        first.killed_at = Some(call);
        if start(&mut first, &settings("one", 1), &local(&history)).is_some() {
            break;
        }
        killed += 1;
        // The store may lose everything once more meanwhile.
        if call % 3 == 0 {
            world.borrow_mut().store.wipe();
            announce_others(&world);
        }
        let mut second = Access::new(&world);
        let result = start(&mut second, &settings("one", 2), &local(&history));
        let opened = result.expect("not killed").expect("opened");
        assert_eq!(values(&opened.picture), RECORDS.to_vec(), "killed at call {call}");
        assert!(opened.generation.identity.generation > 0, "killed at call {call}");
    }
    assert!(killed > 10, "{killed}");
}

/// Tokens and attempts are made of revisions: workers drop what is lower than they have seen.
#[test]
fn revisions_never_sink_and_nothing_of_an_earlier_generation_comes_into_force() {
    let world = world();
    fill(&world, RECORDS);
    let mut history = history(&world);
    let mut seen = history.picture.newest();
    let mut late: Vec<StoreCall> = Vec::new();
    for round in 1..4 {
        // Decided before the loss, at whatever modification revisions: those of the next line are as small.
        for (identity, record) in (1..30).flat_map(|i| (1..30).map(move |r| (i, r))) {
            let known = history.identity.clone();
            let generation = Generation { identity: known, mod_revision: identity };
            let mod_revision = generation.revision(record);
            let txn =
                Txn::default().if_mod_revision("live/req-1", mod_revision).delete("live/req-1");
            late.push(generation.to_store(&StoreCall::Txn(txn)));
        }
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let opened = opened(&world, "one", &local(&history));
        assert_eq!(opened.generation.identity.generation, round);
        assert!(opened.picture.revision() > seen + 1_000_000, "{round}");
        let oldest = opened.picture.rows().values().map(|r| r.mod_revision).min();
        assert!(oldest > Some(seen), "{round}: {oldest:?}, {seen}");
        for call in &late {
            let now = world.borrow().now;
            let reply = world.borrow_mut().store.call(now, call);
            assert!(matches!(reply, Ok(StoreReply::Conflict(_))), "{round}: {call:?} {reply:?}");
        }
        seen = opened.picture.newest();
        history.identity = opened.generation.identity.clone();
        history.picture = opened.picture;
        history.wall = world.borrow().now;
    }
}

/// Where the log may lack what was done last, no order leaves before every worker's lease has ended.
#[test]
fn an_unproven_log_waits_out_the_workers() {
    // (mark, age of the log, whole, controllers that were up and are away, waits)
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
        fill(&world, RECORDS);
        let mut history = history(&world);
        for node in *up {
            let change = KeyChange {
                key: format!("cluster/nodes/{node}"),
                mod_revision: history.picture.newest() + 1,
                value: Some(r#"{"version":2,"process":1}"#.into()),
            };
            history.picture.apply(Update { changes: vec![change], complete_to: None });
        }
        (history.wall, history.is_complete) = (START - age, *is_complete);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut local = local(&history);
        local.marked = *marked;
        let opened = opened(&world, "one", &local);
        let took = world.borrow().now - START;
        assert_eq!(took > WORKER_LEASE, *waits, "{marked} {age} {is_complete} {up:?}: {took}");
        // A controller that was up and is away may alone know of some jobs.
        assert_eq!(opened.lacks_jobs, up.contains(&"four"), "{up:?}");
    }
}

/// Each candidate may alone know of a change that it has made just before the loss.
#[test]
fn the_last_changes_of_all_candidates_are_in_the_records() {
    let world = world();
    fill(&world, RECORDS);
    let history = history(&world);
    world.borrow_mut().store.wipe();
    let newest = history.picture.newest();
    // Longer than a value of the store, with characters that no piece may cut or escape wrongly.
    let long = format!(r#"{{"a":"{}"}}"#, r#"\"é"#.repeat(300));
    let known_to = |changes: Vec<(&str, Option<&str>, u64)>| {
        let mut history = history.clone();
        let changes = changes.into_iter().map(|(key, value, after)| KeyChange {
            key: key.into(),
            mod_revision: newest + after,
            value: value.map(str::to_owned),
        });
        history.picture.apply(Update { changes: changes.collect(), complete_to: None });
        local(&history)
    };
    let one = known_to(vec![("live/req-5", Some(&long), 3), ("over/req-7", Some("{}"), 3)]);
    let two = known_to(vec![("live/req-1", None, 2), ("over/req-1", Some("{}"), 2)]);
    // Both announce themselves, and one of them tells the other of its last changes; then the one that
    // knows the latest rebuilds.
    announce(&world, &["three"]);
    for (node, local, killed_at) in [("one", &one, 4), ("two", &two, 12)] {
        let mut access = Access::new(&world);
        access.killed_at = Some(killed_at);
        assert!(start(&mut access, &settings(node, 1), local).is_none(), "{node}");
    }
    let opened = opened(&world, "one", &one);
    let mut expected = RECORDS.to_vec();
    expected.retain(|(key, _)| *key != "live/req-1");
    expected.extend([("live/req-5", long.as_str()), ("over/req-1", "{}"), ("over/req-7", "{}")]);
    expected.sort();
    // Final states that a candidate did not know are not left to be written later: it would answer by what it
    // knows. A controller whose disk had been full called a job running that was done.
    let in_store = world.borrow().store.keys("generation/");
    for (job, there) in [("req-1", true), ("req-7", true), ("req-3", false)] {
        let found = in_store.iter().any(|key| key.ends_with(&format!("/over/{job}")));
        assert_eq!(found, there, "{job}: {in_store:?}");
    }
    assert_eq!(values(&opened.picture), expected, "{:#?}", world.borrow().events);
}

/// A controller that has lost the lock makes nothing the next generation, at whatever step it was.
#[test]
fn who_has_lost_the_lock_rebuilds_nothing() {
    let mut overtaken = 0;
    for pause in 1..30 {
        let world = world();
        fill(&world, RECORDS);
        let history = history(&world);
        world.borrow_mut().store.wipe();
        announce_others(&world);
        let mut access = Access::new(&world);
        access.killed_at = Some(100);
        access.later = Some((pause, |w| {
            let lock = Lock { node: "two".into(), process: 9 };
            let txn =
                Txn::default().write(LOCK_KEY, Json::of(&lock)).write("overtaken", Json::of(&1));
            w.store.call(w.now, &StoreCall::Txn(txn)).expect("written");
        }));
        start(&mut access, &settings("one", 1), &local(&history));
        let world = world.borrow();
        let mod_revision = |key: &str| world.store.get(key).map(|(_, mod_revision)| mod_revision);
        match (mod_revision(IDENTITY_KEY), mod_revision("overtaken")) {
            (Some(rebuilt), Some(lost)) => assert!(rebuilt < lost, "pause {pause}"),
            (Some(_), None) => {}
            (None, _) => overtaken += 1,
        }
    }
    assert!((1..29).contains(&overtaken), "{overtaken}");
}

/// Final states need not be written before the next generation serves: who knew them has them at hand, and
/// who knows none waits until they are written.
#[test]
fn final_states_are_inherited_and_written_later() {
    let world = world();
    fill(&world, RECORDS);
    let known = history(&world);
    world.borrow_mut().store.wipe();
    announce_others(&world);
    let opened = opened(&world, "one", &local(&known));
    let (generation, base) = (&opened.generation, opened.generation.identity.base);
    let in_store = |world: &Shared| world.borrow().store.keys("generation/").len();
    assert_eq!(values(&opened.picture), RECORDS.to_vec());
    assert_eq!(in_store(&world), RECORDS.len() - 2, "all but the final states");

    let waits = |world: &Shared| {
        let mut access = Access::new(world);
        access.killed_at = Some(30);
        start(&mut access, &settings("two", 1), &Default::default()).is_none()
    };
    assert!(waits(&world), "a controller without a history");
    let carried_over: Vec<_> =
        opened.picture.carried_over(base, "").map(|(k, r)| (k.clone(), r.clone())).collect();
    assert_eq!(carried_over.len(), 2);
    // Two controllers write them; one that comes later changes nothing.
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
    assert!(!waits(&world), "all are there");
}

/// Nothing is rebuilt before a candidate that is there has told of its last changes.
#[test]
fn the_last_changes_of_a_candidate_are_awaited() {
    let world = world();
    fill(&world, RECORDS);
    let history = history(&world);
    world.borrow_mut().store.wipe();
    announce(&world, &["three"]);
    announce_with_extras(&world, &["two"], None);
    let mut access = Access::new(&world);
    access.killed_at = Some(100);
    assert!(start(&mut access, &settings("one", 1), &local(&history)).is_none());
    assert!(world.borrow().store.get(IDENTITY_KEY).is_none(), "rebuilt without them");
    announce(&world, &["two"]);
    let opened = opened(&world, "one", &local(&history));
    assert_eq!(values(&opened.picture), RECORDS.to_vec());
}

/// A controller that was away during the rebuild hands in the jobs that it alone knows.
#[test]
fn a_controller_that_comes_back_contributes_what_it_alone_knows() {
    let world = world();
    fill(&world, RECORDS);
    let before = history(&world);
    let now = world.borrow().now;
    let txn = Txn::default()
        .write("live/req-6", Json::from_text("{}").expect("JSON"))
        .delete("live/req-2")
        .write("over/req-2", Json::from_text("{}").expect("JSON"));
    world.borrow_mut().store.call(now, &StoreCall::Txn(txn)).expect("written");
    let away = history(&world);
    world.borrow_mut().store.wipe();
    announce_others(&world);
    let rebuilt = opened(&world, "one", &local(&before));
    assert!(rebuilt.picture.get("live/req-2").is_some(), "not known yet");
    let back = opened(&world, "two", &local(&away));
    assert_eq!(back.generation, rebuilt.generation, "nothing is rebuilt again");
    for (key, there) in [("live/req-2", false), ("over/req-2", true), ("live/req-6", true)] {
        assert_eq!(back.picture.get(key).is_some(), there, "{key}");
    }
}

/// A controller without a history says so: it cannot tell a record that is lost from one that never was, and
/// answered 404 about a job that was done.
#[test]
fn a_controller_without_a_history_is_to_be_vouched_for() {
    let world = world();
    fill(&world, RECORDS);
    let history = history(&world);
    assert!(opened(&world, "two", &Default::default()).lacks_jobs);
    assert!(opened(&world, "two", &local(&history)).lacks_jobs, "started again, unvouched");
    assert!(!opened(&world, "one", &local(&history)).lacks_jobs);
}

/// What a controller finds at its start, and whether it rebuilds.
#[test]
fn only_what_the_store_shows_is_taken_for_a_loss() {
    let write = |w: &mut world::World, key: &str, value: &str| {
        let txn = Txn::default().write(key, Json::from_text(value).expect("JSON"));
        w.store.call(START, &StoreCall::Txn(txn)).expect("written");
    };
    /// What befalls the store, and the generation that serves then.
    type Case = (&'static str, fn(&mut world::World), u32);
    let cases: &[Case] = &[
        ("nothing", |_| {}, 0),
        ("an outage", |w| w.store.outage = true, 0),
        ("an identity that is gone", |w| w.store.lose(|key| key == IDENTITY_KEY), 1),
        ("a final state that is gone", |w| w.store.lose(|key| key == "over/req-3"), 1),
        ("a job that is gone", |w| w.store.lose(|key| key == "live/req-1"), 1),
        ("the cluster's version that is gone", |w| w.store.lose(|k| k == "cluster/version"), 1),
        ("machines that were returned", |w| w.store.lose(|key| key.starts_with("hosts/")), 0),
        ("everything gone", |w| w.store.wipe(), 1),
        ("a witness that went back", |w| w.store.lose(|key| key.starts_with(WITNESS_PREFIX)), 1),
    ];
    for (what, injects, generation) in cases {
        let world = world();
        fill(&world, RECORDS);
        write(&mut world.borrow_mut(), &format!("{WITNESS_PREFIX}one"), r#"{"count":7}"#);
        let mut history = history(&world);
        history.witness = 7;
        injects(&mut world.borrow_mut());
        if !world.borrow().store.outage {
            announce_others(&world);
        }
        let mut access = Access::new(&world);
        access.later = Some((20, |w| w.store.end_outage(w.now)));
        let result = start(&mut access, &settings("one", 1), &local(&history));
        let opened = result.expect("not killed").expect("opened");
        assert_eq!(opened.generation.identity.generation, *generation, "{what}");
        let lost_machines = what.starts_with("machines");
        let kept = RECORDS.iter().filter(|(key, _)| !lost_machines || !key.starts_with("hosts"));
        let expected: Vec<_> = kept.copied().collect();
        assert_eq!(values(&opened.picture), expected, "{what}");
    }
}

/// The first start founds a cluster only when all controllers say that they know of none: one whose
/// directory is empty may have been away when everything was lost.
#[test]
fn a_cluster_is_founded_by_all_controllers_together() {
    let world = world();
    let mut access = Access::new(&world);
    access.killed_at = Some(60);
    assert!(start(&mut access, &settings("one", 1), &Default::default()).is_none());
    assert!(world.borrow().store.get(IDENTITY_KEY).is_none(), "founded alone");
    for node in ["three", "two"] {
        let mut access = Access::new(&world);
        access.killed_at = Some(6);
        assert!(start(&mut access, &settings(node, 1), &Default::default()).is_none());
    }
    let founded = opened(&world, "one", &Default::default());
    assert_eq!(founded.generation.identity.generation, 0);

    let foreign = local(&{
        let mut history = history(&world);
        history.identity.cluster = "another".into();
        history
    });
    let mut access = Access::new(&world);
    let refused = start(&mut access, &settings("two", 1), &foreign);
    assert_eq!(refused, Some(Err(RebuildError::ForeignCluster)));
}

/// Answers of a store that has lost data reach nobody; a loss is not made of refusals.
#[test]
fn no_answer_of_a_store_that_lost_data_counts() {
    let lost = |loss| Err(GuardError::Lost(loss));
    let gone = || lost(Loss::IdentityGone);
    let absent = "over/req-9".to_owned();
    let txn = Txn::default().if_mod_revision("over/req-9", 0).write("over/req-9", Json::of(&1));
    /// A call, what befalls the store before it, and what becomes of it; None for an answer.
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
            |w| w.store.lose(|key| key == "over/req-3"),
            Some(Err(GuardError::Suspect)),
        ),
        (StoreCall::Revision, wipe, Some(gone())),
        (StoreCall::Grant { life_ms: 1000 }, wipe, Some(gone())),
        // Whoever held that lease then: a store that begins again grants its number anew.
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
    for (call, injects, expected) in cases {
        let world = world();
        fill(&world, RECORDS);
        let picture = history(&world).picture;
        let mut access = Access::new(&world);
        let observed: Observed = observe(&mut access).expect("observed");
        let identity = observed.identity.expect("an identity");
        let generation = Generation::new(identity);
        let guard = Guard::new(generation, observed.revision);
        injects(&mut world.borrow_mut());
        let mut store = |call: &StoreCall| {
            let mut world = world.borrow_mut();
            let now = world.now;
            world.store.call(now, call)
        };
        let result = guard.call(&mut store, &call, |key| picture.get(key).is_some());
        match expected {
            Some(expected) => assert_eq!(result, expected, "{call:?}"),
            None => assert!(result.is_ok(), "{call:?}: {result:?}"),
        }
    }
}
