//! Announcing, raising, and what waits for it.

use super::{ClusterWrite, VERSION};
use crate::testing::*;
use quartzlever_wire::store::NodeRecord;

fn announce(core: &mut Core, node: &str, version: u32, process: u64, mod_revision: u64) {
    let v = Json::of(&NodeRecord { version, process });
    let path = format!("cluster/nodes/{node}");
    core.apply_cluster_record(&KeyValue { key: path, value: v, mod_revision, lease_id: Some(1) });
}

fn held(core: &mut Core, partition: &str, node: &str, process: u64, mod_revision: u64) {
    let record = PartitionRecord { node: node.into(), process };
    core.cache.record_partition(partition, record, mod_revision);
}

fn transactions(core: &mut Core, now: Micros) -> Vec<quartzlever_wire::store::Txn> {
    let effects = core.step(now, Vec::new());
    let txn = |e: Effect| match e {
        Effect::Store { call: StoreCall::Txn(txn), .. } => Some(txn),
        _ => None,
    };
    let all = effects.into_iter().filter_map(txn);
    all.filter(|t| t.changes.iter().any(|c| format!("{c:?}").contains("cluster/"))).collect()
}

/// The cluster version rises only when every controller has announced it, and when no partition is
/// held by a process that has not: a late write of such a one could still come into force.
#[test]
fn the_cluster_version_rises_once_when_all_are_new() {
    // (version of two, process of two that announced, who holds its partition, raised)
    for (n, (version, process, leader, raised)) in [
        (Some(VERSION), 22, Some(("two", 22)), true),
        (Some(VERSION), 22, None, true),
        (None, 22, Some(("two", 22)), false),
        (Some(1), 22, Some(("two", 22)), false),
        (Some(VERSION), 22, Some(("two", 21)), false),
        (Some(VERSION), 22, Some(("gone", 22)), false),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        core.cache.set_loaded(true);
        let process = (core.process, process);
        held(&mut core, "one", "one", process.0, 5);
        if let Some((node, process)) = leader {
            held(&mut core, "two", node, process, 6);
        }
        // It tells its own version first.
        let first = transactions(&mut core, NOW);
        assert!(first.iter().all(|t| format!("{t:?}").contains("cluster/nodes/one")), "{n}");
        assert_eq!(first.len(), 1, "{n}");
        core.cluster_answered(ClusterWrite::AnnounceVersion, 1, &Ok(StoreReply::Committed(8)));
        announce(&mut core, "one", VERSION, process.0, 8);
        if let Some(version) = version {
            announce(&mut core, "two", version, process.1, 9);
        }
        let then = transactions(&mut core, NOW + 2 * SECOND);
        assert_eq!(then.len(), usize::from(raised), "{n}: {then:?}");
        for txn in &then {
            let mod_revisions: Vec<(&str, u64)> =
                txn.conditions.iter().map(|c| (c.path.as_str(), c.mod_revision)).collect();
            let two = if leader.is_some() { 6 } else { 0 };
            for condition in [
                (CLUSTER_VERSION_KEY, 0),
                ("cluster/nodes/one", 8),
                ("cluster/nodes/two", 9),
                ("parts/one", 5),
                ("parts/two", two),
            ] {
                assert!(
                    mod_revisions.contains(&condition),
                    "{n}: {condition:?} in {mod_revisions:?}"
                );
            }
        }
        // Until the key is seen nothing new is done, and after that it is not raised again.
        assert!(!core.cluster.services(), "{n}");
        core.apply_cluster_record(&raised_version(10));
        assert!(core.cluster.services(), "{n}");
        core.cluster_answered(ClusterWrite::RaiseVersion, 1, &Ok(StoreReply::Committed(10)));
        assert!(transactions(&mut core, NOW + 5 * SECOND).is_empty(), "{n}");
        // A lower one does not bring it back.
        let v = Json::of(&ClusterRecord { version: 1 });
        core.apply_cluster_record(&KeyValue {
            key: CLUSTER_VERSION_KEY.into(),
            value: v,
            mod_revision: 11,
            lease_id: None,
        });
        assert!(core.cluster.services(), "{n}");
    }
}

