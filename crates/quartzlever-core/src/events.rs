//! What the core tells its operator: the events of the log.
//!
//! Each event has a level, a name in snake case and fields; [`LogEvent`]'s `Display` writes the fields as
//! `key=value` pairs in a fixed order. The program turns an event into one line and adds nothing to it.
//!
//! `count` counts what the name of the event names; times are written in milliseconds, with `_ms` in the key.

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::Micros;
use quartzlever_wire::fields::Fields;

use crate::autoscaling::ScaleInReason;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// How much an event matters, the weightiest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Something that a person has to look at.
    Error,
    /// What is needed to follow what happens.
    Info,
    /// Single tasks, and what was already told.
    Debug,
}

/// One event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// This process leads a partition from now on, and first reads its jobs and machines.
    PartitionAcquired {
        partition: String,
        /// Revision of the acquisition; it is higher for each later leader.
        term: u64,
    },
    /// The store has given a partition to another, or taken it away.
    PartitionLost { partition: String, term: u64 },
    /// A partition was lost by a change that the watch has missed; a listing shows it.
    PartitionLostUnnoticed { partition: String, term: u64 },
    /// This process gives up a partition by itself.
    PartitionHandedBack { partition: String, term: u64 },
    /// The lease of this process has ended, and with it all its partitions.
    LeaseLost {
        /// How many partitions were held.
        partitions: usize,
    },
    /// Every machine of a partition is known to hold nothing that an earlier leader started unseen.
    RecoveryCompleted {
        partition: String,
        /// Since the acquisition, in microseconds.
        duration: Micros,
    },
    /// The store has not answered for some time.
    StoreUnreachable {
        /// Without an answer so far, in microseconds.
        duration: Micros,
    },
    /// The store answers again after [`LogEvent::StoreUnreachable`].
    StoreReachable {
        /// Without an answer, in microseconds.
        duration: Micros,
    },
    /// A peer reaches the store while this process does not.
    IsolatedFromStore,
    /// Workers of a partition are heard by a peer and not here, so that it is handed back.
    WorkersUnreachable { partition: String, term: u64 },
    /// A worker was reached again after [`LogEvent::WorkersUnreachable`].
    WorkersReachable,
    /// A record in the store cannot be understood; it is left as it is.
    UnreadableRecord { key: String },
    /// Requests were rejected since the last such event.
    RequestsRejected { counts: Vec<RejectionCount> },
    /// Machines are asked for.
    MachinesRequested {
        partition: String,
        machine_type: String,
        zone: String,
        /// Whether the cloud may take them back.
        spot: bool,
        count: u32,
    },
    /// The cloud has no machine of a kind.
    NoCapacity { partition: String, machine_type: String, zone: String, spot: bool },
    /// Machines that were asked for take longer than usual to come; none of them (0) when that is over.
    MachinesLate {
        partition: String,
        late: usize,
        /// How many are on their way, the late ones among them.
        awaited: usize,
    },
    /// Machines are returned to the cloud.
    MachinesReturned { partition: String, machines: Vec<ReturnedMachine> },
    /// Tasks are stopped on a machine so that those of a more urgent job find room.
    TasksPreempted {
        partition: String,
        machine: String,
        /// The job for which room is made.
        job: String,
        count: usize,
    },
    /// Another partition has taken over tasks.
    TasksStolen {
        partition: String,
        /// How many jobs they belong to.
        jobs: usize,
    },
    /// A task was reported to run.
    TaskRunning {
        partition: String,
        job: String,
        /// Index of the task in its job.
        task: u32,
        machine: String,
        /// Class of the job's run times.
        class: String,
        /// Since the placement, in microseconds.
        since_placement: Micros,
        /// Since the submission of the job, in microseconds.
        since_submission: Micros,
    },
    /// A job fails on every machine that it is tried on; it is tried with a task at a time.
    JobFailsEverywhere { partition: String, job: String },
    /// The store has refused a transaction for its size.
    TransactionTooLarge {
        /// How many changes it had.
        changes: usize,
        /// Size of its largest value, in bytes.
        value_bytes: usize,
        /// Most changes of a transaction from now on.
        changes_limit: usize,
        /// Largest value from now on, in bytes.
        value_bytes_limit: usize,
        /// Whether one of the limits is lower than before; that it was refused is no news otherwise.
        lowered: bool,
    },
    /// The store allows fewer changes than it is set to.
    StoreThrottled,
    /// All controllers understand a version of the cluster, which is in force from now on.
    ClusterVersionRaised { version: u32 },
    /// `workers.cancel_s` is too short for `workers.lease_s`: what cannot be reached is not gone in time by
    /// its lease alone.
    CancelTooShortForLease {
        /// `workers.cancel_s`, in microseconds.
        cancel: Micros,
        /// `workers.lease_s`, in microseconds.
        lease: Micros,
    },
}

