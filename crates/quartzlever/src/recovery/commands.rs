//! What an operator asks of the files from a terminal.
//!
//! Owns the texts of the answers. Never writes a file or to the store.

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

/// Why a command could not tell what it was asked.
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

type Outcome = Result<(), CommandError>;

fn read(path: &Path) -> Result<(Directory, Vec<StoredFiles>), CommandError> {
    let directory = Directory::open(path)?;
    let files = directory.read()?;
    Ok((directory, files))
}

/// A line for each pair of files.
pub fn list(path: &Path) -> Outcome {
    let (_, files) = read(path)?;
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

/// Checks every byte of every file; a torn end of the last log is what a crash leaves.
pub fn verify(path: &Path) -> Outcome {
    let (_, files) = read(path)?;
    let loaded = read_history(&files);
    for error in &loaded.file_errors {
        println!("{error}");
    }
    let bad_snapshot = |file: &&StoredFiles| {
        file.snapshot.as_ref().is_none_or(|bytes| Snapshot::from_bytes(bytes).is_err())
    };
    let unusable = files.iter().filter(bad_snapshot).count();
    let history = loaded.history.ok_or(CommandError::NoHistory)?;
    if unusable > 0 || !history.is_complete {
        return Err(CommandError::Unusable(unusable.max(1)));
    }
    println!("fine: complete to revision {}", history.records.revision());
    Ok(())
}

fn load(path: &Path) -> Result<(Directory, History), CommandError> {
    let (directory, files) = read(path)?;
    let history = read_history(&files).history.ok_or(CommandError::NoHistory)?;
    Ok((directory, history))
}

/// What the files hold together.
pub fn show(path: &Path) -> Outcome {
    let (directory, history) = load(path)?;
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
    let proven = history.is_verified(directory.is_marked(), wall());
    println!(
        "{}",
        if proven { "surely has all that was acted on" } else { "may lack what was acted on last" }
    );
    Ok(())
}

/// What a rebuild from these files would do now; nothing is written.
pub fn rebuild_dry_run(path: &Path, state: &str, node: &str) -> Outcome {
    let (directory, history) = load(path)?;
    let mut access = ClientAccess { client: StoreClient::new(state), clock: Clock::new() };
    let observed = observe(&mut access).map_err(|_| CommandError::NoAnswer)?;
    let assessment = assess(node, Some(&history.last_known_state()), &observed);
    let generation = Generation { identity: history.identity.clone(), mod_revision: 0 };
    let listed = list_generation(&mut access, &generation).map_err(|_| CommandError::NoAnswer)?;
    let same_lineage = matches!(assessment, Assessment::Intact(_));
    let missing = detect_missing_records(&history.records, history.identity.base, listed.rows())
        .filter(|_| same_lineage);
    let reason = match (&assessment, &missing) {
        (Assessment::Lost(loss), _) | (_, Some(loss)) => format!("would rebuild: {loss}"),
        (Assessment::Intact(_), None) => "would not rebuild: the records are intact".into(),
        (Assessment::Newer(_), _) => "would not rebuild: another controller has".into(),
        (Assessment::NoCluster, _) => "would wait for all controllers: the first start".into(),
        (Assessment::ForeignCluster, _) => {
            "would not start: the state service has another cluster's records".into()
        }
    };
    println!("{reason}");
    let survivors = SurvivingRecords { rows: listed.rows().clone(), same_lineage };
    println!("{}", plan(&history.records, &survivors).summary);
    if !history.is_verified(directory.is_marked(), wall()) {
        println!("the log may lack what was done last: would wait until no task is on any machine");
    }
    Ok(())
}
