//! Accepts connections and serves them on a pool of threads.
//!
//! While all workers look for the leader of their partition, each makes a connection per second for
//! a single answer. Starting a thread for each of them costs more than everything else, so a thread
//! that has finished waits some time for another connection. It parks, since the receiver of a
//! channel would spin first.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Stack size of a thread that serves connections.
pub const STACK_BYTES: usize = 128 * 1024;
/// How long a thread waits for its next connection before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, and longest wait between checks of the number of new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Most connections that may be new, which means that the core has not taken their first request
/// yet. Further ones wait to be accepted. Without this limit, hundreds of runnable threads, whose
/// workers had already closed their connections, delayed the renewal of a lease until it had
/// expired.
const MAX_NEW_CONNECTIONS: usize = 32;

/// The number of connections that are new.
#[derive(Debug)]
struct NewConnections {
    count: AtomicUsize,
    /// The accepting thread, which waits while there are too many.
    acceptor: Thread,
}

/// Counts a connection as new until it is dropped.
#[derive(Debug)]
pub struct NewConnectionGuard(Arc<NewConnections>);

impl Drop for NewConnectionGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) >= MAX_NEW_CONNECTIONS {
            self.0.acceptor.unpark();
        }
    }
}

impl NewConnections {
    /// Waits until another new connection is allowed, and counts it.
    fn acquire(self: &Arc<Self>) -> NewConnectionGuard {
        while self.count.load(Ordering::Acquire) >= MAX_NEW_CONNECTIONS {
            thread::park_timeout(ACCEPT_PAUSE);
        }
        self.count.fetch_add(1, Ordering::AcqRel);
        NewConnectionGuard(self.clone())
    }
}

/// A connection that has just been accepted.
#[derive(Debug)]
pub struct AcceptedConnection {
    pub stream: TcpStream,
    pub new_connection: NewConnectionGuard,
}

/// A thread without a connection, and the slot for its next one.
struct IdleThread {
    thread: Thread,
    next_connection: Mutex<Option<AcceptedConnection>>,
}

struct ThreadPool<H> {
    handle: H,
    /// Number of connections that are being served.
    open: AtomicUsize,
    /// Threads without a connection; the last one to become idle is the first to be reused.
    idle: Mutex<Vec<Arc<IdleThread>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Accepts connections on a thread of its own and serves at most `max_connections` at a time;
/// further ones are closed at once. The accepting thread lives as long as the process; the serving
/// threads end after [`IDLE_TIMEOUT`] without a connection. None of them is joined.
pub fn accept_loop(
    name: &str,
    listener: TcpListener,
    max_connections: usize,
    handle: impl Fn(AcceptedConnection) + Send + Sync + 'static,
) -> io::Result<()> {
    let thread_pool =
        Arc::new(ThreadPool { handle, open: AtomicUsize::new(0), idle: Mutex::default() });
    let thread_name = name.to_owned();
    thread::Builder::new().name(format!("{name}-accept")).stack_size(STACK_BYTES).spawn(
        move || {
            let acceptor = thread::current();
            let new_connections = Arc::new(NewConnections { count: AtomicUsize::new(0), acceptor });
            loop {
                let new_connection = new_connections.acquire();
                let Ok((stream, _)) = listener.accept() else {
                    // There is no free socket, or the client has closed the connection.
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let accepted = AcceptedConnection { stream, new_connection };
                if thread_pool.open.fetch_add(1, Ordering::Relaxed) >= max_connections
                    || !thread_pool.clone().assign(&thread_name, accepted)
                {
                    thread_pool.open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        },
    )?;
    Ok(())
}

impl<H: Fn(AcceptedConnection) + Send + Sync + 'static> ThreadPool<H> {
    /// Serves a connection on an idle thread, or else on a new one. Returns `false` if no thread
    /// can be started.
    fn assign(self: Arc<Self>, thread_name: &str, accepted: AcceptedConnection) -> bool {
        let idle_thread = lock(&self.idle).pop();
        if let Some(idle_thread) = idle_thread {
            *lock(&idle_thread.next_connection) = Some(accepted);
            idle_thread.thread.unpark();
            return true;
        }
        let thread = thread::Builder::new().name(thread_name.to_owned()).stack_size(STACK_BYTES);
        thread.spawn(move || self.serve(accepted)).is_ok()
    }

    fn serve(&self, mut accepted: AcceptedConnection) {
        let this_thread =
            Arc::new(IdleThread { thread: thread::current(), next_connection: Mutex::new(None) });
        loop {
            (self.handle)(accepted);
            self.open.fetch_sub(1, Ordering::Relaxed);
            lock(&self.idle).push(this_thread.clone());
            match self.next_connection(&this_thread) {
                Some(next) => accepted = next,
                None => return,
            }
        }
    }

    /// Returns the next connection for an idle thread, or `None` after [`IDLE_TIMEOUT`].
    fn next_connection(&self, this_thread: &Arc<IdleThread>) -> Option<AcceptedConnection> {
        let end = Instant::now() + IDLE_TIMEOUT;
        loop {
            if let Some(accepted) = lock(&this_thread.next_connection).take() {
                return Some(accepted);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::park_timeout(left);
                continue;
            }
            let mut idle = lock(&self.idle);
            match idle.iter().position(|idle_thread| Arc::ptr_eq(idle_thread, this_thread)) {
                Some(at) => {
                    idle.remove(at);
                    return None;
                }
                // The thread was just taken from the list, and its connection is about to be set.
                None => drop(idle),
            }
            thread::yield_now();
        }
    }
}

#[cfg(test)]
mod tests;
