//! Adaptive work stealing: an idle partition asks a few random peers for their ready counts, steals
//! half the ready tasks of the most loaded, and doubles its wait after a failure.

use quartzlever_wire::peers::{FreeCapacity, Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::store::{
    ActiveJobRecord, PARTITION_PREFIX, StoreCall, StoreReply, TerminalJobRecord,
};
use quartzlever_wire::users::{JobPhase, Priority};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::seq::IndexedRandom;

use crate::calls::{Move, PendingPeerCall, PendingStoreCall};
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::jobs::records::active_job_key;
use crate::machines::attempt::Slot;
use crate::machines::resources::Resources;
use crate::messages::{CallPriority, LogLevel, RequestId};
use crate::partition::Partition;
use crate::router::Core;
use crate::scheduling::offer_allowed;
use crate::store::write_budget::WriteKind;

/// One round of asking for counts.
#[derive(Debug)]
struct Round {
    number: u64,
    partition: String,
    priority: Priority,
    open: usize,
    most: Option<(u32, String)>,
    /// The partition is not idle, but its queue may be much shorter than another's: that one.
    longest: Option<(Load, String)>,
    idle: bool,
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
    next_saturation_notice_at: Micros,
}

impl Stealing {
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
}

/// How long a peer's word that it is pressed counts, and how often it is given.
const SATURATION_LIFETIME: Micros = SECOND;
const CHECK_INTERVAL: Micros = SECOND / 10;

/// A partition counts as idle beside a peer whose queue lasts this many times as long as its own, and
/// so many seconds more. Stealing by partitions without any ready task did nothing for a partition whose
/// machines were taken, while all others had queues of their own: its jobs waited 500 s.
const MUCH_LONGER_FACTOR: f64 = 2.0;
const MUCH_LONGER_MARGIN_S: f64 = 10.0;

fn is_much_longer(queue: &Load, than: &Load) -> bool {
    queue.drain_s() > than.drain_s() * MUCH_LONGER_FACTOR + MUCH_LONGER_MARGIN_S
}

/// The kinds of machines that a partition has, each with the room of an empty one: what does not fit
/// there is not moved to its queue.
fn machine_types_of(core: &Core, partition: &Partition) -> ThiefCapacity {
    let mut free: Vec<FreeCapacity> = Vec::new();
    for record in partition.machines.values().filter(|m| m.usable()).map(|m| &m.record) {
        let known = |r: &FreeCapacity| {
            r.machine_type == record.machine_type && r.zone == record.zone && r.spot == record.spot
        };
        let Some(machine_type) = core.types.as_ref().and_then(|t| t.get(&record.machine_type))
        else {
            continue;
        };
        if !free.iter().any(known) {
            free.push(FreeCapacity {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                ram_gb: machine_type.ram_gb,
            });
        }
    }
    ThiefCapacity { free }
}

/// Room on open machines, as the thief tells it; for tasks of a rank, what lower work could give
/// way to counts as room.
fn free_capacity_of(core: &Core, partition: &Partition, priority: Priority) -> ThiefCapacity {
    let quiet = core.config.workers.heartbeat_interval * 3;
    let free = partition
        .machines
        .values()
        .filter(|m| m.open(core.now, quiet))
        .filter_map(|m| {
            let mut free = m.free;
            let lower = |s: &&Slot| s.wanted && !s.exited() && s.priority > priority;
            m.slots.values().filter(lower).for_each(|s| free.give(&s.need));
            (free.cpus > 0.0).then(|| FreeCapacity {
                machine_type: m.record.machine_type.clone(),
                zone: m.record.zone.clone(),
                spot: m.record.spot,
                cpus: free.cpus,
                gpus: free.gpus,
                ram_gb: free.ram_gb,
            })
        })
        .collect();
    ThiefCapacity { free }
}

impl Core {
    /// An idle partition goes looking for work when its wait is over.
    pub(crate) fn poll_stealing(&mut self) {
        if self.now < self.stealing.next
            || self.stealing.waiting
            || self.stealing.round.is_some()
            || !self.may_act()
        {
            return;
        }
        let (partition, priority, idle) = match (self.thief(), self.lightest()) {
            (Some((partition, priority)), _) => (partition, priority, true),
            (None, Some(partition)) => (partition, Priority::BestEffort, false),
            (None, None) => {
                // Looked for again a little later, not at every step.
                self.stealing.next = self.now + CHECK_INTERVAL;
                return;
            }
        };
        if !idle && self.even_out_here(&partition) {
            return;
        }
        // Partitions held by one node lend to each other by the same move, without a message.
        if let Some((_, victim)) = self
            .partitions
            .values()
            .filter(|p| p.name != partition && p.active())
            .map(|p| (p.movable_count(&self.config, priority), p.name.clone()))
            .max()
            .filter(|(ready, _)| idle && *ready > 0)
        {
            self.stealing.next = self.now + self.stealing.interval;
            let (Some(thief), Some(_)) =
                (self.partitions.get(&partition), self.partitions.get(&victim))
            else {
                return;
            };
            let (term, room) = (thief.term, free_capacity_of(self, thief, priority));
            self.steal_tasks(None, &victim, &partition, term, priority, &room, None);
            return;
        }
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
        self.stealing.rounds += 1;
        let number = self.stealing.rounds;
        let open = asked.len();
        let round = Round { number, partition, priority, open, most: None, longest: None, idle };
        self.stealing.round = Some(round);
        for node in asked {
            let work = PendingPeerCall::Count { round: number, node: node.clone() };
            self.outbox.ask_peer(&node, PeerRequest::Counts { priority }, work);
        }
    }

    /// The partition that goes stealing, and the lowest rank it would take: one without any ready
    /// task and with free room; or, while a peer is pressed, one that could let lower work give
    /// way and has no ready task of that rank itself.
    fn thief(&self) -> Option<(String, Priority)> {
        let all = Priority::BestEffort;
        let fits = |p: &Partition, priority| {
            p.active()
                && p.ready_count(priority) == 0
                && !free_capacity_of(self, p, priority).free.is_empty()
        };
        let named = |p: &Partition, priority| Some((p.name.clone(), priority));
        if let Some(partition) = self.partitions.values().find(|p| fits(p, all)) {
            return named(partition, all);
        }
        // A partition held by this very node may be the pressed one: nobody tells, and the urgent tasks
        // of one partition waited 25 s while another's machines ran lower work.
        let saturated_peer = self
            .stealing
            .peer_saturated_at
            .filter(|t| self.now.saturating_sub(*t) < SATURATION_LIFETIME);
        if saturated_peer.is_none() && !self.partitions.values().any(|p| p.saturated) {
            return None;
        }
        for priority in [Priority::Standard, Priority::Urgent, Priority::Prod] {
            if let Some(partition) = self.partitions.values().find(|p| fits(p, priority)) {
                return named(partition, priority);
            }
        }
        None
    }

    /// How long a partition's queue is.
    fn load_of(&self, partition: &Partition) -> Load {
        let jobs = partition.jobs.values().filter(|j| !j.ready.is_empty() && !j.fails_everywhere());
        let work = jobs.map(|j| {
            let each = self.run_times.expect(j.spec()) as f64 / 1e6 * j.spec().cpus;
            f64::from(j.ready.len()) * each
        });
        let processors = partition.machines.values().filter(|m| m.usable()).filter_map(|m| {
            self.types.as_ref().and_then(|t| t.get(&m.record.machine_type)).map(|t| t.cpus)
        });
        Load { work: work.sum(), cpus: processors.sum() }
    }

    /// The load of the partition held here whose queue lasts longest.
    fn longest_here(&self, but: Option<&str>) -> Option<(Load, String)> {
        let partitions =
            self.partitions.values().filter(|p| p.active() && Some(p.name.as_str()) != but);
        let loads = partitions.map(|p| (self.load_of(p), p.name.clone()));
        loads.max_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s()))
    }

    /// The partition held here whose queue is gone first, if it has machines.
    fn lightest(&self) -> Option<String> {
        let partitions = self.partitions.values().filter(|p| p.active() && p.recovery_complete);
        let loads =
            partitions.map(|p| (self.load_of(p), p.name.clone())).filter(|l| l.0.cpus > 0.0);
        loads.min_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s())).map(|(_, name)| name)
    }

    /// Moves work of a partition without machines to another one held by this very node; whether there
    /// was any to move. Queues are not evened out further here: the standard tasks of a partition with
    /// many urgent ones went to others, so that nothing was left there to give way to those.
    fn even_out_here(&mut self, partition: &str) -> bool {
        let Some(thief) = self.partitions.get(partition) else { return false };
        let (own, term, room) = (self.load_of(thief), thief.term, machine_types_of(self, thief));
        let Some((longest, victim)) = self.longest_here(Some(partition)) else { return false };
        if longest.cpus > 0.0 || !is_much_longer(&longest, &own) {
            return false;
        }
        self.stealing.next = self.now + self.stealing.interval;
        self.steal_tasks(None, &victim, partition, term, Priority::BestEffort, &room, Some(own));
        true
    }

    /// Tells the peers that tasks should start now and cannot.
    pub(crate) fn notify_saturated(&mut self) {
        let saturated = self.partitions.values().any(|p| p.saturated);
        if !saturated || self.now < self.stealing.next_saturation_notice_at {
            return;
        }
        self.stealing.next_saturation_notice_at = self.now + SATURATION_LIFETIME;
        for node in self.config.nodes.clone() {
            if node != self.config.node {
                self.outbox.ask_peer(&node, PeerRequest::Saturated, PendingPeerCall::Notification);
            }
        }
    }

    /// How long until the next steal.
    #[cfg(test)]
    pub(crate) fn next_steal_in(&self) -> Micros {
        self.stealing.next - self.now
    }

    pub(crate) fn steal_failed(&mut self) {
        self.stealing.waiting = false;
        self.stealing.next = self.now + self.stealing.interval;
        self.stealing.interval = (self.stealing.interval * 2).min(self.config.operator.steal_cap);
    }

    pub(crate) fn steal_succeeded(&mut self) {
        self.stealing.waiting = false;
        self.stealing.interval = self.config.operator.steal_start;
        self.stealing.next = self.now;
    }

    pub(crate) fn peer_replied(
        &mut self,
        work: PendingPeerCall,
        result: Result<PeerAnswer, CallError>,
    ) {
        match work {
            PendingPeerCall::Notification => {}
            PendingPeerCall::MachinesSeen { partition, machines } => {
                if result.is_err() {
                    self.store_machines_seen(&partition, machines);
                }
            }
            PendingPeerCall::StoreConnectivity => {
                if let Ok(PeerAnswer::StoreConnectivity { reached: true }) = result {
                    self.store_connectivity.peer_reaches_store(self.now, &mut self.outbox);
                }
            }
            PendingPeerCall::Count { round, node } => {
                let Some(open) = self.stealing.round.as_mut().filter(|r| r.number == round) else {
                    return;
                };
                open.open -= 1;
                if let Ok(PeerAnswer::Counts { ready, load }) = result {
                    let longer = |l: &(Load, String)| load.drain_s() > l.0.drain_s();
                    if ready > 0 && open.longest.as_ref().is_none_or(longer) {
                        open.longest = Some((load, node.clone()));
                    }
                    if open.most.as_ref().is_none_or(|m| ready > m.0) {
                        open.most = Some((ready, node));
                    }
                }
                if open.open == 0 {
                    self.steal_from_most();
                }
            }
            PendingPeerCall::Steal { partition } => match result {
                Ok(PeerAnswer::Stolen { jobs }) => {
                    for (_, mod_revision, record) in jobs {
                        if let Ok(record) = serde_json::from_str::<ActiveJobRecord>(&record) {
                            self.reconcile_job(record, mod_revision);
                        }
                    }
                    if let Some(partition) = self.partitions.get_mut(&partition) {
                        partition.placement_wanted = true;
                    }
                    self.steal_succeeded();
                }
                // A lost answer does no harm: the move, if made, comes by the watch.
                _ => self.steal_failed(),
            },
        }
    }

    fn steal_from_most(&mut self) {
        let Some(round) = self.stealing.round.take() else { return };
        if !round.idle {
            return self.even_out_with(round);
        }
        let target = round.most.filter(|(ready, _)| *ready > 0);
        let (Some((_, node)), Some(partition)) = (target, self.partitions.get(&round.partition))
        else {
            return self.steal_failed();
        };
        let priority = round.priority;
        let thief = free_capacity_of(self, partition, priority);
        if partition.ready_count(priority) > 0 || thief.free.is_empty() {
            // Work of our own has come in the meantime.
            self.stealing.next = self.now + self.stealing.interval;
            return;
        }
        let (name, term) = (partition.name.clone(), partition.term);
        let request = PeerRequest::Steal { partition: name, term, priority, thief, load: None };
        self.stealing.waiting = true;
        self.outbox.ask_peer(&node, request, PendingPeerCall::Steal { partition: round.partition });
    }

    /// Takes from the peer whose queue lasts longest, if that is much longer than the partition's own.
    fn even_out_with(&mut self, round: Round) {
        let Some(partition) = self.partitions.get(&round.partition) else {
            return self.steal_failed();
        };
        let (own, term, thief) =
            (self.load_of(partition), partition.term, machine_types_of(self, partition));
        let Some((_, node)) = round.longest.filter(|(load, _)| is_much_longer(load, &own)) else {
            return self.steal_failed();
        };
        let (partition, priority) = (round.partition.clone(), round.priority);
        let request = PeerRequest::Steal { partition, term, priority, thief, load: Some(own) };
        self.stealing.waiting = true;
        self.outbox.ask_peer(&node, request, PendingPeerCall::Steal { partition: round.partition });
    }

    /// A peer asks something.
    pub(crate) fn peer_request(&mut self, id: RequestId, request: PeerRequest) {
        let answer = match request {
            PeerRequest::Saturated => {
                // The wait after failures is over early: there is something to be had.
                self.stealing.peer_saturated_at = Some(self.now);
                self.stealing.interval = self.config.operator.steal_start;
                self.stealing.next = self.now;
                PeerAnswer::Nothing
            }
            PeerRequest::StoreConnectivity => PeerAnswer::StoreConnectivity {
                reached: self.store_connectivity.is_reached(self.now),
            },
            PeerRequest::Counts { priority } => {
                let ready = self
                    .partitions
                    .values()
                    .filter(|p| p.active())
                    .map(|p| p.movable_count(&self.config, priority))
                    .sum();
                let load = self.longest_here(None).map_or(Load::default(), |(load, _)| load);
                PeerAnswer::Counts { ready, load }
            }
            PeerRequest::HandBack { partition } => {
                self.handback_requested(&partition);
                PeerAnswer::Nothing
            }
            PeerRequest::MachinesSeen { partition, machines } => {
                self.reachability.note_machines_seen(self.now, partition, machines);
                PeerAnswer::Nothing
            }
            // The program's own matter: its log takes them.
            PeerRequest::Logged(_) => PeerAnswer::Nothing,
            PeerRequest::Cancelled { job, done } => {
                self.job_terminated(&job, TerminalJobRecord { phase: JobPhase::Cancelled, done });
                PeerAnswer::Nothing
            }
            PeerRequest::ScaledOut { partition, hosts } => {
                for host in hosts {
                    self.cloud.note_launch(host, &partition, self.now);
                }
                PeerAnswer::Nothing
            }
            PeerRequest::Steal { partition, term, priority, thief, load } => {
                let most = self
                    .partitions
                    .values()
                    .filter(|p| p.active() && p.name != partition)
                    .max_by_key(|p| p.movable_count(&self.config, priority))
                    .map(|p| p.name.clone());
                let longest =
                    load.and_then(|_| self.longest_here(Some(&partition))).map(|(_, v)| v);
                match longest.or(most) {
                    Some(victim) if self.may_act() => {
                        return self.steal_tasks(
                            Some(id),
                            &victim,
                            &partition,
                            term,
                            priority,
                            &thief,
                            load,
                        );
                    }
                    _ => PeerAnswer::Nothing,
                }
            }
        };
        self.outbox.answer_peer(id, answer);
    }

    fn answer_nothing(&mut self, request: Option<RequestId>) {
        if let Some(id) = request {
            self.outbox.answer_peer(id, PeerAnswer::Nothing);
        }
    }

    /// Cuts ready ranges off the victim's queue and writes the move; the thief is told after
    /// the write is in force.
    #[allow(clippy::too_many_arguments)]
    fn steal_tasks(
        &mut self,
        request: Option<RequestId>,
        victim: &str,
        thief: &str,
        term: u64,
        priority: Priority,
        room: &ThiefCapacity,
        load: Option<Load>,
    ) {
        let fraction = self.config.operator.steal_fraction;
        let most_jobs = self.limits.txn_ops().clamp(1, 8);
        let value_bytes = self.limits.value_bytes();
        let order = match self.partitions.get(victim) {
            Some(partition) => partition.queue_order(&self.config, &self.run_times, self.now),
            None => return self.answer_nothing(request),
        };
        // A thief with a queue of its own takes what evens out the two, and nothing urgent: that
        // starts here as soon as it can, unless there are no machines at all.
        let own = self.partitions.get(victim).map_or(Load::default(), |p| self.load_of(p));
        let mut excess = load.map(|thief| own.excess_over(&thief));
        let least =
            if load.is_some() && own.cpus > 0.0 { Priority::Standard } else { Priority::Prod };
        let (run_times, pages) = (&self.run_times, &self.pages);
        let Some(partition) = self.partitions.get_mut(victim) else { return };
        let mut left =
            (f64::from(partition.movable_count(&self.config, priority)) * fraction).ceil() as u32;
        let mut txn = partition.txn().when(format!("{PARTITION_PREFIX}{thief}"), term);
        let mut free = room.free.clone();
        let mut moved: Vec<Move> = Vec::new();
        let mut bytes = 0;
        for id in order {
            if left == 0 || moved.len() >= most_jobs {
                break;
            }
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            if !movable(&self.config, job, priority) || job.spec().priority < least {
                continue;
            }
            let count = match &mut excess {
                None => fit_count(&mut free, job, left),
                Some(excess) => {
                    let each = run_times.expect(job.spec()).max(1) as f64 / 1e6 * job.spec().cpus;
                    let most = (*excess / each.max(1e-6)).min(f64::from(left)) as u32;
                    let count =
                        if fits_somewhere(&free, job) { most.min(job.ready.len()) } else { 0 };
                    *excess -= f64::from(count) * each;
                    count
                }
            };
            if count == 0 {
                continue;
            }
            let cut = job.ready.cut_last(count);
            let mut record = job.record.clone();
            record.move_tasks(&cut, victim, thief, term);
            let value = Json::of(&pages.stored_form(&record));
            let size = value.text().len();
            if size > value_bytes || bytes + size > 48 * 1024 {
                job.ready.add(&cut);
                continue;
            }
            bytes += size;
            left -= cut.len();
            job.begin_move(&cut);
            txn =
                txn.when(active_job_key(&id), job.mod_revision()).write(active_job_key(&id), value);
            moved.push(Move { job: id, cut, record });
        }
        if moved.is_empty() {
            return self.answer_nothing(request);
        }
        if !self.write_budget.try_spend(WriteKind::Move, moved.len()) {
            self.take_back(victim, moved);
            return self.answer_nothing(request);
        }
        let waiting = PendingStoreCall::StealWrite {
            partition: victim.to_owned(),
            term: partition.term,
            request,
            moved,
        };
        self.outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), waiting);
    }

    /// The store has answered the write of a move, or not.
    pub(crate) fn steal_written(
        &mut self,
        name: &str,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<Move>,
        result: Result<StoreReply, CallError>,
    ) {
        if self.partition_at_term(name, term).is_none() {
            return self.answer_nothing(request);
        }
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                return self.move_committed(name, request, moved, mod_revision);
            }
            Ok(StoreReply::Conflict(failed)) => self.move_conflicted(name, term, moved, &failed),
            Err(CallError::Refused | CallError::TooOften) | Ok(_) => {
                self.take_back(name, moved);
                if let Some(partition) = self.partitions.get_mut(name) {
                    partition.placement_wanted = true;
                }
            }
            Err(CallError::Unknown) => self.move_outcome_unknown(name, moved),
        }
        self.answer_nothing(request);
    }

    /// The move is in force: the thief is told.
    fn move_committed(
        &mut self,
        name: &str,
        request: Option<RequestId>,
        moved: Vec<Move>,
        mod_revision: u64,
    ) {
        let mut jobs = Vec::new();
        for Move { job: id, cut, mut record } in moved {
            let text = Json::of(&self.pages.stored_form(&record)).text().to_owned();
            if let Some(job) = self.partitions.get_mut(name).and_then(|p| p.jobs.get_mut(&id)) {
                job.move_committed(&cut, &mut record, mod_revision);
            }
            // The thief may be another partition of this very process.
            self.reconcile_job(record, mod_revision);
            jobs.push((id, mod_revision, text));
        }
        let count = jobs.len();
        self.outbox.log(LogLevel::Info, || format!("part {name}: tasks of {count} jobs stolen"));
        match request {
            Some(id) => {
                let answer = PeerAnswer::Stolen { jobs };
                self.outbox.answer_peer(id, answer);
            }
            None => self.steal_succeeded(),
        }
    }

    /// The move can no longer come into force: what is still owned returns to the queue, and jobs whose
    /// records have changed are read again.
    fn move_conflicted(&mut self, name: &str, term: u64, moved: Vec<Move>, failed: &[String]) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut again = Vec::new();
        for Move { job: id, cut, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_conflicted(&cut, name);
            if failed.contains(&active_job_key(&id)) {
                job.begin_reread();
                again.push(id);
            }
        }
        partition.placement_wanted = true;
        if failed.contains(&partition.key()) {
            self.lose_partition(name, term);
        }
        for id in again {
            self.reread_job(name, term, &id);
        }
    }

    /// The move was not carried out: its tasks return to the queue.
    fn take_back(&mut self, name: &str, moved: Vec<Move>) {
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for Move { job: id, cut, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_undone(&cut);
        }
    }

    /// The move may still come into force, minutes late. Its tasks stay cut until another write at the
    /// same modification revision, or a newer record, has settled the matter.
    fn move_outcome_unknown(&mut self, name: &str, moved: Vec<Move>) {
        let soon = self.now + SECOND / 4;
        let Some(partition) = self.partitions.get_mut(name) else { return };
        for Move { job: id, .. } in moved {
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            job.move_outcome_unknown(soon);
        }
    }
}

