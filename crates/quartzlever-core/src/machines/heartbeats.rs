//! Routing of a heartbeat to a partition led here, to another leader, or to a claim of the machine.
//!
//! This module only reads state. A machine that is claimed already is never claimed again from
//! here, and an unclaimed one goes to the partition that launched it, if that partition is known.

use std::collections::BTreeMap;

use quartzlever_wire::Micros;
use quartzlever_wire::workers::Heartbeat;

use crate::events::LogEvent;
use crate::leadership::authority::{HeartbeatContext, Permit, Refusal};
use crate::machines::machine::UnconfirmedEnd;
use crate::machines::ownership::PartitionTerm;
use crate::partition::Partition;
use crate::store::cache::Cache;

/// Destination of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatRoute {
    /// A partition led here that has the machine.
    Own { partition: String },
    /// None yet: the cache of the store's records is not loaded.
    CacheNotLoaded,
    /// The partition that owns the machine by its record; no partition led here has the machine.
    Owned { partition: String },
    /// The other leader of the partition that launched the machine, which is unclaimed.
    LaunchedElsewhere { partition: String },
    /// A claim, as no partition owns the machine; with the partition that launched it, if known.
    Unclaimed { launched_for: Option<String> },
}

/// This node's view of which partitions own machines and which nodes lead partitions.
#[derive(Clone, Copy)]
pub(crate) struct OwnershipView<'a> {
    /// Name of this node.
    pub node: &'a str,
    pub cache: &'a Cache,
    /// The partitions led here.
    pub partitions: &'a BTreeMap<String, Partition>,
}

/// The partition led here for which an unclaimed machine is to be claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Claimant {
    /// None: this node may not claim the machine.
    NotEntitled,
    /// A partition that expects the machine as a pending instance.
    Expected(PartitionTerm),
    /// A partition that does not expect the machine, so the machine is called first.
    Unexpected(PartitionTerm),
}

impl<'a> OwnershipView<'a> {
    /// Returns the destination of a machine's heartbeat. `launched_for` returns the partition that
    /// launched a machine.
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
        if !self.cache.is_loaded() {
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

    /// Returns the node that leads a partition according to the cache, if it is not this one.
    pub fn other_leader_of(&self, partition: &str) -> Option<&'a str> {
        let node = self.cache.partition(partition)?.record.node.as_str();
        (node != self.node).then_some(node)
    }

    /// Returns the partition for which to claim an unclaimed machine: the one that launched it if
    /// it is led here, otherwise this node's own. `may_act` says whether this leader may act now.
    pub fn claimant_of(
        &self,
        machine: &str,
        launched_for: Option<&str>,
        may_act: bool,
    ) -> Claimant {
        let partition = launched_for
            .and_then(|p| self.partitions.get(p))
            .or_else(|| self.partitions.get(self.node))
            .filter(|p| p.is_loaded());
        let Some(partition) = partition else { return Claimant::NotEntitled };
        if !may_act || partition.fleet.terminated.contains(machine) {
            return Claimant::NotEntitled;
        }
        let owner = PartitionTerm { partition: partition.name.clone(), term: partition.term };
        if partition.fleet.pending_instances.contains(machine) {
            Claimant::Expected(owner)
        } else {
            Claimant::Unexpected(owner)
        }
    }
}

impl Partition {
    /// Returns what the answer to a heartbeat of one of the partition's machines depends on.
    pub(crate) fn heartbeat_context(&self, heartbeat: &Heartbeat) -> HeartbeatContext {
        HeartbeatContext {
            term: self.term,
            is_loaded: self.is_loaded(),
            fencing_token: heartbeat.fencing_token,
            issued_token: self
                .machines
                .get(&heartbeat.machine)
                .map_or(self.term, |machine| machine.fencing_token(self.term)),
        }
    }

    /// Decides whether the worker's lease may be renewed by the answer to this heartbeat, which has
    /// been applied already. A machine whose lease is not renewed gets no more tasks. `is_newer`
    /// says whether the heartbeat was newer than the known state; any other may be a late copy and
    /// leaves the machine as it is.
    pub(crate) fn permit_renewal(
        &mut self,
        permit: Permit,
        heartbeat: &Heartbeat,
        is_newer: bool,
        now: Micros,
    ) -> Result<Permit, Refusal> {
        let unconfirmed =
            self.machines.get(&heartbeat.machine).and_then(|m| m.unconfirmed_end(heartbeat));
        let renewal = permit.renew_lease(unconfirmed.as_ref().map(|end| end.ended_at), now);
        if is_newer {
            self.record_renewal(permit, heartbeat, unconfirmed, renewal.is_ok(), now);
        }
        renewal
    }

    /// Records whether a machine's lease is renewed, and logs when that changes.
    fn record_renewal(
        &mut self,
        permit: Permit,
        heartbeat: &Heartbeat,
        unconfirmed: Option<UnconfirmedEnd>,
        is_renewed: bool,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        if machine.is_lease_renewed == is_renewed {
            return;
        }
        machine.is_lease_renewed = is_renewed;
        let (partition, machine) = (self.name.clone(), machine.name.clone());
        self.refresh_machine(&machine);
        self.log_events.push(match unconfirmed.filter(|_| !is_renewed) {
            Some(end) => LogEvent::RenewalRefused {
                partition,
                term: permit.term(),
                view_age: permit.view_age(),
                machine,
                attempt: end.attempt,
                since_end: now.saturating_sub(end.ended_at),
            },
            None => LogEvent::RenewalResumed { partition, term: permit.term(), machine },
        });
    }
}

#[cfg(test)]
mod tests;
