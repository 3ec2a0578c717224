//! Jobs as users submit them, and the stored record of each job.
//!
//! - `feasibility`: whether a job can ever run.
//! - `user_requests`: the store calls made for users, and the limit on their number.
//! - `submission`: the choice of the partition that a new job enters, and the transaction that
//!   accepts it.
//! - `cancellation`: the transaction that cancels a job, and which leaders are notified.
//! - `lookups`: answers to users about a job.
//! - `partition_job`: the state of a job at the leader of one partition.
//! - `records`: when and how the record of a job is written.
//! - `pages`: finished tasks of large jobs.
//!
//! These modules do not depend on the core: the router carries out what they decide.

pub(crate) mod cancellation;
pub(crate) mod feasibility;
pub(crate) mod lookups;
pub mod pages;
pub mod partition_job;
pub(crate) mod records;
pub(crate) mod submission;
pub(crate) mod user_requests;