/// Whether tasks of the job may go to another partition.
fn movable(config: &Config, job: &PartitionJob, priority: Priority) -> bool {
    let spec = job.spec();
    // A limited team stays in its partition, zones are counted within one partition, and services stay put.
    job.is_record_settled()
        && spec.priority <= priority
        && !job.ready.is_empty()
        // Elsewhere it would fail on as many machines again.
        && !job.fails_everywhere()
        && !config.limited(&spec.team)
        && !spec.one_zone
        && !spec.spread
        && !spec.is_service()
}

/// How many of the job's ready tasks the thief has room for, taking that room.
fn fit_count(free: &mut [FreeCapacity], job: &PartitionJob, most: u32) -> u32 {
    let need = job.need();
    let mut count = 0;
    let most = most.min(job.ready.len());
    for room in free {
        if !offer_allowed(job.spec(), &room.machine_type, &room.zone, room.spot) {
            continue;
        }
        let mut resources = Resources { cpus: room.cpus, gpus: room.gpus, ram_gb: room.ram_gb };
        while count < most && resources.fits(&need) {
            resources.take(&need);
            count += 1;
        }
        (room.cpus, room.gpus, room.ram_gb) = (resources.cpus, resources.gpus, resources.ram_gb);
    }
    count
}

/// Whether a task of the job could ever run on one of these machines.
fn fits_somewhere(free_capacity_index: &[FreeCapacity], job: &PartitionJob) -> bool {
    let need = job.need();
    free_capacity_index.iter().any(|r| {
        let resources = Resources { cpus: r.cpus, gpus: r.gpus, ram_gb: r.ram_gb };
        offer_allowed(job.spec(), &r.machine_type, &r.zone, r.spot) && resources.fits(&need)
    })
}

impl Partition {
    /// Ready tasks that a thief could take.
    pub fn movable_count(&self, config: &Config, priority: Priority) -> u32 {
        self.jobs.values().filter(|j| movable(config, j, priority)).map(|j| j.ready.len()).sum()
    }
}

#[cfg(test)]
mod tests;
