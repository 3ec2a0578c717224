//! The one owner of all state of a process.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::peers::{PeerAnswer, PeerRequest};
use quartzlever_wire::state::{Change as StateChange, Hosts, LiveRecord, StateCall, StateReply};
use quartzlever_wire::workers::{Report, WorkerCall, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache::{Cache, FinalStates, LatestStamps};
use crate::claims::BlockWork;
use crate::cluster::{Cluster, ClusterWrite};
use crate::config::Config;
use crate::fleet::CloudWork;
use crate::jobs::{JobWrite, Purpose};
use crate::ledger::Ledger;
use crate::listing::Section;
use crate::lookups::{Asked, Lookups};
use crate::messages::{Answer, Command, Effect, Lane, RequestId, Token, Weight};
use crate::pages::Pages;
use crate::partition::{Partition, Types};
use crate::placement::RunTimes;
use crate::reachability::Reachability;
use crate::stealing::Stealing;

/// What an answer from the state service belongs to.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// Nothing depends on the answer: a hint for a peer, or the removal of what nobody needs.
    Nothing,
    /// The kept catalogue is read, or written.
    KeptCatalogue,
    Grant {
        sent: Micros,
    },
    Renew {
        sent: Micros,
        lease: u64,
    },
    Acquire {
        part: String,
        lease: u64,
    },
    Release {
        part: String,
        stamp: u64,
    },
    /// A page of the records is listed.
    List {
        listing: u64,
        section: Section,
    },
    /// A version was announced, or raised.
    Cluster {
        write: ClusterWrite,
        lease: u64,
    },
    /// Machines move from a block of the first form to small ones.
    SplitBlock {
        key: String,
        small: Vec<(String, Hosts)>,
        whole: bool,
    },
    Watch {
        number: u64,
        sent: Micros,
    },
    /// The present revision, for the questions that wait for it, and for the age of the view.
    Revision {
        asked: Vec<Asked>,
        sent: Micros,
    },
    ReadLive {
        purpose: Purpose,
    },
    ReadOver {
        purpose: Purpose,
    },
    Accept {
        id: RequestId,
        record: Box<LiveRecord>,
    },
    Cancel {
        id: RequestId,
        job: String,
        done: u32,
        tries: u32,
    },
    JobWrite(Box<JobWrite>),
    Reread {
        part: String,
        term: u64,
        job: String,
    },
    RereadOver {
        part: String,
        term: u64,
        job: String,
    },
    StealWrite {
        part: String,
        term: u64,
        request: Option<RequestId>,
        moved: Vec<crate::stealing::Move>,
    },
    /// A block of machines, as it will be; what was added and dropped, and for which terms.
    Block {
        key: String,
        hosts: Hosts,
        added: BTreeSet<String>,
        dropped: BTreeSet<String>,
        parts: BTreeMap<String, u64>,
    },
    ReadBlock {
        key: String,
    },
}

/// What an answer from a worker belongs to.
#[derive(Debug, Default)]
pub(crate) struct WorkerWait {
    pub part: String,
    pub term: u64,
    pub machine: String,
    pub runs: Vec<crate::machine::SlotKey>,
    /// A machine that nobody knew is asked whether it is there.
    pub confirms_presence: bool,
    /// Any machine is asked, to see whether workers are reached from here.
    pub probe: bool,
}

/// The state lease that all partitions of this process hang on.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    pub id: Option<u64>,
    /// Until then the lease is surely alive.
    pub sure_until: Micros,
    /// When the renewal was sent that ended the latest time without a sure lease. The view must
    /// have been read later: a holder that was away may have missed anything.
    pub regained: Micros,
    pub waiting: bool,
    pub next: Micros,
}

/// Whether the state service is to be reached from here.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// When it last answered.
    pub heard: Micros,
    /// When a peer last said that it is reached from there while it is not from here.
    pub alone: Option<Micros>,
    asked: Micros,
    /// The log was told that it is out of reach.
    told: bool,
}

/// The state service counts as out of reach after this time; a lease is renewed more often.
pub(crate) const CONTACT_LOST: Micros = 4 * SECOND;
const CONTACT_ASK: Micros = SECOND;

/// What the state service takes in one transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// The largest value by its own answers alone, whatever the settings say of limits to come.
    pub learned_bytes: usize,
}

