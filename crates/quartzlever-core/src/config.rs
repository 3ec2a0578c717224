//! The settings of a controller, given when it starts.

use quartzlever_wire::{Micros, SECOND};

/// A team with its guaranteed resources and its limits; 0 means no guarantee or no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    pub name: String,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Maximum number of processors.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum number of GPUs.
    pub gpus_max: f64,
}

impl Team {
    /// Reports whether the team has a limit, so that all its jobs must run in one partition.
    pub fn has_limits(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// A service level objective for the start or the end of a class of jobs. `share` is the share of
/// the jobs that must meet it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceLevelObjective {
    /// A job finishes within `times` the time from its submission to its deadline.
    Deadline { class: String, share: f64, times: f64 },
    /// A job starts at most `within` after its submission.
    Wait { class: String, share: f64, within: Micros },
    /// A job finishes at most `within` after its submission.
    Finished { class: String, share: f64, within: Micros },
}

impl ServiceLevelObjective {
    /// Returns the class of jobs that the objective applies to.
    pub fn class(&self) -> &str {
        match self {
            ServiceLevelObjective::Deadline { class, .. }
            | ServiceLevelObjective::Wait { class, .. }
            | ServiceLevelObjective::Finished { class, .. } => class,
        }
    }
}

/// Intervals and time limits of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerTimes {
    pub heartbeat_interval: Micros,
    /// Lifetime of a worker's lease: without a renewal, its tasks end when the lease expires.
    pub lease: Micros,
    /// Maximum time from a confirmed cancellation until all tasks of the job have ended.
    pub cancel: Micros,
}

/// Optional settings of the operator; each has a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Number of random peers that an idle controller asks for work.
    pub peers_asked: usize,
    /// Maximum share of the victim's movable ready tasks that a steal moves.
    pub steal_fraction: f64,
    /// Delay after the first failed steal.
    pub steal_start: Micros,
    /// Maximum delay after repeated failed steals.
    pub steal_cap: Micros,
    /// Lifetime of a controller's lease in the store, to which the keys of its partitions are
    /// attached.
    pub lease_lifetime: Micros,
    /// How long a partition's key must be absent before a peer takes the partition over.
    pub takeover_after: Micros,
    /// How long a home node must have been up again before its partition is handed back.
    pub handback_after: Micros,
    /// How long a machine at the lowest price of its type may be idle before it is terminated, as a
    /// multiple of the type's boot time. A more expensive machine is kept for proportionally less.
    pub max_idle_boot_times: f64,
    /// Maximum total price of a partition's machines, as a multiple of the sum of the lowest prices
    /// of their types. Beyond it, only machines near the lowest price of their type are launched.
    pub price_cap: f64,
    /// How long a machine may send no heartbeat before it is terminated.
    pub silent_machine_timeout: Micros,
    /// Minimum time between two writes of one job's progress.
    pub progress_write: Micros,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            peers_asked: 2,
            steal_fraction: 0.5,
            steal_start: SECOND,
            steal_cap: 16 * SECOND,
            lease_lifetime: 15 * SECOND,
            takeover_after: 2 * SECOND,
            handback_after: 5 * SECOND,
            max_idle_boot_times: 1.0,
            price_cap: 1.25,
            silent_machine_timeout: 10 * SECOND,
            progress_write: SECOND,
        }
    }
}

/// All settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    pub node: String,
    pub zone: String,
    /// Names of all controllers, including this one; each is also the name of a partition.
    pub nodes: Vec<String>,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<ServiceLevelObjective>,
    pub workers: WorkerTimes,
    /// Requests per second that all controllers together may send to the store.
    pub store_rps: f64,
    /// Changes per second that all controllers together may make in the store.
    pub store_write_rps: f64,
    /// Maximum size of a value in the store, in bytes: the lower of the present limit and the
    /// coming one.
    pub value_bytes: usize,
    /// Maximum size of a group of machines while a controller may be of version 1, in bytes: the
    /// store's present limit for a value.
    pub present_value_bytes: usize,
    /// Maximum number of changes in a transaction: the lower of the present limit and the coming
    /// one.
    pub txn_ops: usize,
    /// The version that this process announces to the other controllers. Version 1 had no
    /// announcements, so with 1 nothing is announced.
    pub version: u32,
    /// Number of machines that the processor of one controller serves without falling behind.
    pub machine_capacity: usize,
    pub operator: Operator,
    /// Less important events than this are not created.
    pub log_level: crate::messages::LogLevel,
}

/// Bound on the drift between the monotonic clocks of two machines, in parts per 10,000: the
/// protocol's 0.05%, doubled as a safety margin.
const DRIFT_PER_10K: Micros = 10;

