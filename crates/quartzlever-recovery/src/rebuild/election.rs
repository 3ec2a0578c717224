//! The stages of a candidate, from its announcement to the acquisition of the lock.
//!
//! The stage of this candidate is determined from each observation of the store
//! ([`Candidacy::stage`]), and each stage has one step. There are no votes: all candidates
//! determine from the same keys which of them has the latest records, and the lock decides if they
//! disagree. Invariant: a candidate wins only while it holds the lock and the last changes of every
//! candidate of the latest generation are in the store.

use quartzlever_wire::store::Txn;
use quartzlever_wire::{Json, Micros};

use super::batches::batches;
use super::extras;
use super::outcome::StepResult;
use super::session::Session;
use super::settings::RebuildSettings;
use crate::access::StoreAccess;
use crate::detection::Loss;
use crate::events::RebuildEvent;
use crate::history::History;
use crate::identity::{CANDIDATE_PREFIX, Candidate, LOCK_KEY, Lock, StoreObservation};
use crate::records::KeyChange;

/// Why no generation is serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Neither the store nor this controller knows of any cluster.
    FirstStart,
    /// The store has lost data.
    Lost(Loss),
}

/// The result of one step of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ElectionOutcome {
    /// The store must be observed again.
    Undecided,
    /// This candidate holds the lock and may write the next generation.
    Won {
        /// Modification revision of the lock's key, a fencing token: conditions on it fail once the
        /// lock is lost.
        lock_revision: u64,
    },
}

/// Stage of a candidate in the election.
#[derive(Debug)]
enum Stage {
    /// The announcement in the store is missing or outdated.
    Announcing(Candidate),
    /// Waiting for these controllers to announce themselves, since they might have later records.
    Gathering { unannounced: Vec<String> },
    /// Publishing the changes after this revision, which other candidates may lack.
    PublishingExtras { after: u64, changes: Vec<KeyChange> },
    /// Another candidate has the latest records.
    Following { best: String },
    /// This candidate has the latest records, and the lock is free.
    Locking,
    /// A process of this controller holds the lock.
    AwaitingLock { controller: String },
    /// This process holds the lock, and these candidates have not published their last changes.
    AwaitingExtras { from: Vec<String> },
    /// This process holds the lock, and all last changes are published.
    LockSecured { lock_revision: u64 },
}

/// Participation of one process in the election.
pub(super) struct Candidacy<'a> {
    history: Option<&'a History>,
    /// Whether this controller's log is verified to hold every change that it acted on.
    is_verified: bool,
    /// When this process first announced itself.
    announced_at: Option<Micros>,
    /// The changes after this revision are published on the current lease; `None` if none are.
    extras_after: Option<u64>,
}

impl<'a> Candidacy<'a> {
    pub(super) fn new(history: Option<&'a History>, is_verified: bool) -> Self {
        Candidacy { history, is_verified, announced_at: None, extras_after: None }
    }

    /// Reports whether this controller's log is verified to hold every change that it acted on.
    pub(super) fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Marks the changes as unpublished, because they expire with the lease.
    pub(super) fn reset_extras(&mut self) {
        self.extras_after = None;
    }

    /// Performs the step of the current stage.
    pub(super) fn campaign<A: StoreAccess>(
        &mut self,
        session: &mut Session<'_, A>,
        observed: &StoreObservation,
        cause: &Cause,
    ) -> StepResult<ElectionOutcome> {
        let lease = session.ensure_lease()?;
        let now = session.access().now();
        match self.stage(session.settings(), observed, now) {
            Stage::Announcing(candidate) => {
                self.announced_at.get_or_insert(now);
                let key = format!("{CANDIDATE_PREFIX}{}", session.node());
                session.commit(Txn::default().write_with_lease(
                    key,
                    Json::of(&candidate),
                    lease,
                ))?;
            }
            Stage::PublishingExtras { after, changes } => {
                publish_extras(session, &changes, lease)?;
                self.extras_after = Some(after);
            }
            Stage::Locking => acquire_lock(session, lease)?,
            Stage::LockSecured { lock_revision } => {
                return Ok(ElectionOutcome::Won { lock_revision });
            }
            Stage::Gathering { unannounced } => {
                let loss = match cause {
                    Cause::FirstStart => None,
                    Cause::Lost(loss) => Some(loss.clone()),
                };
                session.log_progress(RebuildEvent::ControllersAwaited {
                    loss,
                    controllers: unannounced,
                });
            }
            Stage::Following { best } => {
                session.log_progress(RebuildEvent::RebuildLeftTo { controller: best });
            }
            Stage::AwaitingLock { controller } => {
                session.log_progress(RebuildEvent::RebuildLockAwaited { controller })
            }
            Stage::AwaitingExtras { from } => {
                session.log_progress(RebuildEvent::LastChangesAwaited { controllers: from })
            }
        }
        Ok(ElectionOutcome::Undecided)
    }

