//! Services, whose replicas run until the service is cancelled, keep every rule under faults.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::{JobSpec, Shape};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];

/// Returns a service with the given number and count of replicas.
pub fn service(n: u32, replicas: u32) -> JobSpec {
    JobSpec { shape: Shape::Service, expect_s: 0.0, due_s: None, cpus: 1.0, ..job(n, replicas) }
}

/// Counts the replicas of a service that are running.
fn replicas(w: &Simulation, id: &str) -> usize {
    let of_service = |t: &&quartzlever_wire::workers::TaskId| t.job == id;
    w.workers.values().map(|m| m.running().iter().filter(of_service).count()).sum()
}

/// A fault of the machines, the leader or the environment of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Replicas exit by themselves, as done, after this many seconds.
    ExitAfter(u64),
    /// The machine of the first replica hangs for this many seconds.
    Hang(u64),
    /// All machines of the service hang from now on.
    AllHang,
    /// Every task fails on the first replica's machine.
    FaultyMachine,
    /// The leader is killed and starts again after this many tenths of a second.
    Restart(u64),
    /// The store is down for this many seconds.
    Outage(u64),
    /// The cloud terminates the first replica's machine after a spot notice of this many seconds.
    SpotNotice(u64),
    /// Neither answers to heartbeats nor direct commands reach the first replica's machine.
    Unreachable,
    /// The heartbeats of the first replica's machine reach no node.
    Silent,
    /// All machines of one zone hang from now on.
    ZoneHangs,
    /// Every task fails on every machine for this many seconds.
    FailsEverywhere(u64),
}

fn inject(w: &mut Simulation, id: &str, fault: Fault) {
    let machines = w.machines_of(id);
    let first = machines.first().cloned().unwrap_or_default();
    match fault {
        Fault::None | Fault::ExitAfter(_) => {}
        Fault::Hang(secs) => {
            w.workers.get_mut(&first).expect("the machine exists").hung = true;
            w.run(secs * SECOND);
            if let Some(worker) = w.workers.get_mut(&first) {
                worker.hung = false;
            }
        }
        Fault::AllHang => {
            for name in &machines {
                w.workers.get_mut(name).expect("the machine exists").hung = true;
            }
        }
        Fault::FaultyMachine => {
            w.workers.get_mut(&first).expect("the machine exists").fails_all_tasks = true
        }
        Fault::Restart(tenths) => {
            let (_, leader) = w.busiest_partition();
            w.restart(leader, tenths * SECOND / 10);
        }
        Fault::Outage(secs) => {
            w.store.outage = true;
            w.run(secs * SECOND);
            let now = w.now;
            w.store.end_outage(now);
        }
        Fault::SpotNotice(secs) => {
            w.workers.get_mut(&first).expect("the machine exists").warning_s = Some(secs as f64);
            w.run(secs * SECOND);
            w.workers.remove(&first);
            w.cloud.machines.remove(&first);
        }
        Fault::Unreachable => drop(w.unreachable_machines.insert(first)),
        Fault::Silent => drop(w.silent_machines.insert(first)),
        Fault::ZoneHangs => {
            let in_zone = w.workers.values_mut().filter(|m| m.instance.zone == "b");
            in_zone.for_each(|m| m.hung = true);
        }
        Fault::FailsEverywhere(secs) => {
            for _ in 0..secs {
                w.workers.values_mut().for_each(|m| m.fails_all_tasks = true);
                w.run(SECOND);
            }
            w.workers.values_mut().for_each(|m| m.fails_all_tasks = false);
        }
    }
}

