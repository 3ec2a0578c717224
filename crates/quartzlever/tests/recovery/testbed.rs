//! Three controller processes that write snapshots and logs, and fakes of the store, the cloud and
//! the workers. Tests make the store lose data.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use quartzlever_testkit::fleet::{Behaviour, Fleet};
use quartzlever_testkit::jobs::array;
use quartzlever_testkit::program::Node;
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_testkit::site::Site;
use quartzlever_testkit::users::{Users, retry_until};
use quartzlever_testkit::watchers::BackgroundChecks;
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;

const NODES: [&str; 3] = ["one", "two", "three"];
const ZONES: [&str; 3] = ["a", "b", "a"];
const MACHINES: usize = 8;
/// Limits of the store, in the `[params.state]` section of the settings.
const LIMITS: &str = "value_kb = 16.0\ntxn_ops = 24";

struct Controller {
    address: SocketAddr,
    config: PathBuf,
    operator: PathBuf,
    /// Directory of its snapshots and logs.
    directory: PathBuf,
    /// `None` while the controller is not running.
    process: Option<Node>,
}

/// The controllers, the fakes around them, and the background threads that check the rules.
pub struct Testbed {
    name: String,
    store: Arc<Mutex<Store>>,
    pub fleet: Arc<Fleet>,
    users: Users,
    controllers: Vec<Controller>,
    watchers: BackgroundChecks,
    /// Ids of the accepted jobs that must complete.
    expected_done: Vec<String>,
    /// Ids of the jobs whose cancellation was confirmed.
    cancelled: Vec<String>,
    /// Number of the job that was submitted last; job numbers start at 1.
    last_job: u32,
}

/// Creates an empty directory, in place of any previous one.
fn create_empty_directory(path: &Path) {
    // A previous run that was interrupted leaves the directory behind.
    let _ = std::fs::remove_dir_all(path);
    std::fs::create_dir_all(path).expect("cannot create the directory");
}

impl Testbed {
    /// Starts the fakes and the controllers, and waits until the controllers are ready.
    ///
    /// `name` distinguishes the files and addresses of parallel tests. `audit_s` is the interval in
    /// seconds at which a controller compares all records with its cache.
    pub fn start(name: &str, audit_s: f64) -> Testbed {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("cannot serve the store");
        let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let site = Site::new(&format!("recovery-{name}"), scratch, &NODES, &ZONES, LIMITS);
        let behaviour = Behaviour {
            heartbeat_interval: Duration::from_millis(300),
            slow_calls: Duration::from_millis(300),
            lease: 10 * SECOND,
            run_time: 2 * SECOND,
        };
        let rules = RuleChecker::new(20 * SECOND, Vec::new());
        let fleet = Fleet::new(rules, Arc::new(Mutex::new(site.addresses())), behaviour, begin);
        let cloud = fleet
            .serve_cloud(Cloud::new(8.0, &["a", "b"], MACHINES))
            .expect("cannot serve the cloud");
        let controller = |(n, (node, address)): (usize, (String, SocketAddr))| {
            let directory = scratch.join(format!("recovery-{name}-{node}"));
            create_empty_directory(&directory);
            // The acknowledgement and gather times leave a margin for a host that is busy with
            // other tests.
            let operator = format!(
                "lease_life_s: 6\ntakeover_after_s: 1\nhandback_after_s: 2\nsilent_return_s: 5\n\
                 recovery:\n  directory: {}\n  acknowledge_s: 10\n  gather_s: 3\n  check_s: 0.3\n  audit_s: {audit_s}\n\
                 \x20 snapshot_s: 4\n",
                directory.display()
            );
            Controller {
                address,
                config: site
                    .write_settings(n, state, cloud)
                    .expect("cannot write the settings file"),
                operator: site
                    .write(&format!("{n}.yaml"), &operator)
                    .expect("cannot write the operator file"),
                directory,
                process: None,
            }
        };
        let mut bed = Testbed {
            name: name.to_owned(),
            store,
            users: Users::new(fleet.clone()),
            watchers: BackgroundChecks::new(fleet.clone()),
            fleet,
            controllers: site.addresses().into_iter().enumerate().map(controller).collect(),
            expected_done: Vec::new(),
            cancelled: Vec::new(),
            last_job: 0,
        };
        bed.start_checks();
        bed.start_nodes(&[0, 1, 2]);
        bed.await_ready();
        bed
    }