/// How many requests were rejected for one reason; written `status:reason:count`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// Status of the HTTP answer.
    pub status: u16,
    pub reason: &'static str,
    pub count: u32,
}

/// A machine that is returned; written `machine:reason`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedMachine {
    pub machine: String,
    /// None if it never came up.
    pub reason: Option<ScaleInReason>,
}

impl LogEvent {
    /// The record under a key cannot be understood.
    pub(crate) fn unreadable(key: &str) -> Self {
        LogEvent::UnreadableRecord { key: key.to_owned() }
    }

    /// How much the event matters.
    pub fn level(&self) -> LogLevel {
        match self {
            LogEvent::UnreadableRecord { .. }
            | LogEvent::TransactionTooLarge { lowered: true, .. }
            | LogEvent::StoreThrottled
            | LogEvent::CancelTooShortForLease { .. } => LogLevel::Error,
            LogEvent::TaskRunning { .. } | LogEvent::TransactionTooLarge { lowered: false, .. } => {
                LogLevel::Debug
            }
            LogEvent::PartitionAcquired { .. }
            | LogEvent::PartitionLost { .. }
            | LogEvent::PartitionLostUnnoticed { .. }
            | LogEvent::PartitionHandedBack { .. }
            | LogEvent::LeaseLost { .. }
            | LogEvent::RecoveryCompleted { .. }
            | LogEvent::StoreUnreachable { .. }
            | LogEvent::StoreReachable { .. }
            | LogEvent::IsolatedFromStore
            | LogEvent::WorkersUnreachable { .. }
            | LogEvent::WorkersReachable
            | LogEvent::RequestsRejected { .. }
            | LogEvent::MachinesRequested { .. }
            | LogEvent::NoCapacity { .. }
            | LogEvent::MachinesLate { .. }
            | LogEvent::MachinesReturned { .. }
            | LogEvent::TasksPreempted { .. }
            | LogEvent::TasksStolen { .. }
            | LogEvent::JobFailsEverywhere { .. }
            | LogEvent::ClusterVersionRaised { .. } => LogLevel::Info,
        }
    }

    /// Name of the event, by which logs are searched.
    pub fn name(&self) -> &'static str {
        match self {
            LogEvent::PartitionAcquired { .. } => "partition_acquired",
            LogEvent::PartitionLost { .. } => "partition_lost",
            LogEvent::PartitionLostUnnoticed { .. } => "partition_lost_unnoticed",
            LogEvent::PartitionHandedBack { .. } => "partition_handed_back",
            LogEvent::LeaseLost { .. } => "lease_lost",
            LogEvent::RecoveryCompleted { .. } => "recovery_completed",
            LogEvent::StoreUnreachable { .. } => "store_unreachable",
            LogEvent::StoreReachable { .. } => "store_reachable",
            LogEvent::IsolatedFromStore => "isolated_from_store",
            LogEvent::WorkersUnreachable { .. } => "workers_unreachable",
            LogEvent::WorkersReachable => "workers_reachable",
            LogEvent::UnreadableRecord { .. } => "unreadable_record",
            LogEvent::RequestsRejected { .. } => "requests_rejected",
            LogEvent::MachinesRequested { .. } => "machines_requested",
            LogEvent::NoCapacity { .. } => "no_capacity",
            LogEvent::MachinesLate { .. } => "machines_late",
            LogEvent::MachinesReturned { .. } => "machines_returned",
            LogEvent::TasksPreempted { .. } => "tasks_preempted",
            LogEvent::TasksStolen { .. } => "tasks_stolen",
            LogEvent::TaskRunning { .. } => "task_running",
            LogEvent::JobFailsEverywhere { .. } => "job_fails_everywhere",
            LogEvent::TransactionTooLarge { .. } => "transaction_too_large",
            LogEvent::StoreThrottled => "store_throttled",
            LogEvent::ClusterVersionRaised { .. } => "cluster_version_raised",
            LogEvent::CancelTooShortForLease { .. } => "cancel_too_short_for_lease",
        }
    }
}

