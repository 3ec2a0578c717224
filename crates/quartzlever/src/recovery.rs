//! Recovery of lost state, if the operator has enabled it: its files, its threads, and how a
//! process obtains an intact store at startup.
//!
//! Owns the order of the steps by which a process opens the store. Never decides what is rebuilt:
//! the crate `quartzlever-recovery` does, without threads or files. `directory` has the files,
//! `journal` the log, `replication` and `peer_log` the exchange of log entries with the other
//! controllers, `state` the guarded store, `monitor` the periodic search for loss, `commands` the
//! operator's commands.

pub mod commands;
mod directory;
mod journal;
mod monitor;
mod peer_log;
mod replication;
mod state;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use quartzlever_clients::StoreClient;
use quartzlever_recovery::guard::Guard;
use quartzlever_recovery::history::{LoadedHistory, read_history};
use quartzlever_recovery::rebuild::{self, LocalState, RebuildSettings};

use crate::clock::Clock;
use crate::log::ProgramEvent;
use crate::random::random_number;
use crate::settings::{RecoverySettings, Settings};
use journal::Journal;
use monitor::{Monitor, RestoreLimits};
use replication::Replication;
use state::{ClientAccess, GuardedStore};

pub use directory::{Directory, LockedDirectory};
pub use peer_log::{GuardedStoreCell, log_peer_changes};
pub use state::StoreService;

/// Share of the store's write limit that all controllers together may use to write carried-over
/// final states.
const RESTORE_WRITE_SHARE: f64 = 0.25;

/// The settings of recovery and its directory, present if the operator has enabled recovery.
#[derive(Debug)]
pub struct Recovery {
    pub settings: RecoverySettings,
    pub directory: LockedDirectory,
}

fn load_history(directory: &Directory) -> io::Result<(LoadedHistory, bool)> {
    let is_marked = directory.is_marked();
    Ok((read_history(&directory.read_files()?), is_marked))
}

/// Returns the settings that the steps of a rebuild need.
fn rebuild_settings(settings: &Settings, recovery: &RecoverySettings) -> RebuildSettings {
    let core = &settings.core;
    RebuildSettings {
        node: core.node.clone(),
        nodes: core.nodes.clone(),
        process: random_number(),
        gather_timeout: recovery.gather_timeout,
        lease_lifetime: core.operator.lease_lifetime,
        worker_lease_lifetime: core.workers.lease,
        max_txn_changes: core.txn_ops,
        max_changes_per_second: core.store_write_rps,
        max_value_bytes: core.value_bytes,
    }
}

/// Opens the store, and returns once it may be used. Any loss of data while this process was down
/// has been repaired by then, by this controller or another.
///
/// # Errors
/// Fails if the directory cannot be read, the store cannot be opened, or a thread cannot be
/// started.
pub fn open_store(
    settings: &Settings,
    recovery: Recovery,
    log: &GuardedStoreCell,
) -> io::Result<StoreService> {
    let Recovery { settings: recovery_settings, directory } = recovery;
    let (loaded, is_marked) = load_history(&directory.directory)?;
    for error in &loaded.file_errors {
        ProgramEvent::RecoveryFileUnusable { reason: error }.log();
    }
    let witness = loaded.history.as_ref().map_or(0, |history| history.witness);
    let client = StoreClient::new(&settings.state);
    let mut access = ClientAccess { client: client.clone(), clock: Clock::new() };
    let local = LocalState { history: loaded.history, is_marked, known_loss: None };
    let opened =
        rebuild::open(&mut access, &rebuild_settings(settings, &recovery_settings), &local)
            .map_err(io::Error::other)?;
    // The witness counter of the history is compared only within its own generation. In another one
    // the witness key may be absent, or may still have the count that was written last, so counting
    // starts again at 0.
    let is_same_generation =
        local.history.as_ref().is_some_and(|h| h.identity == opened.generation.identity);
    let witness = if is_same_generation { witness } else { 0 };
    let identity = opened.generation.identity.clone();
    let timeout = Duration::from_micros(recovery_settings.acknowledgement_timeout);
    let replication = Replication::start(identity.clone(), &settings.peers, timeout)?;
    let journal = Journal::start(directory, &recovery_settings, identity, opened.records)?;
    journal.witness_written(witness);
    let state = Arc::new(GuardedStore {
        client,
        guard: Guard::new(opened.generation, opened.revision),
        journal,
        replication,
        is_audit_requested: AtomicBool::new(false),
        may_lack_jobs: AtomicBool::new(opened.may_lack_jobs),
    });
    let core = &settings.core;
    let max_changes_per_second =
        core.store_write_rps * RESTORE_WRITE_SHARE / core.nodes.len() as f64;
    let controllers = core.nodes.len();
    let limits =
        RestoreLimits { max_txn_changes: core.txn_ops, max_changes_per_second, controllers };
    // The cell is empty: `open` runs once in a process.
    let _ = log.set(state.clone());
    Monitor::start(state.clone(), recovery_settings, core.node.clone(), witness, limits)?;
    Ok(StoreService::Guarded(state))
}
