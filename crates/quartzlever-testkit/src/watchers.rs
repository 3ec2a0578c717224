//! Threads that watch a test of several controllers until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use quartzlever_wire::{Micros, SECOND};

use crate::fleet::Fleet;
use crate::users::Users;

/// How often the workers and the store are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
const POLL: Duration = Duration::from_millis(200);
/// No question about a job may stay without an answer for longer.
const KNOWN_WITHIN: Micros = 75 * SECOND;

/// The threads that watch a test; they run until [`Watchers::finish`].
pub struct Watchers {
    fleet: Arc<Fleet>,
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watchers {
    /// No thread yet.
    pub fn new(fleet: Arc<Fleet>) -> Watchers {
        Watchers { fleet, ended: Arc::default(), threads: Vec::new() }
    }

    /// Calls this again and again; time passes for the workers as often as it asks the fleet.
    pub fn look(&mut self, mut look: impl FnMut(&Fleet) + Send + 'static) {
        let (fleet, ended) = (self.fleet.clone(), self.ended.clone());
        self.threads.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                look(&fleet);
                thread::sleep(CHECK_INTERVAL);
            }
        }));
    }

    /// Asks again and again about every accepted job, at one controller after the other.
    pub fn poll_jobs(&mut self, users: Users, addresses: Vec<SocketAddr>) {
        let (fleet, ended) = (self.fleet.clone(), self.ended.clone());
        self.threads.push(thread::spawn(move || {
            for turn in 0.. {
                for job in fleet.rules(|rules, _| rules.accepted()) {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    users.look_up(addresses[turn % addresses.len()], &job);
                }
                fleet.rules(|rules, now| rules.unanswered(now, now.saturating_sub(KNOWN_WITHIN)));
                thread::sleep(POLL);
                if ended.load(Ordering::Relaxed) {
                    return;
                }
            }
        }));
    }

    /// Ends the threads. Fails the test if one of them has failed or any rule was broken.
    pub fn finish(self, test: &str) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a watching thread");
        }
        let broken = self.fleet.rules(|rules, _| rules.broken.clone());
        assert!(broken.is_empty(), "{test}: {broken:#?}");
    }
}
