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
            core.cache.remove_deleted_group(large, 22);
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

/// The key of the group that machine "n-9" belongs to.
const GROUP: &str = "hosts/n-~0";

/// Returns the watch event of a write of group [`GROUP`] with one machine of partition "one".
fn group_event(machine: &str, mod_revision: u64) -> Event {
    let records = MachineRecords::from([(machine.to_owned(), machine_record_of(machine, "one"))]);
    let value = Json::of(&MachineGroupRecord { machines: records });
    Event::Write { write: GROUP.into(), v: value, mod_revision }
}

/// Delivers these changes, and all others up to `revision`, by a watch.
fn deliver(core: &mut Core, log: Vec<Event>, revision: u64) {
    core.watch_replied(1, core.now, Ok(StoreReply::Watched(WatchAnswer { revision, log })));
}

/// The claim of a machine is committed after a read of its group found nothing, and the answer to
/// the read arrives after the watch has delivered the claim. A controller that took the answer for
/// the present state forgot the machine. When it led the partition again after a peer had, it
/// completed recovery without that machine, and started its tasks a second time.
#[test]
fn a_late_answer_to_a_read_does_not_undo_a_claim_that_the_watch_has_delivered() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    core.cache.set_revision(11);
    deliver(&mut core, vec![group_event("n-9", 12)], 12);
    assert!(core.partitions["one"].machines.contains_key("n-9"));
    core.group_read(GROUP, Ok(StoreReply::Absent { revision: 11 }));
    assert!(core.cache.is_claimed("n-9"));

    let lost = Event::Delete { delete: "parts/one".into(), mod_revision: 14 };
    let own = partition_entry("one", "one", core.process, 17);
    let regained = Event::Write { write: own.key, v: own.value, mod_revision: 17 };
    deliver(&mut core, vec![lost, regained], 17);
    core.step(NOW, Vec::new());
    let partition = &core.partitions["one"];
    assert!(partition.is_loaded() && partition.term == 17);
    assert!(partition.machines.contains_key("n-9") && !partition.recovery_complete);
}

/// A read that found no key after all known changes shows that the group was deleted.
#[test]
fn an_answer_to_a_read_removes_a_group_that_was_deleted_before_it() {
    for (revision, removed) in [(11, false), (12, true), (13, true)] {
        let mut core = core_with_cache(&[("one", "one", 5)]);
        core.cache.set_revision(11);
        core.cache.record_group(
            GROUP,
            [("n-9".into(), machine_record_of("n-9", "one"))].into(),
            12,
        );
        core.group_read(GROUP, Ok(StoreReply::Absent { revision }));
        assert_eq!(core.cache.is_claimed("n-9"), !removed, "{revision}");
    }
}

/// The watch delivers a claim and then the deletion of its group, and only then the answer to the
/// write, the read or the split arrives that shows the group as it was. The process took the machine
/// for claimed ever after, and each write of the group was conditional on a revision that the key no
/// longer had.
#[test]
fn a_late_answer_does_not_restore_a_group_whose_deletion_the_watch_has_delivered() {
    fn records() -> MachineRecords {
        [("n-9".into(), machine_record_of("n-9", "one"))].into()
    }
    type Reply = fn(&mut Core);
    let replies: [(&str, Reply); 3] = [
        ("write", |core| {
            let write = GroupWrite {
                key: GROUP.into(),
                records: records(),
                added: ["n-9".to_owned()].into(),
                removed: Default::default(),
                partition_terms: [("one".to_owned(), 5)].into(),
            };
            core.group_written(write, &Ok(StoreReply::Committed(12)));
        }),
        ("read", |core| {
            let value = Json::of(&MachineGroupRecord { machines: records() });
            let entry = KeyValue { key: GROUP.into(), value, mod_revision: 12, lease_id: None };
            core.group_read(GROUP, Ok(StoreReply::Read(entry)));
        }),
        ("split", |core| {
            let small_groups = vec![(GROUP.to_owned(), records())];
            let result = Ok(StoreReply::Committed(12));
            core.group_split("hosts/m-~0", small_groups, false, &result);
        }),
    ];
    for (name, reply) in replies {
        // (revision of the cache, whether the answer is applied)
        for (revision, applied) in [(11, true), (12, false), (14, false)] {
            let mut core = core_with_cache(&[("one", "one", 5)]);
            core.cache.set_revision(revision);
            reply(&mut core);
            assert_eq!(core.cache.is_claimed("n-9"), applied, "{name} {revision}");
            assert_eq!(core.cache.group(GROUP).is_some(), applied, "{name} {revision}");
        }
    }
}

/// While all records are listed again, the cache shows no group. A removal that was planned from
/// such a cache had nothing to remove and was forgotten, so that the record of the terminated
/// machine stayed.
#[test]
fn no_group_is_written_while_the_records_are_listed_again() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let records: MachineRecords = [("n-9".into(), machine_record_of("n-9", "one"))].into();
    core.cache.record_group(GROUP, records.clone(), 9);
    core.release_ownership("n-9", "one", 5);
    begin_listing(&mut core, 20);
    core.step(NOW + SECOND, Vec::new());
    core.listing.abandon();

    let value = Json::of(&MachineGroupRecord { machines: records });
    let group = KeyValue { key: GROUP.into(), value, mod_revision: 9, lease_id: None };
    let own = partition_entry("one", "one", core.process, 5);
    relist_records(&mut core, &[own, group], 21);
    let effects = core.step(NOW + 2 * SECOND, Vec::new());
    assert_eq!(transactions_on(&effects, GROUP).len(), 1);
}
