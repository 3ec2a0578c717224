//! The safety statements, driven against pure cores: messages reordered, repeated, lost and
//! late, processes killed, machines hung, networks cut.

use crate::sim::{FaultRates, Simulation, job};
use quartzlever_wire::SECOND;
use quartzlever_wire::users::JobPhase;

const NODES: &[&str] = &["one", "two", "three"];

/// Trouble that befalls the world while it has work.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// A node is killed and starts again after so many tenths of a second.
    Kill(usize, u64),
    /// All nodes are killed during an outage of the store, and start again in it.
    KillAllInOutage,
    Outage(u64),
    /// A machine executes nothing for so many seconds.
    Hang(u64),
    /// A node cannot reach any machine, nor they it, for so many seconds.
    Cut(usize, u64),
    /// Nobody can reach the machines for so many seconds while all nodes are restarted; with or
    /// without a cloud that could take the machines back.
    Unreachable(u64, bool),
    /// One machine is out of everybody's reach for so many seconds, with the cloud down.
    Lose(u64),
    /// One node alone gets no answer from the store for so many seconds.
    RefusedByStore(usize, u64),
    /// One node has neither the store nor its peers for so many seconds, only workers.
    OnlyWorkers(usize, u64),
    /// One node loses its workers while no peer reaches another.
    CutUntold(usize, u64),
    /// One node stands still for so many seconds while its clocks run on.
    Pause(usize, u64),
    /// Every task fails on one machine.
    Faulty,
    /// A node is stopped for good.
    TerminatedMachines(usize),
}

