//! Adaptive work stealing: an idle part asks a few random peers for their ready counts, steals
//! half the ready tasks of the most loaded, and doubles its wait after a failure.

use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, Room, ThiefRoom};
use quartzlever_wire::state::{LiveRecord, OverRecord, PARTS, StateCall, StateReply};
use quartzlever_wire::users::{JobPhase, Rank};
use quartzlever_wire::{CallError, Json, Micros, Ranges, SECOND};
use rand::seq::IndexedRandom;

use crate::config::Config;
use crate::engine::{CONTACT_LOST, Core, Waiting};
use crate::ledger::Change;
use crate::machine::{Amounts, Slot};
use crate::messages::{Effect, Lane, RequestId, Weight};
use crate::partition::{Partition, live_key};
use crate::placement::offer_allowed;

/// What an answer from a peer belongs to.
#[derive(Debug)]
pub(crate) enum PeerWork {
    Count {
        round: u64,
        node: String,
    },
    Steal {
        part: String,
    },
    /// Whether the peer reaches the state service.
    Contact,
    /// A holder was told how many of a part's machines come here.
    Heard {
        part: String,
        machines: u32,
    },
    /// Something was only told.
    Told,
}

/// Ranges of one job that a transaction moves, and the job's record after it.
#[derive(Debug)]
pub(crate) struct Move {
    pub job: String,
    pub cut: Ranges,
    pub record: LiveRecord,
}

/// One round of asking for counts.
#[derive(Debug)]
struct Round {
    number: u64,
    part: String,
    rank: Rank,
    open: usize,
    most: Option<(u32, String)>,
    /// The part is not idle, but its queue may be much shorter than another's: that one.
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
    peer_pressed: Option<Micros>,
    next_press: Micros,
    pub next_home_ask: Micros,
}

impl Stealing {
    pub fn new(cfg: &Config) -> Self {
        Stealing {
            interval: cfg.operator.steal_start,
            next: 0,
            rounds: 0,
            round: None,
            waiting: false,
            peer_pressed: None,
            next_press: 0,
            next_home_ask: 0,
        }
    }
}

/// How long a peer's word that it is pressed counts, and how often it is given.
const PRESSED: Micros = SECOND;
const LOOK: Micros = SECOND / 10;

/// A part counts as idle beside a peer whose queue lasts this many times as long as its own, and
/// so many seconds more. Stealing by parts without any ready task did nothing for a part whose
/// machines were taken, while all others had queues of their own: its jobs waited 500 s.
const LONGER: f64 = 2.0;
const LONGER_S: f64 = 10.0;

fn much_longer(queue: &Load, than: &Load) -> bool {
    queue.drain_s() > than.drain_s() * LONGER + LONGER_S
}

/// The kinds of machines that a part has, each with the room of an empty one: what does not fit
/// there is not moved to its queue.
fn kinds_of(core: &Core, part: &Partition) -> ThiefRoom {
    let mut free: Vec<Room> = Vec::new();
    for record in part.machines.values().filter(|m| m.usable()).map(|m| &m.record) {
        let known =
            |r: &Room| r.kind == record.kind && r.zone == record.zone && r.spot == record.spot;
        let Some(kind) = core.types.as_ref().and_then(|t| t.get(&record.kind)) else { continue };
        if !free.iter().any(known) {
            free.push(Room {
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                cpus: kind.cpus,
                gpus: kind.gpus,
                ram_gb: kind.ram_gb,
            });
        }
    }
    ThiefRoom { free }
}

/// Room on open machines, as the thief tells it; for tasks of a rank, what lower work could give
/// way to counts as room.
fn room_of(core: &Core, part: &Partition, rank: Rank) -> ThiefRoom {
    let quiet = core.cfg.workers.report * 3;
    let free = part
        .machines
        .values()
        .filter(|m| m.open(core.now, quiet))
        .filter_map(|m| {
            let mut free = m.room;
            let lower = |s: &&Slot| s.wanted && !s.exited() && s.rank > rank;
            m.slots.values().filter(lower).for_each(|s| free.give(&s.need));
            (free.cpus > 0.0).then(|| Room {
                kind: m.record.kind.clone(),
                zone: m.record.zone.clone(),
                spot: m.record.spot,
                cpus: free.cpus,
                gpus: free.gpus,
                ram_gb: free.ram_gb,
            })
        })
        .collect();
    ThiefRoom { free }
}

