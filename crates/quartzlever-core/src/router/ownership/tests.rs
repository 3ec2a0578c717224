//! Tests claims of machines, through the whole controller.

use super::*;
use crate::testing::*;
use quartzlever_wire::store::{
    Change as StoreChange, GROUP_SIZE_KEY, GroupSizeRecord, MachineGroupRecord,
};

#[test]
fn a_group_write_of_unknown_outcome_claims_once() {
    // (reply to the write, the group that is read back afterwards, final number of machines)
    let group = |names: &[&str]| {
        let record = |n: &&str| {
            let mut record = core().partitions["one"].machines["n-1"].record.clone();
            record.address = format!("{n}:9000");
            ((*n).to_owned(), record)
        };
        serde_json::json!(MachineGroupRecord { machines: names.iter().map(record).collect() })
    };
    for (name, reply, found, machines) in [
        ("committed", Ok(StoreReply::Committed(20)), None, 2),
        ("unknown, and it was applied", Err(CallError::Unknown), Some(group(&["n-9"])), 2),
        ("unknown, and it was not applied", Err(CallError::Unknown), Some(group(&["n-8"])), 3),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.lease.renew_at(NOW + 900 * SECOND);
        core.request_ownership(
            1,
            heartbeat_from("n-9", 1, 1, 0, &[]),
            PartitionTerm { partition: "one".into(), term: 5 },
        );
        let txn = |effects: &[Effect]| {
            effects.iter().find_map(|e| match e {
                Effect::Store { call_id, call: StoreCall::Txn(txn), .. }
                    if txn.conditions.iter().any(|c| c.path.starts_with("hosts/")) =>
                {
                    Some(*call_id)
                }
                _ => None,
            })
        };
        let Some(call_id) = txn(&core.step(NOW + SECOND, Vec::new())) else { panic!("{name}") };
        let effects = core.step(NOW + SECOND, vec![Command::StoreReply { call_id, result: reply }]);
        if let Some(value) = found {
            let call_id = effects.iter().find_map(|e| match e {
                Effect::Store { call_id, call: StoreCall::Get(_), .. } => Some(*call_id),
                _ => None,
            });
            let Some(call_id) = call_id else { panic!("{name}: not read back") };
            let key = large_group_key("n-9");
            let entry = quartzlever_wire::store::KeyValue {
                key,
                value: quartzlever_wire::Json::of(&value),
                mod_revision: 21,
                lease_id: None,
            };
            let result = Ok(StoreReply::Read(entry));
            core.step(NOW + 2 * SECOND, vec![Command::StoreReply { call_id, result }]);
            if let Some(call_id) = txn(&core.step(NOW + 4 * SECOND, Vec::new())) {
                let result = Ok(StoreReply::Committed(22));
                core.step(NOW + 4 * SECOND, vec![Command::StoreReply { call_id, result }]);
            }
        }
        let partition = &core.partitions["one"];
        assert!(partition.machines.contains_key("n-9"), "{name}");
        assert_eq!(partition.machines.len(), machines, "{name}");
    }
}

/// A late write of the larger group may claim a machine that has since been claimed for another
/// partition in its smaller group. The claim in the larger group is ignored, whichever of the two
/// is seen first.
#[test]
fn a_machine_in_two_groups_belongs_to_the_smaller_one() {
    for (large, small) in [("hosts/n-~3", "hosts/n-~16~14"), ("hosts/n-~16~14", "hosts/n-~4~57")] {
        check_smaller_group_wins(large, small);
    }
}

fn check_smaller_group_wins(large: &str, small: &str) {
    let group = |partition: &str| {
        Json::of(&MachineGroupRecord {
            machines: MachineRecords::from([(
                "n-000231".to_owned(),
                machine_record_of("n-000231", partition),
            )]),
        })
    };
    let entry = |key: &str, partition: &str, mod_revision| KeyValue {
        key: key.into(),
        value: group(partition),
        mod_revision,
        lease_id: None,
    };
    for order in [[0, 1], [1, 0]] {
        for is_change in [true, false] {
            let mut core = core();
            let entries = [entry(small, "two", 20), entry(large, "one", 21)];
            for n in order {
                core.apply_group_record(&entries[n], is_change && order == [0, 1]);
            }
            let owner = core.cache.machine_record("n-000231").map(|r| r.partition.clone());
            assert_eq!(owner.as_deref(), Some("two"), "{order:?}");
            assert!(
                !core.partitions["one"].machines.contains_key("n-000231"),
                "{order:?} {is_change}"
            );
            assert_eq!(core.cache.machines_of("one").count(), 0, "{order:?}");
            assert_eq!(core.cache.machines_of("two").count(), 1, "{order:?}");
            // Deleting the larger group leaves the machine of the smaller one in place.
            core.apply_group_change(large, MachineRecords::new(), 22);
            assert_eq!(core.cache.machines_of("two").count(), 1, "{order:?}");
        }
    }
}

/// While controllers use different group sizes, a machine could get two owners. A claim is
/// therefore conditioned on the agreement on the size, and waits until all earlier claims are
/// known.
#[test]
fn a_claim_depends_on_the_agreed_group_size() {
    // (agreed size and its modification revision, revision of the cache, the key that is written)
    for (agreed, revision, key) in [
        (None, 30, Some("hosts/n-~16~14")),
        (Some((4, 20)), 30, Some("hosts/n-~4~57")),
        (Some((4, 31)), 30, None),
        // The size in use only decreases: the one that follows from the settings is smaller.
        (Some((32, 20)), 30, Some("hosts/n-~16~14")),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.cache.set_revision(revision);
        core.config.value_bytes = 2048;
        core.lease.renew_at(NOW + 900 * SECOND);
        core.apply_cluster_record(&raised_version(10));
        if let Some((size, mod_revision)) = agreed {
            let value = Json::of(&GroupSizeRecord { size });
            let key = GROUP_SIZE_KEY.into();
            core.apply_cluster_record(&KeyValue { key, value, mod_revision, lease_id: None });
        }
        core.request_ownership(
            1,
            idle_heartbeat("n-000231", 1, 0),
            PartitionTerm { partition: "one".into(), term: 5 },
        );
        let effects = core.step(NOW + SECOND, Vec::new());
        let written = effects.iter().find_map(|effect| match effect {
            Effect::Store { call: StoreCall::Txn(txn), .. } => {
                let writes = |c: &&StoreChange| matches!(c, StoreChange::Write { write, .. } if write.starts_with("hosts/"));
                txn.changes.iter().find(writes).map(|change| (change, txn))
            }
            _ => None,
        });
        assert_eq!(written.is_some(), key.is_some(), "{agreed:?}: {effects:?}");
        let (Some((StoreChange::Write { write, .. }, txn)), Some(key)) = (written, key) else {
            continue;
        };
        assert_eq!(write, key, "{agreed:?}");
        let mod_revision = agreed.map_or(0, |(_, mod_revision)| mod_revision);
        let condition = txn.conditions.iter().find(|c| c.path == GROUP_SIZE_KEY);
        assert_eq!(condition.map(|c| c.mod_revision), Some(mod_revision), "{agreed:?}");
    }
}
