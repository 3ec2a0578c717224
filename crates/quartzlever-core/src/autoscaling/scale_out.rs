//! Renting machines: what is missing for the queue of a partition, and room kept for services.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::{CloudCall, CloudReply, MachineType, ScaleOutRequest};
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{MachineRecord, MachineRecords};
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use super::{Offer, PendingInstance, PendingScaleOut, RETRY};
use crate::calls::{PendingCloudCall, PendingPeerCall};
use crate::config::Config;
use crate::events::LogEvent;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::scheduling::placement::{RunTimes, ZoneCapacity, offer_allowed, urgency, zone_capacity};

/// How long a refused kind of machine is not asked for again.
const REFUSAL_REMEMBERED_FOR: Micros = 10 * SECOND;
/// A queue that is gone within this time brings no machines, not even cheap ones.
const EAGER: Micros = 15 * SECOND;
/// Zones in which room is kept at hand for services, and how much of a machine counts as that.
const WARM_CAPACITY_ZONES: usize = 2;
const WARM_CAPACITY_SHARE: f64 = 0.25;
/// So long lower work has to give way to a service before a machine is asked for.
const GIVEN_WAY: Micros = 2 * SECOND;
/// An offer counts as cheap up to this many times the lowest price for the job.
const CHEAP: f64 = 1.5;
/// Most machines are up after so many usual boots.
const USUAL_BOOTS: f64 = 1.2;
/// A kind of machine that comes late lately counts as this much dearer: others are tried first, as long as they are
/// about as cheap, and where all are late they are asked for as usual.
const LATE_DEARER: f64 = 1.4;
/// A machine that a job needs to begin at all is up by then: jobs have to begin within four minutes, and
/// its claim and the image take a while.
const UP_WITHIN: Micros = 230 * SECOND;
/// Queues take so much longer than their work divided by the processors.
const DRAIN_SPARE: f64 = 1.2;
/// The most machines in one request for them.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Requests for machines of one partition without an answer, at the most.
const MAX_PENDING_REQUESTS: usize = 4;
/// Machines in excess of this many are not rented in one round.
const MAX_MACHINES_PER_ROUND: u32 = 150;

/// Room of one kind that will be there or could be rented.
struct Bin {
    offer: Offer,
    free: Resources,
}

/// The machines of a partition, there or coming up, and the work that is ahead of them.
#[derive(Default)]
struct Supply {
    /// Room on machines that are coming up.
    bins: Vec<Bin>,
    /// Kinds of machines at hand or coming up.
    offers: Vec<Offer>,
    cpus: f64,
    /// What the machines cost an hour, and would cost at their types' lowest prices.
    paid: f64,
    lowest: f64,
    /// Work ahead in the queue, in processor-seconds; what runs counts by what is left of it.
    pending_revision_reads: f64,
    /// Kinds of machines that come late lately.
    late: Vec<Offer>,
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
        let is_known =
            |offer: &Offer| offer.0 == machine_type && offer.1 == zone && offer.2 == spot;
        if !self.offers.iter().any(is_known) {
            self.offers.push((machine_type.to_owned(), zone.to_owned(), spot));
        }
    }

    fn add_coming(&mut self, machine_type: &MachineType, offer: Offer) {
        self.add(machine_type, &offer.1, offer.2);
        self.bins.push(Bin { offer, free: Resources::capacity_of(machine_type) });
    }

    /// Whether a machine at hand or coming up can run tasks of a job.
    fn suits(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer_suits(types, spec, offer))
    }

    /// Whether a cheap machine at hand or coming up can.
    fn suits_cheaply(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        let cheap = |offer: &Offer| {
            types.get(&offer.0).is_some_and(|machine_type| !is_dear(machine_type, offer.2))
        };
        self.offers.iter().any(|offer| cheap(offer) && offer_suits(types, spec, offer))
    }

    /// When the work ahead will be done, with a little to spare.
    fn drained_at(&self, now: Micros) -> Micros {
        now + micros_from_secs(self.pending_revision_reads / self.cpus * DRAIN_SPARE)
    }

    /// Whether one more machine keeps the price of all within `cap` times the lowest, if it is dear.
    fn affords(&self, machine_type: &MachineType, spot: bool, cap: f64) -> bool {
        let (more, least) = (price(machine_type, spot), cheapest_price(machine_type));
        !is_dear(machine_type, spot) || self.paid + more <= (self.lowest + least) * cap
    }
}

