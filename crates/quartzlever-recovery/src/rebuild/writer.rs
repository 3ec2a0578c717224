//! Writing the next generation while holding the lock.
//!
//! Invariant: every transaction has the lock and the observed identity as conditions (the fence),
//! so a writer that has lost the lock cannot commit anything. The identity itself is written last.

use quartzlever_wire::Json;
use quartzlever_wire::store::{Change, Condition, Txn};

use super::batches::{batches, in_namespace};
use super::extras;
use super::outcome::StepResult;
use super::session::Session;
use super::successor::{next_identity, read_survivors};
use crate::access::StoreAccess;
use crate::events::RebuildEvent;
use crate::history::History;
use crate::identity::{
    ABSENT_PREFIX, AbsentNode, IDENTITY_KEY, Identity, LOCK_KEY, PENDING_FINAL_STATES_KEY,
    PendingFinalStates, Phase, StoreObservation,
};
use crate::plan::{SurvivingRecords, plan};
use crate::records::RecordSet;

/// Writes the next generation for the process that holds the lock.
pub(super) struct Writer<'s, 'a, A> {
    session: &'s mut Session<'a, A>,
    observed: &'s StoreObservation,
    fence: Vec<Condition>,
}

impl<'s, 'a, A: StoreAccess> Writer<'s, 'a, A> {
    pub(super) fn new(
        session: &'s mut Session<'a, A>,
        observed: &'s StoreObservation,
        lock_revision: u64,
    ) -> Self {
        let identity_revision =
            observed.identity.as_ref().map_or(0, |identity| identity.mod_revision);
        let fence = vec![
            Condition { path: LOCK_KEY.into(), mod_revision: lock_revision },
            Condition { path: IDENTITY_KEY.into(), mod_revision: identity_revision },
        ];
        Writer { session, observed, fence }
    }

    /// Rebuilds the records from this process's history, the changes that other candidates have
    /// published, and the records that the store still holds.
    pub(super) fn rebuild_from(
        &mut self,
        history: &History,
        is_own_log_verified: bool,
    ) -> StepResult<()> {
        let begin = self.session.access().now();
        let mut records = history.records.clone();
        records.apply(extras::collect(self.observed));
        if !(is_own_log_verified && self.are_other_logs_verified(history)) {
            self.session.await_worker_lease_expiry()?;
        }
        let survivors = read_survivors(self.session, history, self.observed)?;
        let plan = plan(&records, &survivors);
        let next = next_identity(self.session, history, self.observed, &survivors);
        let known_up_to = extras::common_revision(self.observed);
        self.write_records(plan.changes(&survivors, &records, known_up_to), &next)?;
        self.commit_generation(&next, &records, &survivors, known_up_to)?;
        let duration = self.session.access().now() - begin;
        let (generation, summary) = (next.generation, plan.summary);
        self.log(RebuildEvent::GenerationRebuilt { generation, duration, summary });
        Ok(())
    }

    /// Creates a generation from the records in the store as they are, since no controller has a
    /// history. This is the first generation, unless one was given up and every recovery directory
    /// was lost since.
    pub(super) fn found_generation(&mut self) -> StepResult<()> {
        let identity = match &self.observed.identity {
            Some(given_up) => {
                self.session.await_worker_lease_expiry()?;
                let generation = given_up.value.generation + 1;
                Identity { generation, phase: Phase::Serving, ..given_up.value.clone() }
            }
            None => Identity {
                cluster: format!("{:016x}", self.session.access().random_number()),
                generation: 0,
                namespace: String::new(),
                base: 0,
                phase: Phase::Serving,
            },
        };
        let txn = self.fenced(Vec::new());
        self.session.commit(txn.write(IDENTITY_KEY, Json::of(&identity)).delete(LOCK_KEY))?;
        let Identity { cluster, generation, .. } = identity;
        self.log(RebuildEvent::GenerationFounded { cluster, generation });
        Ok(())
    }

    /// Reports whether each controller that was up is a candidate whose log is verified to hold
    /// every change that it acted on.
    fn are_other_logs_verified(&self, history: &History) -> bool {
        let candidates = &self.observed.candidates;
        let is_verified =
            |node: &str| candidates.get(node).is_some_and(|candidate| candidate.value.is_verified);
        history.records.nodes_up().all(is_verified)
    }

    /// Writes the records in transactions within the store's limits of size and rate.
    fn write_records(&mut self, changes: Vec<Change>, next: &Identity) -> StepResult<()> {
        let total = changes.len();
        let mut written = 0;
        for batch in batches(changes, self.session.settings().max_txn_changes) {
            self.session.ensure_lease()?;
            written += batch.len();
            let changes = batch.into_iter().map(|change| in_namespace(change, next)).collect();
            self.session.commit_batch(self.fenced(changes))?;
            let generation = next.generation;
            self.session.log_progress(RebuildEvent::RebuildProgress { generation, written, total });
        }
        Ok(())
    }

    /// Makes the written records the next generation, in one transaction that also releases the
    /// lock.
    fn commit_generation(
        &mut self,
        next: &Identity,
        records: &RecordSet,
        survivors: &SurvivingRecords,
        known_up_to: u64,
    ) -> StepResult<()> {
        let mut txn = self.fenced(Vec::new());
        if !survivors.same_lineage {
            txn =
                txn.write(PENDING_FINAL_STATES_KEY, Json::of(&PendingFinalStates { known_up_to }));
        }
        let is_absent = |node: &&str| !self.observed.candidates.contains_key(*node);
        for node in records.nodes_up().filter(is_absent) {
            let absent = AbsentNode { generation: next.generation };
            txn = txn.write(format!("{ABSENT_PREFIX}{node}"), Json::of(&absent));
        }
        self.session.commit(txn.write(IDENTITY_KEY, Json::of(next)).delete(LOCK_KEY))
    }

    /// Returns a transaction with the fence as its conditions.
    fn fenced(&self, changes: Vec<Change>) -> Txn {
        Txn { conditions: self.fence.clone(), changes }
    }

    fn log(&mut self, event: RebuildEvent) {
        self.session.access().log(event);
    }
}
