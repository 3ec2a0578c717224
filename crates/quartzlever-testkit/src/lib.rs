//! Fakes for what surrounds a controller, for tests only.
//!
//! [`Store`], [`Cloud`] and [`Worker`] are pure: the caller says what time it is. [`http`] puts
//! them on loopback ports for tests of the real program, [`fleet`] runs the workers and shows the
//! [`rules`] checker what they do, [`worker_fleet`] is a fleet of thousands of workers, and [`program`]
//! starts the program itself, or the version in [`production`], with the settings of a [`site`]; [`users`]
//! ask it.

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
mod worker;
pub mod worker_fleet;

pub use cloud::Cloud;
pub use store::Store;
pub use worker::Worker;
