//! The steps from the start of a process to an intact store.
//!
//! A controller that finds the store intact, or rebuilt by another, goes on at once. Otherwise each one
//! announces what it could rebuild the records from; the one with the latest takes a lock that hangs on its
//! lease, writes the records, and makes them the next generation by one conditional write. Whatever step it
//! dies in, the generation did not change, and the next controller begins again. What the others know beyond
//! its records they hand over before; a controller that was away hands it in when it comes back.

mod contribution;
mod extras;

use std::collections::BTreeMap;

use quartzlever_wire::state::{Change, Condition, OVER, Rows, StateCall, StateReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::StateAccess;
use crate::detection::{Known, Loss, Verdict, judge, missing_records};
use crate::generation::{GENERATIONS, Generation};
use crate::history::History;
use crate::identity::{
    ABSENT, AbsentNode, CANDIDATES, Candidate, IDENTITY, INHERITING, Identity, Inheriting, LOCK,
    Lock, Observed, Phase, RECOVERY, Stamped, UNVOUCHED,
};
use crate::picture::{Picture, Record, Update};
use crate::plan::{Survivors, plan};

/// Between two looks at the store.
const POLL: Micros = SECOND / 2;
/// How often it is said again what is waited for.
const SAY_EVERY: Micros = 10 * SECOND;
/// What the revisions of a new line are ahead of all that were seen: more than any store takes in changes
/// between a controller's last write to its log and the loss, for months. It leaves room for
/// thousands of rebuilds below the 2^42 that attempts can be made of.
const HEADROOM: u64 = 1 << 30;
/// What a transaction may hold in all, with room for its conditions.
const TXN_BYTES: usize = 48 * 1024;
/// Leases are kept back by as much for answers on their way, and by twice the drift of steady clocks.
const LEASE_MARGIN: Micros = 3 * SECOND;
const DRIFT_PER_10K: Micros = 10;

/// What the steps are told by the settings.
#[derive(Clone, Debug)]
pub struct RebuildSettings {
    pub node: String,
    /// All controllers, this one among them.
    pub nodes: Vec<String>,
    pub process: u64,
    /// How long other controllers are waited for that might know more.
    pub gather: Micros,
    /// Life of the lease on which candidates and the lock hang, and of a worker's.
    pub lease_life: Micros,
    pub worker_lease: Micros,
    /// Changes in a transaction, and changes a second.
    pub txn_ops: usize,
    pub write_rps: f64,
    /// What a value may hold.
    pub value_bytes: usize,
}

/// What a controller has to rebuild from.
#[derive(Clone, Debug, Default)]
pub struct Local {
    pub history: Option<History>,
    /// The mark that the log is written before anything is done.
    pub marked: bool,
    /// A loss that was found while the store still looks intact otherwise.
    pub found: Option<Loss>,
}

/// A store that may be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    pub generation: Generation,
    pub picture: Picture,
    /// The store's revision that the records were read at, at least.
    pub epoch: u64,
    /// Others may know of jobs that the records lack.
    pub lacks_jobs: bool,
}

/// Why a controller cannot go on without a person.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RebuildError {
    #[error("the state service has the records of another cluster than this directory")]
    ForeignCluster,
}

/// A step that did not come through; the next look decides anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    Call,
    /// A condition did not hold: another controller was first, or data was lost again.
    Overtaken,
}

impl From<CallError> for Interrupted {
    fn from(_: CallError) -> Interrupted {
        Interrupted::Call
    }
}

type Step<T> = Result<T, Interrupted>;

/// Reads the keys of this crate.
pub fn observe(access: &mut impl StateAccess) -> Result<Observed, CallError> {
    let mut all = Vec::new();
    let mut from: Option<String> = None;
    loop {
        let call = StateCall::List { prefix: RECOVERY.into(), from };
        let StateReply::Rows(page) = access.call(&call)? else { return Err(CallError::Unknown) };
        all.extend(page.rows);
        if !page.has_next {
            return Ok(Observed::of(&Rows { rows: all, has_next: false, epoch: page.epoch }));
        }
        from = all.last().map(|row| row.path.clone());
    }
}

