//! Tests of the names, levels and fields of the events.

use quartzlever_wire::workers::{TaskId, WorkerCommand};

use super::*;
use crate::autoscaling::ScaleInReason;

/// Checks the level of each event and its name and fields as they appear in the log.
#[test]
fn each_event_has_one_form() {
    let (partition, job, machine) = ("one".to_owned(), "req-1".to_owned(), "n-1".to_owned());
    let (machine_type, zone) = ("large".to_owned(), "z-1".to_owned());
    let term = 5;
    let attempt_key =
        AttemptKey { task: TaskId { job: job.clone(), index: 3 }, attempt: 20_971_521 };
    let duration = 4_200_999;
    for (event, level, line) in [
        (
            LogEvent::PartitionAcquired { partition: partition.clone(), term },
            LogLevel::Info,
            "partition_acquired partition=one term=5",
        ),
        (
            LogEvent::PartitionLost { partition: partition.clone(), term },
            LogLevel::Info,
            "partition_lost partition=one term=5",
        ),
        (
            LogEvent::PartitionLostUnnoticed { partition: partition.clone(), term },
            LogLevel::Info,
            "partition_lost_unnoticed partition=one term=5",
        ),
        (
            LogEvent::PartitionHandedBack { partition: partition.clone(), term },
            LogLevel::Info,
            "partition_handed_back partition=one term=5",
        ),
        (LogEvent::LeaseLost { partitions: 2 }, LogLevel::Info, "lease_lost partitions=2"),
        (
            LogEvent::RecoveryCompleted { partition: partition.clone(), duration },
            LogLevel::Info,
            "recovery_completed partition=one duration_ms=4200",
        ),
        (
            LogEvent::StoreUnreachable { duration },
            LogLevel::Info,
            "store_unreachable duration_ms=4200",
        ),
        (LogEvent::StoreReachable { duration }, LogLevel::Info, "store_reachable duration_ms=4200"),
        (LogEvent::IsolatedFromStore, LogLevel::Info, "isolated_from_store "),
        (
            LogEvent::WorkersUnreachable { partition: partition.clone(), term },
            LogLevel::Info,
            "workers_unreachable partition=one term=5",
        ),
        (LogEvent::WorkersReachable, LogLevel::Info, "workers_reachable "),
        (
            LogEvent::UnreadableRecord { key: "live/req-1".into() },
            LogLevel::Error,
            "unreadable_record key=live/req-1",
        ),
        (
            LogEvent::DirectCallSent {
                partition: partition.clone(),
                machine: machine.clone(),
                message: WorkerCommands {
                    fencing_token: 9,
                    incarnation: Some(2),
                    commands: vec![
                        WorkerCommand::Clear {
                            task: TaskId { job: job.clone(), index: 1 },
                            attempt: 20_971_520,
                        },
                        WorkerCommand::Run {
                            task: attempt_key.task.clone(),
                            attempt: attempt_key.attempt,
                        },
                    ],
                },
            },
            LogLevel::Debug,
            "direct_call_sent partition=one machine=n-1 token=9 session=2 count=2 \
             commands=clear:req-1/1:20971520,run:req-1/3:20971521",
        ),
        (
            LogEvent::DirectCallEnded {
                partition: partition.clone(),
                machine: machine.clone(),
                result: DirectCallResult::Refused,
                worker: Some((11, 2)),
                run_attempts: vec![attempt_key.clone()],
            },
            LogLevel::Debug,
            "direct_call_ended partition=one machine=n-1 outcome=refused token=11 session=2 \
             attempts=req-1/3:20971521",
        ),
        (
            LogEvent::DirectCallEnded {
                partition: partition.clone(),
                machine: machine.clone(),
                result: DirectCallResult::Unknown,
                worker: None,
                run_attempts: vec![attempt_key.clone()],
            },
            LogLevel::Debug,
            "direct_call_ended partition=one machine=n-1 outcome=unknown \
             attempts=req-1/3:20971521",
        ),
        (
            LogEvent::RequestsRejected {
                counts: vec![
                    RejectionCount { status: 429, reason: "busy", count: 8 },
                    RejectionCount { status: 503, reason: "no answer", count: 3 },
                ],
            },
            LogLevel::Info,
            "requests_rejected count=11 requests=\"429:busy:8,503:no answer:3\"",
        ),
        (
            LogEvent::MachinesRequested {
                partition: partition.clone(),
                machine_type: machine_type.clone(),
                zone: zone.clone(),
                spot: true,
                count: 3,
            },
            LogLevel::Info,
            "machines_requested partition=one machine_type=large zone=z-1 spot=true count=3",
        ),
        (
            LogEvent::NoCapacity { partition: partition.clone(), machine_type, zone, spot: false },
            LogLevel::Info,
            "no_capacity partition=one machine_type=large zone=z-1 spot=false",
        ),
        (
            LogEvent::MachinesLate { partition: partition.clone(), late: 2, pending: 5 },
            LogLevel::Info,
            "machines_late partition=one late=2 awaited=5",
        ),
        (
            LogEvent::RenewalRefused {
                partition: partition.clone(),
                term,
                view_age: duration,
                machine: machine.clone(),
                attempt: attempt_key.clone(),
                since_end: 27_000_999,
            },
            LogLevel::Info,
            "renewal_refused partition=one term=5 view_age_ms=4200 machine=n-1 job=req-1 task=3 \
             attempt=20971521 since_end_ms=27000",
        ),
        (
            LogEvent::RenewalResumed {
                partition: partition.clone(),
                term,
                machine: machine.clone(),
            },
            LogLevel::Info,
            "renewal_resumed partition=one term=5 machine=n-1",
        ),
        (
            LogEvent::AuthorityLost {
                reason: Refusal::ViewTooOld { age: duration },
                partitions: 2,
                view_age: duration,
            },
            LogLevel::Info,
            "authority_lost reason=view_too_old partitions=2 view_age_ms=4200",
        ),
        (
            LogEvent::AuthorityGained { partitions: 0, view_age: 99_999 },
            LogLevel::Info,
            "authority_gained partitions=0 view_age_ms=99",
        ),
        (
            LogEvent::CancellationCommitted { job: job.clone() },
            LogLevel::Info,
            "cancellation_committed job=req-1",
        ),
        (
            LogEvent::EndedJobSeen {
                partition: partition.clone(),
                term,
                job: job.clone(),
                attempts: 7,
                since_end: duration,
            },
            LogLevel::Info,
            "ended_job_seen partition=one term=5 job=req-1 attempts=7 since_end_ms=4200",
        ),
        (
            LogEvent::TerminationFailed { partition: partition.clone(), count: 3 },
            LogLevel::Info,
            "termination_failed partition=one count=3",
        ),
        (
            LogEvent::InvariantViolated(Box::new(InvariantViolation {
                invariant: Invariant::NoRunOfEndedJob,
                partition: partition.clone(),
                term,
                view_age: duration,
                machine: machine.clone(),
                attempt: Some(attempt_key.clone()),
                since: Some(duration),
            })),
            LogLevel::Error,
            "invariant_violated invariant=no_run_of_ended_job partition=one term=5 \
             view_age_ms=4200 machine=n-1 job=req-1 task=3 attempt=20971521 since_ms=4200",
        ),
        (
            LogEvent::InvariantViolated(Box::new(InvariantViolation {
                invariant: Invariant::NoMachineMissing,
                partition: partition.clone(),
                term,
                view_age: duration,
                machine: machine.clone(),
                attempt: None,
                since: Some(duration),
            })),
            LogLevel::Error,
            "invariant_violated invariant=no_machine_missing partition=one term=5 \
             view_age_ms=4200 machine=n-1 since_ms=4200",
        ),
        (
            LogEvent::MachinesTerminated {
                partition: partition.clone(),
                machines: vec![
                    TerminatedMachine { machine: "n-1".into(), reason: None },
                    TerminatedMachine { machine: "n-2".into(), reason: Some(ScaleInReason::Idle) },
                ],
            },
            LogLevel::Info,
            "machines_returned partition=one count=2 machines=n-1:never_came_up,n-2:idle",
        ),
        (
            LogEvent::TasksPreempted {
                partition: partition.clone(),
                machine: machine.clone(),
                job: job.clone(),
                count: 2,
            },
            LogLevel::Info,
            "tasks_preempted partition=one machine=n-1 job=req-1 count=2",
        ),
        (
            LogEvent::TasksStolen { partition: partition.clone(), jobs: 2 },
            LogLevel::Info,
            "tasks_stolen partition=one jobs=2",
        ),
        (
            LogEvent::TaskRunning {
                partition: partition.clone(),
                job: job.clone(),
                task: 3,
                machine,
                class: "a class".into(),
                since_placement: 1_000,
                since_submission: 2_500,
            },
            LogLevel::Debug,
            "task_running partition=one machine=n-1 job=req-1 task=3 class=\"a class\" \
             since_placement_ms=1 since_submission_ms=2",
        ),
        (
            LogEvent::JobFailsEverywhere { partition, job },
            LogLevel::Info,
            "job_fails_everywhere partition=one job=req-1",
        ),
        (transaction_too_large(true), LogLevel::Error, TRANSACTION_TOO_LARGE),
        (transaction_too_large(false), LogLevel::Debug, TRANSACTION_TOO_LARGE),
        (LogEvent::StoreThrottled, LogLevel::Error, "store_throttled "),
        (
            LogEvent::ClusterVersionRaised { version: 2 },
            LogLevel::Info,
            "cluster_version_raised version=2",
        ),
        (
            LogEvent::CancelTooShortForLease { cancel: 30_000_000, lease: 60_000_000 },
            LogLevel::Error,
            "cancel_too_short_for_lease setting=workers.cancel_s cancel_ms=30000 lease_ms=60000",
        ),
    ] {
        assert_eq!((event.level(), format!("{} {event}", event.name())), (level, line.to_owned()));
    }
}

const TRANSACTION_TOO_LARGE: &str = "transaction_too_large changes=9 value_bytes=4096 \
                                     changes_limit=8 value_bytes_limit=3072";

fn transaction_too_large(lowered: bool) -> LogEvent {
    LogEvent::TransactionTooLarge {
        changes: 9,
        value_bytes: 4096,
        changes_limit: 8,
        value_bytes_limit: 3072,
        lowered,
    }
}
