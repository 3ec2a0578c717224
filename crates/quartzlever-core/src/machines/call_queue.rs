//! The machines of a partition that get a direct call instead of waiting for the answer to their
//! next heartbeat.
//!
//! Owns the set of machines that may have urgent commands and the set of machines that have not
//! shown this term's fencing token. It only selects the machines: [`super::commands`] decides what
//! a call carries.

use std::collections::BTreeSet;

use quartzlever_wire::Micros;

use crate::machines::machine::Machine;
use crate::table::Table;

/// Machines that are waiting for a direct call.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// Machines that may have urgent commands.
    urgent: BTreeSet<String>,
    /// Machines that have not shown this term's fencing token, until recovery is complete.
    unfenced: BTreeSet<String>,
}

/// Limits on the number of worker calls in flight, and the present number.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimits {
    /// Calls in flight up to which urgent calls are made.
    pub urgent: usize,
    /// Calls in flight up to which fencing calls are made.
    pub fencing: usize,
    /// Calls in flight at present.
    pub in_flight: usize,
}

impl CallQueue {
    /// Adds a machine that may have urgent commands.
    pub fn add_urgent(&mut self, machine: impl Into<String>) {
        self.urgent.insert(machine.into());
    }

    /// Adds a machine that may still accept commands of an earlier leader.
    pub(super) fn add_unfenced(&mut self, machine: &str) {
        self.unfenced.insert(machine.to_owned());
    }

    /// Removes a machine that has shown this term's fencing token from the fencing calls.
    pub(super) fn mark_fenced(&mut self, machine: &str) {
        self.unfenced.remove(machine);
    }

    /// Cancels all fencing calls, as every machine is verified.
    pub(super) fn clear_unfenced(&mut self) {
        self.unfenced.clear();
    }

    /// Removes a machine that left the partition.
    pub(super) fn remove(&mut self, machine: &str) {
        self.urgent.remove(machine);
        self.unfenced.remove(machine);
    }

    /// Returns the machines to call now, within the limits: first those with urgent commands, then
    /// those to fence. Drops machines without urgent commands from the urgent set.
    pub(super) fn due(
        &mut self,
        machines: &Table<Machine>,
        limits: CallLimits,
        now: Micros,
    ) -> Vec<String> {
        self.urgent.retain(|machine| {
            machines
                .get(machine)
                .is_some_and(|m| m.fenced && m.incarnation > 0 && m.has_urgent_commands())
        });
        let can_be_called =
            |machine: &&String| machines.get(*machine).is_some_and(|m| m.can_be_called(now));
        let remaining = |limit: usize| limit.saturating_sub(limits.in_flight);
        let urgent = self.urgent.iter().filter(can_be_called).take(remaining(limits.urgent));
        let unfenced = self.unfenced.iter().filter(can_be_called).take(remaining(limits.fencing));
        urgent.chain(unfenced).cloned().collect()
    }

    #[cfg(test)]
    pub(super) fn is_urgent(&self, machine: &str) -> bool {
        self.urgent.contains(machine)
    }

    #[cfg(test)]
    pub(super) fn is_unfenced(&self, machine: &str) -> bool {
        self.unfenced.contains(machine)
    }
}

#[cfg(test)]
mod tests;
