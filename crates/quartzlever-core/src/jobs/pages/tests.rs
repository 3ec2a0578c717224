//! Progress of large jobs under lowered limits, interrupted by crashes, takeovers and late writes.

use quartzlever_testkit::Store;
use quartzlever_wire::pages::{PAGE_TASKS, PageRecord, page_key, page_of_key};
use quartzlever_wire::store::{PARTITION_PREFIX, Txn};

use super::{PageWrite, Pages, ProgressWrite, WriteLimits};
use crate::jobs::records::{PlannedWrite, plan_progress};
use crate::testing::*;

const ID: &str = "req-1";
const ACTIVE_JOB_KEY: &str = "live/req-1";
/// More writes than any conversion in these tests needs; reaching it means that no progress is
/// made.
const MAX_WRITES: usize = 600;

fn every_second(tasks: u32) -> Ranges {
    (0..tasks).filter(|task| task % 2 == 0).collect()
}

/// A leader's view of one job, and the store that it writes to.
struct Leader {
    pages: Pages,
    record: ActiveJobRecord,
    mod_revision: u64,
    term: u64,
}

fn commit(store: &mut Store, txn: Txn) -> Result<u64, StoreReply> {
    match store.call(NOW, &StoreCall::Txn(txn)).expect("the store is up") {
        StoreReply::Committed(mod_revision) => Ok(mod_revision),
        other => Err(other),
    }
}

/// Returns a store with an accepted job whose record lists these finished tasks.
fn store_with_job(tasks: u32, finished: &Ranges) -> Store {
    let mut store = Store::default();
    let mut record = record_of(1, tasks, "one");
    record.finished = finished.clone();
    commit(&mut store, Txn::default().write(ACTIVE_JOB_KEY, Json::of(&record))).expect("accepted");
    store
}

/// Returns all finished tasks that are recorded in the store.
fn recorded(store: &Store) -> Ranges {
    let (active, _) = store.get(ACTIVE_JOB_KEY).expect("the job is active");
    let mut finished = active.parse::<ActiveJobRecord>().expect("a record").finished;
    for key in store.keys("pages/") {
        let (_, number) = page_of_key(&key).expect("the key of a page");
        let (value, _) = store.get(&key).expect("a page");
        let page = value.parse::<PageRecord>().and_then(|page| page.tasks(number));
        finished.insert_all(&page.expect("a page's tasks"));
    }
    finished
}

impl Leader {
    /// Takes over the partition and reads everything from the store, as after a crash.
    fn take_over(store: &mut Store) -> Leader {
        let leader = PartitionRecord { node: "one".into(), process: store.revision() };
        let key = format!("{PARTITION_PREFIX}one");
        let term = commit(store, Txn::default().write(key, Json::of(&leader))).expect("acquired");
        let (value, mod_revision) = store.get(ACTIVE_JOB_KEY).expect("the job is active");
        let mut record = value.parse::<ActiveJobRecord>().expect("a record");
        let mut pages = Pages::default();
        for key in store.keys("pages/") {
            let (job, number) = page_of_key(&key).expect("the key of a page");
            let (value, mod_revision) = store.get(&key).expect("a page");
            let page = value.parse::<PageRecord>().and_then(|page| page.tasks(number));
            pages.insert(job, number, page.expect("a page's tasks"), mod_revision);
        }
        record.finished.insert_all(&pages.finished_of(ID));
        Leader { pages, record, mod_revision, term }
    }

    fn plan(&self, new: &Ranges, limits: WriteLimits) -> Option<(Txn, PlannedWrite)> {
        let progress = self.pages.plan(&self.record, new, limits)?;
        let txn = Txn::default()
            .if_mod_revision(format!("{PARTITION_PREFIX}one"), self.term)
            .if_mod_revision(ACTIVE_JOB_KEY, self.mod_revision);
        let planned = plan_progress(txn, ID, progress, &self.pages);
        Some((planned.txn.clone(), planned))
    }

    fn committed(&mut self, write: PlannedWrite, mod_revision: u64) {
        for PageWrite { number, finished } in write.pages {
            self.record.finished.insert_all(&finished);
            self.pages.insert(ID, number, finished, mod_revision);
        }
        self.record.finished.insert_all(&write.recorded);
        if write.action == JobWriteAction::Record {
            self.mod_revision = mod_revision;
        }
    }
}

fn limits(value_bytes: usize, ops: usize) -> WriteLimits {
    WriteLimits { value_bytes, pages: ops - 1 }
}