    /// Starts the threads that pass the done jobs in the store to the rule checker and look up all
    /// accepted jobs.
    fn start_checks(&mut self) {
        self.watchers.record_done_jobs(self.store.clone());
        let addresses = self.controllers.iter().map(|c| c.address).collect();
        self.watchers.poll_jobs(self.users.clone(), addresses);
    }

    /// Starts the processes of these nodes without waiting until they are ready.
    pub fn start_nodes(&mut self, nodes: &[usize]) {
        for n in nodes {
            let controller = &mut self.controllers[*n];
            let program = Path::new(env!("CARGO_BIN_EXE_quartzlever"));
            let process = Node::start_with(program, &controller.config, Some(&controller.operator));
            controller.process = Some(process.expect("the program did not start"));
        }
    }

    /// Kills the processes of these nodes.
    pub fn kill(&mut self, nodes: &[usize]) {
        for n in nodes {
            self.controllers[*n].process = None;
        }
    }

    /// Repeats `attempt` until `wanted` accepts its outcome, and returns the outcome.
    ///
    /// # Panics
    ///
    /// Panics after two minutes, and at once when a rule is broken.
    fn wait_until<T: std::fmt::Debug>(
        &self,
        what: &str,
        mut attempt: impl FnMut() -> T,
        wanted: impl Fn(&T) -> bool,
    ) -> T {
        let what = format!("{}: {what}", self.name);
        let check_rules = || {
            let broken = self.fleet.rules(|rules, _| rules.violations.clone());
            assert!(broken.is_empty(), "{what}: {broken:#?}");
        };
        let attempt = || {
            let outcome = attempt();
            check_rules();
            outcome
        };
        retry_until(&what, attempt, wanted)
    }

    /// Waits until every running controller is ready.
    pub fn await_ready(&self) {
        for controller in self.controllers.iter().filter(|c| c.process.is_some()) {
            let url = format!("http://{}/ready", controller.address);
            self.wait_until(&url, || Node::is_ready(controller.address), |ready| *ready);
        }
    }

    /// Locks the store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the directory of a controller's snapshots and logs.
    pub fn directory(&self, node: usize) -> &Path {
        &self.controllers[node].directory
    }

    /// Returns the paths of a controller's settings file and operator file.
    pub fn files(&self, node: usize) -> [&Path; 2] {
        let controller = &self.controllers[node];
        [&controller.config, &controller.operator]
    }

    /// Submits a batch job until some controller accepts it, and returns its id. The job must be
    /// done by the end of the test.
    pub fn submit(&mut self, tasks: u32) -> String {
        self.last_job += 1;
        let spec = array(self.last_job, tasks);
        let mut turn = self.last_job as usize;
        let what = format!("{} accepted", spec.id);
        let submit = || {
            turn += 1;
            self.users.submit(self.controllers[turn % NODES.len()].address, &spec)
        };
        self.wait_until(&what, submit, |reply| matches!(reply.status, 200 | 201));
        self.expected_done.push(spec.id.clone());
        spec.id
    }

    /// Submits a batch job and cancels it until a controller confirms; returns the id of the job.
    pub fn submit_and_cancel(&mut self) -> String {
        let job = self.submit(40);
        let address = self.controllers[self.last_cancelling_node()].address;
        let what = format!("{job} cancelled");
        let reply = self.wait_until(
            &what,
            || self.users.cancel(address, &job),
            |reply| reply.status == 200,
        );
        // The job may have completed before the first cancellation that was answered.
        if reply.phase == "aborted" {
            self.expected_done.pop();
            self.cancelled.push(job.clone());
        }
        job
    }

