//! The picture that the files of a directory hold, whatever is torn, corrupt or missing.
//!
//! This module joins a snapshot and the logs after it; it reads no file itself. Invariant: a history is marked
//! [`History::is_complete`] only if the newest snapshot that can be read and every log after it were read without a
//! gap.

use quartzlever_wire::{Micros, SECOND};

use crate::format::{FormatError, LogContent, LogEntry, Snapshot, WriteTimes, read_log};
use crate::identity::Identity;
use crate::picture::Picture;

/// A log that was written to within this time before the present surely has all that its process acted
/// on; an older one may be that of a process that went on without it.
const PROVEN_FOR: Micros = 15 * SECOND;

/// The files with one number: a snapshot, and the log of the changes after it.
#[derive(Clone, Debug, Default)]
pub struct StoredFiles {
    /// Ascending with time.
    pub number: u64,
    /// Content of the snapshot's file, if it exists.
    pub snapshot: Option<Vec<u8>>,
    /// Content of the log's file, if it exists.
    pub log: Option<Vec<u8>>,
}

/// What a controller knows of the records, from its own files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Cluster and generation of the records.
    pub identity: Identity,
    /// The records.
    pub picture: Picture,
    /// How often this controller had written its witness key.
    pub witness: u64,
    /// Time of day of the last write, in microseconds since 1970.
    pub wall: Micros,
    /// Every log after the snapshot was read without a gap.
    pub is_complete: bool,
    /// Measured before the snapshot.
    pub write_times: WriteTimes,
}

/// Why a log cannot be used, or not to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum LogError {
    #[error("corrupt: missing")]
    Missing,
    #[error(transparent)]
    Unreadable(#[from] FormatError),
    #[error("has no beginning")]
    NoBeginning,
    #[error("begins twice")]
    SecondBeginning,
    #[error("continues another generation")]
    OtherGeneration,
    #[error("begins after a gap")]
    Gap,
}

/// How the log before ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogEnd {
    Whole,
    Torn,
}

/// A history, and what was wrong with the files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedHistory {
    /// `None` if no snapshot can be read.
    pub history: Option<History>,
    /// One line for each file that cannot be used in full.
    pub complaints: Vec<String>,
}

impl History {
    /// Whether the files surely hold everything that their controller acted on. `marked` says whether the
    /// controller left its mark that the log is written before anything is done; `wall` is the present time
    /// of day, in microseconds since 1970.
    pub fn is_verified(&self, marked: bool, wall: Micros) -> bool {
        marked && self.is_complete && wall.saturating_sub(self.wall) <= PROVEN_FOR
    }

    fn of(snapshot: Snapshot) -> History {
        let Snapshot { identity, revision, wall, write_times, rows } = snapshot;
        let picture = Picture::new(revision, rows.into_iter().collect());
        History { identity, picture, witness: 0, wall, is_complete: true, write_times }
    }

    /// Takes in a log's entries. Those of a log that continues something else are left out.
    fn continue_with(&mut self, entries: Vec<LogEntry>) -> Result<(), LogError> {
        let mut entries = entries.into_iter();
        let Some(LogEntry::Begin { identity, revision }) = entries.next() else {
            return Err(LogError::NoBeginning);
        };
        if identity != self.identity {
            return Err(LogError::OtherGeneration);
        }
        if revision > self.picture.newest() {
            return Err(LogError::Gap);
        }
        for entry in entries {
            match entry {
                LogEntry::Begin { .. } => return Err(LogError::SecondBeginning),
                LogEntry::Update(update) => self.picture.apply(update),
                LogEntry::Alive { wall, witness } => {
                    self.wall = self.wall.max(wall);
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

/// The newest snapshot that can be read.
fn newest_snapshot(
    files: &[StoredFiles],
    complaints: &mut Vec<String>,
) -> Option<NumberedSnapshot> {
    files.iter().rev().find_map(|file| {
        let bytes = file.snapshot.as_ref()?;
        match Snapshot::from_bytes(bytes) {
            Ok(snapshot) => Some(NumberedSnapshot { number: file.number, snapshot }),
            Err(error) => {
                complaints.push(format!("snapshot {}: {error}; passed over", file.number));
                None
            }
        }
    })
}

fn read_log_of(file: &StoredFiles) -> Result<LogContent, LogError> {
    let bytes = file.log.as_ref().ok_or(LogError::Missing)?;
    Ok(read_log(bytes)?)
}

/// A history to which logs are added in the order of their numbers.
struct HistoryReader {
    history: History,
    previous_end: LogEnd,
    complaints: Vec<String>,
}

impl HistoryReader {
    fn add_log(&mut self, file: &StoredFiles) {
        let number = file.number;
        if let Err(error) = self.try_add_log(file) {
            self.complaints.push(format!("log {number}: {error}"));
            self.history.is_complete = false;
        }
    }

    fn try_add_log(&mut self, file: &StoredFiles) -> Result<(), LogError> {
        let LogContent { entries, torn_bytes } = read_log_of(file)?;
        // Only the last log may end in the middle of an entry.
        self.history.is_complete &= self.previous_end == LogEnd::Whole;
        self.previous_end = LogEnd::Whole;
        if torn_bytes > 0 {
            self.previous_end = LogEnd::Torn;
            let number = file.number;
            self.complaints
                .push(format!("log {number}: its torn end of {torn_bytes} bytes was cut"));
        }
        self.history.continue_with(entries)
    }
}

/// Joins the files of a directory, in the order of their numbers, into a history. Files that cannot be used
/// are no error; they are named in the complaints.
pub fn read_history(files: &[StoredFiles]) -> LoadedHistory {
    let mut complaints = Vec::new();
    let Some(newest) = newest_snapshot(files, &mut complaints) else {
        return LoadedHistory { history: None, complaints };
    };
    let NumberedSnapshot { number, snapshot } = newest;
    let history = History::of(snapshot);
    let mut reader = HistoryReader { history, previous_end: LogEnd::Whole, complaints };
    for file in files.iter().filter(|file| file.number >= number) {
        reader.add_log(file);
    }
    LoadedHistory { history: Some(reader.history), complaints: reader.complaints }
}
