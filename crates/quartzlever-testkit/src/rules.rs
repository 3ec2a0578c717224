//! Checks each rule of the protocol by events outside the controllers: the tasks on machines, their
//! starts and ends, and the responses that users receive. The checker does not read the state of
//! controllers.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::TaskId;

/// Kind of a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequest {
    /// Submits a job.
    Submit,
    /// Looks up a job.
    Lookup,
    /// Cancels a job.
    Cancel,
}

/// Quota of a team: the maximum resources that all its tasks together may use. 0 means unlimited.
#[derive(Clone, Debug, Default)]
pub struct TeamLimit {
    /// Name of the team.
    pub team: String,
    /// Maximum number of processors.
    pub cpus: f64,
    /// Maximum number of GPUs.
    pub gpus: f64,
}

/// A machine with its running tasks.
#[derive(Clone, Debug)]
pub struct MachineTasks {
    /// Name of the machine.
    pub machine: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// The running tasks.
    pub tasks: Vec<TaskId>,
}

/// State of a job by its users' requests and the responses to them.
#[derive(Clone, Debug, Default)]
struct ReportedState {
    /// When a response first acknowledged the job.
    accepted_at: Option<Micros>,
    /// The first final phase that was reported, and when.
    final_phase: Option<(String, Micros)>,
    cancel_requested: bool,
    /// When a request about the job last got status 200, 201 or 404.
    last_answered: Micros,
}

/// Checks the rules of the protocol.
///
/// The test passes in the events: the code that runs the workers reports machines and tasks, and
/// the code that acts as a user reports requests and responses.
#[derive(Debug)]
pub struct RuleChecker {
    /// Time after a reported cancellation within which the tasks of the job must stop.
    cancel_limit: Micros,
    quotas: Vec<TeamLimit>,
    /// Specifications of submitted jobs, by id.
    pub specs: BTreeMap<String, JobSpec>,
    job_states: BTreeMap<String, ReportedState>,
    /// Indices of the completed tasks of each job.
    completed_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// Jobs that are done in the store, with the time when this was first seen.
    done_jobs: BTreeMap<String, Micros>,
    /// Jobs of which a task has started.
    started_jobs: BTreeSet<String>,
    /// When a task of each job class last started.
    last_class_starts: BTreeMap<String, Micros>,
    /// Violations, each with the name of the rule first, then the time and the details.
    pub violations: Vec<String>,
    /// Number of task starts after the cancellation of their job was reported. They violate a rule
    /// only after the time within which the tasks must stop.
    pub starts_after_cancel: usize,
    /// Number of jobs reported as cancelled.
    pub cancellations: usize,
    /// Number of task starts.
    pub started_tasks: usize,
}

impl RuleChecker {
    /// Creates a checker for the given quotas. The tasks of a job must stop within `cancel_limit`
    /// after the job was first reported to a user as cancelled.
    pub fn new(cancel_limit: Micros, quotas: Vec<TeamLimit>) -> Self {
        RuleChecker {
            cancel_limit,
            quotas,
            specs: BTreeMap::new(),
            job_states: BTreeMap::new(),
            completed_tasks: BTreeMap::new(),
            done_jobs: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            last_class_starts: BTreeMap::new(),
            violations: Vec::new(),
            starts_after_cancel: 0,
            cancellations: 0,
            started_tasks: 0,
        }
    }

    /// Records a violation.
    fn record_violation(&mut self, rule: &str, now: Micros, what: &str) {
        self.violations.push(format!("{rule} at {} ms: {what}", now / 1000));
    }

    /// Records that a user sends a request; `spec` is the job of a submission.
    pub fn record_request(&mut self, request: UserRequest, job: &str, spec: Option<&JobSpec>) {
        let state = self.job_states.entry(job.to_owned()).or_default();
        state.cancel_requested |= request == UserRequest::Cancel;
        if let Some(spec) = spec {
            self.specs.entry(job.to_owned()).or_insert_with(|| spec.clone());
        }
    }

    /// Records and checks the response to a request that was sent at `sent`.
    pub fn record_answer(
        &mut self,
        now: Micros,
        sent: Micros,
        request: UserRequest,
        job: &str,
        status: u16,
        phase: &str,
    ) {
        let state = self.job_states.entry(job.to_owned()).or_default();
        let known_before = state.accepted_at.is_some_and(|at| at < sent);
        if matches!(status, 200 | 201 | 404) {
            state.last_answered = now;
        }
        match status {
            200 | 201 => self.phase_reported(now, sent, job, phase),
            404 if known_before => self.record_violation("forgotten", now, &format!("{job}: 404")),
            400 | 422 if known_before && request == UserRequest::Submit => {
                self.record_violation(
                    "forgotten",
                    now,
                    &format!("{job}: {status} to a repeated submission"),
                );
            }
            _ => {}
        }
    }