/// What decides about renting at one moment.
#[derive(Clone, Copy)]
struct Market<'a> {
    config: &'a Config,
    run_times: &'a RunTimes,
    types: &'a BTreeMap<String, MachineType>,
    /// All claimed machines, whichever partition they belong to.
    claimed: &'a BTreeMap<String, (MachineRecords, u64)>,
    now: Micros,
}

impl Market<'_> {
    /// Whether dear machines for a job are limited by what they cost beside cheap ones. That says
    /// nothing where no cheap machine that can run the job is to be had: an empty partition could
    /// afford no ordinary machine, and where the cloud had no spot machines nothing was rented all
    /// day. If other partitions have cheap ones, work moves there. Nor does it keep a job from
    /// beginning for longer than any job may wait; `begins` says that a machine is coming up for it.
    fn caps_price(
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
        let suits = |record: &MachineRecord| {
            let offer = (record.machine_type.clone(), record.zone.clone(), record.spot);
            self.types
                .get(&record.machine_type)
                .is_some_and(|machine_type| !is_dear(machine_type, record.spot))
                && offer_suits(self.types, spec, &offer)
        };
        self.claimed.values().flat_map(|(hosts, _)| hosts.values()).any(suits)
    }
}

/// Tasks of a job that have no room yet. A job that is spread over zones needs room in each of them:
/// with one machine for all of it half of a service waited out a second boot.
struct Unplaced {
    tasks: u32,
    zones: ZoneCapacity,
}

impl Unplaced {
    /// Puts as many of the tasks as possible on a machine that is coming.
    fn fill(&mut self, bin: &mut Bin, need: &Resources) {
        let zone = &bin.offer.1;
        let count = bin.free.count(need).min(self.tasks).min(self.zones.left(zone));
        for _ in 0..count {
            bin.free.take(need);
        }
        self.zones.take(zone, count);
        self.tasks -= count;
    }
}

/// Whether a job may run on such machines, which are to be had where they are offered.
fn offer_permits(spec: &JobSpec, offer: &Offer) -> bool {
    offer_allowed(spec, &offer.0, &offer.1, offer.2)
}

/// Whether tasks of a job can run on such machines.
fn offer_suits(types: &BTreeMap<String, MachineType>, spec: &JobSpec, offer: &Offer) -> bool {
    let fits = |machine_type: &MachineType| {
        Resources::capacity_of(machine_type).fits(&Resources::required_by(spec))
    };
    offer_permits(spec, offer) && types.get(&offer.0).is_some_and(fits)
}

/// Whether such machines cost far more than the type's lowest price.
fn is_dear(machine_type: &MachineType, spot: bool) -> bool {
    price(machine_type, spot) > cheapest_price(machine_type) * CHEAP
}

pub(super) fn price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot { machine_type.market_price.unwrap_or(f64::INFINITY) } else { machine_type.hourly }
}

/// The lowest price that machines of a type are to be had for.
pub(super) fn cheapest_price(machine_type: &MachineType) -> f64 {
    machine_type.market_price.unwrap_or(machine_type.hourly).min(machine_type.hourly)
}

