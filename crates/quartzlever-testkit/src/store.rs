//! The store.

use std::collections::BTreeMap;

use quartzlever_wire::pages::PAGES;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_VERSION_KEY, Change, Event, MACHINE_PREFIX, Row, Rows, StoreCall,
    StoreReply, Txn, TxnAnswer, WatchAnswer,
};
use quartzlever_wire::{CallError, Json, Micros};

/// A consistent store with leases and a log of changes.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, (Json, u64, Option<u64>)>,
    /// Life and end of each lease.
    leases: BTreeMap<u64, (Micros, Micros)>,
    granted: u64,
    log: Vec<Event>,
    /// The largest value, the most changes of a transaction, and the changes a second; none if 0.
    pub value_limit: usize,
    pub ops_limit: usize,
    pub write_rate: f64,
    changes_left: f64,
    counted: Micros,
    /// Transactions refused for their size, and for coming too often.
    pub too_large: usize,
    pub too_often: usize,
    /// The most keys in one page of a listing, and the changes that watches may still ask for; any
    /// number if 0.
    pub page_limit: usize,
    pub log_limit: usize,
    /// Watches that began further back.
    pub too_old: usize,
    /// During an outage every call is refused and no lease ends.
    pub outage: bool,
    /// Watches on loopback bring nothing while this is set.
    pub watches_held: bool,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        self.keys.get(key).map(|(v, mod_revision, _)| (v, *mod_revision))
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// The count of all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A key, or a value, in a form that controllers of the first version do not know.
    pub fn key_unknown_to_first_version(&self) -> Option<&str> {
        let has = |value: &Json, word: &str| value.text().contains(word);
        let unknown = |(key, (value, _, _)): &(&String, &(Json, u64, Option<u64>))| {
            key.as_str() == CLUSTER_VERSION_KEY
                || (key.starts_with(MACHINE_PREFIX) && key.matches('~').count() > 1)
                || key.starts_with(PAGES)
                || (key.starts_with(ACTIVE_JOB_PREFIX)
                    && ["daemon", "paged"].iter().any(|f| has(value, f)))
        };
        self.keys.iter().find(unknown).map(|(key, _)| key.as_str())
    }

    /// Forgets everything: keys, leases, and how many changes there were.
    pub fn wipe(&mut self) {
        let Store { value_limit, ops_limit, write_rate, page_limit, log_limit, .. } = *self;
        *self =
            Store { value_limit, ops_limit, write_rate, page_limit, log_limit, ..Store::default() };
    }

    /// Loses keys, without any change that a watch could tell of.
    pub fn lose(&mut self, mut is_lost: impl FnMut(&str) -> bool) {
        self.keys.retain(|key, _| !is_lost(key));
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
            self.revision += 1;
            for key in keys {
                self.keys.remove(&key);
                self.log.push(Event::Delete { delete: key, mod_revision: self.revision });
            }
        }
    }

    /// Whether a change after this revision is in the log no more.
    fn forgets_since(&self, from: u64) -> bool {
        let forgotten = self.log.len().saturating_sub(self.log_limit);
        self.log_limit > 0
            && self.log[..forgotten].last().is_some_and(|e| mod_revision_of(e) > from)
    }

    fn takes_too_much(&self, txn: &Txn) -> bool {
        let long = |c: &Change| match c {
            Change::Write { v, .. } => v.text().len() > self.value_limit,
            Change::Delete { .. } => false,
        };
        (self.ops_limit > 0 && txn.changes.len() > self.ops_limit)
            || txn.conditions.len() > 4 * self.ops_limit.max(24)
            || (self.value_limit > 0 && txn.changes.iter().any(long))
    }

    /// Counts changes against the rate, of which a second's worth may come at once.
    fn in_rate(&mut self, now: Micros, changes: usize) -> bool {
        if self.write_rate <= 0.0 {
            return true;
        }
        let passed = now.saturating_sub(self.counted) as f64 / 1e6;
        self.counted = now;
        self.changes_left =
            (self.changes_left + passed * self.write_rate).min(self.write_rate) - changes as f64;
        let allowed = self.changes_left >= 0.0;
        if !allowed {
            self.changes_left += changes as f64;
        }
        allowed
    }

    /// Carries out one call. A watch answers at once with what there is.
    pub fn call(&mut self, now: Micros, call: &StoreCall) -> Result<StoreReply, CallError> {
        if self.outage {
            return Err(CallError::Refused);
        }
        self.expire(now);
        Ok(match call {
            StoreCall::Revision => StoreReply::Revision(self.revision),
            StoreCall::Get(key) => {
                StoreReply::Row(self.keys.get(key).map(|(v, mod_revision, lease_id)| Row {
                    path: key.clone(),
                    v: v.clone(),
                    mod_revision: *mod_revision,
                    lease_id: *lease_id,
                }))
            }
            StoreCall::List { prefix, from } => {
                let most = if self.page_limit > 0 { self.page_limit } else { usize::MAX };
                let listed = |key: &str| {
                    key.starts_with(prefix) && from.as_ref().is_none_or(|from| key > from.as_str())
                };
                let has_next = self.keys.keys().filter(|k| listed(k)).count() > most;
                let rows = self
                    .keys
                    .iter()
                    .filter(|(k, _)| listed(k))
                    .take(most)
                    .map(|(k, (v, mod_revision, lease_id))| Row {
                        path: k.clone(),
                        v: v.clone(),
                        mod_revision: *mod_revision,
                        lease_id: *lease_id,
                    })
                    .collect();
                StoreReply::Rows(Rows { rows, has_next, revision: self.revision })
            }
            StoreCall::Txn(txn) => {
                if self.takes_too_much(txn) {
                    self.too_large += 1;
                    return Ok(StoreReply::TooLarge);
                }
                if !self.in_rate(now, txn.changes.len()) {
                    self.too_often += 1;
                    return Err(CallError::TooOften);
                }
                let unheld = txn.changes.iter().any(|c| {
                    matches!(c, Change::Write { lease_id: Some(l), .. } if !self.leases.contains_key(l))
                });
                if unheld {
                    return Ok(StoreReply::NoLease);
                }
                let failed: Vec<String> = txn
                    .conditions
                    .iter()
                    .filter(|c| {
                        self.get(&c.path).map_or(0, |(_, mod_revision)| mod_revision)
                            != c.mod_revision
                    })
                    .map(|c| c.path.clone())
                    .collect();
                if !failed.is_empty() {
                    return Ok(StoreReply::Conflict(failed));
                }
                self.revision += 1;
                let mod_revision = self.revision;
                for change in &txn.changes {
                    match change {
                        Change::Write { write, v, lease_id } => {
                            self.keys.insert(write.clone(), (v.clone(), mod_revision, *lease_id));
                            let (write, v) = (write.clone(), v.clone());
                            self.log.push(Event::Write { write, v, mod_revision });
                        }
                        Change::Delete { delete } => {
                            if self.keys.remove(delete).is_some() {
                                self.log
                                    .push(Event::Delete { delete: delete.clone(), mod_revision });
                            }
                        }
                    }
                }
                StoreReply::Committed(mod_revision)
            }
            StoreCall::Grant { life_ms } => {
                self.granted += 1;
                let life = life_ms * 1000;
                self.leases.insert(self.granted, (life, now + life));
                StoreReply::Granted(self.granted)
            }
            StoreCall::Renew { lease } => match self.leases.get_mut(lease) {
                Some((life, end)) => {
                    *end = now + *life;
                    StoreReply::Renewed
                }
                None => StoreReply::NoLease,
            },
            StoreCall::Watch { from, .. } if self.forgets_since(*from) => {
                self.too_old += 1;
                StoreReply::TooOld
            }
            StoreCall::Watch { from, .. } => {
                let log = self.log.iter().filter(|e| mod_revision_of(e) > *from).cloned().collect();
                StoreReply::Watched(WatchAnswer { revision: self.revision, log })
            }
        })
    }

    /// What a transaction's answer looks like on the wire.
    pub(crate) fn txn_answer(&self, failed: Option<Vec<String>>) -> TxnAnswer {
        TxnAnswer { revision: self.revision, failed }
    }
}

fn mod_revision_of(event: &Event) -> u64 {
    match event {
        Event::Write { mod_revision, .. } | Event::Delete { mod_revision, .. } => *mod_revision,
    }
}
