//! Three controller processes, each of either version, and fakes of the store, the cloud and the
//! workers.

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
use quartzlever_testkit::users::{Users, retry_until};
use quartzlever_testkit::watchers::BackgroundChecks;
use quartzlever_testkit::{Cloud, Store, http, production};
use quartzlever_wire::SECOND;
use quartzlever_wire::store::{CLUSTER_VERSION_KEY, PARTITION_PREFIX, PartitionRecord};
use quartzlever_wire::users::JobSpec;

/// Names of the controllers, which are also the names of the partitions.
pub const PARTITIONS: [&str; 3] = ["one", "two", "three"];
const ZONES: [&str; 3] = ["a", "b", "a"];
const MACHINES: usize = 9;
/// Limits of the store, in the `[params.state]` section of the settings. The section `next`
/// announces a smaller value size, which records have to respect throughout the upgrade.
const LIMITS: &str = "value_kb = 16.0\ntxn_ops = 24\n[params.state.next]\nvalue_kb = 1.0";
/// Number of the service.
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
    /// The program under test.
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
    /// `None` while the controller is not running.
    process: Option<Node>,
    /// Version of the current or last process; before the first start, the version to start.
    version: Version,
    /// Revision of the store when the process was started.
    started_at: u64,
}

/// The controllers, the fakes around them, and the background threads that check the rules.
pub struct Testbed {
    name: &'static str,
    store: Arc<Mutex<Store>>,
    fleet: Arc<Fleet>,
    users: Users,
    controllers: Vec<Controller>,
    operator: PathBuf,
    /// Set until all controllers run the present version for the first time. Until then, the store
    /// may hold only forms that the version in production knows.
    upgrading: Arc<AtomicBool>,
    watchers: BackgroundChecks,
    /// Ids of the accepted batch jobs that must complete.
    batch_jobs: Vec<String>,
    /// Number of the job that was created last; job numbers start at 1.
    last_job: u32,
    service_runs: bool,
}

impl Testbed {
    /// Starts the fakes and the controllers, and waits until the controllers are ready.
    ///
    /// `name` distinguishes the files and addresses of parallel tests.
    pub fn start(name: &'static str, versions: [Version; 3]) -> Testbed {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("cannot serve the store");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let site = Site::new(&format!("upgrade-{name}"), directory, &PARTITIONS, &ZONES, LIMITS);
        let addresses = site.addresses();
        let behaviour = Behaviour {
            heartbeat_interval: Duration::from_millis(500),
            // A new leader reaches some machines much later than others.
            slow_calls: Duration::from_millis(800),
            lease: 10 * SECOND,
            run_time: 4 * SECOND,
        };
        let rules = RuleChecker::new(20 * SECOND, Vec::new());
        let fleet = Fleet::new(rules, Arc::new(Mutex::new(addresses.clone())), behaviour, begin);
        let cloud = fleet
            .serve_cloud(Cloud::new(8.0, &["a", "b"], MACHINES))
            .expect("cannot serve the cloud");
        let controllers = addresses.into_iter().zip(versions).enumerate();
        let controllers = controllers.map(|(n, ((_, address), version))| Controller {
            address,
            config: site.write_settings(n, state, cloud).expect("cannot write the settings file"),
            process: None,
            version,
            started_at: 0,
        });
        let mut bed = Testbed {
            name,
            store,
            users: Users::new(fleet.clone()),
            watchers: BackgroundChecks::new(fleet.clone()),
            fleet,
            controllers: controllers.collect(),
            operator: site
                .write("operator.yaml", OPERATOR)
                .expect("cannot write the operator file"),
            upgrading: Arc::new(AtomicBool::new(true)),
            batch_jobs: Vec::new(),
            last_job: 0,
            service_runs: false,
        };
        bed.start_checks();
        for (n, version) in versions.into_iter().enumerate() {
            bed.start_nodes(&[n], version);
        }
        bed
    }

    /// Starts the threads that advance the workers, check the keys and values in the store, and
    /// look up all accepted jobs.
    fn start_checks(&mut self) {
        let (store, upgrading) = (self.store.clone(), self.upgrading.clone());
        self.watchers.check_repeatedly(move |fleet| {
            let (unknown, done) = read_store(&store, upgrading.load(Ordering::Relaxed));
            fleet.rules(|rules, now| {
                done.iter().for_each(|job| rules.record_job_done(now, job));
                rules.violations.extend(unknown.map(|key| format!("new_form: {key}")));
            });
        });
        let addresses = self.controllers.iter().map(|c| c.address).collect();
        self.watchers.poll_jobs(self.users.clone(), addresses);
    }

