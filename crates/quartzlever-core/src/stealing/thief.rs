//! The thief's side: when a partition looks for work, which peers it asks, and from which it
//! steals.
//!
//! Algorithm 1 of the work-stealing design (docs/design.md; dynamic neighbours) is `poll_stealing`,
//! which asks random peers for their load. Algorithm 2 is `steal_from_most`, which asks the most
//! loaded of them for tasks, with the adaptive polling interval of `steal_failed` and
//! `steal_succeeded`. At most one round of count requests and one steal request are in flight.

use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::Priority;
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::seq::IndexedRandom;

use super::load::is_much_longer;
use super::selection::StealRequest;
use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::partition::Partition;
use crate::router::Core;

/// How long a peer's notice that it is saturated is valid, and the minimum time between two
/// notices.
pub(super) const SATURATION_LIFETIME: Micros = SECOND;
/// Interval between two checks for a partition that could steal.
const THIEF_CHECK_INTERVAL: Micros = SECOND / 10;

/// A partition that looks for work.
#[derive(Debug)]
struct Thief {
    partition: String,
    /// The lowest priority of the tasks that it steals.
    priority: Priority,
    /// Whether it has no ready task of that priority or above. A partition that is not idle steals
    /// only from a queue that is much longer than its own.
    idle: bool,
}

/// A round of count requests.
#[derive(Debug)]
struct CountRound {
    number: u64,
    thief: Thief,
    /// Number of peers that have not answered.
    unanswered: usize,
    /// The largest number of ready tasks, and the peer that has it.
    most_ready: Option<(u32, String)>,
    /// The load of the queue that takes longest to drain, and the peer that has it.
    longest: Option<(Load, String)>,
}

/// The state of work stealing of this process as a thief, and of its saturation notices.
#[derive(Debug)]
pub(crate) struct Stealing {
    /// Wait before the next attempt to steal; doubled after each failure.
    interval: Micros,
    /// Time of the next attempt to steal.
    next_at: Micros,
    /// Number of rounds begun.
    rounds: u64,
    round: Option<CountRound>,
    /// Whether a steal request is in flight.
    steal_in_flight: bool,
    /// Time of the last notice of a peer that it is saturated.
    peer_saturated_at: Option<Micros>,
    /// Earliest time of this node's next notice that it is saturated.
    pub(super) next_saturation_notice_at: Micros,
}

impl Stealing {
    /// Creates the state of a process that has not asked any peer.
    pub fn new(config: &Config) -> Self {
        Stealing {
            interval: config.operator.steal_start,
            next_at: 0,
            rounds: 0,
            round: None,
            steal_in_flight: false,
            peer_saturated_at: None,
            next_saturation_notice_at: 0,
        }
    }

    /// Reports whether the wait is over and no request is in flight.
    fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at && !self.steal_in_flight && self.round.is_none()
    }

    /// Schedules the next attempt to steal after the current interval.
    fn schedule_next(&mut self, now: Micros) {
        self.next_at = now + self.interval;
    }

    fn failed(&mut self, config: &Config, now: Micros) {
        self.steal_in_flight = false;
        self.schedule_next(now);
        self.interval = (self.interval * 2).min(config.operator.steal_cap);
    }

    fn succeeded(&mut self, config: &Config, now: Micros) {
        self.steal_in_flight = false;
        self.interval = config.operator.steal_start;
        self.next_at = now;
    }

    /// Records a peer's notice that it is saturated, and ends the wait after failures, since there
    /// are tasks to steal.
    pub fn record_peer_saturation(&mut self, config: &Config, now: Micros) {
        self.peer_saturated_at = Some(now);
        self.interval = config.operator.steal_start;
        self.next_at = now;
    }

    fn is_peer_saturated(&self, now: Micros) -> bool {
        self.peer_saturated_at.is_some_and(|at| now.saturating_sub(at) < SATURATION_LIFETIME)
    }

    /// Begins a round of `unanswered` count requests. Returns its number.
    fn begin_round(&mut self, thief: Thief, unanswered: usize) -> u64 {
        self.rounds += 1;
        let number = self.rounds;
        self.round =
            Some(CountRound { number, thief, unanswered, most_ready: None, longest: None });
        number
    }

    /// Records a reply to a round's request, or its failure. Returns whether it was the last one.
    fn record_counts(&mut self, number: u64, node: String, counts: Option<(u32, Load)>) -> bool {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return false };
        round.unanswered -= 1;
        if let Some((ready, load)) = counts {
            let is_longer = |l: &(Load, String)| load.drain_s() > l.0.drain_s();
            if ready > 0 && round.longest.as_ref().is_none_or(is_longer) {
                round.longest = Some((load, node.clone()));
            }
            if round.most_ready.as_ref().is_none_or(|m| ready > m.0) {
                round.most_ready = Some((ready, node));
            }
        }
        round.unanswered == 0
    }
}

