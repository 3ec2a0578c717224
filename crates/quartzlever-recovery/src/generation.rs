//! Translation between the keys and revisions of a generation and those of the store.
//!
//! The rest of the program sees one line of revisions that never goes back, and its own keys only. In the
//! store each generation's keys have a prefix of their own, and its revisions count from wherever the store
//! began again. This is the only module that translates; it keeps no state and makes no call.
//!
//! Invariant: no condition of an earlier generation can hold in a later one, since every transaction has the
//! identity's key at its stamp as one more condition and a stamp from before the generation matches nothing.

use quartzlever_wire::state::{
    Change, Condition, Event, Row, Rows, StateCall, StateReply, Txn, WatchAnswer,
};

use crate::identity::{IDENTITY, Identity, RECOVERY, Stamped};

/// Prefix of the namespaces of all generations but the first.
pub(crate) const GENERATIONS: &str = "generation/";

/// A stamp that no key ever has: what a condition on a record of an earlier line becomes.
const UNMATCHED_STAMP: u64 = u64::MAX >> 2;

/// The generation that a process works with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Namespace, base and number of the generation.
    pub identity: Identity,
    /// Stamp of the identity's key in the store.
    pub stamp: u64,
}

impl Generation {
    /// The generation that an identity in the store describes.
    pub fn new(identity: Stamped<Identity>) -> Generation {
        Generation { identity: identity.value, stamp: identity.stamp }
    }

    fn key_in_store(&self, key: &str) -> String {
        format!("{}{key}", self.identity.namespace)
    }

    /// The generation's own key, unless the store's key belongs to something else.
    fn own_key(&self, key: &str) -> Option<String> {
        let own = key.strip_prefix(self.identity.namespace.as_str())?;
        let others = own.starts_with(RECOVERY) || own.starts_with(GENERATIONS);
        (!others).then(|| own.to_owned())
    }

    fn stamp_in_store(&self, stamp: u64) -> u64 {
        match stamp {
            0 => 0,
            stamp if stamp > self.identity.base => stamp - self.identity.base,
            _ => UNMATCHED_STAMP,
        }
    }

    /// A stamp or revision of the store, as the generation counts.
    pub fn revision(&self, in_store: u64) -> u64 {
        in_store + self.identity.base
    }

    /// The call in the store's keys and revisions.
    pub fn to_store(&self, call: &StateCall) -> StateCall {
        match call {
            // A listing tells the revision too, and which generation it belongs to.
            StateCall::Revision => StateCall::List { prefix: IDENTITY.into(), from: None },
            StateCall::Get(key) => StateCall::Get(self.key_in_store(key)),
            StateCall::List { prefix, from } => StateCall::List {
                prefix: self.key_in_store(prefix),
                from: from.as_deref().map(|key| self.key_in_store(key)),
            },
            StateCall::Txn(txn) => StateCall::Txn(self.txn_to_store(txn)),
            StateCall::Watch { from, hold_ms } => StateCall::Watch {
                from: from.saturating_sub(self.identity.base),
                hold_ms: *hold_ms,
            },
            StateCall::Grant { .. } | StateCall::Renew { .. } => call.clone(),
        }
    }

    fn txn_to_store(&self, txn: &Txn) -> Txn {
        let condition = |c: &Condition| Condition {
            path: self.key_in_store(&c.path),
            stamp: self.stamp_in_store(c.stamp),
        };
        let change = |change: &Change| match change {
            Change::Write { write, v, charter } => {
                Change::Write { write: self.key_in_store(write), v: v.clone(), charter: *charter }
            }
            Change::Delete { delete } => Change::Delete { delete: self.key_in_store(delete) },
        };
        let mut conditions: Vec<Condition> = txn.conditions.iter().map(condition).collect();
        conditions.push(Condition { path: IDENTITY.into(), stamp: self.stamp });
        Txn { conditions, changes: txn.changes.iter().map(change).collect() }
    }

    /// The store's answer in the generation's keys and revisions, without keys of other owners.
    pub(crate) fn reply_from_store(&self, reply: StateReply) -> StateReply {
        match reply {
            StateReply::Revision(epoch) => StateReply::Revision(self.revision(epoch)),
            StateReply::Row(row) => StateReply::Row(row.and_then(|row| self.own_row(row))),
            StateReply::Rows(rows) => StateReply::Rows(Rows {
                rows: rows.rows.into_iter().filter_map(|row| self.own_row(row)).collect(),
                has_next: rows.has_next,
                epoch: self.revision(rows.epoch),
            }),
            StateReply::Committed(epoch) => StateReply::Committed(self.revision(epoch)),
            StateReply::Conflict(keys) => {
                StateReply::Conflict(keys.iter().filter_map(|key| self.own_key(key)).collect())
            }
            StateReply::Watched(answer) => StateReply::Watched(WatchAnswer {
                epoch: self.revision(answer.epoch),
                log: answer.log.into_iter().filter_map(|event| self.own_event(event)).collect(),
            }),
            other => other,
        }
    }

    fn own_row(&self, row: Row) -> Option<Row> {
        let path = self.own_key(&row.path)?;
        Some(Row { path, stamp: self.revision(row.stamp), ..row })
    }

    fn own_event(&self, event: Event) -> Option<Event> {
        match event {
            Event::Write { write, v, stamp } => {
                Some(Event::Write { write: self.own_key(&write)?, v, stamp: self.revision(stamp) })
            }
            Event::Delete { delete, stamp } => {
                Some(Event::Delete { delete: self.own_key(&delete)?, stamp: self.revision(stamp) })
            }
        }
    }
}
