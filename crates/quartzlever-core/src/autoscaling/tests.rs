//! Which machines are returned, and what a restart knows of them.

use super::ScaleInReason;
use crate::testing::*;

#[test]
fn a_restart_while_the_cloud_is_down_knows_the_types() {
    use crate::messages::{Command, Effect};
    use quartzlever_wire::store::{CATALOGUE_KEY, KeyValue, StoreCall};
    // (whether an earlier process kept the catalogue, whether types are known in the end)
    for (kept, known) in [(true, true), (false, false)] {
        let mut core = core();
        let types: Vec<MachineType> =
            core.types.take().iter().flat_map(|t| t.values().cloned()).collect();
        let asked = core.step(NOW, Vec::new());
        let cloud = asked.iter().find_map(|e| match e {
            Effect::Cloud { call_id, .. } => Some(*call_id),
            _ => None,
        });
        let Some(call_id) = cloud else { panic!("the cloud is not asked") };
        let down = Command::CloudReply { call_id, result: Err(CallError::Refused) };
        let read = core.step(NOW, vec![down]);
        let call_id = read.iter().find_map(|e| match e {
            Effect::Store { call_id, call: StoreCall::Get(key), .. } if key == CATALOGUE_KEY => {
                Some(*call_id)
            }
            _ => None,
        });
        let Some(call_id) = call_id else { panic!("the kept catalogue is not read") };
        let v = serde_json::json!({ "chassis": types });
        let entry = KeyValue {
            key: CATALOGUE_KEY.into(),
            value: quartzlever_wire::Json::of(&v),
            mod_revision: 3,
            lease_id: None,
        };
        let result = Ok(StoreReply::Read(kept.then_some(entry)));
        core.step(NOW, vec![Command::StoreReply { call_id, result }]);
        assert_eq!(core.types.is_some(), known, "kept {kept}");
    }
}

#[test]
fn copies_do_not_put_off_the_return_of_a_silent_machine() {
    // (seconds since the takeover, whether copies come all the time, whether it is returned)
    for (after, copies, returned) in [(1, true, false), (30, true, true), (30, false, true)] {
        let mut core = core();
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.acquired = NOW;
            partition.recovery_complete = false;
            if let Some(machine) = partition.machines.get_mut("n-1") {
                (machine.fenced, machine.verified) = (false, false);
            }
        }
        let mut terminated = false;
        for step in 1..=after * 2 {
            let mut commands = vec![Command::Tick { wall: NOW, behind: false }];
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
        assert_eq!(terminated, returned, "{after} s, copies {copies}");
    }
}

#[test]
fn what_calls_cannot_reach_holds_up_a_recovery_for_less_time() {
    // (calls that failed, seconds since the takeover, whether the machine is given up), with
    // reports every 6 s and 10 s of silence allowed
    for (failed, after, given_up) in
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
            // One that was heard, so that the zone does not count as cut off.
            let record = partition.machines["n-1"].record.clone();
            partition.add_machine("n-2", record, true, NOW + after * SECOND);
        }
        core.step(NOW + after * SECOND, Vec::new());
        let wanted = core.partitions["one"].machines.get("n-1").and_then(|m| m.scale_in_reason);
        assert_eq!(wanted.is_some(), given_up, "{failed} calls, {after} s");
    }
}

#[test]
fn a_machine_that_heeds_nothing_gets_no_more_and_is_returned() {
    // What each later heartbeat shows of the attempt that answers told it to run; whether it may
    // get more after the first of them, and whether it is returned in the end.
    for (name, shows, usable, returned) in [
        ("it hears", [true, true, true], true, false),
        ("an answer was lost", [false, true, true], false, false),
        ("it hears nothing", [false, false, false], false, true),
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
                assert_eq!(machine.usable(), usable, "{name}");
            }
            terminated |= core.partitions["one"].machines["n-1"].scale_in_reason
                == Some(ScaleInReason::IgnoresCommands);
        }
        let effects = core.step(NOW + 4 * SECOND, Vec::new());
        terminated |= effects.iter().any(|e| {
            matches!(e, Effect::Cloud { call: quartzlever_wire::cloud::CloudCall::ScaleIn(_), .. })
        });
        assert_eq!(terminated, returned, "{name}");
        // Until it is proven empty its task stays where it may be.
        let assignments = core.partitions["one"].jobs["req-1"].assignments.len();
        assert_eq!(assignments, 1, "{name}: not started elsewhere");
    }
}

