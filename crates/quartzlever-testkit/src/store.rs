//! A fake store in memory, with keys, leases, transactions and watches.

use std::collections::BTreeMap;

use quartzlever_wire::pages::PAGE_PREFIX;
use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, CLUSTER_VERSION_KEY, Change, Event, KeyValue, ListPage,
    MACHINE_GROUP_PREFIX, StoreCall, StoreReply, TERMINAL_JOB_PREFIX, TerminalJobRecord, Txn,
    TxnAnswer, WatchAnswer,
};
use quartzlever_wire::users::JobPhase;
use quartzlever_wire::{CallError, Json, Micros};

/// Value of a key, with its modification revision and the lease that it is attached to.
#[derive(Clone, Debug)]
struct StoredValue {
    value: Json,
    mod_revision: u64,
    lease_id: Option<u64>,
}

impl StoredValue {
    fn entry(&self, key: &str) -> KeyValue {
        let StoredValue { value, mod_revision, lease_id } = self.clone();
        KeyValue { key: key.to_owned(), value, mod_revision, lease_id }
    }
}

#[derive(Clone, Debug)]
struct Lease {
    duration: Micros,
    expires_at: Micros,
}

/// A fake store in memory: consistent, with leases and a log of changes.
///
/// The caller passes in the time, and sets limits and faults in the public fields.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    log: Vec<Event>,
    /// Maximum size of a value in bytes; 0 means unlimited.
    pub value_limit: usize,
    /// Maximum number of changes in a transaction; 0 means unlimited.
    pub ops_limit: usize,
    /// Maximum rate of changes per second; 0 means unlimited.
    pub write_rate: f64,
    /// Number of changes that the rate limit allows at `budget_updated_at`.
    change_budget: f64,
    budget_updated_at: Micros,
    /// Number of transactions refused as too large.
    pub rejected_too_large: usize,
    /// Number of transactions refused by the rate limit.
    pub rejected_throttled: usize,
    /// Maximum number of keys in one page of a listing; 0 means unlimited.
    pub page_limit: usize,
    /// Number of latest changes that a watch can still read; 0 means all.
    pub log_limit: usize,
    /// Number of watches refused because they start before the changes that can still be read.
    pub too_old: usize,
    /// Whether there is an outage: every call is refused and no lease expires.
    pub outage: bool,
    /// Whether watches served by [`crate::http`] are held back without an answer.
    pub hold_watches: bool,
}

impl Store {
    /// Returns the value of a key and its modification revision.
    pub fn get(&self, key: &str) -> Option<(&Json, u64)> {
        self.keys.get(key).map(|stored| (&stored.value, stored.mod_revision))
    }

    /// Returns all keys with a prefix, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Reports whether the value of the key is the record of a job that is done.
    pub fn is_done_job(&self, key: &str) -> bool {
        let record = self.get(key).and_then(|(value, _)| value.parse::<TerminalJobRecord>());
        record.is_some_and(|record| record.phase == JobPhase::Done)
    }

