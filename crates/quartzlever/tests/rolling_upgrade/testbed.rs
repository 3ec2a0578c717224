//! Three controllers of either version with fakes for store, cloud and workers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use quartzlever_testkit::fleet::{Behaviour, Fleet};
use quartzlever_testkit::jobs::{array, service};
use quartzlever_testkit::program::Node;
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_testkit::site::Site;
use quartzlever_testkit::users::{Users, until};
use quartzlever_testkit::watchers::Watchers;
use quartzlever_testkit::{Cloud, Store, http, production};
use quartzlever_wire::SECOND;
use quartzlever_wire::store::{
    CLUSTER_VERSION_KEY, PARTITION_PREFIX, PartitionRecord, TERMINAL_JOB_PREFIX,
};
use quartzlever_wire::users::JobSpec;

/// Controllers, and so partitions, by name.
pub const PARTITIONS: [&str; 3] = ["one", "two", "three"];
const ZONES: [&str; 3] = ["a", "b", "a"];
const MACHINES: usize = 9;
/// Limits to come, which the upgrade has to keep to.
const LIMITS: &str = "value_kb = 16.0\ntxn_ops = 24\n[params.state.next]\nvalue_kb = 1.0";
const SERVICE: u32 = 900;
const REPLICAS: u32 = 3;

const OPERATOR: &str = "
lease_life_s: 6
takeover_after_s: 1
handback_after_s: 2
silent_return_s: 5
";

/// A version of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The commit that `deploy/service.toml` names.
    Production,
    Present,
}

impl Version {
    fn program(self) -> PathBuf {
        static PRODUCTION: OnceLock<PathBuf> = OnceLock::new();
        match self {
            Version::Present => env!("CARGO_BIN_EXE_quartzlever").into(),
            Version::Production => PRODUCTION.get_or_init(build_production).clone(),
        }
    }
}

fn build_production() -> PathBuf {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    production::build(&repository, Path::new(env!("CARGO_TARGET_TMPDIR")))
        .unwrap_or_else(|error| panic!("{error}"))
}

struct Controller {
    address: SocketAddr,
    config: PathBuf,
    process: Option<Node>,
    version: Version,
    /// The revision of the store when the process was started.
    started_at: u64,
}

/// What surrounds the controllers, and the threads that watch it.
pub struct Testbed {
    name: &'static str,
    store: Arc<Mutex<Store>>,
    fleet: Arc<Fleet>,
    users: Users,
    controllers: Vec<Controller>,
    operator: PathBuf,
    /// A process of the version in production may be up, and the upgrade is not done.
    upgrading: Arc<AtomicBool>,
    watchers: Watchers,
    arrays: Vec<String>,
    next_job: u32,
    service_runs: bool,
}

impl Testbed {
    /// Starts store, cloud, workers and the controllers, and waits until these are ready.
    pub fn start(name: &'static str, versions: [Version; 3]) -> Testbed {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("store");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let site = Site::new(&format!("upgrade-{name}"), directory, &PARTITIONS, &ZONES, LIMITS);
        let addresses = site.addresses();
        let behaviour = Behaviour {
            heartbeat_interval: Duration::from_millis(500),
            // A new leader reaches some machines long before others.
            slow_calls: Duration::from_millis(800),
            lease: 10 * SECOND,
            run_time: 4 * SECOND,
        };
        let rules = RuleChecker::new(20 * SECOND, Vec::new());
        let fleet = Fleet::new(rules, Arc::new(Mutex::new(addresses.clone())), behaviour, begin);
        let cloud = fleet.serve_cloud(Cloud::new(8.0, &["a", "b"], MACHINES)).expect("cloud");
        let controllers = addresses.into_iter().zip(versions).enumerate();
        let controllers = controllers.map(|(n, ((_, address), version))| Controller {
            address,
            config: site.write_settings(n, state, cloud).expect("a settings file"),
            process: None,
            version,
            started_at: 0,
        });
        let mut bed = Testbed {
            name,
            store,
            users: Users::new(fleet.clone()),
            watchers: Watchers::new(fleet.clone()),
            fleet,
            controllers: controllers.collect(),
            operator: site.write("operator.yaml", OPERATOR).expect("an operator's file"),
            upgrading: Arc::new(AtomicBool::new(true)),
            arrays: Vec::new(),
            next_job: 0,
            service_runs: false,
        };
        bed.watch();
        for (n, version) in versions.into_iter().enumerate() {
            bed.start_nodes(&[n], version);
        }
        bed
    }

