//! The platform's settings (TOML).
//!
//! Owns the format of the platform's file, and the ranges and defaults of its fields. Never reads
//! the operator's file. Fields and kinds of objectives that this version does not know are ignored,
//! as are "wait" and "finished" objectives without `within_s`.

use std::net::SocketAddr;

use quartzlever_core::{ServiceLevelObjective, Team, WorkerTimes};
use quartzlever_wire::micros_from_secs;
use serde::Deserialize;

use super::validation::{
    Checker, Field, Range, SettingsError, SyntaxError, Violation, to_one_line,
};

const HEARTBEAT_INTERVAL_SECONDS: Range = Range::new(0.1, 3600.0);
const WORKER_DURATION_SECONDS: Range = Range::new(1.0, 86_400.0);
const TEAM_AMOUNT: Range = Range::new(0.0, 1e9);
const STORE_RPS: Range = Range::new(1.0, 1e9);
const VALUE_KILOBYTES: Range = Range::new(1.0, 1e6);
const TRANSACTION_CHANGES: Range = Range::new(2.0, 1e6);
const CLOUD_RPS: Range = Range::new(0.1, 1e9);
const CPU_SHARE: Range = Range::new(0.001, 1e4);
const MIN_SOCKETS: f64 = 64.0;
const MIN_THREADS: f64 = 150.0;
const MAX_COUNT: f64 = 1e7;
const MEMORY_MEGABYTES: Range = Range::new(16.0, 1e9);

const BYTES_PER_KILOBYTE: f64 = 1024.0;

/// Processor time per heartbeat with all work that follows from it, in seconds.
const HEARTBEAT_CPU_SECONDS: f64 = 150e-6;
/// Heartbeats received per interval and machine: the one that is due, and those that changes of
/// tasks cause.
const HEARTBEATS_PER_INTERVAL: f64 = 2.0;
/// Share of the processor that heartbeats may use; the rest is kept for bursts.
const HEARTBEATS_CPU_SHARE: f64 = 0.5;

/// Defaults of the machine's limits. If `threads` is left out, it is at least the number of
/// sockets, since a fixed number would limit how many machines can connect.
const DEFAULT_LIMITS: Limits = Limits { sockets: 1024, threads: 2000, memory_mb: 256.0 };

#[derive(Deserialize)]
struct PlatformFile {
    node_name: String,
    site: String,
    api_addr: String,
    internal_addr: String,
    #[serde(default)]
    seeds: Vec<Seed>,
    external: External,
    params: Params,
}

#[derive(Deserialize)]
struct Seed {
    node_name: String,
    addr: String,
}

