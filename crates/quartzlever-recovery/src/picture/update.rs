//! The changes that an answer of the state service shows.
//!
//! Pure conversions from the wire's answers; both types are written to the log, so their fields may not
//! change without a new format version.

use quartzlever_wire::state::{Change, Event, Row, StateCall, StateReply};
use serde::{Deserialize, Serialize};

/// A change of one key; without a value it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key of the record.
    pub key: String,
    /// Revision of the change.
    pub stamp: u64,
    /// JSON text of the record; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes that an answer of the state service has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Changes of single keys.
    pub changes: Vec<KeyChange>,
    /// Together with what was known before, these are all changes up to this revision.
    pub complete_to: Option<u64>,
}

impl Update {
    /// What an answer to a call shows; nothing if it shows no change.
    pub fn shown_by(call: &StateCall, reply: &StateReply) -> Option<Update> {
        match (call, reply) {
            (StateCall::Txn(txn), StateReply::Committed(stamp)) if !txn.changes.is_empty() => {
                let changes =
                    txn.changes.iter().map(|change| change_made(change, *stamp)).collect();
                Some(Update { changes, complete_to: None })
            }
            (StateCall::Watch { .. }, StateReply::Watched(answer)) => {
                let changes = answer.log.iter().map(change_watched).collect();
                Some(Update { changes, complete_to: Some(answer.epoch) })
            }
            (StateCall::Get(_), StateReply::Row(Some(row))) => {
                Some(Update { changes: vec![change_read(row)], complete_to: None })
            }
            _ => None,
        }
    }
}

fn change_made(change: &Change, stamp: u64) -> KeyChange {
    match change {
        Change::Write { write, v, .. } => {
            KeyChange { key: write.clone(), stamp, value: Some(v.text().to_owned()) }
        }
        Change::Delete { delete } => KeyChange { key: delete.clone(), stamp, value: None },
    }
}

fn change_watched(event: &Event) -> KeyChange {
    match event {
        Event::Write { write, v, stamp } => {
            KeyChange { key: write.clone(), stamp: *stamp, value: Some(v.text().to_owned()) }
        }
        Event::Delete { delete, stamp } => {
            KeyChange { key: delete.clone(), stamp: *stamp, value: None }
        }
    }
}

fn change_read(row: &Row) -> KeyChange {
    KeyChange { key: row.path.clone(), stamp: row.stamp, value: Some(row.v.text().to_owned()) }
}
