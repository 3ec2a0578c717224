//! The core's log events for operators.
//!
//! Each event has a level, a name in snake case and fields. The `Display` implementation of
//! [`LogEvent`] writes the fields as `key=value` pairs in a fixed order; the program writes an
//! event as one line and adds nothing to it.
//!
//! The field `count` is the number of things that the event's name refers to. Durations are written
//! in milliseconds under keys that end in `_ms`.

mod details;

use std::fmt::{self, Display, Formatter};

use quartzlever_wire::Micros;
use quartzlever_wire::fields::Fields;
use quartzlever_wire::workers::WorkerCommands;

use crate::calls::AttemptKey;
use crate::leadership::authority::Refusal;

pub use details::{
    DirectCallResult, Invariant, InvariantViolation, RejectionCount, TerminatedMachine,
};

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The importance of an event, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Requires the attention of an operator.
    Error,
    /// Needed to follow what the process does.
    Info,
    /// Concerns a single task, or repeats what was already logged.
    Debug,
}

/// A log event.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This process has become the leader of a partition, and reads its jobs and machines next.
    PartitionAcquired {
        partition: String,
        /// Revision of the acquisition, which increases with each new leader.
        term: u64,
    },
    /// A partition's key was deleted in the store or written by another process.
    PartitionLost { partition: String, term: u64 },
    /// A partition was lost by a change that the watch missed and a listing revealed.
    PartitionLostUnnoticed { partition: String, term: u64 },
    /// This process releases a partition voluntarily.
    PartitionHandedBack { partition: String, term: u64 },
    /// The lease of this process has ended, and all its partitions are lost with it.
    LeaseLost {
        /// Number of partitions that this process led.
        partitions: usize,
    },
    /// Every machine of a partition is verified, so that none can run an attempt of an earlier
    /// leader that this process does not know of.
    RecoveryCompleted {
        partition: String,
        /// Time since the acquisition, in microseconds.
        duration: Micros,
    },
    /// The store has not answered for some time.
    StoreUnreachable {
        /// Time without an answer so far, in microseconds.
        duration: Micros,
    },
    /// The store answers again after [`LogEvent::StoreUnreachable`].
    StoreReachable {
        /// Time without an answer, in microseconds.
        duration: Micros,
    },
    /// A peer reaches the store while this process does not.
    IsolatedFromStore,
    /// A peer receives heartbeats of a partition's workers and this process does not, so the
    /// partition is handed back.
    WorkersUnreachable { partition: String, term: u64 },
    /// A worker was reached again after [`LogEvent::WorkersUnreachable`].
    WorkersReachable,
    /// A record in the store cannot be parsed; it is left unchanged.
    UnreadableRecord { key: String },
    /// Requests have been rejected since the last event of this kind.
    RequestsRejected { counts: Vec<RejectionCount> },
    /// Machines are requested from the cloud.
    MachinesRequested {
        partition: String,
        machine_type: String,
        zone: String,
        /// Whether they are spot instances, which the cloud may reclaim.
        spot: bool,
        count: u32,
    },
    /// The cloud has no capacity for a machine type in a zone.
    NoCapacity { partition: String, machine_type: String, zone: String, spot: bool },
    /// Requested machines take longer than usual to start; `late` is 0 once none is late any more.
    MachinesLate {
        partition: String,
        late: usize,
        /// Number of pending machines, including the late ones.
        pending: usize,
    },
    /// A worker's lease is no longer renewed: an attempt of a job that ended long ago may still
    /// start on its machine, and the expiry of the lease prevents that.
    RenewalRefused {
        partition: String,
        term: u64,
        /// Age of the view of the jobs, in microseconds.
        view_age: Micros,
        machine: String,
        attempt: AttemptKey,
        /// Longest possible time since the end of the attempt's job, in microseconds.
        since_end: Micros,
    },
    /// A worker's lease is renewed again after [`LogEvent::RenewalRefused`].
    RenewalResumed { partition: String, term: u64, machine: String },
    /// Machines are terminated.
    MachinesTerminated { partition: String, machines: Vec<TerminatedMachine> },
    /// Tasks on a machine are preempted for tasks of a more urgent job.
    TasksPreempted {
        partition: String,
        machine: String,
        /// The job that gets the capacity.
        job: String,
        count: usize,
    },
    /// Tasks of a partition were stolen by another partition.
    TasksStolen {
        partition: String,
        /// Number of jobs that the tasks belong to.
        jobs: usize,
    },
    /// Commands are sent to a worker by a direct call.
    DirectCallSent { partition: String, machine: String, message: WorkerCommands },
    /// A direct call to a worker has ended.
    DirectCallEnded {
        partition: String,
        machine: String,
        result: DirectCallResult,
        /// Fencing token and incarnation of the worker, if it replied.
        worker: Option<(u64, u64)>,
        /// The attempts whose `run` the call carried.
        run_attempts: Vec<AttemptKey>,
    },
    /// A worker reported a task as running.
    TaskRunning {
        partition: String,
        job: String,
        /// Index of the task in its job.
        task: u32,
        machine: String,
        /// Class of the job, which groups jobs with similar run times.
        class: String,
        /// Time since the placement, in microseconds.
        since_placement: Micros,
        /// Time since the submission of the job, in microseconds.
        since_submission: Micros,
    },
    /// A job fails on every machine that it is tried on. Unless it is a service, it runs one task
    /// at a time until an attempt outlasts the failed ones.
    JobFailsEverywhere { partition: String, job: String },
    /// The store has refused a transaction because of its size.
    TransactionTooLarge {
        /// Number of changes in the transaction.
        changes: usize,
        /// Size of the transaction's largest value, in bytes.
        value_bytes: usize,
        /// Maximum number of changes in a transaction from now on.
        changes_limit: usize,
        /// Maximum size of a value from now on, in bytes.
        value_bytes_limit: usize,
        /// Whether the refusal lowered one of the limits; otherwise it repeats what was already
        /// logged.
        lowered: bool,
    },
    /// The store accepts fewer changes per second than the settings say.
    StoreThrottled,
    /// All controllers understand a new cluster version, which is in force from now on.
    ClusterVersionRaised { version: u32 },
    /// This process may no longer act for its partitions.
    AuthorityLost {
        reason: Refusal,
        /// Number of partitions that this process leads.
        partitions: usize,
        /// Age of the view of the jobs, in microseconds.
        view_age: Micros,
    },
    /// This process may act again, or for the first time.
    AuthorityGained { partitions: usize, view_age: Micros },
    /// This process has committed the cancellation of a job and confirmed it to a user.
    CancellationCommitted { job: String },
    /// A leader learned that a job has ended while attempts of it may run on machines.
    EndedJobSeen {
        partition: String,
        term: u64,
        job: String,
        /// Number of attempts that have to end.
        attempts: usize,
        /// Longest possible time since the end of the job, in microseconds.
        since_end: Micros,
    },
    /// The cloud has not confirmed the termination of machines, which is requested again.
    TerminationFailed { partition: String, count: usize },
    /// Something happened that must never happen; a fault of the program.
    InvariantViolated(Box<InvariantViolation>),
    /// `workers.cancel_s` is too short for `workers.lease_s`: lease expiry alone does not end the
    /// tasks on unreachable machines in time.
    CancelTooShortForLease {
        /// `workers.cancel_s`, in microseconds.
        cancel: Micros,
        /// `workers.lease_s`, in microseconds.
        lease: Micros,
    },
}