    /// Lets time pass for the workers, checks the forms in the store, and polls all jobs.
    fn watch(&mut self) {
        let (store, upgrading) = (self.store.clone(), self.upgrading.clone());
        self.watchers.look(move |fleet| {
            let (unknown, done) = look_at_store(&store, upgrading.load(Ordering::Relaxed));
            fleet.rules(|rules, now| {
                done.iter().for_each(|job| rules.job_done(now, job));
                rules.broken.extend(unknown.map(|key| format!("new_form: {key}")));
            });
        });
        let addresses = self.controllers.iter().map(|c| c.address).collect();
        self.watchers.poll_jobs(self.users.clone(), addresses);
    }

    /// Starts processes at nodes that have none and waits until they are ready.
    pub fn start_nodes(&mut self, nodes: &[usize], version: Version) {
        let revision = self.in_store(Store::revision);
        for n in nodes {
            let controller = &mut self.controllers[*n];
            controller.version = version;
            controller.started_at = revision;
        }
        if self.controllers.iter().all(|c| c.version == Version::Present) {
            // The last old process is gone: from now on the cluster version may be raised.
            self.upgrading.store(false, Ordering::Relaxed);
        }
        for n in nodes {
            let controller = &mut self.controllers[*n];
            let program = version.program();
            let process = Node::start_with(&program, &controller.config, Some(&self.operator));
            controller.process = Some(process.expect("the program starts"));
        }
        for n in nodes {
            let address = self.controllers[*n].address;
            let what = format!("{}: node {n} is ready", self.name);
            until(&what, || Node::is_ready(address), |ready| *ready);
        }
    }

    /// Ends processes at once.
    pub fn kill(&mut self, nodes: &[usize]) {
        for n in nodes {
            self.controllers[*n].process = None;
        }
    }

    /// Ends processes and starts others in their place.
    pub fn restart(&mut self, nodes: &[usize], version: Version) {
        self.kill(nodes);
        self.start_nodes(nodes, version);
    }

