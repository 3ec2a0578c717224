//! Machines on their way: how long each is waited for, and why no longer.
//!
//! Most machines are up after 0.6 to 1.5 times the usual boot of their type, some take several times as long, and a few
//! never come up; they are charged all the same. What counts as late is decided here and nowhere else.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::MachineOffer;

/// After so many usual boots a machine for services is asked for anew: a moment without a replica is dearer than
/// a machine.
const SERVICES_WAIT_BOOTS: f64 = 1.2;
/// A machine that is not up after so many usual boots, and this much more, is not counted on: what it was
/// rented for gets another one.
const COUNTED_ON_BOOTS: f64 = 1.8;
const COUNTED_ON_MORE: Micros = 3 * SECOND;
/// After so many, and this much more, it is returned: from then on it costs more than a new one would.
const GIVEN_UP_BOOTS: f64 = 3.0;
const GIVEN_UP_MORE: Micros = 20 * SECOND;
/// The boot of a type that is not in the catalogue any more.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// So many late machines of a kind, with none up in time since, show that the next would be late as well.
const LATE_TOGETHER: usize = 3;

/// A rented machine that has not reported yet.
#[derive(Clone, Debug)]
pub struct PendingInstance {
    /// What was asked for to get it.
    pub offer: MachineOffer,
    /// When it was asked for.
    pub since: Micros,
}

impl PendingInstance {
    /// Whether a service waits for it no longer.
    pub fn is_too_late_for_services(
        &self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> bool {
        self.has_waited(types, SERVICES_WAIT_BOOTS, 0, now)
    }

    /// Whether it is late, so that it is not counted on.
    pub fn is_late(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> bool {
        self.has_waited(types, COUNTED_ON_BOOTS, COUNTED_ON_MORE, now)
    }

    /// Whether it is to be returned.
    pub fn is_given_up(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> bool {
        self.has_waited(types, GIVEN_UP_BOOTS, GIVEN_UP_MORE, now)
    }

    fn has_waited(
        &self,
        types: &BTreeMap<String, MachineType>,
        boots: f64,
        more: Micros,
        now: Micros,
    ) -> bool {
        let boot = types
            .get(&self.offer.machine_type)
            .map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.ready_s);
        now.saturating_sub(self.since) > micros_from_secs(boots * boot) + more
    }
}

/// The machines of a partition that are on their way, and which kinds come late lately.
#[derive(Debug, Default)]
pub struct PendingInstances {
    expected: BTreeMap<String, PendingInstance>,
    /// When the last machine of each kind came that was not late, by when it was asked for.
    in_time: BTreeMap<MachineOffer, Micros>,
    /// Late machines that the log was told of.
    logged_late: usize,
}

impl PendingInstances {
    /// A machine was rented.
    pub fn expect(&mut self, machine: &str, expected: PendingInstance) {
        self.expected.insert(machine.to_owned(), expected);
    }

    /// A machine has come up, here or for another partition, or it is gone.
    pub fn forget(&mut self, machine: &str) -> Option<PendingInstance> {
        self.expected.remove(machine)
    }

    /// A machine has come up.
    pub fn arrived(
        &mut self,
        machine: &str,
        types: Option<&BTreeMap<String, MachineType>>,
        now: Micros,
    ) {
        let Some(expected) = self.forget(machine) else { return };
        if types.is_some_and(|types| !expected.is_late(types, now)) {
            let since = self.in_time.entry(expected.offer).or_default();
            *since = expected.since.max(*since);
        }
    }

    /// Whether a machine is awaited here.
    pub fn contains(&self, machine: &str) -> bool {
        self.expected.contains_key(machine)
    }

    /// Whether none is awaited.
    pub fn is_empty(&self) -> bool {
        self.expected.is_empty()
    }

    /// All that are awaited.
    pub fn iter(&self) -> impl Iterator<Item = &PendingInstance> {
        self.expected.values()
    }

    /// The kinds of which several machines are late and none has come in time since they were asked for: more of
    /// them would be late too, so others are tried.
    pub fn late_offers(
        &self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> Vec<MachineOffer> {
        let mut late: BTreeMap<&MachineOffer, usize> = BTreeMap::new();
        for expected in self.expected.values().filter(|e| e.is_late(types, now)) {
            let offer = &expected.offer;
            if self.in_time.get(offer).is_none_or(|since| *since < expected.since) {
                *late.entry(offer).or_default() += 1;
            }
        }
        let many = late.into_iter().filter(|(_, count)| *count >= LATE_TOGETHER);
        many.map(|(offer, _)| offer.clone()).collect()
    }

    /// Takes out the machines that are to be returned, so many at the most.
    pub fn take_given_up(
        &mut self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
        most: usize,
    ) -> Vec<String> {
        let given_up = self.expected.iter().filter(|(_, e)| e.is_given_up(types, now)).take(most);
        let machines: Vec<String> = given_up.map(|(machine, _)| machine.clone()).collect();
        for machine in &machines {
            self.expected.remove(machine);
        }
        machines
    }

    /// How many machines are late, and how many are awaited, if that is news for the log.
    pub fn late_count_change(
        &mut self,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) -> Option<(usize, usize)> {
        let late = self.expected.values().filter(|e| e.is_late(types, now)).count();
        let is_news = (late > 0) != (self.logged_late > 0) || late > 2 * self.logged_late;
        if !is_news {
            return None;
        }
        self.logged_late = late;
        Some((late, self.expected.len()))
    }
}

#[cfg(test)]
mod tests;
