//! Runs combinations of faults and checks the rules after each; helpers that the tables share.

use quartzlever_core::Config;
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_wire::users::{JobPhase, JobSpec};
use quartzlever_wire::{Micros, SECOND};

use crate::services::service;
use crate::sim::{Counts, Simulation, job};

pub const NODES: &[&str] = &["one", "two", "three"];
/// Number of seeds that each combination runs with.
pub const SEEDS: u64 = 4;

/// A combination of faults, as a row of a table.
pub struct FaultCombination {
    pub name: &'static str,
    /// The first of its [`SEEDS`] consecutive seeds, which depends neither on the name nor on the
    /// place in the table.
    pub first_seed: u64,
    /// Changes the settings to make the combination harder.
    pub adjust_config: fn(&mut Config),
    pub inject: fn(&mut Simulation),
    /// Reports from the counts over all seeds whether the faults took effect, and nothing happened
    /// that must not.
    pub took_effect: fn(&Counts, &RuleChecker) -> bool,
}

pub fn unchanged(_: &mut Config) {}

/// Sets leases of controllers that live longer than a cancelled task may.
pub fn long_leases(config: &mut Config) {
    config.operator.lease_lifetime = 15 * SECOND;
}

/// Sets heartbeats so rare that most tasks are started by direct commands.
pub fn rare_heartbeats(config: &mut Config) {
    config.workers.heartbeat_interval = 4 * SECOND;
}

/// Submits `count` jobs of four tasks, numbered from `from` and changed by `change`, and returns
/// their ids.
pub fn submit(
    w: &mut Simulation,
    from: u32,
    count: u32,
    change: impl Fn(u32, &mut JobSpec),
) -> Vec<String> {
    let mut ids = Vec::new();
    for k in from..from + count {
        let mut spec = job(k, 4);
        change(k, &mut spec);
        assert_ne!(
            w.submit_until_accepted(k as usize % NODES.len(), &spec),
            0,
            "the submission of {} got no answer",
            spec.id
        );
        ids.push(spec.id);
    }
    ids
}

/// Starts jobs whose tasks run for a minute, and returns their ids.
pub fn start_long_jobs(w: &mut Simulation) -> Vec<String> {
    w.run_time = 60 * SECOND;
    let ids = submit(w, 0, 5, |_, _| {});
    w.run(7 * SECOND);
    ids
}

/// Starts four services with two replicas each, once every controller accepts services, and returns
/// their ids.
pub fn start_services(w: &mut Simulation, team: &str) -> Vec<String> {
    w.run_time = 10_000 * SECOND;
    w.run(3 * SECOND);
    let mut ids = Vec::new();
    for k in 0..4 {
        let spec = JobSpec { team: team.into(), ..service(k, 2) };
        assert_ne!(
            w.submit_until_accepted(k as usize % NODES.len(), &spec),
            0,
            "the submission of {} got no answer",
            spec.id
        );
        ids.push(spec.id);
    }
    w.run(7 * SECOND);
    ids
}

/// Ends the faults and cancels the given services, which would run forever otherwise.
pub fn clear_faults_and_cancel(w: &mut Simulation, ids: &[String]) {
    w.clear_faults();
    for id in ids {
        w.cancel_until_confirmed(0, id);
    }
}

/// Returns the node after `n`.
pub fn next_node(n: usize) -> usize {
    (n + 1) % NODES.len()
}

/// Sets whether the given machines hang.
pub fn set_hung(w: &mut Simulation, names: &[String], hung: bool) {
    for name in names {
        if let Some(worker) = w.workers.get_mut(name) {
            worker.hung = hung;
        }
    }
}

pub fn all_machines(w: &Simulation) -> Vec<String> {
    w.workers.keys().cloned().collect()
}

/// Takes the store down for the given time.
pub fn run_outage(w: &mut Simulation, span: Micros) {
    w.store.outage = true;
    w.run(span);
    let now = w.now;
    w.store.end_outage(now);
}

/// Starts long jobs and calls [`cancel_while_leader_refused`] with them.
pub fn refuse_leader_then_all(
    w: &mut Simulation,
    pause: Micros,
    faults: impl Fn(&mut Simulation, &[String]),
) {
    let ids = start_long_jobs(w);
    cancel_while_leader_refused(w, &ids, pause, faults);
}

/// Lets the store refuse the busiest leader alone, and cancels three jobs at the next node after
/// `pause`. Then the store refuses all nodes, and `faults` are injected with the ids of the three
/// jobs.
pub fn cancel_while_leader_refused(
    w: &mut Simulation,
    ids: &[String],
    pause: Micros,
    faults: impl Fn(&mut Simulation, &[String]),
) {
    let (_, leader) = w.busiest_partition();
    w.refused_by_store.insert(leader);
    w.run(pause);
    for id in &ids[..3] {
        w.cancel_until_confirmed(next_node(leader), id);
    }
    w.store.outage = true;
    faults(w, &ids[..3]);
    w.run(4 * SECOND);
    w.refused_by_store.clear();
    w.run(30 * SECOND);
    let now = w.now;
    w.store.end_outage(now);
}

