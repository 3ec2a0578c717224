//! The time before the store may be used, where recovery is enabled.
//!
//! A thread of its own opens the store and is joined here. Meanwhile every request is rejected.

use std::io;
use std::thread;
use std::time::Duration;

use crate::inbox::{InboxReceiver, QueuedCommand, ReplyChannel, Requester};
use crate::recovery::{self, GuardedStoreCell, Recovery, StoreService};
use crate::responder::{BUSY, BUSY_BODY};
use crate::settings::Settings;

/// Waiting requests are rejected at least this often.
const REJECT_INTERVAL: Duration = Duration::from_millis(200);

/// Opens the store and rejects all requests until it may be used.
///
/// # Errors
///
/// Fails if the store cannot be opened, or if the thread that opens it panics or cannot be started.
pub fn open_store(
    settings: &Settings,
    recovery: Recovery,
    log: &GuardedStoreCell,
    incoming: &InboxReceiver,
) -> io::Result<StoreService> {
    let core = thread::current();
    thread::scope(|scope| {
        let opening = thread::Builder::new().name("recovery".into()).spawn_scoped(scope, || {
            let opened = recovery::open_store(settings, recovery, log);
            core.unpark();
            opened
        })?;
        let mut message = Vec::new();
        while !opening.is_finished() {
            incoming.publish(true, 0);
            incoming.sleep(REJECT_INTERVAL);
            reject_all(incoming, &mut message);
        }
        opening.join().map_err(|_| io::Error::other("the thread that opens the store panicked"))?
    })
}

/// Answers all waiting HTTP requests with a 503; `message` is a buffer for the answer.
fn reject_all(incoming: &InboxReceiver, message: &mut Vec<u8>) {
    let all = incoming.priority.try_iter().chain(incoming.lookups.try_iter());
    for QueuedCommand { requester, .. } in all.chain(incoming.submissions.try_iter()) {
        // Dropping the sender of a peer's request makes its thread answer `PeerAnswer::Empty`.
        if let Some(Requester { reply: ReplyChannel::Http { responder, .. }, .. }) = requester {
            responder.mark_taken();
            responder.send(&BUSY, BUSY_BODY, message);
        }
    }
}
