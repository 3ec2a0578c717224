//! The machines that belong to a partition: adding, emptying and removing them, and the recovery
//! barrier that opens once each of them is verified.
//!
//! A machine's tasks are requeued only when no attempt can still run on it, which the caller has
//! established.

use quartzlever_wire::Micros;
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::workers::TaskPhase;

use crate::machines::attempt::AttemptKey;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;
use crate::partition::Partition;

impl Partition {
    /// Adds a claimed machine. `is_new_claim` says that it was claimed under the present term, so
    /// that no earlier leader ever commanded it.
    pub fn add_machine(
        &mut self,
        name: &str,
        record: MachineRecord,
        is_new_claim: bool,
        now: Micros,
    ) {
        self.fleet.pending_instances.record_arrival(name, self.types.as_deref(), now);
        let machine = self
            .machines
            .entry(name.to_owned())
            .or_insert_with(|| Box::new(Machine::new(name, record, now)));
        if is_new_claim {
            machine.fenced = true;
            machine.verified = true;
        }
        if !machine.fenced {
            self.call_queue.add_unfenced(name);
        }
        self.refresh_machine(name);
    }

    /// Adds a machine whose claim for this partition is committed, if the claim was made under the
    /// present term.
    pub(crate) fn add_claimed_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        mod_revision: u64,
        now: Micros,
    ) {
        if self.is_loaded()
            && !self.machines.contains_key(name)
            && !self.fleet.terminated.contains(name)
            && mod_revision > self.term
        {
            // A revision above the term's belongs to a claim of this term, whether or not its
            // answer has arrived: claims of earlier terms fail once this term has begun.
            self.add_machine(name, record.clone(), true, now);
        }
    }

    /// Opens the recovery barrier once every machine is verified. Returns whether this call opened
    /// it.
    pub fn try_complete_recovery(&mut self) -> bool {
        if self.recovery_complete
            || !self.is_loaded()
            || self.machines.values().any(|m| !m.verified)
        {
            return false;
        }
        self.recovery_complete = true;
        self.call_queue.clear_unfenced();
        self.placement_wanted = true;
        for job in self.jobs.values_mut() {
            self.work.add(1);
            job.complete_recovery();
        }
        true
    }

    /// Removes all attempts from a machine on which none can still run, and requeues their tasks.
    pub fn requeue_attempts_of(&mut self, name: &str) {
        let last_attempt = self.last_attempt();
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.last_expired_attempt = last_attempt;
        let attempts = std::mem::take(&mut machine.attempts);
        for (AttemptKey { task, attempt }, state) in attempts {
            if state.phase == Some(TaskPhase::Exited) && state.end_processed {
                continue;
            }
            self.requeue(&task, attempt);
        }
        self.refresh_machine(name);
    }

    /// Removes a machine on which no attempt can still run, and requeues its tasks. Returns whether
    /// the machine belonged to the partition.
    pub fn remove_machine(&mut self, name: &str) -> bool {
        self.requeue_attempts_of(name);
        self.call_queue.remove(name);
        self.free_capacity_index.remove(name);
        self.reservations.remove_machine(name);
        self.machines.swap_remove(name).is_some()
    }

    /// Updates a machine's free capacity after its attempts or its usability have changed, and
    /// queues a direct call if it has urgent commands.
    pub fn refresh_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.has_urgent_commands() {
            self.call_queue.add_urgent(name);
        }
        self.placement_wanted |= machine.count_unlisted_attempts();
        let machine_type = self.types.as_ref().and_then(|t| t.get(&machine.record.machine_type));
        match machine_type.filter(|_| machine.is_usable()) {
            Some(machine_type) => {
                machine.free = machine.free_capacity(Resources::capacity_of(machine_type));
                self.free_capacity_index.set_free_cpus(name, &machine.record, machine.free.cpus);
            }
            None => self.free_capacity_index.remove(name),
        }
    }
}

#[cfg(test)]
mod tests;
