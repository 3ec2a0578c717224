//! The fake store: keys, leases, transactions and watches, in memory.

use std::collections::BTreeMap;

use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_VERSION_KEY, Change, Event, KeyValue, ListPage, MACHINE_PREFIX,
    StoreCall, StoreReply, TerminalJobRecord, Txn, TxnAnswer, WatchAnswer,
};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Json, Micros};

/// A key's value as the store keeps it.
#[derive(Clone, Debug)]
struct Stored {
    value: Json,
    mod_revision: u64,
    lease_id: Option<u64>,
}

impl Stored {
    fn entry(&self, key: &str) -> KeyValue {
        let Stored { value, mod_revision, lease_id } = self.clone();
        KeyValue { key: key.to_owned(), value, mod_revision, lease_id }
    }
}

#[derive(Clone, Debug)]
struct Lease {
    life: Micros,
    end: Micros,
}

/// A fake store: consistent, with leases and a log of changes. The caller says what time it is, and
/// sets limits and faults by the public fields.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    granted: u64,
    log: Vec<Event>,
    /// The most bytes of a value; any number if 0.
    pub value_limit: usize,
    /// The most changes of a transaction; any number if 0.
    pub ops_limit: usize,
    /// The most changes a second; any number if 0.
    pub write_rate: f64,
    changes_left: f64,
    counted: Micros,
    /// How many transactions were refused for their size.
    pub too_large: usize,
    /// How many transactions were refused since they came too often.
    pub too_often: usize,
    /// The most keys in one page of a listing; any number if 0.
    pub page_limit: usize,
    /// How many of the latest changes watches may still ask for; any number if 0.
    pub log_limit: usize,
    /// How many watches began before the changes that are still there.
    pub too_old: usize,
    /// During an outage every call is refused and no lease ends.
    pub outage: bool,
    /// Watches on loopback bring nothing while this is set.
    pub watches_held: bool,
}

