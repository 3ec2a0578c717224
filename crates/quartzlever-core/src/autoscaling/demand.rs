//! Demand: the machines that the queue of a partition lacks, counted by offer.
//!
//! The supply consists of the claimed and the pending machines. The jobs, in queue order, fill the
//! capacity of the pending machines. For the tasks of a job that are left over, machines are added
//! until the job can start in time. Nothing here calls the cloud or changes the partition.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use super::offer::{MachineOffer, hourly_price, is_expensive, lowest_hourly_price};
use super::policy::ScaleOutContext;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;
use crate::scheduling::{ZoneCapacity, urgency, zone_capacity};

/// No machines are requested for a queue whose last task is expected to start within this time, not
/// even cheap ones, unless an objective requires it.
const NEGLIGIBLE_WAIT: Micros = 15 * SECOND;
/// How long a service waits for the preemption of lower-priority work before a machine is
/// requested.
const PREEMPTION_GRACE: Micros = 2 * SECOND;
/// Factor by which a queue takes longer to drain than its work divided by the processors.
const DRAIN_TIME_FACTOR: f64 = 1.2;
/// Maximum number of machines that one round requests for the queue.
const MAX_MACHINES_PER_ROUND: u32 = 150;

/// The number of machines wanted of each offer.
pub(super) type Wanted = BTreeMap<MachineOffer, u32>;

/// The free capacity of one machine that is pending or planned.
struct Bin {
    offer: MachineOffer,
    free: Resources,
}

/// The machines of a partition, claimed, pending or planned, and the work ahead of them.
#[derive(Default)]
pub(super) struct Supply {
    /// Free capacity of the pending and planned machines.
    bins: Vec<Bin>,
    /// Offers of all these machines, without duplicates.
    offers: Vec<MachineOffer>,
    cpus: f64,
    /// Price of the machines per hour.
    hourly_cost: f64,
    /// What they would cost per hour at the lowest prices of their types.
    lowest_hourly_cost: f64,
    /// Queued and running work in processor-seconds; running tasks count with what is left of them.
    outstanding_work: f64,
    /// Offers whose machines have recently been late.
    pub late_offers: Vec<MachineOffer>,
}

impl Supply {
    fn add(&mut self, machine_type: &MachineType, zone: &str, spot: bool) {
        self.cpus += machine_type.cpus;
        self.hourly_cost += hourly_price(machine_type, spot);
        self.lowest_hourly_cost += lowest_hourly_price(machine_type);
        self.add_offer(&machine_type.name, zone, spot);
    }

    /// Adds an offer if it is new. There are few offers, and many machines of each.
    fn add_offer(&mut self, machine_type: &str, zone: &str, spot: bool) {
        let is_known = |offer: &MachineOffer| {
            offer.machine_type == machine_type && offer.zone == zone && offer.spot == spot
        };
        if !self.offers.iter().any(is_known) {
            self.offers.push(MachineOffer::new(machine_type, zone, spot));
        }
    }

    fn add_pending(&mut self, machine_type: &MachineType, offer: MachineOffer) {
        self.add(machine_type, &offer.zone, offer.spot);
        self.bins.push(Bin { offer, free: Resources::capacity_of(machine_type) });
    }

    /// Reports whether any of the machines can run tasks of a job.
    fn can_run(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer.can_run(types, spec))
    }

    /// Reports whether any cheap one of the machines can run tasks of a job.
    pub fn can_run_cheaply(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer.is_cheap(types) && offer.can_run(types, spec))
    }

    /// Returns when the outstanding work is expected to be done, with a margin.
    fn drained_at(&self, now: Micros) -> Micros {
        now + micros_from_secs(self.outstanding_work / self.cpus * DRAIN_TIME_FACTOR)
    }

    /// Reports whether one more machine is cheap or keeps the price of all machines within `cap`
    /// times their lowest prices.
    fn is_within_price_cap(&self, machine_type: &MachineType, spot: bool, cap: f64) -> bool {
        let (price, lowest) = (hourly_price(machine_type, spot), lowest_hourly_price(machine_type));
        !is_expensive(machine_type, spot)
            || self.hourly_cost + price <= (self.lowest_hourly_cost + lowest) * cap
    }
}

