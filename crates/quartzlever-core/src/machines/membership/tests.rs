//! Which machines belong to a partition, and the recovery barrier.

use crate::testing::*;

#[test]
fn a_machine_is_added_by_a_claim_of_this_term_only() {
    // (whether the partition's records are loaded, the machine was returned, the modification revision of the claim
    // against the term 5; whether it is added)
    for (loaded, terminated, mod_revision, added) in [
        (true, false, 6, true),
        (true, false, 5, false),
        (true, false, 4, false),
        (true, true, 6, false),
        (false, false, 6, false),
    ] {
        let mut core = core();
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.loaded = loaded;
        if terminated {
            partition.autoscaling.terminated.put("n-9", NOW);
        }
        let record = machine_record_of("n-9", "one");
        partition.add_claimed_machine("n-9", &record, mod_revision, NOW);
        let machine = partition.machines.get("n-9");
        assert_eq!(machine.is_some(), added, "{loaded} {terminated} {mod_revision}");
        // No earlier leader ever commanded it.
        assert!(machine.is_none_or(|m| m.fenced && m.verified));
    }
}

/// A claim that is told of once more changes nothing of a machine that is known.
#[test]
fn a_known_machine_stays_as_it_is() {
    let mut core = core();
    let partition = core.partitions.get_mut("one").expect("it is held");
    if let Some(machine) = partition.machines.get_mut("n-1") {
        (machine.fenced, machine.verified) = (false, false);
    }
    partition.add_claimed_machine("n-1", &machine_record_of("n-8", "one"), 9, NOW);
    let machine = &partition.machines["n-1"];
    assert!(!machine.fenced && !machine.verified);
    assert_ne!(machine.record.address, "n-8:9000");
}

#[test]
fn the_barrier_opens_when_every_machine_is_verified() {
    let mut core = core();
    let partition = core.partitions.get_mut("one").expect("it is held");
    partition.recovery_complete = false;
    partition.add_machine("n-2", machine_record_of("n-2", "one"), false, NOW);
    assert!(partition.call_queue.is_unfenced("n-2"), "an earlier leader may command it");
    assert!(!partition.try_complete_recovery(), "n-2 is not verified");
    if let Some(machine) = partition.machines.get_mut("n-2") {
        machine.verified = true;
    }
    partition.loaded = false;
    assert!(!partition.try_complete_recovery(), "the records are not known yet");
    partition.loaded = true;
    assert!(partition.try_complete_recovery());
    assert!(partition.recovery_complete);
    let queue = &partition.call_queue;
    assert!(partition.machines.keys().all(|name| !queue.is_unfenced(name)));
    assert!(!partition.try_complete_recovery(), "only once");
}

#[test]
fn tasks_of_a_machine_that_is_surely_empty_go_back_to_the_queue() {
    for removed in [true, false] {
        let mut core = core();
        core.reconcile_job(record("0-3", ""), 10);
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.start("req-1", 0, "n-1", NOW);
        assert!(!partition.jobs["req-1"].ready.contains(0));
        if removed {
            assert!(partition.remove_machine("n-1"));
            assert!(!partition.remove_machine("n-1"), "it is gone");
        } else {
            partition.empty_machine("n-1");
            assert!(partition.machines["n-1"].attempts.is_empty());
        }
        assert!(partition.jobs["req-1"].ready.contains(0), "removed {removed}");
        assert_eq!(partition.call_queue.is_urgent("n-1"), !removed);
    }
}
