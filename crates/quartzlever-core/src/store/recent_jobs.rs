//! Bounded memory of the jobs that changed most recently.
//!
//! [`TerminalJobs`] owns final states that were read or written, and [`LatestRevisions`] the latest
//! modification revision of each job's record. Neither has effects, and correctness must not depend
//! on entries that have been evicted.

use std::collections::HashMap;

use quartzlever_wire::store::TerminalJobRecord;

/// Lower bound on the number of most recently changed jobs that are remembered; the upper bound is
/// twice as high. Older jobs are not needed: a final state can be read again, and a watch delivers
/// no record after its timeout of 12 s, in which the store would have to accept 1,600 changes a
/// second to exceed this number.
const MIN_REMEMBERED_JOBS: usize = 20_000;

/// A value for each of the most recently changed jobs, by job id, in two generations: when the
/// recent one is full, it replaces the older one, whose entries are evicted.
#[derive(Debug)]
struct RecentJobs<T> {
    recent: HashMap<String, T>,
    older: HashMap<String, T>,
}

impl<T> Default for RecentJobs<T> {
    fn default() -> Self {
        RecentJobs { recent: HashMap::new(), older: HashMap::new() }
    }
}

impl<T> RecentJobs<T> {
    fn get(&self, id: &str) -> Option<&T> {
        self.recent.get(id).or_else(|| self.older.get(id))
    }

    fn insert(&mut self, id: &str, value: T) {
        if let Some(known) = self.recent.get_mut(id) {
            *known = value;
            return;
        }
        if self.recent.len() >= MIN_REMEMBERED_JOBS {
            self.older = std::mem::take(&mut self.recent);
        }
        self.older.remove(id);
        self.recent.insert(id.to_owned(), value);
    }
}

/// Final states of jobs. Only states that were read from or written to the store may be inserted.
#[derive(Debug, Default)]
pub(crate) struct TerminalJobs(RecentJobs<TerminalJobRecord>);

impl TerminalJobs {
    /// Returns the final state of a job, if it is remembered.
    pub fn get(&self, id: &str) -> Option<&TerminalJobRecord> {
        self.0.get(id)
    }

    /// Inserts the final state of a job.
    pub fn insert(&mut self, id: &str, record: TerminalJobRecord) {
        self.0.insert(id, record);
    }
}

/// The latest modification revision of each job's record that was received or written. It prevents
/// an older record, which a watch may deliver late, from being applied: a partition that had handed
/// over its last tasks of a job took them back from such a record and started them a second time.
#[derive(Debug, Default)]
pub(crate) struct LatestRevisions(RecentJobs<u64>);

impl LatestRevisions {
    /// Records a modification revision of a job; returns `false` if a later one is known.
    pub fn record(&mut self, id: &str, mod_revision: u64) -> bool {
        let is_outdated = self.0.get(id).is_some_and(|latest| *latest > mod_revision);
        if !is_outdated {
            self.0.insert(id, mod_revision);
        }
        !is_outdated
    }
}

#[cfg(test)]
mod tests;