    /// Records and checks the phase of a job in the response to a request that was sent at `sent`.
    ///
    /// A request sent before the final phase was first reported may still get an earlier phase, but
    /// no other final phase.
    fn phase_reported(&mut self, now: Micros, sent: Micros, job: &str, phase: &str) {
        let is_final = matches!(phase, "done" | "aborted");
        let state = self.job_states.entry(job.to_owned()).or_default();
        state.accepted_at.get_or_insert(now);
        let (final_phase, cancel_requested) = (state.final_phase.clone(), state.cancel_requested);
        if is_final && final_phase.is_none() {
            state.final_phase = Some((phase.to_owned(), now));
        }
        if !self.specs.contains_key(job) {
            self.record_violation("invented", now, job);
        }
        match final_phase {
            None if phase == "aborted" => {
                self.cancellations += 1;
                if !cancel_requested {
                    self.record_violation(
                        "went_back",
                        now,
                        &format!("{job}: cancelled without a request"),
                    );
                }
            }
            None if phase == "done" => self.done_reported(now, job),
            Some((end, at)) if phase != end && (sent > at || is_final) => {
                self.record_violation("went_back", now, &format!("{job}: {end}, then {phase}"));
            }
            _ => {}
        }
    }

    /// Checks that all tasks of a job have completed when it is first reported as done. A service
    /// is never done.
    fn done_reported(&mut self, now: Micros, job: &str) {
        let tasks = self.specs.get(job).map_or(0, |s| s.tasks);
        let done = self.completed_tasks.get(job).map_or(0, |c| c.len() as u32);
        if done < tasks || self.specs.get(job).is_some_and(JobSpec::is_service) {
            self.record_violation(
                "not_done",
                now,
                &format!("{job}: {done} of {tasks} tasks completed"),
            );
        }
    }

    /// Checks the running tasks of all machines: no task runs twice, no cancelled job still runs,
    /// and no team exceeds its quota.
    pub fn check_machines(&mut self, now: Micros, machines: &[MachineTasks]) {
        let mut machine_of: BTreeMap<&TaskId, &str> = BTreeMap::new();
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut broken = Vec::new();
        for machine in machines {
            for task in &machine.tasks {
                if let Some(other) = machine_of.insert(task, &machine.machine) {
                    broken
                        .push(("ran_twice", format!("{task} on {other} and {}", machine.machine)));
                }
                if let Some(spec) = self.specs.get(&task.job) {
                    let sum = used.entry(spec.team.clone()).or_default();
                    *sum = (sum.0 + spec.cpus, sum.1 + spec.gpus);
                }
                if self
                    .cancellation_reported_at(&task.job)
                    .is_some_and(|at| now > at + self.cancel_limit)
                {
                    broken.push(("ran_cancelled", format!("{task} on {}", machine.machine)));
                }
            }
        }
        for limit in &self.quotas {
            let (cpus, gpus) = used.get(&limit.team).copied().unwrap_or_default();
            if (limit.cpus > 0.0 && cpus > limit.cpus + 1e-6)
                || (limit.gpus > 0.0 && gpus > limit.gpus + 1e-6)
            {
                broken.push((
                    "quota",
                    format!("{} uses {cpus} processors and {gpus} GPUs", limit.team),
                ));
            }
        }
        for (rule, what) in broken {
            self.record_violation(rule, now, &what);
        }
    }

    /// Returns when a job was first reported as cancelled.
    pub fn cancellation_reported_at(&self, job: &str) -> Option<Micros> {
        let (phase, at) = self.job_states.get(job)?.final_phase.as_ref()?;
        (phase == "aborted").then_some(*at)
    }

