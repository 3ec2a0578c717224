//! Which partition a new job enters.

use crate::testing::*;

#[test]
fn a_node_without_a_part_accepts_into_anothers() {
    // (whether this node holds its partition, who holds partitions by its copy; the condition of the
    // acceptance beside the job's own keys, none if the job is not accepted at all)
    type Case<'a> = (bool, &'a [(&'a str, &'a str, u64)], Option<(&'a str, u64)>);
    let cases: &[Case] = &[
        (true, &[("one", "one", 5), ("two", "two", 6)], Some(("parts/one", 5))),
        (false, &[("one", "two", 8), ("two", "two", 8)], Some(("parts/", 8))),
        (false, &[("two", "two", 6)], Some(("parts/two", 6))),
        (false, &[], None),
    ];
    for (n, (holds_lease, partitions, condition)) in cases.iter().enumerate() {
        let mut core = with_cache(partitions);
        if !holds_lease {
            core.partitions.clear();
        }
        let submit = Command::Submit { id: 9, spec: Box::new(spec(2)) };
        let effects = core.step(NOW, vec![submit]);
        let found = effects.iter().find_map(|e| match e {
            Effect::Store { call: StoreCall::Txn(txn), .. } if !txn.changes.is_empty() => {
                let active = txn.conditions.iter().any(|c| c.path == "live/req-1");
                let partition = txn.conditions.iter().find(|c| c.path.starts_with("parts/"));
                partition.filter(|_| active).map(|c| (c.path.clone(), c.mod_revision))
            }
            _ => None,
        });
        assert_eq!(found.is_some(), condition.is_some(), "case {n}");
        if let (Some(found), Some(wanted)) = (found, condition) {
            assert!(found.0.starts_with(wanted.0) && found.1 == wanted.1, "case {n}: {found:?}");
        }
    }
}

#[test]
fn a_job_enters_a_part_that_has_far_less_where_the_processor_is_short() {
    // (machines that the processor serves, tasks of the own partition, of the other; the partition that a job enters)
    for (machine_capacity, own, other, enters) in [
        (100, 0, 0, "one"),
        (100, 90, 0, "one"),
        (100, 150, 0, "two"),
        (100, 150, 74, "two"),
        (100, 150, 80, "one"),
        (1_000, 150, 0, "one"),
    ] {
        let mut core = with_leaders(machine_capacity);
        for (number, tasks, partition) in [(1, own, "one"), (2, other, "two")] {
            if tasks > 0 {
                core.reconcile_job(record_of(number, tasks, partition), 10);
            }
        }
        let mut new = spec(4);
        new.id = "req-9".into();
        let submit = Command::Submit { id: 1, spec: Box::new(new) };
        let effects = core.step(NOW, vec![submit]);
        // Every job is written on condition of the term of the partition that it enters.
        let term = effects.iter().find_map(|e| match e {
            Effect::Store { call: StoreCall::Txn(txn), .. } => {
                let mut terms = txn.conditions.iter().filter(|c| c.path.starts_with("parts/"));
                terms.next().map(|c| (c.path.clone(), c.mod_revision))
            }
            _ => None,
        });
        let mod_revision = if enters == "one" { 5 } else { 6 };
        assert_eq!(
            term,
            Some((format!("parts/{enters}"), mod_revision)),
            "{machine_capacity} {own} {other}"
        );
    }
}

/// A record that cannot be read is logged by its key, and its job is neither unknown nor refused.
#[test]
fn a_job_whose_record_cannot_be_read_stays_known() {
    type Ask = fn(RequestId) -> Command;
    let job = || "req-1".to_owned();
    let asks: [(&str, Ask); 3] = [
        ("lookup", |id| Command::Lookup { id, job: "req-1".into() }),
        ("repeated submission", |id| {
            let mut spec = spec(2);
            spec.team = "nobody".into();
            Command::Submit { id, spec: Box::new(spec) }
        }),
        ("cancellation", |id| Command::Cancel { id, job: "req-1".into() }),
    ];
    // (whether its end is what cannot be read, question, status)
    for (over, ask, status) in [
        (false, 0, 200),
        (false, 1, 200),
        (false, 2, 200),
        (true, 0, 503),
        (true, 1, 503),
        (true, 2, 503),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        let (what, make) = asks[ask];
        let (mut batch, mut answer, mut logged) = (vec![make(9)], None, false);
        for step in 0..12 {
            let effects = core.step(NOW + step * SECOND / 10, std::mem::take(&mut batch));
            for effect in effects {
                match effect {
                    Effect::Store { call_id, call, .. } => {
                        let entry = |path: &str| KeyValue {
                            key: path.into(),
                            value: Json::of(&"not a record"),
                            mod_revision: 7,
                            lease_id: None,
                        };
                        let reply = match &call {
                            StoreCall::Get(key) if *key == format!("live/{}", job()) && !over => {
                                StoreReply::Read(Some(entry(key)))
                            }
                            StoreCall::Get(key) if key.starts_with("over/") && over => {
                                StoreReply::Read(Some(entry(key)))
                            }
                            StoreCall::Get(_) => StoreReply::Read(None),
                            StoreCall::Revision => StoreReply::Revision(0),
                            StoreCall::Txn(_) => StoreReply::Committed(8),
                            _ => continue,
                        };
                        batch.push(Command::StoreReply { call_id, result: Ok(reply) });
                    }
                    Effect::Answer { id: 9, status, .. } => answer = Some(status),
                    Effect::Log(LogEvent::UnreadableRecord { key }) => {
                        let record = if over { "over" } else { "live" };
                        logged |= key == format!("{record}/{}", job());
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((answer, logged), (Some(status), true), "{what}, over {over}");
    }
}
