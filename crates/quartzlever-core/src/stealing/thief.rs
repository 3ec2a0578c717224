//! The thief's side: when a partition looks for work, whom it asks, and from whom it takes.
//!
//! Algorithm 1 of the paper (dynamic neighbours) is `poll_stealing`, which asks random peers for their
//! load; algorithm 2 is `steal_from_most`, which asks the most loaded of them for tasks, and the adaptive
//! polling interval of `steal_failed` and `steal_succeeded`. One round of questions and one steal are
//! under way at a time.

use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::store::ActiveJobRecord;
use quartzlever_wire::users::Priority;
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::seq::IndexedRandom;

use super::cut::StealRequest;
use super::load::is_much_longer;
use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::partition::Partition;
use crate::router::Core;

/// How long a peer's word that it is pressed counts, and how often it is given.
pub(super) const SATURATION_LIFETIME: Micros = SECOND;
/// Time between two looks for a partition that could go stealing.
const CHECK_INTERVAL: Micros = SECOND / 10;

/// A partition that looks for work.
#[derive(Debug)]
struct Thief {
    partition: String,
    /// The lowest rank that it takes.
    priority: Priority,
    /// It has no ready task of that rank. One that is not idle may have a queue much shorter than
    /// another's.
    idle: bool,
}

/// One round of asking for counts.
#[derive(Debug)]
struct Round {
    number: u64,
    thief: Thief,
    /// Peers that have not answered.
    open: usize,
    /// The peer with the most ready tasks.
    most: Option<(u32, String)>,
    /// The peer whose queue lasts longest.
    longest: Option<(Load, String)>,
}

/// The thief's side of this process.
#[derive(Debug)]
pub(crate) struct Stealing {
    interval: Micros,
    next: Micros,
    rounds: u64,
    round: Option<Round>,
    /// A steal is under way.
    waiting: bool,
    /// When a peer last said that it is pressed, and when this node may next say so.
    peer_saturated_at: Option<Micros>,
    pub(super) next_saturation_notice_at: Micros,
}

impl Stealing {
    /// A thief that has not asked anybody yet.
    pub fn new(config: &Config) -> Self {
        Stealing {
            interval: config.operator.steal_start,
            next: 0,
            rounds: 0,
            round: None,
            waiting: false,
            peer_saturated_at: None,
            next_saturation_notice_at: 0,
        }
    }

    /// Whether the wait is over and nothing is under way.
    fn is_due(&self, now: Micros) -> bool {
        now >= self.next && !self.waiting && self.round.is_none()
    }

    /// Puts the next look off by the present wait.
    fn wait(&mut self, now: Micros) {
        self.next = now + self.interval;
    }

    fn failed(&mut self, config: &Config, now: Micros) {
        self.waiting = false;
        self.wait(now);
        self.interval = (self.interval * 2).min(config.operator.steal_cap);
    }

    fn succeeded(&mut self, config: &Config, now: Micros) {
        self.waiting = false;
        self.interval = config.operator.steal_start;
        self.next = now;
    }

    /// A peer is pressed: the wait after failures is over early, as there is something to be had.
    pub fn peer_saturated(&mut self, config: &Config, now: Micros) {
        self.peer_saturated_at = Some(now);
        self.interval = config.operator.steal_start;
        self.next = now;
    }

    fn is_peer_saturated(&self, now: Micros) -> bool {
        self.peer_saturated_at.is_some_and(|at| now.saturating_sub(at) < SATURATION_LIFETIME)
    }

    /// Begins a round of so many questions; its number.
    fn begin_round(&mut self, thief: Thief, open: usize) -> u64 {
        self.rounds += 1;
        let number = self.rounds;
        self.round = Some(Round { number, thief, open, most: None, longest: None });
        number
    }

    /// Takes in an answer to a round, and whether it was the last.
    fn counted(&mut self, number: u64, node: String, counts: Option<(u32, Load)>) -> bool {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return false };
        round.open -= 1;
        if let Some((ready, load)) = counts {
            let longer = |l: &(Load, String)| load.drain_s() > l.0.drain_s();
            if ready > 0 && round.longest.as_ref().is_none_or(longer) {
                round.longest = Some((load, node.clone()));
            }
            if round.most.as_ref().is_none_or(|m| ready > m.0) {
                round.most = Some((ready, node));
            }
        }
        round.open == 0
    }
}

