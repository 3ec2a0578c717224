//! Random numbers that differ between processes and between calls. Not suitable for secrets.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

use crate::clock;

/// Returns a number that practically no other process or call returns.
pub fn random_number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(clock::wall());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
