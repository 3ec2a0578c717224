//! The conditions that a controller waits for before it can act, for the diagnostics of tests that
//! find it making no progress, and for logs.
//!
//! This module defines only the conditions. The router evaluates them, since they concern many
//! components.

use std::fmt;

/// An unmet condition that keeps a controller or one of its partitions from making progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnmetCondition {
    /// A lease in the store that is certainly valid.
    Lease,
    /// The announcement of this process's version.
    Announcement,
    /// The first complete read of the records.
    Records,
    /// A view of the records fresh enough to act on.
    FreshView,
    /// The catalogue of machine types.
    Catalogue,
    /// A partition to act for.
    Partition,
    /// A partition whose key names this process although the process does not act for it.
    HeldWithoutLeadership { partition: String },
    /// The records up to the revision at which a partition was acquired.
    PartitionRecords { partition: String },
    /// Verification that a partition's machines run no tasks of earlier leaders; `machines` are not
    /// verified yet.
    Recovery { partition: String, machines: usize },
    /// Machines for a partition's ready tasks: it has no machine, no pending instance and no
    /// scale-out request.
    Machines { partition: String, ready: u32 },
    /// Write budget: new submissions have to wait, because the debt exceeds the changes of one
    /// second or a more urgent kind of change is starved.
    WriteBudget,
}

impl fmt::Display for UnmetCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnmetCondition::Lease => f.write_str("a lease"),
            UnmetCondition::Announcement => f.write_str("its version announcement"),
            UnmetCondition::Records => f.write_str("the records"),
            UnmetCondition::FreshView => f.write_str("a fresh view"),
            UnmetCondition::Catalogue => f.write_str("the catalogue"),
            UnmetCondition::Partition => f.write_str("a partition"),
            UnmetCondition::HeldWithoutLeadership { partition } => {
                write!(f, "{partition}: key held, not active")
            }
            UnmetCondition::PartitionRecords { partition } => write!(f, "{partition}: records"),
            UnmetCondition::Recovery { partition, machines } => {
                write!(f, "{partition}: verification of {machines} machines")
            }
            UnmetCondition::Machines { partition, ready } => {
                write!(f, "{partition}: machines for {ready} tasks")
            }
            UnmetCondition::WriteBudget => f.write_str("write budget"),
        }
    }
}
