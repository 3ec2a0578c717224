//! Requests that are not passed to the core: those that can be answered without it, and those that
//! no client waits for.

use super::routing::Route;
use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::responder::{BUSY, BUSY_BODY, ClientSocket, ResponseHead};

const READY: ResponseHead = ResponseHead { status: 200, retry_after_s: None };
const READY_BODY: &[u8] = b"{\"ready\":true}";

/// An answer with a constant body.
#[derive(Clone, Copy, Debug)]
pub struct FixedAnswer {
    pub head: ResponseHead,
    pub body: &'static [u8],
}

/// Returns the answer to a request that is answered without the core, or `None` if the core has to
/// answer it.
pub fn answer_without_core(route: &Route, inbox: &Inbox, clock: Clock) -> Option<FixedAnswer> {
    if matches!(route, Route::Ready) {
        inbox.check_step(clock.now());
    }
    match route {
        // While the core is starting, all workers connect every second. The core's thread need not
        // wake up for each of them.
        Route::Ready | Route::Heartbeat if inbox.rejects_requests() => {
            Some(FixedAnswer { head: BUSY, body: BUSY_BODY })
        }
        // A late answer to a health check takes the node out of service for seconds, twice as long
        // each time, so it must not wait for the core's other work.
        Route::Ready if inbox.is_ready(clock.now()) => {
            Some(FixedAnswer { head: READY, body: READY_BODY })
        }
        _ => None,
    }
}

/// Reports whether the client has closed the connection before its request was handled. Without
/// this check, a node that is far behind processes only heartbeats of workers that have already
/// connected elsewhere, and never catches up.
pub fn is_abandoned(socket: &ClientSocket, has_trailing_bytes: bool) -> bool {
    !has_trailing_bytes && socket.is_closed_by_client()
}