impl Core {
    /// An idle part goes looking for work when its wait is over.
    pub(crate) fn keep_stealing(&mut self) {
        if self.now < self.stealing.next
            || self.stealing.waiting
            || self.stealing.round.is_some()
            || !self.sure()
        {
            return;
        }
        let (part, rank, idle) = match (self.thief(), self.lightest()) {
            (Some((part, rank)), _) => (part, rank, true),
            (None, Some(part)) => (part, Rank::BestEffort, false),
            (None, None) => {
                // Looked for again a little later, not at every step.
                self.stealing.next = self.now + LOOK;
                return;
            }
        };
        if !idle && self.even_out_here(&part) {
            return;
        }
        // Parts held by one node lend to each other by the same move, without a message.
        if let Some((_, victim)) = self
            .parts
            .values()
            .filter(|p| p.name != part && p.active())
            .map(|p| (p.movable_count(&self.cfg, rank), p.name.clone()))
            .max()
            .filter(|(ready, _)| idle && *ready > 0)
        {
            self.stealing.next = self.now + self.stealing.interval;
            let (Some(thief), Some(_)) = (self.parts.get(&part), self.parts.get(&victim)) else {
                return;
            };
            let (term, room) = (thief.term, room_of(self, thief, rank));
            self.cut_for(None, &victim, &part, term, rank, &room, None);
            return;
        }
        let peers: Vec<&String> = self.cfg.nodes.iter().filter(|n| **n != self.cfg.node).collect();
        let asked: Vec<String> = peers
            .choose_multiple(&mut self.rng, self.cfg.operator.peers_asked)
            .map(|n| (*n).clone())
            .collect();
        if asked.is_empty() {
            self.stealing.next = self.now + self.cfg.operator.steal_cap;
            return;
        }
        self.stealing.rounds += 1;
        let number = self.stealing.rounds;
        let open = asked.len();
        let round = Round { number, part, rank, open, most: None, longest: None, idle };
        self.stealing.round = Some(round);
        for node in asked {
            let work = PeerWork::Count { round: number, node: node.clone() };
            self.ask_peer(&node, PeerRequest::Counts { rank }, work);
        }
    }

    /// The part that goes stealing, and the lowest rank it would take: one without any ready
    /// task and with free room; or, while a peer is pressed, one that could let lower work give
    /// way and has no ready task of that rank itself.
    fn thief(&self) -> Option<(String, Rank)> {
        let all = Rank::BestEffort;
        let fits = |p: &Partition, rank| {
            p.active() && p.ready_count(rank) == 0 && !room_of(self, p, rank).free.is_empty()
        };
        let named = |p: &Partition, rank| Some((p.name.clone(), rank));
        if let Some(part) = self.parts.values().find(|p| fits(p, all)) {
            return named(part, all);
        }
        // A part held by this very node may be the pressed one: nobody tells, and the urgent tasks
        // of one part waited 25 s while another's machines ran lower work.
        let told = self.stealing.peer_pressed.filter(|t| self.now.saturating_sub(*t) < PRESSED);
        if told.is_none() && !self.parts.values().any(|p| p.pressed) {
            return None;
        }
        for rank in [Rank::Standard, Rank::Urgent, Rank::Prod] {
            if let Some(part) = self.parts.values().find(|p| fits(p, rank)) {
                return named(part, rank);
            }
        }
        None
    }

    /// How long a part's queue is.
    fn load_of(&self, part: &Partition) -> Load {
        let jobs = part.jobs.values().filter(|j| !j.ready.is_empty() && !j.mistaken());
        let work = jobs.map(|j| {
            let each = self.run_times.expect(j.spec()) as f64 / 1e6 * j.spec().cpus;
            f64::from(j.ready.len()) * each
        });
        let kinds = part.machines.values().filter(|m| m.usable()).filter_map(|m| {
            self.types.as_ref().and_then(|t| t.get(&m.record.kind)).map(|t| t.cpus)
        });
        Load { work: work.sum(), cpus: kinds.sum() }
    }

