//! The rolling upgrade: controllers of the first version and of this one share store, peers and
//! workers, in all orders of replacement, with troubles between; then the store's limits sink.

use quartzlever_core::Config;
use quartzlever_wire::Json;
use quartzlever_wire::SECOND;
use quartzlever_wire::store::StoreCall;
use quartzlever_wire::store::{CLUSTER_VERSION_KEY, ClusterRecord, Txn};
use quartzlever_wire::users::JobPhase;

use crate::services::service;
use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
/// The coming limit of a value: less than the blocks of machines here take.
const VALUE: usize = 1024;

/// Limits to come, as the settings of both versions name them.
fn coming(config: &mut Config) {
    (config.value_bytes, config.txn_ops, config.store_write_rps) = (VALUE, 8, 60.0);
}

/// Even fewer changes in one transaction than a block of machines needs to be split at once.
fn coming_tight(config: &mut Config) {
    (config.value_bytes, config.txn_ops, config.store_write_rps) = (VALUE, 3, 60.0);
}

/// What happens between two replacements.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Between {
    Nothing,
    /// A node whose turn has not come dies and comes back as it was.
    OldDies,
    /// The node that was replaced last dies again, at once.
    NewDies,
    Outage,
    /// The replaced node loses the store, so that an old one takes its partition.
    NewAlone,
}

pub(crate) fn simulation(seed: u64, tune: fn(&mut Config)) -> Simulation {
    let mut w = Simulation::with(seed, NODES, tune);
    w.cloud.max_machines = 90;
    w.first_version_nodes.extend(0..NODES.len());
    for n in 0..NODES.len() {
        w.kill(n);
        w.start(n);
    }
    w.run(6 * SECOND);
    w.run_time = 12 * SECOND;
    w
}

pub(crate) fn replace(w: &mut Simulation, order: [usize; 3], between: Between) {
    for (turn, n) in order.into_iter().enumerate() {
        w.first_version_nodes.remove(&n);
        w.restart(n, SECOND);
        w.run(3 * SECOND);
        match between {
            Between::Nothing => {}
            Between::OldDies if turn < 2 => w.restart(order[2], 7 * SECOND),
            Between::OldDies => {}
            Between::NewDies => w.restart(n, SECOND / 5),
            Between::Outage => {
                w.store.outage = true;
                w.run(6 * SECOND);
                let now = w.now;
                w.store.end_outage(now);
            }
            Between::NewAlone => {
                w.refused_by_store.insert(n);
                w.run(9 * SECOND);
                w.refused_by_store.clear();
            }
        }
        if turn < 2 {
            w.run(4 * SECOND);
            assert!(w.store.get(CLUSTER_VERSION_KEY).is_none(), "raised before all are new");
        }
    }
}

fn lower_limits(w: &mut Simulation, value: usize, ops: usize) {
    (w.store.value_limit, w.store.ops_limit, w.store.write_rate) = (value, ops, 60.0);
}

#[test]
fn an_upgrade_keeps_every_rule_in_any_order() {
    use Between::*;
    let commands = [[0, 1, 2], [2, 1, 0], [1, 0, 2]];
    for (n, between) in [Nothing, OldDies, NewDies, Outage, NewAlone].into_iter().enumerate() {
        for (k, order) in commands.into_iter().enumerate() {
            let name = format!("{between:?} {order:?}");
            let mut w = simulation(70 + 10 * n as u64 + k as u64, coming);
            for k in 0..10 {
                assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 201, "{name}");
            }
            // A service is not taken while an old controller could not read it.
            let early = w.submit(0, service(50, 2));
            assert_eq!(
                w.wait_for_answer(early, SECOND).map(|a| a.0),
                Some(503),
                "{name}: too early"
            );
            replace(&mut w, order, between);
            w.run_with_lookups(6 * SECOND);
            assert!(w.store.get(CLUSTER_VERSION_KEY).is_some(), "{name}: not raised");
            let before: usize = w.store.keys("hosts/").len();
            // Limits sink at some moment from the raising on.
            w.run(n as u64 * SECOND);
            lower_limits(&mut w, VALUE, 8);
            assert_ne!(w.submit_until_accepted(0, &service(50, 3)), 0, "{name}: a service");
            for k in 20..26 {
                assert_ne!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 0, "{name}");
            }
            assert!(w.cancel_until_confirmed(1, &job(21, 1).id).is_some(), "{name}");
            w.run_with_lookups(150 * SECOND);
            let keys = w.store.keys("hosts/");
            let long =
                keys.iter().filter(|k| w.store.get(k).is_some_and(|(v, _)| v.text().len() > VALUE));
            assert_eq!(long.count(), 0, "{name}: blocks too large, {before} keys before");
            assert!(w.store.too_large < 5, "{name}: {} too large", w.store.too_large);
            w.settle_and_check();
            assert!(w.rules.broken.is_empty(), "{name}: {:?}", &w.rules.broken[..1]);
            for k in (0..10).chain(20..26).filter(|k| *k != 21) {
                assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{name}: {k}");
            }
            assert!(!w.rules.waiting().contains(&"req-000050"), "{name}: the service waits");
        }
    }
}

