//! The thread that looks for loss where nothing else would notice it.
//!
//! Owns this controller's witness key and the writing of carried-over final states. Never mends a loss: the
//! process begins anew instead.

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
use crate::recovery::state::{ClientAccess, GuardedStore, reset_cache};
use crate::settings::RecoverySettings;

/// The witness key is written with every so many looks.
const LOOKS_PER_WITNESS: u64 = 5;
/// Records that are suspected to be missing are looked for no more often.
const SUSPICION_PAUSE: Duration = Duration::from_secs(5);

/// Looks at the identity of the records now and then, and compares all records with the record set.
pub struct Monitor {
    state: Arc<GuardedStore>,
    settings: RecoverySettings,
    node: String,
    access: ClientAccess,
    looks: u64,
    witness: u64,
    audited: Instant,
    /// Carried-over final states up to this key were written, or seen to be.
    restored_to: String,
    pace: Pace,
}

/// What the settings say: what this controller may take of the store's changes for carried-over final states.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub txn_ops: usize,
    /// Changes a second.
    pub rate: f64,
    /// How many controllers there are by the settings.
    pub controllers: usize,
}

impl Monitor {
    /// Starts the thread, which lives as long as the process.
    pub fn start(
        state: Arc<GuardedStore>,
        settings: RecoverySettings,
        node: String,
        witness: u64,
        pace: Pace,
    ) -> std::io::Result<()> {
        let access = ClientAccess { client: state.client.clone(), clock: Clock::new() };
        let audited = Instant::now();
        let restored_to = String::new();
        let mut monitor = Monitor {
            state,
            settings,
            node,
            access,
            looks: 0,
            witness,
            audited,
            restored_to,
            pace,
        };
        thread::Builder::new()
            .name("monitor".into())
            .spawn(move || {
                loop {
                    thread::sleep(Duration::from_micros(monitor.settings.check));
                    monitor.look();
                }
            })
            .map(|_| ())
    }

    fn look(&mut self) {
        let looked = self.check_identity().and_then(|observed| {
            let is_alone = observed.unverified.len() >= self.pace.controllers;
            self.announce_verified(&observed.unverified, is_alone)?;
            self.restore(observed.pending_final_states)?;
            if self.looks.is_multiple_of(LOOKS_PER_WITNESS) {
                self.write_witness()?;
            }
            self.looks += 1;
            if self.is_audit_due() {
                self.audit()?;
            }
            Ok(())
        });
        // A store that does not answer has lost nothing, as far as anybody knows.
        if let Err(GuardError::Lost(loss)) = looked {
            reset_cache(&loss);
        }
    }

    fn check_identity(&mut self) -> Result<StoreObservation, GuardError> {
        let floor = self.state.guard.latest_store_revision();
        let observed = observe(&mut self.access)?;
        self.state.guard.check_observation(&observed, floor)?;
        self.state.may_lack_jobs.store(observed.may_lack_jobs(&self.node), Ordering::SeqCst);
        let found = observed.witnesses.get(&self.node).copied().unwrap_or(0);
        if found < self.witness {
            let written = self.witness;
            return Err(GuardError::Lost(Loss::WitnessWentBack { written, found }));
        }
        Ok(observed)
    }

    /// Compares the records with the record set for controllers that came without a history, and removes
    /// their keys. Where all came without one, nobody knows better than the store.
    fn announce_verified(
        &mut self,
        unverified: &BTreeMap<String, u64>,
        nobody_knows: bool,
    ) -> Result<(), GuardError> {
        if unverified.is_empty() || (unverified.contains_key(&self.node) && !nobody_knows) {
            return Ok(());
        }
        self.audit()?;
        let mut txn =
            Txn::default().if_mod_revision(IDENTITY_KEY, self.state.guard.generation.mod_revision);
        for (node, mod_revision) in unverified {
            let key = format!("{UNVERIFIED_PREFIX}{node}");
            txn = txn.if_mod_revision(&key, *mod_revision).delete(key);
        }
        // Another controller may have been first.
        self.state.client.call(&StoreCall::Txn(txn))?;
        Ok(())
    }

    /// Writes carried-over final states for as long as a look takes, and says so when all are there.
    fn restore(
        &mut self,
        pending_final_states: Option<Versioned<PendingFinalStates>>,
    ) -> Result<(), GuardError> {
        let Some(pending_final_states) = pending_final_states else { return Ok(()) };
        let seconds = self.settings.check as f64 / 1e6;
        let mut left = ((self.pace.rate * seconds).ceil() as usize).max(1);
        while left > 0 {
            let most = left.min(self.pace.txn_ops);
            let Some(records) = self.state.journal.carried_over(&self.restored_to, most) else {
                return Ok(());
            };
            let Some((last, _)) = records.last() else {
                return self.finish_restoring(&pending_final_states);
            };
            let last = last.clone();
            left -= records.len();
            let mut store = |call: &StoreCall| self.state.client.call(call);
            let generation = &self.state.guard.generation;
            match restore_final_states(&mut store, generation, &records)? {
                Some(update) => self.state.journal.record(update),
                // Another controller has written some of them; the watch will tell which.
                None => return Ok(()),
            }
            self.restored_to = last;
        }
        Ok(())
    }

    /// Every final state was written by now, or another controller has written it. Those are seen by the
    /// watch; whatever is carried over still is tried again, and when nothing is, the key goes.
    fn finish_restoring(
        &mut self,
        pending_final_states: &Versioned<PendingFinalStates>,
    ) -> Result<(), GuardError> {
        self.restored_to.clear();
        if self.state.journal.carried_over("", 1).is_none_or(|left| !left.is_empty()) {
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
        let since = self.audited.elapsed();
        let suspects = self.state.suspects.load(Ordering::SeqCst);
        since.as_micros() as u64 >= self.settings.audit || (suspects && since >= SUSPICION_PAUSE)
    }

    /// Compares all records with the record set as it was before they were listed.
    fn audit(&mut self) -> Result<(), GuardError> {
        self.audited = Instant::now();
        self.state.suspects.store(false, Ordering::SeqCst);
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
