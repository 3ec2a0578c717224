//! Checks every rule of the protocol from what happened outside the controllers: tasks on machines,
//! their starts and ends, and the answers that users got. It knows nothing of what controllers
//! believe.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::TaskId;

/// What a user asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequest {
    /// To run a job.
    Submit,
    /// What has become of a job.
    Lookup,
    /// To cancel a job.
    Cancel,
}

/// The most that all tasks of a team may use at once; 0 means no limit.
#[derive(Clone, Debug, Default)]
pub struct TeamLimit {
    /// The team.
    pub team: String,
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
}

/// A machine with the tasks that are on it.
#[derive(Clone, Debug)]
pub struct MachineTasks {
    /// Name of the machine.
    pub machine: String,
    /// Name of its type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The tasks.
    pub tasks: Vec<TaskId>,
}

/// What users were told of a job.
#[derive(Clone, Debug, Default)]
struct Told {
    accepted: Option<Micros>,
    /// The final phase, and when any user was first told.
    over: Option<(String, Micros)>,
    cancel_asked: bool,
    answered: Micros,
}

/// The checker, fed by whoever runs the workers and asks as a user.
#[derive(Debug)]
pub struct RuleChecker {
    cancel: Micros,
    limits: Vec<TeamLimit>,
    /// Jobs that users have submitted, by id.
    pub specs: BTreeMap<String, JobSpec>,
    told: BTreeMap<String, Told>,
    completed: BTreeMap<String, BTreeSet<u32>>,
    /// Jobs that are done in the store, and since when.
    ended: BTreeMap<String, Micros>,
    begun: BTreeSet<String>,
    /// When a task of each class last started.
    class_starts: BTreeMap<String, Micros>,
    /// Broken rules, each with its time; the name of the rule comes first.
    pub broken: Vec<String>,
    /// Starts after a confirmed cancellation, still within the time for its tasks to be gone.
    pub starts_after_cancel: usize,
    /// Jobs that users were told are cancelled.
    pub cancellations: usize,
}

impl RuleChecker {
    /// A checker for the given quotas; tasks of a cancelled job must be gone after `cancel`.
    pub fn new(cancel: Micros, limits: Vec<TeamLimit>) -> Self {
        RuleChecker {
            cancel,
            limits,
            specs: BTreeMap::new(),
            told: BTreeMap::new(),
            completed: BTreeMap::new(),
            ended: BTreeMap::new(),
            begun: BTreeSet::new(),
            class_starts: BTreeMap::new(),
            broken: Vec::new(),
            starts_after_cancel: 0,
            cancellations: 0,
        }
    }

    fn breaks(&mut self, rule: &str, now: Micros, what: &str) {
        self.broken.push(format!("{rule} at {} ms: {what}", now / 1000));
    }

    /// A user sends a question.
    pub fn asked(&mut self, asked: UserRequest, job: &str, spec: Option<&JobSpec>) {
        let told = self.told.entry(job.to_owned()).or_default();
        told.cancel_asked |= asked == UserRequest::Cancel;
        if let Some(spec) = spec {
            self.specs.entry(job.to_owned()).or_insert_with(|| spec.clone());
        }
    }

    /// A user gets an answer to a question sent at `sent`.
    pub fn answered(
        &mut self,
        now: Micros,
        sent: Micros,
        asked: UserRequest,
        job: &str,
        status: u16,
        phase: &str,
    ) {
        let told = self.told.entry(job.to_owned()).or_default();
        let known_before = told.accepted.is_some_and(|at| at < sent);
        if matches!(status, 200 | 201 | 404) {
            told.answered = now;
        }
        match status {
            200 | 201 => self.told_phase(now, sent, job, phase),
            404 if known_before => self.breaks("forgotten", now, &format!("{job}: 404")),
            400 | 422 if known_before && asked == UserRequest::Submit => {
                self.breaks("forgotten", now, &format!("{job}: {status} to its repetition"));
            }
            _ => {}
        }
    }