/// The tasks of a job that no capacity has been found for. A job that is spread over zones needs
/// capacity in each of them: when one machine was requested for the whole job, half of a service
/// had to wait for a second boot.
pub(super) struct Unplaced {
    pub tasks: u32,
    pub zones: ZoneCapacity,
}

impl Unplaced {
    /// Starts with all ready tasks of a job that have no room on a machine.
    fn of_job(partition: &Partition, job: &PartitionJob, config: &Config) -> Self {
        let zones = zone_capacity(partition, job, &config.zones);
        Unplaced { tasks: job.unplaced_count(), zones }
    }

    /// Places as many of the tasks as possible on a pending or planned machine.
    fn place_in(&mut self, bin: &mut Bin, need: &Resources) {
        let zone = &bin.offer.zone;
        let count = bin.free.count_fitting(need).min(self.tasks).min(self.zones.remaining(zone));
        bin.free.subtract_tasks(need, count);
        self.zones.subtract(zone, count);
        self.tasks -= count;
    }
}

/// When the tasks of a job have to start, and whether the job needs machines in any case.
struct StartConstraint {
    expected_run_time: Micros,
    latest_start: Micros,
    needs_machines: bool,
}

/// The offers that may be requested so that a job starts in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermittedOffers {
    Nothing,
    CheapOnly,
    Any,
}

impl StartConstraint {
    /// Returns which offers may be requested. Cheap machines are requested for any queue whose last
    /// task does not start within `NEGLIGIBLE_WAIT`. Other machines are requested only to meet an
    /// objective, and only as many as that takes: one machine runs several waves of tasks. A job
    /// that cannot wait for the present machines may use any offer.
    fn permitted(&self, supply: &Supply, now: Micros) -> PermittedOffers {
        let can_wait = supply.cpus > 0.0 && !self.needs_machines;
        if !can_wait {
            return PermittedOffers::Any;
        }
        let last_start = supply.drained_at(now).saturating_sub(self.expected_run_time);
        if last_start <= self.latest_start.min(now + NEGLIGIBLE_WAIT) {
            PermittedOffers::Nothing
        } else if last_start <= self.latest_start {
            PermittedOffers::CheapOnly
        } else {
            PermittedOffers::Any
        }
    }
}

impl Partition {
    /// Returns the machines to request for ready tasks that neither the claimed nor the pending
    /// machines can run in time.
    pub(super) fn plan_scale_out(&self, context: &ScaleOutContext) -> Wanted {
        let ScaleOutContext { config, run_times, types, now, .. } = *context;
        let mut wanted = Wanted::new();
        let mut supply = self.supply(types, now);
        for id in self.queue_order(config, run_times, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.fails_everywhere() && supply.can_run(types, job.spec()) {
                // More machines would not help the job, but without any it could never prove that
                // it is sound: all machines that it has failed on may have been faulty, and be
                // gone.
                continue;
            }
            self.scale_out_for_job(context, job, &mut supply, &mut wanted);
        }
        wanted
    }

    /// Adds the machines to request for one job to `wanted`, and its tasks to the outstanding work.
    fn scale_out_for_job(
        &self,
        context: &ScaleOutContext,
        job: &PartitionJob,
        supply: &mut Supply,
        wanted: &mut Wanted,
    ) {
        let ScaleOutContext { config, run_times, types, now, .. } = *context;
        let (spec, need) = (job.spec(), job.required_resources());
        let mut unplaced = Unplaced::of_job(self, job, config);
        for bin in supply.bins.iter_mut().filter(|bin| bin.offer.is_allowed_for(spec)) {
            unplaced.place_in(bin, &need);
        }
        let expected_run_time = run_times.expected_run_time(spec).max(SECOND);
        supply.outstanding_work +=
            f64::from(job.ready.len()) * need.cpus * expected_run_time as f64 / 1e6;
        if unplaced.tasks == 0 || self.may_preempt_for(job, now) {
            return;
        }
        let latest_start = urgency(config, run_times, job, now).latest_start;
        let needs_machines = spec.is_service() || self.has_failed_on_all_machines(job);
        let constraint = StartConstraint { expected_run_time, latest_start, needs_machines };
        while unplaced.tasks > 0 && wanted.values().sum::<u32>() < MAX_MACHINES_PER_ROUND {
            let offer = self.next_offer(context, job, &constraint, &unplaced, supply);
            let Some((offer, machine_type)) =
                offer.and_then(|o| types.get(&o.machine_type).map(|t| (o, t)))
            else {
                break;
            };
            *wanted.entry(offer.clone()).or_default() += 1;
            supply.add(machine_type, &offer.zone, offer.spot);
            let mut bin = Bin { offer, free: Resources::capacity_of(machine_type) };
            unplaced.place_in(&mut bin, &need);
            supply.bins.push(bin);
            if job.fails_everywhere() {
                break;
            }
        }
    }

