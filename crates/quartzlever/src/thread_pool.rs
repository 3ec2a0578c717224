//! Connections that are accepted, and the threads that serve one after the other.
//!
//! While all workers look for a node that is entitled, each makes a connection a second for one
//! answer. A thread started for each cost more than all the rest, so a thread that is done waits
//! a while for the next connection. It waits by parking: a channel's receiver would spin first.
//!
//! Owns the threads that accept and serve, and the bounds on both. Never reads from a connection.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// The stack of a thread that serves connections.
pub const STACK_BYTES: usize = 128 * 1024;
/// How long a thread without a connection stays.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// So many connections may be new, their first request not with the core yet; others wait to be
/// accepted. Behind hundreds of threads that were ready to run, each with a connection that a
/// worker had given up already, a renewed lease came too late to be of use.
const MAX_NEW: usize = 32;

/// How many connections are new.
#[derive(Debug)]
struct NewConnections {
    count: AtomicUsize,
    /// Accepts connections, when there are not too many.
    acceptor: Thread,
}

/// A connection that is new for as long as this lives.
#[derive(Debug)]
pub struct NewConnection(Arc<NewConnections>);

impl Drop for NewConnection {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) >= MAX_NEW {
            self.0.acceptor.unpark();
        }
    }
}

impl NewConnections {
    /// Another new connection, once there may be one.
    fn wait(self: &Arc<Self>) -> NewConnection {
        while self.count.load(Ordering::Acquire) >= MAX_NEW {
            thread::park_timeout(ACCEPT_PAUSE);
        }
        self.count.fetch_add(1, Ordering::AcqRel);
        NewConnection(self.clone())
    }
}

/// A connection that was accepted just now.
#[derive(Debug)]
pub struct Accepted {
    pub stream: TcpStream,
    pub new: NewConnection,
}

/// A thread without a connection, and the place for its next one.
struct IdleThread {
    thread: Thread,
    next: Mutex<Option<Accepted>>,
}

struct ThreadPool<H> {
    handle: H,
    /// Connections that are served.
    open: AtomicUsize,
    /// Threads without one; the last to come is the first to go on.
    idle: Mutex<Vec<Arc<IdleThread>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Accepts connections on a thread of its own, at most `most` at a time; more are closed at once. That
/// thread lives as long as the process; those that serve end when they have long been idle, and nobody
/// joins them.
pub fn accept_loop(
    name: &str,
    listener: TcpListener,
    most: usize,
    handle: impl Fn(Accepted) + Send + Sync + 'static,
) -> io::Result<()> {
    let thread_pool =
        Arc::new(ThreadPool { handle, open: AtomicUsize::new(0), idle: Mutex::default() });
    let thread_name = name.to_owned();
    thread::Builder::new().name(format!("{name}-accept")).stack_size(STACK_BYTES).spawn(
        move || {
            let acceptor = thread::current();
            let new_connections = Arc::new(NewConnections { count: AtomicUsize::new(0), acceptor });
            loop {
                let new = new_connections.wait();
                let Ok((stream, _)) = listener.accept() else {
                    // No free sockets, or a connection that was given up.
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let accepted = Accepted { stream, new };
                if thread_pool.open.fetch_add(1, Ordering::Relaxed) >= most
                    || !thread_pool.clone().give(&thread_name, accepted)
                {
                    thread_pool.open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        },
    )?;
    Ok(())
}

impl<H: Fn(Accepted) + Send + Sync + 'static> ThreadPool<H> {
    /// Has a connection served by a thread that is there, or else by a new one; `false` if there
    /// can be none.
    fn give(self: Arc<Self>, thread_name: &str, accepted: Accepted) -> bool {
        let idle_thread = lock(&self.idle).pop();
        if let Some(idle_thread) = idle_thread {
            *lock(&idle_thread.next) = Some(accepted);
            idle_thread.thread.unpark();
            return true;
        }
        let thread = thread::Builder::new().name(thread_name.to_owned()).stack_size(STACK_BYTES);
        thread.spawn(move || self.serve(accepted)).is_ok()
    }

    fn serve(&self, mut accepted: Accepted) {
        let own = Arc::new(IdleThread { thread: thread::current(), next: Mutex::new(None) });
        loop {
            (self.handle)(accepted);
            self.open.fetch_sub(1, Ordering::Relaxed);
            lock(&self.idle).push(own.clone());
            match self.next(&own) {
                Some(next) => accepted = next,
                None => return,
            }
        }
    }

    /// The next connection for a thread, if one comes in time.
    fn next(&self, own: &Arc<IdleThread>) -> Option<Accepted> {
        let end = Instant::now() + IDLE_TIMEOUT;
        loop {
            if let Some(accepted) = lock(&own.next).take() {
                return Some(accepted);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::park_timeout(left);
                continue;
            }
            let mut idle = lock(&self.idle);
            match idle.iter().position(|idle_thread| Arc::ptr_eq(idle_thread, own)) {
                Some(at) => {
                    idle.remove(at);
                    return None;
                }
                // It was chosen just now, and the connection is on its way.
                None => drop(idle),
            }
            thread::yield_now();
        }
    }
}

#[cfg(test)]
mod tests;
