//! Progress of large jobs under limits that sink, with crashes, takeovers and late writes between.

use quartzlever_testkit::Store;
use quartzlever_wire::pages::{PAGE_TASKS, PageRecord, page_key, page_of_key};
use quartzlever_wire::store::{PARTITION_PREFIX, Txn};

use super::{PageWrite, Pages, ProgressWrite, WriteLimits};
use crate::jobs::records::{PlannedWrite, progress_of_job};
use crate::testing::*;

const ID: &str = "req-1";
const ACTIVE_JOB_PREFIX: &str = "live/req-1";
/// More than any conversion here needs.
const MOST_WRITES: usize = 600;

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

/// A store with an accepted job, of which so much is recorded in the record itself.
fn store_with_job(tasks: u32, finished: &Ranges) -> Store {
    let mut store = Store::default();
    let mut record = record_of(1, tasks, "one");
    record.finished = finished.clone();
    commit(&mut store, Txn::default().write(ACTIVE_JOB_PREFIX, Json::of(&record)))
        .expect("accepted");
    store
}

/// All tasks that the store knows to have finished.
fn recorded(store: &Store) -> Ranges {
    let (active, _) = store.get(ACTIVE_JOB_PREFIX).expect("the job is live");
    let mut finished = active.parse::<ActiveJobRecord>().expect("a record").finished;
    for key in store.keys("pages/") {
        let (_, number) = page_of_key(&key).expect("the key of a page");
        let (value, _) = store.get(&key).expect("a page");
        let page = value.parse::<PageRecord>().and_then(|page| page.tasks(number));
        finished.add(&page.expect("a page's tasks"));
    }
    finished
}

impl Leader {
    /// Takes the partition over and reads everything anew, as after a crash.
    fn take_over(store: &mut Store) -> Leader {
        let leader = PartitionRecord { node: "one".into(), process: store.revision() };
        let key = format!("{PARTITION_PREFIX}one");
        let term = commit(store, Txn::default().write(key, Json::of(&leader))).expect("acquired");
        let (value, mod_revision) = store.get(ACTIVE_JOB_PREFIX).expect("the job is live");
        let mut record = value.parse::<ActiveJobRecord>().expect("a record");
        let mut pages = Pages::default();
        for key in store.keys("pages/") {
            let (job, number) = page_of_key(&key).expect("the key of a page");
            let (value, mod_revision) = store.get(&key).expect("a page");
            let page = value.parse::<PageRecord>().and_then(|page| page.tasks(number));
            pages.insert(job, number, page.expect("a page's tasks"), mod_revision);
        }
        record.finished.add(&pages.finished_of(ID));
        Leader { pages, record, mod_revision, term }
    }

    fn plan(&self, new: &Ranges, room: WriteLimits) -> Option<(Txn, PlannedWrite)> {
        let progress = self.pages.plan(&self.record, new, room)?;
        let txn = Txn::default()
            .if_mod_revision(format!("{PARTITION_PREFIX}one"), self.term)
            .if_mod_revision(ACTIVE_JOB_PREFIX, self.mod_revision);
        let planned = progress_of_job(txn, ID, progress, &self.pages);
        Some((planned.txn.clone(), planned))
    }

    fn committed(&mut self, write: PlannedWrite, mod_revision: u64) {
        for PageWrite { number, finished } in write.pages {
            self.record.finished.add(&finished);
            self.pages.insert(ID, number, finished, mod_revision);
        }
        self.record.finished.add(&write.recorded);
        if write.action == JobWriteAction::Record {
            self.mod_revision = mod_revision;
        }
    }
}

fn room(value_bytes: usize, ops: usize) -> WriteLimits {
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
        // They end a few pages at a time, and each is written until nothing is left.
        for batch in 0..10 {
            let mut new = all.within(batch * tasks / 10..(batch + 1) * tasks / 10);
            while !new.is_empty() {
                let planned = leader.plan(&new, room(value_bytes, ops));
                let (txn, write) = planned.expect("something can be written");
                new.subtract(&write.recorded);
                let mod_revision = commit(&mut store, txn).expect("it fits");
                leader.committed(write, mod_revision);
                writes += 1;
                assert!(writes < MOST_WRITES, "{value_bytes} {ops}: no end");
            }
        }
        assert!(recorded(&store) == all, "{value_bytes} {ops}");
        let next = Leader::take_over(&mut store);
        assert!(next.record.finished == all, "{value_bytes} {ops}");
        assert_eq!(store.too_large, 0, "{value_bytes} {ops}: nothing too large was tried");
    }
}

/// What happens at a step of a conversion.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    LimitsSink,
    /// The leader crashes before the write, or right after it.
    CrashBefore,
    CrashAfter,
    /// The write comes into force only after the next leader has taken over.
    LateWrite,
}

