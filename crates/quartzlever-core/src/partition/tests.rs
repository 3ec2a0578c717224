//! Tests of how a partition applies the records of jobs.

use crate::testing::*;

#[test]
fn a_record_that_is_not_newer_changes_nothing() {
    // (name; records in order of arrival: modification revision, tasks of partition "one"; ready
    // tasks after the last record)
    type Case<'a> = (&'a str, &'a [(u64, &'a str)], &'a str);
    let cases: &[Case] = &[
        ("in order", &[(10, "0-3"), (12, "0-1")], "0-1"),
        (
            "all tasks moved away, then an older record arrives late",
            &[(10, "0-3"), (12, ""), (11, "0-3")],
            "",
        ),
        (
            "all tasks moved away, then the same record arrives again",
            &[(10, "0-3"), (12, ""), (12, "")],
            "",
        ),
        (
            "moved away, then some moved back",
            &[(10, "0-3"), (12, ""), (14, "2-3"), (11, "0-3")],
            "2-3",
        ),
    ];
    for (name, records, ready) in cases {
        let mut core = core();
        for (mod_revision, tasks) in *records {
            let other = Ranges::up_to(4).difference(&tasks.parse().unwrap_or_default());
            core.reconcile_job(job_record(tasks, &other.to_string()), *mod_revision);
        }
        let job = core.partitions["one"].jobs.get("req-1");
        let found = job.map(|j| j.ready.to_string()).unwrap_or_default();
        assert_eq!(found, *ready, "{name}");
    }
    let mut core = core();
    core.reconcile_job(job_record("0-3", ""), 10);
    core.job_terminated("req-1", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    core.reconcile_job(job_record("0-3", ""), 9);
    assert!(
        core.partitions["one"].jobs.is_empty(),
        "the job has ended, then an older record arrives late"
    );
}
