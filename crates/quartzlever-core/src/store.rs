//! This process's access to the state store: the cache of its records, the listing that fills the
//! cache, the watch that keeps it up to date, lookups at a revision, transaction limits and the
//! write budget.
//!
//! - `cache`: the cached records and their revision; `view`: the age of the cache.
//! - `listing`, `watch`: fill the cache and keep it up to date; `event`: the records and deletions
//!   that they deliver.
//! - `lookups`: lookups of jobs that wait until the cache is recent enough.
//! - `recent_jobs`: final states and latest modification revisions of recently changed jobs.
//! - `limits`, `write_budget`: the size of the transactions that the store accepts, and the rate of
//!   changes.
//!
//! This component does not depend on leadership, machine states or user requests: the router passes
//! each event to the components that it concerns.

pub(crate) mod cache;
pub(crate) mod event;
pub(crate) mod limits;
pub(crate) mod listing;
pub(crate) mod lookups;
pub(crate) mod recent_jobs;
mod view;
pub(crate) mod watch;
pub(crate) mod write_budget;

use quartzlever_wire::store::{ACTIVE_JOB_PREFIX, KeyValue, PARTITION_PREFIX};
use serde::de::DeserializeOwned;

/// Parses the record of an entry; returns `None` if it is unreadable.
pub(crate) fn parse<T: DeserializeOwned>(entry: &KeyValue) -> Option<T> {
    entry.value.parse()
}

/// Returns the key of an active job, one that is neither done nor cancelled.
pub(crate) fn active_job_key(id: &str) -> String {
    format!("{ACTIVE_JOB_PREFIX}{id}")
}

/// Returns the key of a partition, which names its leader.
pub(crate) fn partition_key(name: &str) -> String {
    format!("{PARTITION_PREFIX}{name}")
}
