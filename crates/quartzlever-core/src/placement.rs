//! Which task goes where, and who gives way.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use crate::config::{Config, Objective};
use crate::engine::Core;
use crate::machine::{Amounts, RoomInTheMaking, Slot, SlotKey};
use crate::messages::{Effect, Weight};
use crate::partition::{Partition, PartitionJob, Place};

/// A machine that was not heard of for so many report intervals gets no new tasks.
const QUIET_REPORTS: u64 = 3;
/// Work of lower rank gives way so long before a start becomes too late: what it takes to stop
/// one task and start another.
const PREEMPT_AHEAD: Micros = 5 * SECOND / 2;
/// Lost work that stopping a task again counts for on top of what is lost.
const STOPPED_AGAIN: Micros = 4 * SECOND;
/// Room that was made is kept for what it was made for so long: the tasks there save, end and are reported.
const ROOM_KEPT_FOR: Micros = 10 * SECOND;
/// Room that frees by itself, or a thief, gets this long first.
const PREEMPT_AFTER: Micros = SECOND / 5;
/// A job that has not begun by then begins next; users expect that within four minutes.
const STARVED_AFTER: Micros = 150 * SECOND;
/// So many first tasks of such a job are not stopped for higher ranks.
const SHELTERED: usize = 4;
/// A job that old is not stopped for higher ranks, and queues with urgent ones.
const AGED_AFTER: Micros = 240 * SECOND;
/// Idle-time work that saves its progress gets on in whatever time is left, so it is as old as this before it counts as
/// old. With the time of all other work, guests that were four minutes old filled the machines for good, and
/// jobs with deadlines waited until they were four minutes old themselves.
const IDLE_TIME_AGED_AFTER: Micros = 600 * SECOND;
/// Shortest time between two placements of a part's whole queue, and between two looks at all
/// machines for work to stop: with hundreds of machines both cost more than a report may.
const PLACE_PAUSE: Micros = SECOND / 10;
const PREEMPT_PAUSE: Micros = SECOND / 5;

/// Whether a job may run on a machine type at all (room aside).
pub fn type_allowed(spec: &JobSpec, kind: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
        && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
}

/// Whether a job may run on machines of this type, zone and kind (room aside).
pub fn offer_allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == kind))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// What classes of jobs really take, against their owners' estimates.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: HashMap<String, (u32, f64)>,
}

impl RunTimes {
    const ONE: f64 = 1000.0;

    pub fn learn(&mut self, class: &str, pace: u32) {
        let entry = self.classes.entry(class.to_owned()).or_insert((0, Self::ONE));
        entry.0 += 1;
        let weight = (1.0 / f64::from(entry.0 + 2)).max(0.05);
        // One crawling machine must not teach that all are slow.
        let pace = f64::from(pace).clamp(entry.1 / 4.0, entry.1 * 4.0);
        entry.1 += weight * (pace - entry.1);
    }

    /// A pace against the usual one of its class, in thousandths.
    pub fn relative(&self, class: &str, pace: u32) -> u32 {
        let usual = self.classes.get(class).map_or(Self::ONE, |c| c.1).max(1.0);
        (f64::from(pace) / usual * Self::ONE) as u32
    }

    /// How long a task of the job will probably run.
    pub fn expect(&self, spec: &JobSpec) -> Micros {
        let usual = self.classes.get(&spec.class).map_or(Self::ONE, |c| c.1);
        (micros_from_secs(spec.expect_s) as f64 * usual / Self::ONE) as Micros
    }
}

/// When the ready tasks of a job have to start for the next aim on it that can still be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Every aim on the job is missed already; others go first.
    pub missed: bool,
    pub latest: Micros,
}

/// How a job that has neither a deadline nor an aim is treated.
const NO_AIM: Micros = 60 * SECOND;

