//! The machines' records in the state service: claims and their removal, many machines to a key.
//!
//! A block is rewritten on condition of its stamp and of the terms of all parts whose machines
//! the change concerns, one write at a time; what comes meanwhile goes with the next.
//!
//! Blocks of the first form hold 64 machines. Where a value's limit, or the one to come, is too low
//! for that, machines go into smaller blocks as soon as the cluster version says that every
//! controller looks for them there; blocks of the first form are split then, a few at a time. Each
//! machine still has one key that decides who claims it: a claim in a small block has the block of
//! the first form at its stamp as a condition. Where the state service takes even less than the
//! settings say, the controllers agree on smaller blocks under one key, and each claim has that key
//! at its stamp as a condition.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::state::{
    BLOCK, CLUSTER_BLOCKS, HOSTS, HostBlock, HostRecord, Hosts, PARTS, Row, StateCall, StateReply,
    Txn, block_key, block_size, hosts_in, small_block_key, span_of_block,
};
use quartzlever_wire::workers::Report;
use quartzlever_wire::{CallError, Json, Micros, SECOND};
use serde::Serialize;

use crate::engine::{Core, Waiting};
use crate::ledger::Change;
use crate::messages::{Lane, RequestId, Weight};

const RETRY: Micros = SECOND / 2;
/// Shortest time between two writes of one block, so that a wave of reports is one change.
const PAUSE: Micros = SECOND / 2;
/// As long for removals: nothing waits for them.
const TIDY_PAUSE: Micros = 2 * SECOND;
/// After a block that the state service found too large.
const TOO_LARGE_PAUSE: Micros = 5 * SECOND;
/// Shortest time between two looks for a block to split.
const SPLIT_PAUSE: Micros = SECOND / 5;

/// A machine that waits for its claim, with the reports that wait for an answer.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    ids: Vec<RequestId>,
    report: Report,
    part: String,
    term: u64,
}

/// What is to be changed in one block.
#[derive(Debug, Default)]
pub(crate) struct BlockWork {
    claims: BTreeMap<String, Claim>,
    /// Returned machines, with the part and term that returned them.
    drops: BTreeMap<String, (String, u64)>,
    writing: bool,
    not_before: Micros,
}

/// A change of one block.
struct BlockChange {
    /// The block as it is to be, and its stamp as it is.
    hosts: Hosts,
    stamp: u64,
    added: BTreeSet<String>,
    dropped: BTreeSet<String>,
    /// The partitions whose machines the change concerns, with their terms.
    terms: BTreeMap<String, u64>,
}

/// What a block's value takes beside its machines, at the most; and a machine's name beside its
/// letters: quotes, a colon and a comma.
const BLOCK_FRAME: usize = 16;
const NAME_FRAME: usize = 4;

impl Core {
    /// How many machines share a key that is written now.
    pub(crate) fn block_size(&self) -> u64 {
        if !self.cluster.services() {
            return BLOCK;
        }
        let size = block_size(self.cfg.value_bytes);
        self.cluster.agreed_block_size().map_or(size, |agreed| agreed.min(size))
    }

    /// Whether all claims in larger blocks are known, as they are once the cache has come to the
    /// agreement on the present size.
    fn knows_block_size(&self) -> bool {
        self.cluster.blocks_stamp() <= self.cache.revision
    }

    /// The key that a machine is claimed under.
    fn key_for(&self, host: &str) -> String {
        small_block_key(host, self.block_size())
    }

    /// Sends what waits for a change of this block, but belongs to another one by now, there.
    fn reroute(&mut self, key: &str) {
        let Some(work) = self.blocks.get(key) else { return };
        let claims: Vec<String> =
            work.claims.keys().filter(|h| self.key_for(h) != key).cloned().collect();
        let elsewhere = |h: &String| self.cache.hosts.get(h).is_some_and(|k| k != key);
        let drops: Vec<String> = work.drops.keys().filter(|h| elsewhere(h)).cloned().collect();
        for host in claims {
            let right = self.key_for(&host);
            if let Some(claim) = self.blocks.get_mut(key).and_then(|w| w.claims.remove(&host)) {
                self.blocks.entry(right).or_default().claims.insert(host, claim);
            }
        }
        for host in drops {
            let Some(right) = self.cache.hosts.get(&host).cloned() else { continue };
            if let Some(by) = self.blocks.get_mut(key).and_then(|w| w.drops.remove(&host)) {
                self.blocks.entry(right).or_default().drops.insert(host, by);
            }
        }
    }

