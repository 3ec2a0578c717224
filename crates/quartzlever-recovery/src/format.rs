//! The bytes of snapshots and logs: checksums over everything, a format version in front.
//!
//! A snapshot is one frame after its header. A log is a sequence of frames; what follows the last whole
//! frame is a torn tail and counts for nothing.

use bincode::Options;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::identity::Identity;
use crate::picture::{Record, Update};

/// The first bytes of each file, and the version of what follows.
const MAGIC: [u8; 8] = *b"qlstate\0";
pub const FORMAT_VERSION: u32 = 1;
const HEADER: usize = MAGIC.len() + 4;
/// Length and checksum in front of each frame.
const FRAME_HEAD: usize = 8 + 4;

/// Why a file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    #[error("not a file of quartzlever's recovery")]
    Foreign,
    #[error("written in format {0}; this program knows format {FORMAT_VERSION}")]
    Version(u32),
    #[error("corrupt: {0}")]
    Corrupt(&'static str),
}

/// How long the disk took, as far as the log has measured it, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteTimes {
    pub count: u64,
    pub median: u64,
    pub p99: u64,
    pub longest: u64,
}

/// All records at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub identity: Identity,
    pub revision: u64,
    /// Time of day, in microseconds since 1970.
    pub wall: u64,
    pub write_times: WriteTimes,
    pub rows: Vec<(String, Record)>,
}

/// One frame of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first frame: what the log continues.
    Begin {
        identity: Identity,
        revision: u64,
    },
    Update(Update),
    /// The log was written to at this time of day; the process's witness counter stood at that number.
    Alive {
        wall: u64,
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
    let head = bytes.get(..HEADER).ok_or(FormatError::Corrupt("no whole header"))?;
    let (magic, version) = head.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(FormatError::Foreign);
    }
    let version = version.try_into().map_or(0, u32::from_le_bytes);
    if version != FORMAT_VERSION {
        return Err(FormatError::Version(version));
    }
    Ok(&bytes[HEADER..])
}

fn push_frame(bytes: &mut Vec<u8>, value: &impl Serialize) -> Result<(), FormatError> {
    let content =
        codec().serialize(value).map_err(|_| FormatError::Corrupt("cannot be written"))?;
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(())
}

/// The first frame and what follows it; `None` where no whole frame is left.
fn take_frame<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let head = bytes.get(..FRAME_HEAD)?;
    let length = u64::from_le_bytes(head[..8].try_into().ok()?);
    let checksum = u32::from_le_bytes(head[8..].try_into().ok()?);
    let end = FRAME_HEAD.checked_add(usize::try_from(length).ok()?)?;
    let content = bytes.get(FRAME_HEAD..end)?;
    if crc32fast::hash(content) != checksum {
        return None;
    }
    Some((codec().deserialize(content).ok()?, &bytes[end..]))
}

impl Snapshot {
    pub fn to_bytes(&self) -> Result<Vec<u8>, FormatError> {
        let mut bytes = header();
        push_frame(&mut bytes, self)?;
        Ok(bytes)
    }

    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, FormatError> {
        match take_frame(body(bytes)?) {
            Some((snapshot, [])) => Ok(snapshot),
            Some(_) => Err(FormatError::Corrupt("bytes after the end")),
            None => Err(FormatError::Corrupt("wrong checksum or length")),
        }
    }
}

/// The first bytes of a log.
pub fn log_header() -> Vec<u8> {
    header()
}

/// The bytes of an entry of a log.
pub fn log_frame(entry: &LogEntry) -> Result<Vec<u8>, FormatError> {
    let mut bytes = Vec::new();
    push_frame(&mut bytes, entry)?;
    Ok(bytes)
}

/// The entries of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogContent {
    pub entries: Vec<LogEntry>,
    /// Bytes after the last whole entry.
    pub torn_bytes: usize,
}

/// Reads a log as far as its entries are whole.
pub fn read_log(bytes: &[u8]) -> Result<LogContent, FormatError> {
    let mut rest = body(bytes)?;
    let mut entries = Vec::new();
    while let Some((entry, behind)) = take_frame(rest) {
        entries.push(entry);
        rest = behind;
    }
    Ok(LogContent { entries, torn_bytes: rest.len() })
}
