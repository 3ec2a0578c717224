//! Requests on their way to the core.
//!
//! Owns which command a request becomes, and how long its asker waits. Never carries a command out.

use std::io;
use std::sync::Arc;

use quartzlever_core::Command;
use quartzlever_wire::Micros;
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::workers::Heartbeat;

use super::routing::Route;
use super::shedding::{FixedAnswer, answer_at_once};
use crate::clock::Clock;
use crate::inbox::{Inbox, Queue};
use crate::responder::ClientSocket;

// Users give up after 5 s, pollers after 2 s, workers after 4 s; the core's thread looks for
// those whose time is over now and then.
const USER_TIMEOUT: Micros = 4_500_000;
const LOOKUP_TIMEOUT: Micros = 1_700_000;
const WORKER_TIMEOUT: Micros = 3_500_000;
const HEALTH_TIMEOUT: Micros = 700_000;

/// Hands the requests of a connection to the core, or answers them at once.
pub struct Dispatcher<'a> {
    pub socket: Arc<ClientSocket>,
    pub inbox: &'a Inbox,
    pub clock: Clock,
}

impl Dispatcher<'_> {
    /// Takes a request. An error ends the connection.
    pub fn dispatch(&self, route: Route, body: &[u8], close: bool) -> io::Result<()> {
        if let Some(FixedAnswer { status, body }) = answer_at_once(&route, self.inbox, self.clock) {
            return self.socket.answer(status, body, close);
        }
        match route {
            Route::Refused { status, reason } => self.socket.refuse(status, reason, close),
            Route::Ready => {
                self.ask(Queue::Priority, HEALTH_TIMEOUT, close, |id| Command::Ready { id })
            }
            Route::Hello => match Heartbeat::parse(body) {
                Some(heartbeat) => self.ask(Queue::Priority, WORKER_TIMEOUT, close, |id| {
                    Command::Heartbeat { id, heartbeat }
                }),
                None => self.socket.refuse(400, "not a report", close),
            },
            Route::Submit => match JobSpec::parse(body) {
                Ok(spec) => self.ask(Queue::Submissions, USER_TIMEOUT, close, |id| {
                    Command::Submit { id, spec: Box::new(spec) }
                }),
                Err(why) => self.socket.refuse(400, &why.to_string(), close),
            },
            Route::Lookup(job) => {
                self.ask(Queue::Questions, LOOKUP_TIMEOUT, close, |id| Command::Lookup { id, job })
            }
            Route::Cancel(job) => {
                self.ask(Queue::Questions, USER_TIMEOUT, close, |id| Command::Cancel { id, job })
            }
        }
    }

    /// Leaves a request to the core, whose thread answers it.
    fn ask(
        &self,
        queue: Queue,
        timeout: Micros,
        close: bool,
        command: impl FnOnce(u64) -> Command,
    ) -> io::Result<()> {
        let responder = self.socket.responder(close);
        match self.inbox.ask(queue, responder, self.clock.now() + timeout, command) {
            Ok(()) => Ok(()),
            Err(responder) => {
                responder.abandon();
                self.socket.refuse_busy(close)
            }
        }
    }
}
