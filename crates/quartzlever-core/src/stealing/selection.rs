//! Selection of the ranges of ready tasks that move from the victim's queue to a thief.
//!
//! The work-stealing design (docs/design.md) moves half of the victim's ready tasks (2.3.3 (b),
//! figure 8). Here that is the maximum: no more tasks move than the thief has capacity for, or than
//! balances the two queues (docs/design.md, exceptions). The selected tasks are `moving` until the
//! outcome of the write is known (`commit`).

use quartzlever_wire::peers::{FreeCapacity, Load, ThiefCapacity};
use quartzlever_wire::store::Txn;
use quartzlever_wire::users::Priority;
use quartzlever_wire::{Json, Ranges};

use super::victim::is_movable;
use crate::calls::TaskMove;
use crate::jobs::pages::Pages;
use crate::jobs::partition_job::PartitionJob;
use crate::machines::resources::Resources;
use crate::messages::RequestId;
use crate::partition::Partition;
use crate::router::Core;
use crate::scheduling::{RunTimes, constraints_allow};
use crate::store::active_job_key;
use crate::store::partition_key;

/// Maximum number of jobs in one move. The store may allow fewer changes in a transaction.
const MAX_JOBS_PER_MOVE: usize = 8;
/// Number of ranges of tasks in the records that one request visits, from which on no more jobs are
/// selected: those of the largest job, every second task of which has finished.
const MAX_RANGES_PER_MOVE: usize = 50_000;
/// Maximum total size of the records in one move, in bytes.
const MAX_RECORD_BYTES_PER_MOVE: usize = 48 * 1024;

/// A thief's request for tasks of a victim.
pub(super) struct StealRequest {
    /// The peer's request that waits for the outcome; `None` if this node leads the thief too.
    pub request: Option<RequestId>,
    pub victim: String,
    pub thief: String,
    /// The thief's term.
    pub term: u64,
    /// The lowest priority that moves.
    pub priority: Priority,
    /// The free capacity of each of the thief's machines, or, if `load` is given, the capacity of
    /// an empty machine of each of its kinds.
    pub capacity: ThiefCapacity,
    /// The load of a thief that has a queue of its own; `None` for an idle one.
    pub load: Option<Load>,
}

/// The tasks that the thief may still steal.
struct StealAllowance {
    tasks: u32,
    free: Vec<FreeCapacity>,
    /// Processor-seconds whose move balances the two queues, for a thief that has one of its own.
    excess: Option<f64>,
    /// The highest priority that moves.
    highest_priority: Priority,
}

impl StealAllowance {
    /// Creates the allowance for a steal of at most `tasks` tasks. A thief with a queue of its own
    /// steals what balances both queues, and nothing urgent: urgent tasks start here as soon as
    /// possible, unless the victim has no machines at all.
    fn new(steal: &StealRequest, tasks: u32, victim_load: impl FnOnce() -> Load) -> Self {
        let free = steal.capacity.free.clone();
        let Some(thief_load) = &steal.load else {
            return StealAllowance { tasks, free, excess: None, highest_priority: Priority::Prod };
        };
        let load = victim_load();
        let highest_priority = if load.cpus > 0.0 { Priority::Standard } else { Priority::Prod };
        StealAllowance {
            tasks,
            free,
            excess: Some(load.work_to_balance(thief_load)),
            highest_priority,
        }
    }

    /// Returns how many tasks of a job may move, and subtracts them from the excess of the victim's
    /// queue if the thief has a queue of its own, and otherwise from the thief's free capacity.
    fn allot(&mut self, job: &PartitionJob, run_times: &RunTimes) -> u32 {
        let Some(excess) = &mut self.excess else {
            return allot_free_capacity(&mut self.free, job, self.tasks);
        };
        let cpu_seconds_per_task =
            run_times.expected_run_time(job.spec()).max(1) as f64 / 1e6 * job.spec().cpus;
        let max_tasks =
            (*excess / cpu_seconds_per_task.max(1e-6)).min(f64::from(self.tasks)) as u32;
        let count =
            if fits_somewhere(&self.free, job) { max_tasks.min(job.ready.len()) } else { 0 };
        *excess -= f64::from(count) * cpu_seconds_per_task;
        count
    }
}

/// The tasks that a move removes from the victim's queue, and its transaction.
pub(super) struct PlannedMove {
    /// The victim's term.
    pub term: u64,
    pub txn: Txn,
    pub moved: Vec<TaskMove>,
    /// Total size of the records.
    bytes: usize,
    /// Total number of ranges of tasks in the records that were visited.
    ranges: usize,
}

