//! Cancellations while two or three faults overlap and leaders change in series.
//!
//! Users submit jobs, and cancel some of them within milliseconds and others once they run. The
//! faults begin and end independently of each other, so that a cancellation meets every phase of
//! every combination.

use quartzlever_core::Config;
use quartzlever_wire::SECOND;
use quartzlever_wire::users::Priority;

use crate::combination::{
    NODES, add_counts, all_machines, long_leases, rare_heartbeats, recover_and_check, set_hung,
    unchanged,
};
use crate::sim::{Counts, FaultRates, Simulation, job};

/// Seeds without `QUARTZLEVER_SEEDS`. With the last four, a start command that was held up started a
/// task more than `cancel_s` after the cancellation of its job.
const DEFAULT_SEEDS: [u64; 13] = [0, 1, 2, 3, 4, 5, 6, 7, 15, 58, 90, 164, 181];
/// Seeds with late answers, without `QUARTZLEVER_SEEDS`. The last four showed a cancelled job as
/// running again, or violated an invariant.
const LATE_ANSWER_SEEDS: [u64; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 4383, 4776, 5116, 5668];
/// Seeds with copies of executed requests, without `QUARTZLEVER_SEEDS`.
const REQUEST_COPY_SEEDS: [u64; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
/// Number of times that faults begin or end in one simulation.
const ROUNDS: u32 = 14;
/// Maximum number of faults that overlap.
const MAX_ACTIVE_FAULTS: usize = 3;

/// A fault that lasts until it is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    CloudDown,
    CommandsHeld,
    StoreRefusesLeader,
    StoreDown,
    LeadersCrash,
    LeaderPaused,
    MachinesHang,
    MachinesUnreachable,
    MachinesSilent,
    LeaderCutFromWorkers,
    PeersIsolated,
    StoreSlow,
    WatchesSlow,
    TransactionsLate,
    HeartbeatsRepeated,
    HistoryLost,
}

const FAULTS: [Fault; 16] = [
    Fault::CloudDown,
    Fault::CommandsHeld,
    Fault::StoreRefusesLeader,
    Fault::StoreDown,
    Fault::LeadersCrash,
    Fault::LeaderPaused,
    Fault::MachinesHang,
    Fault::MachinesUnreachable,
    Fault::MachinesSilent,
    Fault::LeaderCutFromWorkers,
    Fault::PeersIsolated,
    Fault::StoreSlow,
    Fault::WatchesSlow,
    Fault::TransactionsLate,
    Fault::HeartbeatsRepeated,
    Fault::HistoryLost,
];

/// Returns some of the machines, drawn at random.
fn some_machines(w: &mut Simulation) -> Vec<String> {
    all_machines(w).into_iter().filter(|_| w.chance(50)).collect()
}

fn begin(w: &mut Simulation, fault: Fault) {
    let (_, leader) = w.busiest_partition();
    match fault {
        Fault::CloudDown => w.cloud_down = true,
        Fault::CommandsHeld => w.command_delay = (3 + w.random_below(28)) as u64 * SECOND,
        Fault::StoreRefusesLeader => _ = w.refused_by_store.insert(leader),
        Fault::StoreDown => w.store.outage = true,
        Fault::LeadersCrash => {
            w.restart(leader, SECOND / 5);
            w.run(3 * SECOND);
            let (_, next) = w.busiest_partition();
            w.restart(next, SECOND / 5);
        }
        Fault::LeaderPaused => _ = w.paused.insert(leader),
        Fault::MachinesHang => {
            let machines = some_machines(w);
            set_hung(w, &machines, true);
        }
        Fault::MachinesUnreachable => {
            let machines = some_machines(w);
            w.unreachable_machines.extend(machines);
        }
        Fault::MachinesSilent => {
            let machines = some_machines(w);
            w.silent_machines.extend(machines);
        }
        Fault::LeaderCutFromWorkers => {
            let machines = all_machines(w);
            w.severed_links.extend(machines.into_iter().map(|machine| (leader, machine)));
        }
        Fault::PeersIsolated => w.isolated_from_peers.extend(0..NODES.len()),
        Fault::StoreSlow => w.store_latency = SECOND / 2,
        Fault::WatchesSlow => w.watch_latency = 2 * SECOND,
        Fault::TransactionsLate => w.fault_rates.late_txns = 40,
        Fault::HeartbeatsRepeated => {
            w.fault_rates =
                FaultRates { heartbeat_copies: 25, copies_for_next_leader: 25, ..w.fault_rates };
        }
        Fault::HistoryLost => w.store.log_limit = 1,
    }
}

