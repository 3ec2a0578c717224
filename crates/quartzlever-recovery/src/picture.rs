//! All records that a controller has seen, complete up to a revision.
//!
//! The picture is plain memory: it takes in updates and never calls the store. Invariant: whatever the order
//! in which updates arrive, and however often, the latest change of each key stands, and all changes up to
//! [`Picture::revision`] are in it.

mod update;

use std::collections::BTreeMap;
use std::ops::Bound;

use quartzlever_wire::Json;
use quartzlever_wire::store::{NODE_VERSION_PREFIX, NodeRecord};
use serde::{Deserialize, Serialize};

pub use update::{KeyChange, Update};

/// A record: its JSON text, and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// JSON text.
    pub value: String,
    /// Revision of the last change, as the generation counts.
    pub mod_revision: u64,
}

/// The records of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Picture {
    revision: u64,
    rows: BTreeMap<String, Record>,
    /// Deletions that were learned before all earlier changes: an earlier write of the same key, which
    /// is told later, is no news.
    early_deletions: BTreeMap<String, u64>,
}

impl Picture {
    /// A picture of these records, which are all there were at this revision.
    pub fn new(revision: u64, rows: BTreeMap<String, Record>) -> Picture {
        Picture { revision, rows, early_deletions: BTreeMap::new() }
    }

    /// All changes up to this revision are in the picture.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The records by key.
    pub fn rows(&self) -> &BTreeMap<String, Record> {
        &self.rows
    }

    /// The record at a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.rows.get(key)
    }

    /// Takes changes in; those that are known already, or older than what is known, change nothing.
    pub fn apply(&mut self, update: Update) {
        for change in update.changes {
            self.apply_change(change);
        }
        if let Some(revision) = update.complete_to {
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

    /// Adds records of the generation before that are not written anew yet, at the modification revision of its end, which
    /// is before every change of this one. What is known already stays.
    pub fn carry_over(
        &mut self,
        records: impl IntoIterator<Item = (String, String)>,
        mod_revision: u64,
    ) {
        for (key, value) in records {
            self.rows.entry(key).or_insert(Record { value, mod_revision });
        }
    }

    /// Inherited records that are not written anew yet, those up to the generation's `base`, at keys after
    /// `after`.
    pub fn carried_over<'a>(
        &'a self,
        base: u64,
        after: &str,
    ) -> impl Iterator<Item = (&'a String, &'a Record)> {
        let bounds = (Bound::Excluded(after.to_owned()), Bound::Unbounded);
        self.rows.range(bounds).filter(move |(_, record)| record.mod_revision <= base)
    }

    /// What is known of changes after a revision. Of the deletions only those that came early are
    /// known; a job's end shows by its final state.
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

    /// The latest modification revision of any change in the picture.
    pub fn newest(&self) -> u64 {
        let latest = self.rows.values().map(|record| record.mod_revision).max().unwrap_or(0);
        let deleted = self.early_deletions.values().copied().max().unwrap_or(0);
        self.revision.max(latest).max(deleted)
    }

    /// The nodes whose processes were up.
    pub(crate) fn nodes_up(&self) -> impl Iterator<Item = &str> {
        let announced = self.rows.iter().filter(|(key, _)| key.starts_with(NODE_VERSION_PREFIX));
        let readable = announced.filter(|(_, record)| is_node_record(&record.value));
        readable.filter_map(|(key, _)| key.strip_prefix(NODE_VERSION_PREFIX))
    }
}

fn is_node_record(text: &str) -> bool {
    Json::from_text(text).is_some_and(|json| json.parse::<NodeRecord>().is_some())
}
