//! Tests of the form of log lines.

use quartzlever_core::{Activity, LogEvent};

use super::*;

#[test]
fn a_log_line_is_the_event_name_and_its_fields() {
    for (event, line) in [
        (
            LogEvent::PartitionAcquired { partition: "one".into(), term: 5 },
            "partition_acquired partition=one term=5",
        ),
        (LogEvent::WorkersReachable, "workers_reachable"),
    ] {
        assert_eq!(LogLine { name: event.name(), fields: &event }.to_string(), line);
    }
}

/// Guards the levels and texts of the program's events, which operators match.
#[test]
fn each_event_has_a_fixed_level_name_and_fields() {
    let error = io::Error::other("no port");
    let times = WriteTimes { count: 9, median: 80, p99: 900, longest: 1_200 };
    let address = SocketAddr::from(([127, 0, 0, 1], 8_080));
    for (event, level, line) in [
        (
            ProgramEvent::ApiServed { node: "one", address },
            LogLevel::Info,
            "api_served node=one address=127.0.0.1:8080",
        ),
        (
            ProgramEvent::CannotRun { reason: &error },
            LogLevel::Error,
            "cannot_run reason=\"no port\"",
        ),
        (
            ProgramEvent::ProcessEnded { reason: "too old" },
            LogLevel::Error,
            "process_ended reason=\"too old\"",
        ),
        (
            ProgramEvent::ProcessStalled { duration: Duration::from_micros(4_200_900) },
            LogLevel::Info,
            "process_stalled duration_ms=4200",
        ),
        (
            ProgramEvent::StepSlow {
                duration: Duration::from_millis(1_500),
                is_running: true,
                work: WorkSummary {
                    current: Activity::Placement,
                    units: vec![(Activity::Heartbeats, 2), (Activity::Placement, 30)],
                },
            },
            LogLevel::Info,
            "step_slow duration_ms=1500 running=true activity=placement work=heartbeats:2,placement:30",
        ),
        (
            ProgramEvent::StoreDataLost { loss: &Loss::IdentityGone },
            LogLevel::Error,
            "store_data_lost reason=\"the identity of the records is gone\"",
        ),
        (
            ProgramEvent::CannotRestart { reason: "denied".into() },
            LogLevel::Error,
            "cannot_restart reason=denied",
        ),
        (
            ProgramEvent::RecoveryFileUnusable { reason: "snapshot 3: corrupt" },
            LogLevel::Error,
            "recovery_file_unusable reason=\"snapshot 3: corrupt\"",
        ),
        (
            ProgramEvent::RecoveryLogUnprotected { reason: "disk full".into() },
            LogLevel::Error,
            "recovery_log_unprotected reason=\"disk full\"",
        ),
        (ProgramEvent::RecoveryLogProtected, LogLevel::Info, "recovery_log_protected"),
        (ProgramEvent::RecoveryMarkNotRemoved, LogLevel::Error, "recovery_mark_not_removed"),
        (
            ProgramEvent::RecoveryLogWrites { times },
            LogLevel::Info,
            "recovery_log_writes count=9 median_us=80 p99_us=900 longest_us=1200",
        ),
        (ProgramEvent::FinalStatesWritten, LogLevel::Info, "final_states_written"),
    ] {
        let text = LogLine { name: event.name(), fields: &event }.to_string();
        assert_eq!((event.level(), text), (level, line.to_owned()));
    }
}