/// Reads all records of a generation; the picture is complete up to the revision of the first page.
pub fn list_generation(
    access: &mut impl StateAccess,
    generation: &Generation,
) -> Result<Picture, CallError> {
    let mut rows: BTreeMap<String, Record> = BTreeMap::new();
    let mut from: Option<String> = None;
    let mut revision = None;
    loop {
        let call = StateCall::List { prefix: generation.identity.namespace.clone(), from };
        let StateReply::Rows(page) = access.call(&call)? else { return Err(CallError::Unknown) };
        let (last, has_next) = (page.rows.last().map(|row| row.path.clone()), page.has_next);
        let StateReply::Rows(own) = generation.from_store(StateReply::Rows(page)) else {
            return Err(CallError::Unknown);
        };
        revision.get_or_insert(own.epoch);
        rows.extend(records_of(own));
        match last.filter(|_| has_next) {
            Some(last) => from = Some(last),
            None => return Ok(Picture::new(revision.unwrap_or(0), rows)),
        }
    }
}

fn records_of(rows: Rows) -> impl Iterator<Item = (String, Record)> {
    rows.rows.into_iter().map(|row| {
        let value = row.v.text().to_owned();
        (row.path, Record { value, stamp: row.stamp })
    })
}

/// Writes inherited final states anew, as many as a transaction takes, and tells of those that stand now.
/// Others do the same: what is written already stands as it is.
pub fn write_inherited(
    store: &mut impl FnMut(&StateCall) -> Result<StateReply, CallError>,
    generation: &Generation,
    records: &[(String, Record)],
) -> Result<Option<Update>, CallError> {
    let mut txn = Txn::default();
    for (key, record) in records {
        if let Some(value) = Json::from_text(&record.value) {
            txn = txn.when(key, 0).write(key, value);
        }
    }
    let call = StateCall::Txn(txn);
    let reply = generation.from_store(store(&generation.to_store(&call))?);
    Ok(Update::shown_by(&call, &reply))
}

/// Comes back with a store that may be worked with; asks again until there is one.
pub fn open(
    access: &mut impl StateAccess,
    settings: &RebuildSettings,
    local: &Local,
) -> Result<Opened, RebuildError> {
    Opening::new(access, settings, local).run()
}

/// A lease of this process.
#[derive(Clone, Copy, Debug)]
struct OwnLease {
    id: u64,
    renewed: Micros,
}

/// The way of one process to an intact store.
struct Opening<'a, A> {
    access: &'a mut A,
    settings: &'a RebuildSettings,
    local: &'a Local,
    proven: bool,
    /// Lasting records that were missing though the identity is intact.
    missing: Option<Loss>,
    lease: Option<OwnLease>,
    announced: Option<Micros>,
    /// Changes after this revision are published on the present lease.
    extras_after: Option<u64>,
    /// This process has said that it has no history.
    said_unvouched: bool,
    said: Option<(String, Micros)>,
}

impl<'a, A: StateAccess> Opening<'a, A> {
    fn new(access: &'a mut A, settings: &'a RebuildSettings, local: &'a Local) -> Self {
        let wall = access.wall();
        let proven = local.history.as_ref().is_some_and(|h| h.is_proven(local.marked, wall));
        let missing = local.found.clone();
        Opening {
            access,
            settings,
            local,
            proven,
            missing,
            lease: None,
            announced: None,
            extras_after: None,
            said_unvouched: false,
            said: None,
        }
    }

    fn run(&mut self) -> Result<Opened, RebuildError> {
        loop {
            let Ok(observed) = observe(self.access) else {
                self.say("the state service does not answer".into());
                self.access.pause(POLL);
                continue;
            };
            let known = self.local.history.as_ref().map(History::known);
            let step = match judge(&self.settings.node, known.as_ref(), &observed) {
                Verdict::ForeignCluster => return Err(RebuildError::ForeignCluster),
                Verdict::Intact(generation) if self.missing.is_some() => self.give_up(&generation),
                Verdict::Intact(generation) => match self.accept(generation, true) {
                    Ok(Some(opened)) => return Ok(opened),
                    other => other.map(drop),
                },
                Verdict::Newer(generation) => match self.accept(generation, false) {
                    Ok(Some(opened)) => return Ok(opened),
                    other => other.map(drop),
                },
                Verdict::Unfounded => self.campaign(&observed, None),
                Verdict::Lost(loss) => self.campaign(&observed, Some(&loss)),
            };
            if step.is_err() {
                // What was announced or acquired may be gone.
                self.lease = None;
                self.extras_after = None;
            }
            self.access.pause(POLL);
        }
    }

