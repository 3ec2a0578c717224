//! The schedule of troubles of one run, drawn from its seed.

use std::fmt;
use std::time::Duration;

use quartzlever_testkit::fleet::WorkerFault;
use quartzlever_testkit::proxy::LinkFault;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::NODES;

/// Number of troubles that may overlap.
const LANES: usize = 3;
const MIN_LASTING_S: f64 = 3.0;
const MAX_LASTING_S: f64 = 11.0;
/// Longest pause between two troubles of a lane.
const MAX_PAUSE_S: f64 = 1.5;
/// Delay of calls that are executed late, on both sides of the time within which the tasks of a
/// cancelled job must end.
const LATE_CALLS_S: (f64, f64) = (15.0, 21.0);
/// How long calls to workers are executed late in the opening of a schedule.
const OPENING_LATE_CALLS_S: f64 = 9.0;
/// How long the cloud refuses calls in the opening of a schedule, so that no machine is terminated
/// before the last late call arrives.
const OPENING_CLOUD_OUTAGE_S: f64 = 31.0;
/// Delay of late calls in the opening: beyond the time within which the tasks of a cancelled job
/// must end.
const OPENING_LATE_CALLS_DELAY_S: (f64, f64) = (18.6, 21.0);

/// A link of a controller on which a fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkKind {
    Store,
    Peers,
    Cloud,
    /// Heartbeats of the workers.
    Heartbeats,
    Users,
}

impl LinkKind {
    pub const ALL: [LinkKind; 5] =
        [LinkKind::Store, LinkKind::Peers, LinkKind::Cloud, LinkKind::Heartbeats, LinkKind::Users];
}

/// Which controllers a trouble concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader of a partition when the trouble begins, by the partition's index.
    Leader(usize),
    Node(usize),
    All,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Link {
        kind: LinkKind,
        target: Target,
        fault: LinkFault,
    },
    /// The store refuses every call, and its leases do not expire.
    StoreDown,
    /// The store forgets its latest changes, so that watches have to start from a listing.
    StoreHistoryLost,
    /// The process is killed and starts again after a fraction of a second.
    Crash {
        target: Target,
        restart_after: Duration,
    },
    /// The leader of a partition is killed again and again, as leaders succeed one another.
    LeadersCrashInSeries {
        partition: usize,
    },
    /// The process is stopped, and continues when the trouble ends.
    Pause {
        target: Target,
    },
    Workers {
        percent: u32,
        fault: WorkerFault,
    },
}

/// A trouble with the time of its beginning and of its end, from the start of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledTrouble {
    pub begins: Duration,
    pub ends: Duration,
    pub trouble: Trouble,
}

/// The troubles of a run, in the order in which they begin.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub troubles: Vec<ScheduledTrouble>,
}

impl Schedule {
    /// Draws troubles for at least `length`, two or three of which overlap at most times. Every
    /// schedule has late calls to workers, an outage of the cloud, leaders that change in series,
    /// an outage of the store, a leader that the store alone refuses, hung workers and a paused
    /// controller. With an odd seed it opens with calls that are executed later than a cancelled
    /// task may run, while the cloud terminates no machine and the leaders stay.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut required = required_troubles(&mut rng);
        required.shuffle(&mut rng);
        let mut troubles = Vec::new();
        let opening = if seed.is_multiple_of(2) { Vec::new() } else { draw_opening(&mut rng) };
        for lane in 0..LANES {
            let mut at = rng.random_range(0.0..MAX_PAUSE_S);
            if let Some((trouble, lasting)) = opening.get(lane).copied() {
                troubles.push(ScheduledTrouble {
                    begins: Duration::ZERO,
                    ends: Duration::from_secs_f64(lasting),
                    trouble,
                });
                at += OPENING_CLOUD_OUTAGE_S;
            }
            while at < length.as_secs_f64() {
                let (trouble, lasting) = match required.pop() {
                    Some(trouble) => trouble,
                    None => {
                        (draw_trouble(&mut rng), rng.random_range(MIN_LASTING_S..MAX_LASTING_S))
                    }
                };
                troubles.push(ScheduledTrouble {
                    begins: Duration::from_secs_f64(at),
                    ends: Duration::from_secs_f64(at + lasting),
                    trouble,
                });
                // The last lane leaves gaps, so that at times only two troubles overlap.
                let pause = if lane + 1 == LANES { MIN_LASTING_S } else { 0.0 };
                at += lasting + pause + rng.random_range(0.2..MAX_PAUSE_S);
            }
        }
        troubles.sort_by_key(|scheduled| scheduled.begins);
        Schedule { troubles }
    }
}

