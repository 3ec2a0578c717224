//! Whether this node receives heartbeats from the workers of its partitions, and the release of a
//! partition whose heartbeats a peer receives instead.
//!
//! A leader that is cut off only from the workers keeps its lease in the store, so no node takes
//! its partitions over. The workers, which other nodes redirect to it, lose their own leases and
//! with them all the tasks they run. Peers therefore notify a leader of how many of its machines
//! have sent them heartbeats. A leader that receives heartbeats from almost none of a partition's
//! machines, while a peer receives them from most, gives the partition up. It uses the same release
//! as a hand-back, so two nodes are never both entitled to act for the partition. A peer that
//! cannot reach the leader writes its count to the store, where the leader's watch delivers it.
//! When the machines themselves or a zone failed, no peer receives their heartbeats, and the
//! partition stays.
//!
//! The node requests its partition again only after a direct call has reached one of its machines.
//! Repeated releases double the delay before that call, up to [`MAX_BACKOFF`].
//!
//! [`Reachability`] counts and decides; it holds no partition itself. It never gives up a partition
//! on the counts of peers alone, nor before this process has listened long enough to judge.

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
use crate::leadership::authority::Permit;
use crate::messages::{CallPriority, LogLevel};
use crate::outbox::Outbox;
use crate::store::parse;
use crate::store::write_budget::WriteBudget;

const CHECK_INTERVAL: Micros = SECOND;
/// How long a peer's count remains valid.
const PEER_COUNT_LIFETIME: Micros = 3 * SECOND;
/// Fewer machines than this are too small a sample to judge by.
const MIN_MACHINES: usize = 3;
/// A leader that receives heartbeats from at least this share of a partition's machines keeps it.
const MAX_OWN_SEEN_SHARE: f64 = 0.1;
/// A leader gives a partition up only if a peer receives heartbeats from at least this share of its
/// machines.
const MIN_PEER_SEEN_SHARE: f64 = 0.5;
/// Delay before the first probe after a partition was given up, unless another was given up
/// recently.
const INITIAL_BACKOFF: Micros = 15 * SECOND;
/// Maximum backoff. A release that comes at least this long after the end of the latest backoff
/// starts again at [`INITIAL_BACKOFF`].
const MAX_BACKOFF: Micros = 600 * SECOND;
/// Interval of the probes of the home partition's machines.
const PROBE_INTERVAL: Micros = 2 * SECOND;
/// How much longer this node waits before it acquires a partition without a leader while it is cut
/// off from the workers, so that other nodes acquire it first.
pub(crate) const PEER_TAKEOVER_WINDOW: Micros = 10 * SECOND;

/// Which workers' heartbeats this node and its peers receive, and the state of the probes.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// Since when this process has handled all its input without stalling.
    listening_since: Micros,
    /// When machines of other nodes' partitions last sent a heartbeat here, by partition and
    /// machine.
    foreign_heartbeats: BTreeMap<String, HashMap<String, Micros>>,
    /// The number of machines that a peer receives heartbeats from, by partition led here.
    machines_seen: BTreeMap<String, PeerCount>,
    /// Set while this node is cut off from the workers: the earliest time at which it probes
    /// whether it reaches them again.
    probe_not_before: Option<Micros>,
    /// Length of the latest backoff.
    backoff: Micros,
    /// When the latest backoff ends or ended.
    backoff_until: Micros,
    next_check_at: Micros,
    next_probe_at: Micros,
}

/// The number of a partition's machines that a peer receives heartbeats from, with the report time.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    machines: u32,
    at: Micros,
}

/// The number of machines of another node's partition that sent heartbeats here recently.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ForeignMachines {
    pub partition: String,
    pub machines: u32,
}

/// The times of the last heartbeats received here from the machines of a partition led here.
#[derive(Debug)]
pub(crate) struct OwnHeartbeats<'a, I> {
    pub partition: &'a str,
    pub acquired_at: Micros,
    /// One time for each machine.
    pub last_heartbeats: I,
}

impl Reachability {
    /// Creates an empty state; this process listens from `now` on.
    pub fn new(now: Micros) -> Self {
        Reachability {
            listening_since: now,
            foreign_heartbeats: BTreeMap::new(),
            machines_seen: BTreeMap::new(),
            probe_not_before: None,
            backoff: 0,
            backoff_until: 0,
            next_check_at: 0,
            next_probe_at: 0,
        }
    }

    /// Returns since when this process has handled all its input without stalling.
    pub fn listening_since(&self) -> Micros {
        self.listening_since
    }

    /// Restarts the listening period after this process stalled or could not act: heartbeats
    /// missing until now say nothing about the workers.
    pub fn restart_listening(&mut self, now: Micros) {
        self.listening_since = now;
    }

    /// Reports whether this node gave up a partition because it received no heartbeats from its
    /// workers and has reached none of them since. Returns `false` again once a due probe finds no
    /// machines.
    pub fn is_isolated_from_workers(&self) -> bool {
        self.probe_not_before.is_some()
    }

    /// Records a heartbeat received here from a machine of a partition that another node leads.
    pub fn note_foreign_heartbeat(&mut self, now: Micros, partition: &str, machine: &str) {
        let foreign_heartbeats = self.foreign_heartbeats.entry(partition.to_owned()).or_default();
        foreign_heartbeats.insert(machine.to_owned(), now);
    }

    /// Records a peer's count of the machines of a partition that send it heartbeats.
    pub fn note_machines_seen(&mut self, now: Micros, partition: String, machines: u32) {
        let count = self.machines_seen.entry(partition).or_insert(PeerCount { machines: 0, at: 0 });
        // The highest of several peers' counts is used.
        if count.machines <= machines || now.saturating_sub(count.at) > PEER_COUNT_LIFETIME {
            *count = PeerCount { machines, at: now };
        }
    }

