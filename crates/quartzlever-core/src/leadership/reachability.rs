//! Whether this node hears the workers of its partitions, and what is done when a peer hears them
//! instead.
//!
//! A leader that is cut from the workers alone keeps its lease at the store, so nobody
//! takes its partitions over, and the workers, which others send back to it, lose their own leases with
//! all that they run. Peers therefore tell a leader how many of its machines have come to them,
//! and a leader that hears next to none of a partition's machines, while a peer hears most of them,
//! gives the partition up: by the same release as when it is handed home, so no two are ever entitled.
//! A peer whose word does not reach the leader leaves it at the store, where the leader's
//! watch finds it. Where machines or a zone failed nobody hears them, and the partition stays. The node asks for its
//! partition again only after a direct call has reached one of its machines, and each time it has to
//! give up a partition it waits twice as long before it does.

use std::collections::{BTreeMap, HashMap};

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::store::{MACHINES_SEEN_PREFIX, MachinesSeenRecord, Row, StoreCall, Txn};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{Json, Micros, SECOND};
use rand::seq::IteratorRandom;

use crate::calls::{PendingPeerCall, PendingStoreCall, PendingWorkerCall};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::parse;

const CHECK_INTERVAL: Micros = SECOND;
/// A peer's word counts as long.
const PEER_COUNT_LIFETIME: Micros = 3 * SECOND;
/// So few machines show nothing.
const MIN_MACHINES: usize = 3;
/// A leader that hears more than this share of a partition's machines keeps it, and a peer must hear
/// at least that share of them.
const MAX_OWN_SEEN_SHARE: f64 = 0.1;
const MIN_PEER_SEEN_SHARE: f64 = 0.5;
/// First and longest wait before a partition is asked for again, and how often its machines are tried.
const FIRST_WAIT: Micros = 15 * SECOND;
const LONGEST_WAIT: Micros = 600 * SECOND;
const PROBE_EVERY: Micros = 2 * SECOND;
/// How long others have to take a partition that was given up before this node takes it again: by
/// then nobody else wants it.
pub(crate) const PEERS_TAKE_OVER_WITHIN: Micros = 10 * SECOND;

