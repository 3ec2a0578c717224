//! Holding parts: the lease, taking a part, losing it, handing it back, and the cache of the records
//! that a watch keeps fresh.

use quartzlever_wire::pages::PAGES;
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::state::{
    CLUSTER, Event, HEARD, Hosts, LIVE, LiveRecord, OVER, OverRecord, PARTS, PartRecord, Row,
    StateCall, StateReply, Txn,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::claims::is_hosts;
use crate::config::surely_within;
use crate::engine::{Core, Waiting};
use crate::messages::{Lane, Weight};
use crate::partition::Partition;
use crate::reachability::LEFT_TO_OTHERS;
use crate::stealing::PeerWork;

/// Kept back from a lease's life for answers and calls that are on their way out.
const LEASE_MARGIN: Micros = SECOND;
const RETRY: Micros = SECOND / 2;
/// After an attempt to take or give up a partition that failed. At once, again and again, they came
/// to a hundred a second, which the limit of changes left nothing beside.
const PARTITION_RETRY: Micros = SECOND / 4;
/// Share of the requests to the state service that may open watches.
const WATCH_SHARE: f64 = 0.15;
/// Shortest time between two watches: what comes meanwhile comes together.
const WATCH_PAUSE: Micros = SECOND / 4;
const WATCH_DEAD: Micros = 3 * SECOND / 2;
/// A view that is older than the longest watch by this much is renewed by a read.
const VIEW_LATE: Micros = SECOND;
/// Home asks for its part this often, and counts as gone after this long without asking.
const HOME_ASK: Micros = SECOND;
const HOME_GONE: Micros = 3 * SECOND;
/// At a start the peers may only be a little slower to come up.
const START_GRACE: Micros = 8 * SECOND;

pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    row.v.parse()
}

impl Core {
    /// Keeps the process's lease alive.
    pub(crate) fn keep_lease(&mut self) {
        if self.lease.waiting || self.now < self.lease.next {
            return;
        }
        self.lease.waiting = true;
        let sent = self.now;
        match self.lease.id {
            None => {
                let life_ms = self.cfg.operator.lease_life / 1000;
                self.state(Lane::Lease, StateCall::Grant { life_ms }, Waiting::Grant { sent });
            }
            Some(lease) => {
                self.state(Lane::Lease, StateCall::Renew { lease }, Waiting::Renew { sent, lease });
            }
        }
    }

    fn extend_lease(&mut self, sent: Micros) {
        if !self.holds() {
            // The store may have been away, and its leases with their full time again: nobody is
            // called silent for what was not answered meanwhile.
            self.lease.regained = sent;
            self.reachability.attentive = self.now;
        }
        let life = surely_within(self.cfg.operator.lease_life);
        self.lease.sure_until = self.lease.sure_until.max(sent + life.saturating_sub(LEASE_MARGIN));
        self.lease.next = sent + self.cfg.operator.lease_life / 6;
    }

    pub(crate) fn granted(&mut self, sent: Micros, result: Result<StateReply, CallError>) {
        self.lease.waiting = false;
        if let Ok(StateReply::Granted(lease)) = result {
            self.lease.id = Some(lease);
            self.lease.sure_until = 0;
            self.extend_lease(sent);
        } else {
            self.lease.next = self.now + RETRY;
        }
    }

    pub(crate) fn renewed(
        &mut self,
        sent: Micros,
        lease: u64,
        result: Result<StateReply, CallError>,
    ) {
        self.lease.waiting = false;
        if self.lease.id != Some(lease) {
            return;
        }
        match result {
            Ok(StateReply::Renewed) => self.extend_lease(sent),
            Ok(StateReply::NoLease) => self.lease_ended(lease),
            _ => self.lease.next = self.now + RETRY,
        }
    }

    /// The state service says that a lease has ended: of an earlier one that is nothing new.
    pub(crate) fn lease_ended(&mut self, lease: u64) {
        if self.lease.id == Some(lease) {
            self.lose_all();
        }
    }

