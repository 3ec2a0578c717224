//! What is kept free, and for whom.

use crate::testing::*;

#[test]
fn a_machine_is_kept_for_a_job_that_waits_too_long() {
    use quartzlever_wire::SECOND;
    // (seconds that a job of 8 processors a task has waited while 4 are free; what a later urgent
    // one of 4 gets, and what the old one gets when the machine is free)
    for (age, small, large) in [(10, 1, 0), (160, 0, 1)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut running = spec(1);
        (running.id, running.cpus, running.priority) = ("req-7".into(), 4.0, Priority::Prod);
        queue_job(&mut core, &running, 10);
        let mut old = spec(2);
        old.cpus = 8.0;
        queue_job(&mut core, &old, 11);
        if let Some(job) = core.partitions.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.since = NOW - age * SECOND;
        }
        let mut fresh = spec(1);
        (fresh.id, fresh.cpus, fresh.priority) = ("req-2".into(), 4.0, Priority::Urgent);
        queue_job(&mut core, &fresh, 12);
        assert_eq!(placed(&core, "req-2").len(), small, "{age}: takes the room");
        // The first task ends.
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.drop_job("req-7", NOW);
            partition.empty_machine("n-1");
            partition.placement_wanted = true;
        }
        core.now += SECOND;
        core.place("one");
        assert_eq!(placed(&core, "req-1").len(), large, "{age}: begins");
    }
}

/// Four small guests make room for one wide task, and end one after the other: none of the room that they
/// leave goes to the guests that wait. It did, and the wide task waited for a minute while guests
/// were stopped and started six times over.
#[test]
fn room_that_is_made_is_kept_for_what_it_was_made_for() {
    use quartzlever_wire::SECOND;
    let mut core = core();
    machines(&mut core, &[("n-1", "m", "a", false)]);
    let guest =
        JobSpec { priority: Priority::BestEffort, checkpoint_s: 30.0, save_s: 3.0, ..spec(20) };
    queue_job(&mut core, &guest, 10);
    let wide = JobSpec { id: "req-2".into(), cpus: 8.0, due_s: Some(600.0), ..spec(1) };
    queue_job(&mut core, &wide, 11);
    let place = |core: &mut Core, now| {
        core.now = now;
        core.partitions.get_mut("one").expect("it is held").placement_wanted = true;
        core.place("one");
    };
    place(&mut core, NOW + SECOND);
    let stopped = |core: &Core| -> Vec<crate::machines::attempt::AttemptKey> {
        let attempts = &core.partitions["one"].machines["n-1"].attempts;
        attempts.iter().filter(|(_, s)| !s.wanted).map(|(key, _)| key.clone()).collect()
    };
    let keys = stopped(&core);
    assert_eq!(keys.len(), 4, "all that is on the machine");
    for (n, key) in keys.iter().enumerate() {
        assert_eq!(placed(&core, &wide.id), [], "{n} have ended");
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.machines["n-1"].attempts.remove(key);
        partition.requeue(&key.task, key.attempt);
        partition.refresh("n-1");
        core.fill("one", "n-1");
        place(&mut core, NOW + 2 * SECOND + n as u64 * SECOND / 5);
    }
    assert_eq!(placed(&core, &wide.id), [("n-1".to_owned(), 1)]);
    assert_eq!(placed(&core, &guest.id), [], "no guest took what was left meanwhile");
}
