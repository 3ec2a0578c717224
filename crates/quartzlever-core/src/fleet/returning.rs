//! Returning machines: idle ones, and those that are of no use.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quartzlever_wire::cloud::{CloudCall, CloudReply, MachineType};
use quartzlever_wire::state::HostRecord;
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use super::renting::{cheapest_price, price};
use super::{CloudWork, MOST_PER_RETURN, Offer, RETRY};
use crate::config::Config;
use crate::engine::Core;
use crate::machine::Machine;
use crate::messages::Weight;
use crate::partition::Partition;

/// So many machines of a zone fall silent together only when the zone is cut off.
const CUT_MACHINES: usize = 3;
/// A machine that so many calls could not reach need not be waited for until it would report.
const FAILED_CALLS: u32 = 2;
/// So many machines, or a tenth of them, may be late with their reports and are given up for it if
/// they have replicas of services.
const MOST_LATE: usize = 3;
/// So many machines, or a tenth of them, may be deaf at once and are returned for it.
const MOST_DEAF: usize = 2;
/// Pace in thousandths of the usual from which a machine crawls, and over how many tasks.
const CRAWL_PACE: u32 = 2200;
const CRAWL_TASKS: usize = 3;

/// Why a machine is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// It has not been heard of for longer than any report may be late.
    Silent,
    /// A task of a job that is over is not proven gone in time. The lease ends it, unless the machine
    /// hangs or a late command starts it after all: then only this does.
    NotGone,
    /// Its reports do not show what answers told it.
    Deaf,
    /// The cloud has taken it back.
    Taken,
    /// The cloud lists it as stopped.
    Failed,
    /// Tasks fail on it that do not fail elsewhere.
    FailsTasks,
    /// Its tasks take far longer than elsewhere.
    Slow,
    Idle,
}

impl ReturnReason {
    /// Whether the machine goes at once; for other reasons it ends its work first.
    fn is_pressing(self) -> bool {
        !matches!(self, ReturnReason::FailsTasks | ReturnReason::Slow | ReturnReason::Idle)
    }

    /// Whether the machine goes for something that it turned out not to be to blame for.
    fn is_disproven(self, machine: &Machine, now: Micros) -> bool {
        self == ReturnReason::FailsTasks && !machine.failures.speak_against_machine(now)
    }

    /// Whether a fresh report shows that the reason has passed.
    fn ends_with_a_report(self) -> bool {
        matches!(self, ReturnReason::Silent | ReturnReason::Taken)
    }
}

impl fmt::Display for ReturnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReturnReason::Silent => "silent",
            ReturnReason::NotGone => "not gone",
            ReturnReason::Deaf => "deaf",
            ReturnReason::Taken => "taken",
            ReturnReason::Failed => "failed",
            ReturnReason::FailsTasks => "fails",
            ReturnReason::Slow => "crawls",
            ReturnReason::Idle => "idle",
        })
    }
}

/// How long an idle machine is kept: as long as waiting for a cheap one of its type to boot
/// would cost, so a dear machine for less.
fn idle_life(types: &BTreeMap<String, MachineType>, record: &HostRecord, boots: f64) -> Micros {
    let Some(kind) = types.get(&record.kind) else { return 30 * SECOND };
    let ratio = cheapest_price(kind) / price(kind, record.spot).max(1e-9);
    micros_from_secs(boots * kind.ready_s * ratio)
}

/// What decides about the machines of a partition at one moment.
struct ReturnRules<'a> {
    cfg: &'a Config,
    types: &'a BTreeMap<String, MachineType>,
    now: Micros,
    acquired: Micros,
    /// Since when this node has listened without a gap.
    attentive: Micros,
    /// Zones that seem to be cut off.
    cut: BTreeSet<String>,
    /// Deaf machines are returned: where many seem deaf at once it is this node that is not heard.
    deaf_returned: bool,
    /// Few reports are late; where many are, that is no machine's fault.
    few_late: bool,
    /// Machines that keep room for services.
    kept: BTreeSet<String>,
}