    /// The lease is gone, and with it every part.
    fn lose_all(&mut self) {
        self.lease.id = None;
        self.lease.sure_until = 0;
        self.lease.next = self.now;
        self.cluster.forget_node(&self.cfg.node);
        self.note(Weight::Info, || "lease lost, and all parts with it".into());
        self.parts.clear();
    }

    pub(crate) fn lose_part(&mut self, name: &str, term: u64) {
        if self.parts.get(name).is_some_and(|p| p.term == term) {
            self.parts.remove(name);
            self.note(Weight::Info, || format!("part {name}: lost, term {term}"));
        }
    }

    /// Keeps the cache of the records, and the watch that feeds it.
    pub(crate) fn keep_cache(&mut self) {
        let now = self.now;
        if !self.cache.loaded {
            self.begin_listing();
            return;
        }
        // A watch that stays open although there is something to tell has a dead connection.
        let dead = self.cache.watching.is_some_and(|since| {
            now.saturating_sub(since) > WATCH_DEAD && self.cache.newest > self.cache.revision
        });
        if (self.cache.watching.is_none() || dead) && now >= self.cache.watch_at {
            self.cache.watching = Some(now);
            self.cache.watch += 1;
            self.cache.watch_at = now + self.pause_for(WATCH_SHARE).max(WATCH_PAUSE);
            let hold_ms = self.cfg.watch_hold() / 1000;
            let call = StateCall::Watch { from: self.cache.revision, hold_ms };
            let number = self.cache.watch;
            self.state(Lane::Watch, call, Waiting::Watch { number, sent: now });
        }
        self.keep_view();
    }

    /// Reads the revision when the watch has not shown for long that the view is fresh, and after
    /// each time without a sure lease.
    fn keep_view(&mut self) {
        let now = self.now;
        let aged = now.saturating_sub(self.cache.viewed) > self.cfg.watch_hold() + VIEW_LATE;
        let behind = self.cache.viewed < self.lease.regained;
        if !(aged || behind) || self.cache.reading_view || now < self.cache.view_read_at {
            return;
        }
        self.cache.reading_view = true;
        self.cache.view_read_at = now + RETRY;
        let waiting = Waiting::Revision { asked: Vec::new(), sent: now };
        self.state(Lane::Lease, StateCall::Revision, waiting);
    }

    pub(crate) fn watched(
        &mut self,
        number: u64,
        sent: Micros,
        result: Result<StateReply, CallError>,
    ) {
        if number == self.cache.watch {
            self.cache.watching = None;
        }
        match result {
            Ok(StateReply::Watched(answer)) if self.cache.loaded => {
                // An earlier watch may answer after a later one: what it tells is known then.
                let known = self.cache.revision;
                for event in answer.log {
                    self.event(event, known);
                }
                self.cache.revision = known.max(answer.epoch);
                // It tells all that was committed before it was opened, at least.
                self.cache.read_revision(answer.epoch, sent);
            }
            Ok(StateReply::Watched(_)) => {}
            // What an earlier watch missed, a later one or a listing has brought.
            Ok(StateReply::TooOld) if number == self.cache.watch => self.cache.loaded = false,
            Ok(StateReply::TooOld) => {}
            _ => self.cache.watch_at = self.now + RETRY,
        }
    }