    /// A user was told a job's phase in answer to a question sent at `sent`.
    fn told_phase(&mut self, now: Micros, sent: Micros, job: &str, phase: &str) {
        let is_final = matches!(phase, "done" | "aborted");
        let told = self.told.entry(job.to_owned()).or_default();
        told.accepted.get_or_insert(now);
        let (over, cancel_asked) = (told.over.clone(), told.cancel_asked);
        if is_final && over.is_none() {
            told.over = Some((phase.to_owned(), now));
        }
        if !self.specs.contains_key(job) {
            self.breaks("invented", now, job);
        }
        match over {
            None if phase == "aborted" => {
                self.cancellations += 1;
                if !cancel_asked {
                    self.breaks("went_back", now, &format!("{job} cancelled by nobody"));
                }
            }
            None if phase == "done" => self.told_done(now, job),
            Some((end, at)) if phase != end && (sent > at || is_final) => {
                self.breaks("went_back", now, &format!("{job}: {end}, then {phase}"));
            }
            _ => {}
        }
    }

    /// A user was told for the first time that a job is done.
    fn told_done(&mut self, now: Micros, job: &str) {
        let tasks = self.specs.get(job).map_or(0, |s| s.tasks);
        let done = self.completed.get(job).map_or(0, |c| c.len() as u32);
        if done < tasks || self.specs.get(job).is_some_and(JobSpec::is_service) {
            self.breaks("not_done", now, &format!("{job}: {done} of {tasks}"));
        }
    }

    /// Each machine as it is now.
    pub fn machines(&mut self, now: Micros, machines: &[MachineTasks]) {
        let mut on: BTreeMap<&TaskId, &str> = BTreeMap::new();
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut broken = Vec::new();
        for machine in machines {
            for task in &machine.tasks {
                if let Some(other) = on.insert(task, &machine.machine) {
                    broken
                        .push(("ran_twice", format!("{task} on {other} and {}", machine.machine)));
                }
                if let Some(spec) = self.specs.get(&task.job) {
                    let sum = used.entry(spec.team.clone()).or_default();
                    *sum = (sum.0 + spec.cpus, sum.1 + spec.gpus);
                }
                if self.cancelled(&task.job).is_some_and(|at| now > at + self.cancel) {
                    broken.push(("ran_cancelled", format!("{task} on {}", machine.machine)));
                }
            }
        }
        for limit in &self.limits {
            let (cpus, gpus) = used.get(&limit.team).copied().unwrap_or_default();
            if (limit.cpus > 0.0 && cpus > limit.cpus + 1e-6)
                || (limit.gpus > 0.0 && gpus > limit.gpus + 1e-6)
            {
                broken.push(("quota", format!("{} uses {cpus} and {gpus}", limit.team)));
            }
        }
        for (rule, what) in broken {
            self.breaks(rule, now, &what);
        }
    }

    /// When a user was first told that a job is cancelled.
    pub fn cancelled(&self, job: &str) -> Option<Micros> {
        let (phase, at) = self.told.get(job)?.over.as_ref()?;
        (phase == "aborted").then_some(*at)
    }

    /// A task starts on a machine, while `machines` are as they are with it.
    pub fn task_started(
        &mut self,
        now: Micros,
        task: &TaskId,
        machine: &str,
        machines: &[MachineTasks],
    ) {
        self.begun.insert(task.job.clone());
        if let Some(at) = self.cancelled(&task.job).filter(|at| now > *at) {
            self.starts_after_cancel += 1;
            if now > at + self.cancel {
                self.breaks("ran_cancelled", now, &format!("{task} starts on {machine}"));
            }
        }
        if self.ended.get(&task.job).is_some_and(|end| now > *end) {
            self.breaks("ran_after_end", now, &format!("{task} starts on {machine}"));
        }
        let Some(spec) = self.specs.get(&task.job).cloned() else {
            return self.breaks("invented", now, &format!("{task} starts"));
        };
        self.class_starts.insert(spec.class.clone(), now);
        let Some(place) = machines.iter().find(|m| m.machine == machine) else { return };
        let machine_type = spec.types.as_ref().is_none_or(|t| t.contains(&place.machine_type));
        let zone = spec.zone.as_ref().is_none_or(|z| *z == place.zone);
        let spot = spec.spot || !place.spot;
        let of_job = |m: &&MachineTasks| m.tasks.iter().any(|t| t.job == task.job);
        let together =
            !spec.one_zone || machines.iter().filter(of_job).all(|m| m.zone == place.zone);
        let here = machines
            .iter()
            .filter(|m| m.zone == place.zone)
            .flat_map(|m| &m.tasks)
            .filter(|t| t.job == task.job)
            .count();
        let apart = !spec.spread || here as u32 <= spec.tasks.div_ceil(2);
        if !(machine_type && zone && spot && together && apart) {
            self.breaks("wrong_place", now, &format!("{task} on {machine} in {}", place.zone));
        }
    }

