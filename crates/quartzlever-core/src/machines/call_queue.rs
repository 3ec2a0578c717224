//! Which machines of a partition are to be called, rather than told with the answer to their next heartbeat.
//!
//! Owns the machines that may have something to be told at once, and those that no report has proven yet. It only
//! says whom to call: what a call carries is decided in [`super::commands`].

use std::collections::BTreeSet;

use quartzlever_wire::Micros;

use crate::machines::machine::Machine;
use crate::table::Table;

/// Machines that are to be called.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// Machines that may have something to be told at once.
    urgent: BTreeSet<String>,
    /// Machines that no report has proven yet, while the barrier is closed.
    unfenced: BTreeSet<String>,
}

/// How many calls may be under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimits {
    /// Calls with something urgent.
    pub urgent: usize,
    /// Calls that fence machines.
    pub fencing: usize,
    /// Calls that are under way already.
    pub in_flight: usize,
}

impl CallQueue {
    /// A machine may have something to be told at once.
    pub fn add_urgent(&mut self, machine: impl Into<String>) {
        self.urgent.insert(machine.into());
    }

    /// A machine may still heed an earlier leader.
    pub(super) fn add_unfenced(&mut self, machine: &str) {
        self.unfenced.insert(machine.to_owned());
    }

    /// A machine has shown this term's fencing token.
    pub(super) fn fenced(&mut self, machine: &str) {
        self.unfenced.remove(machine);
    }

    /// Every machine is proven.
    pub(super) fn all_verified(&mut self) {
        self.unfenced.clear();
    }

    /// A machine is gone.
    pub(super) fn forget(&mut self, machine: &str) {
        self.urgent.remove(machine);
        self.unfenced.remove(machine);
    }

    /// The machines that are called now: first those that have something urgent to be told, then those that have
    /// to be fenced, as far as the calls under way leave room.
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
        let callable = |machine: &&String| machines.get(*machine).is_some_and(|m| m.callable(now));
        let room = |most: usize| most.saturating_sub(limits.in_flight);
        let urgent = self.urgent.iter().filter(callable).take(room(limits.urgent));
        let unfenced = self.unfenced.iter().filter(callable).take(room(limits.fencing));
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
