//! Jobs: what users ask for, and the writing of each job's record.

use std::collections::BTreeMap;

use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::state::{
    LIVE, LiveRecord, OVER, OverRecord, PARTS, Row, Share, StateCall, StateReply, Txn,
};
use quartzlever_wire::users::{JobAnswer, JobPhase, JobSpec, JobView};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{CallError, Json, Micros, Ranges, SECOND};
use rand::seq::IndexedRandom;

use crate::config::Config;
use crate::engine::{Core, Waiting};
use crate::leases::parse;
use crate::ledger::Change;
use crate::messages::{Answer, Lane, RequestId, Weight};
use crate::pages::{Pages, ProgressWrite, WriteRoom};
use crate::partition::{Partition, PartitionJob, live_key};
use crate::stealing::PeerWork;

/// Users' requests under way beyond which new ones are shed at once.
const MOST_USER_CALLS: usize = 64;
/// Submissions are shed earlier, so that lookups and cancellations still pass.
const MOST_SUBMISSIONS: usize = 40;
const CANCEL_TRIES: u32 = 6;
const WRITE_RETRY: Micros = SECOND / 2;

/// A transaction that changes the record of a job.
#[derive(Debug)]
pub(crate) struct JobWrite {
    pub part: String,
    pub term: u64,
    pub job: String,
    pub kind: JobWriteKind,
    /// The newly finished tasks that it records.
    pub recorded: Ranges,
    /// The pages that it writes, with all that is finished of each.
    pub pages: Vec<(u32, Ranges)>,
}

/// What a transaction does with the record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobWriteKind {
    /// Writes it anew.
    Record,
    /// Writes pages only, on condition of the record as it is.
    PagesOnly,
    /// Ends the job.
    End,
}

/// Why a job is read from the state service.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// Whether a submission that cannot be accepted is of a known job; `refuse` says whether an
    /// unknown one is refused for good.
    Submit {
        id: RequestId,
        job: String,
        refuse: bool,
    },
    Lookup {
        id: RequestId,
        job: String,
    },
    Abort {
        id: RequestId,
        job: String,
        tries: u32,
    },
}

impl Purpose {
    fn request(&self) -> RequestId {
        match self {
            Purpose::Submit { id, .. } | Purpose::Lookup { id, .. } | Purpose::Abort { id, .. } => {
                *id
            }
        }
    }

    fn job(&self) -> &str {
        match self {
            Purpose::Submit { job, .. }
            | Purpose::Lookup { job, .. }
            | Purpose::Abort { job, .. } => job,
        }
    }
}

/// Whether a job could ever run, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fits,
    Never,
    /// The machine types are not known yet.
    Unsure,
}

/// Decides whether a job can ever run.
pub fn verdict<'a>(
    cfg: &Config,
    types: Option<impl Iterator<Item = &'a quartzlever_wire::cloud::MachineType>>,
    spec: &JobSpec,
) -> Verdict {
    let Some(team) = cfg.team(&spec.team) else { return Verdict::Never };
    let over = |want: f64, most: f64| most > 0.0 && want > most;
    // All replicas of a service run at once.
    let at_once = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
    if over(spec.cpus * at_once, team.cpus_max) || over(spec.gpus * at_once, team.gpus_max) {
        return Verdict::Never;
    }
    let Some(mut types) = types else { return Verdict::Unsure };
    let fits = types.any(|t| {
        crate::placement::type_allowed(spec, t)
            && crate::machine::Amounts::of_type(t).fits(&crate::machine::Amounts::of_job(spec))
    });
    if fits { Verdict::Fits } else { Verdict::Never }
}

impl Core {
    fn user_answer(&mut self, id: RequestId, status: u16, job: &str, phase: JobPhase) {
        self.answer(id, status, Answer::Job(JobAnswer { id: job.to_owned(), phase }));
    }

    /// Starts a call for a user.
    fn user_call(&mut self, call: StateCall, waiting: Waiting) {
        self.user_calls += 1;
        self.state(Lane::User, call, waiting);
    }

    /// Reads a job for a user, unless too many calls of users are under way.
    pub(crate) fn read_for_user(&mut self, purpose: Purpose) {
        if self.user_calls >= MOST_USER_CALLS {
            return self.later(purpose.request(), 503, "busy");
        }
        self.read(purpose);
    }

