//! Tests of the announcement and raise of versions, and of what depends on the raise.

use super::{ClusterWrite, VERSION};
use crate::testing::*;
use quartzlever_wire::store::NodeRecord;

/// Applies the record in which a process announces its version, as if read from the store.
fn announce(core: &mut Core, node: &str, version: u32, process: u64, mod_revision: u64) {
    let v = Json::of(&NodeRecord { version, process });
    let path = format!("cluster/nodes/{node}");
    core.apply_cluster_record(&KeyValue { key: path, value: v, mod_revision, lease_id: Some(1) });
}

/// Records a leader of a partition in the cache.
fn record_leader(core: &mut Core, partition: &str, node: &str, process: u64, mod_revision: u64) {
    let record = PartitionRecord { node: node.into(), process };
    core.cache.record_partition(partition, record, mod_revision);
}

/// Returns the transactions of one step that change keys of the cluster.
fn cluster_transactions(core: &mut Core, now: Micros) -> Vec<quartzlever_wire::store::Txn> {
    let effects = core.step(now, Vec::new());
    let txn = |e: Effect| match e {
        Effect::Store { call: StoreCall::Txn(txn), .. } => Some(txn),
        _ => None,
    };
    let all = effects.into_iter().filter_map(txn);
    all.filter(|t| t.changes.iter().any(|c| format!("{c:?}").contains("cluster/"))).collect()
}

/// The cluster version must not rise before every controller has announced it, nor while a process
/// that has not announced itself holds a partition: a late write of that process could still take
/// effect.
#[test]
fn the_cluster_version_rises_once_after_every_controller_has_announced_it() {
    // (version that node two announces, its announced process, leader of partition two, raised)
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
        record_leader(&mut core, "one", "one", process.0, 5);
        if let Some((node, process)) = leader {
            record_leader(&mut core, "two", node, process, 6);
        }
        // The process announces its own version first.
        let first = cluster_transactions(&mut core, NOW);
        assert!(first.iter().all(|t| format!("{t:?}").contains("cluster/nodes/one")), "{n}");
        assert_eq!(first.len(), 1, "{n}");
        core.cluster_write_replied(ClusterWrite::AnnounceVersion, 1, &Ok(StoreReply::Committed(8)));
        announce(&mut core, "one", VERSION, process.0, 8);
        if let Some(version) = version {
            announce(&mut core, "two", version, process.1, 9);
        }
        let then = cluster_transactions(&mut core, NOW + 2 * SECOND);
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
        // New features stay off until the key is seen, and after that it is not written again.
        assert!(!core.cluster.supports_services(), "{n}");
        core.apply_cluster_record(&raised_version(10));
        assert!(core.cluster.supports_services(), "{n}");
        core.cluster_write_replied(ClusterWrite::RaiseVersion, 1, &Ok(StoreReply::Committed(10)));
        assert!(cluster_transactions(&mut core, NOW + 5 * SECOND).is_empty(), "{n}");
        // A lower version does not lower the cluster version.
        let v = Json::of(&ClusterVersionRecord { version: 1 });
        core.apply_cluster_record(&KeyValue {
            key: CLUSTER_VERSION_KEY.into(),
            value: v,
            mod_revision: 11,
            lease_id: None,
        });
        assert!(core.cluster.supports_services(), "{n}");
    }
}

/// A process of version 1 writes no announcement. A process that does not know the cluster version
/// terminates with a reason that names the version.
#[test]
fn version_1_is_not_announced_and_an_unknown_cluster_version_terminates_the_process() {
    let mut core = core();
    core.cache.set_loaded(true);
    core.config.version = 1;
    assert!(cluster_transactions(&mut core, NOW).is_empty());
    let v = Json::of(&ClusterVersionRecord { version: VERSION + 1 });
    core.apply_cluster_record(&KeyValue {
        key: CLUSTER_VERSION_KEY.into(),
        value: v,
        mod_revision: 10,
        lease_id: None,
    });
    let effects = core.step(NOW + SECOND, Vec::new());
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Terminate { reason } if reason.contains("version 3")))
    );
}

/// A process that has not announced itself must not acquire a partition: the other controllers
/// would treat it as a process of version 1 and take its partitions over.
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
    // The announcement ends with the lease.
    core.lease_ended(1);
    assert!(!core.has_announced());
}

/// After the raise the other controllers take over, once, what a process of version 1 has acquired,
/// and hand nothing back to such a process. A partition still held by a node's former process is
/// left to the node's next process, which has announced itself.
#[test]
fn after_the_raise_a_process_of_an_earlier_version_keeps_no_partition() {
    // (raised, process announced by node two and its revision, process and revision of the leader
    // of partition two, taken over)
    for (n, (raised, announced, leader, taken_over)) in [
        (true, None, (22, 20), true),
        // The node's previous process, of this version, announced itself before the one of version
        // 1 acquired the partition.
        (true, Some((21, 15)), (22, 20), true),
        (true, Some((22, 15)), (22, 20), false),
        // The key still names the node's former process; the next one has announced itself.
        (true, Some((23, 25)), (22, 20), false),
        (false, None, (22, 20), false),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        core.cache.set_loaded(true);
        let own = core.process;
        record_leader(&mut core, "one", "one", own, 5);
        announce(&mut core, "one", VERSION, own, 4);
        record_leader(&mut core, "two", "two", leader.0, leader.1);
        if let Some((process, mod_revision)) = announced {
            announce(&mut core, "two", VERSION, process, mod_revision);
        }
        if raised {
            core.apply_cluster_record(&raised_version(10));
        }
        let takeovers = |core: &mut Core, now: Micros| {
            let effects = core.step(now, Vec::new());
            effects.iter().filter(|e| format!("{e:?}").contains("write: \"parts/two\"")).count()
        };
        assert_eq!(takeovers(&mut core, NOW), usize::from(taken_over), "{n}");
        assert_eq!(takeovers(&mut core, NOW + SECOND / 10), 0, "{n}: once");
        core.acquire_replied("two", 1, &Ok(StoreReply::Committed(30)));
        let sole_leader_from = core.partitions["two"].sole_leader_from;
        let later = if taken_over { core.config.operator.lease_lifetime } else { 0 };
        assert_eq!(
            sole_leader_from,
            core.now + later,
            "{n}: the earlier leader may still answer workers"
        );
        core.handback_requested("two");
        assert_eq!(
            core.partition_keys.has_handback_request("two"),
            !raised || announced.is_some(),
            "{n}"
        );
    }
}
