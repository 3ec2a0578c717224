//! The machines of a partition: what is known of the cloud, and who decides about renting and
//! returning.

mod pending_instances;
mod scale_in;
mod scale_out;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, InstancePage, InstancePhase, ScaleOutRequest,
};
use quartzlever_wire::store::{CATALOGUE_KEY, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::calls::{PendingCloudCall, PendingStoreCall};
use crate::messages::CallPriority;
use crate::partition::Types;
use crate::router::Core;
use crate::store::parse;

pub use pending_instances::{PendingInstance, PendingInstances};
pub use scale_in::ScaleInReason;

const TICK: Micros = SECOND / 2;
const CATALOGUE_EVERY: Micros = 120 * SECOND;
const LIST_EVERY: Micros = 15 * SECOND;
const RETRY: Micros = SECOND;
const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// Hints of peers' rentals are kept for so long: each machine reports within a few boots.
const LAUNCH_HINT_LIFETIME: Micros = 3600 * SECOND;
/// Late copies come minutes after the original.
const TERMINATED_REMEMBERED_FOR: Micros = 3600 * SECOND;

/// What the whole process knows of the cloud.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Machines that a peer has rented, with the partition they are for.
    pub launch_hints: HashMap<String, String>,
    launch_hint_order: VecDeque<(Micros, String)>,
    catalogue_at: Micros,
    catalogue_waiting: bool,
    list_at: Micros,
    list_waiting: bool,
    tick_at: Micros,
}

impl Cloud {
    /// Notes that a machine was rented for a partition, and forgets hints that have served their time.
    pub fn note_launch(&mut self, host: String, partition: &str, now: Micros) {
        if self.launch_hints.insert(host.clone(), partition.to_owned()).is_none() {
            self.launch_hint_order.push_back((now, host));
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
}

/// A kind of machine that can be asked for: type, zone, spot.
type Offer = (String, String, bool);

/// A request for machines without an answer yet; it is repeated under its name.
#[derive(Clone, Debug)]
struct PendingScaleOut {
    request: ScaleOutRequest,
    since: Micros,
    retry_at: Option<Micros>,
}

/// Machines that were returned, for as long as copies of their heartbeats may come.
#[derive(Debug, Default)]
pub struct TerminatedMachines {
    known: HashMap<String, Micros>,
    order: VecDeque<(Micros, String)>,
}

impl TerminatedMachines {
    pub fn contains(&self, host: &str) -> bool {
        self.known.contains_key(host)
    }

    pub(crate) fn put(&mut self, host: &str, now: Micros) {
        self.known.insert(host.to_owned(), now);
        self.order.push_back((now, host.to_owned()));
        // By age: by number or name, a day with many returns forgot the last ones too early.
        while let Some((at, _)) = self.order.front()
            && now.saturating_sub(*at) > TERMINATED_REMEMBERED_FOR
            && let Some((at, host)) = self.order.pop_front()
        {
            if self.known.get(&host) == Some(&at) {
                self.known.remove(&host);
            }
        }
    }
}

/// The fleet side of a partition.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Rented machines that have not reported yet.
    pub pending_instances: PendingInstances,
    /// Machines that were returned; late heartbeats of them claim nothing.
    pub terminated: TerminatedMachines,
    scale_outs: BTreeMap<String, PendingScaleOut>,
    scale_outs_issued: u64,
    refused: BTreeMap<Offer, Micros>,
    /// Zones that are cut off, or were until a moment ago.
    zone_cut_until: BTreeMap<String, Micros>,
    next_scale_in_at: Micros,
}

impl Fleet {
    /// The cloud has refused spot machines of these types in these zones.
    #[cfg(test)]
    pub(crate) fn refuse_spot(&mut self, types: &[&str], zones: &[&str], until: Micros) {
        for machine_type in types {
            for zone in zones {
                self.refused.insert(((*machine_type).to_owned(), (*zone).to_owned(), true), until);
            }
        }
    }

    /// Whether no machine is rented that has not reported yet, and none is asked for.
    pub fn is_nothing_coming(&self) -> bool {
        self.pending_instances.is_empty() && self.scale_outs.is_empty()
    }
}

impl Core {
    /// All renting and returning of this moment.
    pub(crate) fn poll_autoscaling(&mut self) {
        if self.now < self.cloud.tick_at {
            return;
        }
        self.cloud.tick_at = self.now + TICK;
        if !self.cloud.catalogue_waiting && self.now >= self.cloud.catalogue_at {
            self.cloud.catalogue_waiting = true;
            self.call_cloud(CloudCall::Catalogue, PendingCloudCall::Catalogue);
        }
        if !self.may_act() || self.types.is_none() {
            return;
        }
        if !self.cloud.list_waiting && self.now >= self.cloud.list_at && !self.partitions.is_empty()
        {
            self.cloud.list_waiting = true;
            let work = PendingCloudCall::List { seen: Vec::new() };
            self.call_cloud(CloudCall::List { from: None }, work);
        }
        let names: Vec<String> =
            self.partitions.values().filter(|p| p.active()).map(|p| p.name.clone()).collect();
        for name in names {
            self.scale_out(&name);
            self.scale_in(&name);
        }
    }

