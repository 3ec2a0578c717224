//! Stand-ins for what surrounds a controller, for tests only.
//!
//! [`Store`], [`Cloud`] and [`Worker`] are pure: the caller says what time it is. [`http`] puts
//! them on loopback ports for tests of the real program, [`crowd`] a
//! fleet of thousands of workers, and [`program`] starts the program itself.

mod cloud;
pub mod crowd;
pub mod http;
pub mod program;
mod store;
mod worker;

pub use cloud::Cloud;
pub use store::Store;
pub use worker::Worker;
