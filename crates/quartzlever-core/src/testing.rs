//! What tests of single modules share: a controller with one part and one machine, jobs, and reports.

pub(crate) use crate::config::{Config, Objective, Operator, Team, WorkerTimes};
pub(crate) use crate::engine::Core;
pub(crate) use crate::fleet::Expected;
pub(crate) use crate::listing::Section;
pub(crate) use crate::messages::{Answer, Command, Effect, RequestId, Token, Weight};
pub(crate) use crate::partition::Partition;
pub(crate) use crate::placement::RunTimes;
pub(crate) use crate::stealing::Move;
pub(crate) use quartzlever_wire::cloud::{CloudCall, MachineType};
pub(crate) use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, Room, ThiefRoom};
pub(crate) use quartzlever_wire::state::{
    CLUSTER_VERSION, Change, ClusterRecord, Event, HostRecord, Hosts, LiveRecord, NodeRecord,
    OverRecord, PartRecord, Row, Rows, Share, StateCall, StateReply, WatchAnswer, block_key,
};
pub(crate) use quartzlever_wire::users::{JobPhase, JobSpec, Rank, Shape};
pub(crate) use quartzlever_wire::workers::{
    Cause, Order, Report, TaskId, TaskPhase, TaskReport, WorkerCall, WorkerReply,
};
pub(crate) use quartzlever_wire::{CallError, Json, Micros, Ranges, SECOND};
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::sync::Arc;

pub(crate) const NOW: Micros = 1_000 * SECOND;

pub(crate) fn spec(tasks: u32) -> JobSpec {
    JobSpec { id: "req-1".into(), ..quartzlever_standin::jobs::array(1, tasks) }
}

/// A record of a job of four tasks, with these of them in part "one".
pub(crate) fn record(mine: &str, other: &str) -> LiveRecord {
    let share = |part: &str, term, tasks: &str| Share {
        part: part.into(),
        term,
        tasks: tasks.parse().unwrap_or_default(),
    };
    LiveRecord::new(spec(4), NOW, vec![share("one", 5, mine), share("two", 6, other)])
}

/// A controller that holds part "one" under term 5, with one open machine.
pub(crate) fn core() -> Core {
    let cfg = Config {
        node: "one".into(),
        zone: "a".into(),
        nodes: vec!["one".into(), "two".into()],
        zones: vec!["a".into(), "b".into()],
        teams: vec![
            Team { name: "free".into(), ..Team::default() },
            Team { name: "tight".into(), cpus_max: 8.0, ..Team::default() },
        ],
        objectives: Vec::new(),
        workers: WorkerTimes { report: SECOND, lease: 10 * SECOND, cancel: 3600 * SECOND },
        state_rps: 300.0,
        state_write_rps: 300.0,
        value_bytes: 16 * 1024,
        block_bytes: 16 * 1024,
        txn_ops: 24,
        version: crate::cluster::VERSION,
        machine_capacity: 10_000,
        operator: Operator::default(),
        notes: Weight::Error,
    };
    let mut core = Core::new(cfg, 1, NOW);
    let kind = MachineType {
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
    core.types = Some(Arc::new(BTreeMap::from([("m".into(), kind)])));
    core.lease.id = Some(1);
    core.lease.sure_until = NOW + 1_000 * SECOND;
    core.cache.viewed = NOW;
    let mut part = Partition::new("one", 5, core.types.clone(), NOW);
    (part.loaded, part.barrier_open) = (true, true);
    let host = HostRecord {
        part: "one".into(),
        address: "n-1:9000".into(),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
    };
    part.add_machine("n-1", host, true, NOW);
    core.parts.insert("one".into(), part);
    core
}

pub(crate) fn report_tasks(tick: u64, tasks: &[(u64, TaskPhase, Option<Cause>)]) -> Report {
    let tasks = tasks
        .iter()
        .map(|(attempt, phase, cause)| TaskReport {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: *attempt,
            phase: *phase,
            cause: *cause,
            kept: None,
        })
        .collect();
    Report {
        host: "n-1".into(),
        address: "n-1:9000".into(),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick,
        baton: 5,
        warning_s: None,
        tasks,
    }
}

pub(crate) fn report_from(
    host: &str,
    session: u64,
    tick: u64,
    baton: u64,
    attempts: &[u64],
) -> Report {
    let tasks = attempts.iter().map(|attempt| TaskReport {
        task: TaskId { job: "req-1".into(), index: 0 },
        attempt: *attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    });
    Report {
        host: host.into(),
        address: format!("{host}:9000"),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session,
        tick,
        baton,
        warning_s: None,
        tasks: tasks.collect(),
    }
}

pub(crate) fn absorb_job(core: &mut Core, spec: &JobSpec, stamp: u64, since: u64) {
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(spec.tasks) };
    let record = LiveRecord::new(spec.clone(), since, vec![share]);
    core.absorb(record, stamp);
}

