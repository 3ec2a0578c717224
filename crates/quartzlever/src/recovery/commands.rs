//! The operator's commands `snapshot list`, `snapshot verify`, `snapshot show` and
//! `rebuild --dry-run`.
//!
//! Owns the text of their output. Never writes to a file or to the store.

use std::path::Path;

use quartzlever_clients::StoreClient;
use quartzlever_recovery::detection::{Assessment, assess, detect_missing_records};
use quartzlever_recovery::format::{Snapshot, WriteTimes, read_log};
use quartzlever_recovery::generation::Generation;
use quartzlever_recovery::history::{History, StoredFiles, read_history};
use quartzlever_recovery::plan::{SurvivingRecords, plan};
use quartzlever_recovery::rebuild::{list_generation, observe};

use crate::clock::{Clock, wall};
use crate::recovery::directory::{Directory, DirectoryError};
use crate::recovery::state::ClientAccess;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error(transparent)]
    Directory(#[from] DirectoryError),
    #[error("{0}")]
    Read(#[from] std::io::Error),
    #[error("no snapshot that can be read")]
    NoHistory,
    #[error("{0} of the files cannot be used")]
    Unusable(usize),
    #[error("the state service does not answer")]
    NoAnswer,
}

type CommandResult = Result<(), CommandError>;

fn read_files(path: &Path) -> Result<(Directory, Vec<StoredFiles>), CommandError> {
    let directory = Directory::open(path)?;
    let files = directory.read_files()?;
    Ok((directory, files))
}

/// Prints a line for each snapshot with its log.
pub fn list(path: &Path) -> CommandResult {
    let (_, files) = read_files(path)?;
    for file in &files {
        let snapshot = match &file.snapshot {
            Some(bytes) => match Snapshot::from_bytes(bytes) {
                Ok(s) => format!("revision {}, {} records", s.revision, s.rows.len()),
                Err(error) => error.to_string(),
            },
            None => "no snapshot".into(),
        };
        let log = match &file.log {
            Some(bytes) => match read_log(bytes) {
                Ok(content) => format!("log of {} entries", content.entries.len()),
                Err(error) => format!("log {error}"),
            },
            None => "no log".into(),
        };
        println!("{}: {snapshot}; {log}", file.number);
    }
    Ok(())
}

/// Checks every byte of every file. A torn entry at the end of the last log is accepted, because a
/// crash may leave one.
pub fn verify(path: &Path) -> CommandResult {
    let (_, files) = read_files(path)?;
    let loaded = read_history(&files);
    for error in &loaded.file_errors {
        println!("{error}");
    }
    let lacks_readable_snapshot = |file: &&StoredFiles| {
        file.snapshot.as_ref().is_none_or(|bytes| Snapshot::from_bytes(bytes).is_err())
    };
    let unusable = files.iter().filter(lacks_readable_snapshot).count();
    let history = loaded.history.ok_or(CommandError::NoHistory)?;
    if unusable > 0 || !history.is_complete {
        return Err(CommandError::Unusable(unusable.max(1)));
    }
    println!("fine: complete to revision {}", history.records.revision());
    Ok(())
}

fn load_history(path: &Path) -> Result<(Directory, History), CommandError> {
    let (directory, files) = read_files(path)?;
    let history = read_history(&files).history.ok_or(CommandError::NoHistory)?;
    Ok((directory, history))
}

/// Prints what the files hold together.
pub fn show(path: &Path) -> CommandResult {
    let (directory, history) = load_history(path)?;
    let identity = &history.identity;
    println!("cluster {}, generation {}", identity.cluster, identity.generation);
    println!("complete to revision {}", history.records.revision());
    let age = wall().saturating_sub(history.wall_time) / 1_000_000;
    println!("written last {age} s ago");
    println!("{}", plan(&history.records, &SurvivingRecords::default()).summary);
    let WriteTimes { count, median, p99, longest } = history.write_times;
    println!(
        "{count} writes before the snapshot: median {median} us, 99% {p99} us, longest {longest} us"
    );
    let is_verified = history.is_verified(directory.is_marked(), wall());
    println!(
        "{}",
        if is_verified {
            "surely has all that was acted on"
        } else {
            "may lack what was acted on last"
        }
    );
    Ok(())
}

/// Prints what a rebuild from these files would do now. Nothing is written.
pub fn rebuild_dry_run(path: &Path, store_address: &str, node: &str) -> CommandResult {
    let (directory, history) = load_history(path)?;
    let mut access = ClientAccess { client: StoreClient::new(store_address), clock: Clock::new() };
    let observed = observe(&mut access).map_err(|_| CommandError::NoAnswer)?;
    let assessment = assess(node, Some(&history.last_known_state()), &observed);
    let generation = Generation { identity: history.identity.clone(), mod_revision: 0 };
    let listed = list_generation(&mut access, &generation).map_err(|_| CommandError::NoAnswer)?;
    let same_lineage = matches!(assessment, Assessment::Intact(_));
    let missing = detect_missing_records(&history.records, history.identity.base, listed.rows())
        .filter(|_| same_lineage);
    let decision = match (&assessment, &missing) {
        (Assessment::Lost(loss), _) | (_, Some(loss)) => format!("would rebuild: {loss}"),
        (Assessment::Intact(_), None) => "would not rebuild: the records are intact".into(),
        (Assessment::Newer(_), _) => "would not rebuild: another controller has".into(),
        (Assessment::NoCluster, _) => "would wait for all controllers: the first start".into(),
        (Assessment::ForeignCluster, _) => {
            "would not start: the state service has another cluster's records".into()
        }
    };
    println!("{decision}");
    let survivors = SurvivingRecords { rows: listed.rows().clone(), same_lineage };
    println!("{}", plan(&history.records, &survivors).summary);
    if !history.is_verified(directory.is_marked(), wall()) {
        println!("the log may lack what was done last: would wait until no task is on any machine");
    }
    Ok(())
}
