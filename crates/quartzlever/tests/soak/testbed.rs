//! Controller processes with the systems around them, and a proxy on each link between them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_testkit::fleet::{Behaviour, Fleet};
use quartzlever_testkit::program::Node;
use quartzlever_testkit::proxy::{Link, LinkFault};
use quartzlever_testkit::repeats::RepeatSchedule;
use quartzlever_testkit::rules::{RuleChecker, TeamLimit};
use quartzlever_testkit::site::{Site, SiteSettings, Surroundings};
use quartzlever_testkit::users::Users;
use quartzlever_testkit::watchers::BackgroundChecks;
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;
use quartzlever_wire::store::{PARTITION_PREFIX, PartitionRecord};

use crate::schedule::{LinkKind, Target, Trouble};
use crate::{CANCEL_S, LEASE_S, LIMITED_TEAM, LIMITED_TEAM_CPUS, NODES};

const ZONES: [&str; 3] = ["a", "b", "a"];
/// Limits of the store, in the `[params.state]` section of the settings.
const LIMITS: &str = "value_kb = 16.0\ntxn_ops = 24";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
const OPERATOR: &str =
    "lease_life_s: 5\ntakeover_after_s: 1\nhandback_after_s: 2\nsilent_return_s: 4\n";
/// Number of latest changes that the store keeps while its history is lost.
const LOST_HISTORY_LIMIT: usize = 1;
/// How often a leader is killed in a series.
const KILLS_IN_SERIES: u32 = 3;
/// Time between two kills in a series, in which another controller may become the leader.
const SERIES_INTERVAL: Duration = Duration::from_millis(2_600);
/// Time from a kill in a series to the restart.
const SERIES_RESTART_DELAY: Duration = Duration::from_millis(300);
/// Of this many answered requests on a link, one arrives once more.
const ANSWERED_PER_COPY: usize = 8;
/// Of this many executed commands to workers, one arrives once more.
const EXECUTED_PER_COPY: usize = 2;
/// Time after the last trouble within which every question about a job must be answered.
pub const ANSWERED_WITHIN: Duration = Duration::from_secs(75);

/// The links of one controller.
struct NodeLinks {
    store: Link,
    cloud: Link,
    peers: Vec<Link>,
    heartbeats: Link,
    users: Link,
}

impl NodeLinks {
    fn of_kind(&self, kind: LinkKind) -> Vec<&Link> {
        match kind {
            LinkKind::Store => vec![&self.store],
            LinkKind::Peers => self.peers.iter().collect(),
            LinkKind::Cloud => vec![&self.cloud],
            LinkKind::Heartbeats => vec![&self.heartbeats],
            LinkKind::Users => vec![&self.users],
        }
    }
}

struct Controller {
    config: PathBuf,
    operator: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    links: NodeLinks,
    process: Mutex<Option<Node>>,
}

/// What a trouble concerns, as resolved when it began.
#[derive(Clone, Debug, Default)]
pub struct Affected {
    nodes: Vec<usize>,
    machines: Vec<String>,
}

/// The controllers, the fakes around them, and the links between them.
pub struct Testbed {
    pub fleet: Arc<Fleet>,
    pub users: Users,
    store: Arc<Mutex<Store>>,
    controllers: Vec<Controller>,
    checks: BackgroundChecks,
    pub directory: PathBuf,
}

impl Testbed {
    /// Starts the fakes, the links and the controllers, with at most `machines` machines, and waits
    /// until the controllers are ready. Some of the requests on every link, and of the commands to
    /// workers, arrive once more after they were answered; `seed` varies which.
    pub fn start(seed: u64, machines: usize) -> Testbed {
        let name = &seed.to_string();
        let begin = Instant::now();
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"));
        // An earlier run may have left its logs behind.
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("cannot create the directory of the run");
        let settings = SiteSettings {
            heartbeat_s: HEARTBEAT_INTERVAL.as_secs_f64(),
            lease_s: LEASE_S as f64,
            cancel_s: CANCEL_S as f64,
            limited_team: Some((LIMITED_TEAM.to_owned(), LIMITED_TEAM_CPUS)),
        };
        let site = Site::new(&format!("soak-{name}"), &directory, &NODES, &ZONES, LIMITS)
            .with_settings(settings);
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("cannot serve the store");
        let quota = TeamLimit { team: LIMITED_TEAM.to_owned(), cpus: LIMITED_TEAM_CPUS, gpus: 0.0 };
        let rules = RuleChecker::new(CANCEL_S * SECOND, vec![quota]);
        let known_controllers = Arc::new(Mutex::new(Vec::new()));
        let behaviour = Behaviour {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            slow_calls: Duration::ZERO,
            lease: LEASE_S * SECOND,
            run_time: 5 * SECOND,
        };
        let fleet = Fleet::new(rules, known_controllers.clone(), behaviour, begin);
        fleet.repeat_executed_commands(RepeatSchedule::new(EXECUTED_PER_COPY, seed as usize));
        let cloud = fleet
            .serve_cloud(Cloud::new(8.0, &["a", "b"], machines))
            .expect("cannot serve the cloud");
        let controllers: Vec<Controller> =
            (0..NODES.len()).map(|n| prepare_controller(&site, n, state, cloud, seed)).collect();
        let heartbeat_addresses =
            controllers.iter().map(|controller| controller.links.heartbeats.address());
        let named = NODES.iter().map(|name| (*name).to_owned()).zip(heartbeat_addresses);
        *known_controllers.lock().unwrap_or_else(PoisonError::into_inner) = named.collect();
        let mut checks = BackgroundChecks::new(fleet.clone());
        checks.record_done_jobs(store.clone());
        let users = Users::new(fleet.clone());
        let testbed = Testbed { fleet, users, store, controllers, checks, directory };
        (0..NODES.len()).for_each(|n| testbed.restart_node(n, Duration::ZERO));
        testbed.await_ready();
        testbed
    }