    fn event(&mut self, event: Event, known: u64) {
        match event {
            Event::Write { stamp, .. } | Event::Delete { stamp, .. } if stamp <= known => {}
            Event::Write { write, stamp, .. } if self.known_already(&write, stamp) => {}
            Event::Write { write, v, stamp } => {
                let row = Row { path: write, v, stamp, charter: None };
                if row.path.starts_with(PARTS) {
                    self.part_seen(&row.path, parse(&row), stamp);
                } else if is_hosts(&row.path) {
                    self.block_row(&row, true);
                } else if row.path.starts_with(LIVE) {
                    self.live_row(&row);
                } else if row.path.starts_with(PAGES) {
                    self.page_row(&row);
                } else if row.path.starts_with(CLUSTER) {
                    self.cluster_row(&row);
                } else if row.path.starts_with(HEARD) {
                    self.heard_left(&row);
                } else if let Some(id) = row.path.strip_prefix(OVER)
                    && let Some(over) = parse::<OverRecord>(&row)
                {
                    let id = id.to_owned();
                    self.job_over(&id, over);
                }
            }
            Event::Delete { delete, stamp } => {
                if let Some(name) = delete.strip_prefix(PARTS) {
                    if self.cache.parts.get(name).is_some_and(|(_, s)| *s <= stamp) {
                        self.cache.parts.remove(name);
                    }
                    if self.parts.get(name).is_some_and(|p| p.term <= stamp) {
                        self.parts.remove(name);
                    }
                } else if delete.starts_with(PAGES) {
                    self.page_deleted(&delete, stamp);
                } else if delete.starts_with(CLUSTER) {
                    self.cluster_deleted(&delete, stamp);
                } else if is_hosts(&delete) {
                    if self.cache.blocks.get(&delete).is_some_and(|(_, s)| *s <= stamp) {
                        self.block_seen(&delete, Hosts::new(), stamp + 1);
                    }
                } else if let Some(id) = delete.strip_prefix(LIVE) {
                    self.cache.unread.remove(id);
                    if self.cache.live.get(id).is_some_and(|(_, s)| *s <= stamp) {
                        self.cache.live.remove(id);
                    }
                }
            }
        }
    }

    /// Whether a record at this stamp, or a later one, has been taken in: by the write of this very
    /// process, most of the time. Such records are not even read.
    fn known_already(&self, key: &str, stamp: u64) -> bool {
        if let Some(id) = key.strip_prefix(LIVE) {
            let known = self.cache.live.get(id).is_some_and(|(_, s)| *s >= stamp);
            known || self.finals.get(id).is_some()
        } else if let Some(id) = key.strip_prefix(OVER) {
            self.finals.get(id).is_some()
        } else {
            is_hosts(key) && self.cache.blocks.get(key).is_some_and(|(_, s)| *s >= stamp)
        }
    }

    /// A job's record as the state service has it. One that cannot be read is left alone: its
    /// job stays known, since lookups read what the cache does not have.
    pub(crate) fn live_row(&mut self, row: &Row) {
        match parse::<LiveRecord>(row) {
            Some(record) => self.absorb(record, row.stamp),
            None => {
                if let Some(id) = row.path.strip_prefix(LIVE) {
                    self.cache.unread.insert(id.to_owned());
                }
                self.note(Weight::Error, || format!("unreadable record: {}", row.path));
            }
        }
    }

    pub(crate) fn part_seen(&mut self, path: &str, record: Option<PartRecord>, stamp: u64) {
        let (Some(name), Some(record)) = (path.strip_prefix(PARTS), record) else { return };
        if self.cache.parts.get(name).is_some_and(|(_, s)| *s > stamp) {
            return;
        }
        let mine = record.process == self.process && record.node == self.cfg.node;
        if self.parts.get(name).is_some_and(|p| p.term < stamp) {
            // Somebody took the part over, or a later acquisition of ours came into force.
            self.parts.remove(name);
        }
        self.cache.parts.insert(name.to_owned(), (record, stamp));
        if mine {
            let name = name.to_owned();
            self.begin_part(&name, stamp);
        }
    }

    /// Takes, asks for and hands back parts.
    pub(crate) fn keep_parts(&mut self) {
        self.load_parts();
        if !self.cache.loaded() || !self.holds() {
            return;
        }
        for name in self.cfg.nodes.clone() {
            // While it does not hear workers, this node is home to none.
            let deaf = self.reachability.lost();
            let home = name == self.cfg.node && !deaf;
            let entry = self.cache.parts.get(&name).cloned();
            match entry {
                None => {
                    let grace = if home {
                        0
                    } else {
                        let spread = self.rng.random_range(0..SECOND);
                        let others = if deaf { LEFT_TO_OTHERS } else { 0 };
                        // Its home node may hear of the release later than this one.
                        let heard = self.pause_for(WATCH_SHARE).saturating_sub(WATCH_PAUSE);
                        self.cfg.operator.takeover_after + spread + others + heard
                    };
                    let start_grace = if home { 0 } else { START_GRACE };
                    let since = *self.absent_since.entry(name.clone()).or_insert(self.now);
                    let due = (since + grace).max(self.started + start_grace);
                    if self.now >= due {
                        self.acquire(&name, 0);
                    }
                }
                Some((record, stamp)) => {
                    self.absent_since.remove(&name);
                    if record.node == self.cfg.node && record.process != self.process {
                        // Our own former process held it; that process is dead.
                        self.acquire(&name, stamp);
                    } else if self.cluster.is_outdated_holder(&record, stamp) {
                        self.evict(&name, stamp);
                    } else if record.node == self.cfg.node {
                        if self.releasing.contains(&name) || self.wanted_back(&name) {
                            self.release(&name, stamp);
                        }
                    } else if home {
                        self.ask_home(&record.node);
                    }
                }
            }
        }
    }