/// The fields alone, without level and name.
impl Display for LogEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let fields = Fields::new(f);
        let fields = match self {
            LogEvent::PartitionAcquired { partition, term }
            | LogEvent::PartitionLost { partition, term }
            | LogEvent::PartitionLostUnnoticed { partition, term }
            | LogEvent::PartitionHandedBack { partition, term }
            | LogEvent::WorkersUnreachable { partition, term } => {
                fields.field("partition", partition).field("term", term)
            }
            LogEvent::LeaseLost { partitions } => fields.field("partitions", partitions),
            LogEvent::RecoveryCompleted { partition, duration } => {
                fields.field("partition", partition).field("duration_ms", milliseconds(*duration))
            }
            LogEvent::StoreUnreachable { duration } | LogEvent::StoreReachable { duration } => {
                fields.field("duration_ms", milliseconds(*duration))
            }
            LogEvent::IsolatedFromStore | LogEvent::WorkersReachable | LogEvent::StoreThrottled => {
                fields
            }
            LogEvent::UnreadableRecord { key } => fields.field("key", key),
            LogEvent::RequestsRejected { counts } => {
                let count: u64 = counts.iter().map(|each| u64::from(each.count)).sum();
                fields.field("count", count).list("requests", counts)
            }
            LogEvent::MachinesRequested { partition, machine_type, zone, spot, count } => fields
                .field("partition", partition)
                .field("machine_type", machine_type)
                .field("zone", zone)
                .field("spot", spot)
                .field("count", count),
            LogEvent::NoCapacity { partition, machine_type, zone, spot } => fields
                .field("partition", partition)
                .field("machine_type", machine_type)
                .field("zone", zone)
                .field("spot", spot),
            LogEvent::MachinesLate { partition, late, awaited } => {
                fields.field("partition", partition).field("late", late).field("awaited", awaited)
            }
            LogEvent::MachinesReturned { partition, machines } => fields
                .field("partition", partition)
                .field("count", machines.len())
                .list("machines", machines),
            LogEvent::TasksPreempted { partition, machine, job, count } => fields
                .field("partition", partition)
                .field("machine", machine)
                .field("job", job)
                .field("count", count),
            LogEvent::TasksStolen { partition, jobs } => {
                fields.field("partition", partition).field("jobs", jobs)
            }
            LogEvent::TaskRunning {
                partition,
                job,
                task,
                machine,
                class,
                since_placement,
                since_submission,
            } => fields
                .field("partition", partition)
                .field("machine", machine)
                .field("job", job)
                .field("task", task)
                .field("class", class)
                .field("since_placement_ms", milliseconds(*since_placement))
                .field("since_submission_ms", milliseconds(*since_submission)),
            LogEvent::JobFailsEverywhere { partition, job } => {
                fields.field("partition", partition).field("job", job)
            }
            LogEvent::TransactionTooLarge {
                changes,
                value_bytes,
                changes_limit,
                value_bytes_limit,
                lowered: _,
            } => fields
                .field("changes", changes)
                .field("value_bytes", value_bytes)
                .field("changes_limit", changes_limit)
                .field("value_bytes_limit", value_bytes_limit),
            LogEvent::ClusterVersionRaised { version } => fields.field("version", version),
            LogEvent::CancelTooShortForLease { cancel, lease } => fields
                .field("setting", "workers.cancel_s")
                .field("cancel_ms", milliseconds(*cancel))
                .field("lease_ms", milliseconds(*lease)),
        };
        fields.finish()
    }
}

impl Display for RejectionCount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.status, self.reason, self.count)
    }
}

impl Display for ReturnedMachine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.reason {
            Some(reason) => write!(f, "{}:{reason}", self.machine),
            None => write!(f, "{}:never_came_up", self.machine),
        }
    }
}

fn milliseconds(span: Micros) -> Micros {
    span / MICROS_PER_MILLISECOND
}

#[cfg(test)]
mod tests;