#[test]
fn a_zone_that_fell_silent_holds_up_a_recovery_for_half_a_lease() {
    // (proven before, seconds of silence, whether the machines are given up), leases of 34 s
    for (verified, quiet, given_up) in
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
        core.step(NOW + quiet * SECOND, Vec::new());
        let machines = &core.partitions["one"].machines;
        let wanted = machines.values().filter(|m| m.scale_in_reason.is_some()).count();
        assert_eq!(wanted, if given_up { 3 } else { 0 }, "{verified} {quiet}");
    }
}

#[test]
fn nobody_is_silent_to_a_node_that_did_not_listen() {
    // (seconds since anything was heard; whether the process stood still or is behind; how many
    // reports are in the first batch after that; machines returned)
    for (name, quiet, behind, heard, terminated) in [
        ("all is silent, and the node listened", 13, false, 0, 10),
        ("it stood still, and nothing is read yet", 13, true, 0, 0),
        ("it stood still, and has read some", 13, true, 4, 0),
        ("it listened, and some are there", 13, false, 4, 6),
    ] {
        let mut core = with_cache(&[("one", "one", 5)]);
        with_ten_machines(&mut core, NOW);
        let now = NOW + quiet * SECOND;
        let mut commands = vec![Command::Tick { wall: NOW, behind }];
        for n in 1..=heard {
            let heartbeat = idle_heartbeat(&format!("n-{n}"), 9, 5);
            commands.push(Command::Heartbeat { id: n, heartbeat });
        }
        assert_eq!(returned(&core.step(now, commands)), terminated, "{name}");
        // In the end the silent ones go all the same.
        let mut late = 0;
        for step in 1..=30 {
            let now = now + step * SECOND / 2;
            let heartbeats = (1..=heard).map(|n| Command::Heartbeat {
                id: 100 + n,
                heartbeat: idle_heartbeat(&format!("n-{n}"), 10 + step, 5),
            });
            late += returned(&core.step(now, heartbeats.collect()));
        }
        assert_eq!(late + terminated, 10 - heard as usize, "{name}: later");
    }
}

/// A replica on a dead machine runs nowhere until that is returned: one call in vain after a late
/// report is enough, unless so many are late that it is no machine's fault.
#[test]
fn a_late_machine_with_replicas_is_given_up_after_one_call_in_vain() {
    // (a replica is on it, the call that asks it fails, other late machines, gone after a late
    // report and a bit, and after the time of any silent machine)
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
        let mut record = record("0-3", "");
        if service {
            record.job.shape = Shape::Service;
        }
        core.reconcile_job(record, 10);
        core.step(
            NOW,
            vec![Command::Heartbeat { id: 1, heartbeat: heartbeat_from("n-1", 1, 1, 5, &[]) }],
        );
        let partition = core.partitions.get_mut("one").expect("it is held");
        assert!(partition.machines["n-1"].serves() == service, "{n}");
        for other in 0..others {
            let name = format!("x-{other}");
            partition.add_machine(&name, machine_record_of(&name, "one"), true, NOW);
        }
        let (mut asked, mut returned_at) = (None, None);
        // All of a zone together get their whole lease, 10 s and a bit.
        let (late, silent) = (core.config.late_heartbeat_after(), 12 * SECOND);
        for step in 1..=30 {
            let now = NOW + step * SECOND / 2;
            let mut batch = vec![Command::Tick { wall: now, behind: false }];
            if fails && let Some(call_id) = asked.take() {
                batch.push(Command::WorkerReply { call_id, result: Err(CallError::Unknown) });
            }
            for effect in core.step(now, batch) {
                match effect {
                    Effect::Worker { call_id, address, .. } if address.starts_with("n-1") => {
                        asked = Some(call_id);
                    }
                    Effect::Cloud { call: CloudCall::ScaleIn(machines), .. }
                        if machines.contains(&"n-1".to_owned()) =>
                    {
                        returned_at.get_or_insert(now - NOW);
                    }
                    _ => {}
                }
            }
        }
        let within = |span: Micros| returned_at.is_some_and(|at| at <= span);
        assert_eq!(within(late + 4 * SECOND), soon, "{n}: {returned_at:?}");
        assert_eq!(within(silent), at_last, "{n}: {returned_at:?}");
    }
}

