//! Tests of scale-out and scale-in decisions, and of the catalogue after a restart.

use super::ScaleInReason;
use crate::testing::*;

#[test]
fn a_restart_during_a_cloud_outage_uses_the_stored_catalogue() {
    use crate::messages::{Command, Effect};
    use quartzlever_wire::store::{CATALOGUE_KEY, KeyValue, StoreCall};
    // (whether an earlier process stored the catalogue, whether the types are known after the
    // restart)
    for (stored, known) in [(true, true), (false, false)] {
        let mut core = core();
        let types: Vec<MachineType> =
            core.types.take().iter().flat_map(|t| t.values().cloned()).collect();
        let effects = core.step(NOW, Vec::new());
        let cloud_call = effects.iter().find_map(|e| match e {
            Effect::Cloud { call_id, .. } => Some(*call_id),
            _ => None,
        });
        let Some(call_id) = cloud_call else {
            panic!("the catalogue is not requested from the cloud")
        };
        let refused = Command::CloudReply { call_id, result: Err(CallError::Refused) };
        let effects = core.step(NOW, vec![refused]);
        let call_id = effects.iter().find_map(|e| match e {
            Effect::Store { call_id, call: StoreCall::Get(key), .. } if key == CATALOGUE_KEY => {
                Some(*call_id)
            }
            _ => None,
        });
        let Some(call_id) = call_id else { panic!("the stored catalogue is not read") };
        let catalogue = serde_json::json!({ "chassis": types });
        let entry = KeyValue {
            key: CATALOGUE_KEY.into(),
            value: quartzlever_wire::Json::of(&catalogue),
            mod_revision: 3,
            lease_id: None,
        };
        let absent = StoreReply::Absent { revision: 4 };
        let result = Ok(if stored { StoreReply::Read(entry) } else { absent });
        core.step(NOW, vec![Command::StoreReply { call_id, result }]);
        assert_eq!(core.types.is_some(), known, "stored {stored}");
    }
}

#[test]
fn late_heartbeat_copies_do_not_delay_the_termination_of_a_silent_machine() {
    // (seconds since the takeover, whether late copies keep arriving, whether the machine is
    // terminated)
    for (after, copies, expected) in [(1, true, false), (30, true, true), (30, false, true)] {
        let mut core = core();
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.acquired_at = NOW;
            partition.recovery_complete = false;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                (machine.fenced, machine.verified) = (false, false);
            }
        }
        let mut terminated = false;
        for step in 1..=after * 2 {
            let mut commands = vec![Command::Tick { wall: NOW, was_stalled: false }];
            if copies {
                let heartbeat = heartbeat_from("n-1", 1, step, 4, &[]);
                commands.push(Command::Heartbeat { id: step, heartbeat });
            }
            let effects = core.step(NOW + step * SECOND / 2, commands);
            terminated |= effects.iter().any(|e| {
                matches!(e, Effect::Cloud { call: quartzlever_wire::cloud::CloudCall::ScaleIn(h), .. }
                    if h.contains(&"n-1".to_owned()))
            });
        }
        assert_eq!(terminated, expected, "{after} s, copies {copies}");
    }
}

#[test]
fn an_unverified_machine_is_terminated_sooner_after_two_failed_calls() {
    // (failed calls, seconds since the takeover, whether the machine is marked for termination),
    // with a heartbeat interval of 6 s and a silence limit of 10 s
    for (failed, after, marked) in
        [(0, 7, false), (1, 7, false), (2, 7, true), (0, 13, true), (2, 4, false)]
    {
        let mut core = core();
        (core.config.workers.heartbeat_interval, core.config.workers.lease) =
            (6 * SECOND, 34 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.recovery_complete = false;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                (machine.fenced, machine.verified) = (false, false);
                machine.failed_calls = failed;
            }
            // A machine that has sent a heartbeat, so that the zone does not count as unreachable.
            let record = partition.machines["n-1"].record.clone();
            partition.add_machine("n-2", record, true, NOW + after * SECOND);
        }
        core.step(NOW + after * SECOND, Vec::new());
        let reason = core.partitions["one"].machines.get("n-1").and_then(|m| m.scale_in_reason);
        assert_eq!(reason.is_some(), marked, "{failed} calls, {after} s");
    }
}

