//! Failures that come together, as tables: parts that change hands while much else goes on, nodes
//! that stand still or lose their workers, and one node that is left with everything.

use quartzlever_wire::state::{PartRecord, StateCall, StateReply};
use quartzlever_wire::{CallError, SECOND};

use crate::engine::Core;
use crate::messages::{Command, Effect, Token};
use crate::regressions::{NOW, core, spec};

/// The tokens of the transactions among the effects that change this key.
fn changes(effects: &[Effect], key: &str) -> Vec<Token> {
    let of = |e: &Effect| match e {
        Effect::State { token, call: StateCall::Txn(txn), .. } => {
            txn.conditions.iter().any(|c| c.path == key).then_some(*token)
        }
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

/// A core with a copy of the records, in which these nodes hold parts.
fn with_copy(parts: &[(&str, &str, u64)]) -> Core {
    let mut core = core();
    core.mirror.loaded = true;
    core.wall_offset = Some(0);
    core.hold.next = NOW + 900 * SECOND;
    for (part, node, stamp) in parts {
        let process = if *node == core.cfg.node { core.process } else { 77 };
        let record = PartRecord { node: (*node).into(), process };
        core.mirror.parts.insert((*part).into(), (record, *stamp));
    }
    core
}

#[test]
fn a_part_is_given_back_once() {
    // (what the release brings, how many more releases follow within a second)
    for (name, brings, more) in [
        ("given up", Ok(StateReply::Committed(20)), 0),
        ("another's already", Ok(StateReply::Conflict(vec!["parts/two".into()])), 0),
        ("not carried out", Err(CallError::Refused), 1),
        ("unknown", Err(CallError::Unknown), 1),
    ] {
        let mut core = with_copy(&[("one", "one", 5), ("two", "one", 6)]);
        core.home_asks.insert("two".into(), (NOW - 60 * SECOND, NOW));
        let first = changes(&core.step(NOW, Vec::new()), "parts/two");
        assert_eq!(first.len(), 1, "{name}: asked for long enough");
        // The copy does not know of it yet; the home node still asks.
        let result = Command::State { token: first[0], result: brings };
        let mut again = changes(&core.step(NOW + SECOND / 20, vec![result]), "parts/two");
        for step in 2..20 {
            again.extend(changes(&core.step(NOW + step * SECOND / 20, Vec::new()), "parts/two"));
        }
        assert_eq!(again.len(), more, "{name}");
    }
}

#[test]
fn a_node_without_a_part_accepts_into_anothers() {
    // (whether this node holds its part, who holds parts by its copy; the condition of the
    // acceptance beside the job's own keys, none if the job is not accepted at all)
    type Case<'a> = (bool, &'a [(&'a str, &'a str, u64)], Option<(&'a str, u64)>);
    let cases: &[Case] = &[
        (true, &[("one", "one", 5), ("two", "two", 6)], Some(("parts/one", 5))),
        (false, &[("one", "two", 8), ("two", "two", 8)], Some(("parts/", 8))),
        (false, &[("two", "two", 6)], Some(("parts/two", 6))),
        (false, &[], None),
    ];
    for (n, (holds, parts, condition)) in cases.iter().enumerate() {
        let mut core = with_copy(parts);
        if !holds {
            core.parts.clear();
        }
        let submit = Command::Submit { id: 9, spec: Box::new(spec(2)) };
        let effects = core.step(NOW, vec![submit]);
        let found = effects.iter().find_map(|e| match e {
            Effect::State { call: StateCall::Txn(txn), .. } if !txn.changes.is_empty() => {
                let live = txn.conditions.iter().any(|c| c.path == "live/req-1");
                let part = txn.conditions.iter().find(|c| c.path.starts_with("parts/"));
                part.filter(|_| live).map(|c| (c.path.clone(), c.stamp))
            }
            _ => None,
        });
        assert_eq!(found.is_some(), condition.is_some(), "case {n}");
        if let (Some(found), Some(wanted)) = (found, condition) {
            assert!(found.0.starts_with(wanted.0) && found.1 == wanted.1, "case {n}: {found:?}");
        }
    }
}