    fn read(&mut self, purpose: Purpose) {
        let call = StateCall::Get(live_key(purpose.job()));
        self.user_call(call, Waiting::ReadLive { purpose });
    }

    pub(crate) fn submit(&mut self, id: RequestId, spec: Box<JobSpec>) {
        if let Some(over) = self.finals.get(&spec.id) {
            let phase = over.phase;
            return self.user_answer(id, 200, &spec.id, phase);
        }
        if self.user_calls >= MOST_SUBMISSIONS || self.ledger.exhausted() {
            return self.later(id, 429, "busy");
        }
        let types = self.types.as_ref().map(|t| t.values());
        let refuse = match verdict(&self.cfg, types, &spec) {
            // An earlier version could not read its record.
            Verdict::Fits if spec.is_service() && !self.cluster.services() => Some(false),
            Verdict::Fits => None,
            Verdict::Never => Some(true),
            Verdict::Unsure => Some(false),
        };
        let target = self.accept_target(&spec);
        let (Some((part, term)), None) = (target, refuse) else {
            let refuse = refuse.unwrap_or(false);
            return self.read(Purpose::Submit { id, job: spec.id.clone(), refuse });
        };
        let share = Share { part: part.clone(), term, tasks: Ranges::first(spec.tasks) };
        let record = LiveRecord::new((*spec).clone(), self.wall(), vec![share]);
        let value = Json::of(&record);
        if value.text().len() > self.limits.value_bytes {
            // Nothing could ever be kept of such a job; a known one is still answered as known.
            return self.read(Purpose::Submit { id, job: spec.id.clone(), refuse: true });
        }
        let live = live_key(&spec.id);
        let mut txn = Txn::default().when(live.clone(), 0).when(format!("{OVER}{}", spec.id), 0);
        if term > 0 {
            txn = txn.when(format!("{PARTS}{part}"), term);
        }
        let txn = txn.write(live, value);
        self.ledger.spend(1);
        self.user_call(StateCall::Txn(txn), Waiting::Accept { id, record: Box::new(record) });
    }

    /// The part that a new job enters, with its term.
    fn accept_target(&mut self, spec: &JobSpec) -> Option<(String, u64)> {
        if self.cfg.limited(&spec.team) {
            let part = self.cfg.part_of_team(&spec.team);
            let term = self.cache.parts.get(part).map_or(0, |(_, stamp)| *stamp);
            return Some((part.to_owned(), term));
        }
        if self.sure()
            && let Some(part) =
                self.parts.get(&self.cfg.node).or_else(|| self.parts.values().next())
        {
            let own = (part.name.clone(), part.term);
            return Some(self.lighter_part(&own.0).unwrap_or(own));
        }
        // A node without a part, such as one that is back and waits for its own, accepts into
        // another's: the write has that part's term as its condition, and the watch tells the holder.
        let held: Vec<(&String, &u64)> =
            self.cache.parts.iter().map(|(name, (_, stamp))| (name, stamp)).collect();
        held.choose(&mut self.rng).map(|(name, stamp)| ((*name).clone(), **stamp))
    }

    /// A part of another node that a new job enters instead of this one, which has more tasks than
    /// its processor could serve machines for, while the other has less than half. Each task
    /// brings a machine at the most, and a part never gives machines away: of three controllers one
    /// had two thirds of them and went under, with the others at a quarter of their share.
    fn lighter_part(&self, own: &str) -> Option<(String, u64)> {
        let others = || {
            self.cache.parts.iter().filter(|(name, (record, _))| {
                *name != own && record.node == **name && !self.parts.contains_key(*name)
            })
        };
        others().next()?;
        let mut tasks: BTreeMap<&str, usize> = BTreeMap::new();
        for (record, _) in self.cache.live.values() {
            for share in &record.shares {
                // What is finished counts until the job is over: nothing hangs on it.
                *tasks.entry(share.part.as_str()).or_default() += share.tasks.len() as usize;
            }
        }
        let of = |part: &str| tasks.get(part).copied().unwrap_or(0);
        if of(own) <= self.cfg.machine_capacity {
            return None;
        }
        let (name, (_, term)) = others().min_by_key(|(name, _)| of(name))?;
        (of(name) < of(own) / 2).then(|| (name.clone(), *term))
    }

