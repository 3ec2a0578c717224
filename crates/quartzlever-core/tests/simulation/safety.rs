//! The safety rules hold while messages are reordered, repeated, lost and delayed, processes are
//! killed and paused, machines hang, and network links are severed.

use crate::sim::{FaultRates, Simulation, job};
use quartzlever_wire::SECOND;
use quartzlever_wire::users::JobPhase;

const NODES: &[&str] = &["one", "two", "three"];

/// A fault that is injected while jobs run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// Kills a node and starts it again after this many tenths of a second.
    Kill(usize, u64),
    /// Kills all nodes during an outage of the store, and starts them again in it.
    KillAllInOutage,
    /// Takes the store down for this many seconds.
    Outage(u64),
    /// Hangs one machine for this many seconds.
    Hang(u64),
    /// Severs the links between a node and all machines for this many seconds. Commands on a
    /// severed link arrive 8 s late.
    SeverNode(usize, u64),
    /// Severs the links of all machines for this many seconds and restarts all nodes meanwhile.
    /// With `true`, the cloud is up and can terminate the machines.
    SeverAllMachines(u64, bool),
    /// Severs the links of one busy machine for this many seconds, with the cloud down.
    SeverOneMachine(u64),
    /// Lets the store refuse a single node for this many seconds.
    RefusedByStore(usize, u64),
    /// Leaves a node with neither the store nor its peers for this many seconds, only with workers.
    OnlyWorkers(usize, u64),
    /// Severs the links between a node and all machines while no node reaches a peer.
    SeverNodeWithoutPeers(usize, u64),
    /// Pauses a node for this many seconds, while its clocks run on.
    Pause(usize, u64),
    /// Lets every task fail on one machine.
    FaultyMachine,
    /// Stops a node permanently.
    Stop(usize),
}

