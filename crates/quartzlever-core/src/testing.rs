//! Fixtures shared by the tests of single modules: a controller with one partition and one machine,
//! jobs, records, and heartbeats.

pub(crate) use crate::autoscaling::{MachineOffer, PendingInstance};
pub(crate) use crate::calls::{JobWrite, JobWriteAction, PendingStoreCall, Section, TaskMove};
pub(crate) use crate::config::{Config, Operator, ServiceLevelObjective, Team, WorkerTimes};
pub(crate) use crate::events::LogEvent;
pub(crate) use crate::leadership::lease::Lease;
pub(crate) use crate::machines::attempt::DirectCommand;
pub(crate) use crate::machines::reconciliation::StatusSource;
pub(crate) use crate::messages::{
    Answer, CallId, CallPriority, Command, Effect, LogLevel, RequestId,
};
pub(crate) use crate::partition::Partition;
pub(crate) use crate::router::Core;
pub(crate) use crate::scheduling::RunTimes;
pub(crate) use quartzlever_wire::cloud::{CloudCall, MachineType};
pub(crate) use quartzlever_wire::peers::{
    FreeCapacity, Load, PeerAnswer, PeerRequest, ThiefCapacity,
};
pub(crate) use quartzlever_wire::store::{
    ActiveJobRecord, CLUSTER_VERSION_KEY, Change, ClusterVersionRecord, Event, KeyValue, ListPage,
    MachineRecord, MachineRecords, NodeRecord, PartitionRecord, Share, StoreCall, StoreReply,
    TerminalJobRecord, WatchAnswer, large_group_key,
};
pub(crate) use quartzlever_wire::users::{JobPhase, JobSpec, Priority, Shape};
pub(crate) use quartzlever_wire::workers::{
    AttemptStatus, ExitCause, Heartbeat, TaskId, TaskPhase, WorkerCall, WorkerCommand, WorkerReply,
};
pub(crate) use quartzlever_wire::{CallError, Json, Micros, Ranges, SECOND};
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::sync::Arc;

/// The time at which tests begin.
pub(crate) const NOW: Micros = 1_000 * SECOND;

/// Returns the specification of job "req-1".
pub(crate) fn spec(tasks: u32) -> JobSpec {
    JobSpec { id: "req-1".into(), ..quartzlever_testkit::jobs::array(1, tasks) }
}

/// Returns the record of job "req-1" with four tasks: `one` are those in partition "one", `two`
/// those in partition "two".
pub(crate) fn job_record(one: &str, two: &str) -> ActiveJobRecord {
    let share = |partition: &str, term, tasks: &str| Share {
        partition: partition.into(),
        term,
        tasks: tasks.parse().unwrap_or_default(),
    };
    ActiveJobRecord::new(spec(4), NOW, vec![share("one", 5, one), share("two", 6, two)])
}

/// Returns the settings of node "one" in a cluster of nodes "one" and "two".
pub(crate) fn config() -> Config {
    Config {
        node: "one".into(),
        zone: "a".into(),
        nodes: vec!["one".into(), "two".into()],
        zones: vec!["a".into(), "b".into()],
        teams: vec![
            Team { name: "free".into(), ..Team::default() },
            Team { name: "tight".into(), cpus_max: 8.0, ..Team::default() },
        ],
        objectives: Vec::new(),
        workers: WorkerTimes {
            heartbeat_interval: SECOND,
            lease: 10 * SECOND,
            cancel: 3600 * SECOND,
        },
        store_rps: 300.0,
        store_write_rps: 300.0,
        value_bytes: 16 * 1024,
        present_value_bytes: 16 * 1024,
        txn_ops: 24,
        version: crate::upgrade::VERSION,
        machine_capacity: 10_000,
        operator: Operator::default(),
        log_level: LogLevel::Error,
    }
}

