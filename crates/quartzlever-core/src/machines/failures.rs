//! What failed tasks say: of their job, of the machine that they failed on, or of neither yet.
//!
//! Tasks that fail on several machines speak against their job. Tasks of several jobs that fail on one machine, or
//! of a job that runs well elsewhere, speak against the machine. Which of the two it is shows when the task
//! has been tried on other machines, so a machine is not blamed before that could happen.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::{Micros, SECOND};

/// A job that failed on so many machines, and ran well on none, is taken as mistaken itself.
const FAILS_EVERYWHERE_AFTER_MACHINES: usize = 3;
/// Wait after the first round of failures; each round doubles it, so many times at the most.
const FIRST_PAUSE: Micros = SECOND;
const MOST_DOUBLINGS: u32 = 5;
/// A job that fails everywhere is tried with so many tasks at once.
pub const MAX_TRIAL_TASKS: u32 = 1;
/// Failures in a row that make a machine suspect.
const SUSPECT_AFTER: u32 = 2;
/// Tasks that failed on one machine only have been tried on another by then, image and all.
const TRIED_ELSEWHERE_AFTER: Micros = 20 * SECOND;

/// The failed tasks of one job in a partition.
#[derive(Clone, Debug, Default)]
pub struct JobFailures {
    machines: BTreeSet<String>,
    /// Times that the job was tried and failed; what was placed together fails in one round.
    rounds: u32,
    round_began: Micros,
    last: Micros,
    /// How long the longest failed attempt was seen to run.
    longest_run: Micros,
    /// An attempt has run for much longer than any that failed.
    outran_failures: bool,
}

impl JobFailures {
    /// An attempt that was placed at `placed` has failed after running for `ran`.
    pub fn note(&mut self, machine: &str, placed: Micros, ran: Micros, now: Micros) {
        self.note_round(placed, now);
        self.machines.insert(machine.to_owned());
        self.longest_run = self.longest_run.max(ran);
    }

    /// The same where the failure says nothing of the machine.
    pub fn note_round(&mut self, placed: Micros, now: Micros) {
        if self.rounds == 0 || placed > self.round_began {
            self.rounds += 1;
            self.round_began = now;
            self.outran_failures = false;
        }
        self.last = now;
    }

    /// Whether nothing has failed.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Whether a task failed on this machine.
    pub fn includes(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// The machines on which tasks failed.
    pub fn machines(&self) -> impl Iterator<Item = &String> {
        self.machines.iter()
    }

    /// Whether tasks failed on more machines than one.
    pub fn on_several(&self) -> bool {
        self.machines.len() > 1
    }

    /// When the last task failed.
    pub fn last(&self) -> Micros {
        self.last
    }

    /// How long the job waits before it is tried again.
    pub fn pause(&self) -> Micros {
        FIRST_PAUSE << self.rounds.saturating_sub(1).min(MOST_DOUBLINGS)
    }

    /// Whether the failures speak against the job, as long as no task of it was done.
    pub fn blame_job(&self) -> bool {
        self.machines.len() >= FAILS_EVERYWHERE_AFTER_MACHINES && !self.outran_failures
    }

    /// An attempt of the job has run for so long by now: if that is longer by `margin` than any that
    /// failed, it was the machines that failed.
    pub fn runs(&mut self, ran: Micros, margin: Micros) {
        self.outran_failures |= ran > self.longest_run + margin;
    }

    /// Earlier failures count no more.
    pub fn forget(&mut self) {
        *self = JobFailures::default();
    }
}

/// Where else a job that failed on a machine was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Elsewhere {
    NotTried,
    Failed,
    RunsWell,
}

/// The tasks that failed on one machine, since the last one that was done there.
#[derive(Clone, Debug, Default)]
pub struct MachineFailures {
    count: u32,
    first: Micros,
    jobs: BTreeMap<String, Elsewhere>,
}

impl MachineFailures {
    /// A task of a job has failed here.
    pub fn note(&mut self, job: &str, runs_well: bool, failed_elsewhere: bool, now: Micros) {
        if self.count == 0 {
            self.first = now;
        }
        self.count += 1;
        let elsewhere = match (runs_well, failed_elsewhere) {
            (true, _) => Elsewhere::RunsWell,
            (false, true) => Elsewhere::Failed,
            (false, false) => Elsewhere::NotTried,
        };
        self.jobs.insert(job.to_owned(), elsewhere);
    }

    /// A job that failed here has failed on another machine as well.
    pub fn failed_elsewhere(&mut self, job: &str) {
        if let Some(elsewhere) = self.jobs.get_mut(job)
            && *elsewhere == Elsewhere::NotTried
        {
            *elsewhere = Elsewhere::Failed;
        }
    }

    /// A job that failed here runs well on another machine.
    pub fn runs_elsewhere(&mut self, job: &str) {
        if let Some(elsewhere) = self.jobs.get_mut(job) {
            *elsewhere = Elsewhere::RunsWell;
        }
    }

    /// A task was done here.
    pub fn forget(&mut self) {
        *self = MachineFailures::default();
    }

    /// Whether anything failed here that may be the machine's fault.
    pub fn is_suspect(&self) -> bool {
        self.jobs.values().any(|elsewhere| *elsewhere != Elsewhere::Failed)
    }

    /// Whether it is the machine that fails.
    pub fn blame_machine(&self, now: Micros) -> bool {
        let verified = self.count >= SUSPECT_AFTER
            && self.jobs.values().any(|elsewhere| *elsewhere == Elsewhere::RunsWell);
        verified || (self.several_only_here() && self.had_time(now))
    }

    /// Whether it may be the machine or the jobs: nothing more is given to it until that has shown.
    pub fn in_doubt(&self, now: Micros) -> bool {
        self.several_only_here() && !self.had_time(now)
    }

    fn several_only_here(&self) -> bool {
        self.jobs.values().filter(|elsewhere| **elsewhere == Elsewhere::NotTried).count() > 1
    }

    fn had_time(&self, now: Micros) -> bool {
        now.saturating_sub(self.first) >= TRIED_ELSEWHERE_AFTER
    }
}

#[cfg(test)]
mod tests;
