//! Policy: which offer is taken at which price.
//!
//! Guards two bounds: a job waits for no dear machine beyond what an aim needs, and the machines of a
//! partition cost no more than the operator's cap over their lowest prices where cheap ones are to be
//! had.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::MachineRecords;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::Fleet;
use super::demand::{Supply, Unplaced};
use super::offer::{CHEAP, MachineOffer, price, suits_cheaply};
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::resources::Resources;
use crate::scheduling::RunTimes;
use crate::store::cache::Versioned;

/// Most machines are up after so many usual boots.
const USUAL_BOOTS: f64 = 1.2;
/// A kind of machine that comes late lately counts as this many times dearer: others are tried first, as long
/// as they are about as cheap, and where all are late they are asked for as usual.
const LATE_DEARER: f64 = 1.4;
/// Machines in another zone than the leader's count as this many times dearer: at the same price the
/// leader's own zone is taken, as reports take the shorter way.
const FAR_DEARER: f64 = 1.01;
/// A machine that a job needs to begin at all is up by then: jobs have to begin within four minutes, and
/// its claim and the image take a while.
const UP_WITHIN: Micros = 230 * SECOND;

/// What decides about renting at one moment.
#[derive(Clone, Copy)]
pub(super) struct Market<'a> {
    pub config: &'a Config,
    pub run_times: &'a RunTimes,
    /// Machine types by name.
    pub types: &'a BTreeMap<String, MachineType>,
    /// All claimed machines, whichever partition they belong to.
    pub claimed: &'a BTreeMap<String, Versioned<MachineRecords>>,
    pub now: Micros,
}

/// An offer that some tasks of a job could run on.
struct Candidate<'a> {
    machine_type: &'a MachineType,
    offer: MachineOffer,
    price_per_task: f64,
}

impl Market<'_> {
    /// Whether dear machines for a job are limited by what they cost beside cheap ones. That says
    /// nothing where no cheap machine that can run the job is to be had: an empty partition could
    /// afford no ordinary machine, and where the cloud had no spot machines nothing was rented all
    /// day. If other partitions have cheap ones, work moves there. Nor does it keep a job from
    /// beginning for longer than any job may wait; `begins` says that a machine is coming up for it.
    pub fn caps_price(
        &self,
        job: &PartitionJob,
        machine_type: &MachineType,
        begins: bool,
        supply: &Supply,
    ) -> bool {
        let spec = job.spec();
        let boot = micros_from_secs(USUAL_BOOTS * machine_type.ready_s);
        let up_at = self.now.saturating_sub(job.since) + boot;
        let must_begin = job.is_starved(self.now) && up_at >= UP_WITHIN && !begins;
        spec.spot
            && !must_begin
            && (supply.suits_cheaply(self.types, spec) || self.has_cheap_machine_for(spec))
    }

    /// Whether any partition has a cheap machine that can run the job.
    fn has_cheap_machine_for(&self, spec: &JobSpec) -> bool {
        let mut records = self.claimed.values().flat_map(|group| group.record.values());
        records.any(|record| suits_cheaply(self.types, spec, record))
    }

    /// The cheapest offer for the tasks of a job that have no room yet.
    pub fn cheapest(
        &self,
        fleet: &Fleet,
        job: &PartitionJob,
        unplaced: &Unplaced,
        late: &[MachineOffer],
        cheap_only: bool,
    ) -> Option<MachineOffer> {
        let mut best: Option<(f64, MachineOffer)> = None;
        let mut lowest = f64::INFINITY;
        for candidate in self.candidates(job, unplaced) {
            // What is refused now still says what a machine may cost.
            lowest = lowest.min(candidate.price_per_task);
            if fleet.refuses(&candidate.offer, self.now) {
                continue;
            }
            let cost = self.cost(&candidate, job.spec(), late);
            if cost.is_finite() && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, candidate.offer));
            }
        }
        best.filter(|(cost, _)| !cheap_only || *cost <= lowest * CHEAP).map(|(_, offer)| offer)
    }

    /// All offers that tasks of a job without room could run on, by type and zone, spot first.
    fn candidates(&self, job: &PartitionJob, unplaced: &Unplaced) -> Vec<Candidate<'_>> {
        let (spec, need) = (job.spec(), job.need());
        let mut all = Vec::new();
        for machine_type in self.types.values() {
            let count = Resources::capacity_of(machine_type).count(&need).min(unplaced.tasks);
            if count == 0 {
                continue;
            }
            // A job whose tasks must be together has no use for machines in another zone.
            for zone in machine_type.zones.iter().filter(|zone| unplaced.zones.left(zone) > 0) {
                for spot in [true, false] {
                    let offer = MachineOffer::new(&machine_type.name, zone, spot);
                    if offer.permits(spec) {
                        let price_per_task = price(machine_type, spot) / f64::from(count);
                        all.push(Candidate { machine_type, offer, price_per_task });
                    }
                }
            }
        }
        all
    }

    /// What an offer counts as: its price a task, and what it lacks beside others.
    fn cost(&self, candidate: &Candidate, spec: &JobSpec, late: &[MachineOffer]) -> f64 {
        let offer = &candidate.offer;
        let far = if offer.zone == self.config.zone { 1.0 } else { FAR_DEARER };
        let late = if late.contains(offer) { LATE_DEARER } else { 1.0 };
        let cost = candidate.price_per_task * far * late;
        // A moment without a replica is dearer than a machine.
        if spec.is_service() { candidate.machine_type.ready_s * 1e3 + cost } else { cost }
    }
}
