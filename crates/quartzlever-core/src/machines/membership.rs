//! The machines that belong to a partition: how one is added, emptied and removed, and the recovery barrier that
//! opens when each of them is verified.
//!
//! A machine's tasks go back to their queue only when it is surely empty, which the caller has established.

use quartzlever_wire::Micros;
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::workers::TaskPhase;

use crate::machines::attempt::AttemptKey;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;

impl Partition {
    /// Adds a claimed machine. `ours` says that it was claimed under this very term, so no
    /// earlier leader ever commanded it.
    pub fn add_machine(&mut self, name: &str, record: MachineRecord, ours: bool, now: Micros) {
        self.autoscaling.pending_instances.arrived(name, self.types.as_deref(), now);
        let machine = self
            .machines
            .entry(name.to_owned())
            .or_insert_with(|| Box::new(Machine::new(name, record, now)));
        if ours {
            machine.fenced = true;
            machine.verified = true;
        }
        if !machine.fenced {
            self.call_queue.add_unfenced(name);
        }
        self.refresh(name);
    }

    /// A claim of a machine for this partition is in force: adds the machine if it was made under this term.
    pub(crate) fn add_claimed_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        mod_revision: u64,
        now: Micros,
    ) {
        if self.active()
            && !self.machines.contains_key(name)
            && !self.autoscaling.terminated.contains(name)
            && mod_revision > self.term
        {
            // A claim of ours, whether its answer has come or not; claims of earlier terms
            // fail by then.
            self.add_machine(name, record.clone(), true, now);
        }
    }

    /// Opens the recovery barrier once every machine is proven.
    pub fn try_complete_recovery(&mut self) -> bool {
        if self.recovery_complete || !self.active() || self.machines.values().any(|m| !m.verified) {
            return false;
        }
        self.recovery_complete = true;
        self.call_queue.all_verified();
        self.placement_wanted = true;
        for job in self.jobs.values_mut() {
            job.complete_recovery();
        }
        true
    }

    /// Takes everything off a machine that is surely empty.
    pub fn empty_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let attempts = std::mem::take(&mut machine.attempts);
        for (AttemptKey { task, attempt }, state) in attempts {
            if state.phase == Some(TaskPhase::Exited) && state.accounted {
                continue;
            }
            self.requeue(&task, attempt);
        }
        self.refresh(name);
    }

    /// Removes a machine that is surely empty for good.
    pub fn remove_machine(&mut self, name: &str) -> bool {
        self.empty_machine(name);
        self.call_queue.forget(name);
        self.free_capacity_index.remove(name);
        self.reservations.machine_removed(name);
        self.machines.swap_remove(name).is_some()
    }

    /// Brings what is kept of a machine's room up to date, after its attempts or its standing
    /// have changed.
    pub fn refresh(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.has_urgent_commands() {
            self.call_queue.add_urgent(name);
        }
        let machine_type = self.types.as_ref().and_then(|t| t.get(&machine.record.machine_type));
        match machine_type.filter(|_| machine.usable()) {
            Some(machine_type) => {
                machine.free = machine.free_of(Resources::capacity_of(machine_type));
                self.free_capacity_index.put(name, &machine.record, machine.free.cpus);
            }
            None => self.free_capacity_index.remove(name),
        }
    }
}

#[cfg(test)]
mod tests;
