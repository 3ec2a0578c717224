//! Splitting of large groups into small ones.

use quartzlever_wire::store::GROUP_SIZE_KEY;

use super::{Ownership, SPLIT_INTERVAL};
use crate::machines::ownership::tests::run_step;
use crate::machines::ownership::{GroupLayout, PartitionTerm};
use crate::outbox::Outbox;
use crate::testing::*;

const LARGE_KEY: &str = "hosts/n-~0";
const LAYOUT: GroupLayout = GroupLayout {
    size: 16,
    size_revision: 3,
    larger_groups_known: true,
    value_limit: 100_000,
    max_changes: 100,
};

/// Returns a core whose cache has a large group, with machines that belong to three small groups.
fn core_with_large_group(partition: &str) -> Core {
    let mut core = core();
    let names = ["n-1", "n-20", "n-40"];
    let records = names.iter().map(|n| ((*n).to_owned(), machine_record_of(n, partition)));
    core.cache.record_group(LARGE_KEY, records.collect(), 9);
    core
}

fn split(
    ownership: &mut Ownership,
    core: &Core,
    may_act: bool,
    layout: GroupLayout,
    now: Micros,
) -> Vec<Effect> {
    run_step(Ownership::split_group, ownership, core, may_act, layout, now)
}

/// Returns the keys that a transaction writes, and those that it deletes.
fn changed_keys(effects: &[Effect]) -> (Vec<&str>, Vec<&str>) {
    let [Effect::Store { call: StoreCall::Txn(txn), .. }] = effects else {
        return (Vec::new(), Vec::new());
    };
    let (mut written, mut deleted) = (Vec::new(), Vec::new());
    for change in &txn.changes {
        match change {
            Change::Write { write, .. } => written.push(write.as_str()),
            Change::Delete { delete } => deleted.push(delete.as_str()),
        }
    }
    (written, deleted)
}

#[test]
fn a_large_group_is_split_in_one_transaction_or_in_several() {
    let small = ["hosts/n-~16~0", "hosts/n-~16~1", "hosts/n-~16~2"];
    // (maximum changes of a transaction; the keys that the first one writes, whether it deletes the
    // large group)
    for (max_changes, written, deletes_large) in [
        (4, &small[..], true),
        (3, &small[..], false),
        (2, &small[..2], false),
        (0, &small[..1], false),
    ] {
        let core = core_with_large_group("one");
        let layout = GroupLayout { max_changes, ..LAYOUT };
        let effects = split(&mut Ownership::default(), &core, true, layout, NOW);
        let deleted: &[&str] = if deletes_large { &[LARGE_KEY] } else { &[] };
        assert_eq!(changed_keys(&effects), (written.to_vec(), deleted.to_vec()), "{max_changes}");
        if let [Effect::Store { call: StoreCall::Txn(txn), .. }] = &effects[..] {
            let has_condition = |path: &str, mod_revision| {
                txn.conditions.iter().any(|c| c.path == path && c.mod_revision == mod_revision)
            };
            assert!(has_condition(LARGE_KEY, 9) && has_condition(GROUP_SIZE_KEY, 3));
            assert!(
                written.iter().all(|key| has_condition(key, 0)),
                "each small group at its known modification revision"
            );
        }
    }
}

/// Machines that an earlier step has copied are not written again; the last step deletes the large
/// group.
#[test]
fn a_split_resumes_after_the_last_committed_step() {
    let (mut core, mut ownership) = (core_with_large_group("one"), Ownership::default());
    let layout = GroupLayout { max_changes: 2, ..LAYOUT };
    let mut now = NOW;
    for (written, deletes_large) in [(2, false), (1, true)] {
        let effects = split(&mut ownership, &core, true, layout, now);
        let (keys, deleted) = changed_keys(&effects);
        assert_eq!((keys.len(), !deleted.is_empty()), (written, deletes_large));
        assert_eq!(
            split(&mut ownership, &core, true, layout, now + SECOND).len(),
            0,
            "a step is in flight"
        );
        assert_eq!(ownership.split_replied(&Ok(StoreReply::Committed(20)), now), Some(20));
        if let [Effect::Store { call: StoreCall::Txn(txn), .. }] = &effects[..] {
            for change in &txn.changes {
                let Change::Write { write, v, .. } = change else { continue };
                let records = quartzlever_wire::store::machine_records_in(write, v);
                core.cache.record_group(write, records.expect("the written group is readable"), 20);
            }
        }
        now += SPLIT_INTERVAL;
    }
}

#[test]
fn a_group_is_split_only_by_its_leader_and_under_a_known_layout() {
    let large = quartzlever_wire::store::LARGE_GROUP_SIZE;
    // (the partition of its machines, whether this leader may act, the size of groups, whether all
    // claims in larger groups are known, whether a write or read of it is in flight; whether it is
    // split)
    for (partition, may_act, size, larger_groups_known, writing, splits) in [
        ("one", true, 16, true, false, true),
        ("two", true, 16, true, false, false),
        ("one", false, 16, true, false, false),
        ("one", true, large, true, false, false),
        ("one", true, 16, false, false, false),
        ("one", true, 16, true, true, false),
    ] {
        let (core, mut ownership) = (core_with_large_group(partition), Ownership::default());
        if writing {
            let owner = PartitionTerm { partition: "one".into(), term: 5 };
            let layout = GroupLayout { size: large, ..LAYOUT };
            ownership.request_claim(1, idle_heartbeat("n-2", 1, 0), owner, &layout, NOW);
            ownership.reread(LARGE_KEY, &mut Outbox::new(LogLevel::Info, NOW));
        }
        let layout = GroupLayout { size, larger_groups_known, ..LAYOUT };
        let effects = split(&mut ownership, &core, may_act, layout, NOW);
        let case = format!("{partition} {may_act} {size} {larger_groups_known} {writing}");
        assert_eq!(!effects.is_empty(), splits, "{case}");
    }
}

/// A step whose result is unknown counts as not committed until the watch reports it.
#[test]
fn a_split_that_is_not_committed_is_retried_after_a_delay() {
    for result in [Err(CallError::Unknown), Ok(StoreReply::Conflict(vec![LARGE_KEY.to_owned()]))] {
        let (core, mut ownership) = (core_with_large_group("one"), Ownership::default());
        assert!(!split(&mut ownership, &core, true, LAYOUT, NOW).is_empty());
        assert_eq!(ownership.split_replied(&result, NOW), None);
        let early = split(&mut ownership, &core, true, LAYOUT, NOW + SECOND / 2 - 1);
        assert!(early.is_empty(), "{result:?}");
        let later = split(&mut ownership, &core, true, LAYOUT, NOW + SECOND / 2);
        assert!(!later.is_empty(), "{result:?}");
    }
}
