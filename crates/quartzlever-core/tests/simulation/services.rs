//! Services: jobs whose replicas run until they are cancelled, under the eyes of the rule checker.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::{JobSpec, Shape};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];

pub fn service(n: u32, replicas: u32) -> JobSpec {
    JobSpec { shape: Shape::Service, expect_s: 0.0, due_s: None, cpus: 1.0, ..job(n, replicas) }
}

/// Replicas that are on machines now.
fn replicas(w: &Simulation, id: &str) -> usize {
    let on = |t: &&quartzlever_wire::workers::TaskId| t.job == id;
    w.workers.values().map(|m| m.running().iter().filter(on).count()).sum()
}

/// What befalls the machines, the leader, or the world of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Replicas end by themselves, as done, after so many seconds.
    EndAfter(u64),
    /// The machine of the first replica hangs for so many seconds.
    Hang(u64),
    /// All its machines fall silent at once.
    AllHang,
    /// Every task fails on the first replica's machine.
    Faulty,
    /// The leader ends and is back after so many tenths of a second.
    Restart(u64),
    Outage(u64),
    /// The first replica's machine is taken back by the cloud, with a notice of so many seconds.
    SpotNotice(u64),
    /// The first replica's machine reports, but hears nothing.
    Deaf,
    /// It hears, but its heartbeats do not arrive.
    Mute,
    /// All machines of one zone stop.
    ZoneLost,
    /// Every task fails on every machine for so many seconds.
    FailsEverywhere(u64),
}

