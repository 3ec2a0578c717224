//! What a partition takes in of jobs.

use crate::testing::*;

#[test]
fn an_older_record_is_no_news() {
    // (the records as they come: modification revision, tasks of partition "one"; what is ready in the end)
    type Case<'a> = (&'a str, &'a [(u64, &'a str)], &'a str);
    let cases: &[Case] = &[
        ("as written", &[(10, "0-3"), (12, "0-1")], "0-1"),
        (
            "given away in full, and an older record comes late",
            &[(10, "0-3"), (12, ""), (11, "0-3")],
            "",
        ),
        (
            "given away in full, and the same record comes again",
            &[(10, "0-3"), (12, ""), (12, "")],
            "",
        ),
        ("given away and given back", &[(10, "0-3"), (12, ""), (14, "2-3"), (11, "0-3")], "2-3"),
    ];
    for (name, records, ready) in cases {
        let mut core = core();
        for (mod_revision, mine) in *records {
            let other = Ranges::first(4).minus(&mine.parse().unwrap_or_default());
            core.reconcile_job(record(mine, &other.to_string()), *mod_revision);
        }
        let job = core.partitions["one"].jobs.get("req-1");
        let found = job.map(|j| j.ready.to_string()).unwrap_or_default();
        assert_eq!(found, *ready, "{name}");
    }
    let mut core = core();
    core.reconcile_job(record("0-3", ""), 10);
    core.job_terminated("req-1", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    core.reconcile_job(record("0-3", ""), 9);
    assert!(core.partitions["one"].jobs.is_empty(), "over, and an older record comes late");
}
