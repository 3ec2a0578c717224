//! The routing of a heartbeat: to the partition held here, to another leader, or to a claim.
//!
//! Only reads. A machine that somebody has claimed is never claimed again from here, and an unclaimed one goes to
//! the partition that rented it, if that is known.

use std::collections::BTreeMap;

use quartzlever_wire::workers::Heartbeat;

use crate::machines::ownership::PartitionTerm;
use crate::partition::Partition;
use crate::store::cache::Cache;

/// Where a heartbeat belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatRoute {
    /// To a partition held here.
    Own { partition: String },
    /// Nothing is known yet.
    CacheNotLoaded,
    /// To a partition that owns the machine, which does not have it here.
    Owned { partition: String },
    /// To another leader: the machine is unclaimed, and was rented for a partition of that one.
    LaunchedElsewhere { partition: String },
    /// Nobody has claimed the machine; the partition that rented it, if that is known.
    Unclaimed { launched_for: Option<String> },
}

/// What is known here of who owns and leads what.
#[derive(Clone, Copy)]
pub(crate) struct OwnershipView<'a> {
    /// This node.
    pub node: &'a str,
    pub cache: &'a Cache,
    /// The partitions held here.
    pub partitions: &'a BTreeMap<String, Partition>,
}

/// For which partition held here an unclaimed machine is to be claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Claimant {
    /// For none: this node may not claim it.
    NotEntitled,
    /// It is expected to come up.
    Expected(PartitionTerm),
    /// Nobody here knows of it, so the machine itself is asked first.
    Unexpected(PartitionTerm),
}

impl<'a> OwnershipView<'a> {
    /// Where the heartbeat of a machine belongs; `launched_for` tells which partition rented a machine.
    pub fn route<'r>(
        &self,
        machine: &str,
        launched_for: impl FnOnce(&str) -> Option<&'r String>,
    ) -> HeartbeatRoute {
        if let Some((name, _)) =
            self.partitions.iter().find(|(_, p)| p.machines.contains_key(machine))
        {
            return HeartbeatRoute::Own { partition: name.clone() };
        }
        if !self.cache.loaded() {
            return HeartbeatRoute::CacheNotLoaded;
        }
        if let Some(record) = self.cache.machine_record(machine) {
            return HeartbeatRoute::Owned { partition: record.partition.clone() };
        }
        match launched_for(machine).cloned() {
            Some(partition)
                if !self.partitions.contains_key(&partition)
                    && self.other_leader_of(&partition).is_some() =>
            {
                HeartbeatRoute::LaunchedElsewhere { partition }
            }
            launched_for => HeartbeatRoute::Unclaimed { launched_for },
        }
    }

    /// Another node that leads a partition, as far as is known here.
    pub fn other_leader_of(&self, partition: &str) -> Option<&'a str> {
        let node = self.cache.partition(partition)?.record.node.as_str();
        (node != self.node).then_some(node)
    }

    /// For whom an unclaimed machine is to be claimed: the partition that rented it, else this node's own.
    pub fn claimant_of(
        &self,
        machine: &str,
        launched_for: Option<&str>,
        may_act: bool,
    ) -> Claimant {
        let partition = launched_for
            .and_then(|p| self.partitions.get(p))
            .or_else(|| self.partitions.get(self.node))
            .filter(|p| p.active());
        let Some(partition) = partition else { return Claimant::NotEntitled };
        if !may_act || partition.autoscaling.terminated.contains(machine) {
            return Claimant::NotEntitled;
        }
        let owner = PartitionTerm { partition: partition.name.clone(), term: partition.term };
        if partition.autoscaling.pending_instances.contains(machine) {
            Claimant::Expected(owner)
        } else {
            Claimant::Unexpected(owner)
        }
    }
}

impl Partition {
    /// Whether this leader may answer the heartbeat of one of its machines.
    pub(crate) fn is_entitled_to_answer(&self, heartbeat: &Heartbeat) -> bool {
        // With a later token somebody holds a later term, whatever the watch has told so far.
        self.active() && heartbeat.fencing_token <= self.term
    }
}

#[cfg(test)]
mod tests;