impl<'a> ReturnRules<'a> {
    fn new(
        cfg: &'a Config,
        types: &'a BTreeMap<String, MachineType>,
        part: &Partition,
        standby: &[Offer],
        attentive: Micros,
        now: Micros,
    ) -> Self {
        let machines = || part.machines.values();
        let tenth = part.machines.len() / 10;
        let deaf = machines().filter(|m| m.deaf(now, cfg.workers.report)).count();
        let is_late = |m: &&Machine| now.saturating_sub(m.heard) > cfg.late_report();
        let late = machines().map(|m| &**m).filter(is_late).count();
        ReturnRules {
            cfg,
            types,
            now,
            acquired: part.acquired,
            attentive,
            cut: part.fleet.cut_until.keys().cloned().collect(),
            deaf_returned: deaf <= MOST_DEAF.max(tenth),
            few_late: late <= MOST_LATE.max(tenth),
            kept: standby.iter().filter_map(|offer| part.standby_at(types, offer)).collect(),
        }
    }

    /// How long a machine may be silent before it is returned.
    fn patience(&self, machine: &Machine) -> Micros {
        let (operator, report) = (&self.cfg.operator, self.cfg.workers.report);
        if self.cut.contains(&machine.record.zone) {
            // Behind a cut machines go on working: they are given their whole lease. In a recovery
            // they get half of it: a lease's life has passed unheard before, so that a cut short
            // enough to spare them would be over, and the whole part waits for them.
            let lease = self.cfg.lease_gone_after();
            let lease = if machine.proven { lease } else { lease / 2 };
            return lease.max(operator.silent_return);
        }
        if !machine.proven {
            // It holds up the recovery of the whole part.
            let unheard = if machine.failed_calls >= FAILED_CALLS { 0 } else { report * 2 };
            return (operator.silent_return / 2).max(unheard);
        }
        if machine.failed_calls > 0 && self.few_late && machine.serves() {
            // Replicas wait for nothing else, so their machine is given up once a call in vain has
            // shown what a late report suggests.
            return self.cfg.late_report();
        }
        operator.silent_return.max(report * 5 / 2)
    }

    /// How long a machine has been silent.
    fn quiet(&self, machine: &Machine) -> Micros {
        // What may be a late copy counts for a while after the takeover only.
        let hinted = machine.hinted.min(self.acquired + self.cfg.workers.report * 2);
        // After standing still, what came meanwhile is taken in before anybody is called silent: all
        // machines were returned at once otherwise, their reports unread.
        self.now.saturating_sub(machine.heard.max(hinted).max(self.attentive))
    }

    /// Why a machine should be returned, if it should.
    fn reason(&self, machine: &Machine) -> Option<ReturnReason> {
        let (now, report, quiet) = (self.now, self.cfg.workers.report, self.quiet(machine));
        let listened = now.saturating_sub(self.attentive) > report;
        if quiet > self.patience(machine) {
            Some(ReturnReason::Silent)
        } else if listened && machine.outlasts_job(now, self.cfg.gone_within()) {
            Some(ReturnReason::NotGone)
        } else if self.deaf_returned && machine.deaf(now, report) {
            Some(ReturnReason::Deaf)
        } else if machine.warned_until.is_some_and(|t| now > t) && quiet > 2 * report {
            Some(ReturnReason::Taken)
        } else if machine.failures.speak_against_machine(now) {
            Some(ReturnReason::FailsTasks)
        } else if is_slow(machine) {
            Some(ReturnReason::Slow)
        } else if self.is_idle(machine) {
            Some(ReturnReason::Idle)
        } else {
            None
        }
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let life = idle_life(self.types, &machine.record, self.cfg.operator.idle_boots);
        machine.idle_since.is_some_and(|since| self.now.saturating_sub(since) > life)
            && machine.session > 0
            && !self.kept.contains(&machine.name)
    }
}

fn is_slow(machine: &Machine) -> bool {
    machine.pace.len() >= CRAWL_TASKS
        && machine.pace.iter().sum::<u32>() / machine.pace.len() as u32 > CRAWL_PACE
}

