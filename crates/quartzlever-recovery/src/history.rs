//! The picture that the files of a directory hold, whatever is torn, corrupt or missing.

use quartzlever_wire::{Micros, SECOND};

use crate::format::{FormatError, LogEntry, Snapshot, WriteTimes, read_log};
use crate::identity::Identity;
use crate::picture::Picture;

/// A log that was written to within this time before the present surely has all that its process acted
/// on; an older one may be that of a process that went on without it.
pub const PROVEN_FOR: Micros = 15 * SECOND;

/// The files with one number: a snapshot, and the log of the changes after it.
#[derive(Clone, Debug, Default)]
pub struct StoredFiles {
    pub number: u64,
    pub snapshot: Option<Vec<u8>>,
    pub log: Option<Vec<u8>>,
}

/// What a controller knows of the records, from its own files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    pub identity: Identity,
    pub picture: Picture,
    /// How often this controller had written its witness key.
    pub witness: u64,
    /// Time of day of the last write.
    pub wall: Micros,
    /// Every log after the snapshot was read without a gap.
    pub whole: bool,
    pub write_times: WriteTimes,
}

/// A history, and what was wrong with the files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedHistory {
    pub history: Option<History>,
    pub complaints: Vec<String>,
}

impl History {
    /// Whether the files surely hold everything that their controller acted on. `marked` says whether the
    /// controller left its mark that the log is written before anything is done.
    pub fn is_proven(&self, marked: bool, wall: Micros) -> bool {
        marked && self.whole && wall.saturating_sub(self.wall) <= PROVEN_FOR
    }

    fn of(snapshot: Snapshot) -> History {
        let Snapshot { identity, revision, wall, write_times, rows } = snapshot;
        let picture = Picture::new(revision, rows.into_iter().collect());
        History { identity, picture, witness: 0, wall, whole: true, write_times }
    }

    /// Takes in a log's entries. Those of a log that continues something else are left out.
    fn continue_with(&mut self, entries: Vec<LogEntry>) -> Result<(), &'static str> {
        let mut entries = entries.into_iter();
        match entries.next() {
            Some(LogEntry::Begin { identity, revision }) => {
                if identity != self.identity {
                    return Err("continues another generation");
                }
                if revision > self.picture.newest() {
                    return Err("begins after a gap");
                }
            }
            _ => return Err("has no beginning"),
        }
        for entry in entries {
            match entry {
                LogEntry::Begin { .. } => return Err("begins twice"),
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

/// The newest snapshot that can be read.
fn newest_snapshot(files: &[StoredFiles], complaints: &mut Vec<String>) -> Option<(u64, Snapshot)> {
    files.iter().rev().find_map(|file| {
        let bytes = file.snapshot.as_ref()?;
        match Snapshot::from_bytes(bytes) {
            Ok(snapshot) => Some((file.number, snapshot)),
            Err(error) => {
                complaints.push(format!("snapshot {}: {error}; passed over", file.number));
                None
            }
        }
    })
}

/// Reads the files of a directory, in the order of their numbers.
pub fn read_history(files: &[StoredFiles]) -> LoadedHistory {
    let mut complaints = Vec::new();
    let Some((number, snapshot)) = newest_snapshot(files, &mut complaints) else {
        return LoadedHistory { history: None, complaints };
    };
    let mut history = History::of(snapshot);
    let later = files.iter().filter(|file| file.number >= number);
    let mut after_torn = false;
    for file in later {
        let read: Result<_, FormatError> = match &file.log {
            Some(bytes) => read_log(bytes),
            None => Err(FormatError::Corrupt("missing")),
        };
        match read {
            Ok(content) => {
                if content.torn_bytes > 0 {
                    let (number, bytes) = (file.number, content.torn_bytes);
                    complaints.push(format!("log {number}: its torn end of {bytes} bytes was cut"));
                }
                // Only the last log may end in the middle of an entry.
                history.whole &= !after_torn;
                after_torn = content.torn_bytes > 0;
                if let Err(why) = history.continue_with(content.entries) {
                    complaints.push(format!("log {}: {why}", file.number));
                    history.whole = false;
                }
            }
            Err(error) => {
                complaints.push(format!("log {}: {error}", file.number));
                history.whole = false;
            }
        }
    }
    LoadedHistory { history: Some(history), complaints }
}