    /// The load of the part held here whose queue lasts longest.
    fn longest_here(&self, but: Option<&str>) -> Option<(Load, String)> {
        let parts = self.parts.values().filter(|p| p.active() && Some(p.name.as_str()) != but);
        let loads = parts.map(|p| (self.load_of(p), p.name.clone()));
        loads.max_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s()))
    }

    /// The part held here whose queue is gone first, if it has machines.
    fn lightest(&self) -> Option<String> {
        let parts = self.parts.values().filter(|p| p.active() && p.barrier_open);
        let loads = parts.map(|p| (self.load_of(p), p.name.clone())).filter(|l| l.0.cpus > 0.0);
        loads.min_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s())).map(|(_, name)| name)
    }

    /// Moves work of a part without machines to another one held by this very node; whether there
    /// was any to move. Queues are not evened out further here: the standard tasks of a part with
    /// many urgent ones went to others, so that nothing was left there to give way to those.
    fn even_out_here(&mut self, part: &str) -> bool {
        let Some(thief) = self.parts.get(part) else { return false };
        let (own, term, room) = (self.load_of(thief), thief.term, kinds_of(self, thief));
        let Some((longest, victim)) = self.longest_here(Some(part)) else { return false };
        if longest.cpus > 0.0 || !much_longer(&longest, &own) {
            return false;
        }
        self.stealing.next = self.now + self.stealing.interval;
        self.cut_for(None, &victim, part, term, Rank::BestEffort, &room, Some(own));
        true
    }

    /// Tells the peers that tasks should start now and cannot.
    pub(crate) fn tell_pressed(&mut self) {
        let pressed = self.parts.values().any(|p| p.pressed);
        if !pressed || self.now < self.stealing.next_press {
            return;
        }
        self.stealing.next_press = self.now + PRESSED;
        for node in self.cfg.nodes.clone() {
            if node != self.cfg.node {
                self.ask_peer(&node, PeerRequest::Pressed, PeerWork::Told);
            }
        }
    }

    /// How long until the next steal.
    #[cfg(test)]
    pub(crate) fn steal_wait(&self) -> Micros {
        self.stealing.next - self.now
    }

    pub(crate) fn steal_failed(&mut self) {
        self.stealing.waiting = false;
        self.stealing.next = self.now + self.stealing.interval;
        self.stealing.interval = (self.stealing.interval * 2).min(self.cfg.operator.steal_cap);
    }

    pub(crate) fn steal_succeeded(&mut self) {
        self.stealing.waiting = false;
        self.stealing.interval = self.cfg.operator.steal_start;
        self.stealing.next = self.now;
    }

    pub(crate) fn peer_done(&mut self, work: PeerWork, result: Result<PeerAnswer, CallError>) {
        match work {
            PeerWork::Told => {}
            PeerWork::Heard { part, machines } => {
                if result.is_err() {
                    self.heard_untold(&part, machines);
                }
            }
            PeerWork::Contact => {
                if let Ok(PeerAnswer::Contact { reached: true }) = result {
                    self.peer_reaches_state();
                }
            }
            PeerWork::Count { round, node } => {
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
            PeerWork::Steal { part } => match result {
                Ok(PeerAnswer::Stolen { jobs }) => {
                    for (_, stamp, record) in jobs {
                        if let Ok(record) = serde_json::from_str::<LiveRecord>(&record) {
                            self.absorb(record, stamp);
                        }
                    }
                    if let Some(part) = self.parts.get_mut(&part) {
                        part.place_wanted = true;
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
        let (Some((_, node)), Some(part)) = (target, self.parts.get(&round.part)) else {
            return self.steal_failed();
        };
        let rank = round.rank;
        let thief = room_of(self, part, rank);
        if part.ready_count(rank) > 0 || thief.free.is_empty() {
            // Work of our own has come in the meantime.
            self.stealing.next = self.now + self.stealing.interval;
            return;
        }
        let (name, term) = (part.name.clone(), part.term);
        let request = PeerRequest::Steal { part: name, term, rank, thief, load: None };
        self.stealing.waiting = true;
        self.ask_peer(&node, request, PeerWork::Steal { part: round.part });
    }

    /// Takes from the peer whose queue lasts longest, if that is much longer than the part's own.
    fn even_out_with(&mut self, round: Round) {
        let Some(part) = self.parts.get(&round.part) else { return self.steal_failed() };
        let (own, term, thief) = (self.load_of(part), part.term, kinds_of(self, part));
        let Some((_, node)) = round.longest.filter(|(load, _)| much_longer(load, &own)) else {
            return self.steal_failed();
        };
        let (part, rank) = (round.part.clone(), round.rank);
        let request = PeerRequest::Steal { part, term, rank, thief, load: Some(own) };
        self.stealing.waiting = true;
        self.ask_peer(&node, request, PeerWork::Steal { part: round.part });
    }

    /// A peer asks something.
    pub(crate) fn peer_request(&mut self, id: RequestId, request: PeerRequest) {
        let answer = match request {
            PeerRequest::Pressed => {
                // The wait after failures is over early: there is something to be had.
                self.stealing.peer_pressed = Some(self.now);
                self.stealing.interval = self.cfg.operator.steal_start;
                self.stealing.next = self.now;
                PeerAnswer::Nothing
            }
            PeerRequest::Contact => {
                PeerAnswer::Contact { reached: self.now < self.contact.heard + CONTACT_LOST }
            }
            PeerRequest::Counts { rank } => {
                let ready = self
                    .parts
                    .values()
                    .filter(|p| p.active())
                    .map(|p| p.movable_count(&self.cfg, rank))
                    .sum();
                let load = self.longest_here(None).map_or(Load::default(), |(load, _)| load);
                PeerAnswer::Counts { ready, load }
            }
            PeerRequest::HandBack { part } => {
                self.home_asks(&part);
                PeerAnswer::Nothing
            }
            PeerRequest::Heard { part, machines } => {
                self.told_heard(part, machines);
                PeerAnswer::Nothing
            }
            // The program's own matter: its log takes them.
            PeerRequest::Logged(_) => PeerAnswer::Nothing,
            PeerRequest::Cancelled { job, done } => {
                self.job_over(&job, OverRecord { phase: JobPhase::Aborted, done });
                PeerAnswer::Nothing
            }
            PeerRequest::Rented { part, hosts } => {
                for host in hosts {
                    self.cloud.hint(host, &part, self.now);
                }
                PeerAnswer::Nothing
            }
            PeerRequest::Steal { part, term, rank, thief, load } => {
                let most = self
                    .parts
                    .values()
                    .filter(|p| p.active() && p.name != part)
                    .max_by_key(|p| p.movable_count(&self.cfg, rank))
                    .map(|p| p.name.clone());
                let longest = load.and_then(|_| self.longest_here(Some(&part))).map(|(_, v)| v);
                match longest.or(most) {
                    Some(victim) if self.sure() => {
                        return self.cut_for(Some(id), &victim, &part, term, rank, &thief, load);
                    }
                    _ => PeerAnswer::Nothing,
                }
            }
        };
        self.out.push(Effect::AnswerPeer { id, answer });
    }

    fn answer_nothing(&mut self, request: Option<RequestId>) {
        if let Some(id) = request {
            self.out.push(Effect::AnswerPeer { id, answer: PeerAnswer::Nothing });
        }
    }

    /// Cuts ready ranges off the victim's queue and writes the move; the thief is told after
    /// the write is in force.
    #[allow(clippy::too_many_arguments)]
    fn cut_for(
        &mut self,
        request: Option<RequestId>,
        victim: &str,
        thief: &str,
        term: u64,
        rank: Rank,
        room: &ThiefRoom,
        load: Option<Load>,
    ) {
        let fraction = self.cfg.operator.steal_fraction;
        let most_jobs = self.limits.txn_ops.clamp(1, 8);
        let value_bytes = self.limits.value_bytes;
        let order = match self.parts.get(victim) {
            Some(part) => part.queue_order(&self.cfg, &self.run_times, self.now),
            None => return self.answer_nothing(request),
        };
        // A thief with a queue of its own takes what evens out the two, and nothing urgent: that
        // starts here as soon as it can, unless there are no machines at all.
        let own = self.parts.get(victim).map_or(Load::default(), |p| self.load_of(p));
        let mut excess = load.map(|thief| own.excess_over(&thief));
        let least = if load.is_some() && own.cpus > 0.0 { Rank::Standard } else { Rank::Prod };
        let (run_times, pages) = (&self.run_times, &self.pages);
        let Some(part) = self.parts.get_mut(victim) else { return };
        let mut left = (f64::from(part.movable_count(&self.cfg, rank)) * fraction).ceil() as u32;
        let mut txn = part.txn().when(format!("{PARTS}{thief}"), term);
        let mut free = room.free.clone();
        let mut moved: Vec<Move> = Vec::new();
        let mut bytes = 0;
        for id in order {
            if left == 0 || moved.len() >= most_jobs {
                break;
            }
            let Some(job) = part.jobs.get_mut(&id) else { continue };
            if !movable(&self.cfg, job, rank) || job.spec().rank < least {
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
            job.cutting.add(&cut);
            job.writing = true;
            txn = txn.when(live_key(&id), job.stamp).write(live_key(&id), value);
            moved.push(Move { job: id, cut, record });
        }
        if moved.is_empty() {
            return self.answer_nothing(request);
        }
        if !self.ledger.allows(Change::Move, moved.len()) {
            self.take_back(victim, moved);
            return self.answer_nothing(request);
        }
        let waiting =
            Waiting::StealWrite { part: victim.to_owned(), term: part.term, request, moved };
        self.state(Lane::Work, StateCall::Txn(txn), waiting);
    }

    /// The state service has answered the write of a move, or not.
    pub(crate) fn steal_written(
        &mut self,
        name: &str,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<Move>,
        result: Result<StateReply, CallError>,
    ) {
        if self.part_at(name, term).is_none() {
            return self.answer_nothing(request);
        }
        match result {
            Ok(StateReply::Committed(stamp)) => {
                return self.move_committed(name, request, moved, stamp);
            }
            Ok(StateReply::Conflict(failed)) => self.move_conflicted(name, term, moved, &failed),
            Err(CallError::Refused | CallError::TooOften) | Ok(_) => {
                self.take_back(name, moved);
                if let Some(part) = self.parts.get_mut(name) {
                    part.place_wanted = true;
                }
            }
            Err(CallError::Unknown) => self.move_doubtful(name, moved),
        }
        self.answer_nothing(request);
    }

    /// The move is in force: the thief is told.
    fn move_committed(
        &mut self,
        name: &str,
        request: Option<RequestId>,
        moved: Vec<Move>,
        stamp: u64,
    ) {
        let mut jobs = Vec::new();
        for Move { job: id, cut, mut record } in moved {
            let text = Json::of(&self.pages.stored_form(&record)).text().to_owned();
            if let Some(job) = self.parts.get_mut(name).and_then(|p| p.jobs.get_mut(&id)) {
                job.writing = false;
                job.cutting.subtract(&cut);
                if stamp > job.stamp {
                    // A page may have told of finished tasks meanwhile.
                    record.finished.add(&job.record.finished);
                    job.stamp = stamp;
                    job.record = record.clone();
                }
            }
            // The thief may be another part of this very process.
            self.absorb(record, stamp);
            jobs.push((id, stamp, text));
        }
        let count = jobs.len();
        self.note(Weight::Info, || format!("part {name}: tasks of {count} jobs stolen"));
        match request {
            Some(id) => {
                let answer = PeerAnswer::Stolen { jobs };
                self.out.push(Effect::AnswerPeer { id, answer });
            }
            None => self.steal_succeeded(),
        }
    }

    /// The move can no longer come into force: what is still owned returns to the queue, and jobs whose
    /// records have changed are read again.
    fn move_conflicted(&mut self, name: &str, term: u64, moved: Vec<Move>, failed: &[String]) {
        let Some(part) = self.parts.get_mut(name) else { return };
        let mut again = Vec::new();
        for Move { job: id, cut, .. } in moved {
            let Some(job) = part.jobs.get_mut(&id) else { continue };
            job.writing = false;
            job.cutting.subtract(&cut);
            let owned = job.record.owned_by(name);
            job.ready.add(&cut.intersect(&owned));
            if failed.contains(&live_key(&id)) {
                job.writing = true;
                again.push(id);
            }
        }
        part.place_wanted = true;
        if failed.contains(&part.key()) {
            self.lose_part(name, term);
        }
        for id in again {
            self.reread_job(name, term, &id);
        }
    }

    /// The move was not carried out: its tasks return to the queue.
    fn take_back(&mut self, name: &str, moved: Vec<Move>) {
        let Some(part) = self.parts.get_mut(name) else { return };
        for Move { job: id, cut, .. } in moved {
            let Some(job) = part.jobs.get_mut(&id) else { continue };
            job.writing = false;
            job.cutting.subtract(&cut);
            job.ready.add(&cut);
        }
    }

    /// The move may still come into force, minutes late. Its tasks stay cut until another write at the
    /// same stamp, or a newer record, has settled the matter.
    fn move_doubtful(&mut self, name: &str, moved: Vec<Move>) {
        let soon = self.now + SECOND / 4;
        let Some(part) = self.parts.get_mut(name) else { return };
        for Move { job: id, .. } in moved {
            let Some(job) = part.jobs.get_mut(&id) else { continue };
            job.writing = false;
            job.doubtful = true;
            job.wants_write = true;
            job.write_after = soon;
        }
    }
}

/// Whether tasks of the job may go to another part.
fn movable(cfg: &Config, job: &crate::partition::PartitionJob, rank: Rank) -> bool {
    let spec = job.spec();
    // A limited team stays in its part, zones are counted within one part, and services stay put.
    !job.writing
        && spec.rank <= rank
        && !job.doubtful
        && !job.ready.is_empty()
        // Elsewhere it would fail on as many machines again.
        && !job.mistaken()
        && !cfg.limited(&spec.team)
        && !spec.one_zone
        && !spec.spread
        && !spec.is_service()
}

/// How many of the job's ready tasks the thief has room for, taking that room.
fn fit_count(free: &mut [Room], job: &crate::partition::PartitionJob, most: u32) -> u32 {
    let need = job.need();
    let mut count = 0;
    let most = most.min(job.ready.len());
    for room in free {
        if !offer_allowed(job.spec(), &room.kind, &room.zone, room.spot) {
            continue;
        }
        let mut amounts = Amounts { cpus: room.cpus, gpus: room.gpus, ram_gb: room.ram_gb };
        while count < most && amounts.fits(&need) {
            amounts.take(&need);
            count += 1;
        }
        (room.cpus, room.gpus, room.ram_gb) = (amounts.cpus, amounts.gpus, amounts.ram_gb);
    }
    count
}

/// Whether a task of the job could ever run on one of these machines.
fn fits_somewhere(free_room_index: &[Room], job: &crate::partition::PartitionJob) -> bool {
    let need = job.need();
    free_room_index.iter().any(|r| {
        let amounts = Amounts { cpus: r.cpus, gpus: r.gpus, ram_gb: r.ram_gb };
        offer_allowed(job.spec(), &r.kind, &r.zone, r.spot) && amounts.fits(&need)
    })
}

impl Partition {
    /// Ready tasks that a thief could take.
    pub fn movable_count(&self, cfg: &Config, rank: Rank) -> u32 {
        self.jobs.values().filter(|j| movable(cfg, j, rank)).map(|j| j.ready.len()).sum()
    }
}

#[cfg(test)]
mod tests;
