//! The stages of a candidate, from its announcement to the lock.
//!
//! Every look at the store shows the stage of this candidate ([`Candidacy::stage`]), and each stage has one
//! step. Nobody counts votes: the candidates all compute from the same keys which of them has the latest
//! records, and the lock decides where they disagree. Invariant: a candidate wins only while it holds the
//! lock, with every informed candidate's last changes in the store.

use quartzlever_wire::store::Txn;
use quartzlever_wire::{Json, Micros};

use super::batches::batches;
use super::extras;
use super::outcome::Attempt;
use super::session::Session;
use super::settings::RebuildSettings;
use crate::access::StoreAccess;
use crate::detection::Loss;
use crate::events::RebuildEvent;
use crate::history::History;
use crate::identity::{CANDIDATE_PREFIX, Candidate, LOCK_KEY, Lock, Observed};
use crate::picture::KeyChange;

/// Why no generation serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Neither the store nor this controller knows of any cluster.
    FirstStart,
    /// The store has lost data.
    Lost(Loss),
}

/// The result of one step of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Election {
    /// The store has to be looked at again.
    Undecided,
    /// This candidate holds the lock and writes the next generation.
    Won {
        /// Stamp of the lock's key, a fencing token: conditions on it fail once the lock is lost.
        lock_stamp: u64,
    },
}

/// How far a candidate has come.
#[derive(Debug)]
enum Stage {
    /// The store does not show this candidate as it is.
    Announcing(Candidate),
    /// These controllers are awaited, since they might know more.
    Gathering { absent: Vec<String> },
    /// Other candidates may lack the changes after this revision.
    PublishingExtras { after: u64, changes: Vec<KeyChange> },
    /// Another candidate has the latest records.
    Following { best: String },
    /// This candidate has the latest records, and the lock is free.
    Locking,
    /// Another process holds the lock.
    LockedOut { leader: String },
    /// The lock is held; these candidates have not published their last changes.
    AwaitingExtras { from: Vec<String> },
    /// Nothing is left to wait for.
    Winning { lock_stamp: u64 },
}

/// The candidacy of one process.
pub(super) struct Candidacy<'a> {
    history: Option<&'a History>,
    /// The own log surely holds everything that this controller acted on.
    is_verified: bool,
    /// When this process first announced itself.
    announced: Option<Micros>,
    /// Changes after this revision are published on the present lease.
    extras_after: Option<u64>,
}

impl<'a> Candidacy<'a> {
    pub(super) fn new(history: Option<&'a History>, is_verified: bool) -> Self {
        Candidacy { history, is_verified, announced: None, extras_after: None }
    }

    pub(super) fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Forgets that changes are published: they go with the lease.
    pub(super) fn forget_extras(&mut self) {
        self.extras_after = None;
    }

