//! The changes that a reply of the store shows.
//!
//! Pure conversions of the store's replies. Both types are written to the log, so their fields may
//! not change without a new format version.

use quartzlever_wire::store::{Change, Event, KeyValue, StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

/// A write or deletion of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key of the record.
    pub key: String,
    /// Revision of the change.
    pub mod_revision: u64,
    /// JSON text of the record; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes that a reply of the store has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Changes of single records.
    pub changes: Vec<KeyChange>,
    /// Revision up to which these changes and all that were known before are complete; `None` if
    /// there may be other changes.
    pub complete_up_to: Option<u64>,
}

impl Update {
    /// Returns the changes that the reply to a call shows; `None` if it shows none.
    pub fn from_reply(call: &StoreCall, reply: &StoreReply) -> Option<Update> {
        match (call, reply) {
            (StoreCall::Txn(txn), StoreReply::Committed(mod_revision))
                if !txn.changes.is_empty() =>
            {
                let changes =
                    txn.changes.iter().map(|change| change_made(change, *mod_revision)).collect();
                Some(Update { changes, complete_up_to: None })
            }
            (StoreCall::Watch { .. }, StoreReply::Watched(answer)) => {
                let changes = answer.log.iter().map(change_watched).collect();
                Some(Update { changes, complete_up_to: Some(answer.revision) })
            }
            (StoreCall::Get(_), StoreReply::Read(entry)) => {
                Some(Update { changes: vec![change_read(entry)], complete_up_to: None })
            }
            _ => None,
        }
    }
}

fn change_made(change: &Change, mod_revision: u64) -> KeyChange {
    match change {
        Change::Write { write, v, .. } => {
            KeyChange { key: write.clone(), mod_revision, value: Some(v.text().to_owned()) }
        }
        Change::Delete { delete } => KeyChange { key: delete.clone(), mod_revision, value: None },
    }
}

fn change_watched(event: &Event) -> KeyChange {
    match event {
        Event::Write { write, v, mod_revision } => KeyChange {
            key: write.clone(),
            mod_revision: *mod_revision,
            value: Some(v.text().to_owned()),
        },
        Event::Delete { delete, mod_revision } => {
            KeyChange { key: delete.clone(), mod_revision: *mod_revision, value: None }
        }
    }
}

fn change_read(entry: &KeyValue) -> KeyChange {
    KeyChange {
        key: entry.key.clone(),
        mod_revision: entry.mod_revision,
        value: Some(entry.value.text().to_owned()),
    }
}
