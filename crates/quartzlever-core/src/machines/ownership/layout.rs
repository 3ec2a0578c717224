//! How machines are laid out in groups, as far as this node knows now.

use quartzlever_wire::store::{LARGE_GROUP_SIZE, group_key, group_size};

use crate::config::Config;
use crate::store::limits::StoreLimits;

/// What all controllers have agreed on of the size of groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupSizeAgreement {
    /// Whether every controller looks for machines in groups smaller than those of the first form.
    pub small_groups: bool,
    /// The largest size that was agreed on, if any was.
    pub size: Option<u64>,
    /// The modification revision of that agreement, 0 if there is none.
    pub revision: u64,
}

/// How many machines share a key, what decides that, and how much a group may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GroupLayout {
    /// How many machines share a key that is written now.
    pub size: u64,
    /// The modification revision of the agreement on the size, 0 if there is none.
    pub size_revision: u64,
    /// Whether all claims in larger groups are known, as they are once the cache has come to the
    /// agreement on the present size.
    pub is_known: bool,
    /// The largest value that a group may take now.
    pub value_limit: usize,
    /// The most changes that a transaction may have.
    pub max_changes: usize,
}

impl GroupLayout {
    /// The layout under this agreement, while the cache has come to `cache_revision`.
    pub fn new(
        agreement: &GroupSizeAgreement,
        config: &Config,
        limits: &StoreLimits,
        cache_revision: u64,
    ) -> Self {
        let (size, value_limit) = if agreement.small_groups {
            let size = group_size(config.value_bytes);
            let agreed = agreement.size.map_or(size, |agreed| agreed.min(size));
            (agreed, limits.value_bytes())
        } else {
            (LARGE_GROUP_SIZE, config.group_bytes.min(limits.learned_value_bytes()))
        };
        GroupLayout {
            size,
            size_revision: agreement.revision,
            is_known: agreement.revision <= cache_revision,
            value_limit,
            max_changes: limits.txn_ops(),
        }
    }

    /// Whether groups have the first form.
    pub fn is_large(&self) -> bool {
        self.size == LARGE_GROUP_SIZE
    }

    /// The key that a machine is claimed under.
    pub fn key_of(&self, machine: &str) -> String {
        group_key(machine, self.size)
    }
}