    /// Takes a partition from a live process of a version that must not hold it any more. Its key
    /// fences it off; until it has noticed, it may still answer workers.
    fn evict(&mut self, name: &str, stamp: u64) {
        if self.now < self.evict_after {
            // Whether the last attempt was a success shows with the watch.
            return;
        }
        self.evict_after = self.now + RETRY;
        self.evicting.insert(name.to_owned());
        self.acquire(name, stamp);
    }

    fn acquire(&mut self, name: &str, stamp: u64) {
        let Some(lease) = self.lease.id.filter(|_| self.has_announced()) else { return };
        if !self.may_change_partition(name) {
            return;
        }
        self.releasing.remove(name);
        let record = PartRecord { node: self.cfg.node.clone(), process: self.process };
        let key = format!("{PARTS}{name}");
        let txn = Txn::default().when(key.clone(), stamp).write_held(key, Json::of(&record), lease);
        self.ledger.spend(1);
        let waiting = Waiting::Acquire { part: name.to_owned(), lease };
        self.state(Lane::Lease, StateCall::Txn(txn), waiting);
    }

    /// Whether a partition's key may be changed now; it counts as being changed then.
    fn may_change_partition(&mut self, name: &str) -> bool {
        let is_early = self.retry_parts.get(name).is_some_and(|at| self.now < *at);
        !is_early && self.busy_parts.insert(name.to_owned())
    }

    /// A change of a partition's key has failed, or may have.
    fn partition_change_failed(&mut self, name: &str) {
        self.retry_parts.insert(name.to_owned(), self.now + PARTITION_RETRY);
    }

    pub(crate) fn acquired(
        &mut self,
        name: &str,
        lease: u64,
        result: Result<StateReply, CallError>,
    ) {
        self.busy_parts.remove(name);
        match result {
            Ok(StateReply::Committed(epoch)) => {
                let record = PartRecord { node: self.cfg.node.clone(), process: self.process };
                self.cache.newest = self.cache.newest.max(epoch);
                if self.cache.is_news(epoch) {
                    self.part_seen(&format!("{PARTS}{name}"), Some(record), epoch);
                }
            }
            Ok(StateReply::NoLease) => self.lease_ended(lease),
            // The watch shows who was quicker, or that an unknown outcome was a success.
            other => {
                if matches!(other, Ok(StateReply::Conflict(_))) {
                    self.evicting.remove(name);
                }
                self.absent_since.insert(name.to_owned(), self.now);
                self.partition_change_failed(name);
            }
        }
    }

    /// Starts acting as a part's holder: reads its jobs and machines first.
    fn begin_part(&mut self, name: &str, term: u64) {
        if self.releasing.contains(name) || self.parts.get(name).is_some_and(|p| p.term >= term) {
            return;
        }
        self.note(Weight::Info, || format!("part {name}: held, term {term}"));
        let mut part = Partition::new(name, term, self.types.clone(), self.now);
        if self.evicting.remove(name) {
            part.alone_from = self.now + self.cfg.operator.lease_life;
        }
        self.parts.insert(name.to_owned(), part);
    }

    /// Parts whose acquisition the cache has come to begin their work from it: what an earlier
    /// holder wrote is in it, and it can write no more.
    fn load_parts(&mut self) {
        if !self.cache.loaded {
            return;
        }
        let (now, wall, epoch) = (self.now, self.wall(), self.cache.revision);
        for part in self.parts.values_mut().filter(|p| !p.loaded && p.term <= epoch) {
            for (record, stamp) in self.cache.live.values() {
                part.absorb(&self.cfg, record.clone(), *stamp, now, wall);
            }
            let name = part.name.clone();
            for (host, record) in self.cache.machines_of(&name) {
                part.add_machine(host, record.clone(), false, now);
            }
            part.loaded = true;
        }
    }

