//! Numbers that differ between processes and between calls.
//!
//! Owns how they are drawn. Never keeps a seed, and is no source of secrets.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

use crate::clock;

/// A number that no other process, and no other call, draws.
pub fn random_number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(clock::wall());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
