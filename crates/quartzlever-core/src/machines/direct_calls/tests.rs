//! When direct calls are made, and what their ends show, as tables.

use super::*;
use crate::testing::*;

#[test]
fn a_call_is_made_for_a_start_that_cannot_wait_for_a_heartbeat() {
    // (machines that the processor can serve, seconds within which a task should start; whether a
    // call is made)
    for (machine_capacity, within, called) in
        [(100, None, true), (1, None, false), (1, Some(2), true)]
    {
        let mut core = core_with_leaders(machine_capacity);
        core.config.objectives = within
            .map(|s| ServiceLevelObjective::Wait {
                class: spec(1).class,
                share: 0.9,
                within: s * SECOND,
            })
            .into_iter()
            .collect();
        if let Some(partition) = core.partitions.get_mut("one") {
            // With a second machine the partition has more than half of the processor's capacity.
            let record = MachineRecord {
                partition: "one".into(),
                address: "n-2:9000".into(),
                machine_type: "m".into(),
                zone: "a".into(),
                spot: true,
            };
            partition.add_machine("n-2", record, true, NOW);
            for machine in partition.machines.values_mut() {
                (machine.incarnation, machine.last_heartbeat_at) = (1, NOW);
            }
            for machine_name in ["n-1", "n-2"] {
                partition.refresh_machine(machine_name);
            }
        }
        core.reconcile_job(record_of(1, 1, "one"), 10);
        let effects = core.step(NOW + SECOND, Vec::new());
        let calls = effects.iter().filter(|e| matches!(e, Effect::Worker { .. })).count();
        assert_eq!(calls > 0, called, "{machine_capacity} {within:?}");
        assert_eq!(
            core.partitions["one"].jobs["req-1"].assignments.len(),
            1,
            "the task is placed in either case"
        );
    }
}

#[test]
fn a_call_of_unknown_outcome_may_still_start_its_attempts() {
    use DirectCommand::{OutcomeUnknown, Settled};
    let status = |machine: &str, token| heartbeat_from(machine, 1, 3, token, &[]);
    // (case, result of the call; state of its `run`, whether the machine may be called again at
    // once)
    for (name, result, expected, can_be_called) in [
        ("accepted", Ok(WorkerReply::Status(status("n-1", 5))), Settled, true),
        ("refused", Ok(WorkerReply::Refused(status("n-1", 5))), Settled, true),
        ("another machine", Ok(WorkerReply::Status(status("n-8", 5))), Settled, false),
        ("a later term", Ok(WorkerReply::Refused(status("n-1", 6))), Settled, false),
        ("certainly not executed", Err(CallError::Refused), Settled, false),
        ("unknown", Err(CallError::Unknown), OutcomeUnknown, false),
    ] {
        let mut core = core();
        core.reconcile_job(job_record("0-3", ""), 10);
        make_machine_usable(&mut core);
        let config = core.config.clone();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.start_task("req-1", 0, "n-1", NOW);
        let mut outbox = Outbox::new(LogLevel::Info, NOW);
        partition.call_workers(
            &config,
            NOW,
            Permit::until(NOW + 1),
            &Cache::default(),
            &mut outbox,
        );
        let effects = outbox.take_effects();
        let [Effect::Worker { call_id, deadline, .. }] = &effects[..] else {
            panic!("{effects:?}")
        };
        assert_eq!(*deadline, NOW + 1, "{name}: no call after the end of the leader's authority");
        let call = outbox.take_worker_call(*call_id).expect("the call is in flight");
        let direct_command = |partition: &Partition| {
            partition.machines["n-1"].attempts.values().next().map(|attempt| attempt.direct_command)
        };
        assert_eq!(direct_command(partition), Some(DirectCommand::InFlight), "{name}");
        let run_times = &mut RunTimes::default();
        partition.handle_worker_reply(&config, run_times, *call_id, &call, result, NOW);
        assert_eq!(direct_command(partition), Some(expected), "{name}");
        assert_eq!(partition.machines["n-1"].can_be_called(NOW), can_be_called, "{name}");
    }
}