impl LogEvent {
    /// Creates the event for a record that cannot be parsed.
    pub(crate) fn unreadable(key: &str) -> Self {
        LogEvent::UnreadableRecord { key: key.to_owned() }
    }

    /// Returns the level of the event.
    pub fn level(&self) -> LogLevel {
        match self {
            LogEvent::UnreadableRecord { .. }
            | LogEvent::TransactionTooLarge { lowered: true, .. }
            | LogEvent::StoreThrottled
            | LogEvent::InvariantViolated(_)
            | LogEvent::CancelTooShortForLease { .. } => LogLevel::Error,
            LogEvent::TaskRunning { .. }
            | LogEvent::DirectCallSent { .. }
            | LogEvent::DirectCallEnded { .. }
            | LogEvent::TransactionTooLarge { lowered: false, .. } => LogLevel::Debug,
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
            | LogEvent::RenewalRefused { .. }
            | LogEvent::RenewalResumed { .. }
            | LogEvent::AuthorityLost { .. }
            | LogEvent::AuthorityGained { .. }
            | LogEvent::CancellationCommitted { .. }
            | LogEvent::EndedJobSeen { .. }
            | LogEvent::TerminationFailed { .. }
            | LogEvent::MachinesTerminated { .. }
            | LogEvent::TasksPreempted { .. }
            | LogEvent::TasksStolen { .. }
            | LogEvent::JobFailsEverywhere { .. }
            | LogEvent::ClusterVersionRaised { .. } => LogLevel::Info,
        }
    }

