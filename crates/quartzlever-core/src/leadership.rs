//! Partition leadership: which partitions this process leads, and until when it may act for them.
//!
//! - `lease`: the lease in the store to which the partition keys are attached.
//! - `connectivity`: whether this node, and its peers, reach the store.
//! - `authority`: until when this process may act: while its lease is valid and its view fresh.
//! - `partition_keys`: takeover, eviction, hand-back, and the writes of keys that are pending.
//! - `reachability`: whether this node receives heartbeats from the workers of its partitions.
//! - `unmet_conditions`: the conditions that a controller may be waiting for.
//!
//! No component here holds a partition's queue or machines. The router applies the effect of a
//! lease or a key on them.

pub(crate) mod authority;
pub(crate) mod connectivity;
pub(crate) mod lease;
pub(crate) mod partition_keys;
pub(crate) mod reachability;
pub(crate) mod unmet_conditions;
