//! Jobs: what users ask for, and the record of each job.
//!
//! - `feasibility`: whether a job can ever run.
//! - `user_requests`: the calls to the store that are made for users, and their number.
//! - `submission`: which partition a new job enters, and the transaction that accepts it.
//! - `cancellation`: the transaction that ends a job, and who is told.
//! - `lookups`: what users are told of a job.
//! - `partition_job`: a job as the leader of one partition knows it.
//! - `records`: when and how the record of a job is written.
//! - `pages`: finished tasks of large jobs.
//!
//! None of them knows the core: the steps that carry out what they decide are in the router.

pub(crate) mod cancellation;
pub(crate) mod feasibility;
pub(crate) mod lookups;
pub mod pages;
pub mod partition_job;
pub(crate) mod records;
pub(crate) mod submission;
pub(crate) mod user_requests;
