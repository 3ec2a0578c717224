//! The records that a controller knows, complete up to a revision.
//!
//! A [`RecordSet`] is held in memory. Updates are applied to it; it never calls the store.
//! Invariant: in whatever order updates are applied, and however often, the latest change of each
//! key wins, and all changes up to [`RecordSet::revision`] are included.

mod update;

use std::collections::BTreeMap;
use std::ops::Bound;

use quartzlever_wire::Json;
use quartzlever_wire::store::{NODE_PREFIX, NodeRecord};
use serde::{Deserialize, Serialize};

pub use update::{KeyChange, Update};

/// The value of a record, and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// JSON text of the record.
    pub value: String,
    /// Revision of the last change, as a revision of the generation.
    pub mod_revision: u64,
}

/// The records of a generation that a controller knows, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordSet {
    revision: u64,
    rows: BTreeMap<String, Record>,
    /// Revisions of deletions, by key, that were applied before all earlier changes are known. An
    /// earlier write of the same key that arrives later must not restore the record.
    early_deletions: BTreeMap<String, u64>,
}

impl RecordSet {
    /// Creates a set of these records, which must be all that existed at this revision.
    pub fn new(revision: u64, rows: BTreeMap<String, Record>) -> RecordSet {
        RecordSet { revision, rows, early_deletions: BTreeMap::new() }
    }

    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records by key.
    pub fn rows(&self) -> &BTreeMap<String, Record> {
        &self.rows
    }

    /// Returns the record at a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.rows.get(key)
    }

    /// Applies changes. Changes that are already included, or older than the known state of their
    /// key, have no effect.
    pub fn apply(&mut self, update: Update) {
        for change in update.changes {
            self.apply_change(change);
        }
        if let Some(revision) = update.complete_up_to {
            self.revision = self.revision.max(revision);
            let complete = self.revision;
            self.early_deletions.retain(|_, mod_revision| *mod_revision > complete);
        }
    }

    fn apply_change(&mut self, change: KeyChange) {
        let known = self.rows.get(&change.key).map_or(0, |record| record.mod_revision);
        let deleted = self.early_deletions.get(&change.key).copied().unwrap_or(0);
        if change.mod_revision <= self.revision.max(known).max(deleted) {
            return;
        }
        match change.value {
            Some(value) => {
                self.early_deletions.remove(&change.key);
                self.rows.insert(change.key, Record { value, mod_revision: change.mod_revision });
            }
            None => {
                self.rows.remove(&change.key);
                self.early_deletions.insert(change.key, change.mod_revision);
            }
        }
    }

    /// Adds records that are carried over from the previous generation and not written yet, unless
    /// the set has a record at their key. `mod_revision` is the revision at which the previous
    /// generation ended, which is before every change of this one.
    pub fn carry_over(
        &mut self,
        records: impl IntoIterator<Item = (String, String)>,
        mod_revision: u64,
    ) {
        for (key, value) in records {
            self.rows.entry(key).or_insert(Record { value, mod_revision });
        }
    }

    /// Returns the carried-over records that are not written yet, at keys greater than `after`.
    /// These are the records with modification revisions up to the generation's `base`.
    pub fn carried_over<'a>(
        &'a self,
        base: u64,
        after: &str,
    ) -> impl Iterator<Item = (&'a String, &'a Record)> {
        let bounds = (Bound::Excluded(after.to_owned()), Bound::Unbounded);
        self.rows.range(bounds).filter(move |(_, record)| record.mod_revision <= base)
    }

    /// Returns the known changes after a revision. Of the deletions, only those applied before all
    /// earlier changes are included; the end of a job is visible from its final state anyway.
    pub(crate) fn changes_after(&self, revision: u64) -> Vec<KeyChange> {
        let later = self.rows.iter().filter(|(_, record)| record.mod_revision > revision);
        let written = later.map(|(key, record)| KeyChange {
            key: key.clone(),
            mod_revision: record.mod_revision,
            value: Some(record.value.clone()),
        });
        let deletions =
            self.early_deletions.iter().filter(|(_, mod_revision)| **mod_revision > revision);
        let deleted = deletions.map(|(key, mod_revision)| KeyChange {
            key: key.clone(),
            mod_revision: *mod_revision,
            value: None,
        });
        written.chain(deleted).collect()
    }

    /// Returns the latest revision of any change that is included, which may be later than
    /// [`RecordSet::revision`].
    pub fn latest_revision(&self) -> u64 {
        let latest = self.rows.values().map(|record| record.mod_revision).max().unwrap_or(0);
        let deleted = self.early_deletions.values().copied().max().unwrap_or(0);
        self.revision.max(latest).max(deleted)
    }

    /// Returns the names of the nodes that have announced their version, whose processes were up.
    pub(crate) fn nodes_up(&self) -> impl Iterator<Item = &str> {
        let announced = self.rows.iter().filter(|(key, _)| key.starts_with(NODE_PREFIX));
        let readable = announced.filter(|(_, record)| is_node_record(&record.value));
        readable.filter_map(|(key, _)| key.strip_prefix(NODE_PREFIX))
    }
}

fn is_node_record(text: &str) -> bool {
    Json::from_text(text).is_some_and(|json| json.parse::<NodeRecord>().is_some())
}