fn end(w: &mut Simulation, fault: Fault) {
    match fault {
        Fault::CloudDown => w.cloud_down = false,
        Fault::CommandsHeld => w.command_delay = 0,
        Fault::StoreRefusesLeader => w.refused_by_store.clear(),
        Fault::StoreDown => {
            let now = w.now;
            w.store.end_outage(now);
        }
        Fault::LeadersCrash => {}
        Fault::LeaderPaused => w.paused.clear(),
        Fault::MachinesHang => {
            let machines = all_machines(w);
            set_hung(w, &machines, false);
        }
        Fault::MachinesUnreachable => w.unreachable_machines.clear(),
        Fault::MachinesSilent => w.silent_machines.clear(),
        Fault::LeaderCutFromWorkers => w.severed_links.clear(),
        Fault::PeersIsolated => w.isolated_from_peers.clear(),
        Fault::StoreSlow => w.store_latency = 0,
        Fault::WatchesSlow => w.watch_latency = 0,
        Fault::TransactionsLate => w.fault_rates.late_txns = 0,
        Fault::HeartbeatsRepeated => {
            w.fault_rates =
                FaultRates { heartbeat_copies: 0, copies_for_next_leader: 0, ..w.fault_rates };
        }
        Fault::HistoryLost => w.store.log_limit = 0,
    }
}

/// Begins a fault, or ends the oldest one if enough are active.
fn change_faults(w: &mut Simulation, active: &mut Vec<Fault>) {
    if active.len() == MAX_ACTIVE_FAULTS || (active.len() > 1 && w.chance(25)) {
        let fault = active.remove(0);
        end(w, fault);
    }
    let fault = FAULTS[w.random_below(FAULTS.len())];
    if !active.contains(&fault) {
        begin(w, fault);
        active.push(fault);
    }
}

/// Submits two jobs, and cancels one of them within milliseconds and an earlier one now and then.
fn submit_and_cancel(w: &mut Simulation, round: u32) {
    for k in 0..2 {
        let mut spec = job(10 * round + k, 1 + k);
        spec.priority = Priority::Urgent;
        spec.due_s = Some(3.2);
        let node = w.random_below(NODES.len());
        let id = spec.id.clone();
        w.submit(node, spec);
        let wait = (1 + w.random_below(12)) as u64 * SECOND / 20;
        w.run(wait);
        if k == 0 || w.chance(40) {
            cancel_everywhere(w, &id);
        }
    }
    let accepted = w.rules.accepted_jobs();
    if !accepted.is_empty() && w.chance(60) {
        let id = accepted[w.random_below(accepted.len())].clone();
        cancel_everywhere(w, &id);
    }
}

fn cancel_everywhere(w: &mut Simulation, id: &str) {
    for n in 0..NODES.len() {
        w.cancel(n, id);
    }
    w.query_all_nodes(id);
}

/// What all simulations of a test have in common.
#[derive(Clone, Copy)]
struct Conditions {
    /// Rates of faults besides those that begin and end.
    fault_rates: FaultRates,
    /// Settings of the simulations with an even seed, and of those with an odd one.
    adjust_config: [fn(&mut Config); 2],
}

impl Conditions {
    /// Returns conditions with these rates of faults and the usual settings.
    fn with_faults(fault_rates: FaultRates) -> Conditions {
        Conditions { fault_rates, adjust_config: [unchanged, long_leases] }
    }
}

/// Runs the simulation of a seed.
fn run_seed(seed: u64, conditions: Conditions) -> Counts {
    let adjust_config = conditions.adjust_config[seed as usize % 2];
    let mut w = Simulation::with(120_000 + seed, NODES, adjust_config);
    w.cloud.max_machines = 10;
    w.fault_rates = conditions.fault_rates;
    w.run(3 * SECOND);
    w.run_time = [15, 40, 90][seed as usize % 3] * SECOND;
    let mut active = Vec::new();
    for round in 0..ROUNDS {
        submit_and_cancel(&mut w, round);
        change_faults(&mut w, &mut active);
        let span = (1 + w.random_below(6)) as u64 * SECOND;
        w.run_with_lookups(span);
    }
    recover_and_check(&mut w, &format!("overlapping faults, seed {seed}"));
    w.counts
}

