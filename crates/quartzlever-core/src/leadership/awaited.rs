//! What a controller waits for before it can act: for tests that find it standing still, and for logs.

use std::fmt;

use crate::router::Core;

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

impl Core {
    /// Whether this process acts for a partition now.
    pub fn acts_for(&self, partition: &str) -> bool {
        self.may_act() && self.partitions.get(partition).is_some_and(|p| p.active())
    }

    /// Everything that this process waits for.
    pub fn awaited(&self) -> Vec<Awaited> {
        let conditions = [
            (!self.holds_lease(), Awaited::Lease),
            (!self.has_announced(), Awaited::Announcement),
            (!self.cache.loaded(), Awaited::Records),
            (self.holds_lease() && !self.may_act(), Awaited::FreshView),
            (self.types.is_none(), Awaited::Catalogue),
            (self.partitions.is_empty(), Awaited::Partition),
            (self.write_budget.exhausted(), Awaited::ChangeBudget),
        ];
        let mut awaited: Vec<Awaited> =
            conditions.into_iter().filter(|(unmet, _)| *unmet).map(|(_, what)| what).collect();
        awaited.extend(self.unattended());
        awaited.extend(self.awaited_by_partitions());
        awaited
    }

    /// Partitions whose keys name this process although it does not act for them.
    fn unattended(&self) -> impl Iterator<Item = Awaited> {
        let ours = self.cache.partitions.iter().filter(|(name, (record, _))| {
            record.process == self.process
                && record.node == self.config.node
                && !self.partitions.contains_key(*name)
        });
        ours.map(|(name, _)| Awaited::Unattended { partition: name.clone() })
    }

    fn awaited_by_partitions(&self) -> impl Iterator<Item = Awaited> {
        self.partitions.values().filter_map(|held| {
            let partition = held.name.clone();
            let unverified = held.machines.values().filter(|m| !m.verified).count();
            let ready: u32 = held.jobs.values().map(|job| job.ready.len()).sum();
            if !held.active() {
                Some(Awaited::PartitionRecords { partition })
            } else if !held.recovery_complete {
                Some(Awaited::Recovery { partition, machines: unverified })
            } else if ready > 0 && held.machines.is_empty() && held.autoscaling.is_nothing_coming()
            {
                Some(Awaited::Machines { partition, ready })
            } else {
                None
            }
        })
    }
}
