use quartzlever_wire::SECOND;

use super::{JobFailures, MachineFailures};

const NOW: u64 = 1_000 * SECOND;

/// What was placed together fails in one round, however many tasks it is; each further round doubles the
/// wait, up to half a minute.
#[test]
fn each_round_of_failures_doubles_the_wait() {
    let mut failures = JobFailures::default();
    let mut now = NOW;
    for pause in [1, 2, 4, 8, 16, 32, 32] {
        let placed = now;
        for machine in ["n-1", "n-2", "n-3", "n-4"] {
            now += SECOND / 10;
            failures.note(machine, placed, SECOND, now);
            assert_eq!(failures.pause(), pause * SECOND);
        }
        now += failures.pause();
    }
}

/// (machines that the job failed on, how long a failed attempt ran, how long another one runs, mistaken)
#[test]
fn a_job_that_fails_on_three_machines_and_runs_on_none_is_mistaken() {
    for (machines, ran, runs, fails_everywhere) in [
        (1, 2, 0, false),
        (2, 2, 0, false),
        (3, 2, 0, true),
        (3, 2, 10, true),
        (3, 2, 20, false),
        (3, 30, 20, true),
        (9, 30, 45, false),
    ] {
        let mut failures = JobFailures::default();
        for machine in 0..machines {
            failures.note(&format!("n-{machine}"), NOW, ran * SECOND, NOW + ran * SECOND);
        }
        failures.runs(runs * SECOND, 12 * SECOND);
        assert_eq!(failures.blame_job(), fails_everywhere, "{machines} {ran} {runs}");
        // It has failed once more since, so that attempt showed nothing.
        failures.note("n-0", NOW + 60 * SECOND, ran * SECOND, NOW + 90 * SECOND);
        assert_eq!(failures.blame_job(), machines >= 3, "{machines} {ran} {runs} again");
    }
}

/// What is known of the jobs that failed on a machine: the failures of each, where else it failed or ran well
/// meanwhile; whether the machine is blamed at once, and half a minute later.
#[test]
fn a_machine_is_blamed_for_what_runs_well_elsewhere() {
    enum Then {
        Nothing,
        FailsElsewhere,
        RunsElsewhere,
    }
    use Then::*;
    type Case = (&'static str, &'static [(u32, Then)], [bool; 2]);
    let cases: [Case; 9] = [
        ("one failure", &[(1, Nothing)], [false, false]),
        ("one failure of a job that runs elsewhere", &[(1, RunsElsewhere)], [false, false]),
        ("one job again and again", &[(5, Nothing)], [false, false]),
        ("one job that runs elsewhere", &[(2, RunsElsewhere)], [true, true]),
        ("several jobs, not tried elsewhere", &[(1, Nothing), (1, Nothing)], [false, true]),
        ("several mistaken jobs", &[(4, FailsElsewhere), (4, FailsElsewhere)], [false, false]),
        ("a mistaken job and one more", &[(4, FailsElsewhere), (1, Nothing)], [false, false]),
        (
            "mistaken jobs on a faulty machine",
            &[(4, FailsElsewhere), (1, RunsElsewhere)],
            [true, true],
        ),
        (
            "both, before it shows",
            &[(4, FailsElsewhere), (1, Nothing), (1, Nothing)],
            [false, true],
        ),
    ];
    for (name, jobs, blamed) in cases {
        let mut failures = MachineFailures::default();
        for (n, (count, then)) in jobs.iter().enumerate() {
            let job = format!("req-{n}");
            for _ in 0..*count {
                failures.note(&job, false, false, NOW);
            }
            match then {
                Nothing => {}
                FailsElsewhere => failures.failed_elsewhere(&job),
                RunsElsewhere => failures.runs_elsewhere(&job),
            }
        }
        for (at, blamed) in [NOW, NOW + 30 * SECOND].into_iter().zip(blamed) {
            assert_eq!(failures.blame_machine(at), blamed, "{name}");
            assert!(!(blamed && failures.in_doubt(at)), "{name}");
        }
        failures.forget();
        assert!(!failures.blame_machine(NOW + 60 * SECOND), "{name}: a task was done");
    }
}