impl Schedule {
    /// Returns when the last late call may be executed, from the start of the schedule.
    pub fn last_late_call(&self) -> Duration {
        let executed_by = |scheduled: &ScheduledTrouble| match scheduled.trouble {
            Trouble::Workers { fault: WorkerFault::CallsLate(delay), .. } => scheduled.ends + delay,
            _ => scheduled.ends,
        };
        self.troubles.iter().map(executed_by).max().unwrap_or_default()
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ScheduledTrouble { begins, ends, trouble } in &self.troubles {
            writeln!(
                f,
                "  {:5.1} s to {:5.1} s: {trouble:?}",
                begins.as_secs_f64(),
                ends.as_secs_f64()
            )?;
        }
        Ok(())
    }
}

/// Draws the troubles of the opening, each with its duration in seconds: late calls, an outage of
/// the cloud, and a trouble that changes no leader.
fn draw_opening(rng: &mut StdRng) -> Vec<(Trouble, f64)> {
    let (shortest, longest) = OPENING_LATE_CALLS_DELAY_S;
    let late = Duration::from_secs_f64(rng.random_range(shortest..longest));
    let kind = if rng.random() { LinkKind::Users } else { LinkKind::Peers };
    let node = Target::Node(rng.random_range(0..NODES.len()));
    vec![
        (
            Trouble::Workers { percent: 100, fault: WorkerFault::CallsLate(late) },
            OPENING_LATE_CALLS_S,
        ),
        (
            Trouble::Link { kind: LinkKind::Cloud, target: Target::All, fault: LinkFault::Refused },
            OPENING_CLOUD_OUTAGE_S,
        ),
        (
            Trouble::Link { kind, target: node, fault: draw_link_fault(rng) },
            rng.random_range(MIN_LASTING_S..OPENING_CLOUD_OUTAGE_S),
        ),
    ]
}

/// Returns the troubles that every schedule has, each with its duration in seconds.
fn required_troubles(rng: &mut StdRng) -> Vec<(Trouble, f64)> {
    let late = Duration::from_secs_f64(rng.random_range(LATE_CALLS_S.0..LATE_CALLS_S.1));
    let partition = rng.random_range(0..NODES.len());
    let leader = Target::Leader(rng.random_range(0..NODES.len()));
    vec![
        (
            Trouble::Link { kind: LinkKind::Cloud, target: Target::All, fault: LinkFault::Refused },
            MAX_LASTING_S,
        ),
        (Trouble::Workers { percent: 100, fault: WorkerFault::CallsLate(late) }, MAX_LASTING_S),
        (Trouble::LeadersCrashInSeries { partition }, MAX_LASTING_S),
        (Trouble::StoreDown, rng.random_range(MIN_LASTING_S..MAX_LASTING_S)),
        (
            Trouble::Link { kind: LinkKind::Store, target: leader, fault: LinkFault::Refused },
            rng.random_range(MIN_LASTING_S..MAX_LASTING_S),
        ),
        (Trouble::Workers { percent: 40, fault: WorkerFault::Hung }, MIN_LASTING_S * 2.0),
        (Trouble::Pause { target: leader }, rng.random_range(MIN_LASTING_S..MAX_LASTING_S)),
    ]
}

fn draw_target(rng: &mut StdRng) -> Target {
    let node = rng.random_range(0..NODES.len());
    match rng.random_range(0..10) {
        0..6 => Target::Leader(node),
        6..9 => Target::Node(node),
        _ => Target::All,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..6) {
        0 => LinkFault::Refused,
        1 => LinkFault::RequestsLost,
        2 => LinkFault::AnswersLost,
        3 => LinkFault::AllLost,
        4 => LinkFault::Delayed(Duration::from_millis(rng.random_range(100..900))),
        _ => LinkFault::Held,
    }
}

fn draw_trouble(rng: &mut StdRng) -> Trouble {
    let target = draw_target(rng);
    match rng.random_range(0..14) {
        0..6 => Trouble::Link {
            kind: LinkKind::ALL[rng.random_range(0..LinkKind::ALL.len())],
            target,
            fault: draw_link_fault(rng),
        },
        6 => Trouble::StoreDown,
        7 => Trouble::StoreHistoryLost,
        8 => Trouble::Crash {
            target,
            restart_after: Duration::from_millis(rng.random_range(50..900)),
        },
        9 => Trouble::LeadersCrashInSeries { partition: rng.random_range(0..NODES.len()) },
        10 => Trouble::Pause { target },
        _ => Trouble::Workers {
            percent: rng.random_range(20..80),
            fault: match rng.random_range(0..4) {
                0 => WorkerFault::Hung,
                1 => WorkerFault::Deaf,
                2 => WorkerFault::Mute,
                _ => WorkerFault::CallsLate(Duration::from_secs_f64(
                    rng.random_range(MIN_LASTING_S..LATE_CALLS_S.1),
                )),
            },
        },
    }
}
