//! Tests the choice of a new job's partition, and requests for jobs with unreadable records.

use crate::testing::*;

#[test]
fn a_node_without_a_partition_accepts_jobs_into_another_partition() {
    // (whether this node leads its partition; the partitions in its cache with leader and term; the
    // condition of the acceptance beside the job's own keys, `None` if the job is not accepted)
    type Case<'a> = (bool, &'a [(&'a str, &'a str, u64)], Option<(&'a str, u64)>);
    let cases: &[Case] = &[
        (true, &[("one", "one", 5), ("two", "two", 6)], Some(("parts/one", 5))),
        (false, &[("one", "two", 8), ("two", "two", 8)], Some(("parts/", 8))),
        (false, &[("two", "two", 6)], Some(("parts/two", 6))),
        (false, &[], None),
    ];
    for (n, (leads, partitions, condition)) in cases.iter().enumerate() {
        let mut core = core_with_cache(partitions);
        if !leads {
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
fn a_job_enters_a_much_less_loaded_partition_once_the_own_one_exceeds_its_capacity() {
    // (machines that the controller's processor can serve, tasks of its own partition, tasks of the
    // other partition, the partition that the job enters)
    for (machine_capacity, own, other, enters) in [
        (100, 0, 0, "one"),
        (100, 90, 0, "one"),
        (100, 150, 0, "two"),
        (100, 150, 74, "two"),
        (100, 150, 80, "one"),
        (1_000, 150, 0, "one"),
    ] {
        let mut core = core_with_leaders(machine_capacity);
        for (number, tasks, partition) in [(1, own, "one"), (2, other, "two")] {
            if tasks > 0 {
                core.reconcile_job(record_of(number, tasks, partition), 10);
            }
        }
        let mut new = spec(4);
        new.id = "req-9".into();
        let submit = Command::Submit { id: 1, spec: Box::new(new) };
        let effects = core.step(NOW, vec![submit]);
        // The write of a job is conditioned on the term of the partition that it enters.
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

/// An unreadable record is logged by its key, and its job is neither unknown nor refused.
#[test]
fn a_job_with_an_unreadable_record_stays_known() {
    type MakeRequest = fn(RequestId) -> Command;
    let job = || "req-1".to_owned();
    let requests: [(&str, MakeRequest); 3] = [
        ("lookup", |id| Command::Lookup { id, job: "req-1".into() }),
        ("repeated submission", |id| {
            let mut spec = spec(2);
            spec.team = "nobody".into();
            Command::Submit { id, spec: Box::new(spec) }
        }),
        ("cancellation", |id| Command::Cancel { id, job: "req-1".into() }),
    ];
    // (whether the terminal record is the unreadable one, index of the request, status)
    for (terminal, request, status) in [
        (false, 0, 200),
        (false, 1, 200),
        (false, 2, 200),
        (true, 0, 503),
        (true, 1, 503),
        (true, 2, 503),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        let (name, make_request) = requests[request];
        let (mut batch, mut answer, mut logged) = (vec![make_request(9)], None, false);
        for step in 0..12 {
            let effects = core.step(NOW + step * SECOND / 10, std::mem::take(&mut batch));
            for effect in effects {
                match effect {
                    Effect::Store { call_id, call, .. } => {
                        let entry = |key: &str| KeyValue {
                            key: key.into(),
                            value: Json::of(&"not a record"),
                            mod_revision: 7,
                            lease_id: None,
                        };
                        let reply = match &call {
                            StoreCall::Get(key)
                                if *key == format!("live/{}", job()) && !terminal =>
                            {
                                StoreReply::Read(entry(key))
                            }
                            StoreCall::Get(key) if key.starts_with("over/") && terminal => {
                                StoreReply::Read(entry(key))
                            }
                            StoreCall::Get(_) => StoreReply::Absent { revision: 30 },
                            StoreCall::Revision => StoreReply::Revision(0),
                            StoreCall::Txn(_) => StoreReply::Committed(8),
                            _ => continue,
                        };
                        batch.push(Command::StoreReply { call_id, result: Ok(reply) });
                    }
                    Effect::Answer { id: 9, status, .. } => answer = Some(status),
                    Effect::Log(LogEvent::UnreadableRecord { key }) => {
                        let prefix = if terminal { "over" } else { "live" };
                        logged |= key == format!("{prefix}/{}", job());
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((answer, logged), (Some(status), true), "{name}, terminal {terminal}");
    }
}
