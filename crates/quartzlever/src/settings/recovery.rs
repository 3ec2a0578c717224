//! The settings of recovery: the key `recovery` of the operator's file.
//!
//! Owns the names, the defaults and the ranges of these fields. Never accesses the directory they
//! name.

use std::path::PathBuf;

use quartzlever_wire::Micros;
use serde::Deserialize;

use super::validation::{Checker, Field, Range, SettingsError, Violation};

/// Requests per second that recovery sends to the store for each controller, in addition to those
/// of the core: the periodic checks of the identity, its check after each lease renewal, and the
/// witness.
pub const STORE_REQUESTS_PER_SECOND: f64 = 2.0;

/// Range of a size, in megabytes.
const SIZE_MEGABYTES: Range = Range::new(0.1, 1e6);
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;

/// The key `recovery` of the operator's file, before it is checked.
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

/// The checked settings of recovery.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    pub directory: PathBuf,
    /// How long a rebuild waits for controllers that are down but may know more than those up.
    pub gather_timeout: Micros,
    /// How long the acknowledgement of another controller that it has logged a change is awaited.
    pub acknowledgement_timeout: Micros,
    /// Interval between checks of the identity of the records.
    pub check_interval: Micros,
    /// Interval between audits, which compare all records in the store with the record set.
    pub audit_interval: Micros,
    /// Maximum interval between snapshots.
    pub snapshot_interval: Micros,
    /// Size of the log at which a snapshot is taken, in bytes.
    pub log_bytes: u64,
    /// Maximum size of all files together, in bytes.
    pub max_bytes: u64,
}

impl RecoveryEntry {
    /// Checks all fields but the directory.
    ///
    /// # Errors
    /// Returns the first field whose value is invalid.
    pub fn check(self, check: &Checker) -> Result<RecoverySettings, SettingsError> {
        let duration = |name: &str, given: Option<f64>, default: f64, range: Range| {
            let name = &format!("recovery.{name}");
            check.duration(Field { name, value: given.unwrap_or(default), range })
        };
        let size = |name: &str, given: Option<f64>, default: f64| {
            let name = &format!("recovery.{name}");
            check
                .amount(Field { name, value: given.unwrap_or(default), range: SIZE_MEGABYTES })
                .map(|megabytes| (megabytes * BYTES_PER_MEGABYTE) as u64)
        };
        let settings = RecoverySettings {
            gather_timeout: duration("gather_s", self.gather_s, 10.0, Range::new(1.0, 600.0))?,
            acknowledgement_timeout: duration(
                "acknowledge_s",
                self.acknowledge_s,
                0.3,
                Range::new(0.05, 10.0),
            )?,
            check_interval: duration("check_s", self.check_s, 1.0, Range::new(0.1, 60.0))?,
            audit_interval: duration("audit_s", self.audit_s, 600.0, Range::new(1.0, 86_400.0))?,
            snapshot_interval: duration(
                "snapshot_s",
                self.snapshot_s,
                600.0,
                Range::new(1.0, 86_400.0),
            )?,
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
