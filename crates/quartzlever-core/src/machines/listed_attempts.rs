//! The attempts that a heartbeat lists, for lookups by attempt.

use quartzlever_wire::workers::{AttemptStatus, Heartbeat, TaskId};

use crate::machines::attempt::AttemptKey;

/// The attempts that a heartbeat lists, in the order of their keys. A machine may have more than a
/// thousand attempts, so that a search of the list for each of them would take a million steps.
#[derive(Debug)]
pub(super) struct ListedAttempts<'a> {
    statuses: Vec<&'a AttemptStatus>,
}

impl<'a> ListedAttempts<'a> {
    /// Sorts the attempts of a heartbeat.
    pub fn of(heartbeat: &'a Heartbeat) -> Self {
        let mut statuses: Vec<&AttemptStatus> = heartbeat.tasks.iter().collect();
        statuses.sort_by_key(|status| sort_key(&status.task, status.attempt));
        ListedAttempts { statuses }
    }

    /// Returns the status of an attempt, or `None` if the heartbeat does not list it.
    pub fn get(&self, key: &AttemptKey) -> Option<&'a AttemptStatus> {
        let wanted = sort_key(&key.task, key.attempt);
        let found = self
            .statuses
            .binary_search_by_key(&wanted, |status| sort_key(&status.task, status.attempt));
        found.ok().and_then(|index| self.statuses.get(index).copied())
    }

    /// Reports whether the heartbeat lists an attempt.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.get(key).is_some()
    }

    /// Iterates over the statuses in the order of the attempts' keys.
    pub fn iter(&self) -> impl Iterator<Item = &'a AttemptStatus> {
        self.statuses.iter().copied()
    }
}

/// Returns the key by which attempts are sorted, as [`AttemptKey`]s are.
fn sort_key(task: &TaskId, attempt: u64) -> (&TaskId, u64) {
    (task, attempt)
}
