//! The resources that the tasks of each team use in a partition.

use std::collections::BTreeMap;

use crate::machines::resources::Resources;
use crate::partition::Partition;

/// The use of resources by team. All attempts that may be on a machine count as using them.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUsage {
    by_team: BTreeMap<String, Resources>,
    /// Whether an attempt belongs to a job that is not known, which could be of any team.
    has_unknown: bool,
}

impl TeamUsage {
    /// Sums the use of a partition's attempts, in one pass over them.
    pub fn of(partition: &Partition) -> Self {
        let mut usage = TeamUsage::default();
        let mut attempts = 0;
        for attempt in partition.active_attempts() {
            attempts += 1;
            if attempt.team.is_empty() {
                usage.has_unknown = true;
            } else {
                usage.add(&attempt.team, &attempt.required_resources, 1);
            }
        }
        partition.work.add(attempts);
        usage
    }

    /// Adds the use of `tasks` tasks that start.
    pub fn add(&mut self, team: &str, need: &Resources, tasks: u32) {
        if let Some(used) = self.by_team.get_mut(team) {
            used.add_tasks(need, tasks);
        } else {
            let mut used = Resources::default();
            used.add_tasks(need, tasks);
            self.by_team.insert(team.to_owned(), used);
        }
    }

    /// Returns the use of a team's tasks, or `None` if it is uncertain.
    pub fn of_team(&self, team: &str) -> Option<Resources> {
        (!self.has_unknown).then(|| self.by_team.get(team).copied().unwrap_or_default())
    }
}
