//! What rows of faults have in common: how one is played, and what must hold after it.

use quartzlever_core::Config;
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_wire::users::{JobPhase, JobSpec};
use quartzlever_wire::{Micros, SECOND};

use crate::services::service;
use crate::sim::{Counts, Simulation, job};

pub const NODES: &[&str] = &["one", "two", "three"];
pub const SEEDS: u64 = 4;

/// One combination.
pub struct FaultCombination {
    pub name: &'static str,
    /// Settings that make the combination harder than the usual ones.
    pub tune: fn(&mut Config),
    pub bring_about: fn(&mut Simulation),
    /// What must be seen over all seeds: that it came about, and nothing that must not.
    pub came: fn(&Counts, &RuleChecker) -> bool,
}

pub fn usual(_: &mut Config) {}

/// Leases in the store that live longer than a cancelled task may.
pub fn long_holds(config: &mut Config) {
    config.operator.lease_life = 15 * SECOND;
}

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
        assert_ne!(w.submit_until_accepted(k as usize % NODES.len(), &spec), 0, "no answer");
        ids.push(spec.id);
    }
    ids
}

/// Jobs with tasks of a minute, all begun.
pub fn long_tasks(w: &mut Simulation) -> Vec<String> {
    w.run_time = 60 * SECOND;
    let ids = submit(w, 0, 5, |_, _| {});
    w.run(7 * SECOND);
    ids
}

/// Services with two replicas each, all up, once every controller takes them.
pub fn services(w: &mut Simulation, team: &str) -> Vec<String> {
    w.run_time = 10_000 * SECOND;
    w.run(3 * SECOND);
    let mut ids = Vec::new();
    for k in 0..4 {
        let spec = JobSpec { team: team.into(), ..service(k, 2) };
        assert_ne!(w.submit_until_accepted(k as usize % NODES.len(), &spec), 0, "no answer");
        ids.push(spec.id);
    }
    w.run(7 * SECOND);
    ids
}

/// The services that are left are cancelled, so that a world comes to its end.
pub fn retire(w: &mut Simulation, ids: &[String]) {
    w.clear_faults();
    for id in ids {
        w.cancel_until_confirmed(0, id);
    }
}

pub fn other(n: usize) -> usize {
    (n + 1) % NODES.len()
}

pub fn hang(w: &mut Simulation, names: &[String], hung: bool) {
    for name in names {
        if let Some(worker) = w.workers.get_mut(name) {
            worker.hung = hung;
        }
    }
}

pub fn all_machines(w: &Simulation) -> Vec<String> {
    w.workers.keys().cloned().collect()
}

pub fn outage(w: &mut Simulation, span: Micros) {
    w.store.outage = true;
    w.run(span);
    let now = w.now;
    w.store.end_outage(now);
}

/// The store refuses the busiest leader alone; `troubles` follow, then it is away for all.
pub fn refused_alone_then_all(
    w: &mut Simulation,
    pause: Micros,
    troubles: impl Fn(&mut Simulation, &[String]),
) {
    let ids = long_tasks(w);
    cancelled_in_refusal(w, &ids, pause, troubles);
}

pub fn cancelled_in_refusal(
    w: &mut Simulation,
    ids: &[String],
    pause: Micros,
    troubles: impl Fn(&mut Simulation, &[String]),
) {
    let (_, leader) = w.busiest_partition();
    w.refused_by_store.insert(leader);
    w.run(pause);
    for id in &ids[..3] {
        w.cancel_until_confirmed(other(leader), id);
    }
    w.store.outage = true;
    troubles(w, &ids[..3]);
    w.run(4 * SECOND);
    w.refused_by_store.clear();
    w.run(30 * SECOND);
    let now = w.now;
    w.store.end_outage(now);
}

/// A node and the machines of zone "a" are cut off from everything else.
pub fn cut_zone(w: &mut Simulation, node: usize) {
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

/// After the troubles: what must hold however a world went.
pub fn mark_healthy(w: &mut Simulation, name: &str) {
    w.clear_faults();
    let calm = w.now;
    w.run_time = 3 * SECOND;
    w.workers.values_mut().for_each(|worker| worker.run_time = 3 * SECOND);
    w.run_with_lookups(90 * SECOND);
    if w.has_free_capacity() {
        assert!(w.rules.waiting().is_empty(), "{name}: {:?} wait", w.rules.waiting());
    }
    w.run_with_lookups(60 * SECOND);
    let now = w.now;
    w.rules.unanswered(now, calm + 75 * SECOND);
    w.check_liveness(calm);
    assert!(w.rules.broken.is_empty(), "{name}: {:?}", &w.rules.broken[..1]);
    for id in w.rules.accepted() {
        let told = w.rules.cancelled(&id).is_some();
        let expected = if told { JobPhase::Cancelled } else { JobPhase::Done };
        let over = w.final_phase(&id);
        // A cancellation that was asked for may have come into force without its answer.
        assert!(
            over == Some(expected)
                || (over == Some(JobPhase::Cancelled) && w.rules.asked_to_cancel(&id)),
            "{name}: {id} is {over:?}"
        );
    }
}

pub fn add(sum: &mut Counts, one: Counts) {
    sum.acquisitions += one.acquisitions;
    sum.refused_one_node += one.refused_one_node;
    sum.refused_all_nodes += one.refused_all_nodes;
    sum.without_authority += one.without_authority;
    sum.late_committed += one.late_committed;
    sum.late_conflicts += one.late_conflicts;
    sum.unanswered_txns += one.unanswered_txns;
    sum.heartbeat_copies += one.heartbeat_copies;
    sum.copies_for_next_leader += one.copies_for_next_leader;
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

/// Plays each combination with a few seeds.
pub fn play_all(combinations: &[FaultCombination]) {
    let mut failures = Vec::new();
    for combination in combinations {
        let outcome = std::panic::catch_unwind(|| {
            let mut sum = Counts::default();
            let mut total = RuleChecker::new(0, Vec::new());
            // The same for a row wherever it stands in the table.
            let first =
                combination.name.bytes().fold(7, |h: u64, b| h.wrapping_mul(31) + u64::from(b));
            for seed in 0..SEEDS {
                let mut simulation =
                    Simulation::with(first.wrapping_add(seed), NODES, combination.tune);
                simulation.run(3 * SECOND);
                (combination.bring_about)(&mut simulation);
                mark_healthy(&mut simulation, &format!("{} (seed {seed})", combination.name));
                add(&mut sum, simulation.counts);
                total.cancellations += simulation.rules.cancellations;
                total.starts_after_cancel += simulation.rules.starts_after_cancel;
            }
            let (told, late) = (total.cancellations, total.starts_after_cancel);
            assert!(
                (combination.came)(&sum, &total),
                "{} did not come about: {sum:?}, {told} cancellations",
                combination.name
            );
            (sum, told, late)
        });
        match outcome {
            Ok((sum, told, late)) => {
                println!(
                    "{}: {told} cancellations, {late} starts after one, {sum:?}",
                    combination.name
                );
            }
            Err(_) => failures.push(combination.name),
        }
    }
    assert!(failures.is_empty(), "{} rows: {failures:#?}", failures.len());
}
