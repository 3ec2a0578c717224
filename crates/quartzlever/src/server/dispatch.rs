//! Turns requests into commands for the core, each with a deadline for its answer.

use std::io;
use std::sync::Arc;

use quartzlever_core::Command;
use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::Heartbeat;

use super::routing::Route;
use super::shedding::{FixedAnswer, answer_without_core};
use crate::clock::Clock;
use crate::inbox::{Inbox, RequestQueue};
use crate::responder::ClientSocket;

// Clients time out by themselves: after 5 s when they submit or cancel a job, after 2 s when they
// look one up, and workers after 4 s. The timeouts here are shorter, since the core's thread checks
// the deadlines only once per iteration.
const USER_TIMEOUT: Micros = 4_500_000;
const LOOKUP_TIMEOUT: Micros = 1_700_000;
const WORKER_TIMEOUT: Micros = 3_500_000;
const HEALTH_TIMEOUT: Micros = 700_000;

/// Passes the requests of a connection to the core, or answers them at once.
pub struct Dispatcher<'a> {
    pub socket: Arc<ClientSocket>,
    pub inbox: &'a Inbox,
    pub clock: Clock,
}

impl Dispatcher<'_> {
    /// Dispatches a request. An error ends the connection.
    pub fn dispatch(&self, route: Route, body: &[u8], close: bool) -> io::Result<()> {
        if let Some(FixedAnswer { head, body }) =
            answer_without_core(&route, self.inbox, self.clock)
        {
            return self.socket.answer(head, body, close);
        }
        match route {
            Route::Refused { status, reason } => self.socket.refuse(status, reason, close),
            Route::Ready => self
                .enqueue(RequestQueue::Priority, HEALTH_TIMEOUT, close, |id| Command::Ready { id }),
            Route::Heartbeat => match Heartbeat::parse(body) {
                Some(heartbeat) => {
                    self.enqueue(RequestQueue::Priority, WORKER_TIMEOUT, close, |id| {
                        Command::Heartbeat { id, heartbeat }
                    })
                }
                None => self.socket.refuse(400, "not a report", close),
            },
            Route::Submit => match JobSpec::parse(body) {
                Ok(spec) => self.enqueue(RequestQueue::Submissions, USER_TIMEOUT, close, |id| {
                    Command::Submit { id, spec: Box::new(spec) }
                }),
                Err(error) => self.socket.refuse(400, &error.to_string(), close),
            },
            Route::Lookup(job) => {
                self.enqueue(RequestQueue::Lookups, LOOKUP_TIMEOUT, close, |id| Command::Lookup {
                    id,
                    job,
                })
            }
            Route::Cancel(job) => self.enqueue(RequestQueue::Lookups, USER_TIMEOUT, close, |id| {
                Command::Cancel { id, job }
            }),
        }
    }

    /// Enqueues a request for the core, whose thread answers it. Answers with a 503 if the queue is
    /// full.
    fn enqueue(
        &self,
        queue: RequestQueue,
        timeout: Micros,
        close: bool,
        command: impl FnOnce(u64) -> Command,
    ) -> io::Result<()> {
        let responder = self.socket.responder(close);
        match self.inbox.request(queue, responder, self.clock.now() + timeout, command) {
            Ok(()) => Ok(()),
            Err(responder) => {
                responder.withdraw();
                self.socket.refuse_busy(close)
            }
        }
    }
}