    fn in_store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(&self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The node whose present process holds a partition.
    fn leader(&self, partition: usize) -> Option<usize> {
        let key = format!("{PARTITION_PREFIX}{}", PARTITIONS[partition]);
        let (record, revision) =
            self.in_store(|store| store.get(&key).map(|(value, at)| (value.clone(), at)))?;
        let record = record.parse::<PartitionRecord>()?;
        let node = PARTITIONS.iter().position(|name| *name == record.node)?;
        let controller = &self.controllers[node];
        (controller.process.is_some() && revision > controller.started_at).then_some(node)
    }

    /// Waits until a partition is held by one of these nodes, and gives which.
    pub fn expect_taken_over(&self, partition: usize, nodes: &[usize]) -> usize {
        let what = format!("{}: partition {partition} at one of {nodes:?}", self.name);
        let wanted = |leader: &Option<usize>| leader.is_some_and(|node| nodes.contains(&node));
        until(&what, || self.leader(partition), wanted).unwrap_or_default()
    }

    pub fn expect_leader(&self, partition: usize, node: usize) {
        self.expect_taken_over(partition, &[node]);
    }

    fn running_nodes(&self) -> Vec<usize> {
        let running = |n: &usize| self.controllers[*n].process.is_some();
        (0..self.controllers.len()).filter(running).collect()
    }

    fn new_job(&mut self) -> u32 {
        self.next_job += 1;
        self.next_job
    }

    /// An array is accepted by each of these nodes; it has to be done in the end.
    pub fn submit_arrays(&mut self, nodes: &[usize]) {
        for node in nodes {
            let spec = array(self.new_job(), 30);
            self.submit(*node, &spec);
            self.arrays.push(spec.id);
        }
    }

    fn submit(&self, node: usize, spec: &JobSpec) {
        let address = self.controllers[node].address;
        let what = format!("{}: {} accepted by node {node}", self.name, spec.id);
        until(&what, || self.users.submit(address, spec), |told| matches!(told.status, 200 | 201));
    }

    /// Jobs and cancellations that one node has accepted are asked for at all others.
    pub fn exchange_jobs(&mut self) {
        let nodes = self.running_nodes();
        for (turn, node) in nodes.iter().enumerate() {
            let kept = array(self.new_job(), 12);
            let cancelled = array(self.new_job(), 60);
            self.submit(*node, &kept);
            self.submit(*node, &cancelled);
            self.arrays.push(kept.id.clone());
            let other = nodes[(turn + 1) % nodes.len()];
            let address = self.controllers[other].address;
            let told = until(
                &format!("{}: {} cancelled by node {other}", self.name, cancelled.id),
                || self.users.cancel(address, &cancelled.id),
                |told| told.status == 200,
            );
            for asked in &nodes {
                let address = self.controllers[*asked].address;
                let what = format!("{}: node {asked} knows {}", self.name, kept.id);
                until(&what, || self.users.look_up(address, &kept.id), |told| told.status == 200);
                let what = format!("{}: node {asked} knows {}", self.name, cancelled.id);
                let again =
                    until(&what, || self.users.submit(address, &cancelled), |t| t.status == 200);
                assert_eq!(again.phase, told.phase, "{what}");
            }
        }
    }

    /// No node takes a service while one of the nodes might be unable to read it.
    pub fn expect_services_refused(&mut self) {
        for node in self.running_nodes() {
            let early = service(self.new_job(), 2);
            let address = self.controllers[node].address;
            let told = self.users.submit(address, &early);
            // Malformed to the version in production; to this one, something for later.
            let status = match self.controllers[node].version {
                Version::Production => 400,
                Version::Present => 503,
            };
            assert_eq!(told.status, status, "{}: {told:?} by node {node}", self.name);
            let what = format!("{}: node {node} does not know {}", self.name, early.id);
            until(&what, || self.users.look_up(address, &early.id), |told| told.status == 404);
        }
        assert!(!self.raised(), "{}: raised while an old process is up", self.name);
    }

    fn raised(&self) -> bool {
        self.in_store(|store| store.get(CLUSTER_VERSION_KEY).is_some())
    }

    pub fn expect_raised(&self) {
        until(
            &format!("{}: cluster version raised", self.name),
            || self.raised(),
            |raised| *raised,
        );
    }

    /// A service is accepted, and all its replicas run.
    pub fn start_service(&mut self) {
        let spec = service(SERVICE, REPLICAS);
        self.fleet.never_ends(&spec);
        self.submit(0, &spec);
        self.service_runs = true;
        self.expect_replicas(REPLICAS as usize);
    }

    fn expect_replicas(&self, replicas: usize) {
        let id = service(SERVICE, REPLICAS).id;
        let what = format!("{}: {replicas} replicas", self.name);
        until(&what, || self.fleet.running(&id), |running| *running == replicas);
    }

    /// All nodes run the present version: the cluster version is raised, a service runs and can be
    /// cancelled, every array is done, and no rule was broken.
    pub fn finish(mut self) {
        self.expect_raised();
        if self.service_runs {
            self.expect_replicas(REPLICAS as usize);
        } else {
            self.start_service();
        }
        self.exchange_jobs();
        let first = self.controllers[0].address;
        for id in &self.arrays {
            let what = format!("{}: {id} done", self.name);
            until(&what, || self.users.look_up(first, id), |told| told.phase == "done");
        }
        let id = service(SERVICE, REPLICAS).id;
        let what = format!("{}: the service is cancelled", self.name);
        until(&what, || self.users.cancel(first, &id), |told| told.phase == "aborted");
        self.expect_replicas(0);
        self.watchers.finish(self.name);
    }
}

/// A key in a form that the version in production does not know, as long as that matters, and the
/// jobs that are done.
fn look_at_store(store: &Mutex<Store>, upgrading: bool) -> (Option<String>, Vec<String>) {
    let store = store.lock().unwrap_or_else(PoisonError::into_inner);
    let unknown = upgrading.then(|| store.key_unknown_to_first_version()).flatten();
    let done = store.keys(TERMINAL_JOB_PREFIX).into_iter().filter(|key| store.is_done_job(key));
    let jobs = done.map(|key| key[TERMINAL_JOB_PREFIX.len()..].to_owned()).collect();
    (unknown.map(str::to_owned), jobs)
}
