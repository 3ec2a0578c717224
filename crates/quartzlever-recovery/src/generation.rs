//! Translation between the keys and revisions of a generation and those of the store.
//!
//! The rest of the program sees revisions that never decrease, and only the keys of its generation.
//! In the store, the generation's keys have a prefix, the namespace, and the revisions restart if
//! the store was replaced by an empty one. A generation whose revisions continue those of the
//! previous one keeps its namespace and base. This is the only module that translates between the
//! two. It keeps no state and makes no calls.
//!
//! Invariant: no transaction of an earlier generation can be committed in a later one. Every
//! transaction has the modification revision of the identity's key as an additional condition, and
//! conditions on modification revisions up to the generation's base never hold.

use quartzlever_wire::store::{
    Change, Condition, Event, KeyValue, ListPage, StoreCall, StoreReply, Txn, WatchAnswer,
};

use crate::identity::{IDENTITY_KEY, Identity, RECOVERY_PREFIX, Versioned};

/// Prefix of all namespaces that are not empty.
pub(crate) const GENERATION_PREFIX: &str = "generation/";

/// A modification revision that no key ever has. In conditions it replaces modification revisions
/// up to the generation's base, so that these never hold.
const UNMATCHED_REVISION: u64 = u64::MAX >> 2;

/// The generation that a process works with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Cluster, number, namespace and revision base of the generation.
    pub identity: Identity,
    /// Modification revision of the identity's key in the store.
    pub mod_revision: u64,
}

impl Generation {
    /// Returns the generation that an identity in the store describes.
    pub fn new(identity: Versioned<Identity>) -> Generation {
        Generation { identity: identity.value, mod_revision: identity.mod_revision }
    }

    fn key_to_store(&self, key: &str) -> String {
        format!("{}{key}", self.identity.namespace)
    }

    /// Returns the generation's key for a key of the store; `None` if that does not belong to the
    /// generation.
    fn key_from_store(&self, key: &str) -> Option<String> {
        let own = key.strip_prefix(self.identity.namespace.as_str())?;
        let is_foreign = own.starts_with(RECOVERY_PREFIX) || own.starts_with(GENERATION_PREFIX);
        (!is_foreign).then(|| own.to_owned())
    }

    fn mod_revision_to_store(&self, mod_revision: u64) -> u64 {
        match mod_revision {
            0 => 0,
            mod_revision if mod_revision > self.identity.base => mod_revision - self.identity.base,
            _ => UNMATCHED_REVISION,
        }
    }

    /// Returns the generation's revision for a revision of the store.
    pub fn revision_from_store(&self, store_revision: u64) -> u64 {
        store_revision + self.identity.base
    }

    /// Translates a call to the store's keys and revisions.
    pub fn to_store(&self, call: &StoreCall) -> StoreCall {
        match call {
            // A listing of the identity's key returns the revision together with the generation
            // that it belongs to.
            StoreCall::Revision => StoreCall::List { prefix: IDENTITY_KEY.into(), from: None },
            StoreCall::Get(key) => StoreCall::Get(self.key_to_store(key)),
            StoreCall::List { prefix, from } => StoreCall::List {
                prefix: self.key_to_store(prefix),
                from: from.as_deref().map(|key| self.key_to_store(key)),
            },
            StoreCall::Txn(txn) => StoreCall::Txn(self.txn_to_store(txn)),
            StoreCall::Watch { from, hold_ms } => StoreCall::Watch {
                from: from.saturating_sub(self.identity.base),
                hold_ms: *hold_ms,
            },
            StoreCall::Grant { .. } | StoreCall::Renew { .. } => call.clone(),
        }
    }

    fn txn_to_store(&self, txn: &Txn) -> Txn {
        let condition = |c: &Condition| Condition {
            path: self.key_to_store(&c.path),
            mod_revision: self.mod_revision_to_store(c.mod_revision),
        };
        let change = |change: &Change| match change {
            Change::Write { write, v, lease_id } => {
                Change::Write { write: self.key_to_store(write), v: v.clone(), lease_id: *lease_id }
            }
            Change::Delete { delete } => Change::Delete { delete: self.key_to_store(delete) },
        };
        let mut conditions: Vec<Condition> = txn.conditions.iter().map(condition).collect();
        conditions.push(Condition { path: IDENTITY_KEY.into(), mod_revision: self.mod_revision });
        Txn { conditions, changes: txn.changes.iter().map(change).collect() }
    }

    /// Translates a reply of the store to the generation's keys and revisions, and removes entries
    /// that do not belong to the generation.
    pub(crate) fn reply_from_store(&self, reply: StoreReply) -> StoreReply {
        match reply {
            StoreReply::Revision(revision) => {
                StoreReply::Revision(self.revision_from_store(revision))
            }
            StoreReply::Read(entry) => {
                let revision = self.revision_from_store(entry.mod_revision);
                // A key outside the generation does not exist for the rest of the program.
                let entry = self.entry_from_store(entry);
                entry.map_or(StoreReply::Absent { revision }, StoreReply::Read)
            }
            StoreReply::Absent { revision } => {
                StoreReply::Absent { revision: self.revision_from_store(revision) }
            }
            StoreReply::Listed(page) => StoreReply::Listed(ListPage {
                entries: page
                    .entries
                    .into_iter()
                    .filter_map(|entry| self.entry_from_store(entry))
                    .collect(),
                has_next: page.has_next,
                revision: self.revision_from_store(page.revision),
            }),
            StoreReply::Committed(revision) => {
                StoreReply::Committed(self.revision_from_store(revision))
            }
            StoreReply::Conflict(keys) => StoreReply::Conflict(
                keys.iter().filter_map(|key| self.key_from_store(key)).collect(),
            ),
            StoreReply::Watched(answer) => StoreReply::Watched(WatchAnswer {
                revision: self.revision_from_store(answer.revision),
                log: answer
                    .log
                    .into_iter()
                    .filter_map(|event| self.event_from_store(event))
                    .collect(),
            }),
            other => other,
        }
    }

    fn entry_from_store(&self, entry: KeyValue) -> Option<KeyValue> {
        let key = self.key_from_store(&entry.key)?;
        Some(KeyValue { key, mod_revision: self.revision_from_store(entry.mod_revision), ..entry })
    }

    fn event_from_store(&self, event: Event) -> Option<Event> {
        match event {
            Event::Write { write, v, mod_revision } => Some(Event::Write {
                write: self.key_from_store(&write)?,
                v,
                mod_revision: self.revision_from_store(mod_revision),
            }),
            Event::Delete { delete, mod_revision } => Some(Event::Delete {
                delete: self.key_from_store(&delete)?,
                mod_revision: self.revision_from_store(mod_revision),
            }),
        }
    }
}

#[cfg(test)]
mod tests;