impl Core {
    /// Looks for work for a partition if the wait is over: first in the other partitions of this
    /// node, then at its peers.
    pub(crate) fn poll_stealing(&mut self) {
        if !self.stealing.is_due(self.now) || !self.may_act() {
            return;
        }
        let Some(thief) = self.choose_thief() else {
            // Limits the search for a thief to one per interval rather than one per step.
            self.stealing.next_at = self.now + THIEF_CHECK_INTERVAL;
            return;
        };
        let found_locally =
            if thief.idle { self.steal_locally(&thief) } else { self.balance_locally(&thief) };
        if !found_locally {
            self.request_counts(thief);
        }
    }

    /// Returns the partition that should steal: an idle one, or else the one with the shortest
    /// queue.
    fn choose_thief(&self) -> Option<Thief> {
        if let Some((partition, priority)) = self.idle_partition() {
            return Some(Thief { partition, priority, idle: true });
        }
        let partition = self.shortest_local_queue()?;
        Some(Thief { partition, priority: Priority::BestEffort, idle: false })
    }

    /// Returns an idle partition and the lowest priority of the tasks that it steals: a partition
    /// with free capacity and no ready task; or, while a partition is saturated, one that could
    /// preempt work of lower priority and has no ready task of the priority stolen or above.
    fn idle_partition(&self) -> Option<(String, Priority)> {
        let all = Priority::BestEffort;
        let can_steal = |p: &Partition, priority| {
            p.is_loaded()
                && p.ready_count(priority) == 0
                && !self.free_capacity_of(p, priority).free.is_empty()
        };
        let with_priority = |p: &Partition, priority| Some((p.name.clone(), priority));
        if let Some(partition) = self.partitions.values().find(|p| can_steal(p, all)) {
            return with_priority(partition, all);
        }
        // The saturated partition may be one of this node, which sends no notice to itself. Without
        // this check, urgent tasks of one partition waited 25 s while the machines of another ran
        // work of lower priority.
        let saturated = self.stealing.is_peer_saturated(self.now)
            || self.partitions.values().any(|p| p.saturated);
        if !saturated {
            return None;
        }
        for priority in [Priority::Standard, Priority::Urgent, Priority::Prod] {
            if let Some(partition) = self.partitions.values().find(|p| can_steal(p, priority)) {
                return with_priority(partition, priority);
            }
        }
        None
    }

    /// Steals from another partition of this node by the same move, without a message to a peer.
    /// Returns whether a move was attempted; it may still move no task.
    fn steal_locally(&mut self, thief: &Thief) -> bool {
        let priority = thief.priority;
        let victim = self
            .partitions
            .values()
            .filter(|p| p.name != thief.partition && p.is_loaded())
            .map(|p| (p.movable_count(&self.config, priority), p.name.clone()))
            .max()
            .filter(|(ready, _)| *ready > 0);
        let Some((_, victim)) = victim else { return false };
        self.stealing.schedule_next(self.now);
        if let Some(partition) = self.partitions.get(&thief.partition) {
            let (term, capacity) = (partition.term, self.free_capacity_of(partition, priority));
            let thief = thief.partition.clone();
            let request = None;
            let load = None;
            self.steal_tasks(StealRequest {
                request,
                victim,
                thief,
                term,
                priority,
                capacity,
                load,
            });
        }
        true
    }

    /// Moves work of a partition without machines to another partition of this node. Returns
    /// whether a move was attempted; it may still move no task. The queues of one node are not
    /// balanced beyond that: the standard tasks of a partition with many urgent ones moved to other
    /// partitions, and none were left there to be preempted for the urgent ones.
    fn balance_locally(&mut self, thief: &Thief) -> bool {
        let Some(partition) = self.partitions.get(&thief.partition) else { return false };
        let (own_load, term) = (self.queue_load(partition), partition.term);
        let Some((longest, victim)) = self.longest_local_queue(Some(&thief.partition)) else {
            return false;
        };
        if longest.cpus > 0.0 || !is_much_longer(&longest, &own_load) {
            return false;
        }
        let capacity = self.empty_machine_capacity(partition);
        self.stealing.schedule_next(self.now);
        self.steal_tasks(StealRequest {
            request: None,
            victim,
            thief: thief.partition.clone(),
            term,
            priority: thief.priority,
            capacity,
            load: Some(own_load),
        });
        true
    }

