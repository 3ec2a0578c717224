//! Notifies leaders of their machines whose heartbeats arrive here, and gives up partitions whose
//! heartbeats a peer receives instead of this node.
//!
//! The counts and the decisions belong to `leadership::reachability`.

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::KeyValue;

use crate::calls::PendingPeerCall;
use crate::leadership::reachability::{ForeignMachines, OwnHeartbeats, Reachability};
use crate::partition::Partition;
use crate::router::Core;

impl Core {
    /// Notifies leaders of their machines that send heartbeats here, gives up partitions of which a
    /// peer sees more machines, and probes whether workers are reachable again.
    pub(crate) fn poll_reachability(&mut self) {
        if !self.reachability.begin_check(self.now) {
            return;
        }
        self.notify_machines_seen();
        if let Ok(permit) = self.permit(0) {
            self.give_up_unreachable_partitions();
            let groups = self.cache.groups().values();
            self.reachability.poll_probe(
                self.now,
                &self.config,
                groups.flat_map(|group| group.record.iter()),
                permit,
                &mut self.rng,
                &mut self.outbox,
            );
        }
    }

    fn notify_machines_seen(&mut self) {
        for foreign in self.reachability.foreign_machines(self.now, &self.config) {
            let ForeignMachines { partition, machines } = foreign;
            if let Some(node) = self.other_leader_of(&partition).map(str::to_owned) {
                let request = PeerRequest::MachinesSeen { partition: partition.clone(), machines };
                let pending = PendingPeerCall::MachinesSeen { partition, machines };
                self.outbox.call_peer(&node, request, pending);
            }
        }
    }

    fn give_up_unreachable_partitions(&mut self) {
        let is_unreachable = |partition: &&Partition| {
            let own = OwnHeartbeats {
                partition: &partition.name,
                acquired_at: partition.acquired_at,
                last_heartbeats: partition.machines.values().map(|m| m.last_heartbeat_at),
            };
            self.reachability.peer_sees_more_machines(self.now, &self.config, own)
        };
        let unreachable = self.partitions.values().filter(is_unreachable);
        let unreachable: Vec<(String, u64)> =
            unreachable.map(|partition| (partition.name.clone(), partition.term)).collect();
        for (name, term) in unreachable {
            self.reachability.record_release(self.now, &name, term, &mut self.outbox);
            self.release(&name, term);
        }
    }

    /// Stores the number of machines seen for a leader that could not be reached, which learns of
    /// it through its watch.
    pub(crate) fn store_machines_seen(&mut self, partition: &str, machines: u32) {
        let Some(lease) = self.lease.id().filter(|_| self.may_act()) else { return };
        let (budget, outbox) = (&mut self.write_budget, &mut self.outbox);
        Reachability::store_machines_seen(&self.config, partition, machines, lease, budget, outbox);
    }

    /// Applies a peer's record of the machines that it sees.
    pub(crate) fn apply_machines_seen_record(&mut self, entry: &KeyValue) {
        self.reachability.apply_machines_seen_record(self.now, entry);
    }

    /// Records a heartbeat from a machine of a partition that another node leads.
    pub(crate) fn note_foreign_heartbeat(&mut self, partition: &str, machine: &str) {
        self.reachability.note_foreign_heartbeat(self.now, partition, machine);
    }

    /// Handles the outcome of a probe of whether workers are reachable.
    pub(crate) fn probe_replied(&mut self, is_reached: bool) {
        self.reachability.handle_probe_result(is_reached, &mut self.outbox);
    }
}

#[cfg(test)]
mod tests;