#[test]
fn replicas_run_until_their_service_is_cancelled() {
    use Fault::*;
    type Change = fn(&mut JobSpec);
    let plain: Change = |_| {};
    let apart: Change = |s| s.spread = true;
    let together: Change = |s| s.one_zone = true;
    let limited: Change = |s| s.team = "tight".into();
    let cases: &[(&str, Change, Fault)] = &[
        ("nothing happens", plain, None),
        ("replicas exit as if done", plain, ExitAfter(5)),
        ("replicas exit at once, repeatedly", plain, ExitAfter(0)),
        ("a machine hangs for 40 s", apart, Hang(40)),
        ("a machine hangs for a moment", apart, Hang(3)),
        ("all machines hang", apart, AllHang),
        ("every task fails on one machine", plain, FaultyMachine),
        ("the leader is back at once", limited, Restart(2)),
        ("the leader is down, a peer takes over", together, Restart(150)),
        ("the store is down", plain, Outage(8)),
        ("the store is down for longer than a lease", plain, Outage(25)),
        ("the cloud terminates a machine after a spot notice", apart, SpotNotice(8)),
        ("a machine is unreachable", apart, Unreachable),
        ("a machine is silent", apart, Silent),
        ("all machines of a zone hang", apart, ZoneHangs),
        ("a team is at its quota as a zone hangs", limited, ZoneHangs),
        ("replicas fail everywhere", plain, FailsEverywhere(40)),
    ];
    for (name, change, fault) in cases {
        for seed in 0..3 {
            let mut w = Simulation::new(seed, NODES);
            w.run(6 * SECOND);
            w.run_time = if let ExitAfter(secs) = fault { secs * SECOND } else { 10_000 * SECOND };
            let mut spec = service(1, 4);
            change(&mut spec);
            assert_eq!(w.submit_until_accepted(seed as usize % 3, &spec), 201, "{name}");
            w.run_with_lookups(15 * SECOND);
            let replicas_exit = matches!(fault, ExitAfter(_));
            if !replicas_exit {
                assert_eq!(replicas(&w, &spec.id), 4, "{name} {seed}: replicas before the fault");
                let spread = w.machines_of(&spec.id).len();
                assert!(spread > 1 || !spec.spread, "{name} {seed}: all replicas on one machine");
            }
            inject(&mut w, &spec.id, *fault);
            w.run_with_lookups(45 * SECOND);
            let running = replicas(&w, &spec.id);
            assert!(
                running == 4 || replicas_exit,
                "{name} {seed}: {running} replicas are running after the fault"
            );
            for n in 0..3 {
                let id = w.lookup(n, &spec.id);
                let phase = w.wait_for_answer(id, SECOND).map(|a| a.1["phase"].clone());
                assert!(
                    phase == Some("running".into()),
                    "{name} {seed}: phase {phase:?} at node {n}"
                );
            }
            let starts: usize = w.workers.values().map(|m| m.started.len()).sum();
            assert!(starts < 120, "{name} {seed}: {starts} starts are too many");
            assert_eq!(
                w.cancel_until_confirmed(1, &spec.id).as_deref(),
                Some("aborted"),
                "{name} {seed}"
            );
            w.run_with_lookups(25 * SECOND);
            assert_eq!(replicas(&w, &spec.id), 0, "{name} {seed}: replicas after the cancellation");
            w.settle_and_check();
            assert!(w.rules.violations.is_empty(), "{name} {seed}: {:?}", &w.rules.violations[..1]);
        }
    }
}

#[test]
fn services_and_arrays_share_the_machines() {
    for seed in 0..4 {
        let mut w = Simulation::new(90 + seed, NODES);
        w.run(3 * SECOND);
        w.run_time = 4 * SECOND;
        for k in 0..6 {
            assert_ne!(w.submit_until_accepted(k as usize % 3, &job(k, 12)), 0);
        }
        // Standard tasks fill the machines when services of the highest priority arrive.
        w.run(2 * SECOND);
        w.workers.values_mut().for_each(|m| m.run_time = 4 * SECOND);
        for k in 10..14 {
            let mut spec = service(k, 3);
            spec.priority = quartzlever_wire::users::Priority::Prod;
            assert_ne!(w.submit_until_accepted(k as usize % 3, &spec), 0);
        }
        w.run_with_lookups(10 * SECOND);
        for k in 10..14 {
            assert!(
                !w.rules.jobs_without_start().contains(&job(k, 1).id.as_str()),
                "{seed}: service {k} has not started"
            );
        }
        w.run_with_lookups(140 * SECOND);
        for k in 0..6 {
            let id = job(k, 1).id;
            assert!(w.final_phase(&id).is_some(), "{seed}: array {k} has not finished");
        }
        w.settle_and_check();
        assert!(w.rules.violations.is_empty(), "{seed}: {:?}", &w.rules.violations[..1]);
    }
}

