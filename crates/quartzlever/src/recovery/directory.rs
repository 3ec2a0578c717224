//! The directory of snapshots and logs.
//!
//! Files are numbered: `snapshot-N` holds all records, `log-N` the changes after it. A snapshot is
//! written to a temporary file and renamed, so it is always complete. The pair before the newest is
//! kept in case the newest snapshot cannot be read.
//!
//! Owns the names of the files and the order of writes to the disk. Never interprets a record.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use quartzlever_recovery::format::{FormatError, LogEntry, Snapshot, log_frame, log_header};
use quartzlever_recovery::history::StoredFiles;

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";
const PARTIAL_SNAPSHOT_FILE: &str = "partial";
const LOCK_FILE: &str = "lock";
/// Name of the mark: a file that exists while every change is logged before it is acted on.
const MARK_FILE: &str = "written-first";

/// Why the directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    #[error("{path}: {error}")]
    Io { path: String, error: io::Error },
    #[error("{path}: in use by another controller")]
    InUse { path: String },
}

/// Why a snapshot or log entries were not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Format(#[from] FormatError),
    #[error("a snapshot of {bytes} bytes is more than half of what recovery.most_mb allows")]
    TooLarge { bytes: u64 },
}

/// A directory of snapshots and logs, which may be in use by another process.
#[derive(Clone, Debug)]
pub struct Directory {
    path: PathBuf,
}

/// A directory that this process has locked for itself.
#[derive(Debug)]
pub struct LockedDirectory {
    pub directory: Directory,
    /// The open lock file; it holds the lock until the process ends.
    _lock: File,
}

/// A log file that is open for appending.
#[derive(Debug)]
pub struct LogFile {
    file: File,
    pub bytes: u64,
}

impl Directory {
    /// Opens an existing directory.
    ///
    /// # Errors
    /// Returns [`DirectoryError::Io`] if the directory does not exist or cannot be read.
    pub fn open(path: &Path) -> Result<Directory, DirectoryError> {
        let error = |error| DirectoryError::Io { path: path.display().to_string(), error };
        fs::read_dir(path).map_err(error)?;
        Ok(Directory { path: path.to_owned() })
    }

    /// Locks the directory for this process.
    ///
    /// # Errors
    /// Returns [`DirectoryError::InUse`] if another process has locked it, and
    /// [`DirectoryError::Io`] if the lock file cannot be opened or locked.
    pub fn lock(self) -> Result<LockedDirectory, DirectoryError> {
        let path = self.path.display().to_string();
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.join(LOCK_FILE))
            .map_err(|error| DirectoryError::Io { path: path.clone(), error })?;
        match lock.try_lock() {
            Ok(()) => Ok(LockedDirectory { directory: self, _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(DirectoryError::InUse { path }),
            Err(fs::TryLockError::Error(error)) => Err(DirectoryError::Io { path, error }),
        }
    }

    fn file_path(&self, prefix: &str, number: u64) -> PathBuf {
        self.path.join(format!("{prefix}{number:012}"))
    }

    /// Reads all snapshots and logs, in the order of their numbers.
    pub fn read_files(&self) -> io::Result<Vec<StoredFiles>> {
        let mut files: BTreeMap<u64, StoredFiles> = BTreeMap::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let number = |prefix: &str| name.strip_prefix(prefix)?.parse::<u64>().ok();
            let (number, is_log) = match (number(SNAPSHOT_PREFIX), number(LOG_PREFIX)) {
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

    /// Reports whether the mark is set, which tells that every change was logged before it was
    /// acted on.
    pub fn is_marked(&self) -> bool {
        self.path.join(MARK_FILE).exists()
    }

    /// Sets the mark durably.
    pub fn set_mark(&self) -> io::Result<()> {
        File::create(self.path.join(MARK_FILE))?.sync_all()?;
        self.sync()
    }

    /// Removes the mark durably. Does nothing if it is not set.
    pub fn remove_mark(&self) -> io::Result<()> {
        match fs::remove_file(self.path.join(MARK_FILE)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => self.sync(),
        }
    }

    /// Makes the creation, renaming and removal of files durable.
    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    /// Writes the snapshot with this number, creates the log after it, and removes all files older
    /// than the previous pair.
    ///
    /// # Errors
    /// Returns [`WriteError::TooLarge`] if the snapshot has more than `max_bytes` bytes, and the
    /// errors of encoding and of the disk.
    pub fn write_snapshot(
        &self,
        number: u64,
        snapshot: &Snapshot,
        max_bytes: u64,
    ) -> Result<LogFile, WriteError> {
        let bytes = snapshot.to_bytes()?;
        if bytes.len() as u64 > max_bytes {
            return Err(WriteError::TooLarge { bytes: bytes.len() as u64 });
        }
        let partial = self.path.join(PARTIAL_SNAPSHOT_FILE);
        let mut file = File::create(&partial)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        let mut log = self.create_log(number)?;
        log.append(&[LogEntry::Begin {
            identity: snapshot.identity.clone(),
            revision: snapshot.revision,
        }])?;
        fs::rename(&partial, self.file_path(SNAPSHOT_PREFIX, number))?;
        self.sync()?;
        self.remove_files_before(number.saturating_sub(1))?;
        Ok(log)
    }

    fn create_log(&self, number: u64) -> io::Result<LogFile> {
        let mut file = File::create(self.file_path(LOG_PREFIX, number))?;
        let header = log_header();
        file.write_all(&header)?;
        Ok(LogFile { file, bytes: header.len() as u64 })
    }

    fn remove_files_before(&self, first_kept: u64) -> io::Result<()> {
        for number in self.list_numbers()? {
            if number < first_kept {
                for prefix in [SNAPSHOT_PREFIX, LOG_PREFIX] {
                    match fs::remove_file(self.file_path(prefix, number)) {
                        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                        _ => {}
                    }
                }
            }
        }
        Ok(())
    }

    fn list_numbers(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            let number =
                name.strip_prefix(SNAPSHOT_PREFIX).or_else(|| name.strip_prefix(LOG_PREFIX));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        Ok(numbers)
    }

    /// Returns the number after the highest one in use, or 1 if there are no files.
    pub fn next_number(&self) -> io::Result<u64> {
        Ok(self.list_numbers()?.into_iter().max().map_or(1, |number| number + 1))
    }
}

impl LogFile {
    /// Appends entries, and returns once they are durable.
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