    /// Applies a count that a peer has written to the store.
    pub fn apply_machines_seen_record(&mut self, now: Micros, entry: &KeyValue) {
        let name =
            entry.key.strip_prefix(MACHINES_SEEN_PREFIX).and_then(|rest| rest.rsplit_once('/'));
        if let (Some((partition, _)), Some(record)) = (name, parse::<MachinesSeenRecord>(entry)) {
            self.note_machines_seen(now, partition.to_owned(), record.machines);
        }
    }

    /// Reports whether a check is due, and if so schedules the next one an interval later.
    pub fn begin_check(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_check_at;
        if is_due {
            self.next_check_at = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Returns the counts to report to the leaders of other partitions, for each partition of which
    /// at least [`MIN_MACHINES`] machines sent heartbeats here. Forgets machines that have sent
    /// nothing here for two heartbeat intervals.
    pub fn foreign_machines(&mut self, now: Micros, config: &Config) -> Vec<ForeignMachines> {
        let recent = config.workers.heartbeat_interval * 2;
        let mut reports = Vec::new();
        self.foreign_heartbeats.retain(|partition, last_heartbeats| {
            last_heartbeats.retain(|_, at| now.saturating_sub(*at) < recent);
            if last_heartbeats.len() >= MIN_MACHINES {
                let machines = last_heartbeats.len() as u32;
                reports.push(ForeignMachines { partition: partition.clone(), machines });
            }
            !last_heartbeats.is_empty()
        });
        reports
    }

    /// Writes to the store how many machines of a partition send heartbeats to this node. The count
    /// is for the partition's leader, which could not be reached. The key is attached to `lease`.
    pub fn store_machines_seen(
        config: &Config,
        partition: &str,
        machines: u32,
        lease: u64,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        // As urgent as a partition key, and no more frequent than the notifications of the leader,
        // so it may put the write budget into debt.
        write_budget.spend(1);
        let key = format!("{MACHINES_SEEN_PREFIX}{partition}/{}", config.node);
        // Attached to this node's lease, so that the store deletes the key when the lease ends.
        let value = Json::of(&MachinesSeenRecord { machines });
        let txn = Txn::default().write_with_lease(key, value, lease);
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), PendingStoreCall::Ignored);
    }

    /// Reports whether a peer receives heartbeats from most machines of a partition led here while
    /// this node receives them from almost none.
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
        // The heartbeats that seem missing may still wait here to be handled.
        if now < self.listening_since.max(own.acquired_at) + long || machines < MIN_MACHINES {
            return false;
        }
        let is_quiet = |at: Micros| now.saturating_sub(at) > long;
        let recently_seen = own.last_heartbeats.filter(|at| !is_quiet(*at)).count();
        (recently_seen as f64) < machines as f64 * MAX_OWN_SEEN_SHARE
            && f64::from(peer_count.machines) >= machines as f64 * MIN_PEER_SEEN_SHARE
    }

    /// Records that a partition is given up because a peer receives its workers' heartbeats.
    pub fn record_release(&mut self, now: Micros, partition: &str, term: u64, outbox: &mut Outbox) {
        outbox.log(LogLevel::Info, || LogEvent::WorkersUnreachable {
            partition: partition.to_owned(),
            term,
        });
        self.machines_seen.remove(partition);
        self.start_backoff(now);
    }

    /// Starts a backoff after a release, unless one is still running. Repeated releases double it,
    /// so that a partition that moves back and forth does so less and less often; [`MAX_BACKOFF`]
    /// after the latest backoff ended it starts again at [`INITIAL_BACKOFF`].
    fn start_backoff(&mut self, now: Micros) {
        if self.probe_not_before.is_some_and(|until| now < until) {
            // Another partition was given up for the same reason during the current backoff.
            return;
        }
        let is_repeated = now < self.backoff_until + MAX_BACKOFF && self.backoff > 0;
        self.backoff =
            if is_repeated { (self.backoff * 2).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
        self.backoff_until = now + self.backoff;
        self.probe_not_before = Some(self.backoff_until);
    }

    /// Probes one of the home partition's machines, chosen at random, once per [`PROBE_INTERVAL`]
    /// while this node is cut off from the workers and the backoff has ended. The call needs
    /// `permit`.
    pub fn poll_probe<'a>(
        &mut self,
        now: Micros,
        config: &Config,
        machines: impl Iterator<Item = (&'a String, &'a MachineRecord)>,
        permit: Permit,
        rng: &mut SmallRng,
        outbox: &mut Outbox,
    ) {
        if self.probe_not_before.is_none_or(|until| now < until) || now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        let one = machines.filter(|(_, record)| record.partition == config.node).choose(rng);
        let Some((machine, record)) = one else {
            // Without machines there is nothing to probe, and nothing to lose by requesting the
            // partition too early.
            self.probe_not_before = None;
            return;
        };
        let pending = PendingWorkerCall {
            machine: machine.clone(),
            probe: true,
            ..PendingWorkerCall::default()
        };
        outbox.call_worker(record.address.clone(), WorkerCall::Status, pending, permit);
    }

    /// Handles the outcome of a probe: whether the machine answered.
    pub fn handle_probe_result(&mut self, is_reached: bool, outbox: &mut Outbox) {
        if is_reached && self.probe_not_before.take().is_some() {
            outbox.log(LogLevel::Info, || LogEvent::WorkersReachable);
        }
    }
}

#[cfg(test)]
mod tests;