#[test]
fn a_job_of_100_000_tasks_that_end_in_the_worst_order_is_recorded_in_full() {
    for (tasks, value_bytes, ops) in
        [(100_000, 16 * 1024, 24), (100_000, 1024, 24), (20_000, 700, 2)]
    {
        let all = every_second(tasks);
        let mut store = store_with_job(tasks, &Ranges::default());
        (store.value_limit, store.ops_limit) = (value_bytes, ops);
        let mut leader = Leader::take_over(&mut store);
        let mut writes = 0;
        // Tasks finish in ten batches; each batch is written until nothing is left of it.
        for batch in 0..10 {
            let mut new = all.restricted_to(batch * tasks / 10..(batch + 1) * tasks / 10);
            while !new.is_empty() {
                let planned = leader.plan(&new, limits(value_bytes, ops));
                let (txn, write) = planned.expect("a write fits the limits");
                new.remove_all(&write.recorded);
                let mod_revision = commit(&mut store, txn).expect("committed");
                leader.committed(write, mod_revision);
                writes += 1;
                assert!(writes < MAX_WRITES, "{value_bytes} {ops}: too many writes");
            }
        }
        assert!(recorded(&store) == all, "{value_bytes} {ops}");
        let next = Leader::take_over(&mut store);
        assert!(next.record.finished == all, "{value_bytes} {ops}");
        assert_eq!(
            store.rejected_too_large, 0,
            "{value_bytes} {ops}: too large a transaction was sent"
        );
    }
}

/// A fault injected at one step of a conversion.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    LimitsLowered,
    /// The leader crashes before the write, or right after it.
    CrashBefore,
    CrashAfter,
    /// The write reaches the store only after the next leader has taken over.
    LateWrite,
}

/// A record that exceeds the limit is converted to pages over several writes. With each fault at
/// each step, no recorded task may be lost, the leader's view must match the store, and all tasks
/// must be recorded in the end.
#[test]
fn a_conversion_survives_each_fault_at_every_step() {
    use Fault::*;
    const TASKS: u32 = 6 * PAGE_TASKS;
    let (old, mut all) = (every_second(3 * PAGE_TASKS), every_second(TASKS));
    // More tasks of the pages that are being converted finish during the conversion.
    for page in 0..3 {
        all.insert_all(&Ranges::from_range(page * PAGE_TASKS..page * PAGE_TASKS + 40));
    }
    for fault in [LimitsLowered, CrashBefore, CrashAfter, LateWrite] {
        for at in 0.. {
            let name = format!("{fault:?} at step {at}");
            let (mut value_bytes, mut ops) = (1024, 4);
            let mut store = store_with_job(TASKS, &old);
            let mut leader = Leader::take_over(&mut store);
            let (mut step, mut known) = (0, old.clone());
            while recorded(&store) != all {
                assert!(step < MAX_WRITES, "{name}: too many writes");
                if fault == LimitsLowered && step == at {
                    (value_bytes, ops) = (600, 2);
                }
                (store.value_limit, store.ops_limit) = (value_bytes, ops);
                let new = all.difference(&leader.record.finished);
                let planned = leader.plan(&new, limits(value_bytes, ops));
                let (txn, write) = planned.expect("a write fits the limits");
                if fault == LateWrite && step == at {
                    leader = Leader::take_over(&mut store);
                    let late = commit(&mut store, txn);
                    assert!(matches!(late, Err(StoreReply::Conflict(_))), "{name}: {late:?}");
                } else if fault == CrashBefore && step == at {
                    leader = Leader::take_over(&mut store);
                } else {
                    known.insert_all(&write.recorded);
                    let before = recorded(&store);
                    let mod_revision =
                        commit(&mut store, txn).unwrap_or_else(|e| panic!("{name}: {e:?}"));
                    // Without a new modification revision of the record, other leaders would miss
                    // newly recorded tasks.
                    let silent = write.action == JobWriteAction::PagesOnly;
                    assert!(!silent || recorded(&store) == before, "{name}: step {step}");
                    leader.committed(write, mod_revision);
                    if fault == CrashAfter && step == at {
                        leader = Leader::take_over(&mut store);
                    }
                }
                assert!(
                    known.difference(&recorded(&store)).is_empty(),
                    "{name}: step {step} lost recorded tasks"
                );
                assert!(leader.record.finished == recorded(&store), "{name}: step {step}");
                step += 1;
            }
            if at > step {
                break;
            }
        }
    }
}