impl PlannedMove {
    /// Creates an empty move, conditional on the terms of both partitions.
    fn new(victim: &Partition, steal: &StealRequest) -> Self {
        let txn = victim.txn().if_mod_revision(partition_key(&steal.thief), steal.term);
        PlannedMove { term: victim.term, txn, moved: Vec::new(), bytes: 0, ranges: 0 }
    }

    /// Removes up to `count` tasks from the end of a job's ready tasks, conditional on the
    /// modification revision of its record. Returns the number of tasks selected: 0 if the record
    /// would exceed the store's limit or that of the move.
    fn add(
        &mut self,
        steal: &StealRequest,
        id: String,
        job: &mut PartitionJob,
        count: u32,
        pages: &Pages,
        max_value_bytes: usize,
    ) -> u32 {
        self.ranges += 1 + job.record.finished.range_count() + job.ready.range_count();
        let tasks: Ranges = job.ready.split_off_last(count);
        let mut record = job.record.clone();
        record.move_tasks(&tasks, &steal.victim, &steal.thief, steal.term);
        let value = Json::of(&pages.stored_form(&record));
        let size = value.text().len();
        if size > max_value_bytes || self.bytes + size > MAX_RECORD_BYTES_PER_MOVE {
            job.ready.insert_all(&tasks);
            if size > max_value_bytes {
                job.record_too_large_to_move();
            }
            return 0;
        }
        self.bytes += size;
        job.begin_move(&tasks);
        let key = active_job_key(&id);
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.if_mod_revision(key.clone(), job.mod_revision()).write(key, value);
        let moved_count = tasks.len();
        self.moved.push(TaskMove { job: id, tasks, record });
        moved_count
    }
}

impl Core {
    /// Removes ready ranges from the victim's queue in queue order. Returns `None` if no task may
    /// move.
    pub(super) fn plan_move(&mut self, steal: &StealRequest) -> Option<PlannedMove> {
        let max_jobs = self.limits.txn_ops().clamp(1, MAX_JOBS_PER_MOVE);
        let max_value_bytes = self.limits.value_bytes();
        let partition = self.partitions.get(&steal.victim)?;
        let order = partition.queue_order(&self.config, &self.run_times, self.now);
        let movable = f64::from(partition.movable_count(&self.config, steal.priority));
        let tasks = (movable * self.config.operator.steal_fraction).ceil() as u32;
        let mut allowance = StealAllowance::new(steal, tasks, || self.queue_load(partition));
        let partition = self.partitions.get_mut(&steal.victim)?;
        let mut planned = PlannedMove::new(partition, steal);
        for id in order {
            if allowance.tasks == 0
                || planned.moved.len() >= max_jobs
                || planned.ranges >= MAX_RANGES_PER_MOVE
            {
                break;
            }
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            if !is_movable(&self.config, job, steal.priority)
                || job.spec().priority < allowance.highest_priority
            {
                continue;
            }
            let count = allowance.allot(job, &self.run_times);
            if count > 0 {
                allowance.tasks -= planned.add(steal, id, job, count, &self.pages, max_value_bytes);
            }
        }
        self.work.add(planned.ranges);
        (!planned.moved.is_empty()).then_some(planned)
    }
}

/// Returns how many of the job's ready tasks, at most `max_tasks`, fit in the thief's free
/// capacity, and subtracts what they need from the capacity.
fn allot_free_capacity(free: &mut [FreeCapacity], job: &PartitionJob, max_tasks: u32) -> u32 {
    let need = job.required_resources();
    let mut count = 0;
    let max_tasks = max_tasks.min(job.ready.len());
    for capacity in free {
        if !constraints_allow(job.spec(), &capacity.machine_type, &capacity.zone, capacity.spot) {
            continue;
        }
        let mut resources = resources_of(capacity);
        let fitting = resources.count_fitting(&need).min(max_tasks - count);
        resources.subtract_tasks(&need, fitting);
        count += fitting;
        (capacity.cpus, capacity.gpus, capacity.ram_gb) =
            (resources.cpus, resources.gpus, resources.ram_gb);
    }
    count
}

/// Reports whether a task of the job could run on any of these machines.
fn fits_somewhere(machines: &[FreeCapacity], job: &PartitionJob) -> bool {
    let need = job.required_resources();
    machines.iter().any(|m| {
        constraints_allow(job.spec(), &m.machine_type, &m.zone, m.spot)
            && resources_of(m).fits(&need)
    })
}

fn resources_of(capacity: &FreeCapacity) -> Resources {
    Resources { cpus: capacity.cpus, gpus: capacity.gpus, ram_gb: capacity.ram_gb }
}