/// An outgrown record is converted a few pages at a time. Whatever happens at whichever step, what
/// was recorded stays recorded, what counts as recorded is, and the rest follows.
#[test]
fn a_conversion_survives_trouble_at_every_step() {
    use Fault::*;
    const TASKS: u32 = 6 * PAGE_TASKS;
    let (old, mut all) = (every_second(3 * PAGE_TASKS), every_second(TASKS));
    // Tasks of the pages that are converted end meanwhile.
    for page in 0..3 {
        all.add(&Ranges::of(page * PAGE_TASKS..page * PAGE_TASKS + 40));
    }
    for trouble in [LimitsSink, CrashBefore, CrashAfter, LateWrite] {
        for at in 0.. {
            let name = format!("{trouble:?} at step {at}");
            let (mut value_bytes, mut ops) = (1024, 4);
            let mut store = store_with_job(TASKS, &old);
            let mut leader = Leader::take_over(&mut store);
            let (mut step, mut known) = (0, old.clone());
            while recorded(&store) != all {
                assert!(step < MOST_WRITES, "{name}: no end");
                if trouble == LimitsSink && step == at {
                    (value_bytes, ops) = (600, 2);
                }
                (store.value_limit, store.ops_limit) = (value_bytes, ops);
                let new = all.minus(&leader.record.finished);
                let planned = leader.plan(&new, room(value_bytes, ops));
                let (txn, write) = planned.expect("something can be written");
                if trouble == LateWrite && step == at {
                    leader = Leader::take_over(&mut store);
                    let late = commit(&mut store, txn);
                    assert!(matches!(late, Err(StoreReply::Conflict(_))), "{name}: {late:?}");
                } else if trouble == CrashBefore && step == at {
                    leader = Leader::take_over(&mut store);
                } else {
                    known.add(&write.recorded);
                    let before = recorded(&store);
                    let mod_revision =
                        commit(&mut store, txn).unwrap_or_else(|e| panic!("{name}: {e:?}"));
                    // Others would not notice what is new without a new modification revision of the record.
                    let silent = write.action == JobWriteAction::PagesOnly;
                    assert!(!silent || recorded(&store) == before, "{name}: step {step}");
                    leader.committed(write, mod_revision);
                    if trouble == CrashAfter && step == at {
                        leader = Leader::take_over(&mut store);
                    }
                }
                assert!(known.minus(&recorded(&store)).is_empty(), "{name}: step {step} lost some");
                assert!(leader.record.finished == recorded(&store), "{name}: step {step}");
                step += 1;
            }
            if at > step {
                break;
            }
        }
    }
}

/// A leader that has read the record again, but has not heard yet of a page that another leader has
/// written with it, does not overwrite that page.
#[test]
fn a_late_view_of_a_page_overwrites_nothing() {
    let mut store = store_with_job(PAGE_TASKS, &Ranges::default());
    let mut first = Leader::take_over(&mut store);
    let mut second = Leader { pages: Pages::default(), record: first.record.clone(), ..first };
    let evens = every_second(PAGE_TASKS);
    let (txn, write) = first.plan(&evens, room(1024, 4)).expect("it is written");
    assert_eq!((write.action, write.pages.len()), (JobWriteAction::Record, 1));
    let mod_revision = commit(&mut store, txn).expect("in force");
    first.committed(write, mod_revision);
    second.mod_revision = mod_revision;
    let odds = Ranges::first(PAGE_TASKS).minus(&evens);
    let (late, _) = second.plan(&odds, room(1024, 4)).expect("it is tried");
    assert!(matches!(commit(&mut store, late), Err(StoreReply::Conflict(_))));
    assert!(recorded(&store) == evens);
}

/// Ending a job is one transaction, whatever it has of pages, and no late write brings any back.
#[test]
fn a_job_that_is_over_gets_no_pages() {
    let all = every_second(6 * PAGE_TASKS);
    let mut store = store_with_job(6 * PAGE_TASKS, &all);
    let mut leader = Leader::take_over(&mut store);
    let (txn, write) = leader.plan(&Ranges::default(), room(1024, 4)).expect("a first step");
    let mod_revision = commit(&mut store, txn).expect("in force");
    leader.committed(write, mod_revision);
    let (late, _) = leader.plan(&Ranges::of(1..2), room(1024, 4)).expect("a second step");
    let over = TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 };
    let cancel = Txn::default()
        .if_mod_revision(ACTIVE_JOB_PREFIX, leader.mod_revision)
        .delete(ACTIVE_JOB_PREFIX);
    commit(&mut store, cancel.write("over/req-1", Json::of(&over))).expect("cancelled");
    let before = store.keys("pages/");
    assert!(!before.is_empty());
    assert!(matches!(commit(&mut store, late), Err(StoreReply::Conflict(_))));
    assert_eq!(store.keys("pages/"), before);
    assert!(store.get(ACTIVE_JOB_PREFIX).is_none());
}

