//! The machines of a part: renting for its queue, returning, and suspicion.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Hire, MachineType, RentalPhase, Rentals,
};
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::state::{CATALOGUE, StateCall, StateReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND, micros_from_secs};

use crate::engine::{Core, Waiting};
use crate::leases::parse;
use crate::machine::Amounts;
use crate::messages::{Lane, Weight};
use crate::partition::{Partition, Types};
use crate::placement::{ZoneRoom, offer_allowed, urgency, zone_room};
use crate::stealing::PeerWork;

const TICK: Micros = SECOND / 2;
const CATALOGUE_EVERY: Micros = 120 * SECOND;
const LIST_EVERY: Micros = 15 * SECOND;
const RETRY: Micros = SECOND;
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
/// A machine for services that has not come up after so many usual boots is not waited for.
const OVERDUE_BOOTS: f64 = 1.2;
/// The most machines in one request for them.
const MOST_PER_HIRE: u32 = 50;
/// Requests for machines of one part without an answer, at the most.
const MOST_HIRES: usize = 4;
const MOST_PER_RETURN: usize = 100;
/// Machines in excess of this many are not rented in one round.
const MOST_PER_ROUND: u32 = 150;
/// So many machines of a zone fall silent together only when the zone is cut off.
const CUT_MACHINES: usize = 3;
/// A machine that so many calls could not reach need not be waited for until it would report.
const FAILED_CALLS: u32 = 2;
/// So many machines, or a tenth of them, may be late with their reports and are given up for it if
/// they have replicas of services.
const MOST_LATE: usize = 3;
/// So many machines, or a tenth of them, may be deaf at once and are returned for it.
const MOST_DEAF: usize = 2;
/// Failures in a row that make a machine suspect.
const SUSPECT_ERRORS: u32 = 2;
/// Pace in thousandths of the usual from which a machine crawls, and over how many tasks.
const CRAWL_PACE: u32 = 2200;
const CRAWL_TASKS: usize = 3;
/// Hints of peers' rentals that are kept; each machine reports within a few boots.
const REMEMBERED: usize = 4000;
/// Late copies come minutes after the original.
const GONE_FOR: Micros = 3600 * SECOND;

/// What an answer from the cloud belongs to.
#[derive(Debug)]
pub(crate) enum CloudWork {
    Catalogue,
    Hire { part: String, term: u64, hire: Hire },
    Return { part: Option<(String, u64)>, hosts: Vec<String> },
    List { seen: Vec<quartzlever_wire::cloud::Rental> },
}

/// What the whole process knows of the cloud.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Machines that a peer has rented, with the part they are for.
    pub hints: HashMap<String, String>,
    hint_order: VecDeque<String>,
    catalogue_at: Micros,
    catalogue_waiting: bool,
    list_at: Micros,
    list_waiting: bool,
    tick_at: Micros,
}

impl Cloud {
    pub fn hint(&mut self, host: String, part: &str) {
        if self.hints.insert(host.clone(), part.to_owned()).is_none() {
            self.hint_order.push_back(host);
            if self.hint_order.len() > REMEMBERED
                && let Some(old) = self.hint_order.pop_front()
            {
                self.hints.remove(&old);
            }
        }
    }
}

/// A rented machine that has not reported yet.
#[derive(Clone, Debug)]
pub struct Expected {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub since: Micros,
}

impl Expected {
    /// Whether it should have come up by now. Some machines take several times as long as others, or
    /// never come up: for a service another one is asked for meanwhile.
    fn is_overdue(&self, types: &BTreeMap<String, MachineType>, now: Micros) -> bool {
        let boot = types.get(&self.kind).map_or(0.0, |kind| kind.ready_s);
        now.saturating_sub(self.since) > micros_from_secs(OVERDUE_BOOTS * boot)
    }
}

/// A kind of machine that can be asked for: type, zone, spot.
type Offer = (String, String, bool);

/// A request for machines without an answer yet; it is repeated under its name.
#[derive(Clone, Debug)]
struct OpenHire {
    hire: Hire,
    since: Micros,
    retry_at: Option<Micros>,
}

/// Machines that were returned, for as long as copies of their reports may come.
#[derive(Debug, Default)]
pub struct Gone {
    known: HashMap<String, Micros>,
    order: VecDeque<(Micros, String)>,
}

