//! Announcing, raising, and what waits for it.

use super::{ClusterWrite, VERSION};
use crate::testing::*;
use quartzlever_wire::state::NodeRecord;

fn announce(core: &mut Core, node: &str, version: u32, process: u64, stamp: u64) {
    let v = Json::of(&NodeRecord { version, process });
    let path = format!("cluster/nodes/{node}");
    core.cluster_row(&Row { path, v, stamp, charter: Some(1) });
}

fn held(core: &mut Core, part: &str, node: &str, process: u64, stamp: u64) {
    let record = PartRecord { node: node.into(), process };
    core.cache.parts.insert(part.into(), (record, stamp));
}

fn transactions(core: &mut Core, now: Micros) -> Vec<quartzlever_wire::state::Txn> {
    let effects = core.step(now, Vec::new());
    let txn = |e: Effect| match e {
        Effect::State { call: StateCall::Txn(txn), .. } => Some(txn),
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
    for (n, (version, process, holder, raised)) in [
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
        core.cache.loaded = true;
        let process = (core.process, process);
        held(&mut core, "one", "one", process.0, 5);
        if let Some((node, process)) = holder {
            held(&mut core, "two", node, process, 6);
        }
        // It tells its own version first.
        let first = transactions(&mut core, NOW);
        assert!(first.iter().all(|t| format!("{t:?}").contains("cluster/nodes/one")), "{n}");
        assert_eq!(first.len(), 1, "{n}");
        core.cluster_answered(ClusterWrite::Announce, 1, &Ok(StateReply::Committed(8)));
        announce(&mut core, "one", VERSION, process.0, 8);
        if let Some(version) = version {
            announce(&mut core, "two", version, process.1, 9);
        }
        let then = transactions(&mut core, NOW + 2 * SECOND);
        assert_eq!(then.len(), usize::from(raised), "{n}: {then:?}");
        for txn in &then {
            let stamps: Vec<(&str, u64)> =
                txn.conditions.iter().map(|c| (c.path.as_str(), c.stamp)).collect();
            let two = if holder.is_some() { 6 } else { 0 };
            for condition in [
                (CLUSTER_VERSION, 0),
                ("cluster/nodes/one", 8),
                ("cluster/nodes/two", 9),
                ("parts/one", 5),
                ("parts/two", two),
            ] {
                assert!(stamps.contains(&condition), "{n}: {condition:?} in {stamps:?}");
            }
        }
        // Until the key is seen nothing new is done, and after that it is not raised again.
        assert!(!core.cluster.services(), "{n}");
        core.cluster_row(&raised_version(10));
        assert!(core.cluster.services(), "{n}");
        core.cluster_answered(ClusterWrite::Raise, 1, &Ok(StateReply::Committed(10)));
        assert!(transactions(&mut core, NOW + 5 * SECOND).is_empty(), "{n}");
        // A lower one does not bring it back.
        let v = Json::of(&ClusterRecord { version: 1 });
        core.cluster_row(&Row { path: CLUSTER_VERSION.into(), v, stamp: 11, charter: None });
        assert!(core.cluster.services(), "{n}");
    }
}

/// A process of the first version tells nothing, and one that does not know the cluster's version
/// says so and ends.
#[test]
fn versions_that_do_not_fit_are_told() {
    let mut core = core();
    core.cache.loaded = true;
    core.cfg.version = 1;
    assert!(transactions(&mut core, NOW).is_empty());
    let v = Json::of(&ClusterRecord { version: VERSION + 1 });
    core.cluster_row(&Row { path: CLUSTER_VERSION.into(), v, stamp: 10, charter: None });
    let ends = core.step(NOW + SECOND, Vec::new());
    assert!(ends.iter().any(|e| matches!(e, Effect::End { why } if why.contains("version 3"))));
}

/// A process that has not announced itself acquires nothing, or the others would take it for one of
/// the first version and take its partitions over.
#[test]
fn a_process_announces_itself_before_it_acquires_a_partition() {
    let mut core = core();
    core.cache.loaded = true;
    core.parts.clear();
    let acquires = |effects: &[Effect]| format!("{effects:?}").contains("parts/one");
    let first = core.step(NOW, Vec::new());
    let announces = |e: &&Effect| format!("{e:?}").contains("cluster/nodes/one");
    assert!(first.iter().any(|e| announces(&e)) && !acquires(&first), "{first:?}");
    let Some(Effect::State { token, .. }) = first.iter().find(announces) else { panic!() };
    let committed = Command::State { token: *token, result: Ok(StateReply::Committed(8)) };
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
    for (n, (raised, announced, holder, taken)) in [
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
        core.cache.loaded = true;
        let own = core.process;
        held(&mut core, "one", "one", own, 5);
        announce(&mut core, "one", VERSION, own, 4);
        held(&mut core, "two", "two", holder.0, holder.1);
        if let Some((process, stamp)) = announced {
            announce(&mut core, "two", VERSION, process, stamp);
        }
        if raised {
            core.cluster_row(&raised_version(10));
        }
        let takes = |core: &mut Core, now: Micros| {
            let effects = core.step(now, Vec::new());
            effects.iter().filter(|e| format!("{e:?}").contains("write: \"parts/two\"")).count()
        };
        assert_eq!(takes(&mut core, NOW), usize::from(taken), "{n}");
        assert_eq!(takes(&mut core, NOW + SECOND / 10), 0, "{n}: once");
        core.acquired("two", 1, Ok(StateReply::Committed(30)));
        let alone_from = core.parts["two"].alone_from;
        let later = if taken { core.cfg.operator.lease_life } else { 0 };
        assert_eq!(alone_from, core.now + later, "{n}: the old one may still answer workers");
        core.home_asks("two");
        assert_eq!(core.home_asks.contains_key("two"), !raised || announced.is_some(), "{n}");
    }
}
