//! Warm capacity: room that is kept at hand for services, since a boot takes longer than they should
//! wait.

use std::collections::BTreeMap;

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::MachineType;

use super::demand::Wanted;
use super::offer::MachineOffer;
use crate::machines::machine::Machine;
use crate::partition::Partition;
use crate::router::Core;

/// Zones in which room is kept at hand for services, and how much of a machine counts as that.
const WARM_CAPACITY_ZONES: usize = 2;
const WARM_CAPACITY_SHARE: f64 = 0.25;

impl Core {
    /// Where each partition keeps room at hand for services, once there are any: an ordinary machine of
    /// the type that boots soonest in each of two zones, since most services are apart. Arrays run
    /// there meanwhile and give way. Without it a service waited out a boot in whichever partition and
    /// zone had no such machine.
    pub(super) fn warm_capacity(&self) -> Vec<MachineOffer> {
        let has_service =
            || self.cache.active_jobs().values().any(|known| known.record.job.is_service());
        let services =
            self.cluster.expects_services(self.now) || (self.cluster.services() && has_service());
        let Some(types) = self.types.as_ref().filter(|_| services) else { return Vec::new() };
        let soonest = types
            .values()
            .min_by(|a, b| a.ready_s.total_cmp(&b.ready_s).then(a.hourly.total_cmp(&b.hourly)));
        let offers = |t: &MachineType| {
            let zones = t.zones.iter().take(WARM_CAPACITY_ZONES);
            zones.map(|zone| MachineOffer::new(&t.name, zone, false)).collect()
        };
        soonest.map(offers).unwrap_or_default()
    }
}

impl Partition {
    /// Adds a machine of each offer that keeps room for services, where none is at hand or coming.
    pub(super) fn add_warm_capacity(
        &self,
        types: &BTreeMap<String, MachineType>,
        warm_capacity: Vec<MachineOffer>,
        wanted: &mut Wanted,
        now: Micros,
    ) {
        for offer in warm_capacity {
            if !self.has_warm_capacity(types, &offer, now) && !self.autoscaling.has_refused(&offer)
            {
                wanted.entry(offer).or_insert(1);
            }
        }
    }

    /// A machine at hand that keeps room for services as this offer would: room that is free, or
    /// that arrays give up.
    pub(super) fn warm_machine(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &MachineOffer,
    ) -> Option<String> {
        let is_warm = |m: &Machine| {
            let record = &m.record;
            let machine_type = types.get(&record.machine_type);
            let lower = m.attempts.values().filter(|s| s.wanted && !s.exited() && !s.service);
            let room = m.free.cpus + lower.map(|s| s.need.cpus).sum::<f64>();
            record.zone == offer.zone
                && !record.spot
                && m.usable()
                && machine_type.is_some_and(|t| room >= t.cpus * WARM_CAPACITY_SHARE)
        };
        self.machines.values().find(|m| is_warm(m)).map(|m| m.name.clone())
    }

    /// Whether such a machine is at hand or on its way.
    pub(super) fn has_warm_capacity(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &MachineOffer,
        now: Micros,
    ) -> bool {
        let coming = |zone: &str, spot: bool| zone == offer.zone && !spot;
        let pending = &self.autoscaling.pending_instances;
        self.warm_machine(types, offer).is_some()
            || pending.iter().any(|e| {
                coming(&e.offer.zone, e.offer.spot) && !e.is_too_late_for_services(types, now)
            })
            || self.autoscaling.requests().any(|r| coming(&r.zone, r.spot))
    }
}
