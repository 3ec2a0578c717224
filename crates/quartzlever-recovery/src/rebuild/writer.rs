//! Writing the next generation as the leader of the lock.
//!
//! Invariant: every transaction here is on condition of the lock and of the identity that was observed (the
//! fence), so nothing of a writer that has lost the lock comes into force; the identity itself is written
//! last.

use quartzlever_wire::Json;
use quartzlever_wire::store::{Change, Condition, Txn};

use super::batches::{batches, in_namespace};
use super::extras;
use super::outcome::Attempt;
use super::session::Session;
use super::successor::{next_identity, read_survivors};
use crate::access::StoreAccess;
use crate::events::RebuildEvent;
use crate::history::History;
use crate::identity::{
    ABSENT_PREFIX, AbsentNode, IDENTITY_KEY, Identity, LOCK_KEY, Observed,
    PENDING_FINAL_STATES_KEY, PendingFinalStates, Phase,
};
use crate::picture::Picture;
use crate::plan::{Survivors, plan};

/// The leader of the lock.
pub(super) struct Writer<'s, 'a, A> {
    session: &'s mut Session<'a, A>,
    observed: &'s Observed,
    fence: Vec<Condition>,
}

impl<'s, 'a, A: StoreAccess> Writer<'s, 'a, A> {
    pub(super) fn new(
        session: &'s mut Session<'a, A>,
        observed: &'s Observed,
        lock_stamp: u64,
    ) -> Self {
        let identity_stamp = observed.identity.as_ref().map_or(0, |identity| identity.mod_revision);
        let fence = vec![
            Condition { path: LOCK_KEY.into(), mod_revision: lock_stamp },
            Condition { path: IDENTITY_KEY.into(), mod_revision: identity_stamp },
        ];
        Writer { session, observed, fence }
    }

    /// Rebuilds the records from this process's history, what the other candidates have published, and what
    /// the store still holds.
    pub(super) fn rebuild_from(
        &mut self,
        history: &History,
        own_log_is_proven: bool,
    ) -> Attempt<()> {
        let begin = self.session.access().now();
        let mut picture = history.picture.clone();
        picture.apply(extras::collect(self.observed));
        if !(own_log_is_proven && self.others_are_proven(history)) {
            self.session.wait_out_worker_leases()?;
        }
        let survivors = read_survivors(self.session, history, self.observed)?;
        let plan = plan(&picture, &survivors);
        let next = next_identity(self.session, history, self.observed, &survivors);
        let known_to = extras::common_revision(self.observed);
        self.write_records(plan.changes(&survivors, &picture, known_to), &next)?;
        self.commit_generation(&next, &picture, &survivors, known_to)?;
        let duration = self.session.access().now() - begin;
        let (generation, summary) = (next.generation, plan.summary);
        self.log(RebuildEvent::GenerationRebuilt { generation, duration, summary });
        Ok(())
    }

    /// No controller has any history: the records are those that there are. They are those of the very
    /// first generation, unless one was given up and every directory lost since.
    pub(super) fn found(&mut self) -> Attempt<()> {
        let identity = match &self.observed.identity {
            Some(given_up) => {
                self.session.wait_out_worker_leases()?;
                let generation = given_up.value.generation + 1;
                Identity { generation, phase: Phase::Serving, ..given_up.value.clone() }
            }
            None => Identity {
                cluster: format!("{:016x}", self.session.access().draw()),
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

    /// Whether each controller that was up is a candidate whose log surely holds everything it acted on.
    fn others_are_proven(&self, history: &History) -> bool {
        let candidates = &self.observed.candidates;
        let is_verified =
            |node: &str| candidates.get(node).is_some_and(|candidate| candidate.value.proven);
        history.picture.nodes_up().all(is_verified)
    }

    /// Writes the records in transactions that the store takes, no faster than it allows.
    fn write_records(&mut self, changes: Vec<Change>, next: &Identity) -> Attempt<()> {
        let total = changes.len();
        let mut written = 0;
        for batch in batches(changes, self.session.settings().txn_ops) {
            self.session.ensure_lease()?;
            written += batch.len();
            let changes = batch.into_iter().map(|change| in_namespace(change, next)).collect();
            self.session.commit_batch(self.fenced(changes))?;
            let generation = next.generation;
            self.session.log_progress(RebuildEvent::RebuildProgress { generation, written, total });
        }
        Ok(())
    }

    /// Makes the records that were written the next generation, in one transaction.
    fn commit_generation(
        &mut self,
        next: &Identity,
        picture: &Picture,
        survivors: &Survivors,
        known_to: u64,
    ) -> Attempt<()> {
        let mut txn = self.fenced(Vec::new());
        if !survivors.same_lineage {
            txn = txn.write(PENDING_FINAL_STATES_KEY, Json::of(&PendingFinalStates { known_to }));
        }
        let is_absent = |node: &&str| !self.observed.candidates.contains_key(*node);
        for node in picture.nodes_up().filter(is_absent) {
            let absent = AbsentNode { generation: next.generation };
            txn = txn.write(format!("{ABSENT_PREFIX}{node}"), Json::of(&absent));
        }
        self.session.commit(txn.write(IDENTITY_KEY, Json::of(next)).delete(LOCK_KEY))
    }

    fn fenced(&self, changes: Vec<Change>) -> Txn {
        Txn { conditions: self.fence.clone(), changes }
    }

    fn log(&mut self, event: RebuildEvent) {
        self.session.access().log(event);
    }
}