fn inject(simulation: &mut Simulation, trouble: Fault) {
    match trouble {
        Fault::None => simulation.run(SECOND),
        Fault::Kill(n, tenths) => {
            simulation.kill(n);
            simulation.run(tenths * SECOND / 10);
            simulation.start(n);
        }
        Fault::KillAllInOutage => {
            simulation.store.outage = true;
            simulation.run(SECOND);
            for n in 0..NODES.len() {
                simulation.kill(n);
            }
            simulation.run(2 * SECOND);
            for n in 0..NODES.len() {
                simulation.start(n);
            }
            simulation.run(6 * SECOND);
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        Fault::Outage(secs) => {
            simulation.store.outage = true;
            simulation.run(secs * SECOND);
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        Fault::Hang(secs) => {
            let name = simulation.workers.keys().next().cloned();
            if let Some(worker) = name.as_ref().and_then(|n| simulation.workers.get_mut(n)) {
                worker.hung = true;
            }
            simulation.run(secs * SECOND);
            if let Some(worker) = name.as_ref().and_then(|n| simulation.workers.get_mut(n)) {
                worker.hung = false;
            }
        }
        Fault::Cut(n, secs) => {
            let names: Vec<String> = simulation.workers.keys().cloned().collect();
            simulation.severed_links.extend(names.into_iter().map(|name| (n, name)));
            simulation.run(secs * SECOND);
            simulation.severed_links.clear();
        }
        Fault::Unreachable(secs, cloud) => {
            let names: Vec<String> = simulation.workers.keys().cloned().collect();
            for n in 0..NODES.len() {
                simulation.severed_links.extend(names.iter().map(|name| (n, name.clone())));
                simulation.kill(n);
                simulation.start(n);
            }
            simulation.cloud_down = !cloud;
            simulation.run(secs * SECOND);
            simulation.severed_links.clear();
            simulation.cloud_down = false;
        }
        Fault::Lose(secs) => {
            let busy = simulation.workers.iter().find(|(_, w)| !w.running().is_empty());
            let name = busy.map(|(name, _)| name.clone()).unwrap_or_default();
            simulation.severed_links.extend((0..NODES.len()).map(|n| (n, name.clone())));
            simulation.cloud_down = true;
            simulation.run(secs * SECOND);
            simulation.severed_links.clear();
            simulation.cloud_down = false;
        }
        Fault::RefusedByStore(n, secs) => {
            simulation.refused_by_store.insert(n);
            simulation.run(secs * SECOND);
            simulation.refused_by_store.clear();
        }
        Fault::OnlyWorkers(n, secs) => {
            simulation.refused_by_store.insert(n);
            simulation.isolated_from_peers.insert(n);
            simulation.run(secs * SECOND);
            simulation.refused_by_store.clear();
            simulation.isolated_from_peers.clear();
        }
        Fault::CutUntold(n, secs) => {
            simulation.isolated_from_peers.extend(0..NODES.len());
            inject(simulation, Fault::Cut(n, secs));
            simulation.isolated_from_peers.clear();
        }
        Fault::Pause(n, secs) => {
            simulation.paused.insert(n);
            simulation.run(secs * SECOND);
            simulation.paused.clear();
        }
        Fault::Faulty => {
            if let Some(worker) = simulation.workers.values_mut().next() {
                worker.faulty = true;
            }
            simulation.run(SECOND);
        }
        Fault::TerminatedMachines(n) => simulation.kill(n),
    }
}

#[test]
fn work_is_done_once_whatever_befalls() {
    use Fault::*;
    let bad = FaultRates { lost_answers: 4, late_calls: 4, ..FaultRates::default() };
    let good = FaultRates::default();
    let cases: &[(&str, FaultRates, &[Fault])] = &[
        ("nothing happens", good, &[None]),
        ("calls are lost and come late", bad, &[None, None]),
        ("a node is restarted at once", good, &[Kill(0, 1), Kill(0, 2), Kill(0, 5)]),
        ("a node is restarted in the middle of an acquisition", bad, &[Kill(1, 1), Kill(1, 1)]),
        ("nodes roll", bad, &[Kill(0, 20), Kill(1, 20), Kill(2, 20)]),
        ("a node is away long enough to be taken over", bad, &[Kill(2, 120)]),
        ("a node goes for good", good, &[TerminatedMachines(0)]),
        ("an outage outlasts the holds", bad, &[Outage(9)]),
        ("all are killed in an outage", bad, &[KillAllInOutage]),
        ("a machine hangs within its lease", good, &[Hang(3)]),
        ("a machine hangs and resumes during recovery", bad, &[Hang(10), Kill(0, 1), Hang(6)]),
        ("a machine hangs over its lease", bad, &[Hang(16)]),
        ("a cut holds packets across a takeover", bad, &[Cut(0, 5), Kill(0, 90), Cut(1, 6)]),
        ("machines are out of reach across a restart", good, &[Unreachable(8, true)]),
        ("so they are, with the cloud down", good, &[Unreachable(8, false)]),
        ("so they are, longer than their lease", bad, &[Unreachable(20, false)]),
        ("a machine is out of reach, with the cloud down", good, &[Lose(9)]),
        ("so it is, for longer than its lease", bad, &[Lose(18)]),
        (
            "a node alone is refused by the state service",
            bad,
            &[RefusedByStore(0, 12), RefusedByStore(1, 3)],
        ),
        ("a node loses the workers, beyond their lease", good, &[Cut(0, 20)]),
        ("two nodes do so, one after the other", bad, &[Cut(1, 14), Cut(2, 14)]),
        ("a node loses the workers, and no peer reaches it", bad, &[CutUntold(0, 14)]),
        ("a node has only its workers left", bad, &[OnlyWorkers(0, 4), OnlyWorkers(2, 14)]),
        ("a node stands still, and its hold lives on", bad, &[Pause(0, 3), Pause(1, 4)]),
        ("a node stands still beyond its hold", bad, &[Pause(0, 9), Pause(2, 16)]),
        ("it does so in an outage, and is restarted", bad, &[Outage(6), Pause(1, 14), Kill(1, 1)]),
        ("one machine fails all", good, &[Faulty]),
    ];
    for (n, (name, fault_rates, troubles)) in cases.iter().enumerate() {
        for seed in 0..6 {
            let mut simulation = Simulation::new(100 * n as u64 + seed, NODES);
            simulation.run(3 * SECOND);
            simulation.fault_rates = *fault_rates;
            let mut more = 3;
            if matches!(troubles.first(), Some(Unreachable(..) | Lose(_))) {
                // Tasks that outlast the trouble, so that a second start would meet the first,
                // and room for that.
                simulation.run_time = 11 * SECOND;
                more = 0;
            }
            let mut jobs = Vec::new();
            for k in 0..6 {
                let mut spec = job(k, 4 + more * k);
                if k == 3 {
                    spec.team = "tight".into();
                }
                spec.one_zone = k == 4;
                assert_ne!(
                    simulation.submit_until_accepted(k as usize % 3, &spec),
                    0,
                    "{name}: no answer"
                );
                jobs.push(spec.id);
            }
            simulation.run(2 * SECOND);
            for trouble in *troubles {
                inject(&mut simulation, *trouble);
                simulation.run(4 * SECOND);
            }
            let up = if matches!(troubles.first(), Some(TerminatedMachines(0))) { 1 } else { 0 };
            let ended = simulation.cancel_until_confirmed(up, &jobs[5]);
            assert!(ended.is_some(), "{name} {seed}: cancellation is never answered");
            simulation.run(150 * SECOND);
            simulation.settle_and_check();
            assert!(
                simulation.rules.broken.is_empty(),
                "{name} {seed}: {:?}",
                &simulation.rules.broken[..1]
            );
            for id in &jobs[..5] {
                assert_eq!(simulation.final_phase(id), Some(JobPhase::Done), "{name} {seed}: {id}");
            }
        }
    }
}

#[test]
fn a_lost_steal_write_gives_nothing_away_twice() {
    // One node has all the work, the others are idle: steals happen, and their writes are lost
    // or come into force late.
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, NODES);
        simulation.run(3 * SECOND);
        simulation.run_time = SECOND;
        simulation.fault_rates =
            FaultRates { lost_answers: 5, late_calls: 25, ..FaultRates::default() };
        for k in 0..5 {
            assert_ne!(simulation.submit_until_accepted(0, &job(k, 20)), 0);
        }
        simulation.run(240 * SECOND);
        simulation.settle_and_check();
        assert!(simulation.rules.broken.is_empty(), "{seed}: {:?}", &simulation.rules.broken[..1]);
        for k in 0..5 {
            assert_eq!(
                simulation.final_phase(&format!("req-{k:06}")),
                Some(JobPhase::Done),
                "{seed} {k}"
            );
        }
    }
}

