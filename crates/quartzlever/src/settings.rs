//! The platform's settings (TOML) and the operator's own (YAML).

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use quartzlever_core::{Config, Objective, Operator, Team, Weight, WorkerTimes};
use quartzlever_wire::{Micros, micros_from_secs};
use serde::Deserialize;

use crate::recovery::{REQUESTS_A_SECOND, RecoveryEntry, RecoverySettings};
use crate::server::Limits;

/// Why the program cannot start; one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum BadSettings {
    #[error("{file}: {why}")]
    Read { file: String, why: String },
    #[error("{file}: {field}: {why}")]
    Field { file: String, field: String, why: String },
}

#[derive(Deserialize)]
struct File {
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
    /// Limits to come, any of them, without notice.
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

/// What holds for a limit of the machine that the settings leave out. Nothing is said of threads then
/// either, and there are as many as the sockets take: a fixed number would bound the machines.
const USUAL_LIMITS: Limits = Limits { sockets: 1024, threads: 2000, memory_mb: 256.0 };

/// The operator's file. Every key may be left out.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OperatorFile {
    peers_asked: Option<usize>,
    steal_fraction: Option<f64>,
    steal_start_s: Option<f64>,
    steal_cap_s: Option<f64>,
    /// Operators may have the earlier name in their files.
    #[serde(alias = "hold_life_s")]
    lease_life_s: Option<f64>,
    takeover_after_s: Option<f64>,
    handback_after_s: Option<f64>,
    idle_boots: Option<f64>,
    price_cap: Option<f64>,
    silent_return_s: Option<f64>,
    progress_write_s: Option<f64>,
    /// Lost state is rebuilt from snapshots and a log; off if left out.
    recovery: Option<RecoveryEntry>,
}

/// Everything that the program is told at its start.
#[derive(Debug)]
pub struct Settings {
    pub core: Config,
    pub api: SocketAddr,
    pub internal: SocketAddr,
    pub peers: Vec<(String, SocketAddr)>,
    pub cloud: String,
    pub state: String,
    pub cloud_rps: f64,
    pub limits: Limits,
    pub recovery: Option<RecoverySettings>,
}

/// Checks single settings, and names the file and the field of a bad one.
pub struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    pub fn bad(&self, field: &str, why: impl Into<String>) -> BadSettings {
        BadSettings::Field { file: self.file.to_owned(), field: field.to_owned(), why: why.into() }
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, BadSettings> {
        text.parse().map_err(|_| self.bad(field, format!("not an address with a port: {text:?}")))
    }

    pub fn amount(&self, field: &str, value: f64, from: f64, to: f64) -> Result<f64, BadSettings> {
        if value.is_finite() && (from..=to).contains(&value) {
            Ok(value)
        } else {
            Err(self.bad(field, format!("must be from {from} to {to}, is {value}")))
        }
    }

    pub fn span(&self, field: &str, value: f64, from: f64, to: f64) -> Result<Micros, BadSettings> {
        self.amount(field, value, from, to).map(micros_from_secs)
    }

    fn name(&self, field: &str, value: &str) -> Result<String, BadSettings> {
        let fine = !value.is_empty()
            && value.len() <= 100
            && value.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        if fine {
            Ok(value.to_owned())
        } else {
            Err(self.bad(field, format!("not a usable name: {value:?}")))
        }
    }
}

fn read(path: &Path) -> Result<String, BadSettings> {
    fs::read_to_string(path)
        .map_err(|e| BadSettings::Read { file: path.display().to_string(), why: e.to_string() })
}

