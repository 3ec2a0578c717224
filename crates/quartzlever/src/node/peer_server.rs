//! The server of the other controllers: a thread for each connection, each asking one thing at a time.
//!
//! Owns the bound on these connections and their time limits. Never answers by itself: what is asked goes
//! to the core, and changes of others go to the log.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use quartzlever_core::Command;
use quartzlever_wire::peers::{self, PeerAnswer, PeerRequest};

use crate::inbox::Inbox;
use crate::recovery::{self, OwnLog};
use crate::thread_pool::{self, Accepted};

const MAX_CONNECTIONS: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an answer of the core, and the writing of it, may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Serves peers from threads of its own, for as long as the process lives.
pub fn serve(address: SocketAddr, inbox: Inbox, log: OwnLog) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread_pool::accept_loop("peers", listener, MAX_CONNECTIONS, move |accepted| {
        let Accepted { mut stream, new } = accepted;
        // Only users and workers have connections that count as new until the core has a request.
        drop(new);
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

fn answer(request: PeerRequest, inbox: &Inbox, log: &OwnLog) -> PeerAnswer {
    match request {
        PeerRequest::Logged(changes) => recovery::take_changes(log, changes),
        request => inbox
            .ask_for_peer(ANSWER_TIMEOUT, |id| Command::PeerRequest { id, request })
            .unwrap_or(PeerAnswer::Nothing),
    }
}
