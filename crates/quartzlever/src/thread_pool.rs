//! Connections that are accepted, and the threads that serve one after the other.
//!
//! While all workers look for a node that is entitled, each makes a connection a second for one
//! answer. A thread started for each cost more than all the rest, so a thread that is done waits
//! a while for the next connection. It waits by parking: a channel's receiver would spin first.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// The stack of a thread that serves connections.
pub const STACK: usize = 128 * 1024;
/// How long a thread without a connection stays.
const KEPT: Duration = Duration::from_secs(20);
/// Pause after a connection that could not be accepted.
const NOT_ACCEPTED: Duration = Duration::from_millis(20);

/// So many connections may be new, their first request not with the core yet; others wait to be
/// accepted. Behind hundreds of threads that were ready to run, each with a connection that a
/// worker had given up already, a renewed lease came too late to be of use.
const MOST_NEW: usize = 32;

/// How many connections are new.
#[derive(Debug)]
struct News {
    count: AtomicUsize,
    /// Accepts connections, when there are not too many.
    acceptor: Thread,
}

/// A connection that is new for as long as this lives.
#[derive(Debug)]
pub struct New(Arc<News>);

impl Drop for New {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) >= MOST_NEW {
            self.0.acceptor.unpark();
        }
    }
}

impl News {
    /// Another new connection, once there may be one.
    fn wait(self: &Arc<Self>) -> New {
        while self.count.load(Ordering::Acquire) >= MOST_NEW {
            thread::park_timeout(NOT_ACCEPTED);
        }
        self.count.fetch_add(1, Ordering::AcqRel);
        New(self.clone())
    }
}

/// Where a thread without a connection waits for one.
struct Berth {
    thread: Thread,
    stream: Mutex<Option<(TcpStream, New)>>,
}

struct ThreadPool<H> {
    handle: H,
    /// Connections that are served.
    open: AtomicUsize,
    /// Threads without one; the last to come is the first to go on.
    idle: Mutex<Vec<Arc<Berth>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Accepts connections for good, at most `most` at a time; more are closed at once.
pub fn accept_loop(
    name: &str,
    listener: TcpListener,
    most: usize,
    handle: impl Fn(TcpStream, New) + Send + Sync + 'static,
) -> io::Result<()> {
    let thread_pool =
        Arc::new(ThreadPool { handle, open: AtomicUsize::new(0), idle: Mutex::default() });
    let label = name.to_owned();
    thread::Builder::new().name(format!("{name}-accept")).stack_size(STACK).spawn(move || {
        let news = Arc::new(News { count: AtomicUsize::new(0), acceptor: thread::current() });
        loop {
            let new = news.wait();
            let Ok((stream, _)) = listener.accept() else {
                // No free sockets, or a connection that was given up.
                thread::sleep(NOT_ACCEPTED);
                continue;
            };
            if thread_pool.open.fetch_add(1, Ordering::Relaxed) >= most
                || !thread_pool.clone().give(&label, (stream, new))
            {
                thread_pool.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(())
}

impl<H: Fn(TcpStream, New) + Send + Sync + 'static> ThreadPool<H> {
    /// Has a connection served by a thread that is there, or else by a new one; `false` if there
    /// can be none.
    fn give(self: Arc<Self>, label: &str, stream: (TcpStream, New)) -> bool {
        let berth = lock(&self.idle).pop();
        if let Some(berth) = berth {
            *lock(&berth.stream) = Some(stream);
            berth.thread.unpark();
            return true;
        }
        let thread = thread::Builder::new().name(label.to_owned()).stack_size(STACK);
        thread.spawn(move || self.serve(stream)).is_ok()
    }

    fn serve(&self, mut stream: (TcpStream, New)) {
        let berth = Arc::new(Berth { thread: thread::current(), stream: Mutex::new(None) });
        loop {
            (self.handle)(stream.0, stream.1);
            self.open.fetch_sub(1, Ordering::Relaxed);
            lock(&self.idle).push(berth.clone());
            match self.next(&berth) {
                Some(next) => stream = next,
                None => return,
            }
        }
    }

    /// The next connection for a thread, if one comes in time.
    fn next(&self, berth: &Arc<Berth>) -> Option<(TcpStream, New)> {
        let end = Instant::now() + KEPT;
        loop {
            if let Some(stream) = lock(&berth.stream).take() {
                return Some(stream);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::park_timeout(left);
                continue;
            }
            let mut idle = lock(&self.idle);
            match idle.iter().position(|b| Arc::ptr_eq(b, berth)) {
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