fn inject(w: &mut Simulation, id: &str, trouble: Fault) {
    let machines = w.machines_of(id);
    let first = machines.first().cloned().unwrap_or_default();
    match trouble {
        Fault::None | Fault::EndAfter(_) => {}
        Fault::Hang(secs) => {
            w.workers.get_mut(&first).expect("it runs").hung = true;
            w.run(secs * SECOND);
            if let Some(worker) = w.workers.get_mut(&first) {
                worker.hung = false;
            }
        }
        Fault::AllHang => {
            for name in &machines {
                w.workers.get_mut(name).expect("it runs").hung = true;
            }
        }
        Fault::Faulty => w.workers.get_mut(&first).expect("it runs").faulty = true,
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
            w.workers.get_mut(&first).expect("it runs").warning_s = Some(secs as f64);
            w.run(secs * SECOND);
            w.workers.remove(&first);
            w.cloud.machines.remove(&first);
        }
        Fault::Deaf => drop(w.unreachable_machines.insert(first)),
        Fault::Mute => drop(w.silent_machines.insert(first)),
        Fault::ZoneLost => {
            let in_zone = w.workers.values_mut().filter(|m| m.instance.zone == "b");
            in_zone.for_each(|m| m.hung = true);
        }
        Fault::FailsEverywhere(secs) => {
            for _ in 0..secs {
                w.workers.values_mut().for_each(|m| m.faulty = true);
                w.run(SECOND);
            }
            w.workers.values_mut().for_each(|m| m.faulty = false);
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
        ("replicas end as if done", plain, EndAfter(5)),
        ("replicas end at once, over and over", plain, EndAfter(0)),
        ("a machine hangs for good", apart, Hang(40)),
        ("a machine hangs for a moment", apart, Hang(3)),
        ("all machines fall silent", apart, AllHang),
        ("a machine fails all", plain, Faulty),
        ("the holder is back at once", limited, Restart(2)),
        ("the holder is away, a peer takes over", together, Restart(150)),
        ("the store is away", plain, Outage(8)),
        ("the store is away for longer than a lease", plain, Outage(25)),
        ("the cloud takes a machine back", apart, SpotNotice(8)),
        ("a machine hears nothing", apart, Deaf),
        ("a machine is not heard", apart, Mute),
        ("a zone is lost", apart, ZoneLost),
        ("a team is at its limit as a zone is lost", limited, ZoneLost),
        ("replicas fail everywhere", plain, FailsEverywhere(40)),
    ];
    for (name, change, trouble) in cases {
        for seed in 0..3 {
            let mut w = Simulation::new(seed, NODES);
            w.run(6 * SECOND);
            w.run_time = if let EndAfter(secs) = trouble { secs * SECOND } else { 10_000 * SECOND };
            let mut spec = service(1, 4);
            change(&mut spec);
            assert_eq!(w.submit_until_accepted(seed as usize % 3, &spec), 201, "{name}");
            w.run_with_lookups(15 * SECOND);
            let short = matches!(trouble, EndAfter(_));
            if !short {
                assert_eq!(replicas(&w, &spec.id), 4, "{name} {seed}: up at first");
                let spread = w.machines_of(&spec.id).len();
                assert!(spread > 1 || !spec.spread, "{name} {seed}: all on one machine");
            }
            inject(&mut w, &spec.id, *trouble);
            w.run_with_lookups(45 * SECOND);
            let up = replicas(&w, &spec.id);
            assert!(up == 4 || short, "{name} {seed}: {up} replicas are up again");
            for n in 0..3 {
                let id = w.lookup(n, &spec.id);
                let phase = w.wait_for_answer(id, SECOND).map(|a| a.1["phase"].clone());
                assert!(phase == Some("running".into()), "{name} {seed}: {phase:?} at {n}");
            }
            let starts: usize = w.workers.values().map(|m| m.started.len()).sum();
            assert!(starts < 120, "{name} {seed}: {starts} starts are a hammering");
            assert_eq!(
                w.cancel_until_confirmed(1, &spec.id).as_deref(),
                Some("aborted"),
                "{name} {seed}"
            );
            w.run_with_lookups(25 * SECOND);
            assert_eq!(replicas(&w, &spec.id), 0, "{name} {seed}: gone");
            w.settle_and_check();
            assert!(w.rules.broken.is_empty(), "{name} {seed}: {:?}", &w.rules.broken[..1]);
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
        // The room is full of standard tasks, and services of the highest rank come.
        w.run(2 * SECOND);
        w.workers.values_mut().for_each(|m| m.run_time = 4 * SECOND);
        for k in 10..14 {
            let mut spec = service(k, 3);
            spec.priority = quartzlever_wire::users::Priority::Prod;
            assert_ne!(w.submit_until_accepted(k as usize % 3, &spec), 0);
        }
        w.run_with_lookups(10 * SECOND);
        for k in 10..14 {
            assert!(!w.rules.waiting().contains(&job(k, 1).id.as_str()), "{seed}: {k} waits");
        }
        w.run_with_lookups(140 * SECOND);
        for k in 0..6 {
            let id = job(k, 1).id;
            assert!(w.final_phase(&id).is_some(), "{seed}: array {k} starves");
        }
        w.settle_and_check();
        assert!(w.rules.broken.is_empty(), "{seed}: {:?}", &w.rules.broken[..1]);
    }
}

#[test]
fn submissions_of_services_get_the_right_answer() {
    let mut w = Simulation::new(7, NODES);
    w.run(6 * SECOND);
    type Change = fn(&mut JobSpec);
    let cases: &[(&str, Change, u16)] = &[
        ("fits", |_| {}, 201),
        ("again", |s| s.id = "req-000000".into(), 200),
        ("within the team's limit", |s| (s.team, s.tasks) = ("tight".into(), 4), 201),
        ("all replicas over the team's limit", |s| (s.team, s.tasks) = ("tight".into(), 5), 422),
        ("too large for any machine", |s| s.cpus = 9.0, 422),
    ];
    for (n, (name, change, status)) in cases.iter().enumerate() {
        let mut spec = service(n as u32, 2);
        change(&mut spec);
        let id = w.submit(n % 3, spec);
        assert_eq!(w.wait_for_answer(id, SECOND).map(|a| a.0), Some(*status), "{name}");
    }
    // Known already: told as it is, whatever the repetition says.
    let mut spec = service(0, 2);
    (spec.team, spec.tasks) = ("tight".into(), 50);
    let id = w.submit(1, spec);
    assert_eq!(w.wait_for_answer(id, SECOND).map(|a| a.0), Some(200));
}

/// A service that fails on every machine, as one that was submitted with a mistake does, is tried
/// again and again with growing pauses, and no machine is returned for it.
#[test]
fn a_service_that_fails_everywhere_condemns_no_machine() {
    for seed in 0..4 {
        // Idle machines stay, so that whatever is returned is returned for a fault.
        let mut w =
            Simulation::with(60 + seed, NODES, |config| config.operator.idle_boots = 1_000.0);
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
        assert!(first > 0 && second > 0, "{seed}: {starts:?} starts: it is given up");
        assert!(second < first && second <= 16, "{seed}: {starts:?} starts: no growing pauses");
        assert!(w.cloud.gone.is_empty(), "{seed}: {:?} returned", w.cloud.gone);
        // The mistake is corrected: replicas are up again.
        w.run_with_lookups(60 * SECOND);
        assert_eq!(replicas(&w, &spec.id), 4, "{seed}");
        w.settle_and_check();
        assert!(w.rules.broken.is_empty(), "{seed}: {:?}", &w.rules.broken[..1]);
    }
}

/// A service is cancelled just as something befalls it.
#[test]
fn a_service_in_trouble_can_be_cancelled() {
    use Fault::*;
    for trouble in [
        EndAfter(0),
        Hang(0),
        AllHang,
        Faulty,
        Restart(2),
        Restart(150),
        SpotNotice(1),
        Deaf,
        Mute,
        ZoneLost,
        FailsEverywhere(5),
    ] {
        for seed in 0..2 {
            let mut w = Simulation::new(40 + seed, NODES);
            w.run(6 * SECOND);
            w.run_time = if trouble == EndAfter(0) { 0 } else { 10_000 * SECOND };
            let spec = service(1, 4);
            assert_eq!(w.submit_until_accepted(0, &spec), 201, "{trouble:?}");
            w.run_with_lookups(15 * SECOND);
            inject(&mut w, &spec.id, trouble);
            assert_eq!(
                w.cancel_until_confirmed(1, &spec.id).as_deref(),
                Some("aborted"),
                "{trouble:?}"
            );
            w.run_with_lookups(25 * SECOND);
            let left = replicas(&w, &spec.id);
            assert_eq!(left, 0, "{trouble:?} {seed}: gone within the time for cancellations");
            for n in 0..3 {
                let id = w.lookup(n, &spec.id);
                let phase = w.wait_for_answer(id, 2 * SECOND).map(|a| a.1["phase"].clone());
                assert_eq!(phase, Some("aborted".into()), "{trouble:?} {seed}: at {n}");
                assert_eq!(
                    w.submit_until_accepted(n, &spec),
                    200,
                    "{trouble:?} {seed}: known at {n}"
                );
            }
            w.settle_and_check();
            assert!(w.rules.broken.is_empty(), "{trouble:?} {seed}: {:?}", &w.rules.broken[..1]);
        }
    }
}