    /// Reads the records of a generation that serves; `None` if some of them are missing.
    fn accept(&mut self, generation: Generation, compare: bool) -> Step<Option<Opened>> {
        let mut picture = list_generation(self.access, &generation)?;
        let observed = observe(self.access)?;
        let still = observed.identity.as_ref();
        if still.map(|i| (&i.value, i.stamp)) != Some((&generation.identity, generation.stamp)) {
            return Err(Interrupted::Overtaken);
        }
        if let Some(history) = self.local.history.as_ref().filter(|_| compare)
            && let Some(loss) =
                missing_records(&history.picture, generation.identity.base, picture.rows())
        {
            self.missing = Some(loss);
            return Ok(None);
        }
        if !compare && self.contribute(&picture, &generation, &observed)? {
            // The next look reads the records with what was contributed.
            return Ok(None);
        }
        if !self.inherit(&mut picture, &generation, &observed) {
            self.say("waits until the others have written all final states".into());
            return Ok(None);
        }
        if self.local.history.is_none() && !self.said_unvouched {
            let key = format!("{UNVOUCHED}{}", self.settings.node);
            let txn = Txn::default().when(IDENTITY, generation.stamp);
            self.commit(txn.write(key, Json::of(&generation.identity.generation)))?;
            // If the key is gone at the next look, others have vouched for the records.
            self.said_unvouched = true;
            return Ok(None);
        }
        let lacks_jobs = observed.lacks_jobs(&self.settings.node);
        Ok(Some(Opened { generation, picture, epoch: observed.epoch, lacks_jobs }))
    }

    /// Adds the final states that are not written yet to a generation's records; false if this process does
    /// not know them all.
    fn inherit(&self, picture: &mut Picture, generation: &Generation, observed: &Observed) -> bool {
        let base = generation.identity.base;
        let Some(history) = &self.local.history else { return observed.inheriting.is_none() };
        if history.identity.generation == generation.identity.generation {
            // What was inherited before this process was started anew, and is not written yet.
            let inherited = history.picture.inherited(base, "");
            picture.inherit(inherited.map(|(key, r)| (key.clone(), r.value.clone())), base);
            return true;
        }
        let known_to = history.picture.revision();
        if observed.inheriting.as_ref().is_some_and(|i| known_to < i.value.known_to) {
            return false;
        }
        let over = history.picture.rows().iter().filter(|(key, _)| key.starts_with(OVER));
        picture.inherit(over.map(|(key, r)| (key.clone(), r.value.clone())), base);
        true
    }

    /// Hands in what this process knows and the records of a newer generation lack; whether there was any.
    fn contribute(
        &mut self,
        records: &Picture,
        generation: &Generation,
        observed: &Observed,
    ) -> Step<bool> {
        let history = self.local.history.as_ref();
        let calls = history.map(|h| contribution::contribution(h, records, generation));
        let calls = calls.unwrap_or_default();
        for call in &calls {
            match self.access.call(&generation.to_store(call))? {
                StateReply::Committed(_) => {}
                StateReply::Conflict(_) => return Err(Interrupted::Overtaken),
                _ => self.access.note(format!("the state service takes no {call:?}")),
            }
        }
        if !calls.is_empty() {
            self.access.note(format!("{} jobs were known to this controller alone", calls.len()));
            return Ok(true);
        }
        if let Some(absent) = observed.absent.get(&self.settings.node) {
            let key = format!("{ABSENT}{}", self.settings.node);
            self.commit(Txn::default().when(&key, absent.stamp).delete(&key))?;
        }
        Ok(false)
    }

    /// Gives up a generation that lacks records: from then on no change of it comes into force.
    fn give_up(&mut self, generation: &Generation) -> Step<()> {
        if let Some(loss) = &self.missing {
            self.access.note(format!("data was lost: {loss}; the records are given up"));
        }
        let identity = Identity { phase: Phase::Rebuilding, ..generation.identity.clone() };
        let txn =
            Txn::default().when(IDENTITY, generation.stamp).write(IDENTITY, Json::of(&identity));
        self.commit(txn)
    }

