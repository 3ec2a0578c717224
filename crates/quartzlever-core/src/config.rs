//! What a controller is told at its start.

use quartzlever_wire::{Micros, SECOND};

/// A team with its guarantee and its limit; 0 means none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    /// Whether the team has a limit, so that its jobs have to run in one partition.
    pub fn has_limits(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// An aim of the users on starting or finishing.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceLevelObjective {
    Deadline { class: String, share: f64, times: f64 },
    Wait { class: String, share: f64, within: Micros },
    Finished { class: String, share: f64, within: Micros },
}

impl ServiceLevelObjective {
    /// The class of jobs that the aim is on.
    pub fn class(&self) -> &str {
        match self {
            ServiceLevelObjective::Deadline { class, .. }
            | ServiceLevelObjective::Wait { class, .. }
            | ServiceLevelObjective::Finished { class, .. } => class,
        }
    }
}

/// The times that workers keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerTimes {
    pub heartbeat_interval: Micros,
    pub lease: Micros,
    /// Within this time of a confirmed cancellation all tasks of the job must be gone.
    pub cancel: Micros,
}

/// The operator's own settings, each with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// How many random peers an idle controller asks.
    pub peers_asked: usize,
    /// Share of the victim's ready tasks that is stolen.
    pub steal_fraction: f64,
    /// First wait after a failed steal.
    pub steal_start: Micros,
    /// Longest wait after failed steals.
    pub steal_cap: Micros,
    /// Life of the lease that a controller's partitions hang on.
    pub lease_life: Micros,
    /// How long a partition must be absent before a peer takes it over.
    pub takeover_after: Micros,
    /// How long a home node must have stayed up before its partition is handed back.
    pub handback_after: Micros,
    /// How long a cheap machine may be idle before it is returned, in boot times of its type.
    pub idle_boots: f64,
    /// How much a partition's machines may cost together, in the lowest prices of their types, before
    /// dear ones are no longer rented.
    pub price_cap: f64,
    /// How long a machine may be silent before it is returned.
    pub silent_return: Micros,
    /// Shortest time between two writes of one job's progress.
    pub progress_write: Micros,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            peers_asked: 2,
            steal_fraction: 0.5,
            steal_start: SECOND,
            steal_cap: 16 * SECOND,
            lease_life: 15 * SECOND,
            takeover_after: 2 * SECOND,
            handback_after: 5 * SECOND,
            idle_boots: 1.0,
            price_cap: 1.25,
            silent_return: 10 * SECOND,
            progress_write: SECOND,
        }
    }
}

/// Everything a controller knows from its settings.
#[derive(Clone, Debug)]
pub struct Config {
    pub node: String,
    pub zone: String,
    /// All controller names, its own among them; each names a partition.
    pub nodes: Vec<String>,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub workers: WorkerTimes,
    /// What all controllers together may ask of the store and change in it, a second.
    pub store_rps: f64,
    pub store_write_rps: f64,
    /// The lower of a value's present and coming limit; and the present one, to which blocks of
    /// machines keep while a controller may be of the first version.
    pub value_bytes: usize,
    pub group_bytes: usize,
    pub txn_ops: usize,
    /// The version that this process tells the others; 1 tells nothing, as the first version did.
    pub version: u32,
    /// How many machines a controller's processor serves without falling behind.
    pub machine_capacity: usize,
    pub operator: Operator,
    /// Notes of less weight than this are not even written.
    pub log_level: crate::messages::LogLevel,
}

/// How fast the steady clocks of two machines may drift apart, in parts of 10,000
/// (the protocol's 0.05%), doubled to be on the safe side.
const DRIFT_PER_10K: Micros = 10;

/// A span after which any other machine's clock has surely counted `span`.
pub fn upper_drift_bound(span: Micros) -> Micros {
    span + span * DRIFT_PER_10K / 10_000
}

/// A span within which no other machine's clock has counted `span`.
pub fn lower_drift_bound(span: Micros) -> Micros {
    span - span * DRIFT_PER_10K / 10_000
}

/// Kept back of `cancel` for answers on their way out and for the steps of clocks.
const CANCEL_MARGIN: Micros = 3 * SECOND;
/// The shortest bound on the age of a view that a controller can keep to.
const SHORTEST_VIEW: Micros = 4 * SECOND;
/// The longest that a watch stays open without news.
const LONGEST_WATCH: Micros = 5 * SECOND;

/// What a node without a partition may use of an equal share.
const IDLE_NODE_SHARE: f64 = 0.5;

impl Config {
    /// The team of this name; `None` if the settings do not know it.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Whether a team of this name has a limit.
    pub fn is_team_limited(&self, team: &str) -> bool {
        self.team(team).is_some_and(Team::has_limits)
    }

    /// The partition that runs all jobs of a limited team, chosen by the team's name.
    pub fn partition_of_team(&self, team: &str) -> &str {
        let mut names: Vec<&String> = self.nodes.iter().collect();
        names.sort();
        // FNV-1a: the same on every node and in every version.
        let hash = team.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        names[(hash % names.len() as u64) as usize]
    }

    /// The part of a limit for all nodes that falls to one node, when so many hold partitions and it
    /// does so itself or not. Nodes without a partition ask for little and leave the rest to those
    /// who have the work: with a third of the requests, a node that was left with everything
    /// turned away 60 submissions in 10 s while two thirds lay idle.
    pub fn rate_limit_share(&self, leaders: usize, holds_lease: bool) -> f64 {
        let nodes = self.nodes.len().max(1);
        let leaders = leaders.min(nodes);
        if leaders == 0 {
            return 1.0 / nodes as f64;
        }
        let idle = IDLE_NODE_SHARE / nodes as f64;
        if holds_lease { (1.0 - idle * (nodes - leaders) as f64) / leaders as f64 } else { idle }
    }

    /// How old the view of the jobs may be while workers get orders or have their leases renewed.
    /// A cancellation that is not in the view was confirmed after the view was read; with the
    /// renewal at the latest moment the tasks end with their lease, still within `cancel`:
    /// view + lease + drift + margin = cancel. `None` if no view can be as fresh as that.
    fn achievable_view_age(&self) -> Option<Micros> {
        let kept = upper_drift_bound(self.workers.lease) + CANCEL_MARGIN;
        let room = lower_drift_bound(self.workers.cancel.checked_sub(kept)?);
        (room >= SHORTEST_VIEW).then_some(room)
    }

    /// Whether leases alone end the tasks of a cancelled job in time, whatever is cut off.
    pub fn leases_meet_cancel(&self) -> bool {
        self.achievable_view_age().is_some()
    }

    /// The bound on the age of the view.
    pub fn max_view_age(&self) -> Micros {
        self.achievable_view_age().unwrap_or(SHORTEST_VIEW)
    }

    /// How long a watch stays open, so that its answers keep the view fresh by themselves.
    pub fn watch_hold(&self) -> Micros {
        LONGEST_WATCH.min(self.max_view_age() / 3)
    }

    /// How long after the end of a job its tasks may be not proven gone before their machine is
    /// returned: that takes a few seconds, and more while the cloud refuses.
    pub fn attempt_exit_timeout(&self) -> Micros {
        self.workers.cancel / 2
    }

    /// So long after the last one a heartbeat is late: they come up to a quarter later than they should.
    pub fn late_heartbeat_after(&self) -> Micros {
        self.workers.heartbeat_interval * 13 / 10
    }

    /// How long a silent machine needs to lose its lease for certain.
    pub fn worker_lease_expired_after(&self) -> Micros {
        upper_drift_bound(self.workers.lease) + SECOND
    }
}

#[cfg(test)]
mod tests;
