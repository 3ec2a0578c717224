//! The operator's settings of recovery: the key `recovery` of the operator's file.
//!
//! Owns the names, the defaults and the ranges of these fields. Never touches the directory they name.

use std::path::PathBuf;

use quartzlever_wire::Micros;
use serde::Deserialize;

use super::validation::{Checker, Field, Range, SettingsError, Violation};

/// What recovery asks of the store beyond what the core asks, in requests a second: the looks at
/// the identity, its check after each renewal, and the witness.
pub const REQUESTS_PER_SECOND: f64 = 2.0;

/// The range of a size in megabytes.
const MEGABYTES: Range = Range::new(0.1, 1e6);
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;

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
    pub max_bytes: u64,
}

impl RecoveryEntry {
    /// Checks the settings, but not the directory.
    pub fn check(self, check: &Checker) -> Result<RecoverySettings, SettingsError> {
        let duration = |name: &str, given: Option<f64>, default: f64, range: Range| {
            let name = &format!("recovery.{name}");
            check.duration(Field { name, value: given.unwrap_or(default), range })
        };
        let size = |name: &str, given: Option<f64>, default: f64| {
            let name = &format!("recovery.{name}");
            check
                .amount(Field { name, value: given.unwrap_or(default), range: MEGABYTES })
                .map(|megabytes| (megabytes * BYTES_PER_MEGABYTE) as u64)
        };
        let settings = RecoverySettings {
            gather: duration("gather_s", self.gather_s, 10.0, Range::new(1.0, 600.0))?,
            acknowledge: duration(
                "acknowledge_s",
                self.acknowledge_s,
                0.3,
                Range::new(0.05, 10.0),
            )?,
            check: duration("check_s", self.check_s, 1.0, Range::new(0.1, 60.0))?,
            audit: duration("audit_s", self.audit_s, 600.0, Range::new(1.0, 86_400.0))?,
            snapshot: duration("snapshot_s", self.snapshot_s, 600.0, Range::new(1.0, 86_400.0))?,
            log_bytes: size("log_mb", self.log_mb, 16.0)?,
            max_bytes: size("most_mb", self.most_mb, 1024.0)?,
            directory: self.directory,
        };
        if settings.max_bytes < 2 * settings.log_bytes {
            return Err(check.error("recovery.most_mb", Violation::BelowTwice("log_mb")));
        }
        Ok(settings)
    }
}
