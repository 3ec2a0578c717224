//! Cutting: which ranges of ready tasks leave the victim's queue for a thief.
//!
//! The paper moves half of the victim's ready tasks (2.3.3 (b), figure 8). Here that is the most: no
//! more goes than the thief has room for, or than evens out the two queues (docs/design.md,
//! exceptions). What is cut is `moving` until the outcome of the write is known (`commit`).

use quartzlever_wire::peers::{FreeCapacity, Load, ThiefCapacity};
use quartzlever_wire::store::{PARTITION_PREFIX, Txn};
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
use crate::scheduling::{RunTimes, offer_allowed};
use crate::store::active_job_key;

/// Jobs that one move takes from, at the most; the store may take fewer changes in a transaction.
const MAX_JOBS: usize = 8;
/// Bytes of records in one move, at the most.
const MAX_BYTES: usize = 48 * 1024;

/// Who takes tasks from whom, and what it has room for.
pub(super) struct StealRequest {
    /// The peer's request that waits for the outcome; none for a thief held by this very node.
    pub request: Option<RequestId>,
    pub victim: String,
    pub thief: String,
    /// The thief's term.
    pub term: u64,
    /// The lowest rank that moves.
    pub priority: Priority,
    pub room: ThiefCapacity,
    /// The load of a thief that has a queue of its own.
    pub load: Option<Load>,
}

/// What the thief may still take.
struct Share {
    tasks: u32,
    free: Vec<FreeCapacity>,
    /// Processor-seconds that even out the two queues, for a thief that has one of its own.
    excess: Option<f64>,
    /// The highest rank that moves.
    highest: Priority,
}

impl Share {
    /// A thief with a queue of its own takes what evens out the two, and nothing urgent: that
    /// starts here as soon as it can, unless there are no machines at all.
    fn new(asked: &StealRequest, tasks: u32, victim_load: impl FnOnce() -> Load) -> Self {
        let free = asked.room.free.clone();
        let Some(thief_load) = &asked.load else {
            return Share { tasks, free, excess: None, highest: Priority::Prod };
        };
        let own = victim_load();
        let highest = if own.cpus > 0.0 { Priority::Standard } else { Priority::Prod };
        Share { tasks, free, excess: Some(own.excess_over(thief_load)), highest }
    }

    /// How many tasks of a job the thief takes, which counts against what it may still take.
    fn count_for(&mut self, job: &PartitionJob, run_times: &RunTimes) -> u32 {
        let Some(excess) = &mut self.excess else {
            return fit_count(&mut self.free, job, self.tasks);
        };
        let each = run_times.expect(job.spec()).max(1) as f64 / 1e6 * job.spec().cpus;
        let most = (*excess / each.max(1e-6)).min(f64::from(self.tasks)) as u32;
        let count = if fits_somewhere(&self.free, job) { most.min(job.ready.len()) } else { 0 };
        *excess -= f64::from(count) * each;
        count
    }
}

/// What a move cuts off, and its transaction.
pub(super) struct Cut {
    /// The victim's term.
    pub term: u64,
    pub txn: Txn,
    pub moved: Vec<TaskMove>,
    bytes: usize,
}

impl Cut {
    /// An empty move, on condition of the terms of both partitions.
    fn new(victim: &Partition, asked: &StealRequest) -> Self {
        let txn =
            victim.txn().if_mod_revision(format!("{PARTITION_PREFIX}{}", asked.thief), asked.term);
        Cut { term: victim.term, txn, moved: Vec::new(), bytes: 0 }
    }

    /// Cuts tasks off the end of a job, on condition of its modification revision; how many. None if the
    /// records would be too large for the store.
    fn add(
        &mut self,
        asked: &StealRequest,
        id: String,
        job: &mut PartitionJob,
        count: u32,
        pages: &Pages,
        value_bytes: usize,
    ) -> u32 {
        let cut: Ranges = job.ready.cut_last(count);
        let mut record = job.record.clone();
        record.move_tasks(&cut, &asked.victim, &asked.thief, asked.term);
        let value = Json::of(&pages.stored_form(&record));
        let size = value.text().len();
        if size > value_bytes || self.bytes + size > MAX_BYTES {
            job.ready.add(&cut);
            return 0;
        }
        self.bytes += size;
        job.begin_move(&cut);
        let key = active_job_key(&id);
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.if_mod_revision(key.clone(), job.mod_revision()).write(key, value);
        let tasks = cut.len();
        self.moved.push(TaskMove { job: id, cut, record });
        tasks
    }
}

impl Core {
    /// Cuts ready ranges off the victim's queue, in its order; none if nothing may go.
    pub(super) fn cut_tasks(&mut self, asked: &StealRequest) -> Option<Cut> {
        let most_jobs = self.limits.txn_ops().clamp(1, MAX_JOBS);
        let value_bytes = self.limits.value_bytes();
        let partition = self.partitions.get(&asked.victim)?;
        let order = partition.queue_order(&self.config, &self.run_times, self.now);
        let movable = f64::from(partition.movable_count(&self.config, asked.priority));
        let tasks = (movable * self.config.operator.steal_fraction).ceil() as u32;
        let mut share = Share::new(asked, tasks, || self.load_of(partition));
        let partition = self.partitions.get_mut(&asked.victim)?;
        let mut cut = Cut::new(partition, asked);
        for id in order {
            if share.tasks == 0 || cut.moved.len() >= most_jobs {
                break;
            }
            let Some(job) = partition.jobs.get_mut(&id) else { continue };
            if !is_movable(&self.config, job, asked.priority) || job.spec().priority < share.highest
            {
                continue;
            }
            let count = share.count_for(job, &self.run_times);
            if count > 0 {
                share.tasks -= cut.add(asked, id, job, count, &self.pages, value_bytes);
            }
        }
        (!cut.moved.is_empty()).then_some(cut)
    }
}

/// How many of the job's ready tasks the thief has room for, taking that room.
fn fit_count(free: &mut [FreeCapacity], job: &PartitionJob, most: u32) -> u32 {
    let need = job.need();
    let mut count = 0;
    let most = most.min(job.ready.len());
    for room in free {
        if !offer_allowed(job.spec(), &room.machine_type, &room.zone, room.spot) {
            continue;
        }
        let mut resources = resources_of(room);
        while count < most && resources.fits(&need) {
            resources.take(&need);
            count += 1;
        }
        (room.cpus, room.gpus, room.ram_gb) = (resources.cpus, resources.gpus, resources.ram_gb);
    }
    count
}

/// Whether a task of the job could ever run on one of these machines.
fn fits_somewhere(machines: &[FreeCapacity], job: &PartitionJob) -> bool {
    let need = job.need();
    machines.iter().any(|m| {
        offer_allowed(job.spec(), &m.machine_type, &m.zone, m.spot) && resources_of(m).fits(&need)
    })
}

fn resources_of(room: &FreeCapacity) -> Resources {
    Resources { cpus: room.cpus, gpus: room.gpus, ram_gb: room.ram_gb }
}