/// When a cut between zones ends, the first machine that is heard shows that it is over. All others
/// had been silent for longer than any machine may be, and 168 were returned in that second, with
/// all that they ran.
#[test]
fn the_end_of_a_cut_returns_nobody() {
    // (seconds that the zone was cut off, seconds after its end, machines returned)
    for (cut_s, after, returned) in [(8, 1, 0), (8, 6, 9)] {
        let mut core = core();
        let partition = core.partitions.get_mut("one").expect("it is held");
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
        core.config.operator.silent_return = 4 * SECOND;
        core.config.operator.idle_boots = 1_000.0;
        let mut terminated = 0;
        let end = cut_s + after;
        for step in 1..=2 * end {
            let now = NOW + step * SECOND / 2;
            let mut batch = vec![Command::Tick { wall: now, behind: false }];
            let own = heartbeat_from("n-1", 1, step + 1, 5, &[]);
            batch.push(Command::Heartbeat { id: 100, heartbeat: own });
            if step >= 2 * cut_s {
                // One machine of the zone is heard again; the others come in their time, or never.
                let first = heartbeat_from("x-0", 1, step + 1, 5, &[]);
                batch.push(Command::Heartbeat { id: 101, heartbeat: first });
            }
            for effect in core.step(now, batch) {
                if let Effect::Cloud { call: CloudCall::ScaleIn(machines), .. } = effect {
                    terminated += machines.iter().filter(|h| h.starts_with("x-")).count();
                }
            }
        }
        assert_eq!(terminated, returned, "cut for {cut_s} s, {after} s after its end");
    }
}

/// Machines that are asked for: zone, spot, how many.
type Hires = Vec<(String, bool, u32)>;

/// The machines that a step asks for.
fn rented(effects: Vec<Effect>) -> Hires {
    let request = |effect| match effect {
        Effect::Cloud { call: CloudCall::ScaleOut(request), .. } => {
            Some((request.zone, request.spot, request.count))
        }
        _ => None,
    };
    let mut scale_outs: Hires = effects.into_iter().filter_map(request).collect();
    scale_outs.sort();
    scale_outs
}

