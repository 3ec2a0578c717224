//! The fleet side of a partition: requests without an answer, machines on their way, what the cloud
//! has refused, and what was returned.
//!
//! A returned machine is remembered for as long as copies of its heartbeats may come; they claim
//! nothing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use quartzlever_wire::cloud::ScaleOutRequest;
use quartzlever_wire::{Micros, SECOND};

use super::offer::MachineOffer;
use super::pending_instances::PendingInstances;
use super::requests::REFUSAL_REMEMBERED_FOR;

/// Late copies of heartbeats come minutes after the original.
const TERMINATED_REMEMBERED_FOR: Micros = 3600 * SECOND;

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
    /// Whether a machine was returned lately.
    pub fn contains(&self, machine: &str) -> bool {
        self.known.contains_key(machine)
    }

    /// Notes that a machine was returned.
    pub(crate) fn put(&mut self, machine: &str, now: Micros) {
        self.known.insert(machine.to_owned(), now);
        self.order.push_back((now, machine.to_owned()));
        // By age: by number or name, a day with many returns forgot the last ones too early.
        while let Some((at, _)) = self.order.front()
            && now.saturating_sub(*at) > TERMINATED_REMEMBERED_FOR
            && let Some((at, machine)) = self.order.pop_front()
        {
            if self.known.get(&machine) == Some(&at) {
                self.known.remove(&machine);
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
    /// By the name of the request.
    scale_outs: BTreeMap<String, PendingScaleOut>,
    scale_outs_issued: u64,
    /// Until when each refused kind of machine is not asked for.
    refused: BTreeMap<MachineOffer, Micros>,
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
                self.refuse(MachineOffer::new(machine_type, zone, true), until);
            }
        }
    }

    /// Whether no machine is rented that has not reported yet, and none is asked for.
    pub fn has_no_pending_machines(&self) -> bool {
        self.pending_instances.is_empty() && self.scale_outs.is_empty()
    }

    /// The requests without an answer.
    pub(super) fn requests(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.scale_outs.values().map(|pending| &pending.request)
    }

    /// The number of a new request, given out once.
    pub(super) fn next_request_number(&mut self) -> u64 {
        self.scale_outs_issued += 1;
        self.scale_outs_issued
    }

    pub(super) fn request_issued(&mut self, request: ScaleOutRequest, now: Micros) {
        let name = request.name.clone();
        self.scale_outs.insert(name, PendingScaleOut { request, since: now, retry_at: None });
    }

    /// A request was answered; since when it was made, unless that is forgotten.
    pub(super) fn request_answered(&mut self, name: &str) -> Option<Micros> {
        self.scale_outs.remove(name).map(|pending| pending.since)
    }

    /// There are no machines of the kind that a request asked for.
    pub(super) fn request_refused(&mut self, request: &ScaleOutRequest, now: Micros) {
        self.scale_outs.remove(&request.name);
        self.refuse(MachineOffer::of_request(request), now + REFUSAL_REMEMBERED_FOR);
    }

    /// Whether a request was carried out is not known: it is repeated.
    pub(super) fn retry_request(&mut self, name: &str, at: Micros) {
        if let Some(pending) = self.scale_outs.get_mut(name) {
            pending.retry_at = Some(at);
        }
    }

    /// The requests that are to be repeated now.
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

    pub(super) fn refuse(&mut self, offer: MachineOffer, until: Micros) {
        self.refused.insert(offer, until);
    }

    /// Forgets what was refused long ago.
    pub(super) fn forget_refusals(&mut self, now: Micros) {
        self.refused.retain(|_, until| *until > now);
    }

    /// Whether a kind of machine is refused at a moment.
    pub(super) fn refuses(&self, offer: &MachineOffer, now: Micros) -> bool {
        self.refused.get(offer).is_some_and(|until| *until > now)
    }

    /// Whether the refusal of a kind of machine is remembered.
    pub(super) fn has_refused(&self, offer: &MachineOffer) -> bool {
        self.refused.contains_key(offer)
    }

    /// Whether machines may be returned again after a return that failed.
    pub(super) fn may_scale_in(&self, now: Micros) -> bool {
        now >= self.next_scale_in_at
    }

    pub(super) fn scale_in_not_before(&mut self, at: Micros) {
        self.next_scale_in_at = at;
    }

    /// Notes which zones are cut off, each until a moment.
    pub(super) fn note_cut_zones(
        &mut self,
        zones: impl IntoIterator<Item = String>,
        until: Micros,
        now: Micros,
    ) {
        for zone in zones {
            self.zone_cut_until.insert(zone, until);
        }
        self.zone_cut_until.retain(|_, until| *until > now);
    }

    /// Zones that are cut off, or were until a moment ago.
    pub(super) fn cut_zones(&self) -> impl Iterator<Item = &String> {
        self.zone_cut_until.keys()
    }
}
