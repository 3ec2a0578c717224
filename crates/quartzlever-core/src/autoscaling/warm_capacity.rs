//! Warm capacity: capacity that is kept available for services, since a boot takes longer than they
//! should wait.

use std::collections::BTreeMap;

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::MachineType;

use super::demand::Wanted;
use super::offer::MachineOffer;
use crate::machines::machine::Machine;
use crate::partition::Partition;
use crate::router::Core;

/// Number of zones in which capacity is kept available for services.
const WARM_CAPACITY_ZONES: usize = 2;
/// Share of the processors of a machine that is free or occupied by array tasks, from which the
/// machine counts as warm capacity.
const MIN_WARM_CAPACITY_SHARE: f64 = 0.25;

impl Core {
    /// Returns the offers of which each partition keeps a machine available, once there are
    /// services or the first are expected: an on-demand machine of the type that boots fastest, in
    /// each of two zones, since most services are spread over zones. Array tasks run there
    /// meanwhile and are preempted. Without warm capacity a service had to wait for a boot in each
    /// partition and zone that had no such machine.
    pub(super) fn warm_capacity(&self) -> Vec<MachineOffer> {
        let has_service =
            || self.cache.active_jobs().values().any(|known| known.record.job.is_service());
        let services = self.cluster.expects_services(self.now)
            || (self.cluster.supports_services() && has_service());
        let Some(types) = self.types.as_ref().filter(|_| services) else { return Vec::new() };
        let fastest = types
            .values()
            .min_by(|a, b| a.ready_s.total_cmp(&b.ready_s).then(a.hourly.total_cmp(&b.hourly)));
        let offers = |t: &MachineType| {
            let zones = t.zones.iter().take(WARM_CAPACITY_ZONES);
            zones.map(|zone| MachineOffer::new(&t.name, zone, false)).collect()
        };
        fastest.map(offers).unwrap_or_default()
    }
}

impl Partition {
    /// Adds one machine of each offer for which no warm capacity is claimed, pending or requested,
    /// and which has not been refused.
    pub(super) fn add_warm_capacity(
        &self,
        types: &BTreeMap<String, MachineType>,
        warm_capacity: Vec<MachineOffer>,
        wanted: &mut Wanted,
        now: Micros,
    ) {
        for offer in warm_capacity {
            if !self.has_warm_capacity(types, &offer, now)
                && !self.fleet.has_recorded_refusal(&offer)
            {
                wanted.entry(offer).or_insert(1);
            }
        }
    }

    /// Returns a claimed machine that provides the warm capacity of an offer: free capacity, or
    /// capacity that array tasks occupy.
    pub(super) fn warm_machine(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &MachineOffer,
    ) -> Option<String> {
        let is_warm = |m: &Machine| {
            let record = &m.record;
            let machine_type = types.get(&record.machine_type);
            let array_attempts =
                m.attempts.values().filter(|a| a.wanted && !a.has_exited() && !a.service);
            let cpus = m.free.cpus + array_attempts.map(|a| a.required_resources.cpus).sum::<f64>();
            record.zone == offer.zone
                && !record.spot
                && m.is_usable()
                && machine_type.is_some_and(|t| cpus >= t.cpus * MIN_WARM_CAPACITY_SHARE)
        };
        self.machines.values().find(|m| is_warm(m)).map(|m| m.name.clone())
    }

    /// Reports whether warm capacity for an offer is claimed, pending or requested.
    pub(super) fn has_warm_capacity(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &MachineOffer,
        now: Micros,
    ) -> bool {
        let matches_offer = |zone: &str, spot: bool| zone == offer.zone && !spot;
        let pending = &self.fleet.pending_instances;
        self.warm_machine(types, offer).is_some()
            || pending.iter().any(|i| {
                matches_offer(&i.offer.zone, i.offer.spot)
                    && !i.is_too_late_for_services(types, now)
            })
            || self.fleet.pending_requests().any(|r| matches_offer(&r.zone, r.spot))
    }
}
