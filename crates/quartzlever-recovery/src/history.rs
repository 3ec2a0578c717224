//! The records that the files of a recovery directory contain, even if some files are truncated,
//! corrupt or missing.
//!
//! This module combines the contents of a snapshot and the logs after it; it opens no files itself.
//! Invariant: [`History::is_complete`] is set only if the latest readable snapshot and every log
//! after it were read without a gap.

use quartzlever_wire::{Micros, SECOND};

use crate::format::{FormatError, LogContent, LogEntry, Snapshot, WriteTimes, read_log};
use crate::identity::Identity;
use crate::records::RecordSet;

/// Maximum age of the last write to a log that is verified to hold every change that its process
/// acted on. An older log may belong to a process that continued without writing it.
const VERIFIED_LOG_MAX_AGE: Micros = 15 * SECOND;

/// The contents of the files with one number: a snapshot, and the log of the changes after it.
#[derive(Clone, Debug, Default)]
pub struct StoredFiles {
    /// Number of the files; later files have higher numbers.
    pub number: u64,
    /// Content of the snapshot's file, if it exists.
    pub snapshot: Option<Vec<u8>>,
    /// Content of the log's file, if it exists.
    pub log: Option<Vec<u8>>,
}

/// The records that a controller knows from its own files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Cluster and generation of the records.
    pub identity: Identity,
    /// The records.
    pub records: RecordSet,
    /// Witness counter of this controller at the last write.
    pub witness: u64,
    /// Wall clock time of the last write, in microseconds since 1970.
    pub wall_time: Micros,
    /// Whether every log after the snapshot was read without a gap.
    pub is_complete: bool,
    /// Durations of the writes to the log before the snapshot.
    pub write_times: WriteTimes,
}

/// Why a log cannot be used, or cannot be used to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum LogError {
    #[error("corrupt: missing")]
    Missing,
    #[error(transparent)]
    Unreadable(#[from] FormatError),
    #[error("has no beginning")]
    NoBegin,
    #[error("begins twice")]
    RepeatedBegin,
    #[error("continues another generation")]
    OtherGeneration,
    #[error("begins after a gap")]
    Gap,
}

/// Whether the previous log ended with a whole entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogEnd {
    Whole,
    Torn,
}

/// A history, and the errors of the files that it was read from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedHistory {
    /// The history; `None` if there is no readable snapshot.
    pub history: Option<History>,
    /// A message for each file that is not used in full.
    pub file_errors: Vec<String>,
}

impl History {
    /// Reports whether the files are verified to hold every change that their controller acted on.
    /// `is_marked` tells whether the directory has the controller's mark that the log is written
    /// before any action; `now` is the wall clock time, in microseconds since 1970.
    pub fn is_verified(&self, is_marked: bool, now: Micros) -> bool {
        is_marked && self.is_complete && now.saturating_sub(self.wall_time) <= VERIFIED_LOG_MAX_AGE
    }

    fn from_snapshot(snapshot: Snapshot) -> History {
        let Snapshot { identity, revision, wall_time, write_times, rows } = snapshot;
        let records = RecordSet::new(revision, rows.into_iter().collect());
        History { identity, records, witness: 0, wall_time, is_complete: true, write_times }
    }

    /// Applies the entries of a log. Applies none if the log does not continue these records.
    fn apply_log(&mut self, entries: Vec<LogEntry>) -> Result<(), LogError> {
        let mut entries = entries.into_iter();
        let Some(LogEntry::Begin { identity, revision }) = entries.next() else {
            return Err(LogError::NoBegin);
        };
        if identity != self.identity {
            return Err(LogError::OtherGeneration);
        }
        if revision > self.records.latest_revision() {
            return Err(LogError::Gap);
        }
        for entry in entries {
            match entry {
                LogEntry::Begin { .. } => return Err(LogError::RepeatedBegin),
                LogEntry::Update(update) => self.records.apply(update),
                LogEntry::Heartbeat { wall_time, witness } => {
                    self.wall_time = self.wall_time.max(wall_time);
                    self.witness = self.witness.max(witness);
                }
            }
        }
        Ok(())
    }
}

/// A snapshot with the number of its file.
struct NumberedSnapshot {
    number: u64,
    snapshot: Snapshot,
}

/// Returns the latest readable snapshot, and adds an error for each later one.
fn latest_readable_snapshot(
    files: &[StoredFiles],
    file_errors: &mut Vec<String>,
) -> Option<NumberedSnapshot> {
    files.iter().rev().find_map(|file| {
        let bytes = file.snapshot.as_ref()?;
        match Snapshot::from_bytes(bytes) {
            Ok(snapshot) => Some(NumberedSnapshot { number: file.number, snapshot }),
            Err(error) => {
                file_errors.push(format!("snapshot {}: {error}; passed over", file.number));
                None
            }
        }
    })
}

fn read_stored_log(file: &StoredFiles) -> Result<LogContent, LogError> {
    let bytes = file.log.as_ref().ok_or(LogError::Missing)?;
    Ok(read_log(bytes)?)
}

/// Builds a history by adding logs in the order of their numbers.
struct HistoryReader {
    history: History,
    previous_end: LogEnd,
    file_errors: Vec<String>,
}

impl HistoryReader {
    fn add_log(&mut self, file: &StoredFiles) {
        let number = file.number;
        if let Err(error) = self.try_add_log(file) {
            self.file_errors.push(format!("log {number}: {error}"));
            self.history.is_complete = false;
        }
    }

    fn try_add_log(&mut self, file: &StoredFiles) -> Result<(), LogError> {
        let LogContent { entries, torn_bytes } = read_stored_log(file)?;
        // Only the last log may end with a truncated entry.
        self.history.is_complete &= self.previous_end == LogEnd::Whole;
        self.previous_end = LogEnd::Whole;
        if torn_bytes > 0 {
            self.previous_end = LogEnd::Torn;
            let number = file.number;
            self.file_errors
                .push(format!("log {number}: its torn end of {torn_bytes} bytes was cut"));
        }
        self.history.apply_log(entries)
    }
}

/// Combines the files of a directory, which must be in the order of their numbers, into a history.
/// Unusable files do not make this fail; they are listed in [`LoadedHistory::file_errors`].
pub fn read_history(files: &[StoredFiles]) -> LoadedHistory {
    let mut file_errors = Vec::new();
    let Some(latest) = latest_readable_snapshot(files, &mut file_errors) else {
        return LoadedHistory { history: None, file_errors };
    };
    let NumberedSnapshot { number, snapshot } = latest;
    let history = History::from_snapshot(snapshot);
    let mut reader = HistoryReader { history, previous_end: LogEnd::Whole, file_errors };
    for file in files.iter().filter(|file| file.number >= number) {
        reader.add_log(file);
    }
    LoadedHistory { history: Some(reader.history), file_errors: reader.file_errors }
}