#[test]
fn a_machine_that_ignores_commands_gets_no_more_tasks_and_is_terminated() {
    // (whether each later heartbeat shows the attempt that earlier answers started; whether the
    // machine is usable after the first of them; whether it is terminated)
    for (name, shows, usable, expected) in [
        ("answers arrive", [true, true, true], true, false),
        ("one answer is lost", [false, true, true], false, false),
        ("no answer arrives", [false, false, false], false, true),
    ] {
        let mut core = core();
        reconcile_test_job(&mut core, &spec(1), 10, NOW);
        core.step(
            NOW,
            vec![Command::Heartbeat { id: 1, heartbeat: heartbeat_from("n-1", 1, 1, 5, &[]) }],
        );
        let partition = &core.partitions["one"];
        let attempt = partition.jobs["req-1"].assignments.values().next().map(|p| p.attempt);
        let Some(attempt) = attempt else { panic!("{name}: not started") };
        let mut terminated = false;
        for (n, shown) in shows.into_iter().enumerate() {
            let now = NOW + (n as u64 + 1) * SECOND;
            let attempts: &[u64] = if shown { &[attempt] } else { &[] };
            let next = heartbeat_from("n-1", 1, n as u64 + 2, 5, attempts);
            core.step(now, vec![Command::Heartbeat { id: 2 + n as u64, heartbeat: next }]);
            if n == 0 {
                let machine = &core.partitions["one"].machines["n-1"];
                assert_eq!(machine.is_usable(), usable, "{name}");
            }
            terminated |= core.partitions["one"].machines["n-1"].scale_in_reason
                == Some(ScaleInReason::IgnoresCommands);
        }
        let effects = core.step(NOW + 4 * SECOND, Vec::new());
        terminated |= effects.iter().any(|e| {
            matches!(e, Effect::Cloud { call: quartzlever_wire::cloud::CloudCall::ScaleIn(_), .. })
        });
        assert_eq!(terminated, expected, "{name}");
        // The task stays assigned until the machine is proven to be empty.
        let assignments = core.partitions["one"].jobs["req-1"].assignments.len();
        assert_eq!(assignments, 1, "{name}: not started elsewhere");
    }
}

#[test]
fn unverified_machines_of_an_unreachable_zone_are_terminated_after_half_a_lease() {
    // (whether the machines are verified, seconds of silence, whether they are marked for
    // termination), with leases of 34 s
    for (verified, silence_s, marked) in
        [(false, 16, false), (false, 18, true), (true, 18, false), (true, 36, true)]
    {
        let mut core = core();
        (core.config.workers.heartbeat_interval, core.config.workers.lease) =
            (6 * SECOND, 34 * SECOND);
        if let Some(partition) = core.partitions.get_mut("one") {
            let record = partition.machines["n-1"].record.clone();
            for name in ["n-2", "n-3"] {
                partition.add_machine(name, record.clone(), false, NOW);
            }
            for machine in partition.machines.values_mut() {
                (machine.fenced, machine.verified) = (verified, verified);
                machine.idle_since = None;
                machine.failed_calls = 9;
            }
            partition.recovery_complete = verified;
        }
        core.step(NOW + silence_s * SECOND, Vec::new());
        let machines = &core.partitions["one"].machines;
        let count = machines.values().filter(|m| m.scale_in_reason.is_some()).count();
        assert_eq!(count, if marked { 3 } else { 0 }, "verified {verified}, {silence_s} s");
    }
}

#[test]
fn no_machine_counts_as_silent_on_a_node_that_did_not_listen() {
    // (seconds since the last heartbeat; whether the process is behind after a stall; number of
    // heartbeats in the first batch after that; machines terminated)
    for (name, silence_s, was_stalled, reporting, terminated) in [
        ("all machines are silent, and the node listened", 13, false, 0, 10),
        ("the node stalled and has read nothing yet", 13, true, 0, 0),
        ("the node stalled and has read some heartbeats", 13, true, 4, 0),
        ("some machines are silent, and the node listened", 13, false, 4, 6),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5)]);
        with_ten_machines(&mut core, NOW);
        let now = NOW + silence_s * SECOND;
        let mut commands = vec![Command::Tick { wall: NOW, was_stalled }];
        for n in 1..=reporting {
            let heartbeat = idle_heartbeat(&format!("n-{n}"), 9, 5);
            commands.push(Command::Heartbeat { id: n, heartbeat });
        }
        assert_eq!(terminated_count(&core.step(now, commands)), terminated, "{name}");
        // The silent machines are terminated later in each case.
        let mut late = 0;
        for step in 1..=30 {
            let now = now + step * SECOND / 2;
            let heartbeats = (1..=reporting).map(|n| Command::Heartbeat {
                id: 100 + n,
                heartbeat: idle_heartbeat(&format!("n-{n}"), 10 + step, 5),
            });
            late += terminated_count(&core.step(now, heartbeats.collect()));
        }
        assert_eq!(late + terminated, 10 - reporting as usize, "{name}: in total");
    }
}

