//! Jobs that were submitted with a mistake fail on every machine until they are cancelled. They cost the others next
//! to nothing, no machine is blamed for them, and faulty machines are found all the same.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::{JobPhase, JobSpec, Priority};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];

/// A world with machines at hand, which are never returned for being idle.
fn with_machines(seed: u64) -> Simulation {
    let mut w = Simulation::with(seed, NODES, |config| config.operator.idle_boots = 1_000.0);
    w.cloud.max_machines = 12;
    w.run(3 * SECOND);
    for k in 0..6 {
        assert_eq!(w.submit_until_accepted(k as usize % 3, &job(100 + k, 8)), 201);
    }
    w.run_for(20 * SECOND);
    w
}

type Change = fn(&mut JobSpec);

/// However many tasks such a job has, of whatever kind, before and after a change of leaders: after the
/// first round a task or two fail at a time, ever more seldom; other jobs are done as if it were not there;
/// it is known all the while, and gone at once when it is cancelled.
#[test]
fn a_job_that_fails_everywhere_costs_the_others_next_to_nothing() {
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
        w.run_for(15 * SECOND);
        for (round, least) in [(0, 1), (1, 0)] {
            let before = w.starts_of(&fails_everywhere.id);
            let sound: Vec<JobSpec> = (0..4).map(|k| job(10 * (round + 2) + k, 8)).collect();
            for (k, spec) in sound.iter().enumerate() {
                assert_eq!(w.submit_until_accepted(k % 3, spec), 201, "{name}");
            }
            w.run_for(40 * SECOND);
            let starts = w.starts_of(&fails_everywhere.id) - before;
            assert!(starts >= least, "{name}: it is not tried any more");
            assert!(starts <= 24 + *tasks as usize * round as usize, "{name}: {starts} starts");
            for spec in &sound {
                assert_eq!(w.over(&spec.id), Some(JobPhase::Done), "{name}: {}", spec.id);
            }
            assert!(w.cloud.gone.is_empty(), "{name}: {:?} returned", w.cloud.gone);
            if round == 0 {
                // What the leader knew of it is gone with it.
                (0..3).for_each(|node| w.restart(node, SECOND / 5));
                w.run(2 * SECOND);
            }
        }
        for node in 0..3 {
            let id = w.lookup(node, &fails_everywhere.id);
            assert_eq!(w.answer(id, SECOND).map(|a| a.0), Some(200), "{name}: known at {node}");
        }
        assert_eq!(
            w.cancel_until_confirmed(1, &fails_everywhere.id).as_deref(),
            Some("aborted"),
            "{name}"
        );
        w.run_for(2 * SECOND);
        assert!(w.machines_of(&fails_everywhere.id).is_empty(), "{name}: tasks are left");
        w.check_end();
        assert_eq!(w.rules.broken, Vec::<String>::new(), "{name}");
    }
}

/// The machines were the cause after all, and are mended: the job is done within a minute.
#[test]
fn a_job_that_failed_everywhere_runs_once_the_cause_is_gone() {
    for (seed, span) in [(0, 5), (1, 20), (2, 60)] {
        let mut w = with_machines(400 + seed);
        let spec = job(1, 40);
        w.set_fails_everywhere(&spec.id, true);
        assert_eq!(w.submit_until_accepted(0, &spec), 201);
        w.run_for(span * SECOND);
        assert_eq!(w.over(&spec.id), None, "{span}");
        w.set_fails_everywhere(&spec.id, false);
        w.run_for(60 * SECOND);
        assert_eq!(w.over(&spec.id), Some(JobPhase::Done), "{span}");
        assert_eq!(w.rules.broken, Vec::<String>::new(), "{span}");
    }
}

/// A faulty machine among mistaken jobs: it is returned, and no other.
#[test]
fn a_faulty_machine_is_told_apart_from_mistaken_jobs() {
    for seed in 0..4 {
        let mut w = with_machines(500 + seed);
        let faulty = w.workers.keys().next().cloned().expect("a machine");
        w.workers.get_mut(&faulty).expect("it is there").faulty = true;
        for k in 0..3 {
            let fails_everywhere = job(k, 6);
            w.set_fails_everywhere(&fails_everywhere.id, true);
            assert_eq!(w.submit_until_accepted(k as usize, &fails_everywhere), 201);
        }
        for k in 10..22 {
            assert_eq!(w.submit_until_accepted(k as usize % 3, &job(k, 6)), 201);
            w.run_for(3 * SECOND);
        }
        w.run_for(30 * SECOND);
        let gone: Vec<String> = w.cloud.gone.iter().cloned().collect();
        assert_eq!(gone, [faulty], "seed {seed}");
        assert_eq!(w.rules.broken, Vec::<String>::new(), "seed {seed}");
    }
}