#[test]
fn service_submissions_are_answered_with_the_expected_status() {
    let mut w = Simulation::new(7, NODES);
    w.run(6 * SECOND);
    type Change = fn(&mut JobSpec);
    let cases: &[(&str, Change, u16)] = &[
        ("fits", |_| {}, 201),
        ("again", |s| s.id = "req-000000".into(), 200),
        ("within the team's quota", |s| (s.team, s.tasks) = ("tight".into(), 4), 201),
        (
            "all replicas together over the team's quota",
            |s| (s.team, s.tasks) = ("tight".into(), 5),
            422,
        ),
        ("too large for any machine", |s| s.cpus = 9.0, 422),
    ];
    for (n, (name, change, status)) in cases.iter().enumerate() {
        let mut spec = service(n as u32, 2);
        change(&mut spec);
        let id = w.submit(n % 3, spec);
        assert_eq!(w.wait_for_answer(id, SECOND).map(|a| a.0), Some(*status), "{name}");
    }
    // A repeated submission is answered with the known job, even if its specification differs.
    let mut spec = service(0, 2);
    (spec.team, spec.tasks) = ("tight".into(), 50);
    let id = w.submit(1, spec);
    assert_eq!(w.wait_for_answer(id, SECOND).map(|a| a.0), Some(200));
}

/// A service that was submitted with a mistake fails on every machine. It is retried with growing
/// delays, and no machine is terminated because of it.
#[test]
fn a_service_that_fails_everywhere_terminates_no_machine() {
    for seed in 0..4 {
        // Idle machines stay, so that a machine is only terminated if it is considered faulty.
        let mut w = Simulation::with(60 + seed, NODES, |config| {
            config.operator.max_idle_boot_times = 1_000.0
        });
        w.run(6 * SECOND);
        w.run_time = 10_000 * SECOND;
        let spec = service(1, 4);
        assert_eq!(w.submit_until_accepted(seed as usize % 3, &spec), 201, "{seed}");
        let mut starts = Vec::new();
        for _ in 0..2 {
            inject(&mut w, &spec.id, Fault::FailsEverywhere(60));
            starts.push(w.workers.values().map(|m| m.started.len()).sum::<usize>());
        }
        let (first, second) = (starts[0], starts[1] - starts[0]);
        assert!(
            first > 0 && second > 0,
            "{seed}: {starts:?} starts: the service is no longer retried"
        );
        assert!(
            second < first && second <= 16,
            "{seed}: {starts:?} starts: the delays do not grow"
        );
        assert!(w.cloud.terminated.is_empty(), "{seed}: {:?} terminated", w.cloud.terminated);
        // Once the tasks no longer fail, all replicas run again.
        w.run_with_lookups(60 * SECOND);
        assert_eq!(replicas(&w, &spec.id), 4, "{seed}");
        w.settle_and_check();
        assert!(w.rules.violations.is_empty(), "{seed}: {:?}", &w.rules.violations[..1]);
    }
}

/// A cancellation right after a fault stops all replicas in time, and every node reports it.
#[test]
fn a_service_can_be_cancelled_during_any_fault() {
    use Fault::*;
    for fault in [
        ExitAfter(0),
        Hang(0),
        AllHang,
        FaultyMachine,
        Restart(2),
        Restart(150),
        SpotNotice(1),
        Unreachable,
        Silent,
        ZoneHangs,
        FailsEverywhere(5),
    ] {
        for seed in 0..2 {
            let mut w = Simulation::new(40 + seed, NODES);
            w.run(6 * SECOND);
            w.run_time = if fault == ExitAfter(0) { 0 } else { 10_000 * SECOND };
            let spec = service(1, 4);
            assert_eq!(w.submit_until_accepted(0, &spec), 201, "{fault:?}");
            w.run_with_lookups(15 * SECOND);
            inject(&mut w, &spec.id, fault);
            assert_eq!(
                w.cancel_until_confirmed(1, &spec.id).as_deref(),
                Some("aborted"),
                "{fault:?}"
            );
            w.run_with_lookups(25 * SECOND);
            let running = replicas(&w, &spec.id);
            assert_eq!(running, 0, "{fault:?} {seed}: replicas after the time for cancellations");
            for n in 0..3 {
                let id = w.lookup(n, &spec.id);
                let phase = w.wait_for_answer(id, 2 * SECOND).map(|a| a.1["phase"].clone());
                assert_eq!(phase, Some("aborted".into()), "{fault:?} {seed}: phase at node {n}");
                assert_eq!(
                    w.submit_until_accepted(n, &spec),
                    200,
                    "{fault:?} {seed}: repeated submission at node {n}"
                );
            }
            w.settle_and_check();
            assert!(
                w.rules.violations.is_empty(),
                "{fault:?} {seed}: {:?}",
                &w.rules.violations[..1]
            );
        }
    }
}
