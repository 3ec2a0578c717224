//! How many connections there may be, and which of them may stay open.
//!
//! Owns the counts of open connections and their bounds. Never looks at what a request asks.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::settings::Limits;

/// What a connection costs, measured with hundreds of them (14 to 30 KB): its thread's stack as
/// far as it is touched, buffers, and what the core keeps of its worker.
const CONNECTION_MB: f64 = 0.035;
/// Share of the sockets that connections may take.
const SOCKETS_SHARE: f64 = 0.8;
/// Share of the memory that connections may take.
const MEMORY_SHARE: f64 = 0.7;
const WORKERS_SHARE: f64 = 0.85;
const KEPT_SHARE: f64 = 0.9;
/// Threads of the process that serve no connection of users or workers, with some to spare: calls
/// of all kinds, peers' connections, the core, those that accept.
const OTHER_THREADS: u32 = 120;
/// Connections that there may be however little the machine has.
const MIN_CONNECTIONS: f64 = 16.0;

/// How many connections there may be; of these how many of workers, so that users find room
/// always; and of these how many may stay open. The workers beyond that are answered and their
/// connection is closed, so that they take turns: those that found no connection at all lost
/// their lease, since none of the others, which report all the time, ever becomes idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub all: usize,
    pub workers: usize,
    pub kept: usize,
}

impl Bounds {
    /// The bounds on a machine with these limits.
    pub fn of(limits: Limits) -> Bounds {
        let by_memory = limits.memory_mb * MEMORY_SHARE / CONNECTION_MB;
        let by_threads = f64::from(limits.threads.saturating_sub(OTHER_THREADS));
        let by_sockets = f64::from(limits.sockets) * SOCKETS_SHARE;
        let all = by_sockets.min(by_threads).min(by_memory).max(MIN_CONNECTIONS);
        let workers = all * WORKERS_SHARE;
        let kept = (workers * KEPT_SHARE) as usize;
        Bounds { all: all as usize, workers: workers as usize, kept }
    }
}

/// Whether a worker's connection may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// For as long as the worker wants.
    Kept,
    /// For this one heartbeat.
    Once,
    /// Not even for this heartbeat.
    Refused,
}

/// The connections that are open, and how many there may be.
#[derive(Debug)]
pub struct Admission {
    bounds: Bounds,
    all: AtomicUsize,
    workers: AtomicUsize,
}

impl Admission {
    /// No connection is open yet.
    pub fn new(bounds: Bounds) -> Admission {
        Admission { bounds, all: AtomicUsize::new(0), workers: AtomicUsize::new(0) }
    }

    /// Counts a connection for as long as the slot lives.
    pub fn open(&self) -> ConnectionSlot<'_> {
        self.all.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot { admission: self, is_worker: false }
    }

    /// Whether more than nine tenths of the connections are open.
    pub fn is_short(&self) -> bool {
        self.all.load(Ordering::Relaxed) * 10 > self.bounds.all * 9
    }
}

/// A connection that is counted.
#[derive(Debug)]
pub struct ConnectionSlot<'a> {
    admission: &'a Admission,
    /// A worker reports here.
    is_worker: bool,
}

impl ConnectionSlot<'_> {
    /// Counts the connection as a worker's, and says whether it may stay.
    pub fn admit_worker(&mut self) -> Admitted {
        if self.is_worker {
            return Admitted::Kept;
        }
        let Admission { bounds, workers, .. } = self.admission;
        let before = workers.fetch_add(1, Ordering::Relaxed);
        if before >= bounds.workers {
            workers.fetch_sub(1, Ordering::Relaxed);
            return Admitted::Refused;
        }
        self.is_worker = true;
        if before < bounds.kept { Admitted::Kept } else { Admitted::Once }
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        if self.is_worker {
            self.admission.workers.fetch_sub(1, Ordering::Relaxed);
        }
        self.admission.all.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