    /// Returns the ids of the jobs that are done according to the records of all generations, each
    /// of which has a namespace of its own.
    pub fn done_jobs(&self) -> Vec<String> {
        let in_namespace = format!("/{TERMINAL_JOB_PREFIX}");
        let jobs = self.keys("").into_iter().filter_map(|key| {
            let job = key
                .strip_prefix(TERMINAL_JOB_PREFIX)
                .or_else(|| Some(key.split_once(&in_namespace)?.1))?;
            self.is_done_job(&key).then(|| job.to_owned())
        });
        jobs.collect()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the first key that controllers of the first version do not know, or whose value is
    /// in a form that they do not know.
    pub fn key_unknown_to_first_version(&self) -> Option<&str> {
        let has_word = |value: &Json, word: &str| value.text().contains(word);
        let is_unknown = |(key, stored): &(&String, &StoredValue)| {
            key.as_str() == CLUSTER_VERSION_KEY
                || (key.starts_with(MACHINE_GROUP_PREFIX) && key.matches('~').count() > 1)
                || key.starts_with(PAGE_PREFIX)
                || (key.starts_with(ACTIVE_JOB_PREFIX)
                    && ["daemon", "paged"].iter().any(|word| has_word(&stored.value, word)))
        };
        self.keys.iter().find(is_unknown).map(|(key, _)| key.as_str())
    }

    /// Deletes all data: keys, leases, the log and the revision. All limits stay; the counters and
    /// faults are reset.
    pub fn wipe(&mut self) {
        let Store { value_limit, ops_limit, write_rate, page_limit, log_limit, .. } = *self;
        *self =
            Store { value_limit, ops_limit, write_rate, page_limit, log_limit, ..Store::default() };
    }

    /// Loses the keys for which `is_lost` returns `true`, without a change in the log that a watch
    /// would deliver.
    pub fn lose_keys(&mut self, mut is_lost: impl FnMut(&str) -> bool) {
        self.keys.retain(|key, _| !is_lost(key));
    }

    /// Ends an outage. All leases start again with their full duration.
    pub fn end_outage(&mut self, now: Micros) {
        self.outage = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    /// Removes expired leases and deletes the keys attached to them, in one revision per lease.
    fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
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

    /// Reports whether a watch from revision `from` would miss changes that can no longer be read.
    fn is_compacted_after(&self, from: u64) -> bool {
        let compacted = self.log.len().saturating_sub(self.log_limit);
        self.log_limit > 0
            && self.log[..compacted].last().is_some_and(|e| mod_revision_of(e) > from)
    }

    /// Reports whether a transaction exceeds a size limit. The number of conditions is limited to
    /// four times that of changes, but at least to 96.
    fn is_too_large(&self, txn: &Txn) -> bool {
        let value_too_long = |c: &Change| match c {
            Change::Write { v, .. } => v.text().len() > self.value_limit,
            Change::Delete { .. } => false,
        };
        (self.ops_limit > 0 && txn.changes.len() > self.ops_limit)
            || txn.conditions.len() > 4 * self.ops_limit.max(24)
            || (self.value_limit > 0 && txn.changes.iter().any(value_too_long))
    }

    /// Takes changes from the budget of the rate limit, which holds at most the changes of one
    /// second. Returns `false` and takes nothing if the budget is too small.
    fn take_from_budget(&mut self, now: Micros, changes: usize) -> bool {
        if self.write_rate <= 0.0 {
            return true;
        }
        let elapsed_s = now.saturating_sub(self.budget_updated_at) as f64 / 1e6;
        self.budget_updated_at = now;
        self.change_budget = (self.change_budget + elapsed_s * self.write_rate)
            .min(self.write_rate)
            - changes as f64;
        let allowed = self.change_budget >= 0.0;
        if !allowed {
            self.change_budget += changes as f64;
        }
        allowed
    }

    /// Executes one call. A watch returns at once with the changes so far.
    pub fn call(&mut self, now: Micros, call: &StoreCall) -> Result<StoreReply, CallError> {
        if self.outage {
            return Err(CallError::Refused);
        }
        self.expire_leases(now);
        Ok(match call {
            StoreCall::Revision => StoreReply::Revision(self.revision),
            StoreCall::Get(key) => match self.keys.get(key) {
                Some(stored) => StoreReply::Read(stored.entry(key)),
                None => StoreReply::Absent { revision: self.revision },
            },
            StoreCall::List { prefix, from } => self.list(prefix, from.as_deref()),
            StoreCall::Txn(txn) => return self.commit(now, txn),
            StoreCall::Grant { life_ms } => self.grant(now, *life_ms),
            StoreCall::Renew { lease } => self.renew(now, *lease),
            StoreCall::Watch { from, .. } => self.watch(*from),
        })
    }

    /// Returns a page of the keys with a prefix. `from` is the last key of the previous page.
    fn list(&self, prefix: &str, from: Option<&str>) -> StoreReply {
        let max_keys = if self.page_limit > 0 { self.page_limit } else { usize::MAX };
        let listed = |key: &str| key.starts_with(prefix) && from.is_none_or(|from| key > from);
        let has_next = self.keys.keys().filter(|key| listed(key)).count() > max_keys;
        let page = self.keys.iter().filter(|(key, _)| listed(key)).take(max_keys);
        let rows = page.map(|(key, stored)| stored.entry(key)).collect();
        StoreReply::Listed(ListPage { entries: rows, has_next, revision: self.revision })
    }

    /// Commits a transaction: applies all its changes, or none.
    fn commit(&mut self, now: Micros, txn: &Txn) -> Result<StoreReply, CallError> {
        if self.is_too_large(txn) {
            self.rejected_too_large += 1;
            return Ok(StoreReply::TooLarge);
        }
        if !self.take_from_budget(now, txn.changes.len()) {
            self.rejected_throttled += 1;
            return Err(CallError::Throttled);
        }
        if !self.has_all_leases(txn) {
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

    /// Reports whether all leases exist that a transaction attaches keys to.
    fn has_all_leases(&self, txn: &Txn) -> bool {
        txn.changes.iter().all(|change| match change {
            Change::Write { lease_id: Some(lease), .. } => self.leases.contains_key(lease),
            _ => true,
        })
    }

    /// Returns the keys whose modification revision differs from the condition of a transaction.
    fn failed_conditions(&self, txn: &Txn) -> Vec<String> {
        let mod_revision = |key: &str| self.get(key).map_or(0, |(_, mod_revision)| mod_revision);
        let failed = txn.conditions.iter().filter(|c| mod_revision(&c.path) != c.mod_revision);
        failed.map(|c| c.path.clone()).collect()
    }

    /// Writes a key at the current revision.
    fn write(&mut self, key: &str, value: &Json, lease_id: Option<u64>) {
        let (write, value, mod_revision) = (key.to_owned(), value.clone(), self.revision);
        self.log.push(Event::Write { write: write.clone(), v: value.clone(), mod_revision });
        self.keys.insert(write, StoredValue { value, mod_revision, lease_id });
    }

    /// Deletes a key at the current revision, if it exists.
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (delete, mod_revision) = (key.to_owned(), self.revision);
            self.log.push(Event::Delete { delete, mod_revision });
        }
    }

    fn grant(&mut self, now: Micros, life_ms: u64) -> StoreReply {
        self.last_lease_id += 1;
        let duration = life_ms * 1000;
        self.leases.insert(self.last_lease_id, Lease { duration, expires_at: now + duration });
        StoreReply::Granted(self.last_lease_id)
    }

    fn renew(&mut self, now: Micros, lease: u64) -> StoreReply {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.expires_at = now + lease.duration;
                StoreReply::Renewed
            }
            None => StoreReply::NoLease,
        }
    }

    /// Returns the changes after revision `from`.
    fn watch(&mut self, from: u64) -> StoreReply {
        if self.is_compacted_after(from) {
            self.too_old += 1;
            return StoreReply::TooOld;
        }
        let log = self.log.iter().filter(|e| mod_revision_of(e) > from).cloned().collect();
        StoreReply::Watched(WatchAnswer { revision: self.revision, log })
    }

    /// Returns the response to a transaction; `failed` holds the keys of failed conditions.
    pub(crate) fn txn_answer(&self, failed: Option<Vec<String>>) -> TxnAnswer {
        TxnAnswer { revision: self.revision, failed }
    }
}

fn mod_revision_of(event: &Event) -> u64 {
    match event {
        Event::Write { mod_revision, .. } | Event::Delete { mod_revision, .. } => *mod_revision,
    }
}
