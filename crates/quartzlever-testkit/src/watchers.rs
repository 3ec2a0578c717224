//! Background threads that observe a test of several controllers until it ends: repeated checks,
//! and lookups of all accepted jobs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use quartzlever_wire::{Micros, SECOND};

use crate::Store;
use crate::fleet::Fleet;
use crate::program::reported_violations;
use crate::users::Users;

/// Pause between two calls of a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Pause between two rounds of lookups.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time without an answered request about an accepted job.
const MAX_TIME_WITHOUT_ANSWER: Micros = 75 * SECOND;

/// Background threads that observe a test. They run until [`BackgroundChecks::finish`].
pub struct BackgroundChecks {
    fleet: Arc<Fleet>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BackgroundChecks {
    /// Creates a set without threads.
    pub fn new(fleet: Arc<Fleet>) -> BackgroundChecks {
        BackgroundChecks { fleet, stopped: Arc::default(), threads: Vec::new() }
    }

    /// Starts a thread that calls `look` repeatedly, with a pause of 25 ms. Calls to the fleet such
    /// as [`Fleet::observe`] also advance its workers to the current time.
    pub fn check_repeatedly(&mut self, mut look: impl FnMut(&Fleet) + Send + 'static) {
        let (fleet, stopped) = (self.fleet.clone(), self.stopped.clone());
        self.threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                look(&fleet);
                thread::sleep(CHECK_INTERVAL);
            }
        }));
    }

    /// Starts a thread that passes the jobs that are done in this store to the checker.
    pub fn record_done_jobs(&mut self, store: Arc<Mutex<Store>>) {
        self.check_repeatedly(move |fleet| {
            let done = store.lock().unwrap_or_else(PoisonError::into_inner).done_jobs();
            fleet.rules(|rules, now| done.iter().for_each(|job| rules.record_job_done(now, job)));
        });
    }

    /// Starts a thread that looks up every accepted job in rounds, at a different controller each
    /// round, and checks that no job stays without an answer for too long.
    pub fn poll_jobs(&mut self, users: Users, addresses: Vec<SocketAddr>) {
        let (fleet, stopped) = (self.fleet.clone(), self.stopped.clone());
        self.threads.push(thread::spawn(move || {
            for round in 0.. {
                for job in fleet.rules(|rules, _| rules.accepted_jobs()) {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    users.look_up(addresses[round % addresses.len()], &job);
                }
                fleet.rules(|rules, now| {
                    rules.check_answered_since(now, now.saturating_sub(MAX_TIME_WITHOUT_ANSWER))
                });
                thread::sleep(POLL_INTERVAL);
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
            }
        }));
    }

    /// Stops the threads.
    ///
    /// # Panics
    ///
    /// Panics if a thread has panicked, any rule was broken, or a controller has reported a violated
    /// invariant.
    pub fn finish(self, test: &str) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a background thread of the test panicked");
        }
        let broken = self.fleet.rules(|rules, _| rules.violations.clone());
        assert!(broken.is_empty(), "{test}: {broken:#?}");
        let violated = reported_violations();
        assert!(violated.is_empty(), "{test}: {violated:#?}");
    }
}
