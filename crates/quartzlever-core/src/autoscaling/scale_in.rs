//! Returning machines: idle ones, and those that are of no use.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quartzlever_wire::cloud::{CloudCall, CloudReply, MachineType};
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::{CallError, Micros, SECOND, micros_from_secs};

use super::scale_out::{cheapest_price, price};
use super::{MAX_MACHINES_PER_SCALE_IN, Offer, RETRY};
use crate::calls::PendingCloudCall;
use crate::config::Config;
use crate::events::{LogEvent, ReturnedMachine};
use crate::machines::machine::Machine;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;

/// So many machines of a zone fall silent together only when the zone is cut off.
const CUT_MACHINES: usize = 3;
/// A machine that so many calls could not reach need not be waited for until it would report.
const FAILED_CALLS: u32 = 2;
/// So many machines, or a tenth of them, may be late with their heartbeats and are given up for it if
/// they have replicas of services.
const MAX_LATE_MACHINES: usize = 3;
/// So many machines, or a tenth of them, may be deaf at once and are returned for it.
const MAX_IGNORING_MACHINES: usize = 2;
/// Pace in thousandths of the usual from which a machine crawls, and over how many tasks.
const CRAWL_PACE: u32 = 2200;
const CRAWL_TASKS: usize = 3;

/// Why a machine is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScaleInReason {
    /// It has not been heard of for longer than any heartbeat may be late.
    Silent,
    /// A task of a job that is over is not proven gone in time. The lease ends it, unless the machine
    /// hangs or a late command starts it after all: then only this does.
    NotGone,
    /// Its reports do not show what answers told it.
    IgnoresCommands,
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

impl ScaleInReason {
    /// Whether the machine goes at once; for other reasons it ends its work first.
    fn is_pressing(self) -> bool {
        !matches!(self, ScaleInReason::FailsTasks | ScaleInReason::Slow | ScaleInReason::Idle)
    }

    /// Whether the machine goes for something that it turned out not to be to blame for.
    fn is_disproven(self, machine: &Machine, now: Micros) -> bool {
        self == ScaleInReason::FailsTasks && !machine.failures.blame_machine(now)
    }

    /// Whether a fresh report shows that the reason has passed.
    fn ends_with_a_heartbeat(self) -> bool {
        matches!(self, ScaleInReason::Silent | ScaleInReason::Taken)
    }
}

impl fmt::Display for ScaleInReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScaleInReason::Silent => "silent",
            ScaleInReason::NotGone => "not_gone",
            ScaleInReason::IgnoresCommands => "ignores_commands",
            ScaleInReason::Taken => "taken",
            ScaleInReason::Failed => "failed",
            ScaleInReason::FailsTasks => "fails_tasks",
            ScaleInReason::Slow => "slow",
            ScaleInReason::Idle => "idle",
        })
    }
}

/// How long an idle machine is kept: as long as waiting for a cheap one of its type to boot
/// would cost, so a dear machine for less.
fn idle_life(types: &BTreeMap<String, MachineType>, record: &MachineRecord, boots: f64) -> Micros {
    let Some(machine_type) = types.get(&record.machine_type) else { return 30 * SECOND };
    let ratio = cheapest_price(machine_type) / price(machine_type, record.spot).max(1e-9);
    micros_from_secs(boots * machine_type.ready_s * ratio)
}

/// What decides about the machines of a partition at one moment.
struct ScaleInRules<'a> {
    config: &'a Config,
    types: &'a BTreeMap<String, MachineType>,
    now: Micros,
    acquired: Micros,
    /// Since when this node has listened without a gap.
    listening_since: Micros,
    /// Zones that seem to be cut off.
    cut: BTreeSet<String>,
    /// Deaf machines are returned: where many seem deaf at once it is this node that is not heard.
    returns_ignoring_machines: bool,
    /// Few reports are late; where many are, that is no machine's fault.
    few_late: bool,
    /// Machines that keep room for services.
    kept: BTreeSet<String>,
}

impl<'a> ScaleInRules<'a> {
    fn new(
        config: &'a Config,
        types: &'a BTreeMap<String, MachineType>,
        partition: &Partition,
        warm_capacity: &[Offer],
        listening_since: Micros,
        now: Micros,
    ) -> Self {
        let machines = || partition.machines.values();
        let tenth = partition.machines.len() / 10;
        let ignores_commands = machines()
            .filter(|m| m.ignores_commands(now, config.workers.heartbeat_interval))
            .count();
        let is_late =
            |m: &&Machine| now.saturating_sub(m.last_heartbeat_at) > config.late_heartbeat_after();
        let late = machines().map(|m| &**m).filter(is_late).count();
        ScaleInRules {
            config,
            types,
            now,
            acquired: partition.acquired,
            listening_since,
            cut: partition.autoscaling.zone_cut_until.keys().cloned().collect(),
            returns_ignoring_machines: ignores_commands <= MAX_IGNORING_MACHINES.max(tenth),
            few_late: late <= MAX_LATE_MACHINES.max(tenth),
            kept: warm_capacity
                .iter()
                .filter_map(|offer| partition.warm_machine(types, offer))
                .collect(),
        }
    }