    /// Asks random peers for their numbers of ready tasks and their loads.
    fn request_counts(&mut self, thief: Thief) {
        let peers: Vec<&String> =
            self.config.nodes.iter().filter(|n| **n != self.config.node).collect();
        let asked: Vec<String> = peers
            .choose_multiple(&mut self.rng, self.config.operator.peers_asked)
            .map(|n| (*n).clone())
            .collect();
        if asked.is_empty() {
            self.stealing.next_at = self.now + self.config.operator.steal_cap;
            return;
        }
        let priority = thief.priority;
        let round = self.stealing.begin_round(thief, asked.len());
        for node in asked {
            let pending = PendingPeerCall::Count { round, node: node.clone() };
            self.outbox.call_peer(&node, PeerRequest::Counts { priority }, pending);
        }
    }

    /// Handles a peer's reply to a count request, or its failure.
    pub(crate) fn counts_replied(
        &mut self,
        round: u64,
        node: String,
        result: Result<PeerAnswer, CallError>,
    ) {
        let counts = match result {
            Ok(PeerAnswer::Counts { ready, load }) => Some((ready, load)),
            _ => None,
        };
        if self.stealing.record_counts(round, node, counts) {
            self.steal_from_most();
        }
    }

    /// Ends a round once all its requests have an outcome, and asks the most loaded peer for tasks.
    fn steal_from_most(&mut self) {
        let Some(round) = self.stealing.round.take() else { return };
        if !round.thief.idle {
            return self.balance_with_peer(round);
        }
        let Thief { partition: name, priority, .. } = round.thief;
        let target = round.most_ready.filter(|(ready, _)| *ready > 0);
        let (Some((_, node)), Some(partition)) = (target, self.partitions.get(&name)) else {
            return self.steal_failed();
        };
        let thief = self.free_capacity_of(partition, priority);
        if partition.ready_count(priority) > 0 || thief.free.is_empty() {
            // The partition is no longer idle.
            return self.stealing.schedule_next(self.now);
        }
        let term = partition.term;
        self.request_tasks(&node, name, term, priority, thief, None);
    }

    /// Asks the peer with the longest queue for tasks if that is much longer than the partition's
    /// own.
    fn balance_with_peer(&mut self, round: CountRound) {
        let Thief { partition: name, priority, .. } = round.thief;
        let Some(partition) = self.partitions.get(&name) else {
            return self.steal_failed();
        };
        let (own_load, term) = (self.queue_load(partition), partition.term);
        let Some((_, node)) = round.longest.filter(|(load, _)| is_much_longer(load, &own_load))
        else {
            return self.steal_failed();
        };
        let thief = self.empty_machine_capacity(partition);
        self.request_tasks(&node, name, term, priority, thief, Some(own_load));
    }

    fn request_tasks(
        &mut self,
        node: &str,
        partition: String,
        term: u64,
        priority: Priority,
        capacity: ThiefCapacity,
        load: Option<Load>,
    ) {
        let pending = PendingPeerCall::Steal { partition: partition.clone() };
        let request = PeerRequest::Steal { partition, term, priority, capacity, load };
        self.stealing.steal_in_flight = true;
        self.outbox.call_peer(node, request, pending);
    }

    /// Handles a victim's reply, with the records of the jobs whose tasks this partition owns now,
    /// or the failure of the request.
    pub(crate) fn steal_replied(&mut self, partition: &str, result: Result<PeerAnswer, CallError>) {
        // A lost reply does no harm: the watch delivers a committed move.
        let Ok(PeerAnswer::Stolen { jobs }) = result else { return self.steal_failed() };
        for (_, mod_revision, record) in jobs {
            if let Ok(record) = serde_json::from_str::<ActiveJobRecord>(&record) {
                self.reconcile_job_from_reply(record, mod_revision);
            }
        }
        if let Some(partition) = self.partitions.get_mut(partition) {
            partition.placement_wanted = true;
        }
        self.steal_succeeded();
    }

    /// Schedules the next attempt after the current interval, and doubles the interval up to its
    /// maximum.
    pub(crate) fn steal_failed(&mut self) {
        self.stealing.failed(&self.config, self.now);
    }

    /// Schedules the next attempt at once, and resets the interval to its minimum.
    pub(crate) fn steal_succeeded(&mut self) {
        self.stealing.succeeded(&self.config, self.now);
    }

    /// Returns the time until the next attempt to steal.
    #[cfg(test)]
    pub(crate) fn next_steal_in(&self) -> Micros {
        self.stealing.next_at - self.now
    }
}