/// How large a transaction was: its largest value, and its changes.
#[derive(Clone, Copy, Debug)]
struct TxnSize {
    value: usize,
    ops: usize,
}

/// Limits are never learned to be lower: the end of a job takes as much.
const LEAST_VALUE: usize = 512;
const LEAST_OPS: usize = 2;

/// All state of a controller.
pub struct Core {
    pub(crate) cfg: Config,
    pub(crate) rng: SmallRng,
    /// Tells this process from earlier ones of the same node.
    pub(crate) process: u64,
    pub(crate) started: Micros,
    pub(crate) now: Micros,
    /// Time of day minus steady time.
    pub(crate) wall_offset: Option<i64>,
    next_token: Token,
    pub(crate) out: Vec<Effect>,
    pub(crate) state_waits: HashMap<Token, Waiting>,
    pub(crate) worker_waits: HashMap<Token, WorkerWait>,
    pub(crate) cloud_waits: HashMap<Token, CloudWork>,
    pub(crate) peer_waits: HashMap<Token, crate::stealing::PeerWork>,
    pub(crate) lease: Lease,
    pub(crate) cache: Cache,
    pub(crate) parts: BTreeMap<String, Partition>,
    pub(crate) contact: Contact,
    pub(crate) cluster: Cluster,
    pub(crate) pages: Pages,
    /// What the state service takes, as far as is known.
    pub(crate) limits: Limits,
    txn_sizes: HashMap<Token, TxnSize>,
    pub(crate) reachability: Reachability,
    pub(crate) ledger: Ledger,
    pub(crate) blocks: BTreeMap<String, BlockWork>,
    /// A block is being split; when the next one may be.
    pub(crate) splitting: bool,
    pub(crate) split_at: Micros,
    pub(crate) lookups: Lookups,
    /// Reports of machines that nobody knew, while the machines are asked.
    pub(crate) unconfirmed: HashMap<String, (RequestId, Report)>,
    /// Partitions whose keys are being changed; those whose change failed, and when the next may be made.
    pub(crate) busy_parts: BTreeSet<String>,
    pub(crate) retry_parts: BTreeMap<String, Micros>,
    pub(crate) releasing: BTreeSet<String>,
    /// Partitions that are being taken from a process that has not given them up.
    pub(crate) evicting: BTreeSet<String>,
    /// The next one is taken this way no sooner.
    pub(crate) evict_after: Micros,
    /// Since when each absent part has been missing.
    pub(crate) absent_since: BTreeMap<String, Micros>,
    /// Home nodes that ask for their part: since when, and last asked.
    pub(crate) home_asks: BTreeMap<String, (Micros, Micros)>,
    pub(crate) types: Option<Types>,
    pub(crate) cloud: crate::fleet::Cloud,
    pub(crate) finals: FinalStates,
    pub(crate) stamps: LatestStamps,
    pub(crate) user_calls: usize,
    pub(crate) stealing: Stealing,
    pub(crate) run_times: RunTimes,
    /// This node's part of the limits of the state service and the cloud.
    share: f64,
    /// What was turned away lately and why, for the log, and when that is told next.
    turned_away: BTreeMap<(u16, &'static str), u32>,
    tell_at: Micros,
    /// When all machines are looked at next, and all jobs for what is to be written.
    look_at: Micros,
    write_at: Micros,
    blocks_at: Micros,
}

/// Shortest time between two looks at all machines, at all jobs for what is to be written, and at
/// the blocks of machines that are to change.
const LOOK: Micros = SECOND;
const WRITE_PAUSE: Micros = SECOND / 5;
const BLOCKS_PAUSE: Micros = SECOND / 10;
/// Why everybody is turned away until the cache is there.
pub(crate) const STARTING: &str = "starting";
/// How often the log says what was turned away.
const TELL_EVERY: Micros = 10 * SECOND;

impl Core {
    /// A controller that has just started. `seed` must differ between processes of one node.
    pub fn new(cfg: Config, seed: u64, now: Micros) -> Self {
        let mut core = Core {
            stealing: Stealing::new(&cfg),
            rng: SmallRng::seed_from_u64(seed),
            process: seed,
            started: now,
            now,
            wall_offset: None,
            next_token: 0,
            out: Vec::new(),
            state_waits: HashMap::new(),
            worker_waits: HashMap::new(),
            cloud_waits: HashMap::new(),
            peer_waits: HashMap::new(),
            lease: Lease::default(),
            cache: Cache::default(),
            parts: BTreeMap::new(),
            contact: Contact { heard: now, ..Contact::default() },
            cluster: Cluster::default(),
            pages: Pages::default(),
            limits: Limits {
                value_bytes: cfg.value_bytes,
                txn_ops: cfg.txn_ops,
                learned_bytes: usize::MAX,
            },
            txn_sizes: HashMap::new(),
            reachability: Reachability::new(now),
            ledger: Ledger::new(now),
            blocks: BTreeMap::new(),
            splitting: false,
            split_at: 0,
            lookups: Lookups::default(),
            unconfirmed: HashMap::new(),
            busy_parts: BTreeSet::new(),
            retry_parts: BTreeMap::new(),
            releasing: BTreeSet::new(),
            evicting: BTreeSet::new(),
            evict_after: 0,
            absent_since: BTreeMap::new(),
            home_asks: BTreeMap::new(),
            types: None,
            cloud: crate::fleet::Cloud::default(),
            finals: FinalStates::default(),
            stamps: LatestStamps::default(),
            user_calls: 0,
            run_times: RunTimes::default(),
            share: 0.0,
            turned_away: BTreeMap::new(),
            tell_at: now,
            look_at: 0,
            write_at: 0,
            blocks_at: 0,
            cfg,
        };
        if !core.cfg.leases_meet_cancel() {
            core.note(Weight::Error, || {
                "workers.cancel_s is too short for workers.lease_s: what cannot be reached is not \
                 gone in time by its lease alone"
                    .into()
            });
        }
        core
    }