#[derive(Deserialize)]
struct External {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct Params {
    zones: Vec<String>,
    teams: Vec<TeamEntry>,
    #[serde(default)]
    objectives: Vec<ObjectiveEntry>,
    workers: WorkersEntry,
    state: StateEntry,
    cloud: CloudEntry,
    #[serde(default)]
    machine_limits: Option<LimitsEntry>,
}

#[derive(Deserialize)]
struct TeamEntry {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct ObjectiveEntry {
    kind: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    times: Option<f64>,
    #[serde(default)]
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct WorkersEntry {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct StateEntry {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    /// Future limits. Each of them may take effect at any time, without notice.
    #[serde(default)]
    next: NextEntry,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct NextEntry {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

#[derive(Deserialize)]
struct CloudEntry {
    rps: f64,
}

#[derive(Deserialize)]
struct LimitsEntry {
    #[serde(default)]
    cpu_share: Option<f64>,
    sockets: Option<u32>,
    #[serde(default)]
    threads: Option<u32>,
    #[serde(default)]
    memory_mb: Option<f64>,
}

/// The resources of its machine that the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub sockets: u32,
    pub threads: u32,
    pub memory_mb: f64,
}

/// The checked settings of the platform's file.
#[derive(Debug)]
pub struct PlatformSettings {
    pub members: Members,
    pub cloud: String,
    pub state: String,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub workers: WorkerTimes,
    /// Number of machines whose heartbeats the processor can handle without falling behind.
    pub machine_capacity: usize,
    pub store_rps: f64,
    pub api: SocketAddr,
    pub internal: SocketAddr,
    pub cloud_rps: f64,
    pub limits: Limits,
    pub zone: String,
    pub store_write_rps: f64,
    /// Maximum size of a value in the store, in bytes: the lower of the present and the future
    /// limit.
    pub value_bytes: usize,
    /// The store's present limit for a value, in bytes.
    pub present_value_bytes: usize,
    pub txn_ops: usize,
}

/// The controllers of the cluster.
#[derive(Debug)]
pub struct Members {
    /// This controller.
    pub node: String,
    /// All controllers, sorted by name.
    pub nodes: Vec<String>,
    /// All controllers but this one.
    pub peers: Vec<Peer>,
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    pub node: String,
    pub address: SocketAddr,
}

/// Parses and checks the text of the platform's file. `file` names it in errors.
///
/// # Errors
/// Returns the first error found, even if several fields are invalid.
pub fn parse(file: &str, text: &str) -> Result<PlatformSettings, SettingsError> {
    let check = Checker { file };
    let entry: PlatformFile =
        toml::from_str(text).map_err(|error| check.syntax_error(syntax_error(text, &error)))?;
    let members = check_members(&check, &entry)?;
    check_services(&check, &entry.external)?;
    let params = &entry.params;
    if params.zones.is_empty() {
        return Err(check.error("params.zones", Violation::NoZone));
    }
    let limits = params.machine_limits.as_ref();
    let store = StoreLimits { check: &check, entry: &params.state };
    Ok(PlatformSettings {
        members,
        cloud: entry.external.cloud.clone(),
        state: entry.external.state.clone(),
        zones: params.zones.clone(),
        teams: check_teams(&check, &params.teams)?,
        objectives: params.objectives.iter().filter_map(parse_objective).collect(),
        workers: check_workers(&check, &params.workers)?,
        machine_capacity: machine_capacity(&check, limits, params.workers.report_s)?,
        store_rps: store.rps()?,
        api: check.address("api_addr", &entry.api_addr)?,
        internal: check.address("internal_addr", &entry.internal_addr)?,
        cloud_rps: check_cloud_rps(&check, &params.cloud)?,
        limits: check_limits(&check, limits)?,
        zone: check.name("site", &entry.site)?,
        store_write_rps: store.write_rps()?,
        value_bytes: store.value_bytes()?,
        present_value_bytes: (params.state.value_kb * BYTES_PER_KILOBYTE) as usize,
        txn_ops: store.transaction_changes()?,
    })
}

fn syntax_error(text: &str, error: &toml::de::Error) -> SyntaxError {
    let message = to_one_line(error.message());
    match error.span() {
        Some(span) => {
            let line = text[..span.start.min(text.len())].lines().count().max(1);
            SyntaxError::AtLine { message, line }
        }
        None => SyntaxError::WithPosition(message),
    }
}

fn check_members(check: &Checker, entry: &PlatformFile) -> Result<Members, SettingsError> {
    let node = check.name("node_name", &entry.node_name)?;
    let mut nodes = vec![node.clone()];
    let mut peers = Vec::new();
    for seed in &entry.seeds {
        let name = check.name("seeds.node_name", &seed.node_name)?;
        if nodes.contains(&name) {
            return Err(check.error("seeds.node_name", Violation::Duplicate(name)));
        }
        let address = check.address("seeds.addr", &seed.addr)?;
        peers.push(Peer { node: name.clone(), address });
        nodes.push(name);
    }
    nodes.sort();
    Ok(Members { node, nodes, peers })
}

fn check_services(check: &Checker, external: &External) -> Result<(), SettingsError> {
    check.address("external.cloud", &external.cloud)?;
    check.address("external.state", &external.state)?;
    Ok(())
}

fn check_teams(check: &Checker, entries: &[TeamEntry]) -> Result<Vec<Team>, SettingsError> {
    entries.iter().map(|entry| check_team(check, entry)).collect()
}

fn check_team(check: &Checker, entry: &TeamEntry) -> Result<Team, SettingsError> {
    let amount = |field: &str, value: f64| {
        let name = &format!("params.teams.{}.{field}", entry.name);
        check.amount(Field { name, value, range: TEAM_AMOUNT })
    };
    Ok(Team {
        name: entry.name.clone(),
        cpus: amount("cpus", entry.cpus)?,
        cpus_max: amount("cpus_max", entry.cpus_max)?,
        gpus: amount("gpus", entry.gpus)?,
        gpus_max: amount("gpus_max", entry.gpus_max)?,
    })
}

/// Converts an objective. Returns `None` for a kind that this version does not know, and for a
/// "wait" or "finished" objective without `within_s`. Both are ignored, as new fields are.
fn parse_objective(entry: &ObjectiveEntry) -> Option<ServiceLevelObjective> {
    let (class, share) = (entry.class.clone(), entry.share);
    match entry.kind.as_str() {
        "deadline" => Some(ServiceLevelObjective::Deadline {
            class,
            share,
            times: entry.times.unwrap_or(1.0),
        }),
        "wait" => Some(ServiceLevelObjective::Wait {
            class,
            share,
            within: micros_from_secs(entry.within_s?),
        }),
        "finished" => Some(ServiceLevelObjective::Finished {
            class,
            share,
            within: micros_from_secs(entry.within_s?),
        }),
        _ => None,
    }
}

fn check_workers(check: &Checker, entry: &WorkersEntry) -> Result<WorkerTimes, SettingsError> {
    let duration = |name, value, range| check.duration(Field { name, value, range });
    Ok(WorkerTimes {
        heartbeat_interval: duration(
            "params.workers.report_s",
            entry.report_s,
            HEARTBEAT_INTERVAL_SECONDS,
        )?,
        lease: duration("params.workers.lease_s", entry.lease_s, WORKER_DURATION_SECONDS)?,
        cancel: duration("params.workers.cancel_s", entry.cancel_s, WORKER_DURATION_SECONDS)?,
    })
}

/// Returns the number of machines whose heartbeats the processor can handle without falling behind;
/// unlimited if the settings do not give the processor's share.
fn machine_capacity(
    check: &Checker,
    entry: Option<&LimitsEntry>,
    report_s: f64,
) -> Result<usize, SettingsError> {
    let Some(value) = entry.and_then(|limits| limits.cpu_share) else { return Ok(usize::MAX) };
    let name = "params.machine_limits.cpu_share";
    let share = check.amount(Field { name, value, range: CPU_SHARE })?;
    let machines =
        share * HEARTBEATS_CPU_SHARE * report_s / (HEARTBEATS_PER_INTERVAL * HEARTBEAT_CPU_SECONDS);
    Ok(machines.max(1.0) as usize)
}

/// The store's limits: for each, the lower of the present limit and the future one, which may take
/// effect at any moment.
struct StoreLimits<'a> {
    check: &'a Checker<'a>,
    entry: &'a StateEntry,
}

impl StoreLimits<'_> {
    fn rps(&self) -> Result<f64, SettingsError> {
        self.lower_limit("rps", self.entry.rps, self.entry.next.rps, STORE_RPS)
    }

    fn write_rps(&self) -> Result<f64, SettingsError> {
        self.lower_limit("write_rps", self.entry.write_rps, self.entry.next.write_rps, STORE_RPS)
    }

    fn value_bytes(&self) -> Result<usize, SettingsError> {
        let StateEntry { value_kb, next, .. } = self.entry;
        let kilobytes = self.lower_limit("value_kb", *value_kb, next.value_kb, VALUE_KILOBYTES)?;
        Ok((kilobytes * BYTES_PER_KILOBYTE) as usize)
    }

    fn transaction_changes(&self) -> Result<usize, SettingsError> {
        let next = self.entry.next.txn_ops.map(|count| count as f64);
        let now = self.entry.txn_ops as f64;
        self.lower_limit("txn_ops", now, next, TRANSACTION_CHANGES).map(|count| count as usize)
    }

    fn lower_limit(
        &self,
        field: &str,
        now: f64,
        next: Option<f64>,
        range: Range,
    ) -> Result<f64, SettingsError> {
        let name = &format!("params.state.{field}");
        let now = self.check.amount(Field { name, value: now, range })?;
        let Some(next) = next else { return Ok(now) };
        let name = &format!("params.state.next.{field}");
        let next = self.check.amount(Field { name, value: next, range })?;
        Ok(next.min(now))
    }
}

fn check_cloud_rps(check: &Checker, entry: &CloudEntry) -> Result<f64, SettingsError> {
    check.amount(Field { name: "params.cloud.rps", value: entry.rps, range: CLOUD_RPS })
}

fn check_limits(check: &Checker, entry: Option<&LimitsEntry>) -> Result<Limits, SettingsError> {
    let count = |name: &str, given: Option<u32>, default: u32, min: f64| {
        let value = f64::from(given.unwrap_or(default));
        check
            .amount(Field { name, value, range: Range::new(min, MAX_COUNT) })
            .map(|count| count as u32)
    };
    let given_sockets = entry.and_then(|limits| limits.sockets);
    let given_threads = entry.and_then(|limits| limits.threads);
    let memory = entry.and_then(|limits| limits.memory_mb);
    let sockets =
        count("params.machine_limits.sockets", given_sockets, DEFAULT_LIMITS.sockets, MIN_SOCKETS)?;
    let default_threads = DEFAULT_LIMITS.threads.max(sockets);
    let threads =
        count("params.machine_limits.threads", given_threads, default_threads, MIN_THREADS)?;
    let memory_mb = check.amount(Field {
        name: "params.machine_limits.memory_mb",
        value: memory.unwrap_or(DEFAULT_LIMITS.memory_mb),
        range: MEMORY_MEGABYTES,
    })?;
    Ok(Limits { sockets, threads, memory_mb })
}
