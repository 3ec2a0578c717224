//! The form of a line.

use quartzlever_core::LogEvent;

use super::*;

#[test]
fn a_line_is_a_name_and_its_fields() {
    for (event, line) in [
        (
            LogEvent::PartitionAcquired { partition: "one".into(), term: 5 },
            "partition_acquired partition=one term=5",
        ),
        (LogEvent::WorkersReachable, "workers_reachable"),
    ] {
        assert_eq!(Line { name: event.name(), fields: &event }.to_string(), line);
    }
}
