//! The changes that an answer of the store shows.
//!
//! Pure conversions from the wire's answers; both types are written to the log, so their fields may not
//! change without a new format version.

use quartzlever_wire::store::{Change, Event, KeyValue, StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

/// A change of one key; without a value it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key of the record.
    pub key: String,
    /// Revision of the change.
    pub mod_revision: u64,
    /// JSON text of the record; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes that an answer of the store has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Changes of single keys.
    pub changes: Vec<KeyChange>,
    /// Together with what was known before, these are all changes up to this revision.
    pub complete_to: Option<u64>,
}

impl Update {
    /// What an answer to a call shows; nothing if it shows no change.
    pub fn shown_by(call: &StoreCall, reply: &StoreReply) -> Option<Update> {
        match (call, reply) {
            (StoreCall::Txn(txn), StoreReply::Committed(mod_revision))
                if !txn.changes.is_empty() =>
            {
                let changes =
                    txn.changes.iter().map(|change| change_made(change, *mod_revision)).collect();
                Some(Update { changes, complete_to: None })
            }
            (StoreCall::Watch { .. }, StoreReply::Watched(answer)) => {
                let changes = answer.log.iter().map(change_watched).collect();
                Some(Update { changes, complete_to: Some(answer.revision) })
            }
            (StoreCall::Get(_), StoreReply::Read(Some(entry))) => {
                Some(Update { changes: vec![change_read(entry)], complete_to: None })
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
