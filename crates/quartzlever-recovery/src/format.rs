//! The bytes of snapshots and logs.
//!
//! This module owns the file format and performs no I/O. A file starts with a header: eight bytes of magic
//! and the format's version. Frames follow, each with its length and checksum. A snapshot is one frame; a log
//! is a sequence of frames, and bytes after the last whole frame are a torn end that counts for nothing.
//!
//! Invariant: no damaged byte is taken for content. A change of the bytes needs a new format version.

use bincode::Options;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::identity::Identity;
use crate::picture::{Record, Update};

/// The first bytes of each file, and the version of what follows.
const MAGIC: [u8; 8] = *b"qlstate\0";
const FORMAT_VERSION: u32 = 1;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u32>();
/// The length in front of each frame.
const FRAME_LENGTH_BYTES: usize = size_of::<u64>();
/// Length and checksum in front of each frame.
const FRAME_HEADER_BYTES: usize = FRAME_LENGTH_BYTES + size_of::<u32>();

/// Why a file cannot be read, or an entry not be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The file does not begin with the magic bytes.
    #[error("not a file of quartzlever's recovery")]
    Foreign,
    /// The file has a format version that this program does not know.
    #[error("written in format {0}; this program knows format {FORMAT_VERSION}")]
    Version(u32),
    /// The content is damaged, in the way that is named.
    #[error("corrupt: {0}")]
    Corrupt(Corruption),
}

/// What is wrong with the content of a file.
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
    /// The frame of a snapshot is not whole, or not what was written.
    #[error("wrong checksum or length")]
    DamagedFrame,
}

/// How long writes to the disk took, as far as the log has measured it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteTimes {
    /// Number of writes that were measured.
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
    /// Time of day of the snapshot, in microseconds since 1970.
    pub wall: u64,
    /// Measured since the snapshot before.
    pub write_times: WriteTimes,
    /// The records by key.
    pub rows: Vec<(String, Record)>,
}

/// One frame of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first frame: what the log continues.
    Begin {
        /// Cluster and generation of the records.
        identity: Identity,
        /// Revision of the snapshot before the log.
        revision: u64,
    },
    /// Changes of records.
    Update(Update),
    /// A sign of life of the process that writes the log.
    Alive {
        /// Time of day, in microseconds since 1970.
        wall: u64,
        /// Count of the process's witness key.
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

/// The content behind a file's header.
fn body(bytes: &[u8]) -> Result<&[u8], FormatError> {
    let head = bytes.get(..HEADER_BYTES).ok_or(FormatError::Corrupt(Corruption::ShortHeader))?;
    let (magic, version) = head.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(FormatError::Foreign);
    }
    let version = version.try_into().map_or(0, u32::from_le_bytes);
    if version != FORMAT_VERSION {
        return Err(FormatError::Version(version));
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

/// The first frame and what follows it; `None` where no whole frame is left.
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
    /// The content of a snapshot's file.
    ///
    /// # Errors
    /// [`FormatError::Corrupt`] if a record cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, FormatError> {
        let mut bytes = header();
        push_frame(&mut bytes, self)?;
        Ok(bytes)
    }

    /// Reads the content of a snapshot's file.
    ///
    /// # Errors
    /// [`FormatError`] if any byte is missing, damaged or too many.
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, FormatError> {
        match take_frame(body(bytes)?) {
            Some((snapshot, [])) => Ok(snapshot),
            Some(_) => Err(FormatError::Corrupt(Corruption::TrailingBytes)),
            None => Err(FormatError::Corrupt(Corruption::DamagedFrame)),
        }
    }
}

/// The first bytes of a log.
pub fn log_header() -> Vec<u8> {
    header()
}

/// The bytes of an entry of a log.
///
/// # Errors
/// [`FormatError::Corrupt`] if the entry cannot be encoded.
pub fn log_frame(entry: &LogEntry) -> Result<Vec<u8>, FormatError> {
    let mut bytes = Vec::new();
    push_frame(&mut bytes, entry)?;
    Ok(bytes)
}

/// The entries of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogContent {
    /// In the order in which they were written.
    pub entries: Vec<LogEntry>,
    /// Number of bytes after the last whole entry.
    pub torn_bytes: usize,
}

/// Reads a log as far as its entries are whole.
///
/// # Errors
/// [`FormatError`] if the header is not that of a file of this format.
pub fn read_log(bytes: &[u8]) -> Result<LogContent, FormatError> {
    let mut rest = body(bytes)?;
    let mut entries = Vec::new();
    while let Some((entry, after)) = take_frame(rest) {
        entries.push(entry);
        rest = after;
    }
    Ok(LogContent { entries, torn_bytes: rest.len() })
}