    /// Determines the stage of this candidate from an observation of the store.
    fn stage(&self, settings: &RebuildSettings, observed: &StoreObservation, now: Micros) -> Stage {
        let candidate = self.candidate();
        let announced = observed.candidates.get(&settings.node).map(|found| &found.value);
        if announced != Some(&candidate) {
            return Stage::Announcing(candidate);
        }
        let unannounced = unannounced_controllers(settings, observed);
        if !self.has_gathered(settings, observed, &unannounced, now) {
            return Stage::Gathering { unannounced };
        }
        if let Some(publishing) = self.extras_to_publish(settings, observed) {
            return publishing;
        }
        let best = best_candidate(observed);
        if best != Some(settings.node.as_str()) {
            return Stage::Following { best: best.unwrap_or("another controller").to_owned() };
        }
        lock_stage(settings, observed)
    }

    /// Returns the announcement of this process.
    fn candidate(&self) -> Candidate {
        Candidate {
            generation: self.history.map(|history| history.identity.generation),
            revision: self.history.map_or(0, |history| history.records.latest_revision()),
            complete_up_to: self.history.map_or(0, |history| history.records.revision()),
            extras_after: self.extras_after,
            is_verified: self.is_verified,
        }
    }

    /// Reports whether enough controllers have announced themselves, or the time to wait for them
    /// is over.
    fn has_gathered(
        &self,
        settings: &RebuildSettings,
        observed: &StoreObservation,
        unannounced: &[String],
        now: Micros,
    ) -> bool {
        let no_candidate_has_history =
            observed.candidates.values().all(|found| found.value.generation.is_none());
        let waited = now - self.announced_at.unwrap_or(0);
        // If no candidate has a history, the first start cannot be told from a loss, so all
        // controllers must have announced that they have none, however long that takes.
        unannounced.is_empty() || (!no_candidate_has_history && waited >= settings.gather_timeout)
    }

    /// Returns the stage that publishes the last changes of this process; `None` if they are
    /// published already or its history is not of the latest generation.
    fn extras_to_publish(
        &self,
        settings: &RebuildSettings,
        observed: &StoreObservation,
    ) -> Option<Stage> {
        let common = extras::common_revision(observed);
        let is_of_latest_generation =
            extras::latest_generation_candidates(observed).any(|(node, _)| *node == settings.node);
        let is_published = self.extras_after.is_some_and(|after| after <= common);
        let history = self.history.filter(|_| is_of_latest_generation && !is_published)?;
        let changes = history.records.changes_after(common);
        Some(Stage::PublishingExtras { after: common, changes })
    }
}

/// Returns the stage of the candidate with the latest records, which depends on the lock.
fn lock_stage(settings: &RebuildSettings, observed: &StoreObservation) -> Stage {
    let Some(lock) = &observed.lock else { return Stage::Locking };
    if lock.value.process != settings.process || lock.value.node != settings.node {
        return Stage::AwaitingLock { controller: lock.value.node.clone() };
    }
    let from = extras::unpublished_candidates(observed);
    if !from.is_empty() {
        return Stage::AwaitingExtras { from };
    }
    Stage::LockSecured { lock_revision: lock.mod_revision }
}

/// Writes the changes under `recovery/extra/`, on the candidate's lease.
fn publish_extras<A: StoreAccess>(
    session: &mut Session<'_, A>,
    changes: &[KeyChange],
    lease: u64,
) -> StepResult<()> {
    let settings = session.settings();
    let writes = extras::piece_writes(&settings.node, changes, settings.max_value_bytes, lease);
    for changes in batches(writes, settings.max_txn_changes) {
        session.commit_batch(Txn { conditions: Vec::new(), changes })?;
    }
    Ok(())
}

/// Acquires the lock on the candidate's lease; fails with a conflict if it is held.
fn acquire_lock<A: StoreAccess>(session: &mut Session<'_, A>, lease: u64) -> StepResult<()> {
    let settings = session.settings();
    let lock = Lock { node: settings.node.clone(), process: settings.process };
    session.commit(Txn::default().if_mod_revision(LOCK_KEY, 0).write_with_lease(
        LOCK_KEY,
        Json::of(&lock),
        lease,
    ))
}

/// Returns the controllers that have not announced themselves.
fn unannounced_controllers(settings: &RebuildSettings, observed: &StoreObservation) -> Vec<String> {
    let is_unannounced = |node: &&String| !observed.candidates.contains_key(*node);
    settings.nodes.iter().filter(is_unannounced).cloned().collect()
}

/// Returns the candidate with the latest records; among equals, the first by name.
fn best_candidate(observed: &StoreObservation) -> Option<&str> {
    let rank = |candidate: &Candidate| (candidate.generation, candidate.revision);
    let mut best: Option<(&str, &Candidate)> = None;
    for (node, candidate) in &observed.candidates {
        if best.is_none_or(|(_, known)| rank(&candidate.value) > rank(known)) {
            best = Some((node, &candidate.value));
        }
    }
    best.map(|(node, _)| node)
}
