//! The store as the rest of the program sees it: every answer was guarded against loss, and is in
//! the log before it is known.
//!
//! Owns the order of guard, journal and replication in a call, and how a process that has lost data begins
//! anew. Never hands out a reply that the guard has not passed.

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
    /// Makes a call.
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
    /// A record that should be there was not found: all are to be compared.
    pub suspects: AtomicBool,
    /// Some jobs may be known to a controller alone that had no part in the rebuild: that a record is not
    /// there does not show that nobody was told of its job.
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
            Ok(StoreReply::Read(None)) if self.carried_over(call).is_some() => {
                Ok(StoreReply::Read(self.carried_over(call)))
            }
            Ok(StoreReply::Read(None)) if self.may_be_known_elsewhere(call) => {
                Err(CallError::Unknown)
            }
            Ok(reply) => {
                if let Some(update) = Update::from_reply(call, &reply) {
                    self.journal.record(update.clone());
                    if matches!(call, StoreCall::Txn(_)) {
                        self.replication.share(&update);
                    }
                } else if matches!((call, &reply), (StoreCall::Watch { .. }, StoreReply::TooOld)) {
                    self.read_anew()?;
                }
                Ok(reply)
            }
            Err(GuardError::Call(error)) => Err(error),
            Err(GuardError::KnownRecordAbsent) => {
                self.suspects.store(true, Ordering::SeqCst);
                Err(CallError::Unknown)
            }
            Err(GuardError::Lost(loss)) => reset_cache(&loss),
        }
    }

    /// Reports whether the record set has a record at a key that is written in the store, rather than
    /// only carried over from the previous generation.
    fn is_written(&self, key: &str) -> bool {
        self.journal.get(key).is_some_and(|r| r.mod_revision > self.guard.generation.identity.base)
    }

    fn carried_over_record(&self, key: &str) -> Option<Record> {
        let base = self.guard.generation.identity.base;
        let record =
            self.journal.get(key).filter(|_| base > 0 && key.starts_with(TERMINAL_JOB_PREFIX))?;
        (record.mod_revision <= base).then_some(record)
    }

    /// A final state that is not written yet, as the answer to a read of it.
    fn carried_over(&self, call: &StoreCall) -> Option<KeyValue> {
        let StoreCall::Get(key) = call else { return None };
        let Record { value, mod_revision } = self.carried_over_record(key)?;
        Some(KeyValue {
            key: key.clone(),
            value: Json::from_text(&value)?,
            mod_revision,
            lease_id: None,
        })
    }

    /// A job is not accepted if it is over by a final state that is not written yet.
    fn conflict_with_carried_over(&self, call: &StoreCall) -> Option<StoreReply> {
        let StoreCall::Txn(txn) = call else { return None };
        let absent = txn
            .conditions
            .iter()
            .filter(|c| c.mod_revision == 0 && c.path.starts_with(TERMINAL_JOB_PREFIX));
        let over: Vec<String> = absent
            .map(|condition| condition.path.clone())
            .filter(|key| self.carried_over_record(key).is_some())
            .collect();
        (!over.is_empty()).then_some(StoreReply::Conflict(over))
    }

    fn may_be_known_elsewhere(&self, call: &StoreCall) -> bool {
        // Whether a job is live is asked first, and says nothing alone.
        let is_final = matches!(call, StoreCall::Get(key) if key.starts_with(TERMINAL_JOB_PREFIX));
        is_final && self.may_lack_jobs.load(Ordering::SeqCst)
    }

    /// A watch begins where the record set is complete, at the latest: the core, which has listed the records
    /// later, knows what comes twice.
    fn limit_watch_start(&self, call: &StoreCall) -> StoreCall {
        match call {
            StoreCall::Watch { from, hold_ms } => {
                let from = (*from).min(self.journal.complete_up_to());
                StoreCall::Watch { from, hold_ms: *hold_ms }
            }
            call => call.clone(),
        }
    }

    /// Lists all records after the watch has missed some.
    fn read_anew(&self) -> Result<(), CallError> {
        let mut access = ClientAccess { client: self.client.clone(), clock: Clock::new() };
        let records = list_generation(&mut access, &self.guard.generation)?;
        let mut store = |call: &StoreCall| self.client.call(call);
        match self.guard.verify_identity(&mut store) {
            Ok(()) => self.journal.replace(records),
            Err(GuardError::Lost(loss)) => reset_cache(&loss),
            Err(GuardError::Call(error)) => return Err(error),
            Err(GuardError::KnownRecordAbsent) => return Err(CallError::Unknown),
        }
        Ok(())
    }
}

/// Exit status of a process that could not begin anew by itself.
const CANNOT_BEGIN_ANEW: i32 = 1;

/// Data was lost: the process begins anew, in place, so that nothing it has learned or asked for before can
/// be acted on any more.
pub fn reset_cache(loss: &Loss) -> ! {
    static BEGUN: AtomicBool = AtomicBool::new(false);
    if BEGUN.swap(true, Ordering::SeqCst) {
        // Another thread is at it, and ends this one.
        loop {
            thread::park();
        }
    }
    ProgramEvent::StoreDataLost { loss }.log();
    let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
    ProgramEvent::CannotRestart { reason: error.to_string() }.log();
    std::process::exit(CANNOT_BEGIN_ANEW);
}

/// What the steps of a rebuild need, by a client of the store.
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

    fn pause(&mut self, span: Micros) {
        thread::sleep(Duration::from_micros(span));
    }

    fn log(&mut self, event: RebuildEvent) {
        log_event(LogLevel::Info, event.name(), &event);
    }

    fn random_number(&mut self) -> u64 {
        random_number()
    }
}
