//! The work of a step with records of the largest job, every second task of which has finished.

use super::*;

/// Jobs of a queue that take more than the work of a step.
const MANY_JOBS: u32 = 6;

/// Returns every second task of the largest job.
fn every_second_task() -> Ranges {
    (0..LARGEST_JOB).filter(|task| task % 2 == 0).collect()
}

/// Returns the record of job "req-`number`", every second task of which has finished.
fn fragmented_record(number: u32) -> ActiveJobRecord {
    let finished = every_second_task();
    ActiveJobRecord { finished, ..record_of(number, LARGEST_JOB, "one") }
}

/// Returns a controller that has acquired partition "one", whose jobs it has not loaded, and has done
/// the first `steps` steps of that.
fn core_loading_jobs(steps: usize) -> Core {
    let mut core = core_with_cache(&[("one", "one", 35)]);
    core.partitions.clear();
    core.cache.set_revision(40);
    for number in 0..MANY_JOBS {
        core.cache.record_active_job(fragmented_record(number), 30);
    }
    core.begin_leadership("one", 35);
    for _ in 0..steps {
        step(&mut core, Vec::new(), "first steps");
    }
    core
}

/// Guards users' requests against hanging behind the largest job.
#[test]
fn the_largest_job_is_accepted_and_looked_up_at_once() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    let spec = Box::new(tiny_job(LARGEST_JOB, |_| {}));
    step(&mut core, vec![Command::Submit { id: 1, spec }], "submission");
    core.cache.record_active_job(fragmented_record(2), 11);
    let lookup = |id| Command::Lookup { id, job: "req-2".into() };
    step(&mut core, (2..66).map(lookup).collect(), "lookups");
}

/// Guards against a listing, a watch event or a reply that hangs the controller.
#[test]
fn the_record_of_the_largest_job_is_applied_in_a_few_passes() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    core.work.begin_step();
    for mod_revision in 10..14 {
        core.reconcile_job(fragmented_record(1), mod_revision);
    }
    assert_work_is_bounded(&core, "records");
    let record = fragmented_record(1);
    let entry = KeyValue {
        key: "live/req-1".into(),
        value: Json::of(&record),
        mod_revision: 20,
        lease_id: None,
    };
    core.work.begin_step();
    let partition = partition_entry("one", "one", core.process, 5);
    relist_records(&mut core, &[partition, entry], 30);
    assert_work_is_bounded(&core, "listing");
    let job = &core.partitions["one"].jobs["req-1"];
    assert_eq!(job.ready.len(), LARGEST_JOB / 2);
}

/// Guards against a takeover that hangs the new leader while it loads the jobs, and against one that
/// misses what changes meanwhile.
#[test]
fn the_jobs_of_an_acquired_partition_are_loaded_in_several_steps() {
    let mut core = core_loading_jobs(2);
    assert!(!core.partitions["one"].is_loaded(), "not everything is loaded in two steps");
    // "req-0" and "req-1" are loaded by now, the others are not yet.
    core.job_terminated("req-0", TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 });
    for number in [1, 4] {
        let record = record_of(number, LARGEST_JOB, "one");
        let finished = Ranges::up_to(LARGEST_JOB - 1);
        core.reconcile_job(ActiveJobRecord { finished, ..record }, 41);
    }
    core.job_terminated("req-5", TerminalJobRecord { phase: JobPhase::Cancelled, done: 0 });
    for _ in 0..MANY_JOBS {
        step(&mut core, Vec::new(), "next step");
    }
    let partition = &core.partitions["one"];
    assert!(partition.is_loaded());
    assert_eq!(partition.jobs.len(), MANY_JOBS as usize - 2);
    for (id, job) in &partition.jobs {
        let changed = id == "req-1" || id == "req-4";
        assert_eq!(job.mod_revision(), if changed { 41 } else { 30 }, "{id}");
    }
}

/// Guards against a loaded part of the jobs outliving the listing that fills the cache anew.
#[test]
fn loading_begins_again_when_the_records_are_listed_anew() {
    let mut core = core_loading_jobs(1);
    assert!(!core.partitions["one"].jobs.is_empty());
    begin_listing(&mut core, 50);
    assert!(core.partitions["one"].jobs.is_empty());
    let process = core.process;
    relist_records(&mut core, &[partition_entry("one", "one", process, 35)], 50);
    step(&mut core, Vec::new(), "after the listing");
    assert!(core.partitions["one"].is_loaded());
    assert!(core.partitions["one"].jobs.is_empty());
}

/// Guards against a scan that writes all records at once, however long they are.
#[test]
fn the_records_of_the_largest_jobs_are_written_in_several_scans() {
    let mut core = core_with_cache(&[("one", "one", 5)]);
    for number in 0..MANY_JOBS {
        core.reconcile_job(record_of(number, LARGEST_JOB, "one"), 10 + u64::from(number));
    }
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    for job in partition.jobs.values_mut() {
        job.no_start_before = NOW + 1_000 * SECOND;
        for task in every_second_task().iter() {
            job.finish(task, "one", NOW);
        }
    }
    let mut writes = 0;
    for _ in 0..5 {
        let effects = step(&mut core, Vec::new(), "writes");
        let is_write = |effect: &&Effect| {
            matches!(effect, Effect::Store { call: StoreCall::Txn(txn), .. }
                if txn.conditions.iter().any(|c| c.path.starts_with("live/")))
        };
        let found = effects.iter().filter(is_write).count();
        assert!(found <= 1, "{found} writes in one scan");
        writes += found;
    }
    assert!(writes > 1, "the next scan goes on");
}

/// Guards against a request of a thief that hangs the victim, and against one that tries jobs in vain
/// that no move can take, in place of the next ones.
#[test]
fn a_steal_visits_a_bounded_number_of_ranges() {
    let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
    // These records are larger than the store accepts.
    for number in 0..MANY_JOBS {
        core.reconcile_job(fragmented_record(number), 10 + u64::from(number));
    }
    let capacity = FreeCapacity {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
        cpus: 1e6,
        gpus: 0.0,
        ram_gb: 1e6,
    };
    let request = PeerRequest::Steal {
        partition: "two".into(),
        term: 6,
        priority: Priority::BestEffort,
        capacity: ThiefCapacity { free: vec![capacity] },
        load: None,
    };
    let movable = |core: &Core| {
        let partition = &core.partitions["one"];
        partition.movable_count(&core.config, Priority::BestEffort)
    };
    for tried in 1..=MANY_JOBS {
        step(&mut core, vec![Command::PeerRequest { id: 1, request: request.clone() }], "steal");
        let units = core.work().units(Activity::Stealing);
        assert!(units <= 2 * u64::from(LARGEST_JOB), "request {tried}: {units} units");
        assert_eq!(movable(&core), (MANY_JOBS - tried) * LARGEST_JOB / 2, "request {tried}");
    }
    core.reconcile_job(fragmented_record(0), 40);
    assert_eq!(movable(&core), LARGEST_JOB / 2, "a changed record is tried again");
}