/// A process of the first version tells nothing, and one that does not know the cluster's version
/// says so and ends.
#[test]
fn versions_that_do_not_fit_are_told() {
    let mut core = core();
    core.cache.set_loaded(true);
    core.config.version = 1;
    assert!(transactions(&mut core, NOW).is_empty());
    let v = Json::of(&ClusterRecord { version: VERSION + 1 });
    core.apply_cluster_record(&KeyValue {
        key: CLUSTER_VERSION_KEY.into(),
        value: v,
        mod_revision: 10,
        lease_id: None,
    });
    let ends = core.step(NOW + SECOND, Vec::new());
    assert!(
        ends.iter()
            .any(|e| matches!(e, Effect::Terminate { reason } if reason.contains("version 3")))
    );
}

/// A process that has not announced itself acquires nothing, or the others would take it for one of
/// the first version and take its partitions over.
#[test]
fn a_process_announces_itself_before_it_acquires_a_partition() {
    let mut core = core();
    core.cache.set_loaded(true);
    core.partitions.clear();
    let acquires = |effects: &[Effect]| format!("{effects:?}").contains("parts/one");
    let first = core.step(NOW, Vec::new());
    let announces = |e: &&Effect| format!("{e:?}").contains("cluster/nodes/one");
    assert!(first.iter().any(|e| announces(&e)) && !acquires(&first), "{first:?}");
    let Some(Effect::Store { call_id, .. }) = first.iter().find(announces) else { panic!() };
    let committed = Command::StoreReply { call_id: *call_id, result: Ok(StoreReply::Committed(8)) };
    assert!(acquires(&core.step(NOW + SECOND / 100, vec![committed])));
    // With the lease the announcement is gone too.
    core.lease_ended(1);
    assert!(!core.has_announced());
}

/// After the raise the others take over what a process of the first version has acquired, once; it
/// is never handed back to one. A process that is about to follow its own former one is left alone.
#[test]
fn after_the_raise_an_old_process_holds_nothing() {
    // (raised, who announced at node two and when, who holds its partition since when, taken over)
    for (n, (raised, announced, leader, taken)) in [
        (true, None, (22, 20), true),
        // Its predecessor, of this version, had announced itself before the old one came.
        (true, Some((21, 15)), (22, 20), true),
        (true, Some((22, 15)), (22, 20), false),
        // The partition is still that of the former process; the next has announced itself.
        (true, Some((23, 25)), (22, 20), false),
        (false, None, (22, 20), false),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        core.cache.set_loaded(true);
        let own = core.process;
        held(&mut core, "one", "one", own, 5);
        announce(&mut core, "one", VERSION, own, 4);
        held(&mut core, "two", "two", leader.0, leader.1);
        if let Some((process, mod_revision)) = announced {
            announce(&mut core, "two", VERSION, process, mod_revision);
        }
        if raised {
            core.apply_cluster_record(&raised_version(10));
        }
        let takes = |core: &mut Core, now: Micros| {
            let effects = core.step(now, Vec::new());
            effects.iter().filter(|e| format!("{e:?}").contains("write: \"parts/two\"")).count()
        };
        assert_eq!(takes(&mut core, NOW), usize::from(taken), "{n}");
        assert_eq!(takes(&mut core, NOW + SECOND / 10), 0, "{n}: once");
        core.acquired("two", 1, &Ok(StoreReply::Committed(30)));
        let sole_leader_from = core.partitions["two"].sole_leader_from;
        let later = if taken { core.config.operator.lease_life } else { 0 };
        assert_eq!(sole_leader_from, core.now + later, "{n}: the old one may still answer workers");
        core.handback_requested("two");
        assert_eq!(core.partition_keys.is_asked_for("two"), !raised || announced.is_some(), "{n}");
    }
}
