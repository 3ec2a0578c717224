//! The thread that detects losses which no call of the program would notice.
//!
//! Owns this controller's witness key and the writing of carried-over final states. Never repairs a
//! loss: the process restarts instead.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_recovery::detection::{Loss, detect_missing_records};
use quartzlever_recovery::guard::GuardError;
use quartzlever_recovery::identity::{
    IDENTITY_KEY, PENDING_FINAL_STATES_KEY, PendingFinalStates, StoreObservation,
    UNVERIFIED_PREFIX, Versioned, WITNESS_PREFIX, Witness,
};
use quartzlever_recovery::rebuild::{list_generation, observe, restore_final_states};
use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json};

use crate::clock::Clock;
use crate::log::ProgramEvent;
use crate::recovery::state::{ClientAccess, GuardedStore, restart_after_loss};
use crate::settings::RecoverySettings;

/// Number of checks for each write of the witness key.
const CHECKS_PER_WITNESS_WRITE: u64 = 5;
/// Minimum time between audits that are requested because records may be missing.
const REQUESTED_AUDIT_INTERVAL: Duration = Duration::from_secs(5);

/// Checks the identity of the records periodically, and audits all records: compares those in the
/// store with the record set.
pub struct Monitor {
    state: Arc<GuardedStore>,
    settings: RecoverySettings,
    node: String,
    access: ClientAccess,
    check_count: u64,
    witness: u64,
    last_audit: Instant,
    /// Carried-over final states up to this key were written by this controller.
    restored_up_to: String,
    limits: RestoreLimits,
}

/// Limits from the settings on this controller's writing of carried-over final states.
#[derive(Clone, Copy, Debug)]
pub struct RestoreLimits {
    pub max_txn_changes: usize,
    /// Maximum changes per second.
    pub max_changes_per_second: f64,
    /// Number of controllers in the settings.
    pub controllers: usize,
}

impl Monitor {
    /// Starts the thread, which runs until the process ends.
    pub fn start(
        state: Arc<GuardedStore>,
        settings: RecoverySettings,
        node: String,
        witness: u64,
        limits: RestoreLimits,
    ) -> std::io::Result<()> {
        let access = ClientAccess { client: state.client.clone(), clock: Clock::new() };
        let last_audit = Instant::now();
        let restored_up_to = String::new();
        let mut monitor = Monitor {
            state,
            settings,
            node,
            access,
            check_count: 0,
            witness,
            last_audit,
            restored_up_to,
            limits,
        };
        thread::Builder::new()
            .name("monitor".into())
            .spawn(move || {
                loop {
                    thread::sleep(Duration::from_micros(monitor.settings.check_interval));
                    monitor.run_check();
                }
            })
            .map(|_| ())
    }

    fn run_check(&mut self) {
        let result = self.check_identity().and_then(|observed| {
            let all_unverified = observed.unverified.len() >= self.limits.controllers;
            self.clear_unverified(&observed.unverified, all_unverified)?;
            self.restore_pending_final_states(observed.pending_final_states)?;
            if self.check_count.is_multiple_of(CHECKS_PER_WITNESS_WRITE) {
                self.write_witness()?;
            }
            self.check_count += 1;
            if self.is_audit_due() {
                self.audit()?;
            }
            Ok(())
        });
        // Other errors are outages or rejected calls, which are no evidence of a loss.
        if let Err(GuardError::Lost(loss)) = result {
            restart_after_loss(&loss);
        }
    }

    fn check_identity(&mut self) -> Result<StoreObservation, GuardError> {
        let min_revision = self.state.guard.latest_store_revision();
        let observed = observe(&mut self.access)?;
        self.state.guard.check_observation(&observed, min_revision)?;
        self.state.may_lack_jobs.store(observed.may_lack_jobs(&self.node), Ordering::SeqCst);
        let found = observed.witnesses.get(&self.node).copied().unwrap_or(0);
        if found < self.witness {
            let written = self.witness;
            return Err(GuardError::Lost(Loss::WitnessWentBack { written, found }));
        }
        Ok(observed)
    }

    /// Audits the records on behalf of controllers that started without a history, and then removes
    /// their keys. If all controllers started without one, none knows more than the store, so any
    /// of them may do this.
    fn clear_unverified(
        &mut self,
        unverified: &BTreeMap<String, u64>,
        all_unverified: bool,
    ) -> Result<(), GuardError> {
        if unverified.is_empty() || (unverified.contains_key(&self.node) && !all_unverified) {
            return Ok(());
        }
        self.audit()?;
        let mut txn =
            Txn::default().if_mod_revision(IDENTITY_KEY, self.state.guard.generation.mod_revision);
        for (node, mod_revision) in unverified {
            let key = format!("{UNVERIFIED_PREFIX}{node}");
            txn = txn.if_mod_revision(&key, *mod_revision).delete(key);
        }
        // A conflict is ignored: another controller may have removed the keys.
        self.state.client.call(&StoreCall::Txn(txn))?;
        Ok(())
    }

