//! Clients of everything that a controller calls: the store, the cloud, workers and
//! other controllers.
//!
//! Every call has a deadline and reuses connections, by the `CallPolicy` of its client, and calls that count against a rate limit
//! of the region go through a [`Budget`]. A call ends in an answer or in a
//! [`CallError`](quartzlever_wire::CallError) that says whether it may have been carried out.

#![deny(missing_docs)]

mod budget;
mod cloud;
mod http;
mod peer;
mod policy;
mod store;
mod worker;

pub use budget::Budget;
pub use cloud::CloudClient;
pub use peer::PeerClient;
pub use store::StoreClient;
pub use worker::WorkerClient;