    pub(crate) fn accept_answered(
        &mut self,
        id: RequestId,
        record: LiveRecord,
        result: Result<StateReply, CallError>,
    ) {
        self.user_calls -= 1;
        let job = record.job.id.clone();
        match result {
            Ok(StateReply::Committed(stamp)) => {
                // Whichever node holds the part hears of it by the watch; here it may start now.
                self.absorb(record, stamp);
                // It may be over by now, and a user may have been told so at another node.
                match self.finals.get(&job).map(|over| over.phase) {
                    Some(phase) => self.user_answer(id, 200, &job, phase),
                    None => self.user_answer(id, 201, &job, JobPhase::Queued),
                }
            }
            Ok(StateReply::Conflict(failed)) => {
                let known = failed.iter().any(|k| k.starts_with(LIVE) || k.starts_with(OVER));
                if known {
                    self.read(Purpose::Submit { id, job, refuse: false });
                } else {
                    self.later(id, 503, "the part has changed hands");
                }
            }
            _ => self.later(id, 503, "not written"),
        }
    }

    pub(crate) fn abort(&mut self, id: RequestId, job: String) {
        if let Some(over) = self.finals.get(&job) {
            let phase = over.phase;
            return self.user_answer(id, 200, &job, phase);
        }
        self.read_for_user(Purpose::Abort { id, job, tries: 0 });
    }

    pub(crate) fn view_over(&mut self, id: RequestId, job: &str, over: &OverRecord) {
        let view = JobView { id: job.to_owned(), phase: over.phase, done: over.done, running: 0 };
        self.answer(id, 200, Answer::View(view));
    }

    pub(crate) fn live_read(&mut self, purpose: Purpose, result: Result<StateReply, CallError>) {
        self.user_calls -= 1;
        let row: Row = match result {
            Ok(StateReply::Row(Some(row))) => row,
            Ok(StateReply::Row(None)) => {
                let call = StateCall::Get(format!("{OVER}{}", purpose.job()));
                return self.user_call(call, Waiting::ReadOver { purpose });
            }
            _ => return self.later(purpose.request(), 503, "the state service gives no answer"),
        };
        let record = parse::<LiveRecord>(&row);
        if record.is_none() {
            let path = row.path.clone();
            self.note(Weight::Error, || format!("unreadable record: {path}"));
        }
        match purpose {
            Purpose::Submit { id, job, .. } => {
                let phase = record.map_or(JobPhase::Queued, |r| self.view_live(&r).phase);
                self.user_answer(id, 200, &job, phase);
            }
            Purpose::Lookup { id, job } => {
                // Whatever its record looks like, the job was accepted and is not over.
                let unread = JobView { id: job, phase: JobPhase::Queued, done: 0, running: 0 };
                let view = record.map_or(unread, |r| self.view_live(&r));
                self.answer(id, 200, Answer::View(view));
            }
            Purpose::Abort { id, job, tries } => {
                let done = record.map_or(0, |r| r.finished.len());
                let over = OverRecord { phase: JobPhase::Aborted, done };
                let live = live_key(&job);
                let txn = Txn::default()
                    .when(live.clone(), row.stamp)
                    .delete(live)
                    .write(format!("{OVER}{job}"), Json::of(&over));
                self.ledger.spend(2);
                self.user_call(StateCall::Txn(txn), Waiting::Cancel { id, job, done, tries });
            }
        }
    }

    pub(crate) fn over_read(&mut self, purpose: Purpose, result: Result<StateReply, CallError>) {
        self.user_calls -= 1;
        let over = match result {
            Ok(StateReply::Row(Some(row))) => {
                let over = parse::<OverRecord>(&row);
                if over.is_none() {
                    self.note(Weight::Error, || format!("unreadable record: {}", row.path));
                }
                over
            }
            Ok(StateReply::Row(None)) => {
                return match purpose {
                    Purpose::Submit { id, refuse: true, .. } => {
                        self.answer(id, 422, Answer::Error { error: "can never run" });
                    }
                    Purpose::Submit { id, .. } => self.later(id, 503, "cannot decide yet"),
                    Purpose::Lookup { id, .. } | Purpose::Abort { id, .. } => {
                        self.answer(id, 404, Answer::Error { error: "unknown job" });
                    }
                };
            }
            _ => None,
        };
        let Some(over) = over else {
            return self.later(purpose.request(), 503, "the state service gives no answer");
        };
        let job = purpose.job().to_owned();
        self.job_over(&job, over.clone());
        match purpose {
            Purpose::Lookup { id, .. } => self.view_over(id, &job, &over),
            Purpose::Submit { id, .. } | Purpose::Abort { id, .. } => {
                self.user_answer(id, 200, &job, over.phase);
            }
        }
    }

