//! The machines of a partition: what is known of the cloud, and who decides about renting and
//! returning.

mod arrivals;
mod renting;
mod returning;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use quartzlever_wire::cloud::{Catalogue, CloudCall, CloudReply, Hire, RentalPhase, Rentals};
use quartzlever_wire::state::{CATALOGUE, StateCall, StateReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::engine::{Core, Waiting};
use crate::leases::parse;
use crate::messages::Lane;
use crate::partition::Types;

pub use arrivals::{Arrivals, Expected};
pub use returning::ReturnReason;

const TICK: Micros = SECOND / 2;
const CATALOGUE_EVERY: Micros = 120 * SECOND;
const LIST_EVERY: Micros = 15 * SECOND;
const RETRY: Micros = SECOND;
const MOST_PER_RETURN: usize = 100;
/// Hints of peers' rentals are kept for so long: each machine reports within a few boots.
const HINTED_FOR: Micros = 3600 * SECOND;
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
    hint_order: VecDeque<(Micros, String)>,
    catalogue_at: Micros,
    catalogue_waiting: bool,
    list_at: Micros,
    list_waiting: bool,
    tick_at: Micros,
}

impl Cloud {
    /// Notes that a machine was rented for a partition, and forgets hints that have served their time.
    pub fn hint(&mut self, host: String, part: &str, now: Micros) {
        if self.hints.insert(host.clone(), part.to_owned()).is_none() {
            self.hint_order.push_back((now, host));
            while self.hint_order.front().is_some_and(|(since, _)| since + HINTED_FOR < now) {
                let Some((_, old)) = self.hint_order.pop_front() else { break };
                self.hints.remove(&old);
            }
        }
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
    /// Rented machines that have not reported yet.
    pub arrivals: Arrivals,
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
    /// The cloud has refused spot machines of these types in these zones.
    #[cfg(test)]
    pub(crate) fn refuse_spot(&mut self, types: &[&str], zones: &[&str], until: Micros) {
        for kind in types {
            for zone in zones {
                self.refused.insert(((*kind).to_owned(), (*zone).to_owned(), true), until);
            }
        }
    }

    /// Whether no machine is rented that has not reported yet, and none is asked for.
    pub fn is_nothing_coming(&self) -> bool {
        self.arrivals.is_empty() && self.hires.is_empty()
    }
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
                    machine.return_wanted = Some(ReturnReason::Failed);
                    part.refresh(&rental.name);
                }
                continue;
            }
            let claimed = self.cache.hosts.contains_key(&rental.name);
            let expected = self.parts.values().any(|p| p.fleet.arrivals.contains(&rental.name));
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
                    part.fleet.arrivals.forget(host);
                }
            }
            self.cloud_call(
                CloudCall::Return(strays.clone()),
                CloudWork::Return { part: None, hosts: strays },
            );
        }
    }
}

#[cfg(test)]
mod tests;