    /// Works through a batch and says what is to be done.
    pub fn step(&mut self, now: Micros, mut commands: Vec<Command>) -> Vec<Effect> {
        self.now = self.now.max(now);
        // A node without a part changes little, and those with parts share what there is.
        let holders = self.cache.holders();
        let sharers = holders.max(if self.parts.is_empty() { self.cfg.nodes.len() } else { 1 });
        self.ledger.pass(self.now, self.cfg.state_write_rps, sharers);
        let share = self.cfg.share_of_limits(holders, !self.parts.is_empty());
        if share != self.share {
            self.share = share;
            self.out.push(Effect::Share(share));
        }
        // What workers and users say concerns no part's holder.
        let concerns_holders = commands.is_empty()
            || commands.iter().any(|c| {
                !matches!(
                    c,
                    Command::Report { .. }
                        | Command::Worker { .. }
                        | Command::Lookup { .. }
                        | Command::Submit { .. }
                )
            });
        commands.sort_by_key(Command::class);
        for command in commands {
            self.take(command);
        }
        self.keep_lease();
        self.keep_contact();
        self.keep_cache();
        self.keep_cluster();
        self.keep_reachability();
        if concerns_holders {
            self.keep_parts();
        }
        self.decide();
        self.keep_lookups();
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Submit { id, spec } => self.submit(id, spec),
            Command::Lookup { id, job } => self.lookup(id, job),
            Command::Abort { id, job } => self.abort(id, job),
            Command::Ready { id } => self.ready(id),
            Command::Report { id, report } => self.hello(id, report),
            Command::Peer { id, request } => self.peer_request(id, request),
            Command::State { token, result } => {
                if result.is_ok() {
                    self.contact_made();
                }
                self.learn_limits(token, &result);
                if let Some(waiting) = self.state_waits.remove(&token) {
                    self.state_answer(waiting, result);
                }
            }
            Command::Cloud { token, result } => {
                if let Some(work) = self.cloud_waits.remove(&token) {
                    self.cloud_answer(work, result);
                }
            }
            Command::Worker { token, result } => {
                if let Some(wait) = self.worker_waits.remove(&token) {
                    self.worker_answer(token, wait, result);
                }
            }
            Command::Asked { token, result } => {
                if let Some(work) = self.peer_waits.remove(&token) {
                    self.peer_answer(work, result);
                }
            }
            Command::Tick { wall, behind } => {
                if behind {
                    self.reachability.attentive = self.now;
                }
                self.wall_offset = Some(wall as i64 - self.now as i64);
            }
        }
    }

