//! Everything that the program is told at its start.
//!
//! Owns the settings as the rest of the program sees them, put together from the platform's file
//! (`platform`) and the operator's (`operator`, `recovery`). Never uses a module outside `settings`, and
//! never changes a setting after the start.

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

/// Share of the store's requests that the core keeps at least, whatever recovery asks for itself.
const MIN_CORE_SHARE: f64 = 0.5;

/// The settings of a controller.
#[derive(Debug)]
pub struct Settings {
    pub core: Config,
    /// Where users and workers are served.
    pub api: SocketAddr,
    /// Where the other controllers are served.
    pub internal: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// The address of the cloud.
    pub cloud: String,
    /// The address of the store.
    pub state: String,
    /// Requests a second that the cloud takes from all controllers together.
    pub cloud_rps: f64,
    pub limits: Limits,
    /// None if the operator has not switched recovery on.
    pub recovery: Option<RecoverySettings>,
}

/// Reads and checks both files, the operator's first.
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
    let store_rps = core_rps(&platform, recovery.as_ref());
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
            group_bytes: platform.group_bytes,
            txn_ops: platform.txn_ops,
            version: quartzlever_core::VERSION,
            machine_capacity: platform.machine_capacity,
            operator,
            log_level,
        },
    }
}

/// The store's requests a second that are left to the cores of all controllers: what recovery asks for
/// itself comes off them, down to half of them.
fn core_rps(platform: &PlatformSettings, recovery: Option<&RecoverySettings>) -> f64 {
    let controllers = platform.members.nodes.len() as f64;
    let own = recovery.map_or(0.0, |_| recovery::REQUESTS_PER_SECOND * controllers);
    (platform.store_rps - own).max(platform.store_rps * MIN_CORE_SHARE)
}

#[cfg(test)]
mod tests;
