//! The operator's settings of recovery.

use std::path::PathBuf;

use quartzlever_wire::Micros;
use serde::Deserialize;

use crate::settings::{BadSettings, Checker};

/// The key `recovery` of the operator's file, as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryEntry {
    directory: PathBuf,
    #[serde(default)]
    gather_s: Option<f64>,
    #[serde(default)]
    acknowledge_s: Option<f64>,
    #[serde(default)]
    check_s: Option<f64>,
    #[serde(default)]
    audit_s: Option<f64>,
    #[serde(default)]
    snapshot_s: Option<f64>,
    #[serde(default)]
    log_mb: Option<f64>,
    #[serde(default)]
    most_mb: Option<f64>,
}

/// What recovery is told by the operator.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    pub directory: PathBuf,
    /// How long controllers are waited for that may know more than those that are up.
    pub gather: Micros,
    /// How long another controller's word that it has a change in its log is waited for.
    pub acknowledge: Micros,
    /// How often the identity of the records is read.
    pub check: Micros,
    /// How often all records are compared with the picture.
    pub audit: Micros,
    /// How often a snapshot is taken, at least.
    pub snapshot: Micros,
    /// A log of this size is followed by a snapshot.
    pub log_bytes: u64,
    /// What all files may take.
    pub most_bytes: u64,
}

const MEGABYTE: f64 = 1024.0 * 1024.0;

impl RecoveryEntry {
    /// Checks the settings, but not the directory.
    pub fn check(self, check: &Checker) -> Result<RecoverySettings, BadSettings> {
        let span = |field: &str, value: Option<f64>, usual: f64, from: f64, to: f64| {
            check.span(&format!("recovery.{field}"), value.unwrap_or(usual), from, to)
        };
        let size = |field: &str, value: Option<f64>, usual: f64| {
            let megabytes =
                check.amount(&format!("recovery.{field}"), value.unwrap_or(usual), 0.1, 1e6)?;
            Ok::<u64, BadSettings>((megabytes * MEGABYTE) as u64)
        };
        let settings = RecoverySettings {
            gather: span("gather_s", self.gather_s, 10.0, 1.0, 600.0)?,
            acknowledge: span("acknowledge_s", self.acknowledge_s, 0.3, 0.05, 10.0)?,
            check: span("check_s", self.check_s, 1.0, 0.1, 60.0)?,
            audit: span("audit_s", self.audit_s, 600.0, 1.0, 86_400.0)?,
            snapshot: span("snapshot_s", self.snapshot_s, 600.0, 1.0, 86_400.0)?,
            log_bytes: size("log_mb", self.log_mb, 16.0)?,
            most_bytes: size("most_mb", self.most_mb, 1024.0)?,
            directory: self.directory,
        };
        if settings.most_bytes < 2 * settings.log_bytes {
            return Err(check.bad("recovery.most_mb", "must be twice log_mb at least"));
        }
        Ok(settings)
    }
}