impl Core {
    /// An idle partition goes looking for work when its wait is over.
    pub(crate) fn poll_stealing(&mut self) {
        if !self.stealing.is_due(self.now) || !self.may_act() {
            return;
        }
        let Some(thief) = self.thief() else {
            // Looked for again a little later, not at every step.
            self.stealing.next = self.now + CHECK_INTERVAL;
            return;
        };
        let served_here =
            if thief.idle { self.steal_here(&thief) } else { self.even_out_here(&thief) };
        if !served_here {
            self.ask_for_counts(thief);
        }
    }

    /// The partition that goes stealing: one that is idle, else the one whose queue is gone first.
    fn thief(&self) -> Option<Thief> {
        if let Some((partition, priority)) = self.idle_partition() {
            return Some(Thief { partition, priority, idle: true });
        }
        let partition = self.lightest()?;
        Some(Thief { partition, priority: Priority::BestEffort, idle: false })
    }

    /// The idle partition, and the lowest rank it would take: one without any ready
    /// task and with free room; or, while a peer is pressed, one that could let lower work give
    /// way and has no ready task of that rank itself.
    fn idle_partition(&self) -> Option<(String, Priority)> {
        let all = Priority::BestEffort;
        let fits = |p: &Partition, priority| {
            p.active()
                && p.ready_count(priority) == 0
                && !self.free_capacity_of(p, priority).free.is_empty()
        };
        let named = |p: &Partition, priority| Some((p.name.clone(), priority));
        if let Some(partition) = self.partitions.values().find(|p| fits(p, all)) {
            return named(partition, all);
        }
        // A partition held by this very node may be the pressed one: nobody tells, and the urgent tasks
        // of one partition waited 25 s while another's machines ran lower work.
        let saturated = self.stealing.is_peer_saturated(self.now)
            || self.partitions.values().any(|p| p.saturated);
        if !saturated {
            return None;
        }
        for priority in [Priority::Standard, Priority::Urgent, Priority::Prod] {
            if let Some(partition) = self.partitions.values().find(|p| fits(p, priority)) {
                return named(partition, priority);
            }
        }
        None
    }

    /// Partitions held by one node lend to each other by the same move, without a message; whether there
    /// was any task to move.
    fn steal_here(&mut self, thief: &Thief) -> bool {
        let priority = thief.priority;
        let victim = self
            .partitions
            .values()
            .filter(|p| p.name != thief.partition && p.active())
            .map(|p| (p.movable_count(&self.config, priority), p.name.clone()))
            .max()
            .filter(|(ready, _)| *ready > 0);
        let Some((_, victim)) = victim else { return false };
        self.stealing.wait(self.now);
        if let Some(partition) = self.partitions.get(&thief.partition) {
            let (term, room) = (partition.term, self.free_capacity_of(partition, priority));
            let thief = thief.partition.clone();
            let request = None;
            let load = None;
            self.steal_tasks(StealRequest { request, victim, thief, term, priority, room, load });
        }
        true
    }

    /// Moves work of a partition without machines to another one held by this very node; whether there
    /// was any to move. Queues are not evened out further here: the standard tasks of a partition with
    /// many urgent ones went to others, so that nothing was left there to give way to those.
    fn even_out_here(&mut self, thief: &Thief) -> bool {
        let Some(partition) = self.partitions.get(&thief.partition) else { return false };
        let (own, term) = (self.load_of(partition), partition.term);
        let Some((longest, victim)) = self.longest_here(Some(&thief.partition)) else {
            return false;
        };
        if longest.cpus > 0.0 || !is_much_longer(&longest, &own) {
            return false;
        }
        let room = self.machine_types_of(partition);
        self.stealing.wait(self.now);
        self.steal_tasks(StealRequest {
            request: None,
            victim,
            thief: thief.partition.clone(),
            term,
            priority: thief.priority,
            room,
            load: Some(own),
        });
        true
    }