/// What is known of who hears which workers.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// Since when this process has worked through all that came, without standing still.
    pub listening_since: Micros,
    /// Machines of others' partitions that came here, by partition, and when they last did.
    foreign_heartbeats: BTreeMap<String, HashMap<String, Micros>>,
    /// How many machines of a partition held here a peer says it hears, and when it said so.
    machines_seen: BTreeMap<String, (u32, Micros)>,
    /// This node does not hear workers; when it may ask for its partition again, if it does then.
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
            listening_since: now,
            foreign_heartbeats: BTreeMap::new(),
            machines_seen: BTreeMap::new(),
            lost: None,
            wait: 0,
            waited_until: 0,
            next_look: 0,
            next_probe: 0,
        }
    }

    /// A partition was given up. A partition that goes to and fro does so ever more seldom; after a long
    /// time without, the waits begin anew.
    fn lose(&mut self, now: Micros) {
        if self.lost.is_some_and(|until| now < until) {
            // Another partition, for the same reason.
            return;
        }
        let again = now < self.waited_until + LONGEST_WAIT && self.wait > 0;
        self.wait = if again { (self.wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
        self.waited_until = now + self.wait;
        self.lost = Some(self.waited_until);
    }

    /// Whether this node gave up a partition because it heard none of its workers.
    pub fn lost(&self) -> bool {
        self.lost.is_some()
    }
}

impl Core {
    /// A machine of a partition that another node holds has come here.
    pub(crate) fn note_foreign_heartbeat(&mut self, partition: &str, host: &str) {
        let foreign_heartbeats =
            self.reachability.foreign_heartbeats.entry(partition.to_owned()).or_default();
        foreign_heartbeats.insert(host.to_owned(), self.now);
    }

    /// A peer says how many machines of a partition it hears.
    pub(crate) fn note_machines_seen(&mut self, partition: String, machines: u32) {
        let now = self.now;
        let entry = self.reachability.machines_seen.entry(partition).or_insert((0, 0));
        // Of several peers the one that hears most counts.
        if entry.0 <= machines || now.saturating_sub(entry.1) > PEER_COUNT_LIFETIME {
            *entry = (machines, now);
        }
    }

    /// Tells leaders which of their machines come here, gives up partitions that a peer hears better,
    /// and tries whether workers can be reached again.
    pub(crate) fn poll_reachability(&mut self) {
        let now = self.now;
        if now < self.reachability.next_look {
            return;
        }
        self.reachability.next_look = now + CHECK_INTERVAL;
        self.notify_machines_seen();
        if self.may_act() {
            let unreachable_partitions: Vec<(String, u64)> = self
                .partitions
                .values()
                .filter(|p| self.peer_sees_more_machines(&p.name))
                .map(|p| (p.name.clone(), p.term))
                .collect();
            for (partition, term) in unreachable_partitions {
                self.outbox.log(LogLevel::Info, || LogEvent::WorkersUnreachable {
                    partition: partition.clone(),
                    term,
                });
                self.reachability.machines_seen.remove(&partition);
                self.reachability.lose(now);
                self.release(&partition, term);
            }
            self.probe();
        }
    }

    /// The leader was not reached: it is told by way of the store.
    pub(crate) fn store_machines_seen(&mut self, partition: &str, machines: u32) {
        let Some(lease) = self.lease.id().filter(|_| self.may_act()) else { return };
        // As urgent as a partition's own key, and no more often than it is told.
        self.write_budget.spend(1);
        let key = format!("{MACHINES_SEEN_PREFIX}{partition}/{}", self.config.node);
        // It hangs on this node's lease, so that nothing is left of it in the end.
        let value = Json::of(&MachinesSeenRecord { machines });
        let txn = Txn::default().write_held(key, value, lease);
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), PendingStoreCall::Ignored);
    }

    /// What a peer has left at the store.
    pub(crate) fn apply_machines_seen_row(&mut self, row: &Row) {
        let name =
            row.path.strip_prefix(MACHINES_SEEN_PREFIX).and_then(|rest| rest.rsplit_once('/'));
        if let (Some((partition, _)), Some(record)) = (name, parse::<MachinesSeenRecord>(row)) {
            self.note_machines_seen(partition.to_owned(), record.machines);
        }
    }

    fn notify_machines_seen(&mut self) {
        let (now, recent) = (self.now, self.config.workers.heartbeat_interval * 2);
        let mut tell = Vec::new();
        self.reachability.foreign_heartbeats.retain(|partition, hosts| {
            hosts.retain(|_, at| now.saturating_sub(*at) < recent);
            tell.push((partition.clone(), hosts.len()));
            !hosts.is_empty()
        });
        for (partition, machines) in tell.into_iter().filter(|t| t.1 >= MIN_MACHINES) {
            if let Some(node) = self.other_leader_of(&partition).map(str::to_owned) {
                let machines = machines as u32;
                let request = PeerRequest::MachinesSeen { partition: partition.clone(), machines };
                self.outbox.ask_peer(
                    &node,
                    request,
                    PendingPeerCall::MachinesSeen { partition, machines },
                );
            }
        }
    }

    fn peer_sees_more_machines(&self, name: &str) -> bool {
        let (now, heartbeat_interval) = (self.now, self.config.workers.heartbeat_interval);
        let peer_count = self
            .reachability
            .machines_seen
            .get(name)
            .filter(|t| now.saturating_sub(t.1) < PEER_COUNT_LIFETIME);
        let (Some((peer, _)), Some(partition)) = (peer_count, self.partitions.get(name)) else {
            return false;
        };
        let long = heartbeat_interval * 3 / 2;
        // What waits unread here may be those very reports.
        if now < self.reachability.listening_since.max(partition.acquired) + long
            || partition.machines.len() < MIN_MACHINES
        {
            return false;
        }
        let quiet = |at: Micros| now.saturating_sub(at) > long;
        let recently_seen =
            partition.machines.values().filter(|m| !quiet(m.last_heartbeat_at)).count();
        let all = partition.machines.len() as f64;
        (recently_seen as f64) < all * MAX_OWN_SEEN_SHARE
            && f64::from(*peer) >= all * MIN_PEER_SEEN_SHARE
    }

    /// While workers were not heard, calls one of the home partition's machines now and then.
    fn probe(&mut self) {
        let now = self.now;
        if self.reachability.lost.is_none_or(|until| now < until)
            || now < self.reachability.next_probe
        {
            return;
        }
        self.reachability.next_probe = now + PROBE_EVERY;
        let home = self.config.node.clone();
        let blocks = self.cache.ownership_groups.values().flat_map(|(hosts, _)| hosts.iter());
        let one = blocks.filter(|(_, r)| r.partition == home).choose(&mut self.rng);
        let Some((machine, address)) = one.map(|(h, r)| (h.clone(), r.address.clone())) else {
            // Nothing to try it on, and nothing to lose.
            self.reachability.lost = None;
            return;
        };
        let wait = PendingWorkerCall { machine, probe: true, ..PendingWorkerCall::default() };
        let until = self.authority_expires_at();
        self.outbox.call_worker(address, WorkerCall::Status, wait, until);
    }

    /// A machine was reached again.
    pub(crate) fn probed(&mut self, reached: bool) {
        if reached && self.reachability.lost.take().is_some() {
            self.outbox.log(LogLevel::Info, || LogEvent::WorkersReachable);
        }
    }
}

#[cfg(test)]
mod tests;