fn inject(simulation: &mut Simulation, fault: Fault) {
    match fault {
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
        Fault::SeverNode(n, secs) => {
            let names: Vec<String> = simulation.workers.keys().cloned().collect();
            simulation.severed_links.extend(names.into_iter().map(|name| (n, name)));
            simulation.run(secs * SECOND);
            simulation.severed_links.clear();
        }
        Fault::SeverAllMachines(secs, cloud_up) => {
            let names: Vec<String> = simulation.workers.keys().cloned().collect();
            for n in 0..NODES.len() {
                simulation.severed_links.extend(names.iter().map(|name| (n, name.clone())));
                simulation.kill(n);
                simulation.start(n);
            }
            simulation.cloud_down = !cloud_up;
            simulation.run(secs * SECOND);
            simulation.severed_links.clear();
            simulation.cloud_down = false;
        }
        Fault::SeverOneMachine(secs) => {
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
        Fault::SeverNodeWithoutPeers(n, secs) => {
            simulation.isolated_from_peers.extend(0..NODES.len());
            inject(simulation, Fault::SeverNode(n, secs));
            simulation.isolated_from_peers.clear();
        }
        Fault::Pause(n, secs) => {
            simulation.paused.insert(n);
            simulation.run(secs * SECOND);
            simulation.paused.clear();
        }
        Fault::FaultyMachine => {
            if let Some(worker) = simulation.workers.values_mut().next() {
                worker.fails_all_tasks = true;
            }
            simulation.run(SECOND);
        }
        Fault::Stop(n) => simulation.kill(n),
    }
}

#[test]
fn every_job_finishes_and_no_rule_is_broken_under_any_fault() {
    use Fault::*;
    let unreliable = FaultRates { lost_answers: 4, late_calls: 4, ..FaultRates::default() };
    let reliable = FaultRates::default();
    let cases: &[(&str, FaultRates, &[Fault])] = &[
        ("nothing happens", reliable, &[None]),
        ("answers are lost and calls are executed late", unreliable, &[None, None]),
        ("a node is restarted at once", reliable, &[Kill(0, 1), Kill(0, 2), Kill(0, 5)]),
        (
            "a node is restarted in the middle of an acquisition",
            unreliable,
            &[Kill(1, 1), Kill(1, 1)],
        ),
        (
            "all nodes are restarted one after another",
            unreliable,
            &[Kill(0, 20), Kill(1, 20), Kill(2, 20)],
        ),
        ("a node is down long enough for a takeover", unreliable, &[Kill(2, 120)]),
        ("a node is stopped permanently", reliable, &[Stop(0)]),
        ("an outage outlasts the leases of controllers", unreliable, &[Outage(9)]),
        ("all nodes are killed in an outage", unreliable, &[KillAllInOutage]),
        ("a machine hangs within its lease", reliable, &[Hang(3)]),
        (
            "a machine hangs and resumes during recovery",
            unreliable,
            &[Hang(10), Kill(0, 1), Hang(6)],
        ),
        ("a machine hangs for longer than its lease", unreliable, &[Hang(16)]),
        (
            "severed links delay commands beyond a takeover",
            unreliable,
            &[SeverNode(0, 5), Kill(0, 90), SeverNode(1, 6)],
        ),
        ("machines are cut off across a restart", reliable, &[SeverAllMachines(8, true)]),
        (
            "machines are cut off across a restart, cloud down",
            reliable,
            &[SeverAllMachines(8, false)],
        ),
        (
            "machines are cut off for longer than their lease, cloud down",
            unreliable,
            &[SeverAllMachines(20, false)],
        ),
        ("one machine is cut off, cloud down", reliable, &[SeverOneMachine(9)]),
        (
            "one machine is cut off for longer than its lease, cloud down",
            unreliable,
            &[SeverOneMachine(18)],
        ),
        (
            "the store refuses a single node",
            unreliable,
            &[RefusedByStore(0, 12), RefusedByStore(1, 3)],
        ),
        ("a node loses the workers for longer than their lease", reliable, &[SeverNode(0, 20)]),
        (
            "two nodes lose the workers one after the other",
            unreliable,
            &[SeverNode(1, 14), SeverNode(2, 14)],
        ),
        (
            "a node loses the workers, all peers are isolated",
            unreliable,
            &[SeverNodeWithoutPeers(0, 14)],
        ),
        ("a node reaches only its workers", unreliable, &[OnlyWorkers(0, 4), OnlyWorkers(2, 14)]),
        ("a node is paused for less than its lease", unreliable, &[Pause(0, 3), Pause(1, 4)]),
        ("a node is paused for longer than its lease", unreliable, &[Pause(0, 9), Pause(2, 16)]),
        (
            "a node is paused after an outage, and is restarted",
            unreliable,
            &[Outage(6), Pause(1, 14), Kill(1, 1)],
        ),
        ("every task fails on one machine", reliable, &[FaultyMachine]),
    ];
    for (n, (name, fault_rates, faults)) in cases.iter().enumerate() {
        for seed in 0..6 {
            let mut simulation = Simulation::new(100 * n as u64 + seed, NODES);
            simulation.run(3 * SECOND);
            simulation.fault_rates = *fault_rates;
            let mut additional_tasks = 3;
            if matches!(faults.first(), Some(SeverAllMachines(..) | SeverOneMachine(_))) {
                // The tasks outlast the fault, so that a second start would overlap with the first,
                // and free capacity is left for a second start.
                simulation.run_time = 11 * SECOND;
                additional_tasks = 0;
            }
            let mut jobs = Vec::new();
            for k in 0..6 {
                let mut spec = job(k, 4 + additional_tasks * k);
                if k == 3 {
                    spec.team = "tight".into();
                }
                spec.one_zone = k == 4;
                assert_ne!(
                    simulation.submit_until_accepted(k as usize % 3, &spec),
                    0,
                    "{name}: the submission of job {k} got no answer"
                );
                jobs.push(spec.id);
            }
            simulation.run(2 * SECOND);
            for fault in *faults {
                inject(&mut simulation, *fault);
                simulation.run(4 * SECOND);
            }
            let running_node = if matches!(faults.first(), Some(Stop(0))) { 1 } else { 0 };
            let cancelled = simulation.cancel_until_confirmed(running_node, &jobs[5]);
            assert!(cancelled.is_some(), "{name} {seed}: the cancellation is never answered");
            simulation.run(150 * SECOND);
            simulation.settle_and_check();
            assert!(
                simulation.rules.violations.is_empty(),
                "{name} {seed}: {:?}",
                &simulation.rules.violations[..1]
            );
            for id in &jobs[..5] {
                assert_eq!(simulation.final_phase(id), Some(JobPhase::Done), "{name} {seed}: {id}");
            }
        }
    }
}

#[test]
fn a_lost_or_late_steal_transaction_moves_no_task_twice() {
    // One node gets all jobs and the others steal from it. The answers to the transactions of the
    // steals are lost, or the transactions are committed late.
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
        assert!(
            simulation.rules.violations.is_empty(),
            "{seed}: {:?}",
            &simulation.rules.violations[..1]
        );
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
fn preempting_a_task_whose_start_is_in_flight_starts_no_task_twice() {
    // Urgent jobs keep preempting tasks whose `run` is still in flight in either of two ways: in
    // the answer to a heartbeat and in a direct command.
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
        assert!(
            simulation.rules.violations.is_empty(),
            "{seed}: {:?}",
            &simulation.rules.violations[..1]
        );
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
fn a_cancellation_that_races_with_start_or_completion_is_answered_consistently() {
    // (tenths of a second between acceptance and cancellation, allowed phases in the answer)
    for (tenths, allowed) in [
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
            assert!(
                allowed.contains(&phase.as_deref().unwrap_or("")),
                "{tenths} {seed}: {phase:?}"
            );
            simulation.run(30 * SECOND);
            simulation.settle_and_check();
            assert!(
                simulation.rules.violations.is_empty(),
                "{tenths} {seed}: {:?}",
                &simulation.rules.violations[..1]
            );
            // Every node reports the same phase as the answer to the cancellation.
            for n in 0..3 {
                let id = simulation.lookup(n, "req-000001");
                let answer = simulation.wait_for_answer(id, SECOND).map(|a| a.1["phase"].clone());
                assert_eq!(answer, phase.clone().map(Into::into), "{tenths} {seed} node {n}");
            }
        }
    }
}

#[test]
fn submissions_are_answered_with_the_expected_status() {
    let mut simulation = Simulation::new(7, NODES);
    simulation.run(3 * SECOND);
    let changed = |change: fn(&mut quartzlever_wire::users::JobSpec)| {
        let mut spec = job(50, 2);
        change(&mut spec);
        spec
    };
    let cases = [
        ("new", job(1, 2), 201),
        ("again", job(1, 2), 200),
        (
            "again, with an unknown team",
            changed(|s| {
                s.id = "req-000001".into();
                s.team = "nobody".into();
            }),
            200,
        ),
        ("unknown team", changed(|s| s.team = "nobody".into()), 422),
        ("too large for any machine type", changed(|s| s.cpus = 9.0), 422),
        ("unknown machine type", changed(|s| s.types = Some(vec!["x".into()])), 422),
        ("unknown zone", changed(|s| s.zone = Some("x".into())), 422),
        (
            "too long to be stored",
            changed(|s| s.types = Some(vec!["m".into(), "x".repeat(17 * 1024)])),
            422,
        ),
        (
            "over the team's quota",
            changed(|s| {
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
            "a job that was never submitted, at node {n}"
        );
    }
    // In an outage of the store, every request is answered at once with 503 and a time to retry.
    simulation.store.outage = true;
    let id = simulation.submit(0, job(2, 2));
    assert_eq!(simulation.wait_for_answer(id, SECOND).map(|a| a.0), Some(503), "outage");
}

#[test]
fn the_record_of_a_large_job_stays_within_the_value_limit() {
    let mut simulation = Simulation::new(3, NODES);
    simulation.run(3 * SECOND);
    simulation.run_time = SECOND / 4;
    assert_eq!(simulation.submit_until_accepted(0, &job(1, 100_000)), 201);
    for _ in 0..30 {
        simulation.run(2 * SECOND);
        let size = simulation.store.get("live/req-000001").map_or(0, |(v, _)| v.text().len());
        assert!(size > 0 && size <= 16 * 1024, "the record has {size} bytes");
    }
    simulation.settle_and_check();
    assert!(simulation.rules.violations.is_empty(), "{:?}", &simulation.rules.violations[..1]);
}
