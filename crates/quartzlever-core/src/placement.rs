//! Which task goes where, and who gives way.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::state::HostRecord;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::TaskId;
use quartzlever_wire::{Micros, SECOND, micros_from_secs};

use crate::config::{Config, Objective};
use crate::engine::Core;
use crate::machine::{Amounts, Slot, SlotKey};
use crate::messages::{Effect, Weight};
use crate::part::{Part, PartJob, Place};

/// A machine that was not heard of for so many report intervals gets no new tasks.
const QUIET_REPORTS: u64 = 3;
/// Work of lower rank gives way so long before a start becomes too late: what it takes to stop
/// one task and start another.
const PREEMPT_AHEAD: Micros = 5 * SECOND / 2;
/// Lost work that stopping a task again counts for on top of what is lost.
const STOPPED_AGAIN: Micros = 4 * SECOND;
/// Room that frees by itself, or a thief, gets this long first.
const PREEMPT_AFTER: Micros = SECOND / 5;

/// Whether a job may run on a machine type at all (room aside).
pub fn type_allowed(spec: &JobSpec, kind: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
        && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
}

/// Whether a job may run on this machine (room aside).
pub fn machine_allowed(spec: &JobSpec, machine: &HostRecord) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&machine.kind))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}

/// What classes of jobs really take, against their owners' estimates.
#[derive(Debug, Default)]
pub struct Paces {
    classes: HashMap<String, (u32, f64)>,
}

impl Paces {
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

/// A machine that can take tasks now.
struct Candidate {
    name: String,
    record: HostRecord,
    free: Amounts,
    cpus: f64,
    cached: BTreeSet<String>,
    pulling: BTreeSet<String>,
    doubtful: bool,
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
pub fn urgency(cfg: &Config, paces: &Paces, job: &PartJob, now: Micros) -> Urgency {
    let spec = job.spec();
    let expect = paces.expect(spec);
    let by = |end: Micros| end.saturating_sub(expect);
    let span = job.due.map(|due| due.saturating_sub(job.since));
    let mut latest: Vec<Micros> = Vec::new();
    if let Some(span) = span {
        latest.push(by(job.since + span));
    }
    for objective in cfg.objectives.iter().filter(|o| o.class() == spec.class) {
        match objective {
            Objective::Wait { within, .. } => latest.push(job.since + within),
            Objective::Finished { within, .. } => latest.push(by(job.since + within)),
            Objective::Deadline { times, .. } => {
                if let Some(span) = span {
                    latest.push(by(job.since + (span as f64 * times) as Micros));
                }
            }
        }
    }
    if latest.is_empty() {
        return Urgency { missed: false, latest: job.since + NO_AIM };
    }
    match latest.iter().filter(|l| **l >= now).min() {
        Some(latest) => Urgency { missed: false, latest: *latest },
        None => Urgency { missed: true, latest: job.since },
    }
}

/// Zones in which another task of the job may start now.
pub(crate) fn zones_open(part: &Part, job: &PartJob, zones: &[String]) -> Option<Vec<String>> {
    let spec = job.spec();
    if !spec.one_zone && !spec.spread {
        return None;
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
        return Some(used.keys().map(|z| (*z).to_owned()).collect());
    }
    let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    Some(
        zones
            .iter()
            .filter(|z| used.get(z.as_str()).copied().unwrap_or(0) < most)
            .cloned()
            .collect(),
    )
}

impl Core {
    /// Gives the part's ready tasks to its free machines.
    pub(crate) fn place(&mut self, name: &str) {
        let now = self.now;
        let quiet = self.cfg.workers.report * QUIET_REPORTS;
        let progress = self.cfg.operator.progress_write;
        let Some(types) = &self.types else { return };
        let Some(part) = self.parts.get_mut(name).filter(|p| p.active() && p.place_wanted) else {
            return;
        };
        part.place_wanted = false;
        part.short.clear();
        part.pressed = false;
        let mut machines: Vec<Candidate> = part
            .machines
            .values()
            .filter(|m| m.open(now, quiet))
            .filter_map(|m| {
                let total = Amounts::of_type(types.get(&m.record.kind)?);
                Some(Candidate {
                    name: m.name.clone(),
                    record: m.record.clone(),
                    free: m.free(total),
                    cpus: total.cpus.max(1e-6),
                    cached: m.images.clone(),
                    pulling: m.pulling(),
                    doubtful: m.errors > 0,
                })
            })
            .collect();
        let order = part.queue_order(&self.cfg, &self.paces, now);
        for id in order {
            let Some(job) = part.jobs.get(&id) else { continue };
            if job.no_start_before > now {
                part.place_wanted = true;
                continue;
            }
            let spec = job.spec().clone();
            let need = job.need();
            let failed_on = job.failed_on.clone();
            // Where it failed it is tried again only when it fails everywhere.
            let again = job.mistaken();
            while let Some(job) = part.jobs.get(&id)
                && let Some(index) = job.ready.lowest()
            {
                if !part.team_has_room(&self.cfg, &spec, &need) {
                    break;
                }
                let zones = zones_open(part, job, &self.cfg.zones);
                let chosen = machines
                    .iter()
                    .enumerate()
                    .filter(|(_, m)| {
                        m.free.fits(&need)
                            && machine_allowed(&spec, &m.record)
                            && zones.as_ref().is_none_or(|z| z.contains(&m.record.zone))
                            && (again || !failed_on.contains(&m.name))
                    })
                    .min_by(|(_, a), (_, b)| {
                        let key = |m: &Candidate| {
                            let left = (m.free.cpus - need.cpus) / m.cpus;
                            let image = if m.cached.contains(&spec.image) {
                                0
                            } else if m.pulling.contains(&spec.image) {
                                1
                            } else {
                                2
                            };
                            (m.doubtful, image, !m.record.spot, left)
                        };
                        key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal)
                    })
                    .map(|(n, _)| n);
                let Some(chosen) = chosen else {
                    part.short.push(id.clone());
                    break;
                };
                let target = &mut machines[chosen];
                target.free.take(&need);
                target.pulling.insert(spec.image.clone());
                let host = target.name.clone();
                part.start(&id, index, &host, now);
                if let Some(job) = part.jobs.get_mut(&id)
                    && !job.record.started
                    && !job.wants_write
                {
                    job.wants_write = true;
                    job.write_after = job.write_after.max(now + progress);
                }
            }
        }
        self.preempt(name);
    }