    /// Announces what this process has, and rebuilds if nobody has more.
    fn campaign(&mut self, observed: &Observed, loss: Option<&Loss>) -> Step<()> {
        let lease = self.keep_lease()?;
        let own = self.candidate();
        let announced = observed.candidates.get(&self.settings.node).map(|c| &c.value);
        if announced != Some(&own) {
            let key = format!("{CANDIDATES}{}", self.settings.node);
            let now = self.access.now();
            self.announced.get_or_insert(now);
            return self.commit(Txn::default().write_held(key, Json::of(&own), lease));
        }
        let missing = self.absent(observed);
        let first = observed.candidates.values().all(|c| c.value.generation.is_none());
        let waited = self.access.now() - self.announced.unwrap_or(0);
        // Without any history nobody can tell the first start from a loss, so all must say so.
        let gathered = missing.is_empty() || (!first && waited >= self.settings.gather);
        if !gathered {
            let missing = missing.join(", ");
            let why = loss.map_or("the first start".to_owned(), ToString::to_string);
            self.say(format!("{why}: waits for what the other controllers know: {missing}"));
            return Ok(());
        }
        if self.publish_extras(observed, lease)? {
            return Ok(());
        }
        if best(observed) != Some(self.settings.node.as_str()) {
            let best = best(observed).unwrap_or("another controller").to_owned();
            self.say(format!("{best} has the latest records and rebuilds"));
            return Ok(());
        }
        let Some(lock) = &observed.lock else {
            let own = Lock { node: self.settings.node.clone(), process: self.settings.process };
            let txn = Txn::default().when(LOCK, 0).write_held(LOCK, Json::of(&own), lease);
            return self.commit(txn);
        };
        if lock.value.process != self.settings.process || lock.value.node != self.settings.node {
            self.say(format!("waits for the end of {}'s attempt to rebuild", lock.value.node));
            return Ok(());
        }
        let awaited = extras::missing(observed);
        if !awaited.is_empty() {
            self.say(format!("waits for the last changes that {} knows", awaited.join(", ")));
            return Ok(());
        }
        self.rebuild(observed, lock.stamp)
    }

    /// Tells the others of the last changes that this process knows; whether there was any need to.
    fn publish_extras(&mut self, observed: &Observed, lease: u64) -> Step<bool> {
        let common = extras::common_revision(observed);
        let informed = extras::informed(observed).any(|(node, _)| *node == self.settings.node);
        let published = self.extras_after.is_some_and(|after| after <= common);
        let Some(history) = self.local.history.as_ref().filter(|_| informed && !published) else {
            return Ok(false);
        };
        let changes = history.picture.changes_after(common);
        let writes =
            extras::publish(&self.settings.node, &changes, self.settings.value_bytes, lease);
        for changes in batches(writes, self.settings.txn_ops) {
            self.write_batch(Txn { conditions: Vec::new(), changes })?;
        }
        self.extras_after = Some(common);
        Ok(true)
    }

    fn candidate(&self) -> Candidate {
        let history = self.local.history.as_ref();
        Candidate {
            generation: history.map(|h| h.identity.generation),
            revision: history.map_or(0, |h| h.picture.newest()),
            complete_to: history.map_or(0, |h| h.picture.revision()),
            extras_after: self.extras_after,
            proven: self.proven,
        }
    }

    /// Controllers that have not announced themselves.
    fn absent(&self, observed: &Observed) -> Vec<String> {
        let is_absent = |node: &&String| !observed.candidates.contains_key(*node);
        self.settings.nodes.iter().filter(is_absent).cloned().collect()
    }

