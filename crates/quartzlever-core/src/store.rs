//! The replicated records: the cache that a watch keeps fresh, the listing that fills it, reads by revision,
//! and the budget of writes.

pub(crate) mod cache;
pub(crate) mod listing;
pub(crate) mod lookups;
pub(crate) mod write_budget;
