//! What a controller waits for before it can act: for tests that find it standing still, and for logs.
//!
//! Only the conditions; which of them are not met, the router says, since they are those of many
//! components.

use std::fmt;

/// A condition that is not met yet, without which a controller or one of its partitions cannot go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// A lease in the store that is surely alive.
    Lease,
    /// The announcement of this process's version.
    Announcement,
    /// The first reading of the records.
    Records,
    /// A view of the records that is fresh enough to act on.
    FreshView,
    /// The machine types.
    Catalogue,
    /// Any partition to act for.
    Partition,
    /// A partition's key names this process, which does not act for it.
    Unattended { partition: String },
    /// The records have not come to the acquisition of a partition.
    PartitionRecords { partition: String },
    /// Machines of a partition that are not proven to be free of earlier leaders' tasks.
    Recovery { partition: String, machines: usize },
    /// A partition has ready tasks, and no machine at hand, rented or asked for.
    Machines { partition: String, ready: u32 },
    /// Changes are owed to the account of the store's limit.
    ChangeBudget,
}

impl fmt::Display for Awaited {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Awaited::Lease => f.write_str("a lease"),
            Awaited::Announcement => f.write_str("its announcement"),
            Awaited::Records => f.write_str("the records"),
            Awaited::FreshView => f.write_str("a fresh view"),
            Awaited::Catalogue => f.write_str("the catalogue"),
            Awaited::Partition => f.write_str("a partition"),
            Awaited::Unattended { partition } => write!(f, "{partition}: held, not acted for"),
            Awaited::PartitionRecords { partition } => write!(f, "{partition}: its records"),
            Awaited::Recovery { partition, machines } => {
                write!(f, "{partition}: proof of {machines} machines")
            }
            Awaited::Machines { partition, ready } => {
                write!(f, "{partition}: machines for {ready} tasks")
            }
            Awaited::ChangeBudget => f.write_str("changes that the state service allows"),
        }
    }
}