/// What presses most for a job, of what can still be met.
pub fn urgency(cfg: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Urgency {
    let spec = job.spec();
    if spec.is_service() {
        // Each moment without a replica is lost.
        return Urgency { missed: false, latest: job.since };
    }
    let expect = run_times.expect(spec);
    let by = |end: Micros| end.saturating_sub(expect);
    let span = job.due.map(|due| due.saturating_sub(job.since));
    // The next of all points of time that are still ahead, and whether there is any at all.
    let (mut next, mut any) = (None::<Micros>, false);
    let mut point = |at: Micros| {
        any = true;
        if at >= now {
            next = Some(next.map_or(at, |n| n.min(at)));
        }
    };
    if let Some(span) = span {
        point(by(job.since + span));
    }
    for objective in cfg.objectives.iter().filter(|o| o.class() == spec.class) {
        match objective {
            Objective::Wait { within, .. } => point(job.since + within),
            Objective::Finished { within, .. } => point(by(job.since + within)),
            Objective::Deadline { times, .. } => {
                if let Some(span) = span {
                    point(by(job.since + (span as f64 * times) as Micros));
                }
            }
        }
    }
    if !any {
        return Urgency { missed: false, latest: job.since + NO_AIM };
    }
    match next {
        Some(latest) => Urgency { missed: false, latest },
        None => Urgency { missed: true, latest: job.since },
    }
}

/// How many more tasks of a job may start in each zone; without bounds for most jobs.
#[derive(Clone, Debug)]
pub(crate) struct ZoneRoom(Option<BTreeMap<String, u32>>);

impl ZoneRoom {
    /// How many more tasks may start in a zone.
    pub fn left(&self, zone: &str) -> u32 {
        self.0.as_ref().map_or(u32::MAX, |left| left.get(zone).copied().unwrap_or(0))
    }

    /// So many tasks are going to start in a zone.
    pub fn take(&mut self, zone: &str, count: u32) {
        if let Some(left) = self.0.as_mut().and_then(|left| left.get_mut(zone)) {
            *left = left.saturating_sub(count);
        }
    }
}

/// Zones in which another task of the job may start now.
pub(crate) fn zones_open(
    part: &Partition,
    job: &PartitionJob,
    zones: &[String],
) -> Option<Vec<String>> {
    let ZoneRoom(room) = zone_room(part, job, zones);
    let open = room?.into_iter().filter(|(_, left)| *left > 0);
    Some(open.map(|(zone, _)| zone).collect())
}

/// How many more tasks of the job may start in each zone now.
pub(crate) fn zone_room(part: &Partition, job: &PartitionJob, zones: &[String]) -> ZoneRoom {
    let spec = job.spec();
    if !spec.one_zone && !spec.spread {
        return ZoneRoom(None);
    }
    let mut used: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in part.machines.values() {
        let count = machine
            .slots
            .iter()
            .filter(|((task, _), slot)| task.job == spec.id && !slot.exited())
            .count() as u32;
        if count > 0 {
            *used.entry(machine.record.zone.as_str()).or_default() += count;
        }
    }
    if spec.one_zone && !used.is_empty() {
        return ZoneRoom(Some(used.keys().map(|z| ((*z).to_owned(), u32::MAX)).collect()));
    }
    let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let left = |zone: &String| most.saturating_sub(used.get(zone.as_str()).copied().unwrap_or(0));
    ZoneRoom(Some(zones.iter().map(|zone| (zone.clone(), left(zone))).collect()))
}

/// How well a machine suits a job, best first: it has failed nothing lately, runs no replica of the
/// service yet, has the image or is fetching it, is cheap, and has little room left over.
type Fit = (bool, usize, u8, bool, f64);

/// Whose tasks may be stopped to make room for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victims {
    /// Idle-time work that loses next to nothing: it gives way as soon as anything else waits. Left alone until
    /// a start became too late, guests that filled all machines made two thirds of the deadlines be missed,
    /// since saving, the image and the slowest task take their time after that.
    Yielding,
    /// All that the rank or the guarantee allows, once the start would come too late otherwise.
    Any,
}

/// A job that makes room for its tasks, at one moment.
struct Preemption<'a> {
    spec: &'a JobSpec,
    need: Amounts,
    /// The teams whose unfinished work fits their guarantee.
    inside: &'a BTreeSet<String>,
    victims: Victims,
    now: Micros,
    /// Machines that were not heard of for so long are left alone.
    quiet: Micros,
}

/// What it takes to make room on one machine.
struct Stops {
    /// Work lost.
    lost: f64,
    /// Tasks of the job that get room.
    gain: u32,
    machine: String,
    attempts: Vec<SlotKey>,
}

