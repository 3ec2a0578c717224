//! Translation between the keys and revisions of a generation and those of the store.
//!
//! The rest of the program sees one line of revisions that never goes back, and its own keys only. In the
//! store each generation's keys have a prefix of their own, and its revisions count from wherever the store
//! began again. This is the only module that translates; it keeps no state and makes no call.
//!
//! Invariant: no condition of an earlier generation can hold in a later one, since every transaction has the
//! identity's key at its modification revision as one more condition and a modification revision from before the generation matches nothing.

use quartzlever_wire::store::{
    Change, Condition, Event, KeyValue, ListPage, StoreCall, StoreReply, Txn, WatchAnswer,
};

use crate::identity::{IDENTITY_KEY, Identity, RECOVERY_PREFIX, Stamped};

/// Prefix of the namespaces of all generations but the first.
pub(crate) const GENERATION_PREFIX: &str = "generation/";

/// A modification revision that no key ever has: what a condition on a record of an earlier line becomes.
const UNMATCHED_REVISION: u64 = u64::MAX >> 2;

/// The generation that a process works with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Namespace, base and number of the generation.
    pub identity: Identity,
    /// Stamp of the identity's key in the store.
    pub mod_revision: u64,
}

impl Generation {
    /// The generation that an identity in the store describes.
    pub fn new(identity: Stamped<Identity>) -> Generation {
        Generation { identity: identity.value, mod_revision: identity.mod_revision }
    }

    fn key_in_store(&self, key: &str) -> String {
        format!("{}{key}", self.identity.namespace)
    }

    /// The generation's own key, unless the store's key belongs to something else.
    fn own_key(&self, key: &str) -> Option<String> {
        let own = key.strip_prefix(self.identity.namespace.as_str())?;
        let others = own.starts_with(RECOVERY_PREFIX) || own.starts_with(GENERATION_PREFIX);
        (!others).then(|| own.to_owned())
    }

    fn stamp_in_store(&self, mod_revision: u64) -> u64 {
        match mod_revision {
            0 => 0,
            mod_revision if mod_revision > self.identity.base => mod_revision - self.identity.base,
            _ => UNMATCHED_REVISION,
        }
    }

    /// A modification revision or revision of the store, as the generation counts.
    pub fn revision(&self, in_store: u64) -> u64 {
        in_store + self.identity.base
    }

    /// The call in the store's keys and revisions.
    pub fn to_store(&self, call: &StoreCall) -> StoreCall {
        match call {
            // A listing tells the revision too, and which generation it belongs to.
            StoreCall::Revision => StoreCall::List { prefix: IDENTITY_KEY.into(), from: None },
            StoreCall::Get(key) => StoreCall::Get(self.key_in_store(key)),
            StoreCall::List { prefix, from } => StoreCall::List {
                prefix: self.key_in_store(prefix),
                from: from.as_deref().map(|key| self.key_in_store(key)),
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
            path: self.key_in_store(&c.path),
            mod_revision: self.stamp_in_store(c.mod_revision),
        };
        let change = |change: &Change| match change {
            Change::Write { write, v, lease_id } => {
                Change::Write { write: self.key_in_store(write), v: v.clone(), lease_id: *lease_id }
            }
            Change::Delete { delete } => Change::Delete { delete: self.key_in_store(delete) },
        };
        let mut conditions: Vec<Condition> = txn.conditions.iter().map(condition).collect();
        conditions.push(Condition { path: IDENTITY_KEY.into(), mod_revision: self.mod_revision });
        Txn { conditions, changes: txn.changes.iter().map(change).collect() }
    }

    /// The store's answer in the generation's keys and revisions, without keys of other owners.
    pub(crate) fn reply_from_store(&self, reply: StoreReply) -> StoreReply {
        match reply {
            StoreReply::Revision(revision) => StoreReply::Revision(self.revision(revision)),
            StoreReply::Read(entry) => {
                StoreReply::Read(entry.and_then(|entry| self.own_entry(entry)))
            }
            StoreReply::Listed(page) => StoreReply::Listed(ListPage {
                entries: page
                    .entries
                    .into_iter()
                    .filter_map(|entry| self.own_entry(entry))
                    .collect(),
                has_next: page.has_next,
                revision: self.revision(page.revision),
            }),
            StoreReply::Committed(revision) => StoreReply::Committed(self.revision(revision)),
            StoreReply::Conflict(keys) => {
                StoreReply::Conflict(keys.iter().filter_map(|key| self.own_key(key)).collect())
            }
            StoreReply::Watched(answer) => StoreReply::Watched(WatchAnswer {
                revision: self.revision(answer.revision),
                log: answer.log.into_iter().filter_map(|event| self.own_event(event)).collect(),
            }),
            other => other,
        }
    }

    fn own_entry(&self, entry: KeyValue) -> Option<KeyValue> {
        let key = self.own_key(&entry.key)?;
        Some(KeyValue { key, mod_revision: self.revision(entry.mod_revision), ..entry })
    }

    fn own_event(&self, event: Event) -> Option<Event> {
        match event {
            Event::Write { write, v, mod_revision } => Some(Event::Write {
                write: self.own_key(&write)?,
                v,
                mod_revision: self.revision(mod_revision),
            }),
            Event::Delete { delete, mod_revision } => Some(Event::Delete {
                delete: self.own_key(&delete)?,
                mod_revision: self.revision(mod_revision),
            }),
        }
    }
}
