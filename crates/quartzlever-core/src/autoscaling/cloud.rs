//! What the whole process knows of the cloud: its catalogue, which machines it lists, and which
//! machines peers have rented.
//!
//! A listed machine that no record claims and nobody awaits is returned once it is too old to be on
//! its way; a machine that any record claims never is.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Instance, InstancePage, InstancePhase,
};
use quartzlever_wire::store::{CATALOGUE_KEY, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use super::{MAX_MACHINES_PER_SCALE_IN, RETRY, ScaleInReason};
use crate::calls::{PendingCloudCall, PendingStoreCall};
use crate::messages::CallPriority;
use crate::partition::Types;
use crate::router::Core;
use crate::store::parse;

/// Time between two looks at what is to be rented or returned.
const TICK: Micros = SECOND / 2;
const CATALOGUE_EVERY: Micros = 120 * SECOND;
const LIST_EVERY: Micros = 15 * SECOND;
/// Hints of peers' rentals are kept for so long: each machine reports within a few boots.
const LAUNCH_HINT_LIFETIME: Micros = 3600 * SECOND;
/// A listed machine that nobody knows is returned after so many usual boots, and so many seconds more.
const STRAY_BOOTS: f64 = 4.0;
const STRAY_MORE_S: f64 = 60.0;
/// The boot of a type that is not in the catalogue.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// What the whole process knows of the cloud, and when it asks next.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Machines that a peer has rented, with the partition they are for.
    launch_hints: HashMap<String, String>,
    launch_hint_order: VecDeque<(Micros, String)>,
    next_catalogue_at: Micros,
    catalogue_waiting: bool,
    next_list_at: Micros,
    list_waiting: bool,
    next_tick_at: Micros,
}

impl Cloud {
    /// Notes that a machine was rented for a partition, and forgets hints that have served their time.
    pub fn note_launch(&mut self, machine: String, partition: &str, now: Micros) {
        if self.launch_hints.insert(machine.clone(), partition.to_owned()).is_none() {
            self.launch_hint_order.push_back((now, machine));
            while self
                .launch_hint_order
                .front()
                .is_some_and(|(since, _)| since + LAUNCH_HINT_LIFETIME < now)
            {
                let Some((_, old)) = self.launch_hint_order.pop_front() else { break };
                self.launch_hints.remove(&old);
            }
        }
    }

    /// The partition that a machine was rented for, as far as anybody told.
    pub fn launched_for(&self, machine: &str) -> Option<&String> {
        self.launch_hints.get(machine)
    }

    /// Whether it is time to look at what is to be rented or returned; notes the next time.
    fn begin_tick(&mut self, now: Micros) -> bool {
        let due = now >= self.next_tick_at;
        if due {
            self.next_tick_at = now + TICK;
        }
        due
    }

    /// Whether the catalogue is to be asked for now; if so, it counts as asked for.
    fn begin_catalogue(&mut self, now: Micros) -> bool {
        let due = !self.catalogue_waiting && now >= self.next_catalogue_at;
        self.catalogue_waiting |= due;
        due
    }

    fn catalogue_answered(&mut self, next_at: Micros) {
        self.catalogue_waiting = false;
        self.next_catalogue_at = next_at;
    }

    fn list_is_due(&self, now: Micros) -> bool {
        !self.list_waiting && now >= self.next_list_at
    }

    fn list_asked(&mut self) {
        self.list_waiting = true;
    }

    fn list_answered(&mut self, now: Micros) {
        self.list_waiting = false;
        self.next_list_at = now + LIST_EVERY;
    }
}

impl Core {
    /// All renting and returning of this moment.
    pub(crate) fn poll_autoscaling(&mut self) {
        if !self.cloud.begin_tick(self.now) {
            return;
        }
        if self.cloud.begin_catalogue(self.now) {
            self.call_cloud(CloudCall::Catalogue, PendingCloudCall::Catalogue);
        }
        if !self.may_act() || self.types.is_none() {
            return;
        }
        if self.cloud.list_is_due(self.now) && !self.partitions.is_empty() {
            self.list_instances(None, Vec::new());
        }
        let names: Vec<String> =
            self.partitions.values().filter(|p| p.active()).map(|p| p.name.clone()).collect();
        for name in names {
            self.scale_out(&name);
            self.scale_in(&name);
        }
    }

    /// Calls the cloud for as long as the lease is surely alive.
    pub(super) fn call_cloud(&mut self, call: CloudCall, pending: PendingCloudCall) {
        self.outbox.call_cloud(call, pending, self.lease.valid_until());
    }

    /// Hands a reply of the cloud to what waits for it.
    pub(crate) fn cloud_replied(
        &mut self,
        pending: PendingCloudCall,
        result: Result<CloudReply, CallError>,
    ) {
        match pending {
            PendingCloudCall::Catalogue => self.catalogue_replied(result),
            PendingCloudCall::ScaleOutRequest { partition, term, request } => {
                self.scale_out_replied(&partition, term, request, result)
            }
            PendingCloudCall::ScaleIn { partition, machines } => {
                if let Some((partition, term)) = partition {
                    self.scale_in_replied(&partition, term, machines, result);
                }
            }
            PendingCloudCall::List { seen } => self.listed(seen, result),
        }
    }

