//! Fakes of the systems around a controller, and tools that run the real program against them. For
//! tests and benchmarks only.
//!
//! | item | purpose |
//! | --- | --- |
//! | [`Store`], [`Cloud`], [`Worker`] | fakes without I/O; the caller passes in the time |
//! | [`http`] | serves a fake store and a fake cloud on loopback ports |
//! | [`fleet`] | a few fake workers on loopback ports, observed by the rule checker |
//! | [`worker_fleet`] | thousands of fake workers, for benchmarks of the real program |
//! | [`rules`] | checks the rules of the protocol by events outside the controllers |
//! | [`users`] | users who submit, look up and cancel jobs |
//! | [`watchers`] | background threads for tests of several controllers |
//! | [`jobs`] | job specifications for tests |
//! | [`site`] | settings files for several controllers |
//! | [`program`] | runs the real program as a child process |
//! | [`proxy`] | a TCP proxy that injects faults into one link, and repeats requests |
//! | [`repeats`] | decides which answered requests arrive once more |
//! | [`production`] | builds the version in production, to run alongside the current one |

#![deny(missing_docs)]

mod cloud;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod production;
pub mod program;
pub mod proxy;
pub mod repeats;
pub mod rules;
pub mod site;
mod store;
pub mod users;
pub mod watchers;
mod worker;
pub mod worker_fleet;

pub use cloud::Cloud;
pub use store::Store;
pub use worker::Worker;
