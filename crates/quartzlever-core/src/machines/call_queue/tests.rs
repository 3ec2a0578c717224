//! Selection of the machines to call, as tables.

use super::{CallLimits, CallQueue};
use crate::testing::*;

const LIMITS: CallLimits = CallLimits { urgent: 32, fencing: 32, in_flight: 0 };

/// Returns a core whose machine n-1 has sent a heartbeat and has a task to start.
fn core_with_urgent_machine() -> Core {
    let mut core = core();
    core.reconcile_job(job_record("0-3", ""), 10);
    make_machine_usable(&mut core);
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    partition.start_task("req-1", 0, "n-1", NOW);
    core
}

#[test]
fn a_machine_is_called_only_if_it_can_take_commands_of_this_term() {
    // (state of the machine, change that brings it about; whether it is called now, whether it
    // stays queued)
    type Case = (&'static str, fn(&mut crate::machines::machine::Machine), bool, bool);
    let cases: [Case; 7] = [
        ("no change", |_| {}, true, true),
        ("not fenced", |m| m.fenced = false, false, false),
        ("no incarnation known", |m| m.incarnation = 0, false, false),
        ("no commands", |m| m.attempts.clear(), false, false),
        ("a call is in flight", |m| m.call = Some(7), false, true),
        ("scaling in", |m| m.scaling_in = true, false, true),
        ("the last call failed", |m| m.no_call_before = NOW + 1, false, true),
    ];
    for (name, change, called, queued) in cases {
        let mut core = core_with_urgent_machine();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        change(partition.machines.get_mut("n-1").expect("n-1 is in the partition"));
        let mut queue = CallQueue::default();
        queue.add_urgent("n-1");
        let due = queue.due(&partition.machines, LIMITS, NOW);
        assert_eq!(due == ["n-1"], called, "{name}: {due:?}");
        assert_eq!(queue.is_urgent("n-1"), queued, "{name}");
    }
}

#[test]
fn urgent_calls_go_before_fencing_and_both_within_their_limits() {
    // (limits of urgent and fencing calls, calls in flight; machines called)
    let all = ["n-1", "n-2", "n-3"];
    for (urgent, fencing, in_flight, called) in [
        (32, 32, 0, &all[..]),
        (32, 1, 0, &all[..2]),
        (32, 0, 0, &all[..1]),
        (0, 32, 0, &all[1..]),
        (32, 24, 24, &all[..1]),
        (32, 24, 23, &all[..2]),
        (32, 32, 32, &[]),
    ] {
        let mut core = core_with_urgent_machine();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
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
fn a_fenced_or_removed_machine_gets_no_fencing_call() {
    type Step = (fn(&mut CallQueue), bool);
    let steps: [Step; 4] = [
        (|_| {}, true),
        (|queue| queue.mark_fenced("n-1"), false),
        (|queue| queue.remove("n-1"), false),
        (|queue| queue.clear_unfenced(), false),
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
