//! Which records are read, and as what.

use super::*;
use crate::testing::{JobPhase, MachineRecords, machine_record_of, record};
use quartzlever_wire::Json;

/// The kind of what a watch tells, if it is news.
fn kind(event: Event, cache: &Cache, terminal_jobs: &TerminalJobs) -> String {
    let event = StoreEvent::watched(event, 8, cache, terminal_jobs);
    let text = event.map_or(String::new(), |event| format!("{event:?}"));
    text.chars().take_while(|c| c.is_alphabetic()).collect()
}

fn known() -> (Cache, TerminalJobs) {
    let (mut cache, mut terminal_jobs) = (Cache::default(), TerminalJobs::default());
    cache.record_active_job(record("0-3", ""), 10);
    let machines = MachineRecords::from([("a-1".to_owned(), machine_record_of("a-1", "one"))]);
    cache.record_group("hosts/a", machines, 10);
    terminal_jobs.put("req-3", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    (cache, terminal_jobs)
}

#[test]
fn a_record_is_read_once_as_what_its_key_says() {
    let (cache, terminal_jobs) = known();
    let over = Json::of(&TerminalJobRecord { phase: JobPhase::Done, done: 4 });
    let leader = Json::of(&PartitionRecord { node: "one".into(), process: 1 });
    let any = Json::of(&"no record");
    for (key, value, mod_revision, expected) in [
        ("parts/one", &leader, 9, "Partition"),
        ("parts/one", &any, 9, ""),
        ("parts/one", &leader, 8, ""),
        ("hosts/a", &any, 10, ""),
        ("hosts/a", &any, 11, "MachineGroup"),
        ("hosts/b", &any, 9, "MachineGroup"),
        ("live/req-1", &any, 10, ""),
        ("live/req-1", &any, 11, "Job"),
        ("live/req-2", &any, 9, "Job"),
        ("live/req-3", &any, 11, ""),
        ("over/req-3", &over, 11, ""),
        ("over/req-2", &over, 11, "JobTerminated"),
        ("over/req-2", &any, 11, ""),
        ("cluster/version", &any, 9, "Cluster"),
        ("unknown/one", &any, 9, ""),
    ] {
        let event = Event::Write { write: key.into(), v: value.clone(), mod_revision };
        assert_eq!(kind(event, &cache, &terminal_jobs), expected, "{key} {mod_revision}");
    }
    for (prefix, expected) in [(PAGE_PREFIX, "Page"), (MACHINES_SEEN_PREFIX, "MachinesSeen")] {
        let event = Event::Write { write: format!("{prefix}one"), v: any.clone(), mod_revision: 9 };
        assert_eq!(kind(event, &cache, &terminal_jobs), expected, "{prefix}");
    }
}

#[test]
fn removals_are_told_as_of_the_kind_that_the_key_says() {
    let (cache, terminal_jobs) = known();
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

/// A listing shows what is there: nothing of it counts as known already.
#[test]
fn listed_records_are_told_by_their_section() {
    let entry = |path: &str| KeyValue {
        key: path.into(),
        value: Json::of(&PartitionRecord { node: "one".into(), process: 1 }),
        mod_revision: 3,
        lease_id: None,
    };
    for (section, path, expected) in [
        (Section::Partitions, "parts/one", "Partition"),
        (Section::Machines, "hosts/a", "MachineGroup"),
        (Section::Jobs, "live/req-1", "Job"),
        (Section::Pages, "pages/req-1/0", "Page"),
        (Section::Cluster, "cluster/version", "Cluster"),
    ] {
        let event = StoreEvent::listed(section, entry(path));
        let text = format!("{event:?}");
        assert!(text.starts_with(&format!("Some({expected}")), "{section:?}: {text}");
    }
    let listed = StoreEvent::listed(Section::Machines, entry("hosts/a"));
    assert!(matches!(listed, Some(StoreEvent::MachineGroup { is_change: false, .. })));
}
