//! A large job whose tasks finish in the worst order for the record, every second one first, under
//! low limits of the store: recorded tasks survive crashes and changes of leader, and never run
//! again.

use std::collections::BTreeMap;

use quartzlever_core::Config;
use quartzlever_wire::pages::{PAGE_PREFIX, PageRecord, page_of_key};
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{Ranges, SECOND};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
const TASKS: u32 = 1500;
/// Maximum size of a value in the store.
const VALUE_BYTES: usize = 1024;
/// Maximum number of changes in a transaction.
const TXN_OPS: usize = 6;

fn low_limits(config: &mut Config) {
    (config.value_bytes, config.txn_ops) = (VALUE_BYTES, TXN_OPS);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    LeaderRestarts,
    /// The leader is down long enough for a peer to take over its partition.
    LeaderChanges,
    AllKilled,
    /// The limits of the store drop below those in the settings.
    LimitsDrop,
    Outage,
    Cancelled,
}

fn inject(w: &mut Simulation, fault: Fault) {
    match fault {
        Fault::None | Fault::Cancelled => {}
        Fault::LeaderRestarts => {
            let (_, leader) = w.busiest_partition();
            w.restart(leader, SECOND / 2);
        }
        Fault::LeaderChanges => {
            let (_, leader) = w.busiest_partition();
            w.restart(leader, 20 * SECOND);
        }
        Fault::AllKilled => {
            for n in 0..NODES.len() {
                w.restart(n, SECOND);
            }
        }
        Fault::LimitsDrop => (w.store.value_limit, w.store.ops_limit) = (700, 3),
        Fault::Outage => {
            w.store.outage = true;
            w.run(5 * SECOND);
            let now = w.now;
            w.store.end_outage(now);
        }
    }
}

/// Returns the tasks that are recorded as finished in the store.
fn recorded(w: &Simulation, id: &str) -> Ranges {
    let live = w.store.get(&format!("live/{id}")).and_then(|(v, _)| v.parse::<ActiveJobRecord>());
    let mut finished = live.expect("the job has no active record").finished;
    for key in w.store.keys(PAGE_PREFIX) {
        let (_, number) = page_of_key(&key).expect("the key of a page is malformed");
        let page = w.store.get(&key).and_then(|(v, _)| v.parse::<PageRecord>());
        finished.insert_all(
            &page.and_then(|page| page.tasks(number)).expect("the page cannot be read"),
        );
    }
    finished
}

/// Counts the task starts on each machine.
fn starts(w: &Simulation) -> BTreeMap<String, usize> {
    w.workers.iter().map(|(name, worker)| (name.clone(), worker.started.len())).collect()
}

#[test]
fn recorded_tasks_of_a_large_job_never_run_again() {
    use Fault::*;
    for (seed, fault) in
        [None, LeaderRestarts, LeaderChanges, AllKilled, LimitsDrop, Outage, Cancelled]
            .into_iter()
            .enumerate()
    {
        let mut w = Simulation::with(500 + seed as u64, NODES, low_limits);
        w.cloud.max_machines = 90;
        (w.run_time, w.odd_tasks_wait) = (SECOND, true);
        w.run(5 * SECOND);
        (w.store.value_limit, w.store.ops_limit) = (VALUE_BYTES, TXN_OPS);
        let id = job(1, TASKS).id;
        assert_eq!(w.submit_until_accepted(0, &job(1, TASKS)), 201, "{fault:?}");
        w.run(40 * SECOND);
        assert!(
            !w.store.keys(PAGE_PREFIX).is_empty(),
            "{fault:?}: the record still fits one value, no page was written"
        );
        let (before, started) = (recorded(&w, &id), starts(&w));
        assert!(before.range_count() > 200, "{fault:?}: only {} ranges", before.range_count());
        inject(&mut w, fault);
        w.run(30 * SECOND);
        for (name, worker) in &w.workers {
            let seen_before = started.get(name).copied().unwrap_or(0);
            for (task, _) in &worker.started[seen_before..] {
                assert!(!before.contains(task.index), "{fault:?}: {task} runs again");
            }
        }
        if fault == Cancelled {
            assert_eq!(w.cancel_until_confirmed(1, &id).as_deref(), Some("aborted"));
        } else {
            assert!(
                before.difference(&recorded(&w, &id)).is_empty(),
                "{fault:?}: finished tasks are no longer recorded"
            );
            w.odd_tasks_wait = false;
            w.workers.values_mut().for_each(|worker| worker.odd_tasks_wait = false);
        }
        w.run_with_lookups(90 * SECOND);
        let expected = if fault == Cancelled { JobPhase::Cancelled } else { JobPhase::Done };
        assert_eq!(w.final_phase(&id), Some(expected), "{fault:?}");
        assert!(
            w.store.keys(PAGE_PREFIX).is_empty(),
            "{fault:?}: pages remain after the end of the job"
        );
        assert!(
            w.store.rejected_too_large < 8,
            "{fault:?}: {} transactions were refused as too large",
            w.store.rejected_too_large
        );
        w.settle_and_check();
        assert!(w.rules.violations.is_empty(), "{fault:?}: {:?}", &w.rules.violations[..1]);
    }
}