    /// Records and checks the start of a task on a machine. `machines` is the state of all machines
    /// with the task on its machine.
    pub fn record_task_start(
        &mut self,
        now: Micros,
        task: &TaskId,
        machine: &str,
        machines: &[MachineTasks],
    ) {
        self.started_jobs.insert(task.job.clone());
        self.started_tasks += 1;
        if let Some(at) = self.cancellation_reported_at(&task.job).filter(|at| now > *at) {
            self.starts_after_cancel += 1;
            if now > at + self.cancel_limit {
                self.record_violation("ran_cancelled", now, &format!("{task} starts on {machine}"));
            }
        }
        if self.done_jobs.get(&task.job).is_some_and(|end| now > *end) {
            self.record_violation("ran_after_end", now, &format!("{task} starts on {machine}"));
        }
        let Some(spec) = self.specs.get(&task.job).cloned() else {
            return self.record_violation("invented", now, &format!("{task} starts"));
        };
        self.last_class_starts.insert(spec.class.clone(), now);
        let Some(target) = machines.iter().find(|m| m.machine == machine) else { return };
        let machine_type = spec.types.as_ref().is_none_or(|t| t.contains(&target.machine_type));
        let zone = spec.zone.as_ref().is_none_or(|z| *z == target.zone);
        let spot = spec.spot || !target.spot;
        let of_job = |m: &&MachineTasks| m.tasks.iter().any(|t| t.job == task.job);
        let zone_shared =
            !spec.one_zone || machines.iter().filter(of_job).all(|m| m.zone == target.zone);
        let tasks_in_zone = machines
            .iter()
            .filter(|m| m.zone == target.zone)
            .flat_map(|m| &m.tasks)
            .filter(|t| t.job == task.job)
            .count();
        let zones_spread = !spec.spread || tasks_in_zone as u32 <= spec.tasks.div_ceil(2);
        if !(machine_type && zone && spot && zone_shared && zones_spread) {
            self.record_violation(
                "wrong_place",
                now,
                &format!("{task} on {machine} in zone {}", target.zone),
            );
        }
    }

    /// Records that a task has completed.
    pub fn record_task_completion(&mut self, task: &TaskId) {
        self.completed_tasks.entry(task.job.clone()).or_default().insert(task.index);
    }

    /// Records that a job is done in the store.
    pub fn record_job_done(&mut self, now: Micros, job: &str) {
        self.done_jobs.entry(job.to_owned()).or_insert(now);
    }

    /// Returns the accepted jobs without a reported final phase of which no task has started.
    pub fn jobs_without_start(&self) -> Vec<&str> {
        let open = |(job, state): &(&String, &ReportedState)| {
            state.accepted_at.is_some()
                && state.final_phase.is_none()
                && !self.started_jobs.contains(*job)
        };
        self.job_states.iter().filter(open).map(|(job, _)| job.as_str()).collect()
    }

    /// Checks at the end of a test that some task has started if any job was to run.
    pub fn check_any_task_started(&mut self, now: Micros) {
        let to_run = self.unfinished().count();
        if self.started_jobs.is_empty() && to_run > 0 {
            self.record_violation(
                "nothing_ran",
                now,
                &format!("none of {to_run} jobs has started"),
            );
        }
    }

    /// Checks, while no fault is active, that exactly one controller acts for a partition. `acting`
    /// is the number of controllers that do.
    pub fn check_partition_leader(&mut self, now: Micros, partition: &str, acting: usize) {
        if acting != 1 {
            self.record_violation(
                "not_held",
                now,
                &format!("{partition}: {acting} controllers act for it"),
            );
        }
    }

    /// Checks that tasks of each job class start while no fault is active, as has been the case
    /// since `since`.
    ///
    /// Each class with a job that could run but has not started must have had a task start since
    /// then. `could_run` reports whether some machine type fits the job and the quota of its team
    /// has enough left for one of its tasks.
    pub fn check_class_starts(
        &mut self,
        now: Micros,
        since: Micros,
        could_run: impl Fn(&JobSpec) -> bool,
    ) {
        let waiting: BTreeSet<String> = self
            .unfinished()
            .filter(|spec| !self.started_jobs.contains(&spec.id) && could_run(spec))
            .map(|spec| spec.class.clone())
            .collect();
        for class in waiting {
            if self.last_class_starts.get(&class).is_none_or(|at| *at < since) {
                self.record_violation(
                    "class_waits",
                    now,
                    &format!("no task of class {class} has started"),
                );
            }
        }
    }

    /// Returns the accepted jobs that have neither a reported final phase nor a request to cancel.
    fn unfinished(&self) -> impl Iterator<Item = &JobSpec> {
        let open = |(_, state): &(&String, &ReportedState)| {
            state.accepted_at.is_some() && state.final_phase.is_none() && !state.cancel_requested
        };
        self.job_states.iter().filter(open).filter_map(|(job, _)| self.specs.get(job))
    }

    /// Reports whether any user has sent a request to cancel a job.
    pub fn is_cancel_requested(&self, job: &str) -> bool {
        self.job_states.get(job).is_some_and(|t| t.cancel_requested)
    }

    /// Returns the ids of all accepted jobs.
    pub fn accepted_jobs(&self) -> Vec<String> {
        let accepted = self.job_states.iter().filter(|(_, t)| t.accepted_at.is_some());
        accepted.map(|(job, _)| job.clone()).collect()
    }

    /// Checks that some request about each accepted job was answered since `since`.
    pub fn check_answered_since(&mut self, now: Micros, since: Micros) {
        for job in self.accepted_jobs() {
            if self.job_states[&job].last_answered < since {
                self.record_violation("forgotten", now, &format!("{job}: no answer"));
            }
        }
    }
}
