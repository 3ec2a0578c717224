//! Renting machines: what is missing for the queue of a partition, and room kept for services.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::{CloudCall, CloudReply, Hire, MachineType};
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::state::{HostRecord, Hosts};
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use super::{CloudWork, Expected, Offer, OpenHire, RETRY};
use crate::config::Config;
use crate::engine::Core;
use crate::machine::{Amounts, Machine};
use crate::messages::Weight;
use crate::partition::{Partition, PartitionJob};
use crate::placement::{RunTimes, ZoneRoom, offer_allowed, urgency, zone_room};
use crate::stealing::PeerWork;

/// How long a refused kind of machine is not asked for again.
const REFUSED_FOR: Micros = 10 * SECOND;
/// A queue that is gone within this time brings no machines, not even cheap ones.
const EAGER: Micros = 15 * SECOND;
/// Zones in which room is kept at hand for services, and how much of a machine counts as that.
const STANDBY_ZONES: usize = 2;
const STANDBY_ROOM: f64 = 0.25;
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
const MOST_PER_HIRE: u32 = 50;
/// Requests for machines of one part without an answer, at the most.
const MOST_HIRES: usize = 4;
/// Machines in excess of this many are not rented in one round.
const MOST_PER_ROUND: u32 = 150;

/// Room of one kind that will be there or could be rented.
struct Bin {
    offer: Offer,
    free: Amounts,
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
    ahead: f64,
    /// Kinds of machines that come late lately.
    late: Vec<Offer>,
}

impl Supply {
    fn add(&mut self, kind: &MachineType, zone: &str, spot: bool) {
        self.cpus += kind.cpus;
        self.paid += price(kind, spot);
        self.lowest += cheapest_price(kind);
        self.add_offer(&kind.name, zone, spot);
    }

    /// Notes a kind of machines. There are few kinds, and many machines of each.
    fn add_offer(&mut self, kind: &str, zone: &str, spot: bool) {
        let is_known = |offer: &Offer| offer.0 == kind && offer.1 == zone && offer.2 == spot;
        if !self.offers.iter().any(is_known) {
            self.offers.push((kind.to_owned(), zone.to_owned(), spot));
        }
    }

    fn add_coming(&mut self, kind: &MachineType, offer: Offer) {
        self.add(kind, &offer.1, offer.2);
        self.bins.push(Bin { offer, free: Amounts::of_type(kind) });
    }

    /// Whether a machine at hand or coming up can run tasks of a job.
    fn suits(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.offers.iter().any(|offer| offer_suits(types, spec, offer))
    }

    /// Whether a cheap machine at hand or coming up can.
    fn suits_cheaply(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        let cheap = |offer: &Offer| types.get(&offer.0).is_some_and(|kind| !is_dear(kind, offer.2));
        self.offers.iter().any(|offer| cheap(offer) && offer_suits(types, spec, offer))
    }

    /// When the work ahead will be done, with a little to spare.
    fn drained_at(&self, now: Micros) -> Micros {
        now + micros_from_secs(self.ahead / self.cpus * DRAIN_SPARE)
    }

    /// Whether one more machine keeps the price of all within `cap` times the lowest, if it is dear.
    fn affords(&self, kind: &MachineType, spot: bool, cap: f64) -> bool {
        let (more, least) = (price(kind, spot), cheapest_price(kind));
        !is_dear(kind, spot) || self.paid + more <= (self.lowest + least) * cap
    }
}

/// What decides about renting at one moment.
#[derive(Clone, Copy)]
struct Market<'a> {
    cfg: &'a Config,
    run_times: &'a RunTimes,
    types: &'a BTreeMap<String, MachineType>,
    /// All claimed machines, whichever partition they belong to.
    claimed: &'a BTreeMap<String, (Hosts, u64)>,
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
        kind: &MachineType,
        begins: bool,
        supply: &Supply,
    ) -> bool {
        let spec = job.spec();
        let boot = micros_from_secs(USUAL_BOOTS * kind.ready_s);
        let up_at = self.now.saturating_sub(job.since) + boot;
        let must_begin = job.is_starved(self.now) && up_at >= UP_WITHIN && !begins;
        spec.spot
            && !must_begin
            && (supply.suits_cheaply(self.types, spec) || self.has_cheap_machine_for(spec))
    }

    /// Whether any partition has a cheap machine that can run the job.
    fn has_cheap_machine_for(&self, spec: &JobSpec) -> bool {
        let suits = |record: &HostRecord| {
            let offer = (record.kind.clone(), record.zone.clone(), record.spot);
            self.types.get(&record.kind).is_some_and(|kind| !is_dear(kind, record.spot))
                && offer_suits(self.types, spec, &offer)
        };
        self.claimed.values().flat_map(|(hosts, _)| hosts.values()).any(suits)
    }
}

