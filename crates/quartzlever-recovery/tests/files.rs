//! Tests of reading snapshots and logs that are truncated, corrupt or missing.

use quartzlever_recovery::format::{
    FormatError, LogEntry, Snapshot, WriteTimes, log_frame, log_header, read_log,
};
use quartzlever_recovery::history::{StoredFiles, read_history};
use quartzlever_recovery::identity::{Identity, Phase};
use quartzlever_recovery::records::{KeyChange, Record, RecordSet, Update};

fn identity() -> Identity {
    Identity {
        cluster: "c".into(),
        generation: 3,
        namespace: "generation/3-1/".into(),
        base: 1 << 31,
        phase: Phase::Serving,
    }
}

fn snapshot(revision: u64, keys: &[(&str, u64)]) -> Vec<u8> {
    let row = |(key, mod_revision): &(&str, u64)| {
        ((*key).to_owned(), Record { value: "{}".into(), mod_revision: *mod_revision })
    };
    let write_times = WriteTimes::default();
    let rows = keys.iter().map(row).collect();
    Snapshot { identity: identity(), revision, wall_time: 5, write_times, rows }
        .to_bytes()
        .expect("bytes")
}

fn written(key: &str, mod_revision: u64) -> KeyChange {
    KeyChange { key: key.into(), mod_revision, value: Some("{}".into()) }
}

fn deleted(key: &str, mod_revision: u64) -> KeyChange {
    KeyChange { key: key.into(), mod_revision, value: None }
}

fn update(changes: Vec<KeyChange>, complete_up_to: u64) -> LogEntry {
    LogEntry::Update(Update { changes, complete_up_to: Some(complete_up_to) })
}

fn log(entries: &[LogEntry]) -> Vec<u8> {
    let frames = entries.iter().flat_map(|entry| log_frame(entry).expect("a frame"));
    log_header().into_iter().chain(frames).collect()
}

fn begin(revision: u64) -> LogEntry {
    LogEntry::Begin { identity: identity(), revision }
}

/// A power failure may truncate a log at any byte. Exactly the entries that are whole must be read.
#[test]
fn a_truncated_log_yields_exactly_its_whole_entries() {
    let entries =
        [begin(1), update(vec![written("live/a", 2)], 2), update(vec![deleted("live/a", 3)], 3)];
    let bytes = log(&entries);
    let mut entry_counts = Vec::new();
    for end in log_header().len()..=bytes.len() {
        let content = read_log(&bytes[..end]).expect("a log");
        let count = content.entries.len();
        assert_eq!(content.entries, entries[..count], "{end}");
        assert_eq!(content.torn_bytes, end - log(&entries[..count]).len(), "{end}");
        entry_counts.push(count);
    }
    entry_counts.dedup();
    assert_eq!(entry_counts, [0, 1, 2, 3]);
}

#[test]
fn every_damaged_byte_and_every_truncation_of_a_snapshot_is_detected() {
    let good = snapshot(7, &[("live/a", 3), ("over/b", 6)]);
    assert!(Snapshot::from_bytes(&good).is_ok());
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x10;
        assert!(Snapshot::from_bytes(&bad).is_err(), "damaged at byte {at}");
        assert!(Snapshot::from_bytes(&good[..at]).is_err(), "truncated to {at} bytes");
    }
    let mut newer_version = good.clone();
    newer_version[8] = 9;
    assert_eq!(Snapshot::from_bytes(&newer_version), Err(FormatError::UnknownVersion(9)));
    assert_eq!(Snapshot::from_bytes(b"something else"), Err(FormatError::WrongMagic));
}