    /// Writes the next generation, as the holder of the lock at this stamp.
    fn rebuild(&mut self, observed: &Observed, lock: u64) -> Step<()> {
        let begin = self.access.now();
        let identity_stamp = observed.identity.as_ref().map_or(0, |i| i.stamp);
        let fence = vec![
            Condition { path: LOCK.into(), stamp: lock },
            Condition { path: IDENTITY.into(), stamp: identity_stamp },
        ];
        let Some(history) = &self.local.history else {
            return self.found(observed, fence);
        };
        let mut picture = history.picture.clone();
        picture.apply(extras::collect(observed));
        if !self.is_proven(history, observed) {
            self.wait_out_workers()?;
        }
        let survivors = self.survivors(history, observed)?;
        let plan = plan(&picture, &survivors);
        let next = self.next_identity(history, observed, &survivors);
        let known_to = extras::common_revision(observed);
        self.write_records(plan.changes(&survivors, &picture, known_to), &next, &fence)?;
        let served = Json::of(&next);
        let mut txn = Txn { conditions: fence, changes: Vec::new() };
        if !survivors.same_line {
            txn = txn.write(INHERITING, Json::of(&Inheriting { known_to }));
        }
        let is_absent = |node: &&str| !observed.candidates.contains_key(*node);
        for node in picture.nodes_up().filter(is_absent) {
            let absent = AbsentNode { generation: next.generation };
            txn = txn.write(format!("{ABSENT}{node}"), Json::of(&absent));
        }
        self.commit(txn.write(IDENTITY, served).delete(LOCK))?;
        let ms = (self.access.now() - begin) / 1000;
        let (generation, summary) = (next.generation, plan.summary);
        self.access.note(format!("generation {generation} rebuilt in {ms} ms: {summary}"));
        Ok(())
    }

    /// No controller has any history: the records are those that there are. They are those of the very
    /// first generation, unless one was given up and every directory lost since.
    fn found(&mut self, observed: &Observed, fence: Vec<Condition>) -> Step<()> {
        let identity = match &observed.identity {
            Some(given_up) => {
                self.wait_out_workers()?;
                let generation = given_up.value.generation + 1;
                Identity { generation, phase: Phase::Serving, ..given_up.value.clone() }
            }
            None => Identity {
                cluster: format!("{:016x}", self.access.draw()),
                generation: 0,
                namespace: String::new(),
                base: 0,
                phase: Phase::Serving,
            },
        };
        let txn = Txn { conditions: fence, changes: Vec::new() };
        self.commit(txn.write(IDENTITY, Json::of(&identity)).delete(LOCK))?;
        let Identity { cluster, generation, .. } = identity;
        self.access.note(format!("cluster {cluster}: generation {generation} begins"));
        Ok(())
    }

    /// Whether the candidates' logs surely hold everything that any controller acted on: each that was up
    /// is there, and its log was written before anything was done.
    fn is_proven(&self, history: &History, observed: &Observed) -> bool {
        history.picture.nodes_up().all(|node| {
            observed.candidates.get(node).is_some_and(|candidate| candidate.value.proven)
        }) && self.proven
    }

    /// Waits until no task is on any machine: controllers that have not noticed the loss lose their right
    /// to act, and then workers their leases.
    fn wait_out_workers(&mut self) -> Step<()> {
        let leases = self.settings.lease_life + self.settings.worker_lease;
        let span = leases + leases * DRIFT_PER_10K / 10_000 + LEASE_MARGIN;
        let seconds = span / SECOND;
        self.access.note(format!(
            "the log may lack what was done last: waits {seconds} s until no task is on any machine"
        ));
        let end = self.access.now() + span;
        while self.access.now() < end {
            self.keep_lease()?;
            self.access.pause(POLL);
        }
        Ok(())
    }

    /// What the store still holds of the generation that this process knows.
    fn survivors(&mut self, history: &History, observed: &Observed) -> Step<Survivors> {
        let identity = history.identity.clone();
        let known = Known { identity: &identity, ..history.known() };
        let latest = observed.candidates.values().map(|c| c.value.revision).max().unwrap_or(0);
        let found = observed.identity.as_ref().map(|i| Stamped {
            value: Identity { phase: Phase::Serving, ..i.value.clone() },
            stamp: i.stamp,
        });
        let same = Observed { identity: found, ..observed.clone() };
        let intact = matches!(judge(&self.settings.node, Some(&known), &same), Verdict::Intact(_));
        let same_line = intact && observed.epoch + identity.base >= latest;
        let generation = Generation { identity, stamp: 0 };
        let picture = list_generation(self.access, &generation)?;
        Ok(Survivors { rows: picture.rows().clone(), same_line })
    }

    fn next_identity(
        &mut self,
        history: &History,
        observed: &Observed,
        survivors: &Survivors,
    ) -> Identity {
        let found = observed.identity.as_ref().map(|i| &i.value);
        let last = found.map_or(0, |i| i.generation).max(history.identity.generation);
        let known = history.identity.clone();
        let next = Identity { generation: last + 1, phase: Phase::Serving, ..known };
        if survivors.same_line {
            return next;
        }
        let base = found.map_or(0, |i| i.base).max(next.base);
        let candidates = observed.candidates.values().map(|c| c.value.revision).max().unwrap_or(0);
        let seen = candidates.max(base + observed.epoch).max(history.picture.newest());
        let namespace = format!("{GENERATIONS}{}-{:x}/", next.generation, self.access.draw());
        Identity { namespace, base: seen + HEADROOM, ..next }
    }