/// Returns a controller that leads partition "one" in term 5, with machine "n-1" accepting tasks.
pub(crate) fn core() -> Core {
    let mut core = Core::new(config(), 1, NOW);
    let machine_type = MachineType {
        name: "m".into(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 50.0,
        pull_gb_per_s: 1.0,
        hourly: 1.0,
        market_price: None,
        ready_s: 2.0,
        zones: vec!["a".into()],
    };
    core.types = Some(Arc::new(BTreeMap::from([("m".into(), machine_type)])));
    core.lease = Lease::held(1, NOW + 1_000 * SECOND);
    core.cache.set_view_as_of(NOW);
    core.was_acting = true;
    let mut partition = Partition::new("one", 5, core.types.clone(), NOW);
    (partition.loaded, partition.recovery_complete) = (true, true);
    partition.work = core.work.clone();
    let record = MachineRecord {
        partition: "one".into(),
        address: "n-1:9000".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
    };
    partition.add_machine("n-1", record, true, NOW);
    core.partitions.insert("one".into(), partition);
    core
}

/// Returns a heartbeat of machine "n-1" that lists these attempts of task 0 of job "req-1": number,
/// phase and cause.
pub(crate) fn heartbeat_with(
    sequence: u64,
    tasks: &[(u64, TaskPhase, Option<ExitCause>)],
) -> Heartbeat {
    let tasks = tasks
        .iter()
        .map(|(attempt, phase, cause)| AttemptStatus {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: *attempt,
            phase: *phase,
            cause: *cause,
            kept: None,
        })
        .collect();
    Heartbeat { tasks, ..idle_heartbeat("n-1", sequence, 5) }
}

/// Returns a heartbeat of a machine that runs these attempts of task 0 of job "req-1".
pub(crate) fn heartbeat_from(
    machine: &str,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    attempts: &[u64],
) -> Heartbeat {
    let tasks = attempts.iter().map(|attempt| AttemptStatus {
        task: TaskId { job: "req-1".into(), index: 0 },
        attempt: *attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    });
    Heartbeat {
        incarnation,
        tasks: tasks.collect(),
        ..idle_heartbeat(machine, sequence, fencing_token)
    }
}

/// Applies the record of a job submitted at `since`, with all its tasks in partition "one".
pub(crate) fn reconcile_test_job(core: &mut Core, spec: &JobSpec, mod_revision: u64, since: u64) {
    let share = Share { partition: "one".into(), term: 5, tasks: Ranges::up_to(spec.tasks) };
    let record = ActiveJobRecord::new(spec.clone(), since, vec![share]);
    core.reconcile_job(record, mod_revision);
}

/// Returns the call ids of the transactions among the effects that have a condition on a key.
pub(crate) fn transactions_on(effects: &[Effect], key: &str) -> Vec<CallId> {
    let matching_call_id = |e: &Effect| match e {
        Effect::Store { call_id, call: StoreCall::Txn(txn), .. } => {
            txn.conditions.iter().any(|c| c.path == key).then_some(*call_id)
        }
        _ => None,
    };
    effects.iter().filter_map(matching_call_id).collect()
}

/// Returns the announcement of a process that runs the current version.
pub(crate) fn announcement(node: &str, process: u64, mod_revision: u64) -> KeyValue {
    let value = Json::of(&NodeRecord { version: crate::upgrade::VERSION, process });
    KeyValue { key: format!("cluster/nodes/{node}"), value, mod_revision, lease_id: Some(1) }
}

/// Returns the record of a cluster version raised to the current one.
pub(crate) fn raised_version(mod_revision: u64) -> KeyValue {
    let value = Json::of(&ClusterVersionRecord { version: crate::upgrade::VERSION });
    KeyValue { key: CLUSTER_VERSION_KEY.into(), value, mod_revision, lease_id: None }
}

/// Returns the store's reply that commits the announcement of node "one", if it is among the
/// effects. Without the reply the node acquires no partition.
pub(crate) fn commit_announcement(effects: &[Effect]) -> Option<Command> {
    let call_id = effects.iter().find_map(|effect| match effect {
        Effect::Store { call_id, call: StoreCall::Txn(txn), .. } => {
            format!("{txn:?}").contains("cluster/nodes/one").then_some(*call_id)
        }
        _ => None,
    })?;
    Some(Command::StoreReply { call_id, result: Ok(StoreReply::Committed(19)) })
}

/// Returns a controller with a loaded cache in which these partitions are led: name, node and
/// modification revision of the key.
pub(crate) fn core_with_cache(partitions: &[(&str, &str, u64)]) -> Core {
    let mut core = core();
    core.cache.set_loaded(true);
    core.wall_offset = Some(0);
    core.lease.renew_at(NOW + 900 * SECOND);
    for (partition, node, mod_revision) in partitions {
        let process = if *node == core.config.node { core.process } else { 77 };
        let record = PartitionRecord { node: (*node).into(), process };
        core.cache.record_partition(partition, record, *mod_revision);
    }
    core
}

/// Returns the record of a machine of a partition, otherwise like that of "n-1".
pub(crate) fn machine_record_of(name: &str, partition: &str) -> MachineRecord {
    let record = core().partitions["one"].machines["n-1"].record.clone();
    MachineRecord { partition: partition.into(), address: format!("{name}:9000"), ..record }
}

/// Returns a heartbeat of a machine that runs nothing.
pub(crate) fn idle_heartbeat(name: &str, sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine: name.into(),
        address: format!("{name}:9000"),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 1,
        sequence,
        fencing_token,
        warning_s: None,
        tasks: Vec::new(),
    }
}

