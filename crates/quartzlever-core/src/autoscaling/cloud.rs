//! The cloud as this process sees it: the catalogue, the listed machines, and the machines that
//! were launched recently.
//!
//! A listed machine that no record claims is orphaned, and is terminated, if it has failed, or if
//! it is too old to be still booting and is not pending here. A claimed machine is never orphaned, so
//! none is taken for orphaned while the records are listed again and some claims are not known.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Instance, InstancePage, InstancePhase,
};
use quartzlever_wire::store::{CATALOGUE_KEY, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::{MAX_MACHINES_PER_SCALE_IN, RETRY_DELAY, ScaleInReason};
use crate::calls::{PendingCloudCall, PendingStoreCall};
use crate::messages::CallPriority;
use crate::partition::Types;
use crate::router::Core;
use crate::store::parse;

/// Interval between autoscaling passes.
const PASS_INTERVAL: Micros = SECOND / 2;
const CATALOGUE_INTERVAL: Micros = 120 * SECOND;
const LIST_INTERVAL: Micros = 15 * SECOND;
/// Retention of launch hints. A machine sends its first heartbeat within a few boot times.
const LAUNCH_HINT_LIFETIME: Micros = 3600 * SECOND;
/// Number of boot times of its type, plus `ORPHAN_GRACE_S`, after which an unclaimed machine that
/// is not pending counts as orphaned.
const ORPHANED_AFTER_BOOTS: f64 = 4.0;
const ORPHAN_GRACE_S: f64 = 60.0;
/// Assumed boot time of a type that is not in the catalogue.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// The launch hints known to this process, the state of its periodic calls to the cloud, and the
/// time of its next autoscaling pass.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Machines that this process or a peer has launched, with the partition that each is for.
    launch_hints: HashMap<String, String>,
    launch_hint_order: VecDeque<(Micros, String)>,
    next_catalogue_at: Micros,
    catalogue_call_pending: bool,
    next_list_at: Micros,
    list_call_pending: bool,
    next_pass_at: Micros,
}

impl Cloud {
    /// Records that a machine was launched for a partition, and removes expired hints.
    pub fn add_launch_hint(&mut self, machine: String, partition: &str, now: Micros) {
        if self.launch_hints.insert(machine.clone(), partition.to_owned()).is_none() {
            self.launch_hint_order.push_back((now, machine));
            while self
                .launch_hint_order
                .front()
                .is_some_and(|(launched_at, _)| launched_at + LAUNCH_HINT_LIFETIME < now)
            {
                let Some((_, expired)) = self.launch_hint_order.pop_front() else { break };
                self.launch_hints.remove(&expired);
            }
        }
    }

    /// Returns the partition that a machine was launched for, if it is known.
    pub fn launched_for(&self, machine: &str) -> Option<&String> {
        self.launch_hints.get(machine)
    }

    /// Reports whether an autoscaling pass is due, and if so schedules the next one.
    fn begin_pass(&mut self, now: Micros) -> bool {
        let due = now >= self.next_pass_at;
        if due {
            self.next_pass_at = now + PASS_INTERVAL;
        }
        due
    }

    /// Reports whether the catalogue is to be read now, and if so marks the call as pending.
    fn begin_catalogue_call(&mut self, now: Micros) -> bool {
        let due = !self.catalogue_call_pending && now >= self.next_catalogue_at;
        self.catalogue_call_pending |= due;
        due
    }

    fn end_catalogue_call(&mut self, next_at: Micros) {
        self.catalogue_call_pending = false;
        self.next_catalogue_at = next_at;
    }

    fn is_list_due(&self, now: Micros) -> bool {
        !self.list_call_pending && now >= self.next_list_at
    }

    fn begin_list_call(&mut self) {
        self.list_call_pending = true;
    }

    fn end_list_call(&mut self, now: Micros) {
        self.list_call_pending = false;
        self.next_list_at = now + LIST_INTERVAL;
    }
}

impl Core {
    /// Runs the autoscaling pass if it is due: reads the catalogue and the list of machines when
    /// their time has come, and scales each partition out and in.
    pub(crate) fn poll_autoscaling(&mut self) {
        if !self.cloud.begin_pass(self.now) {
            return;
        }
        if self.cloud.begin_catalogue_call(self.now) {
            self.call_cloud(CloudCall::Catalogue, PendingCloudCall::Catalogue);
        }
        if !self.may_act() || self.types.is_none() {
            return;
        }
        if self.cloud.is_list_due(self.now) && !self.partitions.is_empty() {
            self.list_instances(None, Vec::new());
        }
        let names: Vec<String> =
            self.partitions.values().filter(|p| p.is_loaded()).map(|p| p.name.clone()).collect();
        for name in names {
            self.scale_out(&name);
            self.scale_in(&name);
        }
    }

    /// Calls the cloud. A call that terminates machines is sent only while this process certainly
    /// holds its lease.
    pub(super) fn call_cloud(&mut self, call: CloudCall, pending: PendingCloudCall) {
        let deadline = self.authority().termination_deadline();
        self.outbox.call_cloud(call, pending, deadline);
    }

