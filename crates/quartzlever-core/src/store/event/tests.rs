//! How records and deletions are classified.

use super::*;
use crate::testing::{JobPhase, MachineRecords, job_record, machine_record_of};
use quartzlever_wire::Json;

/// Returns the variant name of the event from a watch, or an empty string if it has no effect.
fn kind(event: Event, cache: &Cache, terminal_jobs: &TerminalJobs) -> String {
    let event = StoreEvent::from_watch(event, 8, cache, terminal_jobs);
    let text = event.map_or(String::new(), |event| format!("{event:?}"));
    text.chars().take_while(|c| c.is_alphabetic()).collect()
}

fn applied_records() -> (Cache, TerminalJobs) {
    let (mut cache, mut terminal_jobs) = (Cache::default(), TerminalJobs::default());
    cache.record_active_job(job_record("0-3", ""), 10);
    let machines = MachineRecords::from([("a-1".to_owned(), machine_record_of("a-1", "one"))]);
    cache.record_group("hosts/a", machines, 10);
    terminal_jobs.insert("req-3", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    (cache, terminal_jobs)
}

#[test]
fn a_write_is_classified_by_its_key_and_skipped_if_already_applied() {
    let (cache, terminal_jobs) = applied_records();
    let terminal = Json::of(&TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    let leader = Json::of(&PartitionRecord { node: "one".into(), process: 1 });
    let unreadable = Json::of(&"no record");
    for (key, value, mod_revision, expected) in [
        ("parts/one", &leader, 9, "Partition"),
        ("parts/one", &unreadable, 9, ""),
        ("parts/one", &leader, 8, ""),
        ("hosts/a", &unreadable, 10, ""),
        ("hosts/a", &unreadable, 11, "MachineGroup"),
        ("hosts/b", &unreadable, 9, "MachineGroup"),
        ("live/req-1", &unreadable, 10, ""),
        ("live/req-1", &unreadable, 11, "Job"),
        ("live/req-2", &unreadable, 9, "Job"),
        ("live/req-3", &unreadable, 11, ""),
        ("over/req-3", &terminal, 11, ""),
        ("over/req-2", &terminal, 11, "JobTerminated"),
        ("over/req-2", &unreadable, 11, "UnreadableFinalState"),
        ("cluster/version", &unreadable, 9, "Cluster"),
        ("unknown/one", &unreadable, 9, ""),
    ] {
        let event = Event::Write { write: key.into(), v: value.clone(), mod_revision };
        assert_eq!(kind(event, &cache, &terminal_jobs), expected, "{key} {mod_revision}");
    }
    for (prefix, expected) in [(PAGE_PREFIX, "Page"), (MACHINES_SEEN_PREFIX, "MachinesSeen")] {
        let event =
            Event::Write { write: format!("{prefix}one"), v: unreadable.clone(), mod_revision: 9 };
        assert_eq!(kind(event, &cache, &terminal_jobs), expected, "{prefix}");
    }
}

#[test]
fn a_deletion_is_classified_by_its_key() {
    let (cache, terminal_jobs) = applied_records();
    for (key, mod_revision, expected) in [
        ("parts/one".to_owned(), 9, "PartitionDeleted"),
        ("parts/one".to_owned(), 8, ""),
        (format!("{PAGE_PREFIX}req-1/0"), 9, "PageDeleted"),
        (format!("{CLUSTER_PREFIX}nodes/one"), 9, "ClusterDeleted"),
        ("hosts/a".to_owned(), 9, "MachineGroupDeleted"),
        ("live/req-1".to_owned(), 9, "JobDeleted"),
        ("over/req-1".to_owned(), 9, ""),
    ] {
        let event = Event::Delete { delete: key.clone(), mod_revision };
        assert_eq!(kind(event, &cache, &terminal_jobs), expected, "{key} {mod_revision}");
    }
}

/// Listed records are never skipped as already applied.
#[test]
fn a_listed_record_is_classified_by_its_section() {
    let entry = |key: &str| KeyValue {
        key: key.into(),
        value: Json::of(&PartitionRecord { node: "one".into(), process: 1 }),
        mod_revision: 3,
        lease_id: None,
    };
    for (section, key, expected) in [
        (Section::Partitions, "parts/one", "Partition"),
        (Section::Machines, "hosts/a", "MachineGroup"),
        (Section::Jobs, "live/req-1", "Job"),
        (Section::Pages, "pages/req-1/0", "Page"),
        (Section::Cluster, "cluster/version", "Cluster"),
    ] {
        let event = StoreEvent::from_listing(section, entry(key));
        let text = format!("{event:?}");
        assert!(text.starts_with(&format!("Some({expected}")), "{section:?}: {text}");
    }
    let listed = StoreEvent::from_listing(Section::Machines, entry("hosts/a"));
    assert!(matches!(listed, Some(StoreEvent::MachineGroup { is_change: false, .. })));
}
