//! The lengths of the partitions' queues, and the free capacity of their machines.
//!
//! Everything here only reads. The comparison of queues departs from the work-stealing design
//! (docs/design.md), whose thieves have no work at all (2.3.1; docs/design.md, exceptions).

use quartzlever_wire::peers::{FreeCapacity, Load, ThiefCapacity};
use quartzlever_wire::users::Priority;

use crate::machines::attempt::Attempt;
use crate::partition::Partition;
use crate::router::Core;
use crate::scheduling::max_silence;

/// A partition with a queue of its own steals only from a queue that takes more than this many
/// times as long to drain, plus `MUCH_LONGER_MARGIN_S`. When only partitions without ready tasks
/// stole, and all others had queues of their own, the jobs of a partition without machines waited
/// 500 s.
const MUCH_LONGER_FACTOR: f64 = 2.0;
/// Seconds that the longer queue must take beyond `MUCH_LONGER_FACTOR` times the other.
const MUCH_LONGER_MARGIN_S: f64 = 10.0;

/// Reports whether a queue takes so much longer to drain than another that tasks should move.
pub(super) fn is_much_longer(queue: &Load, other: &Load) -> bool {
    queue.drain_s() > other.drain_s() * MUCH_LONGER_FACTOR + MUCH_LONGER_MARGIN_S
}

impl Core {
    /// Returns the load of a partition: the work of its ready tasks, without jobs that fail
    /// everywhere, in processor-seconds, and the processors of its usable machines.
    pub(super) fn queue_load(&self, partition: &Partition) -> Load {
        let jobs = partition.jobs.values().filter(|j| !j.ready.is_empty() && !j.fails_everywhere());
        let work = jobs.map(|j| {
            let cpu_seconds_per_task =
                self.run_times.expected_run_time(j.spec()) as f64 / 1e6 * j.spec().cpus;
            f64::from(j.ready.len()) * cpu_seconds_per_task
        });
        let cpus = partition.machines.values().filter(|m| m.is_usable()).filter_map(|m| {
            self.types.as_ref().and_then(|t| t.get(&m.record.machine_type)).map(|t| t.cpus)
        });
        Load { work: work.sum(), cpus: cpus.sum() }
    }

    /// Returns the load and the name of the partition led by this node, other than `excluded`,
    /// whose queue takes longest to drain.
    pub(super) fn longest_local_queue(&self, excluded: Option<&str>) -> Option<(Load, String)> {
        let partitions =
            self.partitions.values().filter(|p| p.is_loaded() && Some(p.name.as_str()) != excluded);
        let loads = partitions.map(|p| (self.queue_load(p), p.name.clone()));
        loads.max_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s()))
    }

    /// Returns the partition led by this node whose queue takes the shortest time to drain, of
    /// those that have machines and have completed recovery.
    pub(super) fn shortest_local_queue(&self) -> Option<String> {
        let partitions = self.partitions.values().filter(|p| p.is_loaded() && p.recovery_complete);
        let loads =
            partitions.map(|p| (self.queue_load(p), p.name.clone())).filter(|l| l.0.cpus > 0.0);
        loads.min_by(|a, b| a.0.drain_s().total_cmp(&b.0.drain_s())).map(|(_, name)| name)
    }

    /// Returns the kinds of machines of a partition, each with the capacity of an empty one. Tasks
    /// that fit none of them are not moved to its queue.
    pub(super) fn empty_machine_capacity(&self, partition: &Partition) -> ThiefCapacity {
        let mut free: Vec<FreeCapacity> = Vec::new();
        for record in partition.machines.values().filter(|m| m.is_usable()).map(|m| &m.record) {
            let is_listed = |r: &FreeCapacity| {
                r.machine_type == record.machine_type
                    && r.zone == record.zone
                    && r.spot == record.spot
            };
            let Some(machine_type) = self.types.as_ref().and_then(|t| t.get(&record.machine_type))
            else {
                continue;
            };
            if !free.iter().any(is_listed) {
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

    /// Returns the free capacity of each machine that accepts tasks, as a thief sends it. The
    /// capacity of tasks with lower priority than `priority` counts as free, since they could be
    /// preempted.
    pub(super) fn free_capacity_of(
        &self,
        partition: &Partition,
        priority: Priority,
    ) -> ThiefCapacity {
        let max_silence = max_silence(&self.config);
        let available =
            partition.machines.values().filter(|m| m.accepts_tasks(self.now, max_silence));
        let free = available.filter_map(|m| {
            let mut free = m.free;
            let preemptible = |s: &&Attempt| s.wanted && !s.has_exited() && s.priority > priority;
            m.attempts.values().filter(preemptible).for_each(|s| free.add(&s.required_resources));
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