#[test]
fn preempting_what_was_hardly_started_starts_nothing_twice() {
    // Urgent jobs keep displacing tasks whose `run` is still on its way, by two roads: the
    // answer to a heartbeat and a direct command.
    for seed in 0..25 {
        let mut simulation = Simulation::new(seed, NODES);
        simulation.run(3 * SECOND);
        simulation.run_time = 4 * SECOND;
        simulation.fault_rates = FaultRates { late_calls: 12, ..FaultRates::default() };
        for k in 0..4 {
            assert_ne!(simulation.submit_until_accepted(k as usize % 3, &job(k, 16)), 0);
        }
        for k in 10..22 {
            let mut spec = job(k, 4);
            spec.priority = quartzlever_wire::users::Priority::Urgent;
            spec.due_s = Some(5.0);
            assert_ne!(simulation.submit_until_accepted(k as usize % 3, &spec), 0);
            simulation.run(SECOND);
        }
        simulation.run(120 * SECOND);
        simulation.settle_and_check();
        assert!(simulation.rules.broken.is_empty(), "{seed}: {:?}", &simulation.rules.broken[..1]);
        for k in (0..4).chain(10..22) {
            assert_eq!(
                simulation.final_phase(&format!("req-{k:06}")),
                Some(JobPhase::Done),
                "{seed} {k}"
            );
        }
    }
}

