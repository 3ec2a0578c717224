//! Why a machine is returned: an ordered table of reasons, each with what it takes.
//!
//! The first row that applies decides. No row applies because this node did not listen, or is the one
//! that is not heard: many machines at fault at once are taken for no fault of theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use crate::autoscaling::MachineOffer;
use crate::autoscaling::offer::{cheapest_price, price};
use crate::config::Config;
use crate::machines::machine::Machine;
use crate::partition::Partition;

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
/// How long an idle machine of an unknown type is kept.
const UNKNOWN_IDLE_LIFE: Micros = 30 * SECOND;

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
    /// It has had nothing to do for longer than it is worth keeping.
    Idle,
}

impl ScaleInReason {
    /// Whether the machine goes at once; for other reasons it ends its work first.
    pub(super) fn is_pressing(self) -> bool {
        !matches!(self, ScaleInReason::FailsTasks | ScaleInReason::Slow | ScaleInReason::Idle)
    }

    /// Whether the machine goes for something that it turned out not to be to blame for.
    pub(super) fn is_disproven(self, machine: &Machine, now: Micros) -> bool {
        self == ScaleInReason::FailsTasks && !machine.failures.blame_machine(now)
    }

    /// Whether a fresh report shows that the reason has passed.
    pub(super) fn ends_with_a_heartbeat(self) -> bool {
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

/// A reason, and whether it applies to a machine.
type Row = (ScaleInReason, fn(&ScaleInRules, &Machine) -> bool);

/// The reasons in their order: those for which a machine goes at once are looked at first, so that a
/// machine at fault does not stay to end its work. `Failed` is the cloud's word and set where its list is read.
const REASONS: [Row; 7] = [
    (ScaleInReason::Silent, |rules, machine| rules.quiet(machine) > rules.patience(machine)),
    // What ended may be in reports that a node which did not listen has not read.
    (ScaleInReason::NotGone, |rules, machine| {
        rules.has_listened()
            && machine.has_lingering_attempt(rules.now, rules.config.attempt_exit_timeout())
    }),
    // Deaf machines are returned: where many seem deaf at once it is this node that is not heard.
    (ScaleInReason::IgnoresCommands, |rules, machine| {
        rules.returns_ignoring_machines
            && machine.ignores_commands(rules.now, rules.config.workers.heartbeat_interval)
    }),
    // A notice may be late or wrong: as long as the machine is heard it is there.
    (ScaleInReason::Taken, |rules, machine| {
        machine.spot_notice_until.is_some_and(|until| rules.now > until)
            && rules.quiet(machine) > 2 * rules.config.workers.heartbeat_interval
    }),
    (ScaleInReason::FailsTasks, |rules, machine| machine.failures.blame_machine(rules.now)),
    (ScaleInReason::Slow, |_, machine| is_slow(machine)),
    (ScaleInReason::Idle, |rules, machine| rules.is_idle(machine)),
];

/// What decides about the machines of a partition at one moment.
pub(super) struct ScaleInRules<'a> {
    pub config: &'a Config,
    types: &'a BTreeMap<String, MachineType>,
    pub now: Micros,
    acquired: Micros,
    /// Since when this node has listened without a gap.
    listening_since: Micros,
    /// Zones that seem to be cut off.
    cut: BTreeSet<String>,
    returns_ignoring_machines: bool,
    /// Few reports are late; where many are, that is no machine's fault.
    few_late: bool,
    /// Machines that keep room for services.
    kept: BTreeSet<String>,
}

impl<'a> ScaleInRules<'a> {
    /// The rules for a partition as it stands now.
    pub fn new(
        config: &'a Config,
        types: &'a BTreeMap<String, MachineType>,
        partition: &Partition,
        warm_capacity: &[MachineOffer],
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
            cut: partition.autoscaling.cut_zones().cloned().collect(),
            returns_ignoring_machines: ignores_commands <= MAX_IGNORING_MACHINES.max(tenth),
            few_late: late <= MAX_LATE_MACHINES.max(tenth),
            kept: warm_capacity
                .iter()
                .filter_map(|offer| partition.warm_machine(types, offer))
                .collect(),
        }
    }

    /// Why a machine should be returned, if it should.
    pub fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        REASONS.iter().find(|(_, applies)| applies(self, machine)).map(|(reason, _)| *reason)
    }

    /// Whether this node has listened for long enough to have heard every machine.
    fn has_listened(&self) -> bool {
        self.now.saturating_sub(self.listening_since) > self.config.workers.heartbeat_interval
    }

    /// How long a machine may be silent before it is returned.
    fn patience(&self, machine: &Machine) -> Micros {
        let (operator, heartbeat_interval) =
            (&self.config.operator, self.config.workers.heartbeat_interval);
        if self.cut.contains(&machine.record.zone) {
            // Behind a cut machines go on working: they are given their whole lease. In a recovery
            // they get half of it: a lease's life has passed unheard before, so that a cut short
            // enough to spare them would be over, and the whole partition waits for them.
            let lease = self.config.worker_lease_expired_after();
            let lease = if machine.verified { lease } else { lease / 2 };
            return lease.max(operator.silent_return);
        }
        if !machine.verified {
            // It holds up the recovery of the whole partition.
            let until_it_reports =
                if machine.failed_calls >= FAILED_CALLS { 0 } else { heartbeat_interval * 2 };
            return (operator.silent_return / 2).max(until_it_reports);
        }
        if machine.failed_calls > 0 && self.few_late && machine.serves() {
            // Replicas wait for nothing else, so their machine is given up once a call in vain has
            // shown what a late heartbeat suggests.
            return self.config.late_heartbeat_after();
        }
        operator.silent_return.max(heartbeat_interval * 5 / 2)
    }

    /// How long a machine has been silent.
    pub fn quiet(&self, machine: &Machine) -> Micros {
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

    fn is_idle(&self, machine: &Machine) -> bool {
        let life = idle_life(self.types, &machine.record, self.config.operator.idle_boots);
        machine.idle_since.is_some_and(|since| self.now.saturating_sub(since) > life)
            && machine.incarnation > 0
            && !self.kept.contains(&machine.name)
    }
}

/// How long an idle machine is kept: as long as waiting for a cheap one of its type to boot
/// would cost, so a dear machine for less.
fn idle_life(types: &BTreeMap<String, MachineType>, record: &MachineRecord, boots: f64) -> Micros {
    let Some(machine_type) = types.get(&record.machine_type) else { return UNKNOWN_IDLE_LIFE };
    let ratio = cheapest_price(machine_type) / price(machine_type, record.spot).max(1e-9);
    micros_from_secs(boots * machine_type.ready_s * ratio)
}

fn is_slow(machine: &Machine) -> bool {
    machine.pace.len() >= CRAWL_TASKS
        && machine.pace.iter().sum::<u32>() / machine.pace.len() as u32 > CRAWL_PACE
}