/// Returns the seeds to run: a search sets `QUARTZLEVER_SEEDS` to their number and
/// `QUARTZLEVER_FIRST_SEED` to the first, see `docs/fault-combinations.md`.
fn seeds(default: &[u64]) -> Vec<u64> {
    let read = |name| {
        let text: String = std::env::var(name).ok()?;
        Some(text.parse::<u64>().unwrap_or_else(|_| panic!("{name} is not a number: {text}")))
    };
    match read("QUARTZLEVER_SEEDS") {
        Some(count) => {
            let first = read("QUARTZLEVER_FIRST_SEED").unwrap_or(0);
            (first..first + count).collect()
        }
        None => default.to_vec(),
    }
}

/// Runs the simulations of these seeds, and returns the sum of their counts.
///
/// # Panics
///
/// Panics after the last seed with those that failed.
fn run_seeds(seeds: &[u64], conditions: Conditions) -> Counts {
    let mut counts = Counts::default();
    let mut failed = Vec::new();
    for &seed in seeds {
        match std::panic::catch_unwind(|| run_seed(seed, conditions)) {
            Ok(one) => add_counts(&mut counts, one),
            Err(_) => failed.push(seed),
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} failed");
    counts
}

/// A task of a cancelled job ends in time whatever faults overlap: no start command, late answer or
/// lingering attempt keeps it alive.
#[test]
fn cancelled_jobs_end_in_time_under_overlapping_faults() {
    let counts = run_seeds(&seeds(&DEFAULT_SEEDS), Conditions::with_faults(FaultRates::default()));
    let Counts { acquisitions, refused_one_node, refused_all_nodes, .. } = counts;
    let Counts { delayed_commands, delayed_executed, expired_leases, lost_replies, .. } = counts;
    for (event, count, min) in [
        ("acquisitions", acquisitions, 60),
        ("refused_one_node", refused_one_node, 100),
        ("refused_all_nodes", refused_all_nodes, 100),
        ("delayed_commands", delayed_commands, 10),
        ("delayed_executed", delayed_executed, 3),
        ("expired_leases", expired_leases, 10),
        ("lost_replies", lost_replies, 20),
    ] {
        assert!(count >= min, "{count} {event}, fewer than {min}: {counts:?}");
    }
}

/// The same while half of the store's answers come up to a second late: a change that the watch or a
/// listing has shown is not undone by the answer to an earlier call.
#[test]
fn late_answers_undo_nothing_under_overlapping_faults() {
    let fault_rates = FaultRates { slow_answers: 50, ..FaultRates::default() };
    let counts = run_seeds(&seeds(&LATE_ANSWER_SEEDS), Conditions::with_faults(fault_rates));
    assert!(counts.slow_answers >= 1_000, "{counts:?}");
    assert!(counts.acquisitions >= 36, "three in each simulation: {counts:?}");
}

/// The same while direct commands and transactions arrive again after they were executed and
/// answered, also in the second after their sender was killed.
#[test]
fn copies_of_executed_requests_break_no_rule_under_overlapping_faults() {
    let fault_rates = FaultRates {
        request_copies: 100,
        request_copies_for_restart: 100,
        ..FaultRates::default()
    };
    let adjust_config: [fn(&mut Config); 2] = [rare_heartbeats, |config| {
        rare_heartbeats(config);
        long_leases(config);
    }];
    let counts = run_seeds(&seeds(&REQUEST_COPY_SEEDS), Conditions { fault_rates, adjust_config });
    for (event, count, min) in [
        ("command_copies_executed", counts.command_copies_executed, 24),
        ("command_copies_refused", counts.command_copies_refused, 12),
        ("txn_copies_refused", counts.txn_copies_refused, 120),
        ("acquisitions", counts.acquisitions, 36),
    ] {
        assert!(count >= min, "{count} {event}, fewer than {min}: {counts:?}");
    }
}