/// Returns a time on this machine's clock after which the clock of every other machine has advanced
/// by at least `span`.
pub fn upper_drift_bound(span: Micros) -> Micros {
    span + span * DRIFT_PER_10K / 10_000
}

/// Returns a time on this machine's clock within which no other machine's clock advances by as much
/// as `span`.
pub fn lower_drift_bound(span: Micros) -> Micros {
    span - span * DRIFT_PER_10K / 10_000
}

/// Part of [`WorkerTimes::cancel`] reserved for answers in flight and for the granularity of
/// timers, which fire a few milliseconds late.
const CANCEL_MARGIN: Micros = 3 * SECOND;
/// The lowest bound on the age of the view that a controller can keep.
const MIN_VIEW_AGE_BOUND: Micros = 4 * SECOND;
/// Maximum time that a watch stays open without an event.
const MAX_WATCH_HOLD: Micros = 5 * SECOND;

/// Part of an equal share of a rate limit that a node without a partition may use.
const IDLE_NODE_SHARE: f64 = 0.5;

impl Config {
    /// Returns the team with this name, or `None` if the settings have no such team.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Reports whether the team with this name has a limit.
    pub fn is_team_limited(&self, team: &str) -> bool {
        self.team(team).is_some_and(Team::has_limits)
    }

    /// Returns the partition that runs all jobs of a limited team, chosen by a hash of the team's
    /// name.
    pub fn partition_of_team(&self, team: &str) -> &str {
        let mut names: Vec<&String> = self.nodes.iter().collect();
        names.sort();
        // FNV-1a gives the same result on every node and in every version.
        let hash = team.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        names[(hash % names.len() as u64) as usize]
    }

    /// Returns the share of a common rate limit that one node may use. `leaders` is the number of
    /// nodes that lead partitions, and `is_leader` tells whether the node is one of them.
    ///
    /// A node without a partition sends few requests and leaves most of its share to the leaders.
    /// With equal shares among three nodes, a single remaining leader rejected 60 submissions
    /// within 10 s while two thirds of the limit were unused.
    pub fn rate_limit_share(&self, leaders: usize, is_leader: bool) -> f64 {
        let nodes = self.nodes.len().max(1);
        let leaders = leaders.min(nodes);
        if leaders == 0 {
            return 1.0 / nodes as f64;
        }
        let idle = IDLE_NODE_SHARE / nodes as f64;
        if is_leader { (1.0 - idle * (nodes - leaders) as f64) / leaders as f64 } else { idle }
    }

    /// Returns the maximum age of the view of the jobs at which workers may still receive commands
    /// or have their leases renewed; `None` if no view can be that fresh.
    ///
    /// A cancellation that the view does not show was confirmed after the view was read. Even if a
    /// worker's lease is renewed at the last moment, the job's tasks end with the lease and still
    /// within `cancel`: view age + lease + drift + margin = cancel.
    fn achievable_view_age(&self) -> Option<Micros> {
        let reserved = upper_drift_bound(self.workers.lease) + CANCEL_MARGIN;
        let max_age = lower_drift_bound(self.workers.cancel.checked_sub(reserved)?);
        (max_age >= MIN_VIEW_AGE_BOUND).then_some(max_age)
    }

    /// Reports whether lease expiry alone ends the tasks of a cancelled job in time, whichever
    /// parts of the network are unreachable.
    pub fn leases_meet_cancel(&self) -> bool {
        self.achievable_view_age().is_some()
    }

    /// Returns the maximum age of the view at which this process may act on it.
    pub fn max_view_age(&self) -> Micros {
        self.achievable_view_age().unwrap_or(MIN_VIEW_AGE_BOUND)
    }

    /// Returns how long a watch stays open: short enough that its answers alone keep the view
    /// fresh.
    pub fn watch_hold(&self) -> Micros {
        MAX_WATCH_HOLD.min(self.max_view_age() / 3)
    }

    /// Returns how long an unwanted attempt may stay unconfirmed as ended before its machine is
    /// terminated: counted from the end of its job, or from its placement if it was never reported.
    /// The rest of `cancel` is left for the termination, which takes a few seconds, and longer
    /// while the cloud refuses it.
    pub fn attempt_exit_timeout(&self) -> Micros {
        self.workers.cancel / 2
    }

    /// Returns the time after the last heartbeat from which the next one counts as late. Heartbeats
    /// normally arrive up to a quarter of the interval late.
    pub fn late_heartbeat_after(&self) -> Micros {
        self.workers.heartbeat_interval * 13 / 10
    }

    /// Returns the time after its last heartbeat at which a silent machine has certainly lost its
    /// lease.
    pub fn worker_lease_expired_after(&self) -> Micros {
        upper_drift_bound(self.workers.lease) + SECOND
    }
}

#[cfg(test)]
mod tests;
