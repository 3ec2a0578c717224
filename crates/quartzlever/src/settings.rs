//! The settings of the program, read once at startup.
//!
//! Owns the settings as the rest of the program sees them, combined from the platform's file
//! (`platform`) and the operator's file (`operator`, `recovery`). Never uses a module outside
//! `settings`, and never changes a setting after startup.

mod operator;
mod platform;
mod recovery;
mod validation;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use quartzlever_core::{Config, LogLevel};

use operator::OperatorSettings;
use platform::PlatformSettings;

pub use platform::{Limits, Peer};
pub use recovery::RecoverySettings;
pub use validation::SettingsError;

/// Minimum share of the store's request limit that is left to the cores, however many requests
/// recovery needs.
const MIN_CORE_REQUEST_SHARE: f64 = 0.5;

/// The checked settings of a controller.
#[derive(Debug)]
pub struct Settings {
    pub core: Config,
    /// Address on which users and workers are served.
    pub api: SocketAddr,
    /// Address on which the other controllers are served.
    pub internal: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud.
    pub cloud: String,
    /// Address of the store.
    pub state: String,
    /// Limit of the cloud on the requests per second of all controllers together.
    pub cloud_rps: f64,
    pub limits: Limits,
    /// `None` if the operator has not enabled recovery.
    pub recovery: Option<RecoverySettings>,
}

/// Reads and checks both files, the operator's first.
///
/// # Errors
/// Returns the first error found; see [`SettingsError`].
pub fn load(
    config: &Path,
    operator: Option<&Path>,
    log_level: LogLevel,
) -> Result<Settings, SettingsError> {
    let operator = match operator {
        Some(path) => operator::parse(&path.display().to_string(), &read(path)?)?,
        None => OperatorSettings::default(),
    };
    let platform = platform::parse(&config.display().to_string(), &read(config)?)?;
    Ok(combine(platform, operator, log_level))
}

fn read(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path)
        .map_err(|cause| SettingsError::Read { file: path.display().to_string(), cause })
}

fn combine(
    platform: PlatformSettings,
    operator: OperatorSettings,
    log_level: LogLevel,
) -> Settings {
    let OperatorSettings { core: operator, recovery } = operator;
    let store_rps = core_store_rps(&platform, recovery.as_ref());
    let platform::Members { node, nodes, peers } = platform.members;
    Settings {
        recovery,
        api: platform.api,
        internal: platform.internal,
        peers,
        cloud: platform.cloud,
        state: platform.state,
        cloud_rps: platform.cloud_rps,
        limits: platform.limits,
        core: Config {
            node,
            zone: platform.zone,
            nodes,
            zones: platform.zones,
            teams: platform.teams,
            objectives: platform.objectives,
            workers: platform.workers,
            store_rps,
            store_write_rps: platform.store_write_rps,
            value_bytes: platform.value_bytes,
            present_value_bytes: platform.present_value_bytes,
            txn_ops: platform.txn_ops,
            version: quartzlever_core::VERSION,
            machine_capacity: platform.machine_capacity,
            operator,
            log_level,
        },
    }
}

/// Returns the requests per second that the cores of all controllers together may send to the
/// store: the store's limit without the requests of recovery, but at least half of the limit.
fn core_store_rps(platform: &PlatformSettings, recovery: Option<&RecoverySettings>) -> f64 {
    let controllers = platform.members.nodes.len() as f64;
    let recovery_rps = recovery.map_or(0.0, |_| recovery::STORE_REQUESTS_PER_SECOND * controllers);
    (platform.store_rps - recovery_rps).max(platform.store_rps * MIN_CORE_REQUEST_SHARE)
}

#[cfg(test)]
mod tests;
