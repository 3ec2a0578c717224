//! Three controllers that keep snapshots and logs, with fakes for store, cloud and workers; the
//! store loses data.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use quartzlever_testkit::fleet::{Behaviour, Fleet};
use quartzlever_testkit::jobs::array;
use quartzlever_testkit::program::Node;
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_testkit::site::Site;
use quartzlever_testkit::users::{Users, until};
use quartzlever_testkit::watchers::Watchers;
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;

const NODES: [&str; 3] = ["one", "two", "three"];
const ZONES: [&str; 3] = ["a", "b", "a"];
const MACHINES: usize = 8;
const LIMITS: &str = "value_kb = 16.0\ntxn_ops = 24";

struct Controller {
    address: SocketAddr,
    config: PathBuf,
    operator: PathBuf,
    /// Where its snapshots and logs are.
    directory: PathBuf,
    process: Option<Node>,
}

/// What surrounds the controllers, and the threads that watch it.
pub struct Testbed {
    name: String,
    store: Arc<Mutex<Store>>,
    pub fleet: Arc<Fleet>,
    users: Users,
    controllers: Vec<Controller>,
    watchers: Watchers,
    kept: Vec<String>,
    cancelled: Vec<String>,
    next_job: u32,
}

fn empty_directory(path: &Path) {
    // It is there only if an earlier run ended early.
    let _ = std::fs::remove_dir_all(path);
    std::fs::create_dir_all(path).expect("a directory");
}

impl Testbed {
    /// Starts everything and waits until the controllers are ready. All records are compared with the
    /// picture every `audit_s`.
    pub fn start(name: &str, audit_s: f64) -> Testbed {
        let begin = Instant::now();
        let store = Arc::new(Mutex::new(Store::default()));
        let state = http::serve_store(store.clone(), begin).expect("store");
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
        let cloud = fleet.serve_cloud(Cloud::new(8.0, &["a", "b"], MACHINES)).expect("cloud");
        let controller = |(n, (node, address)): (usize, (String, SocketAddr))| {
            let directory = scratch.join(format!("recovery-{name}-{node}"));
            empty_directory(&directory);
            // A busy machine may take its time over what is waited for.
            let operator = format!(
                "lease_life_s: 6\ntakeover_after_s: 1\nhandback_after_s: 2\nsilent_return_s: 5\n\
                 recovery:\n  directory: {}\n  acknowledge_s: 10\n  gather_s: 3\n  check_s: 0.3\n  audit_s: {audit_s}\n\
                 \x20 snapshot_s: 4\n",
                directory.display()
            );
            Controller {
                address,
                config: site.write_settings(n, state, cloud).expect("settings"),
                operator: site.write(&format!("{n}.yaml"), &operator).expect("an operator's file"),
                directory,
                process: None,
            }
        };
        let mut bed = Testbed {
            name: name.to_owned(),
            store,
            users: Users::new(fleet.clone()),
            watchers: Watchers::new(fleet.clone()),
            fleet,
            controllers: site.addresses().into_iter().enumerate().map(controller).collect(),
            kept: Vec::new(),
            cancelled: Vec::new(),
            next_job: 0,
        };
        bed.watch();
        bed.start_nodes(&[0, 1, 2]);
        bed.await_ready();
        bed
    }

    fn watch(&mut self) {
        let store = self.store.clone();
        self.watchers.look(move |fleet| {
            let done = done_jobs(&store.lock().unwrap_or_else(PoisonError::into_inner));
            fleet.rules(|rules, now| done.iter().for_each(|job| rules.job_done(now, job)));
        });
        let addresses = self.controllers.iter().map(|c| c.address).collect();
        self.watchers.poll_jobs(self.users.clone(), addresses);
    }

    pub fn start_nodes(&mut self, nodes: &[usize]) {
        for n in nodes {
            let controller = &mut self.controllers[*n];
            let program = Path::new(env!("CARGO_BIN_EXE_quartzlever"));
            let process = Node::start_with(program, &controller.config, Some(&controller.operator));
            controller.process = Some(process.expect("the program starts"));
        }
    }

    pub fn kill(&mut self, nodes: &[usize]) {
        for n in nodes {
            self.controllers[*n].process = None;
        }
    }

    /// Repeats something until its outcome is as wanted; fails at once when a rule is broken.
    fn wait<T: std::fmt::Debug>(
        &self,
        what: &str,
        mut attempt: impl FnMut() -> T,
        wanted: impl Fn(&T) -> bool,
    ) -> T {
        let what = format!("{}: {what}", self.name);
        let sound = || {
            let broken = self.fleet.rules(|rules, _| rules.broken.clone());
            assert!(broken.is_empty(), "{what}: {broken:#?}");
        };
        let attempt = || {
            let outcome = attempt();
            sound();
            outcome
        };
        until(&what, attempt, wanted)
    }

