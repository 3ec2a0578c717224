//! The map that the jobs and machines of a partition are kept in.

use std::hash::{BuildHasherDefault, DefaultHasher};

use indexmap::IndexMap;

/// Records by name, each in a place of its own: looking one up reads little memory, and where three
/// controllers share a core, most of what a heartbeat cost was waiting for memory. The order is that
/// of insertions and removals, so the same commands give the same effects.
pub type Table<T> = IndexMap<String, Box<T>, BuildHasherDefault<DefaultHasher>>;
