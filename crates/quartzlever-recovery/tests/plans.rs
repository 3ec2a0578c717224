//! Tests of which records a rebuild takes from those that a controller knows, and which from the
//! surviving ones of the store.

use std::collections::BTreeMap;

use quartzlever_recovery::plan::{SurvivingRecords, plan};
use quartzlever_recovery::records::{Record, RecordSet};

type Rows<'a> = &'a [(&'a str, u64)];

/// Returns records whose values consist of their source and their modification revision.
fn records(source: &str, rows: Rows) -> BTreeMap<String, Record> {
    let record = |mod_revision: &u64| Record {
        value: format!("\"{source}{mod_revision}\""),
        mod_revision: *mod_revision,
    };
    rows.iter().map(|(key, mod_revision)| ((*key).to_owned(), record(mod_revision))).collect()
}

/// Final states take precedence over records of active jobs. Of two records of a key the later one
/// does, if their revisions can be compared, and else the known one. The known
/// records are complete up to revision 20.
#[test]
fn final_states_and_later_changes_take_precedence() {
    // (name, known records, store, whether the revisions can be compared, expected records)
    type Case<'a> = (&'a str, Rows<'a>, Rows<'a>, bool, &'a [(&'a str, &'a str)]);
    let cases: &[Case] = &[
        (
            "missing from the store",
            &[("live/a", 5), ("over/b", 6)],
            &[],
            true,
            &[("live/a", "p5"), ("over/b", "p6")],
        ),
        (
            "changed in the store after the known records",
            &[("live/a", 5)],
            &[("live/a", 25)],
            true,
            &[("live/a", "s25")],
        ),
        (
            "changed in a new revision sequence",
            &[("live/a", 5)],
            &[("live/a", 25)],
            false,
            &[("live/a", "p5")],
        ),
        (
            "ended in the store after the known records",
            &[("live/a", 5)],
            &[("over/a", 25)],
            true,
            &[("over/a", "s25")],
        ),
        (
            "ended in a new revision sequence",
            &[("live/a", 5)],
            &[("over/a", 3)],
            false,
            &[("over/a", "s3")],
        ),
        (
            "active in the store although ended in the known records",
            &[("over/a", 9)],
            &[("live/a", 7)],
            false,
            &[("over/a", "p9")],
        ),
        (
            "active in the store at a revision that the known records cover without it",
            &[],
            &[("live/a", 7)],
            true,
            &[],
        ),
        (
            "accepted in the store after the known records",
            &[],
            &[("live/a", 22)],
            true,
            &[("live/a", "s22")],
        ),
        ("accepted in a new revision sequence", &[], &[("live/a", 2)], false, &[("live/a", "s2")]),
        ("pages without their job", &[("pages/a/00000001", 5)], &[], true, &[]),
        (
            "pages with their job",
            &[("live/a", 4), ("pages/a/00000001", 5)],
            &[("pages/a/00000002", 24)],
            true,
            &[("live/a", "p4"), ("pages/a/00000001", "p5"), ("pages/a/00000002", "s24")],
        ),
        (
            "pages of a job that ended",
            &[("over/a", 9), ("pages/a/00000001", 5)],
            &[],
            true,
            &[("over/a", "p9")],
        ),
        (
            "records bound to leases",
            &[("parts/one", 5), ("heard/one/two", 6), ("cluster/nodes/one", 7)],
            &[("parts/one", 25)],
            true,
            &[],
        ),
        (
            "records of the cluster",
            &[("cluster/version", 3), ("catalogue", 4)],
            &[("cluster/version", 1)],
            false,
            &[("catalogue", "p4"), ("cluster/version", "p3")],
        ),
    ];
    for (name, known, store, same_lineage, expected) in cases {
        let known = RecordSet::new(20, records("p", known));
        let survivors = SurvivingRecords { rows: records("s", store), same_lineage: *same_lineage };
        let plan = plan(&known, &survivors);
        let found: Vec<(&str, &str)> =
            plan.records.iter().map(|(key, v)| (key.as_str(), v.trim_matches('"'))).collect();
        assert_eq!(found, *expected, "{name}");
        // The changes of the plan must turn the store's records into exactly the planned ones.
        let mut after: BTreeMap<String, String> = BTreeMap::new();
        if *same_lineage {
            after.extend(survivors.rows.iter().map(|(key, r)| (key.clone(), r.value.clone())));
        }
        for change in plan.changes(&survivors, &known, 0) {
            match change {
                quartzlever_wire::store::Change::Write { write, v, .. } => {
                    after.insert(write, v.text().to_owned());
                }
                quartzlever_wire::store::Change::Delete { delete } => {
                    after.remove(&delete);
                }
            }
        }
        assert_eq!(after, plan.records, "{name}");
    }
}