    /// Waits until every running controller answers a lookup of every job. The rule checker
    /// verifies the answers.
    pub fn look_up_all_jobs(&self) {
        for controller in self.controllers.iter().filter(|c| c.process.is_some()) {
            for job in self.expected_done.iter().chain(&self.cancelled) {
                let what = format!("{job} is known at {}", controller.address);
                self.wait_until(
                    &what,
                    || self.users.look_up(controller.address, job),
                    |t| t.status == 200,
                );
            }
        }
    }

    /// Returns the node that [`Testbed::submit_and_cancel`] sent the last cancellation to.
    pub fn last_cancelling_node(&self) -> usize {
        self.last_job as usize % NODES.len()
    }

    /// Returns how many controllers, other than [`Testbed::last_cancelling_node`], have the key of
    /// a job's final state in their files.
    pub fn count_other_logs_with_final_state(&self, job: &str) -> usize {
        let key = format!("over/{job}").into_bytes();
        let contains_key = |path: &Path| {
            let bytes = std::fs::read(path).unwrap_or_default();
            bytes.windows(key.len()).any(|window| window == key)
        };
        let has_final_state = |n: &usize| {
            let files = std::fs::read_dir(self.directory(*n))
                .expect("cannot read the directory of the controller");
            files.flatten().any(|file| contains_key(&file.path()))
        };
        (0..NODES.len())
            .filter(|n| *n != self.last_cancelling_node())
            .filter(has_final_state)
            .count()
    }

    /// Waits until a job is done, asking the controllers in turn.
    pub fn await_done(&self, job: &str) {
        let mut turn = 0;
        let look_up = || {
            turn += 1;
            self.users.look_up(self.controllers[turn % NODES.len()].address, job)
        };
        self.wait_until(&format!("{job} done"), look_up, |reply| reply.phase == "done");
    }

    /// Returns the generation in the store's identity record, or `None` if there is no such record.
    pub fn generation(&self) -> Option<u64> {
        let store = self.store();
        let (identity, _) = store.get("recovery/identity")?;
        identity.parse::<serde_json::Value>()?["generation"].as_u64()
    }

    /// Waits until the store's identity record names a later generation than `before`.
    pub fn await_generation_after(&self, before: Option<u64>) {
        let what = format!("rebuilt after generation {before:?}");
        self.wait_until(&what, || self.generation(), |now| *now > before);
    }

    /// Checks the end of a test: every job has the same final phase at every controller, the final
    /// state of every job is in the store, and no rule was broken.
    ///
    /// # Panics
    ///
    /// Panics if one of these does not hold.
    pub fn finish(mut self) {
        self.submit(6);
        for job in &self.expected_done {
            self.await_done(job);
        }
        for (n, controller) in self.controllers.iter().enumerate() {
            for job in self.expected_done.iter().chain(&self.cancelled) {
                let phase = if self.expected_done.contains(job) { "done" } else { "aborted" };
                let what = format!("{job} {phase} at node {n}");
                self.wait_until(
                    &what,
                    || self.users.look_up(controller.address, job),
                    |t| t.phase == phase,
                );
            }
        }
        let pending_final_states = || self.store().get("recovery/inheriting").is_some();
        self.wait_until("final states written", pending_final_states, |pending_final_states| {
            !pending_final_states
        });
        let is_in_store = |job: &String| {
            let key = format!("over/{job}");
            self.store().keys("").iter().any(|k| *k == key || k.ends_with(&format!("/{key}")))
        };
        let missing: Vec<_> = self
            .expected_done
            .iter()
            .chain(&self.cancelled)
            .filter(|job| !is_in_store(job))
            .collect();
        assert!(missing.is_empty(), "{}: final states not in the store: {missing:?}", self.name);
        self.watchers.finish(&self.name);
    }
}
