//! Attribution of failures to jobs and machines, as tables.

use quartzlever_wire::SECOND;

use super::{JobFailures, MachineFailures};

const NOW: u64 = 1_000 * SECOND;

/// Attempts that were placed together fail in one round, whatever their number; each further round
/// doubles the retry delay, up to 32 s.
#[test]
fn each_round_of_failures_doubles_the_retry_delay() {
    let mut failures = JobFailures::default();
    let mut now = NOW;
    for delay_s in [1, 2, 4, 8, 16, 32, 32] {
        let placed_at = now;
        for machine in ["n-1", "n-2", "n-3", "n-4"] {
            now += SECOND / 10;
            failures.record_failure(machine, placed_at, SECOND, now);
            assert_eq!(failures.retry_delay(), delay_s * SECOND);
        }
        now += failures.retry_delay();
    }
}

#[test]
fn a_job_that_fails_on_three_machines_and_runs_on_none_is_at_fault() {
    // (machines that the job failed on, run time in seconds of the failed attempts and of one that
    // still runs; whether the job is at fault)
    for (machines, failed_run, running_for, at_fault) in [
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
            failures.record_failure(
                &format!("n-{machine}"),
                NOW,
                failed_run * SECOND,
                NOW + failed_run * SECOND,
            );
        }
        failures.record_running_for(running_for * SECOND, 12 * SECOND);
        assert_eq!(failures.is_job_at_fault(), at_fault, "{machines} {failed_run} {running_for}");
        // A new round of failures cancels the evidence of the attempt that outlasted the earlier
        // ones.
        failures.record_failure("n-0", NOW + 60 * SECOND, failed_run * SECOND, NOW + 90 * SECOND);
        assert_eq!(
            failures.is_job_at_fault(),
            machines >= 3,
            "{machines} {failed_run} {running_for} again"
        );
    }
}

#[test]
fn a_machine_is_at_fault_for_jobs_that_run_well_or_were_not_tried_elsewhere() {
    enum Elsewhere {
        NotTried,
        Fails,
        Runs,
    }
    use Elsewhere::*;
    // (case, number of failures here and outcome elsewhere of each job; whether the machine is at
    // fault at once, and 30 s later)
    type Case = (&'static str, &'static [(u32, Elsewhere)], [bool; 2]);
    let cases: [Case; 9] = [
        ("one failure", &[(1, NotTried)], [false, false]),
        ("one failure of a job that runs elsewhere", &[(1, Runs)], [false, false]),
        ("repeated failures of one job", &[(5, NotTried)], [false, false]),
        ("one job that runs elsewhere", &[(2, Runs)], [true, true]),
        ("several jobs, not tried elsewhere", &[(1, NotTried), (1, NotTried)], [false, true]),
        ("several faulty jobs", &[(4, Fails), (4, Fails)], [false, false]),
        ("a faulty job and another one", &[(4, Fails), (1, NotTried)], [false, false]),
        ("a faulty job on a faulty machine", &[(4, Fails), (1, Runs)], [true, true]),
        (
            "a faulty job and two not tried elsewhere",
            &[(4, Fails), (1, NotTried), (1, NotTried)],
            [false, true],
        ),
    ];
    for (name, jobs, at_fault) in cases {
        let mut failures = MachineFailures::default();
        for (n, (count, elsewhere)) in jobs.iter().enumerate() {
            let job = format!("req-{n}");
            for _ in 0..*count {
                failures.record_failure(&job, false, false, NOW);
            }
            match elsewhere {
                NotTried => {}
                Fails => failures.record_failure_elsewhere(&job),
                Runs => failures.record_success_elsewhere(&job),
            }
        }
        for (at, at_fault) in [NOW, NOW + 30 * SECOND].into_iter().zip(at_fault) {
            assert_eq!(failures.is_machine_at_fault(at), at_fault, "{name}");
            assert!(!(at_fault && failures.is_undecided(at)), "{name}");
        }
        failures.reset();
        assert!(!failures.is_machine_at_fault(NOW + 60 * SECOND), "{name}: a task has completed");
    }
}
