//! Pending instances: how long a launched machine is waited for.
//!
//! Most machines boot in 0.6 to 1.5 times the usual boot time of their type, some take several
//! times as long, and a few never come up; those are charged all the same. Which machines are late
//! is decided only here.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::MachineOffer;

/// Number of boot times after which another machine is requested for services: a moment without a
/// replica costs more than a machine.
const SERVICES_WAIT_BOOTS: f64 = 1.2;
/// Number of boot times, plus `LATE_GRACE`, after which a machine is late. It no longer counts as
/// supply, so another one is requested for the same work.
const LATE_AFTER_BOOTS: f64 = 1.8;
const LATE_GRACE: Micros = 3 * SECOND;
/// Number of boot times, plus `ABANDONED_GRACE`, after which a machine is terminated: from then on
/// it costs more than a new one would.
const ABANDONED_AFTER_BOOTS: f64 = 3.0;
const ABANDONED_GRACE: Micros = 20 * SECOND;
/// Assumed boot time of a type that is no longer in the catalogue.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;
/// Number of late machines of an offer, with none on time since, that show that the next would be
/// late as well.
const MIN_LATE_MACHINES: usize = 3;

/// A launched machine that has not sent a heartbeat yet.
#[derive(Clone, Debug)]
pub struct PendingInstance {
    /// The offer that was requested.
    pub offer: MachineOffer,
    /// When it was requested.
    pub requested_at: Micros,
}

impl PendingInstance {
    /// Reports whether services no longer wait for the machine.
    pub fn is_too_late_for_services(
        &self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> bool {
        self.has_waited_longer_than(types, SERVICES_WAIT_BOOTS, 0, now)
    }

    /// Reports whether the machine is late and therefore does not count as supply.
    pub fn is_late(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> bool {
        self.has_waited_longer_than(types, LATE_AFTER_BOOTS, LATE_GRACE, now)
    }

    /// Reports whether the machine is to be terminated.
    pub fn is_abandoned(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> bool {
        self.has_waited_longer_than(types, ABANDONED_AFTER_BOOTS, ABANDONED_GRACE, now)
    }

    fn has_waited_longer_than(
        &self,
        types: &BTreeMap<String, MachineType>,
        boots: f64,
        grace: Micros,
        now: Micros,
    ) -> bool {
        let boot = types
            .get(&self.offer.machine_type)
            .map_or(UNKNOWN_TYPE_BOOT_S, |machine_type| machine_type.ready_s);
        now.saturating_sub(self.requested_at) > micros_from_secs(boots * boot) + grace
    }
}

/// The pending instances of a partition, and the offers whose machines arrive on time.
#[derive(Debug, Default)]
pub struct PendingInstances {
    instances: BTreeMap<String, PendingInstance>,
    /// The latest request time, by offer, among the machines that have arrived before they were
    /// late.
    latest_on_time: BTreeMap<MachineOffer, Micros>,
    /// Number of late machines in the latest log event.
    last_logged_late: usize,
}

impl PendingInstances {
    /// Adds a launched machine.
    pub fn add(&mut self, machine: &str, instance: PendingInstance) {
        self.instances.insert(machine.to_owned(), instance);
    }

    /// Removes a machine that has come up, here or for another partition, or that is gone.
    pub fn remove(&mut self, machine: &str) -> Option<PendingInstance> {
        self.instances.remove(machine)
    }

    /// Removes a machine that has come up, and notes its offer if the machine was on time.
    pub fn record_arrival(
        &mut self,
        machine: &str,
        types: Option<&BTreeMap<String, MachineType>>,
        now: Micros,
    ) {
        let Some(instance) = self.remove(machine) else { return };
        if types.is_some_and(|types| !instance.is_late(types, now)) {
            let latest = self.latest_on_time.entry(instance.offer).or_default();
            *latest = instance.requested_at.max(*latest);
        }
    }

    /// Reports whether a machine is pending here.
    pub fn contains(&self, machine: &str) -> bool {
        self.instances.contains_key(machine)
    }

    /// Reports whether no machine is pending.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns the pending instances.
    pub fn iter(&self) -> impl Iterator<Item = &PendingInstance> {
        self.instances.values()
    }

    /// Returns the offers of which several machines are late and none requested since has arrived
    /// on time. More of them would be late too, so other offers are tried first.
    pub fn late_offers(
        &self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> Vec<MachineOffer> {
        let mut late_counts: BTreeMap<&MachineOffer, usize> = BTreeMap::new();
        for instance in self.instances.values().filter(|i| i.is_late(types, now)) {
            let offer = &instance.offer;
            if self.latest_on_time.get(offer).is_none_or(|latest| *latest < instance.requested_at) {
                *late_counts.entry(offer).or_default() += 1;
            }
        }
        let offers = late_counts.into_iter().filter(|(_, count)| *count >= MIN_LATE_MACHINES);
        offers.map(|(offer, _)| offer.clone()).collect()
    }

    /// Removes and returns the machines that are to be terminated, at most `limit` of them.
    pub fn take_abandoned(
        &mut self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
        limit: usize,
    ) -> Vec<String> {
        let abandoned =
            self.instances.iter().filter(|(_, i)| i.is_abandoned(types, now)).take(limit);
        let machines: Vec<String> = abandoned.map(|(machine, _)| machine.clone()).collect();
        for machine in &machines {
            self.instances.remove(machine);
        }
        machines
    }

    /// Returns the numbers of late and of pending machines if they are to be logged: when the first
    /// is late, when none is late any longer, and when more than twice as many are late as in the
    /// latest log event.
    pub fn late_count_change(
        &mut self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> Option<(usize, usize)> {
        let late = self.instances.values().filter(|i| i.is_late(types, now)).count();
        let should_log =
            (late > 0) != (self.last_logged_late > 0) || late > 2 * self.last_logged_late;
        if !should_log {
            return None;
        }
        self.last_logged_late = late;
        Some((late, self.instances.len()))
    }
}

#[cfg(test)]
mod tests;