    /// Waits until each process that was started is ready.
    pub fn await_ready(&self) {
        for controller in self.controllers.iter().filter(|c| c.process.is_some()) {
            let url = format!("http://{}/ready", controller.address);
            self.wait(&url, || Node::is_ready(controller.address), |ready| *ready);
        }
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a controller's snapshots and logs are.
    pub fn directory(&self, node: usize) -> &Path {
        &self.controllers[node].directory
    }

    /// A controller's settings and its operator's file.
    pub fn files(&self, node: usize) -> [&Path; 2] {
        let controller = &self.controllers[node];
        [&controller.config, &controller.operator]
    }

    /// An array is accepted by some controller; it has to be done in the end.
    pub fn submit(&mut self, tasks: u32) -> String {
        self.next_job += 1;
        let spec = array(self.next_job, tasks);
        let mut turn = self.next_job as usize;
        let what = format!("{} accepted", spec.id);
        let submit = || {
            turn += 1;
            self.users.submit(self.controllers[turn % NODES.len()].address, &spec)
        };
        self.wait(&what, submit, |told| matches!(told.status, 200 | 201));
        self.kept.push(spec.id.clone());
        spec.id
    }

    /// An array is accepted and then cancelled; gives its name.
    pub fn submit_and_cancel(&mut self) -> String {
        let job = self.submit(40);
        let address = self.controllers[self.last_asked()].address;
        let what = format!("{job} cancelled");
        let told = self.wait(&what, || self.users.cancel(address, &job), |told| told.status == 200);
        // It may have ended before the first cancellation that was answered.
        if told.phase == "aborted" {
            self.kept.pop();
            self.cancelled.push(job.clone());
        }
        job
    }

    /// Every controller that is up has an answer about every job; the checker judges it.
    pub fn ask_about_all(&self) {
        for controller in self.controllers.iter().filter(|c| c.process.is_some()) {
            for job in self.kept.iter().chain(&self.cancelled) {
                let what = format!("{job} is known at {}", controller.address);
                self.wait(
                    &what,
                    || self.users.look_up(controller.address, job),
                    |t| t.status == 200,
                );
            }
        }
    }

    /// The controller that has confirmed the last cancellation.
    pub fn last_asked(&self) -> usize {
        self.next_job as usize % NODES.len()
    }

    /// Controllers but the one that was asked last whose files name the final state of a job.
    pub fn others_with_final_state(&self, job: &str) -> usize {
        let key = format!("over/{job}").into_bytes();
        let names_it = |path: &Path| {
            let bytes = std::fs::read(path).unwrap_or_default();
            bytes.windows(key.len()).any(|partition| partition == key)
        };
        let has_it = |n: &usize| {
            let files = std::fs::read_dir(self.directory(*n)).expect("a directory");
            files.flatten().any(|file| names_it(&file.path()))
        };
        (0..NODES.len()).filter(|n| *n != self.last_asked()).filter(has_it).count()
    }

    pub fn await_done(&self, job: &str) {
        let mut turn = 0;
        let look_up = || {
            turn += 1;
            self.users.look_up(self.controllers[turn % NODES.len()].address, job)
        };
        self.wait(&format!("{job} done"), look_up, |told| told.phase == "done");
    }

    /// Generation of the records in the store.
    pub fn generation(&self) -> Option<u64> {
        let store = self.store();
        let (identity, _) = store.get("recovery/identity")?;
        identity.parse::<serde_json::Value>()?["generation"].as_u64()
    }

    /// Waits until a generation after this one serves.
    pub fn await_generation_after(&self, before: Option<u64>) {
        let what = format!("rebuilt after generation {before:?}");
        self.wait(&what, || self.generation(), |now| *now > before);
    }

    /// Every job has its one final answer, which no later one contradicts; no rule was broken.
    pub fn finish(mut self) {
        self.submit(6);
        for job in &self.kept {
            self.await_done(job);
        }
        for (n, controller) in self.controllers.iter().enumerate() {
            for job in self.kept.iter().chain(&self.cancelled) {
                let phase = if self.kept.contains(job) { "done" } else { "aborted" };
                let what = format!("{job} {phase} at node {n}");
                self.wait(
                    &what,
                    || self.users.look_up(controller.address, job),
                    |t| t.phase == phase,
                );
            }
        }
        let pending_final_states = || self.store().get("recovery/inheriting").is_some();
        self.wait("all is written", pending_final_states, |pending_final_states| {
            !pending_final_states
        });
        let over = |job: &String| {
            let key = format!("over/{job}");
            self.store().keys("").iter().any(|k| *k == key || k.ends_with(&format!("/{key}")))
        };
        let lacking: Vec<_> =
            self.kept.iter().chain(&self.cancelled).filter(|job| !over(job)).collect();
        assert!(lacking.is_empty(), "{}: not in the store: {lacking:?}", self.name);
        self.watchers.finish(&self.name);
    }
}

/// Jobs that are done by the store's records, of whatever generation.
fn done_jobs(store: &Store) -> Vec<String> {
    let jobs = store.keys("").into_iter().filter_map(|key| {
        let job = key.strip_prefix("over/").or_else(|| Some(key.split_once("/over/")?.1))?;
        store.is_done_job(&key).then(|| job.to_owned())
    });
    jobs.collect()
}