    /// How long a machine may be silent before it is returned.
    fn patience(&self, machine: &Machine) -> Micros {
        let (operator, heartbeat_interval) =
            (&self.config.operator, self.config.workers.heartbeat_interval);
        if self.cut.contains(&machine.record.zone) {
            // Behind a cut machines go on working: they are given their whole lease. In a recovery
            // they get half of it: a lease's life has passed unheard before, so that a cut short
            // enough to spare them would be over, and the whole partition waits for them.
            let lease = self.config.lease_gone_after();
            let lease = if machine.verified { lease } else { lease / 2 };
            return lease.max(operator.silent_return);
        }
        if !machine.verified {
            // It holds up the recovery of the whole partition.
            let unreachable_partitions =
                if machine.failed_calls >= FAILED_CALLS { 0 } else { heartbeat_interval * 2 };
            return (operator.silent_return / 2).max(unreachable_partitions);
        }
        if machine.failed_calls > 0 && self.few_late && machine.serves() {
            // Replicas wait for nothing else, so their machine is given up once a call in vain has
            // shown what a late heartbeat suggests.
            return self.config.late_heartbeat_after();
        }
        operator.silent_return.max(heartbeat_interval * 5 / 2)
    }

    /// How long a machine has been silent.
    fn quiet(&self, machine: &Machine) -> Micros {
        // What may be a late copy counts for a while after the takeover only.
        let stale_heartbeat_at = machine
            .stale_heartbeat_at
            .min(self.acquired + self.config.workers.heartbeat_interval * 2);
        // After standing still, what came meanwhile is taken in before anybody is called silent: all
        // machines were returned at once otherwise, their heartbeats unread.
        self.now.saturating_sub(
            machine.last_heartbeat_at.max(stale_heartbeat_at).max(self.listening_since),
        )
    }

    /// Why a machine should be returned, if it should.
    fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        let (now, heartbeat_interval, quiet) =
            (self.now, self.config.workers.heartbeat_interval, self.quiet(machine));
        let listened = now.saturating_sub(self.listening_since) > heartbeat_interval;
        if quiet > self.patience(machine) {
            Some(ScaleInReason::Silent)
        } else if listened && machine.has_lingering_attempt(now, self.config.gone_within()) {
            Some(ScaleInReason::NotGone)
        } else if self.returns_ignoring_machines
            && machine.ignores_commands(now, heartbeat_interval)
        {
            Some(ScaleInReason::IgnoresCommands)
        } else if machine.spot_notice_until.is_some_and(|t| now > t)
            && quiet > 2 * heartbeat_interval
        {
            Some(ScaleInReason::Taken)
        } else if machine.failures.blame_machine(now) {
            Some(ScaleInReason::FailsTasks)
        } else if is_slow(machine) {
            Some(ScaleInReason::Slow)
        } else if self.is_idle(machine) {
            Some(ScaleInReason::Idle)
        } else {
            None
        }
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let life = idle_life(self.types, &machine.record, self.config.operator.idle_boots);
        machine.idle_since.is_some_and(|since| self.now.saturating_sub(since) > life)
            && machine.incarnation > 0
            && !self.kept.contains(&machine.name)
    }
}

fn is_slow(machine: &Machine) -> bool {
    machine.pace.len() >= CRAWL_TASKS
        && machine.pace.iter().sum::<u32>() / machine.pace.len() as u32 > CRAWL_PACE
}

