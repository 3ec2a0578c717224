//! Rolling upgrades: controllers of the first version and of the current one share the store, peers
//! and workers. They are replaced in several orders with faults in between, then the store's limits
//! drop.

use quartzlever_core::Config;
use quartzlever_wire::Json;
use quartzlever_wire::SECOND;
use quartzlever_wire::store::StoreCall;
use quartzlever_wire::store::{CLUSTER_VERSION_KEY, ClusterVersionRecord, Txn};
use quartzlever_wire::users::JobPhase;

use crate::services::service;
use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
/// The upcoming limit of a value, in bytes. The groups of machines in these tests exceed it.
const VALUE_BYTES: usize = 1024;

/// Sets the upcoming limits, as the settings of both versions declare them.
fn upcoming_limits(config: &mut Config) {
    (config.value_bytes, config.txn_ops, config.store_write_rps) = (VALUE_BYTES, 8, 60.0);
}

/// Sets upcoming limits with fewer changes per transaction than splitting a group of machines in
/// one transaction takes.
fn upcoming_limits_with_small_txns(config: &mut Config) {
    (config.value_bytes, config.txn_ops, config.store_write_rps) = (VALUE_BYTES, 3, 60.0);
}

/// A fault after the replacement of a controller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultBetween {
    Nothing,
    /// The last node to be replaced restarts on the first version.
    OldRestarts,
    /// The node that was just replaced restarts at once.
    NewRestarts,
    /// The store is down for a few seconds.
    Outage,
    /// The store refuses the replaced node, so that one on the first version takes over its
    /// partition.
    NewRefusedByStore,
}

/// Creates a simulation in which all nodes run the first version.
pub(crate) fn first_version_simulation(seed: u64, adjust_config: fn(&mut Config)) -> Simulation {
    let mut w = Simulation::with(seed, NODES, adjust_config);
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

/// Replaces the controllers by the current version in the given order, with a fault after each.
pub(crate) fn replace_controllers(w: &mut Simulation, order: [usize; 3], fault: FaultBetween) {
    for (turn, n) in order.into_iter().enumerate() {
        w.first_version_nodes.remove(&n);
        w.restart(n, SECOND);
        w.run(3 * SECOND);
        match fault {
            FaultBetween::Nothing => {}
            FaultBetween::OldRestarts if turn < 2 => w.restart(order[2], 7 * SECOND),
            FaultBetween::OldRestarts => {}
            FaultBetween::NewRestarts => w.restart(n, SECOND / 5),
            FaultBetween::Outage => {
                w.store.outage = true;
                w.run(6 * SECOND);
                let now = w.now;
                w.store.end_outage(now);
            }
            FaultBetween::NewRefusedByStore => {
                w.refused_by_store.insert(n);
                w.run(9 * SECOND);
                w.refused_by_store.clear();
            }
        }
        if turn < 2 {
            w.run(4 * SECOND);
            assert!(
                w.store.get(CLUSTER_VERSION_KEY).is_none(),
                "the cluster version was raised before all nodes were replaced"
            );
        }
    }
}

fn lower_limits(w: &mut Simulation, value: usize, ops: usize) {
    (w.store.value_limit, w.store.ops_limit, w.store.write_rate) = (value, ops, 60.0);
}

#[test]
fn a_rolling_upgrade_in_any_order_breaks_no_rule() {
    use FaultBetween::*;
    let orders = [[0, 1, 2], [2, 1, 0], [1, 0, 2]];
    for (n, fault) in
        [Nothing, OldRestarts, NewRestarts, Outage, NewRefusedByStore].into_iter().enumerate()
    {
        for (k, order) in orders.into_iter().enumerate() {
            let name = format!("{fault:?} {order:?}");
            let mut w = first_version_simulation(70 + 10 * n as u64 + k as u64, upcoming_limits);
            for k in 0..10 {
                assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 201, "{name}");
            }
            // A service is not accepted while a controller of the first version runs, which cannot
            // read it.
            let early = w.submit(0, service(50, 2));
            assert_eq!(
                w.wait_for_answer(early, SECOND).map(|a| a.0),
                Some(503),
                "{name}: a service before the upgrade"
            );
            replace_controllers(&mut w, order, fault);
            w.run_with_lookups(6 * SECOND);
            assert!(
                w.store.get(CLUSTER_VERSION_KEY).is_some(),
                "{name}: the cluster version was not raised"
            );
            let before: usize = w.store.keys("hosts/").len();
            // The limits drop some seconds after the cluster version was raised.
            w.run(n as u64 * SECOND);
            lower_limits(&mut w, VALUE_BYTES, 8);
            assert_ne!(
                w.submit_until_accepted(0, &service(50, 3)),
                0,
                "{name}: the service got no answer"
            );
            for k in 20..26 {
                assert_ne!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 0, "{name}");
            }
            assert!(w.cancel_until_confirmed(1, &job(21, 1).id).is_some(), "{name}");
            w.run_with_lookups(150 * SECOND);
            let keys = w.store.keys("hosts/");
            let too_long = keys
                .iter()
                .filter(|k| w.store.get(k).is_some_and(|(v, _)| v.text().len() > VALUE_BYTES));
            assert_eq!(too_long.count(), 0, "{name}: groups above the limit, {before} keys before");
            assert!(
                w.store.rejected_too_large < 5,
                "{name}: {} transactions refused for their size",
                w.store.rejected_too_large
            );
            w.settle_and_check();
            assert!(w.rules.violations.is_empty(), "{name}: {:?}", &w.rules.violations[..1]);
            for k in (0..10).chain(20..26).filter(|k| *k != 21) {
                assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{name}: {k}");
            }
            assert!(
                !w.rules.jobs_without_start().contains(&"req-000050"),
                "{name}: the service has not started"
            );
        }
    }
}

