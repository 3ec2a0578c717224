//! Claims and releases machines, and writes the groups that hold their records.

use quartzlever_wire::CallError;
use quartzlever_wire::store::{KeyValue, MachineRecords, StoreReply, machine_records_in};
use quartzlever_wire::workers::Heartbeat;

use super::Core;
use crate::calls::GroupWrite;
use crate::events::LogEvent;
use crate::machines::ownership::{
    GroupContext, GroupLayout, GroupSizeAgreement, GroupWriteOutcome, PartitionTerm,
};
use crate::messages::{LogLevel, RequestId};

impl Core {
    fn group_layout(&self) -> GroupLayout {
        let agreement = GroupSizeAgreement {
            small_groups: self.cluster.supports_services(),
            size: self.cluster.agreed_group_size(),
            revision: self.cluster.group_size_revision(),
        };
        GroupLayout::new(&agreement, &self.config, &self.limits, self.cache.revision())
    }

    /// Returns how many machines share a group key that is written now.
    pub(crate) fn group_size(&self) -> u64 {
        self.group_layout().size
    }

    /// Queues the claim of an unclaimed machine for a partition led here.
    pub(crate) fn request_ownership(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        owner: PartitionTerm,
    ) {
        let layout = self.group_layout();
        self.ownership.request_claim(id, heartbeat, owner, &layout, self.now);
    }

    /// Queues the removal of a terminated machine's record.
    pub(crate) fn release_ownership(&mut self, machine: &str, partition: &str, term: u64) {
        let owner = PartitionTerm { partition: partition.to_owned(), term };
        let layout = self.group_layout();
        self.ownership.request_removal(machine, owner, &self.cache, &layout);
    }

    /// Writes the groups with queued changes, and splits a group that is too large. Waits while the
    /// records are listed again, since the cache then lacks groups that exist.
    pub(super) fn write_groups(&mut self) {
        if !self.cache.is_loaded() {
            return;
        }
        let context = GroupContext {
            now: self.now,
            may_act: self.may_act(),
            layout: self.group_layout(),
            cache: &self.cache,
            partitions: &self.partitions,
        };
        self.ownership.write_changes(&context, &mut self.write_budget, &mut self.outbox);
        self.ownership.split_group(&context, &mut self.write_budget, &mut self.outbox);
    }

    /// Handles the reply to a step of splitting a group.
    pub(super) fn group_split(
        &mut self,
        key: &str,
        small_groups: Vec<(String, MachineRecords)>,
        is_complete: bool,
        result: &Result<StoreReply, CallError>,
    ) {
        let Some(mod_revision) = self.ownership.split_replied(result, self.now) else { return };
        if !self.cache.covers(mod_revision) {
            for (key, records) in small_groups {
                self.cache.record_group(&key, records, mod_revision);
            }
        }
        if is_complete {
            self.cache.remove_deleted_group(key, mod_revision);
        }
    }

    /// Handles the reply to the write of a group.
    pub(super) fn group_written(
        &mut self,
        write: GroupWrite,
        result: &Result<StoreReply, CallError>,
    ) {
        match self.ownership.write_replied(&write, result, self.now) {
            GroupWriteOutcome::Committed { mod_revision } => {
                let GroupWrite { key, records, added, .. } = write;
                self.apply_group_change(&key, records, mod_revision);
                // If the watch has delivered the write first, the machines are known already.
                for machine in &added {
                    self.complete_claim(&key, machine);
                }
                self.ownership.forget_if_settled(&key);
            }
            GroupWriteOutcome::RereadNeeded { lost_partitions } => {
                for owner in lost_partitions {
                    self.lose_partition(&owner.partition, owner.term);
                }
                self.ownership.reread(&write.key, &mut self.outbox);
            }
            GroupWriteOutcome::Failed => {}
        }
    }

    /// Handles the reply to the reread of a group.
    pub(super) fn group_read(&mut self, key: &str, result: Result<StoreReply, CallError>) {
        let is_read = matches!(result, Ok(StoreReply::Read(_) | StoreReply::Absent { .. }));
        self.ownership.read_replied(key, is_read, self.now);
        match result {
            Ok(StoreReply::Read(entry)) => self.apply_group_record(&entry, true),
            Ok(StoreReply::Absent { revision }) => self.cache.remove_deleted_group(key, revision),
            _ => {}
        }
    }

    /// Applies a group's record from the store. `is_change` means that machines which were not
    /// known before are newly claimed; otherwise the record only fills the cache.
    pub(crate) fn apply_group_record(&mut self, entry: &KeyValue, is_change: bool) {
        let Some(records) = machine_records_in(&entry.key, &entry.value) else {
            return self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key));
        };
        if is_change {
            self.apply_group_change(&entry.key, records, entry.mod_revision);
        } else {
            self.cache.record_group(&entry.key, records, entry.mod_revision);
        }
    }

    /// Applies a changed group to the cache and to the partitions led here. A reply may show the
    /// group at a revision that the cache covers, and is then ignored.
    pub(crate) fn apply_group_change(
        &mut self,
        key: &str,
        records: MachineRecords,
        mod_revision: u64,
    ) {
        if self.cache.covers(mod_revision) {
            return;
        }
        let now = self.now;
        let Some(new_machines) = self.cache.record_group(key, records, mod_revision) else {
            return;
        };
        for (machine, record) in new_machines {
            for partition in self.partitions.values_mut() {
                if partition.name == record.partition {
                    partition.add_claimed_machine(&machine, &record, mod_revision, now);
                } else {
                    let types = partition.types.as_deref();
                    partition.fleet.pending_instances.record_arrival(&machine, types, now);
                }
            }
            self.complete_claim(key, &machine);
        }
    }

    /// Answers the heartbeats that waited for the claim of a machine, now that it has an owner.
    fn complete_claim(&mut self, key: &str, machine: &str) {
        let Some(claim) = self.ownership.take_claim(key, machine) else { return };
        for id in claim.requests {
            self.handle_heartbeat(id, claim.heartbeat.clone());
        }
    }
}

#[cfg(test)]
mod tests;
