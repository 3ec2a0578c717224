//! Reasons for terminating a machine: an ordered table of reasons, each with its condition.
//!
//! The first condition that holds decides. No condition holds merely because this node did not
//! listen, or because its answers do not arrive: if many machines seem faulty at once, the fault is
//! assumed not to be theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use crate::autoscaling::MachineOffer;
use crate::autoscaling::offer::{hourly_price, lowest_hourly_price};
use crate::config::Config;
use crate::machines::machine::Machine;
use crate::partition::Partition;

/// Number of failed direct calls after which the next heartbeat of an unverified machine is not
/// waited for.
const UNREACHABLE_AFTER_FAILED_CALLS: u32 = 2;
/// Maximum number of machines, or a tenth of all if that is more, with late heartbeats at which a
/// late machine with service replicas is terminated early. If more are late, the machines are not
/// at fault.
const MAX_LATE_MACHINES: usize = 3;
/// Maximum number of machines, or a tenth of all if that is more, that ignore commands at once and
/// are terminated for it. If more do, none is: the fault is assumed to be this node's.
const MAX_IGNORING_MACHINES: usize = 2;
/// Mean run time relative to the usual, in thousandths, above which a machine is slow.
const SLOW_RUN_TIME_PERMILLE: u32 = 2200;
/// Minimum number of recent tasks from which a machine can be found slow.
const MIN_TASKS_FOR_SLOW: usize = 3;
/// How long an idle machine of an unknown type is kept.
const UNKNOWN_TYPE_IDLE_LIFETIME: Micros = 30 * SECOND;

/// Why a machine is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScaleInReason {
    /// It has been silent for longer than any heartbeat may be late.
    Silent,
    /// An unwanted attempt is not confirmed as ended in time: its job is over, or it was never
    /// reported and its `run` command may still arrive. The lease ends such an attempt, unless the
    /// machine hangs or the late command starts it after all: then only a termination does.
    LingeringAttempt,
    /// Its heartbeats show no effect of the commands in the answers.
    IgnoresCommands,
    /// The cloud has reclaimed the spot instance.
    Reclaimed,
    /// The cloud lists it as failed.
    Failed,
    /// Tasks fail on it that do not fail elsewhere.
    FailsTasks,
    /// Its tasks take far longer than elsewhere.
    Slow,
    /// It has been idle for longer than it is worth keeping.
    Idle,
}

impl ScaleInReason {
    /// Reports whether the machine is terminated at once; for other reasons its tasks end first.
    pub(super) fn is_immediate(self) -> bool {
        !matches!(self, ScaleInReason::FailsTasks | ScaleInReason::Slow | ScaleInReason::Idle)
    }

    /// Reports whether the machine has turned out not to be at fault for what it is marked for.
    pub(super) fn is_disproven(self, machine: &Machine, now: Micros) -> bool {
        self == ScaleInReason::FailsTasks && !machine.failures.is_machine_at_fault(now)
    }

    /// Reports whether a recent heartbeat shows that the reason no longer holds.
    pub(super) fn is_cleared_by_heartbeat(self) -> bool {
        matches!(self, ScaleInReason::Silent | ScaleInReason::Reclaimed)
    }
}

impl fmt::Display for ScaleInReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScaleInReason::Silent => "silent",
            ScaleInReason::LingeringAttempt => "not_gone",
            ScaleInReason::IgnoresCommands => "ignores_commands",
            ScaleInReason::Reclaimed => "taken",
            ScaleInReason::Failed => "failed",
            ScaleInReason::FailsTasks => "fails_tasks",
            ScaleInReason::Slow => "slow",
            ScaleInReason::Idle => "idle",
        })
    }
}

/// A reason, and the condition under which it applies to a machine.
type ReasonRule = (ScaleInReason, fn(&ScaleInRules, &Machine) -> bool);

/// The reasons in the order of evaluation. Those that terminate a machine at once come first, so
/// that a faulty machine does not stay until its tasks end. `Failed` is not in the table: it is set
/// when the cloud's list of machines is read.
const REASONS: [ReasonRule; 7] = [
    (ScaleInReason::Silent, |rules, machine| {
        rules.silence(machine) > rules.silence_before_termination(machine)
    }),
    // The heartbeats that confirm the attempt's end may still be unread on a node that was not
    // listening.
    (ScaleInReason::LingeringAttempt, |rules, machine| {
        rules.has_listened()
            && machine.has_lingering_attempt(rules.now, rules.config.attempt_exit_timeout())
    }),
    // If many machines seem to ignore commands at once, it is this node whose answers do not
    // arrive.
    (ScaleInReason::IgnoresCommands, |rules, machine| {
        rules.terminates_ignoring_machines
            && machine.ignores_commands(rules.now, rules.config.workers.heartbeat_interval)
    }),
    // A spot notice may be late or wrong: a machine that sends heartbeats still exists.
    (ScaleInReason::Reclaimed, |rules, machine| {
        machine.spot_reclaim_at.is_some_and(|until| rules.now > until)
            && rules.silence(machine) > 2 * rules.config.workers.heartbeat_interval
    }),
    (ScaleInReason::FailsTasks, |rules, machine| machine.failures.is_machine_at_fault(rules.now)),
    (ScaleInReason::Slow, |_, machine| is_slow(machine)),
    (ScaleInReason::Idle, |rules, machine| rules.is_idle(machine)),
];

