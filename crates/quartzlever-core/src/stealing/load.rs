//! How long the queues of partitions are, and what room their machines have.
//!
//! Reads only. The comparison of queues is a departure from the paper, whose thieves have no work at
//! all (2.3.1; docs/design.md, exceptions).

use quartzlever_wire::peers::{FreeCapacity, Load, ThiefCapacity};
use quartzlever_wire::users::Priority;

use crate::machines::attempt::Attempt;
use crate::partition::Partition;
use crate::router::Core;
use crate::scheduling::silence_limit;

/// A partition counts as idle beside a peer whose queue lasts this many times as long as its own, and
/// so many seconds more. Stealing by partitions without any ready task did nothing for a partition whose
/// machines were taken, while all others had queues of their own: its jobs waited 500 s.
const MUCH_LONGER_FACTOR: f64 = 2.0;
const MUCH_LONGER_MARGIN_S: f64 = 10.0;

pub(super) fn is_much_longer(queue: &Load, than: &Load) -> bool {
    queue.drain_s() > than.drain_s() * MUCH_LONGER_FACTOR + MUCH_LONGER_MARGIN_S
}

impl Core {
    /// How long a partition's queue is.
    pub(super) fn load_of(&self, partition: &Partition) -> Load {
        let jobs = partition.jobs.values().filter(|j| !j.ready.is_empty() && !j.fails_everywhere());
        let work = jobs.map(|j| {
            let each = self.run_times.expect(j.spec()) as f64 / 1e6 * j.spec().cpus;
            f64::from(j.ready.len()) * each
        });
        let processors = partition.machines.values().filter(|m| m.usable()).filter_map(|m| {
            self.types.as_ref().and_then(|t| t.get(&m.record.machine_type)).map(|t| t.cpus)
        });
        Load { work: work.sum(), cpus: processors.sum() }
    }

    /// The load of the partition held here whose queue lasts longest.
    pub(super) fn longest_here(&self, but: Option<&str>) -> Option<(Load, String)> {
        let partitions =
            self.partitions.values().filter(|p| p.active() && Some(p.name.as_str()) != but);
        let loads = partitions.map(|p| (self.load_of(p), p.name.clone()));
        loads.max_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s()))
    }

    /// The partition held here whose queue is gone first, if it has machines.
    pub(super) fn lightest(&self) -> Option<String> {
        let partitions = self.partitions.values().filter(|p| p.active() && p.recovery_complete);
        let loads =
            partitions.map(|p| (self.load_of(p), p.name.clone())).filter(|l| l.0.cpus > 0.0);
        loads.min_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s())).map(|(_, name)| name)
    }

    /// The kinds of machines that a partition has, each with the room of an empty one: what does not fit
    /// there is not moved to its queue.
    pub(super) fn machine_types_of(&self, partition: &Partition) -> ThiefCapacity {
        let mut free: Vec<FreeCapacity> = Vec::new();
        for record in partition.machines.values().filter(|m| m.usable()).map(|m| &m.record) {
            let known = |r: &FreeCapacity| {
                r.machine_type == record.machine_type
                    && r.zone == record.zone
                    && r.spot == record.spot
            };
            let Some(machine_type) = self.types.as_ref().and_then(|t| t.get(&record.machine_type))
            else {
                continue;
            };
            if !free.iter().any(known) {
                free.push(FreeCapacity {
                    machine_type: record.machine_type.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    cpus: machine_type.cpus,
                    gpus: machine_type.gpus,
                    ram_gb: machine_type.ram_gb,
                });
            }
        }
        ThiefCapacity { free }
    }

    /// Room on open machines, as the thief tells it; for tasks of a rank, what lower work could give
    /// way to counts as room.
    pub(super) fn free_capacity_of(
        &self,
        partition: &Partition,
        priority: Priority,
    ) -> ThiefCapacity {
        let quiet = silence_limit(&self.config);
        let open = partition.machines.values().filter(|m| m.accepts_tasks(self.now, quiet));
        let free = open.filter_map(|m| {
            let mut free = m.free;
            let lower = |s: &&Attempt| s.wanted && !s.exited() && s.priority > priority;
            m.attempts.values().filter(lower).for_each(|s| free.add(&s.need));
            (free.cpus > 0.0).then(|| FreeCapacity {
                machine_type: m.record.machine_type.clone(),
                zone: m.record.zone.clone(),
                spot: m.record.spot,
                cpus: free.cpus,
                gpus: free.gpus,
                ram_gb: free.ram_gb,
            })
        });
        ThiefCapacity { free: free.collect() }
    }
}
