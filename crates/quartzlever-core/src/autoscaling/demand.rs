//! Demand: which machines the queue of a partition is missing, counted by offer.
//!
//! The machines at hand and those coming up are the supply. Each job of the queue, in its order,
//! fills the room that is coming; what is left asks for machines until the job can start in time.
//! Nothing here calls the cloud or changes the partition.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::offer::{MachineOffer, cheapest_price, is_dear, price};
use super::policy::Market;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;
use crate::scheduling::{ZoneCapacity, urgency, zone_capacity};

/// A queue that is gone within this time brings no machines, not even cheap ones.
const EAGER: Micros = 15 * SECOND;
/// So long lower work has to give way to a service before a machine is asked for.
const GIVEN_WAY: Micros = 2 * SECOND;
/// Queues take so many times as long as their work divided by the processors.
const DRAIN_SPARE: f64 = 1.2;
/// Machines in excess of this many are not rented in one round.
const MAX_MACHINES_PER_ROUND: u32 = 150;

/// How many machines of each offer are wanted.
pub(super) type Wanted = BTreeMap<MachineOffer, u32>;

/// Room of one kind that will be there or could be rented.
struct Bin {
    offer: MachineOffer,
    free: Resources,
}

/// The machines of a partition, there or coming up, and the work that is ahead of them.
#[derive(Default)]
pub(super) struct Supply {
    /// Room on machines that are coming up.
    bins: Vec<Bin>,
    /// Kinds of machines at hand or coming up.
    offers: Vec<MachineOffer>,
    cpus: f64,
    /// What the machines cost an hour, and would cost at their types' lowest prices.
    paid: f64,
    lowest: f64,
    /// Work ahead in the queue, in processor-seconds; what runs counts by what is left of it.
    work_ahead: f64,
    /// Kinds of machines that come late lately.
    pub late: Vec<MachineOffer>,
}

impl Supply {
    fn add(&mut self, machine_type: &MachineType, zone: &str, spot: bool) {
        self.cpus += machine_type.cpus;
        self.paid += price(machine_type, spot);
        self.lowest += cheapest_price(machine_type);
        self.add_offer(&machine_type.name, zone, spot);
    }

    /// Notes a kind of machines. There are few kinds, and many machines of each.
    fn add_offer(&mut self, machine_type: &str, zone: &str, spot: bool) {
        let is_known = |offer: &MachineOffer| {
            offer.machine_type == machine_type && offer.zone == zone && offer.spot == spot
        };
        if !self.offers.iter().any(is_known) {
            self.offers.push(MachineOffer::new(machine_type, zone, spot));
        }
    }

    fn add_coming(&mut self, machine_type: &MachineType, offer: MachineOffer) {
        self.add(machine_type, &offer.zone, offer.spot);
        self.bins.push(Bin { offer, free: Resources::capacity_of(machine_type) });
    }

    /// Whether a machine at hand or coming up can run tasks of a job.
    fn suits(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer.suits(types, spec))
    }

    /// Whether a cheap machine at hand or coming up can.
    pub fn suits_cheaply(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer.is_cheap(types) && offer.suits(types, spec))
    }

    /// When the work ahead will be done, with a little to spare.
    fn drained_at(&self, now: Micros) -> Micros {
        now + micros_from_secs(self.work_ahead / self.cpus * DRAIN_SPARE)
    }

    /// Whether one more machine keeps the price of all within `cap` times the lowest, if it is dear.
    fn affords(&self, machine_type: &MachineType, spot: bool, cap: f64) -> bool {
        let (more, least) = (price(machine_type, spot), cheapest_price(machine_type));
        !is_dear(machine_type, spot) || self.paid + more <= (self.lowest + least) * cap
    }
}

/// Tasks of a job that have no room yet. A job that is spread over zones needs room in each of them:
/// with one machine for all of it half of a service waited out a second boot.
pub(super) struct Unplaced {
    pub tasks: u32,
    pub zones: ZoneCapacity,
}

impl Unplaced {
    /// All ready tasks of a job.
    fn all(partition: &Partition, job: &PartitionJob, config: &Config) -> Self {
        Unplaced { tasks: job.ready.len(), zones: zone_capacity(partition, job, &config.zones) }
    }

    /// Puts as many of the tasks as possible on a machine that is coming.
    fn fill(&mut self, bin: &mut Bin, need: &Resources) {
        let zone = &bin.offer.zone;
        let count = bin.free.count(need).min(self.tasks).min(self.zones.left(zone));
        for _ in 0..count {
            bin.free.take(need);
        }
        self.zones.take(zone, count);
        self.tasks -= count;
    }
}

/// When the tasks of a job have to start, and whether machines for it are needed in any case.
struct StartAim {
    expect: Micros,
    latest: Micros,
    must_rent: bool,
}

/// Which machines may be asked for so that a job starts in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permitted {
    Nothing,
    CheapOnly,
    Any,
}

impl StartAim {
    /// Cheap machines come for any queue that is not gone soon, others only for an aim, and only as
    /// many as it takes: one machine serves several waves.
    fn permitted(&self, supply: &Supply, now: Micros) -> Permitted {
        let can_wait = supply.cpus > 0.0 && !self.must_rent;
        if !can_wait {
            return Permitted::Any;
        }
        let last_start = supply.drained_at(now).saturating_sub(self.expect);
        if last_start <= self.latest.min(now + EAGER) {
            Permitted::Nothing
        } else if last_start <= self.latest {
            Permitted::CheapOnly
        } else {
            Permitted::Any
        }
    }
}