impl Core {
    /// Gives the part's ready tasks to its free machines.
    pub(crate) fn place(&mut self, name: &str) {
        let now = self.now;
        let Some(part) = self.parts.get_mut(name).filter(|p| {
            let due = p.place_wanted || p.place_due.is_some_and(|t| now >= t);
            p.active() && due && now >= p.place_after && p.types.is_some()
        }) else {
            return;
        };
        part.place_wanted = false;
        part.place_due = None;
        part.place_after = now + PLACE_PAUSE;
        part.short.clear();
        part.short_least = f64::INFINITY;
        part.pressed = false;
        part.keep_room(now);
        let short = part.machines.len() > self.cfg.machine_capacity / 2;
        for id in part.queue_order(&self.cfg, &self.run_times, now) {
            if let Some(job) = part.jobs.get_mut(&id) {
                // A call costs as much as several reports. A hundred of them for one job took a
                // short processor two seconds, in which submissions were late.
                let soon = now + self.cfg.workers.report * 3 / 2;
                job.patient = short && urgency(&self.cfg, &self.run_times, job, now).latest > soon;
            }
            if part.place_job(&self.cfg, &id, None, now) {
                let need = part.jobs.get(&id).map_or(0.0, |j| j.spec().cpus);
                part.short_least = part.short_least.min(need);
                part.short.push(id);
            }
        }
        part.open_made_room(now);
        self.preempt(name);
    }

    /// Gives what found no room elsewhere to one machine.
    pub(crate) fn fill(&mut self, name: &str, host: &str) {
        let now = self.now;
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active()) else { return };
        if !part.machines.get(host).is_some_and(|m| m.usable() && m.room.cpus > 0.0) {
            return;
        }
        let short = std::mem::take(&mut part.short);
        for id in &short {
            // Most machines that report are full, or nearly so.
            if part.machines.get(host).is_none_or(|m| m.room.cpus + 1e-6 < part.short_least) {
                break;
            }
            part.place_job(&self.cfg, id, Some(host), now);
        }
        part.short = short;
    }

    /// Stops work of lower rank for jobs that found no room.
    fn preempt(&mut self, name: &str) {
        let now = self.now;
        let quiet = self.cfg.workers.report * QUIET_REPORTS;
        let Some(part) = self.parts.get_mut(name).filter(|p| !p.short.is_empty()) else { return };
        if now < part.preempt_after {
            part.place_by(part.preempt_after);
            return;
        }
        part.preempt_after = now + PREEMPT_PAUSE;
        // Room that is being made already, the lowest rank that could still give way, and whether any of it
        // gives way at once.
        let (mut coming, mut lowest, mut yields) = (0.0, Rank::Prod, false);
        for slot in part.live_slots() {
            if slot.wanted {
                lowest = lowest.max(slot.rank);
                yields |= slot.yields;
            } else {
                coming += slot.need.cpus;
            }
        }
        let inside = part.guarantees(&self.cfg);
        for id in part.short.clone() {
            let Some(job) = part.jobs.get(&id) else { continue };
            let urgency = urgency(&self.cfg, &self.run_times, job, now);
            let waited = job.since + PREEMPT_AFTER;
            let pressing = waited.max((urgency.latest + 1).saturating_sub(PREEMPT_AHEAD));
            let victims = if now < pressing { Victims::Yielding } else { Victims::Any };
            let (spec, need) = (job.spec().clone(), job.need());
            let all = f64::from(job.ready.len()) * need.cpus;
            if victims == Victims::Yielding {
                let soonest = if yields { waited } else { pressing };
                part.place_by(if now < soonest { soonest } else { pressing });
                if now < soonest {
                    continue;
                }
            }
            let promised = f64::min(coming, all);
            coming -= promised;
            let wanted = ((all - promised) / need.cpus.max(1e-6)).ceil() as u32;
            if wanted == 0 {
                continue;
            }
            part.place_by(now + PREEMPT_PAUSE);
            let gives_way = lowest > spec.rank || inside.contains(&spec.team);
            let asks = Preemption { spec: &spec, need, inside: &inside, victims, now, quiet };
            let stopped =
                if gives_way { part.make_room(&asks, wanted) } else { Stopped::nothing(wanted) };
            // Only what should start by now has others look for room elsewhere.
            part.pressed |= stopped.lacking > 0 && victims == Victims::Any;
            for (machine, count) in stopped.on {
                let text = format!("part {name}: stops {count} on {machine} for {id}");
                if self.cfg.notes >= Weight::Info {
                    self.out.push(Effect::Note { weight: Weight::Info, text });
                }
            }
        }
    }
}

