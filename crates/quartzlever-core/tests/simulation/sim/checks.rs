//! Checks from outside the controllers: broken rules, and whether the service makes progress.

use super::*;

/// Time without faults that the controllers get before a check of liveness.
const SETTLING_TIME: Micros = 20 * SECOND;

impl Simulation {
    /// Passes completed tasks on to the checker.
    pub(super) fn check_completions(&mut self) {
        for (name, worker) in &self.workers {
            let checked = self.checked_completions.entry(name.clone()).or_default();
            for task in &worker.completed[*checked..] {
                self.rules.record_task_completion(task);
            }
            *checked = worker.completed.len();
        }
    }

    /// Passes the state of machines, finished jobs and task starts on to the checker.
    pub(super) fn check_rules(&mut self) {
        let now = self.now;
        let machines: Vec<MachineTasks> = self
            .workers
            .values()
            .map(|w| MachineTasks {
                machine: w.instance.name.clone(),
                machine_type: w.instance.machine_type.clone(),
                zone: w.instance.zone.clone(),
                spot: w.instance.spot,
                tasks: w.running(),
            })
            .collect();
        self.rules.check_machines(now, &machines);
        for key in self.store.keys("over/") {
            let id = &key["over/".len()..];
            if self.final_phase(id) == Some(JobPhase::Done) {
                self.rules.record_job_done(now, id);
            }
        }
        for (name, worker) in &self.workers {
            let checked = self.checked_starts.entry(name.clone()).or_default();
            for (task, at) in &worker.started[*checked..] {
                self.rules.record_task_start(*at, task, name, &machines);
            }
            *checked = worker.started.len();
        }
        self.track_acquisitions();
        if !self.first_version_nodes.is_empty() {
            self.check_first_version_formats();
        }
    }

    /// Checks that the store holds only keys and values that the first version can read, as
    /// required while a process of it may run.
    pub(super) fn check_first_version_formats(&mut self) {
        let now = self.now;
        if let Some(key) = self.store.key_unknown_to_first_version() {
            self.rules.violations.push(format!("new_form at {} ms: {key}", now / 1000));
        }
    }

    /// Counts acquisitions of partitions, and after one sends the kept copies of heartbeats to all
    /// nodes.
    pub(super) fn track_acquisitions(&mut self) {
        let mut new = 0;
        for name in self.names.clone() {
            let mod_revision =
                self.store.get(&format!("parts/{name}")).map(|(_, mod_revision)| mod_revision);
            if let Some(mod_revision) = mod_revision
                && self.partition_revisions.insert(name.to_owned(), mod_revision)
                    != Some(mod_revision)
            {
                new += 1;
            }
        }
        self.counts.acquisitions += new;
        if new > 0 {
            let all: Vec<usize> = (0..self.names.len()).collect();
            for heartbeat in std::mem::take(&mut self.kept_copies) {
                self.counts.copies_for_next_leader += 1;
                let delay = self.draw_latency();
                self.schedule(delay, Message::HeartbeatCopy(all.clone(), Box::new(heartbeat)));
            }
        }
    }

    /// Checks that each partition has exactly one controller that acts for it, and that every job
    /// class with a waiting job that could run has seen a start since `since`, the end of the
    /// faults. Each broken rule is recorded with the conditions that the controllers wait for.
    pub fn check_liveness(&mut self, since: Micros) {
        let now = self.now;
        let before = self.rules.violations.len();
        for partition in self.names.clone() {
            let acting =
                self.cores.iter().flatten().filter(|c| c.is_acting_leader_of(partition)).count();
            self.rules.check_partition_leader(now, partition, acting);
        }
        let types = self.cloud.catalogue.types.clone();
        let can_scale_out = self.cloud.machines.len() < self.cloud.max_machines;
        let limits = team_limits(config(self.names[0], &self.names).teams);
        self.rules.check_class_starts(now, since, |spec| {
            let limit = limits.iter().find(|l| l.team == spec.team).map_or(0.0, |l| l.cpus);
            let fits = types.iter().any(|t| {
                t.cpus >= spec.cpus
                    && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                    && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
            });
            fits && can_scale_out && limit <= 0.0
        });
        self.rules.check_any_task_started(now);
        if self.rules.violations.len() > before {
            let unmet = self.unmet_conditions();
            self.rules.violations[before..].iter_mut().for_each(|broken| broken.push_str(&unmet));
        }
    }

    /// Ends the random faults of calls, lets the controllers settle, and checks liveness.
    pub fn settle_and_check(&mut self) {
        self.fault_rates = FaultRates::default();
        let since = self.now;
        self.run(SETTLING_TIME);
        self.check_liveness(since);
    }

    /// Describes the conditions that each controller waits for.
    pub fn unmet_conditions(&self) -> String {
        let each = self.names.iter().zip(&self.cores).map(|(name, core)| match core {
            Some(core) => {
                let unmet: Vec<String> =
                    core.unmet_conditions().iter().map(ToString::to_string).collect();
                format!("; {name} waits for [{}]", unmet.join(", "))
            }
            None => format!("; {name} is down"),
        });
        each.collect()
    }

    /// Reports whether a machine that does not hang runs fewer than four tasks, so that one more of
    /// the usual size fits.
    pub fn has_free_capacity(&self) -> bool {
        self.workers.values().any(|w| !w.hung && w.running().len() < 4)
    }

    /// Returns the final phase of a job, if the store has one.
    pub fn final_phase(&self, id: &str) -> Option<JobPhase> {
        let (value, _) = self.store.get(&format!("over/{id}"))?;
        value.parse::<TerminalJobRecord>().map(|o| o.phase)
    }
}
