//! Jobs that were submitted with a mistake fail on every machine until they are cancelled. They
//! barely delay other jobs, no machine is terminated because of them, and faulty machines are still
//! found.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::{JobPhase, JobSpec, Priority};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];

/// Returns a simulation with running machines, which are never terminated for being idle.
fn with_machines(seed: u64) -> Simulation {
    let mut w =
        Simulation::with(seed, NODES, |config| config.operator.max_idle_boot_times = 1_000.0);
    w.cloud.max_machines = 12;
    w.run(3 * SECOND);
    for k in 0..6 {
        assert_eq!(w.submit_until_accepted(k as usize % 3, &job(100 + k, 8)), 201);
    }
    w.run_with_lookups(20 * SECOND);
    w
}

/// A change to the specification of a job.
type Change = fn(&mut JobSpec);

/// For jobs of any size and kind, before and after a restart of all leaders: after the first round,
/// one or two tasks of the failing job are tried at a time, less and less often; other jobs finish
/// as if it did not exist; lookups find it throughout, and a cancellation stops its tasks at once.
#[test]
fn a_job_that_fails_everywhere_barely_delays_other_jobs() {
    let cases: &[(&str, u32, Change)] = &[
        ("an array of hundreds of tasks", 300, |_| {}),
        ("urgent", 60, |s| s.priority = Priority::Urgent),
        ("of the highest rank", 40, |s| s.priority = Priority::Prod),
        ("bound to a zone", 40, |s| s.zone = Some("a".into())),
        ("all in one zone", 40, |s| s.one_zone = true),
        ("spread over zones", 40, |s| s.spread = true),
        ("one task", 1, |_| {}),
        ("of a team with a limit", 40, |s| s.team = "tight".into()),
    ];
    for (n, (name, tasks, change)) in cases.iter().enumerate() {
        let mut w = with_machines(300 + n as u64);
        let mut fails_everywhere = job(1, *tasks);
        change(&mut fails_everywhere);
        w.set_fails_everywhere(&fails_everywhere.id, true);
        assert_eq!(w.submit_until_accepted(0, &fails_everywhere), 201, "{name}");
        w.run_with_lookups(15 * SECOND);
        for (round, min_starts) in [(0, 1), (1, 0)] {
            let before = w.start_count(&fails_everywhere.id);
            let sound_jobs: Vec<JobSpec> = (0..4).map(|k| job(10 * (round + 2) + k, 8)).collect();
            for (k, spec) in sound_jobs.iter().enumerate() {
                assert_eq!(w.submit_until_accepted(k % 3, spec), 201, "{name}");
            }
            w.run_with_lookups(40 * SECOND);
            let starts = w.start_count(&fails_everywhere.id) - before;
            assert!(starts >= min_starts, "{name}: the job is no longer tried");
            assert!(starts <= 24 + *tasks as usize * round as usize, "{name}: {starts} starts");
            for spec in &sound_jobs {
                assert_eq!(w.final_phase(&spec.id), Some(JobPhase::Done), "{name}: {}", spec.id);
            }
            assert!(w.cloud.terminated.is_empty(), "{name}: {:?} terminated", w.cloud.terminated);
            if round == 0 {
                // The restart discards what the leaders remember of the failures.
                (0..3).for_each(|node| w.restart(node, SECOND / 5));
                w.run(2 * SECOND);
            }
        }
        for node in 0..3 {
            let id = w.lookup(node, &fails_everywhere.id);
            assert_eq!(
                w.wait_for_answer(id, SECOND).map(|a| a.0),
                Some(200),
                "{name}: lookup at node {node}"
            );
        }
        assert_eq!(
            w.cancel_until_confirmed(1, &fails_everywhere.id).as_deref(),
            Some("aborted"),
            "{name}"
        );
        w.run_with_lookups(2 * SECOND);
        assert!(
            w.machines_of(&fails_everywhere.id).is_empty(),
            "{name}: tasks still run after the cancellation"
        );
        w.settle_and_check();
        assert_eq!(w.rules.violations, Vec::<String>::new(), "{name}");
    }
}

/// The failures were caused by the machines, which are then repaired: the job finishes within a
/// minute, however long it has been failing.
#[test]
fn a_job_that_failed_everywhere_runs_once_the_cause_is_gone() {
    for (seed, span) in [(0, 5), (1, 20), (2, 60)] {
        let mut w = with_machines(400 + seed);
        let spec = job(1, 40);
        w.set_fails_everywhere(&spec.id, true);
        assert_eq!(w.submit_until_accepted(0, &spec), 201);
        w.run_with_lookups(span * SECOND);
        assert_eq!(w.final_phase(&spec.id), None, "{span} s");
        w.set_fails_everywhere(&spec.id, false);
        w.run_with_lookups(60 * SECOND);
        assert_eq!(w.final_phase(&spec.id), Some(JobPhase::Done), "{span} s");
        assert_eq!(w.rules.violations, Vec::<String>::new(), "{span} s");
    }
}

/// A faulty machine is terminated although mistaken jobs fail on all machines, and no other is.
#[test]
fn a_faulty_machine_is_distinguished_from_mistaken_jobs() {
    for seed in 0..4 {
        let mut w = with_machines(500 + seed);
        let faulty = w.workers.keys().next().cloned().expect("no machine is running");
        w.workers.get_mut(&faulty).expect("the machine exists").fails_all_tasks = true;
        for k in 0..3 {
            let fails_everywhere = job(k, 6);
            w.set_fails_everywhere(&fails_everywhere.id, true);
            assert_eq!(w.submit_until_accepted(k as usize, &fails_everywhere), 201);
        }
        for k in 10..22 {
            assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 6)), 201);
            w.run_with_lookups(3 * SECOND);
        }
        w.run_with_lookups(30 * SECOND);
        let gone: Vec<String> = w.cloud.terminated.iter().cloned().collect();
        assert_eq!(gone, [faulty], "seed {seed}");
        assert_eq!(w.rules.violations, Vec::<String>::new(), "seed {seed}");
    }
}
