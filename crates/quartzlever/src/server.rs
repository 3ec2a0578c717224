//! The HTTP server for users, workers and health checks.
//!
//! One thread accepts connections for as long as the process lives, and one serves each connection.
//! All decisions about jobs and machines are the core's. The modules follow the steps of a request:
//! `admission` (limits on connections), `connection` (the order of the steps), `reader` and
//! `request` (reading and parsing), `routing` (method and path), `shedding` (requests that are not
//! passed to the core), `dispatch` (commands to the core).
//!
//! `tiny_http` is not used because it keeps a thread for every open connection without a limit, has
//! no time limit for a partly sent request, cannot close idle connections, and hides the sockets,
//! with which all of this could be done. This server follows the same model, a blocking thread for
//! each connection, with the `httparse` parser, a limit on connections and a deadline on every
//! step.

mod admission;
mod connection;
mod dispatch;
mod reader;
mod request;
mod routing;
mod shedding;

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::thread_pool::accept_loop;
use admission::AdmissionControl;
use connection::Connection;

pub use admission::ConnectionLimits;

/// How many connections the operating system queues until they are accepted.
const BACKLOG: i32 = 128;

/// A port that is bound but not listening yet, so that the operating system refuses connections at
/// no cost to the process. All workers connect every second to a node that has just started;
/// rejecting them one by one added 14 s to its start.
pub struct Port {
    socket: Socket,
    limits: ConnectionLimits,
    inbox: Inbox,
    clock: Clock,
}

impl Port {
    /// Binds an address without listening on it.
    pub fn bind(
        address: SocketAddr,
        limits: ConnectionLimits,
        inbox: Inbox,
        clock: Clock,
    ) -> io::Result<Port> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(Port { socket, limits, inbox, clock })
    }

    /// Returns the address that is bound, with the actual port.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let address = self.socket.local_addr()?;
        address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
    }

    /// Listens and serves the port on threads of its own, for as long as the process lives.
    pub fn open(self) -> io::Result<()> {
        let Port { socket, limits, inbox, clock } = self;
        socket.listen(BACKLOG)?;
        let admission = AdmissionControl::new(limits);
        accept_loop("http", socket.into(), limits.total, move |accepted| {
            // An error ends only this connection.
            let _ = Connection::new(accepted, &admission, &inbox, clock).run();
        })
    }
}

#[cfg(test)]
mod tests;
