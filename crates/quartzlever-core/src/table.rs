//! The map that holds the jobs and the machines of a partition.

use std::hash::{BuildHasherDefault, DefaultHasher};

use indexmap::IndexMap;

/// Maps names to values. The values are boxed to keep the map's own entries small, so that a lookup
/// reads little memory: with three controllers on one processor core, most of the cost of a
/// heartbeat was waiting for memory.
///
/// The iteration order depends only on the order of insertions and removals, so the same commands
/// produce the same effects.
pub type Table<T> = IndexMap<String, Box<T>, BuildHasherDefault<DefaultHasher>>;