/// The inputs of the scale-in decisions of a partition at one moment.
pub(super) struct ScaleInRules<'a> {
    pub config: &'a Config,
    types: &'a BTreeMap<String, MachineType>,
    pub now: Micros,
    acquired_at: Micros,
    /// Since when this node has listened without a gap.
    listening_since: Micros,
    /// Zones that seem to be unreachable.
    unreachable_zones: BTreeSet<String>,
    terminates_ignoring_machines: bool,
    /// Whether few heartbeats are late. If many are, the machines are not at fault.
    few_late: bool,
    /// Machines that provide warm capacity for services.
    warm_machines: BTreeSet<String>,
}

impl<'a> ScaleInRules<'a> {
    /// Creates the rules for the current state of a partition.
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
        let ignoring = machines()
            .filter(|m| m.ignores_commands(now, config.workers.heartbeat_interval))
            .count();
        let is_late =
            |m: &&Machine| now.saturating_sub(m.last_heartbeat_at) > config.late_heartbeat_after();
        let late = machines().map(|m| &**m).filter(is_late).count();
        ScaleInRules {
            config,
            types,
            now,
            acquired_at: partition.acquired_at,
            listening_since,
            unreachable_zones: partition.fleet.unreachable_zones().cloned().collect(),
            terminates_ignoring_machines: ignoring <= MAX_IGNORING_MACHINES.max(tenth),
            few_late: late <= MAX_LATE_MACHINES.max(tenth),
            warm_machines: warm_capacity
                .iter()
                .filter_map(|offer| partition.warm_machine(types, offer))
                .collect(),
        }
    }

    /// Returns the reason for terminating a machine, if there is one.
    pub fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        REASONS.iter().find(|(_, applies)| applies(self, machine)).map(|(reason, _)| *reason)
    }

    /// Returns the reason for terminating a machine that is already marked for `mark`. A mark stays,
    /// but one whose termination waits for the machine's tasks gives way to a reason to terminate
    /// the machine at once: a task that never ends would put the termination off for ever.
    pub fn reason_with_mark(
        &self,
        machine: &Machine,
        mark: Option<ScaleInReason>,
    ) -> Option<ScaleInReason> {
        match mark {
            Some(kept) if kept.is_immediate() => Some(kept),
            kept => {
                self.reason(machine).filter(|found| kept.is_none() || found.is_immediate()).or(kept)
            }
        }
    }

    /// Reports whether this node has listened for long enough to have received a heartbeat from
    /// every machine.
    fn has_listened(&self) -> bool {
        self.now.saturating_sub(self.listening_since) > self.config.workers.heartbeat_interval
    }

    /// Returns how long a machine may be silent before it is terminated.
    fn silence_before_termination(&self, machine: &Machine) -> Micros {
        let (operator, heartbeat_interval) =
            (&self.config.operator, self.config.workers.heartbeat_interval);
        if self.unreachable_zones.contains(&machine.record.zone) {
            // Machines in an unreachable zone continue to work, so they get their whole lease.
            // During a recovery they get half of it: the lifetime of a lease has already passed
            // without a heartbeat, so an outage short enough to spare them would be over, and the
            // whole partition waits for them.
            let lease = self.config.worker_lease_expired_after();
            let lease = if machine.verified { lease } else { lease / 2 };
            return lease.max(operator.silent_machine_timeout);
        }
        if !machine.verified {
            // An unverified machine delays the recovery of the whole partition.
            let heartbeat_wait = if machine.failed_calls >= UNREACHABLE_AFTER_FAILED_CALLS {
                0
            } else {
                heartbeat_interval * 2
            };
            return (operator.silent_machine_timeout / 2).max(heartbeat_wait);
        }
        if machine.failed_calls > 0 && self.few_late && machine.has_service_replicas() {
            // Replicas on a dead machine wait for nothing else, so the machine is terminated once a
            // failed call has confirmed what a late heartbeat suggests.
            return self.config.late_heartbeat_after();
        }
        operator.silent_machine_timeout.max(heartbeat_interval * 5 / 2)
    }

    /// Returns how long a machine has been silent.
    pub fn silence(&self, machine: &Machine) -> Micros {
        // Heartbeats that may be late copies count only for a while after the takeover.
        let stale_heartbeat_at = machine
            .stale_heartbeat_at
            .min(self.acquired_at + self.config.workers.heartbeat_interval * 2);
        // After a stall, the heartbeats that arrived meanwhile are read before any machine counts
        // as silent. Without this, all machines were terminated at once, their heartbeats unread.
        self.now.saturating_sub(
            machine.last_heartbeat_at.max(stale_heartbeat_at).max(self.listening_since),
        )
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let lifetime =
            idle_lifetime(self.types, &machine.record, self.config.operator.max_idle_boot_times);
        machine.idle_since.is_some_and(|since| self.now.saturating_sub(since) > lifetime)
            && machine.incarnation > 0
            && !self.warm_machines.contains(&machine.name)
    }
}

/// Returns how long an idle machine is kept: until it has cost as much as `boots` boot times of a
/// cheap machine of its type, so an expensive machine is kept for less time.
fn idle_lifetime(
    types: &BTreeMap<String, MachineType>,
    record: &MachineRecord,
    boots: f64,
) -> Micros {
    let Some(machine_type) = types.get(&record.machine_type) else {
        return UNKNOWN_TYPE_IDLE_LIFETIME;
    };
    let ratio =
        lowest_hourly_price(machine_type) / hourly_price(machine_type, record.spot).max(1e-9);
    micros_from_secs(boots * machine_type.ready_s * ratio)
}

fn is_slow(machine: &Machine) -> bool {
    machine.recent_paces.len() >= MIN_TASKS_FOR_SLOW
        && machine.recent_paces.iter().sum::<u32>() / machine.recent_paces.len() as u32
            > SLOW_RUN_TIME_PERMILLE
}