impl Core {
    /// Where each partition keeps room at hand for services, once there are any: an ordinary machine of
    /// the type that boots soonest in each of two zones, since most services are apart. Arrays run
    /// there meanwhile and give way. Without it a service waited out a boot in whichever partition and
    /// zone had no such machine.
    pub(super) fn warm_capacity(&self) -> Vec<Offer> {
        let has_service =
            || self.cache.active_jobs.values().any(|(record, _)| record.job.is_service());
        let services =
            self.cluster.expects_services(self.now) || (self.cluster.services() && has_service());
        let Some(types) = self.types.as_ref().filter(|_| services) else { return Vec::new() };
        let soonest = types
            .values()
            .min_by(|a, b| a.ready_s.total_cmp(&b.ready_s).then(a.hourly.total_cmp(&b.hourly)));
        let offers = |t: &MachineType| {
            let zones = t.zones.iter().take(WARM_CAPACITY_ZONES);
            zones.map(|zone| (t.name.clone(), zone.clone(), false)).collect()
        };
        soonest.map(offers).unwrap_or_default()
    }

    pub(super) fn scale_out(&mut self, name: &str) {
        let now = self.now;
        let warm_capacity = self.warm_capacity();
        let Some(types) = &self.types else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut calls: Vec<ScaleOutRequest> = Vec::new();
        for open in partition.autoscaling.scale_outs.values_mut() {
            if open.retry_at.is_some_and(|t| now >= t) {
                open.retry_at = None;
                calls.push(open.request.clone());
            }
        }
        partition.autoscaling.refused.retain(|_, until| *until > now);
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        let market = Market {
            config: &self.config,
            run_times: &self.run_times,
            types,
            claimed: &self.cache.ownership_groups,
            now,
        };
        partition.plan_scale_out(&market, &mut wanted);
        for offer in warm_capacity {
            if !partition.has_warm_capacity(types, &offer, now)
                && !partition.autoscaling.refused.contains_key(&offer)
            {
                wanted.entry(offer).or_insert(1);
            }
        }
        let mut asks = Vec::new();
        for (offer, mut count) in wanted {
            while count > 0 {
                asks.push((offer.clone(), count.min(MAX_MACHINES_PER_REQUEST)));
                count -= count.min(MAX_MACHINES_PER_REQUEST);
            }
        }
        asks.truncate(MAX_PENDING_REQUESTS.saturating_sub(partition.autoscaling.scale_outs.len()));
        for ((machine_type, zone, spot), count) in asks {
            partition.autoscaling.scale_outs_issued += 1;
            // Never used before or after: the term is unique and the counter its leader's.
            let request = ScaleOutRequest {
                name: format!(
                    "{}.{}.{}",
                    partition.name, partition.term, partition.autoscaling.scale_outs_issued
                ),
                machine_type,
                zone,
                spot,
                count,
            };
            let open = PendingScaleOut { request: request.clone(), since: now, retry_at: None };
            partition.autoscaling.scale_outs.insert(request.name.clone(), open);
            calls.push(request);
        }
        let term = partition.term;
        for request in calls {
            self.outbox.log(LogLevel::Info, || LogEvent::MachinesRequested {
                partition: name.to_owned(),
                machine_type: request.machine_type.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                count: request.count,
            });
            let work = PendingCloudCall::ScaleOutRequest {
                partition: name.to_owned(),
                term,
                request: request.clone(),
            };
            self.call_cloud(CloudCall::ScaleOut(request), work);
        }
    }

    pub(super) fn scale_outs_issued(
        &mut self,
        name: &str,
        term: u64,
        request: ScaleOutRequest,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let known = &self.cache.group_of_machine;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.term == term) else {
            return;
        };
        match result {
            Ok(CloudReply::ScaledOut(hosts)) => {
                let since =
                    partition.autoscaling.scale_outs.remove(&request.name).map_or(now, |o| o.since);
                if (hosts.len() as u32) < request.count {
                    let offer = (request.machine_type.clone(), request.zone.clone(), request.spot);
                    partition.autoscaling.refused.insert(offer, now + REFUSAL_REMEMBERED_FOR);
                }
                for host in &hosts {
                    if !known.contains_key(host) && !partition.autoscaling.terminated.contains(host)
                    {
                        let expected = PendingInstance {
                            machine_type: request.machine_type.clone(),
                            zone: request.zone.clone(),
                            spot: request.spot,
                            since,
                        };
                        partition.autoscaling.pending_instances.expect(host, expected);
                    }
                }
                for host in &hosts {
                    self.cloud.note_launch(host.clone(), name, now);
                }
                for node in self.config.nodes.clone() {
                    if node != self.config.node {
                        let request = PeerRequest::ScaledOut {
                            partition: name.to_owned(),
                            hosts: hosts.clone(),
                        };
                        self.outbox.ask_peer(&node, request, PendingPeerCall::Notification);
                    }
                }
            }
            Ok(CloudReply::NoCapacity) => {
                self.outbox.log(LogLevel::Info, || LogEvent::NoCapacity {
                    partition: name.to_owned(),
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                });
                partition.autoscaling.scale_outs.remove(&request.name);
                let offer = (request.machine_type, request.zone, request.spot);
                partition.autoscaling.refused.insert(offer, now + REFUSAL_REMEMBERED_FOR);
            }
            _ => {
                if let Some(open) = partition.autoscaling.scale_outs.get_mut(&request.name) {
                    open.retry_at = Some(now + RETRY);
                }
            }
        }
    }
}