    /// Starts processes at nodes where none is running, and waits until they are ready.
    pub fn start_nodes(&mut self, nodes: &[usize], version: Version) {
        let revision = self.with_store(Store::revision);
        for n in nodes {
            let controller = &mut self.controllers[*n];
            controller.version = version;
            controller.started_at = revision;
        }
        if self.controllers.iter().all(|c| c.version == Version::Present) {
            // No old process is left: from now on, the cluster version may be raised.
            self.upgrading.store(false, Ordering::Relaxed);
        }
        for n in nodes {
            let controller = &mut self.controllers[*n];
            let program = version.program();
            let process = Node::start_with(&program, &controller.config, Some(&self.operator));
            controller.process = Some(process.expect("the program did not start"));
        }
        for n in nodes {
            let address = self.controllers[*n].address;
            let what = format!("{}: node {n} is ready", self.name);
            retry_until(&what, || Node::is_ready(address), |ready| *ready);
        }
    }

    /// Kills the processes of these nodes.
    pub fn kill(&mut self, nodes: &[usize]) {
        for n in nodes {
            self.controllers[*n].process = None;
        }
    }

    /// Kills the processes of these nodes, starts new ones, and waits until they are ready.
    pub fn restart(&mut self, nodes: &[usize], version: Version) {
        self.kill(nodes);
        self.start_nodes(nodes, version);
    }