/// Reads two pairs of snapshot and log of which some are damaged or missing. The history must hold
/// what can be recovered, and must be marked complete only if no change can be missing from it.
#[test]
fn a_damaged_snapshot_falls_back_to_the_previous_one() {
    let first = || snapshot(10, &[("live/a", 3)]);
    let first_log = || log(&[begin(10), update(vec![written("live/b", 12)], 12)]);
    let second = || snapshot(12, &[("live/a", 3), ("live/b", 12)]);
    let second_log = || log(&[begin(12), update(vec![deleted("live/a", 15)], 15)]);
    let truncated_snapshot = || second()[..40].to_vec();
    let truncated_log = || {
        let mut bytes = first_log();
        bytes.truncate(bytes.len() - 3);
        bytes
    };
    type Files = [Option<Vec<u8>>; 2];
    /// Snapshots, logs, expected keys, expected revision, completeness, number of file errors.
    type Case<'a> = (Files, Files, &'a [&'a str], u64, bool, usize);
    let cases: Vec<Case> = vec![
        (
            [Some(first()), Some(second())],
            [Some(first_log()), Some(second_log())],
            &["live/b"],
            15,
            true,
            0,
        ),
        (
            [Some(first()), Some(truncated_snapshot())],
            [Some(first_log()), Some(second_log())],
            &["live/b"],
            15,
            true,
            1,
        ),
        ([Some(first()), None], [Some(first_log()), Some(second_log())], &["live/b"], 15, true, 0),
        (
            [Some(first()), Some(second())],
            [Some(first_log()), None],
            &["live/a", "live/b"],
            12,
            false,
            1,
        ),
        (
            [Some(first()), Some(truncated_snapshot())],
            [None, Some(second_log())],
            &["live/a"],
            10,
            false,
            3,
        ),
        (
            [Some(first()), Some(truncated_snapshot())],
            [Some(truncated_log()), Some(second_log())],
            &["live/a"],
            10,
            false,
            3,
        ),
    ];
    for (n, (snapshots, logs, keys, complete_up_to, is_complete, file_errors)) in
        cases.into_iter().enumerate()
    {
        let files: Vec<StoredFiles> = snapshots
            .into_iter()
            .zip(logs)
            .zip(1..)
            .map(|((snapshot, log), number)| StoredFiles { number, snapshot, log })
            .collect();
        let loaded = read_history(&files);
        let history = loaded.history.expect("a history");
        let found: Vec<&str> = history.records.rows().keys().map(String::as_str).collect();
        assert_eq!(found, keys, "case {n}");
        assert_eq!(history.records.revision(), complete_up_to, "case {n}");
        assert_eq!(history.is_complete, is_complete, "case {n}");
        assert_eq!(loaded.file_errors.len(), file_errors, "case {n}: {:?}", loaded.file_errors);
    }
}

/// A controller learns its own changes before earlier ones of other controllers, and a watch may
/// deliver a change that is already known. Whatever the order, the latest change of a key must win.
#[test]
fn the_latest_change_of_a_key_wins_whatever_the_order_and_repetition() {
    let changes = [
        (vec![written("live/a", 11)], Some(11)),
        (vec![written("live/a", 11), written("live/a", 12), written("live/b", 13)], Some(13)),
        (vec![deleted("live/a", 14)], None),
        (vec![written("live/b", 15)], None),
        (vec![deleted("live/a", 14), written("live/b", 15)], Some(15)),
    ];
    let orders =
        [[0, 1, 2, 3, 4], [2, 0, 3, 1, 4], [3, 2, 1, 0, 4], [2, 3, 4, 1, 0], [4, 1, 2, 0, 3]];
    for order in orders {
        let mut records = RecordSet::new(10, Default::default());
        let mut is_deleted = false;
        for n in order {
            let (changes, complete_up_to) = changes[n].clone();
            records.apply(Update { changes, complete_up_to });
            is_deleted |= [2, 4].contains(&n);
            assert!(
                !is_deleted || records.get("live/a").is_none(),
                "{order:?}: deleted record reappeared at update {n}"
            );
        }
        assert_eq!(records.get("live/a"), None, "{order:?}");
        assert_eq!(records.get("live/b").map(|r| r.mod_revision), Some(15), "{order:?}");
        assert_eq!(records.revision(), 15, "{order:?}");
    }
}
