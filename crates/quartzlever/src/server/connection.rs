//! A connection of a user or a worker, from its first request to its end.
//!
//! Owns the order of what happens to a request. Runs on a thread of the connection's own, and never
//! touches the core but through the inbox.

use std::io;
use std::ops::ControlFlow;
use std::sync::Arc;

use super::admission::{Admission, Admitted, ConnectionSlot};
use super::dispatch::Dispatcher;
use super::reader::{ReadError, Request, RequestReader};
use super::routing::Route;
use super::shedding::is_read_too_late;
use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::responder::ClientSocket;
use crate::thread_pool::Accepted;

/// A connection that is served.
pub struct Connection<'a> {
    /// The first field, so that a connection is counted no more when the other side sees its end.
    slot: ConnectionSlot<'a>,
    socket: Arc<ClientSocket>,
    reader: RequestReader<'a>,
    dispatcher: Dispatcher<'a>,
}

impl<'a> Connection<'a> {
    /// A connection that was accepted just now.
    pub fn new(
        accepted: Accepted,
        admission: &'a Admission,
        inbox: &'a Inbox,
        clock: Clock,
    ) -> Self {
        let slot = admission.open();
        let socket = Arc::new(ClientSocket::new(accepted));
        let reader = RequestReader::new(socket.clone(), admission);
        let dispatcher = Dispatcher { socket: socket.clone(), inbox, clock };
        Connection { slot, socket, reader, dispatcher }
    }

    /// Serves the connection until it ends. An error ends it too.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let request = match self.reader.next_request() {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(ReadError::Malformed(error)) => {
                    return self.socket.refuse(400, &error.to_string(), true);
                }
                Err(ReadError::Io(error)) => return Err(error),
            };
            if self.serve(request)?.is_break() {
                return Ok(());
            }
        }
    }

    /// Answers a request, or leaves it to the core.
    fn serve(&mut self, request: Request) -> io::Result<ControlFlow<()>> {
        if self.socket.awaits_answer() {
            // Nobody sends a second request before the answer to the first.
            return Ok(ControlFlow::Break(()));
        }
        if is_read_too_late(&self.socket, self.reader.has_more(&request)) {
            return Ok(ControlFlow::Break(()));
        }
        let admitted = match request.route {
            Route::Hello => self.slot.admit_worker(),
            _ => Admitted::Kept,
        };
        if admitted == Admitted::Refused {
            self.socket.refuse_busy(true)?;
            return Ok(ControlFlow::Break(()));
        }
        let close = request.close || admitted == Admitted::Once;
        let body = self.reader.body(&request);
        let body_bytes = body.len();
        self.dispatcher.dispatch(request.route, body, close)?;
        self.reader.discard(body_bytes);
        Ok(ControlFlow::Continue(()))
    }
}