    /// Writes the records in transactions that the store takes, no faster than it allows.
    fn write_records(
        &mut self,
        changes: Vec<Change>,
        next: &Identity,
        fence: &[Condition],
    ) -> Step<()> {
        let all = changes.len();
        let mut written = 0;
        for batch in batches(changes, self.settings.txn_ops) {
            self.keep_lease()?;
            written += batch.len();
            let changes = batch.into_iter().map(|change| in_namespace(change, next)).collect();
            self.write_batch(Txn { conditions: fence.to_vec(), changes })?;
            self.say(format!("rebuilds generation {}: {written} of {all}", next.generation));
        }
        Ok(())
    }

    /// Commits many changes, and waits for as long as the store allows no more.
    fn write_batch(&mut self, txn: Txn) -> Step<()> {
        let span = txn.changes.len() as f64 / self.settings.write_rps.max(0.1);
        self.commit(txn)?;
        self.access.pause(quartzlever_wire::micros_from_secs(span));
        Ok(())
    }

    fn commit(&mut self, txn: Txn) -> Step<()> {
        match self.access.call(&StateCall::Txn(txn))? {
            StateReply::Committed(_) => Ok(()),
            _ => Err(Interrupted::Overtaken),
        }
    }

    /// Grants this process a lease, or renews it.
    fn keep_lease(&mut self) -> Step<u64> {
        let now = self.access.now();
        match self.lease {
            Some(lease) if now < lease.renewed + self.settings.lease_life / 3 => Ok(lease.id),
            Some(lease) => match self.access.call(&StateCall::Renew { lease: lease.id })? {
                StateReply::Renewed => {
                    self.lease = Some(OwnLease { renewed: now, ..lease });
                    Ok(lease.id)
                }
                _ => Err(Interrupted::Overtaken),
            },
            None => {
                let life_ms = self.settings.lease_life / 1000;
                match self.access.call(&StateCall::Grant { life_ms })? {
                    StateReply::Granted(id) => {
                        self.lease = Some(OwnLease { id, renewed: now });
                        Ok(id)
                    }
                    _ => Err(Interrupted::Call),
                }
            }
        }
    }

    /// Says what is going on, once, and again after a while.
    fn say(&mut self, line: String) {
        let now = self.access.now();
        let again = |said: &(String, Micros)| said.0 == line && now < said.1 + SAY_EVERY;
        if !self.said.as_ref().is_some_and(again) {
            self.access.note(line.clone());
            self.said = Some((line, now));
        }
    }
}

/// The candidate with the latest records; of several the first by name.
fn best(observed: &Observed) -> Option<&str> {
    let rank = |c: &Candidate| (c.generation, c.revision);
    let mut best: Option<(&str, &Candidate)> = None;
    for (node, candidate) in &observed.candidates {
        if best.is_none_or(|(_, known)| rank(&candidate.value) > rank(known)) {
            best = Some((node, &candidate.value));
        }
    }
    best.map(|(node, _)| node)
}

fn in_namespace(change: Change, identity: &Identity) -> Change {
    let namespace = &identity.namespace;
    match change {
        Change::Write { write, v, charter } => {
            Change::Write { write: format!("{namespace}{write}"), v, charter }
        }
        Change::Delete { delete } => Change::Delete { delete: format!("{namespace}{delete}") },
    }
}

/// Changes in transactions of so many at the most, none of them too long.
fn batches(changes: Vec<Change>, most: usize) -> Vec<Vec<Change>> {
    let mut all: Vec<Vec<Change>> = Vec::new();
    let mut bytes = 0;
    for change in changes {
        let size = match &change {
            Change::Write { write, v, .. } => write.len() + v.text().len(),
            Change::Delete { delete } => delete.len(),
        };
        match all.last_mut() {
            Some(last) if last.len() < most && bytes + size <= TXN_BYTES => last.push(change),
            _ => {
                all.push(vec![change]);
                bytes = 0;
            }
        }
        bytes += size;
    }
    all
}