impl Gone {
    pub fn contains(&self, host: &str) -> bool {
        self.known.contains_key(host)
    }

    fn put(&mut self, host: &str, now: Micros) {
        self.known.insert(host.to_owned(), now);
        self.order.push_back((now, host.to_owned()));
        // By age: by number or name, a day with many returns forgot the last ones too early.
        while let Some((at, _)) = self.order.front()
            && now.saturating_sub(*at) > GONE_FOR
            && let Some((at, host)) = self.order.pop_front()
        {
            if self.known.get(&host) == Some(&at) {
                self.known.remove(&host);
            }
        }
    }
}

/// The fleet side of a part.
#[derive(Debug, Default)]
pub struct Fleet {
    pub expected: BTreeMap<String, Expected>,
    /// Machines that were returned; late reports of them claim nothing.
    pub gone: Gone,
    hires: BTreeMap<String, OpenHire>,
    hired: u64,
    refused: BTreeMap<Offer, Micros>,
    /// Zones that are cut off, or were until a moment ago.
    cut_until: BTreeMap<String, Micros>,
    return_at: Micros,
}

impl Fleet {
    /// A machine has reported, to this part or to another.
    pub fn arrived(&mut self, host: &str) {
        self.expected.remove(host);
    }
}

/// Room of one kind that will be there or could be rented.
struct Bin {
    offer: Offer,
    free: Amounts,
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
fn may_rent(spec: &quartzlever_wire::users::JobSpec, offer: &Offer) -> bool {
    offer_allowed(spec, &offer.0, &offer.1, offer.2)
}

fn price(kind: &MachineType, spot: bool) -> f64 {
    if spot { kind.market_price.unwrap_or(f64::INFINITY) } else { kind.hourly }
}

/// The lowest price that machines of a type are to be had for.
fn cheapest_price(kind: &MachineType) -> f64 {
    kind.market_price.unwrap_or(kind.hourly).min(kind.hourly)
}

/// How long an idle machine is kept: as long as waiting for a cheap one of its type to boot
/// would cost, so a dear machine for less.
fn idle_life(
    types: &BTreeMap<String, MachineType>,
    record: &quartzlever_wire::state::HostRecord,
    boots: f64,
) -> Micros {
    let Some(kind) = types.get(&record.kind) else { return 30 * SECOND };
    let ratio = cheapest_price(kind) / price(kind, record.spot).max(1e-9);
    micros_from_secs(boots * kind.ready_s * ratio)
}

impl Core {
    /// All renting and returning of this moment.
    pub(crate) fn keep_fleet(&mut self) {
        if self.now < self.cloud.tick_at {
            return;
        }
        self.cloud.tick_at = self.now + TICK;
        if !self.cloud.catalogue_waiting && self.now >= self.cloud.catalogue_at {
            self.cloud.catalogue_waiting = true;
            self.cloud_call(CloudCall::Catalogue, CloudWork::Catalogue);
        }
        if !self.sure() || self.types.is_none() {
            return;
        }
        if !self.cloud.list_waiting && self.now >= self.cloud.list_at && !self.parts.is_empty() {
            self.cloud.list_waiting = true;
            let work = CloudWork::List { seen: Vec::new() };
            self.cloud_call(CloudCall::List { from: None }, work);
        }
        let names: Vec<String> =
            self.parts.values().filter(|p| p.active()).map(|p| p.name.clone()).collect();
        for name in names {
            self.rent(&name);
            self.return_machines(&name);
        }
    }

    pub(crate) fn cloud_done(&mut self, work: CloudWork, result: Result<CloudReply, CallError>) {
        match work {
            CloudWork::Catalogue => {
                self.cloud.catalogue_waiting = false;
                if let Ok(CloudReply::Catalogue(catalogue)) = result {
                    self.cloud.catalogue_at = self.now + CATALOGUE_EVERY;
                    let kept = Json::of(&catalogue);
                    self.use_catalogue(catalogue);
                    if kept.text().len() <= self.limits.value_bytes {
                        let txn = Txn::default().write(CATALOGUE, kept);
                        self.ledger.spend(1);
                        self.state(Lane::Work, StateCall::Txn(txn), Waiting::KeptCatalogue);
                    }
                } else {
                    self.cloud.catalogue_at = self.now + RETRY;
                    if self.types.is_none() {
                        // Without the types nothing can be placed, not even on machines at hand.
                        let call = StateCall::Get(CATALOGUE.into());
                        self.state(Lane::Work, call, Waiting::KeptCatalogue);
                    }
                }
            }
            CloudWork::Hire { part, term, hire } => self.hired(&part, term, hire, result),
            CloudWork::Return { part, hosts } => {
                if let Some((part, term)) = part {
                    self.returned(&part, term, hosts, result);
                }
            }
            CloudWork::List { seen } => self.listed(seen, result),
        }
    }

