//! Starts the threads of the executors.

use std::io;
use std::thread;

const STACK_BYTES: usize = 192 * 1024;

/// Starts a thread that lives as long as the process and is never joined.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let thread = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    thread.spawn(work).map(|_| ())
}