    /// Calls `read` with the store locked.
    fn with_store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(&self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the node that leads a partition, according to the store. Returns `None` if the node
    /// is not running or took the partition before its process was started.
    fn leader(&self, partition: usize) -> Option<usize> {
        let key = format!("{PARTITION_PREFIX}{}", PARTITIONS[partition]);
        let (record, revision) =
            self.with_store(|store| store.get(&key).map(|(value, at)| (value.clone(), at)))?;
        let record = record.parse::<PartitionRecord>()?;
        let node = PARTITIONS.iter().position(|name| *name == record.node)?;
        let controller = &self.controllers[node];
        (controller.process.is_some() && revision > controller.started_at).then_some(node)
    }

    /// Waits until one of these nodes leads a partition, and returns that node.
    pub fn expect_taken_over(&self, partition: usize, nodes: &[usize]) -> usize {
        let what = format!("{}: partition {partition} at one of {nodes:?}", self.name);
        let wanted = |leader: &Option<usize>| leader.is_some_and(|node| nodes.contains(&node));
        retry_until(&what, || self.leader(partition), wanted).unwrap_or_default()
    }

    /// Waits until this node leads a partition.
    pub fn expect_leader(&self, partition: usize, node: usize) {
        self.expect_taken_over(partition, &[node]);
    }

    fn running_nodes(&self) -> Vec<usize> {
        let running = |n: &usize| self.controllers[*n].process.is_some();
        (0..self.controllers.len()).filter(running).collect()
    }

    /// Returns the number of a new job.
    fn next_job_number(&mut self) -> u32 {
        self.last_job += 1;
        self.last_job
    }

    /// Submits a batch job to each of these nodes until it is accepted. The jobs must be done by
    /// the end of the test.
    pub fn submit_batch_jobs(&mut self, nodes: &[usize]) {
        for node in nodes {
            let spec = array(self.next_job_number(), 30);
            self.submit(*node, &spec);
            self.batch_jobs.push(spec.id);
        }
    }

    /// Submits a job to a node until it is accepted.
    fn submit(&self, node: usize, spec: &JobSpec) {
        let address = self.controllers[node].address;
        let what = format!("{}: {} accepted by node {node}", self.name, spec.id);
        retry_until(
            &what,
            || self.users.submit(address, spec),
            |reply| matches!(reply.status, 200 | 201),
        );
    }

    /// Submits two batch jobs to each running node and cancels one of them at the next node. Checks
    /// that every running node knows both jobs and reports the same phase for the cancelled one.
    pub fn check_jobs_known_everywhere(&mut self) {
        let nodes = self.running_nodes();
        for (turn, node) in nodes.iter().enumerate() {
            let kept = array(self.next_job_number(), 12);
            let cancelled = array(self.next_job_number(), 60);
            self.submit(*node, &kept);
            self.submit(*node, &cancelled);
            self.batch_jobs.push(kept.id.clone());
            let next_node = nodes[(turn + 1) % nodes.len()];
            let address = self.controllers[next_node].address;
            let reply = retry_until(
                &format!("{}: {} cancelled by node {next_node}", self.name, cancelled.id),
                || self.users.cancel(address, &cancelled.id),
                |reply| reply.status == 200,
            );
            for queried_node in &nodes {
                let address = self.controllers[*queried_node].address;
                let what = format!("{}: node {queried_node} knows {}", self.name, kept.id);
                retry_until(
                    &what,
                    || self.users.look_up(address, &kept.id),
                    |reply| reply.status == 200,
                );
                let what = format!("{}: node {queried_node} knows {}", self.name, cancelled.id);
                let repeated = retry_until(
                    &what,
                    || self.users.submit(address, &cancelled),
                    |t| t.status == 200,
                );
                assert_eq!(repeated.phase, reply.phase, "{what}");
            }
        }
    }

    /// Checks that no running node accepts a service, and that the cluster version is not raised,
    /// while a process of the version in production, which cannot read services, may be running.
    pub fn expect_services_refused(&mut self) {
        for node in self.running_nodes() {
            let refused_service = service(self.next_job_number(), 2);
            let address = self.controllers[node].address;
            let reply = self.users.submit(address, &refused_service);
            // The version in production rejects a service as malformed; the present version answers
            // that it cannot accept one yet.
            let status = match self.controllers[node].version {
                Version::Production => 400,
                Version::Present => 503,
            };
            assert_eq!(reply.status, status, "{}: {reply:?} by node {node}", self.name);
            let what = format!("{}: node {node} does not know {}", self.name, refused_service.id);
            retry_until(
                &what,
                || self.users.look_up(address, &refused_service.id),
                |reply| reply.status == 404,
            );
        }
        assert!(
            !self.is_version_raised(),
            "{}: cluster version raised while an old process may be running",
            self.name
        );
    }

    fn is_version_raised(&self) -> bool {
        self.with_store(|store| store.get(CLUSTER_VERSION_KEY).is_some())
    }

    /// Waits until the cluster version is raised.
    pub fn expect_version_raised(&self) {
        retry_until(
            &format!("{}: cluster version raised", self.name),
            || self.is_version_raised(),
            |raised| *raised,
        );
    }

    /// Submits the service to the first node and waits until all its replicas run.
    pub fn start_service(&mut self) {
        let spec = service(SERVICE, REPLICAS);
        self.fleet.run_tasks_until_stopped(&spec);
        self.submit(0, &spec);
        self.service_runs = true;
        self.expect_replicas(REPLICAS as usize);
    }

    /// Waits until exactly `replicas` replicas of the service run.
    fn expect_replicas(&self, replicas: usize) {
        let id = service(SERVICE, REPLICAS).id;
        let what = format!("{}: {replicas} replicas", self.name);
        retry_until(&what, || self.fleet.running(&id), |running| *running == replicas);
    }

    /// Checks the end of a test, with all nodes at the present version: the cluster version is
    /// raised, a service runs and can be cancelled, every batch job is done, and no rule was
    /// broken.
    ///
    /// # Panics
    ///
    /// Panics if one of these does not hold.
    pub fn finish(mut self) {
        self.expect_version_raised();
        if self.service_runs {
            self.expect_replicas(REPLICAS as usize);
        } else {
            self.start_service();
        }
        self.check_jobs_known_everywhere();
        let first = self.controllers[0].address;
        for id in &self.batch_jobs {
            let what = format!("{}: {id} done", self.name);
            retry_until(&what, || self.users.look_up(first, id), |reply| reply.phase == "done");
        }
        let id = service(SERVICE, REPLICAS).id;
        let what = format!("{}: the service is cancelled", self.name);
        retry_until(&what, || self.users.cancel(first, &id), |reply| reply.phase == "aborted");
        self.expect_replicas(0);
        self.watchers.finish(self.name);
    }
}

/// Returns, while `upgrading`, the first key that the version in production does not know or whose
/// value is in a form that it does not know, and the ids of all done jobs.
fn read_store(store: &Mutex<Store>, upgrading: bool) -> (Option<String>, Vec<String>) {
    let store = store.lock().unwrap_or_else(PoisonError::into_inner);
    let unknown = upgrading.then(|| store.key_unknown_to_first_version()).flatten();
    (unknown.map(str::to_owned), store.done_jobs())
}
