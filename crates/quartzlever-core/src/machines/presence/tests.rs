//! Presence checks of unexpected machines.

use quartzlever_wire::CallError;
use quartzlever_wire::workers::{WorkerCall, WorkerReply};

use super::{MAX_PRESENCE_CHECKS, PresenceChecks, PresenceOutcome};
use crate::leadership::authority::Permit;
use crate::machines::ownership::PartitionTerm;
use crate::messages::{Effect, LogLevel};
use crate::outbox::Outbox;
use crate::testing::{NOW, heartbeat_from};

fn begin(checks: &mut PresenceChecks, outbox: &mut Outbox, id: u64, machine: &str) -> Vec<Effect> {
    let heartbeat = heartbeat_from(machine, 1, 1, 0, &[]);
    let owner = PartitionTerm { partition: "one".into(), term: 5 };
    checks.begin(id, heartbeat, owner, Permit::until(NOW + 1), outbox);
    outbox.take_effects()
}

#[test]
fn presence_checks_are_limited_to_one_per_machine_and_to_a_maximum_in_total() {
    let (mut checks, mut outbox) = (PresenceChecks::default(), Outbox::new(LogLevel::Info, NOW));
    let calls_worker = |effects: &[Effect]| matches!(effects, [Effect::Worker { call: WorkerCall::Status, deadline, .. }] if *deadline == NOW + 1);
    let rejects = |effects: &[Effect], request: u64| matches!(effects, [Effect::Answer { id, status: 503, .. }] if *id == request);
    for n in 0..MAX_PRESENCE_CHECKS as u64 {
        assert!(calls_worker(&begin(&mut checks, &mut outbox, n, &format!("n-{n}"))), "{n}");
    }
    assert!(rejects(&begin(&mut checks, &mut outbox, 100, "n-0"), 100), "a check is in flight");
    assert!(rejects(&begin(&mut checks, &mut outbox, 101, "n-99"), 101), "too many checks");
    assert!(checks.answered("n-0", Err(CallError::Unknown)).is_some());
    assert!(checks.answered("n-0", Err(CallError::Unknown)).is_none(), "the check has ended");
    assert!(calls_worker(&begin(&mut checks, &mut outbox, 102, "n-99")));
}

#[test]
fn only_the_machine_itself_confirms_its_presence() {
    let status = |machine: &str| Ok(WorkerReply::Status(heartbeat_from(machine, 1, 9, 0, &[])));
    let refused = Ok(WorkerReply::Refused(heartbeat_from("n-9", 1, 9, 0, &[])));
    for (name, result, present) in [
        ("it replies with its status", status("n-9"), true),
        ("another machine has its address", status("n-8"), false),
        ("it refuses the call", refused, false),
        ("no reply", Err(CallError::Unknown), false),
    ] {
        let mut checks = PresenceChecks::default();
        begin(&mut checks, &mut Outbox::new(LogLevel::Info, NOW), 7, "n-9");
        match checks.answered("n-9", result) {
            Some(PresenceOutcome::Present { id: 7, status }) => {
                assert!(present, "{name}");
                assert_eq!(status.sequence, 9, "{name}: the status of the reply");
            }
            Some(PresenceOutcome::NotConfirmed { id: 7 }) => assert!(!present, "{name}"),
            other => panic!("{name}: {other:?}"),
        }
    }
}
