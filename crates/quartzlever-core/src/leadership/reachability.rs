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
//!
//! [`Reachability`] counts and decides; it holds no partition itself. It may never let a partition go
//! on the word of peers alone, nor before this process has listened for long enough to know.

use std::collections::{BTreeMap, HashMap};

use quartzlever_wire::store::{
    KeyValue, MACHINES_SEEN_PREFIX, MachineRecord, MachinesSeenRecord, StoreCall, Txn,
};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{Json, Micros, SECOND};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::calls::{PendingStoreCall, PendingWorkerCall};
use crate::config::Config;
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel};
use crate::outbox::Outbox;
use crate::store::parse;
use crate::store::write_budget::WriteBudget;

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
const PROBE_INTERVAL: Micros = 2 * SECOND;
/// How long others have to take a partition that was given up before this node takes it again: by
/// then nobody else wants it.
pub(crate) const PEERS_TAKE_OVER_WITHIN: Micros = 10 * SECOND;

/// What is known of who hears which workers.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// Since when this process has worked through all that came, without standing still.
    listening_since: Micros,
    /// Machines of others' partitions that came here, by partition, and when they last did.
    foreign_heartbeats: BTreeMap<String, HashMap<String, Micros>>,
    /// How many machines of a partition held here a peer says it hears.
    machines_seen: BTreeMap<String, PeerCount>,
    /// This node does not hear workers; when it may ask for its partition again, if it does then.
    cut_until: Option<Micros>,
    /// How long the last wait was, and until when it ran.
    wait: Micros,
    waited_until: Micros,
    next_check_at: Micros,
    next_probe_at: Micros,
}

/// How many machines of a partition a peer hears, and when it said so.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    machines: u32,
    at: Micros,
}

/// How many machines of another's partition have come here lately.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ForeignMachines {
    pub partition: String,
    pub machines: u32,
}

/// When the machines of a partition held here were last heard.
#[derive(Debug)]
pub(crate) struct OwnHeartbeats<'a, I> {
    pub partition: &'a str,
    pub acquired_at: Micros,
    /// One time for each machine.
    pub last_heartbeats: I,
}

impl Reachability {
    /// Nothing is known; this process listens from now on.
    pub fn new(now: Micros) -> Self {
        Reachability {
            listening_since: now,
            foreign_heartbeats: BTreeMap::new(),
            machines_seen: BTreeMap::new(),
            cut_until: None,
            wait: 0,
            waited_until: 0,
            next_check_at: 0,
            next_probe_at: 0,
        }
    }

    /// Since when this process has worked through all that came, without standing still.
    pub fn listening_since(&self) -> Micros {
        self.listening_since
    }

    /// This process stood still or could not act: what was not heard until now shows nothing.
    pub fn restart_listening(&mut self, now: Micros) {
        self.listening_since = now;
    }

    /// Whether this node gave up a partition because it heard none of its workers, and has reached
    /// none since.
    pub fn is_cut_from_workers(&self) -> bool {
        self.cut_until.is_some()
    }

    /// A machine of a partition that another node holds has come here.
    pub fn note_foreign_heartbeat(&mut self, now: Micros, partition: &str, machine: &str) {
        let foreign_heartbeats = self.foreign_heartbeats.entry(partition.to_owned()).or_default();
        foreign_heartbeats.insert(machine.to_owned(), now);
    }

    /// A peer says how many machines of a partition it hears.
    pub fn note_machines_seen(&mut self, now: Micros, partition: String, machines: u32) {
        let count = self.machines_seen.entry(partition).or_insert(PeerCount { machines: 0, at: 0 });
        // Of several peers the one that hears most counts.
        if count.machines <= machines || now.saturating_sub(count.at) > PEER_COUNT_LIFETIME {
            *count = PeerCount { machines, at: now };
        }
    }

    /// What a peer has left at the store.
    pub fn apply_machines_seen_record(&mut self, now: Micros, entry: &KeyValue) {
        let name =
            entry.key.strip_prefix(MACHINES_SEEN_PREFIX).and_then(|rest| rest.rsplit_once('/'));
        if let (Some((partition, _)), Some(record)) = (name, parse::<MachinesSeenRecord>(entry)) {
            self.note_machines_seen(now, partition.to_owned(), record.machines);
        }
    }

