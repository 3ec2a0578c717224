//! Scaling in: which machines are terminated, and what follows once they are gone.
//!
//! A machine counts as gone, with everything on it, only after the cloud has confirmed the
//! termination.

mod reasons;

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::{CallError, Micros};

use self::reasons::ScaleInRules;
use super::{MAX_MACHINES_PER_SCALE_IN, RETRY_DELAY};
use crate::calls::PendingCloudCall;
use crate::config::Config;
use crate::events::{LogEvent, TerminatedMachine};
use crate::machines::machine::Machine;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;

pub use self::reasons::ScaleInReason;

/// Minimum number of machines in a zone that show, if all of them are silent, that the zone is
/// unreachable.
const MIN_MACHINES_OF_UNREACHABLE_ZONE: usize = 3;

impl Core {
    /// Terminates the marked machines of a partition that can be terminated now, and its pending
    /// instances that have taken too long.
    pub(super) fn scale_in(&mut self, name: &str) {
        let (now, listening_since) = (self.now, self.reachability.listening_since());
        let warm_capacity = self.warm_capacity();
        let Some(types) = self.types.clone() else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        if !partition.fleet.may_scale_in(now) {
            return;
        }
        partition.update_unreachable_zones(&self.config, now);
        let rules = ScaleInRules::new(
            &self.config,
            &types,
            partition,
            &warm_capacity,
            listening_since,
            now,
        );
        partition.mark_for_scale_in(&rules);
        let mut machine_names = partition.machines_to_terminate();
        machine_names.truncate(MAX_MACHINES_PER_SCALE_IN);
        // Pending instances are not given up soon after a stall of this process, since heartbeats
        // from them may still be unread.
        if now.saturating_sub(listening_since) > 2 * self.config.workers.heartbeat_interval {
            let remaining = MAX_MACHINES_PER_SCALE_IN - machine_names.len();
            machine_names
                .extend(partition.fleet.pending_instances.take_abandoned(&types, now, remaining));
        }
        let late = partition.fleet.pending_instances.late_count_change(&types, now);
        let reasons = partition.mark_scaling_in(&machine_names);
        let partition = Some((name.to_owned(), partition.term));
        if let Some((late, awaited)) = late {
            self.outbox.log(LogLevel::Info, || LogEvent::MachinesLate {
                partition: name.to_owned(),
                late,
                pending: awaited,
            });
        }
        if machine_names.is_empty() {
            return;
        }
        self.outbox.log(LogLevel::Info, || {
            let each = |(machine, reason): (&String, _)| TerminatedMachine {
                machine: machine.clone(),
                reason,
            };
            let machines = machine_names.iter().zip(reasons).map(each).collect();
            LogEvent::MachinesTerminated { partition: name.to_owned(), machines }
        });
        self.call_cloud(
            CloudCall::ScaleIn(machine_names.clone()),
            PendingCloudCall::ScaleIn { partition, machines: machine_names },
        );
    }

    /// Handles the reply to a termination: machines that are gone are removed, the others are
    /// terminated again later.
    pub(super) fn scale_in_replied(
        &mut self,
        name: &str,
        term: u64,
        machines: Vec<String>,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let Some(partition) = self.partition_at_term(name, term) else { return };
        if !matches!(result, Ok(CloudReply::ScaledIn)) {
            partition.fleet.delay_scale_in_until(now + 2 * RETRY_DELAY);
            let (partition_name, count) = (name.to_owned(), machines.len());
            partition
                .log_events
                .push(LogEvent::TerminationFailed { partition: partition_name, count });
            for machine_name in machines {
                if let Some(machine) = partition.machines.get_mut(&machine_name) {
                    machine.scaling_in = false;
                }
                partition.refresh_machine(&machine_name);
            }
            return;
        }
        let mut removed = Vec::new();
        for machine_name in machines {
            // The cloud has confirmed that the machine is gone, with everything on it.
            let was_known = partition.remove_machine(&machine_name);
            partition.fleet.terminated.record(&machine_name, now);
            if was_known {
                removed.push(machine_name);
            }
        }
        for machine_name in removed {
            self.release_ownership(&machine_name, name, term);
        }
    }
}

impl Partition {
    /// Records which zones seem to be unreachable. When such a zone becomes reachable again, the
    /// first heartbeat from it must not make all other machines there count as silent: they send
    /// theirs within the next interval.
    fn update_unreachable_zones(&mut self, config: &Config, now: Micros) {
        let zones = self.find_unreachable_zones(now, config.operator.silent_machine_timeout);
        let until = now + 2 * config.workers.heartbeat_interval;
        self.fleet.record_unreachable_zones(zones, until, now);
    }

    /// Returns the zones that seem to be unreachable: those with at least
    /// `MIN_MACHINES_OF_UNREACHABLE_ZONE` machines, all of which have sent no heartbeat for more
    /// than half of `silent_machine_timeout`. Machines that are being scaled in are not counted.
    fn find_unreachable_zones(
        &self,
        now: Micros,
        silent_machine_timeout: Micros,
    ) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.scaling_in) {
            let entry = zones.entry(machine.record.zone.as_str()).or_default();
            entry.0 += 1;
            entry.1 += usize::from(
                now.saturating_sub(machine.last_heartbeat_at) > silent_machine_timeout / 2,
            );
        }
        let unreachable = zones
            .into_iter()
            .filter(|(_, (all, silent))| *all >= MIN_MACHINES_OF_UNREACHABLE_ZONE && all == silent);
        unreachable.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// Marks the machines that are to be terminated, and clears marks that no longer hold.
    fn mark_for_scale_in(&mut self, rules: &ScaleInRules) {
        let mut changed: Vec<String> = Vec::new();
        for machine in self.machines.values_mut().filter(|m| !m.scaling_in) {
            let before = machine.scale_in_reason;
            let recently_seen = rules.silence(machine) < rules.config.workers.heartbeat_interval;
            let still_valid = before.filter(|r| !r.is_disproven(machine, rules.now));
            let reason = rules.reason_with_mark(machine, still_valid);
            machine.scale_in_reason =
                reason.filter(|r| !(recently_seen && r.is_cleared_by_heartbeat()));
            if machine.scale_in_reason != before {
                changed.push(machine.name.clone());
            }
        }
        for machine_name in changed {
            self.refresh_machine(&machine_name);
        }
    }

    /// Returns the marked machines that can be terminated now.
    fn machines_to_terminate(&self) -> Vec<String> {
        let is_free = |m: &Machine| {
            !m.has_active_attempts() && m.attempts.values().all(|attempt| attempt.end_processed)
        };
        let can_terminate = |m: &Machine| {
            m.scale_in_reason.is_some_and(|reason| reason.is_immediate() || is_free(m))
        };
        let machines = self.machines.values().filter(|m| !m.scaling_in && can_terminate(m));
        machines.map(|m| m.name.clone()).collect()
    }

    /// Marks machines as being terminated. Returns the reason of each for the log, `None` for a
    /// machine that never came up.
    fn mark_scaling_in(&mut self, machines: &[String]) -> Vec<Option<ScaleInReason>> {
        let mut reasons = Vec::new();
        for machine_name in machines {
            let machine = self.machines.get_mut(machine_name);
            reasons.push(machine.and_then(|machine| {
                machine.scaling_in = true;
                machine.scale_in_reason
            }));
            self.refresh_machine(machine_name);
        }
        reasons
    }
}
