//! A job whose tasks end in the worst order, every second one first, under low limits of the state
//! service: what was recorded survives crashes and changes of leader, and nothing of it runs again.

use std::collections::BTreeMap;

use quartzlever_core::Config;
use quartzlever_wire::pages::{PAGE_PREFIX, PageRecord, page_of_key};
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{Ranges, SECOND};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
const TASKS: u32 = 1500;
const VALUE_BYTES: usize = 1024;
const CHANGES: usize = 6;

fn low_limits(config: &mut Config) {
    (config.value_bytes, config.txn_ops) = (VALUE_BYTES, CHANGES);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    LeaderRestarts,
    /// The leader stays away, and a peer takes its partition over.
    LeaderChanges,
    AllKilled,
    /// The limits sink below what the settings say.
    LimitsSink,
    Outage,
    Cancelled,
}

fn bring_about(w: &mut Simulation, trouble: Fault) {
    match trouble {
        Fault::None | Fault::Cancelled => {}
        Fault::LeaderRestarts => {
            let (_, leader) = w.busiest();
            w.restart(leader, SECOND / 2);
        }
        Fault::LeaderChanges => {
            let (_, leader) = w.busiest();
            w.restart(leader, 20 * SECOND);
        }
        Fault::AllKilled => {
            for n in 0..NODES.len() {
                w.restart(n, SECOND);
            }
        }
        Fault::LimitsSink => (w.store.value_limit, w.store.ops_limit) = (700, 3),
        Fault::Outage => {
            w.store.outage = true;
            w.run(5 * SECOND);
            let now = w.now;
            w.store.end_outage(now);
        }
    }
}

/// The tasks that the store knows to have finished.
fn recorded(w: &Simulation, id: &str) -> Ranges {
    let live = w.store.get(&format!("live/{id}")).and_then(|(v, _)| v.parse::<ActiveJobRecord>());
    let mut finished = live.expect("a live job").finished;
    for key in w.store.keys(PAGE_PREFIX) {
        let (_, number) = page_of_key(&key).expect("the key of a page");
        let page = w.store.get(&key).and_then(|(v, _)| v.parse::<PageRecord>());
        finished.add(&page.and_then(|page| page.tasks(number)).expect("a page"));
    }
    finished
}

fn starts(w: &Simulation) -> BTreeMap<String, usize> {
    w.workers.iter().map(|(name, worker)| (name.clone(), worker.started.len())).collect()
}

#[test]
fn what_is_recorded_of_a_large_job_never_runs_again() {
    use Fault::*;
    for (seed, trouble) in
        [None, LeaderRestarts, LeaderChanges, AllKilled, LimitsSink, Outage, Cancelled]
            .into_iter()
            .enumerate()
    {
        let mut w = Simulation::with(500 + seed as u64, NODES, low_limits);
        w.cloud.max_machines = 90;
        (w.run_time, w.odd_tasks_wait) = (SECOND, true);
        w.run(5 * SECOND);
        (w.store.value_limit, w.store.ops_limit) = (VALUE_BYTES, CHANGES);
        let id = job(1, TASKS).id;
        assert_eq!(w.submit_until_accepted(0, &job(1, TASKS)), 201, "{trouble:?}");
        w.run(40 * SECOND);
        assert!(
            !w.store.keys(PAGE_PREFIX).is_empty(),
            "{trouble:?}: the record has outgrown its value"
        );
        let (before, started) = (recorded(&w, &id), starts(&w));
        assert!(before.count_ranges() > 200, "{trouble:?}: {} gaps", before.count_ranges());
        bring_about(&mut w, trouble);
        w.run(30 * SECOND);
        for (name, worker) in &w.workers {
            let seen = started.get(name).copied().unwrap_or(0);
            for (task, _) in &worker.started[seen..] {
                assert!(!before.contains(task.index), "{trouble:?}: {task} runs again");
            }
        }
        if trouble == Cancelled {
            assert_eq!(w.cancel_until_confirmed(1, &id).as_deref(), Some("aborted"));
        } else {
            assert!(before.minus(&recorded(&w, &id)).is_empty(), "{trouble:?}: lost some");
            w.odd_tasks_wait = false;
            w.workers.values_mut().for_each(|worker| worker.odd_tasks_wait = false);
        }
        w.run_for(90 * SECOND);
        let end = if trouble == Cancelled { JobPhase::Cancelled } else { JobPhase::Done };
        assert_eq!(w.over(&id), Some(end), "{trouble:?}");
        assert!(w.store.keys(PAGE_PREFIX).is_empty(), "{trouble:?}: pages are left over");
        assert!(w.store.too_large < 8, "{trouble:?}: {} too large", w.store.too_large);
        w.check_end();
        assert!(w.rules.broken.is_empty(), "{trouble:?}: {:?}", &w.rules.broken[..1]);
    }
}