    /// Returns the next machine to request for the unplaced tasks of a job, if any may be
    /// requested.
    fn next_offer(
        &self,
        context: &ScaleOutContext,
        job: &PartitionJob,
        constraint: &StartConstraint,
        unplaced: &Unplaced,
        supply: &Supply,
    ) -> Option<MachineOffer> {
        let permitted = constraint.permitted(supply, context.now);
        if permitted == PermittedOffers::Nothing {
            return None;
        }
        let cheap_only = permitted == PermittedOffers::CheapOnly;
        let offer =
            context.cheapest_offer(&self.fleet, job, unplaced, &supply.late_offers, cheap_only)?;
        let machine_type = context.types.get(&offer.machine_type)?;
        let has_placed_tasks = unplaced.tasks < job.ready.len();
        let exceeds_cap = !supply.is_within_price_cap(
            machine_type,
            offer.spot,
            context.config.operator.price_cap,
        ) && context.is_price_capped(job, machine_type, has_placed_tasks, supply);
        (!exceeds_cap).then_some(offer)
    }

    /// Returns the claimed and pending machines, and the work that runs on them.
    fn supply(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> Supply {
        let mut supply = Supply::default();
        self.add_claimed_machines(&mut supply, types);
        self.add_pending_instances(&mut supply, types, now);
        self.add_pending_scale_outs(&mut supply, types);
        supply.outstanding_work = self.running_work(now);
        supply
    }

    fn add_claimed_machines(&self, supply: &mut Supply, types: &BTreeMap<String, MachineType>) {
        for machine in self.machines.values().filter(|m| m.scale_in_reason.is_none()) {
            let record = &machine.record;
            match types.get(&record.machine_type) {
                Some(machine_type) if machine.fenced => {
                    supply.add(machine_type, &record.zone, record.spot)
                }
                // After a takeover most machines that are not fenced yet are running, and can be
                // used within seconds. Their capacity is not counted before.
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
        let pending = &self.fleet.pending_instances;
        for instance in pending.iter().filter(|i| !i.is_late(types, now)) {
            let Some(machine_type) = types.get(&instance.offer.machine_type) else { continue };
            supply.add_pending(machine_type, instance.offer.clone());
        }
        supply.late_offers = pending.late_offers(types, now);
    }

    fn add_pending_scale_outs(&self, supply: &mut Supply, types: &BTreeMap<String, MachineType>) {
        for request in self.fleet.pending_requests() {
            let Some(machine_type) = types.get(&request.machine_type) else { continue };
            for _ in 0..request.count {
                supply.add_pending(machine_type, MachineOffer::of_request(request));
            }
        }
    }

    /// Returns the remaining work of all active attempts, in processor-seconds.
    fn running_work(&self, now: Micros) -> f64 {
        let mut work = 0.0;
        for attempt in self.active_attempts() {
            self.work.add(1);
            let ran = attempt.running_since.map_or(0, |since| now.saturating_sub(since));
            work += attempt.expected_run_time.saturating_sub(ran) as f64 / 1e6
                * attempt.required_resources.cpus;
        }
        work
    }

    /// Reports whether lower-priority work may still be preempted for a service, which is faster
    /// than launching a machine.
    fn may_preempt_for(&self, job: &PartitionJob, now: Micros) -> bool {
        job.is_service()
            && !self.saturated
            && now.saturating_sub(job.submitted_at) < PREEMPTION_GRACE
    }

    /// Reports whether a job has failed before and has failed on every machine that is not marked
    /// for termination.
    fn has_failed_on_all_machines(&self, job: &PartitionJob) -> bool {
        let is_untried = |machine: &Machine| {
            !job.failures.has_failed_on(&machine.name) && machine.scale_in_reason.is_none()
        };
        !job.failures.is_empty() && !self.machines.values().any(|machine| is_untried(machine))
    }
}