    /// Stops work of lower rank for jobs that found no room.
    fn preempt(&mut self, name: &str) {
        let now = self.now;
        let quiet = self.cfg.workers.report * QUIET_REPORTS;
        let Some(types) = &self.types else { return };
        let Some(part) = self.parts.get_mut(name) else { return };
        // Room that is being made already.
        let coming: f64 = part.live_slots().filter(|s| !s.wanted).map(|s| s.need.cpus).sum();
        let mut coming = coming;
        for id in part.short.clone() {
            let Some(job) = part.jobs.get(&id) else { continue };
            let urgency = urgency(&self.cfg, &self.paces, job, now);
            if now < job.since + PREEMPT_AFTER || now + PREEMPT_AHEAD < urgency.latest {
                part.place_wanted = true;
                continue;
            }
            let spec = job.spec().clone();
            let need = job.need();
            let mut wanted = f64::from(job.ready.len()) * need.cpus;
            wanted -= coming.min(wanted);
            while wanted > 0.0 {
                let Some((machine, stops)) =
                    part.cheapest_stops(&self.cfg, types, &spec, &need, now, quiet)
                else {
                    part.pressed = true;
                    break;
                };
                let count = stops.len();
                let notes = self.cfg.notes;
                if notes >= Weight::Info {
                    let text = format!("part {name}: stops {count} on {machine} for {id}");
                    self.out.push(Effect::Note { weight: Weight::Info, text });
                }
                for key in stops {
                    if let Some(job) = part.jobs.get_mut(&key.0.job) {
                        job.stopped.insert(key.0.index);
                        let leeway = job.record.job.save_s;
                        if let Some(machine) = part.machines.get_mut(&machine) {
                            machine.stop(&key, leeway);
                        }
                    }
                }
                wanted -= need.cpus;
                coming += need.cpus;
            }
        }
    }
}

impl Part {
    /// Jobs with ready tasks: by rank, guarantee and time.
    pub fn queue_order(&self, cfg: &Config, paces: &Paces, now: Micros) -> Vec<String> {
        let mut guaranteed: HashMap<&str, bool> = HashMap::new();
        for job in self.jobs.values() {
            let team = job.spec().team.as_str();
            guaranteed.entry(team).or_insert_with(|| self.inside_guarantee(cfg, team));
        }
        let mut order: Vec<(&String, &PartJob)> =
            self.jobs.iter().filter(|(_, j)| !j.ready.is_empty()).collect();
        order.sort_by_key(|(id, job)| {
            let inside = guaranteed.get(job.spec().team.as_str()).copied().unwrap_or(false);
            (!inside, job.spec().rank, urgency(cfg, paces, job, now), job.since, id.to_string())
        });
        order.into_iter().map(|(id, _)| id.clone()).collect()
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

    /// Whether one more task keeps the team inside its limit, counting everything that may be
    /// on a machine.
    pub fn team_has_room(&self, cfg: &Config, spec: &JobSpec, need: &Amounts) -> bool {
        let Some(team) = cfg.team(&spec.team).filter(|t| t.limited()) else { return true };
        if !self.barrier_open || cfg.part_of_team(&team.name) != self.name {
            return false;
        }
        let (used, certain) = self.team_use(&team.name);
        let inside = |used: f64, want: f64, most: f64| most <= 0.0 || used + want <= most + 1e-9;
        certain
            && inside(used.cpus, need.cpus, team.cpus_max)
            && inside(used.gpus, need.gpus, team.gpus_max)
    }

    /// Decides that a ready task goes to a machine.
    pub fn start(&mut self, id: &str, index: u32, host: &str, now: Micros) {
        let attempt = self.next_attempt();
        let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.machines.get_mut(host))
        else {
            return;
        };
        job.ready.remove(index);
        job.located.insert(index, Place { machine: host.to_owned(), attempt });
        let key = (TaskId { job: id.to_owned(), index }, attempt);
        machine.slots.insert(key, Slot::new(job.spec(), now));
        machine.idle_since = None;
    }