/// Isolates a node together with the machines of zone "a" from everything else.
pub fn isolate_zone(w: &mut Simulation, node: usize) {
    let zones: Vec<(String, String)> =
        w.workers.values().map(|m| (m.instance.name.clone(), m.instance.zone.clone())).collect();
    for (name, zone) in zones {
        for n in 0..NODES.len() {
            if (n == node) != (zone == "a") {
                w.severed_links.insert((n, name.clone()));
            }
        }
    }
    w.refused_by_store.insert(node);
    w.isolated_from_peers.insert(node);
}

/// Ends the faults, gives the controllers time to recover, and checks that no rule was broken and
/// that every accepted job has the expected final phase.
pub fn recover_and_check(w: &mut Simulation, name: &str) {
    w.clear_faults();
    let since = w.now;
    w.run_time = 3 * SECOND;
    w.workers.values_mut().for_each(|worker| worker.run_time = 3 * SECOND);
    w.run_with_lookups(90 * SECOND);
    if w.has_free_capacity() {
        assert!(
            w.rules.jobs_without_start().is_empty(),
            "{name}: no task of {:?} has started",
            w.rules.jobs_without_start()
        );
    }
    w.run_with_lookups(60 * SECOND);
    let now = w.now;
    w.rules.check_answered_since(now, since + 75 * SECOND);
    w.check_liveness(since);
    assert!(w.rules.violations.is_empty(), "{name}: {:?}", &w.rules.violations[..1]);
    for id in w.rules.accepted_jobs() {
        let cancelled = w.rules.cancellation_reported_at(&id).is_some();
        let expected = if cancelled { JobPhase::Cancelled } else { JobPhase::Done };
        let phase = w.final_phase(&id);
        // A requested cancellation may have been committed although its answer was lost.
        assert!(
            phase == Some(expected)
                || (phase == Some(JobPhase::Cancelled) && w.rules.is_cancel_requested(&id)),
            "{name}: the final phase of {id} is {phase:?}, not {expected:?}"
        );
    }
}

/// Adds the counts of one simulation to a sum.
pub fn add_counts(sum: &mut Counts, one: Counts) {
    sum.acquisitions += one.acquisitions;
    sum.refused_one_node += one.refused_one_node;
    sum.refused_all_nodes += one.refused_all_nodes;
    sum.without_authority += one.without_authority;
    sum.late_committed += one.late_committed;
    sum.late_conflicts += one.late_conflicts;
    sum.unanswered_txns += one.unanswered_txns;
    sum.slow_answers += one.slow_answers;
    sum.heartbeat_copies += one.heartbeat_copies;
    sum.copies_for_next_leader += one.copies_for_next_leader;
    sum.command_copies_executed += one.command_copies_executed;
    sum.command_copies_refused += one.command_copies_refused;
    sum.txn_copies_committed += one.txn_copies_committed;
    sum.txn_copies_refused += one.txn_copies_refused;
    sum.lost_heartbeats += one.lost_heartbeats;
    sum.lost_replies += one.lost_replies;
    sum.delayed_commands += one.delayed_commands;
    sum.delayed_executed += one.delayed_executed;
    sum.delayed_refused += one.delayed_refused;
    sum.expired_leases += one.expired_leases;
    sum.answers += one.answers;
    sum.unread_heartbeats += one.unread_heartbeats;
    sum.failed_boots += one.failed_boots;
}

/// Runs each combination with its seeds.
///
/// # Panics
///
/// Panics after the last combination with the names of those that failed.
pub fn run_all(combinations: &[FaultCombination]) {
    let mut failures = Vec::new();
    for combination in combinations {
        let outcome = std::panic::catch_unwind(|| {
            let mut sum = Counts::default();
            let mut total = RuleChecker::new(0, Vec::new());
            for seed in 0..SEEDS {
                let mut simulation = Simulation::with(
                    combination.first_seed.wrapping_add(seed),
                    NODES,
                    combination.adjust_config,
                );
                simulation.run(3 * SECOND);
                (combination.inject)(&mut simulation);
                recover_and_check(&mut simulation, &format!("{} (seed {seed})", combination.name));
                add_counts(&mut sum, simulation.counts);
                total.cancellations += simulation.rules.cancellations;
                total.starts_after_cancel += simulation.rules.starts_after_cancel;
            }
            let (cancellations, late_starts) = (total.cancellations, total.starts_after_cancel);
            assert!(
                (combination.took_effect)(&sum, &total),
                "the faults of {:?} did not take effect: {sum:?}, {cancellations} cancellations",
                combination.name
            );
            (sum, cancellations, late_starts)
        });
        match outcome {
            Ok((sum, cancellations, late_starts)) => {
                println!(
                    "{}: {cancellations} cancellations, {late_starts} starts after one, {sum:?}",
                    combination.name
                );
            }
            Err(_) => failures.push(combination.name),
        }
    }
    assert!(failures.is_empty(), "{} combinations failed: {failures:#?}", failures.len());
}
