//! An HTTP connection, from its first request to its end.
//!
//! Defines the order of the steps of a request. Runs on the connection's own thread, and reaches
//! the core only through the inbox.

use std::io;
use std::ops::ControlFlow;
use std::sync::Arc;

use super::admission::{AdmissionControl, ConnectionSlot, WorkerAdmission};
use super::dispatch::Dispatcher;
use super::reader::{ReadError, Request, RequestReader};
use super::routing::Route;
use super::shedding::is_abandoned;
use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::responder::ClientSocket;
use crate::thread_pool::AcceptedConnection;

/// An open HTTP connection.
pub struct Connection<'a> {
    /// Must be the first field: it is dropped before the socket, so that the connection is no
    /// longer counted when the client sees it closed.
    slot: ConnectionSlot<'a>,
    socket: Arc<ClientSocket>,
    reader: RequestReader<'a>,
    dispatcher: Dispatcher<'a>,
}

impl<'a> Connection<'a> {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(
        accepted: AcceptedConnection,
        admission: &'a AdmissionControl,
        inbox: &'a Inbox,
        clock: Clock,
    ) -> Self {
        let slot = admission.open_slot();
        let socket = Arc::new(ClientSocket::new(accepted));
        let reader = RequestReader::new(socket.clone(), admission);
        let dispatcher = Dispatcher { socket: socket.clone(), inbox, clock };
        Connection { slot, socket, reader, dispatcher }
    }

    /// Serves the connection until it ends. An error ends it as well.
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

    /// Answers a request, or passes it to the core.
    fn serve(&mut self, request: Request) -> io::Result<ControlFlow<()>> {
        if self.socket.awaits_answer() {
            // Clients must not send a request before the answer to the previous one.
            return Ok(ControlFlow::Break(()));
        }
        if is_abandoned(&self.socket, self.reader.has_trailing_bytes(&request)) {
            return Ok(ControlFlow::Break(()));
        }
        let admitted = match request.route {
            Route::Heartbeat => self.slot.admit_worker(),
            _ => WorkerAdmission::KeepAlive,
        };
        if admitted == WorkerAdmission::Refused {
            self.socket.refuse_busy(true)?;
            return Ok(ControlFlow::Break(()));
        }
        let close = request.close || admitted == WorkerAdmission::SingleRequest;
        let body = self.reader.body(&request);
        let body_bytes = body.len();
        self.dispatcher.dispatch(request.route, body, close)?;
        self.reader.discard(body_bytes);
        Ok(ControlFlow::Continue(()))
    }
}
