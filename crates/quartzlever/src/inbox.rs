//! The queue of commands of the core's thread, and the ways in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use quartzlever_core::{Command, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

/// An answer to an HTTP request.
#[derive(Debug)]
pub struct HttpAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub until: Option<Micros>,
}

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    Http(Sender<HttpAnswer>),
    Peer(Sender<PeerAnswer>),
}

/// A command with the place for its answer, if somebody waits for one.
#[derive(Debug)]
pub struct Item {
    pub command: Command,
    pub reply: Option<(RequestId, Reply)>,
}

/// How many users' requests may wait for the core; more are shed at once.
const USERS_WAITING: usize = 128;

/// The ways into the core's thread. What workers and services say has a queue of its own, ahead
/// of users'. It needs no bound: each connection and each call has at most one item in it.
#[derive(Clone)]
pub struct Inbox {
    first: Sender<Item>,
    users: Sender<Item>,
    ids: Arc<AtomicU64>,
}

/// The core's end of the queues.
pub struct Outlet {
    pub first: Receiver<Item>,
    pub users: Receiver<Item>,
}

impl Inbox {
    pub fn new() -> (Inbox, Outlet) {
        let (first, first_out) = unbounded();
        let (users, users_out) = bounded(USERS_WAITING);
        let ids = Arc::new(AtomicU64::new(1));
        (Inbox { first, users, ids }, Outlet { first: first_out, users: users_out })
    }

    /// Hands in what a call has brought.
    pub fn tell(&self, command: Command) {
        // Fails only when the core's thread has ended, and then the process ends.
        let _ = self.first.send(Item { command, reply: None });
    }

    /// Asks the core for an HTTP answer; `None` if there is none in time or the queue is full.
    pub fn ask(
        &self,
        user: bool,
        patience: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<HttpAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let item = Item { command: command(id), reply: Some((id, Reply::Http(sender))) };
        if user {
            match self.users.try_send(item) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => return None,
            }
        } else {
            self.first.send(item).ok()?;
        }
        receiver.recv_timeout(patience).ok()
    }

    /// Asks the core for a peer's answer.
    pub fn ask_for_peer(
        &self,
        patience: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<PeerAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let item = Item { command: command(id), reply: Some((id, Reply::Peer(sender))) };
        self.first.send(item).ok()?;
        receiver.recv_timeout(patience).ok()
    }
}