#[test]
fn large_blocks_are_split_under_any_limit_and_nothing_is_claimed_twice() {
    for (seed, tune, ops) in
        [(1, coming as fn(&mut Config), 8), (2, coming_tight, 3), (3, coming_tight, 3)]
    {
        let mut w = simulation(300 + seed, coming);
        for k in 0..20 {
            assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 201);
        }
        w.run(5 * SECOND);
        let length = |w: &Simulation| {
            let keys = w.store.keys("hosts/");
            keys.iter().filter_map(|k| w.store.get(k)).map(|(v, _)| v.text().len()).max()
        };
        assert!(length(&w) > Some(VALUE), "{seed}: blocks are large before, {:?}", length(&w));
        w.set_config_adjustment(tune);
        replace(&mut w, [0, 1, 2], Between::Nothing);
        for tenths in 0..20 {
            w.run(SECOND / 2);
            if tenths == 10 {
                let (_, leader) = w.busiest_partition();
                w.restart(leader, SECOND / 2);
            }
        }
        lower_limits(&mut w, VALUE, ops);
        w.run_with_lookups(120 * SECOND);
        assert!(length(&w) <= Some(VALUE), "{seed}: {:?} after", length(&w));
        w.settle_and_check();
        assert!(w.rules.broken.is_empty(), "{seed}: {:?}", &w.rules.broken[..1]);
        for k in 0..20 {
            assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{seed}: {k}");
        }
    }
}

#[test]
fn lower_limits_than_the_settings_say_are_met_by_writing_less() {
    // The settings name no limits to come; they sink all the same.
    let mut w = Simulation::new(5, NODES);
    w.run(6 * SECOND);
    w.run_time = 2 * SECOND;
    lower_limits(&mut w, 1024, 4);
    w.store.write_rate = 6.0;
    for k in 0..8 {
        assert_ne!(w.submit_until_accepted(k as usize % 3, &job(k, 40)), 0);
    }
    w.run_with_lookups(200 * SECOND);
    w.settle_and_check();
    assert!(w.rules.broken.is_empty(), "{:?}", &w.rules.broken[..1]);
    for k in 0..8 {
        assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{k}");
    }
    let (large, often) = (w.store.too_large, w.store.too_often);
    assert!(large < 60 && often < 400, "{large} too large, {often} too often: a loop");
}

#[test]
fn a_program_that_is_too_old_says_so() {
    let mut w = Simulation::new(6, NODES);
    w.run(4 * SECOND);
    let txn = Txn::default().write(CLUSTER_VERSION_KEY, Json::of(&ClusterRecord { version: 99 }));
    let now = w.now;
    w.store.call(now, &StoreCall::Txn(txn)).expect("it is up");
    w.restart(0, SECOND);
    w.run(3 * SECOND);
    assert!(
        w.exit_reason.as_ref().is_some_and(|reason| reason.contains("version 99")),
        "{:?}",
        w.exit_reason
    );
}
