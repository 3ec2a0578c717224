//! Whether this node hears the workers of its parts, and what is done when a peer hears them
//! instead.
//!
//! A holder that is cut from the workers alone keeps its lease at the state service, so nobody
//! takes its parts over, and the workers, which others send back to it, lose their own leases with
//! all that they run. Peers therefore tell a holder how many of its machines have come to them,
//! and a holder that hears next to none of a part's machines, while a peer hears most of them,
//! gives the part up: by the same release as when it is handed home, so no two are ever entitled.
//! A peer whose word does not reach the holder leaves it at the state service, where the holder's
//! watch finds it. Where machines or a zone failed nobody hears them, and the part stays. The node asks for its
//! part again only after a direct call has reached one of its machines, and each time it has to
//! give up a part it waits twice as long before it does.

use std::collections::{BTreeMap, HashMap};

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::state::{HEARD, HeardRecord, Row, StateCall, Txn};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{Json, Micros, SECOND};
use rand::seq::IteratorRandom;

use crate::engine::{Core, Waiting, WorkerWait};
use crate::leases::parse;
use crate::messages::{Lane, Weight};
use crate::stealing::PeerWork;

const LOOK: Micros = SECOND;
/// A peer's word counts as long.
const TOLD: Micros = 3 * SECOND;
/// So few machines show nothing.
const FEWEST: usize = 3;
/// A holder that hears more than this share of a part's machines keeps it, and a peer must hear
/// at least that share of them.
const HEARD_SHARE: f64 = 0.1;
const PEER_SHARE: f64 = 0.5;
/// First and longest wait before a part is asked for again, and how often its machines are tried.
const FIRST_WAIT: Micros = 15 * SECOND;
const LONGEST_WAIT: Micros = 600 * SECOND;
const PROBE_EVERY: Micros = 2 * SECOND;
/// How long others have to take a part that was given up before this node takes it again: by
/// then nobody else wants it.
pub(crate) const LEFT_TO_OTHERS: Micros = 10 * SECOND;

/// What is known of who hears which workers.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// Since when this process has worked through all that came, without standing still.
    pub attentive: Micros,
    /// Machines of others' parts that came here, by part, and when they last did.
    visitors: BTreeMap<String, HashMap<String, Micros>>,
    /// How many machines of a part held here a peer says it hears, and when it said so.
    told: BTreeMap<String, (u32, Micros)>,
    /// This node does not hear workers; when it may ask for its part again, if it does then.
    lost: Option<Micros>,
    /// How long the last wait was, and until when it ran.
    wait: Micros,
    waited_until: Micros,
    next_look: Micros,
    next_probe: Micros,
}

impl Reachability {
    pub fn new(now: Micros) -> Self {
        Reachability {
            attentive: now,
            visitors: BTreeMap::new(),
            told: BTreeMap::new(),
            lost: None,
            wait: 0,
            waited_until: 0,
            next_look: 0,
            next_probe: 0,
        }
    }