    /// Returns the addresses at which users reach the controllers.
    pub fn user_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|controller| controller.links.users.address()).collect()
    }

    /// Kills the process of a node, if it runs, and starts it again after a pause. Holds the lock all
    /// the time, since two troubles may restart the same node.
    fn restart_node(&self, n: usize, after: Duration) {
        let mut process = self.process(n);
        process.take();
        thread::sleep(after);
        let Controller { config, operator, log, address, .. } = &self.controllers[n];
        let program = Path::new(env!("CARGO_BIN_EXE_quartzlever"));
        let node = Node::spawn_logged(program, config, operator, log, *address);
        *process = Some(node.expect("the program did not start"));
    }

    fn process(&self, n: usize) -> MutexGuard<'_, Option<Node>> {
        self.controllers[n].process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until every controller is ready.
    ///
    /// # Panics
    ///
    /// Panics if one is not ready after [`ANSWERED_WITHIN`].
    fn await_ready(&self) {
        let begin = Instant::now();
        while !self.controllers.iter().all(|controller| Node::is_ready(controller.address)) {
            assert!(begin.elapsed() < ANSWERED_WITHIN, "the controllers are not ready");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns the node that leads a partition, by its index, according to the store.
    fn leader(&self, partition: usize) -> Option<usize> {
        let store = lock(&self.store);
        let (value, _) = store.get(&format!("{PARTITION_PREFIX}{}", NODES[partition]))?;
        let record = value.parse::<PartitionRecord>()?;
        NODES.iter().position(|name| *name == record.node)
    }

    /// Returns the highest revision at which a partition was acquired.
    pub fn latest_acquisition(&self) -> u64 {
        let store = lock(&self.store);
        let revision =
            |name: &&str| store.get(&format!("{PARTITION_PREFIX}{name}")).map_or(0, |(_, r)| r);
        NODES.iter().map(revision).max().unwrap_or(0)
    }

    fn resolve(&self, target: Target) -> Vec<usize> {
        match target {
            Target::Leader(partition) => vec![self.leader(partition).unwrap_or(partition)],
            Target::Node(n) => vec![n],
            Target::All => (0..NODES.len()).collect(),
        }
    }

    /// Begins a trouble. `choose` draws whether a worker is among those that it concerns.
    pub fn begin(&self, trouble: Trouble, mut choose: impl FnMut(u32) -> bool) -> Affected {
        let mut affected = Affected::default();
        match trouble {
            Trouble::Link { kind, target, fault } => {
                affected.nodes = self.resolve(target);
                self.set_link_fault(&affected.nodes, kind, Some(fault));
            }
            Trouble::StoreDown => lock(&self.store).outage = true,
            Trouble::StoreHistoryLost => lock(&self.store).log_limit = LOST_HISTORY_LIMIT,
            Trouble::Crash { target, restart_after } => {
                for n in self.resolve(target) {
                    self.restart_node(n, restart_after);
                }
            }
            Trouble::LeadersCrashInSeries { partition } => {
                for _ in 0..KILLS_IN_SERIES {
                    if let Some(leader) = self.leader(partition) {
                        self.restart_node(leader, SERIES_RESTART_DELAY);
                    }
                    thread::sleep(SERIES_INTERVAL);
                }
            }
            Trouble::Pause { target } => {
                affected.nodes = self.resolve(target);
                for n in &affected.nodes {
                    if let Some(node) = self.process(*n).as_ref() {
                        node.pause().expect("cannot stop the process");
                    }
                }
            }
            Trouble::Workers { percent, fault } => {
                affected.machines =
                    self.fleet.machines().into_iter().filter(|_| choose(percent)).collect();
                self.fleet.set_fault(&affected.machines, Some(fault));
            }
        }
        affected
    }

    /// Ends a trouble.
    pub fn end(&self, trouble: Trouble, affected: &Affected) {
        match trouble {
            Trouble::Link { kind, .. } => self.set_link_fault(&affected.nodes, kind, None),
            Trouble::StoreDown => {
                let now = self.fleet.rules(|_, now| now);
                lock(&self.store).end_outage(now);
            }
            Trouble::StoreHistoryLost => lock(&self.store).log_limit = 0,
            Trouble::Crash { .. } | Trouble::LeadersCrashInSeries { .. } => {}
            Trouble::Pause { .. } => {
                for n in &affected.nodes {
                    if let Some(node) = self.process(*n).as_ref() {
                        node.resume().expect("cannot continue the process");
                    }
                }
            }
            Trouble::Workers { .. } => self.fleet.set_fault(&affected.machines, None),
        }
    }

    fn set_link_fault(&self, nodes: &[usize], kind: LinkKind, fault: Option<LinkFault>) {
        for n in nodes {
            for link in self.controllers[*n].links.of_kind(kind) {
                link.set_fault(fault);
            }
        }
    }

    /// Returns how many connections and pieces of data on links of this kind were affected.
    pub fn affected_on(&self, kind: LinkKind) -> usize {
        let links = self.controllers.iter().flat_map(|controller| controller.links.of_kind(kind));
        links.map(Link::affected).sum()
    }

    /// Returns how many requests on links of this kind were sent once more.
    pub fn repeated_on(&self, kind: LinkKind) -> usize {
        let links = self.controllers.iter().flat_map(|controller| controller.links.of_kind(kind));
        links.map(Link::repeated).sum()
    }

    /// Returns the names of controllers whose process has ended by itself.
    pub fn ended_processes(&self) -> Vec<&'static str> {
        let has_ended = |n: &usize| self.process(*n).as_mut().is_some_and(Node::has_ended);
        (0..NODES.len()).filter(has_ended).map(|n| NODES[n]).collect()
    }

    /// Returns the lines of all logs that report an error or a panic.
    pub fn error_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (name, controller) in NODES.iter().zip(&self.controllers) {
            let log = std::fs::read_to_string(&controller.log).unwrap_or_default();
            let errors =
                log.lines().filter(|line| line.contains("ERROR") || line.contains("panicked"));
            lines.extend(errors.map(|line| format!("{name}: {line}")));
        }
        lines
    }

    /// Stops the background checks and the controllers, and returns the broken rules.
    ///
    /// # Panics
    ///
    /// Panics if a background thread has panicked.
    pub fn stop(self) -> Vec<String> {
        let broken = self.fleet.rules(|rules, _| rules.violations.clone());
        for controller in &self.controllers {
            controller.process.lock().unwrap_or_else(PoisonError::into_inner).take();
        }
        if broken.is_empty() {
            self.checks.finish("soak");
        }
        broken
    }
}