#[test]
fn cancelling_meets_starting_and_finishing() {
    // (tenths of a second between acceptance and cancellation, what the answers may be)
    for (tenths, may) in [
        (0, vec!["aborted"]),
        (5, vec!["aborted"]),
        (30, vec!["aborted", "done"]),
        (150, vec!["done"]),
    ] {
        for seed in 0..4 {
            let mut simulation = Simulation::new(seed, NODES);
            simulation.run(6 * SECOND);
            assert_eq!(simulation.submit_until_accepted(seed as usize % 3, &job(1, 3)), 201);
            simulation.run(tenths * SECOND / 10);
            let phase = simulation.cancel_until_confirmed((seed as usize + 1) % 3, "req-000001");
            assert!(may.contains(&phase.as_deref().unwrap_or("")), "{tenths} {seed}: {phase:?}");
            simulation.run(30 * SECOND);
            simulation.settle_and_check();
            assert!(
                simulation.rules.broken.is_empty(),
                "{tenths} {seed}: {:?}",
                &simulation.rules.broken[..1]
            );
            // Whatever was said stays true, at every node.
            for n in 0..3 {
                let id = simulation.lookup(n, "req-000001");
                let answer = simulation.wait_for_answer(id, SECOND).map(|a| a.1["phase"].clone());
                assert_eq!(answer, phase.clone().map(Into::into), "{tenths} {seed} node {n}");
            }
        }
    }
}

#[test]
fn submissions_get_the_right_answer() {
    let mut simulation = Simulation::new(7, NODES);
    simulation.run(3 * SECOND);
    let unlike = |change: fn(&mut quartzlever_wire::users::JobSpec)| {
        let mut spec = job(50, 2);
        change(&mut spec);
        spec
    };
    let cases = [
        ("new", job(1, 2), 201),
        ("again", job(1, 2), 200),
        (
            "again, with a team that nobody knows",
            unlike(|s| {
                s.id = "req-000001".into();
                s.team = "nobody".into();
            }),
            200,
        ),
        ("unknown team", unlike(|s| s.team = "nobody".into()), 422),
        ("too large for any type", unlike(|s| s.cpus = 9.0), 422),
        ("no such type", unlike(|s| s.types = Some(vec!["x".into()])), 422),
        ("no such zone", unlike(|s| s.zone = Some("x".into())), 422),
        (
            "too long to be kept",
            unlike(|s| s.types = Some(vec!["m".into(), "x".repeat(17 * 1024)])),
            422,
        ),
        (
            "over the team's limit",
            unlike(|s| {
                s.team = "tight".into();
                s.cpus = 5.0;
            }),
            422,
        ),
    ];
    for (n, (name, spec, status)) in cases.into_iter().enumerate() {
        let id = simulation.submit(n % 3, spec);
        assert_eq!(simulation.wait_for_answer(id, SECOND).map(|a| a.0), Some(status), "{name}");
    }
    for n in 0..3 {
        let id = simulation.lookup(n, "req-000999");
        assert_eq!(
            simulation.wait_for_answer(id, SECOND).map(|a| a.0),
            Some(404),
            "never submitted"
        );
    }
    // In an outage everything is answered at once with a time to come back.
    simulation.store.outage = true;
    let id = simulation.submit(0, job(2, 2));
    assert_eq!(simulation.wait_for_answer(id, SECOND).map(|a| a.0), Some(503), "outage");
}

#[test]
fn a_large_job_stays_within_the_limits_of_a_value() {
    let mut simulation = Simulation::new(3, NODES);
    simulation.run(3 * SECOND);
    simulation.run_time = SECOND / 4;
    assert_eq!(simulation.submit_until_accepted(0, &job(1, 100_000)), 201);
    for _ in 0..30 {
        simulation.run(2 * SECOND);
        let size = simulation.store.get("live/req-000001").map_or(0, |(v, _)| v.text().len());
        assert!(size > 0 && size <= 16 * 1024, "{size}");
    }
    simulation.settle_and_check();
    assert!(simulation.rules.broken.is_empty(), "{:?}", &simulation.rules.broken[..1]);
}