#[test]
fn what_cannot_be_made_smaller_is_not_tried() {
    let pages = Pages::default();
    let mut record = record_of(1, 100, "one");
    let new = every_second(100);
    let bare = Json::of(&record).text().len();
    // (bytes of a value, pages that may be written, whether something is)
    for (value_bytes, most_pages, written) in
        [(bare - 1, 3, false), (bare + 20, 0, false), (bare + 20, 1, true), (bare + 400, 0, true)]
    {
        let room = WriteLimits { value_bytes, pages: most_pages };
        let plan = pages.plan(&record, &new, room);
        assert_eq!(plan.is_some(), written, "{value_bytes} {most_pages}: {plan:?}");
    }
    // A small job keeps to its record: no page is written without need.
    record.finished = Ranges::of(0..4);
    let small = Ranges::of(6..8);
    let room = WriteLimits { value_bytes: 1024, pages: 9 };
    let Some(ProgressWrite { record: Some(stored), pages, recorded }) =
        pages.plan(&record, &small, room)
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

/// Two leaders may record the last tasks in different pages without knowing of each other: whoever
/// learns that all are done ends the job, also one that has no task of it any more, or that has just
/// taken over.
#[test]
fn a_job_whose_last_task_another_holder_recorded_is_ended() {
    for (name, own_tasks, taken_over) in
        [("its own are done", 0..2, false), ("it has just taken over", 0..2, true)]
    {
        let mut core = core();
        core.cache.set_loaded(true);
        core.wall_offset = Some(0);
        let mut record = record("0-1", "2-3");
        record.paged = true;
        record.finished = Ranges::of(own_tasks);
        if taken_over {
            core.apply_page_record(&page_event(0, &Ranges::of(2..4), 11));
            core.reconcile_job(record, 10);
        } else {
            core.reconcile_job(record, 10);
            let before = core.step(NOW + SECOND, Vec::new());
            assert!(!format!("{before:?}").contains("over/req-1"), "{name}: not yet");
            core.apply_page_record(&page_event(0, &Ranges::of(2..4), 11));
        }
        let effects = core.step(NOW + 2 * SECOND, Vec::new());
        assert!(format!("{effects:?}").contains("over/req-1"), "{name}: {effects:?}");
    }
}

/// A record that comes without what has moved to a page not seen yet never makes a finished task
/// unfinished.
#[test]
fn a_finished_task_stays_finished_in_every_view() {
    let mut core = core();
    let mut first = record("0-3", "");
    first.finished = Ranges::of(0..2);
    core.reconcile_job(first.clone(), 10);
    // The finished tasks have moved to a page, whose event is still under way.
    let moved = ActiveJobRecord { finished: Ranges::default(), paged: true, ..first };
    core.reconcile_job(moved, 11);
    let ready = |core: &Core| core.partitions["one"].jobs[ID].ready.to_string();
    assert_eq!(ready(&core), "2-3");
    core.apply_page_record(&page_event(0, &Ranges::of(0..3), 11));
    assert_eq!(ready(&core), "3", "what the page tells beyond that counts too");
}

/// Pages of a job that is over are removed by one node, within the account of changes, and only on
/// condition that the job is not live.
#[test]
fn leftover_pages_are_removed() {
    // (whether the job is live, whether this node holds the first partition, removed)
    for (active, first, removed) in [(false, true, 2), (true, true, 0), (false, false, 0)] {
        let mut core = with_cache(&[("one", "one", 5), ("two", "two", 6)]);
        if !first {
            core.cache.record_partition("a", PartitionRecord { node: "a".into(), process: 1 }, 4);
        }
        core.apply_page_record(&page_event(0, &Ranges::of(0..3), 8));
        core.apply_page_record(&page_event(1, &Ranges::of(PAGE_TASKS..PAGE_TASKS + 3), 9));
        if active {
            core.reconcile_job(record("0-3", ""), 10);
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
        assert_eq!(count, removed, "live {active}, first {first}: {found:?}");
        let mod_revisions: Vec<u64> =
            found.iter().flat_map(|t| &t.conditions).map(|c| c.mod_revision).collect();
        let wanted = if removed > 0 { vec![5, 0, 8, 9] } else { vec![] };
        assert_eq!(
            mod_revisions, wanted,
            "on condition of the partition, no live job, and the pages"
        );
    }
}
