//! Which task goes where, and who gives way.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::users::{JobSpec, Priority};
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use crate::config::{Config, ServiceLevelObjective};
use crate::jobs::partition_job::PartitionJob;
use crate::machines::attempt::{AttemptKey, Slot};
use crate::machines::machine::PendingPreemption;
use crate::machines::resources::Resources;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;

/// A machine that was not heard of for so many heartbeat intervals gets no new tasks.
const SILENT_HEARTBEATS: u64 = 3;
/// Work of lower rank gives way so long before a start becomes too late: what it takes to stop
/// one task and start another.
const PREEMPT_AHEAD: Micros = 5 * SECOND / 2;
/// Lost work that stopping a task again counts for on top of what is lost.
const REPEATED_PREEMPTION_COST: Micros = 4 * SECOND;
/// Room that was made is kept for what it was made for so long: the tasks there save, end and are reported.
const PREEMPTED_CAPACITY_RESERVED_FOR: Micros = 10 * SECOND;
/// Room that frees by itself, or a thief, gets this long first.
const PREEMPT_AFTER: Micros = SECOND / 5;
/// A job that has not begun by then begins next; users expect that within four minutes.
const STARVED_AFTER: Micros = 150 * SECOND;
/// So many first tasks of such a job are not stopped for higher ranks.
const PROTECTED_FIRST_TASKS: usize = 4;
/// A job that old is not stopped for higher ranks, and queues with urgent ones.
const AGED_AFTER: Micros = 240 * SECOND;
/// Idle-time work that saves its progress gets on in whatever time is left, so it is as old as this before it counts as
/// old. With the time of all other work, guests that were four minutes old filled the machines for good, and
/// jobs with deadlines waited until they were four minutes old themselves.
const IDLE_TIME_AGED_AFTER: Micros = 600 * SECOND;
/// Shortest time between two placements of a partition's whole queue, and between two looks at all
/// machines for work to stop: with hundreds of machines both cost more than a heartbeat may.
const PLACEMENT_INTERVAL: Micros = SECOND / 10;
const PREEMPTION_INTERVAL: Micros = SECOND / 5;