impl Core {
    pub(super) fn scale_in(&mut self, name: &str) {
        let (now, listening_since) = (self.now, self.reachability.listening_since());
        let warm_capacity = self.warm_capacity();
        let Some(types) = self.types.clone() else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        if now < partition.autoscaling.next_scale_in_at {
            return;
        }
        partition.note_cuts(&self.config, now);
        let rules = ScaleInRules::new(
            &self.config,
            &types,
            partition,
            &warm_capacity,
            listening_since,
            now,
        );
        partition.mark_for_scale_in(&rules);
        let mut hosts = partition.marked_machines();
        hosts.truncate(MAX_MACHINES_PER_SCALE_IN);
        // After standing still, their heartbeats may wait unread.
        if now.saturating_sub(listening_since) > 2 * self.config.workers.heartbeat_interval {
            let room = MAX_MACHINES_PER_SCALE_IN - hosts.len();
            hosts.extend(partition.autoscaling.pending_instances.take_given_up(&types, now, room));
        }
        let late = partition.autoscaling.pending_instances.late_count_change(&types, now);
        let reasons = partition.begin_scale_in(&hosts);
        let partition = Some((name.to_owned(), partition.term));
        if let Some((late, awaited)) = late {
            self.outbox.log(LogLevel::Info, || LogEvent::MachinesLate {
                partition: name.to_owned(),
                late,
                awaited,
            });
        }
        if hosts.is_empty() {
            return;
        }
        self.outbox.log(LogLevel::Info, || {
            let each = |(machine, reason): (&String, _)| ReturnedMachine {
                machine: machine.clone(),
                reason,
            };
            let machines = hosts.iter().zip(reasons).map(each).collect();
            LogEvent::MachinesReturned { partition: name.to_owned(), machines }
        });
        self.call_cloud(
            CloudCall::Return(hosts.clone()),
            PendingCloudCall::Return { partition, hosts },
        );
    }

    pub(super) fn returned(
        &mut self,
        name: &str,
        term: u64,
        hosts: Vec<String>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let Some(partition) = self.partition_at_term(name, term) else { return };
        if !matches!(result, Ok(CloudReply::ScaledIn)) {
            partition.autoscaling.next_scale_in_at = now + 2 * RETRY;
            for host in hosts {
                if let Some(machine) = partition.machines.get_mut(&host) {
                    machine.scaling_in = false;
                }
                partition.refresh(&host);
            }
            return;
        }
        let mut dropped = Vec::new();
        for host in hosts {
            // The machine is gone, with everything on it.
            let known = partition.remove_machine(&host);
            partition.autoscaling.terminated.put(&host, now);
            if known {
                dropped.push(host);
            }
        }
        for host in dropped {
            self.release_ownership(&host, name, term);
        }
    }
}

impl Partition {
    /// Notes which zones seem to be cut off. When a cut ends, the first machine that is heard must not
    /// make all the others silent ones: they report within the next interval.
    fn note_cuts(&mut self, config: &Config, now: Micros) {
        for zone in self.zones_cut(now, config.operator.silent_return) {
            self.autoscaling
                .zone_cut_until
                .insert(zone, now + 2 * config.workers.heartbeat_interval);
        }
        self.autoscaling.zone_cut_until.retain(|_, until| *until > now);
    }

    /// Zones that seem to be cut off: all of several machines there fell silent together.
    fn zones_cut(&self, now: Micros, silent: Micros) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.scaling_in) {
            let entry = zones.entry(machine.record.zone.as_str()).or_default();
            entry.0 += 1;
            entry.1 += usize::from(now.saturating_sub(machine.last_heartbeat_at) > silent / 2);
        }
        let cut =
            zones.into_iter().filter(|(_, (all, quiet))| *all >= CUT_MACHINES && all == quiet);
        cut.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// Marks the machines that are to be returned, and takes marks back.
    fn mark_for_scale_in(&mut self, rules: &ScaleInRules) {
        let mut changed: Vec<String> = Vec::new();
        for machine in self.machines.values_mut().filter(|m| !m.scaling_in) {
            let before = machine.scale_in_reason;
            let recently_seen = rules.quiet(machine) < rules.config.workers.heartbeat_interval;
            let before_still = before.filter(|r| !r.is_disproven(machine, rules.now));
            let reason = before_still.or_else(|| rules.reason(machine));
            machine.scale_in_reason =
                reason.filter(|r| !(recently_seen && r.ends_with_a_heartbeat()));
            if machine.scale_in_reason != before {
                changed.push(machine.name.clone());
            }
        }
        for host in changed {
            self.refresh(&host);
        }
    }

    /// The marked machines that can be returned now.
    fn marked_machines(&self) -> Vec<String> {
        let is_free = |m: &Machine| !m.busy() && m.slots.values().all(|slot| slot.accounted);
        let goes = |m: &Machine| {
            m.scale_in_reason.is_some_and(|reason| reason.is_pressing() || is_free(m))
        };
        let machines = self.machines.values().filter(|m| !m.scaling_in && goes(m));
        machines.map(|m| m.name.clone()).collect()
    }

    /// Marks machines as being returned; gives the reason of each for the log, none if it never came up.
    fn begin_scale_in(&mut self, hosts: &[String]) -> Vec<Option<ScaleInReason>> {
        let mut reasons = Vec::new();
        for host in hosts {
            let machine = self.machines.get_mut(host);
            reasons.push(machine.and_then(|machine| {
                machine.scaling_in = true;
                machine.scale_in_reason
            }));
            self.refresh(host);
        }
        reasons
    }
}