    /// Takes one step towards the lock.
    pub(super) fn campaign<A: StoreAccess>(
        &mut self,
        session: &mut Session<'_, A>,
        observed: &Observed,
        cause: &Cause,
    ) -> Attempt<Election> {
        let lease = session.ensure_lease()?;
        let now = session.access().now();
        match self.stage(session.settings(), observed, now) {
            Stage::Announcing(candidate) => {
                self.announced.get_or_insert(now);
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
            Stage::Locking => lock(session, lease)?,
            Stage::Winning { lock_stamp } => return Ok(Election::Won { lock_stamp }),
            Stage::Gathering { absent } => {
                let loss = match cause {
                    Cause::FirstStart => None,
                    Cause::Lost(loss) => Some(loss.clone()),
                };
                session
                    .log_progress(RebuildEvent::ControllersAwaited { loss, controllers: absent });
            }
            Stage::Following { best } => {
                session.log_progress(RebuildEvent::RebuildLeftTo { controller: best });
            }
            Stage::LockedOut { leader } => {
                session.log_progress(RebuildEvent::RebuildLockAwaited { controller: leader })
            }
            Stage::AwaitingExtras { from } => {
                session.log_progress(RebuildEvent::LastChangesAwaited { controllers: from })
            }
        }
        Ok(Election::Undecided)
    }

    fn stage(&self, settings: &RebuildSettings, observed: &Observed, now: Micros) -> Stage {
        let candidate = self.candidate();
        let announced = observed.candidates.get(&settings.node).map(|found| &found.value);
        if announced != Some(&candidate) {
            return Stage::Announcing(candidate);
        }
        let absent = absent_controllers(settings, observed);
        if !self.has_gathered(settings, observed, &absent, now) {
            return Stage::Gathering { absent };
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

    /// What this process announces.
    fn candidate(&self) -> Candidate {
        Candidate {
            generation: self.history.map(|history| history.identity.generation),
            revision: self.history.map_or(0, |history| history.picture.newest()),
            complete_to: self.history.map_or(0, |history| history.picture.revision()),
            extras_after: self.extras_after,
            proven: self.is_verified,
        }
    }

    fn has_gathered(
        &self,
        settings: &RebuildSettings,
        observed: &Observed,
        absent: &[String],
        now: Micros,
    ) -> bool {
        let nobody_has_history =
            observed.candidates.values().all(|found| found.value.generation.is_none());
        let waited = now - self.announced.unwrap_or(0);
        // Without any history nobody can tell the first start from a loss, so all must say so.
        absent.is_empty() || (!nobody_has_history && waited >= settings.gather)
    }

    /// The last changes that this process knows, unless they are published or it is not informed.
    fn extras_to_publish(&self, settings: &RebuildSettings, observed: &Observed) -> Option<Stage> {
        let common = extras::common_revision(observed);
        let is_informed = extras::informed(observed).any(|(node, _)| *node == settings.node);
        let is_published = self.extras_after.is_some_and(|after| after <= common);
        let history = self.history.filter(|_| is_informed && !is_published)?;
        let changes = history.picture.changes_after(common);
        Some(Stage::PublishingExtras { after: common, changes })
    }
}

/// The stage of the candidate with the latest records, by the lock.
fn lock_stage(settings: &RebuildSettings, observed: &Observed) -> Stage {
    let Some(lock) = &observed.lock else { return Stage::Locking };
    if lock.value.process != settings.process || lock.value.node != settings.node {
        return Stage::LockedOut { leader: lock.value.node.clone() };
    }
    let from = extras::unpublished(observed);
    if !from.is_empty() {
        return Stage::AwaitingExtras { from };
    }
    Stage::Winning { lock_stamp: lock.mod_revision }
}

fn publish_extras<A: StoreAccess>(
    session: &mut Session<'_, A>,
    changes: &[KeyChange],
    lease: u64,
) -> Attempt<()> {
    let settings = session.settings();
    let writes = extras::writes(&settings.node, changes, settings.value_bytes, lease);
    for changes in batches(writes, settings.txn_ops) {
        session.commit_batch(Txn { conditions: Vec::new(), changes })?;
    }
    Ok(())
}

fn lock<A: StoreAccess>(session: &mut Session<'_, A>, lease: u64) -> Attempt<()> {
    let settings = session.settings();
    let lock = Lock { node: settings.node.clone(), process: settings.process };
    session.commit(Txn::default().if_mod_revision(LOCK_KEY, 0).write_with_lease(
        LOCK_KEY,
        Json::of(&lock),
        lease,
    ))
}

/// Controllers that have not announced themselves.
fn absent_controllers(settings: &RebuildSettings, observed: &Observed) -> Vec<String> {
    let is_absent = |node: &&String| !observed.candidates.contains_key(*node);
    settings.nodes.iter().filter(is_absent).cloned().collect()
}

/// The candidate with the latest records; of several the first by name.
fn best_candidate(observed: &Observed) -> Option<&str> {
    let rank = |candidate: &Candidate| (candidate.generation, candidate.revision);
    let mut best: Option<(&str, &Candidate)> = None;
    for (node, candidate) in &observed.candidates {
        if best.is_none_or(|(_, known)| rank(&candidate.value) > rank(known)) {
            best = Some((node, &candidate.value));
        }
    }
    best.map(|(node, _)| node)
}
