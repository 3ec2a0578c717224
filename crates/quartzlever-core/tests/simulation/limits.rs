//! The limits of the store drop below those in the settings at some time: before, during or after
//! an upgrade, in a burst of jobs, or in a recovery. Refused transactions are not retried in a
//! loop, no machine or job is lost, and every job finishes.

use quartzlever_core::Config;
use quartzlever_wire::SECOND;
use quartzlever_wire::store::{MachineRecords, machine_records_in};
use quartzlever_wire::users::JobPhase;

use crate::sim::{Simulation, job};
use crate::upgrade::{FaultBetween, first_version_simulation, replace_controllers};

const JOBS: u32 = 9;
/// Bound on transactions refused for their size: those by which three controllers learn the limit,
/// and as many for splitting the values that exceed it by then.
const MAX_REFUSED: usize = 60;

#[derive(Clone, Copy, Debug)]
struct LowLimits {
    value_bytes: usize,
    ops: usize,
    changes_per_second: f64,
}

/// When the limits drop.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeUpgrade,
    DuringUpgrade,
    AfterUpgrade,
    InBurst,
    InRecovery,
}

fn unchanged(_: &mut Config) {}

fn lower_limits(w: &mut Simulation, limits: LowLimits) {
    w.store.value_limit = limits.value_bytes;
    w.store.ops_limit = limits.ops;
    w.store.write_rate = limits.changes_per_second;
}

/// Submits [`JOBS`] jobs, numbered from `from`.
fn submit(w: &mut Simulation, from: u32) {
    for k in from..from + JOBS {
        assert_ne!(
            w.submit_until_accepted(k as usize % 3, &job(k, 30)),
            0,
            "job {k} got no answer"
        );
    }
}

/// Upgrades all controllers and submits jobs, and lowers the limits at the given moment.
fn run_scenario(w: &mut Simulation, moment: Moment, limits: LowLimits) {
    if moment == Moment::BeforeUpgrade {
        lower_limits(w, limits);
    }
    submit(w, 0);
    w.run(5 * SECOND);
    if moment == Moment::DuringUpgrade {
        w.first_version_nodes.remove(&0);
        w.restart(0, SECOND);
        w.run(2 * SECOND);
        lower_limits(w, limits);
    }
    replace_controllers(w, [0, 1, 2], FaultBetween::Nothing);
    w.run_with_lookups(6 * SECOND);
    if moment == Moment::AfterUpgrade {
        lower_limits(w, limits);
    }
    if moment == Moment::InRecovery {
        for n in 0..3 {
            w.restart(n, SECOND);
        }
        lower_limits(w, limits);
        w.run(3 * SECOND);
    }
    submit(w, 20);
    if moment == Moment::InBurst {
        lower_limits(w, limits);
        submit(w, 40);
    }
}

/// Counts the machines that no partition has claimed.
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
fn all_jobs_finish_when_store_limits_drop_at_any_moment() {
    use Moment::*;
    let mut seed = 700;
    for limits in [
        LowLimits { value_bytes: 1024, ops: 4, changes_per_second: 30.0 },
        LowLimits { value_bytes: 640, ops: 2, changes_per_second: 60.0 },
    ] {
        for moment in [BeforeUpgrade, DuringUpgrade, AfterUpgrade, InBurst, InRecovery] {
            seed += 1;
            let name = format!("{moment:?}, {limits:?}");
            let mut w = first_version_simulation(seed, unchanged);
            w.run_time = 20 * SECOND;
            run_scenario(&mut w, moment, limits);
            w.run(30 * SECOND);
            let up = w.workers.len();
            assert!(up > 30, "{name}: {up} machines are too few to fill a group");
            let unclaimed = unclaimed(&w);
            assert!(unclaimed < 4, "{name}: {unclaimed} of {up} machines are unclaimed");
            w.run_with_lookups(200 * SECOND);
            w.settle_and_check();
            assert!(w.rules.violations.is_empty(), "{name}: {:?}", &w.rules.violations[..1]);
            for id in w.rules.accepted_jobs() {
                assert_eq!(w.final_phase(&id), Some(JobPhase::Done), "{name}: {id}");
            }
            let refused = w.store.rejected_too_large;
            assert!(refused < MAX_REFUSED, "{name}: {refused} transactions refused for their size");
            let exceeds_limit = |key: &&String| {
                w.store.get(key).is_some_and(|(v, _)| v.text().len() > limits.value_bytes)
            };
            let keys = w.store.keys("hosts/");
            assert_eq!(
                keys.iter().filter(exceeds_limit).count(),
                0,
                "{name}: groups of machines stay above the limit"
            );
        }
    }
}