/// Tasks of a job that have no room yet. A job that is spread over zones needs room in each of them:
/// with one machine for all of it half of a service waited out a second boot.
struct Unplaced {
    tasks: u32,
    zones: ZoneRoom,
}

impl Unplaced {
    /// Puts as many of the tasks as possible on a machine that is coming.
    fn fill(&mut self, bin: &mut Bin, need: &Amounts) {
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
fn may_rent(spec: &JobSpec, offer: &Offer) -> bool {
    offer_allowed(spec, &offer.0, &offer.1, offer.2)
}

/// Whether tasks of a job can run on such machines.
fn offer_suits(types: &BTreeMap<String, MachineType>, spec: &JobSpec, offer: &Offer) -> bool {
    let fits = |kind: &MachineType| Amounts::of_type(kind).fits(&Amounts::of_job(spec));
    may_rent(spec, offer) && types.get(&offer.0).is_some_and(fits)
}

/// Whether such machines cost far more than the type's lowest price.
fn is_dear(kind: &MachineType, spot: bool) -> bool {
    price(kind, spot) > cheapest_price(kind) * CHEAP
}

pub(super) fn price(kind: &MachineType, spot: bool) -> f64 {
    if spot { kind.market_price.unwrap_or(f64::INFINITY) } else { kind.hourly }
}

/// The lowest price that machines of a type are to be had for.
pub(super) fn cheapest_price(kind: &MachineType) -> f64 {
    kind.market_price.unwrap_or(kind.hourly).min(kind.hourly)
}

impl Core {
    /// Where each part keeps room at hand for services, once there are any: an ordinary machine of
    /// the type that boots soonest in each of two zones, since most services are apart. Arrays run
    /// there meanwhile and give way. Without it a service waited out a boot in whichever part and
    /// zone had no such machine.
    pub(super) fn standby(&self) -> Vec<Offer> {
        let has_service = || self.cache.live.values().any(|(record, _)| record.job.is_service());
        let services =
            self.cluster.expects_services(self.now) || (self.cluster.services() && has_service());
        let Some(types) = self.types.as_ref().filter(|_| services) else { return Vec::new() };
        let soonest = types
            .values()
            .min_by(|a, b| a.ready_s.total_cmp(&b.ready_s).then(a.hourly.total_cmp(&b.hourly)));
        let offers = |t: &MachineType| {
            let zones = t.zones.iter().take(STANDBY_ZONES);
            zones.map(|zone| (t.name.clone(), zone.clone(), false)).collect()
        };
        soonest.map(offers).unwrap_or_default()
    }

    pub(super) fn rent(&mut self, name: &str) {
        let now = self.now;
        let standby = self.standby();
        let Some(types) = &self.types else { return };
        let Some(part) = self.parts.get_mut(name) else { return };
        let mut calls: Vec<Hire> = Vec::new();
        for open in part.fleet.hires.values_mut() {
            if open.retry_at.is_some_and(|t| now >= t) {
                open.retry_at = None;
                calls.push(open.hire.clone());
            }
        }
        part.fleet.refused.retain(|_, until| *until > now);
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        let market = Market {
            cfg: &self.cfg,
            run_times: &self.run_times,
            types,
            claimed: &self.cache.blocks,
            now,
        };
        part.shortage(&market, &mut wanted);
        for offer in standby {
            if !part.has_standby(types, &offer, now) && !part.fleet.refused.contains_key(&offer) {
                wanted.entry(offer).or_insert(1);
            }
        }
        let mut asks = Vec::new();
        for (offer, mut count) in wanted {
            while count > 0 {
                asks.push((offer.clone(), count.min(MOST_PER_HIRE)));
                count -= count.min(MOST_PER_HIRE);
            }
        }
        asks.truncate(MOST_HIRES.saturating_sub(part.fleet.hires.len()));
        for ((kind, zone, spot), count) in asks {
            part.fleet.hired += 1;
            // Never used before or after: the term is unique and the counter its holder's.
            let hire = Hire {
                name: format!("{}.{}.{}", part.name, part.term, part.fleet.hired),
                kind,
                zone,
                spot,
                count,
            };
            let open = OpenHire { hire: hire.clone(), since: now, retry_at: None };
            part.fleet.hires.insert(hire.name.clone(), open);
            calls.push(hire);
        }
        let term = part.term;
        for hire in calls {
            self.note(Weight::Info, || {
                let Hire { kind, zone, spot, count, .. } = &hire;
                format!("part {name}: asks for {count} {kind} in {zone}, spot {spot}")
            });
            let work = CloudWork::Hire { part: name.to_owned(), term, hire: hire.clone() };
            self.cloud_call(CloudCall::Rent(hire), work);
        }
    }

    pub(super) fn hired(
        &mut self,
        name: &str,
        term: u64,
        hire: Hire,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let known = &self.cache.hosts;
        let Some(part) = self.parts.get_mut(name).filter(|p| p.term == term) else { return };
        match result {
            Ok(CloudReply::Rented(hosts)) => {
                let since = part.fleet.hires.remove(&hire.name).map_or(now, |o| o.since);
                if (hosts.len() as u32) < hire.count {
                    let offer = (hire.kind.clone(), hire.zone.clone(), hire.spot);
                    part.fleet.refused.insert(offer, now + REFUSED_FOR);
                }
                for host in &hosts {
                    if !known.contains_key(host) && !part.fleet.gone.contains(host) {
                        let expected = Expected {
                            kind: hire.kind.clone(),
                            zone: hire.zone.clone(),
                            spot: hire.spot,
                            since,
                        };
                        part.fleet.arrivals.expect(host, expected);
                    }
                }
                for host in &hosts {
                    self.cloud.hint(host.clone(), name, now);
                }
                for node in self.cfg.nodes.clone() {
                    if node != self.cfg.node {
                        let request =
                            PeerRequest::Rented { part: name.to_owned(), hosts: hosts.clone() };
                        self.ask_peer(&node, request, PeerWork::Told);
                    }
                }
            }
            Ok(CloudReply::NoCapacity) => {
                let what = format!("{} in {}, spot {}", hire.kind, hire.zone, hire.spot);
                part.fleet.hires.remove(&hire.name);
                let offer = (hire.kind, hire.zone, hire.spot);
                part.fleet.refused.insert(offer, now + REFUSED_FOR);
                self.note(Weight::Info, || format!("part {name}: no capacity for {what}"));
            }
            _ => {
                if let Some(open) = part.fleet.hires.get_mut(&hire.name) {
                    open.retry_at = Some(now + RETRY);
                }
            }
        }
    }
}

impl Partition {
    /// A machine at hand that keeps room for services as this offer would: room that is free, or
    /// that arrays give up.
    pub(super) fn standby_at(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &Offer,
    ) -> Option<String> {
        let stands = |m: &Machine| {
            let record = &m.record;
            let kind = types.get(&record.kind);
            let lower = m.slots.values().filter(|s| s.wanted && !s.exited() && !s.service);
            let room = m.room.cpus + lower.map(|s| s.need.cpus).sum::<f64>();
            record.zone == offer.1
                && !record.spot
                && m.usable()
                && kind.is_some_and(|k| room >= k.cpus * STANDBY_ROOM)
        };
        self.machines.values().find(|m| stands(m)).map(|m| m.name.clone())
    }

    /// Whether such a machine is at hand or on its way.
    pub(super) fn has_standby(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &Offer,
        now: Micros,
    ) -> bool {
        let coming = |zone: &str, spot: bool| zone == offer.1 && !spot;
        self.standby_at(types, offer).is_some()
            || self
                .fleet
                .arrivals
                .iter()
                .any(|e| coming(&e.zone, e.spot) && !e.is_too_late_for_services(types, now))
            || self.fleet.hires.values().any(|h| coming(&h.hire.zone, h.hire.spot))
    }

    /// What should be rented for the ready tasks that neither the machines at hand nor those
    /// coming up can serve in time.
    fn shortage(&self, market: &Market, wanted: &mut BTreeMap<Offer, u32>) {
        let Market { cfg, run_times, types, now, .. } = *market;
        let mut supply = self.supply(types, now);
        for id in self.queue_order(cfg, run_times, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.mistaken() && supply.suits(types, job.spec()) {
                // More machines would not help it, but with none it could never show that it is
                // sound: all that it had failed on may have been faulty, and be gone.
                continue;
            }
            self.rent_for_job(market, job, &mut supply, wanted);
        }
    }

    /// Adds what should be rented for one job, and its tasks to the work ahead.
    fn rent_for_job(
        &self,
        market: &Market,
        job: &PartitionJob,
        supply: &mut Supply,
        wanted: &mut BTreeMap<Offer, u32>,
    ) {
        let Market { cfg, run_times, types, now, .. } = *market;
        let (spec, need) = (job.spec(), job.need());
        let mut unplaced =
            Unplaced { tasks: job.ready.len(), zones: zone_room(self, job, &cfg.zones) };
        for bin in supply.bins.iter_mut().filter(|bin| may_rent(spec, &bin.offer)) {
            unplaced.fill(bin, &need);
        }
        let expect = run_times.expect(spec).max(SECOND);
        supply.ahead += f64::from(job.ready.len()) * need.cpus * expect as f64 / 1e6;
        if unplaced.tasks == 0 || self.gives_way_to(job, now) {
            return;
        }
        let latest = urgency(cfg, run_times, job, now).latest;
        let must_rent = spec.is_service() || self.is_welcome_nowhere(job);
        while unplaced.tasks > 0 && wanted.values().sum::<u32>() < MOST_PER_ROUND {
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
            let Some(kind) = types.get(&offer.0) else { break };
            let begins = unplaced.tasks < job.ready.len();
            if !supply.affords(kind, offer.2, cfg.operator.price_cap)
                && market.caps_price(job, kind, begins, supply)
            {
                break;
            }
            *wanted.entry(offer.clone()).or_default() += 1;
            supply.add(kind, &offer.1, offer.2);
            let mut bin = Bin { offer, free: Amounts::of_type(kind) };
            unplaced.fill(&mut bin, &need);
            supply.bins.push(bin);
            if job.mistaken() {
                break;
            }
        }
    }

    /// The machines at hand and those coming up, and the work that runs on them.
    fn supply(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> Supply {
        let mut supply = Supply::default();
        for machine in self.machines.values().filter(|m| m.return_wanted.is_none()) {
            let record = &machine.record;
            match types.get(&record.kind) {
                Some(kind) if machine.fenced => supply.add(kind, &record.zone, record.spot),
                // After a takeover most are there and will be of use within seconds.
                _ => supply.add_offer(&record.kind, &record.zone, record.spot),
            }
        }
        for expected in self.fleet.arrivals.iter().filter(|e| !e.is_late(types, now)) {
            let Some(kind) = types.get(&expected.kind) else { continue };
            supply.add_coming(kind, expected.offer());
        }
        supply.late = self.fleet.arrivals.late_offers(types, now);
        for OpenHire { hire, .. } in self.fleet.hires.values() {
            let Some(kind) = types.get(&hire.kind) else { continue };
            for _ in 0..hire.count {
                supply.add_coming(kind, (hire.kind.clone(), hire.zone.clone(), hire.spot));
            }
        }
        for slot in self.live_slots() {
            let ran = slot.running_since.map_or(0, |since| now.saturating_sub(since));
            supply.ahead += slot.expect.saturating_sub(ran) as f64 / 1e6 * slot.need.cpus;
        }
        supply
    }

    /// Whether lower work may still make way for a service: that is quicker than any machine.
    fn gives_way_to(&self, job: &PartitionJob, now: Micros) -> bool {
        job.service() && !self.pressed && now.saturating_sub(job.since) < GIVEN_WAY
    }

    /// Whether a job has failed on every machine that there is.
    fn is_welcome_nowhere(&self, job: &PartitionJob) -> bool {
        let usable = |machine: &Machine| {
            !job.failures.includes(&machine.name) && machine.return_wanted.is_none()
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
        let Market { cfg, types, now, .. } = *market;
        let spec = job.spec();
        let need = job.need();
        let mut best: Option<(f64, Offer)> = None;
        let mut lowest = f64::INFINITY;
        for kind in types.values() {
            let count = Amounts::of_type(kind).count(&need).min(unplaced.tasks);
            if count == 0 {
                continue;
            }
            for zone in &kind.zones {
                for spot in [true, false] {
                    let offer = (kind.name.clone(), zone.clone(), spot);
                    // A job whose tasks must be together has no use for machines in another zone.
                    if unplaced.zones.left(zone) == 0 || !may_rent(spec, &offer) {
                        continue;
                    }
                    lowest = lowest.min(price(kind, spot) / f64::from(count));
                    if self.fleet.refused.get(&offer).is_some_and(|until| *until > now) {
                        continue;
                    }
                    // At the same price the holder's own zone: reports take the shorter way.
                    let far = if *zone == cfg.zone { 1.0 } else { 1.01 };
                    let late = if late.contains(&offer) { LATE_DEARER } else { 1.0 };
                    let cost = price(kind, spot) / f64::from(count) * far * late;
                    // A moment without a replica is dearer than a machine.
                    let cost = if spec.is_service() { kind.ready_s * 1e3 + cost } else { cost };
                    if cost.is_finite() && best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.filter(|(cost, _)| !cheap_only || *cost <= lowest * CHEAP).map(|(_, offer)| offer)
    }
}