    /// Shortest time between two calls of a kind that may use this share of all requests.
    pub(crate) fn pause_for(&self, share: f64) -> Micros {
        let rate = self.cfg.state_rps * share * self.share;
        quartzlever_wire::micros_from_secs(1.0 / rate.max(0.1))
    }

    /// Whether this process surely holds its lease.
    pub(crate) fn holds(&self) -> bool {
        self.lease.id.is_some() && self.now < self.lease.sure_until
    }

    /// Until when this process may act for its parts: as long as its lease is surely alive and its
    /// view of the jobs fresh. One does not follow from the other: while the state service refused
    /// a holder alone and then everybody, its lease lived on, its watch told nothing, and another
    /// node had confirmed cancellations.
    pub(crate) fn acts_until(&self) -> Micros {
        let caught_up = self.cache.viewed >= self.lease.regained;
        if self.lease.id.is_none() || !caught_up {
            return 0;
        }
        self.lease.sure_until.min(self.cache.viewed + self.cfg.view_bound())
    }

    /// Whether this process may act for its parts.
    pub(crate) fn sure(&self) -> bool {
        self.now < self.acts_until()
    }

    /// The present time of day.
    pub(crate) fn wall(&self) -> Micros {
        (self.now as i64 + self.wall_offset.unwrap_or(0)).max(0) as Micros
    }

    pub(crate) fn token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    /// A transaction that is refused for its size, or for coming too often, shows a limit lower
    /// than the settings say: from then on less is written at once, or less often.
    fn learn_limits(&mut self, token: Token, result: &Result<StateReply, CallError>) {
        let Some(size) = self.txn_sizes.remove(&token) else { return };
        match result {
            Ok(StateReply::TooLarge) => {
                // Which of the two it was is not said.
                let before = self.limits;
                let limits = &mut self.limits;
                if size.value > LEAST_VALUE {
                    let lower = (size.value * 3 / 4).max(LEAST_VALUE);
                    limits.value_bytes = limits.value_bytes.min(lower);
                    limits.learned_bytes = limits.learned_bytes.min(lower);
                }
                if size.ops > LEAST_OPS {
                    limits.txn_ops = limits.txn_ops.min(size.ops - 1);
                }
                let Limits { value_bytes, txn_ops, .. } = *limits;
                // Once for each limit that is learned.
                let news = before.value_bytes > value_bytes || before.txn_ops > txn_ops;
                self.note(if news { Weight::Error } else { Weight::Debug }, || {
                    let TxnSize { value, ops } = size;
                    format!(
                        "the state service takes no transaction of {ops} changes with a value of \
                         {value} bytes: from now on {txn_ops} and {value_bytes}"
                    )
                });
            }
            Err(CallError::TooOften) if self.ledger.slow_down(self.now) => {
                self.note(Weight::Error, || "the state service allows fewer changes".into());
            }
            _ => {}
        }
    }

    pub(crate) fn state(&mut self, lane: Lane, call: StateCall, waiting: Waiting) {
        let token = self.token();
        if let StateCall::Txn(txn) = &call {
            let value = |c: &StateChange| match c {
                StateChange::Write { v, .. } => v.text().len(),
                StateChange::Delete { .. } => 0,
            };
            let value = txn.changes.iter().map(value).max().unwrap_or(0);
            self.txn_sizes.insert(token, TxnSize { value, ops: txn.changes.len() });
        }
        self.state_waits.insert(token, waiting);
        self.out.push(Effect::State { token, lane, call });
    }

    pub(crate) fn cloud_call(&mut self, call: CloudCall, work: CloudWork) {
        let token = self.token();
        self.cloud_waits.insert(token, work);
        let until = self.lease.sure_until;
        self.out.push(Effect::Cloud { token, call, until });
    }

    pub(crate) fn worker_call(
        &mut self,
        address: String,
        call: WorkerCall,
        wait: WorkerWait,
    ) -> Token {
        let token = self.token();
        self.worker_waits.insert(token, wait);
        let until = self.acts_until();
        self.out.push(Effect::Worker { token, address, call, until });
        token
    }