    /// A part was given up. A part that goes to and fro does so ever more seldom; after a long
    /// time without, the waits begin anew.
    fn lose(&mut self, now: Micros) {
        if self.lost.is_some_and(|until| now < until) {
            // Another part, for the same reason.
            return;
        }
        let again = now < self.waited_until + LONGEST_WAIT && self.wait > 0;
        self.wait = if again { (self.wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
        self.waited_until = now + self.wait;
        self.lost = Some(self.waited_until);
    }

    /// Whether this node gave up a part because it heard none of its workers.
    pub fn lost(&self) -> bool {
        self.lost.is_some()
    }
}

impl Core {
    /// A machine of a part that another node holds has come here.
    pub(crate) fn visited(&mut self, part: &str, host: &str) {
        let visitors = self.reachability.visitors.entry(part.to_owned()).or_default();
        visitors.insert(host.to_owned(), self.now);
    }

    /// A peer says how many machines of a part it hears.
    pub(crate) fn told_heard(&mut self, part: String, machines: u32) {
        let now = self.now;
        let entry = self.reachability.told.entry(part).or_insert((0, 0));
        // Of several peers the one that hears most counts.
        if entry.0 <= machines || now.saturating_sub(entry.1) > TOLD {
            *entry = (machines, now);
        }
    }

    /// Tells holders which of their machines come here, gives up parts that a peer hears better,
    /// and tries whether workers can be reached again.
    pub(crate) fn keep_reachability(&mut self) {
        let now = self.now;
        if now < self.reachability.next_look {
            return;
        }
        self.reachability.next_look = now + LOOK;
        self.tell_heard();
        if self.sure() {
            let unheard: Vec<(String, u64)> = self
                .parts
                .values()
                .filter(|p| self.peer_hears_better(&p.name))
                .map(|p| (p.name.clone(), p.term))
                .collect();
            for (part, term) in unheard {
                self.note(Weight::Info, || {
                    format!("part {part}: given up, peers hear its workers")
                });
                self.reachability.told.remove(&part);
                self.reachability.lose(now);
                self.release(&part, term);
            }
            self.probe();
        }
    }

    /// The holder was not reached: it is told by way of the state service.
    pub(crate) fn heard_untold(&mut self, part: &str, machines: u32) {
        let Some(lease) = self.lease.id.filter(|_| self.sure()) else { return };
        // As urgent as a part's own key, and no more often than it is told.
        self.ledger.spend(1);
        let key = format!("{HEARD}{part}/{}", self.cfg.node);
        // It hangs on this node's lease, so that nothing is left of it in the end.
        let value = Json::of(&HeardRecord { machines });
        let txn = Txn::default().write_held(key, value, lease);
        self.state(Lane::Work, StateCall::Txn(txn), Waiting::Nothing);
    }

    /// What a peer has left at the state service.
    pub(crate) fn heard_left(&mut self, row: &Row) {
        let name = row.path.strip_prefix(HEARD).and_then(|rest| rest.rsplit_once('/'));
        if let (Some((part, _)), Some(record)) = (name, parse::<HeardRecord>(row)) {
            self.told_heard(part.to_owned(), record.machines);
        }
    }

    fn tell_heard(&mut self) {
        let (now, recent) = (self.now, self.cfg.workers.report * 2);
        let mut tell = Vec::new();
        self.reachability.visitors.retain(|part, hosts| {
            hosts.retain(|_, at| now.saturating_sub(*at) < recent);
            tell.push((part.clone(), hosts.len()));
            !hosts.is_empty()
        });
        for (part, machines) in tell.into_iter().filter(|t| t.1 >= FEWEST) {
            if let Some(node) = self.holder_of(&part).map(str::to_owned) {
                let machines = machines as u32;
                let request = PeerRequest::Heard { part: part.clone(), machines };
                self.ask_peer(&node, request, PeerWork::Heard { part, machines });
            }
        }
    }

    fn peer_hears_better(&self, name: &str) -> bool {
        let (now, report) = (self.now, self.cfg.workers.report);
        let told = self.reachability.told.get(name).filter(|t| now.saturating_sub(t.1) < TOLD);
        let (Some((peer, _)), Some(part)) = (told, self.parts.get(name)) else { return false };
        let long = report * 3 / 2;
        // What waits unread here may be those very reports.
        if now < self.reachability.attentive.max(part.acquired) + long
            || part.machines.len() < FEWEST
        {
            return false;
        }
        let quiet = |at: Micros| now.saturating_sub(at) > long;
        let heard = part.machines.values().filter(|m| !quiet(m.heard)).count();
        let all = part.machines.len() as f64;
        (heard as f64) < all * HEARD_SHARE && f64::from(*peer) >= all * PEER_SHARE
    }

    /// While workers were not heard, calls one of the home part's machines now and then.
    fn probe(&mut self) {
        let now = self.now;
        if self.reachability.lost.is_none_or(|until| now < until)
            || now < self.reachability.next_probe
        {
            return;
        }
        self.reachability.next_probe = now + PROBE_EVERY;
        let home = self.cfg.node.clone();
        let blocks = self.cache.blocks.values().flat_map(|(hosts, _)| hosts.iter());
        let one = blocks.filter(|(_, r)| r.part == home).choose(&mut self.rng);
        let Some((machine, address)) = one.map(|(h, r)| (h.clone(), r.address.clone())) else {
            // Nothing to try it on, and nothing to lose.
            self.reachability.lost = None;
            return;
        };
        let wait = WorkerWait { machine, probe: true, ..WorkerWait::default() };
        self.worker_call(address, WorkerCall::Status, wait);
    }

    /// A machine was reached again.
    pub(crate) fn probed(&mut self, reached: bool) {
        if reached && self.reachability.lost.take().is_some() {
            self.note(Weight::Info, || "workers are reached again".into());
        }
    }
}

#[cfg(test)]
mod tests;
