//! Scale-out policy: which offer is requested, and at which price.
//!
//! The policy guards two bounds: expensive machines are requested only as far as an objective
//! requires, and where cheap machines are available, the machines of a partition cost at most the
//! operator's price cap times their lowest prices.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::MachineRecords;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::Fleet;
use super::demand::{Supply, Unplaced};
use super::offer::{MAX_CHEAP_PRICE_RATIO, MachineOffer, can_run_cheaply, hourly_price};
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::resources::Resources;
use crate::scheduling::RunTimes;
use crate::store::cache::Versioned;

/// Number of boot times of their type after which most machines are up.
const USUAL_BOOT_FACTOR: f64 = 1.2;
/// Factor on the price of an offer whose machines have recently been late. Other offers of about
/// the same price are tried first; where all are late, they are requested as usual.
const LATE_OFFER_FACTOR: f64 = 1.4;
/// Factor on the price of an offer in another zone than the leader's. At equal prices the leader's
/// own zone is preferred, since heartbeats take a shorter way.
const OTHER_ZONE_FACTOR: f64 = 1.01;
/// Time after the submission of a job by which a machine that it needs in order to start must be
/// up. Jobs have to start within four minutes, and the claim of the machine and the image pull take
/// a while.
const MACHINE_UP_WITHIN: Micros = 230 * SECOND;

/// The inputs of the scale-out decisions of a partition at one moment.
#[derive(Clone, Copy)]
pub(super) struct ScaleOutContext<'a> {
    pub config: &'a Config,
    pub run_times: &'a RunTimes,
    /// Machine types by name.
    pub types: &'a BTreeMap<String, MachineType>,
    /// The records of all claimed machines of all partitions, by group.
    pub claimed: &'a BTreeMap<String, Versioned<MachineRecords>>,
    pub now: Micros,
}

/// An offer that some tasks of a job could run on.
struct Candidate<'a> {
    machine_type: &'a MachineType,
    offer: MachineOffer,
    price_per_task: f64,
}

impl ScaleOutContext<'_> {
    /// Reports whether the price cap applies to expensive machines for a job. `has_placed_tasks`
    /// states that a machine is pending or planned for the job.
    ///
    /// The cap does not apply to jobs that may not run on spot machines, nor where no cheap machine
    /// that can run the job is available: an empty partition could not afford any on-demand
    /// machine, and where the cloud had no spot machines, nothing was launched all day. If other
    /// partitions have cheap machines, work moves there. Nor does the cap delay the start of a job
    /// for longer than any job may wait.
    pub fn is_price_capped(
        &self,
        job: &PartitionJob,
        machine_type: &MachineType,
        has_placed_tasks: bool,
        supply: &Supply,
    ) -> bool {
        let spec = job.spec();
        let boot = micros_from_secs(USUAL_BOOT_FACTOR * machine_type.ready_s);
        let wait_until_up = self.now.saturating_sub(job.submitted_at) + boot;
        let must_start =
            job.is_starved(self.now) && wait_until_up >= MACHINE_UP_WITHIN && !has_placed_tasks;
        spec.spot
            && !must_start
            && (supply.can_run_cheaply(self.types, spec) || self.has_cheap_machine_for(spec))
    }

    /// Reports whether any partition has a cheap machine that can run the job.
    fn has_cheap_machine_for(&self, spec: &JobSpec) -> bool {
        let mut records = self.claimed.values().flat_map(|group| group.record.values());
        records.any(|record| can_run_cheaply(self.types, spec, record))
    }

    /// Returns the cheapest offer for the unplaced tasks of a job, if there is one.
    pub fn cheapest_offer(
        &self,
        fleet: &Fleet,
        job: &PartitionJob,
        unplaced: &Unplaced,
        late_offers: &[MachineOffer],
        cheap_only: bool,
    ) -> Option<MachineOffer> {
        let mut best: Option<(f64, MachineOffer)> = None;
        let mut lowest = f64::INFINITY;
        for candidate in self.candidates(job, unplaced) {
            // Offers that are refused at present still determine the lowest price.
            lowest = lowest.min(candidate.price_per_task);
            if fleet.is_refused(&candidate.offer, self.now) {
                continue;
            }
            let cost = self.weighted_cost(&candidate, job.spec(), late_offers);
            if cost.is_finite() && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, candidate.offer));
            }
        }
        best.filter(|(cost, _)| !cheap_only || *cost <= lowest * MAX_CHEAP_PRICE_RATIO)
            .map(|(_, offer)| offer)
    }

    /// Returns all offers that unplaced tasks of a job could run on, by type and zone, spot first.
    fn candidates(&self, job: &PartitionJob, unplaced: &Unplaced) -> Vec<Candidate<'_>> {
        let (spec, need) = (job.spec(), job.required_resources());
        let mut all = Vec::new();
        for machine_type in self.types.values() {
            let count =
                Resources::capacity_of(machine_type).count_fitting(&need).min(unplaced.tasks);
            if count == 0 {
                continue;
            }
            // A job whose tasks must run in one zone cannot use machines in another zone.
            for zone in machine_type.zones.iter().filter(|zone| unplaced.zones.remaining(zone) > 0)
            {
                for spot in [true, false] {
                    let offer = MachineOffer::new(&machine_type.name, zone, spot);
                    if offer.is_allowed_for(spec) {
                        let price_per_task = hourly_price(machine_type, spot) / f64::from(count);
                        all.push(Candidate { machine_type, offer, price_per_task });
                    }
                }
            }
        }
        all
    }

    /// Returns the cost by which offers are compared: the price per task, times a factor for each
    /// drawback of the offer.
    fn weighted_cost(
        &self,
        candidate: &Candidate,
        spec: &JobSpec,
        late_offers: &[MachineOffer],
    ) -> f64 {
        let offer = &candidate.offer;
        let zone_factor = if offer.zone == self.config.zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let late_factor = if late_offers.contains(offer) { LATE_OFFER_FACTOR } else { 1.0 };
        let cost = candidate.price_per_task * zone_factor * late_factor;
        // For services the boot time comes first: a moment without a replica costs more than a
        // machine.
        if spec.is_service() { candidate.machine_type.ready_s * 1e3 + cost } else { cost }
    }
}