    /// Whether it is time for a look at all of this; the next one is due an interval later then.
    pub fn begin_check(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_check_at;
        if is_due {
            self.next_check_at = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// What is to be told to the leaders of other partitions. Machines that have not come for two
    /// intervals are forgotten.
    pub fn foreign_machines(&mut self, now: Micros, config: &Config) -> Vec<ForeignMachines> {
        let recent = config.workers.heartbeat_interval * 2;
        let mut told = Vec::new();
        self.foreign_heartbeats.retain(|partition, last_heartbeats| {
            last_heartbeats.retain(|_, at| now.saturating_sub(*at) < recent);
            if last_heartbeats.len() >= MIN_MACHINES {
                let machines = last_heartbeats.len() as u32;
                told.push(ForeignMachines { partition: partition.clone(), machines });
            }
            !last_heartbeats.is_empty()
        });
        told
    }

    /// Leaves word at the store for a leader that was not reached, on a key that hangs on this lease.
    pub fn store_machines_seen(
        config: &Config,
        partition: &str,
        machines: u32,
        lease: u64,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        // As urgent as a partition's own key, and no more often than it is told.
        write_budget.spend(1);
        let key = format!("{MACHINES_SEEN_PREFIX}{partition}/{}", config.node);
        // It hangs on this node's lease, so that nothing is left of it in the end.
        let value = Json::of(&MachinesSeenRecord { machines });
        let txn = Txn::default().write_with_lease(key, value, lease);
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), PendingStoreCall::Ignored);
    }

    /// Whether a peer hears most machines of a partition held here while this node hears next to none.
    pub fn peer_sees_more_machines(
        &self,
        now: Micros,
        config: &Config,
        own: OwnHeartbeats<'_, impl ExactSizeIterator<Item = Micros>>,
    ) -> bool {
        let peer_count = self
            .machines_seen
            .get(own.partition)
            .filter(|count| now.saturating_sub(count.at) < PEER_COUNT_LIFETIME);
        let Some(peer_count) = peer_count else { return false };
        let long = config.workers.heartbeat_interval * 3 / 2;
        let machines = own.last_heartbeats.len();
        // What waits unread here may be those very reports.
        if now < self.listening_since.max(own.acquired_at) + long || machines < MIN_MACHINES {
            return false;
        }
        let is_quiet = |at: Micros| now.saturating_sub(at) > long;
        let recently_seen = own.last_heartbeats.filter(|at| !is_quiet(*at)).count();
        (recently_seen as f64) < machines as f64 * MAX_OWN_SEEN_SHARE
            && f64::from(peer_count.machines) >= machines as f64 * MIN_PEER_SEEN_SHARE
    }

    /// A partition is given up because peers hear its workers.
    pub fn give_up(&mut self, now: Micros, partition: &str, term: u64, outbox: &mut Outbox) {
        outbox.log(LogLevel::Info, || LogEvent::WorkersUnreachable {
            partition: partition.to_owned(),
            term,
        });
        self.machines_seen.remove(partition);
        self.lengthen_wait(now);
    }

    /// A partition that goes to and fro does so ever more seldom; after a long time without, the waits
    /// begin anew.
    fn lengthen_wait(&mut self, now: Micros) {
        if self.cut_until.is_some_and(|until| now < until) {
            // Another partition, for the same reason.
            return;
        }
        let again = now < self.waited_until + LONGEST_WAIT && self.wait > 0;
        self.wait = if again { (self.wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
        self.waited_until = now + self.wait;
        self.cut_until = Some(self.waited_until);
    }

    /// While workers were not heard, calls one of the home partition's machines now and then, but
    /// not after `until`.
    pub fn poll_probe<'a>(
        &mut self,
        now: Micros,
        config: &Config,
        machines: impl Iterator<Item = (&'a String, &'a MachineRecord)>,
        until: Micros,
        rng: &mut SmallRng,
        outbox: &mut Outbox,
    ) {
        if self.cut_until.is_none_or(|until| now < until) || now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        let one = machines.filter(|(_, record)| record.partition == config.node).choose(rng);
        let Some((machine, record)) = one else {
            // Nothing to try it on, and nothing to lose.
            self.cut_until = None;
            return;
        };
        let pending = PendingWorkerCall {
            machine: machine.clone(),
            probe: true,
            ..PendingWorkerCall::default()
        };
        outbox.call_worker(record.address.clone(), WorkerCall::Status, pending, until);
    }

    /// A machine has answered such a call, or has not.
    pub fn probed(&mut self, is_reached: bool, outbox: &mut Outbox) {
        if is_reached && self.cut_until.take().is_some() {
            outbox.log(LogLevel::Info, || LogEvent::WorkersReachable);
        }
    }
}

#[cfg(test)]
mod tests;
