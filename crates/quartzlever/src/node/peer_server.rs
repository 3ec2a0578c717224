//! The server for the other controllers: a thread for each connection, with one request at a time.
//!
//! Requests go to the core, except for logged changes of other controllers, which go to the
//! recovery log.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use quartzlever_core::Command;
use quartzlever_wire::peers::{self, PeerAnswer, PeerRequest};

use crate::inbox::Inbox;
use crate::recovery::{self, GuardedStoreCell};
use crate::thread_pool::{self, AcceptedConnection};

const MAX_CONNECTIONS: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the core may take to answer, and the socket to accept the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Binds `address` and serves peers on threads of its own, for as long as the process lives.
pub fn serve(address: SocketAddr, inbox: Inbox, log: GuardedStoreCell) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread_pool::accept_loop("peers", listener, MAX_CONNECTIONS, move |accepted| {
        let AcceptedConnection { mut stream, new_connection } = accepted;
        // Only connections of users and workers count as new until the core has taken a request.
        drop(new_connection);
        if set_options(&stream).is_err() {
            return;
        }
        while let Ok(request) = peers::receive::<PeerRequest>(&mut stream) {
            if peers::send(&mut stream, &answer(request, &inbox, &log)).is_err() {
                return;
            }
        }
    })
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_nodelay(true)
}

fn answer(request: PeerRequest, inbox: &Inbox, log: &GuardedStoreCell) -> PeerAnswer {
    match request {
        PeerRequest::LogChanges(changes) => recovery::log_peer_changes(log, changes),
        request => inbox
            .request_for_peer(ANSWER_TIMEOUT, |id| Command::PeerRequest { id, request })
            .unwrap_or(PeerAnswer::Empty),
    }
}