impl Core {
    pub(super) fn return_machines(&mut self, name: &str) {
        let (now, attentive) = (self.now, self.reachability.attentive);
        let standby = self.standby();
        let Some(types) = self.types.clone() else { return };
        let Some(part) = self.parts.get_mut(name) else { return };
        if now < part.fleet.return_at {
            return;
        }
        part.note_cuts(&self.cfg, now);
        let rules = ReturnRules::new(&self.cfg, &types, part, &standby, attentive, now);
        part.mark_returns(&rules);
        let mut hosts = part.marked_machines();
        hosts.truncate(MOST_PER_RETURN);
        // After standing still, their reports may wait unread.
        if now.saturating_sub(attentive) > 2 * self.cfg.workers.report {
            let room = MOST_PER_RETURN - hosts.len();
            hosts.extend(part.fleet.arrivals.take_given_up(&types, now, room));
        }
        let late = part.fleet.arrivals.news(&types, now);
        let reasons = part.begin_return(&hosts);
        let part = Some((name.to_owned(), part.term));
        if let Some((late, all)) = late {
            self.note(Weight::Info, || {
                format!("part {name}: {late} of {all} machines on their way are late")
            });
        }
        if hosts.is_empty() {
            return;
        }
        self.note(Weight::Info, || format!("part {name}: returns {}", reasons.join(", ")));
        self.cloud_call(CloudCall::Return(hosts.clone()), CloudWork::Return { part, hosts });
    }

    pub(super) fn returned(
        &mut self,
        name: &str,
        term: u64,
        hosts: Vec<String>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let Some(part) = self.part_at(name, term) else { return };
        if !matches!(result, Ok(CloudReply::Returned)) {
            part.fleet.return_at = now + 2 * RETRY;
            for host in hosts {
                if let Some(machine) = part.machines.get_mut(&host) {
                    machine.returning = false;
                }
                part.refresh(&host);
            }
            return;
        }
        let mut dropped = Vec::new();
        for host in hosts {
            // The machine is gone, with everything on it.
            let known = part.remove_machine(&host);
            part.fleet.gone.put(&host, now);
            if known {
                dropped.push(host);
            }
        }
        for host in dropped {
            self.want_drop(&host, name, term);
        }
    }
}

impl Partition {
    /// Notes which zones seem to be cut off. When a cut ends, the first machine that is heard must not
    /// make all the others silent ones: they report within the next interval.
    fn note_cuts(&mut self, cfg: &Config, now: Micros) {
        for zone in self.zones_cut(now, cfg.operator.silent_return) {
            self.fleet.cut_until.insert(zone, now + 2 * cfg.workers.report);
        }
        self.fleet.cut_until.retain(|_, until| *until > now);
    }

    /// Zones that seem to be cut off: all of several machines there fell silent together.
    fn zones_cut(&self, now: Micros, silent: Micros) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.returning) {
            let entry = zones.entry(machine.record.zone.as_str()).or_default();
            entry.0 += 1;
            entry.1 += usize::from(now.saturating_sub(machine.heard) > silent / 2);
        }
        let cut =
            zones.into_iter().filter(|(_, (all, quiet))| *all >= CUT_MACHINES && all == quiet);
        cut.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// Marks the machines that are to be returned, and takes marks back.
    fn mark_returns(&mut self, rules: &ReturnRules) {
        let mut changed: Vec<String> = Vec::new();
        for machine in self.machines.values_mut().filter(|m| !m.returning) {
            let before = machine.return_wanted;
            let heard = rules.quiet(machine) < rules.cfg.workers.report;
            let before_still = before.filter(|r| !r.is_disproven(machine, rules.now));
            let reason = before_still.or_else(|| rules.reason(machine));
            machine.return_wanted = reason.filter(|r| !(heard && r.ends_with_a_report()));
            if machine.return_wanted != before {
                changed.push(machine.name.clone());
            }
        }
        for host in changed {
            self.refresh(&host);
        }
    }

    /// The marked machines that can be returned now.
    fn marked_machines(&self) -> Vec<String> {
        let is_free = |m: &Machine| !m.busy() && m.slots.values().all(|slot| slot.settled);
        let goes =
            |m: &Machine| m.return_wanted.is_some_and(|reason| reason.is_pressing() || is_free(m));
        let machines = self.machines.values().filter(|m| !m.returning && goes(m));
        machines.map(|m| m.name.clone()).collect()
    }

    /// Marks machines as being returned; gives each with its reason, for the log.
    fn begin_return(&mut self, hosts: &[String]) -> Vec<String> {
        let mut reasons = Vec::new();
        for host in hosts {
            let machine = self.machines.get_mut(host);
            let reason = machine.and_then(|machine| {
                machine.returning = true;
                machine.return_wanted
            });
            let reason = reason.map_or("never came up".to_owned(), |reason| reason.to_string());
            reasons.push(format!("{host} ({reason})"));
            self.refresh(host);
        }
        reasons
    }
}