    fn use_catalogue(&mut self, catalogue: Catalogue) {
        let types = catalogue.types.into_iter().map(|t| (t.name.clone(), t));
        let types: Types = Arc::new(types.collect());
        for part in self.parts.values_mut() {
            part.use_types(types.clone());
        }
        self.types = Some(types);
    }

    /// The catalogue that an earlier process kept; the cloud's own word goes before it.
    pub(crate) fn catalogue_read(&mut self, result: Result<StateReply, CallError>) {
        if let Ok(StateReply::Row(Some(row))) = result
            && self.types.is_none()
            && let Some(catalogue) = parse::<Catalogue>(&row)
        {
            self.use_catalogue(catalogue);
        }
    }

    /// Where each part keeps room at hand for services, once there are any: an ordinary machine of
    /// the type that boots soonest in each of two zones, since most services are apart. Arrays run
    /// there meanwhile and give way. Without it a service waited out a boot in whichever part and
    /// zone had no such machine.
    fn standby(&self) -> Vec<Offer> {
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

    fn rent(&mut self, name: &str) {
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
        part.shortage(&self.cfg, &self.paces, types, now, &mut wanted);
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

    fn hired(&mut self, name: &str, term: u64, hire: Hire, result: Result<CloudReply, CallError>) {
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
                        part.fleet.expected.insert(host.clone(), expected);
                    }
                }
                for host in &hosts {
                    self.cloud.hint(host.clone(), name);
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

    fn return_machines(&mut self, name: &str) {
        let now = self.now;
        let operator = self.cfg.operator.clone();
        let standby = self.standby();
        let Some(types) = &self.types else { return };
        let Some(part) = self.parts.get_mut(name) else { return };
        if now < part.fleet.return_at {
            return;
        }
        // Jobs that were done elsewhere, so that their failures are a machine's.
        let cleared: BTreeSet<String> =
            part.jobs.iter().filter(|(_, j)| j.good > 0).map(|(id, _)| id.clone()).collect();
        // When a cut ends, the first machine that is heard must not make all the others silent ones:
        // they report within the next interval.
        for zone in part.zones_cut(now, operator.silent_return) {
            part.fleet.cut_until.insert(zone, now + 2 * self.cfg.workers.report);
        }
        part.fleet.cut_until.retain(|_, until| *until > now);
        let cut: BTreeSet<String> = part.fleet.cut_until.keys().cloned().collect();
        let patience = self.cfg.lease_gone_after();
        let report = self.cfg.workers.report;
        // Where many seem deaf at once it is this node that is not heard.
        let deaf = part.machines.values().filter(|m| m.deaf(now, report)).count();
        let deaf_returned = deaf <= MOST_DEAF.max(part.machines.len() / 10);
        let (acquired, attentive) = (part.acquired, self.hearing.attentive);
        // Replicas wait for nothing else, so their machine is given up once a call in vain has shown
        // what a late report suggests; not where many are late, which is no machine's fault.
        let late = self.cfg.late_report();
        let late_ones =
            part.machines.values().filter(|m| now.saturating_sub(m.heard) > late).count();
        let few_late = late_ones <= MOST_LATE.max(part.machines.len() / 10);
        let kept: BTreeSet<String> =
            standby.iter().filter_map(|offer| part.standby_at(types, offer)).collect();
        let gone_within = self.cfg.gone_within();
        let listened = now.saturating_sub(attentive) > report;
        let mut changed: Vec<String> = Vec::new();
        for machine in part.machines.values_mut().filter(|m| !m.returning) {
            let before = machine.return_wanted;
            // Behind a cut machines go on working: they are given their whole lease. In a
            // recovery they get half of it: a lease's life has passed unheard before, so that a cut
            // short enough to spare them would be over, and the whole part waits for them.
            let silent_return = if cut.contains(&machine.record.zone) {
                let patience = if machine.proven { patience } else { patience / 2 };
                patience.max(operator.silent_return)
            } else if machine.proven && machine.failed_calls > 0 && few_late && machine.serves() {
                late
            } else if machine.proven {
                operator.silent_return.max(report * 5 / 2)
            } else {
                // It holds up the recovery of the whole part.
                let unheard = if machine.failed_calls >= FAILED_CALLS { 0 } else { report * 2 };
                (operator.silent_return / 2).max(unheard)
            };
            // What may be a late copy counts for a while after the takeover only.
            let hinted = machine.hinted.min(acquired + report * 2);
            // After standing still, what came meanwhile is taken in before anybody is called
            // silent: all machines were returned at once otherwise, their reports unread.
            let quiet = now.saturating_sub(machine.heard.max(hinted).max(attentive));
            machine.return_wanted = machine.return_wanted.or_else(|| {
                let crawls = machine.pace.len() >= CRAWL_TASKS
                    && machine.pace.iter().sum::<u32>() / machine.pace.len() as u32 > CRAWL_PACE;
                if quiet > silent_return {
                    Some("silent")
                } else if listened && machine.holds_on(now, gone_within) {
                    // Its lease ends what it has in time, unless it hangs or a late command starts
                    // a task after all: then only this does.
                    Some("not gone")
                } else if deaf_returned && machine.deaf(now, report) {
                    Some("deaf")
                } else if machine.warned_until.is_some_and(|t| now > t) && quiet > 2 * report {
                    Some("taken")
                } else if machine.errors >= SUSPECT_ERRORS
                    && (machine.failed_jobs.len() > 1
                        || machine.failed_jobs.iter().any(|j| cleared.contains(j)))
                {
                    Some("fails")
                } else if crawls {
                    Some("crawls")
                } else if machine.idle_since.is_some_and(|t| {
                    now.saturating_sub(t) > idle_life(types, &machine.record, operator.idle_boots)
                }) && machine.session > 0
                    && !kept.contains(&machine.name)
                {
                    Some("idle")
                } else {
                    None
                }
            });
            if matches!(machine.return_wanted, Some("silent" | "taken")) && quiet < report {
                machine.return_wanted = None;
            }
            if machine.return_wanted != before {
                changed.push(machine.name.clone());
            }
        }
        for host in changed {
            part.refresh(&host);
        }
        let mut hosts: Vec<String> = part
            .machines
            .values()
            .filter(|m| {
                !m.returning
                    && match m.return_wanted {
                        Some("silent" | "taken" | "failed" | "deaf" | "not gone") => true,
                        // Everything else waits until the machine has no work.
                        Some(_) => !m.busy() && m.slots.values().all(|s| s.settled),
                        None => false,
                    }
            })
            .map(|m| m.name.clone())
            .collect();
        let late: Vec<String> = part
            .fleet
            .expected
            .iter()
            .filter(|(_, e)| {
                let boot = types.get(&e.kind).map_or(60.0, |t| t.ready_s);
                now.saturating_sub(e.since) > micros_from_secs(3.0 * boot) + 20 * SECOND
                    && now.saturating_sub(attentive) > 2 * report
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in late {
            part.fleet.expected.remove(&host);
            hosts.push(host);
        }
        hosts.truncate(MOST_PER_RETURN);
        if hosts.is_empty() {
            return;
        }
        for host in &hosts {
            if let Some(machine) = part.machines.get_mut(host) {
                machine.returning = true;
            }
            part.refresh(host);
        }
        let why: Vec<String> = hosts
            .iter()
            .map(|h| {
                let why = part.machines.get(h).and_then(|m| m.return_wanted);
                format!("{h} ({})", why.unwrap_or("never came up"))
            })
            .collect();
        let part = Some((name.to_owned(), part.term));
        self.note(Weight::Info, || format!("part {name}: returns {}", why.join(", ")));
        self.cloud_call(CloudCall::Return(hosts.clone()), CloudWork::Return { part, hosts });
    }

    fn returned(
        &mut self,
        name: &str,
        term: u64,
        hosts: Vec<String>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let Some(part) = self.part_at(name, term) else { return };
        if !matches!(result, Ok(CloudReply::Returned)) {
            part.fleet.return_at = now + 2 * RETRY;
            for host in hosts {
                if let Some(machine) = part.machines.get_mut(&host) {
                    machine.returning = false;
                }
                part.refresh(&host);
            }
            return;
        }
        let mut dropped = Vec::new();
        for host in hosts {
            // The machine is gone, with everything on it.
            let known = part.remove_machine(&host);
            part.fleet.gone.put(&host, now);
            if known {
                dropped.push(host);
            }
        }
        for host in dropped {
            self.want_drop(&host, name, term);
        }
    }

    fn listed(
        &mut self,
        mut seen: Vec<quartzlever_wire::cloud::Rental>,
        result: Result<CloudReply, CallError>,
    ) {
        self.cloud.list_waiting = false;
        self.cloud.list_at = self.now + LIST_EVERY;
        let Ok(CloudReply::Listed(Rentals { hosts, has_next })) = result else { return };
        seen.extend(hosts);
        if has_next && let Some(last) = seen.last() {
            self.cloud.list_waiting = true;
            let call = CloudCall::List { from: Some(last.name.clone()) };
            return self.cloud_call(call, CloudWork::List { seen });
        }
        let mut strays = Vec::new();
        for rental in &seen {
            let owner = self.parts.values_mut().find(|p| p.machines.contains_key(&rental.name));
            if let Some(part) = owner {
                if rental.phase == RentalPhase::Failed
                    && let Some(machine) = part.machines.get_mut(&rental.name)
                {
                    machine.return_wanted = Some("failed");
                    part.refresh(&rental.name);
                }
                continue;
            }
            let claimed = self.cache.hosts.contains_key(&rental.name);
            let expected = self.parts.values().any(|p| p.fleet.expected.contains_key(&rental.name));
            let boot =
                self.types.as_ref().and_then(|t| t.get(&rental.kind)).map_or(60.0, |t| t.ready_s);
            let old = rental.held_s > 4.0 * boot + 60.0;
            let failed = rental.phase == RentalPhase::Failed;
            if !claimed && (failed || (old && !expected)) {
                strays.push(rental.name.clone());
            }
        }
        strays.truncate(MOST_PER_RETURN);
        if !strays.is_empty() {
            for part in self.parts.values_mut() {
                for host in &strays {
                    part.fleet.expected.remove(host);
                }
            }
            self.cloud_call(
                CloudCall::Return(strays.clone()),
                CloudWork::Return { part: None, hosts: strays },
            );
        }
    }
}

impl Partition {
    /// A machine at hand that keeps room for services as this offer would: room that is free, or
    /// that arrays give up.
    fn standby_at(&self, types: &BTreeMap<String, MachineType>, offer: &Offer) -> Option<String> {
        let stands = |m: &crate::machine::Machine| {
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
    fn has_standby(
        &self,
        types: &BTreeMap<String, MachineType>,
        offer: &Offer,
        now: Micros,
    ) -> bool {
        let coming = |zone: &str, spot: bool| zone == offer.1 && !spot;
        self.standby_at(types, offer).is_some()
            || self
                .fleet
                .expected
                .values()
                .any(|e| coming(&e.zone, e.spot) && !e.is_overdue(types, now))
            || self.fleet.hires.values().any(|h| coming(&h.hire.zone, h.hire.spot))
    }

    /// Zones that seem to be cut off: all of several machines there fell silent together.
    fn zones_cut(&self, now: Micros, silent: Micros) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.returning) {
            let entry = zones.entry(machine.record.zone.as_str()).or_default();
            entry.0 += 1;
            entry.1 += usize::from(now.saturating_sub(machine.heard) > silent / 2);
        }
        let cut =
            zones.into_iter().filter(|(_, (all, quiet))| *all >= CUT_MACHINES && all == quiet);
        cut.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// What should be rented for the ready tasks that neither the machines at hand nor those
    /// coming up can serve in time.
    fn shortage(
        &self,
        cfg: &crate::config::Config,
        paces: &crate::placement::Paces,
        types: &BTreeMap<String, MachineType>,
        now: Micros,
        wanted: &mut BTreeMap<Offer, u32>,
    ) {
        let mut bins: Vec<Bin> = Vec::new();
        let mut cpus = 0.0;
        // What the part's machines cost an hour, and would cost at their types' lowest prices.
        let (mut paid, mut lowest) = (0.0, 0.0);
        for machine in self.machines.values().filter(|m| m.fenced && m.return_wanted.is_none()) {
            if let Some(kind) = types.get(&machine.record.kind) {
                cpus += kind.cpus;
                paid += price(kind, machine.record.spot);
                lowest += cheapest_price(kind);
            }
        }
        let mut coming = |kind: &str, zone: &str, spot: bool, count: u32| {
            let Some(t) = types.get(kind) else { return };
            for _ in 0..count {
                cpus += t.cpus;
                paid += price(t, spot);
                lowest += cheapest_price(t);
                bins.push(Bin {
                    offer: (kind.to_owned(), zone.to_owned(), spot),
                    free: Amounts::of_type(t),
                });
            }
        };
        for e in self.fleet.expected.values() {
            let boot = types.get(&e.kind).map_or(60.0, |t| t.ready_s);
            // One that is long overdue is not counted on.
            if now.saturating_sub(e.since) < micros_from_secs(1.8 * boot) + 3 * SECOND {
                coming(&e.kind, &e.zone, e.spot, 1);
            }
        }
        for open in self.fleet.hires.values() {
            coming(&open.hire.kind, &open.hire.zone, open.hire.spot, open.hire.count);
        }
        // Work ahead in the queue, in processor-seconds; what runs counts by what is left of it.
        let mut ahead = 0.0;
        for slot in self.live_slots() {
            let ran = slot.running_since.map_or(0, |t| now.saturating_sub(t));
            ahead += slot.expect.saturating_sub(ran) as f64 / 1e6 * slot.need.cpus;
        }
        for id in self.queue_order(cfg, paces, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.mistaken() {
                // Machines would not help it.
                continue;
            }
            let usable = |m: &crate::machine::Machine| {
                !job.failed_on.contains(&m.name) && m.return_wanted.is_none()
            };
            let nowhere = !job.failed_on.is_empty() && !self.machines.values().any(|m| usable(m));
            let spec = job.spec();
            let need = job.need();
            let expect = paces.expect(spec).max(SECOND);
            let mut unplaced =
                Unplaced { tasks: job.ready.len(), zones: zone_room(self, job, &cfg.zones) };
            for bin in &mut bins {
                if unplaced.tasks == 0 {
                    break;
                }
                if may_rent(spec, &bin.offer) {
                    unplaced.fill(bin, &need);
                }
            }
            let work = f64::from(job.ready.len()) * need.cpus * expect as f64 / 1e6;
            ahead += work;
            if unplaced.tasks == 0 {
                continue;
            }
            let latest = urgency(cfg, paces, job, now).latest;
            let service = spec.is_service();
            if service && !self.pressed && now.saturating_sub(job.since) < GIVEN_WAY {
                // What makes way for it is quicker than any machine.
                continue;
            }
            while unplaced.tasks > 0 && wanted.values().sum::<u32>() < MOST_PER_ROUND {
                // Cheap machines come for any queue that is not gone soon, others only for an
                // aim, and only as many as it takes: one machine serves several waves.
                let mut cheap_only = false;
                if cpus > 0.0 && !nowhere && !service {
                    let drained = now + micros_from_secs(ahead / cpus * 1.2);
                    let last_start = drained.saturating_sub(expect);
                    if last_start <= latest.min(now + EAGER) {
                        break;
                    }
                    cheap_only = last_start <= latest;
                }
                let Some(offer) = self.cheapest(cfg, types, job, &unplaced, now, cheap_only) else {
                    break;
                };
                let Some(kind) = types.get(&offer.0) else { break };
                let (more, least) = (price(kind, offer.2), cheapest_price(kind));
                let dear = more > least * CHEAP && spec.spot;
                if dear && paid + more > (lowest + least) * cfg.operator.price_cap {
                    break;
                }
                paid += more;
                lowest += least;
                cpus += kind.cpus;
                *wanted.entry(offer.clone()).or_default() += 1;
                let mut bin = Bin { offer, free: Amounts::of_type(kind) };
                unplaced.fill(&mut bin, &need);
                bins.push(bin);
            }
        }
    }

    /// The cheapest offer for the tasks of a job that have no room yet.
    fn cheapest(
        &self,
        cfg: &crate::config::Config,
        types: &BTreeMap<String, MachineType>,
        job: &crate::partition::PartitionJob,
        unplaced: &Unplaced,
        now: Micros,
        cheap_only: bool,
    ) -> Option<Offer> {
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
                    let cost = price(kind, spot) / f64::from(count) * far;
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

#[cfg(test)]
mod tests;
