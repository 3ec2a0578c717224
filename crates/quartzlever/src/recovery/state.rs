//! The store as the rest of the program sees it: every reply is checked for a loss of data, and its
//! changes are logged before the reply is returned.
//!
//! Owns the order of guard, journal and replication in a call, and the restart of a process after a
//! loss of data. Never returns a reply that the guard has not checked.

use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use quartzlever_clients::StoreClient;
use quartzlever_core::LogLevel;
use quartzlever_recovery::StoreAccess;
use quartzlever_recovery::detection::Loss;
use quartzlever_recovery::events::RebuildEvent;
use quartzlever_recovery::guard::{Guard, GuardError};
use quartzlever_recovery::rebuild::list_generation;
use quartzlever_recovery::records::{Record, Update};
use quartzlever_wire::store::{KeyValue, StoreCall, StoreReply, TERMINAL_JOB_PREFIX};
use quartzlever_wire::{CallError, Json, Micros};

use crate::clock::{Clock, wall};
use crate::log::{ProgramEvent, log_event};
use crate::random::random_number;
use crate::recovery::journal::Journal;
use crate::recovery::replication::Replication;

/// The store, called directly or through the guard.
#[derive(Clone)]
pub enum StoreService {
    Direct(StoreClient),
    Guarded(std::sync::Arc<GuardedStore>),
}

impl StoreService {
    /// Makes a call to the store.
    pub fn call(&self, call: &StoreCall) -> Result<StoreReply, CallError> {
        match self {
            StoreService::Direct(client) => client.call(call),
            StoreService::Guarded(state) => state.call(call),
        }
    }
}

/// The store behind the guard and the journal.
pub struct GuardedStore {
    pub client: StoreClient,
    pub guard: Guard,
    pub journal: Journal,
    pub replication: Replication,
    /// A record that must be in the store was not found, so the monitor must audit all records.
    pub is_audit_requested: AtomicBool,
    /// Some jobs may be known only to a controller that took no part in the rebuild. The absence of
    /// a record then does not show that its job was never reported to a user.
    pub may_lack_jobs: AtomicBool,
}

impl GuardedStore {
    fn call(&self, call: &StoreCall) -> Result<StoreReply, CallError> {
        let call = &self.limit_watch_start(call);
        if let Some(reply) = self.conflict_with_carried_over(call) {
            return Ok(reply);
        }
        let mut store = |call: &StoreCall| self.client.call(call);
        match self.guard.call(&mut store, call, |key| self.is_written(key)) {
            Ok(absent @ StoreReply::Absent { .. }) => match self.carried_over_reply(call) {
                Some(entry) => Ok(StoreReply::Read(entry)),
                None if self.may_be_known_elsewhere(call) => Err(CallError::Unknown),
                None => Ok(absent),
            },
            Ok(reply) => {
                if let Some(update) = Update::from_reply(call, &reply) {
                    self.journal.record(update.clone());
                    if matches!(call, StoreCall::Txn(_)) {
                        self.replication.replicate(&update);
                    }
                } else if matches!((call, &reply), (StoreCall::Watch { .. }, StoreReply::TooOld)) {
                    self.relist()?;
                }
                Ok(reply)
            }
            Err(GuardError::Call(error)) => Err(error),
            Err(GuardError::KnownRecordAbsent) => {
                self.is_audit_requested.store(true, Ordering::SeqCst);
                Err(CallError::Unknown)
            }
            Err(GuardError::Lost(loss)) => restart_after_loss(&loss),
        }
    }

    /// Reports whether the record set has a record at a key that is written in the store, rather
    /// than only carried over from the previous generation.
    fn is_written(&self, key: &str) -> bool {
        self.journal.get(key).is_some_and(|r| r.mod_revision > self.guard.generation.identity.base)
    }

    /// Returns the carried-over final state at a key, if it is not written to the store yet.
    fn carried_over_record(&self, key: &str) -> Option<Record> {
        let base = self.guard.generation.identity.base;
        let record =
            self.journal.get(key).filter(|_| base > 0 && key.starts_with(TERMINAL_JOB_PREFIX))?;
        (record.mod_revision <= base).then_some(record)
    }

