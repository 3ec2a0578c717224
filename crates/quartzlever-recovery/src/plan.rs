//! Which records a rebuild writes: those of a controller's picture, and what the store still holds.

use std::collections::BTreeMap;

use quartzlever_wire::Json;
use quartzlever_wire::pages::{PAGES, page_of_key};
use quartzlever_wire::state::{CLUSTER_NODES, Change, HEARD, HOSTS, LIVE, OVER, PARTS, hosts_in};

use crate::picture::{Picture, Record};

/// What the store still holds of the generation that was given up, as that generation counts.
#[derive(Clone, Debug, Default)]
pub struct Survivors {
    pub rows: BTreeMap<String, Record>,
    /// The store's revisions never went back, so that its records and those of the picture can be
    /// compared by their stamps.
    pub same_line: bool,
}

/// What becomes of the records, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that are neither done nor cancelled, and those that are.
    pub live_jobs: usize,
    pub ended_jobs: usize,
    /// Machines that will be asked what they run, and adopted, or returned if they stay silent.
    pub machines: usize,
    /// Records of the picture that the store lacks, and records that only the store has.
    pub restored: usize,
    pub only_in_store: usize,
    /// Records of the store that are left out, since a later state is known.
    pub superseded: usize,
}

/// The records of the next generation, by the generation's own keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub records: BTreeMap<String, String>,
    pub summary: Summary,
}

/// Whether a record belongs to a process that was up and is acquired anew.
fn is_on_a_lease(key: &str) -> bool {
    [PARTS, HEARD, CLUSTER_NODES].iter().any(|prefix| key.starts_with(prefix))
}

/// The record of a key that both know, or one of them.
fn choose<'a>(key: &str, picture: &'a Picture, survivors: &'a Survivors) -> Option<&'a Record> {
    let (known, found) = (picture.get(key), survivors.rows.get(key));
    match (known, found) {
        (Some(known), Some(found)) if survivors.same_line && found.stamp > known.stamp => {
            Some(found)
        }
        (Some(known), _) => Some(known),
        // It came back, with a backup: the picture has seen its deletion.
        (None, Some(found)) if survivors.same_line && found.stamp <= picture.revision() => {
            key.starts_with(OVER).then_some(found)
        }
        (None, found) => found,
    }
}

/// Whether the job that a record belongs to is over, or not known, according to `records`.
fn is_left_behind(key: &str, records: &BTreeMap<String, String>) -> bool {
    if let Some(job) = key.strip_prefix(LIVE) {
        return records.contains_key(&format!("{OVER}{job}"));
    }
    let Some((job, _)) = page_of_key(key).filter(|_| key.starts_with(PAGES)) else { return false };
    let is_over = records.contains_key(&format!("{OVER}{job}"));
    is_over || !records.contains_key(&format!("{LIVE}{job}"))
}

/// The records of the next generation.
pub fn plan(picture: &Picture, survivors: &Survivors) -> Plan {
    let keys = picture.rows().keys().chain(survivors.rows.keys());
    let mut records: BTreeMap<String, String> = BTreeMap::new();
    for key in keys.filter(|key| !is_on_a_lease(key)) {
        if let Some(record) = choose(key, picture, survivors) {
            records.insert(key.clone(), record.value.clone());
        }
    }
    let left_behind: Vec<String> =
        records.keys().filter(|key| is_left_behind(key, &records)).cloned().collect();
    for key in &left_behind {
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
    let machines = records.iter().filter(|(key, _)| key.starts_with(HOSTS)).map(|(key, value)| {
        let hosts = Json::from_text(value).and_then(|json| hosts_in(key, &json));
        hosts.map_or(0, |hosts| hosts.len())
    });
    let store = survivors.rows.iter().filter(|(key, _)| !is_on_a_lease(key));
    Summary {
        live_jobs: count(LIVE),
        ended_jobs: count(OVER),
        machines: machines.sum(),
        restored: records.keys().filter(|key| !survivors.rows.contains_key(*key)).count(),
        only_in_store: records.keys().filter(|key| picture.get(key).is_none()).count(),
        superseded: store.filter(|(key, r)| records.get(*key) != Some(&r.value)).count(),
    }
}

impl Plan {
    /// The changes that make the store's records those of the plan, by the generation's own keys:
    /// only what differs where the generation keeps its namespace, and else all but the final states up to
    /// the revision that every candidate knows, which are written later.
    pub fn changes(&self, survivors: &Survivors, picture: &Picture, known_to: u64) -> Vec<Change> {
        let is_known = |key: &str| picture.get(key).is_some_and(|record| record.stamp <= known_to);
        let is_inherited =
            |key: &str| !survivors.same_line && key.starts_with(OVER) && is_known(key);
        let kept = |key: &str| survivors.rows.get(key).filter(|_| survivors.same_line);
        let mut changes = Vec::new();
        for (key, value) in &self.records {
            if is_inherited(key) || kept(key).is_some_and(|record| record.value == *value) {
                continue;
            }
            if let Some(v) = Json::from_text(value) {
                changes.push(Change::Write { write: key.clone(), v, charter: None });
            }
        }
        let superseded = survivors.rows.keys().filter(|_| survivors.same_line);
        for key in superseded.filter(|key| !self.records.contains_key(*key)) {
            changes.push(Change::Delete { delete: key.clone() });
        }
        changes
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Summary { live_jobs, ended_jobs, machines, restored, only_in_store, superseded } = self;
        write!(
            out,
            "{live_jobs} jobs held until their machines are proven, {ended_jobs} ended, \
             {machines} machines to adopt or return, {restored} records restored, \
             {only_in_store} known to the store alone, {superseded} superseded"
        )
    }
}
