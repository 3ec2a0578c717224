//! Scaling in: which machines are returned to the cloud, and what is done when they are gone.
//!
//! A machine counts as gone, with everything on it, only after the cloud has confirmed its return.

mod reasons;

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{CloudCall, CloudReply};
use quartzlever_wire::{CallError, Micros};

use self::reasons::ScaleInRules;
use super::{MAX_MACHINES_PER_SCALE_IN, RETRY};
use crate::calls::PendingCloudCall;
use crate::config::Config;
use crate::events::{LogEvent, ReturnedMachine};
use crate::machines::machine::Machine;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;

pub use self::reasons::ScaleInReason;

/// So many machines of a zone fall silent together only when the zone is cut off.
const CUT_MACHINES: usize = 3;

impl Core {
    /// Returns the machines of a partition that are of no use.
    pub(super) fn scale_in(&mut self, name: &str) {
        let (now, listening_since) = (self.now, self.reachability.listening_since());
        let warm_capacity = self.warm_capacity();
        let Some(types) = self.types.clone() else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        if !partition.autoscaling.may_scale_in(now) {
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
        let mut machine_names = partition.marked_machines();
        machine_names.truncate(MAX_MACHINES_PER_SCALE_IN);
        // After standing still, their heartbeats may wait unread.
        if now.saturating_sub(listening_since) > 2 * self.config.workers.heartbeat_interval {
            let room = MAX_MACHINES_PER_SCALE_IN - machine_names.len();
            machine_names
                .extend(partition.autoscaling.pending_instances.take_given_up(&types, now, room));
        }
        let late = partition.autoscaling.pending_instances.late_count_change(&types, now);
        let reasons = partition.begin_scale_in(&machine_names);
        let partition = Some((name.to_owned(), partition.term));
        if let Some((late, awaited)) = late {
            self.outbox.log(LogLevel::Info, || LogEvent::MachinesLate {
                partition: name.to_owned(),
                late,
                awaited,
            });
        }
        if machine_names.is_empty() {
            return;
        }
        self.outbox.log(LogLevel::Info, || {
            let each = |(machine, reason): (&String, _)| ReturnedMachine {
                machine: machine.clone(),
                reason,
            };
            let machines = machine_names.iter().zip(reasons).map(each).collect();
            LogEvent::MachinesReturned { partition: name.to_owned(), machines }
        });
        self.call_cloud(
            CloudCall::ScaleIn(machine_names.clone()),
            PendingCloudCall::ScaleIn { partition, machines: machine_names },
        );
    }

    /// The cloud has answered a return: what is gone is forgotten, the rest is tried again later.
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
            partition.autoscaling.scale_in_not_before(now + 2 * RETRY);
            for machine_name in machines {
                if let Some(machine) = partition.machines.get_mut(&machine_name) {
                    machine.scaling_in = false;
                }
                partition.refresh(&machine_name);
            }
            return;
        }
        let mut dropped = Vec::new();
        for machine_name in machines {
            // The machine is gone, with everything on it.
            let known = partition.remove_machine(&machine_name);
            partition.autoscaling.terminated.put(&machine_name, now);
            if known {
                dropped.push(machine_name);
            }
        }
        for machine_name in dropped {
            self.release_ownership(&machine_name, name, term);
        }
    }
}

impl Partition {
    /// Notes which zones seem to be cut off. When a cut ends, the first machine that is heard must not
    /// make all the others silent ones: they report within the next interval.
    fn note_cuts(&mut self, config: &Config, now: Micros) {
        let zones = self.zones_cut(now, config.operator.silent_return);
        let until = now + 2 * config.workers.heartbeat_interval;
        self.autoscaling.note_cut_zones(zones, until, now);
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
        for machine_name in changed {
            self.refresh(&machine_name);
        }
    }

    /// The marked machines that can be returned now.
    fn marked_machines(&self) -> Vec<String> {
        let is_free =
            |m: &Machine| !m.busy() && m.attempts.values().all(|attempt| attempt.accounted);
        let goes = |m: &Machine| {
            m.scale_in_reason.is_some_and(|reason| reason.is_pressing() || is_free(m))
        };
        let machines = self.machines.values().filter(|m| !m.scaling_in && goes(m));
        machines.map(|m| m.name.clone()).collect()
    }

    /// Marks machines as being returned; gives the reason of each for the log, none if it never came up.
    fn begin_scale_in(&mut self, machines: &[String]) -> Vec<Option<ScaleInReason>> {
        let mut reasons = Vec::new();
        for machine_name in machines {
            let machine = self.machines.get_mut(machine_name);
            reasons.push(machine.and_then(|machine| {
                machine.scaling_in = true;
                machine.scale_in_reason
            }));
            self.refresh(machine_name);
        }
        reasons
    }
}