impl Store {
    /// The value of a key and its modification revision.
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        self.keys.get(key).map(|stored| (&stored.value, stored.mod_revision))
    }

    /// All keys with a prefix, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Whether the key is the record of a job that is done.
    pub fn is_done_job(&self, key: &str) -> bool {
        let record = self.get(key).and_then(|(value, _)| value.parse::<TerminalJobRecord>());
        record.is_some_and(|record| record.phase == JobPhase::Done)
    }

    /// The count of all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A key, or a value, in a form that controllers of the first version do not know.
    pub fn key_unknown_to_first_version(&self) -> Option<&str> {
        let has = |value: &Json, word: &str| value.text().contains(word);
        let unknown = |(key, stored): &(&String, &Stored)| {
            key.as_str() == CLUSTER_VERSION_KEY
                || (key.starts_with(MACHINE_PREFIX) && key.matches('~').count() > 1)
                || key.starts_with(PAGE_PREFIX)
                || (key.starts_with(ACTIVE_JOB_PREFIX)
                    && ["daemon", "paged"].iter().any(|word| has(&stored.value, word)))
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
        for lease in self.leases.values_mut() {
            lease.end = now + lease.life;
        }
    }

    /// Ends the leases whose time is over, and deletes the keys that are attached to them.
    fn expire(&mut self, now: Micros) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.end < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let attached = self.keys.iter().filter(|(_, stored)| stored.lease_id == Some(lease));
            let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
            if keys.is_empty() {
                continue;
            }
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
    }

    /// Whether a change after this revision is in the log no more.
    fn forgets_since(&self, from: u64) -> bool {
        let forgotten = self.log.len().saturating_sub(self.log_limit);
        self.log_limit > 0
            && self.log[..forgotten].last().is_some_and(|e| mod_revision_of(e) > from)
    }

    /// Whether a transaction is beyond the limits of its size.
    fn is_too_large(&self, txn: &Txn) -> bool {
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
                StoreReply::Read(self.keys.get(key).map(|stored| stored.entry(key)))
            }
            StoreCall::List { prefix, from } => self.list(prefix, from.as_deref()),
            StoreCall::Txn(txn) => return self.commit(now, txn),
            StoreCall::Grant { life_ms } => self.grant(now, *life_ms),
            StoreCall::Renew { lease } => self.renew(now, *lease),
            StoreCall::Watch { from, .. } => self.watch(*from),
        })
    }

    /// A page of the keys with a prefix, after the last of the page before.
    fn list(&self, prefix: &str, from: Option<&str>) -> StoreReply {
        let most = if self.page_limit > 0 { self.page_limit } else { usize::MAX };
        let listed = |key: &str| key.starts_with(prefix) && from.is_none_or(|from| key > from);
        let has_next = self.keys.keys().filter(|key| listed(key)).count() > most;
        let page = self.keys.iter().filter(|(key, _)| listed(key)).take(most);
        let rows = page.map(|(key, stored)| stored.entry(key)).collect();
        StoreReply::Listed(ListPage { entries: rows, has_next, revision: self.revision })
    }

    /// Makes all changes of a transaction, or none.
    fn commit(&mut self, now: Micros, txn: &Txn) -> Result<StoreReply, CallError> {
        if self.is_too_large(txn) {
            self.too_large += 1;
            return Ok(StoreReply::TooLarge);
        }
        if !self.in_rate(now, txn.changes.len()) {
            self.too_often += 1;
            return Err(CallError::Throttled);
        }
        if !self.has_leases_of(txn) {
            return Ok(StoreReply::NoLease);
        }
        let failed = self.failed_conditions(txn);
        if !failed.is_empty() {
            return Ok(StoreReply::Conflict(failed));
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Write { write, v, lease_id } => self.write(write, v, *lease_id),
                Change::Delete { delete } => self.delete(delete),
            }
        }
        Ok(StoreReply::Committed(self.revision))
    }

    /// Whether all leases are there that the keys of a transaction are to be attached to.
    fn has_leases_of(&self, txn: &Txn) -> bool {
        txn.changes.iter().all(|change| match change {
            Change::Write { lease_id: Some(lease), .. } => self.leases.contains_key(lease),
            _ => true,
        })
    }

    /// The keys that do not stand where the conditions of a transaction want them.
    fn failed_conditions(&self, txn: &Txn) -> Vec<String> {
        let mod_revision = |key: &str| self.get(key).map_or(0, |(_, mod_revision)| mod_revision);
        let failed = txn.conditions.iter().filter(|c| mod_revision(&c.path) != c.mod_revision);
        failed.map(|c| c.path.clone()).collect()
    }

    /// Writes a key at the present revision.
    fn write(&mut self, key: &str, value: &Json, lease_id: Option<u64>) {
        let (write, value, mod_revision) = (key.to_owned(), value.clone(), self.revision);
        self.log.push(Event::Write { write: write.clone(), v: value.clone(), mod_revision });
        self.keys.insert(write, Stored { value, mod_revision, lease_id });
    }

    /// Deletes a key at the present revision, if it is there.
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (delete, mod_revision) = (key.to_owned(), self.revision);
            self.log.push(Event::Delete { delete, mod_revision });
        }
    }

    fn grant(&mut self, now: Micros, life_ms: u64) -> StoreReply {
        self.granted += 1;
        let life = life_ms * 1000;
        self.leases.insert(self.granted, Lease { life, end: now + life });
        StoreReply::Granted(self.granted)
    }

    fn renew(&mut self, now: Micros, lease: u64) -> StoreReply {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.end = now + lease.life;
                StoreReply::Renewed
            }
            None => StoreReply::NoLease,
        }
    }

    /// The changes after this revision.
    fn watch(&mut self, from: u64) -> StoreReply {
        if self.forgets_since(from) {
            self.too_old += 1;
            return StoreReply::TooOld;
        }
        let log = self.log.iter().filter(|e| mod_revision_of(e) > from).cloned().collect();
        StoreReply::Watched(WatchAnswer { revision: self.revision, log })
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