/// Half of a service that is spread over zones waited out a second boot, since one machine had room
/// for all of it.
#[test]
fn a_spread_service_gets_machines_in_each_zone_at_once() {
    let in_zone = |zone: &str| (zone.to_owned(), false, 1);
    // (spread, ordinary machines that are there, replicas; what is asked for)
    type Case<'a> = (bool, &'a [&'a str], u32, Hires);
    let cases: &[Case] = &[
        (true, &[], 4, vec![in_zone("a"), in_zone("b")]),
        (true, &["a"], 4, vec![in_zone("b")]),
        (true, &["a", "b"], 4, vec![]),
        (true, &[], 1, vec![in_zone("a")]),
        (false, &[], 4, vec![in_zone("a")]),
    ];
    for (n, (spread, there, replicas, asked)) in cases.iter().enumerate() {
        let mut core = core();
        let list: Vec<(String, &str)> =
            there.iter().enumerate().map(|(k, zone)| (format!("x-{k}"), *zone)).collect();
        let list: Vec<_> =
            list.iter().map(|(name, zone)| (name.as_str(), "m", *zone, false)).collect();
        machines(&mut core, &list);
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
        let batch = vec![Command::Tick { wall: now, behind: false }];
        assert_eq!(&rented(core.step(now, batch)), asked, "case {n}");
    }
}

/// The first services come soon after an upgrade, and a boot takes longer than they should wait: room
/// is kept for them for a while, and no longer if none come. A process that starts when the version
/// was raised long ago, or in a new cluster, keeps none.
#[test]
fn room_is_kept_for_the_first_services() {
    let both = || vec![("a".to_owned(), false, 1), ("b".to_owned(), false, 1)];
    // (an old process holds a partition when the records are read, the version is raised by then,
    // raised later after so many seconds, asked for after so many seconds; what is asked for)
    for (n, (old, raised_before, raised_after, after, asked)) in [
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
        machines(&mut core, &[]);
        let mut rows = if raised_before { vec![raised_version(3)] } else { Vec::new() };
        for (node, process, announced) in [("one", core.process, true), ("two", 22, !old)] {
            rows.push(partition_entry(node, node, process, 5));
            if announced {
                rows.push(announcement(node, process, 4));
            }
        }
        list_records(&mut core, &rows, 9);
        if let Some(seconds) = raised_after {
            core.now = NOW + seconds * SECOND;
            core.apply_cluster_record(&raised_version(10));
        }
        core.lease.expire_at(NOW + 900 * SECOND);
        let now = NOW + after * SECOND;
        core.cache.set_view_as_of(now);
        let batch = vec![Command::Tick { wall: now, behind: false }];
        assert_eq!(rented(core.step(now, batch)), asked, "case {n}");
    }
}

/// Some machines take several times as long to boot as others, or never come up: for a service
/// another one is asked for.
#[test]
fn an_overdue_machine_is_not_waited_for_by_services() {
    // (boots of its type since it was rented, whether it is still counted on)
    for (boots, counted) in [(0.5, true), (1.1, true), (1.3, false)] {
        let mut core = core();
        machines(&mut core, &[]);
        let types = core.types.clone().expect("known");
        let boot = quartzlever_wire::micros_from_secs(types["m"].ready_s * boots);
        let partition = core.partitions.get_mut("one").expect("it is held");
        let expected =
            PendingInstance { offer: MachineOffer::new("m", "a", false), since: NOW - boot };
        partition.autoscaling.pending_instances.expect("n-7", expected);
        let offer = MachineOffer::new("m", "a", false);
        assert_eq!(partition.has_warm_capacity(&types, &offer, NOW), counted, "{boots} boots");
    }
}

/// What one case of `whatever_is_to_be_had_is_rented` starts from.
struct Scarcity {
    name: &'static str,
    /// Spot machines at hand: their type, if any. All are full, or not fenced yet.
    at_hand: Option<&'static str>,
    fenced: bool,
    /// Another partition has a spot machine of type "m".
    elsewhere: bool,
    /// The only type that the job may run on.
    only: Option<&'static str>,
    /// Seconds since the submission.
    age_s: u64,
    /// Machines, gone by now, that the job has failed on.
    failed_on: u32,
    /// Ordinary machines that are asked for.
    asked: u32,
}

/// The cloud names a price for spot machines and has none. What ordinary machines cost beside cheap
/// ones says nothing to a partition without cheap ones: an empty one could not afford the first, and
/// nothing was ever rented (`nothing_ran`). Nor does it keep a job from beginning for good. A job that
/// failed on faulty machines, all gone, must be able to show that it is sound.
#[test]
fn whatever_is_to_be_had_is_rented() {
    let base = Scarcity {
        name: "no machine",
        at_hand: None,
        fenced: true,
        elsewhere: false,
        only: None,
        age_s: 0,
        failed_on: 0,
        asked: 2,
    };
    let cases = [
        Scarcity { ..base },
        Scarcity { name: "a cheap one that suits", at_hand: Some("m"), asked: 0, ..base },
        Scarcity { name: "another partition has a cheap one", elsewhere: true, asked: 0, ..base },
        Scarcity {
            name: "another partition has a cheap one, for too long",
            elsewhere: true,
            age_s: 228,
            asked: 1,
            ..base
        },
        Scarcity {
            name: "another partition has a cheap one of another type",
            elsewhere: true,
            only: Some("x"),
            ..base
        },
        Scarcity {
            name: "a cheap one of an earlier holder",
            at_hand: Some("m"),
            fenced: false,
            asked: 0,
            ..base
        },
        Scarcity {
            name: "a cheap one of another type",
            at_hand: Some("m"),
            only: Some("x"),
            ..base
        },
        Scarcity {
            name: "a cheap one that suits, for too long",
            at_hand: Some("m"),
            age_s: 228,
            asked: 1,
            ..base
        },
        Scarcity { name: "failed on machines that are gone", failed_on: 3, asked: 1, ..base },
        Scarcity {
            name: "a cheap one that suits, for long",
            at_hand: Some("m"),
            age_s: 200,
            asked: 0,
            ..base
        },
        Scarcity {
            name: "failed everywhere, and a machine is there",
            at_hand: Some("m"),
            failed_on: 3,
            age_s: 228,
            asked: 0,
            ..base
        },
    ];
    for case in &cases {
        let mut core = core();
        let types = core.types.as_mut().map(Arc::make_mut).expect("known");
        types.values_mut().for_each(|machine_type| machine_type.market_price = Some(0.4));
        let at_hand: Vec<_> =
            case.at_hand.iter().map(|machine_type| ("s-1", *machine_type, "a", true)).collect();
        machines(&mut core, &at_hand);
        // Work of higher rank that fills what is at hand for long.
        let full = JobSpec { cpus: 8.0, priority: Priority::Prod, expect_s: 600.0, ..spec(1) };
        if case.at_hand.is_some() {
            queue_job(&mut core, &JobSpec { id: "req-9".into(), ..full }, 10);
        }
        // Tasks for two machines: the second has to be worth its price again.
        let types = case.only.map(|machine_type| vec![machine_type.into()]);
        let spec = JobSpec { types, expect_s: 60.0, ..spec(8) };
        reconcile_test_job(&mut core, &spec, 11, NOW);
        if case.elsewhere {
            let machines =
                MachineRecords::from([("n-9".to_owned(), machine_record_of("n-9", "two"))]);
            core.cache.record_group(&large_group_key("n-9"), machines, 3);
        }
        let now = NOW + case.age_s * SECOND + SECOND;
        let partition = core.partitions.get_mut("one").expect("it is held");
        partition.autoscaling.refuse_spot(&["m", "x"], &["a", "b"], now + SECOND);
        let job = partition.jobs.get_mut("req-1").expect("it is known");
        job.since = NOW;
        for n in 0..case.failed_on {
            job.failures.note(&format!("gone-{n}"), NOW, SECOND, NOW);
        }
        for machine in partition.machines.values_mut() {
            (machine.last_heartbeat_at, machine.last_answered_at) = (now, now);
            machine.fenced = case.fenced;
        }
        core.cache.set_view_as_of(now);
        let scale_outs = rented(core.step(now, vec![Command::Tick { wall: now, behind: false }]));
        let ordinary: u32 =
            scale_outs.iter().filter(|request| !request.1).map(|request| request.2).sum();
        assert_eq!(ordinary, case.asked, "{}: {scale_outs:?}", case.name);
    }
}