    pub(crate) fn cancel_answered(
        &mut self,
        id: RequestId,
        job: String,
        done: u32,
        tries: u32,
        result: Result<StateReply, CallError>,
    ) {
        self.user_calls -= 1;
        match result {
            Ok(StateReply::Committed(_)) => {
                self.tell_cancelled(&job, done);
                self.job_over(&job, OverRecord { phase: JobPhase::Aborted, done });
                self.user_answer(id, 200, &job, JobPhase::Aborted);
            }
            Ok(StateReply::Conflict(_)) if tries < CANCEL_TRIES => {
                self.read(Purpose::Abort { id, job, tries: tries + 1 });
            }
            _ => self.later(id, 503, "not written"),
        }
    }

    /// Tells the holders of a job that was just cancelled, so that its tasks end sooner where the
    /// watch is late. Nothing rests on it.
    fn tell_cancelled(&mut self, job: &str, done: u32) {
        let Some((record, _)) = self.cache.live.get(job) else { return };
        let mut nodes: Vec<&str> =
            record.shares.iter().filter_map(|share| self.holder_of(&share.part)).collect();
        nodes.sort_unstable();
        nodes.dedup();
        for node in nodes.into_iter().map(str::to_owned).collect::<Vec<_>>() {
            let request = PeerRequest::Cancelled { job: job.to_owned(), done };
            self.ask_peer(&node, request, PeerWork::Told);
        }
    }

    /// Writes what has changed of the jobs, each job at most once at a time: ends first, then what
    /// has waited longest, as far as the account of changes allows.
    pub(crate) fn write_jobs(&mut self) {
        let now = self.now;
        let mut due: Vec<(Change, Micros, String, String)> = Vec::new();
        let progress = self.ledger.has(Change::Progress, 1);
        for (name, part) in self.parts.iter_mut().filter(|(_, p)| p.active()) {
            let mut done_with = Vec::new();
            for (id, job) in &part.jobs {
                if job.writing || now < job.write_after {
                    continue;
                }
                if job.idle() && !job.wants_write {
                    if job.may_end_here(name) {
                        if job.all_finished() {
                            due.push((Change::Finish, job.write_after, name.clone(), id.clone()));
                        }
                    } else if job.record.owned_by(name).is_empty() {
                        done_with.push(id.clone());
                    }
                } else if job.doubtful || job.wants_write || !job.finished.is_empty() {
                    let ends = job.all_finished();
                    let kind = if ends { Change::Finish } else { Change::Progress };
                    if !ends && !progress {
                        continue;
                    }
                    due.push((kind, job.write_after, name.clone(), id.clone()));
                }
            }
            for id in done_with {
                part.jobs.swap_remove(&id);
            }
        }
        due.sort();
        for (kind, _, part, id) in due {
            let changes = if kind == Change::Finish { 2 } else { 1 };
            if !self.ledger.allows(kind, changes) {
                break;
            }
            self.write_job(&part, &id);
        }
    }

    fn write_job(&mut self, name: &str, id: &str) {
        let now = self.now;
        let pause = self.cfg.operator.progress_write;
        let room = WriteRoom { value_bytes: self.limits.value_bytes, pages: self.page_room() };
        let paging = self.cluster.pages();
        let Some(part) = self.parts.get_mut(name) else { return };
        let (term, base) = (part.term, part.txn());
        let Some(job) = part.jobs.get_mut(id) else { return };
        let base = base.when(live_key(id), job.stamp);
        let planned = if job.all_finished() {
            Some(end_of_job(base, job))
        } else {
            let progress = if paging {
                self.pages.plan(&job.begun_record(), &job.finished, room)
            } else {
                progress_without_pages(job, room.value_bytes)
            };
            progress.map(|progress| progress_of_job(base, id, progress, &self.pages))
        };
        let Some((txn, planned)) = planned else {
            job.write_after = now + 2 * pause;
            return;
        };
        job.writing = true;
        job.wants_write = false;
        job.write_after = now + pause;
        let PlannedWrite { kind, recorded, pages } = planned;
        self.ledger.spend(pages.len());
        let write =
            JobWrite { part: name.to_owned(), term, job: id.to_owned(), kind, recorded, pages };
        self.state(Lane::Work, StateCall::Txn(txn), Waiting::JobWrite(Box::new(write)));
    }

