//! The operator's own settings (YAML), all of them optional.
//!
//! Owns the names and the ranges of the operator's fields. Never reads the platform's file.

use quartzlever_core::Operator;
use quartzlever_wire::Micros;
use serde::Deserialize;

use super::recovery::{RecoveryEntry, RecoverySettings};
use super::validation::{
    Checker, Field, Range, SettingsError, SyntaxError, Violation, to_one_line,
};

const PEERS_ASKED_RANGE: Range = Range::new(1.0, 1000.0);

/// The operator's file as written, before its values are checked. A key left out has its default.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OperatorFile {
    peers_asked: Option<usize>,
    steal_fraction: Option<f64>,
    steal_start_s: Option<f64>,
    steal_cap_s: Option<f64>,
    /// `hold_life_s` is the earlier name; operators' files may still have it.
    #[serde(alias = "hold_life_s")]
    lease_life_s: Option<f64>,
    takeover_after_s: Option<f64>,
    handback_after_s: Option<f64>,
    idle_boots: Option<f64>,
    price_cap: Option<f64>,
    silent_return_s: Option<f64>,
    progress_write_s: Option<f64>,
    /// Enables the rebuilding of lost state from snapshots and a log; off if left out.
    recovery: Option<RecoveryEntry>,
}

/// The checked settings of the operator's file, for the core and for recovery.
#[derive(Debug, Default)]
pub struct OperatorSettings {
    pub core: Operator,
    pub recovery: Option<RecoverySettings>,
}

/// Parses and checks the text of the operator's file. `file` names it in errors. An empty file is
/// valid.
///
/// # Errors
/// Returns the first error found.
pub fn parse(file: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
    let check = Checker { file };
    let entry: Option<OperatorFile> = serde_yaml_ng::from_str(text).map_err(|error| {
        check.syntax_error(SyntaxError::WithPosition(to_one_line(&error.to_string())))
    })?;
    let entry = entry.unwrap_or_default();
    let mut core = Operator::default();
    check_amounts(&check, &entry, &mut core)?;
    check_durations(&check, &entry, &mut core)?;
    if core.steal_cap < core.steal_start {
        return Err(check.error("steal_cap_s", Violation::Below("steal_start_s")));
    }
    let recovery = entry.recovery.map(|recovery| recovery.check(&check)).transpose()?;
    Ok(OperatorSettings { core, recovery })
}

/// An optional field, and the setting that it replaces.
struct Override<'a, Setting> {
    field: Field<'static, Option<f64>>,
    setting: &'a mut Setting,
}

impl<'a, Setting> Override<'a, Setting> {
    fn new(
        name: &'static str,
        value: Option<f64>,
        setting: &'a mut Setting,
        range: Range,
    ) -> Override<'a, Setting> {
        Override { field: Field { name, value, range }, setting }
    }

    /// Checks the field and replaces the setting, if the file has the field.
    fn apply(
        self,
        check: impl Fn(Field) -> Result<Setting, SettingsError>,
    ) -> Result<(), SettingsError> {
        let Field { name, value, range } = self.field;
        if let Some(value) = value {
            *self.setting = check(Field { name, value, range })?;
        }
        Ok(())
    }
}

fn check_amounts(
    check: &Checker,
    entry: &OperatorFile,
    core: &mut Operator,
) -> Result<(), SettingsError> {
    if let Some(count) = entry.peers_asked {
        let field = Field { name: "peers_asked", value: count as f64, range: PEERS_ASKED_RANGE };
        core.peers_asked = check.amount(field)? as usize;
    }
    let Operator { steal_fraction, max_idle_boot_times, price_cap, .. } = core;
    let amounts: [Override<f64>; 3] = [
        Override::new(
            "steal_fraction",
            entry.steal_fraction,
            steal_fraction,
            Range::new(0.01, 1.0),
        ),
        Override::new("idle_boots", entry.idle_boots, max_idle_boot_times, Range::new(0.0, 1000.0)),
        Override::new("price_cap", entry.price_cap, price_cap, Range::new(1.0, 1000.0)),
    ];
    amounts.into_iter().try_for_each(|amount| amount.apply(|field| check.amount(field)))
}

fn check_durations(
    check: &Checker,
    entry: &OperatorFile,
    core: &mut Operator,
) -> Result<(), SettingsError> {
    let duration = Override::<Micros>::new;
    let durations = [
        duration(
            "steal_start_s",
            entry.steal_start_s,
            &mut core.steal_start,
            Range::new(0.01, 60.0),
        ),
        duration("steal_cap_s", entry.steal_cap_s, &mut core.steal_cap, Range::new(0.01, 600.0)),
        duration(
            "lease_life_s",
            entry.lease_life_s,
            &mut core.lease_lifetime,
            Range::new(3.0, 300.0),
        ),
        duration(
            "takeover_after_s",
            entry.takeover_after_s,
            &mut core.takeover_after,
            Range::new(0.0, 600.0),
        ),
        duration(
            "handback_after_s",
            entry.handback_after_s,
            &mut core.handback_after,
            Range::new(0.0, 600.0),
        ),
        duration(
            "silent_return_s",
            entry.silent_return_s,
            &mut core.silent_machine_timeout,
            Range::new(3.0, 86_400.0),
        ),
        duration(
            "progress_write_s",
            entry.progress_write_s,
            &mut core.progress_write,
            Range::new(0.05, 60.0),
        ),
    ];
    durations.into_iter().try_for_each(|duration| duration.apply(|field| check.duration(field)))
}