/// What was stopped for a job.
struct Stopped {
    /// How many attempts on which machines.
    on: Vec<(String, usize)>,
    /// Tasks for which no room could be made.
    lacking: u32,
}

impl Stopped {
    fn nothing(lacking: u32) -> Self {
        Stopped { on: Vec::new(), lacking }
    }
}

impl PartitionJob {
    /// Whether the job has waited so long that higher ranks stop it no more.
    fn aged(&self, now: Micros) -> bool {
        let after = if self.yields() { IDLE_TIME_AGED_AFTER } else { AGED_AFTER };
        now.saturating_sub(self.since) > after
    }

    /// Whether higher ranks leave its tasks alone: so does a job whose first tasks begin late. As
    /// the youngest of all they were stopped again and again, while they fetched their image, and
    /// the job had not begun after 250 s.
    fn sheltered(&self, now: Micros) -> bool {
        let late = now.saturating_sub(self.since) > STARVED_AFTER;
        let first = self.located.len() <= SHELTERED
            && self.finished.is_empty()
            && self.record.finished.is_empty();
        self.aged(now) || (late && first)
    }

    /// Whether the job must begin now whatever else waits, and the rank that it queues with.
    /// Without this, a flood of higher work, or of jobs that can still meet their aims, kept
    /// others from beginning at all.
    fn standing(&self, now: Micros) -> (bool, Rank) {
        let rank = self.spec().rank;
        (self.is_starved(now), if self.aged(now) { rank.min(Rank::Urgent) } else { rank })
    }

    /// Whether the job has not begun although it has waited as long as any may.
    pub(crate) fn is_starved(&self, now: Micros) -> bool {
        let begun = !self.located.is_empty()
            || !self.finished.is_empty()
            || !self.record.finished.is_empty();
        !begun && !self.mistaken() && now.saturating_sub(self.since) > STARVED_AFTER
    }
}

