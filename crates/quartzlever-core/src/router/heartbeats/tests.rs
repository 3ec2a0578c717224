//! Tests heartbeats of unknown and foreign machines, through the whole controller.

use crate::leadership::connectivity::StoreConnectivity;
use crate::testing::*;

#[test]
fn an_unknown_machine_is_claimed_only_after_a_presence_check() {
    let alive =
        |machine_name: &str| Ok(WorkerReply::Status(heartbeat_from(machine_name, 1, 9, 0, &[])));
    // (whether its first heartbeat is expected, its reply to the presence check, whether it is
    // claimed)
    for (name, expected, reply, claimed) in [
        ("launched and starting", true, None, true),
        ("unexpected, and present", false, Some(alive("n-9")), true),
        (
            "terminated, and a copy of its heartbeat came late",
            false,
            Some(Err(CallError::Unknown)),
            false,
        ),
        ("another machine has its address", false, Some(alive("n-8")), false),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.lease.renew_at(NOW + 900 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one").filter(|_| expected) {
            let machine =
                PendingInstance { offer: MachineOffer::new("m", "a", true), requested_at: NOW };
            partition.fleet.pending_instances.add("n-9", machine);
        }
        let first = Command::Heartbeat { id: 1, heartbeat: heartbeat_from("n-9", 1, 1, 0, &[]) };
        let mut effects = core.step(NOW, vec![first]);
        let check = effects.iter().find_map(|e| match e {
            Effect::Worker { call_id, call: WorkerCall::Status, address, .. }
                if address == "n-9:9000" =>
            {
                Some(*call_id)
            }
            _ => None,
        });
        assert_eq!(check.is_some(), reply.is_some(), "{name}: presence check");
        if let (Some(call_id), Some(result)) = (check, reply) {
            effects.extend(core.step(NOW, vec![Command::WorkerReply { call_id, result }]));
        }
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let key = large_group_key("n-9");
        let written = effects.iter().any(|e| match e {
            Effect::Store { call: StoreCall::Txn(txn), .. } => {
                txn.conditions.iter().any(|c| c.path == key)
            }
            _ => false,
        });
        assert_eq!(written, claimed, "{name}: claimed");
        let rejected =
            effects.iter().any(|e| matches!(e, Effect::Answer { id: 1, status: 503, .. }));
        assert_eq!(rejected, !claimed, "{name}: rejected");
    }
}

#[test]
fn only_a_node_that_reaches_the_store_redirects_to_a_leader() {
    // (seconds since the store last replied, leader of partition "two" in the cache, status that a
    // worker of that partition gets)
    for (silent, leader, status) in
        [(1, "two", 421), (3, "two", 421), (5, "two", 503), (1, "one", 503)]
    {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", leader, 6)]);
        core.apply_group_change(
            &large_group_key("n-7"),
            [("n-7".into(), machine_record_of("n-7", "two"))].into(),
            9,
        );
        core.store_connectivity = StoreConnectivity::new(NOW);
        let command = Command::Heartbeat { id: 4, heartbeat: idle_heartbeat("n-7", 3, 6) };
        let effects = core.step(NOW + silent * SECOND, vec![command]);
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 4, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, Some(status), "{silent} s, {leader}");
    }
}

#[test]
fn the_lease_of_a_machine_is_not_renewed_while_an_old_cancelled_attempt_may_still_start_there() {
    let may_start = DirectCommand::OutcomeUnknown;
    // (whether a start command is in flight, whether the heartbeat lists the attempt, seconds since
    // the end of the job, status of the answer, whether it kills the attempt)
    for (command, listed, since_end, status, kills) in [
        (may_start, false, 20, 200, false),
        (may_start, false, 27, 503, false),
        (may_start, false, 200, 503, false),
        (may_start, true, 27, 200, true),
        (DirectCommand::Settled, false, 27, 200, false),
    ] {
        let (mut core, attempt) = core_with_unreported_attempt(command);
        let now = NOW + since_end * SECOND;
        core.cache.set_view_as_of(now);
        let heartbeat = heartbeat_of_one(2, listed.then_some(attempt));
        let effects = core.step(now, vec![Command::Heartbeat { id: 4, heartbeat }]);
        let answer = effects.iter().find_map(|effect| match effect {
            Effect::Answer { id: 4, status, body, deadline, .. } => {
                Some((*status, body.clone(), *deadline))
            }
            _ => None,
        });
        let Some((answered, body, deadline)) = answer else { panic!("no answer") };
        let name = format!("{command:?}, listed {listed}, {since_end} s");
        assert_eq!(answered, status, "{name}");
        let is_kill = |command: &WorkerCommand| matches!(command, WorkerCommand::Kill { .. });
        let killed =
            matches!(&body, Answer::WorkerCommands(answer) if answer.commands.iter().any(is_kill));
        assert_eq!(killed, kills, "{name}");
        if status == 200 && command == may_start && !listed {
            let last_renewal_at = NOW + core.config.max_view_age();
            assert_eq!(deadline, Some(last_renewal_at), "{name}: sent too late");
        }
        let machine = &core.partitions["one"].machines["n-1"];
        assert_eq!(machine.is_usable(), status == 200, "{name}: gets tasks");
    }
}

#[test]
fn a_lease_is_renewed_again_once_the_end_of_the_attempt_is_confirmed() {
    let (mut core, _) = core_with_unreported_attempt(DirectCommand::OutcomeUnknown);
    let mut status_of = |second: u64, heartbeat| {
        core.cache.set_view_as_of(NOW + second * SECOND);
        let effects =
            core.step(NOW + second * SECOND, vec![Command::Heartbeat { id: second, heartbeat }]);
        effects.iter().find_map(|effect| match effect {
            Effect::Answer { id, status, .. } if *id == second => Some(*status),
            _ => None,
        })
    };
    assert_eq!(status_of(27, idle_heartbeat("n-1", 2, 5)), Some(503));
    assert_eq!(status_of(28, idle_heartbeat("n-1", 3, 5)), Some(503));
    // The lease has expired, and a late start command names an incarnation that is over.
    assert_eq!(status_of(62, heartbeat_from("n-1", 2, 4, 5, &[])), Some(200));
    assert!(core.partitions["one"].machines["n-1"].is_usable());
}