#[test]
fn large_machine_groups_are_split_under_any_limit_and_no_machine_is_claimed_twice() {
    for (seed, adjust_config, ops) in [
        (1, upcoming_limits as fn(&mut Config), 8),
        (2, upcoming_limits_with_small_txns, 3),
        (3, upcoming_limits_with_small_txns, 3),
    ] {
        let mut w = first_version_simulation(300 + seed, upcoming_limits);
        for k in 0..20 {
            assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 201);
        }
        w.run(5 * SECOND);
        let longest_group = |w: &Simulation| {
            let keys = w.store.keys("hosts/");
            keys.iter().filter_map(|k| w.store.get(k)).map(|(v, _)| v.text().len()).max()
        };
        assert!(
            longest_group(&w) > Some(VALUE_BYTES),
            "{seed}: the longest group has {:?} bytes before the limits drop",
            longest_group(&w)
        );
        w.set_config_adjustment(adjust_config);
        replace_controllers(&mut w, [0, 1, 2], FaultBetween::Nothing);
        for half_second in 0..20 {
            w.run(SECOND / 2);
            if half_second == 10 {
                let (_, leader) = w.busiest_partition();
                w.restart(leader, SECOND / 2);
            }
        }
        lower_limits(&mut w, VALUE_BYTES, ops);
        w.run_with_lookups(120 * SECOND);
        assert!(
            longest_group(&w) <= Some(VALUE_BYTES),
            "{seed}: the longest group has {:?} bytes after the limits have dropped",
            longest_group(&w)
        );
        w.settle_and_check();
        assert!(w.rules.violations.is_empty(), "{seed}: {:?}", &w.rules.violations[..1]);
        for k in 0..20 {
            assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{seed}: {k}");
        }
    }
}

#[test]
fn undeclared_lower_limits_cause_no_retry_loop() {
    // The settings declare no upcoming limits, but the limits drop.
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
    assert!(w.rules.violations.is_empty(), "{:?}", &w.rules.violations[..1]);
    for k in 0..8 {
        assert_eq!(w.final_phase(&job(k, 1).id), Some(JobPhase::Done), "{k}");
    }
    let (too_large, too_often) = (w.store.rejected_too_large, w.store.rejected_throttled);
    assert!(
        too_large < 60 && too_often < 400,
        "{too_large} transactions refused for their size, {too_often} for their rate: a retry loop"
    );
}

#[test]
fn a_controller_that_is_too_old_for_the_cluster_exits_with_the_version() {
    let mut w = Simulation::new(6, NODES);
    w.run(4 * SECOND);
    let txn =
        Txn::default().write(CLUSTER_VERSION_KEY, Json::of(&ClusterVersionRecord { version: 99 }));
    let now = w.now;
    w.store.call(now, &StoreCall::Txn(txn)).expect("the store is up");
    w.restart(0, SECOND);
    w.run(3 * SECOND);
    assert!(
        w.exit_reason.as_ref().is_some_and(|reason| reason.contains("version 99")),
        "{:?}",
        w.exit_reason
    );
}