    /// Passes a reply of the cloud to the handler of its call.
    pub(crate) fn cloud_replied(
        &mut self,
        pending: PendingCloudCall,
        result: Result<CloudReply, CallError>,
    ) {
        match pending {
            PendingCloudCall::Catalogue => self.catalogue_replied(result),
            PendingCloudCall::ScaleOut { partition, term, request } => {
                self.scale_out_replied(&partition, term, request, result)
            }
            PendingCloudCall::ScaleIn { partition, machines } => {
                if let Some((partition, term)) = partition {
                    self.scale_in_replied(&partition, term, machines, result);
                }
            }
            PendingCloudCall::List { instances } => self.list_replied(instances, result),
        }
    }

    fn catalogue_replied(&mut self, result: Result<CloudReply, CallError>) {
        if let Ok(CloudReply::Catalogue(catalogue)) = result {
            self.cloud.end_catalogue_call(self.now + CATALOGUE_INTERVAL);
            let value = Json::of(&catalogue);
            self.apply_catalogue(catalogue);
            self.store_catalogue(value);
        } else {
            self.cloud.end_catalogue_call(self.now + RETRY_DELAY);
            if self.types.is_none() {
                // Without machine types no task can be placed, not even on claimed machines.
                let call = StoreCall::Get(CATALOGUE_KEY.into());
                self.outbox.call_store(CallPriority::Work, call, PendingStoreCall::StoredCatalogue);
            }
        }
    }

    /// Stores the catalogue, if its size permits, for processes that start during a cloud
    /// outage.
    fn store_catalogue(&mut self, value: Json) {
        if value.text().len() > self.limits.value_bytes() {
            return;
        }
        let txn = Txn::default().write(CATALOGUE_KEY, value);
        self.write_budget.spend(1);
        self.outbox.call_store(
            CallPriority::Work,
            StoreCall::Txn(txn),
            PendingStoreCall::StoredCatalogue,
        );
    }

    fn apply_catalogue(&mut self, catalogue: Catalogue) {
        let types = catalogue.types.into_iter().map(|t| (t.name.clone(), t));
        let types: Types = Arc::new(types.collect());
        for partition in self.partitions.values_mut() {
            partition.set_machine_types(types.clone());
        }
        self.types = Some(types);
    }

    /// Handles the reply to a read of the stored catalogue, which is used only until the cloud has
    /// returned its own.
    pub(crate) fn stored_catalogue_replied(&mut self, result: Result<StoreReply, CallError>) {
        if let Ok(StoreReply::Read(entry)) = result
            && self.types.is_none()
            && let Some(catalogue) = parse::<Catalogue>(&entry)
        {
            self.apply_catalogue(catalogue);
        }
    }

    /// Requests the page of the list of machines that follows those in `instances`.
    fn list_instances(&mut self, from: Option<String>, instances: Vec<Instance>) {
        self.cloud.begin_list_call();
        self.call_cloud(CloudCall::List { from }, PendingCloudCall::List { instances });
    }

    fn list_replied(&mut self, mut seen: Vec<Instance>, result: Result<CloudReply, CallError>) {
        self.cloud.end_list_call(self.now);
        let Ok(CloudReply::Listed(InstancePage { instances, has_next })) = result else { return };
        seen.extend(instances);
        if has_next && let Some(last) = seen.last() {
            let from = Some(last.name.clone());
            return self.list_instances(from, seen);
        }
        self.mark_failed_machines(&seen);
        if !self.cache.is_loaded() {
            return;
        }
        let mut orphaned: Vec<String> =
            seen.iter().filter(|i| self.is_orphaned(i)).map(|i| i.name.clone()).collect();
        orphaned.truncate(MAX_MACHINES_PER_SCALE_IN);
        if !orphaned.is_empty() {
            self.terminate_orphaned(orphaned);
        }
    }

    /// Marks the claimed machines that the cloud lists as failed for termination.
    fn mark_failed_machines(&mut self, seen: &[Instance]) {
        for instance in seen.iter().filter(|i| i.phase == InstancePhase::Failed) {
            let owner =
                self.partitions.values_mut().find(|p| p.machines.contains_key(&instance.name));
            let Some(partition) = owner else { continue };
            if let Some(machine) = partition.machines.get_mut(&instance.name) {
                machine.scale_in_reason = Some(ScaleInReason::Failed);
                partition.refresh_machine(&instance.name);
            }
        }
    }

    /// Reports whether a listed machine is orphaned: no record claims it, and it has failed, or it
    /// is too old to be still booting and is not pending here.
    fn is_orphaned(&self, instance: &Instance) -> bool {
        let name = &instance.name;
        if self.partitions.values().any(|p| p.machines.contains_key(name))
            || self.cache.is_claimed(name)
        {
            return false;
        }
        let pending = self.partitions.values().any(|p| p.fleet.pending_instances.contains(name));
        let machine_type = self.types.as_ref().and_then(|t| t.get(&instance.machine_type));
        let boot_s = machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |t| t.ready_s);
        let too_old = instance.held_s > ORPHANED_AFTER_BOOTS * boot_s + ORPHAN_GRACE_S;
        instance.phase == InstancePhase::Failed || (too_old && !pending)
    }

    fn terminate_orphaned(&mut self, orphaned: Vec<String>) {
        for partition in self.partitions.values_mut() {
            for machine in &orphaned {
                partition.fleet.pending_instances.remove(machine);
            }
        }
        self.call_cloud(
            CloudCall::ScaleIn(orphaned.clone()),
            PendingCloudCall::ScaleIn { partition: None, machines: orphaned },
        );
    }
}

#[cfg(test)]
mod tests;