    /// Splits one block that is larger than they are to be by now: the small ones and the
    /// end of the large one in one transaction if that takes no more changes than are allowed, else
    /// the small ones first, and the end when all of them are there. Each step may be repeated.
    pub(crate) fn split_blocks(&mut self) {
        let size = self.block_size();
        if size == BLOCK || self.splitting || self.now < self.split_at || !self.sure() {
            return;
        }
        if !self.knows_block_size() {
            return;
        }
        self.split_at = self.now + SPLIT_PAUSE;
        let ours = |hosts: &Hosts| {
            hosts.values().next().is_some_and(|record| self.parts.contains_key(&record.part))
        };
        let large = |key: &str, hosts: &Hosts| {
            let span = span_of_block(key).filter(|span| *span > size);
            span.is_some() && hosts.keys().next().is_some_and(|h| small_block_key(h, size) != key)
        };
        let mut found: Vec<&String> = self
            .cache
            .blocks
            .iter()
            .filter(|(key, (hosts, _))| large(key, hosts) && ours(hosts))
            .map(|(key, _)| key)
            .collect();
        found.sort();
        let busy = |key: &String| self.blocks.get(key).is_some_and(|w| w.writing);
        let Some(key) = found.into_iter().find(|key| !busy(key)).cloned() else { return };
        let Some((hosts, stamp)) = self.cache.blocks.get(&key) else { return };
        let mut small: BTreeMap<String, Hosts> = BTreeMap::new();
        for (host, record) in hosts {
            let part = small.entry(small_block_key(host, size)).or_default();
            part.insert(host.clone(), record.clone());
        }
        let mut txn =
            Txn::default().when(&key, *stamp).when(CLUSTER_BLOCKS, self.cluster.blocks_stamp());
        let mut written = Vec::new();
        let most = self.limits.txn_ops;
        let known = |key: &String| self.cache.blocks.get(key);
        // What an earlier step has copied need not be written again.
        small.retain(|key, part| {
            known(key).is_none_or(|(there, _)| !part.iter().all(|(h, r)| there.get(h) == Some(r)))
        });
        let whole = small.len() < most;
        for (key, mut part) in small.into_iter().take(if whole { most } else { most.max(1) }) {
            let (there, stamp) = known(&key).cloned().unwrap_or_default();
            part.extend(there);
            txn = txn.when(&key, stamp).write(&key, Json::of(&HostBlock { m: part.clone() }));
            written.push((key, part));
        }
        if whole {
            txn = txn.delete(&key);
        }
        // It may leave the account in debt: under load that never holds as much at once, and the
        // lower limit may come at any moment.
        if !self.ledger.has(Change::Claim, 1) {
            return;
        }
        self.ledger.spend(txn.changes.len());
        self.splitting = true;
        let waiting = Waiting::SplitBlock { key, small: written, whole };
        self.state(Lane::Work, StateCall::Txn(txn), waiting);
    }

    pub(crate) fn block_split(
        &mut self,
        key: &str,
        small: Vec<(String, Hosts)>,
        whole: bool,
        result: &Result<StateReply, CallError>,
    ) {
        self.splitting = false;
        // Any other outcome the watch tells of, and what the cache shows then is tried again.
        if let Ok(StateReply::Committed(stamp)) = result {
            for (key, hosts) in small {
                self.block_known(&key, hosts, *stamp);
            }
            if whole {
                self.block_known(key, Hosts::new(), *stamp + 1);
            }
        } else {
            self.split_at = self.now + RETRY;
        }
    }

    /// The part that a machine belongs to, as far as is known here.
    pub(crate) fn part_of_host(&self, host: &str) -> Option<&HostRecord> {
        let key = self.cache.hosts.get(host)?;
        self.cache.blocks.get(key)?.0.get(host)
    }

