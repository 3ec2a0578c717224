//! Claims of machines.

use super::*;
use crate::testing::*;
use quartzlever_wire::state::{BlocksRecord, Change as StateChange};

/// What is reckoned record by record is never less than what is written.
#[test]
fn a_block_is_reckoned_as_long_as_it_is_written() {
    for names in [&["n-1"][..], &["n-1", "n-22", "n-333"], &["a\"b", "n-\u{e9}"]] {
        let mut hosts = Hosts::new();
        let mut length = written_length(&hosts) + 16;
        for (n, name) in names.iter().enumerate() {
            let record = HostRecord {
                part: "one".into(),
                address: format!("10.1.0.{n}:9000"),
                kind: "\"big\"".into(),
                zone: String::new(),
                spot: n == 0,
            };
            length += name.len() + 4 + written_length(&record);
            hosts.insert((*name).to_owned(), record);
        }
        let written = written_length(&HostBlock { m: hosts });
        assert!(length >= written, "{names:?}: {length} for {written}");
    }
}

#[test]
fn a_block_write_of_unknown_outcome_claims_once() {
    // (what the write brings, what the block is read as after that; machines in the end)
    let block = |names: &[&str]| {
        let record = |n: &&str| {
            let mut host = core().parts["one"].machines["n-1"].record.clone();
            host.address = format!("{n}:9000");
            ((*n).to_owned(), host)
        };
        serde_json::json!(HostBlock { m: names.iter().map(record).collect() })
    };
    for (name, brings, found, machines) in [
        ("in force", Ok(StateReply::Committed(20)), None, 2),
        ("unknown, and it was carried out", Err(CallError::Unknown), Some(block(&["n-9"])), 2),
        ("unknown, and it was not", Err(CallError::Unknown), Some(block(&["n-8"])), 3),
    ] {
        let mut core = core();
        core.cache.loaded = true;
        core.lease.next = NOW + 900 * SECOND;
        core.want_claim(1, report_from("n-9", 1, 1, 0, &[]), "one", 5);
        let txn = |effects: &[Effect]| {
            effects.iter().find_map(|e| match e {
                Effect::State { token, call: StateCall::Txn(txn), .. }
                    if txn.conditions.iter().any(|c| c.path.starts_with("hosts/")) =>
                {
                    Some(*token)
                }
                _ => None,
            })
        };
        let Some(token) = txn(&core.step(NOW + SECOND, Vec::new())) else { panic!("{name}") };
        let effects = core.step(NOW + SECOND, vec![Command::State { token, result: brings }]);
        if let Some(v) = found {
            let token = effects.iter().find_map(|e| match e {
                Effect::State { token, call: StateCall::Get(_), .. } => Some(*token),
                _ => None,
            });
            let Some(token) = token else { panic!("{name}: not read back") };
            let path = block_key("n-9");
            let row = quartzlever_wire::state::Row {
                path,
                v: quartzlever_wire::Json::of(&v),
                stamp: 21,
                charter: None,
            };
            let result = Ok(StateReply::Row(Some(row)));
            core.step(NOW + 2 * SECOND, vec![Command::State { token, result }]);
            if let Some(token) = txn(&core.step(NOW + 4 * SECOND, Vec::new())) {
                let result = Ok(StateReply::Committed(22));
                core.step(NOW + 4 * SECOND, vec![Command::State { token, result }]);
            }
        }
        let part = &core.parts["one"];
        assert!(part.machines.contains_key("n-9"), "{name}");
        assert_eq!(part.machines.len(), machines, "{name}");
    }
}

/// A claim in the large block that an earlier write brings late, after the machine was claimed for
/// another partition in its small block, counts for nothing, whichever is seen first.
#[test]
fn a_machine_in_two_blocks_belongs_to_the_small_one() {
    for (large, small) in [("hosts/n-~3", "hosts/n-~16~14"), ("hosts/n-~16~14", "hosts/n-~4~57")] {
        in_two_blocks(large, small);
    }
}

fn in_two_blocks(large: &str, small: &str) {
    let block = |part: &str| {
        Json::of(&HostBlock {
            m: Hosts::from([("n-000231".to_owned(), host_record("n-000231", part))]),
        })
    };
    let row = |path: &str, part: &str, stamp| Row {
        path: path.into(),
        v: block(part),
        stamp,
        charter: None,
    };
    for order in [[0, 1], [1, 0]] {
        for news in [true, false] {
            let mut core = core();
            let rows = [row(small, "two", 20), row(large, "one", 21)];
            for n in order {
                core.block_row(&rows[n], news && order == [0, 1]);
            }
            let owner = core.part_of_host("n-000231").map(|r| r.part.clone());
            assert_eq!(owner.as_deref(), Some("two"), "{order:?}");
            assert!(!core.parts["one"].machines.contains_key("n-000231"), "{order:?} {news}");
            assert_eq!(core.cache.machines_of("one").count(), 0, "{order:?}");
            assert_eq!(core.cache.machines_of("two").count(), 1, "{order:?}");
            // The end of the large block leaves the small one's machine where it is.
            core.block_seen(large, Hosts::new(), 22);
            assert_eq!(core.cache.machines_of("two").count(), 1, "{order:?}");
        }
    }
}

/// While controllers might use different sizes of blocks a machine could get two owners. So a claim
/// has the agreement on the size as a condition, and waits until all earlier claims are known.
#[test]
fn a_claim_depends_on_the_agreed_size_of_blocks() {
    // (agreed size and its stamp, how far the cache has come, the key that is written)
    for (agreed, revision, key) in [
        (None, 30, Some("hosts/n-~16~14")),
        (Some((4, 20)), 30, Some("hosts/n-~4~57")),
        (Some((4, 31)), 30, None),
        // It only ever sinks: the settings' own size is smaller.
        (Some((32, 20)), 30, Some("hosts/n-~16~14")),
    ] {
        let mut core = core();
        core.cache.loaded = true;
        core.cache.revision = revision;
        (core.cfg.value_bytes, core.lease.next) = (2048, NOW + 900 * SECOND);
        core.cluster_row(&raised_version(10));
        if let Some((size, stamp)) = agreed {
            let v = Json::of(&BlocksRecord { size });
            let path = CLUSTER_BLOCKS.into();
            core.cluster_row(&Row { path, v, stamp, charter: None });
        }
        core.want_claim(1, report_idle("n-000231", 1, 0), "one", 5);
        let effects = core.step(NOW + SECOND, Vec::new());
        let written = effects.iter().find_map(|effect| match effect {
            Effect::State { call: StateCall::Txn(txn), .. } => {
                let writes = |c: &&StateChange| matches!(c, StateChange::Write { write, .. } if write.starts_with("hosts/"));
                txn.changes.iter().find(writes).map(|change| (change, txn))
            }
            _ => None,
        });
        assert_eq!(written.is_some(), key.is_some(), "{agreed:?}: {effects:?}");
        let (Some((StateChange::Write { write, .. }, txn)), Some(key)) = (written, key) else {
            continue;
        };
        assert_eq!(write, key, "{agreed:?}");
        let stamp = agreed.map_or(0, |(_, stamp)| stamp);
        let condition = txn.conditions.iter().find(|c| c.path == CLUSTER_BLOCKS);
        assert_eq!(condition.map(|c| c.stamp), Some(stamp), "{agreed:?}");
    }
}