impl Partition {
    /// Jobs with ready tasks: by rank, guarantee and time.
    pub fn queue_order(&self, cfg: &Config, run_times: &RunTimes, now: Micros) -> Vec<String> {
        let guaranteed = self.guarantees(cfg);
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.ready.is_empty())
            .map(|(id, job)| {
                let inside = guaranteed.contains(job.spec().team.as_str());
                let (starved, rank) = job.standing(now);
                ((!starved, !inside, rank, urgency(cfg, run_times, job, now), job.since), id)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Has the queue placed at this time at the latest.
    fn place_by(&mut self, at: Micros) {
        self.place_due = Some(self.place_due.map_or(at, |t| t.min(at)));
    }

    /// The teams whose unfinished work fits their guarantee.
    fn guarantees(&self, cfg: &Config) -> BTreeSet<String> {
        let inside = cfg.teams.iter().filter(|t| self.inside_guarantee(cfg, &t.name));
        inside.map(|t| t.name.clone()).collect()
    }

    /// Gives ready tasks of a job to machines with room, or to one of them only; whether some
    /// found none.
    fn place_job(&mut self, cfg: &Config, id: &str, only: Option<&str>, now: Micros) -> bool {
        let quiet = cfg.workers.report * QUIET_REPORTS;
        let Some(job) = self.jobs.get(id).filter(|j| !j.ready.is_empty()) else { return false };
        if job.no_start_before > now {
            self.place_by(job.no_start_before);
            return false;
        }
        if job.mistaken() {
            self.try_to_clear(cfg, id, now);
            self.place_by(now + SECOND);
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let forgives_at = job.forgives_at();
        if let Some(at) = forgives_at.filter(|at| *at > now) {
            self.place_by(at);
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let (spec, need) = (job.spec(), job.need());
        // Where it failed it is tried again only when it fails everywhere, or after a while.
        let again = job.mistaken() || forgives_at.is_some_and(|at| at <= now);
        // Replicas of one service go to different machines, so that a loss takes one of them.
        let service = job.service();
        let mut beside: BTreeMap<&str, usize> = BTreeMap::new();
        for place in job.located.values().filter(|_| service) {
            *beside.entry(place.machine.as_str()).or_default() += 1;
        }
        let kept = self.kept_for.as_ref().filter(|(_, job)| job != id).map(|(host, _)| host);
        let fit = |host: &str| -> Option<Fit> {
            let machine = self.machines.get(host).filter(|_| kept.is_none_or(|k| k != host))?;
            let fits = machine.open(now, quiet)
                && machine.room.fits(&need)
                && (again || !job.failures.includes(host))
                && !machine.failures.in_doubt(now)
                && !machine.keeps_room_from(spec.rank, now);
            fits.then(|| {
                let image = if machine.images.contains(&spec.image) {
                    0
                } else if machine.pulls(&spec.image) {
                    1
                } else {
                    2
                };
                let beside = beside.get(host).copied().unwrap_or(0);
                let left = machine.room.cpus - need.cpus;
                (machine.failures.is_suspect(), beside, image, !machine.record.spot, left)
            })
        };
        let hosts: Vec<(Fit, String)> = match only {
            Some(host) => {
                let record = self.machines.get(host).map(|m| &m.record);
                let allowed = record.is_some_and(|r| offer_allowed(spec, &r.kind, &r.zone, r.spot));
                let found = fit(host).filter(|_| allowed);
                found.map(|fit| (fit, host.to_owned())).into_iter().collect()
            }
            None => {
                let found =
                    self.free_room_index.with(spec).filter_map(|h| Some((fit(h)?, h.to_owned())));
                let mut found: Vec<(Fit, String)> = found.collect();
                let order = |a: &Fit, b: &Fit| a.partial_cmp(b).unwrap_or(Ordering::Equal);
                found.sort_by(|a, b| order(&a.0, &b.0).then_with(|| a.1.cmp(&b.1)));
                found
            }
        };
        let bound = spec.one_zone || spec.spread;
        let allowance = self.team_allowance(cfg, spec, &need);
        let mut left = allowance.min(job.placeable());
        let on_trial = job.mistaken() && !service;
        let rounds = if service { left } else { 1 };
        for (_, host) in (0..rounds).flat_map(|_| &hosts) {
            if left == 0 {
                break;
            }
            let most = if service { left.min(1) } else { left };
            let mut count = self.machines.get(host).map_or(0, |m| m.room.count(&need)).min(most);
            while count > 0 {
                if bound && !self.zone_open(cfg, id, host) {
                    break;
                }
                let Some(index) = self.jobs.get(id).and_then(|j| j.ready.lowest()) else { break };
                self.start(id, index, host, now);
                count -= 1;
                left -= 1;
            }
            self.refresh(host);
        }
        // What only the team's limit keeps back asks for no room, nor does a job that fails everywhere.
        allowance > 0 && left > 0 && !on_trial
    }

    /// Keeps one machine for the job that has waited longest beyond its time to begin, until one
    /// of its tasks fits there. Tasks are of different sizes, and smaller ones that come all the
    /// time took each piece of room before two of them made room for a larger one.
    fn keep_room(&mut self, now: Micros) {
        let starved =
            |j: &PartitionJob| !j.ready.is_empty() && j.no_start_before <= now && j.standing(now).0;
        if let Some((host, job)) = &self.kept_for
            && self.jobs.get(job).is_some_and(|j| starved(j))
            && self.machines.get(host).is_some_and(|m| m.usable())
        {
            return;
        }
        let longest = self.jobs.values().filter(|j| starved(j)).min_by_key(|j| j.since);
        self.kept_for = longest.and_then(|job| {
            let need = job.need();
            let spec = job.spec();
            let (host, _) = self
                .machines
                .iter()
                .filter(|(host, m)| {
                    let kind = self.types.as_ref().and_then(|t| t.get(&m.record.kind));
                    m.usable()
                        && !job.failures.includes(host)
                        && offer_allowed(spec, &m.record.kind, &m.record.zone, m.record.spot)
                        && kind.is_some_and(|k| Amounts::of_type(k).fits(&need))
                })
                .max_by(|a, b| a.1.room.cpus.total_cmp(&b.1.room.cpus))?;
            Some((host.clone(), spec.id.clone()))
        });
    }

    /// Whether a task of a job that is bound to zones may start on this machine.
    fn zone_open(&self, cfg: &Config, id: &str, host: &str) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(host)) else {
            return false;
        };
        zones_open(self, job, &cfg.zones).is_none_or(|z| z.contains(&machine.record.zone))
    }

    /// Whether all unfinished work of a team, as far as this part knows it, fits its guarantee.
    fn inside_guarantee(&self, cfg: &Config, team: &str) -> bool {
        let Some(team) = cfg.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let (mut cpus, mut gpus) = (0.0, 0.0);
        for job in self.jobs.values().filter(|j| j.spec().team == team.name) {
            let left =
                f64::from(job.spec().tasks - job.record.finished.len().min(job.spec().tasks));
            cpus += left * job.spec().cpus;
            gpus += left * job.spec().gpus;
        }
        cpus <= team.cpus + 1e-9 && gpus <= team.gpus + 1e-9
    }

    /// How many more tasks keep the team inside its limit, counting everything that may be on a
    /// machine.
    pub fn team_allowance(&self, cfg: &Config, spec: &JobSpec, need: &Amounts) -> u32 {
        let Some(team) = cfg.team(&spec.team).filter(|t| t.limited()) else { return u32::MAX };
        if !self.barrier_open || cfg.part_of_team(&team.name) != self.name {
            return 0;
        }
        let (used, certain) = self.team_use(&team.name);
        if !certain {
            return 0;
        }
        let unbound = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Amounts {
            cpus: unbound(team.cpus_max, used.cpus),
            gpus: unbound(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        left.count(need)
    }

    /// Decides that a ready task goes to a machine, which is to be refreshed afterwards.
    pub fn start(&mut self, id: &str, index: u32, host: &str, now: Micros) {
        let attempt = self.next_attempt();
        let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.machines.get_mut(host))
        else {
            return;
        };
        job.ready.remove(index);
        job.located.insert(index, Place { machine: host.to_owned(), attempt });
        let key = (TaskId { job: id.to_owned(), index }, attempt);
        let slot = Slot { patient: job.patient, ..Slot::new(job.spec(), now) };
        machine.slots.insert(key, slot);
        self.attempted.entry(id.to_owned()).or_default().insert(host.to_owned());
        machine.idle_since = None;
        self.urgent.insert(host.to_owned());
    }

    /// Marks an attempt as unwanted.
    pub fn stop(&mut self, host: &str, key: &SlotKey, leeway_s: f64) {
        if let Some(machine) = self.machines.get_mut(host) {
            machine.stop(key, leeway_s);
            self.urgent.insert(host.to_owned());
        }
    }

    /// Stops what costs the least, until so many tasks of a job have room.
    fn make_room(&mut self, asks: &Preemption, mut wanted: u32) -> Stopped {
        let mut stopped = Stopped::nothing(0);
        let mut offers = self.all_stops(asks);
        while wanted > 0 {
            let Some(Stops { gain, machine, attempts, .. }) = offers.pop() else { break };
            stopped.on.push((machine.clone(), attempts.len()));
            if self.takes_time_to_end(&machine, &attempts) {
                self.keep_room_for(asks.spec.rank, &machine, asks.now);
            }
            for key in attempts {
                if let Some(job) = self.jobs.get_mut(&key.0.job) {
                    job.stopped.insert(key.0.index);
                    let leeway = job.record.job.save_s;
                    self.stop(&machine, &key, leeway);
                }
            }
            wanted -= gain.min(wanted);
            // The machine may have more to give.
            if let Some(more) = self.stops_on(asks, &machine) {
                let at = offers.partition_point(|o| o.lost > more.lost);
                offers.insert(at, more);
            }
        }
        stopped.lacking = wanted;
        stopped
    }

    /// Whether some of these attempts save before they end, so that they end one after the other.
    fn takes_time_to_end(&self, host: &str, attempts: &[SlotKey]) -> bool {
        let slots = self.machines.get(host).map(|machine| &machine.slots);
        let slots = attempts.iter().filter_map(|key| slots.and_then(|slots| slots.get(key)));
        slots.into_iter().any(|slot| slot.yields)
    }

    /// Keeps the room that is being made on a machine for work of a rank, or above. The first tasks to end there
    /// left room for lower work at once, so that a task which needs all of it waited for a minute, and the
    /// lower work was stopped six times over.
    fn keep_room_for(&mut self, rank: Rank, host: &str, now: Micros) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        let rank = machine.making_room.map_or(rank, |room| room.rank.min(rank));
        machine.making_room = Some(RoomInTheMaking { rank, until: now + ROOM_KEPT_FOR });
        self.making_room.insert(host.to_owned());
    }

    /// Opens made room to everybody where nothing waits any more that it was made for.
    fn open_made_room(&mut self, now: Micros) {
        if self.making_room.is_empty() {
            return;
        }
        let waiting = self.short.iter().filter_map(|id| self.jobs.get(id)).map(|j| j.spec().rank);
        let most_urgent = waiting.min();
        let machines = &mut self.machines;
        self.making_room.retain(|host| {
            let Some(machine) = machines.get_mut(host) else { return false };
            let awaited = |room: &RoomInTheMaking| {
                now < room.until && most_urgent.is_some_and(|rank| rank <= room.rank)
            };
            machine.making_room = machine.making_room.filter(awaited);
            machine.making_room.is_some()
        });
    }

    /// All ways to make room for tasks of the job on one machine each, the dearest first.
    fn all_stops(&self, asks: &Preemption) -> Vec<Stops> {
        let mut all: Vec<Stops> =
            self.machines.keys().filter_map(|host| self.stops_on(asks, host)).collect();
        all.sort_by(|a, b| b.lost.total_cmp(&a.lost));
        all
    }

    /// The attempts to stop on a machine so that a task of the job fits there, at the least lost
    /// work; none if that cannot be had.
    fn stops_on(&self, asks: &Preemption, host: &str) -> Option<Stops> {
        let Preemption { spec, need, inside, victims, now, quiet } = asks;
        let (now, quiet) = (*now, *quiet);
        let machine = self.machines.get(host).filter(|m| m.open(now, quiet))?;
        let record = &machine.record;
        let kind = self.types.as_ref()?.get(&record.kind)?;
        if !offer_allowed(spec, &record.kind, &record.zone, record.spot) {
            return None;
        }
        let claims = inside.contains(&spec.team);
        let mut stoppable: Vec<(f64, &SlotKey, &Slot)> = machine
            .slots
            .iter()
            .filter(|(k, s)| {
                let lower = s.rank > spec.rank;
                let borrowed = claims
                    && s.team != spec.team
                    && !s.team.is_empty()
                    && !inside.contains(&s.team);
                let sheltered = self.jobs.get(&k.0.job).is_some_and(|j| j.sheltered(now));
                let asked = *victims == Victims::Any || s.yields;
                s.wanted && !s.exited() && asked && ((lower && !sheltered) || borrowed)
            })
            .map(|(k, s)| {
                let ran = s.running_since.map_or(0, |t| now.saturating_sub(t));
                // Sparing them for good made the older ones pay, and lost more work.
                let again = self.jobs.get(&k.0.job).is_none_or(|j| j.stopped.contains(k.0.index));
                let ran = if again { ran + STOPPED_AGAIN } else { ran };
                (ran as f64 * s.need.cpus.max(0.1), k, s)
            })
            .collect();
        stoppable.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = machine.room;
        let (mut lost, mut attempts) = (0.0, Vec::new());
        for (cost, key, slot) in stoppable {
            if free.fits(need) {
                break;
            }
            free.give(&slot.need);
            lost += cost;
            attempts.push(key.clone());
        }
        // Fetching the image takes its time on the way to the start as well.
        if !machine.images.contains(&spec.image) {
            let pull = spec.image_gb / kind.pull_gb_per_s.max(0.01);
            lost += pull * 1e6 * need.cpus.max(0.1);
        }
        let gain = free.count(need);
        let fits = free.fits(need) && !attempts.is_empty();
        fits.then(|| Stops { lost, gain, machine: host.to_owned(), attempts })
    }
}

#[cfg(test)]
mod tests;
