//! Which records a rebuild writes: those of a controller's picture, and what the store still holds.
//!
//! Pure functions of the two. Invariant: a final state always stands before a live record of its job, and of
//! two records of one key the later one stands where their revisions can be compared.

use std::collections::BTreeMap;

use quartzlever_wire::Json;
use quartzlever_wire::fields::Fields;
use quartzlever_wire::pages::{PAGE_PREFIX, page_of_key};
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, Change, MACHINE_PREFIX, MACHINES_SEEN_PREFIX, NODE_VERSION_PREFIX,
    PARTITION_PREFIX, TERMINAL_JOB_PREFIX, machine_records_in,
};

use crate::picture::{Picture, Record};

/// What the store still holds of the generation that was given up, as that generation counts.
#[derive(Clone, Debug, Default)]
pub struct Survivors {
    /// The records by the generation's own keys.
    pub rows: BTreeMap<String, Record>,
    /// The store's revisions never went back, so that its records and those of the picture can be
    /// compared by their modification revisions.
    pub same_lineage: bool,
}

/// What becomes of the records, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that are neither done nor cancelled.
    active_jobs: usize,
    /// Jobs that are done or cancelled.
    ended_jobs: usize,
    /// Machines that will be asked what they run, and adopted, or returned if they stay silent.
    machines: usize,
    /// Records of the picture that the store lacks.
    restored: usize,
    /// Records that only the store has.
    only_in_store: usize,
    /// Records of the store that are left out, since a later state is known.
    superseded: usize,
}

/// The records of the next generation, by the generation's own keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// JSON texts by key.
    pub records: BTreeMap<String, String>,
    /// What becomes of the records.
    pub summary: Summary,
}

/// Whether a record belongs to a process that was up and is acquired anew.
fn is_bound_to_lease(key: &str) -> bool {
    [PARTITION_PREFIX, MACHINES_SEEN_PREFIX, NODE_VERSION_PREFIX]
        .iter()
        .any(|prefix| key.starts_with(prefix))
}

/// The record of a key that stands: of two the later one where their revisions can be compared, and else
/// that of the picture.
fn standing_record<'a>(
    key: &str,
    picture: &'a Picture,
    survivors: &'a Survivors,
) -> Option<&'a Record> {
    let (known, found) = (picture.get(key), survivors.rows.get(key));
    match (known, found) {
        (Some(known), Some(found))
            if survivors.same_lineage && found.mod_revision > known.mod_revision =>
        {
            Some(found)
        }
        (Some(known), _) => Some(known),
        // It came back, with a backup: the picture has seen its deletion.
        (None, Some(found))
            if survivors.same_lineage && found.mod_revision <= picture.revision() =>
        {
            key.starts_with(TERMINAL_JOB_PREFIX).then_some(found)
        }
        (None, found) => found,
    }
}

/// Whether `records` show the job of a live record as over, or the job of a page as over or unknown.
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

/// Determines the records of the next generation.
pub fn plan(picture: &Picture, survivors: &Survivors) -> Plan {
    let keys = picture.rows().keys().chain(survivors.rows.keys());
    let mut records: BTreeMap<String, String> = BTreeMap::new();
    for key in keys.filter(|key| !is_bound_to_lease(key)) {
        if let Some(record) = standing_record(key, picture, survivors) {
            records.insert(key.clone(), record.value.clone());
        }
    }
    let obsolete: Vec<String> =
        records.keys().filter(|key| is_obsolete(key, &records)).cloned().collect();
    for key in &obsolete {
        records.remove(key);
    }
    let summary = summarise(&records, picture, survivors);
    Plan { records, summary }
}

fn summarise(
    records: &BTreeMap<String, String>,
    picture: &Picture,
    survivors: &Survivors,
) -> Summary {
    let count = |prefix: &str| records.keys().filter(|key| key.starts_with(prefix)).count();
    let machines =
        records.iter().filter(|(key, _)| key.starts_with(MACHINE_PREFIX)).map(|(key, value)| {
            let records = Json::from_text(value).and_then(|json| machine_records_in(key, &json));
            records.map_or(0, |records| records.len())
        });
    let store = survivors.rows.iter().filter(|(key, _)| !is_bound_to_lease(key));
    Summary {
        active_jobs: count(ACTIVE_JOB_PREFIX),
        ended_jobs: count(TERMINAL_JOB_PREFIX),
        machines: machines.sum(),
        restored: records.keys().filter(|key| !survivors.rows.contains_key(*key)).count(),
        only_in_store: records.keys().filter(|key| picture.get(key).is_none()).count(),
        superseded: store.filter(|(key, r)| records.get(*key) != Some(&r.value)).count(),
    }
}

impl Plan {
    /// The changes that make the store's records those of the plan, by the generation's own keys: only what
    /// differs where the generation keeps its namespace, and else all but the final states up to `known_to`,
    /// the revision up to which every candidate knows all changes; those are written later.
    pub fn changes(&self, survivors: &Survivors, picture: &Picture, known_to: u64) -> Vec<Change> {
        let is_known =
            |key: &str| picture.get(key).is_some_and(|record| record.mod_revision <= known_to);
        let is_inherited = |key: &str| {
            !survivors.same_lineage && key.starts_with(TERMINAL_JOB_PREFIX) && is_known(key)
        };
        let kept = |key: &str| survivors.rows.get(key).filter(|_| survivors.same_lineage);
        let mut changes = Vec::new();
        for (key, value) in &self.records {
            if is_inherited(key) || kept(key).is_some_and(|record| record.value == *value) {
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
    /// Adds the counts to the fields of an event.
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