/// Opens the links of a controller and writes its settings.
fn prepare_controller(
    site: &Site,
    n: usize,
    state: SocketAddr,
    cloud: SocketAddr,
    seed: u64,
) -> Controller {
    let open = |target| {
        let repeats = RepeatSchedule::new(ANSWERED_PER_COPY, seed as usize + n);
        Link::open(target, Some(repeats)).expect("cannot open a proxy")
    };
    let address = site.addresses()[n].1;
    let (store, cloud) = (open(state), open(cloud));
    let mut peers = site.peer_addresses();
    peers.remove(n);
    let peers: Vec<(String, Link)> =
        peers.into_iter().map(|(name, address)| (name, open(address))).collect();
    let surroundings = Surroundings {
        state: store.address(),
        cloud: cloud.address(),
        peers: peers.iter().map(|(name, link)| (name.clone(), link.address())).collect(),
    };
    let config = site.write_settings_for(n, &surroundings).expect("cannot write the settings");
    let operator = site.write(&format!("{n}.yaml"), OPERATOR).expect("cannot write the settings");
    Controller {
        log: config.with_extension("log"),
        config,
        operator,
        address,
        links: NodeLinks {
            store,
            cloud,
            peers: peers.into_iter().map(|(_, link)| link).collect(),
            heartbeats: open(address),
            users: open(address),
        },
        process: Mutex::new(None),
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
