//! Fakes for what surrounds a controller, for tests only.
//!
//! | module | what it is for |
//! | --- | --- |
//! | [`Store`], [`Cloud`], [`Worker`] | the fakes themselves, without I/O: the caller says what time it is |
//! | [`http`] | serves a fake store and a fake cloud on loopback ports, for tests of the real program |
//! | [`fleet`] | a few fake workers that report over HTTP and are shown to the rule checker |
//! | [`worker_fleet`] | thousands of fake workers, to measure what the real program costs |
//! | [`rules`] | checks the rules of the protocol from what happens outside the controllers |
//! | [`users`] | users that submit, look up and cancel jobs |
//! | [`watchers`] | threads that watch a test of several controllers |
//! | [`jobs`] | jobs for tests |
//! | [`site`] | settings files of several controllers |
//! | [`program`] | the real program as a child process |
//! | [`production`] | builds the version in production, to run beside the present one |

#![deny(missing_docs)]

mod cloud;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod production;
pub mod program;
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
