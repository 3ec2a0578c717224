//! Which partitions this process leads, and until when it may act for them.
//!
//! - `lease`: the lease in the store on which the keys of partitions hang.
//! - `connectivity`: whether the store is reached from here, and from the peers.
//! - `authority`: until when this process may act: as long as its lease and its view are sure.
//! - `partition_keys`: takeover, eviction, hand-back, and the changes of keys that are under way.
//! - `reachability`: whether this node hears the workers of its partitions.
//! - `awaited`: what a controller may be found to wait for.
//!
//! No component here holds a partition's queue or machines: what a lease or a key means for them are
//! steps of the router.

pub(crate) mod authority;
pub(crate) mod awaited;
pub(crate) mod connectivity;
pub(crate) mod lease;
pub(crate) mod partition_keys;
pub(crate) mod reachability;
