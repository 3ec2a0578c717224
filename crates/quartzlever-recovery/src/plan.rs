//! The records that a rebuild writes, which come from the records that the controller knows and
//! from those that the store still has.
//!
//! Pure functions. Invariant: a final state takes precedence over the record of its job as active,
//! and of two records of a key the later one takes precedence if their revisions can be compared.

use std::collections::BTreeMap;

use quartzlever_wire::Json;
use quartzlever_wire::fields::Fields;
use quartzlever_wire::pages::{PAGE_PREFIX, page_of_key};
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, Change, MACHINE_GROUP_PREFIX, MACHINES_SEEN_PREFIX, NODE_PREFIX,
    PARTITION_PREFIX, TERMINAL_JOB_PREFIX, machine_records_in,
};

use crate::records::{Record, RecordSet};

/// The records that the store still has of the generation that was given up, with revisions of that
/// generation.
#[derive(Clone, Debug, Default)]
pub struct SurvivingRecords {
    /// The records by the generation's own keys.
    pub rows: BTreeMap<String, Record>,
    /// Whether the store's revisions continue those that were known, so that its records and the
    /// known ones can be compared by their modification revisions.
    pub same_lineage: bool,
}

/// Counts of the records by what a rebuild does with them, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of jobs that are neither done nor cancelled.
    active_jobs: usize,
    /// Number of jobs that are done or cancelled.
    ended_jobs: usize,
    /// Number of machines. Each will be asked for its tasks: it is kept with them if it replies,
    /// and is terminated if it does not.
    machines: usize,
    /// Number of planned records that the store lacks.
    restored: usize,
    /// Number of planned records that only the store has.
    only_in_store: usize,
    /// Number of records of the store that the plan replaces or leaves out, since a later state is
    /// known.
    superseded: usize,
}

/// The records of the next generation, by the generation's own keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// JSON texts by key.
    pub records: BTreeMap<String, String>,
    /// Counts of the records.
    pub summary: Summary,
}

/// Reports whether records at this key are attached to the lease of a process. A rebuild leaves
/// them out, since processes write them again.
fn is_attached_to_lease(key: &str) -> bool {
    [PARTITION_PREFIX, MACHINES_SEEN_PREFIX, NODE_PREFIX]
        .iter()
        .any(|prefix| key.starts_with(prefix))
}

/// Returns the record of a key that takes precedence. Of two records this is the later one if their
/// revisions can be compared, and the known one otherwise.
fn preferred_record<'a>(
    key: &str,
    known: &'a RecordSet,
    survivors: &'a SurvivingRecords,
) -> Option<&'a Record> {
    match (known.get(key), survivors.rows.get(key)) {
        (Some(record), Some(found))
            if survivors.same_lineage && found.mod_revision > record.mod_revision =>
        {
            Some(found)
        }
        (Some(record), _) => Some(record),
        // The known records include its deletion, so a backup has restored this record. Only final
        // states are valid then, since they are never deleted.
        (None, Some(found)) if survivors.same_lineage && found.mod_revision <= known.revision() => {
            key.starts_with(TERMINAL_JOB_PREFIX).then_some(found)
        }
        (None, found) => found,
    }
}

/// Reports whether a record is superseded by `records`: the record of an active job or a page if
/// the job has a final state, and a page also if its job has no record.
fn is_obsolete(key: &str, records: &BTreeMap<String, String>) -> bool {
    if let Some(job) = key.strip_prefix(ACTIVE_JOB_PREFIX) {
        return records.contains_key(&format!("{TERMINAL_JOB_PREFIX}{job}"));
    }
    let Some((job, _)) = page_of_key(key).filter(|_| key.starts_with(PAGE_PREFIX)) else {
        return false;
    };
    let is_terminal = records.contains_key(&format!("{TERMINAL_JOB_PREFIX}{job}"));
    is_terminal || !records.contains_key(&format!("{ACTIVE_JOB_PREFIX}{job}"))
}

