//! The assignment of machines to groups, from this node's present knowledge.

use quartzlever_wire::store::{LARGE_GROUP_SIZE, group_key, group_size};

use crate::config::Config;
use crate::store::limits::StoreLimits;

/// What the controllers have agreed on about the size of groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupSizeAgreement {
    /// Whether every controller reads groups smaller than [`LARGE_GROUP_SIZE`].
    pub small_groups: bool,
    /// The maximum size that was agreed on, if any.
    pub size: Option<u64>,
    /// The modification revision of the agreement on `size`, 0 if there is none.
    pub revision: u64,
}

/// The size of groups, the agreement behind it, and the limits on writing a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GroupLayout {
    /// Maximum number of machines under one key in groups that are written now.
    pub size: u64,
    /// The modification revision of the agreement on the size, 0 if there is none.
    pub size_revision: u64,
    /// Whether the cache has all claims in larger groups, as it does from the revision of the
    /// agreement on the present size.
    pub larger_groups_known: bool,
    /// Maximum length of a group's value, in bytes.
    pub value_limit: usize,
    /// Maximum number of changes in a transaction.
    pub max_changes: usize,
}

impl GroupLayout {
    /// Returns the layout under an agreement, with the cache at `cache_revision`.
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
            (LARGE_GROUP_SIZE, config.present_value_bytes.min(limits.learned_value_bytes()))
        };
        GroupLayout {
            size,
            size_revision: agreement.revision,
            larger_groups_known: agreement.revision <= cache_revision,
            value_limit,
            max_changes: limits.txn_ops(),
        }
    }

    /// Reports whether machines are kept in large groups, the original form.
    pub fn uses_large_groups(&self) -> bool {
        self.size == LARGE_GROUP_SIZE
    }

    /// Returns the key of the group that a machine is claimed in.
    pub fn key_of(&self, machine: &str) -> String {
        group_key(machine, self.size)
    }
}