    pub(crate) fn job_written(&mut self, write: JobWrite, result: Result<StateReply, CallError>) {
        let JobWrite { part: name, term, job: id, kind, recorded, pages } = write;
        if let Ok(StateReply::Committed(stamp)) = result {
            if kind != JobWriteKind::PagesOnly {
                self.stamps.saw(&id, stamp);
            }
            for (number, finished) in pages {
                self.page_known(&id, number, finished, stamp);
            }
        }
        let now = self.now;
        let Some(part) = self.part_at(&name, term) else { return };
        let Some(job) = part.jobs.get_mut(&id) else { return };
        job.writing = false;
        match result {
            Ok(StateReply::Committed(stamp)) => match kind {
                JobWriteKind::End => {
                    let done = job.record.job.tasks;
                    self.job_over(&id, OverRecord { phase: JobPhase::Done, done });
                }
                JobWriteKind::PagesOnly => {
                    job.wants_write = true;
                    job.write_after = now + WRITE_RETRY;
                }
                JobWriteKind::Record => self.progress_written(&name, &id, &recorded, stamp),
            },
            Ok(StateReply::Conflict(failed)) => {
                if failed.contains(&format!("{PARTS}{name}")) {
                    return self.lose_part(&name, term);
                }
                job.writing = true;
                self.reread_job(&name, term, &id);
            }
            Ok(_) | Err(_) => {
                job.wants_write = true;
                job.write_after = now + WRITE_RETRY;
            }
        }
    }

    /// The record of a job is in force with newly finished tasks.
    fn progress_written(&mut self, name: &str, id: &str, recorded: &Ranges, stamp: u64) {
        let Some(part) = self.parts.get_mut(name) else { return };
        let Some(job) = part.jobs.get_mut(id) else { return };
        job.finished.subtract(recorded);
        if stamp > job.stamp {
            job.stamp = stamp;
            job.record.finished.add(recorded);
            job.record.started = true;
        }
        let record = (job.stamp == stamp).then(|| job.record.clone());
        if job.doubtful {
            // Ours came into force at that stamp, so the doubtful one never will.
            job.doubtful = false;
            let cut = std::mem::take(&mut job.cutting);
            job.ready.add(&cut);
            part.place_wanted = true;
        }
        if let Some(record) = record {
            // So the watch, which tells of it too, brings nothing new.
            self.absorb(record, stamp);
        }
    }

    pub(crate) fn reread_job(&mut self, part: &str, term: u64, job: &str) {
        let waiting = Waiting::Reread { part: part.into(), term, job: job.into() };
        self.state(Lane::Work, StateCall::Get(live_key(job)), waiting);
    }

    pub(crate) fn reread(
        &mut self,
        name: &str,
        term: u64,
        id: &str,
        result: Result<StateReply, CallError>,
    ) {
        let now = self.now;
        let Some(part) = self.part_at(name, term) else { return };
        let Some(job) = part.jobs.get_mut(id) else { return };
        job.writing = false;
        match result {
            Ok(StateReply::Row(Some(row))) => {
                if let Some(record) = parse::<LiveRecord>(&row) {
                    self.absorb(record, row.stamp);
                }
            }
            Ok(StateReply::Row(None)) => {
                job.writing = true;
                let waiting = Waiting::RereadOver { part: name.into(), term, job: id.to_owned() };
                self.state(Lane::Work, StateCall::Get(format!("{OVER}{id}")), waiting);
            }
            _ => {
                job.wants_write = true;
                job.write_after = now + WRITE_RETRY;
            }
        }
    }

