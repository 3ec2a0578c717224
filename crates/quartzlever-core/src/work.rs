//! The amount of work that a step of the core does.
//!
//! Nothing else is handled while a step runs, so its work must stay small whatever jobs were
//! accepted. A [`WorkCounter`] counts that work by [`Activity`], in units that do not depend on the
//! machine: one unit is one visit of a task, an attempt, a machine, a record or a range of tasks.
//! Other threads may read the counts while a step runs, so that a step that takes too long can be
//! explained before it ends.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// What a step is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Anything without an activity of its own.
    Other,
    /// Applying statuses of workers and creating the commands for them.
    Heartbeats,
    /// Handling submissions, lookups and cancellations.
    UserRequests,
    /// Applying records of the store, from the watch, a listing or replies.
    Records,
    /// Loading the records of an acquired partition.
    Takeover,
    /// Placing ready tasks on machines.
    Placement,
    /// Searching for work to preempt.
    Preemption,
    /// Writing the records of jobs.
    JobWrites,
    /// Launching and terminating machines.
    Autoscaling,
    /// Selecting tasks to move to another partition.
    Stealing,
}

impl Activity {
    /// All activities, in the order of their declaration.
    const ALL: [Activity; 10] = [
        Activity::Other,
        Activity::Heartbeats,
        Activity::UserRequests,
        Activity::Records,
        Activity::Takeover,
        Activity::Placement,
        Activity::Preemption,
        Activity::JobWrites,
        Activity::Autoscaling,
        Activity::Stealing,
    ];

    /// Returns the name of the activity in the log.
    fn name(self) -> &'static str {
        match self {
            Activity::Other => "other",
            Activity::Heartbeats => "heartbeats",
            Activity::UserRequests => "user_requests",
            Activity::Records => "records",
            Activity::Takeover => "takeover",
            Activity::Placement => "placement",
            Activity::Preemption => "preemption",
            Activity::JobWrites => "job_writes",
            Activity::Autoscaling => "autoscaling",
            Activity::Stealing => "stealing",
        }
    }
}

/// The counts of the present or the last step.
#[derive(Debug, Default)]
struct Counts {
    /// The present activity, as an index into [`Activity::ALL`].
    current: AtomicU8,
    /// Units of work by activity.
    units: [AtomicU64; Activity::ALL.len()],
}

/// Counts the work of each step. All clones count together.
#[derive(Clone, Default)]
pub struct WorkCounter(Arc<Counts>);

/// Formats the name only: no decision depends on the counts, so they are not part of any state.
impl fmt::Debug for WorkCounter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("WorkCounter")
    }
}

impl WorkCounter {
    /// Sets all counts to zero.
    pub(crate) fn begin_step(&self) {
        self.0.current.store(Activity::Other as u8, Ordering::Relaxed);
        for units in &self.0.units {
            units.store(0, Ordering::Relaxed);
        }
    }

    /// Begins an activity, which ends with the returned guard.
    pub(crate) fn begin(&self, activity: Activity) -> ActivityGuard {
        let previous = self.0.current.swap(activity as u8, Ordering::Relaxed);
        ActivityGuard { counter: self.clone(), previous }
    }

    /// Adds units of work to the present activity.
    pub(crate) fn add(&self, units: usize) {
        let current = self.0.current.load(Ordering::Relaxed);
        let Some(count) = self.0.units.get(usize::from(current)) else { return };
        // Only the thread of the core writes, so no addition is lost.
        count.store(count.load(Ordering::Relaxed) + units as u64, Ordering::Relaxed);
    }

    /// Returns the units of work that the present or the last step has done in an activity.
    pub fn units(&self, activity: Activity) -> u64 {
        self.0.units[activity as usize].load(Ordering::Relaxed)
    }

    /// Returns what the present or the last step has done so far.
    pub fn summary(&self) -> WorkSummary {
        let current = usize::from(self.0.current.load(Ordering::Relaxed));
        let current = Activity::ALL.get(current).copied().unwrap_or(Activity::Other);
        let units = Activity::ALL.map(|activity| (activity, self.units(activity)));
        WorkSummary { current, units: units.into_iter().filter(|(_, units)| *units > 0).collect() }
    }
}

/// An activity in progress. The activity that it interrupted goes on when the guard is dropped.
#[must_use]
pub(crate) struct ActivityGuard {
    counter: WorkCounter,
    previous: u8,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.counter.0.current.store(self.previous, Ordering::Relaxed);
    }
}

/// The work of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkSummary {
    /// The activity in progress; [`Activity::Other`] after the step.
    pub current: Activity,
    /// Units of work of each activity that has any.
    pub units: Vec<(Activity, u64)>,
}

impl Display for Activity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Formats the units only, such as `heartbeats:12,placement:300`; `-` if there are none.
impl Display for WorkSummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.units.is_empty() {
            return f.write_str("-");
        }
        for (i, (activity, units)) in self.units.iter().enumerate() {
            let separator = if i > 0 { "," } else { "" };
            write!(f, "{separator}{activity}:{units}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