    /// Takes a job's record into every part held here.
    pub(crate) fn absorb(&mut self, mut record: LiveRecord, stamp: u64) {
        // A watch may tell of earlier writes after this process has ended the job itself.
        if self.finals.get(&record.job.id).is_some() || !self.stamps.saw(&record.job.id, stamp) {
            return;
        }
        self.join_finished(&mut record);
        let id = &record.job.id;
        let (now, wall) = (self.now, self.wall());
        for part in self.parts.values_mut().filter(|p| p.loaded) {
            if part.jobs.contains_key(id) || record.shares.iter().any(|s| s.part == part.name) {
                part.absorb(&self.cfg, record.clone(), stamp, now, wall);
            }
        }
        self.cache.unread.remove(id);
        if self.cache.live.get(id).is_none_or(|(_, s)| *s <= stamp) {
            self.cache.live.insert(id.clone(), (record, stamp));
        }
    }

    /// A job is done or cancelled for good.
    pub(crate) fn job_over(&mut self, id: &str, over: OverRecord) {
        self.finals.put(id, over);
        self.cache.live.remove(id);
        // It ended after the view was read that this process had until now.
        let since = self.cache.viewed.min(self.now);
        for part in self.parts.values_mut() {
            part.drop_job(id, since);
        }
    }

    fn ask_home(&mut self, holder: &str) {
        if self.now < self.stealing.next_home_ask {
            return;
        }
        self.stealing.next_home_ask = self.now + HOME_ASK;
        let request = PeerRequest::HandBack { part: self.cfg.node.clone() };
        let holder = holder.to_owned();
        self.ask_peer(&holder, request, PeerWork::Told);
    }

    /// A home node asks for its part.
    pub(crate) fn home_asks(&mut self, part: &str) {
        if !self.cluster.may_hold(part) {
            return;
        }
        let now = self.now;
        let entry = self.home_asks.entry(part.to_owned()).or_insert((now, now));
        if now.saturating_sub(entry.1) > HOME_GONE {
            entry.0 = now;
        }
        entry.1 = now;
    }

    fn wanted_back(&self, part: &str) -> bool {
        part != self.cfg.node
            && self.home_asks.get(part).is_some_and(|(since, last)| {
                last.saturating_sub(*since) >= self.cfg.operator.handback_after
                    && self.now.saturating_sub(*last) < HOME_GONE
            })
    }

    /// Stops acting for a part and then gives up its key.
    pub(crate) fn release(&mut self, name: &str, stamp: u64) {
        self.parts.remove(name);
        self.home_asks.remove(name);
        self.releasing.insert(name.to_owned());
        if !self.may_change_partition(name) {
            return;
        }
        self.note(Weight::Info, || format!("part {name}: handed back"));
        let key = format!("{PARTS}{name}");
        let txn = Txn::default().when(key.clone(), stamp).delete(key);
        self.ledger.spend(1);
        let waiting = Waiting::Release { part: name.to_owned(), stamp };
        self.state(Lane::Lease, StateCall::Txn(txn), waiting);
    }

    /// A part's key was given up, or is another's already. the cache lags behind, and a part that
    /// it still shows as ours was released again and again: 700 changes in a row, in which the
    /// limit of changes, and with it every submission, was lost.
    pub(crate) fn released(
        &mut self,
        name: &str,
        stamp: u64,
        result: &Result<StateReply, CallError>,
    ) {
        self.busy_parts.remove(name);
        let settled = matches!(result, Ok(StateReply::Committed(_) | StateReply::Conflict(_)));
        if !settled {
            self.partition_change_failed(name);
        } else if self.cache.parts.get(name).is_some_and(|(_, s)| *s == stamp) {
            self.cache.parts.remove(name);
        }
    }
}

#[cfg(test)]
mod tests;