/// Gives partition "one" ten machines whose last heartbeat was at this time.
pub(crate) fn with_ten_machines(core: &mut Core, last_heartbeat_at: Micros) {
    let Some(partition) = core.partitions.get_mut("one") else { return };
    for n in 1..=10 {
        let name = format!("n-{n}");
        partition.add_machine(&name, machine_record_of(&name, "one"), true, last_heartbeat_at);
        if let Some(machine) = partition.machines.get_mut(&name) {
            (machine.last_heartbeat_at, machine.last_answered_at, machine.incarnation) =
                (last_heartbeat_at, last_heartbeat_at, 1);
            // Keeps the machines from being terminated as idle.
            machine.idle_since = Some(NOW + 900 * SECOND);
        }
    }
}

/// Returns the number of machines that the effects terminate.
pub(crate) fn terminated_count(effects: &[Effect]) -> usize {
    let terminated = |e: &Effect| match e {
        Effect::Cloud { call: CloudCall::ScaleIn(machines), .. } => machines.len(),
        _ => 0,
    };
    effects.iter().map(terminated).sum()
}

/// Queues job "req-1" in partition "one", with tasks of 3 s on `cpus` processors each.
pub(crate) fn queue_tasks(core: &mut Core, tasks: u32, priority: Priority, cpus: f64) {
    let job = JobSpec { priority, cpus, ..spec(tasks) };
    let share = Share { partition: "one".into(), term: 5, tasks: Ranges::up_to(tasks) };
    let shares = vec![share];
    let finished = Ranges::default();
    core.reconcile_job(ActiveJobRecord { finished, ..ActiveJobRecord::new(job, NOW, shares) }, 10);
}

/// Applies a first heartbeat of machine "n-1" to partition "one", which makes the machine usable.
pub(crate) fn make_machine_usable(core: &mut Core) {
    let config = core.config.clone();
    if let Some(partition) = core.partitions.get_mut("one") {
        partition.apply_heartbeat(
            &config,
            &mut RunTimes::default(),
            &idle_heartbeat("n-1", 1, 5),
            StatusSource::Heartbeat,
            NOW,
        );
    }
}

/// Returns a controller on whose machine "n-1" a task of job "req-1", which ended at [`NOW`], was
/// placed and never reported, and the number of its attempt. `command` is the outcome of the direct
/// call that carried its start command.
pub(crate) fn core_with_unreported_attempt(command: DirectCommand) -> (Core, u64) {
    let mut core = core();
    (core.config.workers.lease, core.config.workers.cancel) = (34 * SECOND, 64 * SECOND);
    make_machine_usable(&mut core);
    queue_tasks(&mut core, 1, Priority::Urgent, 1.0);
    let Some(partition) = core.partitions.get_mut("one") else { unreachable!() };
    partition.start_task("req-1", 0, "n-1", NOW);
    let attempt = partition.jobs["req-1"].assignments[&0].attempt;
    partition.drop_job("req-1", NOW, NOW);
    let Some(machine) = partition.machines.get_mut("n-1") else { unreachable!() };
    machine.attempts.values_mut().for_each(|state| state.direct_command = command);
    (core, attempt)
}

/// Returns the record of job "req-`number`" with all its tasks in one partition.
pub(crate) fn record_of(number: u32, tasks: u32, partition: &str) -> ActiveJobRecord {
    let mut job = spec(tasks);
    job.id = format!("req-{number}");
    let shares = vec![Share { partition: partition.into(), term: 5, tasks: Ranges::up_to(tasks) }];
    ActiveJobRecord::new(job, NOW, shares)
}

/// Returns a heartbeat of machine "n-1", which runs an attempt of task 0 of job "req-1" or nothing.
pub(crate) fn heartbeat_of_one(sequence: u64, attempt: Option<u64>) -> Heartbeat {
    let running: Vec<_> =
        attempt.map(|attempt| (attempt, TaskPhase::Running, None)).into_iter().collect();
    heartbeat_with(sequence, &running)
}