impl Partition {
    /// A machine at hand that keeps room for services as this offer would: room that is free, or
    /// that arrays give up.
    pub(super) fn warm_machine(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &Offer,
    ) -> Option<String> {
        let stands = |m: &Machine| {
            let record = &m.record;
            let machine_type = types.get(&record.machine_type);
            let lower = m.slots.values().filter(|s| s.wanted && !s.exited() && !s.service);
            let room = m.free.cpus + lower.map(|s| s.need.cpus).sum::<f64>();
            record.zone == offer.1
                && !record.spot
                && m.usable()
                && machine_type.is_some_and(|k| room >= k.cpus * WARM_CAPACITY_SHARE)
        };
        self.machines.values().find(|m| stands(m)).map(|m| m.name.clone())
    }

    /// Whether such a machine is at hand or on its way.
    pub(super) fn has_warm_capacity(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &Offer,
        now: Micros,
    ) -> bool {
        let coming = |zone: &str, spot: bool| zone == offer.1 && !spot;
        self.warm_machine(types, offer).is_some()
            || self
                .autoscaling
                .pending_instances
                .iter()
                .any(|e| coming(&e.zone, e.spot) && !e.is_too_late_for_services(types, now))
            || self.autoscaling.scale_outs.values().any(|h| coming(&h.request.zone, h.request.spot))
    }

    /// What should be rented for the ready tasks that neither the machines at hand nor those
    /// coming up can serve in time.
    fn plan_scale_out(&self, market: &Market, wanted: &mut BTreeMap<Offer, u32>) {
        let Market { config, run_times, types, now, .. } = *market;
        let mut supply = self.supply(types, now);
        for id in self.queue_order(config, run_times, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.fails_everywhere() && supply.suits(types, job.spec()) {
                // More machines would not help it, but with none it could never show that it is
                // sound: all that it had failed on may have been faulty, and be gone.
                continue;
            }
            self.scale_out_for_job(market, job, &mut supply, wanted);
        }
    }

