//! Blocking clients of the services that a controller calls: the store, the cloud, the workers and
//! the other controllers.
//!
//! The `CallPolicy` of a client sets the timeouts of its calls and the number of connections that
//! it reuses. Calls that count against a rate limit of the region go through a [`Budget`]. A call
//! returns an answer or a [`CallError`](quartzlever_wire::CallError), which says whether the call
//! may have been carried out.

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