/// A leader that has read the record again, but has not yet received a page that another leader
/// wrote in the same transaction, must not overwrite that page.
#[test]
fn an_outdated_view_of_a_page_overwrites_nothing() {
    let mut store = store_with_job(PAGE_TASKS, &Ranges::default());
    let mut first = Leader::take_over(&mut store);
    let mut second = Leader { pages: Pages::default(), record: first.record.clone(), ..first };
    let evens = every_second(PAGE_TASKS);
    let (txn, write) = first.plan(&evens, limits(1024, 4)).expect("a write fits the limits");
    assert_eq!((write.action, write.pages.len()), (JobWriteAction::Record, 1));
    let mod_revision = commit(&mut store, txn).expect("committed");
    first.committed(write, mod_revision);
    second.mod_revision = mod_revision;
    let odds = Ranges::up_to(PAGE_TASKS).difference(&evens);
    let (late, _) = second.plan(&odds, limits(1024, 4)).expect("a write is planned");
    assert!(matches!(commit(&mut store, late), Err(StoreReply::Conflict(_))));
    assert!(recorded(&store) == evens);
}

/// A job with pages is cancelled by one transaction that leaves the pages, and a late progress
/// write can neither add pages nor restore the record.
#[test]
fn an_ended_job_gets_no_new_pages() {
    let all = every_second(6 * PAGE_TASKS);
    let mut store = store_with_job(6 * PAGE_TASKS, &all);
    let mut leader = Leader::take_over(&mut store);
    let (txn, write) = leader.plan(&Ranges::default(), limits(1024, 4)).expect("a first step");
    let mod_revision = commit(&mut store, txn).expect("committed");
    leader.committed(write, mod_revision);
    let (late, _) = leader.plan(&Ranges::from_range(1..2), limits(1024, 4)).expect("a second step");
    let final_state = TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 };
    let cancel =
        Txn::default().if_mod_revision(ACTIVE_JOB_KEY, leader.mod_revision).delete(ACTIVE_JOB_KEY);
    commit(&mut store, cancel.write("over/req-1", Json::of(&final_state))).expect("cancelled");
    let before = store.keys("pages/");
    assert!(!before.is_empty());
    assert!(matches!(commit(&mut store, late), Err(StoreReply::Conflict(_))));
    assert_eq!(store.keys("pages/"), before);
    assert!(store.get(ACTIVE_JOB_KEY).is_none());
}

#[test]
fn no_write_is_planned_that_exceeds_the_limits() {
    let pages = Pages::default();
    let mut record = record_of(1, 100, "one");
    let new = every_second(100);
    let bare = Json::of(&record).text().len();
    // (limit of a value in bytes; page limit; whether a write is planned)
    for (value_bytes, max_pages, written) in
        [(bare - 1, 3, false), (bare + 20, 0, false), (bare + 20, 1, true), (bare + 400, 0, true)]
    {
        let limits = WriteLimits { value_bytes, pages: max_pages };
        let plan = pages.plan(&record, &new, limits);
        assert_eq!(plan.is_some(), written, "{value_bytes} {max_pages}: {plan:?}");
    }
    // A small job uses its record alone: no page is written without need.
    record.finished = Ranges::from_range(0..4);
    let small = Ranges::from_range(6..8);
    let limits = WriteLimits { value_bytes: 1024, pages: 9 };
    let Some(ProgressWrite { record: Some(stored), pages, recorded }) =
        pages.plan(&record, &small, limits)
    else {
        panic!("it fits")
    };
    assert_eq!((stored.finished.to_string(), pages, recorded), ("0-3,6-7".into(), vec![], small));
    assert!(!stored.paged && !Json::of(&stored).text().contains("paged"));
}

fn page_event(number: u32, finished: &Ranges, mod_revision: u64) -> KeyValue {
    let v = Json::of(&PageRecord::new(number, finished));
    KeyValue { key: page_key(ID, number), value: v, mod_revision, lease_id: None }
}

/// Two leaders may record the last tasks in different pages without knowing of each other. Any
/// leader that learns that all tasks are done has to end the job, including one that has no tasks
/// of it left or has just taken over.
#[test]
fn a_job_whose_last_task_another_leader_recorded_is_ended() {
    for (name, own_tasks, taken_over) in
        [("own tasks done", 0..2, false), ("just taken over", 0..2, true)]
    {
        let mut core = core();
        core.cache.set_loaded(true);
        core.wall_offset = Some(0);
        let mut record = job_record("0-1", "2-3");
        record.paged = true;
        record.finished = Ranges::from_range(own_tasks);
        if taken_over {
            core.apply_page_record(&page_event(0, &Ranges::from_range(2..4), 11));
            core.reconcile_job(record, 10);
        } else {
            core.reconcile_job(record, 10);
            let before = core.step(NOW + SECOND, Vec::new());
            assert!(
                !format!("{before:?}").contains("over/req-1"),
                "{name}: ended with unfinished tasks"
            );
            core.apply_page_record(&page_event(0, &Ranges::from_range(2..4), 11));
        }
        let effects = core.step(NOW + 2 * SECOND, Vec::new());
        assert!(format!("{effects:?}").contains("over/req-1"), "{name}: {effects:?}");
    }
}