    fn catalogue_replied(&mut self, result: Result<CloudReply, CallError>) {
        if let Ok(CloudReply::Catalogue(catalogue)) = result {
            self.cloud.catalogue_answered(self.now + CATALOGUE_EVERY);
            let kept = Json::of(&catalogue);
            self.use_catalogue(catalogue);
            self.keep_catalogue(kept);
        } else {
            self.cloud.catalogue_answered(self.now + RETRY);
            if self.types.is_none() {
                // Without the types nothing can be placed, not even on machines at hand.
                let call = StoreCall::Get(CATALOGUE_KEY.into());
                self.outbox.call_store(CallPriority::Work, call, PendingStoreCall::ReadCatalogue);
            }
        }
    }

    /// Writes the catalogue for processes that start while the cloud is down, if the store takes it.
    fn keep_catalogue(&mut self, kept: Json) {
        if kept.text().len() > self.limits.value_bytes() {
            return;
        }
        let txn = Txn::default().write(CATALOGUE_KEY, kept);
        self.write_budget.spend(1);
        self.outbox.call_store(
            CallPriority::Work,
            StoreCall::Txn(txn),
            PendingStoreCall::ReadCatalogue,
        );
    }

    fn use_catalogue(&mut self, catalogue: Catalogue) {
        let types = catalogue.types.into_iter().map(|t| (t.name.clone(), t));
        let types: Types = Arc::new(types.collect());
        for partition in self.partitions.values_mut() {
            partition.use_types(types.clone());
        }
        self.types = Some(types);
    }

    /// The catalogue that an earlier process kept; the cloud's own word goes before it.
    pub(crate) fn catalogue_read(&mut self, result: Result<StoreReply, CallError>) {
        if let Ok(StoreReply::Read(Some(entry))) = result
            && self.types.is_none()
            && let Some(catalogue) = parse::<Catalogue>(&entry)
        {
            self.use_catalogue(catalogue);
        }
    }

    /// Asks for a page of the list of machines, after those that were seen.
    fn list_instances(&mut self, from: Option<String>, seen: Vec<Instance>) {
        self.cloud.list_asked();
        self.call_cloud(CloudCall::List { from }, PendingCloudCall::List { seen });
    }

    fn listed(&mut self, mut seen: Vec<Instance>, result: Result<CloudReply, CallError>) {
        self.cloud.list_answered(self.now);
        let Ok(CloudReply::Listed(InstancePage { instances, has_next })) = result else { return };
        seen.extend(instances);
        if has_next && let Some(last) = seen.last() {
            let from = Some(last.name.clone());
            return self.list_instances(from, seen);
        }
        self.mark_failed_machines(&seen);
        let mut strays: Vec<String> =
            seen.iter().filter(|i| self.is_stray(i)).map(|i| i.name.clone()).collect();
        strays.truncate(MAX_MACHINES_PER_SCALE_IN);
        if !strays.is_empty() {
            self.return_strays(strays);
        }
    }

    /// Marks the machines at hand that the cloud lists as stopped.
    fn mark_failed_machines(&mut self, seen: &[Instance]) {
        for instance in seen.iter().filter(|i| i.phase == InstancePhase::Failed) {
            let owner =
                self.partitions.values_mut().find(|p| p.machines.contains_key(&instance.name));
            let Some(partition) = owner else { continue };
            if let Some(machine) = partition.machines.get_mut(&instance.name) {
                machine.scale_in_reason = Some(ScaleInReason::Failed);
                partition.refresh(&instance.name);
            }
        }
    }

    /// Whether a listed machine belongs to nobody: it is claimed nowhere, and is stopped, or too old
    /// to be on its way and not awaited here.
    fn is_stray(&self, instance: &Instance) -> bool {
        let name = &instance.name;
        if self.partitions.values().any(|p| p.machines.contains_key(name))
            || self.cache.is_claimed(name)
        {
            return false;
        }
        let expected =
            self.partitions.values().any(|p| p.autoscaling.pending_instances.contains(name));
        let machine_type = self.types.as_ref().and_then(|t| t.get(&instance.machine_type));
        let boot_s = machine_type.map_or(UNKNOWN_BOOT_S, |t| t.ready_s);
        let old = instance.held_s > STRAY_BOOTS * boot_s + STRAY_MORE_S;
        instance.phase == InstancePhase::Failed || (old && !expected)
    }

    fn return_strays(&mut self, strays: Vec<String>) {
        for partition in self.partitions.values_mut() {
            for machine in &strays {
                partition.autoscaling.pending_instances.forget(machine);
            }
        }
        self.call_cloud(
            CloudCall::ScaleIn(strays.clone()),
            PendingCloudCall::ScaleIn { partition: None, machines: strays },
        );
    }
}
