//! Which records the cache accepts, and the age of its view.

use super::*;
use crate::testing::{NOW, job_record, machine_record_of};

/// Setters for the initial states of tests.
impl Cache {
    pub(crate) fn set_loaded(&mut self, loaded: bool) {
        self.loaded = loaded;
    }

    pub(crate) fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    pub(crate) fn set_view_as_of(&mut self, as_of: Micros) {
        self.view = View::default();
        self.view.record_listing(as_of);
    }
}

fn leader(node: &str) -> PartitionRecord {
    PartitionRecord { node: node.into(), process: 1 }
}

fn machines(names: &[&str]) -> MachineRecords {
    names.iter().map(|name| ((*name).to_owned(), machine_record_of(name, "one"))).collect()
}

#[test]
fn an_older_partition_record_does_not_replace_a_newer_one() {
    let mut cache = Cache::default();
    assert!(cache.record_partition("one", leader("one"), 5));
    assert!(!cache.record_partition("one", leader("two"), 4));
    assert!(cache.record_partition("one", leader("one"), 5));
    assert!(cache.record_partition("two", leader("one"), 6));
    assert_eq!(cache.leader_count(), 1);
    // A deletion removes records up to its revision, a release only the record of that revision.
    cache.remove_deleted_partition("one", 4);
    cache.partition_released("one", 6);
    assert_eq!(cache.partition("one").map(|leader| leader.mod_revision), Some(5));
    cache.partition_released("one", 5);
    cache.remove_deleted_partition("two", 7);
    assert!(cache.partitions().is_empty());
}

#[test]
fn an_older_job_record_does_not_replace_a_newer_one() {
    let mut cache = Cache::default();
    cache.record_unreadable_job("req-1");
    assert!(cache.is_active_job("req-1") && cache.active_job("req-1").is_none());
    cache.record_active_job(job_record("0-3", ""), 10);
    cache.record_active_job(job_record("", "0-3"), 9);
    cache.add_finished("req-1", &"1".parse().unwrap_or_default());
    let known = cache.active_job("req-1").map(|known| (known.mod_revision, &known.record));
    assert!(known.is_some_and(|(mod_revision, record)| {
        mod_revision == 10 && record.shares[0].tasks.len() == 4 && record.finished.len() == 1
    }));
    assert!(cache.is_active_job_known("req-1", 10) && !cache.is_active_job_known("req-1", 11));
    cache.remove_deleted_job("req-1", 9);
    assert!(cache.is_active_job("req-1"));
    cache.remove_deleted_job("req-1", 11);
    assert!(!cache.is_active_job("req-1"));
}

#[test]
fn a_group_update_returns_its_new_machines_and_an_older_one_is_ignored() {
    let mut cache = Cache::default();
    let new = |machines: Option<MachineRecords>| {
        machines.map(|machines| machines.into_keys().collect::<Vec<_>>().join(" "))
    };
    assert_eq!(
        new(cache.record_group("hosts/a", machines(&["a-1", "a-2"]), 5)),
        Some("a-1 a-2".into())
    );
    assert_eq!(new(cache.record_group("hosts/a", machines(&["a-9"]), 5)), None);
    assert!(cache.is_group_known("hosts/a", 5) && !cache.is_group_known("hosts/a", 6));
    assert_eq!(
        new(cache.record_group("hosts/a", machines(&["a-2", "a-3"]), 6)),
        Some("a-3".into())
    );
    assert!(!cache.is_claimed("a-1") && cache.is_claimed("a-3"));
    assert_eq!(cache.machines_of("one").count(), 2);
    assert_eq!(cache.group_of_machine("a-2").map(String::as_str), Some("hosts/a"));
    // A group without machines keeps its revision, on which the next write is conditional.
    assert_eq!(new(cache.record_group("hosts/a", MachineRecords::new(), 7)), Some(String::new()));
    assert!(cache.is_group_known("hosts/a", 7) && cache.machine_record("a-2").is_none());
}

/// The answer to a read that found no key may arrive after the watch has delivered a later write.
#[test]
fn a_group_that_is_newer_than_its_deletion_stays() {
    for (revision, removed) in [(0, false), (4, false), (5, true), (6, true)] {
        let mut cache = Cache::default();
        cache.record_group("hosts/a~4~0", machines(&["a-1"]), 5);
        cache.record_group("hosts/a~0", machines(&["a-1", "a-9"]), 5);
        cache.remove_deleted_group("hosts/a~0", revision);
        assert_eq!(cache.group("hosts/a~0").is_none(), removed, "{revision}");
        assert_eq!(cache.is_claimed("a-9"), !removed, "{revision}");
        let group = cache.group_of_machine("a-1").map(String::as_str);
        assert_eq!(group, Some("hosts/a~4~0"), "{revision}: claimed in the smaller group");
    }
}

/// A listing that begins at an earlier revision than a record neither contains the record nor shows
/// that it was deleted.
#[test]
fn a_listing_keeps_the_records_that_are_newer_than_its_first_page() {
    let mut cache = Cache::default();
    for (job, mod_revision) in [("req-1", 10), ("req-2", 11)] {
        let mut record = job_record("0-3", "");
        record.job.id = job.into();
        cache.record_active_job(record, mod_revision);
    }
    cache.record_partition("one", leader("one"), 10);
    cache.record_partition("two", leader("one"), 11);
    cache.record_group("hosts/a~4~0", machines(&["a-1"]), 10);
    cache.record_group("hosts/a~0", machines(&["a-8", "a-9"]), 11);
    cache.reset(10);
    assert!(!cache.is_active_job("req-1") && cache.is_active_job("req-2"));
    assert!(cache.partition("one").is_none() && cache.partition("two").is_some());
    assert!(!cache.is_claimed("a-1") && cache.is_claimed("a-9"));
    assert_eq!(cache.machines_of("one").count(), 2);
    assert_eq!(cache.revision(), 10);
}

#[test]
fn the_view_dates_from_the_latest_read_that_a_loaded_cache_has_caught_up_with() {
    let mut cache = Cache::default();
    cache.reset(10);
    cache.record_revision_read(10, NOW + 3);
    assert_eq!(cache.view_as_of(), 0, "not loaded yet");
    cache.complete_listing(NOW);
    assert_eq!(cache.view_as_of(), NOW + 3);
    cache.record_revision_read(12, NOW + 4);
    assert!(cache.is_behind() && cache.view_as_of() == NOW + 3);
    assert!(cache.has_not_reached(12) && !cache.has_not_reached(10));
    cache.advance_to(12);
    cache.record_revision_read(11, NOW + 1);
    assert!(!cache.is_behind() && cache.view_as_of() == NOW + 4);
    cache.advance_to(9);
    assert_eq!(cache.revision(), 12);
    cache.mark_outdated();
    assert!(!cache.has_not_reached(13), "the listing delivers the write");
}
