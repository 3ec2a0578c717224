//! Rebuilding lost state, as the operator has switched it on: the files, the threads, and the way of a
//! process to an intact store.
//!
//! Owns the order in which a process comes to such a store. Never decides what is rebuilt: the crate
//! `quartzlever-recovery` does, without threads or files. `directory` has the files, `journal` the log,
//! `replication` and `peer_log` the other controllers' logs, `state` the guarded store, `monitor` the
//! search for loss, `commands` what an operator asks at a terminal.

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
use monitor::{Monitor, Pace};
use replication::Replication;
use state::{ClientAccess, GuardedStore};

pub use directory::{Directory, OwnDirectory};
pub use peer_log::{OwnLog, take_changes};
pub use state::StoreService;

/// Share of the store's changes that may write carried-over final states.
const RESTORE_SHARE: f64 = 0.25;

/// What the operator has switched on.
#[derive(Debug)]
pub struct Recovery {
    pub settings: RecoverySettings,
    pub directory: OwnDirectory,
}

fn load(directory: &Directory) -> io::Result<(LoadedHistory, bool)> {
    let marked = directory.is_marked();
    Ok((read_history(&directory.read()?), marked))
}

/// What the steps of a rebuild are told by the settings.
fn rebuild_settings(settings: &Settings, recovery: &RecoverySettings) -> RebuildSettings {
    let core = &settings.core;
    RebuildSettings {
        node: core.node.clone(),
        nodes: core.nodes.clone(),
        process: random_number(),
        gather_timeout: recovery.gather,
        lease_lifetime: core.operator.lease_life,
        worker_lease_lifetime: core.workers.lease,
        max_txn_changes: core.txn_ops,
        max_changes_per_second: core.store_write_rps,
        max_value_bytes: core.value_bytes,
    }
}

/// Comes back when the store may be worked with. Whatever its data has suffered while this process
/// was away is mended by then, by this controller or another.
pub fn open(settings: &Settings, recovery: Recovery, log: &OwnLog) -> io::Result<StoreService> {
    let Recovery { settings: own, directory } = recovery;
    let (loaded, marked) = load(&directory.directory)?;
    for error in &loaded.file_errors {
        ProgramEvent::RecoveryFileUnusable { reason: error }.log();
    }
    let witness = loaded.history.as_ref().map_or(0, |history| history.witness);
    let client = StoreClient::new(&settings.state);
    let mut access = ClientAccess { client: client.clone(), clock: Clock::new() };
    let local = LocalState { history: loaded.history, is_marked: marked, known_loss: None };
    let opened = rebuild::open(&mut access, &rebuild_settings(settings, &own), &local)
        .map_err(io::Error::other)?;
    // A new generation knows of no witness yet, or of the one that was written last.
    let same = local.history.as_ref().is_some_and(|h| h.identity == opened.generation.identity);
    let witness = if same { witness } else { 0 };
    let identity = opened.generation.identity.clone();
    let timeout = Duration::from_micros(own.acknowledge);
    let replication = Replication::start(identity.clone(), &settings.peers, timeout)?;
    let journal = Journal::start(directory, &own, identity, opened.records)?;
    journal.witness_written(witness);
    let state = Arc::new(GuardedStore {
        client,
        guard: Guard::new(opened.generation, opened.revision),
        journal,
        replication,
        suspects: AtomicBool::new(false),
        may_lack_jobs: AtomicBool::new(opened.may_lack_jobs),
    });
    let core = &settings.core;
    let rate = core.store_write_rps * RESTORE_SHARE / core.nodes.len() as f64;
    let controllers = core.nodes.len();
    let pace = Pace { txn_ops: core.txn_ops, rate, controllers };
    // It is set once.
    let _ = log.set(state.clone());
    Monitor::start(state.clone(), own, core.node.clone(), witness, pace)?;
    Ok(StoreService::Guarded(state))
}
