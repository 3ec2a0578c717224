//! The state service.

use std::collections::BTreeMap;

use quartzlever_wire::state::{
    Change, Event, Row, Rows, StateCall, StateReply, TxnAnswer, WatchAnswer,
};
use quartzlever_wire::{CallError, Json, Micros};

/// A consistent store with leases and a log of changes.
#[derive(Debug, Default)]
pub struct Store {
    epoch: u64,
    keys: BTreeMap<String, (Json, u64, Option<u64>)>,
    /// Life and end of each lease.
    leases: BTreeMap<u64, (Micros, Micros)>,
    granted: u64,
    log: Vec<Event>,
    /// During an outage every call is refused and no lease ends.
    pub outage: bool,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        self.keys.get(key).map(|(v, stamp, _)| (v, *stamp))
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Ends an outage: all leases get their full time again.
    pub fn end_outage(&mut self, now: Micros) {
        self.outage = false;
        for (life, end) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    fn expire(&mut self, now: Micros) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, held))| *held == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            if keys.is_empty() {
                continue;
            }
            self.epoch += 1;
            for key in keys {
                self.keys.remove(&key);
                self.log.push(Event::Delete { delete: key, stamp: self.epoch });
            }
        }
    }

    /// Carries out one call. A watch answers at once with what there is.
    pub fn call(&mut self, now: Micros, call: &StateCall) -> Result<StateReply, CallError> {
        if self.outage {
            return Err(CallError::Refused);
        }
        self.expire(now);
        Ok(match call {
            StateCall::Revision => StateReply::Revision(self.epoch),
            StateCall::Get(key) => {
                StateReply::Row(self.keys.get(key).map(|(v, stamp, charter)| Row {
                    path: key.clone(),
                    v: v.clone(),
                    stamp: *stamp,
                    charter: *charter,
                }))
            }
            StateCall::List { prefix, from } => {
                let rows = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && from.as_ref().is_none_or(|f| *k > f))
                    .map(|(k, (v, stamp, charter))| Row {
                        path: k.clone(),
                        v: v.clone(),
                        stamp: *stamp,
                        charter: *charter,
                    })
                    .collect();
                StateReply::Rows(Rows { rows, has_next: false, epoch: self.epoch })
            }
            StateCall::Txn(txn) => {
                let unheld = txn.changes.iter().any(|c| {
                    matches!(c, Change::Write { charter: Some(l), .. } if !self.leases.contains_key(l))
                });
                if unheld {
                    return Ok(StateReply::NoLease);
                }
                let failed: Vec<String> = txn
                    .conditions
                    .iter()
                    .filter(|c| self.get(&c.path).map_or(0, |(_, stamp)| stamp) != c.stamp)
                    .map(|c| c.path.clone())
                    .collect();
                if !failed.is_empty() {
                    return Ok(StateReply::Conflict(failed));
                }
                self.epoch += 1;
                let stamp = self.epoch;
                for change in &txn.changes {
                    match change {
                        Change::Write { write, v, charter } => {
                            self.keys.insert(write.clone(), (v.clone(), stamp, *charter));
                            let (write, v) = (write.clone(), v.clone());
                            self.log.push(Event::Write { write, v, stamp });
                        }
                        Change::Delete { delete } => {
                            if self.keys.remove(delete).is_some() {
                                self.log.push(Event::Delete { delete: delete.clone(), stamp });
                            }
                        }
                    }
                }
                StateReply::Committed(stamp)
            }
            StateCall::Grant { life_ms } => {
                self.granted += 1;
                let life = life_ms * 1000;
                self.leases.insert(self.granted, (life, now + life));
                StateReply::Granted(self.granted)
            }
            StateCall::Renew { lease } => match self.leases.get_mut(lease) {
                Some((life, end)) => {
                    *end = now + *life;
                    StateReply::Renewed
                }
                None => StateReply::NoLease,
            },
            StateCall::Watch { from, .. } => {
                let log = self.log.iter().filter(|e| stamp_of(e) > *from).cloned().collect();
                StateReply::Watched(WatchAnswer { epoch: self.epoch, log })
            }
        })
    }

    /// What a transaction's answer looks like on the wire.
    pub(crate) fn txn_answer(&self, failed: Option<Vec<String>>) -> TxnAnswer {
        TxnAnswer { epoch: self.epoch, failed }
    }
}

fn stamp_of(event: &Event) -> u64 {
    match event {
        Event::Write { stamp, .. } | Event::Delete { stamp, .. } => *stamp,
    }
}