/// Determines the records of the next generation from the known and the surviving ones.
pub fn plan(known: &RecordSet, survivors: &SurvivingRecords) -> Plan {
    let keys = known.rows().keys().chain(survivors.rows.keys());
    let mut records: BTreeMap<String, String> = BTreeMap::new();
    for key in keys.filter(|key| !is_attached_to_lease(key)) {
        if let Some(record) = preferred_record(key, known, survivors) {
            records.insert(key.clone(), record.value.clone());
        }
    }
    let obsolete: Vec<String> =
        records.keys().filter(|key| is_obsolete(key, &records)).cloned().collect();
    for key in &obsolete {
        records.remove(key);
    }
    let summary = summarise(&records, known, survivors);
    Plan { records, summary }
}

fn summarise(
    records: &BTreeMap<String, String>,
    known: &RecordSet,
    survivors: &SurvivingRecords,
) -> Summary {
    let count = |prefix: &str| records.keys().filter(|key| key.starts_with(prefix)).count();
    let machines = records.iter().filter(|(key, _)| key.starts_with(MACHINE_GROUP_PREFIX)).map(
        |(key, value)| {
            let records = Json::from_text(value).and_then(|json| machine_records_in(key, &json));
            records.map_or(0, |records| records.len())
        },
    );
    let store = survivors.rows.iter().filter(|(key, _)| !is_attached_to_lease(key));
    Summary {
        active_jobs: count(ACTIVE_JOB_PREFIX),
        ended_jobs: count(TERMINAL_JOB_PREFIX),
        machines: machines.sum(),
        restored: records.keys().filter(|key| !survivors.rows.contains_key(*key)).count(),
        only_in_store: records.keys().filter(|key| known.get(key).is_none()).count(),
        superseded: store.filter(|(key, r)| records.get(*key) != Some(&r.value)).count(),
    }
}

impl Plan {
    /// Returns the changes that turn the store's records into the planned ones, by the generation's
    /// own keys. If the generation keeps its namespace, these are the differences. Otherwise they
    /// write all planned records except the final states up to `known_up_to`, the revision up to
    /// which every candidate knows all changes; these are carried over and written after the
    /// rebuild.
    pub fn changes(
        &self,
        survivors: &SurvivingRecords,
        known: &RecordSet,
        known_up_to: u64,
    ) -> Vec<Change> {
        let is_known_by_all =
            |key: &str| known.get(key).is_some_and(|record| record.mod_revision <= known_up_to);
        let is_carried_over = |key: &str| {
            !survivors.same_lineage && key.starts_with(TERMINAL_JOB_PREFIX) && is_known_by_all(key)
        };
        let kept = |key: &str| survivors.rows.get(key).filter(|_| survivors.same_lineage);
        let mut changes = Vec::new();
        for (key, value) in &self.records {
            if is_carried_over(key) || kept(key).is_some_and(|record| record.value == *value) {
                continue;
            }
            if let Some(v) = Json::from_text(value) {
                changes.push(Change::Write { write: key.clone(), v, lease_id: None });
            }
        }
        let superseded = survivors.rows.keys().filter(|_| survivors.same_lineage);
        for key in superseded.filter(|key| !self.records.contains_key(*key)) {
            changes.push(Change::Delete { delete: key.clone() });
        }
        changes
    }
}

impl Summary {
    /// Adds the counts to the fields of a log event.
    pub(crate) fn add_to<'a, 'b>(&self, fields: Fields<'a, 'b>) -> Fields<'a, 'b> {
        fields
            .field("active_jobs", self.active_jobs)
            .field("ended_jobs", self.ended_jobs)
            .field("machines", self.machines)
            .field("restored", self.restored)
            .field("only_in_store", self.only_in_store)
            .field("superseded", self.superseded)
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Summary { active_jobs, ended_jobs, machines, restored, only_in_store, superseded } =
            self;
        write!(
            out,
            "{active_jobs} jobs held until their machines are proven, {ended_jobs} ended, \
             {machines} machines to adopt or return, {restored} records restored, \
             {only_in_store} known to the store alone, {superseded} superseded"
        )
    }
}