/// Reads and checks both files.
pub fn load(
    config: &Path,
    operator: Option<&Path>,
    notes: Weight,
) -> Result<Settings, BadSettings> {
    let operator = match operator {
        Some(path) => parse_operator(&path.display().to_string(), &read(path)?)?,
        None => OperatorSettings::default(),
    };
    parse(&config.display().to_string(), &read(config)?, operator, notes)
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// What the operator's file says: to the core, and of recovery.
#[derive(Default)]
struct OperatorSettings {
    core: Operator,
    recovery: Option<RecoverySettings>,
}

fn parse_operator(file: &str, text: &str) -> Result<OperatorSettings, BadSettings> {
    let check = Checker { file };
    let entry: Option<OperatorFile> = serde_yaml_ng::from_str(text)
        .map_err(|e| BadSettings::Read { file: file.into(), why: one_line(&e.to_string()) })?;
    let entry = entry.unwrap_or_default();
    let mut out = Operator::default();
    if let Some(count) = entry.peers_asked {
        out.peers_asked = check.amount("peers_asked", count as f64, 1.0, 1000.0)? as usize;
    }
    if let Some(share) = entry.steal_fraction {
        out.steal_fraction = check.amount("steal_fraction", share, 0.01, 1.0)?;
    }
    if let Some(boots) = entry.idle_boots {
        out.idle_boots = check.amount("idle_boots", boots, 0.0, 1000.0)?;
    }
    if let Some(cap) = entry.price_cap {
        out.price_cap = check.amount("price_cap", cap, 1.0, 1000.0)?;
    }
    let spans = [
        ("steal_start_s", entry.steal_start_s, &mut out.steal_start, 0.01, 60.0),
        ("steal_cap_s", entry.steal_cap_s, &mut out.steal_cap, 0.01, 600.0),
        ("lease_life_s", entry.lease_life_s, &mut out.lease_life, 3.0, 300.0),
        ("takeover_after_s", entry.takeover_after_s, &mut out.takeover_after, 0.0, 600.0),
        ("handback_after_s", entry.handback_after_s, &mut out.handback_after, 0.0, 600.0),
        ("silent_return_s", entry.silent_return_s, &mut out.silent_return, 3.0, 86_400.0),
        ("progress_write_s", entry.progress_write_s, &mut out.progress_write, 0.05, 60.0),
    ];
    for (field, value, target, from, to) in spans {
        if let Some(value) = value {
            *target = check.span(field, value, from, to)?;
        }
    }
    if out.steal_cap < out.steal_start {
        return Err(check.bad("steal_cap_s", "must not be below steal_start_s"));
    }
    let recovery = entry.recovery.map(|recovery| recovery.check(&check)).transpose()?;
    Ok(OperatorSettings { core: out, recovery })
}

fn parse(
    file: &str,
    text: &str,
    operator: OperatorSettings,
    notes: Weight,
) -> Result<Settings, BadSettings> {
    let OperatorSettings { core: operator, recovery } = operator;
    let check = Checker { file };
    let entry: File = toml::from_str(text).map_err(|e| {
        let place = e.span().map(|s| text[..s.start.min(text.len())].lines().count());
        let at = place.map(|n| format!(" (line {})", n.max(1))).unwrap_or_default();
        BadSettings::Read { file: file.into(), why: one_line(e.message()) + &at }
    })?;
    let node = check.name("node_name", &entry.node_name)?;
    let mut nodes = vec![node.clone()];
    let mut peers = Vec::new();
    for seed in &entry.seeds {
        let name = check.name("seeds.node_name", &seed.node_name)?;
        if nodes.contains(&name) {
            return Err(check.bad("seeds.node_name", format!("twice: {name:?}")));
        }
        peers.push((name.clone(), check.address("seeds.addr", &seed.addr)?));
        nodes.push(name);
    }
    nodes.sort();
    check.address("external.cloud", &entry.external.cloud)?;
    check.address("external.state", &entry.external.state)?;
    let params = &entry.params;
    if params.zones.is_empty() {
        return Err(check.bad("params.zones", "must name a zone"));
    }
    let mut teams = Vec::new();
    for team in &params.teams {
        let at = |field: &str| format!("params.teams.{}.{field}", team.name);
        teams.push(Team {
            name: team.name.clone(),
            cpus: check.amount(&at("cpus"), team.cpus, 0.0, 1e9)?,
            cpus_max: check.amount(&at("cpus_max"), team.cpus_max, 0.0, 1e9)?,
            gpus: check.amount(&at("gpus"), team.gpus, 0.0, 1e9)?,
            gpus_max: check.amount(&at("gpus_max"), team.gpus_max, 0.0, 1e9)?,
        });
    }
    let objectives = params.objectives.iter().filter_map(objective).collect();
    let workers = WorkerTimes {
        report: check.span("params.workers.report_s", params.workers.report_s, 0.1, 3600.0)?,
        lease: check.span("params.workers.lease_s", params.workers.lease_s, 1.0, 86_400.0)?,
        cancel: check.span("params.workers.cancel_s", params.workers.cancel_s, 1.0, 86_400.0)?,
    };
    let state = &params.state;
    let next_ops = state.next.txn_ops.map(|ops| ops as f64);
    // The lower of a limit and the one to come, which may be in force at any moment.
    let lower = |field: &str, now: f64, next: Option<f64>, from: f64, to: f64| {
        let now = check.amount(&format!("params.state.{field}"), now, from, to)?;
        let Some(next) = next else { return Ok(now) };
        check
            .amount(&format!("params.state.next.{field}"), next, from, to)
            .map(|next| next.min(now))
    };
    let machine_capacity =
        machine_capacity(&check, params.machine_limits.as_ref(), params.workers.report_s)?;
    let state_rps = lower("rps", state.rps, state.next.rps, 1.0, 1e9)?;
    // What recovery asks for itself comes off the controllers' requests, down to half of them.
    let own = recovery.as_ref().map_or(0.0, |_| REQUESTS_A_SECOND * nodes.len() as f64);
    let state_rps = (state_rps - own).max(state_rps / 2.0);
    Ok(Settings {
        recovery,
        api: check.address("api_addr", &entry.api_addr)?,
        internal: check.address("internal_addr", &entry.internal_addr)?,
        peers,
        cloud: entry.external.cloud.clone(),
        state: entry.external.state.clone(),
        cloud_rps: check.amount("params.cloud.rps", params.cloud.rps, 0.1, 1e9)?,
        limits: limits(&check, params.machine_limits.as_ref())?,
        core: Config {
            node,
            zone: check.name("site", &entry.site)?,
            nodes,
            zones: params.zones.clone(),
            teams,
            objectives,
            workers,
            state_rps,
            state_write_rps: lower("write_rps", state.write_rps, state.next.write_rps, 1.0, 1e9)?,
            value_bytes: (lower("value_kb", state.value_kb, state.next.value_kb, 1.0, 1e6)?
                * 1024.0) as usize,
            block_bytes: (state.value_kb * 1024.0) as usize,
            txn_ops: lower("txn_ops", state.txn_ops as f64, next_ops, 2.0, 1e6)? as usize,
            version: quartzlever_core::VERSION,
            machine_capacity,
            operator,
            notes,
        },
    })
}

/// What a report costs with all that follows from it, in processor seconds, and how many reports
/// come for each that is due: every change of a task brings one.
const REPORT_COST: f64 = 150e-6;
const REPORTS_EACH: f64 = 2.0;
/// Share of the processor that reports may take: bursts need the rest.
const EASE: f64 = 0.5;

/// How many machines the processor serves without falling behind; any number if nothing is said of it.
fn machine_capacity(
    check: &Checker,
    entry: Option<&LimitsEntry>,
    report_s: f64,
) -> Result<usize, BadSettings> {
    let Some(share) = entry.and_then(|l| l.cpu_share) else { return Ok(usize::MAX) };
    let share = check.amount("params.machine_limits.cpu_share", share, 0.001, 1e4)?;
    Ok((share * EASE * report_s / (REPORTS_EACH * REPORT_COST)).max(1.0) as usize)
}

fn limits(check: &Checker, entry: Option<&LimitsEntry>) -> Result<Limits, BadSettings> {
    let count = |field: &str, value: Option<u32>, usual: u32, least: f64| {
        let field = format!("params.machine_limits.{field}");
        let value = f64::from(value.unwrap_or(usual));
        check.amount(&field, value, least, 1e7).map(|v| v as u32)
    };
    let memory = entry.and_then(|l| l.memory_mb).unwrap_or(USUAL_LIMITS.memory_mb);
    let sockets = entry.and_then(|l| l.sockets);
    let threads = entry.and_then(|l| l.threads);
    let sockets = count("sockets", sockets, USUAL_LIMITS.sockets, 64.0)?;
    Ok(Limits {
        sockets,
        threads: count("threads", threads, USUAL_LIMITS.threads.max(sockets), 150.0)?,
        memory_mb: check.amount("params.machine_limits.memory_mb", memory, 16.0, 1e9)?,
    })
}

/// Objectives of kinds that this version does not know are passed over, as new fields are.
fn objective(entry: &ObjectiveEntry) -> Option<Objective> {
    let (class, share) = (entry.class.clone(), entry.share);
    match entry.kind.as_str() {
        "deadline" => Some(Objective::Deadline { class, share, times: entry.times.unwrap_or(1.0) }),
        "wait" => Some(Objective::Wait { class, share, within: micros_from_secs(entry.within_s?) }),
        "finished" => {
            Some(Objective::Finished { class, share, within: micros_from_secs(entry.within_s?) })
        }
        _ => None,
    }
}