    /// Calls the cloud for as long as the lease is surely alive.
    fn call_cloud(&mut self, call: CloudCall, pending: PendingCloudCall) {
        self.outbox.call_cloud(call, pending, self.lease.valid_until());
    }

    pub(crate) fn cloud_replied(
        &mut self,
        work: PendingCloudCall,
        result: Result<CloudReply, CallError>,
    ) {
        match work {
            PendingCloudCall::Catalogue => {
                self.cloud.catalogue_waiting = false;
                if let Ok(CloudReply::Catalogue(catalogue)) = result {
                    self.cloud.catalogue_at = self.now + CATALOGUE_EVERY;
                    let kept = Json::of(&catalogue);
                    self.use_catalogue(catalogue);
                    if kept.text().len() <= self.limits.value_bytes() {
                        let txn = Txn::default().write(CATALOGUE_KEY, kept);
                        self.write_budget.spend(1);
                        self.outbox.call_store(
                            CallPriority::Work,
                            StoreCall::Txn(txn),
                            PendingStoreCall::KeptCatalogue,
                        );
                    }
                } else {
                    self.cloud.catalogue_at = self.now + RETRY;
                    if self.types.is_none() {
                        // Without the types nothing can be placed, not even on machines at hand.
                        let call = StoreCall::Get(CATALOGUE_KEY.into());
                        self.outbox.call_store(
                            CallPriority::Work,
                            call,
                            PendingStoreCall::KeptCatalogue,
                        );
                    }
                }
            }
            PendingCloudCall::ScaleOutRequest { partition, term, request } => {
                self.scale_outs_issued(&partition, term, request, result)
            }
            PendingCloudCall::Return { partition, hosts } => {
                if let Some((partition, term)) = partition {
                    self.returned(&partition, term, hosts, result);
                }
            }
            PendingCloudCall::List { seen } => self.listed(seen, result),
        }
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
        if let Ok(StoreReply::Row(Some(row))) = result
            && self.types.is_none()
            && let Some(catalogue) = parse::<Catalogue>(&row)
        {
            self.use_catalogue(catalogue);
        }
    }

    fn listed(
        &mut self,
        mut seen: Vec<quartzlever_wire::cloud::Instance>,
        result: Result<CloudReply, CallError>,
    ) {
        self.cloud.list_waiting = false;
        self.cloud.list_at = self.now + LIST_EVERY;
        let Ok(CloudReply::Listed(InstancePage { hosts, has_next })) = result else { return };
        seen.extend(hosts);
        if has_next && let Some(last) = seen.last() {
            self.cloud.list_waiting = true;
            let call = CloudCall::List { from: Some(last.name.clone()) };
            return self.call_cloud(call, PendingCloudCall::List { seen });
        }
        let mut strays = Vec::new();
        for instance in &seen {
            let owner =
                self.partitions.values_mut().find(|p| p.machines.contains_key(&instance.name));
            if let Some(partition) = owner {
                if instance.phase == InstancePhase::Failed
                    && let Some(machine) = partition.machines.get_mut(&instance.name)
                {
                    machine.scale_in_reason = Some(ScaleInReason::Failed);
                    partition.refresh(&instance.name);
                }
                continue;
            }
            let claimed = self.cache.group_of_machine.contains_key(&instance.name);
            let expected = self
                .partitions
                .values()
                .any(|p| p.autoscaling.pending_instances.contains(&instance.name));
            let boot = self
                .types
                .as_ref()
                .and_then(|t| t.get(&instance.machine_type))
                .map_or(60.0, |t| t.ready_s);
            let old = instance.held_s > 4.0 * boot + 60.0;
            let failed = instance.phase == InstancePhase::Failed;
            if !claimed && (failed || (old && !expected)) {
                strays.push(instance.name.clone());
            }
        }
        strays.truncate(MAX_MACHINES_PER_SCALE_IN);
        if !strays.is_empty() {
            for partition in self.partitions.values_mut() {
                for host in &strays {
                    partition.autoscaling.pending_instances.forget(host);
                }
            }
            self.call_cloud(
                CloudCall::Return(strays.clone()),
                PendingCloudCall::Return { partition: None, hosts: strays },
            );
        }
    }
}

#[cfg(test)]
mod tests;
