//! The directory of snapshots and logs.
//!
//! Files have numbers: `snapshot-N` holds all records, `log-N` the changes after it. Snapshots come into
//! place whole, by a rename; the pair before the newest is kept, in case that one cannot be read.
//!
//! Owns the names of the files and the order of writes to the disk. Never interprets a record.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use quartzlever_recovery::format::{FormatError, LogEntry, Snapshot, log_frame, log_header};
use quartzlever_recovery::history::StoredFiles;

const SNAPSHOT: &str = "snapshot-";
const LOG: &str = "log-";
const PARTIAL: &str = "partial";
const LOCK: &str = "lock";
/// Present while the log is written before anything is done.
const MARK: &str = "written-first";

/// Why a directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    #[error("{path}: {error}")]
    Io { path: String, error: io::Error },
    #[error("{path}: in use by another controller")]
    InUse { path: String },
}

/// Why something was not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Format(#[from] FormatError),
    #[error("a snapshot of {bytes} bytes is more than half of what recovery.most_mb allows")]
    TooLarge { bytes: u64 },
}

/// A directory that is read.
#[derive(Clone, Debug)]
pub struct Directory {
    path: PathBuf,
}

/// A directory that belongs to this process.
#[derive(Debug)]
pub struct OwnDirectory {
    pub directory: Directory,
    /// Held until the process ends.
    _lock: File,
}

/// A log that entries are appended to.
#[derive(Debug)]
pub struct LogFile {
    file: File,
    pub bytes: u64,
}

impl Directory {
    /// A directory that exists and can be read.
    pub fn open(path: &Path) -> Result<Directory, DirectoryError> {
        let error = |error| DirectoryError::Io { path: path.display().to_string(), error };
        fs::read_dir(path).map_err(error)?;
        Ok(Directory { path: path.to_owned() })
    }

    /// Takes the directory for this process.
    pub fn lock(self) -> Result<OwnDirectory, DirectoryError> {
        let path = self.path.display().to_string();
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.join(LOCK))
            .map_err(|error| DirectoryError::Io { path: path.clone(), error })?;
        match lock.try_lock() {
            Ok(()) => Ok(OwnDirectory { directory: self, _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(DirectoryError::InUse { path }),
            Err(fs::TryLockError::Error(error)) => Err(DirectoryError::Io { path, error }),
        }
    }

    fn file(&self, kind: &str, number: u64) -> PathBuf {
        self.path.join(format!("{kind}{number:012}"))
    }

    /// The files by their numbers.
    pub fn read(&self) -> io::Result<Vec<StoredFiles>> {
        let mut files: BTreeMap<u64, StoredFiles> = BTreeMap::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let number = |kind: &str| name.strip_prefix(kind)?.parse::<u64>().ok();
            let (number, is_log) = match (number(SNAPSHOT), number(LOG)) {
                (Some(number), _) => (number, false),
                (None, Some(number)) => (number, true),
                (None, None) => continue,
            };
            let file = files.entry(number).or_default();
            file.number = number;
            let bytes = Some(fs::read(entry.path())?);
            if is_log { file.log = bytes } else { file.snapshot = bytes }
        }
        Ok(files.into_values().collect())
    }

    /// Whether the mark is there that the log was written before anything was done.
    pub fn is_marked(&self) -> bool {
        self.path.join(MARK).exists()
    }

    /// Sets the mark.
    pub fn mark(&self) -> io::Result<()> {
        File::create(self.path.join(MARK))?.sync_all()?;
        self.sync()
    }

    /// Removes the mark; fine if it is not there.
    pub fn unmark(&self) -> io::Result<()> {
        match fs::remove_file(self.path.join(MARK)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => self.sync(),
        }
    }

    /// Makes what was created, renamed and removed outlast a power cut.
    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    /// Writes a snapshot with the next number, begins the log after it, and removes what is older than
    /// the pair before.
    pub fn write_snapshot(
        &self,
        number: u64,
        snapshot: &Snapshot,
        most: u64,
    ) -> Result<LogFile, WriteError> {
        let bytes = snapshot.to_bytes()?;
        if bytes.len() as u64 > most {
            return Err(WriteError::TooLarge { bytes: bytes.len() as u64 });
        }
        let partial = self.path.join(PARTIAL);
        let mut file = File::create(&partial)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        let mut log = self.begin_log(number)?;
        log.append(&[LogEntry::Begin {
            identity: snapshot.identity.clone(),
            revision: snapshot.revision,
        }])?;
        fs::rename(&partial, self.file(SNAPSHOT, number))?;
        self.sync()?;
        self.remove_before(number.saturating_sub(1))?;
        Ok(log)
    }

    fn begin_log(&self, number: u64) -> io::Result<LogFile> {
        let mut file = File::create(self.file(LOG, number))?;
        let header = log_header();
        file.write_all(&header)?;
        Ok(LogFile { file, bytes: header.len() as u64 })
    }

    fn remove_before(&self, number: u64) -> io::Result<()> {
        for file in self.read_numbers()? {
            if file < number {
                for kind in [SNAPSHOT, LOG] {
                    match fs::remove_file(self.file(kind, file)) {
                        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                        _ => {}
                    }
                }
            }
        }
        Ok(())
    }

    fn read_numbers(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            let number = name.strip_prefix(SNAPSHOT).or_else(|| name.strip_prefix(LOG));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        Ok(numbers)
    }

    /// The number after all that are there.
    pub fn next_number(&self) -> io::Result<u64> {
        Ok(self.read_numbers()?.into_iter().max().map_or(1, |number| number + 1))
    }
}

impl LogFile {
    /// Appends entries; when this comes back they outlast a power cut.
    pub fn append(&mut self, entries: &[LogEntry]) -> Result<(), WriteError> {
        let mut bytes = Vec::new();
        for entry in entries {
            bytes.extend_from_slice(&log_frame(entry)?);
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }
}