impl Partition {
    /// What should be rented for the ready tasks that neither the machines at hand nor those
    /// coming up can serve in time.
    pub(super) fn plan_scale_out(&self, market: &Market) -> Wanted {
        let Market { config, run_times, types, now, .. } = *market;
        let mut wanted = Wanted::new();
        let mut supply = self.supply(types, now);
        for id in self.queue_order(config, run_times, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.fails_everywhere() && supply.suits(types, job.spec()) {
                // More machines would not help it, but with none it could never show that it is
                // sound: all that it had failed on may have been faulty, and be gone.
                continue;
            }
            self.scale_out_for_job(market, job, &mut supply, &mut wanted);
        }
        wanted
    }

    /// Adds what should be rented for one job, and its tasks to the work ahead.
    fn scale_out_for_job(
        &self,
        market: &Market,
        job: &PartitionJob,
        supply: &mut Supply,
        wanted: &mut Wanted,
    ) {
        let Market { config, run_times, types, now, .. } = *market;
        let (spec, need) = (job.spec(), job.need());
        let mut unplaced = Unplaced::all(self, job, config);
        for bin in supply.bins.iter_mut().filter(|bin| bin.offer.permits(spec)) {
            unplaced.fill(bin, &need);
        }
        let expect = run_times.expect(spec).max(SECOND);
        supply.work_ahead += f64::from(job.ready.len()) * need.cpus * expect as f64 / 1e6;
        if unplaced.tasks == 0 || self.gives_way_to(job, now) {
            return;
        }
        let latest = urgency(config, run_times, job, now).latest;
        let must_rent = spec.is_service() || self.is_welcome_nowhere(job);
        let aim = StartAim { expect, latest, must_rent };
        while unplaced.tasks > 0 && wanted.values().sum::<u32>() < MAX_MACHINES_PER_ROUND {
            let offer = self.next_machine(market, job, &aim, &unplaced, supply);
            let Some((offer, machine_type)) =
                offer.and_then(|o| types.get(&o.machine_type).map(|t| (o, t)))
            else {
                break;
            };
            *wanted.entry(offer.clone()).or_default() += 1;
            supply.add(machine_type, &offer.zone, offer.spot);
            let mut bin = Bin { offer, free: Resources::capacity_of(machine_type) };
            unplaced.fill(&mut bin, &need);
            supply.bins.push(bin);
            if job.fails_everywhere() {
                break;
            }
        }
    }

    /// The next machine to ask for, for the tasks of a job without room, if any may be.
    fn next_machine(
        &self,
        market: &Market,
        job: &PartitionJob,
        aim: &StartAim,
        unplaced: &Unplaced,
        supply: &Supply,
    ) -> Option<MachineOffer> {
        let permitted = aim.permitted(supply, market.now);
        if permitted == Permitted::Nothing {
            return None;
        }
        let cheap_only = permitted == Permitted::CheapOnly;
        let offer = market.cheapest(&self.autoscaling, job, unplaced, &supply.late, cheap_only)?;
        let machine_type = market.types.get(&offer.machine_type)?;
        let begins = unplaced.tasks < job.ready.len();
        let too_dear = !supply.affords(machine_type, offer.spot, market.config.operator.price_cap)
            && market.caps_price(job, machine_type, begins, supply);
        (!too_dear).then_some(offer)
    }

    /// The machines at hand and those coming up, and the work that runs on them.
    fn supply(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> Supply {
        let mut supply = Supply::default();
        self.add_machines_at_hand(&mut supply, types);
        self.add_pending_instances(&mut supply, types, now);
        self.add_pending_scale_outs(&mut supply, types);
        supply.work_ahead = self.running_work(now);
        supply
    }

    fn add_machines_at_hand(&self, supply: &mut Supply, types: &BTreeMap<String, MachineType>) {
        for machine in self.machines.values().filter(|m| m.scale_in_reason.is_none()) {
            let record = &machine.record;
            match types.get(&record.machine_type) {
                Some(machine_type) if machine.fenced => {
                    supply.add(machine_type, &record.zone, record.spot)
                }
                // After a takeover most are there and will be of use within seconds.
                _ => supply.add_offer(&record.machine_type, &record.zone, record.spot),
            }
        }
    }

    fn add_pending_instances(
        &self,
        supply: &mut Supply,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
    ) {
        let pending = &self.autoscaling.pending_instances;
        for expected in pending.iter().filter(|e| !e.is_late(types, now)) {
            let Some(machine_type) = types.get(&expected.offer.machine_type) else { continue };
            supply.add_coming(machine_type, expected.offer.clone());
        }
        supply.late = pending.late_offers(types, now);
    }

    fn add_pending_scale_outs(&self, supply: &mut Supply, types: &BTreeMap<String, MachineType>) {
        for request in self.autoscaling.requests() {
            let Some(machine_type) = types.get(&request.machine_type) else { continue };
            for _ in 0..request.count {
                supply.add_coming(machine_type, MachineOffer::of_request(request));
            }
        }
    }

    /// What is left of all that runs, in processor-seconds.
    fn running_work(&self, now: Micros) -> f64 {
        let mut work = 0.0;
        for attempt in self.active_attempts() {
            let ran = attempt.running_since.map_or(0, |since| now.saturating_sub(since));
            work += attempt.expect.saturating_sub(ran) as f64 / 1e6 * attempt.need.cpus;
        }
        work
    }

    /// Whether lower work may still make way for a service: that is quicker than any machine.
    fn gives_way_to(&self, job: &PartitionJob, now: Micros) -> bool {
        job.service() && !self.saturated && now.saturating_sub(job.since) < GIVEN_WAY
    }

    /// Whether a job has failed on every machine that there is.
    fn is_welcome_nowhere(&self, job: &PartitionJob) -> bool {
        let usable = |machine: &Machine| {
            !job.failures.includes(&machine.name) && machine.scale_in_reason.is_none()
        };
        !job.failures.is_empty() && !self.machines.values().any(|machine| usable(machine))
    }
}