    /// The attempts to stop on one machine so that a task of the job fits there, at the least
    /// lost work; none if no machine will do.
    fn cheapest_stops(
        &self,
        cfg: &Config,
        types: &BTreeMap<String, MachineType>,
        spec: &JobSpec,
        need: &Amounts,
        now: Micros,
        quiet: Micros,
    ) -> Option<(String, Vec<SlotKey>)> {
        let mut best: Option<(f64, String, Vec<SlotKey>)> = None;
        let claims = self.inside_guarantee(cfg, &spec.team);
        for machine in self.machines.values() {
            if !machine.open(now, quiet) || !machine_allowed(spec, &machine.record) {
                continue;
            }
            let Some(kind) = types.get(&machine.record.kind) else { continue };
            let mut free = machine.free(Amounts::of_type(kind));
            let mut stoppable: Vec<(f64, &SlotKey, &Slot)> = machine
                .slots
                .iter()
                .filter(|(_, s)| {
                    let lower = s.rank > spec.rank;
                    let borrowed = claims
                        && s.team != spec.team
                        && !s.team.is_empty()
                        && !self.inside_guarantee(cfg, &s.team);
                    s.wanted && !s.exited() && (lower || borrowed)
                })
                .map(|(k, s)| {
                    let ran = s.running_since.map_or(0, |t| now.saturating_sub(t));
                    // Sparing them for good made the older ones pay, and lost more work.
                    let again =
                        self.jobs.get(&k.0.job).is_none_or(|j| j.stopped.contains(k.0.index));
                    let ran = if again { ran + STOPPED_AGAIN } else { ran };
                    (ran as f64 * s.need.cpus.max(0.1), k, s)
                })
                .collect();
            stoppable.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (mut lost, mut stops) = (0.0, Vec::new());
            for (cost, key, slot) in stoppable {
                if free.fits(need) {
                    break;
                }
                free.give(&slot.need);
                lost += cost;
                stops.push(key.clone());
            }
            // Fetching the image takes its time on the way to the start as well.
            if !machine.images.contains(&spec.image) {
                let pull = spec.image_gb / kind.pull_gb_per_s.max(0.01);
                lost += pull * 1e6 * need.cpus.max(0.1);
            }
            let better = best.as_ref().is_none_or(|b| lost < b.0);
            if free.fits(need) && !stops.is_empty() && better {
                best = Some((lost, machine.name.clone(), stops));
            }
        }
        best.map(|(_, machine, stops)| (machine, stops))
    }
}