    /// A machine that nobody has claimed reports; it is to be claimed for a part held here.
    pub(crate) fn want_claim(&mut self, id: RequestId, report: Report, part: &str, term: u64) {
        let soon = self.now + PAUSE;
        let work = self.blocks.entry(self.key_for(&report.host)).or_default();
        work.not_before = work.not_before.min(soon);
        match work.claims.get_mut(&report.host) {
            Some(claim) => {
                claim.ids.push(id);
                if (report.session, report.tick) > (claim.report.session, claim.report.tick) {
                    claim.report = report;
                }
            }
            None => {
                let part = part.to_owned();
                let claim = Claim { ids: vec![id], report, part, term };
                work.claims.insert(claim.report.host.clone(), claim);
            }
        }
    }

    /// A returned machine's record is no longer wanted.
    pub(crate) fn want_drop(&mut self, host: &str, part: &str, term: u64) {
        let key = self.cache.hosts.get(host).cloned().unwrap_or_else(|| self.key_for(host));
        let work = self.blocks.entry(key).or_default();
        work.drops.insert(host.to_owned(), (part.to_owned(), term));
    }

    /// Writes blocks that have to change, as far as the account allows.
    pub(crate) fn write_blocks(&mut self) {
        let now = self.now;
        let keys: Vec<String> = self
            .blocks
            .iter()
            .filter(|(_, w)| !w.writing && now >= w.not_before)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write_block(&key);
        }
    }

    /// The largest value that a block may take now.
    fn block_value_limit(&self) -> usize {
        if self.cluster.services() {
            self.limits.value_bytes
        } else {
            self.cfg.block_bytes.min(self.limits.learned_bytes)
        }
    }

    fn write_block(&mut self, key: &str) {
        self.reroute(key);
        let sure = self.sure();
        let Some(work) = self.blocks.get(key) else { return };
        let kind = if work.claims.is_empty() { Change::Tidy } else { Change::Claim };
        if sure && !self.ledger.asks_for(kind, 1) {
            return;
        }
        let turned_away = self.forget_lost_work(key, sure);
        self.turn_away(turned_away);
        let Some(change) = self.plan_block(key) else { return };
        if change.terms.is_empty() {
            // Nothing to change, or nothing that fits: those that wait are sent elsewhere.
            let claims = self.blocks.remove(key).map(|work| work.claims).unwrap_or_default();
            return self.turn_away(claims.into_values().flat_map(|claim| claim.ids).collect());
        }
        let kind = if change.added.is_empty() { Change::Tidy } else { Change::Claim };
        let too_large = !change.hosts.is_empty()
            && written_length(&change.hosts) + BLOCK_FRAME > self.block_value_limit();
        let Some(work) = self.blocks.get_mut(key) else { return };
        if too_large {
            // A block of the first form that is still to be split: nothing larger than the limit is
            // tried, over and over, and what was returned is removed from the small ones.
            work.not_before = self.now + TIDY_PAUSE;
        } else if self.ledger.allows(kind, 1) {
            work.writing = true;
            work.not_before = self.now + if change.added.is_empty() { TIDY_PAUSE } else { PAUSE };
            self.send_block(key, change);
        }
    }

    fn turn_away(&mut self, requests: Vec<RequestId>) {
        for id in requests {
            self.later(id, 503, "not entitled");
        }
    }

    /// Forgets claims and removals for partitions that are not held here any more, under those terms;
    /// gives the requests that waited for such a claim.
    fn forget_lost_work(&mut self, key: &str, sure: bool) -> Vec<RequestId> {
        let parts = &self.parts;
        let held = |part: &str, term: u64| {
            sure && parts.get(part).is_some_and(|p| p.term == term && p.active())
        };
        let Some(work) = self.blocks.get_mut(key) else { return Vec::new() };
        work.drops.retain(|_, (part, term)| held(part, *term));
        let lost: Vec<String> = work
            .claims
            .iter()
            .filter(|(_, claim)| !held(&claim.part, claim.term))
            .map(|(host, _)| host.clone())
            .collect();
        lost.iter()
            .filter_map(|host| work.claims.remove(host))
            .flat_map(|claim| claim.ids)
            .collect()
    }

    /// A block as it is to be: without the machines that were returned, and with those that wait for
    /// their claim, as far as they fit.
    fn plan_block(&self, key: &str) -> Option<BlockChange> {
        let work = self.blocks.get(key)?;
        let (hosts, stamp) = self.cache.blocks.get(key).cloned().unwrap_or_default();
        let dropped = work.drops.keys().cloned().collect();
        let mut change =
            BlockChange { hosts, stamp, added: BTreeSet::new(), dropped, terms: BTreeMap::new() };
        for (host, (part, term)) in &work.drops {
            if change.hosts.get(host).is_some_and(|record| record.part == *part) {
                change.hosts.remove(host);
                change.terms.insert(part.clone(), *term);
            }
        }
        if work.claims.is_empty() || !self.knows_block_size() {
            return Some(change);
        }
        // The whole block is measured once, then each record that comes to it: writing it out
        // anew for each was most of the work of a start.
        let mut room =
            self.block_value_limit().saturating_sub(written_length(&change.hosts) + BLOCK_FRAME);
        for (host, claim) in &work.claims {
            if change.hosts.contains_key(host) || self.cache.hosts.contains_key(host) {
                continue;
            }
            let record = record_of(claim);
            let length = host.len() + NAME_FRAME + written_length(&record);
            if length > room {
                continue;
            }
            room -= length;
            change.hosts.insert(host.clone(), record);
            change.added.insert(host.clone());
            change.terms.insert(claim.part.clone(), claim.term);
        }
        Some(change)
    }

    /// Writes a block on condition of its stamp, of the terms of all partitions concerned, and of
    /// whatever else decides where a machine is claimed.
    fn send_block(&mut self, key: &str, change: BlockChange) {
        let BlockChange { hosts, stamp, added, dropped, terms } = change;
        let large_form = self.block_size() == BLOCK;
        let mut txn = Txn::default().when(key, stamp);
        for (part, term) in &terms {
            txn = txn.when(format!("{PARTS}{part}"), *term);
        }
        if !added.is_empty() && !large_form {
            txn = txn.when(CLUSTER_BLOCKS, self.cluster.blocks_stamp());
        }
        // A claim that an earlier version wrote for one of these machines is seen there.
        let first_form = added.iter().next().map(|host| block_key(host));
        if let Some(first) = first_form.filter(|first| !large_form && first != key) {
            let stamp = self.cache.blocks.get(&first).map_or(0, |(_, stamp)| *stamp);
            txn = txn.when(first, stamp);
        }
        let txn = if hosts.is_empty() {
            txn.delete(key)
        } else {
            txn.write(key, Json::of(&HostBlock { m: hosts.clone() }))
        };
        let waiting = Waiting::Block { key: key.to_owned(), hosts, added, dropped, parts: terms };
        self.state(Lane::Work, StateCall::Txn(txn), waiting);
    }

    pub(crate) fn block_written(
        &mut self,
        key: &str,
        hosts: Hosts,
        added: &BTreeSet<String>,
        dropped: &BTreeSet<String>,
        parts: &BTreeMap<String, u64>,
        result: Result<StateReply, CallError>,
    ) {
        let now = self.now;
        if let Some(work) = self.blocks.get_mut(key) {
            work.writing = false;
        }
        match result {
            Ok(StateReply::Committed(stamp)) => {
                if let Some(work) = self.blocks.get_mut(key) {
                    work.drops.retain(|host, _| !dropped.contains(host));
                }
                self.block_seen(key, hosts, stamp);
                // An event of a later change may have been quicker: then these are known already.
                for host in added {
                    self.claim_settled(key, host);
                }
                if self.blocks.get(key).is_some_and(|w| w.claims.is_empty() && w.drops.is_empty()) {
                    self.blocks.remove(key);
                }
            }
            Ok(StateReply::Conflict(failed)) => {
                for (part, term) in parts {
                    if failed.contains(&format!("{PARTS}{part}")) {
                        self.lose_part(part, *term);
                    }
                }
                self.reread_block(key);
            }
            // Known not to be carried out: tried again.
            Ok(StateReply::TooLarge) => {
                if let Some(work) = self.blocks.get_mut(key) {
                    work.not_before = now + TOO_LARGE_PAUSE;
                }
            }
            Ok(_) | Err(CallError::Refused | CallError::TooOften) => {
                if let Some(work) = self.blocks.get_mut(key) {
                    work.not_before = now + RETRY;
                }
            }
            // It may still come into force, and then a write at the same stamp fails.
            Err(CallError::Unknown) => self.reread_block(key),
        }
    }

    fn reread_block(&mut self, key: &str) {
        if let Some(work) = self.blocks.get_mut(key) {
            work.writing = true;
        }
        let waiting = Waiting::ReadBlock { key: key.to_owned() };
        self.state(Lane::Work, StateCall::Get(key.to_owned()), waiting);
    }

    pub(crate) fn block_read(&mut self, key: &str, result: Result<StateReply, CallError>) {
        let now = self.now;
        if let Some(work) = self.blocks.get_mut(key) {
            work.writing = false;
            work.not_before = now + PAUSE;
        }
        match result {
            Ok(StateReply::Row(Some(row))) => self.block_row(&row, true),
            // The watch tells of its removal, at which stamp it cannot be written any more.
            Ok(StateReply::Row(None)) => self.block_seen(key, Hosts::new(), 0),
            _ => {
                if let Some(work) = self.blocks.get_mut(key) {
                    work.not_before = now + RETRY;
                }
            }
        }
    }

    /// Takes in a block as the state service has it. `news` says that a machine which was not
    /// known before has been claimed since.
    pub(crate) fn block_row(&mut self, row: &Row, news: bool) {
        let Some(hosts) = hosts_in(&row.path, &row.v) else {
            let path = row.path.clone();
            return self.note(Weight::Error, || format!("unreadable record: {path}"));
        };
        if news {
            self.block_seen(&row.path, hosts, row.stamp);
        } else {
            self.block_known(&row.path, hosts, row.stamp);
        }
    }

    /// Notes a block's machines; `None` if a later state is known. Gives those that are new.
    fn block_known(&mut self, key: &str, hosts: Hosts, stamp: u64) -> Option<Hosts> {
        let (before, known) = self.cache.blocks.get(key).cloned().unwrap_or_default();
        if stamp != 0 && known >= stamp {
            return None;
        }
        // While a block is split its machines are in two.
        for host in before.keys().filter(|h| !hosts.contains_key(*h)) {
            if self.cache.hosts.get(host).is_some_and(|k| k == key) {
                self.cache.hosts.remove(host);
            }
        }
        let mut new = Hosts::new();
        for (host, record) in &hosts {
            // One in a smaller block too belongs there: that claim had this block, as it was then, or
            // the size of blocks as a condition, so what stands here is a write that came late.
            let mapped = self.cache.hosts.get(host);
            if mapped.is_some_and(|smaller| span_of_block(smaller) < span_of_block(key)) {
                continue;
            }
            if before.get(host) != Some(record) || mapped.is_none() {
                self.cache.hosts.insert(host.clone(), key.to_owned());
                new.insert(host.clone(), record.clone());
            }
        }
        if hosts.is_empty() {
            self.cache.blocks.remove(key);
        } else {
            self.cache.blocks.insert(key.to_owned(), (hosts, stamp));
        }
        Some(new)
    }

    /// A block has changed.
    pub(crate) fn block_seen(&mut self, key: &str, hosts: Hosts, stamp: u64) {
        let now = self.now;
        let Some(new) = self.block_known(key, hosts, stamp) else { return };
        for (host, record) in new {
            if let Some(part) = self.parts.get_mut(&record.part)
                && part.active()
                && !part.machines.contains_key(&host)
                && !part.fleet.gone.contains(&host)
                && stamp > part.term
            {
                // A claim of ours, whether its answer has come or not; claims of earlier terms
                // fail by then.
                part.add_machine(&host, record.clone(), true, now);
            }
            for part in self.parts.values_mut().filter(|p| p.name != record.part) {
                part.fleet.arrivals.arrived(&host, part.types.as_deref(), now);
            }
            self.claim_settled(key, &host);
        }
    }

    /// The machine belongs to somebody now: answers the reports that waited for that.
    fn claim_settled(&mut self, key: &str, host: &str) {
        let Some(claim) = self.blocks.get_mut(key).and_then(|w| w.claims.remove(host)) else {
            return;
        };
        for id in claim.ids {
            self.hello(id, claim.report.clone());
        }
    }
}

/// How long a value is as JSON.
fn written_length(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

fn record_of(claim: &Claim) -> HostRecord {
    HostRecord {
        part: claim.part.clone(),
        address: claim.report.address.clone(),
        kind: claim.report.kind.clone(),
        zone: claim.report.zone.clone(),
        spot: claim.report.spot,
    }
}

/// Whether a key is one of machines.
pub(crate) fn is_hosts(key: &str) -> bool {
    key.starts_with(HOSTS)
}

#[cfg(test)]
mod tests;
