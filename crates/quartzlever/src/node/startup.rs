//! The time before the store may be worked with, where recovery is switched on.
//!
//! Owns the thread that opens the store, which is joined here. Never lets a request reach a core.

use std::io;
use std::thread;
use std::time::Duration;

use crate::inbox::{InboxReceiver, Item, Reply, Waiter};
use crate::recovery::{self, OwnLog, Recovery, StoreService};
use crate::responder::{BUSY, BUSY_BODY};
use crate::settings::Settings;

/// Askers are turned away at least this often.
const CHECK_EVERY: Duration = Duration::from_millis(200);

/// Turns everybody away until the store may be worked with.
pub fn open_store(
    settings: &Settings,
    recovery: Recovery,
    log: &OwnLog,
    incoming: &InboxReceiver,
) -> io::Result<StoreService> {
    let core = thread::current();
    thread::scope(|scope| {
        let opening = thread::Builder::new().name("recovery".into()).spawn_scoped(scope, || {
            let opened = recovery::open(settings, recovery, log);
            core.unpark();
            opened
        })?;
        let mut message = Vec::new();
        while !opening.is_finished() {
            incoming.publish(true, 0);
            incoming.sleep(CHECK_EVERY);
            reject_all(incoming, &mut message);
        }
        opening.join().map_err(|_| io::Error::other("the recovery of lost state failed"))?
    })
}

/// Tells all that wait to come back; `message` is where answers are written.
fn reject_all(incoming: &InboxReceiver, message: &mut Vec<u8>) {
    let all = incoming.priority.try_iter().chain(incoming.questions.try_iter());
    for Item { waiter, .. } in all.chain(incoming.submissions.try_iter()) {
        // A peer whose reply is dropped is told nothing.
        if let Some(Waiter { reply: Reply::Http { responder, .. }, .. }) = waiter {
            responder.mark_taken();
            responder.send(&BUSY, BUSY_BODY, message);
        }
    }
}
