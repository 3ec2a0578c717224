//! The replicated records: the cache that a watch keeps fresh, the listing that fills it, reads by revision,
//! the limits of a transaction, and the budget of writes.

pub(crate) mod cache;
pub(crate) mod limits;
pub(crate) mod listing;
pub(crate) mod lookups;
pub(crate) mod watch;
pub(crate) mod write_budget;

use quartzlever_wire::store::Row;
use serde::de::DeserializeOwned;

/// The record of a row, if it can be read.
pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    row.v.parse()
}
