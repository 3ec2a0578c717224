//! The thread that looks for loss where nothing else would notice it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_recovery::detection::{Loss, missing_records};
use quartzlever_recovery::guard::GuardError;
use quartzlever_recovery::identity::{IDENTITY, WITNESSES, Witness};
use quartzlever_recovery::rebuild::{list_generation, observe};
use quartzlever_wire::state::{StateCall, StateReply, Txn};
use quartzlever_wire::{CallError, Json};

use crate::clock::Clock;
use crate::recovery::settings::RecoverySettings;
use crate::recovery::state::{ClientAccess, GuardedState, begin_anew};

/// The witness key is written with every so many looks.
const LOOKS_PER_WITNESS: u64 = 5;
/// Records that are suspected to be missing are looked for no more often.
const SUSPICION_PAUSE: Duration = Duration::from_secs(5);

/// Looks at the identity of the records now and then, and compares all records with the picture.
pub struct Monitor {
    state: Arc<GuardedState>,
    settings: RecoverySettings,
    node: String,
    access: ClientAccess,
    looks: u64,
    witness: u64,
    audited: Instant,
}

impl Monitor {
    pub fn start(
        state: Arc<GuardedState>,
        settings: RecoverySettings,
        node: String,
        witness: u64,
    ) -> std::io::Result<()> {
        let access = ClientAccess { client: state.client.clone(), clock: Clock::new() };
        let audited = Instant::now();
        let mut monitor = Monitor { state, settings, node, access, looks: 0, witness, audited };
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
        let looked = self.check_identity().and_then(|()| {
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
            begin_anew(&loss);
        }
    }

    fn check_identity(&mut self) -> Result<(), GuardError> {
        let floor = self.state.guard.highest();
        let observed = observe(&mut self.access)?;
        self.state.guard.check(&observed, floor)?;
        self.state.lacks_jobs.store(!observed.absent.is_empty(), Ordering::SeqCst);
        let found = observed.witnesses.get(&self.node).copied().unwrap_or(0);
        if found < self.witness {
            let written = self.witness;
            return Err(GuardError::Lost(Loss::WitnessWentBack { written, found }));
        }
        Ok(())
    }

    fn write_witness(&mut self) -> Result<(), GuardError> {
        let count = self.witness + 1;
        let key = format!("{WITNESSES}{}", self.node);
        let txn = Txn::default()
            .when(IDENTITY, self.state.guard.generation.stamp)
            .write(key, Json::of(&Witness { count }));
        match self.state.client.call(&StateCall::Txn(txn)) {
            Ok(StateReply::Committed(_)) => {
                self.witness = count;
                self.state.journal.witness_written(count);
                Ok(())
            }
            Ok(StateReply::Conflict(_)) => Err(GuardError::Lost(Loss::IdentityDiffers)),
            Ok(_) => Err(GuardError::Call(CallError::Unknown)),
            Err(error) => Err(error.into()),
        }
    }

    fn is_audit_due(&self) -> bool {
        let since = self.audited.elapsed();
        let suspects = self.state.suspects.load(Ordering::SeqCst);
        since.as_micros() as u64 >= self.settings.audit || (suspects && since >= SUSPICION_PAUSE)
    }

    /// Compares all records with the picture as it was before they were listed.
    fn audit(&mut self) -> Result<(), GuardError> {
        self.audited = Instant::now();
        self.state.suspects.store(false, Ordering::SeqCst);
        let Some(picture) = self.state.journal.picture() else { return Ok(()) };
        let listed = list_generation(&mut self.access, &self.state.guard.generation)?;
        let mut store = |call: &StateCall| self.state.client.call(call);
        self.state.guard.verify(&mut store)?;
        match missing_records(&picture, listed.rows()) {
            Some(loss) => Err(GuardError::Lost(loss)),
            None => Ok(()),
        }
    }
}
