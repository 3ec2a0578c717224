//! What is remembered of the jobs that changed last, within a bound.
//!
//! [`TerminalJobs`] owns final states that were read or written, and [`LatestRevisions`] the latest modification
//! revision of each job's record. Neither makes effects, and nothing may rest on what is forgotten.

use std::collections::HashMap;

use quartzlever_wire::store::TerminalJobRecord;

/// At least so many of the jobs that changed last are remembered, and at most twice as many. Nothing rests
/// on an older one: a final state is read again, and a watch brings no record later than its 12 s of
/// patience, in which the store would have to take 1,600 changes a second to exceed this number.
const LEAST_REMEMBERED: usize = 20_000;

/// Something about each of the jobs that changed last, by their ids, in two generations: when the recent
/// one is full it becomes the older one, and what was older is forgotten.
#[derive(Debug)]
struct Remembered<T> {
    recent: HashMap<String, T>,
    older: HashMap<String, T>,
}

impl<T> Default for Remembered<T> {
    fn default() -> Self {
        Remembered { recent: HashMap::new(), older: HashMap::new() }
    }
}

impl<T> Remembered<T> {
    fn get(&self, id: &str) -> Option<&T> {
        self.recent.get(id).or_else(|| self.older.get(id))
    }

    fn put(&mut self, id: &str, value: T) {
        if let Some(known) = self.recent.get_mut(id) {
            *known = value;
            return;
        }
        if self.recent.len() >= LEAST_REMEMBERED {
            self.older = std::mem::take(&mut self.recent);
        }
        self.older.remove(id);
        self.recent.insert(id.to_owned(), value);
    }
}

/// Final states that were read or written; only these may be remembered.
#[derive(Debug, Default)]
pub(crate) struct TerminalJobs(Remembered<TerminalJobRecord>);

impl TerminalJobs {
    /// The final state of a job, if it is remembered.
    pub fn get(&self, id: &str) -> Option<&TerminalJobRecord> {
        self.0.get(id)
    }

    /// Remembers the final state of a job.
    pub fn put(&mut self, id: &str, over: TerminalJobRecord) {
        self.0.put(id, over);
    }
}

/// The latest modification revision of each job's record that was seen or written, so that an older record,
/// which a watch may bring late, is never taken for news: a partition that had given away its last
/// tasks of a job took them back from such a record, and started them a second time.
#[derive(Debug, Default)]
pub(crate) struct LatestRevisions(Remembered<u64>);

impl LatestRevisions {
    /// Notes a modification revision; `false` if a later one is known.
    pub fn saw(&mut self, id: &str, mod_revision: u64) -> bool {
        let is_late = self.0.get(id).is_some_and(|latest| *latest > mod_revision);
        if !is_late {
            self.0.put(id, mod_revision);
        }
        !is_late
    }
}

#[cfg(test)]
mod tests;
