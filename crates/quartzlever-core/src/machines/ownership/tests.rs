//! Claims and removals of machines in their groups.

use quartzlever_wire::store::{
    LARGE_GROUP_SIZE, MachineGroupRecord, MachineRecord, MachineRecords,
};

use super::group_update::json_length;
use super::{
    CLAIM_INTERVAL, GroupContext, GroupLayout, GroupWriteOutcome, Ownership, PartitionTerm,
    REMOVAL_INTERVAL, RETRY_DELAY, TOO_LARGE_RETRY_DELAY,
};
use crate::calls::GroupWrite;
use crate::outbox::Outbox;
use crate::store::write_budget::WriteBudget;
use crate::testing::*;

/// The length added up record by record bounds the length of the written value from above.
#[test]
fn the_computed_length_of_a_group_is_never_below_the_written_length() {
    for names in [&["n-1"][..], &["n-1", "n-22", "n-333"], &["a\"b", "n-\u{e9}"]] {
        let mut records = MachineRecords::new();
        let mut length = json_length(&records) + 16;
        for (n, name) in names.iter().enumerate() {
            let record = MachineRecord {
                partition: "one".into(),
                address: format!("10.1.0.{n}:9000"),
                machine_type: "\"big\"".into(),
                zone: String::new(),
                spot: n == 0,
            };
            length += name.len() + 4 + json_length(&record);
            records.insert((*name).to_owned(), record);
        }
        let written = json_length(&MachineGroupRecord { machines: records });
        assert!(length >= written, "{names:?}: {length} for {written}");
    }
}

const LAYOUT: GroupLayout = GroupLayout {
    size: LARGE_GROUP_SIZE,
    size_revision: 0,
    larger_groups_known: true,
    value_limit: 100_000,
    max_changes: 100,
};

fn owner() -> PartitionTerm {
    PartitionTerm { partition: "one".into(), term: 5 }
}

/// A step of [`Ownership`] that writes to the store.
type WriteStep = fn(&mut Ownership, &GroupContext, &mut WriteBudget, &mut Outbox);

/// Runs a step at `now`, with a full write budget, and returns its effects.
pub(super) fn run_step(
    step: WriteStep,
    ownership: &mut Ownership,
    core: &Core,
    may_act: bool,
    layout: GroupLayout,
    now: Micros,
) -> Vec<Effect> {
    let mut outbox = Outbox::new(LogLevel::Info, now);
    let mut write_budget = WriteBudget::new(now - SECOND);
    write_budget.refill(now, 100.0, 1);
    let (cache, partitions) = (&core.cache, &core.partitions);
    let context = GroupContext { now, may_act, cache, partitions, layout };
    step(ownership, &context, &mut write_budget, &mut outbox);
    outbox.take_effects()
}

/// Runs `write_changes` at `now`, and returns its effects.
fn write(
    ownership: &mut Ownership,
    core: &Core,
    may_act: bool,
    layout: GroupLayout,
    now: Micros,
) -> Vec<Effect> {
    run_step(Ownership::write_changes, ownership, core, may_act, layout, now)
}

fn is_write(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Store { call: StoreCall::Txn(_), .. }])
}

fn rejects(effects: &[Effect], request: u64) -> bool {
    matches!(effects, [Effect::Answer { id, status: 503, .. }] if *id == request)
}

/// A write of a group that adds n-9 and removes n-8.
fn group_write() -> GroupWrite {
    GroupWrite {
        key: large_group_key("n-9"),
        records: [("n-9".into(), machine_record_of("n-9", "one"))].into(),
        added: ["n-9".into()].into(),
        removed: ["n-8".into()].into(),
        partition_terms: [("one".into(), 5)].into(),
    }
}

/// (whether this leader may act, the term of the claim, whether all claims in larger groups are
/// known, the maximum length of a value; whether the claim is written or else its request rejected)
#[test]
fn a_claim_is_written_only_if_its_partition_is_led_and_it_fits_a_known_layout() {
    for (may_act, term, larger_groups_known, value_limit, written) in [
        (true, 5, true, 100_000, true),
        (false, 5, true, 100_000, false),
        (true, 4, true, 100_000, false),
        (true, 5, false, 100_000, false),
        (true, 5, true, 20, false),
    ] {
        let (core, mut ownership) = (core(), Ownership::default());
        let owner = PartitionTerm { term, ..owner() };
        ownership.request_claim(1, heartbeat_from("n-9", 1, 1, 0, &[]), owner, &LAYOUT, NOW);
        let layout = GroupLayout { larger_groups_known, value_limit, ..LAYOUT };
        let effects = write(&mut ownership, &core, may_act, layout, NOW);
        let case = format!("{may_act} {term} {larger_groups_known} {value_limit}: {effects:?}");
        assert_eq!(is_write(&effects), written, "{case}");
        assert_eq!(rejects(&effects, 1), !written, "{case}");
        let pending = ownership.take_claim(&large_group_key("n-9"), "n-9");
        assert_eq!(pending.is_some(), written, "{case}");
    }
}

