//! The store takes less than the settings say, from some moment on: before, during or after
//! an upgrade, in a burst of jobs, in a recovery. Nothing is tried in a loop, no machine and no job
//! is lost, and every job ends.

use quartzlever_core::Config;
use quartzlever_wire::SECOND;
use quartzlever_wire::store::{MachineRecords, machine_records_in};
use quartzlever_wire::users::JobPhase;

use crate::sim::{Simulation, job};
use crate::upgrade::{Between, replace, simulation};

const JOBS: u32 = 9;
/// What is refused for its size until the limit is learned, by three controllers, and as much for
/// the splits of what is too large by then.
const MOST_REFUSED: usize = 60;

#[derive(Clone, Copy, Debug)]
struct LowLimits {
    value_bytes: usize,
    ops: usize,
    changes_a_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeTheUpgrade,
    DuringTheUpgrade,
    AfterTheUpgrade,
    InABurst,
    InARecovery,
}

fn as_in_the_settings(_: &mut Config) {}

fn sink(w: &mut Simulation, limits: LowLimits) {
    w.store.value_limit = limits.value_bytes;
    w.store.ops_limit = limits.ops;
    w.store.write_rate = limits.changes_a_second;
}

fn submit(w: &mut Simulation, from: u32) {
    for k in from..from + JOBS {
        assert_ne!(w.submit_until_accepted(k as usize % 3, &job(k, 30)), 0, "accepted");
    }
}

fn play(w: &mut Simulation, moment: Moment, limits: LowLimits) {
    if moment == Moment::BeforeTheUpgrade {
        sink(w, limits);
    }
    submit(w, 0);
    w.run(5 * SECOND);
    if moment == Moment::DuringTheUpgrade {
        w.old.remove(&0);
        w.restart(0, SECOND);
        w.run(2 * SECOND);
        sink(w, limits);
    }
    replace(w, [0, 1, 2], Between::Nothing);
    w.run_for(6 * SECOND);
    if moment == Moment::AfterTheUpgrade {
        sink(w, limits);
    }
    if moment == Moment::InARecovery {
        for n in 0..3 {
            w.restart(n, SECOND);
        }
        sink(w, limits);
        w.run(3 * SECOND);
    }
    submit(w, 20);
    if moment == Moment::InABurst {
        sink(w, limits);
        submit(w, 40);
    }
}

/// How many machines that are up belong to no partition.
fn unclaimed(w: &Simulation) -> usize {
    let machines = |key: String| {
        let (value, _) = w.store.get(&key)?;
        machine_records_in(&key, value)
    };
    let claimed: Vec<MachineRecords> =
        w.store.keys("hosts/").into_iter().filter_map(machines).collect();
    let is_claimed = |machine: &String| claimed.iter().any(|records| records.contains_key(machine));
    w.workers.keys().filter(|machine| !is_claimed(machine)).count()
}

#[test]
fn limits_may_sink_at_any_moment_without_notice() {
    use Moment::*;
    let mut seed = 700;
    for limits in [
        LowLimits { value_bytes: 1024, ops: 4, changes_a_second: 30.0 },
        LowLimits { value_bytes: 640, ops: 2, changes_a_second: 60.0 },
    ] {
        for moment in [BeforeTheUpgrade, DuringTheUpgrade, AfterTheUpgrade, InABurst, InARecovery] {
            seed += 1;
            let name = format!("{moment:?}, {limits:?}");
            let mut w = simulation(seed, as_in_the_settings);
            w.run_time = 20 * SECOND;
            play(&mut w, moment, limits);
            w.run(30 * SECOND);
            let up = w.workers.len();
            assert!(up > 30, "{name}: {up} machines: too few to fill a block");
            let unclaimed = unclaimed(&w);
            assert!(unclaimed < 4, "{name}: {unclaimed} of {up} machines belong to nobody");
            w.run_for(200 * SECOND);
            w.check_end();
            assert!(w.rules.broken.is_empty(), "{name}: {:?}", &w.rules.broken[..1]);
            for id in w.rules.accepted() {
                assert_eq!(w.over(&id), Some(JobPhase::Done), "{name}: {id}");
            }
            let refused = w.store.too_large;
            assert!(refused < MOST_REFUSED, "{name}: {refused} refused for their size");
            let long = |key: &&String| {
                w.store.get(key).is_some_and(|(v, _)| v.text().len() > limits.value_bytes)
            };
            let keys = w.store.keys("hosts/");
            assert_eq!(keys.iter().filter(long).count(), 0, "{name}: blocks too large for ever");
        }
    }
}