    /// Writes as many carried-over final states as the rate allows in the interval between checks,
    /// and finishes the restoring once none is left.
    fn restore_pending_final_states(
        &mut self,
        pending_final_states: Option<Versioned<PendingFinalStates>>,
    ) -> Result<(), GuardError> {
        let Some(pending_final_states) = pending_final_states else { return Ok(()) };
        let seconds = self.settings.check_interval as f64 / 1e6;
        let mut remaining = ((self.limits.max_changes_per_second * seconds).ceil() as usize).max(1);
        while remaining > 0 {
            let limit = remaining.min(self.limits.max_txn_changes);
            let Some(records) = self.state.journal.carried_over(&self.restored_up_to, limit) else {
                return Ok(());
            };
            let Some((last_key, _)) = records.last() else {
                return self.finish_restoring(&pending_final_states);
            };
            let last_key = last_key.clone();
            remaining -= records.len();
            let mut store = |call: &StoreCall| self.state.client.call(call);
            let generation = &self.state.guard.generation;
            match restore_final_states(&mut store, generation, &records)? {
                Some(update) => self.state.journal.record(update),
                // Another controller has written some of them; the watch will report which.
                None => return Ok(()),
            }
            self.restored_up_to = last_key;
        }
        Ok(())
    }

    /// Deletes the key of pending final states if no carried-over record remains. Every final
    /// state was written by this controller or by another one, whose writes arrive by the watch.
    /// Those that are still carried over are tried again.
    fn finish_restoring(
        &mut self,
        pending_final_states: &Versioned<PendingFinalStates>,
    ) -> Result<(), GuardError> {
        self.restored_up_to.clear();
        if self.state.journal.carried_over("", 1).is_none_or(|remaining| !remaining.is_empty()) {
            return Ok(());
        }
        let txn = Txn::default()
            .if_mod_revision(IDENTITY_KEY, self.state.guard.generation.mod_revision)
            .if_mod_revision(PENDING_FINAL_STATES_KEY, pending_final_states.mod_revision)
            .delete(PENDING_FINAL_STATES_KEY);
        self.state.client.call(&StoreCall::Txn(txn))?;
        ProgramEvent::FinalStatesWritten.log();
        Ok(())
    }

    fn write_witness(&mut self) -> Result<(), GuardError> {
        let count = self.witness + 1;
        let key = format!("{WITNESS_PREFIX}{}", self.node);
        let txn = Txn::default()
            .if_mod_revision(IDENTITY_KEY, self.state.guard.generation.mod_revision)
            .write(key, Json::of(&Witness { count }));
        match self.state.client.call(&StoreCall::Txn(txn)) {
            Ok(StoreReply::Committed(_)) => {
                self.witness = count;
                self.state.journal.witness_written(count);
                Ok(())
            }
            Ok(StoreReply::Conflict(_)) => Err(GuardError::Lost(Loss::IdentityDiffers)),
            Ok(_) => Err(GuardError::Call(CallError::Unknown)),
            Err(error) => Err(error.into()),
        }
    }

    fn is_audit_due(&self) -> bool {
        let elapsed = self.last_audit.elapsed();
        let is_audit_requested = self.state.is_audit_requested.load(Ordering::SeqCst);
        elapsed.as_micros() as u64 >= self.settings.audit_interval
            || (is_audit_requested && elapsed >= REQUESTED_AUDIT_INTERVAL)
    }

    /// Compares all records with the record set as it was before they were listed.
    ///
    /// # Errors
    /// Returns [`GuardError::Lost`] if known records are missing.
    fn audit(&mut self) -> Result<(), GuardError> {
        self.last_audit = Instant::now();
        self.state.is_audit_requested.store(false, Ordering::SeqCst);
        let Some(records) = self.state.journal.records() else { return Ok(()) };
        let listed = list_generation(&mut self.access, &self.state.guard.generation)?;
        let mut store = |call: &StoreCall| self.state.client.call(call);
        self.state.guard.verify_identity(&mut store)?;
        let base = self.state.guard.generation.identity.base;
        match detect_missing_records(&records, base, listed.rows()) {
            Some(loss) => Err(GuardError::Lost(loss)),
            None => Ok(()),
        }
    }
}