#[test]
fn heartbeats_of_one_machine_share_a_claim_that_keeps_the_latest() {
    let mut ownership = Ownership::default();
    for (id, sequence) in [(1, 5), (2, 7), (3, 6)] {
        let heartbeat = heartbeat_from("n-9", 1, sequence, 0, &[]);
        ownership.request_claim(id, heartbeat, owner(), &LAYOUT, NOW);
    }
    let claim = ownership.take_claim(&large_group_key("n-9"), "n-9").expect("the claim is pending");
    assert_eq!((claim.requests, claim.heartbeat.sequence), (vec![1, 2, 3], 7));
    assert!(ownership.take_claim(&large_group_key("n-9"), "n-9").is_none());
}

/// A group has one write in flight at a time. (the result; the outcome; the delay before the next
/// write)
#[test]
fn the_delay_before_a_group_is_written_again_depends_on_the_result() {
    let reread =
        |lost: &[PartitionTerm]| GroupWriteOutcome::RereadNeeded { lost_partitions: lost.to_vec() };
    let conflict = |path: &str| Ok(StoreReply::Conflict(vec![path.to_owned()]));
    for (result, outcome, again_after) in [
        (
            Ok(StoreReply::Committed(20)),
            GroupWriteOutcome::Committed { mod_revision: 20 },
            CLAIM_INTERVAL,
        ),
        (Ok(StoreReply::TooLarge), GroupWriteOutcome::Failed, TOO_LARGE_RETRY_DELAY),
        (Err(CallError::Refused), GroupWriteOutcome::Failed, RETRY_DELAY),
        (Err(CallError::Throttled), GroupWriteOutcome::Failed, RETRY_DELAY),
        (Err(CallError::Unknown), reread(&[]), CLAIM_INTERVAL),
        (conflict("hosts/n-~0"), reread(&[]), CLAIM_INTERVAL),
        (conflict("parts/one"), reread(&[owner()]), CLAIM_INTERVAL),
        (conflict("parts/two"), reread(&[]), CLAIM_INTERVAL),
    ] {
        let (core, mut ownership) = (core(), Ownership::default());
        ownership.request_claim(1, heartbeat_from("n-9", 1, 1, 0, &[]), owner(), &LAYOUT, NOW);
        assert!(is_write(&write(&mut ownership, &core, true, LAYOUT, NOW)));
        let later = write(&mut ownership, &core, true, LAYOUT, NOW + 60 * SECOND);
        assert!(later.is_empty(), "another write while one is in flight: {later:?}");
        assert_eq!(ownership.write_replied(&group_write(), &result, NOW), outcome, "{result:?}");
        let early = write(&mut ownership, &core, true, LAYOUT, NOW + again_after - 1);
        assert!(early.is_empty(), "{result:?}: {early:?}");
        assert!(is_write(&write(&mut ownership, &core, true, LAYOUT, NOW + again_after)));
    }
}

#[test]
fn a_group_is_not_written_while_it_is_reread() {
    for (is_read, delay) in [(true, CLAIM_INTERVAL), (false, RETRY_DELAY)] {
        let (core, mut ownership) = (core(), Ownership::default());
        ownership.request_claim(1, heartbeat_from("n-9", 1, 1, 0, &[]), owner(), &LAYOUT, NOW);
        let (key, mut outbox) = (large_group_key("n-9"), Outbox::new(LogLevel::Info, NOW));
        ownership.reread(&key, &mut outbox);
        let reads = outbox.take_effects();
        assert!(
            matches!(&reads[..], [Effect::Store { call: StoreCall::Get(path), .. }] if *path == key)
        );
        assert!(write(&mut ownership, &core, true, LAYOUT, NOW + 60 * SECOND).is_empty());
        ownership.read_replied(&key, is_read, NOW);
        assert!(write(&mut ownership, &core, true, LAYOUT, NOW + delay - 1).is_empty());
        assert!(is_write(&write(&mut ownership, &core, true, LAYOUT, NOW + delay)));
    }
}

/// The removal of a terminated machine's record is conditional on the partition's term, and happens
/// only while the record still names that partition.
#[test]
fn only_the_partition_that_terminated_a_machine_removes_its_record() {
    for (recorded_for, removed) in [("one", true), ("two", false)] {
        let (mut core, mut ownership) = (core(), Ownership::default());
        let records = [("n-8".into(), machine_record_of("n-8", recorded_for))].into();
        core.cache.record_group(&large_group_key("n-8"), records, 9);
        ownership.request_removal("n-8", owner(), &core.cache, &LAYOUT);
        let effects = write(&mut ownership, &core, true, LAYOUT, NOW);
        assert_eq!(is_write(&effects), removed, "{recorded_for}");
        if let [Effect::Store { call: StoreCall::Txn(txn), .. }] = &effects[..] {
            let conditions: Vec<_> =
                txn.conditions.iter().map(|c| (c.path.as_str(), c.mod_revision)).collect();
            assert_eq!(conditions, [("hosts/n-~0", 9), ("parts/one", 5)]);
            assert!(
                matches!(&txn.changes[..], [Change::Delete { delete }] if delete == "hosts/n-~0")
            );
            let failed = Err(CallError::Refused);
            ownership.write_replied(&group_write(), &failed, NOW);
            assert!(write(&mut ownership, &core, true, LAYOUT, NOW + RETRY_DELAY - 1).is_empty());
            assert!(is_write(&write(&mut ownership, &core, true, LAYOUT, NOW + REMOVAL_INTERVAL)));
        }
    }
}