/// A replica on a dead machine runs nowhere until the machine is terminated. One failed call after
/// a late heartbeat is enough, unless so many heartbeats are late that the machines are not at
/// fault.
#[test]
fn a_late_machine_with_replicas_is_terminated_after_one_failed_call() {
    // (a replica is on the machine, the call to it fails, other late machines, terminated shortly
    // after its heartbeat is late, terminated by the limit of any silent machine)
    for (n, (service, fails, others, soon, at_last)) in [
        (true, true, 0, true, true),
        (true, false, 0, false, true),
        (false, true, 0, false, true),
        (true, true, 8, false, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        let mut record = job_record("0-3", "");
        if service {
            record.job.shape = Shape::Service;
        }
        core.reconcile_job(record, 10);
        core.step(
            NOW,
            vec![Command::Heartbeat { id: 1, heartbeat: heartbeat_from("n-1", 1, 1, 5, &[]) }],
        );
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        assert!(partition.machines["n-1"].has_service_replicas() == service, "{n}");
        for other in 0..others {
            let name = format!("x-{other}");
            partition.add_machine(&name, machine_record_of(&name, "one"), true, NOW);
        }
        let (mut probe, mut terminated_at) = (None, None);
        // If all machines of a zone are silent, each gets its whole lease, a little more than 10 s.
        let (late, silent) = (core.config.late_heartbeat_after(), 12 * SECOND);
        for step in 1..=30 {
            let now = NOW + step * SECOND / 2;
            let mut batch = vec![Command::Tick { wall: now, was_stalled: false }];
            if fails && let Some(call_id) = probe.take() {
                batch.push(Command::WorkerReply { call_id, result: Err(CallError::Unknown) });
            }
            for effect in core.step(now, batch) {
                match effect {
                    Effect::Worker { call_id, address, .. } if address.starts_with("n-1") => {
                        probe = Some(call_id);
                    }
                    Effect::Cloud { call: CloudCall::ScaleIn(machines), .. }
                        if machines.contains(&"n-1".to_owned()) =>
                    {
                        terminated_at.get_or_insert(now - NOW);
                    }
                    _ => {}
                }
            }
        }
        let within = |span: Micros| terminated_at.is_some_and(|at| at <= span);
        assert_eq!(within(late + 4 * SECOND), soon, "{n}: {terminated_at:?}");
        assert_eq!(within(silent), at_last, "{n}: {terminated_at:?}");
    }
}

/// When a zone becomes reachable again, the first heartbeat from it shows that the outage is over.
/// All other machines of the zone had been silent for longer than the limit, and 168 were
/// terminated in that second, with everything that ran on them.
#[test]
fn the_end_of_a_zone_outage_terminates_no_machine_at_once() {
    // (seconds that the zone is unreachable, seconds after that, machines terminated)
    for (outage_s, after, expected) in [(8, 1, 0), (8, 6, 9)] {
        let mut core = core();
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        for n in 0..10 {
            let name = format!("x-{n}");
            let mut record = machine_record_of(&name, "one");
            (record.zone, record.spot) = ("b".into(), false);
            partition.add_machine(&name, record, true, NOW);
        }
        for n in 0..10 {
            core.step(
                NOW,
                vec![Command::Heartbeat {
                    id: n,
                    heartbeat: heartbeat_from(&format!("x-{n}"), 1, 1, 5, &[]),
                }],
            );
        }
        core.config.operator.silent_machine_timeout = 4 * SECOND;
        core.config.operator.max_idle_boot_times = 1_000.0;
        let mut terminated = 0;
        let end = outage_s + after;
        for step in 1..=2 * end {
            let now = NOW + step * SECOND / 2;
            let mut batch = vec![Command::Tick { wall: now, was_stalled: false }];
            let own = heartbeat_from("n-1", 1, step + 1, 5, &[]);
            batch.push(Command::Heartbeat { id: 100, heartbeat: own });
            if step >= 2 * outage_s {
                // Only one machine of the zone sends heartbeats again.
                let first = heartbeat_from("x-0", 1, step + 1, 5, &[]);
                batch.push(Command::Heartbeat { id: 101, heartbeat: first });
            }
            for effect in core.step(now, batch) {
                if let Effect::Cloud { call: CloudCall::ScaleIn(machines), .. } = effect {
                    terminated += machines.iter().filter(|m| m.starts_with("x-")).count();
                }
            }
        }
        assert_eq!(terminated, expected, "outage of {outage_s} s, {after} s after its end");
    }
}

/// Requested machines: zone, spot, count.
type Requested = Vec<(String, bool, u32)>;

/// Returns the machines that a step requests.
fn requested_machines(effects: Vec<Effect>) -> Requested {
    let request = |effect| match effect {
        Effect::Cloud { call: CloudCall::ScaleOut(request), .. } => {
            Some((request.zone, request.spot, request.count))
        }
        _ => None,
    };
    let mut scale_outs: Requested = effects.into_iter().filter_map(request).collect();
    scale_outs.sort();
    scale_outs
}

/// Half of a service that is spread over zones had to wait for a second boot, because one machine
/// had the capacity for the whole service.
#[test]
fn a_spread_service_gets_machines_in_each_zone_at_once() {
    let in_zone = |zone: &str| (zone.to_owned(), false, 1);
    // (spread, zones of the claimed on-demand machines, replicas; machines requested)
    type Case<'a> = (bool, &'a [&'a str], u32, Requested);
    let cases: &[Case] = &[
        (true, &[], 4, vec![in_zone("a"), in_zone("b")]),
        (true, &["a"], 4, vec![in_zone("b")]),
        (true, &["a", "b"], 4, vec![]),
        (true, &[], 1, vec![in_zone("a")]),
        (false, &[], 4, vec![in_zone("a")]),
    ];
    for (n, (spread, zones, replicas, requested)) in cases.iter().enumerate() {
        let mut core = core();
        let list: Vec<(String, &str)> =
            zones.iter().enumerate().map(|(k, zone)| (format!("x-{k}"), *zone)).collect();
        let list: Vec<_> =
            list.iter().map(|(name, zone)| (name.as_str(), "m", *zone, false)).collect();
        set_machines(&mut core, &list);
        let service = JobSpec {
            shape: Shape::Service,
            priority: Priority::Prod,
            cpus: 1.0,
            spot: false,
            spread: *spread,
            ..spec(*replicas)
        };
        queue_job(&mut core, &service, 10);
        let now = NOW + 5 * SECOND;
        let batch = vec![Command::Tick { wall: now, was_stalled: false }];
        assert_eq!(&requested_machines(core.step(now, batch)), requested, "case {n}");
    }
}

/// The first services are submitted soon after an upgrade, and a boot takes longer than they should
/// wait: warm capacity is kept for them for a while, and no longer if none is submitted. A process
/// that starts long after the version was raised, or in a new cluster, keeps none.
#[test]
fn warm_capacity_is_kept_for_the_first_services() {
    let both = || vec![("a".to_owned(), false, 1), ("b".to_owned(), false, 1)];
    // (a process of an earlier version leads a partition when the records are read, the version is
    // already raised then, it is raised after this many seconds, the plan is made after this many
    // seconds; machines requested)
    for (n, (old, raised_before, raised_after, after, requested)) in [
        (true, true, None, 1, vec![]),
        (false, false, None, 1, vec![]),
        (false, false, Some(1), 2, vec![]),
        (true, false, None, 1, both()),
        (true, false, Some(1), 2, both()),
        (true, false, Some(100), 200, both()),
        (true, false, None, 200, vec![]),
        (true, false, Some(1), 200, vec![]),
    ]
    .into_iter()
    .enumerate()
    {
        let mut core = core();
        set_machines(&mut core, &[]);
        let mut records = if raised_before { vec![raised_version(3)] } else { Vec::new() };
        for (node, process, announced) in [("one", core.process, true), ("two", 22, !old)] {
            records.push(partition_entry(node, node, process, 5));
            if announced {
                records.push(announcement(node, process, 4));
            }
        }
        relist_records(&mut core, &records, 9);
        if let Some(seconds) = raised_after {
            core.now = NOW + seconds * SECOND;
            core.apply_cluster_record(&raised_version(10));
        }
        core.lease.expire_at(NOW + 900 * SECOND);
        let now = NOW + after * SECOND;
        core.cache.set_view_as_of(now);
        let batch = vec![Command::Tick { wall: now, was_stalled: false }];
        assert_eq!(requested_machines(core.step(now, batch)), requested, "case {n}");
    }
}

/// Some machines take several times as long to boot as others, or never come up: another one is
/// requested for services.
#[test]
fn services_do_not_wait_for_a_slowly_booting_machine() {
    // (boot times of its type since the machine was requested, whether it still counts as warm
    // capacity)
    for (boots, counted) in [(0.5, true), (1.1, true), (1.3, false)] {
        let mut core = core();
        set_machines(&mut core, &[]);
        let types = core.types.clone().expect("machine types are known");
        let boot = quartzlever_wire::micros_from_secs(types["m"].ready_s * boots);
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        let instance =
            PendingInstance { offer: MachineOffer::new("m", "a", false), requested_at: NOW - boot };
        partition.fleet.pending_instances.add("n-7", instance);
        let offer = MachineOffer::new("m", "a", false);
        assert_eq!(partition.has_warm_capacity(&types, &offer, NOW), counted, "{boots} boots");
    }
}

/// A case of `the_price_cap_does_not_stop_scale_out_without_cheap_machines`.
struct PriceCapCase {
    name: &'static str,
    /// Type of the claimed spot machine, if there is one. It is fully occupied, or not fenced yet.
    claimed: Option<&'static str>,
    fenced: bool,
    /// Whether another partition has a spot machine of type "m".
    claimed_elsewhere: bool,
    /// The only type that the job may run on, if it is restricted.
    only_type: Option<&'static str>,
    /// Seconds since the submission.
    age_s: u64,
    /// Number of machines, gone by now, that the job has failed on.
    failed_on: u32,
    /// Number of on-demand machines requested.
    requested: u32,
}

/// The cloud lists a price for spot machines but has no such machines. The price cap must not apply
/// to a partition without cheap machines: an empty partition could not afford its first machine,
/// and nothing was ever launched (rule `nothing_ran` of the testkit). Nor may the cap prevent the
/// start of a job permanently. A job that failed on faulty machines, all of them gone, must get a
/// chance to prove that it is sound.
#[test]
fn the_price_cap_does_not_stop_scale_out_without_cheap_machines() {
    let base = PriceCapCase {
        name: "no machine",
        claimed: None,
        fenced: true,
        claimed_elsewhere: false,
        only_type: None,
        age_s: 0,
        failed_on: 0,
        requested: 2,
    };
    let cases = [
        PriceCapCase { ..base },
        PriceCapCase { name: "a suitable cheap machine", claimed: Some("m"), requested: 0, ..base },
        PriceCapCase {
            name: "another partition has a cheap machine",
            claimed_elsewhere: true,
            requested: 0,
            ..base
        },
        PriceCapCase {
            name: "another partition has a cheap machine, job waits for too long",
            claimed_elsewhere: true,
            age_s: 228,
            requested: 1,
            ..base
        },
        PriceCapCase {
            name: "another partition has a cheap machine of another type",
            claimed_elsewhere: true,
            only_type: Some("x"),
            ..base
        },
        PriceCapCase {
            name: "a cheap machine of an earlier leader",
            claimed: Some("m"),
            fenced: false,
            requested: 0,
            ..base
        },
        PriceCapCase {
            name: "a cheap machine of another type",
            claimed: Some("m"),
            only_type: Some("x"),
            ..base
        },
        PriceCapCase {
            name: "a suitable cheap machine, job waits for too long",
            claimed: Some("m"),
            age_s: 228,
            requested: 1,
            ..base
        },
        PriceCapCase {
            name: "job failed on machines that are gone",
            failed_on: 3,
            requested: 1,
            ..base
        },
        PriceCapCase {
            name: "a suitable cheap machine, job waits for long",
            claimed: Some("m"),
            age_s: 200,
            requested: 0,
            ..base
        },
        PriceCapCase {
            name: "job failed everywhere, and a machine is claimed",
            claimed: Some("m"),
            failed_on: 3,
            age_s: 228,
            requested: 0,
            ..base
        },
    ];
    for case in &cases {
        let mut core = core();
        let types = core.types.as_mut().map(Arc::make_mut).expect("machine types are known");
        types.values_mut().for_each(|machine_type| machine_type.market_price = Some(0.4));
        let claimed: Vec<_> =
            case.claimed.iter().map(|machine_type| ("s-1", *machine_type, "a", true)).collect();
        set_machines(&mut core, &claimed);
        // Work of higher priority that occupies the claimed machine for a long time.
        let full = JobSpec { cpus: 8.0, priority: Priority::Prod, expect_s: 600.0, ..spec(1) };
        if case.claimed.is_some() {
            queue_job(&mut core, &JobSpec { id: "req-9".into(), ..full }, 10);
        }
        // The tasks need two machines, and the price of the second is checked as well.
        let types = case.only_type.map(|machine_type| vec![machine_type.into()]);
        let spec = JobSpec { types, expect_s: 60.0, ..spec(8) };
        reconcile_test_job(&mut core, &spec, 11, NOW);
        if case.claimed_elsewhere {
            let machines =
                MachineRecords::from([("n-9".to_owned(), machine_record_of("n-9", "two"))]);
            core.cache.record_group(&large_group_key("n-9"), machines, 3);
        }
        let now = NOW + case.age_s * SECOND + SECOND;
        let partition = core.partitions.get_mut("one").expect("partition one is led here");
        partition.fleet.record_spot_refusals(&["m", "x"], &["a", "b"], now + SECOND);
        let job = partition.jobs.get_mut("req-1").expect("req-1 is known");
        job.submitted_at = NOW;
        for n in 0..case.failed_on {
            job.failures.record_failure(&format!("gone-{n}"), NOW, SECOND, NOW);
        }
        for machine in partition.machines.values_mut() {
            (machine.last_heartbeat_at, machine.last_answered_at) = (now, now);
            machine.fenced = case.fenced;
        }
        core.cache.set_view_as_of(now);
        let scale_outs = requested_machines(
            core.step(now, vec![Command::Tick { wall: now, was_stalled: false }]),
        );
        let on_demand: u32 =
            scale_outs.iter().filter(|request| !request.1).map(|request| request.2).sum();
        assert_eq!(on_demand, case.requested, "{}: {scale_outs:?}", case.name);
    }
}

#[test]
fn a_machine_marked_for_a_later_termination_is_still_terminated_for_an_urgent_reason() {
    // (reason of the earlier mark, seconds since the end of the job whose attempt may still start,
    // whether the machine is terminated)
    for (marked, since_end, expected) in [
        (None, 10, false),
        (None, 40, true),
        (Some(ScaleInReason::Slow), 10, false),
        (Some(ScaleInReason::Slow), 40, true),
        (Some(ScaleInReason::FailsTasks), 40, true),
        (Some(ScaleInReason::Idle), 40, true),
    ] {
        let (mut core, _) = core_with_unreported_attempt(DirectCommand::OutcomeUnknown);
        let machine = core.partitions.get_mut("one").and_then(|p| p.machines.get_mut("n-1"));
        machine.expect("machine n-1 exists").scale_in_reason = marked;
        let mut terminated = 0;
        for second in 1..=since_end {
            // A marked machine without the urgent reason waits for its tasks, since the worker
            // keeps sending heartbeats.
            if let Some(machine) =
                core.partitions.get_mut("one").and_then(|p| p.machines.get_mut("n-1"))
            {
                machine.last_heartbeat_at = NOW + second * SECOND;
            }
            core.cache.set_view_as_of(NOW + second * SECOND);
            let tick = Command::Tick { wall: NOW, was_stalled: false };
            terminated += terminated_count(&core.step(NOW + second * SECOND, vec![tick]));
        }
        assert_eq!(terminated > 0, expected, "{marked:?}, {since_end} s");
    }
}