    /// Returns the reply to a read of a carried-over final state that is not written yet.
    fn carried_over_reply(&self, call: &StoreCall) -> Option<KeyValue> {
        let StoreCall::Get(key) = call else { return None };
        let Record { value, mod_revision } = self.carried_over_record(key)?;
        Some(KeyValue {
            key: key.clone(),
            value: Json::from_text(&value)?,
            mod_revision,
            lease_id: None,
        })
    }

    /// Returns a conflict if a transaction requires that a job has no final state, but a
    /// carried-over one that is not written yet exists.
    fn conflict_with_carried_over(&self, call: &StoreCall) -> Option<StoreReply> {
        let StoreCall::Txn(txn) = call else { return None };
        let absent = txn
            .conditions
            .iter()
            .filter(|c| c.mod_revision == 0 && c.path.starts_with(TERMINAL_JOB_PREFIX));
        let ended: Vec<String> = absent
            .map(|condition| condition.path.clone())
            .filter(|key| self.carried_over_record(key).is_some())
            .collect();
        (!ended.is_empty()).then_some(StoreReply::Conflict(ended))
    }

    /// Reports whether a call reads a final state that may be absent only because the rebuild
    /// missed its job.
    fn may_be_known_elsewhere(&self, call: &StoreCall) -> bool {
        // Only the read of the final state matters: the core reads the active job first, and its
        // absence alone decides nothing.
        let is_final_state_read =
            matches!(call, StoreCall::Get(key) if key.starts_with(TERMINAL_JOB_PREFIX));
        is_final_state_read && self.may_lack_jobs.load(Ordering::SeqCst)
    }

    /// Makes a watch start at the latest where the record set is complete. The core has listed the
    /// records later, and ignores changes that it receives twice.
    fn limit_watch_start(&self, call: &StoreCall) -> StoreCall {
        match call {
            StoreCall::Watch { from, hold_ms } => {
                let from = (*from).min(self.journal.complete_up_to());
                StoreCall::Watch { from, hold_ms: *hold_ms }
            }
            call => call.clone(),
        }
    }

    /// Lists all records again after the watch has missed changes.
    fn relist(&self) -> Result<(), CallError> {
        let mut access = ClientAccess { client: self.client.clone(), clock: Clock::new() };
        let records = list_generation(&mut access, &self.guard.generation)?;
        let mut store = |call: &StoreCall| self.client.call(call);
        match self.guard.verify_identity(&mut store) {
            Ok(()) => self.journal.replace(records),
            Err(GuardError::Lost(loss)) => restart_after_loss(&loss),
            Err(GuardError::Call(error)) => return Err(error),
            Err(GuardError::KnownRecordAbsent) => return Err(CallError::Unknown),
        }
        Ok(())
    }
}

/// Exit status of a process that could not restart itself.
const RESTART_FAILED: i32 = 1;

/// Restarts the process in place after a loss of data, so that nothing which it has learned or
/// requested before can be acted on any more.
pub fn restart_after_loss(loss: &Loss) -> ! {
    static IS_RESTARTING: AtomicBool = AtomicBool::new(false);
    if IS_RESTARTING.swap(true, Ordering::SeqCst) {
        // Another thread is restarting the process, which ends this thread.
        loop {
            thread::park();
        }
    }
    ProgramEvent::StoreDataLost { loss }.log();
    let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
    ProgramEvent::CannotRestart { reason: error.to_string() }.log();
    std::process::exit(RESTART_FAILED);
}

/// Access to the store and the clocks for the steps of a rebuild, by a client of the store.
pub struct ClientAccess {
    pub client: StoreClient,
    pub clock: Clock,
}

impl StoreAccess for ClientAccess {
    fn call(&mut self, call: &StoreCall) -> Result<StoreReply, CallError> {
        self.client.call(call)
    }

    fn now(&mut self) -> Micros {
        self.clock.now()
    }

    fn wall_time(&mut self) -> Micros {
        wall()
    }

    fn pause(&mut self, duration: Micros) {
        thread::sleep(Duration::from_micros(duration));
    }

    fn log(&mut self, event: RebuildEvent) {
        log_event(LogLevel::Info, event.name(), &event);
    }

    fn random_number(&mut self) -> u64 {
        random_number()
    }
}
