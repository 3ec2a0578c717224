//! What is looked at from outside: broken rules, and whether the service gets on.

use super::*;

/// How long the controllers have before they are looked at.
const UNDISTURBED: Micros = 20 * SECOND;

impl Simulation {
    /// Tells the checker which tasks have run to their end.
    pub(super) fn note_ends(&mut self) {
        for (name, worker) in &self.workers {
            let seen = self.seen_ends.entry(name.clone()).or_default();
            for task in &worker.completed[*seen..] {
                self.rules.task_completed(task);
            }
            *seen = worker.completed.len();
        }
    }

    /// Looks for broken rules.
    pub(super) fn check(&mut self) {
        let now = self.now;
        let seen: Vec<MachineTasks> = self
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
        self.rules.machines(now, &seen);
        for key in self.store.keys("over/") {
            let id = &key["over/".len()..];
            if self.over(id) == Some(JobPhase::Done) {
                self.rules.job_done(now, id);
            }
        }
        for (name, worker) in &self.workers {
            let told = self.seen_starts.entry(name.clone()).or_default();
            for (task, at) in &worker.started[*told..] {
                self.rules.task_started(*at, task, name, &seen);
            }
            *told = worker.started.len();
        }
        self.watch_holders();
        if !self.old.is_empty() {
            self.check_old_forms();
        }
    }

    /// While a process of the first version may be up, everything is in forms that it reads.
    pub(super) fn check_old_forms(&mut self) {
        let now = self.now;
        if let Some(key) = self.store.key_unknown_to_first_version() {
            self.rules.broken.push(format!("new_form at {} ms: {key}", now / 1000));
        }
    }

    /// Counts new leaders, and hands them what was kept for them.
    pub(super) fn watch_holders(&mut self) {
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
        self.counts.leaders += new;
        if new > 0 {
            let all: Vec<usize> = (0..self.names.len()).collect();
            for heartbeat in std::mem::take(&mut self.kept_copies) {
                self.counts.copies_for_next += 1;
                let delay = self.short();
                self.post(delay, Message::Copy(all.clone(), Box::new(heartbeat)));
            }
        }
    }

    /// The controllers have been undisturbed since `since`: each partition has one that acts for it,
    /// and tasks start. Each is given a heartbeat of what the controllers wait for if not.
    pub fn check_liveness(&mut self, since: Micros) {
        let now = self.now;
        let before = self.rules.broken.len();
        for partition in self.names.clone() {
            let acting = self.cores.iter().flatten().filter(|c| c.acts_for(partition)).count();
            self.rules.partition_held(now, partition, acting);
        }
        let types = self.cloud.catalogue.types.clone();
        let can_rent = self.cloud.machines.len() < self.cloud.max_machines;
        let limits = team_limits(config(self.names[0], &self.names).teams);
        self.rules.classes_start(now, since, |spec| {
            let limit = limits.iter().find(|l| l.team == spec.team).map_or(0.0, |l| l.cpus);
            let fits = types.iter().any(|t| {
                t.cpus >= spec.cpus
                    && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                    && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
            });
            fits && can_rent && limit <= 0.0
        });
        self.rules.day_over(now);
        if self.rules.broken.len() > before {
            let heartbeat = self.awaited();
            self.rules.broken[before..].iter_mut().for_each(|broken| broken.push_str(&heartbeat));
        }
    }

    /// Ends bad luck with calls, and looks at what the controllers have come to some time later.
    pub fn check_end(&mut self) {
        self.fault_rates = FaultRates::default();
        let since = self.now;
        self.run(UNDISTURBED);
        self.check_liveness(since);
    }

    /// What each controller waits for.
    pub fn awaited(&self) -> String {
        let each = self.names.iter().zip(&self.cores).map(|(name, core)| match core {
            Some(core) => {
                let awaited: Vec<String> = core.awaited().iter().map(ToString::to_string).collect();
                format!("; {name} waits for [{}]", awaited.join(", "))
            }
            None => format!("; {name} is down"),
        });
        each.collect()
    }

    /// Whether a machine that heartbeats has room for one more task of the usual size.
    pub fn has_room(&self) -> bool {
        self.workers.values().any(|w| !w.hung && w.running().len() < 4)
    }

    /// The final state of a job, if it has one.
    pub fn over(&self, id: &str) -> Option<JobPhase> {
        let (value, _) = self.store.get(&format!("over/{id}"))?;
        value.parse::<TerminalJobRecord>().map(|o| o.phase)
    }
}
