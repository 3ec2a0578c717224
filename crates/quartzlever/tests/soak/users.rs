//! Users who submit, cancel, ask and repeat at all controllers for as long as a run lasts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use quartzlever_testkit::jobs::array;
use quartzlever_testkit::users::Users;
use quartzlever_wire::users::{JobSpec, Priority};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::LIMITED_TEAM;

/// Threads that submit and cancel jobs.
const SUBMITTERS: u32 = 6;
/// Maximum number of tasks of a job in a run with few workers.
const MAX_TASKS: u32 = 6;
/// One of this many jobs belongs to the team with a quota, which can run only a few tasks at a time.
const LIMITED_JOB_PERIOD: u32 = 12;
/// Threads that ask about jobs.
const ASKERS: u32 = 2;
/// Number of times that a user repeats a submission or a cancellation without a final answer.
const MAX_ATTEMPTS: usize = 12;
/// Percentage of accepted jobs that are cancelled within milliseconds.
const CANCELLED_AT_ONCE_PERCENT: u32 = 50;
/// Percentage of the turns in which an earlier job is cancelled.
const CANCELLED_LATER_PERCENT: u32 = 25;

#[derive(Debug, Default)]
struct Shared {
    stopped: AtomicBool,
    last_job: AtomicU32,
    /// Ids of the accepted jobs whose cancellation nobody has requested yet.
    accepted: Mutex<Vec<JobSpec>>,
    confirmed_cancellations: AtomicUsize,
}

/// The users of a run.
pub struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// What one thread of users works with.
struct User {
    users: Users,
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    rng: StdRng,
    /// Maximum number of tasks of a job.
    max_tasks: u32,
}

impl Load {
    /// Starts the users, who reach the controllers at these addresses. `tasks_scale` multiplies the
    /// sizes of jobs.
    pub fn start(users: &Users, addresses: &[SocketAddr], seed: u64, tasks_scale: u32) -> Load {
        let shared = Arc::new(Shared::default());
        let user = |n: u32| User {
            users: users.clone(),
            addresses: addresses.to_vec(),
            shared: shared.clone(),
            rng: StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(u64::from(n))),
            max_tasks: MAX_TASKS * tasks_scale,
        };
        let submitters = (0..SUBMITTERS).map(|n| {
            let mut user = user(n);
            thread::spawn(move || user.submit_and_cancel())
        });
        let askers = (SUBMITTERS..SUBMITTERS + ASKERS).map(|n| {
            let mut user = user(n);
            thread::spawn(move || user.ask())
        });
        let threads = submitters.chain(askers).collect();
        Load { shared, threads }
    }

    /// Returns the number of cancellations that were confirmed so far.
    pub fn confirmed_cancellations(&self) -> usize {
        self.shared.confirmed_cancellations.load(Ordering::Relaxed)
    }

    /// Stops the users and waits until they have ended.
    ///
    /// # Panics
    ///
    /// Panics if one of them has panicked.
    pub fn stop(self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a user's thread panicked");
        }
    }
}

impl User {
    fn is_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::Relaxed)
    }

    fn any_address(&mut self) -> SocketAddr {
        self.addresses[self.rng.random_range(0..self.addresses.len())]
    }

    fn pause(&mut self, longest: Duration) {
        thread::sleep(self.rng.random_range(Duration::ZERO..longest));
    }

    /// Submits jobs one after another, cancels some at once and some earlier ones now and then.
    fn submit_and_cancel(&mut self) {
        while !self.is_stopped() {
            let spec = self.draw_job();
            if self.submit(&spec) {
                if self.rng.random_range(0..100) < CANCELLED_AT_ONCE_PERCENT {
                    self.pause(Duration::from_millis(120));
                    self.cancel(&spec);
                } else {
                    self.accepted().push(spec);
                }
            }
            if self.rng.random_range(0..100) < CANCELLED_LATER_PERCENT {
                self.cancel_earlier_job();
            }
            self.pause(Duration::from_millis(900));
        }
    }

    fn accepted(&self) -> std::sync::MutexGuard<'_, Vec<JobSpec>> {
        self.shared.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_job(&mut self) -> JobSpec {
        let number = self.shared.last_job.fetch_add(1, Ordering::Relaxed) + 1;
        let tasks = self.rng.random_range(1..=self.max_tasks);
        let mut spec = array(number, tasks);
        spec.cpus = f64::from(self.rng.random_range(1..=4));
        if self.rng.random_range(0..3) > 0 {
            spec.priority = Priority::Urgent;
            spec.due_s = Some(5.0);
        }
        if self.rng.random_range(0..LIMITED_JOB_PERIOD) == 0 {
            spec.team = LIMITED_TEAM.into();
            (spec.tasks, spec.cpus) = (spec.tasks.min(MAX_TASKS), 1.0);
        }
        spec
    }

    /// Submits a job until it is accepted or the user gives up. Returns whether it was accepted.
    fn submit(&mut self, spec: &JobSpec) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            if self.is_stopped() {
                return false;
            }
            let address = self.any_address();
            if matches!(self.users.submit(address, spec).status, 200 | 201) {
                return true;
            }
            self.pause(Duration::from_millis(600));
        }
        false
    }

    /// Cancels a job until that is confirmed or the user gives up. Asks for the job and submits it
    /// again at all controllers as soon as the cancellation is confirmed.
    fn cancel(&mut self, spec: &JobSpec) {
        for _ in 0..MAX_ATTEMPTS {
            let address = self.any_address();
            let reply = self.users.cancel(address, &spec.id);
            if reply.status == 200 {
                if reply.phase == "aborted" {
                    self.shared.confirmed_cancellations.fetch_add(1, Ordering::Relaxed);
                }
                self.repeat_everywhere(spec);
                return;
            }
            if self.is_stopped() {
                return;
            }
            self.pause(Duration::from_millis(400));
        }
    }

    fn repeat_everywhere(&self, spec: &JobSpec) {
        for address in &self.addresses {
            self.users.look_up(*address, &spec.id);
            self.users.submit(*address, spec);
        }
    }

    fn cancel_earlier_job(&mut self) {
        let earlier = {
            let count = self.accepted().len();
            if count == 0 {
                return;
            }
            let index = self.rng.random_range(0..count);
            let mut accepted = self.accepted();
            if index >= accepted.len() {
                return;
            }
            accepted.swap_remove(index)
        };
        self.cancel(&earlier);
    }

    /// Asks about accepted jobs and repeats their submission.
    fn ask(&mut self) {
        while !self.is_stopped() {
            let known = {
                let count = self.accepted().len();
                let index = self.rng.random_range(0..count.max(1));
                self.accepted().get(index).cloned()
            };
            let address = self.any_address();
            if let Some(spec) = known {
                self.users.look_up(address, &spec.id);
                if self.rng.random_range(0..8) == 0 {
                    self.users.submit(address, &spec);
                }
            }
            self.pause(Duration::from_millis(150));
        }
    }
}
