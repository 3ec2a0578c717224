//! Whom to call, as tables.

use super::{CallLimits, CallQueue};
use crate::testing::*;

const LIMITS: CallLimits = CallLimits { urgent: 32, fencing: 32, in_flight: 0 };

/// A partition whose machine n-1 has reported and has a task to start.
fn with_urgent_machine() -> Core {
    let mut core = core();
    core.reconcile_job(record("0-3", ""), 10);
    ready_machine(&mut core);
    let partition = core.partitions.get_mut("one").expect("it is held");
    partition.start("req-1", 0, "n-1", NOW);
    core
}

#[test]
fn a_machine_is_called_only_if_it_can_take_commands_of_this_term() {
    // (what is wrong with the machine; whether it is called now, whether it is still queued)
    type Case = (&'static str, fn(&mut crate::machines::machine::Machine), bool, bool);
    let cases: [Case; 7] = [
        ("nothing", |_| {}, true, true),
        ("not fenced", |m| m.fenced = false, false, false),
        ("no session is known", |m| m.incarnation = 0, false, false),
        ("nothing to be told", |m| m.attempts.clear(), false, false),
        ("a call is under way", |m| m.call = Some(7), false, true),
        ("it is returned", |m| m.scaling_in = true, false, true),
        ("the last call has failed", |m| m.no_call_before = NOW + 1, false, true),
    ];
    for (name, change, called, queued) in cases {
        let mut core = with_urgent_machine();
        let partition = core.partitions.get_mut("one").expect("it is held");
        change(partition.machines.get_mut("n-1").expect("it is there"));
        let mut queue = CallQueue::default();
        queue.add_urgent("n-1");
        let due = queue.due(&partition.machines, LIMITS, NOW);
        assert_eq!(due == ["n-1"], called, "{name}: {due:?}");
        assert_eq!(queue.is_urgent("n-1"), queued, "{name}");
    }
}

#[test]
fn urgent_calls_go_before_fencing_and_both_within_their_limits() {
    // (limits of urgent and fencing calls, calls under way; who is called)
    let both = ["n-1", "n-2", "n-3"];
    for (urgent, fencing, in_flight, called) in [
        (32, 32, 0, &both[..]),
        (32, 1, 0, &both[..2]),
        (32, 0, 0, &both[..1]),
        (0, 32, 0, &both[1..]),
        (32, 24, 24, &both[..1]),
        (32, 24, 23, &both[..2]),
        (32, 32, 32, &[]),
    ] {
        let mut core = with_urgent_machine();
        let partition = core.partitions.get_mut("one").expect("it is held");
        let mut queue = CallQueue::default();
        queue.add_urgent("n-1");
        for name in ["n-2", "n-3"] {
            partition.add_machine(name, machine_record_of(name, "one"), false, NOW);
            queue.add_unfenced(name);
        }
        let limits = CallLimits { urgent, fencing, in_flight };
        let due = queue.due(&partition.machines, limits, NOW);
        assert_eq!(due, called, "{limits:?}");
    }
}

#[test]
fn a_machine_that_is_fenced_or_gone_is_not_called_to_be_fenced() {
    type Step = (fn(&mut CallQueue), bool);
    let steps: [Step; 4] = [
        (|_| {}, true),
        (|queue| queue.fenced("n-1"), false),
        (|queue| queue.forget("n-1"), false),
        (|queue| queue.all_verified(), false),
    ];
    for (n, (step, called)) in steps.into_iter().enumerate() {
        let core = core();
        let mut queue = CallQueue::default();
        queue.add_unfenced("n-1");
        step(&mut queue);
        let due = queue.due(&core.partitions["one"].machines, LIMITS, NOW);
        assert_eq!(due == ["n-1"], called, "step {n}");
    }
}
