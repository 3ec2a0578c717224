//! What is answered without the core, and what is not answered at all.
//!
//! Owns the guards that keep the core's thread free of requests that are of no use to it. Never asks
//! the core.

use super::routing::Route;
use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::responder::{BUSY, BUSY_BODY, ClientSocket, Status};

const READY: Status = Status { status: 200, retry_after_s: None };
const READY_BODY: &[u8] = b"{\"ready\":true}";

/// An answer that is always the same.
#[derive(Clone, Copy, Debug)]
pub struct FixedAnswer {
    pub status: Status,
    pub body: &'static [u8],
}

/// The answer to a request that need not or must not wait for the core.
pub fn answer_at_once(route: &Route, inbox: &Inbox, clock: Clock) -> Option<FixedAnswer> {
    match route {
        // All workers ask every second then; the core need not wake for each.
        Route::Ready | Route::Hello if inbox.rejects_requests() => {
            Some(FixedAnswer { status: BUSY, body: BUSY_BODY })
        }
        // A late answer to a health check takes the node out of service for seconds, and each
        // time for twice as long; it must not wait for what the core has to do first.
        Route::Ready if inbox.is_ready(clock.now()) => {
            Some(FixedAnswer { status: READY, body: READY_BODY })
        }
        _ => None,
    }
}

/// Whether nobody waits for the answer to a request that was read just now. Far behind, a node took
/// in nothing but reports of workers that had closed the connection and reported elsewhere, and never
/// caught up.
pub fn is_read_too_late(socket: &ClientSocket, has_more: bool) -> bool {
    !has_more && socket.is_given_up()
}