/// Whether a job may run on machines of this type, zone and kind (room aside).
pub fn offer_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == machine_type))
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
        let log_level = (1.0 / f64::from(entry.0 + 2)).max(0.05);
        // One crawling machine must not teach that all are slow.
        let pace = f64::from(pace).clamp(entry.1 / 4.0, entry.1 * 4.0);
        entry.1 += log_level * (pace - entry.1);
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
pub fn urgency(config: &Config, run_times: &RunTimes, job: &PartitionJob, now: Micros) -> Urgency {
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
    for objective in config.objectives.iter().filter(|o| o.class() == spec.class) {
        match objective {
            ServiceLevelObjective::Wait { within, .. } => point(job.since + within),
            ServiceLevelObjective::Finished { within, .. } => point(by(job.since + within)),
            ServiceLevelObjective::Deadline { times, .. } => {
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
pub(crate) struct ZoneCapacity(Option<BTreeMap<String, u32>>);

impl ZoneCapacity {
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
    partition: &Partition,
    job: &PartitionJob,
    zones: &[String],
) -> Option<Vec<String>> {
    let ZoneCapacity(room) = zone_capacity(partition, job, zones);
    let open = room?.into_iter().filter(|(_, left)| *left > 0);
    Some(open.map(|(zone, _)| zone).collect())
}

/// How many more tasks of the job may start in each zone now.
pub(crate) fn zone_capacity(
    partition: &Partition,
    job: &PartitionJob,
    zones: &[String],
) -> ZoneCapacity {
    let spec = job.spec();
    if !spec.one_zone && !spec.spread {
        return ZoneCapacity(None);
    }
    let mut used: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in partition.machines.values() {
        let count = machine
            .slots
            .iter()
            .filter(|(key, slot)| key.task.job == spec.id && !slot.exited())
            .count() as u32;
        if count > 0 {
            *used.entry(machine.record.zone.as_str()).or_default() += count;
        }
    }
    if spec.one_zone && !used.is_empty() {
        return ZoneCapacity(Some(used.keys().map(|z| ((*z).to_owned(), u32::MAX)).collect()));
    }
    let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let left = |zone: &String| most.saturating_sub(used.get(zone.as_str()).copied().unwrap_or(0));
    ZoneCapacity(Some(zones.iter().map(|zone| (zone.clone(), left(zone))).collect()))
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
    need: Resources,
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
    attempts: Vec<AttemptKey>,
}

impl Core {
    /// Gives the partition's ready tasks to its free machines.
    pub(crate) fn place(&mut self, name: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| {
            let due = p.placement_wanted || p.placement_due_at.is_some_and(|t| now >= t);
            p.active() && due && now >= p.next_placement_at && p.types.is_some()
        }) else {
            return;
        };
        partition.placement_wanted = false;
        partition.placement_due_at = None;
        partition.next_placement_at = now + PLACEMENT_INTERVAL;
        partition.short.clear();
        partition.unplaced_min_cpus = f64::INFINITY;
        partition.saturated = false;
        partition.update_reservation(now);
        let short = partition.machines.len() > self.config.machine_capacity / 2;
        for id in partition.queue_order(&self.config, &self.run_times, now) {
            if let Some(job) = partition.jobs.get_mut(&id) {
                // A call costs as much as several reports. A hundred of them for one job took a
                // short processor two seconds, in which submissions were late.
                let soon = now + self.config.workers.heartbeat_interval * 3 / 2;
                job.can_wait_for_heartbeat =
                    short && urgency(&self.config, &self.run_times, job, now).latest > soon;
            }
            if partition.place_tasks(&self.config, &id, None, now) {
                let need = partition.jobs.get(&id).map_or(0.0, |j| j.spec().cpus);
                partition.unplaced_min_cpus = partition.unplaced_min_cpus.min(need);
                partition.short.push(id);
            }
        }
        partition.release_preempted_capacity(now);
        self.preempt(name);
    }

    /// Gives what found no room elsewhere to one machine.
    pub(crate) fn fill(&mut self, name: &str, host: &str) {
        let now = self.now;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.active()) else { return };
        if !partition.machines.get(host).is_some_and(|m| m.usable() && m.free.cpus > 0.0) {
            return;
        }
        let short = std::mem::take(&mut partition.short);
        for id in &short {
            // Most machines that heartbeat are full, or nearly so.
            if partition
                .machines
                .get(host)
                .is_none_or(|m| m.free.cpus + 1e-6 < partition.unplaced_min_cpus)
            {
                break;
            }
            partition.place_tasks(&self.config, id, Some(host), now);
        }
        partition.short = short;
    }

    /// Stops work of lower rank for jobs that found no room.
    fn preempt(&mut self, name: &str) {
        let now = self.now;
        let quiet = self.config.workers.heartbeat_interval * SILENT_HEARTBEATS;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| !p.short.is_empty()) else {
            return;
        };
        if now < partition.next_preemption_at {
            partition.schedule_placement(partition.next_preemption_at);
            return;
        }
        partition.next_preemption_at = now + PREEMPTION_INTERVAL;
        // Room that is being made already, the lowest rank that could still give way, and whether any of it
        // gives way at once.
        let (mut coming, mut lowest, mut yields) = (0.0, Priority::Prod, false);
        for slot in partition.occupied_slots() {
            if slot.wanted {
                lowest = lowest.max(slot.priority);
                yields |= slot.yields;
            } else {
                coming += slot.need.cpus;
            }
        }
        let inside = partition.guarantees(&self.config);
        for id in partition.short.clone() {
            let Some(job) = partition.jobs.get(&id) else { continue };
            let urgency = urgency(&self.config, &self.run_times, job, now);
            let waited = job.since + PREEMPT_AFTER;
            let pressing = waited.max((urgency.latest + 1).saturating_sub(PREEMPT_AHEAD));
            let victims = if now < pressing { Victims::Yielding } else { Victims::Any };
            let (spec, need) = (job.spec().clone(), job.need());
            let all = f64::from(job.ready.len()) * need.cpus;
            if victims == Victims::Yielding {
                let soonest = if yields { waited } else { pressing };
                partition.schedule_placement(if now < soonest { soonest } else { pressing });
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
            partition.schedule_placement(now + PREEMPTION_INTERVAL);
            let gives_way = lowest > spec.priority || inside.contains(&spec.team);
            let asks = Preemption { spec: &spec, need, inside: &inside, victims, now, quiet };
            let stopped = if gives_way {
                partition.preempt_for(&asks, wanted)
            } else {
                Stopped::nothing(wanted)
            };
            // Only what should start by now has others look for room elsewhere.
            partition.saturated |= stopped.lacking > 0 && victims == Victims::Any;
            for (machine, count) in stopped.on {
                let text = format!("part {name}: stops {count} on {machine} for {id}");
                self.outbox.log(LogLevel::Info, || text);
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
    fn is_aged(&self, now: Micros) -> bool {
        let after = if self.yields() { IDLE_TIME_AGED_AFTER } else { AGED_AFTER };
        now.saturating_sub(self.since) > after
    }

    /// Whether higher ranks leave its tasks alone: so does a job whose first tasks begin late. As
    /// the youngest of all they were stopped again and again, while they fetched their image, and
    /// the job had not begun after 250 s.
    fn is_protected(&self, now: Micros) -> bool {
        let late = now.saturating_sub(self.since) > STARVED_AFTER;
        let first = self.assignments.len() <= PROTECTED_FIRST_TASKS
            && self.finished.is_empty()
            && self.record.finished.is_empty();
        self.is_aged(now) || (late && first)
    }

    /// Whether the job must begin now whatever else waits, and the rank that it queues with.
    /// Without this, a flood of higher work, or of jobs that can still meet their aims, kept
    /// others from beginning at all.
    fn queue_rank(&self, now: Micros) -> (bool, Priority) {
        let priority = self.spec().priority;
        (
            self.is_starved(now),
            if self.is_aged(now) { priority.min(Priority::Urgent) } else { priority },
        )
    }

    /// Whether the job has not begun although it has waited as long as any may.
    pub(crate) fn is_starved(&self, now: Micros) -> bool {
        let begun = !self.assignments.is_empty()
            || !self.finished.is_empty()
            || !self.record.finished.is_empty();
        !begun && !self.fails_everywhere() && now.saturating_sub(self.since) > STARVED_AFTER
    }
}

impl Partition {
    /// Jobs with ready tasks: by rank, guarantee and time.
    pub fn queue_order(&self, config: &Config, run_times: &RunTimes, now: Micros) -> Vec<String> {
        let guaranteed = self.guarantees(config);
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.ready.is_empty())
            .map(|(id, job)| {
                let inside = guaranteed.contains(job.spec().team.as_str());
                let (starved, priority) = job.queue_rank(now);
                ((!starved, !inside, priority, urgency(config, run_times, job, now), job.since), id)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Has the queue placed at this time at the latest.
    fn schedule_placement(&mut self, at: Micros) {
        self.placement_due_at = Some(self.placement_due_at.map_or(at, |t| t.min(at)));
    }

    /// The teams whose unfinished work fits their guarantee.
    fn guarantees(&self, config: &Config) -> BTreeSet<String> {
        let inside = config.teams.iter().filter(|t| self.inside_guarantee(config, &t.name));
        inside.map(|t| t.name.clone()).collect()
    }

    /// Gives ready tasks of a job to machines with room, or to one of them only; whether some
    /// found none.
    fn place_tasks(&mut self, config: &Config, id: &str, only: Option<&str>, now: Micros) -> bool {
        let quiet = config.workers.heartbeat_interval * SILENT_HEARTBEATS;
        let Some(job) = self.jobs.get(id).filter(|j| !j.ready.is_empty()) else { return false };
        if job.no_start_before > now {
            self.schedule_placement(job.no_start_before);
            return false;
        }
        if job.fails_everywhere() {
            self.try_to_clear(config, id, now);
            self.schedule_placement(now + SECOND);
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let forgives_at = job.forgives_at();
        if let Some(at) = forgives_at.filter(|at| *at > now) {
            self.schedule_placement(at);
        }
        let Some(job) = self.jobs.get(id) else { return false };
        let (spec, need) = (job.spec(), job.need());
        // Where it failed it is tried again only when it fails everywhere, or after a while.
        let again = job.fails_everywhere() || forgives_at.is_some_and(|at| at <= now);
        // Replicas of one service go to different machines, so that a loss takes one of them.
        let service = job.service();
        let mut beside: BTreeMap<&str, usize> = BTreeMap::new();
        for place in job.assignments.values().filter(|_| service) {
            *beside.entry(place.machine.as_str()).or_default() += 1;
        }
        let kept = self.reservation.as_ref().filter(|(_, job)| job != id).map(|(host, _)| host);
        let fit = |host: &str| -> Option<Fit> {
            let machine = self.machines.get(host).filter(|_| kept.is_none_or(|k| k != host))?;
            let fits = machine.open(now, quiet)
                && machine.free.fits(&need)
                && (again || !job.failures.includes(host))
                && !machine.failures.in_doubt(now)
                && !machine.reserves_capacity_from(spec.priority, now);
            fits.then(|| {
                let image = if machine.images.contains(&spec.image) {
                    0
                } else if machine.pulls(&spec.image) {
                    1
                } else {
                    2
                };
                let beside = beside.get(host).copied().unwrap_or(0);
                let left = machine.free.cpus - need.cpus;
                (machine.failures.is_suspect(), beside, image, !machine.record.spot, left)
            })
        };
        let hosts: Vec<(Fit, String)> = match only {
            Some(host) => {
                let record = self.machines.get(host).map(|m| &m.record);
                let allowed =
                    record.is_some_and(|r| offer_allowed(spec, &r.machine_type, &r.zone, r.spot));
                let found = fit(host).filter(|_| allowed);
                found.map(|fit| (fit, host.to_owned())).into_iter().collect()
            }
            None => {
                let found = self
                    .free_capacity_index
                    .with(spec)
                    .filter_map(|h| Some((fit(h)?, h.to_owned())));
                let mut found: Vec<(Fit, String)> = found.collect();
                let order = |a: &Fit, b: &Fit| a.partial_cmp(b).unwrap_or(Ordering::Equal);
                found.sort_by(|a, b| order(&a.0, &b.0).then_with(|| a.1.cmp(&b.1)));
                found
            }
        };
        let bound = spec.one_zone || spec.spread;
        let allowance = self.team_allowance(config, spec, &need);
        let mut left = allowance.min(job.placeable());
        let on_trial = job.fails_everywhere() && !service;
        let rounds = if service { left } else { 1 };
        for (_, host) in (0..rounds).flat_map(|_| &hosts) {
            if left == 0 {
                break;
            }
            let most = if service { left.min(1) } else { left };
            let mut count = self.machines.get(host).map_or(0, |m| m.free.count(&need)).min(most);
            while count > 0 {
                if bound && !self.zone_open(config, id, host) {
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
    fn update_reservation(&mut self, now: Micros) {
        let starved = |j: &PartitionJob| {
            !j.ready.is_empty() && j.no_start_before <= now && j.queue_rank(now).0
        };
        if let Some((host, job)) = &self.reservation
            && self.jobs.get(job).is_some_and(|j| starved(j))
            && self.machines.get(host).is_some_and(|m| m.usable())
        {
            return;
        }
        let longest = self.jobs.values().filter(|j| starved(j)).min_by_key(|j| j.since);
        self.reservation = longest.and_then(|job| {
            let need = job.need();
            let spec = job.spec();
            let (host, _) = self
                .machines
                .iter()
                .filter(|(host, m)| {
                    let machine_type =
                        self.types.as_ref().and_then(|t| t.get(&m.record.machine_type));
                    m.usable()
                        && !job.failures.includes(host)
                        && offer_allowed(
                            spec,
                            &m.record.machine_type,
                            &m.record.zone,
                            m.record.spot,
                        )
                        && machine_type.is_some_and(|k| Resources::capacity_of(k).fits(&need))
                })
                .max_by(|a, b| a.1.free.cpus.total_cmp(&b.1.free.cpus))?;
            Some((host.clone(), spec.id.clone()))
        });
    }

    /// Whether a task of a job that is bound to zones may start on this machine.
    fn zone_open(&self, config: &Config, id: &str, host: &str) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(host)) else {
            return false;
        };
        zones_open(self, job, &config.zones).is_none_or(|z| z.contains(&machine.record.zone))
    }

    /// Whether all unfinished work of a team, as far as this partition knows it, fits its guarantee.
    fn inside_guarantee(&self, config: &Config, team: &str) -> bool {
        let Some(team) = config.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
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
    pub fn team_allowance(&self, config: &Config, spec: &JobSpec, need: &Resources) -> u32 {
        let Some(team) = config.team(&spec.team).filter(|t| t.limited()) else { return u32::MAX };
        if !self.recovery_complete || config.partition_of_team(&team.name) != self.name {
            return 0;
        }
        let (used, certain) = self.team_use(&team.name);
        if !certain {
            return 0;
        }
        let unbound = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Resources {
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
        job.assign(index, host, attempt);
        let key = AttemptKey { task: TaskId { job: id.to_owned(), index }, attempt };
        let slot = Slot {
            can_wait_for_heartbeat: job.can_wait_for_heartbeat,
            ..Slot::new(job.spec(), now)
        };
        machine.slots.insert(key, slot);
        self.attempted.entry(id.to_owned()).or_default().insert(host.to_owned());
        machine.idle_since = None;
        self.call_queue.add_urgent(host);
    }

    /// Marks an attempt as unwanted.
    pub fn stop(&mut self, host: &str, key: &AttemptKey, leeway_s: f64) {
        if let Some(machine) = self.machines.get_mut(host) {
            machine.stop(key, leeway_s);
            self.call_queue.add_urgent(host);
        }
    }

    /// Stops what costs the least, until so many tasks of a job have room.
    fn preempt_for(&mut self, asks: &Preemption, mut wanted: u32) -> Stopped {
        let mut stopped = Stopped::nothing(0);
        let mut offers = self.all_stops(asks);
        while wanted > 0 {
            let Some(Stops { gain, machine, attempts, .. }) = offers.pop() else { break };
            stopped.on.push((machine.clone(), attempts.len()));
            if self.takes_time_to_end(&machine, &attempts) {
                self.reserve_preempted_capacity(asks.spec.priority, &machine, asks.now);
            }
            for key in attempts {
                if let Some(job) = self.jobs.get_mut(&key.task.job) {
                    job.preempted.insert(key.task.index);
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
    fn takes_time_to_end(&self, host: &str, attempts: &[AttemptKey]) -> bool {
        let slots = self.machines.get(host).map(|machine| &machine.slots);
        let slots = attempts.iter().filter_map(|key| slots.and_then(|slots| slots.get(key)));
        slots.into_iter().any(|slot| slot.yields)
    }

    /// Keeps the room that is being made on a machine for work of a rank, or above. The first tasks to end there
    /// left room for lower work at once, so that a task which needs all of it waited for a minute, and the
    /// lower work was stopped six times over.
    fn reserve_preempted_capacity(&mut self, priority: Priority, host: &str, now: Micros) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        let priority =
            machine.pending_preemption.map_or(priority, |room| room.priority.min(priority));
        machine.pending_preemption =
            Some(PendingPreemption { priority, until: now + PREEMPTED_CAPACITY_RESERVED_FOR });
        self.pending_preemption.insert(host.to_owned());
    }

    /// Opens made room to everybody where nothing waits any more that it was made for.
    fn release_preempted_capacity(&mut self, now: Micros) {
        if self.pending_preemption.is_empty() {
            return;
        }
        let waiting =
            self.short.iter().filter_map(|id| self.jobs.get(id)).map(|j| j.spec().priority);
        let most_urgent = waiting.min();
        let machines = &mut self.machines;
        self.pending_preemption.retain(|host| {
            let Some(machine) = machines.get_mut(host) else { return false };
            let awaited = |room: &PendingPreemption| {
                now < room.until && most_urgent.is_some_and(|priority| priority <= room.priority)
            };
            machine.pending_preemption = machine.pending_preemption.filter(awaited);
            machine.pending_preemption.is_some()
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
        let machine_type = self.types.as_ref()?.get(&record.machine_type)?;
        if !offer_allowed(spec, &record.machine_type, &record.zone, record.spot) {
            return None;
        }
        let claims = inside.contains(&spec.team);
        let mut stoppable: Vec<(f64, &AttemptKey, &Slot)> = machine
            .slots
            .iter()
            .filter(|(k, s)| {
                let lower = s.priority > spec.priority;
                let borrowed = claims
                    && s.team != spec.team
                    && !s.team.is_empty()
                    && !inside.contains(&s.team);
                let is_protected = self.jobs.get(&k.task.job).is_some_and(|j| j.is_protected(now));
                let asked = *victims == Victims::Any || s.yields;
                s.wanted && !s.exited() && asked && ((lower && !is_protected) || borrowed)
            })
            .map(|(k, s)| {
                let ran = s.running_since.map_or(0, |t| now.saturating_sub(t));
                // Sparing them for good made the older ones pay, and lost more work.
                let again =
                    self.jobs.get(&k.task.job).is_none_or(|j| j.preempted.contains(k.task.index));
                let ran = if again { ran + REPEATED_PREEMPTION_COST } else { ran };
                (ran as f64 * s.need.cpus.max(0.1), k, s)
            })
            .collect();
        stoppable.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = machine.free;
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
            let pull = spec.image_gb / machine_type.pull_gb_per_s.max(0.01);
            lost += pull * 1e6 * need.cpus.max(0.1);
        }
        let gain = free.count(need);
        let fits = free.fits(need) && !attempts.is_empty();
        fits.then(|| Stops { lost, gain, machine: host.to_owned(), attempts })
    }
}

#[cfg(test)]
mod tests;