/// Finished tasks that have moved from the record to a page not received yet must not become
/// unfinished.
#[test]
fn a_finished_task_stays_finished_in_every_view() {
    let mut core = core();
    let mut first = job_record("0-3", "");
    first.finished = Ranges::from_range(0..2);
    core.reconcile_job(first.clone(), 10);
    // The finished tasks have moved to a page whose watch event has not arrived yet.
    let moved = ActiveJobRecord { finished: Ranges::default(), paged: true, ..first };
    core.reconcile_job(moved, 11);
    let ready = |core: &Core| core.partitions["one"].jobs[ID].ready.to_string();
    assert_eq!(ready(&core), "2-3");
    core.apply_page_record(&page_event(0, &Ranges::from_range(0..3), 11));
    assert_eq!(ready(&core), "3", "the page lists one more finished task");
}

/// Pages of an ended job are removed by the leader of the first partition by name alone, within the
/// write budget, and on condition that the job has no active record.
#[test]
fn leftover_pages_are_removed() {
    // (whether the job is active; whether this node leads the first partition; pages removed)
    for (active, first, removed) in [(false, true, 2), (true, true, 0), (false, false, 0)] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        if !first {
            core.cache.record_partition("a", PartitionRecord { node: "a".into(), process: 1 }, 4);
        }
        core.apply_page_record(&page_event(0, &Ranges::from_range(0..3), 8));
        core.apply_page_record(&page_event(1, &Ranges::from_range(PAGE_TASKS..PAGE_TASKS + 3), 9));
        if active {
            core.reconcile_job(job_record("0-3", ""), 10);
        }
        let txns = |effects: Vec<Effect>| -> Vec<Txn> {
            let txn = |e| match e {
                Effect::Store { call: StoreCall::Txn(txn), .. } => Some(txn),
                _ => None,
            };
            let removes = |t: &Txn| format!("{:?}", t.changes).contains("pages/");
            effects.into_iter().filter_map(txn).filter(removes).collect()
        };
        let found = txns(core.step(NOW + SECOND, Vec::new()));
        let count: usize = found.iter().map(|txn| txn.changes.len()).sum();
        assert_eq!(count, removed, "active {active}, first {first}: {found:?}");
        let mod_revisions: Vec<u64> =
            found.iter().flat_map(|t| &t.conditions).map(|c| c.mod_revision).collect();
        let wanted = if removed > 0 { vec![5, 0, 8, 9] } else { vec![] };
        assert_eq!(
            mod_revisions, wanted,
            "conditions: the partition's term, no active job, the pages' revisions"
        );
    }
}

/// The watch delivers a page and then its removal, since a user has cancelled the job, and only then
/// the answer to the write of the page arrives. The process took the page for a leftover that it
/// tried to remove again and again, and no other page was removed any more.
#[test]
fn a_late_answer_does_not_restore_a_page_whose_removal_the_watch_has_delivered() {
    // (revision of the cache, whether the page is known after the answer)
    for (revision, known) in [(10, true), (11, false), (13, false)] {
        let mut core = core_with_cache(&[("one", "one", 5)]);
        core.cache.set_revision(revision);
        let write = JobWrite {
            partition: "one".into(),
            term: 5,
            job: ID.into(),
            action: JobWriteAction::PagesOnly,
            recorded: Ranges::default(),
            pages: vec![PageWrite { number: 0, finished: Ranges::from_range(0..3) }],
        };
        core.job_written(write, Ok(StoreReply::Committed(11)));
        assert_eq!(!core.pages.finished_of(ID).is_empty(), known, "{revision}");
    }
}

/// A page that was written after the first page of a listing was read is neither listed nor removed.
#[test]
fn a_listing_keeps_the_pages_that_are_newer_than_its_first_page() {
    for (revision, known) in [(10, true), (11, false)] {
        let mut core = core();
        core.apply_page_record(&page_event(0, &Ranges::from_range(0..3), 11));
        begin_listing(&mut core, revision);
        assert_eq!(!core.pages.finished_of(ID).is_empty(), known, "{revision}");
    }
}