    /// A task has run to its end.
    pub fn task_completed(&mut self, task: &TaskId) {
        self.completed.entry(task.job.clone()).or_default().insert(task.index);
    }

    /// A job is done in the store.
    pub fn job_done(&mut self, now: Micros, job: &str) {
        self.ended.entry(job.to_owned()).or_insert(now);
    }

    /// Jobs that were accepted, are not over as far as users know, and have begun or not.
    pub fn waiting(&self) -> Vec<&str> {
        let open = |(job, told): &(&String, &Told)| {
            told.accepted.is_some() && told.over.is_none() && !self.begun.contains(*job)
        };
        self.told.iter().filter(open).map(|(job, _)| job.as_str()).collect()
    }

    /// The day is over: some task must have been started if there was anything to run.
    pub fn day_over(&mut self, now: Micros) {
        let to_run = self.unfinished().count();
        if self.begun.is_empty() && to_run > 0 {
            self.breaks("nothing_ran", now, &format!("none of {to_run} jobs was begun"));
        }
    }

    /// The controllers are undisturbed; so many of them act for a partition.
    pub fn partition_held(&mut self, now: Micros, partition: &str, acting: usize) {
        if acting != 1 {
            self.breaks("not_held", now, &format!("{partition}: {acting} controllers act for it"));
        }
    }

    /// The controllers have been undisturbed since `since`: each class with a job that has not begun
    /// must have seen a start. `could_run` says whether any machine type fits such a job and its team
    /// has room for a task of it.
    pub fn classes_start(
        &mut self,
        now: Micros,
        since: Micros,
        could_run: impl Fn(&JobSpec) -> bool,
    ) {
        let waiting: BTreeSet<String> = self
            .unfinished()
            .filter(|spec| !self.begun.contains(&spec.id) && could_run(spec))
            .map(|spec| spec.class.clone())
            .collect();
        for class in waiting {
            if self.class_starts.get(&class).is_none_or(|at| *at < since) {
                self.breaks("class_waits", now, &format!("no task of {class} was started"));
            }
        }
    }

    /// Jobs that were accepted and are neither over nor cancelled, as far as users know.
    fn unfinished(&self) -> impl Iterator<Item = &JobSpec> {
        let open = |(_, told): &(&String, &Told)| {
            told.accepted.is_some() && told.over.is_none() && !told.cancel_asked
        };
        self.told.iter().filter(open).filter_map(|(job, _)| self.specs.get(job))
    }

    /// Whether any user has asked to cancel a job.
    pub fn asked_to_cancel(&self, job: &str) -> bool {
        self.told.get(job).is_some_and(|t| t.cancel_asked)
    }

    /// All jobs that were accepted.
    pub fn accepted(&self) -> Vec<String> {
        let accepted = self.told.iter().filter(|(_, t)| t.accepted.is_some());
        accepted.map(|(job, _)| job.clone()).collect()
    }

    /// Notes an accepted job about which no question was answered since `since`.
    pub fn unanswered(&mut self, now: Micros, since: Micros) {
        for job in self.accepted() {
            if self.told[&job].answered < since {
                self.breaks("forgotten", now, &format!("{job}: no answer"));
            }
        }
    }
}