    /// Adds what should be rented for one job, and its tasks to the work ahead.
    fn scale_out_for_job(
        &self,
        market: &Market,
        job: &PartitionJob,
        supply: &mut Supply,
        wanted: &mut BTreeMap<Offer, u32>,
    ) {
        let Market { config, run_times, types, now, .. } = *market;
        let (spec, need) = (job.spec(), job.need());
        let mut unplaced =
            Unplaced { tasks: job.ready.len(), zones: zone_capacity(self, job, &config.zones) };
        for bin in supply.bins.iter_mut().filter(|bin| offer_permits(spec, &bin.offer)) {
            unplaced.fill(bin, &need);
        }
        let expect = run_times.expect(spec).max(SECOND);
        supply.pending_revision_reads +=
            f64::from(job.ready.len()) * need.cpus * expect as f64 / 1e6;
        if unplaced.tasks == 0 || self.gives_way_to(job, now) {
            return;
        }
        let latest = urgency(config, run_times, job, now).latest;
        let must_rent = spec.is_service() || self.is_welcome_nowhere(job);
        while unplaced.tasks > 0 && wanted.values().sum::<u32>() < MAX_MACHINES_PER_ROUND {
            let mut cheap_only = false;
            if supply.cpus > 0.0 && !must_rent {
                let last_start = supply.drained_at(now).saturating_sub(expect);
                if last_start <= latest.min(now + EAGER) {
                    break;
                }
                // Cheap machines come for any queue that is not gone soon, others only for an
                // aim, and only as many as it takes: one machine serves several waves.
                cheap_only = last_start <= latest;
            }
            let Some(offer) = self.cheapest(market, job, &unplaced, &supply.late, cheap_only)
            else {
                break;
            };
            let Some(machine_type) = types.get(&offer.0) else { break };
            let begins = unplaced.tasks < job.ready.len();
            if !supply.affords(machine_type, offer.2, config.operator.price_cap)
                && market.caps_price(job, machine_type, begins, supply)
            {
                break;
            }
            *wanted.entry(offer.clone()).or_default() += 1;
            supply.add(machine_type, &offer.1, offer.2);
            let mut bin = Bin { offer, free: Resources::capacity_of(machine_type) };
            unplaced.fill(&mut bin, &need);
            supply.bins.push(bin);
            if job.fails_everywhere() {
                break;
            }
        }
    }

    /// The machines at hand and those coming up, and the work that runs on them.
    fn supply(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> Supply {
        let mut supply = Supply::default();
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
        for expected in self.autoscaling.pending_instances.iter().filter(|e| !e.is_late(types, now))
        {
            let Some(machine_type) = types.get(&expected.machine_type) else { continue };
            supply.add_coming(machine_type, expected.offer());
        }
        supply.late = self.autoscaling.pending_instances.late_offers(types, now);
        for PendingScaleOut { request, .. } in self.autoscaling.scale_outs.values() {
            let Some(machine_type) = types.get(&request.machine_type) else { continue };
            for _ in 0..request.count {
                supply.add_coming(
                    machine_type,
                    (request.machine_type.clone(), request.zone.clone(), request.spot),
                );
            }
        }
        for slot in self.occupied_slots() {
            let ran = slot.running_since.map_or(0, |since| now.saturating_sub(since));
            supply.pending_revision_reads +=
                slot.expect.saturating_sub(ran) as f64 / 1e6 * slot.need.cpus;
        }
        supply
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

    /// The cheapest offer for the tasks of a job that have no room yet.
    fn cheapest(
        &self,
        market: &Market,
        job: &PartitionJob,
        unplaced: &Unplaced,
        late: &[Offer],
        cheap_only: bool,
    ) -> Option<Offer> {
        let Market { config, types, now, .. } = *market;
        let spec = job.spec();
        let need = job.need();
        let mut best: Option<(f64, Offer)> = None;
        let mut lowest = f64::INFINITY;
        for machine_type in types.values() {
            let count = Resources::capacity_of(machine_type).count(&need).min(unplaced.tasks);
            if count == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let offer = (machine_type.name.clone(), zone.clone(), spot);
                    // A job whose tasks must be together has no use for machines in another zone.
                    if unplaced.zones.left(zone) == 0 || !offer_permits(spec, &offer) {
                        continue;
                    }
                    lowest = lowest.min(price(machine_type, spot) / f64::from(count));
                    if self.autoscaling.refused.get(&offer).is_some_and(|until| *until > now) {
                        continue;
                    }
                    // At the same price the leader's own zone: reports take the shorter way.
                    let far = if *zone == config.zone { 1.0 } else { 1.01 };
                    let late = if late.contains(&offer) { LATE_DEARER } else { 1.0 };
                    let cost = price(machine_type, spot) / f64::from(count) * far * late;
                    // A moment without a replica is dearer than a machine.
                    let cost =
                        if spec.is_service() { machine_type.ready_s * 1e3 + cost } else { cost };
                    if cost.is_finite() && best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.filter(|(cost, _)| !cheap_only || *cost <= lowest * CHEAP).map(|(_, offer)| offer)
    }
}