    pub(crate) fn reread_over(
        &mut self,
        name: &str,
        term: u64,
        id: &str,
        result: Result<StateReply, CallError>,
    ) {
        let now = self.now;
        if let Ok(StateReply::Row(Some(row))) = &result
            && let Some(over) = parse::<OverRecord>(row)
        {
            return self.job_over(id, over);
        }
        if let Some(part) = self.part_at(name, term)
            && let Some(job) = part.jobs.get_mut(id)
        {
            job.writing = false;
            job.wants_write = true;
            job.write_after = now + WRITE_RETRY;
        }
    }
}

/// What a planned transaction will have done.
pub(crate) struct PlannedWrite {
    pub kind: JobWriteKind,
    pub recorded: Ranges,
    pub pages: Vec<(u32, Ranges)>,
}

fn end_of_job(txn: Txn, job: &PartitionJob) -> (Txn, PlannedWrite) {
    let spec = job.spec();
    let over = OverRecord { phase: JobPhase::Done, done: spec.tasks };
    let txn = txn.delete(live_key(&spec.id)).write(format!("{OVER}{}", spec.id), Json::of(&over));
    let recorded = job.finished.clone();
    (txn, PlannedWrite { kind: JobWriteKind::End, recorded, pages: Vec::new() })
}

/// Makes a transaction record the progress of a job.
pub(crate) fn progress_of_job(
    txn: Txn,
    id: &str,
    progress: ProgressWrite,
    known: &Pages,
) -> (Txn, PlannedWrite) {
    let ProgressWrite { record, pages, recorded } = progress;
    let txn = known.add_to(txn, id, &pages);
    let (txn, kind) = match record {
        Some(record) => (txn.write(live_key(id), Json::of(&record)), JobWriteKind::Record),
        None => (txn, JobWriteKind::PagesOnly),
    };
    (txn, PlannedWrite { kind, recorded, pages })
}

/// While a controller may be of the first version, a record keeps what fits: too many gaps are not
/// recorded until other tasks have finished between. What is not recorded is not cleared on the
/// machines either.
fn progress_without_pages(job: &PartitionJob, value_bytes: usize) -> Option<ProgressWrite> {
    let mut record = job.begun_record();
    let recorded = record.finished.clone();
    record.finished.add(&job.finished);
    let mut told = job.finished.clone();
    let mut length = Json::of(&record).text().len();
    if length > value_bytes {
        told = fitting(&mut record, &recorded, &told, value_bytes);
        length = Json::of(&record).text().len();
        if told.is_empty() && (length > value_bytes || !job.doubtful) {
            return None;
        }
    }
    Some(ProgressWrite { record: Some(record), pages: Vec::new(), recorded: told })
}

/// Puts as much of what has finished into a record as keeps it within a value's limit, the longest
/// ranges first, and gives what that is.
fn fitting(record: &mut LiveRecord, recorded: &Ranges, finished: &Ranges, most: usize) -> Ranges {
    /// So many ranges are tried: they fill gaps or are long, and the rest can wait.
    const TRIED: usize = 64;
    record.finished = recorded.clone();
    let room = most.saturating_sub(Json::of(&*record).text().len() - recorded.to_string().len());
    let mut ranges: Vec<Ranges> = finished.ranges().map(Ranges::of).collect();
    ranges.sort_by_key(|r| std::cmp::Reverse(r.len()));
    let (mut kept, mut told) = (recorded.clone(), Ranges::default());
    for range in ranges.into_iter().take(TRIED) {
        let with = kept.union(&range);
        if with.to_string().len() <= room {
            kept = with;
            told.add(&range);
        }
    }
    record.finished = kept;
    told
}

impl Partition {
    /// Notes that a task is done; it counts once the record says so.
    pub fn finish(&mut self, id: &str, index: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ready.remove(index);
        job.held.remove(index);
        if let Some(place) = job.located.get(&index).cloned()
            && let Some(machine) = self.machines.get_mut(&place.machine)
            && let Some(slot) =
                machine.slots.get_mut(&(TaskId { job: id.to_owned(), index }, place.attempt))
        {
            // Another attempt, if that is what it is, has no use any more.
            slot.wanted = slot.exited();
            self.urgent.insert(place.machine);
        }
        if job.record.owned_by(&self.name).contains(index) {
            job.good += 1;
            job.finished.insert(index);
            if job.all_finished() {
                job.write_after = now;
            }
        }
    }
}

#[cfg(test)]
mod tests;
