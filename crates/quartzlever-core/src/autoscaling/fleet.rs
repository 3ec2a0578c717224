//! The cloud-side state of a partition: requests without a reply, pending instances, refused offers
//! and terminated machines.
//!
//! A terminated machine is remembered for as long as late copies of its heartbeats may arrive, so
//! that they claim nothing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use quartzlever_wire::cloud::ScaleOutRequest;
use quartzlever_wire::{Micros, SECOND};

use super::offer::MachineOffer;
use super::pending_instances::PendingInstances;
use super::requests::REFUSAL_RETENTION;

/// Retention of terminated machines. Late copies of heartbeats arrive minutes after the original.
const TERMINATED_RETENTION: Micros = 3600 * SECOND;

/// A scale-out request without a reply. It is repeated under the same name.
#[derive(Clone, Debug)]
struct PendingScaleOut {
    request: ScaleOutRequest,
    issued_at: Micros,
    retry_at: Option<Micros>,
}

/// Machines that were terminated, for as long as late copies of their heartbeats may arrive.
#[derive(Debug, Default)]
pub struct TerminatedMachines {
    by_machine: HashMap<String, Micros>,
    by_age: VecDeque<(Micros, String)>,
}

impl TerminatedMachines {
    /// Reports whether a machine was terminated recently.
    pub fn contains(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// Records the termination of a machine, and removes expired entries.
    pub(crate) fn record(&mut self, machine: &str, now: Micros) {
        self.by_machine.insert(machine.to_owned(), now);
        self.by_age.push_back((now, machine.to_owned()));
        // Entries expire by age. When they were dropped by number or by name, a day with many
        // terminations removed the latest ones too early.
        while let Some((at, _)) = self.by_age.front()
            && now.saturating_sub(*at) > TERMINATED_RETENTION
            && let Some((at, machine)) = self.by_age.pop_front()
        {
            if self.by_machine.get(&machine) == Some(&at) {
                self.by_machine.remove(&machine);
            }
        }
    }
}

/// The cloud-side state of a partition.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Launched machines that have not sent a heartbeat yet.
    pub pending_instances: PendingInstances,
    /// Terminated machines; late heartbeats from them claim nothing.
    pub terminated: TerminatedMachines,
    /// Requests without a reply, by name.
    scale_outs: BTreeMap<String, PendingScaleOut>,
    last_request_number: u64,
    /// Until when each refused offer is not requested.
    refused: BTreeMap<MachineOffer, Micros>,
    /// Zones that are unreachable, or were until a moment ago, with the time when each entry
    /// expires.
    unreachable_zones_until: BTreeMap<String, Micros>,
    next_scale_in_at: Micros,
}

impl Fleet {
    /// Records refusals of spot machines of these types in these zones.
    #[cfg(test)]
    pub(crate) fn record_spot_refusals(&mut self, types: &[&str], zones: &[&str], until: Micros) {
        for machine_type in types {
            for zone in zones {
                self.record_refusal(MachineOffer::new(machine_type, zone, true), until);
            }
        }
    }

    /// Reports whether no launched machine is pending and no request is without a reply.
    pub fn has_no_pending_machines(&self) -> bool {
        self.pending_instances.is_empty() && self.scale_outs.is_empty()
    }

    /// Returns the requests without a reply.
    pub(super) fn pending_requests(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.scale_outs.values().map(|pending| &pending.request)
    }

    /// Returns the number of a new request. No number is returned twice.
    pub(super) fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    pub(super) fn add_request(&mut self, request: ScaleOutRequest, now: Micros) {
        let name = request.name.clone();
        self.scale_outs.insert(name, PendingScaleOut { request, issued_at: now, retry_at: None });
    }

    /// Removes a request that was answered. Returns when it was issued, if the request is known.
    pub(super) fn remove_request(&mut self, name: &str) -> Option<Micros> {
        self.scale_outs.remove(name).map(|pending| pending.issued_at)
    }

    /// Removes a request that was refused for lack of capacity, and records the refusal of its
    /// offer.
    pub(super) fn handle_refusal(&mut self, request: &ScaleOutRequest, now: Micros) {
        self.scale_outs.remove(&request.name);
        self.record_refusal(MachineOffer::of_request(request), now + REFUSAL_RETENTION);
    }

    /// Schedules the repetition of a request of which it is unknown whether it was carried out.
    pub(super) fn schedule_retry(&mut self, name: &str, at: Micros) {
        if let Some(pending) = self.scale_outs.get_mut(name) {
            pending.retry_at = Some(at);
        }
    }

    /// Returns the requests that are due to be repeated, and clears their schedule.
    pub(super) fn take_due_retries(&mut self, now: Micros) -> Vec<ScaleOutRequest> {
        let mut due = Vec::new();
        for pending in self.scale_outs.values_mut() {
            if pending.retry_at.is_some_and(|at| now >= at) {
                pending.retry_at = None;
                due.push(pending.request.clone());
            }
        }
        due
    }

    pub(super) fn record_refusal(&mut self, offer: MachineOffer, until: Micros) {
        self.refused.insert(offer, until);
    }

    /// Removes expired refusals.
    pub(super) fn remove_expired_refusals(&mut self, now: Micros) {
        self.refused.retain(|_, until| *until > now);
    }

    /// Reports whether an offer is refused at a given time.
    pub(super) fn is_refused(&self, offer: &MachineOffer, now: Micros) -> bool {
        self.refused.get(offer).is_some_and(|until| *until > now)
    }

    /// Reports whether a refusal of an offer is recorded.
    pub(super) fn has_recorded_refusal(&self, offer: &MachineOffer) -> bool {
        self.refused.contains_key(offer)
    }

    /// Reports whether machines may be terminated, which is delayed after a failed call.
    pub(super) fn may_scale_in(&self, now: Micros) -> bool {
        now >= self.next_scale_in_at
    }

    pub(super) fn delay_scale_in_until(&mut self, at: Micros) {
        self.next_scale_in_at = at;
    }

    /// Records that zones are unreachable until a given time, and removes expired entries.
    pub(super) fn record_unreachable_zones(
        &mut self,
        zones: impl IntoIterator<Item = String>,
        until: Micros,
        now: Micros,
    ) {
        for zone in zones {
            self.unreachable_zones_until.insert(zone, until);
        }
        self.unreachable_zones_until.retain(|_, until| *until > now);
    }

    /// Returns the zones that are unreachable, or were until a moment ago.
    pub(super) fn unreachable_zones(&self) -> impl Iterator<Item = &String> {
        self.unreachable_zones_until.keys()
    }
}
