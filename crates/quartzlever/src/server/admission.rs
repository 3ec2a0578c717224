//! Limits on the number of connections, and on those that may stay open.
//!
//! Counts the open connections and those of workers. The contents of requests play no part.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::settings::Limits;

/// Memory budgeted for each connection. With hundreds of connections open, each takes 14 to 30 KB:
/// the touched part of its thread's stack, its buffers, and the core's state of its worker.
const CONNECTION_MB: f64 = 0.035;
/// Share of the sockets that connections may use.
const SOCKETS_SHARE: f64 = 0.8;
/// Share of the memory that connections may use.
const MEMORY_SHARE: f64 = 0.7;
/// Share of the connections that workers may use; the rest is for users.
const WORKERS_SHARE: f64 = 0.85;
/// Share of the workers' connections that may stay open.
const KEEP_ALIVE_SHARE: f64 = 0.9;
/// Threads of the process that serve no connection of users or workers, with some margin: those of
/// the executors, of peers' connections, of the core, and those that accept.
const OTHER_THREADS: u32 = 120;
/// Connections that are allowed however small the machine is.
const MIN_CONNECTIONS: f64 = 16.0;

/// Limits on the number of connections. Workers may use only some of them, so that users can always
/// connect, and only some of the workers' connections may stay open. Further workers are answered
/// once and their connections are closed, so that they take turns. Otherwise workers that find no
/// free connection lose their leases, since the connections of the others carry heartbeats all the
/// time and never become idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// All connections.
    pub total: usize,
    /// Connections of workers.
    pub workers: usize,
    /// Connections of workers that stay open after an answer.
    pub keep_alive: usize,
}

impl ConnectionLimits {
    /// Computes the limits on connections from the limits of the machine.
    pub fn for_machine(machine: Limits) -> ConnectionLimits {
        let by_memory = machine.memory_mb * MEMORY_SHARE / CONNECTION_MB;
        let by_threads = f64::from(machine.threads.saturating_sub(OTHER_THREADS));
        let by_sockets = f64::from(machine.sockets) * SOCKETS_SHARE;
        let total = by_sockets.min(by_threads).min(by_memory).max(MIN_CONNECTIONS);
        let workers = total * WORKERS_SHARE;
        let keep_alive = (workers * KEEP_ALIVE_SHARE) as usize;
        ConnectionLimits { total: total as usize, workers: workers as usize, keep_alive }
    }
}

/// The decision on a worker's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerAdmission {
    /// The connection may stay open.
    KeepAlive,
    /// The heartbeat is accepted, and the connection is closed after the answer.
    SingleRequest,
    /// The heartbeat is rejected, and the connection is closed.
    Refused,
}

/// The numbers of open connections, and their limits.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: ConnectionLimits,
    total: AtomicUsize,
    workers: AtomicUsize,
}

impl AdmissionControl {
    /// Creates the counts, with no connection open yet.
    pub fn new(limits: ConnectionLimits) -> AdmissionControl {
        AdmissionControl { limits, total: AtomicUsize::new(0), workers: AtomicUsize::new(0) }
    }

    /// Counts a connection for as long as the returned slot lives.
    pub fn open_slot(&self) -> ConnectionSlot<'_> {
        self.total.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot { admission: self, is_worker: false }
    }

    /// Reports whether more than nine tenths of the allowed connections are open.
    pub fn is_nearly_full(&self) -> bool {
        self.total.load(Ordering::Relaxed) * 10 > self.limits.total * 9
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot<'a> {
    admission: &'a AdmissionControl,
    /// The connection is also counted as a worker's.
    is_worker: bool,
}

impl ConnectionSlot<'_> {
    /// Counts the connection as a worker's, unless that exceeds the limit, and decides whether it
    /// may stay open.
    pub fn admit_worker(&mut self) -> WorkerAdmission {
        if self.is_worker {
            return WorkerAdmission::KeepAlive;
        }
        let AdmissionControl { limits, workers, .. } = self.admission;
        let before = workers.fetch_add(1, Ordering::Relaxed);
        if before >= limits.workers {
            workers.fetch_sub(1, Ordering::Relaxed);
            return WorkerAdmission::Refused;
        }
        self.is_worker = true;
        if before < limits.keep_alive {
            WorkerAdmission::KeepAlive
        } else {
            WorkerAdmission::SingleRequest
        }
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        if self.is_worker {
            self.admission.workers.fetch_sub(1, Ordering::Relaxed);
        }
        self.admission.total.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
