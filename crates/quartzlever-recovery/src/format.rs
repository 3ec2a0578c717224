//! The encoding of snapshots and logs.
//!
//! This module defines the file format and performs no I/O. A file starts with a header, which
//! consists of eight magic bytes and the format version. Frames follow, each preceded by its length
//! and checksum. A snapshot is one frame. A log is a sequence of frames; bytes after the last whole
//! frame are a truncated end, left by a write that did not complete, and are ignored.
//!
//! Invariant: damaged bytes are never accepted as content. Any change of the encoding needs a new
//! format version.

use bincode::Options;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::identity::Identity;
use crate::records::{Record, Update};

/// The first bytes of each file; the format version follows.
const MAGIC: [u8; 8] = *b"qlstate\0";
const FORMAT_VERSION: u32 = 1;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u32>();
/// Size of the length that precedes each frame.
const FRAME_LENGTH_BYTES: usize = size_of::<u64>();
/// Size of the length and checksum that precede each frame.
const FRAME_HEADER_BYTES: usize = FRAME_LENGTH_BYTES + size_of::<u32>();

/// Why a file cannot be read, or an entry cannot be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The file does not begin with the magic bytes.
    #[error("not a file of quartzlever's recovery")]
    WrongMagic,
    /// The file has a format version that this program does not know.
    #[error("written in format {0}; this program knows format {FORMAT_VERSION}")]
    UnknownVersion(u32),
    /// The content is damaged.
    #[error("corrupt: {0}")]
    Corrupt(Corruption),
}

/// The kind of damage to the content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The file ends before its header does.
    #[error("no whole header")]
    ShortHeader,
    /// An entry or a snapshot cannot be encoded.
    #[error("cannot be written")]
    NotEncodable,
    /// Bytes follow the frame of a snapshot.
    #[error("bytes after the end")]
    TrailingBytes,
    /// The frame of a snapshot is truncated, or does not match its checksum.
    #[error("wrong checksum or length")]
    DamagedFrame,
}

/// Durations of the writes to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteTimes {
    /// Number of measured writes.
    pub count: u64,
    /// Median, in microseconds.
    pub median: u64,
    /// 99th percentile, in microseconds.
    pub p99: u64,
    /// Longest write, in microseconds.
    pub longest: u64,
}

/// All records at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Cluster and generation of the records.
    pub identity: Identity,
    /// The records are complete up to this revision.
    pub revision: u64,
    /// Wall clock time of the snapshot, in microseconds since 1970.
    pub wall_time: u64,
    /// Durations of the writes before the snapshot, since the process started.
    pub write_times: WriteTimes,
    /// The records by key.
    pub rows: Vec<(String, Record)>,
}

/// One frame of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first frame, which identifies the snapshot that the log continues.
    Begin {
        /// Cluster and generation of the records.
        identity: Identity,
        /// Revision of that snapshot.
        revision: u64,
    },
    /// Changes of records.
    Update(Update),
    /// A periodic entry that shows up to which time the log was written.
    Heartbeat {
        /// Wall clock time, in microseconds since 1970.
        wall_time: u64,
        /// Witness counter of the controller.
        witness: u64,
    },
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes
}

/// Checks a file's header and returns the content after it.
fn content_after_header(bytes: &[u8]) -> Result<&[u8], FormatError> {
    let head = bytes.get(..HEADER_BYTES).ok_or(FormatError::Corrupt(Corruption::ShortHeader))?;
    let (magic, version) = head.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(FormatError::WrongMagic);
    }
    let version = version.try_into().map_or(0, u32::from_le_bytes);
    if version != FORMAT_VERSION {
        return Err(FormatError::UnknownVersion(version));
    }
    Ok(&bytes[HEADER_BYTES..])
}

fn push_frame(bytes: &mut Vec<u8>, value: &impl Serialize) -> Result<(), FormatError> {
    let content =
        codec().serialize(value).map_err(|_| FormatError::Corrupt(Corruption::NotEncodable))?;
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(())
}

/// Decodes the first frame, and returns it with the bytes after it; `None` if there is no whole and
/// undamaged frame.
fn take_frame<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let head = bytes.get(..FRAME_HEADER_BYTES)?;
    let length = u64::from_le_bytes(head[..FRAME_LENGTH_BYTES].try_into().ok()?);
    let checksum = u32::from_le_bytes(head[FRAME_LENGTH_BYTES..].try_into().ok()?);
    let end = FRAME_HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let content = bytes.get(FRAME_HEADER_BYTES..end)?;
    if crc32fast::hash(content) != checksum {
        return None;
    }
    Some((codec().deserialize(content).ok()?, &bytes[end..]))
}

impl Snapshot {
    /// Encodes the snapshot as the content of a file.
    ///
    /// # Errors
    /// Returns [`FormatError::Corrupt`] if a record cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, FormatError> {
        let mut bytes = header();
        push_frame(&mut bytes, self)?;
        Ok(bytes)
    }

    /// Decodes the content of a snapshot's file.
    ///
    /// # Errors
    /// Returns a [`FormatError`] if any byte is missing, damaged or surplus.
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, FormatError> {
        match take_frame(content_after_header(bytes)?) {
            Some((snapshot, [])) => Ok(snapshot),
            Some(_) => Err(FormatError::Corrupt(Corruption::TrailingBytes)),
            None => Err(FormatError::Corrupt(Corruption::DamagedFrame)),
        }
    }
}

/// Returns the header of a log.
pub fn log_header() -> Vec<u8> {
    header()
}

/// Encodes an entry of a log as a frame.
///
/// # Errors
/// Returns [`FormatError::Corrupt`] if the entry cannot be encoded.
pub fn log_frame(entry: &LogEntry) -> Result<Vec<u8>, FormatError> {
    let mut bytes = Vec::new();
    push_frame(&mut bytes, entry)?;
    Ok(bytes)
}

/// The entries of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogContent {
    /// The whole entries, in the order in which they were written.
    pub entries: Vec<LogEntry>,
    /// Number of bytes after the last whole entry.
    pub torn_bytes: usize,
}

/// Decodes the entries of a log, up to the first one that is truncated or damaged.
///
/// # Errors
/// Returns a [`FormatError`] if the header is not that of a file of this format.
pub fn read_log(bytes: &[u8]) -> Result<LogContent, FormatError> {
    let mut rest = content_after_header(bytes)?;
    let mut entries = Vec::new();
    while let Some((entry, after)) = take_frame(rest) {
        entries.push(entry);
        rest = after;
    }
    Ok(LogContent { entries, torn_bytes: rest.len() })
}