    /// Asks random peers how many tasks they have ready.
    fn ask_for_counts(&mut self, thief: Thief) {
        let peers: Vec<&String> =
            self.config.nodes.iter().filter(|n| **n != self.config.node).collect();
        let asked: Vec<String> = peers
            .choose_multiple(&mut self.rng, self.config.operator.peers_asked)
            .map(|n| (*n).clone())
            .collect();
        if asked.is_empty() {
            self.stealing.next = self.now + self.config.operator.steal_cap;
            return;
        }
        let priority = thief.priority;
        let round = self.stealing.begin_round(thief, asked.len());
        for node in asked {
            let pending = PendingPeerCall::Count { round, node: node.clone() };
            self.outbox.ask_peer(&node, PeerRequest::Counts { priority }, pending);
        }
    }

    /// A peer has answered how many tasks it has ready, or not.
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
        if self.stealing.counted(round, node, counts) {
            self.steal_from_most();
        }
    }

    /// All peers of a round have answered: the most loaded is asked for tasks.
    fn steal_from_most(&mut self) {
        let Some(round) = self.stealing.round.take() else { return };
        if !round.thief.idle {
            return self.even_out_with(round);
        }
        let Thief { partition: name, priority, .. } = round.thief;
        let target = round.most.filter(|(ready, _)| *ready > 0);
        let (Some((_, node)), Some(partition)) = (target, self.partitions.get(&name)) else {
            return self.steal_failed();
        };
        let thief = self.free_capacity_of(partition, priority);
        if partition.ready_count(priority) > 0 || thief.free.is_empty() {
            // Work of our own has come in the meantime.
            return self.stealing.wait(self.now);
        }
        let term = partition.term;
        self.ask_for_tasks(&node, name, term, priority, thief, None);
    }

    /// Takes from the peer whose queue lasts longest, if that is much longer than the partition's own.
    fn even_out_with(&mut self, round: Round) {
        let Thief { partition: name, priority, .. } = round.thief;
        let Some(partition) = self.partitions.get(&name) else {
            return self.steal_failed();
        };
        let (own, term) = (self.load_of(partition), partition.term);
        let Some((_, node)) = round.longest.filter(|(load, _)| is_much_longer(load, &own)) else {
            return self.steal_failed();
        };
        let thief = self.machine_types_of(partition);
        self.ask_for_tasks(&node, name, term, priority, thief, Some(own));
    }

    fn ask_for_tasks(
        &mut self,
        node: &str,
        partition: String,
        term: u64,
        priority: Priority,
        thief: ThiefCapacity,
        load: Option<Load>,
    ) {
        let pending = PendingPeerCall::Steal { partition: partition.clone() };
        let request = PeerRequest::Steal { partition, term, priority, thief, load };
        self.stealing.waiting = true;
        self.outbox.ask_peer(node, request, pending);
    }

    /// A victim has answered with tasks that are this partition's now, or not.
    pub(crate) fn steal_replied(&mut self, partition: &str, result: Result<PeerAnswer, CallError>) {
        // A lost answer does no harm: the move, if made, comes by the watch.
        let Ok(PeerAnswer::Stolen { jobs }) = result else { return self.steal_failed() };
        for (_, mod_revision, record) in jobs {
            if let Ok(record) = serde_json::from_str::<ActiveJobRecord>(&record) {
                self.reconcile_job(record, mod_revision);
            }
        }
        if let Some(partition) = self.partitions.get_mut(partition) {
            partition.placement_wanted = true;
        }
        self.steal_succeeded();
    }

    /// Waits until the next round, and twice as long until the one after.
    pub(crate) fn steal_failed(&mut self) {
        self.stealing.failed(&self.config, self.now);
    }

    /// Looks for more at once, and waits for the shortest time after the next failure.
    pub(crate) fn steal_succeeded(&mut self) {
        self.stealing.succeeded(&self.config, self.now);
    }

    /// How long until the next steal.
    #[cfg(test)]
    pub(crate) fn next_steal_in(&self) -> Micros {
        self.stealing.next - self.now
    }
}