/// The tokens of the transactions among the effects that change this key.
pub(crate) fn changes(effects: &[Effect], key: &str) -> Vec<Token> {
    let of = |e: &Effect| match e {
        Effect::State { token, call: StateCall::Txn(txn), .. } => {
            txn.conditions.iter().any(|c| c.path == key).then_some(*token)
        }
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

/// The announcement of a process of this version.
pub(crate) fn announcement(node: &str, process: u64, stamp: u64) -> Row {
    let v = Json::of(&NodeRecord { version: crate::cluster::VERSION, process });
    Row { path: format!("cluster/nodes/{node}"), v, stamp, charter: Some(1) }
}

/// The record that raises the cluster version.
pub(crate) fn raised_version(stamp: u64) -> Row {
    let v = Json::of(&ClusterRecord { version: crate::cluster::VERSION });
    Row { path: CLUSTER_VERSION.into(), v, stamp, charter: None }
}

/// The state service's answer to the announcement of node one among the effects, without which it
/// acquires nothing.
pub(crate) fn commit_announcement(effects: &[Effect]) -> Option<Command> {
    let token = effects.iter().find_map(|effect| match effect {
        Effect::State { token, call: StateCall::Txn(txn), .. } => {
            format!("{txn:?}").contains("cluster/nodes/one").then_some(*token)
        }
        _ => None,
    })?;
    Some(Command::State { token, result: Ok(StateReply::Committed(19)) })
}

/// A core with a copy of the records, in which these nodes hold parts.
pub(crate) fn with_cache(parts: &[(&str, &str, u64)]) -> Core {
    let mut core = core();
    core.cache.loaded = true;
    core.wall_offset = Some(0);
    core.lease.next = NOW + 900 * SECOND;
    for (part, node, stamp) in parts {
        let process = if *node == core.cfg.node { core.process } else { 77 };
        let record = PartRecord { node: (*node).into(), process };
        core.cache.parts.insert((*part).into(), (record, *stamp));
    }
    core
}

pub(crate) fn host_record(name: &str, part: &str) -> HostRecord {
    let record = core().parts["one"].machines["n-1"].record.clone();
    HostRecord { part: part.into(), address: format!("{name}:9000"), ..record }
}

pub(crate) fn report_idle(name: &str, tick: u64, baton: u64) -> Report {
    Report {
        host: name.into(),
        address: format!("{name}:9000"),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick,
        baton,
        warning_s: None,
        tasks: Vec::new(),
    }
}

/// Gives part "one" ten machines, heard last at this time.
pub(crate) fn ten_machines(core: &mut Core, heard: Micros) {
    let Some(part) = core.parts.get_mut("one") else { return };
    for n in 1..=10 {
        let name = format!("n-{n}");
        part.add_machine(&name, host_record(&name, "one"), true, heard);
        if let Some(machine) = part.machines.get_mut(&name) {
            (machine.heard, machine.answered, machine.session) = (heard, heard, 1);
            // Idle ones go for another reason.
            machine.idle_since = Some(NOW + 900 * SECOND);
        }
    }
}

pub(crate) fn returned(effects: &[Effect]) -> usize {
    let names = |e: &Effect| match e {
        Effect::Cloud { call: CloudCall::Return(hosts), .. } => hosts.len(),
        _ => 0,
    };
    effects.iter().map(names).sum()
}

/// Submits a job of so many tasks of 2 processors for 3 s each into part "one".
pub(crate) fn queue_tasks(core: &mut Core, tasks: u32, rank: Rank, cpus: f64) {
    let job = JobSpec { rank, cpus, ..spec(tasks) };
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(tasks) };
    let shares = vec![share];
    let finished = Ranges::default();
    core.absorb(LiveRecord { finished, ..LiveRecord::new(job, NOW, shares) }, 10);
}

/// Makes the machine of part "one" usable.
pub(crate) fn ready_machine(core: &mut Core) {
    let cfg = core.cfg.clone();
    if let Some(part) = core.parts.get_mut("one") {
        part.take_report(&cfg, &mut RunTimes::default(), &report_idle("n-1", 1, 5), true, NOW);
    }
}

/// The record of a job, all of whose tasks are one part's.
pub(crate) fn record_of(number: u32, tasks: u32, part: &str) -> LiveRecord {
    let mut job = spec(tasks);
    job.id = format!("req-{number}");
    let shares = vec![Share { part: part.into(), term: 5, tasks: Ranges::first(tasks) }];
    LiveRecord::new(job, NOW, shares)
}

/// A report of the machine of part "one" that is there from the beginning, and runs an attempt.
pub(crate) fn report_of_one(tick: u64, attempt: Option<u64>) -> Report {
    let running = |attempt| TaskReport {
        task: TaskId { job: "req-1".into(), index: 0 },
        attempt,
        phase: TaskPhase::Running,
        cause: None,
        kept: None,
    };
    Report {
        host: "n-1".into(),
        address: "n-1:9000".into(),
        kind: "m".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick,
        baton: 5,
        warning_s: None,
        tasks: attempt.map(running).into_iter().collect(),
    }
}

pub(crate) fn with_holders(machine_capacity: usize) -> Core {
    let mut core = core();
    core.cfg.machine_capacity = machine_capacity;
    core.cache.loaded = true;
    core.wall_offset = Some(0);
    for (part, stamp, process) in [("one", 5, core.process), ("two", 6, 77)] {
        let record = PartRecord { node: part.into(), process };
        core.cache.parts.insert(part.into(), (record, stamp));
    }
    core
}

/// Adds open machines of 8 processors: name, type, zone, spot.
pub(crate) fn machines(core: &mut Core, list: &[(&str, &str, &str, bool)]) {
    // The only part there is, so that limited teams are at home in it too.
    core.cfg.nodes = vec!["one".into()];
    let cfg = core.cfg.clone();
    if let Some(types) = core.types.as_mut().map(std::sync::Arc::make_mut) {
        let mut other = types["m"].clone();
        other.name = "x".into();
        types.insert("x".into(), other);
        types.values_mut().for_each(|t| t.zones = vec!["a".into(), "b".into()]);
    }
    let types = core.types.clone();
    let Some(part) = core.parts.get_mut("one") else { return };
    part.types = types;
    part.remove_machine("n-1");
    for (name, kind, zone, spot) in list {
        let record = HostRecord {
            part: "one".into(),
            address: "n:1".into(),
            kind: (*kind).into(),
            zone: (*zone).into(),
            spot: *spot,
        };
        part.add_machine(name, record, true, NOW);
        let report = Report {
            host: (*name).into(),
            address: "n:1".into(),
            kind: (*kind).into(),
            zone: (*zone).into(),
            spot: *spot,
            session: 1,
            tick: 1,
            baton: 5,
            warning_s: None,
            tasks: Vec::new(),
        };
        part.take_report(&cfg, &mut RunTimes::default(), &report, true, NOW);
    }
}

pub(crate) fn queue_job(core: &mut Core, spec: &JobSpec, stamp: u64) {
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(spec.tasks) };
    let record = LiveRecord::new(spec.clone(), NOW, vec![share]);
    core.absorb(record, stamp);
    core.now += quartzlever_wire::SECOND / 20;
    core.place("one");
}

/// How many of a job's tasks went to each machine, by the machines' names.
pub(crate) fn placed(core: &Core, id: &str) -> Vec<(String, usize)> {
    let on = |m: &crate::machine::Machine| m.slots.keys().filter(|(t, _)| t.job == id).count();
    let part = &core.parts["one"];
    let counts = part.machines.values().map(|m| (m.name.clone(), on(m)));
    counts.filter(|(_, n)| *n > 0).collect()
}

/// The key of a partition, held by a process of a node.
pub(crate) fn partition_row(partition: &str, node: &str, process: u64, stamp: u64) -> Row {
    let v = Json::of(&PartRecord { node: node.into(), process });
    Row { path: format!("parts/{partition}"), v, stamp, charter: Some(1) }
}

/// Has all records listed anew: these rows, at this revision.
pub(crate) fn list_records(core: &mut Core, rows: &[Row], epoch: u64) {
    core.begin_listing();
    let number = core.cache.listings;
    for section in Section::ALL {
        let of = |row: &&Row| row.path.starts_with(section.prefix());
        let rows = rows.iter().filter(of).cloned().collect();
        let page = Rows { rows, has_next: false, epoch };
        core.page_listed(number, section, Ok(StateReply::Rows(page)));
    }
}