    /// Returns the name of the event, by which operators search the log.
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
            LogEvent::RenewalRefused { .. } => "renewal_refused",
            LogEvent::RenewalResumed { .. } => "renewal_resumed",
            LogEvent::MachinesTerminated { .. } => "machines_returned",
            LogEvent::TasksPreempted { .. } => "tasks_preempted",
            LogEvent::TasksStolen { .. } => "tasks_stolen",
            LogEvent::DirectCallSent { .. } => "direct_call_sent",
            LogEvent::DirectCallEnded { .. } => "direct_call_ended",
            LogEvent::TaskRunning { .. } => "task_running",
            LogEvent::JobFailsEverywhere { .. } => "job_fails_everywhere",
            LogEvent::TransactionTooLarge { .. } => "transaction_too_large",
            LogEvent::StoreThrottled => "store_throttled",
            LogEvent::ClusterVersionRaised { .. } => "cluster_version_raised",
            LogEvent::AuthorityLost { .. } => "authority_lost",
            LogEvent::AuthorityGained { .. } => "authority_gained",
            LogEvent::CancellationCommitted { .. } => "cancellation_committed",
            LogEvent::EndedJobSeen { .. } => "ended_job_seen",
            LogEvent::TerminationFailed { .. } => "termination_failed",
            LogEvent::InvariantViolated(_) => "invariant_violated",
            LogEvent::CancelTooShortForLease { .. } => "cancel_too_short_for_lease",
        }
    }
}

/// Writes the fields only, without the level and the name.
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
                let count: u64 = counts.iter().map(|rejected| u64::from(rejected.count)).sum();
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
            LogEvent::MachinesLate { partition, late, pending } => {
                fields.field("partition", partition).field("late", late).field("awaited", pending)
            }
            LogEvent::RenewalRefused { partition, term, view_age, machine, attempt, since_end } => {
                fields
                    .field("partition", partition)
                    .field("term", term)
                    .field("view_age_ms", milliseconds(*view_age))
                    .field("machine", machine)
                    .field("job", &attempt.task.job)
                    .field("task", attempt.task.index)
                    .field("attempt", attempt.attempt)
                    .field("since_end_ms", milliseconds(*since_end))
            }
            LogEvent::RenewalResumed { partition, term, machine } => {
                fields.field("partition", partition).field("term", term).field("machine", machine)
            }
            LogEvent::MachinesTerminated { partition, machines } => fields
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
            LogEvent::DirectCallSent { partition, machine, message } => fields
                .field("partition", partition)
                .field("machine", machine)
                .field("token", message.fencing_token)
                .field("session", message.incarnation.unwrap_or(0))
                .field("count", message.commands.len())
                .list("commands", details::short_forms(&message.commands)),
            LogEvent::DirectCallEnded { partition, machine, result, worker, run_attempts } => {
                let fields = fields
                    .field("partition", partition)
                    .field("machine", machine)
                    .field("outcome", result);
                let fields = match worker {
                    Some((fencing_token, incarnation)) => {
                        fields.field("token", fencing_token).field("session", incarnation)
                    }
                    None => fields,
                };
                let started = |key: &AttemptKey| format!("{}:{}", key.task, key.attempt);
                let attempts: Vec<String> = run_attempts.iter().map(started).collect();
                fields.list("attempts", &attempts)
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
            LogEvent::AuthorityLost { reason, partitions, view_age } => fields
                .field("reason", reason)
                .field("partitions", partitions)
                .field("view_age_ms", milliseconds(*view_age)),
            LogEvent::AuthorityGained { partitions, view_age } => {
                fields.field("partitions", partitions).field("view_age_ms", milliseconds(*view_age))
            }
            LogEvent::CancellationCommitted { job } => fields.field("job", job),
            LogEvent::EndedJobSeen { partition, term, job, attempts, since_end } => fields
                .field("partition", partition)
                .field("term", term)
                .field("job", job)
                .field("attempts", attempts)
                .field("since_end_ms", milliseconds(*since_end)),
            LogEvent::TerminationFailed { partition, count } => {
                fields.field("partition", partition).field("count", count)
            }
            LogEvent::InvariantViolated(violation) => {
                let fields = fields
                    .field("invariant", violation.invariant)
                    .field("partition", &violation.partition)
                    .field("term", violation.term)
                    .field("view_age_ms", milliseconds(violation.view_age))
                    .field("machine", &violation.machine);
                let fields = match &violation.attempt {
                    Some(AttemptKey { task, attempt }) => fields
                        .field("job", &task.job)
                        .field("task", task.index)
                        .field("attempt", attempt),
                    None => fields,
                };
                fields.field("since_ms", milliseconds(violation.since.unwrap_or(0)))
            }
            LogEvent::CancelTooShortForLease { cancel, lease } => fields
                .field("setting", "workers.cancel_s")
                .field("cancel_ms", milliseconds(*cancel))
                .field("lease_ms", milliseconds(*lease)),
        };
        fields.finish()
    }
}

fn milliseconds(duration: Micros) -> Micros {
    duration / MICROS_PER_MILLISECOND
}

#[cfg(test)]
mod tests;