    pub(crate) fn ask_peer(
        &mut self,
        node: &str,
        request: PeerRequest,
        work: crate::stealing::PeerWork,
    ) {
        let token = self.token();
        self.peer_waits.insert(token, work);
        self.out.push(Effect::Peer { token, node: node.to_owned(), request });
    }

    pub(crate) fn answer(&mut self, id: RequestId, status: u16, body: Answer) {
        self.out.push(Effect::Answer { id, status, body, retry_after_s: None, until: None });
    }

    /// Tells a user to come back, at once.
    pub(crate) fn later(&mut self, id: RequestId, status: u16, why: &'static str) {
        let body = Answer::Error { error: why };
        *self.turned_away.entry((status, why)).or_default() += 1;
        self.out.push(Effect::Answer { id, status, body, retry_after_s: Some(1), until: None });
    }

    /// Whether nothing of the service is known yet, so that every worker and every health check is
    /// turned away.
    pub fn starting(&self) -> bool {
        !self.cache.loaded() && self.parts.is_empty()
    }

    /// Whether something is to be placed at a certain time, or as soon as may be.
    pub fn awaits_time(&self) -> bool {
        self.parts.values().any(|p| p.place_wanted || p.place_due.is_some())
    }

    /// So many were turned away for that reason without asking.
    pub fn turned_away_unasked(&mut self, count: u32) {
        if count > 0 {
            *self.turned_away.entry((503, STARTING)).or_default() += count;
        }
    }

    /// Says now and then what was turned away, and why: nothing else shows an overload.
    fn tell_turned_away(&mut self) {
        if self.now < self.tell_at {
            return;
        }
        self.tell_at = self.now + TELL_EVERY;
        let turned_away = std::mem::take(&mut self.turned_away);
        if !turned_away.is_empty() {
            let each: Vec<String> = turned_away
                .iter()
                .map(|((status, why), n)| format!("{status} {why} ({n})"))
                .collect();
            self.note(Weight::Info, || format!("turned away lately: {}", each.join(", ")));
        }
    }

    /// Leaves a line in the log, if it is of enough weight.
    pub(crate) fn note(&mut self, weight: Weight, text: impl FnOnce() -> String) {
        if weight <= self.cfg.notes {
            self.out.push(Effect::Note { weight, text: text() });
        }
    }

    /// The state service has answered.
    fn contact_made(&mut self) {
        let silent = self.now.saturating_sub(self.contact.heard) / SECOND;
        self.contact.heard = self.now;
        self.contact.alone = None;
        if std::mem::take(&mut self.contact.told) {
            self.note(Weight::Info, || {
                format!("the state service answers again, after {silent} s without an answer")
            });
        }
    }

    /// A peer reaches the state service while this node does not.
    pub(crate) fn peer_reaches_state(&mut self) {
        // A late answer says nothing of the present.
        if self.contact.told && self.contact.alone.replace(self.now).is_none() {
            self.note(Weight::Info, || {
                "the state service answers others and not this controller".into()
            });
        }
    }

    /// Asks the peers, while the state service gives no answer, whether they reach it.
    fn keep_contact(&mut self) {
        let now = self.now;
        if now < self.contact.heard + CONTACT_LOST || now < self.contact.asked + CONTACT_ASK {
            return;
        }
        self.contact.asked = now;
        if !std::mem::replace(&mut self.contact.told, true) {
            self.note(Weight::Info, || {
                format!("the state service has not answered for {} s", CONTACT_LOST / SECOND)
            });
        }
        for node in self.cfg.nodes.clone() {
            if node != self.cfg.node {
                self.ask_peer(&node, PeerRequest::Contact, crate::stealing::PeerWork::Contact);
            }
        }
    }

    fn ready(&mut self, id: RequestId) {
        if self.is_ready() {
            self.answer(id, 200, Answer::Ready { ready: true });
        } else {
            self.later(id, 503, STARTING);
        }
    }

    /// Whether this node can take requests.
    pub fn is_ready(&self) -> bool {
        // A node without a part can still look up, cancel and accept into another's part; it is
        // of no use only while it has no picture of the service at all.
        // One that alone is refused by the state service can do nothing for users whom others
        // could serve; in an outage all go on, since nobody could do better.
        let alone = self.contact.alone.is_some_and(|t| self.now < t + 3 * CONTACT_ASK);
        self.cache.loaded() && self.wall_offset.is_some() && !alone
    }

