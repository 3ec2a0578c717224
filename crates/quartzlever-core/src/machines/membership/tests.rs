//! Adding and removing machines of a partition, and the recovery barrier.

use crate::testing::*;

#[test]
fn only_a_claim_of_the_present_term_adds_a_machine() {
    // (whether the partition's records are loaded, whether the machine was terminated, the
    // modification revision of the claim, where the term is 5; whether the machine is added)
    for (loaded, terminated, mod_revision, added) in [
        (true, false, 6, true),
        (true, false, 5, false),
        (true, false, 4, false),
        (true, true, 6, false),
        (false, false, 6, false),
    ] {
        let mut core = core();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.loaded = loaded;
        if terminated {
            partition.fleet.terminated.record("n-9", NOW);
        }
        let record = machine_record_of("n-9", "one");
        partition.add_claimed_machine("n-9", &record, mod_revision, NOW);
        let machine = partition.machines.get("n-9");
        assert_eq!(machine.is_some(), added, "{loaded} {terminated} {mod_revision}");
        // No earlier leader ever commanded the machine.
        assert!(machine.is_none_or(|m| m.fenced && m.verified));
    }
}

#[test]
fn a_repeated_claim_does_not_change_a_known_machine() {
    let mut core = core();
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    if let Some(machine) = partition.machines.get_mut("n-1") {
        (machine.fenced, machine.verified) = (false, false);
    }
    partition.add_claimed_machine("n-1", &machine_record_of("n-8", "one"), 9, NOW);
    let machine = &partition.machines["n-1"];
    assert!(!machine.fenced && !machine.verified);
    assert_ne!(machine.record.address, "n-8:9000");
}

#[test]
fn the_recovery_barrier_opens_once_every_machine_is_verified() {
    let mut core = core();
    let partition = core.partitions.get_mut("one").expect("partition one is led here");
    partition.recovery_complete = false;
    partition.add_machine("n-2", machine_record_of("n-2", "one"), false, NOW);
    assert!(
        partition.call_queue.is_unfenced("n-2"),
        "commands of an earlier leader may still take effect on n-2"
    );
    assert!(!partition.try_complete_recovery(), "n-2 is not verified");
    if let Some(machine) = partition.machines.get_mut("n-2") {
        machine.verified = true;
    }
    partition.loaded = false;
    assert!(!partition.try_complete_recovery(), "the partition's records are not loaded");
    partition.loaded = true;
    assert!(partition.try_complete_recovery());
    assert!(partition.recovery_complete);
    let queue = &partition.call_queue;
    assert!(partition.machines.keys().all(|name| !queue.is_unfenced(name)));
    assert!(!partition.try_complete_recovery(), "the barrier opens once");
}

#[test]
fn tasks_of_an_emptied_or_removed_machine_are_requeued() {
    for removed in [true, false] {
        let mut core = core();
        core.reconcile_job(job_record("0-3", ""), 10);
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.start_task("req-1", 0, "n-1", NOW);
        assert!(!partition.jobs["req-1"].ready.contains(0));
        if removed {
            assert!(partition.remove_machine("n-1"));
            assert!(!partition.remove_machine("n-1"), "n-1 was removed before");
        } else {
            partition.requeue_attempts_of("n-1");
            assert!(partition.machines["n-1"].attempts.is_empty());
        }
        assert!(partition.jobs["req-1"].ready.contains(0), "removed {removed}");
        assert_eq!(partition.call_queue.is_urgent("n-1"), !removed);
    }
}
