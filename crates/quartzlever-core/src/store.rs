//! The replicated records: the cache that a watch keeps fresh, the listing that fills it, reads by revision,
//! the limits of a transaction, and the budget of writes.
//!
//! - `cache`: the records that are known, and how far and how fresh they are (`view`).
//! - `listing`, `watch`: how the cache is filled and kept fresh; `event`: what they tell.
//! - `lookups`: questions that wait until the cache is new enough.
//! - `recent_jobs`: final states and latest revisions of the jobs that changed last.
//! - `limits`, `write_budget`: what the store takes in one transaction, and how often.
//!
//! Nothing here knows of partitions' leaders, machines' states or users: the router hands on what is told.

pub(crate) mod cache;
pub(crate) mod event;
pub(crate) mod limits;
pub(crate) mod listing;
pub(crate) mod lookups;
pub(crate) mod recent_jobs;
mod view;
pub(crate) mod watch;
pub(crate) mod write_budget;

use quartzlever_wire::store::{ACTIVE_JOB_PREFIX, KeyValue};
use serde::de::DeserializeOwned;

/// The record of a row, if it can be read.
pub(crate) fn parse<T: DeserializeOwned>(entry: &KeyValue) -> Option<T> {
    entry.value.parse()
}

/// The key of a job that is neither done nor cancelled.
pub(crate) fn active_job_key(id: &str) -> String {
    format!("{ACTIVE_JOB_PREFIX}{id}")
}