/// Returns a controller with a loaded cache in which each of the nodes "one" and "two" leads its
/// own partition.
pub(crate) fn core_with_leaders(machine_capacity: usize) -> Core {
    let mut core = core();
    core.config.machine_capacity = machine_capacity;
    core.cache.set_loaded(true);
    core.wall_offset = Some(0);
    for (partition, mod_revision, process) in [("one", 5, core.process), ("two", 6, 77)] {
        let record = PartitionRecord { node: partition.into(), process };
        core.cache.record_partition(partition, record, mod_revision);
    }
    core
}

/// Replaces machine "n-1" of partition "one" by usable machines of 8 processors: name, type ("m" or
/// "x"), zone, spot.
pub(crate) fn set_machines(core: &mut Core, list: &[(&str, &str, &str, bool)]) {
    // With a single partition, the jobs of limited teams run in it too.
    core.config.nodes = vec!["one".into()];
    let config = core.config.clone();
    if let Some(types) = core.types.as_mut().map(std::sync::Arc::make_mut) {
        let mut other = types["m"].clone();
        other.name = "x".into();
        types.insert("x".into(), other);
        types.values_mut().for_each(|t| t.zones = vec!["a".into(), "b".into()]);
    }
    let types = core.types.clone();
    let Some(partition) = core.partitions.get_mut("one") else { return };
    partition.types = types;
    partition.remove_machine("n-1");
    for (name, machine_type, zone, spot) in list {
        let record = MachineRecord {
            partition: "one".into(),
            address: "n:1".into(),
            machine_type: (*machine_type).into(),
            zone: (*zone).into(),
            spot: *spot,
        };
        partition.add_machine(name, record, true, NOW);
        let heartbeat = Heartbeat {
            machine: (*name).into(),
            address: "n:1".into(),
            machine_type: (*machine_type).into(),
            zone: (*zone).into(),
            spot: *spot,
            incarnation: 1,
            sequence: 1,
            fencing_token: 5,
            warning_s: None,
            tasks: Vec::new(),
        };
        partition.apply_heartbeat(
            &config,
            &mut RunTimes::default(),
            &heartbeat,
            StatusSource::Heartbeat,
            NOW,
        );
    }
}

/// Queues a job in partition "one" and places the queue 50 ms later.
pub(crate) fn queue_job(core: &mut Core, spec: &JobSpec, mod_revision: u64) {
    let share = Share { partition: "one".into(), term: 5, tasks: Ranges::up_to(spec.tasks) };
    let record = ActiveJobRecord::new(spec.clone(), NOW, vec![share]);
    core.reconcile_job(record, mod_revision);
    core.now += quartzlever_wire::SECOND / 20;
    core.place_ready_tasks("one");
}

/// Returns the number of a job's attempts on each machine that has any, with the machine's name.
pub(crate) fn task_counts_by_machine(core: &Core, id: &str) -> Vec<(String, usize)> {
    let attempts_on = |m: &crate::machines::machine::Machine| {
        m.attempts.keys().filter(|key| key.task.job == id).count()
    };
    let partition = &core.partitions["one"];
    let counts = partition.machines.values().map(|m| (m.name.clone(), attempts_on(m)));
    counts.filter(|(_, n)| *n > 0).collect()
}

/// Returns the key of a partition that a process of a node leads, as the store lists it.
pub(crate) fn partition_entry(
    partition: &str,
    node: &str,
    process: u64,
    mod_revision: u64,
) -> KeyValue {
    let value = Json::of(&PartitionRecord { node: node.into(), process });
    KeyValue { key: format!("parts/{partition}"), value, mod_revision, lease_id: Some(1) }
}

/// Begins to list all records again, since changes were missed: the first page, at this revision,
/// has no entries, and the cache is empty.
pub(crate) fn begin_listing(core: &mut Core, revision: u64) {
    core.cache.mark_outdated();
    core.listing.begin(core.now, &mut core.outbox);
    let number = core.listing.latest_number();
    let page = ListPage { entries: Vec::new(), has_next: false, revision };
    core.page_listed(number, Section::Partitions, Ok(StoreReply::Listed(page)));
}

/// Lists all records again, with these entries at this revision as the result.
pub(crate) fn relist_records(core: &mut Core, entries: &[KeyValue], revision: u64) {
    core.listing.begin(core.now, &mut core.outbox);
    let number = core.listing.latest_number();
    for section in Section::ALL {
        let in_section = |entry: &&KeyValue| entry.key.starts_with(section.prefix());
        let entries = entries.iter().filter(in_section).cloned().collect();
        let page = ListPage { entries, has_next: false, revision };
        core.page_listed(number, section, Ok(StoreReply::Listed(page)));
    }
}
