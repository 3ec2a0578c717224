//! What a part takes in of jobs.

use crate::testing::*;

#[test]
fn an_older_record_is_no_news() {
    // (the records as they come: stamp, tasks of part "one"; what is ready in the end)
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
        for (stamp, mine) in *records {
            let other = Ranges::first(4).minus(&mine.parse().unwrap_or_default());
            core.absorb(record(mine, &other.to_string()), *stamp);
        }
        let job = core.parts["one"].jobs.get("req-1");
        let found = job.map(|j| j.ready.to_string()).unwrap_or_default();
        assert_eq!(found, *ready, "{name}");
    }
    let mut core = core();
    core.absorb(record("0-3", ""), 10);
    core.job_over("req-1", OverRecord { phase: JobPhase::Done, done: 4 });
    core.absorb(record("0-3", ""), 9);
    assert!(core.parts["one"].jobs.is_empty(), "over, and an older record comes late");
}