    fn state_answer(&mut self, waiting: Waiting, result: Result<StateReply, CallError>) {
        match waiting {
            Waiting::Nothing => {}
            Waiting::Grant { sent } => self.granted(sent, result),
            Waiting::Renew { sent, lease } => self.renewed(sent, lease, result),
            Waiting::Acquire { part, lease } => self.acquired(&part, lease, result),
            Waiting::Release { part, stamp } => self.released(&part, stamp, &result),
            Waiting::List { listing, section } => self.page_listed(listing, section, result),
            Waiting::Cluster { write, lease } => self.cluster_answered(write, lease, &result),
            Waiting::SplitBlock { key, small, whole } => {
                self.block_split(&key, small, whole, &result);
            }
            Waiting::Watch { number, sent } => self.watched(number, sent, result),
            Waiting::Revision { asked, sent } => self.fenced(asked, sent, result),
            Waiting::KeptCatalogue => self.catalogue_read(result),
            Waiting::ReadLive { purpose } => self.live_read(purpose, result),
            Waiting::ReadOver { purpose } => self.over_read(purpose, result),
            Waiting::Accept { id, record } => self.accept_answered(id, *record, result),
            Waiting::Cancel { id, job, done, tries } => {
                self.cancel_answered(id, job, done, tries, result);
            }
            Waiting::JobWrite(write) => self.job_written(*write, result),
            Waiting::Reread { part, term, job } => self.reread(&part, term, &job, result),
            Waiting::RereadOver { part, term, job } => self.reread_over(&part, term, &job, result),
            Waiting::StealWrite { part, term, request, moved } => {
                self.steal_written(&part, term, request, moved, result);
            }
            Waiting::Block { key, hosts, added, dropped, parts } => {
                self.block_written(&key, hosts, &added, &dropped, &parts, result);
            }
            Waiting::ReadBlock { key } => self.block_read(&key, result),
        }
    }

    fn cloud_answer(&mut self, work: CloudWork, result: Result<CloudReply, CallError>) {
        self.cloud_done(work, result);
    }

    fn worker_answer(
        &mut self,
        token: Token,
        wait: WorkerWait,
        result: Result<WorkerReply, CallError>,
    ) {
        self.worker_done(token, wait, result);
    }

    fn peer_answer(
        &mut self,
        work: crate::stealing::PeerWork,
        result: Result<PeerAnswer, CallError>,
    ) {
        self.peer_done(work, result);
    }

    /// Ends a part's recovery once every machine is proven.
    pub(crate) fn open_barrier(&mut self, name: &str) {
        if let Some(part) = self.parts.get_mut(name)
            && part.try_open_barrier()
        {
            let after = (self.now - part.acquired) / 1000;
            self.note(Weight::Info, || format!("part {name}: recovered after {after} ms"));
        }
    }

    /// All decisions of this moment.
    fn decide(&mut self) {
        let names: Vec<String> = self.parts.keys().cloned().collect();
        let look = self.now >= self.look_at;
        if look {
            self.look_at = self.now + LOOK;
        }
        for name in &names {
            if look {
                self.expire_silent(name);
                if self.sure() {
                    self.ask_late_servers(name);
                }
            }
            self.open_barrier(name);
            let lines = self.parts.get_mut(name).map(|p| std::mem::take(&mut p.notes));
            for (weight, line) in lines.into_iter().flatten() {
                self.note(weight, || format!("part {name}: {line}"));
            }
            if self.sure() {
                self.place(name);
                self.call_workers(name);
            }
        }
        if self.now >= self.write_at {
            self.write_at = self.now + WRITE_PAUSE;
            self.write_jobs();
            self.remove_leftover_pages();
        }
        if self.now >= self.blocks_at {
            self.blocks_at = self.now + BLOCKS_PAUSE;
            self.write_blocks();
            self.split_blocks();
        }
        self.keep_fleet();
        self.tell_pressed();
        self.keep_stealing();
        self.tell_turned_away();
    }

    pub(crate) fn part_at(&mut self, name: &str, term: u64) -> Option<&mut Partition> {
        self.parts.get_mut(name).filter(|p| p.term == term)
    }
}

#[cfg(test)]
mod tests;
