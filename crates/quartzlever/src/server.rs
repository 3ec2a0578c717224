//! The HTTP server of users, workers and health checks.
//!
//! Owns the port and its threads: one that accepts, and one for each connection, all of them for as long
//! as the process lives. Never decides anything about a job or a machine: the core does. Each step of a
//! request has a module: `admission` (how many connections), `connection` (the order of the steps),
//! `reader` and `request` (reading and parsing), `routing` (what it is about), `shedding` (what the core
//! is spared), `dispatch` (the way to the core).
//!
//! `tiny_http` was the wish. It keeps a thread for every open connection without any bound,
//! has no time limit on a half-sent request and no way to close idle connections, and the
//! sockets, which would allow all that, stay hidden in it. What stands here is its nearest kin:
//! the same blocking threads, one for each connection, around the `httparse` parser, with a
//! bound on connections and a deadline on everything.

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
use admission::Admission;
use connection::Connection;

pub use admission::Bounds;

/// How many connections the system keeps until they are accepted.
const BACKLOG: i32 = 128;

/// A port that is taken but not served yet: whoever comes is refused by the system at no cost. All
/// workers connect every second to a node that has just started, and turning them away one by one
/// took it 14 s of what it needed to come to be of use.
pub struct Port {
    socket: Socket,
    bounds: Bounds,
    inbox: Inbox,
    clock: Clock,
}

impl Port {
    /// Takes the port of an address.
    pub fn take(
        address: SocketAddr,
        bounds: Bounds,
        inbox: Inbox,
        clock: Clock,
    ) -> io::Result<Port> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(Port { socket, bounds, inbox, clock })
    }

    /// The address with the port that was taken.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let address = self.socket.local_addr()?;
        address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
    }

    /// Serves the port from threads of its own, for as long as the process lives.
    pub fn open(self) -> io::Result<()> {
        let Port { socket, bounds, inbox, clock } = self;
        socket.listen(BACKLOG)?;
        let admission = Admission::new(bounds);
        accept_loop("http", socket.into(), bounds.all, move |accepted| {
            // An error has ended the connection, and nobody else is concerned.
            let _ = Connection::new(accepted, &admission, &inbox, clock).run();
        })
    }
}

#[cfg(test)]
mod tests;
